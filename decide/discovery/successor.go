package discovery

import "headmill"

// Successor is the media node that has the address of one that is not listed any more.
type Successor struct {
	StartedAt float64 // on the clock of Apply's now; 0: long ago
}

// Successor returns the media node that has the address of one that is not listed any more. ok is false if there is none. One
// on hold does not count: the list may be an older one.
func (l *List) Successor(id headmill.NodeID, addr string) (successor Successor, ok bool) {
	if l.nodes[id] != nil {
		return Successor{}, false
	}
	for _, node := range l.nodes {
		if node.Addr == addr && node.holdFor == 0 {
			return Successor{node.startedAt}, true
		}
	}
	return Successor{}, false
}

// Plays reports whether the successor plays a session that was sent to the media node before it, by when the connection came up
// that the session was answered on; 0: that is unknown. Such a session was set up before the list named the successor.
func (s Successor) Plays(connectedAt float64) bool {
	return s.StartedAt > 0 && connectedAt >= s.StartedAt
}
