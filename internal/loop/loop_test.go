package loop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"
)

// echoHandler writes back what it receives.
type echoHandler struct {
	mu         sync.Mutex
	closed     []error
	got        int
	discard    bool // write nothing back
	floodBytes int  // bytes to write when data arrives
}

func (e *echoHandler) Connected(*Conn) {}
func (e *echoHandler) Flushed(*Conn)   {}
func (e *echoHandler) Data(c *Conn, b []byte) {
	e.mu.Lock()
	e.got += len(b)
	e.mu.Unlock()
	switch {
	case e.floodBytes > 0:
		for n := 0; n < e.floodBytes && c.Open(); n += 1 << 16 {
			c.Write(make([]byte, 1<<16))
		}
	case !e.discard:
		c.Write(b)
	}
}
func (e *echoHandler) Closed(_ *Conn, err error) {
	e.mu.Lock()
	e.closed = append(e.closed, err)
	e.mu.Unlock()
}

func (e *echoHandler) closeErrors() []error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]error(nil), e.closed...)
}

func startLoop(t *testing.T, onAccept func(*Conn) Handler) (*Loop, string) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen("127.0.0.1:0", onAccept)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l, ln.Addr()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

func TestEchoLargePayload(t *testing.T) {
	e := &echoHandler{}
	_, addr := startLoop(t, func(*Conn) Handler { return e })
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() { c.Write(sent); c.(*net.TCPConn).SetWriteBuffer(1) }()
	got := make([]byte, len(sent))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("echo differs: %v", err)
	}
	c.Close()
	waitFor(t, "the end of the connection", func() bool { return len(e.closeErrors()) == 1 })
}

func TestSlowReaderIsClosed(t *testing.T) {
	e := &echoHandler{floodBytes: 64 << 20}
	_, addr := startLoop(t, func(c *Conn) Handler { c.SetOutputLimit(1 << 20); return e })
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	waitFor(t, "the slow reader to be closed", func() bool { return len(e.closeErrors()) == 1 })
	if err := e.closeErrors()[0]; !errors.Is(err, ErrSlowReader) {
		t.Fatalf("closed with %v", err)
	}
}

// replyAndClose answers the first bytes and closes the connection, like a server that rejects a request early.
type replyAndClose struct{ echoHandler }

func (e *replyAndClose) Data(c *Conn, _ []byte) {
	c.Write([]byte("too long"))
	c.CloseGracefully()
}

// A peer that is still sending a long message reads the answer and an orderly end of stream, not a reset. A peer that
// never stops sending is disconnected at the byte limit.
func TestLingeringClose(t *testing.T) {
	e := &replyAndClose{}
	l, addr := startLoop(t, func(*Conn) Handler { return e })
	for _, size := range []int{1, 100 << 10, 900 << 10} {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		wrote := make(chan error, 1)
		go func() { _, err := c.Write(make([]byte, size)); wrote <- err }()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if err := <-wrote; err != nil {
			t.Errorf("%d bytes: %v", size, err)
		}
		if b, err := io.ReadAll(c); string(b) != "too long" || err != nil {
			t.Errorf("%d bytes: read %q, %v", size, b, err)
		}
		c.Close()
	}
	waitFor(t, "the connections to end", func() bool { return len(e.closeErrors()) == 3 })
	lingering := func() int {
		n := make(chan int)
		l.Post(func() { n <- len(l.lingering) })
		return <-n
	}
	waitFor(t, "lingering to end after the peers have closed", func() bool { return lingering() == 0 })
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() { // writes until the connection is closed
		for b := make([]byte, 1<<16); ; {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}()
	waitFor(t, "the connection to linger", func() bool { return len(e.closeErrors()) == 4 })
	waitFor(t, "lingering to end at the byte limit", func() bool { return lingering() == 0 })
}

func TestPauseStopsReading(t *testing.T) {
	e := &echoHandler{discard: true}
	var conn *Conn
	l, addr := startLoop(t, func(c *Conn) Handler { c.SetReadPaused(true); conn = c; return e })
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("hello"))
	seen := make(chan bool, 1)
	l.Post(func() { l.After(60, func() { seen <- e.got > 0 }) })
	if <-seen {
		t.Fatal("data was read from a paused connection")
	}
	l.Post(func() { conn.SetReadPaused(false) })
	waitFor(t, "the bytes", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.got == 5 })
}

func TestTimerOrder(t *testing.T) {
	l, _ := startLoop(t, func(*Conn) Handler { return nil })
	out := make(chan []int, 1)
	l.Post(func() {
		var got []int
		now := l.Now()
		cancelled := l.At(now+5, func() { got = append(got, 99) })
		l.At(now+20, func() { got = append(got, 3); out <- got })
		l.At(now+10, func() { got = append(got, 1) })
		l.At(now+10, func() { got = append(got, 2); l.Cancel(cancelled); l.Cancel(nil) })
		l.Cancel(cancelled)
	})
	if got := <-out; len(got) != 3 || got[0] != 1 || got[1] != 2 || got[2] != 3 {
		t.Fatalf("timers fired as %v", got)
	}
}

// dialHandler reports the outcome of a connection that the loop dials.
type dialHandler struct {
	connected chan bool
	closed    chan error
}

func (d *dialHandler) Connected(*Conn)           { d.connected <- true }
func (d *dialHandler) Flushed(*Conn)             {}
func (d *dialHandler) Data(*Conn, []byte)        {}
func (d *dialHandler) Closed(_ *Conn, err error) { d.closed <- err }

func TestDial(t *testing.T) {
	l, addr := startLoop(t, func(*Conn) Handler { return &echoHandler{} })
	d := &dialHandler{make(chan bool, 1), make(chan error, 1)}
	var c *Conn
	l.Post(func() { c, _ = l.Dial(addr, d) })
	<-d.connected
	idle := make(chan bool, 1)
	l.Post(func() { idle <- c.Reusable() && c.Written() == 0 })
	if !<-idle {
		t.Error("a new connection is not idle")
	}
	l.Post(func() { c.Close(nil); c.Close(ErrClosedByOwner) })
	if err := <-d.closed; err != nil {
		t.Errorf("closed with %v, want the error of the first Close", err)
	}
	// Nothing listens at this address.
	ln, _ := net.Listen("tcp4", "127.0.0.1:0")
	closedAddr := ln.Addr().String()
	ln.Close()
	l.Post(func() { l.Dial(closedAddr, d) })
	if err := <-d.closed; !errors.Is(err, ErrConnectFailed) || !IsConnRefused(err) {
		t.Errorf("connection to a closed port: %v, want connection refused", err)
	}
	for _, bad := range []string{"10.0.0.1:80", "x", "[::1]:80"} {
		if _, err := l.Dial(bad, d); err == nil {
			t.Errorf("dialled %s; only 127.0.0.0/8 is allowed", bad)
		}
	}
	if _, err := l.Listen("0.0.0.0:0", nil); err == nil {
		t.Error("listening on 0.0.0.0 succeeded; only 127.0.0.0/8 is allowed")
	}
}

// Reusable notices a peer's close that has reached the kernel before the loop has handled it, so that nothing is written
// to a closed connection.
func TestIdleDetectsPeerClose(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer := make(chan net.Conn, 1)
	go func() { c, _ := ln.Accept(); peer <- c }()
	l, _ := startLoop(t, func(*Conn) Handler { return nil })
	d := &dialHandler{make(chan bool, 1), make(chan error, 1)}
	var c *Conn
	l.Post(func() { c, _ = l.Dial(ln.Addr().String(), d) })
	<-d.connected
	stillIdle := make(chan bool, 1)
	l.Post(func() { // within one call on the loop, so that the event of the close cannot have been handled
		(<-peer).Close()
		for end := time.Now().Add(5 * time.Second); c.Reusable() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		stillIdle <- c.Reusable()
	})
	if <-stillIdle {
		t.Fatal("a connection that the peer has closed is reported as idle")
	}
	if err := <-d.closed; err != nil {
		t.Errorf("an orderly end of stream is reported as %v", err)
	}
}

func TestStopClosesAll(t *testing.T) {
	e := &echoHandler{}
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return e })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	c, err := net.Dial("tcp4", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	c.Read(make([]byte, 1))
	l.Stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if ends := e.closeErrors(); len(ends) != 1 || !errors.Is(ends[0], ErrStopped) {
		t.Fatalf("%v", ends)
	}
	if _, err := net.Dial("tcp4", ln.Addr()); err == nil {
		t.Fatal("still listening")
	}
}

func BenchmarkEcho(b *testing.B) {
	l, _ := New()
	ln, _ := l.Listen("127.0.0.1:0", func(*Conn) Handler { return &echoHandler{} })
	go l.Run()
	defer l.Stop()
	c, err := net.Dial("tcp4", ln.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		c.Write(buf)
		io.ReadFull(c, buf)
	}
}

// Datagrams from senders other than the peer are dropped, and only permitted addresses can be dialled.
func TestPacketConn(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 10)
	p, err := l.DialPacket(peer.LocalAddr().String(), func(b []byte) { got <- string(b) })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	l.Post(func() { p.Send([]byte("question")) })
	b := make([]byte, 100)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, from, err := peer.ReadFromUDP(b)
	if err != nil || string(b[:n]) != "question" {
		t.Fatalf("%q, %v", b[:n], err)
	}
	otherSender, err := net.DialUDP("udp4", nil, from)
	if err != nil {
		t.Fatal(err)
	}
	defer otherSender.Close()
	otherSender.Write([]byte("forged"))
	peer.WriteToUDP([]byte("answer"), from)
	select {
	case s := <-got:
		if s != "answer" {
			t.Fatalf("received %q, which another sender sent", s)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the answer did not arrive")
	}
	if _, err := l.DialPacket("10.0.0.1:53", nil); err == nil {
		t.Fatal("dialled a peer outside the loopback interface")
	}
	l.Stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Only loopback addresses are permitted, unless the director's own address is in a private network.
func TestLocalNetwork(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, s := range []struct {
		local, addr string
		ok          bool
	}{{"127.0.0.1:1", "10.1.0.9:5080", false}, {"10.0.0.4:5080", "10.1.0.9:5080", true},
		{"10.0.0.4:5080", "127.0.0.1:5080", true}, {"10.0.0.4:5080", "192.168.0.1:5080", false},
		{"10.0.0.4:5080", "8.8.8.8:53", false}, {"8.8.8.8:53", "8.8.8.8:53", false},
		{"192.168.0.4:5080", "192.168.7.1:5080", true}, {"192.168.0.4:5080", "192.0.2.1:5080", false}} {
		l.localNetwork = netip.Prefix{}
		if err := l.SetLocalAddr(s.local); err != nil {
			t.Fatal(err)
		}
		if _, err := l.checkAddr(s.addr); (err == nil) != s.ok {
			t.Errorf("local address %s, address %s: %v", s.local, s.addr, err)
		}
	}
	if l.SetLocalAddr("nowhere") == nil {
		t.Error("SetLocalAddr accepted an invalid address")
	}
}

// Guards against a last answer that is lost at the end of the loop: input that nobody reads turns a close into a reset.
func TestStopGracefullyDeliversTheLastAnswer(t *testing.T) {
	accepted := make(chan *Conn, 1)
	l, addr := startLoop(t, func(c *Conn) Handler { accepted <- c; return &echoHandler{discard: true} })
	peer, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := <-accepted
	l.Post(func() {
		c.SetReadPaused(true)
		peer.Write(make([]byte, 100000))
		c.Write([]byte("answer"))
		c.CloseGracefully()
		l.StopGracefully()
	})
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	time.Sleep(20 * time.Millisecond) // the end of the loop must not overtake the answer
	if got, err := io.ReadAll(peer); string(got) != "answer" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// ReadAvailable delivers what the kernel holds though the loop has not read it yet.
func TestReadAvailable(t *testing.T) {
	accepted := make(chan *Conn, 1)
	handler := &echoHandler{}
	l, addr := startLoop(t, func(c *Conn) Handler { accepted <- c; return handler })
	peer, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := <-accepted
	l.Post(func() {
		peer.Write([]byte("request"))
		for deadline := time.Now().Add(5 * time.Second); c.Reusable() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.ReadAvailable()
		c.CloseGracefully()
	})
	peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(peer); string(got) != "request" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// An iteration that begins late is reported before its events.
func TestStall(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	var order []string
	l.OnStall(50, func() { order = append(order, "stall") })
	l.After(1, func() { time.Sleep(80 * time.Millisecond) })
	l.After(20, func() { order = append(order, "event") })
	l.After(90, l.Stop)
	if err := l.Run(); err != nil || len(order) < 2 || order[0] != "stall" || !slices.Contains(order, "event") {
		t.Fatalf("%v %v", order, err)
	}
}

// Guards against what a peer has sent and that is lost when a write fails: the peer has reset the connection after it.
func TestInputBeforeAFailedWriteIsRead(t *testing.T) {
	accepted := make(chan *Conn, 1)
	handler := &recordingHandler{closed: make(chan struct{})}
	l, addr := startLoop(t, func(c *Conn) Handler { accepted <- c; return handler })
	peer, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := <-accepted
	l.Post(func() {
		peer.Write([]byte("last words"))
		peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
		for deadline := time.Now().Add(5 * time.Second); c.writeErr == nil && time.Now().Before(deadline); {
			c.Write([]byte("x"))
		}
		if c.Open() {
			t.Error("the connection accepts further writes")
		}
	})
	<-handler.closed
	if handler.data != "last words" || handler.err == nil {
		t.Fatalf("%q, %v", handler.data, handler.err)
	}
}

// recordingHandler keeps what it receives.
type recordingHandler struct {
	data   string
	err    error
	closed chan struct{}
}

func (h *recordingHandler) Connected(*Conn)           {}
func (h *recordingHandler) Flushed(*Conn)             {}
func (h *recordingHandler) Data(_ *Conn, b []byte)    { h.data += string(b) }
func (h *recordingHandler) Closed(_ *Conn, err error) { h.err = err; close(h.closed) }

// Guards against what a peer has sent on a connection that came up and was reset before the loop noticed either.
func TestInputOfAConnectionResetAsItComesUp(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	handler := &recordingHandler{closed: make(chan struct{})}
	l, _ := startLoop(t, func(*Conn) Handler { return nil })
	l.Post(func() {
		if _, err := l.Dial(listener.Addr().String(), handler); err != nil {
			t.Error(err)
		}
		peer, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		peer.Write([]byte("last words"))
		peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
	})
	<-handler.closed
	if handler.data != "last words" || handler.err == nil {
		t.Fatalf("%q, %v", handler.data, handler.err)
	}
}
