package proxy

import (
	"errors"
	"slices"

	"headmill/decide/health"
)

// The process of a media node, which may start anew under the same id and address; decide/health says what that means for the
// sessions.

// errEarlierProcess is the error of connections to a process that has ended.
var errEarlierProcess = errors.New("proxy: the media node's process has started anew since the connection came up")

// updateProcessStart takes over the start that the node list has. With a new one, the sessions of the process before it are
// lost, and nothing more is sent on its connections.
func (n *mediaNode) updateProcessStart() {
	startedAt := health.ProcessStart(n.proxy.nodeList.StartedAt(n.id), n.openConns())
	if startedAt <= n.startedAt {
		return
	}
	n.startedAt = startedAt
	n.proxy.log.Info("media node has a new process", "host", n.name, "started", startedAt, "sessions", len(n.sessions),
		"conns", len(n.conns))
	n.reportProcessStart()
	for _, nc := range slices.Clone(n.conns) {
		if !nc.established || nc.connectedAt >= startedAt {
			continue
		}
		nc.conn.ReadAvailable()
		n.removeConn(nc)
		nc.conn.Close(errEarlierProcess)
	}
}

// openConns describes the established connections for decide/health, in Unix time.
func (n *mediaNode) openConns() (conns []health.OpenConn) {
	for _, nc := range n.conns {
		if nc.established && nc.conn.Open() && nc.heard {
			conns = append(conns, health.OpenConn{ConnectedAt: nc.connectedAt,
				LastHeardAt: nc.lastHeard + n.proxy.unixOffsetMs})
		}
	}
	return conns
}

// reportProcessStart reports the start of the media node's process to the health monitor.
func (n *mediaNode) reportProcessStart() {
	n.proxy.queueHealthEvent(health.Event{Kind: health.ProcessStarted, Node: health.NodeID(n.id),
		ProcessStartedAt: n.startedAt - n.proxy.unixOffsetMs})
}
