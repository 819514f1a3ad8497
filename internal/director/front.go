package director

import (
	"bytes"
	"errors"
	"net/url"
	"strings"

	"headmill/decide/limits"
	"headmill/decide/shutdown"
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
	rest     []byte  // what was pipelined behind the request that is out
	order    *order  // the request that is owed a result
	sock     *socket // what the connection became
	deadline float64 // of the present state; the sweep cuts what is over it
	state    viewerState
	keep     bool // the connection goes on after the answer
	cut      bool // the answer in hand is the last; input is thrown away
}

func (d *Director) accept(c *loop.Conn) loop.Handler {
	if !d.accounts.Acquire(limits.Connections, 1) {
		if now := d.l.Now(); now-d.saidFull > 2000 {
			d.saidFull = now
			d.log.Warn("connections closed at once: limits.connections is reached", "connections", d.accounts.Usage(limits.Connections).Used)
		}
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
	d.accounts.Release(limits.Connections, 1)
	if v.state == awaiting {
		d.leave(v.order)
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
		if v.sock != nil {
			if len(b) > 0 {
				v.sock.Data(v.c, b)
			}
			return
		}
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
	v.keep = !m.Close && d.stop.Phase() == shutdown.PhaseServing
	path, query, _ := strings.Cut(string(m.Target), "?")
	method := string(m.Method)
	switch {
	case path == "/healthz" && (method == "GET" || method == "HEAD"):
		v.health(method == "HEAD")
	case method == "OPTIONS":
		v.preflight()
	case strings.HasPrefix(path, "/dash/") && strings.HasSuffix(path, "/manifest.mpd"):
		if method != "GET" && method != "DELETE" { // also HEAD: it would have to begin a session without showing it
			v.notAllowed()
			return
		}
		name, err := url.PathUnescape(path[len("/dash/") : len(path)-len("/manifest.mpd")])
		if err != nil {
			v.problem(400, "malformed", "the title in the path is not percent-encoded rightly", 0)
			return
		}
		v.manifest(name, query, method == "DELETE")
	case path == "/session":
		v.upgrade(method)
	case path == "/cmcd":
		v.reports(method, query)
	default:
		v.problem(404, "no-such-page", "manifests are at /dash/TITLE/manifest.mpd", 0)
	}
}

// tokenOf finds the session token of a request; false where the request was answered for its query.
func (v *viewer) tokenOf(query string) (string, bool) {
	raw := bearer(v.p.Msg.Get("authorization"))
	if raw != "" {
		return raw, true
	}
	q, err := url.ParseQuery(query)
	if err != nil {
		v.problem(400, "malformed", "the query is not form-encoded", 0)
		return "", false
	}
	if raw = q.Get("token"); raw == "" {
		raw = q.Get("access_token") // RFC 6750 2.3
	}
	return raw, true
}

// reports takes a player's own reports: event mode of CMCD version 2 (CTA-5004-B), one list a line. The token says
// whose they are; one that has expired still does, for as long as its session is known.
func (v *viewer) reports(method, query string) {
	if method != "POST" {
		v.notAllowed()
		return
	}
	raw, ok := v.tokenOf(query)
	if !ok {
		return
	}
	lines := strings.Split(string(v.p.Msg.Body), "\n")
	v.withToken(raw, func(c *token.Claims) {
		d := v.d
		id, _, _ := d.ledger.Lookup(c.ID)
		s := d.sessions[id]
		if s == nil {
			v.deny(&denial{404, "no-such-session", "no session of this token plays here"})
			return
		}
		s.meter.RatePerMs, s.meter.Burst = 1/d.cfg.Times.ReportMs, reportBurst
		for _, line := range lines {
			switch line = strings.TrimSpace(line); {
			case line == "":
			case len(line) > maxReport || !s.meter.Allow(d.l.Now()) || !d.accounts.Fits(limits.Reports, int64(len(line))):
				d.stats.ReportsDropped++
			default:
				d.seen(s, line, 0, 0)
				d.stats.ReportsTaken++
			}
		}
		v.write(append(v.head(204), "\r\n"...))
	})
}

// reportBurst is how many reports of one session may come at once: events come in bunches.
const reportBurst = 16

// manifest checks the token and places an order, or ends the session.
func (v *viewer) manifest(name, query string, end bool) {
	raw, ok := v.tokenOf(query)
	if !ok {
		return
	}
	v.withToken(raw, func(c *token.Claims) {
		d := v.d
		t, no := d.wanted(name, c)
		switch {
		case no != nil:
			v.deny(no)
		case end && d.quit(c):
			v.write(append(v.head(204), "\r\n"...))
		case end:
			v.problem(404, "no-such-session", "no session of this token plays or is being set up here", 0)
		default:
			v.state, v.order = awaiting, &order{front: v}
			d.place(v.order, t, raw, c)
		}
	})
}

// withToken has a token's signature checked, perhaps beside the loop, and goes on with its claims. What was
// pipelined behind the request waits meanwhile.
func (v *viewer) withToken(raw string, use func(*token.Claims)) {
	d := v.d
	v.state, v.deadline = checking, 0
	direct := true
	if !d.check.Begin(d.pool, raw, func(c *token.Claims, err error) {
		if !v.c.Open() || v.state != checking { // it left meanwhile: nothing has begun for it
			return
		}
		if err != nil {
			v.deny(unauthorized(err))
		} else {
			use(c)
		}
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

func (v *viewer) deny(no *denial) {
	v.d.stats.Denied++
	v.problem(no.status, no.kind, no.detail, 0)
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
		v.c.CloseWrite()
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
		v.c.Close(loop.ErrClosedByOwner)
	}
}

// unauthorized says why a token is not taken (RFC 6750 section 3).
func unauthorized(err error) *denial {
	why := "invalid-token"
	switch {
	case errors.Is(err, token.ErrMissing):
		why = "no-token"
	case errors.Is(err, token.ErrExpired):
		why = "token-expired"
	case errors.Is(err, token.ErrUnknownKey):
		why = "unknown-key"
	}
	return &denial{401, why, err.Error()}
}
