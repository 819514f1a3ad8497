package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"headmill/internal/platform/frame"
)

// Causes of releases, as the protocol's page numbers them.
const (
	causeNormal    = 16
	causeCancelled = 31
	causeFull      = 34
	causeReset     = 41
	causeCongested = 42
	causeError     = 47
	causeMoot      = 102
)

// afterStanding is why a session is over whose end was due while its media node stood still.
const afterStanding = "its own end, while the media node stood still"

// node stands in for one media node: it holds titles, sets sessions up, plays them to their end and tells its loads.
type node struct {
	w        *world
	name     string
	cell     int
	addr     string
	ln       *net.TCPListener
	proc     *exec.Cmd // where it is a process of its own
	running  bool
	conns    map[*nodeConn]bool
	sessions map[uint64]*standing
	unsent   map[uint64]byte // ends that go out on the next connection too
	// onSetup may take a set-up over; it runs with the world's lock held.
	onSetup func(nc *nodeConn, r *request, a *attempt) bool
	// onClosed is called, with the world's lock held, when the director has closed the last connection.
	onClosed func(n *node)
	// holdAccept, while not nil, keeps new connections from being accepted until it is closed.
	holdAccept chan struct{}
	fillers    []net.Conn
	ownConns   map[string]bool // connections of lateConnections, by their address
	paused     chan struct{}   // while not nil, the process stands still
	due        []func()        // what its timers had due meanwhile
	resumedAt  float64
	leftAt     float64 // when the name service's list changed to draining or gone; 0: listed
	leftNo     int     // the number of that change
	toldAt     float64 // when the director was first told of it
}

// stand makes the process stand still until the returned function is called: it accepts, reads and writes nothing, while
// the kernel goes on taking connections and bytes for it. Then it goes on as a server with one event loop does: first what
// its timers have due, then the connections that wait, then what has come on the others.
func (n *node) stand() (goOn func()) {
	n.w.mu.Lock()
	if n.paused != nil {
		n.w.mu.Unlock()
		return func() {}
	}
	gate := make(chan struct{})
	n.paused, n.holdAccept = gate, gate
	n.w.logf("%s stands still", n.name)
	n.w.mu.Unlock()
	n.ln.SetDeadline(time.Now())
	return func() {
		n.ln.SetDeadline(time.Time{})
		n.w.mu.Lock()
		n.paused, n.holdAccept, n.resumedAt = nil, nil, n.w.ms()
		n.w.logf("%s goes on", n.name)
		if os.Getenv("ORDER") == "io" {
			n.w.mu.Unlock()
			close(gate)
			time.Sleep(30 * time.Millisecond)
			n.w.mu.Lock()
			for _, f := range n.due {
				f()
			}
			n.due = nil
			n.w.mu.Unlock()
			return
		}
		for _, f := range n.due {
			f()
		}
		n.due = nil
		n.w.mu.Unlock()
		close(gate)
	}
}

// waitToGoOn waits while the process stands still.
func (n *node) waitToGoOn() {
	for {
		n.w.mu.Lock()
		gate := n.paused
		n.w.mu.Unlock()
		if gate == nil {
			return
		}
		<-gate
		time.Sleep(5 * time.Millisecond) // connections that wait come first
	}
}

// nodeConn is one connection from the director.
type nodeConn struct {
	n     *node
	conn  *net.TCPConn
	wmu   sync.Mutex
	open  map[uint64]*attempt // set-ups without an end
	ended bool
}

// standing is a session that plays at a media node.
type standing struct {
	r     *request
	conn  *nodeConn
	rung  int
	since float64
	timer *time.Timer
}

// addNode starts a media node, at addr where one is given.
func (w *world) addNode(name string, cell int, addr string) (*node, error) {
	n := &node{w: w, name: name, cell: cell, conns: map[*nodeConn]bool{}, sessions: map[uint64]*standing{},
		unsent: map[uint64]byte{}, ownConns: map[string]bool{}}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	if err := n.listen(addr); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	go n.notes()
	return n, nil
}

func (n *node) listen(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	n.ln, n.addr, n.running = ln.(*net.TCPListener), ln.Addr().String(), true
	go n.accept(n.ln)
	return nil
}

func (n *node) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			n.w.mu.Lock()
			hold := n.holdAccept
			n.w.mu.Unlock()
			if hold != nil {
				<-hold
			}
			continue
		}
		if err != nil {
			return
		}
		nc := &nodeConn{n: n, conn: c.(*net.TCPConn), open: map[uint64]*attempt{}}
		n.w.mu.Lock()
		if !n.running || n.ownConns[c.RemoteAddr().String()] {
			n.w.mu.Unlock()
			c.Close()
			continue
		}
		n.conns[nc] = true
		for id, cause := range n.unsent { // an end goes out on the next connection too
			nc.write(releaseFrame(id, cause, ""))
		}
		clear(n.unsent)
		n.w.mu.Unlock()
		go nc.read()
	}
}

// lateConnections makes new connections come up late, until the returned function is called: the queue of connections
// that wait to be accepted is full, as at a process that does not come to accept them.
func (n *node) lateConnections() (restore func()) {
	hold := make(chan struct{})
	n.w.mu.Lock()
	n.holdAccept = hold
	n.w.mu.Unlock()
	n.ln.SetDeadline(time.Now())
	raw, err := n.ln.SyscallConn()
	if err != nil {
		panic(err)
	}
	setBacklog := func(size int) { raw.Control(func(fd uintptr) { syscall.Listen(int(fd), size) }) }
	setBacklog(0)
	for range 4 {
		c, err := net.DialTimeout("tcp4", n.addr, 30*time.Millisecond)
		if err != nil {
			break
		}
		n.fillers = append(n.fillers, c)
		n.w.mu.Lock()
		n.ownConns[c.LocalAddr().String()] = true
		n.w.mu.Unlock()
	}
	return func() {
		for _, c := range n.fillers {
			c.Close()
		}
		n.fillers = nil
		setBacklog(128)
		n.ln.SetDeadline(time.Time{})
		n.w.mu.Lock()
		n.holdAccept = nil
		n.w.mu.Unlock()
		close(hold)
	}
}

func (nc *nodeConn) write(b []byte) {
	nc.wmu.Lock()
	defer nc.wmu.Unlock()
	nc.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	nc.conn.Write(b)
}

// reset ends the connection with a reset.
func (nc *nodeConn) reset() {
	nc.conn.SetLinger(0)
	nc.conn.Close()
}

func (nc *nodeConn) read() {
	w, n := nc.n.w, nc.n
	var reader frame.Reader
	buf := make([]byte, 32<<10)
	for {
		nc.conn.SetReadDeadline(time.Now().Add(15 * time.Second)) // idle connections close after the time in the settings
		size, err := nc.conn.Read(buf)
		if err != nil {
			break
		}
		n.waitToGoOn()
		if err := reader.Feed(buf[:size], func(m *frame.Message) bool {
			w.mu.Lock()
			nc.handle(m)
			w.mu.Unlock()
			return true
		}); err != nil {
			w.logf("%s: what the director sent can't be read: %v", n.name, err)
			break
		}
	}
	nc.conn.Close()
	w.mu.Lock()
	delete(n.conns, nc)
	nc.ended = true
	for _, a := range nc.open { // the set-ups open on a closed connection are given up
		a.end(w, "connection closed")
	}
	clear(nc.open)
	if n.onClosed != nil && len(n.conns) == 0 {
		n.onClosed(n)
	}
	w.mu.Unlock()
}

// holds tells whether the media node holds a title.
func (n *node) holds(first int) bool {
	cells := n.w.p.Nodes
	return ((n.cell-first)%cells+cells)%cells < n.w.p.Copies
}

func (nc *nodeConn) handle(m *frame.Message) {
	w, n := nc.n.w, nc.n
	switch m.Type {
	case frame.Setup:
		nc.handleSetup(m)
	case frame.Release:
		if a := nc.open[m.Session]; a != nil {
			delete(nc.open, m.Session)
			a.end(w, "given up by the director")
			return
		}
		for other := range n.conns { // a set-up may be given up on another connection
			if a := other.open[m.Session]; a != nil {
				delete(other.open, m.Session)
				a.end(w, "given up by the director")
			}
		}
		if s := n.sessions[m.Session]; s != nil {
			w.logf("%s: session %016x released by the director", n.name, m.Session)
			n.endSession(s, causeCancelled, "released by the director")
		}
	case frame.Rate:
		if s := n.sessions[m.Session]; s != nil {
			if rung, err := strconv.Atoi(string(m.Get(frame.Rung))); err == nil {
				s.rung = rung
			}
		}
	case frame.Ping:
		out, start := frame.Begin(nil, frame.Pong, m.Session)
		nc.write(frame.End(frame.AppendParameter(out, frame.Cause, []byte{1}), start))
	}
}

func (nc *nodeConn) handleSetup(m *frame.Message) {
	w, n := nc.n.w, nc.n
	r := w.reqs[m.Session]
	if r == nil {
		w.logf("%s: SET-UP %016x was sent by no viewer", n.name, m.Session)
		w.other("set-up %016x at %s was sent by no viewer", m.Session, n.name)
		return
	}
	a := &attempt{node: n, arrived: w.ms(), r: r}
	r.attempts = append(r.attempts, a)
	nc.open[r.id] = a
	w.logf("%s: set-up %016x arrives, class %s, rung %s, wait %s", n.name, r.id, m.Get(frame.Class), m.Get(frame.Rung), m.Get(frame.Wait))
	rung, _ := strconv.Atoi(string(m.Get(frame.Rung)))
	a.rung = rung
	w.checkArrival(r, a)
	if n.onSetup != nil && n.onSetup(nc, r, a) {
		return
	}
	switch {
	case !n.holds(r.first):
		nc.endAttempt(a, causeError)
	case len(n.sessions) >= w.p.Places:
		nc.endAttempt(a, causeFull)
	default:
		work := w.p.WorkMs[0] + rand.Float64()*(w.p.WorkMs[1]-w.p.WorkMs[0])
		time.AfterFunc(time.Duration(work*float64(time.Millisecond)), func() {
			n.waitToGoOn()
			w.mu.Lock()
			defer w.mu.Unlock()
			if nc.open[r.id] == a {
				nc.answer(a)
			}
		})
	}
}

// endAttempt refuses a set-up or fails it.
func (nc *nodeConn) endAttempt(a *attempt, cause byte) {
	delete(nc.open, a.r.id)
	a.neverRan = cause == causeFull || cause == causeMoot
	a.end(nc.n.w, fmt.Sprintf("cause %d", cause))
	nc.write(releaseFrame(a.r.id, cause, nc.n.report()))
}

func (n *node) sdp(r *request) string { return "s=" + n.name + "\r\ni=" + r.sdp + "\r\n" }

// answer lets the session stand.
func (nc *nodeConn) answer(a *attempt) {
	n, w, r := nc.n, nc.n.w, a.r
	delete(nc.open, r.id)
	a.answered = true
	a.end(w, "answered")
	s := &standing{r: r, conn: nc, rung: a.rung, since: w.ms()}
	n.sessions[r.id] = s
	life := w.p.LifeMs[0] + rand.Float64()*(w.p.LifeMs[1]-w.p.LifeMs[0])
	end := func() {
		if n.sessions[r.id] == s {
			n.endSession(s, causeNormal, "its own end")
		}
	}
	s.timer = time.AfterFunc(time.Duration(life*float64(time.Millisecond)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if n.paused != nil {
			n.due = append(n.due, func() {
				if n.sessions[r.id] == s {
					n.endSession(s, causeNormal, afterStanding)
				}
			})
			return
		}
		end()
	})
	out, start := frame.Begin(nil, frame.Answer, r.id)
	out = frame.End(frame.AppendParameter(out, frame.SDP, n.sdp(r)), start)
	nc.write(append(out, n.note(r.id, "port")...))
}

// endSession ends a session and says so on the connection of its set-up, otherwise on any, and on the next one opened.
func (n *node) endSession(s *standing, cause byte, why string) {
	w := n.w
	s.timer.Stop()
	delete(n.sessions, s.r.id)
	s.r.over, s.r.overAt, s.r.overWhy = true, w.ms(), why
	w.logf("%s: session %016x is over: %s", n.name, s.r.id, why)
	msg := releaseFrame(s.r.id, cause, n.report())
	nc := s.conn
	if nc.ended {
		nc = nil
		for c := range n.conns {
			nc = c
		}
	}
	n.unsent[s.r.id] = cause
	if nc != nil {
		nc.write(msg)
	}
}

func releaseFrame(id uint64, cause byte, report string) []byte {
	out, start := frame.Begin(nil, frame.Release, id)
	out = frame.AppendParameter(out, frame.Cause, []byte{cause})
	if report != "" {
		out = frame.AppendParameter(out, frame.Report, report)
	}
	return frame.End(out, start)
}

// load is what is asked of the link over what it gives.
func (n *node) load() float64 {
	kb := 0.0
	for _, s := range n.sessions {
		if s.rung >= 0 && s.rung < len(levels) {
			kb += levels[s.rung] * classScale[s.r.class]
		}
	}
	return kb / 7422
}

// uplinkLoad is the same for the uplink of the media node's rack.
func (n *node) uplinkLoad() float64 {
	kb := 0.0
	for _, other := range n.w.nodes {
		if other.cell%3 == n.cell%3 {
			kb += other.load() * 7422
		}
	}
	return kb / 19597
}

func (n *node) report() string {
	return fmt.Sprintf("outstanding:%d;x0:%.3f;x1:%.3f", len(n.sessions), n.load(), n.uplinkLoad())
}

func (n *node) note(id uint64, kind string) []byte {
	value := n.load()
	if kind == "spine" {
		value = n.uplinkLoad()
	}
	out, start := frame.Begin(nil, frame.Feedback, id)
	out = frame.AppendParameter(out, frame.FeedbackKind, kind)
	return frame.End(frame.AppendParameter(out, frame.FeedbackValue, strconv.FormatFloat(value, 'f', 3, 64)), start)
}

// notes sends the loads every tellMs on one session.
func (n *node) notes() {
	w := n.w
	for {
		time.Sleep(time.Duration(w.p.TellMs * float64(time.Millisecond)))
		n.waitToGoOn()
		w.mu.Lock()
		for id, s := range n.sessions {
			nc := s.conn
			if nc.ended {
				nc = nil
				for c := range n.conns {
					nc = c
				}
			}
			if nc != nil {
				nc.write(append(n.note(id, "port"), n.note(id, "spine")...))
			}
			break
		}
		w.mu.Unlock()
	}
}

// stop ends the process of the media node: its connections are reset and its sessions cut.
func (n *node) stop() {
	n.running = false
	n.ln.Close()
	for nc := range n.conns {
		nc.reset()
	}
	for _, s := range n.sessions {
		s.timer.Stop()
		s.r.over, s.r.overAt, s.r.overWhy = true, n.w.ms(), "its media node has ended"
	}
	clear(n.sessions)
	n.w.logf("%s: the process ends", n.name)
}
