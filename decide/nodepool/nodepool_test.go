package nodepool

import "testing"

// conn is an ordinary connection with some set-ups, changed by each function given.
func conn(setups int, change ...func(*Conn)) Conn {
	c := Conn{Established: true, Usable: true, Proven: true, Written: true, Resting: true, Setups: setups}
	for _, f := range change {
		f(&c)
	}
	return c
}

func silent(c *Conn)    { c.Proven = false }
func unwritten(c *Conn) { c.Written = false }
func pending(c *Conn)   { c.Pending = true }
func unusable(c *Conn)  { c.Usable = false }
func connecting(c *Conn) {
	c.Established, c.Usable, c.Written = false, false, false
}
func partial(c *Conn) { c.Resting = false }
func dialledAt(at float64) func(*Conn) {
	return func(c *Conn) { c.DialledAt = at }
}

// Which connection carries what, and which one makes room.
func TestSelection(t *testing.T) {
	for name, c := range map[string]struct {
		conns                                 []Conn
		setup, leastLoaded, message, eviction int
	}{
		"none":                          {nil, -1, -1, -1, -1},
		"one without a set-up":          {[]Conn{conn(1), conn(0), conn(0)}, 1, 1, 1, 1},
		"all carry set-ups":             {[]Conn{conn(2), conn(1), conn(3)}, -1, 1, 1, -1},
		"not yet up, or moved":          {[]Conn{conn(0, connecting), conn(0, unusable)}, -1, -1, -1, 1},
		"half a message":                {[]Conn{conn(0, partial)}, -1, 0, 0, 0},
		"silent":                        {[]Conn{conn(0, unusable, silent), conn(0, silent)}, -1, -1, 1, 0},
		"silent beside one that is not": {[]Conn{conn(0, silent), conn(1)}, -1, 1, 1, 0},
		"output pending":                {[]Conn{conn(0, pending), conn(1)}, 0, 0, 0, -1},
		"the newest never written on": {[]Conn{conn(0), conn(0, unwritten, dialledAt(2)), conn(0, unwritten, dialledAt(4)),
			conn(0, unwritten, dialledAt(3))}, 0, 0, 0, 2},
		"the oldest written on": {[]Conn{conn(0, dialledAt(3)), conn(0, dialledAt(2)), conn(1, dialledAt(1))}, 0, 0, 0, 1},
	} {
		setup := ForSetup(c.conns, func(int) bool { return true })
		if setup != c.setup || LeastLoaded(c.conns) != c.leastLoaded || ForMessage(c.conns) != c.message || Evict(c.conns) != c.eviction {
			t.Errorf("%s: set-up %d, least loaded %d, message %d, eviction %d; want %+v", name, setup, LeastLoaded(c.conns),
				ForMessage(c.conns), Evict(c.conns), c)
		}
	}
	if got := ForSetup([]Conn{conn(0), conn(0)}, func(i int) bool { return i == 1 }); got != 1 {
		t.Errorf("a connection that has been closed is used: %d", got)
	}
}

// Connections for set-ups stay within the limits; probes may exceed them by what is kept for them.
func TestLimits(t *testing.T) {
	limits := Limits{PerNode: 2, SilentPerNode: 2, Total: 10, ProbeReserve: 1}
	for name, c := range map[string]struct {
		conns   []Conn
		total   int
		mayDial bool
		room    Room
	}{
		"none":                     {nil, 0, true, RoomFree},
		"at the limit":             {[]Conn{conn(0), conn(0)}, 2, false, RoomFree},
		"silent ones beside":       {[]Conn{conn(0), conn(0, silent), conn(0, silent)}, 3, true, RoomFree},
		"with silent ones":         {[]Conn{conn(0), conn(0, silent), conn(0, silent), conn(0, silent)}, 4, false, RoomFree},
		"one more, for a probe":    {[]Conn{conn(0), conn(0), conn(0, silent), conn(0, silent), conn(0)}, 5, false, RoomOfNode},
		"at the limit of all":      {nil, 10, false, RoomFree},
		"what is kept is used too": {nil, 11, false, RoomOfAny},
	} {
		if mayDial, room := limits.MayDial(c.conns, c.total), limits.ForProbe(len(c.conns), c.total); mayDial != c.mayDial || room != c.room {
			t.Errorf("%s: %v, room %d", name, mayDial, room)
		}
	}
}
