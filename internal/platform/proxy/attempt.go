package proxy

import (
	"math"
	"strconv"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/redelivery"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
	"headmill/internal/platform/jsonline"
)

// setupAttempt is one set-up sent to a media node, from the module's action to its outcome.
type setupAttempt struct {
	proxy          *Proxy
	session        *session
	node           *mediaNode
	conn           *nodeConn       // nil while it has none
	machine        attempt.Attempt // derives the outcome
	startedAt      float64         // loop time, ms
	deadline       float64         // loop time, ms
	startOffset    int64           // value of the connection's Written at which the set-up begins
	written        bool            // the set-up was given to the connection
	reportNeverRan bool            // report a proof that it never ran as headmill.OutcomeNeverRan
	report         headmill.LoadReport
	deadlineTimer  *loop.Timer
}

// startAttempt starts the attempt that the module requested. allowedMs is its time; 0: until the viewer gives up.
func (p *Proxy) startAttempt(s *session, node headmill.NodeID, allowedMs float64) {
	now := p.loop.Now()
	if left := s.deadline - now; allowedMs == 0 || allowedMs > left {
		allowedMs = left
	}
	n := p.mediaNode(node)
	a := &setupAttempt{proxy: p, session: s, node: n, startedAt: now, deadline: now + allowedMs}
	s.node, s.attempt = n, a
	p.stats.Attempts++
	a.deadlineTimer = p.loop.After(allowedMs, func() { a.step(attempt.Event{Kind: attempt.DeadlineExceeded}) })
	nc := n.idleConn()
	if nc == nil {
		if nc = n.dial(); nc == nil {
			nc = n.leastLoadedConn()
		}
	}
	if nc == nil {
		a.step(attempt.Event{Kind: attempt.Start})
		return
	}
	a.attachTo(nc)
	a.step(attempt.Event{Kind: attempt.Start, Reused: nc.established})
}

// attachTo assigns the attempt to a connection.
func (a *setupAttempt) attachTo(nc *nodeConn) {
	a.conn = nc
	nc.attempts[a.session.id] = a
}

// step passes an event to decide/attempt and carries out the actions that it returns.
func (a *setupAttempt) step(ev attempt.Event) {
	a.reportNeverRan = a.reportNeverRan || ev.Kind == attempt.Cancelled
	for _, action := range a.machine.Step(ev, nil) {
		switch action.Kind {
		case attempt.Dial:
			if a.conn == nil {
				if nc := a.node.dial(); nc != nil {
					a.attachTo(nc)
				} else {
					a.step(attempt.Event{Kind: attempt.ConnectionClosed})
				}
			}
		case attempt.Write:
			if !a.proxy.viewerDisconnected(a.session) {
				a.write()
			}
		case attempt.CloseConnection: // the connection stays open, since it may carry other set-ups
			if a.conn != nil && a.written {
				a.conn.sendRelease(a.session.id)
			}
			a.detach()
		case attempt.KeepConnection:
			a.detach()
		case attempt.ReportOutcome:
			a.reportOutcome(action.Outcome)
		}
	}
}

// detach separates the attempt from its connection.
func (a *setupAttempt) detach() {
	if a.conn != nil && a.conn.attempts[a.session.id] == a {
		delete(a.conn.attempts, a.session.id)
		a.conn.closeIfMoved()
	}
	a.conn = nil
	a.proxy.loop.Cancel(a.deadlineTimer)
}

// write sends the set-up.
func (a *setupAttempt) write() {
	s, conn := a.session, a.conn.conn
	out, start := frame.Begin(a.proxy.outBuf[:0], frame.Setup, s.id)
	out = frame.AppendParameter(out, frame.Class, s.className)
	// The time left, ms, but at least 1.
	out = frame.AppendParameter(out, frame.Wait, strconv.Itoa(int(math.Max(a.deadline-a.proxy.loop.Now(), 1))))
	out = frame.AppendParameter(out, frame.Title, s.title)
	out = frame.AppendParameter(out, frame.Rung, strconv.Itoa(s.rung))
	out = frame.End(frame.AppendParameter(out, frame.SDP, s.sdp), start)
	a.proxy.outBuf = out[:0]
	s.sentRung = s.rung
	a.startOffset = conn.Written() + int64(conn.Pending())
	a.conn.write(out)
	a.written, s.attempted = true, true
	a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: conn.Written() - a.startOffset})
}

// connClosed handles the end of the connection. It proves that the set-up never ran only if no byte of it had left.
func (a *setupAttempt) connClosed() {
	if a.written && a.conn.conn.Written() > a.startOffset {
		a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: a.conn.conn.Written() - a.startOffset})
	}
	a.conn, a.written = nil, false
	a.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// handleAnswer passes the media node's answer to the viewer. A session description too long for one JSON line can't be
// passed on; the session is then ended at the media node, since no viewer learns that it plays.
func (a *setupAttempt) handleAnswer(sdp []byte) {
	if a.machine.State() != attempt.StateSent || a.proxy.viewerDisconnected(a.session) {
		return
	}
	s, p := a.session, a.proxy
	p.outBuf = jsonline.AppendAnswer(p.outBuf[:0], s.id, sdp)
	if len(p.outBuf) > jsonline.MaxSize {
		p.stats.Spoilt++
		a.conn.sendRelease(s.id)
		a.endAsConnClosed()
		return
	}
	s.setupConn = a.conn
	a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 201}) // decide/attempt has HTTP status codes: Created
	s.attempt = nil
	p.sessionPlaying(s, p.loop.Now()-a.startedAt, p.outBuf)
}

// endAsConnClosed ends an attempt as if its connection had closed, while the connection stays open.
func (a *setupAttempt) endAsConnClosed() {
	a.detach()
	a.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// handleRelease handles the media node's refusal or failure of the set-up. decide/attempt has HTTP status codes, so the
// causes become 503 (Service Unavailable) and 500 (Internal Server Error).
func (a *setupAttempt) handleRelease(cause byte) {
	switch cause {
	case causeFull, causeNeverRan:
		a.reportNeverRan = cause == causeNeverRan
		a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 503, NeverRan: true})
	case causeError:
		a.proxy.log.Debug("media node answered a set-up with an error", "host", a.node.name, "id", a.session.id,
			"class", a.session.className, "title", a.session.title, "sdp", a.session.sdp,
			"left", a.session.deadline-a.startedAt)
		a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 500})
	default: // proves nothing
		a.endAsConnClosed()
	}
}

// moduleOutcomes has the module's outcome for each outcome of an attempt except OutcomePlaying. OutcomeNeverSent counts
// as a failed connect. With setupAttempt.reportNeverRan, OutcomeFull and OutcomeNeverSent are reported as
// headmill.OutcomeNeverRan instead, also where the media node got the set-up and states that it never ran.
var moduleOutcomes = map[attempt.Outcome]headmill.Outcome{attempt.OutcomeFull: headmill.OutcomeFull,
	attempt.OutcomeNeverSent: headmill.OutcomeConnectFailed, attempt.OutcomeError: headmill.OutcomeFailed,
	attempt.OutcomeReset: headmill.OutcomeReset, attempt.OutcomeTimedOut: headmill.OutcomeTimedOut,
	attempt.OutcomeCancelled: headmill.OutcomeCancelled}

// reportOutcome reports the outcome of an attempt that does not play to the module.
func (a *setupAttempt) reportOutcome(o attempt.Outcome) {
	if o == attempt.OutcomePlaying {
		return
	}
	p, s := a.proxy, a.session
	p.log.Debug("attempt ended", "id", logID(s.id), "host", a.node.name, "outcome", o.String(),
		"took", p.loop.Now()-a.startedAt)
	p.loop.Cancel(a.deadlineTimer)
	if s.attempt == a {
		s.attempt = nil
	}
	outcome := moduleOutcomes[o]
	if a.reportNeverRan && o.NeverRan() { // the media node states it, or the attempt was cancelled before a byte left
		outcome = headmill.OutcomeNeverRan
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.moduleID, Node: a.node.id, Outcome: outcome,
		SessionOver: s.state == stateEnded, LatencyMs: p.loop.Now() - a.startedAt, LoadReport: a.report})
}

// sendRung sends the rung that the module has set, unless it is in force or already sent. A set-up that is not yet
// written carries the rung itself.
func (p *Proxy) sendRung(s *session) {
	if s.rung == s.sentRung {
		return
	}
	switch {
	case s.state == statePlaying:
		s.node.sendMessage(redelivery.Message{Session: s.id, Kind: redelivery.Rung})
	case s.state == statePending && s.attempt != nil && s.attempt.written && s.attempt.conn != nil:
		s.attempt.conn.conn.Write(appendRung(nil, s))
	default:
		return
	}
	s.sentRung = s.rung
}
