package proxy

import (
	"errors"
	"math"
	"strconv"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/health"
	"headmill/decide/redelivery"
	"headmill/decide/release"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
)

// nodeConn is one connection to a media node.
type nodeConn struct {
	node         *mediaNode
	conn         *loop.Conn
	addr         string // dialled address; the node's address may change later
	localAddr    string // of the established connection, for the log
	established  bool
	dialledAt    float64 // loop time, ms
	connectedAt  float64 // Unix time, ms, at which it came up
	reader       frame.Reader
	attempts     map[uint64]*setupAttempt // by protocol id of the session
	partialSince float64                  // loop time, ms, since which a message is incomplete
	probe        bool                     // its coming up or failing is the result of health.OpenStream
	lastUsed     float64                  // loop time, ms, of the last bytes sent or received
	lastHeard    float64                  // loop time, ms, at which it came up or last received bytes
	heard        bool                     // bytes were received
	sent         redelivery.SentMessages
	connectTimer *loop.Timer
}

// closeIfMoved closes a connection to an address that the media node has left, if no attempt uses it and no session may end
// on it.
func (nc *nodeConn) closeIfMoved() {
	if nc.addr != nc.node.addr && len(nc.attempts)+len(nc.node.sessions) == 0 {
		nc.node.removeConn(nc)
		nc.conn.Close(loop.ErrClosedByOwner)
	}
}

// usable reports whether something new may be written to the connection.
func (nc *nodeConn) usable() bool { return nc.established && nc.conn.Open() && nc.addr == nc.node.addr }

// proven reports whether the connection came up, or received bytes, since the media node was last found silent. Nothing new
// is sent on another one, as the media node may have vanished.
func (nc *nodeConn) proven() bool { return nc.lastHeard >= nc.node.silentSince }

// nearIdleTimeout reports whether the media node may be about to close the connection as idle. A set-up that crosses that
// close is lost, without a proof that it never ran.
func (nc *nodeConn) nearIdleTimeout() bool {
	return nc.node.proxy.loop.Now()-nc.lastUsed > nc.node.proxy.cfg.KeepAliveMs-nc.node.proxy.cfg.ConnectMs
}

// write writes a message.
func (nc *nodeConn) write(msg []byte) {
	nc.lastUsed = nc.node.proxy.loop.Now()
	nc.conn.Write(msg)
}

// Connected implements loop.Handler. It writes the queued messages and the attempts that waited for the connection.
func (nc *nodeConn) Connected(conn *loop.Conn) {
	n := nc.node
	n.proxy.loop.Cancel(nc.connectTimer)
	n.redelivery.ConnectionUp(nc.dialledAt)
	nc.established, nc.lastHeard = true, n.proxy.loop.Now()
	nc.localAddr, nc.connectedAt = conn.LocalAddr(), n.proxy.now()
	n.proxy.log.Debug("media node connection established", "host", n.name, "local", nc.localAddr, "probe", nc.probe,
		"conns", len(n.conns), "sessions", len(n.sessions))
	if conn.Open() { // else it has broken already
		nc.sendQueue()
	}
	n.reportStreamOpened()
	if !n.proxy.holding {
		nc.startAttempts()
	}
}

// startAttempts writes the attempts that waited for the connection. If the node was drained or moved meanwhile they are
// cancelled: no byte has left, so they never ran.
func (nc *nodeConn) startAttempts() {
	ready := nc.node.proxy.nodeList.Ready(nc.node.id)
	for _, a := range nc.attempts {
		switch {
		case a.machine.State() != attempt.StateWaiting || a.written:
		case !ready || nc.addr != nc.node.addr: // draining, or connected to an address that the node has left
			a.step(attempt.Event{Kind: attempt.Cancelled})
		default:
			a.step(attempt.Event{Kind: attempt.Connected})
		}
	}
}

// Flushed implements loop.Handler. It does nothing, since writes are never paused.
func (nc *nodeConn) Flushed(*loop.Conn) {}

// Data implements loop.Handler. It reads messages.
func (nc *nodeConn) Data(conn *loop.Conn, data []byte) {
	p := nc.node.proxy
	p.queueHealthEvent(health.Event{Kind: health.StreamActivity, Node: health.NodeID(nc.node.id)})
	nc.node.redelivery.BytesReceived(p.loop.Now())
	nc.lastUsed, nc.lastHeard, nc.heard = p.loop.Now(), p.loop.Now(), true
	wasPartial := nc.reader.Partial()
	err := nc.reader.Feed(data, func(msg *frame.Message) bool {
		wasPartial = false // an incomplete message after this one is a new one
		nc.handleMessage(msg)
		return conn.Receiving()
	})
	if err != nil {
		nc.closeMalformed(err)
		return
	}
	if nc.reader.Partial() && !wasPartial {
		nc.partialSince = p.loop.Now()
	}
}

var errMalformed = errors.New("proxy: malformed message from a media node")

// closeMalformed closes a connection after malformed input, since the start of the next message is unknown. Its set-ups
// may have run, and a session whose answer was malformed plays. They are released on another connection, since a reset
// of this one could lose what is written to it last.
func (nc *nodeConn) closeMalformed(err error) {
	p := nc.node.proxy
	p.stats.Spoilt++
	p.log.Debug("malformed message from a media node", "host", nc.node.name, "error", err.Error())
	nc.node.removeConn(nc)
	nc.conn.Close(errMalformed)
	for id := range nc.attempts {
		nc.node.sendRelease(id)
	}
}

// Closed implements loop.Handler. It reports the close to the attempts on the connection and to the health monitor, and
// sends messages again that may be lost.
func (nc *nodeConn) Closed(_ *loop.Conn, err error) {
	n := nc.node
	n.proxy.loop.Cancel(nc.connectTimer)
	n.removeConn(nc)
	n.proxy.log.Debug("media node connection closed", "host", n.name, "error", err, "established", nc.established,
		"attempts", len(nc.attempts), "local", nc.localAddr, "sessions", len(n.sessions),
		"heard", nc.heard, "silent_ms", n.proxy.loop.Now()-nc.lastHeard, "conns", len(n.conns))
	if loop.IsConnRefused(err) { // no process runs there, so there is none to send messages to
		n.queue = nil
	}
	if nc.established {
		n.redelivery.ConnectionEnded(n.proxy.loop.Now(), nc.heard)
	} else {
		n.redelivery.DialFailed()
	}
	if len(n.conns) == 0 || nc.probe && !nc.established {
		n.proxy.queueHealthEvent(health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.id),
			ConnRefused: loop.IsConnRefused(err) && !n.hasEstablishedConn()})
	}
	for id, a := range nc.attempts {
		sent := a.machine.State() == attempt.StateSent
		a.connClosed()
		if sent && !loop.IsConnRefused(err) { // its answer may be lost, and then no viewer uses the session
			n.sendRelease(id)
		}
	}
	nc.resendLost(err)
}

// handleMessage carries out one message of a media node.
func (nc *nodeConn) handleMessage(msg *frame.Message) {
	p, node := nc.node.proxy, nc.node
	switch msg.Type {
	case frame.Answer:
		if a := nc.attempts[msg.Session]; a != nil {
			a.handleAnswer(msg.Get(frame.SDP))
		}
	case frame.Release:
		report := p.parseReport(msg.Get(frame.Report))
		p.log.Debug("release received from media node", "id", logID(msg.Session), "host", node.name, "cause", msg.Cause(),
			"local", nc.localAddr, "plays", node.sessions[msg.Session] != nil)
		if a := nc.attempts[msg.Session]; a != nil {
			a.report = report
			a.handleRelease(msg.Cause())
		} else if s := node.sessionAtAddr(msg.Session); s != nil {
			outcome := headmill.OutcomeReset
			cause := int(msg.Cause())
			switch cause {
			case causeNormal:
				outcome = headmill.OutcomeServed
			case causeCancelled:
				outcome = headmill.OutcomeCancelled
			}
			p.sessionEnded(s, outcome, cause, report)
		} else if moduleID, ok := node.findLost(msg.Session); ok {
			node.lostSessionEnded(moduleID, report)
		} else {
			p.earlyEnds.Add(p.loop.Now(), release.SessionID(msg.Session), release.NodeID(node.id), int(msg.Cause()))
		}
		nc.conn.Write(frame.AppendReleased(nil, msg.Session))
	case frame.Feedback:
		nc.handleFeedback(msg)
	case frame.Ping:
		out, start := frame.Begin(nil, frame.Pong, msg.Session)
		nc.conn.Write(frame.End(frame.AppendParameter(out, frame.Cause, []byte{1}), start)) // result: 1
	}
}

// feedbackKinds translates the names that media nodes send, which are external.
var feedbackKinds = map[string]headmill.FeedbackKind{"got": headmill.FeedbackRateShare, "level": headmill.FeedbackRung,
	"port": headmill.FeedbackLinkLoad, "spine": headmill.FeedbackUplinkLoad}

// handleFeedback passes feedback on a session to the module.
func (nc *nodeConn) handleFeedback(msg *frame.Message) {
	s := nc.node.sessions[msg.Session]
	kind, ok := feedbackKinds[string(msg.Get(frame.FeedbackKind))]
	value, err := strconv.ParseFloat(string(msg.Get(frame.FeedbackValue)), 64)
	if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || s == nil {
		return
	}
	if kind == headmill.FeedbackRung && s.sentRung == rungUnknown {
		s.sentRung = int(value)
	}
	nc.node.proxy.queueEvent(headmill.Event{Kind: headmill.EvFeedback, Session: s.moduleID, Node: nc.node.id,
		Feedback: kind, FeedbackValue: value})
}
