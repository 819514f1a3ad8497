package director

import (
	"bytes"
	"errors"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"

	"headmill/decide/once"
	"headmill/decide/retire"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/token"
)

// viewerState is where a viewer's connection stands.
type viewerState uint8

const (
	resting  viewerState = iota // between requests; holds no parser
	reading                     // a request has begun
	checking                    // its token's signature is being checked
	awaiting                    // a request is owed an answer by the ledger
)

// viewer is one connection of a viewer.
type viewer struct {
	d        *Director
	c        *loop.Conn
	p        *http1.Parser
	rest     []byte // what was pipelined behind the request that is out
	claims   claims
	title    *title
	waiter   once.Waiter
	since    float64 // when the request was whole
	deadline float64 // of the present state; the sweep cuts what is over it
	state    viewerState
	keep     bool // the connection goes on after the answer
	cut      bool // the answer in hand is the last; input is thrown away
}

func (d *Director) accept(c *loop.Conn) loop.Handler {
	if len(d.viewers) >= d.cfg.Limits.Connections {
		d.log.Warn("connection closed at once: limits.connections is reached", "connections", len(d.viewers))
		return nil
	}
	v := &viewer{d: d, c: c, deadline: d.l.Now() + d.cfg.Times.IdleMs}
	c.SetLimit(d.cfg.Limits.Output)
	d.viewers[v] = struct{}{}
	return v
}

// Connected is never called for accepted connections.
func (v *viewer) Connected(*loop.Conn) {}

// Drained extends the write limit of a slow reader that has read all.
func (v *viewer) Drained(*loop.Conn) {
	if v.state == resting {
		v.deadline = v.d.l.Now() + v.d.cfg.Times.IdleMs
	}
}

// Closed takes the viewer out of the tables.
func (v *viewer) Closed(_ *loop.Conn, err error) {
	d := v.d
	if errors.Is(err, loop.ErrSlowReader) {
		d.stats.CutSlow++
	}
	delete(d.viewers, v)
	if v.state == awaiting {
		delete(d.waiters, v.waiter)
		d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Left, Waiter: v.waiter})
		d.final(v, nil, "viewer left", 0, "")
	}
	v.release()
}

func (v *viewer) release() {
	if v.p != nil && len(v.d.parsers) < 256 {
		v.p.Next()
		v.d.parsers = append(v.d.parsers, v.p)
	}
	v.p = nil
}

// Data parses what came. While a request is out, reading pauses and the rest waits, so that a viewer that
// pipelines without end costs one read buffer at most.
func (v *viewer) Data(_ *loop.Conn, b []byte) {
	if v.cut {
		return
	}
	if v.state >= checking {
		v.rest = append(v.rest, b...)
		v.c.Pause(true)
		return
	}
	v.feed(b)
}

// feed takes bytes request by request until one has to wait.
func (v *viewer) feed(b []byte) {
	d := v.d
	for len(b) > 0 && v.c.Open() && !v.cut {
		if v.p == nil {
			v.p = d.parser()
		}
		if v.state == resting {
			v.state, v.deadline = reading, d.l.Now()+d.cfg.Times.HeadMs
		}
		n, done, err := v.p.Feed(b)
		b = b[n:]
		if err != nil {
			var he *http1.Error
			status := 400
			if errors.As(err, &he) {
				status = he.Status
			}
			v.keep = false
			v.problem(status, "malformed", err.Error(), 0)
			return
		}
		if !done {
			if v.p.Idle() { // only empty lines so far
				v.state, v.deadline = resting, d.l.Now()+d.cfg.Times.IdleMs
			}
			return
		}
		v.request()
		if v.state >= checking {
			if len(b) > 0 {
				v.rest = append(v.rest[:0], b...)
				v.c.Pause(true)
			}
			return
		}
	}
}

func (d *Director) parser() *http1.Parser {
	if n := len(d.parsers); n > 0 {
		p := d.parsers[n-1]
		d.parsers = d.parsers[:n-1]
		return p
	}
	return http1.NewRequests(http1.Limits{Line: d.cfg.Limits.Line, Head: d.cfg.Limits.Head,
		Fields: d.cfg.Limits.Fields, Body: d.cfg.Limits.Body})
}

// request answers a whole request or hands it to the ledger.
func (v *viewer) request() {
	d, m := v.d, &v.p.Msg
	v.keep = !m.Close && d.stop.Phase() == retire.Serving
	v.since = d.l.Now()
	path, query, _ := strings.Cut(string(m.Target), "?")
	method := string(m.Method)
	switch {
	case path == "/healthz" && (method == "GET" || method == "HEAD"):
		v.health(method == "HEAD")
	case method == "OPTIONS":
		v.preflight()
	case strings.HasPrefix(path, "/dash/") && strings.HasSuffix(path, "/manifest.mpd"):
		if method != "GET" { // also HEAD: it would have to begin a session without showing it
			v.notAllowed()
			return
		}
		name, err := url.PathUnescape(path[len("/dash/") : len(path)-len("/manifest.mpd")])
		if err != nil {
			v.problem(400, "malformed", "the title in the path is not percent-encoded rightly", 0)
			return
		}
		v.manifest(name, query)
	default:
		v.problem(404, "no-such-page", "manifests are at /dash/TITLE/manifest.mpd", 0)
	}
}

// manifest checks the token and asks the ledger.
func (v *viewer) manifest(name, query string) {
	d := v.d
	raw := bearer(v.p.Msg.Get("authorization"))
	if raw == "" {
		q, err := url.ParseQuery(query)
		if err != nil {
			v.problem(400, "malformed", "the query is not form-encoded", 0)
			return
		}
		if raw = q.Get("token"); raw == "" {
			raw = q.Get("access_token") // RFC 6750 2.3
		}
	}
	v.state, v.deadline = checking, 0
	direct := true
	if !d.check.Begin(d.pool, raw, func(c *token.Claims, err error) {
		if !v.c.Open() { // it left meanwhile: nothing has begun for it
			return
		}
		v.asks(name, raw, c, err)
		if !direct && v.state == resting {
			v.next()
		}
	}) {
		d.stats.Refused++
		v.problem(503, "refused-checks", "more session tokens come than this director can check; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
	}
	direct = false
}

// asks takes a request whose token has been checked.
func (v *viewer) asks(name, raw string, c *token.Claims, err error) {
	d := v.d
	now := d.wall()
	if err == nil {
		err = d.check.Valid(c, now)
	}
	if err != nil {
		d.stats.Denied++
		v.unauthorized(err)
		return
	}
	t := d.titles[name]
	switch {
	case c.Title != name:
		d.stats.Denied++
		v.problem(403, "wrong-title", "the session token is for another title", 0)
		return
	case t == nil:
		v.problem(404, "no-such-title", "the catalogue has no title of this name", 0)
		return
	case c.Class != t.Class:
		d.stats.Denied++
		v.problem(403, "wrong-class", "the session token is for another class than the title's", 0)
		return
	case c.Top < d.cfg.Classes[t.class].Floor:
		d.stats.Denied++
		v.problem(403, "under-floor", "the viewer's highest rung is under the floor of the class", 0)
		return
	}
	d.lastWaiter++
	d.lastSession++
	v.waiter, v.state, v.title = d.lastWaiter, awaiting, t
	v.claims = claims{raw: strings.Clone(raw), id: c.ID, viewer: c.Subject, brand: c.Brand, top: c.Top}
	v.deadline = 0
	d.waiters[v.waiter] = v
	d.stats.Asked++
	if _, _, known := d.ledger.Lookup(c.ID); !known && len(d.sessions) >= d.cfg.Limits.SessionsInAll {
		d.refuse(v, once.Action{Reason: once.ReasonFull, RetryMs: d.cfg.Attempts.MaxRetryAfterMs})
		return
	}
	d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Ask, Waiter: v.waiter, Key: c.ID,
		Print: xxhash.Sum64String(c.Title + "\x00" + c.Class + "\x00" + c.Subject),
		Paid:  d.cfg.Classes[t.class].Repeat == "once", AgeMs: c.AgeMs(now), LeftMs: c.LeftMs(now),
		Session: d.lastSession})
}

func bearer(v []byte) string {
	const scheme = "bearer "
	if len(v) > len(scheme) && bytes.EqualFold(v[:len(scheme)], []byte(scheme)) {
		return string(bytes.TrimLeft(v[len(scheme):], " "))
	}
	return ""
}

// lastCall makes a resting connection end at the start of a stop; others end after their answer.
func (v *viewer) lastCall() {
	v.keep = false
	if v.state == resting {
		v.c.End()
	}
}

// sweepViewers cuts connections that are over the limit of their state: idle, a request that does not end, or
// an answer that is not read.
func (d *Director) sweepViewers() {
	now := d.l.Now()
	if now < d.nextSweep {
		return
	}
	d.nextSweep = now + 250
	for v := range d.viewers {
		if v.deadline == 0 || now < v.deadline {
			continue
		}
		if v.state == reading && !v.cut {
			v.keep = false
			v.problem(408, "too-slow", "the request did not come whole in time", 0)
			continue
		}
		v.c.Close(loop.ErrIdle)
	}
}

// unauthorized answers a token that is not taken (RFC 6750 section 3).
func (v *viewer) unauthorized(err error) {
	why := "invalid-token"
	switch {
	case errors.Is(err, token.ErrMissing):
		why = "no-token"
	case errors.Is(err, token.ErrExpired):
		why = "token-expired"
	case errors.Is(err, token.ErrKey):
		why = "unknown-key"
	}
	v.problem(401, why, err.Error(), 0)
}
