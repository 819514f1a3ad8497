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
package once

import (
	"cmp"
	"slices"
)

// Waiter names one viewer request that is owed an answer; the caller never uses a number twice.
type Waiter uint64

// Session names one session, unique for the caller's life.
type Session uint32

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Ask     EventKind = iota // Waiter, Key, Print, Paid, Tied, AgeMs, LeftMs, Session: the number to use if it begins
	Left                     // Waiter: the viewer closed its connection
	Plays                    // Session: its set-up has been answered, it plays
	Refused                  // Session, RetryMs: the module's final word, nothing ran
	Failed                   // Session, Why: the module's final word, no promise
	Ended                    // Session: a session that played has ended
	Late                     // Session: an attempt that was given up plays after all
	Proven                   // Session: an attempt that was given up is now known never to have run
	Tie                      // Session: a connection holds it
	Untie                    // Session: one that did is gone
	Quit                     // Key, Print: its viewer wants it ended
	Tick                     // time passes
)

// Event is one fact.
type Event struct {
	Kind    EventKind
	Waiter  Waiter
	Key     string // jti
	Print   uint64 // fingerprint of what the token asks for: title, class, viewer
	Paid    bool
	Tied    bool    // if it begins, it lives only while a connection holds it, and TieMs longer
	AgeMs   float64 // since the token was issued
	LeftMs  float64 // until the token expires
	Session Session
	RetryMs float64
	Why     Reason
}

// Reason tells why a request is answered as it is.
type Reason uint8

// The reasons.
const (
	ReasonNone    Reason = iota
	ReasonBox            // the box failed or broke off
	ReasonTime           // no answer within the viewer's time
	ReasonUnknown        // an earlier try may have run; nobody knows yet
	ReasonOver           // the paid session has run and ended
	ReasonEarlier        // an earlier run of this director may have set it up
	ReasonOther          // another director answers for this token
	ReasonReused         // the token's jti names another wish
	ReasonFull           // the ledger is at its cap
	ReasonCrowd          // too many requests wait for this one session
	ReasonModule         // the module refused it
	ReasonStop           // this director is stopping
)

var reasonNames = [...]string{"none", "box", "time", "unknown", "over", "earlier", "other", "reused", "full",
	"crowd", "refused", "stopping"}

func (r Reason) String() string { return reasonNames[r] }

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	Begin     ActionKind = iota // Session, Waiter: ask the module for a set-up
	Play                        // Waiter, Session: answer with the session's manifest
	Refuse                      // Waiter, Session (0: none begun), Reason, RetryMs: nothing ran; trying again is harmless
	Fail                        // Waiter, Session (0: none begun), Reason: failed, no promise
	Elsewhere                   // Waiter, Home: the director that answers for this token
	Withdraw                    // Session: nobody waits for it any more
	Adopt                       // Session: it plays though its set-up was given up; hand it to the module
	End                         // Session: end it at its box
	Forget                      // Session: nothing refers to it any more
)

// Action is one thing the caller is to do.
type Action struct {
	Kind    ActionKind
	Waiter  Waiter
	Session Session
	Reason  Reason
	RetryMs float64
	Home    int
}

// Config bounds the ledger. Times are ms.
type Config struct {
	Me          int      // this director's number
	Directors   []string // names of all, alike at every director; they share out the paid tokens
	MaxEntries  int      // entries in all
	MaxWaiters  int      // requests that may wait for one session
	HoldMs      float64  // how long a session that no viewer has been told of is kept
	TieMs       float64  // how long a tied session outlives its last connection
	SkewMs      float64  // how far the issuer's clock may differ
	RetryMs     float64  // advice where the ledger itself refuses
	UnprovenMs  float64  // how long a paid entry outlives its token: late answers of boxes
	StartedMs   float64  // the time of Step at which this director began to take requests
	FirstStart  bool     // no earlier run of this director can have taken tokens
	SharedPaid  bool     // paid tokens are taken by their home only; needs Directors
	SweepEachMs float64  // how often Tick looks at all entries [250]
}

// State is where an entry stands; see the package comment.
type State uint8

// The states.
const (
	StateAsked State = iota
	StatePlaying
	StateSpare
	StateLost
	StateOver
	StateVoid
)

var stateNames = [...]string{"asked", "playing", "spare", "lost", "over", "void"}

func (s State) String() string { return stateNames[s] }

type entry struct {
	key     string
	print   uint64
	session Session
	paid    bool
	adopted bool // the module knows the session as playing
	tied    bool // it needs a connection that holds it
	quit    bool // its viewer wanted it ended while its set-up was out
	ties    int
	lapse   float64 // tied, and no connection holds it: when it is ended
	state   State
	why     Reason
	waiters []Waiter
	until   float64 // Spare: when it is ended; paid: when the entry may be forgotten
	hold    float64
}

// Ledger is the state. It is for one goroutine.
type Ledger struct {
	cfg       Config
	now       float64
	out       []Action
	byKey     map[string]*entry
	bySession map[Session]*entry
	byWaiter  map[Waiter]*entry
	swept     float64
	stopping  bool
}

// New makes an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.SweepEachMs <= 0 {
		cfg.SweepEachMs = 250
	}
	return &Ledger{cfg: cfg, byKey: map[string]*entry{}, bySession: map[Session]*entry{},
		byWaiter: map[Waiter]*entry{}}
}

// Entries and Waiting are the sizes of the ledger.
func (l *Ledger) Entries() int { return len(l.byKey) }

// Waiting is the number of requests that are owed an answer.
func (l *Ledger) Waiting() int { return len(l.byWaiter) }

// Lookup tells an entry's session and state.
func (l *Ledger) Lookup(key string) (Session, State, bool) {
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
		case Ask:
			l.ask(ev)
		case Left:
			l.left(ev.Waiter)
		case Tick:
			l.sweep()
		case Quit:
			if e := l.byKey[ev.Key]; e != nil && e.print == ev.Print {
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
	if e.print != ev.Print { // one jti for two wishes: the issuer's fault; joining them would play the wrong title
		l.fail(ev.Waiter, e.session, ReasonReused)
		return
	}
	if e.paid {
		e.until = max(e.until, l.now+ev.LeftMs+l.cfg.UnprovenMs)
	}
	switch e.state {
	case StateAsked:
		if len(e.waiters) >= l.cfg.MaxWaiters {
			l.fail(ev.Waiter, e.session, ReasonCrowd) // an attempt is out: no promise about it
			return
		}
		l.join(e, ev.Waiter)
	case StatePlaying:
		e.lapse = l.now + l.cfg.TieMs // taken up again: its new connection has time to hold it
		l.out = append(l.out, Action{Kind: Play, Waiter: ev.Waiter, Session: e.session})
	case StateSpare:
		e.state, e.lapse = StatePlaying, l.now+l.cfg.TieMs
		if !e.adopted {
			e.adopted = true
			l.out = append(l.out, Action{Kind: Adopt, Session: e.session})
		}
		l.out = append(l.out, Action{Kind: Play, Waiter: ev.Waiter, Session: e.session})
	case StateLost:
		if e.paid { // never again by guess: only a box's own word or a late answer changes this
			l.fail(ev.Waiter, e.session, cmp.Or(e.why, ReasonUnknown))
			return
		}
		l.again(e, ev)
	case StateOver:
		if e.paid {
			l.fail(ev.Waiter, e.session, ReasonOver)
			return
		}
		l.again(e, ev)
	case StateVoid:
		l.again(e, ev)
	}
}

// Begins tells whether an Ask at now would begin a set-up. Only such a request may be refused for want of room
// before the ledger hears of it: refusing any other would promise that nothing ran.
func (l *Ledger) Begins(now float64, ev *Event) bool {
	if e := l.byKey[ev.Key]; e != nil {
		return e.print == ev.Print && (e.state == StateVoid || !e.paid && (e.state == StateLost || e.state == StateOver))
	}
	return !l.stopping && l.home(ev) == l.cfg.Me && !l.earlier(now, ev)
}

// home is the director that answers for a token.
func (l *Ledger) home(ev *Event) int {
	if !ev.Paid || !l.cfg.SharedPaid {
		return l.cfg.Me
	}
	return Home(ev.Key, l.cfg.Directors)
}

// earlier tells whether a paid token was issued before this director started: its predecessor may have set it
// up, and its ledger is gone.
func (l *Ledger) earlier(now float64, ev *Event) bool {
	return ev.Paid && !l.cfg.FirstStart && ev.AgeMs+l.cfg.SkewMs >= now-l.cfg.StartedMs
}

// first handles a token that the ledger does not know.
func (l *Ledger) first(ev *Event) {
	if home := l.home(ev); home != l.cfg.Me {
		l.out = append(l.out, Action{Kind: Elsewhere, Waiter: ev.Waiter, Home: home, Reason: ReasonOther})
		return
	}
	if l.earlier(l.now, ev) {
		l.fail(ev.Waiter, 0, ReasonEarlier)
		return
	}
	if l.stopping {
		l.refuse(ev.Waiter, 0, ReasonStop, l.cfg.RetryMs)
		return
	}
	if len(l.byKey) >= l.cfg.MaxEntries && !l.reclaim() {
		l.refuse(ev.Waiter, 0, ReasonFull, l.cfg.RetryMs)
		return
	}
	e := &entry{key: ev.Key, print: ev.Print, paid: ev.Paid, until: l.now + ev.LeftMs + l.cfg.UnprovenMs}
	l.byKey[ev.Key] = e
	l.begin(e, ev)
}

// again begins anew for an entry whose earlier session is known to be over, void or repeatable.
func (l *Ledger) again(e *entry, ev *Event) {
	if l.stopping {
		l.refuse(ev.Waiter, 0, ReasonStop, l.cfg.RetryMs)
		return
	}
	l.forget(e.session)
	l.begin(e, ev)
}

func (l *Ledger) begin(e *entry, ev *Event) {
	e.session, e.state, e.why, e.adopted = ev.Session, StateAsked, ReasonNone, false
	e.tied, e.quit, e.ties = ev.Tied, false, 0
	l.bySession[e.session] = e
	l.join(e, ev.Waiter)
	l.out = append(l.out, Action{Kind: Begin, Session: e.session, Waiter: ev.Waiter})
}

func (l *Ledger) join(e *entry, w Waiter) {
	e.waiters = append(e.waiters, w)
	l.byWaiter[w] = e
}

func (l *Ledger) forget(s Session) {
	if _, ok := l.bySession[s]; ok {
		delete(l.bySession, s)
		l.out = append(l.out, Action{Kind: Forget, Session: s})
	}
}

func (l *Ledger) refuse(w Waiter, s Session, why Reason, retry float64) {
	l.out = append(l.out, Action{Kind: Refuse, Waiter: w, Session: s, Reason: why, RetryMs: retry})
}

func (l *Ledger) fail(w Waiter, s Session, why Reason) {
	l.out = append(l.out, Action{Kind: Fail, Waiter: w, Session: s, Reason: why})
}

// left takes a viewer out. The set-up goes on: a paid one can't be taken back, and a viewer that lost its
// connection mostly comes again with the same token.
func (l *Ledger) left(w Waiter) {
	e := l.byWaiter[w]
	if e == nil {
		return
	}
	delete(l.byWaiter, w)
	e.waiters = slices.DeleteFunc(e.waiters, func(o Waiter) bool { return o == w })
	if len(e.waiters) == 0 && e.state == StateAsked {
		l.out = append(l.out, Action{Kind: Withdraw, Session: e.session})
	}
}

// release takes all waiters off an entry, in the order in which they came.
func (l *Ledger) release(e *entry) []Waiter {
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
	case Plays:
		if e.state != StateAsked {
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
		e.state, e.lapse = StatePlaying, l.now+l.cfg.TieMs
		for _, w := range l.release(e) {
			l.out = append(l.out, Action{Kind: Play, Waiter: w, Session: e.session})
		}
	case Refused:
		if e.state != StateAsked {
			return
		}
		e.state = StateVoid
		for _, w := range l.release(e) {
			l.refuse(w, e.session, ReasonModule, ev.RetryMs)
		}
		l.drop(e)
	case Failed:
		if e.state != StateAsked {
			return
		}
		e.state, e.why = StateLost, ev.Why
		for _, w := range l.release(e) {
			l.fail(w, e.session, cmp.Or(ev.Why, ReasonBox))
		}
		l.drop(e)
	case Late: // an answer after the time-out: the session that a retry may still have
		if e.state == StateLost && e.paid {
			e.adopted = false
			l.spare(e)
			return
		}
		l.out = append(l.out, Action{Kind: End, Session: e.session})
	case Proven:
		if e.state == StateLost {
			e.state, e.why = StateVoid, ReasonNone
			l.drop(e)
		}
	case Tie:
		e.ties++
	case Untie:
		if e.ties = max(e.ties-1, 0); e.ties == 0 {
			e.lapse = l.now + l.cfg.TieMs
		}
	case Ended:
		if e.state == StatePlaying || e.state == StateSpare {
			e.state = StateOver
			l.drop(e)
		}
	}
}

// quit ends a session by its viewer's wish. A set-up that is out can't be taken back: it is ended once it plays.
func (l *Ledger) quit(e *entry) {
	switch e.state {
	case StatePlaying, StateSpare:
		l.finish(e)
	case StateAsked:
		e.quit = true
		for _, w := range l.release(e) {
			l.fail(w, e.session, ReasonOver)
		}
		l.out = append(l.out, Action{Kind: Withdraw, Session: e.session})
	}
}

// finish ends a session at its box.
func (l *Ledger) finish(e *entry) {
	e.state = StateOver
	l.out = append(l.out, Action{Kind: End, Session: e.session})
	l.drop(e)
}

func (l *Ledger) spare(e *entry) {
	e.state, e.hold = StateSpare, l.now+l.cfg.HoldMs
}

// drop forgets an entry whose memory protects nothing: a repeatable one that is not under way. A paid one
// is kept until its token has expired, in whatever state.
func (l *Ledger) drop(e *entry) {
	if e.paid && e.state != StateVoid {
		return
	}
	if e.state == StateLost && !e.paid || e.state == StateOver || e.state == StateVoid {
		delete(l.byKey, e.key)
		l.forget(e.session)
	}
}

// sweep ends spare sessions whose time is over and forgets paid entries whose tokens can't come again.
func (l *Ledger) sweep() {
	if l.now-l.swept < l.cfg.SweepEachMs {
		return
	}
	l.swept = l.now
	var due []*entry
	for _, e := range l.byKey {
		lapsed := e.state == StatePlaying && e.tied && e.ties == 0 && l.now >= e.lapse
		if lapsed || e.state == StateSpare && l.now >= e.hold || e.paid && l.now >= e.until &&
			(e.state == StateLost || e.state == StateOver || e.state == StateVoid) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Compare(a.session, b.session) })
	for _, e := range due {
		if e.state == StateSpare || e.state == StatePlaying {
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
