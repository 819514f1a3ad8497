package director

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"headmill/decide/idempotency"
	"headmill/decide/limits"
	"headmill/internal/token"
)

// responder is the connection that a request came by, of the manifest path or the session API. respond is called
// exactly once for each request, unless the request is cancelled.
type responder interface {
	respond(req *sessionRequest, r requestResult)
}

// sessionRequest is a request for a session, over DASH or the session API. It gets exactly one result.
type sessionRequest struct {
	responder       responder
	id              idempotency.RequestID
	claims          sessionClaims
	title           *title
	receivedAt      float64 // loop time, ms
	connectionBound bool    // came over a connection to which the session will be attached
	// Session API only.
	messageID      uint64
	inlineManifest bool
}

// requestOutcome is the kind of a request's result.
type requestOutcome uint8

const (
	outcomePlaying requestOutcome = iota
	outcomeRefused
	outcomeFailed
	outcomeRedirected // another director owns the token
)

// requestResult is the result of a request. reason is the last part of a problem type; owner is the index of the
// director that owns the token, for outcomeRedirected.
type requestResult struct {
	outcome requestOutcome
	session *session
	status  int
	reason  string
	detail  string
	retryMs float64
	owner   int
}

// requestError is a request rejected before it reaches the ledger: its token, or what it names, is not valid.
type requestError struct {
	status          int
	problem, detail string
}

// validateRequest checks that verified claims are in force and match the catalogue. name is the requested title; if
// empty, the token's title is used.
func (d *Director) validateRequest(name string, c *token.Claims) (*title, *requestError) {
	if err := d.tokenChecker.CheckTimes(c, d.wallClock()); err != nil {
		return nil, unauthorized(err)
	}
	if name == "" {
		name = c.Title
	}
	t := d.titles[name]
	switch {
	case c.Title != name:
		return nil, &requestError{403, "wrong-title", "the session token is for another title"}
	case t == nil:
		return nil, &requestError{404, "no-such-title", "the catalogue has no title of this name"}
	case c.Class != t.Class:
		return nil, &requestError{403, "wrong-class", "the session token is for another class than the title's"}
	case c.MaxRung < d.cfg.Classes[t.class].MinRung:
		return nil, &requestError{403, "under-floor", "the viewer's highest rung is under the floor of the class"}
	}
	return t, nil
}

// requestFingerprint hashes what a token asks for and for whom, to detect two different requests under one jti.
func requestFingerprint(c *token.Claims) uint64 {
	return xxhash.Sum64String(c.Title + "\x00" + c.Class + "\x00" + c.Subject)
}

// submit passes a request with verified claims to the ledger. One that would start a set-up goes through admission
// control first. The result may be delivered within this call.
func (d *Director) submit(req *sessionRequest, t *title, raw string, c *token.Claims) {
	now := d.wallClock()
	d.lastRequestID++
	req.id, req.title, req.receivedAt = d.lastRequestID, t, d.loop.Now()
	req.claims = sessionClaims{
		raw:          strings.Clone(raw),
		jti:          c.ID,
		viewer:       c.Subject,
		tenant:       c.Tenant,
		playerFamily: c.Family,
		maxRung:      c.MaxRung,
		fingerprint:  requestFingerprint(c),
		tenantIndex:  d.admission.TenantIndex(c.Tenant),
	}
	d.requests[req.id] = req
	d.stats.Requests++
	// A paid session is one of a class whose set-up may run at most once, which the settings call "once".
	ev := idempotency.Event{
		Kind:            idempotency.RequestArrived,
		Request:         req.id,
		Key:             c.ID,
		Fingerprint:     req.claims.fingerprint,
		Paid:            d.cfg.Classes[t.class].Semantics == "once",
		ConnectionBound: req.connectionBound,
		TokenAgeMs:      c.AgeMs(now),
		TokenTTLMs:      c.TTLMs(now),
	}
	if d.ledger.WouldStartSetup(d.loop.Now(), &ev) && !d.admit(req) {
		return
	}
	d.lastSessionID++
	ev.Session = d.lastSessionID
	d.ledgerEvents = append(d.ledgerEvents, ev)
}

// admit checks the quotas and asks admission control, whose results it stores with the request's claims. A request that
// is not admitted is refused at once.
func (d *Director) admit(req *sessionRequest) bool {
	if !d.quotas.Fits(limits.Sessions, 1) || !d.quotas.Fits(limits.Ledger, 1) {
		d.complete(req, requestResult{
			outcome: outcomeRefused,
			reason:  "full",
			status:  503,
			retryMs: d.cfg.Attempts.MaxRetryAfterMs,
			detail:  "this director is at a limit of its settings; nothing was set up",
		})
		return false
	}
	a := d.admission.Step(d.loop.Now(), []limits.Event{{
		Kind:       limits.Request,
		ID:         uint64(req.id),
		RequestKey: req.claims.fingerprint,
		Title:      req.title.number,
		Tenant:     req.claims.tenantIndex,
		Class:      req.title.class,
		FirstCell:  req.title.FirstCell,
		Copies:     req.title.Copies,
		MaxRung:    req.claims.maxRung,
	}}, nil)[0]
	req.claims.headroom, req.claims.retried = a.Headroom, a.Retried // not of the token: results of admission control
	if a.Reason == limits.Admitted {
		req.claims.maxRung = a.MaxRung
		return true
	}
	d.stats.AdmissionRefusals++
	d.complete(req, requestResult{
		outcome: outcomeRefused,
		reason:  a.Reason.String(),
		status:  503,
		retryMs: a.RetryAfterMs,
		detail:  admissionDetails[a.Reason],
	})
	return false
}

// admissionDetails has the problem detail of each reason of admission control. These texts go to clients and are
// external, like all details of problems and failures in this package.
var admissionDetails = map[limits.Reason]string{
	limits.DirectorOverloaded: "this director has more to do than it can; nothing was set up",
	limits.TenantOverShare:    "the brand holds its share and others use theirs; nothing was set up",
	limits.TitleOverShare:     "other titles of the brand go first for the moment; nothing was set up",
}

// complete delivers the one result of a request. The results in the log line are external names.
func (d *Director) complete(req *sessionRequest, r requestResult) {
	if d.requests[req.id] != req {
		return
	}
	delete(d.requests, req.id)
	switch r.outcome {
	case outcomePlaying:
		d.stats.Played++
		d.logAnswer(req, r.session, "plays", 200, "")
	case outcomeRefused:
		d.stats.Refused++
		d.logAnswer(req, r.session, "refused", r.status, r.reason)
	case outcomeFailed:
		d.stats.Failed++
		d.logAnswer(req, r.session, "failed", r.status, r.reason)
	case outcomeRedirected:
		d.stats.Redirected++
		d.logAnswer(req, r.session, "elsewhere", r.status, d.cfg.Director.Directors[r.owner])
	}
	req.responder.respond(req, r)
}

// cancel withdraws a request whose viewer has disconnected.
func (d *Director) cancel(req *sessionRequest) {
	if d.requests[req.id] != req {
		return
	}
	delete(d.requests, req.id)
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.RequestCancelled, Request: req.id})
	d.logAnswer(req, nil, "viewer left", 0, "")
}

// requestEnd ends the session of a token at its viewer's request. It returns false if this director knows no live
// session of that token.
func (d *Director) requestEnd(c *token.Claims) bool {
	_, state, known := d.ledger.Lookup(c.ID)
	if !d.requestQueued(c.ID) && (!known || state == idempotency.StateEnded || state == idempotency.StateNeverRan ||
		state == idempotency.StateOutcomeUnknown) {
		return false
	}
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
		Kind:        idempotency.EndRequested,
		Key:         c.ID,
		Fingerprint: requestFingerprint(c),
	})
	return true
}

// requestQueued reports whether a request with a key is on its way to the ledger.
func (d *Director) requestQueued(key string) bool {
	return slices.ContainsFunc(d.ledgerEvents, func(ev idempotency.Event) bool {
		return ev.Kind == idempotency.RequestArrived && ev.Key == key
	})
}

// shuttingDownDetail is the problem detail of a refusal during a shutdown.
const shuttingDownDetail = "this director is stopping; another one will take the session"

// completeRefused delivers the result of the ledger's AnswerRefused action.
func (d *Director) completeRefused(req *sessionRequest, a idempotency.Action) {
	r := requestResult{
		outcome: outcomeRefused,
		session: d.sessions[a.Session],
		status:  503,
		reason:  a.Reason.String(),
		retryMs: a.RetryAfterMs,
		detail:  "no box can take this session now; nothing was set up",
	}
	switch a.Reason {
	case idempotency.ReasonLedgerFull:
		r.detail = "this director is at a limit of its settings; nothing was set up"
	case idempotency.ReasonShuttingDown:
		r.detail = shuttingDownDetail
	}
	d.complete(req, r)
}

// failureResponses has the status and the problem detail of each reason of a failure.
var failureResponses = map[idempotency.Reason]struct {
	status int
	detail string
}{
	idempotency.ReasonNodeFailed: {502,
		"the box failed while the session was set up; whether it ran is not known"},
	idempotency.ReasonTimeout: {504, "no box answered in time; whether the session was set up is not known"},
	idempotency.ReasonOutcomeUnknown: {502,
		"an earlier try of this session may have been set up; it is not set up again"},
	idempotency.ReasonSessionEnded: {410,
		"this session was set up and has ended; a paid session is not set up again"},
	idempotency.ReasonBeforeRestart: {409,
		"the token is older than this director's start; it may have been used before. Get a new token"},
	idempotency.ReasonTokenReused: {403, "the token's jti belongs to another session"},
	idempotency.ReasonTooManyWaiting: {429,
		"too many requests wait for this session already; one of them will be answered"},
	idempotency.ReasonShuttingDown: {502,
		"this director is leaving before the set-up was answered; whether it ran is not known"},
}

// completeFailed delivers the result of the ledger's AnswerFailed action.
func (d *Director) completeFailed(req *sessionRequest, a idempotency.Action) {
	f, ok := failureResponses[a.Reason]
	if !ok {
		f.status, f.detail = 502, "the session could not be set up; whether it ran is not known"
	}
	d.complete(req, requestResult{
		outcome: outcomeFailed,
		session: d.sessions[a.Session],
		status:  f.status,
		reason:  a.Reason.String(),
		detail:  f.detail,
	})
}
