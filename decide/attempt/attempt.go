// Package attempt decides what became of one set-up sent to a box, from what
// was seen of it on its connection: whether it plays, whether it provably
// never ran, or whether nobody can know. It is the one place where a proof of
// "never ran" is made.
//
// It is pure: every fact comes in by Step, with its time. It does no I/O and
// reads no clock.
//
//	Waiting    a connection is being opened, or one from the pool is to be written on
//	Sent       at least one byte of the set-up has left
//	Answering  the head of the answer has come
//	Playing    the box said that it plays
//	Settled    the outcome is told
//	Listening  given up by time, but the connection is kept for a late word of the box
//	Closed     nothing more can be learned
//
// Only two things prove that nothing ran: no byte of the set-up has left (a
// connect that failed, a kept connection found closed before the write), or the
// box's own word. A connection that breaks after a single byte proves nothing.
package attempt

import "fmt"

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Start            EventKind = iota // Reused: a kept connection was at hand, else one is being opened
	Connected                         // the opened connection stands
	BytesWritten                      // Bytes of the set-up that the kernel has taken so far
	ResponseHead                      // Status of the answer
	ResponseComplete                  // Status, NeverRan: the answer is whole
	ConnectionClosed                  // the connection ended or could not be opened
	DeadlineExceeded                  // the attempt's time is over
	Cancelled                         // the owner gives it up
	LateWindowOver                    // the time for a late word is over
)

// Event is one fact about the connection.
type Event struct {
	Kind     EventKind
	Reused   bool
	Bytes    int64
	Status   int
	NeverRan bool // the box's own word that nothing of this set-up ran
}

// Outcome is the end of an attempt.
type Outcome uint8

// The outcomes. Full and NoConnect prove that nothing ran.
const (
	OutcomeNone Outcome = iota
	OutcomePlaying
	OutcomeFull          // the box's own word
	OutcomeConnectFailed // no byte of the set-up left
	OutcomeError         // an answer that is no success and proves nothing
	OutcomeReset         // the connection broke after a byte had left
	OutcomeTimedOut
	OutcomeCancelled
)

var outcomeNames = [...]string{"none", "plays", "full", "connect_failed", "error", "reset", "timed_out", "cancelled"}

func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan tells whether the outcome is a proof.
func (o Outcome) NeverRan() bool { return o == OutcomeFull || o == OutcomeConnectFailed }

// ActionKind is what the caller is to do.
type ActionKind uint8

// The actions.
const (
	Dial              ActionKind = iota // open a new connection: the kept one had closed, and nothing was written
	Write                               // write the set-up
	ReportOutcome                       // tell the module: Outcome
	KeepConnection                      // the connection can go back to the pool
	CloseConnection                     // close the connection
	ReportLateSuccess                   // after Settle: the box says that it plays
	ReportNeverRan                      // after Settle: the box says that it never ran
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Outcome Outcome
}

// State is where an attempt stands.
type State uint8

// The states.
const (
	StateWaiting State = iota
	StateSent
	StateAnswering
	StatePlaying
	StateSettled
	StateAwaitingLate
	StateClosed
)

var stateNames = [...]string{"waiting", "sent", "answering", "playing", "settled", "listening", "closed"}

func (s State) String() string { return stateNames[s] }

// Attempt is one set-up.
type Attempt struct {
	// Paid attempts are listened to after their time is over: a late "it plays" is worth knowing, since
	// the session can't be set up again. Others are cut, so that the box stops its work.
	Paid    bool
	state   State
	outcome Outcome
	reused  bool
	redials int
}

// State tells where the attempt stands.
func (a *Attempt) State() State { return a.state }

// Outcome is None until it is settled.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Step takes one fact and appends what is to be done.
func (a *Attempt) Step(ev Event, out []Action) []Action {
	switch a.state {
	case StateWaiting:
		return a.waiting(ev, out)
	case StateSent, StateAnswering:
		return a.sent(ev, out)
	case StateAwaitingLate:
		return a.listening(ev, out)
	}
	return out // settled, and the connection is pooled or gone: later facts are of other attempts
}

func (a *Attempt) waiting(ev Event, out []Action) []Action {
	switch ev.Kind {
	case Start:
		a.reused = ev.Reused
		if ev.Reused {
			return append(out, Action{Kind: Write})
		}
		return append(out, Action{Kind: Dial})
	case Connected:
		return append(out, Action{Kind: Write})
	case BytesWritten:
		if ev.Bytes > 0 {
			a.state = StateSent
		}
	case ConnectionClosed:
		// A kept connection that the box had closed in the meantime: no byte left, so the attempt is still
		// to be made. Once only: a second break is the box's fault and not the pool's.
		if a.reused && a.redials == 0 {
			a.reused = false
			a.redials++
			return append(out, Action{Kind: Dial})
		}
		return a.settle(OutcomeConnectFailed, StateClosed, out)
	case DeadlineExceeded:
		return append(a.settle(OutcomeConnectFailed, StateClosed, out), Action{Kind: CloseConnection})
	case Cancelled:
		return append(a.settle(OutcomeConnectFailed, StateClosed, out), Action{Kind: CloseConnection})
	}
	return out
}

func (a *Attempt) sent(ev Event, out []Action) []Action {
	switch ev.Kind {
	case ResponseHead:
		a.state = StateAnswering
	case ResponseComplete:
		return append(a.settle(judge(ev), StateSettled, out), Action{Kind: KeepConnection})
	case ConnectionClosed:
		return a.settle(OutcomeReset, StateClosed, out)
	case DeadlineExceeded, Cancelled:
		o := OutcomeTimedOut
		if ev.Kind == Cancelled {
			o = OutcomeCancelled
		}
		if a.Paid {
			return a.settle(o, StateAwaitingLate, out)
		}
		return append(a.settle(o, StateClosed, out), Action{Kind: CloseConnection})
	}
	return out
}

// judge reads a whole answer. Anything that is not understood is an error that may have run.
func judge(ev Event) Outcome {
	switch {
	case ev.Status == 201:
		return OutcomePlaying
	case ev.Status == 503 && ev.NeverRan:
		return OutcomeFull
	}
	return OutcomeError
}

func (a *Attempt) listening(ev Event, out []Action) []Action {
	switch ev.Kind {
	case ResponseComplete:
		a.state = StateClosed
		out = append(out, Action{Kind: KeepConnection})
		switch judge(ev) {
		case OutcomePlaying:
			return append(out, Action{Kind: ReportLateSuccess})
		case OutcomeFull:
			return append(out, Action{Kind: ReportNeverRan})
		}
	case ConnectionClosed:
		a.state = StateClosed
	case LateWindowOver:
		a.state = StateClosed
		return append(out, Action{Kind: CloseConnection})
	}
	return out
}

func (a *Attempt) settle(o Outcome, next State, out []Action) []Action {
	a.outcome, a.state = o, next
	if o == OutcomePlaying {
		a.state = StatePlaying
	}
	return append(out, Action{Kind: ReportOutcome, Outcome: o})
}

func (a *Attempt) String() string { return fmt.Sprintf("%s, %s", a.state, a.outcome) }
