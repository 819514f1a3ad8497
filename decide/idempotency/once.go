// Package once decides whether a viewer's request is a new wanted session or
// one that is under way, and what is owed to whom. A session token names one
// wanted session by its jti; this ledger holds one entry a jti and sees to it
// that each request gets exactly one answer, and that a set-up of a paid class
// is begun again only where no attempt of it can have run.
//
// It is pure: time and every fact come in by Step, actions go out. It reads no
// clock, opens nothing and starts no goroutine; the same events give the same
// actions. Placing, rungs and further attempts are the module's.
//
// States of an entry, with what a request that comes meanwhile gets:
//
//	Asked    a set-up is wanted or out      joins: the same answer as the others
//	Playing  the session plays              the same session again
//	Spare    it plays, no viewer was told   the session; else it is ended after HoldMs
//	Lost     may have run, no word yet      paid: failed, no promise. Others: begun again
//	Over     it ran and has ended           paid: over. Others: begun again
//	Void     proven never to have run       begun again
package idempotency

import (
	"cmp"
	"slices"
)

// Waiter names one viewer request that is owed an answer; the caller never uses a number twice.
type RequestID uint64

// Session names one session, unique for the caller's life.
type SessionID uint32

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	RequestArrived     EventKind = iota // Waiter, Key, Print, Paid, Tied, AgeMs, LeftMs, Session: the number to use if it begins
	RequestCancelled                    // Waiter: the viewer closed its connection
	SetupSucceeded                      // Session: its set-up has been answered, it plays
	SetupRefused                        // Session, RetryMs: the module's final word, nothing ran
	SetupFailed                         // Session, Why: the module's final word, no promise
	SessionEnded                        // Session: a session that played has ended
	LateSuccess                         // Session: an attempt that was given up plays after all
	ProvenNeverRan                      // Session: an attempt that was given up is now known never to have run
	ConnectionAttached                  // Session: a connection holds it
	ConnectionDetached                  // Session: one that did is gone
	EndRequested                        // Key, Print: its viewer wants it ended
	Tick                                // time passes
)

// Event is one fact.
type Event struct {
	Kind            EventKind
	Request         RequestID
	Key             string // jti
	Fingerprint     uint64 // fingerprint of what the token asks for: title, class, viewer
	Paid            bool
	ConnectionBound bool    // if it begins, it lives only while a connection holds it, and TieMs longer
	TokenAgeMs      float64 // since the token was issued
	TokenTTLMs      float64 // until the token expires
	Session         SessionID
	RetryAfterMs    float64
	Reason          Reason
}

// Reason tells why a request is answered as it is.
type Reason uint8

// The reasons.
const (
	ReasonNone             Reason = iota
	ReasonNodeFailed              // the box failed or broke off
	ReasonTimeout                 // no answer within the viewer's time
	ReasonOutcomeUnknown          // an earlier try may have run; nobody knows yet
	ReasonSessionEnded            // the paid session has run and ended
	ReasonBeforeRestart           // an earlier run of this director may have set it up
	ReasonOtherDirector           // another director answers for this token
	ReasonTokenReused             // the token's jti names another wish
	ReasonLedgerFull              // the ledger is at its cap
	ReasonTooManyWaiting          // too many requests wait for this one session
	ReasonPlacementRefused        // the module refused it
	ReasonShuttingDown            // this director is stopping
)

var reasonNames = [...]string{"none", "box", "time", "unknown", "over", "earlier", "other", "reused", "full",
	"crowd", "refused", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	StartSetup    ActionKind = iota // Session, Waiter: ask the module for a set-up
	AnswerPlaying                   // Waiter, Session: answer with the session's manifest
	AnswerRefused                   // Waiter, Session (0: none begun), Reason, RetryMs: nothing ran; trying again is harmless
	AnswerFailed                    // Waiter, Session (0: none begun), Reason: failed, no promise
	Redirect                        // Waiter, Home: the director that answers for this token
	AbandonSetup                    // Session: nobody waits for it any more
	AdoptSession                    // Session: it plays though its set-up was given up; hand it to the module
	EndSession                      // Session: end it at its box
	ForgetSession                   // Session: nothing refers to it any more
)

// Action is one thing the caller is to do.
type Action struct {
	Kind         ActionKind
	Request      RequestID
	Session      SessionID
	Reason       Reason
	RetryAfterMs float64
	Owner        int
}

// Config bounds the ledger. Times are ms.
type Config struct {
	Self            int      // this director's number
	Directors       []string // names of all, alike at every director; they share out the paid tokens
	MaxEntries      int      // entries in all
	MaxWaiters      int      // requests that may wait for one session
	UnclaimedTTLMs  float64  // how long a session that no viewer has been told of is kept
	DetachedTTLMs   float64  // how long a tied session outlives its last connection
	ClockSkewMs     float64  // how far the issuer's clock may differ
	RetryAfterMs    float64  // advice where the ledger itself refuses
	LateAnswerMs    float64  // how long a paid entry outlives its token: late answers of boxes
	StartedMs       float64  // the time of Step at which this director began to take requests
	FirstStart      bool     // no earlier run of this director can have taken tokens
	ShardPaid       bool     // paid tokens are taken by their home only; needs Directors
	SweepIntervalMs float64  // how often Tick looks at all entries [250]
}

// State is where an entry stands; see the package comment.
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

var stateNames = [...]string{"asked", "playing", "spare", "lost", "over", "void"}

func (s State) String() string { return stateNames[s] }

type entry struct {
	key     string
	print   uint64
	session SessionID
	paid    bool
	adopted bool // the module knows the session as playing
	tied    bool // it needs a connection that holds it
	quit    bool // its viewer wanted it ended while its set-up was out
	ties    int
	lapse   float64 // tied, and no connection holds it: when it is ended
	state   State
	why     Reason
	waiters []RequestID
	until   float64 // Spare: when it is ended; paid: when the entry may be forgotten
	hold    float64
}

// Ledger is the state. It is for one goroutine.
type Ledger struct {
	cfg       Config
	now       float64
	out       []Action
	byKey     map[string]*entry
	bySession map[SessionID]*entry
	byWaiter  map[RequestID]*entry
	swept     float64
	stopping  bool
}

// New makes an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.SweepIntervalMs <= 0 {
		cfg.SweepIntervalMs = 250
	}
	return &Ledger{cfg: cfg, byKey: map[string]*entry{}, bySession: map[SessionID]*entry{},
		byWaiter: map[RequestID]*entry{}}
}

// Entries and Waiting are the sizes of the ledger.
func (l *Ledger) Entries() int { return len(l.byKey) }

// Waiting is the number of requests that are owed an answer.
func (l *Ledger) Waiting() int { return len(l.byWaiter) }

// Lookup tells an entry's session and state.
func (l *Ledger) Lookup(key string) (SessionID, State, bool) {
	if e := l.byKey[key]; e != nil {
		return e.session, e.state, true
	}
	return 0, 0, false
}

// Stop makes the ledger refuse all that would begin a set-up. What is under way is answered as always.
func (l *Ledger) Stop() { l.stopping = true }

// Step takes the events of one moment and appends the actions to out. now must not run backwards.
func (l *Ledger) Step(now float64, events []Event, out []Action) []Action {
	l.now, l.out = now, out
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case RequestArrived:
			l.ask(ev)
		case RequestCancelled:
			l.left(ev.Request)
		case Tick:
			l.sweep()
		case EndRequested:
			if e := l.byKey[ev.Key]; e != nil && e.print == ev.Fingerprint {
				l.quit(e)
			}
		default:
			if e := l.bySession[ev.Session]; e != nil {
				l.fact(e, ev)
			}
		}
	}
	out, l.out = l.out, nil
	return out
}

// ask finds the entry of a token and answers, joins or begins.
func (l *Ledger) ask(ev *Event) {
	e := l.byKey[ev.Key]
	if e == nil {
		l.first(ev)
		return
	}
	if e.print != ev.Fingerprint { // one jti for two wishes: the issuer's fault; joining them would play the wrong title
		l.fail(ev.Request, e.session, ReasonTokenReused)
		return
	}
	if e.paid {
		e.until = max(e.until, l.now+ev.TokenTTLMs+l.cfg.LateAnswerMs)
	}
	switch e.state {
	case StatePending:
		if len(e.waiters) >= l.cfg.MaxWaiters {
			l.fail(ev.Request, e.session, ReasonTooManyWaiting) // an attempt is out: no promise about it
			return
		}
		l.join(e, ev.Request)
	case StatePlaying:
		e.lapse = l.now + l.cfg.DetachedTTLMs // taken up again: its new connection has time to hold it
		l.out = append(l.out, Action{Kind: AnswerPlaying, Request: ev.Request, Session: e.session})
	case StateUnclaimed:
		e.state, e.lapse = StatePlaying, l.now+l.cfg.DetachedTTLMs
		if !e.adopted {
			e.adopted = true
			l.out = append(l.out, Action{Kind: AdoptSession, Session: e.session})
		}
		l.out = append(l.out, Action{Kind: AnswerPlaying, Request: ev.Request, Session: e.session})
	case StateOutcomeUnknown:
		if e.paid { // never again by guess: only a box's own word or a late answer changes this
			l.fail(ev.Request, e.session, cmp.Or(e.why, ReasonOutcomeUnknown))
			return
		}
		l.again(e, ev)
	case StateEnded:
		if e.paid {
			l.fail(ev.Request, e.session, ReasonSessionEnded)
			return
		}
		l.again(e, ev)
	case StateNeverRan:
		l.again(e, ev)
	}
}

// Begins tells whether an Ask at now would begin a set-up. Only such a request may be refused for want of room
// before the ledger hears of it: refusing any other would promise that nothing ran.
func (l *Ledger) WouldStartSetup(now float64, ev *Event) bool {
	if e := l.byKey[ev.Key]; e != nil {
		return e.print == ev.Fingerprint && (e.state == StateNeverRan || !e.paid && (e.state == StateOutcomeUnknown || e.state == StateEnded))
	}
	return !l.stopping && l.home(ev) == l.cfg.Self && !l.earlier(now, ev)
}

// home is the director that answers for a token.
func (l *Ledger) home(ev *Event) int {
	if !ev.Paid || !l.cfg.ShardPaid {
		return l.cfg.Self
	}
	return Owner(ev.Key, l.cfg.Directors)
}

// earlier tells whether a paid token was issued before this director started: its predecessor may have set it
// up, and its ledger is gone.
func (l *Ledger) earlier(now float64, ev *Event) bool {
	return ev.Paid && !l.cfg.FirstStart && ev.TokenAgeMs+l.cfg.ClockSkewMs >= now-l.cfg.StartedMs
}

// first handles a token that the ledger does not know.
func (l *Ledger) first(ev *Event) {
	if home := l.home(ev); home != l.cfg.Self {
		l.out = append(l.out, Action{Kind: Redirect, Request: ev.Request, Owner: home, Reason: ReasonOtherDirector})
		return
	}
	if l.earlier(l.now, ev) {
		l.fail(ev.Request, 0, ReasonBeforeRestart)
		return
	}
	if l.stopping {
		l.refuse(ev.Request, 0, ReasonShuttingDown, l.cfg.RetryAfterMs)
		return
	}
	if len(l.byKey) >= l.cfg.MaxEntries && !l.reclaim() {
		l.refuse(ev.Request, 0, ReasonLedgerFull, l.cfg.RetryAfterMs)
		return
	}
	e := &entry{key: ev.Key, print: ev.Fingerprint, paid: ev.Paid, until: l.now + ev.TokenTTLMs + l.cfg.LateAnswerMs}
	l.byKey[ev.Key] = e
	l.begin(e, ev)
}

// again begins anew for an entry whose earlier session is known to be over, void or repeatable.
func (l *Ledger) again(e *entry, ev *Event) {
	if l.stopping {
		l.refuse(ev.Request, 0, ReasonShuttingDown, l.cfg.RetryAfterMs)
		return
	}
	l.forget(e.session)
	l.begin(e, ev)
}

func (l *Ledger) begin(e *entry, ev *Event) {
	e.session, e.state, e.why, e.adopted = ev.Session, StatePending, ReasonNone, false
	e.tied, e.quit, e.ties = ev.ConnectionBound, false, 0
	l.bySession[e.session] = e
	l.join(e, ev.Request)
	l.out = append(l.out, Action{Kind: StartSetup, Session: e.session, Request: ev.Request})
}

func (l *Ledger) join(e *entry, w RequestID) {
	e.waiters = append(e.waiters, w)
	l.byWaiter[w] = e
}

func (l *Ledger) forget(s SessionID) {
	if _, ok := l.bySession[s]; ok {
		delete(l.bySession, s)
		l.out = append(l.out, Action{Kind: ForgetSession, Session: s})
	}
}

func (l *Ledger) refuse(w RequestID, s SessionID, why Reason, retry float64) {
	l.out = append(l.out, Action{Kind: AnswerRefused, Request: w, Session: s, Reason: why, RetryAfterMs: retry})
}

func (l *Ledger) fail(w RequestID, s SessionID, why Reason) {
	l.out = append(l.out, Action{Kind: AnswerFailed, Request: w, Session: s, Reason: why})
}

// left takes a viewer out. The set-up goes on: a paid one can't be taken back, and a viewer that lost its
// connection mostly comes again with the same token.
func (l *Ledger) left(w RequestID) {
	e := l.byWaiter[w]
	if e == nil {
		return
	}
	delete(l.byWaiter, w)
	e.waiters = slices.DeleteFunc(e.waiters, func(o RequestID) bool { return o == w })
	if len(e.waiters) == 0 && e.state == StatePending {
		l.out = append(l.out, Action{Kind: AbandonSetup, Session: e.session})
	}
}

// release takes all waiters off an entry, in the order in which they came.
func (l *Ledger) release(e *entry) []RequestID {
	ws := e.waiters
	e.waiters = nil
	for _, w := range ws {
		delete(l.byWaiter, w)
	}
	return ws
}

// fact takes what became of a session. A fact that does not fit the state is passed over: it came twice, or
// after one that overrules it.
func (l *Ledger) fact(e *entry, ev *Event) {
	switch ev.Kind {
	case SetupSucceeded:
		if e.state != StatePending {
			return
		}
		e.adopted = true
		if e.quit {
			l.finish(e)
			return
		}
		if len(e.waiters) == 0 {
			l.spare(e)
			return
		}
		e.state, e.lapse = StatePlaying, l.now+l.cfg.DetachedTTLMs
		for _, w := range l.release(e) {
			l.out = append(l.out, Action{Kind: AnswerPlaying, Request: w, Session: e.session})
		}
	case SetupRefused:
		if e.state != StatePending {
			return
		}
		e.state = StateNeverRan
		for _, w := range l.release(e) {
			l.refuse(w, e.session, ReasonPlacementRefused, ev.RetryAfterMs)
		}
		l.drop(e)
	case SetupFailed:
		if e.state != StatePending {
			return
		}
		e.state, e.why = StateOutcomeUnknown, ev.Reason
		for _, w := range l.release(e) {
			l.fail(w, e.session, cmp.Or(ev.Reason, ReasonNodeFailed))
		}
		l.drop(e)
	case LateSuccess: // an answer after the time-out: the session that a retry may still have
		if e.state == StateOutcomeUnknown && e.paid {
			e.adopted = false
			l.spare(e)
			return
		}
		l.out = append(l.out, Action{Kind: EndSession, Session: e.session})
	case ProvenNeverRan:
		if e.state == StateOutcomeUnknown {
			e.state, e.why = StateNeverRan, ReasonNone
			l.drop(e)
		}
	case ConnectionAttached:
		e.ties++
	case ConnectionDetached:
		if e.ties = max(e.ties-1, 0); e.ties == 0 {
			e.lapse = l.now + l.cfg.DetachedTTLMs
		}
	case SessionEnded:
		if e.state == StatePlaying || e.state == StateUnclaimed {
			e.state = StateEnded
			l.drop(e)
		}
	}
}

// quit ends a session by its viewer's wish. A set-up that is out can't be taken back: it is ended once it plays.
func (l *Ledger) quit(e *entry) {
	switch e.state {
	case StatePlaying, StateUnclaimed:
		l.finish(e)
	case StatePending:
		e.quit = true
		for _, w := range l.release(e) {
			l.fail(w, e.session, ReasonSessionEnded)
		}
		l.out = append(l.out, Action{Kind: AbandonSetup, Session: e.session})
	}
}

// finish ends a session at its box.
func (l *Ledger) finish(e *entry) {
	e.state = StateEnded
	l.out = append(l.out, Action{Kind: EndSession, Session: e.session})
	l.drop(e)
}

func (l *Ledger) spare(e *entry) {
	e.state, e.hold = StateUnclaimed, l.now+l.cfg.UnclaimedTTLMs
}

// drop forgets an entry whose memory protects nothing: a repeatable one that is not under way. A paid one
// is kept until its token has expired, in whatever state.
func (l *Ledger) drop(e *entry) {
	if e.paid && e.state != StateNeverRan {
		return
	}
	if e.state == StateOutcomeUnknown && !e.paid || e.state == StateEnded || e.state == StateNeverRan {
		delete(l.byKey, e.key)
		l.forget(e.session)
	}
}

// sweep ends spare sessions whose time is over and forgets paid entries whose tokens can't come again.
func (l *Ledger) sweep() {
	if l.now-l.swept < l.cfg.SweepIntervalMs {
		return
	}
	l.swept = l.now
	var due []*entry
	for _, e := range l.byKey {
		lapsed := e.state == StatePlaying && e.tied && e.ties == 0 && l.now >= e.lapse
		if lapsed || e.state == StateUnclaimed && l.now >= e.hold || e.paid && l.now >= e.until &&
			(e.state == StateOutcomeUnknown || e.state == StateEnded || e.state == StateNeverRan) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Compare(a.session, b.session) })
	for _, e := range due {
		if e.state == StateUnclaimed || e.state == StatePlaying {
			l.finish(e)
			continue
		}
		delete(l.byKey, e.key)
		l.forget(e.session)
	}
}

// reclaim makes room for one entry by forgetting one that is not under way and whose token has expired.
// Others are never pushed out: a flood of tokens must not make the ledger forget a paid set-up.
func (l *Ledger) reclaim() bool {
	before := len(l.byKey)
	l.swept = 0
	l.sweep()
	return len(l.byKey) < before
}
