// Package boxes decides which of a director's sessions are lost with a box,
// and which sessions at a box belong to nobody. Each box with sessions has one
// stream of notes; its silence, its break and what the box says of itself when
// the stream opens again are the evidence.
//
// It is pure: facts with their time go in by Step, actions come out. Numbers of
// boxes and sessions are the caller's.
//
//	Idle     no session there: no stream is kept
//	Opening  a stream was asked for
//	Up       the box has said hello; every byte proves that it lives
//	Broken   the stream ended or went silent; sessions are kept while it is tried again
//	Lost     not heard for LostMs, or refused again and again: its sessions were given up
package health

import (
	"cmp"
	"math"
	"slices"
)

// Box and Session are the caller's numbers.
type (
	NodeID    uint64
	SessionID uint32
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	SetupSent      EventKind = iota // Box, Session: a set-up is sent there
	SessionStarted                  // Box, Session: it plays there
	SessionEnded                    // Box, Session: it ended, or its set-up failed
	StreamOpened                    // Box, Boot, Sessions: the stream stands, and what the box runs for this director
	StreamActivity                  // Box: bytes on the stream
	StreamFailed                    // Box, Refused: the stream ended, or could not be opened
	Tick
)

// Event is one fact.
type Event struct {
	Kind        EventKind
	Node        NodeID
	Session     SessionID
	BootID      string
	Sessions    []SessionID
	ConnRefused bool // the box's machine says that nobody listens there
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	OpenStream  ActionKind = iota // Box: open its stream of notes
	CloseStream                   // Box: close it
	SessionLost                   // Box, Session: the session is lost
	EndOrphan                     // Box, Session: the box runs it for this director, which doesn't know it: end it
	NodeDown                      // Box, Count: for the log; so many sessions are being given up
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Node    NodeID
	Session SessionID
	Count   int
}

// Config has the times, in ms.
type Config struct {
	StreamTimeoutMs float64 // a stream without a byte for so long is taken as broken
	NodeTimeoutMs   float64 // a box not heard for so long has lost its sessions
	MinRetryMs      float64 // first pause between tries to open the stream; doubles up to MaxRetryMs
	MaxRetryMs      float64
	IdleTimeoutMs   float64 // a stream without sessions is shut after so long
	OpenTimeoutMs   float64 // a stream that does not say hello for so long is taken as broken
}

// State is where a box stands.
type State uint8

// The states.
const (
	StateIdle State = iota
	StateOpening
	StateUp
	StateBroken
	StateDown
)

var stateNames = [...]string{"idle", "opening", "up", "broken", "lost"}

func (s State) String() string { return stateNames[s] }

type box struct {
	id       NodeID
	state    State
	boot     string
	expected map[SessionID]bool    // set-ups out
	placed   map[SessionID]float64 // sessions that play, and since when
	asked    float64               // when the stream was asked for
	heard    float64               // last proof of life
	retry    float64               // when to open again
	pause    float64
	refusals int     // tries refused in a row: the process is gone, and with it what it ran
	empty    float64 // since when no session is there
}

// Watch is the state for all boxes.
type Monitor struct {
	cfg   Config
	now   float64
	out   []Action
	boxes map[NodeID]*box
	order []*box
}

// deadAfter is how many refused tries in a row mean that no process listens there any more. One may be a
// listener that is just being replaced.
const deadAfter = 2

// New makes an empty watch.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg, boxes: map[NodeID]*box{}} }

// State tells where a box stands.
func (w *Monitor) State(b NodeID) State {
	if x := w.boxes[b]; x != nil {
		return x.state
	}
	return StateIdle
}

// Sessions is the number of sessions that play at a box.
func (w *Monitor) Sessions(b NodeID) int {
	if x := w.boxes[b]; x != nil {
		return len(x.placed)
	}
	return 0
}

// Step takes the events of one moment and appends the actions to out.
func (w *Monitor) Step(now float64, events []Event, out []Action) []Action {
	w.now, w.out = now, out
	for i := range events {
		ev := &events[i]
		if ev.Kind == Tick {
			w.tick()
			continue
		}
		x := w.boxes[ev.Node]
		if x == nil {
			if ev.Kind != SetupSent && ev.Kind != SessionStarted {
				continue
			}
			x = &box{id: ev.Node, expected: map[SessionID]bool{}, placed: map[SessionID]float64{}}
			w.boxes[ev.Node] = x
			i, _ := slices.BinarySearchFunc(w.order, x, func(a, b *box) int { return cmp.Compare(a.id, b.id) })
			w.order = slices.Insert(w.order, i, x)
		}
		w.fact(x, ev)
	}
	out, w.out = w.out, nil
	return out
}

func (w *Monitor) fact(x *box, ev *Event) {
	switch ev.Kind {
	case SetupSent:
		x.expected[ev.Session] = true
		if x.state == StateIdle || x.state == StateDown { // lost: the module sends there again, so it may be back
			w.open(x)
		}
	case SessionStarted: // its answer is a proof of life as good as a note
		delete(x.expected, ev.Session)
		x.placed[ev.Session] = w.now
		x.heard = math.Max(x.heard, w.now)
		if x.state == StateIdle || x.state == StateDown {
			w.open(x)
		}
	case SessionEnded:
		delete(x.expected, ev.Session)
		delete(x.placed, ev.Session)
		if x.unused() {
			x.empty = w.now
		}
	case StreamOpened:
		if x.state == StateOpening {
			w.hello(x, ev)
		}
	case StreamActivity:
		if x.state == StateUp {
			x.heard = w.now
		}
	case StreamFailed:
		if x.state == StateOpening || x.state == StateUp {
			x.refusals++
			if !ev.ConnRefused {
				x.refusals = 0
			}
			w.broke(x)
		}
	}
}

func (x *box) unused() bool { return len(x.expected) == 0 && len(x.placed) == 0 }

func (w *Monitor) open(x *box) {
	if x.state == StateIdle || x.state == StateDown {
		x.heard, x.pause, x.refusals = w.now, 0, 0
	}
	x.state, x.asked = StateOpening, w.now
	w.out = append(w.out, Action{Kind: OpenStream, Node: x.id})
}

// hello sets what the box runs against what this director believes. Only sessions placed before the stream
// was asked for can be missed: the box may have written its list before a younger one was set up.
func (w *Monitor) hello(x *box, ev *Event) {
	x.state, x.heard, x.pause, x.boot, x.refusals = StateUp, w.now, 0, ev.BootID, 0
	there := make(map[SessionID]bool, len(ev.Sessions))
	for _, s := range ev.Sessions {
		there[s] = true
		if _, ok := x.placed[s]; !ok && !x.expected[s] {
			w.out = append(w.out, Action{Kind: EndOrphan, Node: x.id, Session: s})
		}
	}
	for _, s := range sorted(x.placed) {
		if !there[s] && x.placed[s] < x.asked {
			w.lose(x, s)
		}
	}
}

func sorted(m map[SessionID]float64) []SessionID {
	out := make([]SessionID, 0, len(m))
	for s := range m {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

func (w *Monitor) lose(x *box, s SessionID) {
	delete(x.placed, s)
	w.out = append(w.out, Action{Kind: SessionLost, Node: x.id, Session: s})
	if x.unused() {
		x.empty = w.now
	}
}

func (w *Monitor) broke(x *box) {
	x.state = StateBroken
	x.pause = math.Min(math.Max(x.pause*2, w.cfg.MinRetryMs), w.cfg.MaxRetryMs)
	x.retry = w.now + x.pause
	if x.unused() {
		x.state = StateIdle
	}
}

func (w *Monitor) tick() {
	for _, x := range w.order {
		switch x.state {
		case StateOpening:
			if w.now-x.asked > w.cfg.OpenTimeoutMs {
				w.out = append(w.out, Action{Kind: CloseStream, Node: x.id})
				w.broke(x)
			}
		case StateUp:
			if w.now-x.heard > w.cfg.StreamTimeoutMs {
				w.out = append(w.out, Action{Kind: CloseStream, Node: x.id})
				w.broke(x)
			} else if x.unused() && w.now-x.empty > w.cfg.IdleTimeoutMs {
				w.out = append(w.out, Action{Kind: CloseStream, Node: x.id})
				x.state = StateIdle
			}
		}
		dead := w.now-x.heard > w.cfg.NodeTimeoutMs || x.refusals >= deadAfter
		if (x.state == StateBroken || x.state == StateOpening) && len(x.placed) > 0 && dead {
			w.out = append(w.out, Action{Kind: NodeDown, Node: x.id, Count: len(x.placed)})
			for _, s := range sorted(x.placed) {
				w.lose(x, s)
			}
			if x.state == StateOpening {
				w.out = append(w.out, Action{Kind: CloseStream, Node: x.id})
			}
			x.state = StateDown
		}
		if x.state == StateBroken && w.now >= x.retry {
			if x.unused() {
				x.state = StateIdle
			} else {
				w.open(x)
			}
		}
		if x.state == StateDown && len(x.expected) > 0 { // the module sends there again: it may be back
			w.open(x)
		}
	}
	// A box that is long unused is forgotten, so that the table follows the fleet and not its history.
	w.order = slices.DeleteFunc(w.order, func(x *box) bool {
		old := (x.state == StateIdle || x.state == StateDown) && x.unused() && w.now-x.empty > 10*w.cfg.IdleTimeoutMs
		if old {
			delete(w.boxes, x.id)
		}
		return old
	})
}
