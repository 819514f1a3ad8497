package director

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"strconv"

	"headmill/decide/idempotency"
	"headmill/decide/shutdown"
	"headmill/internal/http1"
)

// problemTypePrefix begins all problem types (RFC 9457 section 3.1.1). They are listed in docs/operate/director.md.
const problemTypePrefix = "urn:headmill:problem:"

// representationIDs has the representation ID of each rung, to avoid formatting them for each manifest.
var representationIDs [64]string

func init() {
	for i := range representationIDs {
		representationIDs[i] = "r" + strconv.Itoa(i)
	}
}

// representationID returns the ID of a rung's representation in manifests.
func representationID(rung int) string { return representationIDs[rung] }

// responseHead begins a response with the fields common to all: it may not be stored, and pages of any origin may
// read it.
func (v *viewerConn) responseHead(status int) []byte {
	b := http1.AppendStatusLine(v.director.writeBuffer[:0], status)
	b = append(b, "Access-Control-Allow-Origin: *\r\nCache-Control: no-store\r\n"...)
	if !v.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// writeResponse sends a complete response and prepares for the next request.
func (v *viewerConn) writeResponse(b []byte) {
	d := v.director
	d.writeBuffer = b[:0]
	v.releaseParser()
	v.state, v.request = viewerIdle, nil
	v.reportUse()
	if !v.hasLeftMore() {
		v.conn.Write(b)
	}
	if !v.keepAlive {
		v.closing = true
		v.deadline = d.loop.Now() + d.cfg.Times.WriteMs
		v.conn.CloseGracefully()
		return
	}
	v.deadline = d.loop.Now() + d.cfg.Times.IdleMs
	if v.conn.Pending() > 0 {
		v.deadline = d.loop.Now() + d.cfg.Times.WriteMs
	}
}

// hasLeftMore reports whether the viewer has closed its side and left requests behind the present one. An answer may then be met
// with a reset, which ends the connection ahead of them.
func (v *viewerConn) hasLeftMore() bool {
	return v.left && v.keepAlive && (len(v.pipelined) > 0 || v.conn.Unread())
}

// resume parses the requests that were pipelined behind the answered one. Of a connection that has ended there may be many: a
// read budget of them is carried out in one iteration of the loop.
func (v *viewerConn) resume() {
	v.conn.SetReadPaused(false)
	defer v.reportInput()
	rest := v.pipelined
	v.pipelined = nil
	if len(rest) == 0 || v.closing {
		return
	}
	turn := len(rest)
	if !v.conn.Receiving() {
		turn = min(turn, viewerReadBudget)
	}
	behind := v.parse(rest[:turn])
	rest = rest[turn-len(behind):]
	if len(rest) == 0 || v.closing {
		return
	}
	v.pipelined = rest
	if v.state >= viewerCheckingToken {
		v.conn.SetReadPaused(true)
	} else {
		v.director.loop.Post(v.resume)
	}
}

// writeProblem answers with a problem document (RFC 9457). A retryMs of 0 omits the retry advice.
func (v *viewerConn) writeProblem(status int, problem, detail string, retryMs float64) {
	v.writeResponse(v.problem(status, problem, detail, retryMs))
}

// problem returns a response with a problem document.
func (v *viewerConn) problem(status int, problem, detail string, retryMs float64) []byte {
	b := v.responseHead(status)
	if status == 405 {
		b = http1.AppendField(b, "Allow", "GET, OPTIONS")
	}
	if status == 401 {
		b = http1.AppendField(b, "WWW-Authenticate", `Bearer realm="headmill", error="invalid_token"`)
	}
	if retryMs > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.Itoa(int(math.Ceil(retryMs/1000))))
		b = append(b, "Access-Control-Expose-Headers: Retry-After\r\n"...)
	}
	doc := struct {
		Type    string  `json:"type"`
		Title   string  `json:"title"`
		Status  int     `json:"status"`
		Detail  string  `json:"detail"`
		RetryMs float64 `json:"retry_after_ms,omitempty"`
	}{problemTypePrefix + problem, http1.Reason(status), status, detail, retryMs}
	body, _ := json.Marshal(doc) // strings and numbers only: cannot fail
	b = http1.AppendField(b, "Content-Type", "application/problem+json")
	return http1.AppendBody(b, body, false)
}

// methodNotAllowed answers 405.
func (v *viewerConn) methodNotAllowed() {
	v.writeProblem(405, "method", "manifests are fetched with GET", 0)
}

// handlePreflight answers a browser's CORS preflight, which the Authorization field requires (WHATWG Fetch 4.8).
func (v *viewerConn) handlePreflight() {
	b := v.responseHead(204)
	b = append(b, "Access-Control-Allow-Methods: GET, POST, DELETE, OPTIONS\r\n"+
		"Access-Control-Allow-Headers: Authorization, Content-Type\r\n"+
		"Access-Control-Max-Age: 600\r\n\r\n"...)
	v.writeResponse(b)
}

// handleHealth answers a health check: 200 while serving with a node list, otherwise 503.
func (v *viewerConn) handleHealth(head bool) {
	status, body := 200, "ok\nboxes "+strconv.Itoa(v.director.nodeList.Len())+
		"\nweight "+strconv.Itoa(v.director.admission.Weight())+"\n"
	switch {
	case v.director.shutdown.Phase() != shutdown.PhaseServing:
		status, body = 503, "stopping\n"
	case v.director.nodeList.Len() == 0:
		status, body = 503, "no box list\n"
	}
	b := http1.AppendField(v.responseHead(status), "Content-Type", "text/plain")
	v.writeResponse(http1.AppendBody(b, []byte(body), head))
}

// respond answers the pending request with the session's manifest, a problem, or a redirect to another director.
func (v *viewerConn) respond(req *sessionRequest, r requestResult) {
	d := v.director
	switch r.outcome {
	case outcomePlaying:
		b := http1.AppendField(v.responseHead(200), "Content-Type", "application/dash+xml")
		d.manifestBuffer = d.appendManifest(d.manifestBuffer[:0], r.session, req.claims.raw)
		v.writeResponse(http1.AppendBody(b, d.manifestBuffer, false))
	case outcomeRedirected: // RFC 9110 15.4.8
		b := http1.AppendField(v.responseHead(307), "Location", d.manifestURL(r.owner, req))
		v.writeResponse(http1.AppendBody(b, nil, false))
	case outcomeRefused:
		if r.reason == idempotency.ReasonShuttingDown.String() {
			v.keepAlive = false
		}
		v.writeProblem(r.status, "refused-"+r.reason, r.detail, r.retryMs)
	case outcomeFailed:
		v.writeProblem(r.status, "failed-"+r.reason, r.detail, 0)
	}
	v.resume()
}

// manifestURL returns the URL of a request's manifest at the director with the given index.
func (d *Director) manifestURL(director int, req *sessionRequest) string {
	base := "http://" + d.Addr()
	if director < len(d.cfg.Director.URLs) {
		base = d.cfg.Director.URLs[director]
	}
	return base + "/dash/" + req.title.Name + "/manifest.mpd?token=" + req.claims.raw
}

// logAnswer writes the one log line that each answer has. The package comment explains its external names; "last" is the
// outcome of the last attempt.
func (d *Director) logAnswer(req *sessionRequest, s *session, result string, status int, reason string) {
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs, slog.String("result", result), slog.Int("status", status), slog.String("reason", reason),
		slog.String("jti", req.claims.jti), slog.String("title", req.title.Name),
		slog.String("class", req.title.Class), slog.String("brand", req.claims.tenant),
		slog.Float64("took_ms", roundMs(d.loop.Now()-req.receivedAt)), slog.Bool("again", req.claims.retried))
	if s != nil {
		attrs = append(attrs, slog.String("session", d.sessionName(s)), slog.Int("attempts", s.attempts),
			slog.Int("rung", s.rung), slog.String("last", s.lastOutcome.String()),
			slog.Float64("asked_ms", roundMs(d.loop.Now()-s.requestedAt)))
		if s.node != 0 {
			attrs = append(attrs, slog.String("box", d.nodeList.Addr(s.node)))
		}
	}
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "answer", attrs...)
}

// roundMs rounds a time in ms to one decimal place for the log.
func roundMs(v float64) float64 { return math.Round(v*10) / 10 }
