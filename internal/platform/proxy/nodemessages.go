package proxy

import (
	"slices"
	"strconv"

	"headmill/decide/redelivery"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
)

// Messages to media nodes about sessions: releases and rungs. Media nodes acknowledge none, so what may have been lost with a
// connection is sent again; decide/redelivery says what that is.

const (
	// queueTTLMs is the time for which messages are kept while no connection can be opened: longer than
	// releaseRetentionMs.
	queueTTLMs = 20000.0
	// maxQueuedMessages limits the messages queued for a media node while no connection is established, and those
	// remembered of one connection.
	maxQueuedMessages = 256
)

// sentConfig says how long a message to a media node may be unread.
var sentConfig = redelivery.SentConfig{WindowMs: 1000, SilentWindowMs: queueTTLMs, MaxMessages: maxQueuedMessages}

// sendRelease ends a session at the media node.
func (n *mediaNode) sendRelease(id uint64) {
	n.sendMessage(redelivery.Message{Session: id, Kind: redelivery.Release})
}

// sendMessage sends a message on any established connection, or on the next one.
func (n *mediaNode) sendMessage(msg redelivery.Message) {
	if nc := n.messageConn(); nc != nil {
		nc.sendMessage(msg)
		return
	}
	if len(n.queue) == 0 {
		n.queuedSince = n.proxy.loop.Now()
	}
	if len(n.queue) < maxQueuedMessages && !slices.Contains(n.queue, msg) {
		n.queue = append(n.queue, msg)
	}
	n.dialForQueue()
}

// dialForQueue opens a connection for queued messages, for up to queueTTLMs. Without it a session whose release is
// queued would play on.
func (n *mediaNode) dialForQueue() {
	switch {
	case len(n.queue) == 0 || len(n.conns) > 0:
	case n.proxy.loop.Now()-n.queuedSince > queueTTLMs, n.addrReassigned():
		n.queue = nil
	default:
		n.dial()
	}
}

// sendRelease ends a session or gives up a set-up, on this connection.
func (nc *nodeConn) sendRelease(id uint64) {
	nc.sendMessage(redelivery.Message{Session: id, Kind: redelivery.Release})
}

// sendMessage writes a message. A rung is the one in force; that of a session that has ended is left out.
func (nc *nodeConn) sendMessage(msg redelivery.Message) {
	now := nc.node.proxy.loop.Now()
	switch msg.Kind {
	case redelivery.Release:
		nc.write(frame.AppendRelease(nil, msg.Session, causeNormal))
	case redelivery.Rung:
		s := nc.node.sessions[msg.Session]
		if s == nil {
			return
		}
		s.sentRung = s.rung
		nc.write(appendRung(nil, s))
	}
	nc.sent.Add(&sentConfig, now, nc.lastHeard, msg)
}

// sendQueue writes the queued messages on a connection that has come up.
func (nc *nodeConn) sendQueue() {
	queue := nc.node.queue
	nc.node.queue = nil
	for _, msg := range queue {
		nc.sendMessage(msg)
	}
}

// resendLost sends what may have been lost with a connection that has ended. What this side closed with nothing unsent has
// arrived.
func (nc *nodeConn) resendLost(err error) {
	lost := nc.sent.TakeLost(&sentConfig, nc.node.proxy.loop.Now(), nc.lastHeard)
	if err == loop.ErrClosedByOwner {
		return
	}
	for _, msg := range lost {
		nc.node.sendMessage(msg)
	}
}

// appendRung appends the message that sets a session's rung to the one in force.
func appendRung(out []byte, s *session) []byte {
	out, start := frame.Begin(out, frame.Rate, s.id)
	return frame.End(frame.AppendParameter(out, frame.Rung, strconv.Itoa(s.rung)), start)
}
