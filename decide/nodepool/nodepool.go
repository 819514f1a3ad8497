// Package nodepool decides which of a director's connections to a media node
// carries a set-up or a message, whether a further one may be opened, and which
// one makes room at a limit. It is pure: it is given the connections and
// returns an index, or -1 for none.
//
//	what is sent   on which connection
//	set-up         one that carries none, so that a malformed answer affects no other; otherwise a new one; at the limit
//	               the one with the fewest
//	message        the one with the fewest set-ups
//	probe          a new one
//
// Nothing new is sent on a connection that is not proven, as its media node may
// have vanished; only a message is, if there is no other: a media node that
// stands still reads it once it goes on.
package nodepool

// Conn describes a connection.
type Conn struct {
	DialledAt   float64
	Established bool
	Usable      bool // established and open, to the media node's present address
	Proven      bool // it came up, or received something, since the media node was last found silent
	Written     bool // the media node has sent something on it
	Resting     bool // no message is incomplete, and the media node is not about to close it as idle
	Pending     bool // output is pending
	Setups      int  // set-ups that are out on it
}

// Limits are the limits of connections.
type Limits struct {
	PerNode       int // to one media node, for set-ups
	SilentPerNode int // further ones to one, for those that are not proven
	Total         int // to all media nodes
	ProbeReserve  int // further ones, for probes only
}

// MayDial reports whether a connection for a set-up or a message may be opened to a media node; total counts those to all.
func (l *Limits) MayDial(conns []Conn, total int) bool {
	silent := 0
	for _, c := range conns {
		if c.Established && !c.Proven {
			silent++
		}
	}
	return len(conns)-silent < l.PerNode && len(conns) < l.PerNode+l.SilentPerNode && total < l.Total
}

// Room tells what has to make room for a probe.
type Room uint8

// The kinds of room.
const (
	RoomFree   Room = iota // nothing: it may be opened
	RoomOfNode             // a connection to the same media node, by Evict
	RoomOfAny              // one to a media node that has no session, otherwise as RoomOfNode
)

// ForProbe tells what has to make room for a probe of a media node that has count connections. Set-ups can't prevent a probe: it
// may be one above their limits.
func (l *Limits) ForProbe(count, total int) Room {
	switch {
	case count > l.PerNode+l.SilentPerNode:
		return RoomOfNode
	case total >= l.Total+l.ProbeReserve:
		return RoomOfAny
	}
	return RoomFree
}

// ForSetup returns the connection for a set-up if one carries none. reusable asks the kernel whether a connection has been closed
// meanwhile.
func ForSetup(conns []Conn, reusable func(i int) bool) int {
	for i, c := range conns {
		if c.Usable && c.Proven && c.Resting && c.Setups == 0 && reusable(i) {
			return i
		}
	}
	return -1
}

// LeastLoaded returns the proven connection with the fewest set-ups.
func LeastLoaded(conns []Conn) int {
	best := -1
	for i, c := range conns {
		if c.Usable && c.Proven && (best < 0 || c.Setups < conns[best].Setups) {
			best = i
		}
	}
	return best
}

// ForMessage returns the connection for a message about a session.
func ForMessage(conns []Conn) int {
	if best := LeastLoaded(conns); best >= 0 {
		return best
	}
	for i, c := range conns {
		if c.Usable {
			return i
		}
	}
	return -1
}
