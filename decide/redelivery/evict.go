package redelivery

// Connection describes an open connection to a media node.
type Connection struct {
	DialledAt float64
	Written   bool // the media node has sent something on it
	Busy      bool // a set-up is out on it, or output is pending
}

// Evict returns the index of the connection to one media node that makes room for a new one at a limit, or -1 if all are busy.
//
// A connection that the media node has not accepted yet is the worst to close: a release is offered on the next one accepted
// and then no more. Those wait in the order in which they were dialled, so of the connections that it has sent nothing on, the
// newest is the last to be offered any. If it has sent something on all of them, what is lost with the oldest is delivered on
// the connection that it makes room for, or on the one that follows its end.
func Evict(conns []Connection) int {
	best := -1
	for i, c := range conns {
		if !c.Busy && (best < 0 || c.cheaperThan(conns[best])) {
			best = i
		}
	}
	return best
}

func (c Connection) cheaperThan(other Connection) bool {
	if c.Written != other.Written {
		return other.Written
	}
	return c.Written == (c.DialledAt < other.DialledAt)
}
