package proxy

import (
	"slices"

	"headmill/decide/redelivery"
	"headmill/internal/loop"
)

// The connections to one media node: how many there are, which one carries what, and which ones are closed.

// dial opens a connection for a set-up or a message. It returns nil at a connection limit, on an error, or if another
// media node now has the address.
func (n *mediaNode) dial() *nodeConn {
	silent := 0
	for _, nc := range n.conns {
		if nc.established && !nc.proven() {
			silent++
		}
	}
	// A third of the file descriptors is for connections to media nodes; see New.
	if len(n.conns)-silent >= maxConnsPerNode || len(n.conns) >= maxConnsPerNode+maxSilentConnsPerNode ||
		n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3 {
		return nil
	}
	return n.dialWithin(n.proxy.cfg.ConnectMs)
}

// dialProbe opens a connection to find out whether the media node is alive, or for the releases that it repeats on a new
// one. Set-ups can't prevent that: the limits are those of dial and one more, and a thirty-second of the file descriptors
// above the limit of all. At a limit another connection makes room.
func (n *mediaNode) dialProbe() *nodeConn {
	if len(n.conns) > maxConnsPerNode+maxSilentConnsPerNode {
		n.evictConn()
	}
	if n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3+n.proxy.cfg.Sockets/32 && !n.proxy.closeUnusedNodeConn() {
		n.evictConn()
	}
	if len(n.conns) > maxConnsPerNode+maxSilentConnsPerNode ||
		n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3+n.proxy.cfg.Sockets/32 {
		return nil
	}
	return n.dialWithin(probeTimeoutMs(n.proxy.cfg))
}

// evictConn closes the connection that decide/redelivery chooses, after reading what has arrived on it.
func (n *mediaNode) evictConn() {
	conns := make([]redelivery.Connection, len(n.conns))
	for i, nc := range n.conns {
		conns[i] = redelivery.Connection{DialledAt: nc.dialledAt, Written: nc.heard,
			Busy: !nc.established || len(nc.attempts) > 0 || nc.conn.Pending() > 0}
	}
	i := redelivery.Evict(conns)
	if i < 0 {
		return
	}
	nc := n.conns[i]
	nc.conn.ReadAvailable()
	n.removeConn(nc)
	nc.conn.Close(loop.ErrClosedByOwner)
}

// closeUnusedNodeConn closes a connection to any media node that has no session of this director. It reports whether there
// was one.
func (p *Proxy) closeUnusedNodeConn() bool {
	for _, n := range p.nodes {
		if len(n.sessions) > 0 {
			continue
		}
		for _, nc := range n.conns {
			if nc.established && len(nc.attempts) == 0 && nc.conn.Pending() == 0 {
				n.removeConn(nc)
				nc.conn.Close(loop.ErrClosedByOwner)
				return true
			}
		}
	}
	return false
}

// dialWithin opens a connection whatever the number of those that are open, and gives it up after timeoutMs.
func (n *mediaNode) dialWithin(timeoutMs float64) *nodeConn {
	if n.addrReassigned() {
		return nil
	}
	now := n.proxy.loop.Now()
	nc := &nodeConn{node: n, addr: n.addr, attempts: map[uint64]*setupAttempt{}, lastUsed: now, dialledAt: now}
	conn, err := n.proxy.loop.Dial(n.addr, nc)
	if err != nil {
		n.proxy.log.Error("cannot dial media node", "host", n.name, "error", err.Error())
		return nil
	}
	n.redelivery.Dialled(now)
	nc.conn = conn
	conn.SetOutputLimit(maxNodeOutput)
	n.conns = append(n.conns, nc)
	n.proxy.nodeConnCount++
	nc.connectTimer = n.proxy.loop.After(timeoutMs, func() { conn.Close(loop.ErrConnectFailed) })
	return nc
}

// removeConn takes a connection out of the pool. Its attempts learn of the end by Closed.
func (n *mediaNode) removeConn(nc *nodeConn) {
	if i := slices.Index(n.conns, nc); i >= 0 {
		n.conns = slices.Delete(n.conns, i, i+1)
		n.proxy.nodeConnCount--
	}
}

// idleConn returns a connection that carries no set-up, so that a malformed answer to the new one affects no other.
func (n *mediaNode) idleConn() *nodeConn {
	for _, nc := range n.conns {
		if nc.usable() && nc.proven() && len(nc.attempts) == 0 && !nc.reader.Partial() && !nc.nearIdleTimeout() && nc.conn.Reusable() {
			return nc
		}
	}
	return nil
}

// leastLoadedConn returns the proven connection with the fewest set-ups, for use when no further one may be opened.
func (n *mediaNode) leastLoadedConn() *nodeConn {
	var best *nodeConn
	for _, nc := range n.conns {
		if nc.usable() && nc.proven() && (best == nil || len(nc.attempts) < len(best.attempts)) {
			best = nc
		}
	}
	return best
}

// messageConn returns the connection for a message about a session: a silent one only if there is no other, as a media
// node that stands still reads it once it goes on.
func (n *mediaNode) messageConn() *nodeConn {
	if best := n.leastLoadedConn(); best != nil {
		return best
	}
	for _, nc := range n.conns {
		if nc.usable() {
			return nc
		}
	}
	return nil
}

// hasEstablishedConn reports whether a connection is open. One that is proves that the process has not ended, which would
// reset it, whatever is said of new ones.
func (n *mediaNode) hasEstablishedConn() bool {
	return slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.usable() })
}

// closeUnusedConns closes the connections that carry no set-up, after reading what has arrived on them. Where output is
// pending it is lost, so the error must be another than ErrClosedByOwner: Closed then repeats recent releases.
func (n *mediaNode) closeUnusedConns() {
	for _, nc := range slices.Clone(n.conns) {
		if len(nc.attempts) == 0 {
			nc.conn.ReadAvailable()
		}
		switch {
		case len(nc.attempts) > 0:
		case nc.conn.Pending() > 0:
			nc.conn.Close(loop.ErrSlowReader)
		default:
			nc.conn.Close(loop.ErrClosedByOwner)
		}
	}
}
