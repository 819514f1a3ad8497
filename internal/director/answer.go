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

// problemType is the prefix of problem types (RFC 9457 section 3.1.1); docs/operate/director.md lists them.
const problemType = "urn:headmill:problem:"

var rungNames [64]string

func init() {
	for i := range rungNames {
		rungNames[i] = "r" + strconv.Itoa(i)
	}
}

// rungName is the id of a rung's representation.
func rungName(r int) string { return rungNames[r] }

// head begins a response with the fields that all have: none may be stored, and pages of any origin may read it.
func (v *viewer) head(status int) []byte {
	b := http1.AppendStatus(v.d.scratch[:0], status)
	b = append(b, "Access-Control-Allow-Origin: *\r\nCache-Control: no-store\r\n"...)
	if !v.keep {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// write sends a response whole and makes ready for the next request.
func (v *viewer) write(b []byte) {
	d := v.d
	d.scratch = b[:0]
	v.release()
	v.state, v.order = resting, nil
	v.c.Write(b)
	if !v.keep {
		v.cut = true
		v.deadline = d.l.Now() + d.cfg.Times.WriteMs
		v.c.CloseWrite()
		return
	}
	v.deadline = d.l.Now() + d.cfg.Times.IdleMs
	if v.c.Pending() > 0 {
		v.deadline = d.l.Now() + d.cfg.Times.WriteMs
	}
}

// next goes on with what was pipelined behind an answered request.
func (v *viewer) next() {
	v.c.Pause(false)
	if rest := v.rest; len(rest) > 0 && !v.cut {
		v.rest = nil
		v.feed(rest)
	}
}

// problem answers with a problem document (RFC 9457). retryMs is advice; 0 gives none.
func (v *viewer) problem(status int, kind, detail string, retryMs float64) {
	b := v.head(status)
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
	}{problemType + kind, http1.Reason(status), status, detail, retryMs}
	body, _ := json.Marshal(doc) // strings and numbers only: it can't fail
	b = http1.AppendField(b, "Content-Type", "application/problem+json")
	v.write(http1.AppendBody(b, body, false))
}

func (v *viewer) notAllowed() {
	v.problem(405, "method", "manifests are fetched with GET", 0)
}

// preflight answers a browser's CORS preflight: the Authorization field needs one (WHATWG Fetch 4.8).
func (v *viewer) preflight() {
	b := v.head(204)
	b = append(b, "Access-Control-Allow-Methods: GET, POST, DELETE, OPTIONS\r\nAccess-Control-Allow-Headers: Authorization, Content-Type\r\n"+
		"Access-Control-Max-Age: 600\r\n\r\n"...)
	v.write(b)
}

func (v *viewer) health(head bool) {
	status, body := 200, "ok\nboxes "+strconv.Itoa(v.d.fleet.Len())+"\nweight "+strconv.Itoa(v.d.gate.Weight())+"\n"
	switch {
	case v.d.stop.Phase() != shutdown.PhaseServing:
		status, body = 503, "stopping\n"
	case v.d.fleet.Len() == 0:
		status, body = 503, "no box list\n"
	}
	b := http1.AppendField(v.head(status), "Content-Type", "text/plain")
	v.write(http1.AppendBody(b, []byte(body), head))
}

// result answers the request that is out: with the session's manifest, a problem, or the way to another director.
func (v *viewer) result(o *order, r result) {
	d := v.d
	switch r.verdict {
	case isPlaying:
		b := http1.AppendField(v.head(200), "Content-Type", "application/dash+xml")
		d.body = d.manifest(d.body[:0], r.s, o.claims.raw)
		v.write(http1.AppendBody(b, d.body, false))
	case isElsewhere: // RFC 9110 15.4.8
		b := http1.AppendField(v.head(307), "Location", d.manifestURL(r.home, o))
		v.write(http1.AppendBody(b, nil, false))
	case isRefused:
		if r.reason == idempotency.ReasonShuttingDown.String() {
			v.keep = false
		}
		v.problem(r.status, "refused-"+r.reason, r.detail, r.retryMs)
	case isFailed:
		v.problem(r.status, "failed-"+r.reason, r.detail, 0)
	}
	v.next()
}

// manifestURL is where a director gives the manifest of an order.
func (d *Director) manifestURL(director int, o *order) string {
	base := "http://" + d.Addr()
	if director < len(d.cfg.Director.URLs) {
		base = d.cfg.Director.URLs[director]
	}
	return base + "/dash/" + o.title.Name + "/manifest.mpd?token=" + o.claims.raw
}

// final writes the one log line that each answer has.
func (d *Director) final(v *order, s *session, result string, status int, reason string) {
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs, slog.String("result", result), slog.Int("status", status), slog.String("reason", reason),
		slog.String("jti", v.claims.id), slog.String("title", v.title.Name), slog.String("class", v.title.Class),
		slog.String("brand", v.claims.brand), slog.Float64("took_ms", ms(d.l.Now()-v.since)), slog.Bool("again", v.claims.repeated))
	if s != nil {
		attrs = append(attrs, slog.String("session", d.name(s)), slog.Int("attempts", s.attempts),
			slog.Int("rung", s.rung), slog.String("last", s.last.String()), slog.Float64("asked_ms", ms(d.l.Now()-s.asked)))
		if s.server != 0 {
			attrs = append(attrs, slog.String("box", d.fleet.Addr(s.server)))
		}
	}
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "answer", attrs...)
}

func ms(v float64) float64 { return math.Round(v*10) / 10 }
