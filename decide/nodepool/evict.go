package nodepool

// Evict returns the connection to one media node that makes room for a new one at a limit. One that carries set-ups, or output
// that is not sent yet, stays.
//
// A connection that the media node has not accepted yet is the worst to close: a release is offered on the next one accepted
// and then no more. Those wait in the order in which they were dialled, so of the connections that it has sent nothing on, the
// newest is the last to be offered any. If it has sent something on all of them, what is lost with the oldest is delivered on
// the connection that it makes room for, or on the one that follows its end (decide/redelivery).
func Evict(conns []Conn) int {
	best := -1
	for i, c := range conns {
		if c.evictable() && (best < 0 || c.cheaperThan(conns[best])) {
			best = i
		}
	}
	return best
}

func (c Conn) evictable() bool { return c.Established && c.Setups == 0 && !c.Pending }

func (c Conn) cheaperThan(other Conn) bool {
	if c.Written != other.Written {
		return other.Written
	}
	return c.Written == (c.DialledAt < other.DialledAt)
}
