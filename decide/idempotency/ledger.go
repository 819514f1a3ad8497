// Package idempotency decides whether a viewer's request starts a new session or belongs to one that exists
// already. A session token identifies one requested session by its jti, the idempotency key. The ledger holds
// one entry for each key; it makes sure that every request gets exactly one answer and that a set-up of a paid
// class is started again only where no attempt of it can have run. Paid classes are those whose set-ups must not
// run twice (headmill.AtMostOnce).
//
// The package is pure: time and events go in by Step, actions come out. It reads no clock, does no I/O and
// starts no goroutine; the same events give the same actions. Placement, rungs and further attempts of a set-up
// are decided by the decision module (package headmill), not here.
//
// States of an entry, and what a request with the same key gets:
//
//	state           meaning                                   a request gets
//	Pending         a set-up is wanted or in progress         the same answer as the other waiting requests;
//	                                                          AnswerFailed once its end was requested
//	Playing         the session plays                         the same session
//	Unclaimed       it plays, but no viewer has its answer    the same session; the entry is then Playing
//	OutcomeUnknown  it may have run; no answer so far         paid: AnswerFailed; others: a new set-up
//	Ended           it ran and has ended                      paid: AnswerFailed; others: a new set-up
//	NeverRan        it is proven not to have run              a new set-up; the entry is forgotten in the same Step
//
// A request whose fingerprint differs from that of the entry is failed in every state, and an EndRequested with
// another fingerprint is ignored.
//
// What the other events do, by state; an event that is not listed changes nothing:
//
//	Pending         SetupSucceeded: Playing and all waiting requests answered; Unclaimed if none waits;
//	                Ended, with EndSession, if its end has been requested.
//	                SetupRefused: NeverRan, waiting requests refused.
//	                SetupFailed: OutcomeUnknown, waiting requests failed.
//	                RequestCancelled: the request no longer waits; AbandonSetup after the last one.
//	                EndRequested: waiting requests failed, AbandonSetup.
//	Playing         SessionEnded: Ended. EndRequested: Ended, with EndSession.
//	                Tick: the same for a connection-bound session without a connection for DetachedTTLMs.
//	Unclaimed       SessionEnded: Ended. EndRequested: Ended, with EndSession.
//	                Tick: the same after UnclaimedTTLMs.
//	OutcomeUnknown  LateSuccess: Unclaimed if paid. ProvenNeverRan: NeverRan.
//	any             ConnectionAttached, ConnectionDetached: counted.
//	                LateSuccess that is not handled above: EndSession.
//
// An entry is forgotten as soon as it is not needed to prevent a second set-up: any in NeverRan, and one that is
// not paid in OutcomeUnknown or Ended. A paid entry in these two states is forgotten by a Tick, LateAnswerMs after
// its token has expired.
package idempotency

import (
	"cmp"
	"slices"
)

// RequestID identifies one viewer request that waits for an answer. The caller never uses an ID twice.
type RequestID uint64

// SessionID identifies one session and is unique for the lifetime of the caller.
type SessionID uint32

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	// RequestArrived: Request, Key, Fingerprint, Paid, ConnectionBound, TokenAgeMs, TokenTTLMs, and Session, the
	// ID to use if a set-up is started.
	RequestArrived     EventKind = iota
	RequestCancelled             // Request: the viewer closed its connection
	SetupSucceeded               // Session: its set-up has been answered, it plays
	SetupRefused                 // Session, RetryAfterMs: the decision module's final answer, nothing ran
	SetupFailed                  // Session, Reason: the decision module's final answer, it may have run
	SessionEnded                 // Session: a session that played has ended
	LateSuccess                  // Session: an attempt that had been given up plays after all
	ProvenNeverRan               // Session: an attempt that had been given up is now proven not to have run
	ConnectionAttached           // Session: a connection is attached to it
	ConnectionDetached           // Session: an attached connection has closed
	EndRequested                 // Key, Fingerprint: the viewer asks to end the session
	Tick                         // time passes
)

// Event is one input of Step.
type Event struct {
	Kind            EventKind
	Request         RequestID
	Key             string  // jti of the session token
	Fingerprint     uint64  // of what the token asks for: title, class, viewer
	Paid            bool    // the set-up must not run twice; see the package comment
	ConnectionBound bool    // the new session lives only while a connection is attached, and DetachedTTLMs longer
	TokenAgeMs      float64 // since the token was issued
	TokenTTLMs      float64 // until the token expires
	Session         SessionID
	RetryAfterMs    float64
	Reason          Reason
}

// Reason tells why a request gets its answer.
type Reason uint8

// The reasons.
const (
	ReasonNone             Reason = iota
	ReasonNodeFailed              // the media node failed or closed the connection
	ReasonTimeout                 // no answer within the viewer's time limit
	ReasonOutcomeUnknown          // an earlier attempt may have run; its outcome is not known yet
	ReasonSessionEnded            // the paid session has run and ended
	ReasonBeforeRestart           // an earlier run of this director may have set it up
	ReasonOtherDirector           // another director owns this token
	ReasonTokenReused             // the token's jti already belongs to a different request
	ReasonLedgerFull              // the ledger holds MaxEntries
	ReasonTooManyWaiting          // MaxWaiters requests wait for this session already
	ReasonPlacementRefused        // the decision module refused it
	ReasonShuttingDown            // this director is shutting down
)

// reasonNames are the external names of the reasons, also in metrics and logs, in the order of the constants.
var reasonNames = [...]string{"none", "box", "time", "unknown", "over", "earlier", "other", "reused", "full",
	"crowd", "refused", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of actions, with the fields that each one sets. In AnswerRefused and AnswerFailed, Session is 0 if no
// set-up was started.
const (
	StartSetup    ActionKind = iota // Session, Request: ask the decision module for a set-up
	AnswerPlaying                   // Request, Session: answer with the session's manifest
	AnswerRefused                   // Request, Session, Reason, RetryAfterMs: nothing ran; a retry is harmless
	AnswerFailed                    // Request, Session, Reason: failed; it may have run
	Redirect                        // Request, Reason, Owner: the director that owns this token
	AbandonSetup                    // Session: no request waits for it any more
	AdoptSession                    // Session: it plays though its set-up was given up; pass it to the decision module
	EndSession                      // Session: end it at its media node
	ForgetSession                   // Session: the ledger no longer refers to it
)

// Action is one thing for the caller to do.
type Action struct {
	Kind         ActionKind
	Request      RequestID
	Session      SessionID
	Reason       Reason
	RetryAfterMs float64
	Owner        int // index in Config.Directors
}

// Config has the limits of the ledger. Times are in ms.
type Config struct {
	Self            int      // index of this director in Directors
	Directors       []string // names of all directors, the same list at each; paid tokens are shared out among them
	MaxEntries      int      // entries in the ledger
	MaxWaiters      int      // requests that may wait for one session
	UnclaimedTTLMs  float64  // how long a session is kept that no viewer has an answer for
	DetachedTTLMs   float64  // how long a connection-bound session outlives its last connection
	ClockSkewMs     float64  // largest difference from the token issuer's clock
	RetryAfterMs    float64  // sent where the ledger itself refuses a request
	LateAnswerMs    float64  // how long a paid entry outlives its token, as media nodes may still answer late
	StartedAtMs     float64  // time, as passed to Step, at which this director began to accept requests
	FirstStart      bool     // no earlier run of this director can have accepted tokens
	ShardPaid       bool     // paid tokens are accepted by their owner only; needs Directors
	SweepIntervalMs float64  // least time between two checks of all entries by Tick; 0 means 250
}

// State is the state of an entry; see the package comment.
type State uint8

// The states.
const (
	StatePending State = iota
	StatePlaying
	StateUnclaimed
	StateOutcomeUnknown
	StateEnded
	StateNeverRan
)

// stateNames are the external names of the states, also in metrics and logs, in the order of the constants.
var stateNames = [...]string{"asked", "playing", "spare", "lost", "over", "void"}

func (s State) String() string { return stateNames[s] }

// entry is what the ledger knows about one key.
type entry struct {
	key             string
	fingerprint     uint64
	session         SessionID
	paid            bool
	adopted         bool // the decision module knows that the session plays
	connectionBound bool
	endRequested    bool // its viewer asked to end it while its set-up was in progress
	connections     int  // attached to the session
	detachDeadline  float64
	state           State
	failureReason   Reason
	waiters         []RequestID // in order of arrival
	retainUntil     float64     // a paid entry may be forgotten from then on
	claimDeadline   float64     // an unclaimed session is ended then
}

// Ledger holds the entries. It is not safe for concurrent use.
type Ledger struct {
	cfg         Config
	now         float64
	actions     []Action // output of the current Step
	byKey       map[string]*entry
	bySession   map[SessionID]*entry
	byRequest   map[RequestID]*entry
	lastSweepAt float64
	stopping    bool
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.SweepIntervalMs <= 0 {
		cfg.SweepIntervalMs = 250
	}
	return &Ledger{cfg: cfg, byKey: map[string]*entry{}, bySession: map[SessionID]*entry{},
		byRequest: map[RequestID]*entry{}}
}

// Entries returns the number of entries.
func (l *Ledger) Entries() int { return len(l.byKey) }

// Waiting returns the number of requests that wait for an answer.
func (l *Ledger) Waiting() int { return len(l.byRequest) }

// Lookup returns the session and the state of an entry, and whether the key is known.
func (l *Ledger) Lookup(key string) (SessionID, State, bool) {
	if e := l.byKey[key]; e != nil {
		return e.session, e.state, true
	}
	return 0, 0, false
}

// Stop makes the ledger refuse every request that would start a set-up. Requests for sessions that exist already
// are answered as before.
func (l *Ledger) Stop() { l.stopping = true }

// Step handles the events of one point in time and appends the resulting actions to out. now must not decrease
// between calls.
func (l *Ledger) Step(now float64, events []Event, out []Action) []Action {
	l.now, l.actions = now, out
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case RequestArrived:
			l.handleRequest(ev)
		case RequestCancelled:
			l.cancelRequest(ev.Request)
		case Tick:
			l.sweep()
		case EndRequested:
			if e := l.byKey[ev.Key]; e != nil && e.fingerprint == ev.Fingerprint {
				l.requestEnd(e)
			}
		default:
			if e := l.bySession[ev.Session]; e != nil {
				l.applySessionEvent(e, ev)
			}
		}
	}
	out, l.actions = l.actions, nil
	return out
}

// handleRequest answers a request from the entry of its key, adds it to the waiting requests, or starts a set-up.
func (l *Ledger) handleRequest(ev *Event) {
	e := l.byKey[ev.Key]
	if e == nil {
		l.handleUnknownKey(ev)
		return
	}
	if e.fingerprint != ev.Fingerprint {
		// One jti for two different requests is the issuer's fault; joining them would play the wrong title.
		l.fail(ev.Request, e.session, ReasonTokenReused)
		return
	}
	if e.paid {
		e.retainUntil = max(e.retainUntil, l.now+ev.TokenTTLMs+l.cfg.LateAnswerMs)
	}
	switch e.state {
	case StatePending:
		if e.endRequested { // nobody is answered when the set-up ends
			l.fail(ev.Request, e.session, ReasonSessionEnded)
			return
		}
		if len(e.waiters) >= l.cfg.MaxWaiters {
			l.fail(ev.Request, e.session, ReasonTooManyWaiting) // not refused: an attempt is in progress and may run
			return
		}
		l.addWaiter(e, ev.Request)
	case StatePlaying:
		e.detachDeadline = l.now + l.cfg.DetachedTTLMs // gives the new connection time to attach
		l.actions = append(l.actions, Action{Kind: AnswerPlaying, Request: ev.Request, Session: e.session})
	case StateUnclaimed:
		e.state, e.detachDeadline = StatePlaying, l.now+l.cfg.DetachedTTLMs
		if !e.adopted {
			e.adopted = true
			l.actions = append(l.actions, Action{Kind: AdoptSession, Session: e.session})
		}
		l.actions = append(l.actions, Action{Kind: AnswerPlaying, Request: ev.Request, Session: e.session})
	case StateOutcomeUnknown:
		if e.paid { // never started again on a guess: only the media node's answer, also a late one, changes this
			l.fail(ev.Request, e.session, cmp.Or(e.failureReason, ReasonOutcomeUnknown))
			return
		}
		l.restart(e, ev)
	case StateEnded:
		if e.paid {
			l.fail(ev.Request, e.session, ReasonSessionEnded)
			return
		}
		l.restart(e, ev)
	case StateNeverRan: // not seen here: forgetIfRepeatable has removed the entry
		l.restart(e, ev)
	}
}

// WouldStartSetup tells whether a RequestArrived event at time now would start a set-up. Only such a request may
// be refused for lack of capacity before it is passed to the ledger: refusing any other would promise that
// nothing ran.
func (l *Ledger) WouldStartSetup(now float64, ev *Event) bool {
	if e := l.byKey[ev.Key]; e != nil {
		return e.fingerprint == ev.Fingerprint &&
			(e.state == StateNeverRan || !e.paid && (e.state == StateOutcomeUnknown || e.state == StateEnded))
	}
	return !l.stopping && l.owner(ev) == l.cfg.Self && !l.mayPredateStart(now, ev)
}

// owner returns the index of the director that handles a token.
func (l *Ledger) owner(ev *Event) int {
	if !ev.Paid || !l.cfg.ShardPaid {
		return l.cfg.Self
	}
	return Owner(ev.Key, l.cfg.Directors)
}

// mayPredateStart tells whether a paid token may have been issued before this director started: an earlier run
// may have set it up, and the ledger of that run is lost.
func (l *Ledger) mayPredateStart(now float64, ev *Event) bool {
	return ev.Paid && !l.cfg.FirstStart && ev.TokenAgeMs+l.cfg.ClockSkewMs >= now-l.cfg.StartedAtMs
}

// handleUnknownKey handles a request whose key has no entry.
func (l *Ledger) handleUnknownKey(ev *Event) {
	if owner := l.owner(ev); owner != l.cfg.Self {
		l.actions = append(l.actions,
			Action{Kind: Redirect, Request: ev.Request, Owner: owner, Reason: ReasonOtherDirector})
		return
	}
	if l.mayPredateStart(l.now, ev) {
		l.fail(ev.Request, 0, ReasonBeforeRestart)
		return
	}
	if l.stopping {
		l.refuse(ev.Request, 0, ReasonShuttingDown, l.cfg.RetryAfterMs)
		return
	}
	if len(l.byKey) >= l.cfg.MaxEntries && !l.evictExpired() {
		l.refuse(ev.Request, 0, ReasonLedgerFull, l.cfg.RetryAfterMs)
		return
	}
	e := &entry{key: ev.Key, fingerprint: ev.Fingerprint, paid: ev.Paid,
		retainUntil: l.now + ev.TokenTTLMs + l.cfg.LateAnswerMs}
	l.byKey[ev.Key] = e
	l.startSetup(e, ev)
}

// restart starts a new set-up for an entry whose previous session has ended, never ran, or may be repeated.
func (l *Ledger) restart(e *entry, ev *Event) {
	if l.stopping {
		l.refuse(ev.Request, 0, ReasonShuttingDown, l.cfg.RetryAfterMs)
		return
	}
	l.forgetSession(e.session)
	l.startSetup(e, ev)
}

func (l *Ledger) startSetup(e *entry, ev *Event) {
	e.session, e.state, e.failureReason, e.adopted = ev.Session, StatePending, ReasonNone, false
	e.connectionBound, e.endRequested, e.connections = ev.ConnectionBound, false, 0
	l.bySession[e.session] = e
	l.addWaiter(e, ev.Request)
	l.actions = append(l.actions, Action{Kind: StartSetup, Session: e.session, Request: ev.Request})
}

func (l *Ledger) addWaiter(e *entry, request RequestID) {
	e.waiters = append(e.waiters, request)
	l.byRequest[request] = e
}

func (l *Ledger) forgetSession(session SessionID) {
	if _, ok := l.bySession[session]; ok {
		delete(l.bySession, session)
		l.actions = append(l.actions, Action{Kind: ForgetSession, Session: session})
	}
}

func (l *Ledger) refuse(request RequestID, session SessionID, reason Reason, retryAfterMs float64) {
	l.actions = append(l.actions, Action{Kind: AnswerRefused, Request: request, Session: session, Reason: reason,
		RetryAfterMs: retryAfterMs})
}

func (l *Ledger) fail(request RequestID, session SessionID, reason Reason) {
	l.actions = append(l.actions, Action{Kind: AnswerFailed, Request: request, Session: session, Reason: reason})
}

// cancelRequest removes a waiting request. The set-up goes on: a paid one cannot be taken back, and a viewer that
// lost its connection mostly retries with the same token.
func (l *Ledger) cancelRequest(request RequestID) {
	e := l.byRequest[request]
	if e == nil {
		return
	}
	delete(l.byRequest, request)
	e.waiters = slices.DeleteFunc(e.waiters, func(other RequestID) bool { return other == request })
	if len(e.waiters) == 0 && e.state == StatePending {
		l.actions = append(l.actions, Action{Kind: AbandonSetup, Session: e.session})
	}
}

// takeWaiters removes all waiting requests from an entry and returns them in order of arrival.
func (l *Ledger) takeWaiters(e *entry) []RequestID {
	waiters := e.waiters
	e.waiters = nil
	for _, request := range waiters {
		delete(l.byRequest, request)
	}
	return waiters
}

// applySessionEvent handles an event about a session. An event that does not fit the state is ignored: it is a
// duplicate, or a later event has overruled it.
func (l *Ledger) applySessionEvent(e *entry, ev *Event) {
	switch ev.Kind {
	case SetupSucceeded:
		if e.state != StatePending {
			return
		}
		e.adopted = true
		if e.endRequested {
			l.endSession(e)
			return
		}
		if len(e.waiters) == 0 {
			l.markUnclaimed(e)
			return
		}
		e.state, e.detachDeadline = StatePlaying, l.now+l.cfg.DetachedTTLMs
		for _, request := range l.takeWaiters(e) {
			l.actions = append(l.actions, Action{Kind: AnswerPlaying, Request: request, Session: e.session})
		}
	case SetupRefused:
		if e.state != StatePending {
			return
		}
		e.state = StateNeverRan
		for _, request := range l.takeWaiters(e) {
			l.refuse(request, e.session, ReasonPlacementRefused, ev.RetryAfterMs)
		}
		l.forgetIfRepeatable(e)
	case SetupFailed:
		if e.state != StatePending {
			return
		}
		e.state, e.failureReason = StateOutcomeUnknown, ev.Reason
		for _, request := range l.takeWaiters(e) {
			l.fail(request, e.session, cmp.Or(ev.Reason, ReasonNodeFailed))
		}
		l.forgetIfRepeatable(e)
	case LateSuccess: // the answer came after the timeout; a retry of the viewer can still get this session
		if e.state == StateOutcomeUnknown && e.paid {
			e.adopted = false
			l.markUnclaimed(e)
			return
		}
		l.actions = append(l.actions, Action{Kind: EndSession, Session: e.session})
	case ProvenNeverRan:
		if e.state == StateOutcomeUnknown {
			e.state, e.failureReason = StateNeverRan, ReasonNone
			l.forgetIfRepeatable(e)
		}
	case ConnectionAttached:
		e.connections++
	case ConnectionDetached:
		if e.connections = max(e.connections-1, 0); e.connections == 0 {
			e.detachDeadline = l.now + l.cfg.DetachedTTLMs
		}
	case SessionEnded:
		if e.state == StatePlaying || e.state == StateUnclaimed {
			e.state = StateEnded
			l.forgetIfRepeatable(e)
		}
	}
}

// requestEnd ends a session at its viewer's request. A set-up in progress cannot be taken back; its session is
// ended once it plays.
func (l *Ledger) requestEnd(e *entry) {
	switch e.state {
	case StatePlaying, StateUnclaimed:
		l.endSession(e)
	case StatePending:
		e.endRequested = true
		for _, request := range l.takeWaiters(e) {
			l.fail(request, e.session, ReasonSessionEnded)
		}
		l.actions = append(l.actions, Action{Kind: AbandonSetup, Session: e.session})
	}
}

// endSession ends a session at its media node.
func (l *Ledger) endSession(e *entry) {
	e.state = StateEnded
	l.actions = append(l.actions, Action{Kind: EndSession, Session: e.session})
	l.forgetIfRepeatable(e)
}

func (l *Ledger) markUnclaimed(e *entry) {
	e.state, e.claimDeadline = StateUnclaimed, l.now+l.cfg.UnclaimedTTLMs
}

// forgetIfRepeatable removes an entry that is not needed to prevent a second set-up: its set-up may be repeated and
// none is in progress.
// A paid entry is kept until its token has expired, unless it is proven not to have run.
func (l *Ledger) forgetIfRepeatable(e *entry) {
	if e.paid && e.state != StateNeverRan {
		return
	}
	if e.state == StateOutcomeUnknown && !e.paid || e.state == StateEnded || e.state == StateNeverRan {
		delete(l.byKey, e.key)
		l.forgetSession(e.session)
	}
}

// sweep ends unclaimed and detached sessions whose deadline has passed, and forgets paid entries whose tokens can
// no longer be presented. It does so in the order of the session IDs, as the order of a map is random.
func (l *Ledger) sweep() {
	if l.now-l.lastSweepAt < l.cfg.SweepIntervalMs {
		return
	}
	l.lastSweepAt = l.now
	var due []*entry
	for _, e := range l.byKey {
		detached := e.state == StatePlaying && e.connectionBound && e.connections == 0 && l.now >= e.detachDeadline
		if detached || e.state == StateUnclaimed && l.now >= e.claimDeadline || e.paid && l.now >= e.retainUntil &&
			(e.state == StateOutcomeUnknown || e.state == StateEnded || e.state == StateNeverRan) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Compare(a.session, b.session) })
	for _, e := range due {
		if e.state == StateUnclaimed || e.state == StatePlaying {
			l.endSession(e)
			continue
		}
		delete(l.byKey, e.key)
		l.forgetSession(e.session)
	}
}

// evictExpired makes space for a new entry by sweeping at once: it forgets entries that are not in progress and
// whose tokens have expired. Other entries are never evicted: a flood of tokens must not make the ledger forget a
// paid set-up. It tells whether an entry was removed.
func (l *Ledger) evictExpired() bool {
	before := len(l.byKey)
	l.lastSweepAt = 0
	l.sweep()
	return len(l.byKey) < before
}
