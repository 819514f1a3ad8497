// Package attempt decides the outcome of one set-up sent to a media node, from what was observed on its connection:
// it plays, it provably never ran, or its outcome cannot be known. It is the only place that decides whether an
// attempt is proven not to have run.
//
// The package is pure: events, in the order of their time, go in by Step, actions come out. It does no I/O and reads
// no clock.
//
// Only two things prove that nothing ran: no byte of the set-up has been written (a connect that failed, a pooled
// connection found closed before the write), or the media node's own answer. A connection that closes after a single
// byte proves nothing.
//
// States and what the events do in them; an event that is not listed changes nothing:
//
//	Waiting       a connection is being opened, or a pooled one is about to be written on
//	              Start: Write on a pooled connection, else Dial. Connected: Write.
//	              BytesWritten: Sent, if at least one byte.
//	              ConnectionClosed: Dial if it was a pooled connection; else Closed, NeverSent.
//	              DeadlineExceeded, Cancelled: Closed, NeverSent, CloseConnection.
//	Sent          at least one byte of the set-up has been written, and no answer has arrived
//	              ResponseHead: Answering.
//	              ResponseComplete: Playing or Settled, with the answer's outcome and KeepConnection.
//	              ConnectionClosed: Closed, Reset.
//	              DeadlineExceeded, Cancelled: TimedOut or Cancelled; a Paid attempt is then AwaitingLate,
//	              any other Closed, with CloseConnection.
//	Answering     the head of the answer has arrived; events as in Sent
//	Playing       the media node answered that the session plays; nothing more is expected
//	Settled       the outcome, not Playing, has been reported; nothing more is expected
//	AwaitingLate  the attempt timed out or was cancelled, but the connection stays open for a late answer
//	              ResponseComplete: Closed, KeepConnection, and ReportLateSuccess or ReportNeverRan if it proves one.
//	              ConnectionClosed: Closed. LateWindowOver: Closed, CloseConnection.
//	Closed        nothing more can be learned
package attempt

import "fmt"

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	Start            EventKind = iota // Reused: a pooled connection is available, else one is to be opened
	Connected                         // the new connection is established
	BytesWritten                      // Bytes of the set-up that the kernel has accepted so far
	ResponseHead                      // Status: the head of the answer has arrived
	ResponseComplete                  // Status, NeverRan: the whole answer has arrived
	ConnectionClosed                  // the connection closed or could not be opened
	DeadlineExceeded                  // the attempt's time limit has passed
	Cancelled                         // the caller gives the attempt up
	LateWindowOver                    // the time to wait for a late answer has passed
)

// Event is one observation about the connection.
type Event struct {
	Kind     EventKind
	Reused   bool
	Bytes    int64
	Status   int  // HTTP status code; callers with another protocol give the equivalent one
	NeverRan bool // the media node answered that nothing of this set-up ran
}

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes. OutcomeFull and OutcomeNeverSent prove that nothing ran.
const (
	OutcomeNone Outcome = iota
	OutcomePlaying
	OutcomeFull      // the media node answered that it is full and nothing ran
	OutcomeNeverSent // no byte of the set-up was written: the connect failed, or the attempt ended before
	OutcomeError     // an answer that is not a success and proves nothing
	OutcomeReset     // the connection closed after a byte had been written
	OutcomeTimedOut
	OutcomeCancelled
)

// outcomeNames are the external names of the outcomes, also in metrics and logs, in the order of the constants.
var outcomeNames = [...]string{"none", "plays", "full", "connect_failed", "error", "reset", "timed_out", "cancelled"}

func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan tells whether the outcome proves that nothing ran.
func (o Outcome) NeverRan() bool { return o == OutcomeFull || o == OutcomeNeverSent }

// ActionKind tells what the caller is to do.
type ActionKind uint8

// The kinds of actions.
const (
	Dial              ActionKind = iota // open a new connection: none was pooled, or it closed before the write
	Write                               // write the set-up
	ReportOutcome                       // report Outcome to the decision module
	KeepConnection                      // the connection can go back to the pool
	CloseConnection                     // close the connection
	ReportLateSuccess                   // after ReportOutcome: the media node answered that the session plays
	ReportNeverRan                      // after ReportOutcome: the media node answered that nothing ran
)

// Action is one thing for the caller to do.
type Action struct {
	Kind    ActionKind
	Outcome Outcome // of ReportOutcome
}

// State is the state of an attempt; see the package comment.
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

// stateNames are the external names of the states, also in metrics and logs, in the order of the constants.
var stateNames = [...]string{"waiting", "sent", "answering", "playing", "settled", "listening", "closed"}

func (s State) String() string { return stateNames[s] }

// Attempt is the state of one set-up sent to a media node. The zero value is ready for Start.
type Attempt struct {
	// Paid attempts are those of a class whose set-ups must not run twice (headmill.AtMostOnce). After their time
	// limit they wait for a late answer: a late success must be known, as the session must not be set up again. The
	// connections of others are closed, so that the media node stops its work.
	Paid    bool
	state   State
	outcome Outcome
	reused  bool // the current connection came from the pool
	redials int
}

// State returns the state of the attempt.
func (a *Attempt) State() State { return a.state }

// Outcome returns the reported outcome, OutcomeNone before there is one.
func (a *Attempt) Outcome() Outcome { return a.outcome }

// Step handles one event and appends the resulting actions to out.
func (a *Attempt) Step(ev Event, out []Action) []Action {
	switch a.state {
	case StateWaiting:
		return a.stepWaiting(ev, out)
	case StateSent, StateAnswering:
		return a.stepSent(ev, out)
	case StateAwaitingLate:
		return a.stepAwaitingLate(ev, out)
	}
	return out // the connection is pooled or closed: later events belong to other attempts
}

func (a *Attempt) stepWaiting(ev Event, out []Action) []Action {
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
		// The media node had closed the pooled connection in the meantime: no byte was written, so the set-up can
		// still be sent. It is redialled only once: a second close is the media node's fault, not the pool's.
		if a.reused && a.redials == 0 {
			a.reused = false
			a.redials++
			return append(out, Action{Kind: Dial})
		}
		return a.settle(OutcomeNeverSent, StateClosed, out)
	case DeadlineExceeded:
		return append(a.settle(OutcomeNeverSent, StateClosed, out), Action{Kind: CloseConnection})
	case Cancelled:
		return append(a.settle(OutcomeNeverSent, StateClosed, out), Action{Kind: CloseConnection})
	}
	return out
}

func (a *Attempt) stepSent(ev Event, out []Action) []Action {
	switch ev.Kind {
	case ResponseHead:
		a.state = StateAnswering
	case ResponseComplete:
		return append(a.settle(responseOutcome(ev), StateSettled, out), Action{Kind: KeepConnection})
	case ConnectionClosed:
		return a.settle(OutcomeReset, StateClosed, out)
	case DeadlineExceeded, Cancelled:
		outcome := OutcomeTimedOut
		if ev.Kind == Cancelled {
			outcome = OutcomeCancelled
		}
		if a.Paid {
			return a.settle(outcome, StateAwaitingLate, out)
		}
		return append(a.settle(outcome, StateClosed, out), Action{Kind: CloseConnection})
	}
	return out
}

// responseOutcome returns the outcome of a complete answer. An answer that is not understood is an error, and the
// set-up may have run.
func responseOutcome(ev Event) Outcome {
	switch {
	case ev.Status == 201: // Created
		return OutcomePlaying
	case ev.Status == 503 && ev.NeverRan: // Service Unavailable
		return OutcomeFull
	}
	return OutcomeError
}

func (a *Attempt) stepAwaitingLate(ev Event, out []Action) []Action {
	switch ev.Kind {
	case ResponseComplete:
		a.state = StateClosed
		out = append(out, Action{Kind: KeepConnection})
		switch responseOutcome(ev) {
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

// settle reports the outcome and enters the next state, which is StatePlaying for a success.
func (a *Attempt) settle(outcome Outcome, next State, out []Action) []Action {
	a.outcome, a.state = outcome, next
	if outcome == OutcomePlaying {
		a.state = StatePlaying
	}
	return append(out, Action{Kind: ReportOutcome, Outcome: outcome})
}

func (a *Attempt) String() string { return fmt.Sprintf("%s, %s", a.state, a.outcome) }
