package director

import (
	"encoding/json"
	"math"
	"net/url"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/attribute"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/health"
	"headmill/decide/idempotency"
	"headmill/decide/limits"
	"headmill/decide/quality"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/orca"
)

// setup is one attempt at a box, from the module's word to its outcome and, for a paid class, a while longer.
type setup struct {
	d     *Director
	s     *session
	b     *box
	u     *upstream
	a     attempt.Attempt
	took  float64 // when it was begun
	timer *loop.Timer
	load  orca.Load
	base  string
	rung  int
	heeds bool // the connection is kept for a late word
}

var outcomes = map[attempt.Outcome]headmill.Outcome{attempt.OutcomeFull: headmill.Full,
	attempt.OutcomeConnectFailed: headmill.ConnectFailed, attempt.OutcomeError: headmill.Failed, attempt.OutcomeReset: headmill.Reset,
	attempt.OutcomeTimedOut: headmill.TimedOut, attempt.OutcomeCancelled: headmill.Cancelled}

// send begins the attempt that the module asked for. allow is its time, ms; 0: until the viewer gives up.
func (d *Director) send(s *session, server headmill.NodeID, allow float64) {
	now := d.l.Now()
	if allow <= 0 || allow > s.deadline-now {
		allow = math.Max(s.deadline-now, 0)
	}
	t := &setup{d: d, s: s, b: d.box(server), took: now, rung: s.rung}
	t.a.Paid = d.cfg.Classes[s.title.class].Semantics == "once"
	s.setup, s.server, s.base, s.sent = t, server, "", s.rung
	s.attempts++
	d.stats.Attempts++
	s.story.Attempt(attribute.String("box", t.b.addr), attribute.Int("rung", t.rung), attribute.Int("number", s.attempts),
		attribute.Float64("allow_ms", ms(allow)))
	d.watchIn = append(d.watchIn, health.Event{Kind: health.SetupSent, Node: health.NodeID(server), Session: health.SessionID(s.id)})
	t.timer = d.l.After(allow, func() { t.step(attempt.Event{Kind: attempt.DeadlineExceeded}) })
	u := t.b.rested()
	if u != nil {
		t.u = u
		u.take(t)
	}
	t.step(attempt.Event{Kind: attempt.Start, Reused: u != nil})
}

// step gives a fact to decide/attempt and carries out what it says.
func (t *setup) step(ev attempt.Event) {
	for _, a := range t.a.Step(ev, nil) {
		switch a.Kind {
		case attempt.Dial:
			if !t.b.dial(t) {
				t.step(attempt.Event{Kind: attempt.ConnectionClosed})
			}
		case attempt.Write:
			t.write()
		case attempt.ReportOutcome:
			t.settle(a.Outcome)
		case attempt.KeepConnection:
			if t.u != nil {
				t.u.rest()
			}
			t.u = nil
		case attempt.CloseConnection:
			if t.u != nil {
				t.u.use = nil
				t.u.c.Close(loop.ErrClosedByOwner)
			}
			t.u = nil
		case attempt.ReportLateSuccess:
			t.late()
		case attempt.ReportNeverRan:
			t.d.ledgerIn = append(t.d.ledgerIn, idempotency.Event{Kind: idempotency.ProvenNeverRan, Session: t.s.id})
		}
	}
	if t.a.State() != attempt.StateClosed || t.s.setup != t {
		return
	}
	t.s.setup = nil
	if t.heeds { // no late word came, or that it never ran
		t.gone()
	}
}

func (t *setup) gone() {
	t.d.watchIn = append(t.d.watchIn, health.Event{Kind: health.SessionEnded, Node: health.NodeID(t.b.id),
		Session: health.SessionID(t.s.id)})
}

// write sends the set-up: PUT of the session's own resource, so that a box can tell a repeated one.
func (t *setup) write() {
	d, s := t.d, t.s
	q := url.Values{"title": {s.title.Name}, "class": {s.title.Class}, "rung": {strconv.Itoa(t.rung)},
		"jti": {s.claims.id}, "viewer": {s.claims.viewer}, "brand": {s.claims.brand},
		"director": {d.cfg.Director.Name}, "attempt": {strconv.Itoa(s.attempts)},
		"duration_ms": {strconv.FormatFloat(s.title.DurationMs, 'f', -1, 64)}}
	b := http1.AppendRequest(d.scratch[:0], "PUT", "/sessions/"+d.name(s), t.b.addr)
	b = http1.AppendField(b, "Content-Type", "application/x-www-form-urlencoded")
	b = http1.AppendBody(b, []byte(q.Encode()), false)
	d.scratch = b[:0]
	t.u.c.Write(b)
	t.wrote(t.u)
}

func (t *setup) connected(u *upstream) {
	if t.a.State() != attempt.StateWaiting { // its time was over before the connection stood
		u.rest()
		return
	}
	t.u = u
	u.take(t)
	t.step(attempt.Event{Kind: attempt.Connected})
}

func (t *setup) wrote(u *upstream) {
	t.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: u.left()})
}

func (t *setup) head(_ *upstream, status int) {
	t.step(attempt.Event{Kind: attempt.ResponseHead, Status: status})
}

// whole reads the box's answer: its load, where the session's media are, and its word that nothing ran.
func (t *setup) whole(_ *upstream, m *http1.Message) {
	t.load = orca.Parse(string(m.Get(orca.Header)))
	never := false
	if m.Status == 503 && strings.HasPrefix(string(m.Get("content-type")), "application/problem+json") {
		var doc struct {
			Ran *bool `json:"ran"`
		}
		never = json.Unmarshal(m.Body, &doc) == nil && doc.Ran != nil && !*doc.Ran
	}
	status := m.Status
	if status == 201 {
		if t.base = string(m.Get("location")); !strings.HasPrefix(t.base, "http://") {
			status = 502 // it says that it plays and not where: it may run, and nobody can see it
		}
	}
	t.step(attempt.Event{Kind: attempt.ResponseComplete, Status: status, NeverRan: never})
}

func (t *setup) broke(u *upstream, _ error) {
	if t.u == u && u.left() > 0 { // bytes that left in the very call that failed count as left
		t.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: u.left()})
	}
	t.u = nil
	t.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// settle tells the outcome to the module, and what plays to the ledger.
func (t *setup) settle(o attempt.Outcome) {
	d, s := t.d, t.s
	d.l.Cancel(t.timer)
	now := d.l.Now()
	s.last = o
	s.story.Settle(o.String(), o == attempt.OutcomePlaying)
	k, took := headmill.SessionID(s.id), now-t.took
	if o == attempt.OutcomePlaying {
		s.state, s.played, s.base, s.setup = plays, now, t.base, nil
		s.story.Play(attribute.String("box", t.b.addr), attribute.Int("rung", t.rung))
		d.toModule(headmill.Event{Kind: headmill.EvAttemptPlaying, Session: k, Node: t.b.id, LatencyMs: took})
		if t.load.X0 >= 0 {
			d.toModule(headmill.Event{Kind: headmill.EvFeedback, Session: k, Node: t.b.id, Feedback: headmill.FeedbackLinkLoad,
				Value: t.load.X0})
		}
		if t.load.X1 >= 0 {
			d.toModule(headmill.Event{Kind: headmill.EvFeedback, Session: k, Node: t.b.id, Feedback: headmill.FeedbackUplinkLoad,
				Value: t.load.X1})
		}
		d.watchIn = append(d.watchIn, health.Event{Kind: health.SessionStarted, Node: health.NodeID(t.b.id), Session: health.SessionID(s.id)})
		d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SetupSucceeded, Session: s.id})
		d.gate.Step(now, []limits.Event{d.placed(s)}, nil)
		if s.rung != t.rung {
			d.tellRung(s)
		}
		d.viewed(s, quality.SessionStarted)
		return
	}
	if t.a.State() == attempt.StateAwaitingLate { // the connection stays for a late word
		t.heeds = true
		t.timer = d.l.After(d.cfg.Times.LateAnswerMs, func() { t.step(attempt.Event{Kind: attempt.LateWindowOver}) })
	} else {
		t.gone()
	}
	d.toModule(headmill.Event{Kind: headmill.EvAttemptEnded, Session: k, Node: t.b.id, Outcome: outcomes[o],
		LatencyMs: took, Report: report(t.load)})
}

// late takes the word of a box, after the time-out, that a paid session plays.
func (t *setup) late() {
	d, s := t.d, t.s
	d.l.Cancel(t.timer)
	d.stats.Late++
	s.base, s.server, s.sent, s.setup = t.base, t.b.id, t.rung, nil
	d.log.Warn("a set-up that had been given up plays", "session", d.name(s), "jti", s.claims.id, "box", t.b.addr,
		"took_ms", ms(d.l.Now()-t.took))
	d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.LateSuccess, Session: s.id})
}
