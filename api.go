// Package headmill decides for a session controller (a "front") of a fleet of
// media servers: where a new session is set up, at which rung of the rate
// ladder, when a rung changes, and when a session is refused.
//
// This file is the interface. A caller builds a Config, makes one Controller
// for each front with New, hands it events with Step and carries out the
// returned actions in their order. All decisions are in controller.go.
//
// Times are milliseconds on the caller's clock, which must not run backwards;
// rates are kB a second. A Controller keeps no goroutine, reads no clock and
// is not safe for concurrent use; separate Controllers share nothing.
package headmill

import (
	"fmt"
	"math"
)

// Loads of a link or uplink, asked over given: up to FillTo set-ups may fill it, up to RaiseTo rungs are raised.
const (
	MaxSetupLoad = 0.90
	MaxRaiseLoad = 0.80
)

// ServerID is an opaque name of a media server: 4 address bytes and a port.
type NodeID uint64

// SessionID names one request for a session; ids never come twice.
type SessionID uint32

// Semantics tells whether a set-up may be repeated.
type Semantics uint8

// The semantics of a class.
const (
	Repeatable      Semantics = iota // may be repeated freely
	AtMostOnce                       // never again once an attempt may have run
	IdempotentByKey                  // again only within KeyScope and KeyTTLMs
)

// Scope is the group of servers within which a ByKey set-up may be repeated.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of session.
type Class struct {
	TargetMs    float64 // a set-up should play within this
	Semantics   Semantics
	KeyScope    Scope
	KeyTTLMs    float64
	Value       float64 // worth of one second at a rung of worth 1
	RateScale   float64 // rates of the class over those of the ladder
	MinRung     int     // lowest rung that may be set
	MaxRung     int     // highest rung
	MaxPerTitle int     // sessions of one title a front may hold; 0 = no cap
}

// Config is what a front is told at its start. Figures of zero mean "not stated".
type Config struct {
	Self, Fronts        int
	Zone                int // the front's own, as in Server.Zone
	Classes             []Class
	RateKB              []float64 // the ladder
	RungWorth           []float64 // what each rung earns
	Cells, Racks        int
	StreamsByKind       []int   // streams a server of each kind runs at most
	LinkKBPerWeight     float64 // link for each unit of a server's weight
	TotalLinkKB         float64 // all links together at the start
	UplinkKB            float64 // mean uplink of a rack
	WeightsKnown        bool    // Server.Weight tells sizes apart
	RungChangeCostS     float64 // price of a rung change, seconds of worth
	ReportIntervalMs    float64 // time between load notes; 0 = none
	ReportDelayMs       float64 // how late notes are
	MaxAttempts         int
	MaxRetryAfterMs     float64
	RetryAfter          bool
	SubscribeToNodes    bool // the server list must be asked for
	WarmUpMs            float64
	ColdRateFraction    float64
	ColdWindowMs        float64 // time in which a cold server bears what its pace allows, and a little more for chance
	ConnectTimeoutMs    float64 // that a set-up may wait for a connection
	RetryBudget         bool    // the three figures below apply
	RetryBudgetMin      float64
	RetryBudgetRatio    float64
	RetryBudgetWindowMs float64
}

// Health is what the server list says of a server.
type Health uint8

// The states of the server list.
const (
	Ready Health = iota
	Gone
	Draining
)

// Server is one entry of the server list.
type Node struct {
	ID          NodeID
	StartedAtMs float64 // last start; 0 = long ago
	Cell        int     // its rack is Cell mod Config.Racks
	Health      Health
	Weight      float64
	Kind        int
	Zone        int
}

// Outcome is the end of an attempt.
type Outcome uint16

// The outcomes. Full, ConnectFailed and Moot prove that nothing ran.
const (
	Failed Outcome = iota
	Served
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NeverSent
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	EvNodes           EventKind = iota // Servers, Delta, ListFailed
	EvRequest                          // a viewer wants a session
	EvExistingSession                  // a session under way at the start, on Server
	EvAttemptPlaying                   // attempt plays: Session, Attempt, Server, TookMs
	EvFeedback                         // Session, Server, Note, Value
	EvAttemptEnded                     // attempt ended: Outcome, Finished, Report
	EvViewerLeft                       // the viewer left
	EvTimer                            // Timer
)

// NoteKind is the subject of a note on a session.
type FeedbackKind uint8

// The notes. Link and uplink loads are what is asked over what is given.
const (
	FeedbackRateShare FeedbackKind = 1 + iota // share of their rates that sessions there got
	FeedbackRung                              // the rung in force
	FeedbackLinkLoad
	FeedbackUplinkLoad
)

// Report is a server's load report; fields that were not told are negative.
type Report struct {
	Present      bool
	Streams      float64
	Link, Uplink float64
}

// Event is one thing a front hears. Events of a Step happen at its time, in order.
type Event struct {
	Kind            EventKind
	Session         SessionID
	Node            NodeID
	Class           int
	Title           uint64
	TimeLeftMs      float64 // until the viewer gives up this try
	DurationHintMs  float64 // rough length of the session; 0 = none
	FirstCell       int     // first cell that holds the title
	Copies          int     // cells in a row that hold it
	MaxRung         int     // highest rung of this viewer
	Headroom        float64 // share of a server's places that must stay free beside it
	LatencyMs       float64
	Outcome         Outcome
	SessionOver     bool
	Report          Report
	Feedback        FeedbackKind
	Value           float64
	Timer           uint64
	Nodes           []Node // only read during Step
	Delta           bool   // Servers holds changed entries only
	ListUnavailable bool
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	ActSetup     ActionKind = iota // set Session up at Server, time-out AtMs
	ActRefuse                      // final answer, RetryMs as advice (0 = none)
	ActFail                        // final answer, no promise of its effect
	ActSetRung                     // set Rung
	ActTimer                       // an EvTimer named Timer at AtMs
	ActSubscribe                   // subscribe to the server list
	ActLog                         // Text for the person on call
)

// Action is one thing a front is to do, in the order given.
type Action struct {
	Kind         ActionKind
	Session      SessionID
	Node         NodeID
	Rung         int
	AtMs         float64 // time-out of ActSend (0 = until the viewer gives up), time of ActTimer
	RetryAfterMs float64
	Timer        uint64
	Text         string
}

// Validate reports the first field of c whose shape no front could work with.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("headmill: Classes is empty")
	}
	if len(c.RateKB) == 0 || len(c.RateKB) != len(c.RungWorth) {
		return fmt.Errorf("headmill: RateKB has %d rungs and RungWorth %d", len(c.RateKB), len(c.RungWorth))
	}
	if c.Fronts < 1 || c.Self < 0 || c.Self >= c.Fronts {
		return fmt.Errorf("headmill: Me is %d of Fronts %d", c.Self, c.Fronts)
	}
	if c.Cells < 1 || c.Racks < 1 || c.MaxAttempts < 1 {
		return fmt.Errorf("headmill: Cells %d, Racks %d and MaxAttempts %d must be positive",
			c.Cells, c.Racks, c.MaxAttempts)
	}
	for i, r := range c.RateKB {
		if !(r > 0) || math.IsInf(r, 0) || (i > 0 && r <= c.RateKB[i-1]) {
			return fmt.Errorf("headmill: RateKB[%d] is %v; rates must be positive, finite and rising", i, r)
		}
	}
	for i, w := range c.RungWorth {
		if !figure(w) {
			return fmt.Errorf("headmill: RungWorth[%d] is %v", i, w)
		}
	}
	for i, n := range c.StreamsByKind {
		if n < 0 {
			return fmt.Errorf("headmill: Places[%d] is %d", i, n)
		}
	}
	for i, k := range c.Classes {
		if !figure(k.TargetMs) || !figure(k.KeyTTLMs) || !figure(k.Value) || !figure(k.RateScale) {
			return fmt.Errorf("headmill: Classes[%d] has a negative or non-finite figure", i)
		}
		if k.RateScale == 0 || k.MinRung < 0 || k.MinRung >= len(c.RateKB) || k.MaxRung < k.MinRung || k.MaxPerTitle < 0 {
			return fmt.Errorf("headmill: Classes[%d]: scale %v, floor %d, top %d, seats %d do not fit %d rungs",
				i, k.RateScale, k.MinRung, k.MaxRung, k.MaxPerTitle, len(c.RateKB))
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"LinkUnitKB", c.LinkKBPerWeight}, {"AllLinksKB", c.TotalLinkKB},
		{"UplinkKB", c.UplinkKB},
		{"SwitchS", c.RungChangeCostS}, {"TellMs", c.ReportIntervalMs}, {"ToldLateMs", c.ReportDelayMs},
		{"MaxRetryAfterMs", c.MaxRetryAfterMs},

		{"WarmWithinMs", c.WarmUpMs},
		{"ColdFrom", c.ColdRateFraction}, {"TipMs", c.ColdWindowMs}, {"ConnectMs", c.ConnectTimeoutMs},
		{"MinExtra", c.RetryBudgetMin}, {"RepeatRatio", c.RetryBudgetRatio},
		{"LookBackMs", c.RetryBudgetWindowMs},
	} {
		if !figure(f.v) {
			return fmt.Errorf("headmill: %s is %v", f.name, f.v)
		}
	}
	return nil
}

func figure(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
