package loop

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// reuseHandler records what a connection is told.
type reuseHandler struct {
	conn                   *Conn
	onData                 func()
	connected, peerClosing bool
}

func (h *reuseHandler) Connected(*Conn)     { h.connected = true }
func (h *reuseHandler) Flushed(*Conn)       {}
func (h *reuseHandler) Closed(*Conn, error) {}
func (h *reuseHandler) PeerClosing(*Conn)   { h.peerClosing = true }
func (h *reuseHandler) Data(*Conn, []byte) {
	if h.onData != nil {
		h.onData()
	}
}

// reuseFixture has two connections to a loop. The victim is closed by the loop as the trigger sends data, in an iteration that
// has an event of the victim afterwards.
type reuseFixture struct {
	t               *testing.T
	loop            *Loop
	addr            string
	accepted        []*reuseHandler // on the loop's goroutine
	trigger, victim net.Conn
}

func newReuseFixture(t *testing.T) *reuseFixture {
	f := &reuseFixture{t: t}
	f.loop, f.addr = startLoop(t, func(c *Conn) Handler {
		h := &reuseHandler{conn: c}
		f.accepted = append(f.accepted, h)
		return h
	})
	f.trigger, f.victim = f.dial(), f.dial()
	f.waitAccepted(2)
	return f
}

func (f *reuseFixture) dial() net.Conn {
	conn, err := net.Dial("tcp4", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

// onLoop runs a function on the loop's goroutine and waits for it.
func (f *reuseFixture) onLoop(run func()) {
	done := make(chan bool)
	f.loop.Post(func() { run(); close(done) })
	<-done
}

func (f *reuseFixture) waitAccepted(want int) {
	f.t.Helper()
	waitFor(f.t, "connections", func() (ok bool) {
		f.onLoop(func() { ok = len(f.accepted) == want })
		return ok
	})
}

// play holds the loop until the trigger has sent data, between has run, and the victim's peer has closed its side: the events of
// the next iteration, in this order. It returns the victim's descriptor.
func (f *reuseFixture) play(afterClose, between func()) (reused int) {
	held, goOn := make(chan bool), make(chan bool)
	f.loop.Post(func() {
		victim := f.accepted[1].conn
		reused = victim.fd
		f.accepted[0].onData = func() { victim.Close(nil); afterClose() }
		close(held)
		<-goOn
	})
	<-held
	f.trigger.Write([]byte("x"))
	between()
	f.victim.(*net.TCPConn).CloseWrite() // keeps its own descriptor
	close(goOn)
	return reused
}

// untilReused plays an order until a connection gets the victim's descriptor, which another goroutine of the process may take
// first: other tests' connections are closed at any time too.
func untilReused(t *testing.T, play func() (reused bool)) {
	t.Helper()
	const tries = 20
	for range tries {
		if play() {
			return
		}
	}
	t.Errorf("no connection got the descriptor in %d tries", tries)
}

// Guards against an event of a connection that was closed in the same iteration, which the connection got that was accepted on
// its descriptor since: it counted as closed by its peer (seed 520 of the soak).
func TestEventOfAClosedConnectionAfterAnAccept(t *testing.T) {
	untilReused(t, func() (reused bool) {
		f := newReuseFixture(t)
		const others = 8 // several: lower descriptors may be free
		victim := f.play(func() {}, func() {
			for range others {
				f.dial()
			}
		})
		f.waitAccepted(2 + others)
		f.onLoop(func() {
			for _, h := range f.accepted[2:] {
				reused = reused || h.conn.fd == victim
				if h.peerClosing {
					t.Errorf("the connection on descriptor %d counts as closed by its peer", h.conn.fd)
				}
			}
		})
		return reused
	})
}

// Guards against an event of a connection that was closed in the same iteration, by which one that was dialled on its descriptor
// since counted as established.
func TestEventOfAClosedConnectionAfterADial(t *testing.T) {
	addr := listenWithoutAccepting(t)
	untilReused(t, func() (reused bool) {
		f := newReuseFixture(t)
		const dials = 8
		var dialled []*reuseHandler
		victim := f.play(func() {
			for range dials {
				h := &reuseHandler{}
				var err error
				if h.conn, err = f.loop.Dial(addr, h); err != nil {
					t.Error(err)
				}
				dialled = append(dialled, h)
			}
		}, func() {})
		waitFor(t, "dials", func() (ok bool) {
			f.onLoop(func() { ok = len(dialled) == dials })
			return ok
		})
		f.onLoop(func() {
			for _, h := range dialled {
				reused = reused || h.conn.fd == victim
				if h.connected {
					t.Errorf("the connection on descriptor %d counts as established", h.conn.fd)
				}
			}
		})
		return reused
	})
}

// listenWithoutAccepting returns an address at which connections are not established, as the listener's queue is full.
func listenWithoutAccepting(t *testing.T) string {
	full, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(full.Close)
	listener, err := full.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	unix.Listen(listener.fd, 0)
	for range 2 { // the queue holds one connection more than its length
		if _, err := full.Dial(listener.Addr(), &echoHandler{}); err != nil {
			t.Fatal(err)
		}
	}
	return listener.Addr()
}
