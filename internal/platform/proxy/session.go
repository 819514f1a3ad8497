package proxy

import (
	"log/slog"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/decide/health"
	"headmill/decide/inputorder"
	"headmill/decide/limits"
	"headmill/decide/release"
	"headmill/internal/loop"
	"headmill/internal/platform/jsonline"
)

// logID is a session id of the protocol, formatted only for log lines that are written.
type logID uint64

// LogValue implements slog.LogValuer.
func (id logID) LogValue() slog.Value {
	return slog.StringValue(string(jsonline.AppendID(nil, uint64(id))))
}

// rungUnknown is the rung of an adopted session until its media node reports it.
const rungUnknown = -1

// sessionState is the state of a session; the package comment lists them.
type sessionState uint8

const (
	statePending sessionState = iota
	statePlaying
	stateEnding
	stateEnded
)

// session is one entry of the session table, from its set-up to its end.
type session struct {
	id             uint64             // of the protocol
	moduleID       headmill.SessionID // of the decision module
	state          sessionState
	class          int     // index in the settings
	rung, sentRung int     // as set by the module; as last sent to, or reported by, the media node (or rungUnknown)
	viewer         *viewer // connection that the set-up came on; nil once it is closed
	className      string
	title          string
	sdp            string    // held until the session plays
	deadline       float64   // loop time, ms, at which the viewer gives up
	setupConn      *nodeConn // that it was answered on; nil: adopted
	answerEnd      int64     // value of the viewer connection's Written once the whole answer has left
	node           *mediaNode
	attempt        *setupAttempt
	attempted      bool        // a set-up was written to a media node
	endTimer       *loop.Timer // runs in stateEnding
}

// rejectSetup answers a set-up with a release and removes the session.
func (p *Proxy) rejectSetup(s *session, cause int, waitMs float64) {
	if v := s.viewer; v != nil {
		v.sendRelease(s.id, cause, waitMs)
	}
	p.log.Debug("set-up answered", "id", logID(s.id), "cause", cause, "wait", waitMs, "host", s.nodeName())
	p.removeSession(s)
}

// failSetup answers a set-up that can't be waited for any longer, and logs it with a message. The cause is an error and no
// refusal, since its attempt may have run.
func (p *Proxy) failSetup(s *session, message string) {
	p.stats.Failed++
	a := s.attempt
	p.log.Info(message, "id", logID(s.id), "class", s.className,
		"host", s.nodeName(), "ms_left", s.deadline-p.loop.Now())
	p.queueEvent(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.moduleID})
	p.rejectSetup(s, causeError, 0)
	if a != nil {
		a.step(attempt.Event{Kind: attempt.Cancelled})
	}
}

// nodeName is the name of the media node of the session's last attempt, empty before the first one.
func (s *session) nodeName() string {
	if s.node == nil {
		return ""
	}
	return s.node.name
}

// removeSession takes a session out of the table and releases its quota.
func (p *Proxy) removeSession(s *session) {
	p.detachViewer(s)
	if s.state == statePending {
		p.releaseSetupQuota(s)
	}
	p.loop.Cancel(s.endTimer)
	s.state = stateEnded
	p.quotas.Release(limits.Sessions, 1)
	if p.sessions[s.id] == s {
		delete(p.sessions, s.id)
	}
	delete(p.sessionsByModuleID, s.moduleID)
	delete(p.unplaced, inputorder.RequestID(s.moduleID))
}

// releaseSetupQuota releases the quota and the session description of a set-up that is no longer pending.
func (p *Proxy) releaseSetupQuota(s *session) {
	p.pendingSetups--
	p.quotas.Release(limits.PendingSetups, int64(len(s.sdp)))
	s.sdp = ""
}

// detachViewer separates a session from its viewer's connection.
func (p *Proxy) detachViewer(s *session) {
	if v := s.viewer; v != nil {
		delete(v.pending, s)
		delete(v.playing, s)
		s.viewer = nil
		v.reportUse()
	}
}

// refuseSetup refuses a set-up that never reaches the module, so that it is proven not to have run, with the longest retry
// advice if the settings allow advice.
func (p *Proxy) refuseSetup(v *viewer, id uint64, r *setupRequest) {
	p.stats.Denied++
	waitMs := 0.0
	if module := &p.cfg.Module; module.AdviseRetryAfter {
		waitMs = module.MaxRetryAfterMs
	}
	p.log.Debug("set-up refused", "id", logID(id), "class", r.className, "conn", v.id,
		"phase", p.shutdown.Phase().String(), "closing", v.closing)
	v.sendRelease(id, causeCongested, waitMs)
}

// startSession passes a set-up to the decision module, or adopts a session that already plays. At a memory limit, late in
// a stop and on a connection that is being closed the set-up is refused.
func (p *Proxy) startSession(v *viewer, id uint64, r *setupRequest) {
	sdpBytes := int64(len(r.sdp))
	switch {
	case r.playingAt != "" && !p.nodeList.Listed(discovery.NodeIDFromName(r.playingAt)):
		// Its media node is no longer listed, so the session has ended.
		p.log.Debug("session plays at a media node that is not listed", "host", r.playingAt)
		p.notifySessionEnd(v, id, causeReset)
		return
	case r.playingAt != "" && p.endedBeforeAdoption(v, id, discovery.NodeIDFromName(r.playingAt)):
		return
	case r.playingAt == "" && (v.closing || !p.shutdown.Accepts(p.loop.Now())):
		p.refuseSetup(v, id, r)
		return
	case r.playingAt == "" && p.givenUpSetups.MayHaveRun(p.loop.Now(), release.SessionID(id)):
		p.stats.Failed++
		p.log.Debug("set-up comes again, and may have run", "id", logID(id), "class", r.className)
		v.sendRelease(id, causeError, 0)
		return
	case !p.quotas.Fits(limits.Sessions, 1), r.playingAt == "" && !p.quotas.Acquire(limits.PendingSetups, sdpBytes):
		p.refuseSetup(v, id, r)
		return
	}
	p.quotas.Acquire(limits.Sessions, 1)
	if r.playingAt == "" {
		r.timeLeftMs = p.shutdown.TimeLeft(p.loop.Now(), v.timeLeftAfterStall(r.timeLeftMs))
	}
	p.lastModuleID++
	s := &session{id: id, moduleID: p.lastModuleID, class: r.class, className: r.className, title: r.title, sdp: r.sdp, viewer: v,
		deadline: p.loop.Now() + r.timeLeftMs, rung: p.cfg.Module.Classes[r.class].MinRung}
	p.sessions[id], p.sessionsByModuleID[s.moduleID] = s, s
	ev := headmill.Event{Kind: headmill.EvRequest, Session: s.moduleID, Class: r.class, Title: r.titleID,
		TimeLeftMs: r.timeLeftMs, FirstCell: r.firstCell, Copies: r.copies, MaxRung: r.maxRung}
	if r.playingAt != "" {
		p.adoptSession(s, discovery.NodeIDFromName(r.playingAt), ev)
		return
	}
	v.pending[s] = struct{}{}
	v.reportUse()
	p.stats.Asked++
	p.log.Debug("set-up read", "id", logID(id), "class", r.className, "conn", v.id, "left", r.timeLeftMs)
	p.pendingSetups++
	v.holdRequest(ev)
}

// endedBeforeAdoption notifies the viewer of a session whose media node has reported its end already.
func (p *Proxy) endedBeforeAdoption(v *viewer, id uint64, node headmill.NodeID) bool {
	cause, ended := p.earlyEnds.Take(p.loop.Now(), release.SessionID(id), release.NodeID(node))
	if ended {
		p.notifySessionEnd(v, id, cause)
	}
	return ended
}

// adoptSession takes over a session that already plays at a media node.
func (p *Proxy) adoptSession(s *session, node headmill.NodeID, ev headmill.Event) {
	p.stats.Opened++
	s.state, s.sentRung, s.sdp, s.node = statePlaying, rungUnknown, "", p.mediaNode(node)
	s.node.sessions[s.id] = s
	s.node.redelivery.SessionAdopted(p.loop.Now())
	s.viewer.markPlaying(s)
	ev.Kind, ev.Node = headmill.EvExistingSession, node
	p.queueEvent(ev)
	p.queueHealthEvent(health.Event{Kind: health.SessionAdopted, Node: health.NodeID(node),
		Session: health.SessionID(s.moduleID)})
	s.node.reportProcessStart() // the session may have ended with a process before
}

// sessionPlaying marks a session as playing and writes its answer, given as the finished line, to the viewer.
func (p *Proxy) sessionPlaying(s *session, latencyMs float64, line []byte) {
	p.stats.Played++
	p.log.Debug("session plays", "id", logID(s.id), "host", s.node.name, "took", latencyMs)
	p.releaseSetupQuota(s)
	s.state = statePlaying
	s.node.sessions[s.id] = s
	if v := s.viewer; v != nil {
		v.conn.Write(line)
		s.answerEnd = v.conn.Written() + int64(v.conn.Pending())
		v.markPlaying(s)
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptPlaying, Session: s.moduleID, Node: s.node.id,
		LatencyMs: latencyMs})
	p.queueHealthEvent(health.Event{Kind: health.SessionStarted, Node: health.NodeID(s.node.id),
		Session: health.SessionID(s.moduleID), ConnectedAt: s.setupConn.connectedAt - p.unixOffsetMs})
	s.node.reportProcessStart() // the answer may be one of a process before
	p.sendRung(s)               // a change during the set-up may not have been sent
}

// sessionEnded removes a session that played and reports its end to the module and, unless the viewer ended it, to the
// viewer.
func (p *Proxy) sessionEnded(s *session, outcome headmill.Outcome, cause int, report headmill.LoadReport) {
	if s.state != statePlaying && s.state != stateEnding {
		return
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.moduleID, Node: s.node.id, Outcome: outcome,
		SessionOver: true, LoadReport: report})
	p.removePlaying(s, cause)
}

// removePlaying removes a session that played and reports its end to the viewer, unless that ended it.
func (p *Proxy) removePlaying(s *session, cause int) {
	delete(s.node.sessions, s.id)
	p.log.Debug("session ended", "id", logID(s.id), "host", s.node.name, "cause", cause, "state", s.state)
	if s.state == statePlaying && cause != causeCancelled {
		p.notifySessionEnd(s.viewer, s.id, cause)
	}
	p.queueHealthEvent(health.Event{Kind: health.SessionEnded, Node: health.NodeID(s.node.id),
		Session: health.SessionID(s.moduleID)})
	p.removeSession(s)
}

// viewerDisconnected reports whether a set-up has lost its viewer or has ended. It also detects a close that has
// reached the kernel but not yet the loop, and then gives up all set-ups that are pending on that connection.
// Otherwise an attempt could start, or a session play, that no viewer uses.
func (p *Proxy) viewerDisconnected(s *session) bool {
	v := s.viewer
	if s.state != statePending || v == nil || !v.conn.PeerClosed() {
		return s.state == stateEnded
	}
	v.PeerClosing(v.conn)
	return true
}

// endedByViewer handles a viewer that gives up its set-up or ends its session.
func (p *Proxy) endedByViewer(s *session) {
	switch s.state {
	case statePending:
		p.stats.Left++
		p.queueEvent(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.moduleID})
		a := s.attempt
		if s.attempted && p.cfg.Module.Classes[s.class].Semantics == headmill.AtMostOnce {
			p.givenUpSetups.Add(p.loop.Now(), release.SessionID(s.id))
		}
		p.removeSession(s)
		if a != nil {
			a.step(attempt.Event{Kind: attempt.Cancelled})
		}
	case statePlaying:
		s.state = stateEnding
		s.node.sendRelease(s.id)
		p.awaitEndConfirmed(s, p.loop.Now())
	}
}

// awaitEndConfirmed ends a session that its viewer has ended and that its media node, which was told at toldAt, does not confirm.
func (p *Proxy) awaitEndConfirmed(s *session, toldAt float64) {
	s.endTimer = p.loop.After(endConfirmMs, func() {
		s.endTimer = nil
		if !health.EndPresumed(p.cfg.Module.Classes[s.class].Capped(), toldAt, s.node.lastContactAt()) {
			p.awaitEndConfirmed(s, toldAt) // until decide/health gives the media node's sessions up
			return
		}
		p.sessionEnded(s, headmill.OutcomeCancelled, causeCancelled, headmill.LoadReport{})
	})
}

// notifySessionEnd sends a viewer the release of its session, and repeats it until it is confirmed. It prefers the
// connection v where that is open.
func (p *Proxy) notifySessionEnd(v *viewer, id uint64, cause int) {
	ev := release.Event{Kind: release.SessionEnded, Session: release.SessionID(id), Cause: cause}
	if v != nil && v.conn.Open() {
		ev.Conn = v.id
	}
	p.stepRetransmitter(ev)
}

// stepRetransmitter passes an event to decide/release and writes the releases that it returns. One for a connection that
// has closed meanwhile is skipped: that connection's Closed follows and makes it due again.
func (p *Proxy) stepRetransmitter(ev release.Event) {
	for _, transmission := range p.retransmitter.Step(p.loop.Now(), ev, nil) {
		if v := p.viewers[transmission.Conn]; v != nil {
			v.sendRelease(uint64(transmission.Session), transmission.Cause, 0)
		}
	}
}

// SelectForMessage implements release.ConnectionSelector: it picks among the connections that can be written to.
func (p *Proxy) SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool) {
	return p.connManager.SelectForMessage(func(id connmgr.ConnID) bool {
		v := p.viewers[id]
		return v == nil || !v.conn.Open() || skip(id)
	})
}
