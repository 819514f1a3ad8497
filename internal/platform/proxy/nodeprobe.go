package proxy

import (
	"slices"

	"headmill/decide/health"
	"headmill/internal/loop"
)

// Connections that are opened for what they prove of a media node, or for what it repeats on them.

// ensureConn opens a connection unless the node was heard in this iteration or one is being opened, and reports the result
// to the health monitor as that of its event stream. That a connection was established earlier proves nothing now. A node
// whose address has been reassigned counts as one that refused the connection.
func (n *mediaNode) ensureConn() {
	now := n.proxy.loop.Now()
	if slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.usable() && nc.lastHeard >= now }) {
		n.reportStreamOpened()
		return
	}
	n.silentSince = now
	n.proxy.log.Debug("media node is probed with a connection", "host", n.name, "conns", len(n.conns),
		"sessions", len(n.sessions))
	if slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.probe && !nc.established && nc.addr == n.addr }) {
		return
	}
	if nc := n.dialProbe(); nc != nil {
		nc.probe = true
		return
	}
	n.proxy.queueHealthEvent(health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.id),
		ConnRefused: n.addrReassigned()})
}

// cancelProbe gives up the connections that are being opened for the health monitor alone.
func (n *mediaNode) cancelProbe() {
	for _, nc := range slices.Clone(n.conns) {
		if nc.established || !nc.probe {
			continue
		}
		if nc.probe = false; len(nc.attempts) == 0 {
			nc.conn.Close(loop.ErrConnectFailed)
		}
	}
}

// reportStreamOpened reports an established connection to the health monitor.
func (n *mediaNode) reportStreamOpened() {
	n.proxy.queueHealthEvent(health.Event{Kind: health.StreamOpened, Node: health.NodeID(n.id)})
}
