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

// setupAttempt is one attempt at a media node, from the module's ActSetup to its outcome. For a paid class,
// whose set-ups may run at most once, it lasts up to times.late_ms longer, for a late answer.
type setupAttempt struct {
	director     *Director
	session      *session
	node         *mediaNode
	conn         *nodeConn
	machine      attempt.Attempt
	startedAt    float64 // loop time, ms
	timer        *loop.Timer
	loadReport   orca.Load
	mediaURL     string
	rung         int  // as sent with the set-up
	awaitingLate bool // the connection stays open for a late answer
	earlyEnd     *earlyEnd
}

// earlyEnd is the end of a session that its media node has reported before the answer to the set-up was read.
type earlyEnd struct {
	load   orca.Load
	reason string
}

// moduleOutcomes has the module's outcome for each outcome of an attempt except OutcomePlaying. OutcomeNeverSent counts
// as a failed connect.
var moduleOutcomes = map[attempt.Outcome]headmill.Outcome{
	attempt.OutcomeFull:      headmill.OutcomeFull,
	attempt.OutcomeNeverSent: headmill.OutcomeConnectFailed,
	attempt.OutcomeError:     headmill.OutcomeFailed,
	attempt.OutcomeReset:     headmill.OutcomeReset,
	attempt.OutcomeTimedOut:  headmill.OutcomeTimedOut,
	attempt.OutcomeCancelled: headmill.OutcomeCancelled,
}

// startAttempt starts the attempt that the module asked for. allowedMs is its time limit; 0 means until the session's
// deadline, shortly before the viewer gives up.
func (d *Director) startAttempt(s *session, node headmill.NodeID, allowedMs float64) {
	now := d.loop.Now()
	if allowedMs <= 0 || allowedMs > s.deadline-now {
		allowedMs = math.Max(s.deadline-now, 0)
	}
	a := &setupAttempt{director: d, session: s, node: d.node(node), startedAt: now, rung: s.rung}
	a.machine.Paid = d.cfg.Classes[s.title.class].Semantics == "once"
	s.setup, s.node, s.mediaURL, s.sentRung = a, node, "", s.rung
	s.attempts++
	d.stats.Attempts++
	s.trace.StartAttempt(attribute.String("box", a.node.addr), attribute.Int("rung", a.rung),
		attribute.Int("number", s.attempts), attribute.Float64("allow_ms", roundMs(allowedMs)))
	d.healthEvents = append(d.healthEvents, health.Event{
		Kind:    health.SetupSent,
		Node:    health.NodeID(node),
		Session: health.SessionID(s.id),
	})
	a.timer = d.loop.After(allowedMs, func() { a.step(attempt.Event{Kind: attempt.DeadlineExceeded}) })
	conn := a.node.takeIdleConn()
	if conn != nil {
		a.conn = conn
		conn.assign(a)
	}
	a.step(attempt.Event{Kind: attempt.Start, Reused: conn != nil})
}

// step passes an event to decide/attempt and carries out its actions.
func (a *setupAttempt) step(ev attempt.Event) {
	for _, action := range a.machine.Step(ev, nil) {
		switch action.Kind {
		case attempt.Dial:
			if !a.node.dial(a) {
				a.step(attempt.Event{Kind: attempt.ConnectionClosed})
			}
		case attempt.Write:
			a.writeRequest()
		case attempt.ReportOutcome:
			a.reportOutcome(action.Outcome)
		case attempt.KeepConnection:
			if a.conn != nil {
				a.conn.release()
			}
			a.conn = nil
		case attempt.CloseConnection:
			if a.conn != nil {
				a.conn.user = nil
				a.conn.netConn.Close(loop.ErrClosedByOwner)
			}
			a.conn = nil
		case attempt.ReportLateSuccess:
			a.acceptLateSuccess()
		case attempt.ReportNeverRan:
			a.director.ledgerEvents = append(a.director.ledgerEvents, idempotency.Event{
				Kind:    idempotency.ProvenNeverRan,
				Session: a.session.id,
			})
		}
	}
	if a.machine.State() != attempt.StateClosed || a.session.setup != a {
		return
	}
	a.session.setup = nil
	if a.awaitingLate { // it ended without a late success
		a.reportSetupEnded()
	}
}

// reportSetupEnded reports to decide/health that the set-up is no longer expected at the media node. decide/health
// counts a set-up as a session from SetupSent on, and SessionEnded removes it.
func (a *setupAttempt) reportSetupEnded() {
	a.director.healthEvents = append(a.director.healthEvents, health.Event{
		Kind:    health.SessionEnded,
		Node:    health.NodeID(a.node.id),
		Session: health.SessionID(a.session.id),
	})
}

// writeRequest sends the set-up as a PUT of the session's own resource, so that a media node recognizes a repeated
// one.
func (a *setupAttempt) writeRequest() {
	d, s := a.director, a.session
	q := url.Values{
		"title":       {s.title.Name},
		"class":       {s.title.Class},
		"rung":        {strconv.Itoa(a.rung)},
		"jti":         {s.claims.jti},
		"viewer":      {s.claims.viewer},
		"brand":       {s.claims.tenant},
		"director":    {d.cfg.Director.Name},
		"attempt":     {strconv.Itoa(s.attempts)},
		"duration_ms": {strconv.FormatFloat(s.title.DurationMs, 'f', -1, 64)},
	}
	b := http1.AppendRequest(d.writeBuffer[:0], "PUT", "/sessions/"+d.sessionName(s), a.node.addr)
	b = http1.AppendField(b, "Content-Type", "application/x-www-form-urlencoded")
	b = http1.AppendBody(b, []byte(q.Encode()), false)
	d.writeBuffer = b[:0]
	a.conn.netConn.Write(b)
	a.bytesWritten(a.conn)
}

// connected assigns the connection that was dialled for the attempt and reports it to decide/attempt, which writes the
// request on it.
func (a *setupAttempt) connected(conn *nodeConn) {
	if a.machine.State() != attempt.StateWaiting { // timed out before the connection was established
		conn.release()
		return
	}
	a.conn = conn
	conn.assign(a)
	a.step(attempt.Event{Kind: attempt.Connected})
}

func (a *setupAttempt) bytesWritten(conn *nodeConn) {
	a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: conn.requestBytesWritten()})
}

func (a *setupAttempt) responseHead(_ *nodeConn, status int) {
	a.step(attempt.Event{Kind: attempt.ResponseHead, Status: status})
}

// responseComplete reads the media node's answer: its load, the URL of the session's media, and the statement that
// nothing ran.
func (a *setupAttempt) responseComplete(_ *nodeConn, m *http1.Message) {
	a.loadReport = orca.Parse(string(m.Get(orca.Header)))
	neverRan := false
	if m.Status == 503 && strings.HasPrefix(string(m.Get("content-type")), "application/problem+json") {
		var doc struct {
			Ran *bool `json:"ran"`
		}
		neverRan = json.Unmarshal(m.Body, &doc) == nil && doc.Ran != nil && !*doc.Ran
	}
	status := m.Status
	if status == 201 {
		if a.mediaURL = string(m.Get("location")); !strings.HasPrefix(a.mediaURL, "http://") {
			status = 502 // it plays at an unknown URL: it may have run, but nobody can watch it
		}
	}
	a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: status, NeverRan: neverRan})
}

func (a *setupAttempt) connectionClosed(conn *nodeConn, _ error) {
	if a.conn == conn && conn.requestBytesWritten() > 0 { // count the bytes written in the very call that failed
		a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: conn.requestBytesWritten()})
	}
	a.conn = nil
	a.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// reportOutcome reports the outcome to the module and, if the session plays, to the ledger.
func (a *setupAttempt) reportOutcome(outcome attempt.Outcome) {
	d, s := a.director, a.session
	d.loop.Cancel(a.timer)
	now := d.loop.Now()
	s.lastOutcome = outcome
	s.trace.EndAttempt(outcome.String(), outcome == attempt.OutcomePlaying)
	id, tookMs := headmill.SessionID(s.id), now-a.startedAt
	if outcome == attempt.OutcomePlaying {
		s.state, s.playingSince, s.mediaURL, s.setup = sessionPlaying, now, a.mediaURL, nil
		s.trace.StartPlayback(attribute.String("box", a.node.addr), attribute.Int("rung", a.rung))
		d.queueModuleEvent(headmill.Event{
			Kind:      headmill.EvAttemptPlaying,
			Session:   id,
			Node:      a.node.id,
			LatencyMs: tookMs,
		})
		if a.loadReport.LinkLoad >= 0 {
			d.queueModuleEvent(headmill.Event{
				Kind:          headmill.EvFeedback,
				Session:       id,
				Node:          a.node.id,
				Feedback:      headmill.FeedbackLinkLoad,
				FeedbackValue: a.loadReport.LinkLoad,
			})
		}
		if a.loadReport.UplinkLoad >= 0 {
			d.queueModuleEvent(headmill.Event{
				Kind:          headmill.EvFeedback,
				Session:       id,
				Node:          a.node.id,
				Feedback:      headmill.FeedbackUplinkLoad,
				FeedbackValue: a.loadReport.UplinkLoad,
			})
		}
		d.healthEvents = append(d.healthEvents, health.Event{
			Kind:    health.SessionStarted,
			Node:    health.NodeID(a.node.id),
			Session: health.SessionID(s.id),
		})
		d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.SetupSucceeded, Session: s.id})
		d.admission.Step(now, []limits.Event{d.admissionSessionStarted(s)}, nil)
		if s.rung != a.rung {
			d.sendRung(s)
		}
		d.recordSessionStart(s, quality.SessionStarted)
		if end := a.earlyEnd; end != nil { // once its viewers have been answered
			d.loop.After(0, func() { d.endSession(s, headmill.OutcomeServed, end.load, end.reason) })
		}
		return
	}
	if a.machine.State() == attempt.StateAwaitingLate { // the connection stays open for a late answer
		a.awaitingLate = true
		a.timer = d.loop.After(d.cfg.Times.LateAnswerMs,
			func() { a.step(attempt.Event{Kind: attempt.LateWindowOver}) })
	} else {
		a.reportSetupEnded()
	}
	d.queueModuleEvent(headmill.Event{
		Kind:       headmill.EvAttemptEnded,
		Session:    id,
		Node:       a.node.id,
		Outcome:    moduleOutcomes[outcome],
		LatencyMs:  tookMs,
		LoadReport: moduleReport(a.loadReport),
	})
}

// acceptLateSuccess handles a media node's answer, after the time-out, that a paid session plays.
func (a *setupAttempt) acceptLateSuccess() {
	d, s := a.director, a.session
	d.loop.Cancel(a.timer)
	d.stats.LateSuccesses++
	s.mediaURL, s.node, s.sentRung, s.setup = a.mediaURL, a.node.id, a.rung, nil
	d.log.Warn("a set-up that had been given up plays", "session", d.sessionName(s), "jti", s.claims.jti,
		"box", a.node.addr, "took_ms", roundMs(d.loop.Now()-a.startedAt))
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.LateSuccess, Session: s.id})
	if a.earlyEnd != nil {
		d.endUnclaimed(s)
	}
}
