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
package boxes

import (
	"cmp"
	"math"
	"slices"
)

// Box and Session are the caller's numbers.
type (
	Box     uint64
	Session uint32
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Expect EventKind = iota // Box, Session: a set-up is sent there
	Placed                  // Box, Session: it plays there
	Gone                    // Box, Session: it ended, or its set-up failed
	Hello                   // Box, Boot, Sessions: the stream stands, and what the box runs for this director
	Heard                   // Box: bytes on the stream
	Broke                   // Box, Refused: the stream ended, or could not be opened
	Tick
)

// Event is one fact.
type Event struct {
	Kind     EventKind
	Box      Box
	Session  Session
	Boot     string
	Sessions []Session
	Refused  bool // the box's machine says that nobody listens there
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	Open   ActionKind = iota // Box: open its stream of notes
	Shut                     // Box: close it
	Lose                     // Box, Session: the session is lost
	Orphan                   // Box, Session: the box runs it for this director, which doesn't know it: end it
	Down                     // Box, Count: for the log; so many sessions are being given up
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Box     Box
	Session Session
	Count   int
}

// Config has the times, in ms.
type Config struct {
	SilentMs float64 // a stream without a byte for so long is taken as broken
	LostMs   float64 // a box not heard for so long has lost its sessions
	RetryMs  float64 // first pause between tries to open the stream; doubles up to MaxRetryMs
	MaxRetry float64
	IdleMs   float64 // a stream without sessions is shut after so long
	OpenMs   float64 // a stream that does not say hello for so long is taken as broken
}

// State is where a box stands.
type State uint8

// The states.
const (
	Idle State = iota
	Opening
	Up
	Broken
	Lost
)

var stateNames = [...]string{"idle", "opening", "up", "broken", "lost"}

func (s State) String() string { return stateNames[s] }

type box struct {
	id       Box
	state    State
	boot     string
	expected map[Session]bool    // set-ups out
	placed   map[Session]float64 // sessions that play, and since when
	asked    float64             // when the stream was asked for
	heard    float64             // last proof of life
	retry    float64             // when to open again
	pause    float64
	refusals int     // tries refused in a row: the process is gone, and with it what it ran
	empty    float64 // since when no session is there
}

// Watch is the state for all boxes.
type Watch struct {
	cfg   Config
	now   float64
	out   []Action
	boxes map[Box]*box
	order []*box
}

// deadAfter is how many refused tries in a row mean that no process listens there any more. One may be a
// listener that is just being replaced.
const deadAfter = 2

// New makes an empty watch.
func New(cfg Config) *Watch { return &Watch{cfg: cfg, boxes: map[Box]*box{}} }

// State tells where a box stands.
func (w *Watch) State(b Box) State {
	if x := w.boxes[b]; x != nil {
		return x.state
	}
	return Idle
}

// Sessions is the number of sessions that play at a box.
func (w *Watch) Sessions(b Box) int {
	if x := w.boxes[b]; x != nil {
		return len(x.placed)
	}
	return 0
}

// Step takes the events of one moment and appends the actions to out.
func (w *Watch) Step(now float64, events []Event, out []Action) []Action {
	w.now, w.out = now, out
	for i := range events {
		ev := &events[i]
		if ev.Kind == Tick {
			w.tick()
			continue
		}
		x := w.boxes[ev.Box]
		if x == nil {
			if ev.Kind != Expect && ev.Kind != Placed {
				continue
			}
			x = &box{id: ev.Box, expected: map[Session]bool{}, placed: map[Session]float64{}}
			w.boxes[ev.Box] = x
			i, _ := slices.BinarySearchFunc(w.order, x, func(a, b *box) int { return cmp.Compare(a.id, b.id) })
			w.order = slices.Insert(w.order, i, x)
		}
		w.fact(x, ev)
	}
	out, w.out = w.out, nil
	return out
}

func (w *Watch) fact(x *box, ev *Event) {
	switch ev.Kind {
	case Expect:
		x.expected[ev.Session] = true
		if x.state == Idle || x.state == Lost { // lost: the module sends there again, so it may be back
			w.open(x)
		}
	case Placed: // its answer is a proof of life as good as a note
		delete(x.expected, ev.Session)
		x.placed[ev.Session] = w.now
		x.heard = math.Max(x.heard, w.now)
		if x.state == Idle || x.state == Lost {
			w.open(x)
		}
	case Gone:
		delete(x.expected, ev.Session)
		delete(x.placed, ev.Session)
		if x.unused() {
			x.empty = w.now
		}
	case Hello:
		if x.state == Opening {
			w.hello(x, ev)
		}
	case Heard:
		if x.state == Up {
			x.heard = w.now
		}
	case Broke:
		if x.state == Opening || x.state == Up {
			x.refusals++
			if !ev.Refused {
				x.refusals = 0
			}
			w.broke(x)
		}
	}
}

func (x *box) unused() bool { return len(x.expected) == 0 && len(x.placed) == 0 }

func (w *Watch) open(x *box) {
	if x.state == Idle || x.state == Lost {
		x.heard, x.pause, x.refusals = w.now, 0, 0
	}
	x.state, x.asked = Opening, w.now
	w.out = append(w.out, Action{Kind: Open, Box: x.id})
}

// hello sets what the box runs against what this director believes. Only sessions placed before the stream
// was asked for can be missed: the box may have written its list before a younger one was set up.
func (w *Watch) hello(x *box, ev *Event) {
	x.state, x.heard, x.pause, x.boot, x.refusals = Up, w.now, 0, ev.Boot, 0
	there := make(map[Session]bool, len(ev.Sessions))
	for _, s := range ev.Sessions {
		there[s] = true
		if _, ok := x.placed[s]; !ok && !x.expected[s] {
			w.out = append(w.out, Action{Kind: Orphan, Box: x.id, Session: s})
		}
	}
	for _, s := range sorted(x.placed) {
		if !there[s] && x.placed[s] < x.asked {
			w.lose(x, s)
		}
	}
}

func sorted(m map[Session]float64) []Session {
	out := make([]Session, 0, len(m))
	for s := range m {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

func (w *Watch) lose(x *box, s Session) {
	delete(x.placed, s)
	w.out = append(w.out, Action{Kind: Lose, Box: x.id, Session: s})
	if x.unused() {
		x.empty = w.now
	}
}

func (w *Watch) broke(x *box) {
	x.state = Broken
	x.pause = math.Min(math.Max(x.pause*2, w.cfg.RetryMs), w.cfg.MaxRetry)
	x.retry = w.now + x.pause
	if x.unused() {
		x.state = Idle
	}
}

func (w *Watch) tick() {
	for _, x := range w.order {
		switch x.state {
		case Opening:
			if w.now-x.asked > w.cfg.OpenMs {
				w.out = append(w.out, Action{Kind: Shut, Box: x.id})
				w.broke(x)
			}
		case Up:
			if w.now-x.heard > w.cfg.SilentMs {
				w.out = append(w.out, Action{Kind: Shut, Box: x.id})
				w.broke(x)
			} else if x.unused() && w.now-x.empty > w.cfg.IdleMs {
				w.out = append(w.out, Action{Kind: Shut, Box: x.id})
				x.state = Idle
			}
		}
		dead := w.now-x.heard > w.cfg.LostMs || x.refusals >= deadAfter
		if (x.state == Broken || x.state == Opening) && len(x.placed) > 0 && dead {
			w.out = append(w.out, Action{Kind: Down, Box: x.id, Count: len(x.placed)})
			for _, s := range sorted(x.placed) {
				w.lose(x, s)
			}
			if x.state == Opening {
				w.out = append(w.out, Action{Kind: Shut, Box: x.id})
			}
			x.state = Lost
		}
		if x.state == Broken && w.now >= x.retry {
			if x.unused() {
				x.state = Idle
			} else {
				w.open(x)
			}
		}
		if x.state == Lost && len(x.expected) > 0 { // the module sends there again: it may be back
			w.open(x)
		}
	}
	// A box that is long unused is forgotten, so that the table follows the fleet and not its history.
	w.order = slices.DeleteFunc(w.order, func(x *box) bool {
		old := (x.state == Idle || x.state == Lost) && x.unused() && w.now-x.empty > 10*w.cfg.IdleMs
		if old {
			delete(w.boxes, x.id)
		}
		return old
	})
}
