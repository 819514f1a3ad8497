package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// nodeSession is a session that stands at a media node.
type nodeSession struct {
	id    uint64
	title string
	class string
	rung  int
	conn  *nodeConn // of its set-up
	end   *time.Timer
}

// attempt is a set-up that is out at a media node.
type attempt struct {
	conn         *nodeConn
	class, title string
	timer        *time.Timer
}

// node is a stand-in media node. Its machine may vanish and come back with a new process, or be cut off for a time.
type node struct {
	w        *world
	name     string
	cell     int
	addr     *net.TCPAddr
	listener int

	mu       sync.Mutex
	boot     int  // counts the starts of its process
	vanished bool // open connections are silent, new ones never come up
	cut      bool // the same, but its process goes on; what is sent arrives afterwards
	healed   *sync.Cond
	fillers  []int
	ports    map[int]bool // of the fillers
	conns    map[*nodeConn]bool
	sessions map[uint64]*nodeSession
	attempts map[uint64]*attempt
	unsent   []uint64 // ended sessions, whose release goes out on the next connection as well
	causes   map[uint64]byte
}

// nodeConn is one connection from the director.
type nodeConn struct {
	n       *node
	c       net.Conn
	boot    int    // of the process that accepted it
	touched bool   // something arrived while its machine was away
	queued  []byte // written while the machine was cut off
	usedAt  time.Time
}

func newNode(w *world, index int) (*node, error) {
	n := &node{w: w, name: fmt.Sprintf("s-%08x", 0xa1+index), cell: index, boot: 1, ports: map[int]bool{},
		conns: map[*nodeConn]bool{}, sessions: map[uint64]*nodeSession{}, attempts: map[uint64]*attempt{},
		causes: map[uint64]byte{}}
	n.healed = sync.NewCond(&n.mu)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &unix.SockaddrInet4{Addr: [4]byte(w.ip(100 + index).To4())}
	if err := unix.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 128); err != nil {
		return nil, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	n.listener = fd
	n.addr = &net.TCPAddr{IP: net.IP(sa.Addr[:]), Port: bound.(*unix.SockaddrInet4).Port}
	go n.accept()
	go n.tick()
	return n, nil
}

// away reports whether the machine can't be reached. The lock is held.
func (n *node) away() bool { return n.vanished || n.cut }

func (n *node) accept() {
	for {
		unix.Poll([]unix.PollFd{{Fd: int32(n.listener), Events: unix.POLLIN}}, 20)
		n.mu.Lock()
		if n.away() {
			n.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			continue
		}
		n.acceptAll()
		n.mu.Unlock()
	}
}

// acceptAll takes the connections in the queue. The lock is held.
func (n *node) acceptAll() {
	for {
		fd, from, err := unix.Accept4(n.listener, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if err != nil {
			return
		}
		if port := from.(*unix.SockaddrInet4).Port; n.ports[port] {
			delete(n.ports, port)
			unix.Close(fd)
			continue
		}
		file := os.NewFile(uintptr(fd), "connection")
		c, err := net.FileConn(file)
		file.Close()
		if err != nil {
			continue
		}
		nc := &nodeConn{n: n, c: c, boot: n.boot, usedAt: time.Now()}
		n.conns[nc] = true
		for _, id := range n.unsent {
			n.w.logf("%s: the release of %016x goes out on the connection that was opened next", n.name, id)
			nc.write(encodeRelease(id, n.causes[id]))
		}
		n.unsent = nil
		go nc.read()
	}
}

// block lets new connections hang: the queue of the listener is full. The lock is held.
func (n *node) block() {
	unix.Listen(n.listener, 0)
	for range 3 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return
		}
		n.fillers = append(n.fillers, fd)
		unix.Connect(fd, &unix.SockaddrInet4{Port: n.addr.Port, Addr: [4]byte(n.addr.IP.To4())})
		if local, err := unix.Getsockname(fd); err == nil {
			n.ports[local.(*unix.SockaddrInet4).Port] = true
		}
	}
}

// unblock lets connections come up again. The lock is held.
func (n *node) unblock() {
	for _, fd := range n.fillers {
		unix.Close(fd)
	}
	n.fillers = nil
	unix.Listen(n.listener, 128)
}

// vanish takes the machine away: its process and with it all its sessions end, and nothing says so.
func (n *node) vanish() (lost []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acceptAll() // what is in the queue belongs to this process
	n.w.logf("%s: the machine vanishes; its process and its %d sessions end", n.name, len(n.sessions))
	n.vanished = true
	n.block()
	for id, s := range n.sessions {
		s.end.Stop()
		lost = append(lost, id)
	}
	for _, a := range n.attempts {
		a.timer.Stop()
	}
	n.sessions, n.attempts, n.unsent = map[uint64]*nodeSession{}, map[uint64]*attempt{}, nil
	return lost
}

// comeBack starts a new process on the machine. It knows nothing of the one before: a connection of that one on which
// something arrives is reset.
func (n *node) comeBack() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.logf("%s: the machine is back with a new process", n.name)
	n.boot++
	n.vanished = false
	n.unblock()
	for nc := range n.conns {
		if nc.boot != n.boot && nc.touched {
			nc.reset()
		}
	}
}

// cutOff cuts the machine off; its process goes on.
func (n *node) cutOff() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acceptAll()
	n.w.logf("%s: is cut off from the director; its %d sessions stand", n.name, len(n.sessions))
	n.cut = true
	n.block()
}

// heal ends the cut. What was sent meanwhile arrives.
func (n *node) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.w.logf("%s: the cut is over; %d sessions stand", n.name, len(n.sessions))
	n.cut = false
	n.unblock()
	n.flush()
	n.healed.Broadcast()
}

// flush writes what could not be written. The lock is held.
func (n *node) flush() {
	for nc := range n.conns {
		queued := nc.queued
		nc.queued = nil
		if len(queued) > 0 {
			nc.write(queued)
		}
	}
}

// reset ends a connection with a reset. The lock is held.
func (nc *nodeConn) reset() {
	nc.c.(*net.TCPConn).SetLinger(0)
	nc.c.Close()
	delete(nc.n.conns, nc)
}

// write writes to the director. The lock is held.
func (nc *nodeConn) write(b []byte) {
	switch {
	case nc.n.vanished || nc.boot != nc.n.boot:
	case nc.n.cut:
		nc.queued = append(nc.queued, b...)
	default:
		nc.usedAt = time.Now()
		nc.c.SetWriteDeadline(time.Now().Add(time.Second))
		nc.c.Write(b)
	}
}

func (nc *nodeConn) read() {
	n := nc.n
	var pending []byte
	buf := make([]byte, 16<<10)
	for {
		size, err := nc.c.Read(buf)
		n.mu.Lock()
		for n.cut {
			n.healed.Wait()
		}
		if n.vanished || nc.boot != n.boot {
			nc.touched = true
			if !n.vanished && n.conns[nc] {
				nc.reset()
			}
			n.mu.Unlock()
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			nc.closed()
			n.mu.Unlock()
			return
		}
		nc.usedAt = time.Now()
		pending = append(pending, buf[:size]...)
		for {
			f, used, err := decodeFrame(pending)
			if err != nil {
				n.w.logf("%s: malformed message from the director", n.name)
				nc.reset()
			}
			if used == 0 || err != nil {
				break
			}
			nc.handle(&f)
			pending = pending[used:]
		}
		n.mu.Unlock()
	}
}

// closed gives up the set-ups that are open on a connection that has ended. The lock is held.
func (nc *nodeConn) closed() {
	nc.c.Close()
	delete(nc.n.conns, nc)
	for id, a := range nc.n.attempts {
		if a.conn == nc {
			a.timer.Stop()
			delete(nc.n.attempts, id)
			nc.n.w.attemptEnded(id)
		}
	}
}

// handle takes one message. The lock is held.
func (nc *nodeConn) handle(f *frame) {
	n := nc.n
	switch f.typ {
	case typeSetup:
		n.w.logf("%s: set-up %016x of title %s, class %s arrives", n.name, f.session, f.params[paramTitle], f.params[paramClass])
		n.w.attemptArrived(f.session, n.name)
		a := &attempt{conn: nc, class: f.params[paramClass], title: f.params[paramTitle]}
		rung := 0
		fmt.Sscan(f.params[paramRung], &rung)
		a.timer = time.AfterFunc(30*time.Millisecond, func() { nc.answer(f.session, a, rung) })
		n.attempts[f.session] = a
	case typeRelease:
		if a := n.attempts[f.session]; a != nil {
			a.timer.Stop()
			delete(n.attempts, f.session)
			n.w.logf("%s: set-up %016x is given up", n.name, f.session)
			n.w.attemptEnded(f.session)
		} else if s := n.sessions[f.session]; s != nil {
			n.w.logf("%s: the director ends session %016x", n.name, f.session)
			n.endSession(s, causeCancelled)
		}
	case typeRate:
		if s := n.sessions[f.session]; s != nil {
			fmt.Sscan(f.params[paramRung], &s.rung)
		}
	case typePing:
		nc.write(encodeFrame(typePong, f.session, param{paramCause, "\x01"}))
	}
}

// answer answers a set-up: the session stands.
func (nc *nodeConn) answer(id uint64, a *attempt, rung int) {
	n := nc.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attempts[id] != a {
		return
	}
	delete(n.attempts, id)
	s := &nodeSession{id: id, title: a.title, class: a.class, rung: rung, conn: nc}
	n.sessions[id] = s
	s.end = time.AfterFunc(n.w.sessionLength, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.sessions[id] == s {
			n.endSession(s, causeNormal)
		}
	})
	n.w.logf("%s: session %016x stands", n.name, id)
	n.w.sessionStands(id, n.name)
	if n.w.losesAnswer(id) {
		n.w.logf("%s: the connection of %016x is reset under its answer", n.name, id)
		nc.reset()
		return
	}
	nc.write(encodeFrame(typeAnswer, id, param{paramSDP, n.w.description(n.name, id)}))
}

// endSession ends a session and sends its release: on the connection of its set-up, otherwise on any open one, and on the
// next one opened. The lock is held.
func (n *node) endSession(s *nodeSession, cause byte) {
	s.end.Stop()
	delete(n.sessions, s.id)
	n.causes[s.id] = cause
	n.unsent = append(n.unsent, s.id)
	n.w.logf("%s: session %016x is over, cause %d", n.name, s.id, cause)
	nc := n.connFor(s)
	n.w.sessionEnded(s.id, n.name, nc != nil && !n.cut)
	if nc != nil {
		nc.write(encodeRelease(s.id, cause))
	}
}

// connFor is the connection for what concerns a session, or nil. The lock is held.
func (n *node) connFor(s *nodeSession) *nodeConn {
	if n.conns[s.conn] {
		return s.conn
	}
	for nc := range n.conns {
		if nc.boot == n.boot {
			return nc
		}
	}
	return nil
}

// tick sends load notes, and closes connections that were idle for as long as the settings say.
func (n *node) tick() {
	for i := 1; ; i++ {
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		for nc := range n.conns {
			if !n.away() && nc.boot == n.boot && time.Since(nc.usedAt) > keepAlive {
				nc.closed()
			}
		}
		if i%5 == 0 {
			n.sendNotes()
		}
		n.mu.Unlock()
	}
}

// sendNotes tells the loads of link and uplink on one session. The lock is held.
func (n *node) sendNotes() {
	total := 0.0
	for _, s := range n.sessions {
		total += levelKB[min(max(s.rung, 0), len(levelKB)-1)] * rateScale[s.class]
	}
	uplink := n.w.uplinkKB(n, total) / (linkKB * float64(len(n.w.nodes)))
	for _, s := range n.sessions {
		if nc := n.connFor(s); nc != nil {
			for kind, load := range map[string]float64{"port": total / linkKB, "spine": uplink} {
				nc.write(encodeFrame(typeNote, s.id, param{paramNoteKind, kind}, param{paramNoteValue, fmt.Sprintf("%.3f", load)}))
			}
		}
		return
	}
}
