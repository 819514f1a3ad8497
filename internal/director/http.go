package director

import (
	"bytes"
	"errors"
	"net/url"
	"strings"

	"headmill/decide/connmgr"
	"headmill/decide/idempotency"
	"headmill/decide/limits"
	"headmill/decide/shutdown"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/token"
)

// viewerState is the state of a viewer's HTTP connection.
type viewerState uint8

const (
	viewerIdle           viewerState = iota // between requests; holds no parser. Closed at its deadline
	viewerReading                           // a request is being received. Answered with 408 at its deadline
	viewerCheckingToken                     // the signature of its token is being verified; input is held back
	viewerAwaitingResult                    // the request is with the ledger; input is held back. Also set by an upgrade
)

// viewerReadBudget is the input, in bytes, that is read from one connection of a viewer in an iteration of the loop.
const viewerReadBudget = 1024

// viewerConn is one HTTP connection of a viewer.
type viewerConn struct {
	director  *Director
	conn      *loop.Conn
	id        connmgr.ConnID
	parser    *http1.Parser
	pipelined []byte          // input pipelined behind the pending request
	request   *sessionRequest // the request that waits for its result
	webSocket *webSocket      // set once the connection was upgraded
	deadline  float64         // loop time, ms, of the current state; sweepViewers closes the connection after it. 0: none
	state     viewerState
	keepAlive bool // the connection persists after the answer
	closing   bool // the last answer was written; input is discarded
	left      bool // the viewer has closed its side: no request of it for a session is started
}

// accept takes a new connection; makeRoom has made room for it.
func (d *Director) accept(conn *loop.Conn) loop.Handler {
	v := &viewerConn{director: d, conn: conn, deadline: d.loop.Now() + d.cfg.Times.IdleMs}
	conn.SetOutputLimit(d.cfg.Limits.Output)
	conn.SetReadBudget(viewerReadBudget)
	var ok bool
	if v.id, ok = d.addConn(v); !ok {
		return nil
	}
	d.viewers[v] = struct{}{}
	return v
}

// Connected implements loop.Handler. It is never called for accepted connections.
func (v *viewerConn) Connected(*loop.Conn) {}

// Flushed replaces the write deadline with the idle deadline once a slow reader has read everything.
func (v *viewerConn) Flushed(*loop.Conn) {
	if v.state == viewerIdle {
		v.deadline = v.director.loop.Now() + v.director.cfg.Times.IdleMs
	}
}

// PeerClosing implements loop.PeerCloseHandler. Nobody waits for the pending request any more, nor for those behind it; what else the
// viewer has sent before, as ends and reports, is carried out.
func (v *viewerConn) PeerClosing(*loop.Conn) {
	v.left = true
	if v.state == viewerAwaitingResult && v.webSocket == nil {
		v.director.cancel(v.request)
		v.dropRequest()
		v.resume()
	}
}

// dropRequest prepares for the next request without an answer to this one.
func (v *viewerConn) dropRequest() {
	v.releaseParser()
	v.state, v.request = viewerIdle, nil
	v.deadline = v.director.loop.Now() + v.director.cfg.Times.IdleMs
	v.reportUse()
}

// Closed removes the connection from the tables and cancels its pending request for a session. Where a token is still being
// verified, what was read is carried out once it is.
func (v *viewerConn) Closed(_ *loop.Conn, err error) {
	d := v.director
	v.left = true
	if errors.Is(err, loop.ErrSlowReader) {
		d.stats.SlowReaders++
	}
	delete(d.viewers, v)
	d.removeConn(v.id)
	if v.state == viewerAwaitingResult {
		d.cancel(v.request)
	}
	v.releaseParser()
}

// maxFreeParsers limits the parsers kept for reuse.
const maxFreeParsers = 256

// releaseParser returns the parser to the free list.
func (v *viewerConn) releaseParser() {
	if v.parser != nil && len(v.director.freeParsers) < maxFreeParsers {
		v.parser.Next()
		v.director.freeParsers = append(v.director.freeParsers, v.parser)
	}
	v.parser = nil
}

// Data parses input. While a request is pending, reading is paused and the input is kept, so that a viewer that
// pipelines without end costs at most one read buffer.
func (v *viewerConn) Data(_ *loop.Conn, b []byte) {
	if v.closing {
		return
	}
	v.director.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: v.id})
	if v.state >= viewerCheckingToken {
		v.pipelined = append(v.pipelined, b...)
		v.conn.SetReadPaused(true)
	} else if behind := v.parse(b); len(behind) > 0 {
		v.pipelined = append(v.pipelined[:0], behind...)
		v.conn.SetReadPaused(true)
	}
	v.reportInput()
}

// parse consumes input request by request until one is pending, and returns what is behind that one. The connection may have
// ended: nothing is written then, and no session is requested.
func (v *viewerConn) parse(b []byte) (behind []byte) {
	d := v.director
	for len(b) > 0 && !v.closing {
		if v.parser == nil {
			v.parser = d.newParser()
		}
		if v.state == viewerIdle {
			v.state, v.deadline = viewerReading, d.loop.Now()+d.cfg.Times.HeadMs
		}
		n, done, err := v.parser.Feed(b)
		b = b[n:]
		if err != nil {
			var httpErr *http1.Error
			status := 400
			if errors.As(err, &httpErr) {
				status = httpErr.Status
			}
			v.keepAlive = false
			v.writeProblem(status, "malformed", err.Error(), 0)
			return nil
		}
		if !done {
			if v.parser.Idle() { // only empty lines so far
				v.state, v.deadline = viewerIdle, d.loop.Now()+d.cfg.Times.IdleMs
			}
			return nil
		}
		v.handleRequest()
		if v.webSocket != nil {
			if len(b) > 0 {
				v.webSocket.Data(v.conn, b)
			}
			return nil
		}
		if v.state >= viewerCheckingToken {
			return b
		}
	}
	return nil
}

// newParser takes a parser from the free list or makes one.
func (d *Director) newParser() *http1.Parser {
	if n := len(d.freeParsers); n > 0 {
		p := d.freeParsers[n-1]
		d.freeParsers = d.freeParsers[:n-1]
		return p
	}
	return http1.NewRequests(http1.Limits{
		Line:   d.cfg.Limits.Line,
		Head:   d.cfg.Limits.Head,
		Fields: d.cfg.Limits.Fields,
		Body:   d.cfg.Limits.Body,
	})
}

// handleRequest answers a complete request or passes it on to the ledger.
func (v *viewerConn) handleRequest() {
	d, msg := v.director, &v.parser.Msg
	d.stepConnManager(connmgr.Event{Kind: connmgr.RequestRead, Conn: v.id})
	v.keepAlive = !msg.Close && d.shutdown.Phase() == shutdown.PhaseServing
	path, query, _ := strings.Cut(string(msg.Target), "?")
	method := string(msg.Method)
	switch {
	case d.shutdown.Phase() == shutdown.PhaseStopped:
		v.writeProblem(503, "refused-"+idempotency.ReasonShuttingDown.String(), shuttingDownDetail,
			d.cfg.Attempts.MaxRetryAfterMs)
	case path == "/healthz" && (method == "GET" || method == "HEAD"):
		v.handleHealth(method == "HEAD")
	case method == "OPTIONS":
		v.handlePreflight()
	case strings.HasPrefix(path, "/dash/") && strings.HasSuffix(path, "/manifest.mpd"):
		// HEAD is rejected too: it would start a session without returning its manifest.
		if method != "GET" && method != "DELETE" {
			v.methodNotAllowed()
			return
		}
		name, err := url.PathUnescape(path[len("/dash/") : len(path)-len("/manifest.mpd")])
		if err != nil {
			v.writeProblem(400, "malformed", "the title in the path is not percent-encoded rightly", 0)
			return
		}
		v.handleManifest(name, query, method == "DELETE")
	case path == "/session":
		v.handleUpgrade(method)
	case path == "/cmcd":
		v.handleReports(method, query)
	default:
		v.writeProblem(404, "no-such-page", "manifests are at /dash/TITLE/manifest.mpd", 0)
	}
}

// requestToken returns the session token of a request. It returns false if the query is malformed and the request was
// answered.
func (v *viewerConn) requestToken(query string) (string, bool) {
	raw := bearer(v.parser.Msg.Get("authorization"))
	if raw != "" {
		return raw, true
	}
	q, err := url.ParseQuery(query)
	if err != nil {
		v.writeProblem(400, "malformed", "the query is not form-encoded", 0)
		return "", false
	}
	if raw = q.Get("token"); raw == "" {
		raw = q.Get("access_token") // RFC 6750 2.3
	}
	return raw, true
}

// handleReports accepts a player's own reports: event mode of CMCD version 2 (CTA-5004-B), one list per line.
// The token identifies the session; an expired token is accepted for as long as its session is known.
func (v *viewerConn) handleReports(method, query string) {
	if method != "POST" {
		v.methodNotAllowed()
		return
	}
	raw, ok := v.requestToken(query)
	if !ok {
		return
	}
	lines := strings.Split(string(v.parser.Msg.Body), "\n")
	v.checkToken(raw, func(c *token.Claims) {
		d := v.director
		id, _, _ := d.ledger.Lookup(c.ID)
		s := d.sessions[id]
		if s == nil {
			v.reject(&requestError{404, "no-such-session", "no session of this token plays here"})
			return
		}
		s.reportLimiter.RatePerMs, s.reportLimiter.Burst = 1/d.cfg.Times.ReportMs, reportBurst
		for _, line := range lines {
			switch line = strings.TrimSpace(line); {
			case line == "":
			case len(line) > maxReportBytes || !s.reportLimiter.Allow(d.loop.Now()) ||
				!d.quotas.Fits(limits.Reports, int64(len(line))):
				d.stats.ReportsDropped++
			default:
				d.recordReport(s, line, 0, 0)
				d.stats.ReportsAccepted++
			}
		}
		v.writeResponse(append(v.responseHead(204), "\r\n"...))
	})
}

// reportBurst is the number of reports of one session accepted at once, as players send events in bursts.
const reportBurst = 16

// handleManifest checks the token and then requests the session or, for DELETE, ends it.
func (v *viewerConn) handleManifest(name, query string, end bool) {
	raw, ok := v.requestToken(query)
	if !ok {
		return
	}
	v.checkToken(raw, func(c *token.Claims) {
		d := v.director
		t, reqErr := d.validateRequest(name, c)
		switch {
		case reqErr != nil:
			v.reject(reqErr)
		case end && d.requestEnd(c):
			v.writeResponse(append(v.responseHead(204), "\r\n"...))
		case end:
			v.writeProblem(404, "no-such-session", "no session of this token plays or is being set up here", 0)
		case v.left || !v.conn.Receiving():
			v.dropRequest()
		default:
			v.state, v.request = viewerAwaitingResult, &sessionRequest{responder: v}
			d.submit(v.request, t, raw, c)
		}
	})
	if end && v.state == viewerCheckingToken {
		v.conn.SetReadPaused(true) // resume goes on: the end of the connection must not come before that of the session
	}
}

// checkToken verifies a token's signature, which may happen on the worker pool, and calls next with its claims. The
// connection may have ended by then. Requests pipelined behind this one wait.
func (v *viewerConn) checkToken(raw string, next func(*token.Claims)) {
	d := v.director
	v.state, v.deadline = viewerCheckingToken, 0
	v.reportUse()
	synchronous := true
	d.tokenChecks++
	if !d.tokenChecker.VerifyAsync(d.tokenPool, raw, func(c *token.Claims, err error) {
		d.tokenChecks--
		if err != nil {
			v.reject(unauthorized(err))
		} else {
			next(c)
		}
		if !synchronous && v.state == viewerIdle {
			v.resume()
		}
	}) {
		d.tokenChecks--
		d.stats.Refused++
		v.writeProblem(503, "refused-checks",
			"more session tokens come than this director can check; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
	}
	synchronous = false
}

// reject answers with an error and counts it.
func (v *viewerConn) reject(reqErr *requestError) {
	v.director.stats.Denied++
	v.writeProblem(reqErr.status, reqErr.problem, reqErr.detail, 0)
}

// bearer returns the token of an Authorization field (RFC 6750 section 2.1), or "".
func bearer(v []byte) string {
	const scheme = "bearer "
	if len(v) > len(scheme) && bytes.EqualFold(v[:len(scheme)], []byte(scheme)) {
		return string(bytes.TrimLeft(v[len(scheme):], " "))
	}
	return ""
}

// drain closes an idle connection at the start of a shutdown; others are closed after their answer.
func (v *viewerConn) drain() {
	v.keepAlive = false
	v.closeIdle()
}

// closeIdle closes a connection between requests. A request that has arrived by then is read and answered first: its
// viewer could not tell from the close whether it was read.
func (v *viewerConn) closeIdle() {
	if v.state == viewerIdle {
		v.conn.ReadAvailable()
	}
	if v.state == viewerIdle {
		v.conn.CloseGracefully()
	}
}

// sweepViewers closes connections past the deadline of their state: idle, an incomplete request, or an answer that is
// not read.
func (d *Director) sweepViewers() {
	now := d.loop.Now()
	if now < d.nextViewerSweep {
		return
	}
	d.nextViewerSweep = now + sweepIntervalMs
	for v := range d.viewers {
		if v.deadline == 0 || now < v.deadline {
			continue
		}
		if v.state == viewerReading && !v.closing {
			v.keepAlive = false
			v.writeProblem(408, "too-slow", "the request did not come whole in time", 0)
			continue
		}
		if v.state == viewerIdle && v.conn.Pending() == 0 {
			v.closeIdle()
			continue
		}
		v.conn.Close(loop.ErrClosedByOwner)
	}
}

// unauthorized returns the error for a token that is not accepted (RFC 6750 section 3).
func unauthorized(err error) *requestError {
	problem := "invalid-token"
	switch {
	case errors.Is(err, token.ErrMissing):
		problem = "no-token"
	case errors.Is(err, token.ErrExpired):
		problem = "token-expired"
	case errors.Is(err, token.ErrUnknownKey):
		problem = "unknown-key"
	}
	return &requestError{401, problem, err.Error()}
}
