// Package headmill is the decision module of a session director: it places video sessions on media nodes by
// the token routing of the DALA scheme (cited in controller.go), chooses and changes their rungs of the rate
// ladder, and refuses requests that do not fit.
//
// One Controller decides for one front, which is one director's instance of this module. Its inputs are a
// Config and a stream of events: node lists, requests, load feedback, and the outcomes of attempts. Its
// outputs are actions: set-ups, rungs, refusals, timers and log lines. A caller passes events to
// Controller.Step and carries out the returned actions in their order. This file is the interface; all
// decisions are in controller.go.
//
// For each request a front
//
//   - estimates the load of each link and uplink from the last measurement and its own changes since then;
//   - skips nodes that its circuit breaker has ejected, for an exponential back-off, after failures;
//   - computes a shadow price of capacity, and from it the rung to start with;
//   - keeps a title on the node that holds its placement token, as long as that node passes an admission
//     test with headroom, and otherwise moves the token to the least-loaded holder that passes;
//   - lowers the rungs of sessions that are worth less per kB, or tries lower rungs, before it refuses.
//
// Further attempts are limited by the class's semantics and by a retry budget, and nodes that warm up get
// set-ups at a slow-start pace. Between requests a timer lowers rungs on overloaded links and raises them
// where capacity is free; the load limits of the two differ, and a rung is held for a while after a change,
// so that rungs do not flap.
//
// Times are milliseconds on the caller's clock, which must not run backwards. Names that end in KB are rates
// or capacities in kB/s. Worth is a dimensionless utility: see Class.ValuePerSecond and Config.RungWorth. A
// Controller starts no goroutine, reads no clock and is not safe for concurrent use; separate Controllers
// share nothing.
package headmill

import (
	"fmt"
	"math"
)

// MaxSetupLoad and MaxRaiseLoad limit the load (demand over capacity) of a link or uplink: set-ups are
// admitted up to the first, rungs are raised up to the second.
const (
	MaxSetupLoad = 0.90
	MaxRaiseLoad = 0.80
)

// NodeID is the ID of a media node. Package decide/discovery makes it, from the node's address or its name.
type NodeID uint64

// SessionID names one request for a session. IDs are never reused.
type SessionID uint32

// Semantics tells whether a set-up may be repeated.
type Semantics uint8

// The semantics of a class.
const (
	Repeatable      Semantics = iota // may be repeated freely
	AtMostOnce                       // never again once an attempt may have taken effect
	IdempotentByKey                  // again only within KeyScope and KeyTTLMs
)

// Scope is the group of media nodes within which a set-up that is IdempotentByKey may be repeated.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of session.
type Class struct {
	TargetMs       float64   // time within which a set-up should play
	Semantics      Semantics // whether a set-up may be repeated
	KeyScope       Scope     // for IdempotentByKey: where a set-up may be repeated
	KeyTTLMs       float64   // for IdempotentByKey: for how long
	ValuePerSecond float64   // weight of the class: worth of one second at a rung whose Config.RungWorth is 1
	RateScale      float64   // factor on the rates of the ladder
	MinRung        int       // lowest rung that may be set
	MaxRung        int       // highest rung that may be set
	MaxPerTitle    int       // session cap for one title at a front; 0 = none
}

// Capped tells whether sessions of the class count against a cap. One that may still play must then go on counting.
func (c *Class) Capped() bool { return c.MaxPerTitle > 0 }

// Config is the configuration of a front. A zero is a value like any other, except where a field says otherwise.
type Config struct {
	FrontIndex          int       // index of this front
	Fronts              int       // number of fronts
	Zone                int       // the front's own zone, as in Node.Zone
	Classes             []Class   // indexed by Event.Class
	RateKB              []float64 // the ladder: rate of each rung
	RungWorth           []float64 // utility per second at a rung, the same for all classes; 1 is the unit of worth
	Cells               int       // number of cells
	Racks               int       // number of racks
	StreamsByKind       []int     // limit of concurrent streams of each kind of node
	LinkKBPerWeight     float64   // link capacity for each unit of Node.Weight
	TotalLinkKB         float64   // capacity of all links together at the start
	UplinkKB            float64   // mean capacity of a rack's uplink
	WeightsKnown        bool      // Node.Weight tells the nodes' sizes apart
	RungChangeCostS     float64   // cost of a rung change: the worth of so many seconds at a rung of worth 1
	ReportIntervalMs    float64   // time between two measurements of a load; 0 = none are sent
	ReportDelayMs       float64   // age of an EvFeedback measurement on arrival
	MaxAttempts         int       // attempts for one request
	MaxRetryAfterMs     float64   // retry time that each refusal advises if AdviseRetryAfter is set
	AdviseRetryAfter    bool      // refusals advise when to retry
	SubscribeToNodes    bool      // the node list must be subscribed to
	WarmUpMs            float64   // time for which a started node is cold
	ColdRateFraction    float64   // a cold node accepts at least streams*ColdRateFraction set-ups in WarmUpMs
	ColdWindowMs        float64   // window in which it accepts n+2*sqrt(n)+2 set-ups, n by that rate; 0 = unknown
	ConnectTimeoutMs    float64   // time that a set-up may wait for a connection
	RetryBudget         bool      // the three fields below apply
	RetryBudgetMin      float64   // further attempts that are always allowed within the window
	RetryBudgetRatio    float64   // further attempts allowed for each request within the window
	RetryBudgetWindowMs float64
}

// Health is the state of a media node in the node list.
type Health uint8

// The health states.
const (
	HealthReady Health = iota
	HealthRemoved
	HealthDraining
)

// Node is one entry of the node list.
type Node struct {
	ID          NodeID
	StartedAtMs float64 // last start; 0 = long ago
	Cell        int     // its rack is Cell mod Config.Racks
	Health      Health
	Weight      float64 // size of its link, if Config.WeightsKnown
	Kind        int     // index in Config.StreamsByKind
	Zone        int
}

// Outcome is the result of an attempt or of the session that it started.
type Outcome uint16

// The outcomes. OutcomeFull, OutcomeConnectFailed and OutcomeNeverRan prove that the set-up has not run.
const (
	OutcomeFailed        Outcome = iota // the node answered with an error
	OutcomeServed                       // the session ended normally
	OutcomeFull                         // the node has no capacity
	OutcomeTimedOut                     // no answer in time
	OutcomeConnectFailed                // no connection to the node
	OutcomeReset                        // the connection broke
	OutcomeCancelled                    // cancelled before it ended
	OutcomeNeverRan                     // proven not to have run, without a fault of the node: not sent, or so answered
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	EvNodes           EventKind = iota // node list: Nodes, NodesAreDelta, ListUnavailable
	EvRequest                          // a viewer requests a session
	EvExistingSession                  // a session that plays already, on Node: after a restart or a late answer
	EvAttemptPlaying                   // an attempt plays: Session, Node, LatencyMs
	EvFeedback                         // a measurement: Session, Node, Feedback, FeedbackValue
	EvAttemptEnded                     // an attempt or session ended: Outcome, SessionOver, LoadReport
	EvViewerLeft                       // the viewer left: Session
	EvTimer                            // a timer of ActTimer expired: TimerID
)

// FeedbackKind is the subject of an EvFeedback.
type FeedbackKind uint8

// The kinds of feedback. Loads are demand over capacity.
const (
	FeedbackRateShare  FeedbackKind = 1 + iota // share of their rates that the node's sessions got
	FeedbackRung                               // the rung in force
	FeedbackLinkLoad                           // load of the node's link
	FeedbackUplinkLoad                         // load of the rack's uplink
)

// LoadReport is the load report of a media node. Fields that it did not state are negative.
type LoadReport struct {
	Present    bool    // the event carries a report
	Streams    float64 // concurrent streams of all fronts
	LinkLoad   float64 // load of the link
	UplinkLoad float64 // load of the rack's uplink
}

// Event is one input of a front. The events of a Step happen at its time, in order.
type Event struct {
	Kind            EventKind
	Session         SessionID
	Node            NodeID
	Class           int // index in Config.Classes
	Title           uint64
	TimeLeftMs      float64 // time until the viewer gives up
	DurationHintMs  float64 // approximate length of the session; 0 = unknown
	FirstCell       int     // first cell that holds the title
	Copies          int     // number of consecutive cells that hold it
	MaxRung         int     // highest rung of this viewer
	Headroom        float64 // share of a node's streams that must stay free beside this session
	LatencyMs       float64 // time that the attempt has taken so far
	Outcome         Outcome
	SessionOver     bool // the session is over: no further attempt
	LoadReport      LoadReport
	Feedback        FeedbackKind
	FeedbackValue   float64 // a share, a rung or a load, by Feedback
	TimerID         uint64
	Nodes           []Node // only read during Step
	NodesAreDelta   bool   // Nodes holds changed entries only
	ListUnavailable bool   // the node list could not be read; Nodes is not used
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	ActSetup     ActionKind = iota // set up Session on Node, with a time-out of AtMs
	ActRefuse                      // final answer: the viewer may retry, RetryAfterMs as advice (0 = none)
	ActFail                        // final answer: a set-up may have taken effect, and a retry may repeat it
	ActSetRung                     // set the rung of Session to Rung
	ActTimer                       // send an EvTimer with this TimerID at AtMs
	ActSubscribe                   // subscribe to the node list
	ActLog                         // log Text for the operator
)

// Action is one thing that a front is to do, in the order given.
type Action struct {
	Kind         ActionKind
	Session      SessionID
	Node         NodeID
	Rung         int
	AtMs         float64 // ActSetup: time-out as a duration, 0 = until the viewer gives up; ActTimer: point in time
	RetryAfterMs float64
	TimerID      uint64
	Text         string
}

// Validate returns an error for the first field of c that no front could work with.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("headmill: Classes is empty")
	}
	if len(c.RateKB) == 0 || len(c.RateKB) != len(c.RungWorth) {
		return fmt.Errorf("headmill: RateKB has %d rungs and RungWorth %d; they must have the same, at least one",
			len(c.RateKB), len(c.RungWorth))
	}
	if c.Fronts < 1 || c.FrontIndex < 0 || c.FrontIndex >= c.Fronts {
		return fmt.Errorf("headmill: FrontIndex is %d, which is no index of Fronts %d", c.FrontIndex, c.Fronts)
	}
	if c.Cells < 1 || c.Racks < 1 || c.MaxAttempts < 1 {
		return fmt.Errorf("headmill: Cells %d, Racks %d and MaxAttempts %d must be positive",
			c.Cells, c.Racks, c.MaxAttempts)
	}
	for i, rate := range c.RateKB {
		if !(rate > 0) || math.IsInf(rate, 0) || (i > 0 && rate <= c.RateKB[i-1]) {
			return fmt.Errorf("headmill: RateKB[%d] is %v; rates must be positive, finite and rising", i, rate)
		}
	}
	for i, worth := range c.RungWorth {
		if !nonNegativeFinite(worth) {
			return fmt.Errorf("headmill: RungWorth[%d] is %v; it must be finite and not negative", i, worth)
		}
	}
	for i, streams := range c.StreamsByKind {
		if streams < 0 {
			return fmt.Errorf("headmill: StreamsByKind[%d] is %d; it must not be negative", i, streams)
		}
	}
	for i, class := range c.Classes {
		if !nonNegativeFinite(class.TargetMs) || !nonNegativeFinite(class.KeyTTLMs) ||
			!nonNegativeFinite(class.ValuePerSecond) || !nonNegativeFinite(class.RateScale) {
			return fmt.Errorf("headmill: Classes[%d] has a negative or non-finite number", i)
		}
		if class.RateScale == 0 || class.MinRung < 0 || class.MinRung >= len(c.RateKB) ||
			class.MaxRung < class.MinRung || class.MaxPerTitle < 0 {
			return fmt.Errorf(
				"headmill: Classes[%d]: RateScale %v, MinRung %d, MaxRung %d and MaxPerTitle %d do not fit %d rungs",
				i, class.RateScale, class.MinRung, class.MaxRung, class.MaxPerTitle, len(c.RateKB))
		}
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"LinkKBPerWeight", c.LinkKBPerWeight},
		{"TotalLinkKB", c.TotalLinkKB},
		{"UplinkKB", c.UplinkKB},
		{"RungChangeCostS", c.RungChangeCostS},
		{"ReportIntervalMs", c.ReportIntervalMs},
		{"ReportDelayMs", c.ReportDelayMs},
		{"MaxRetryAfterMs", c.MaxRetryAfterMs},
		{"WarmUpMs", c.WarmUpMs},
		{"ColdRateFraction", c.ColdRateFraction},
		{"ColdWindowMs", c.ColdWindowMs},
		{"ConnectTimeoutMs", c.ConnectTimeoutMs},
		{"RetryBudgetMin", c.RetryBudgetMin},
		{"RetryBudgetRatio", c.RetryBudgetRatio},
		{"RetryBudgetWindowMs", c.RetryBudgetWindowMs},
	} {
		if !nonNegativeFinite(field.value) {
			return fmt.Errorf("headmill: %s is %v; it must be finite and not negative", field.name, field.value)
		}
	}
	return nil
}

// nonNegativeFinite reports whether v is a number that is neither negative, infinite nor NaN.
func nonNegativeFinite(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
