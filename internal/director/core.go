package director

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"headmill/decide/idempotency"
	"headmill/decide/limits"
	"headmill/internal/token"
)

// front is a way in: the manifest path or the session API. It is told the one result of each of its orders.
type front interface {
	result(o *order, r result)
}

// order is one request for a session, of whichever front. It is owed exactly one result.
type order struct {
	front  front
	waiter idempotency.RequestID
	claims claims
	title  *title
	since  float64
	tied   bool // it came over a connection that will hold the session
	// of the session API
	id     uint64
	inline bool
}

type verdict uint8

const (
	isPlaying verdict = iota
	isRefused
	isFailed
	isElsewhere
)

// result is what became of an order. reason is the last part of a problem type.
type result struct {
	verdict verdict
	s       *session
	status  int
	reason  string
	detail  string
	retryMs float64
	home    int
}

// denial says why a token can't begin an order at all; none is a taken session.
type denial struct {
	status       int
	kind, detail string
}

// wanted checks that checked claims are in force and fit the catalogue. name is the title that was asked for;
// empty: the token's.
func (d *Director) wanted(name string, c *token.Claims) (*title, *denial) {
	if err := d.check.Valid(c, d.wall()); err != nil {
		return nil, unauthorized(err)
	}
	if name == "" {
		name = c.Title
	}
	t := d.titles[name]
	switch {
	case c.Title != name:
		return nil, &denial{403, "wrong-title", "the session token is for another title"}
	case t == nil:
		return nil, &denial{404, "no-such-title", "the catalogue has no title of this name"}
	case c.Class != t.Class:
		return nil, &denial{403, "wrong-class", "the session token is for another class than the title's"}
	case c.MaxRung < d.cfg.Classes[t.class].MinRung:
		return nil, &denial{403, "under-floor", "the viewer's highest rung is under the floor of the class"}
	}
	return t, nil
}

// print tells wishes of one jti apart: what is wanted, by whom.
func print(c *token.Claims) uint64 {
	return xxhash.Sum64String(c.Title + "\x00" + c.Class + "\x00" + c.Subject)
}

// place takes an order to the ledger; one that would begin a set-up passes the gate first. The result may come
// within this call.
func (d *Director) place(o *order, t *title, raw string, c *token.Claims) {
	now := d.wall()
	d.lastWaiter++
	o.waiter, o.title, o.since = d.lastWaiter, t, d.l.Now()
	o.claims = claims{raw: strings.Clone(raw), id: c.ID, viewer: c.Subject, brand: c.Tenant, family: c.Family, top: c.MaxRung,
		wish: print(c), brandNo: d.gate.TenantIndex(c.Tenant)}
	d.waiters[o.waiter] = o
	d.stats.Asked++
	ev := idempotency.Event{Kind: idempotency.RequestArrived, Request: o.waiter, Key: c.ID, Fingerprint: o.claims.wish,
		Paid: d.cfg.Classes[t.class].Semantics == "once", ConnectionBound: o.tied, TokenAgeMs: c.AgeMs(now), TokenTTLMs: c.TTLMs(now)}
	if d.ledger.WouldStartSetup(d.l.Now(), &ev) && !d.admits(o) {
		return
	}
	d.lastSession++
	ev.Session = d.lastSession
	d.ledgerIn = append(d.ledgerIn, ev)
}

// admits asks decide/limits and the accounts; what is not let in is refused at once.
func (d *Director) admits(o *order) bool {
	if !d.accounts.Fits(limits.Sessions, 1) || !d.accounts.Fits(limits.Ledger, 1) {
		d.settle(o, result{verdict: isRefused, reason: "full", status: 503, retryMs: d.cfg.Attempts.MaxRetryAfterMs,
			detail: "this director is at a limit of its settings; nothing was set up"})
		return false
	}
	a := d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.Request, ID: uint64(o.waiter), RequestKey: o.claims.wish,
		Title: o.title.number, Tenant: o.claims.brandNo, Class: o.title.class, FirstCell: o.title.FirstCell, Copies: o.title.Copies,
		MaxRung: o.claims.top}}, nil)[0]
	o.claims.spare, o.claims.repeated = a.Headroom, a.Retried
	if a.Reason == limits.Admitted {
		o.claims.top = a.MaxRung
		return true
	}
	d.stats.Shed++
	d.settle(o, result{verdict: isRefused, reason: a.Reason.String(), status: 503, retryMs: a.RetryAfterMs, detail: sheds[a.Reason]})
	return false
}

var sheds = map[limits.Reason]string{
	limits.DirectorOverloaded: "this director has more to do than it can; nothing was set up",
	limits.TenantOverShare:    "the brand holds its share and others use theirs; nothing was set up",
	limits.TitleOverShare:     "other titles of the brand go first for the moment; nothing was set up",
}

// settle gives an order its one result.
func (d *Director) settle(o *order, r result) {
	if d.waiters[o.waiter] != o {
		return
	}
	delete(d.waiters, o.waiter)
	switch r.verdict {
	case isPlaying:
		d.stats.Played++
		d.final(o, r.s, "plays", 200, "")
	case isRefused:
		d.stats.Refused++
		d.final(o, r.s, "refused", r.status, r.reason)
	case isFailed:
		d.stats.Failed++
		d.final(o, r.s, "failed", r.status, r.reason)
	case isElsewhere:
		d.stats.Elsewhere++
		d.final(o, r.s, "elsewhere", r.status, d.cfg.Director.Directors[r.home])
	}
	o.front.result(o, r)
}

// leave takes back an order whose viewer has gone.
func (d *Director) leave(o *order) {
	if d.waiters[o.waiter] != o {
		return
	}
	delete(d.waiters, o.waiter)
	d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.RequestCancelled, Request: o.waiter})
	d.final(o, nil, "viewer left", 0, "")
}

// quit ends a session by its viewer's wish; false where this director knows none of that token.
func (d *Director) quit(c *token.Claims) bool {
	_, state, known := d.ledger.Lookup(c.ID)
	if !known || state == idempotency.StateEnded || state == idempotency.StateNeverRan || state == idempotency.StateOutcomeUnknown {
		return false
	}
	d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.EndRequested, Key: c.ID, Fingerprint: print(c)})
	return true
}

// refused and failed are the results that the ledger's actions stand for.
func (d *Director) refused(o *order, a idempotency.Action) {
	r := result{verdict: isRefused, s: d.sessions[a.Session], status: 503, reason: a.Reason.String(), retryMs: a.RetryAfterMs,
		detail: "no box can take this session now; nothing was set up"}
	switch a.Reason {
	case idempotency.ReasonLedgerFull:
		r.detail = "this director is at a limit of its settings; nothing was set up"
	case idempotency.ReasonShuttingDown:
		r.detail = "this director is stopping; another one will take the session"
	}
	d.settle(o, r)
}

var failures = map[idempotency.Reason]struct {
	status int
	detail string
}{
	idempotency.ReasonNodeFailed:     {502, "the box failed while the session was set up; whether it ran is not known"},
	idempotency.ReasonTimeout:        {504, "no box answered in time; whether the session was set up is not known"},
	idempotency.ReasonOutcomeUnknown: {502, "an earlier try of this session may have been set up; it is not set up again"},
	idempotency.ReasonSessionEnded:   {410, "this session was set up and has ended; a paid session is not set up again"},
	idempotency.ReasonBeforeRestart:  {409, "the token is older than this director's start; it may have been used before. Get a new token"},
	idempotency.ReasonTokenReused:    {403, "the token's jti belongs to another session"},
	idempotency.ReasonTooManyWaiting: {429, "too many requests wait for this session already; one of them will be answered"},
	idempotency.ReasonShuttingDown:   {502, "this director is leaving before the set-up was answered; whether it ran is not known"},
}

func (d *Director) failed(o *order, a idempotency.Action) {
	f, ok := failures[a.Reason]
	if !ok {
		f.status, f.detail = 502, "the session could not be set up; whether it ran is not known"
	}
	d.settle(o, result{verdict: isFailed, s: d.sessions[a.Session], status: f.status, reason: a.Reason.String(), detail: f.detail})
}
