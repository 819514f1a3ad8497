package proxy

// Sessions of a media node whose address has passed to another one, its successor.

// addrReassigned reports whether the media node is no longer listed, another one has its address, and none of its sessions
// plays there. What answers at the address then proves nothing about this node.
func (n *mediaNode) addrReassigned() bool {
	successor, ok := n.proxy.nodeList.Successor(n.id, n.addr)
	if !ok {
		return false
	}
	for _, s := range n.sessions {
		if successor.Plays(s.connectedAt()) {
			return false
		}
	}
	return true
}

// loseReplacedSessions ends the sessions that ended with their process, as another one has its address. Those that were set
// up since then, before the list said so, play at the successor.
func (n *mediaNode) loseReplacedSessions() {
	successor, ok := n.proxy.nodeList.Successor(n.id, n.addr)
	if !ok {
		return
	}
	for _, s := range n.sessions {
		if !successor.Plays(s.connectedAt()) {
			n.proxy.stats.Lost++
			n.proxy.sessionLost(s, false)
		}
	}
}

// connectedAt is the Unix time, ms, at which the connection came up that the session was answered on; 0: unknown.
func (s *session) connectedAt() float64 {
	if s.setupConn == nil {
		return 0
	}
	return s.setupConn.connectedAt
}

// sessionAtAddr finds a session that plays at the media node, or that is held for another id of the same address: the set-up
// of one that plays at a successor was sent to the id before.
func (n *mediaNode) sessionAtAddr(id uint64) *session {
	if s := n.sessions[id]; s != nil {
		return s
	}
	s := n.proxy.sessions[id]
	if s == nil || s.state == statePending || s.node.addr != n.addr {
		return nil
	}
	return s
}
