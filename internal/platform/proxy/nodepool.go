package proxy

import (
	"slices"

	"headmill/decide/nodepool"
	"headmill/internal/loop"
)

// The connections to one media node: how many there are, which one carries what, and which ones are closed.

// maxConnsPerNode limits the connections for set-ups to one media node, and maxSilentConnsPerNode the further ones to one
// that is silent: those that were open before, and one for each time that it was found silent.
const (
	maxConnsPerNode       = 8
	maxSilentConnsPerNode = 12
)

// connLimits returns the limits of connections to media nodes: a third of the file descriptors, see New.
func connLimits(cfg *Config) nodepool.Limits {
	return nodepool.Limits{PerNode: maxConnsPerNode, SilentPerNode: maxSilentConnsPerNode, Total: cfg.Sockets / 3,
		ProbeReserve: cfg.Sockets / 32}
}

// pool describes the connections for decide/nodepool, in their order. It is valid until the next call for any media node.
func (n *mediaNode) pool() []nodepool.Conn {
	pool := n.proxy.poolBuf[:0]
	for _, nc := range n.conns {
		pool = append(pool, nodepool.Conn{
			DialledAt:   nc.dialledAt,
			Established: nc.established,
			Usable:      nc.usable(),
			Proven:      nc.proven(),
			Written:     nc.heard,
			Resting:     !nc.reader.Partial() && !nc.nearIdleTimeout(),
			Pending:     nc.conn.Pending() > 0,
			Setups:      len(nc.attempts),
		})
	}
	n.proxy.poolBuf = pool
	return pool
}

// connAt returns the connection that decide/nodepool has chosen, nil for none.
func (n *mediaNode) connAt(i int) *nodeConn {
	if i < 0 {
		return nil
	}
	return n.conns[i]
}

// idleConn returns a connection that carries no set-up, or nil.
func (n *mediaNode) idleConn() *nodeConn {
	return n.connAt(nodepool.ForSetup(n.pool(), func(i int) bool { return n.conns[i].conn.Reusable() }))
}

// leastLoadedConn returns the connection for a set-up when no further one may be opened, or nil.
func (n *mediaNode) leastLoadedConn() *nodeConn { return n.connAt(nodepool.LeastLoaded(n.pool())) }

// messageConn returns the connection for a message about a session, or nil.
func (n *mediaNode) messageConn() *nodeConn { return n.connAt(nodepool.ForMessage(n.pool())) }

// dial opens a connection for a set-up or a message. It returns nil at a connection limit, on an error, or if another
// media node now has the address.
func (n *mediaNode) dial() *nodeConn {
	if !n.proxy.connLimits.MayDial(n.pool(), n.proxy.nodeConnCount) {
		return nil
	}
	return n.dialWithin(n.proxy.cfg.ConnectMs)
}

// dialProbe opens a connection to find out whether the media node is alive, or for the releases that it repeats on a new
// one. At a limit another connection makes room; it returns nil if none can.
func (n *mediaNode) dialProbe() *nodeConn {
	switch n.probeRoom() {
	case nodepool.RoomOfNode:
		n.evictConn()
	case nodepool.RoomOfAny:
		if !n.proxy.closeUnusedNodeConn() {
			n.evictConn()
		}
	}
	if n.probeRoom() != nodepool.RoomFree {
		return nil
	}
	return n.dialWithin(healthTiming(n.proxy.cfg).ProbeTimeoutMs())
}

func (n *mediaNode) probeRoom() nodepool.Room {
	return n.proxy.connLimits.ForProbe(len(n.conns), n.proxy.nodeConnCount)
}

// evictConn closes the connection that decide/nodepool chooses, after reading what has arrived on it.
func (n *mediaNode) evictConn() {
	nc := n.connAt(nodepool.Evict(n.pool()))
	if nc == nil {
		return
	}
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
