package proxy

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/decide/shutdown"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
)

// Tests of two events that cross (docs/design/platform.md, "Where two events cross"). The loop is held while both happen,
// so that the bad order comes each time.

// unseen waits until a connection's end has reached the machine; the loop, which runs this, has not seen it.
func unseen(t *testing.T, c *loop.Conn) {
	for late := time.Now().Add(patience); !c.WriteClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Error("the end does not come")
			return
		}
	}
}

func TestSetUpAndCloseInOneRead(t *testing.T) {
	r := startRig(t, 1, nil)
	for range 5 { // also where the connection to the media node stands already
		v := r.call()
		r.connections(1)
		r.on(func() {
			v.ask(id1, "free", "1;top:0")
			v.c.Close()
			for _, x := range r.n.viewers {
				for late := time.Now().Add(patience); unread(x.c) == 0 && time.Now().Before(late); time.Sleep(time.Millisecond) {
				}
			}
			time.Sleep(5 * time.Millisecond) // the end follows its bytes on loopback; an earlier read only makes this easier
		})
		r.connections(0)
	}
	if st := r.stats(); st.Attempts != 0 || st.Requests != 5 || st.ViewersLeft != 5 {
		t.Fatalf("attempts for clients that have gone: %+v", st)
	}
}

// unread tells whether bytes wait to be read: 1, else 0.
func unread(c *loop.Conn) int {
	if c.Idle() {
		return 0
	}
	return 1
}

// While an attempt waits for its connection the viewer goes, and the loop reads both at once.
func TestCloseWhileConnecting(t *testing.T) {
	addr, hole := blackHole(t)
	r := startRig(t, 1, func(c *Config) { c.ConnectMs = 60000 })
	r.takes("ready", addr)
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	r.wait("no attempt", func(s Stats) bool { return s.Attempts == 1 })
	s := r.standing(id1)
	m := &media{t: t, ln: hole, name: "hole", got: make(chan seen, 100)}
	r.on(func() {
		v.c.Close()
		unseen(t, s.front.c)
		go m.serve(hole)
		for late := time.Now().Add(patience); !s.try.k.c.Established(); time.Sleep(time.Millisecond) {
			if time.Now().After(late) {
				t.Error("the connection does not come up")
				return
			}
		}
	})
	r.wait("the viewer's end is not seen", func(s Stats) bool { return s.ViewersLeft == 1 })
	w := r.call()
	w.ask(id2, "free", "1;top:0") // on the connection that is up: the media node has got nothing before it
	if got := m.want(frame.Setup); got.id != 0xa2 {
		t.Fatalf("an attempt began after its viewer had gone: %+v", got)
	}
}

// A media node's answer and the viewer's close are read in one round: nobody knows that the session stands.
func TestAnswerAndClose(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	m, s := r.setup()
	open := r.standing(id1)
	r.on(func() {
		v.c.Close()
		unseen(t, open.front.c)
		s.answer("x")
		for late := time.Now().Add(patience); unread(open.try.k.c) == 0 && time.Now().Before(late); time.Sleep(time.Millisecond) {
		}
	})
	if e := m.want(frame.Release); e.id != 0xa1 || e.cause != causeClear {
		t.Fatalf("%+v", e)
	}
	if st := r.stats(); st.Played != 0 || st.ViewersLeft != 1 {
		t.Fatalf("%+v", st)
	}
}

// An answer that waits to be written when its connection ends was read by nobody.
func TestAnswerThatNeverLeft(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	s := r.standing(id1)
	r.on(func() { s.answered = s.front.c.Written() + 1; s.front.c.Close(loop.ErrSlowReader) })
	if e := m.want(frame.Release); e.id != 0xa1 {
		t.Fatalf("%+v", e)
	}
}

// The media node's answer is lost with its connection: what stands there is ended.
func TestAnswerLostWithItsConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	m, _ := r.setup()
	m.cut()
	if e := m.want(frame.Release); e.id != 0xa1 || e.cause != causeClear {
		t.Fatalf("%+v", e)
	}
	if e := v.hear(); e.Cause != causeError {
		t.Fatalf("%+v", e)
	}
}

// A connection that the machine has taken when the door closes is served.
func TestDoorClosesOnATakenConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	var v *caller
	r.on(func() {
		v = r.call()
		v.ask(id1, "free", "1;top:0")
		r.n.stopping(shutdown.CloseListeners)
	})
	_, s := r.setup()
	s.answer("x")
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
	if c, err := net.Dial("tcp4", r.addr); err == nil {
		c.Close()
		t.Fatal("the door is open still")
	}
}

// What still waits when a stop can wait no longer is answered, and its attempt given up.
func TestStopFailsWhatWaits(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	m, _ := r.setup()
	r.on(func() { r.n.stopping(shutdown.FailPending) })
	if e := v.hear(); e.Type != "release" || e.Cause != causeError {
		t.Fatalf("%+v", e)
	}
	if e := m.want(frame.Release); e.id != 0xa1 || r.count() != 0 {
		t.Fatalf("%+v, %d sessions", e, r.count())
	}
}

// A stop waits for what is written and not taken by its peer, and for releases that nobody has confirmed.
func TestUnsent(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	_, s := r.plays(v, id1)
	r.on(func() {
		c := r.n.sessions[s.id].front.c
		c.SetLimit(0)
		for big := make([]byte, 1<<20); c.Pending() == 0; {
			c.Write(big)
		}
		if got := r.n.unsent(); got != 1 {
			t.Errorf("%d unsent, want the viewer's", got)
		}
	})
	s.release(causeClear)
	r.pending(1)
	r.on(func() {
		if got := r.n.unsent(); got != 2 {
			t.Errorf("%d unsent, want the release too", got)
		}
	})
}

// A client that leaves while its attempt waits for a connection says nothing of the media node.
func TestLeavingBlamesNobody(t *testing.T) {
	addr, _ := blackHole(t)
	r := startRig(t, 1, func(c *Config) { c.ConnectMs = 60000 })
	r.takes("ready", addr)
	for i := range 3 {
		v := r.call()
		v.ask(id1, "free", "1;top:0")
		r.wait("the media node is rested", func(s Stats) bool { return s.Attempts == i+1 })
		v.c.Close()
		r.connections(0)
	}
}

// Idle clients hold every descriptor when the name service moves: its socket is pointed elsewhere.
func TestReloadWithoutADescriptor(t *testing.T) {
	r := startRig(t, 1, nil)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	r.on(func() {
		var was unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
			t.Error(err)
		}
		free, _ := unix.Dup(0)
		unix.Close(free)
		unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(free), Max: was.Max})
		defer unix.Setrlimit(unix.RLIMIT_NOFILE, &was)
		if _, err := r.l.DialPacket(other.LocalAddr().String(), func([]byte) {}); err == nil {
			t.Error("a descriptor was left: this shows nothing")
		}
		if err := r.n.feed.open(other.LocalAddr().String()); err != nil {
			t.Error(err)
		}
	})
	other.SetReadDeadline(time.Now().Add(patience))
	if _, _, err := other.ReadFromUDP(make([]byte, 512)); err != nil {
		t.Fatalf("the new address is not asked: %v", err)
	}
}

// A new media node has the address of one that has gone: that it answers there proves nothing for the old one's sessions.
func TestAddressPassesToAnother(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m := r.adopts(v, id1)
	m.any()
	r.on(func() {
		if err := r.n.take(&discovery.Message{Version: 9, Full: true, Entries: []discovery.Entry{{Name: "s-new",
			Addr: m.ln.Addr().String(), State: "ready", Weight: 1}}}); err != nil {
			t.Error(err)
		}
	})
	m.cut()
	if e := v.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeReset {
		t.Fatalf("%+v", e)
	}
}

// What ends a session is written into a connection that the media node is just resetting: it comes again on another.
func TestReleaseLostWithItsConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	s := r.standing(id1)
	r.on(func() {
		k := s.box.links[0]
		m.cut()
		unseen(t, k.c)
		r.n.left(s)
	})
	if e := m.want(frame.Release); e.id != 0xa1 || e.cause != causeClear {
		t.Fatalf("%+v", e)
	}
}

// later waits until the loop's clock has moved on, and returns it.
func (r *rig) later() (now float64) {
	r.on(func() { now = r.l.Now() })
	for was := now; now < was+5; r.on(func() { now = r.l.Now() }) {
		time.Sleep(time.Millisecond)
	}
	return now
}

// Lines that come in pieces which always end in the middle of the next one: each has its own time.
func TestPiecesAcrossLines(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	_, s := r.plays(v, id1) // the connection has asked
	s.release(causeClear)
	v.hear()
	line := `{"type":"ping","id":"x","fields":{},"cause":0}` + "\n"
	fmt.Fprint(v.c, line+line[:5])
	v.hear()
	first := r.later()
	fmt.Fprint(v.c, line[5:]+line[:5])
	if e := v.hear(); e.Type != "pong" {
		t.Fatalf("%+v", e)
	}
	r.on(func() {
		if out := r.n.door.Step(first+silentMs, connmgr.Event{Kind: connmgr.Tick}, nil); len(out) > 0 {
			t.Errorf("a line that is not yet late closes its connection: %v", out)
		}
	})
}

// The same of a media node's messages.
func TestPiecesAcrossMessages(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, s := r.plays(v, id1)
	out, at := frame.Begin(nil, frame.Ping, 1)
	out = frame.End(frame.Add(out, frame.Cause, []byte{0}), at)
	cut := append(out[3:len(out):len(out)], out[:3]...)
	s.c.Write(append(out[:len(out):len(out)], out[:3]...))
	m.want(frame.Pong)
	first := r.later()
	s.c.Write(cut)
	m.want(frame.Pong)
	r.on(func() {
		if k := r.n.sessions[s.id].box.links[0]; !k.r.Partial() || k.partial < first {
			t.Errorf("the rest of a message is awaited since %v, it began after %v", k.partial, first)
		}
	})
}

// A connection that its media node may be closing for idleness gets no set-up.
func TestIdleConnectionIsNotTrusted(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, s := r.plays(v, id1)
	r.on(func() { r.n.sessions[s.id].box.links[0].used -= r.n.cfg.KeepAliveMs - r.n.cfg.ConnectMs + 1 })
	v.ask(id2, "free", "1;top:0")
	if got := m.want(frame.Setup); got.id != 0xa2 || got.c == s.c {
		t.Fatalf("%+v: a set-up crosses the close of its connection", got)
	}
}

// A session of the start that is over since its media node has gone: the word crosses the close of its connection.
func TestStartsSessionOverOnAClosingConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	a, b := r.call(), r.call()
	r.plays(b, id2)
	r.connections(2)
	r.on(func() {
		a.playing(id1, "s-77")
		a.c.Close()
		for _, v := range r.n.viewers {
			for late := time.Now().Add(patience); len(v.stands) == 0 && unread(v.c) == 0 && time.Now().Before(late); time.Sleep(time.Millisecond) {
			}
		}
	})
	if e := b.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeReset {
		t.Fatalf("%+v", e)
	}
}

// A connection that this side closes for idleness has delivered what was written there: nothing is told twice, and no
// connection opened for it.
func TestIdleCloseTellsNothingAgain(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	at := r.standing(id1).box
	v.say(`{"type":"release","id":"%s","fields":{},"cause":16}`, id1)
	m.want(frame.Release)
	r.on(at.shut)
	r.on(func() {}) // its end is told after the round
	r.on(func() {
		if len(at.links)+len(at.queue) != 0 {
			t.Errorf("%d connections, %d messages kept", len(at.links), len(at.queue))
		}
	})
}

// A session's end is lost with the connection that it was written on, while another stands: the media node tells it again
// on the next one opened, so one has to be.
func TestEndLostWithOneOfTwoConnections(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	_, a := r.setup()
	v.ask(id2, "free", "1;top:0")
	m, b := r.setup()
	if a.c == b.c {
		t.Fatal("two set-ups on one connection: this shows nothing")
	}
	a.answer("x")
	v.hear()
	b.answer("x")
	v.hear()
	a.c.(*net.TCPConn).SetLinger(0)
	a.c.Close()
	fresh := func() (c net.Conn) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if last := m.conns[len(m.conns)-1]; last != a.c && last != b.c {
			c = last
		}
		return c
	}
	out, at := frame.Begin(nil, frame.Ping, 1)
	out = frame.End(frame.Add(out, frame.Cause, []byte{0}), at)
	for late := time.Now().Add(patience); fresh() == nil; time.Sleep(5 * time.Millisecond) {
		b.c.Write(out) // the other connection is heard all the time: its silence opens none
		if time.Now().After(late) {
			t.Fatal("no other connection is opened")
		}
	}
	fresh().Write(frame.AppendRelease(nil, a.id, causeClear))
	if e := v.hear(); e.Type != "release" || e.ID != id1 {
		t.Fatalf("%+v", e)
	}
}
