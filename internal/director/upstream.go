package director

import (
	"errors"

	"headmill"
	"headmill/internal/http1"
	"headmill/internal/loop"
)

var errAnswer = errors.New("director: the box's answer can't be read")

// user is what a connection to a box works for at present.
type user interface {
	connected(u *upstream)
	wrote(u *upstream)
	head(u *upstream, status int)
	whole(u *upstream, m *http1.Message)
	broke(u *upstream, err error)
}

// upstream is one connection to a box. It works for one user at a time; without one it rests in the pool.
type upstream struct {
	b       *box
	c       *loop.Conn
	p       *http1.Parser
	use     user
	base    int64 // bytes written before the present request
	rested  float64
	headled bool
	timer   *loop.Timer
}

// box is what the director keeps of a box: its connections and what waits to be told to it.
type box struct {
	d     *Director
	id    headmill.NodeID
	addr  string
	idle  []*upstream
	conns int
	notes *notes
	cmds  commands
	used  float64
}

func (d *Director) box(id headmill.NodeID) *box {
	b := d.boxes[id]
	if b == nil {
		b = &box{d: d, id: id, addr: d.fleet.Addr(id)}
		b.cmds.b = b
		d.boxes[id] = b
	}
	b.used = d.l.Now()
	return b
}

// rested takes a kept connection that is still open, or nil. One whose peer has closed it is found by a look
// at the socket, before a set-up is written on it.
func (b *box) rested() *upstream {
	for n := len(b.idle); n > 0; n = len(b.idle) {
		u := b.idle[n-1]
		b.idle = b.idle[:n-1]
		if u.c.Idle() {
			return u
		}
		u.c.Close(loop.ErrClosedByOwner)
	}
	return nil
}

// dial opens a connection for a user; it returns false where that fails at once or the cap is reached.
func (b *box) dial(for_ user) bool {
	if b.conns >= b.d.cfg.Limits.ConnsPerNode {
		return false
	}
	u := &upstream{b: b, use: for_, p: http1.NewResponses(http1.Limits{})}
	c, err := b.d.l.Dial(b.addr, u)
	if err != nil {
		return false
	}
	u.c = c
	c.SetLimit(1 << 20)
	b.conns++
	u.timer = b.d.l.After(b.d.cfg.Times.ConnectMs, func() { c.Close(loop.ErrConnectTimeout) })
	return true
}

// take gives a connection to a user.
func (u *upstream) take(by user) {
	u.use, u.base, u.headled = by, u.c.Written(), false
}

// left tells how many bytes of the present request the kernel has taken.
func (u *upstream) left() int64 { return u.c.Written() - u.base }

// rest puts a connection back into the pool.
func (u *upstream) rest() {
	u.use = nil
	if !u.c.Open() {
		return
	}
	if u.p.Msg.Close || len(u.b.idle) >= u.b.d.cfg.Limits.IdleConnsPerNode {
		u.c.Close(loop.ErrClosedByOwner)
		return
	}
	u.p.Next()
	u.rested = u.b.d.l.Now()
	u.b.idle = append(u.b.idle, u)
}

// Connected hands the connection to its user.
func (u *upstream) Connected(*loop.Conn) {
	u.b.d.l.Cancel(u.timer)
	if u.use != nil {
		u.use.connected(u)
	}
}

// Drained tells the user that its request has left.
func (u *upstream) Drained(*loop.Conn) {
	if u.use != nil {
		u.use.wrote(u)
	}
}

// Data parses the answer.
func (u *upstream) Data(_ *loop.Conn, b []byte) {
	if u.use == nil { // a box that speaks unasked: what it says could be taken for the next answer
		u.c.Close(errAnswer)
		return
	}
	for len(b) > 0 && u.use != nil {
		n, done, err := u.p.Feed(b)
		if err != nil {
			u.c.Close(err)
			return
		}
		b = b[n:]
		if u.p.HeadDone() && !u.headled && u.p.Msg.Status >= 200 {
			u.headled = true
			u.use.head(u, u.p.Msg.Status)
		}
		if !done {
			return
		}
		if u.p.Msg.Status < 200 { // an interim answer (RFC 9110 15.2) says nothing
			u.p.Next()
			continue
		}
		u.use.whole(u, &u.p.Msg)
	}
	if len(b) > 0 && u.c.Open() {
		u.c.Close(errAnswer)
	}
}

// Closed tells the user, or leaves the pool.
func (u *upstream) Closed(_ *loop.Conn, err error) {
	b := u.b
	b.d.l.Cancel(u.timer)
	b.conns--
	if u.use == nil {
		for i, o := range b.idle {
			if o == u {
				b.idle = append(b.idle[:i], b.idle[i+1:]...)
				break
			}
		}
		return
	}
	use := u.use
	if err == nil && u.headled {
		if done, _ := u.p.End(); done { // an answer whose end is the end of the stream
			use.whole(u, &u.p.Msg)
			return
		}
	}
	u.use = nil
	use.broke(u, err)
}

// sweepBoxes closes connections that rested too long and forgets boxes that nothing refers to.
func (d *Director) sweepBoxes() {
	now := d.l.Now()
	if now < d.nextBoxSweep {
		return
	}
	d.nextBoxSweep = now + 1000
	for id, b := range d.boxes {
		for len(b.idle) > 0 && now-b.idle[0].rested > d.cfg.Times.NodeIdleMs {
			u := b.idle[0]
			b.idle = b.idle[1:]
			u.c.Close(loop.ErrClosedByOwner)
		}
		if b.conns == 0 && b.notes == nil && len(b.cmds.queue) == 0 && now-b.used > 4*d.cfg.Times.NodeIdleMs {
			delete(d.boxes, id)
		}
	}
}
