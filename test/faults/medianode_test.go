package faults

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// nodeState is the condition of a stand-in media node.
type nodeState uint8

const (
	nodeUp       nodeState = iota
	nodeHung               // connections come up and are read, nothing is written
	nodeVanished           // open connections are silent, new ones never come up
	nodeDead               // connections are reset, new ones refused
	nodeStopped            // the process stands still: the kernel takes connections and bytes, nothing is read or written
	nodeCutOff             // as nodeVanished, but it comes back with its sessions and connections
)

// answerKind is what a media node does with one set-up.
type answerKind uint8

const (
	answerGood answerKind = iota
	answerFull
	answerNeverRan
	answerError
	answerBroken       // release with cause 41
	answerReset        // the connection is reset
	answerNoise        // bytes that are no message
	answerCutOff       // a part of an answer, then the end of the connection
	answerEndless      // a length that never comes
	answerLate         // after the director's time
	answerNever        // no answer
	answerTwice        // a second copy some ms later
	answerUnknownFirst // an answer under an unknown id ahead of it
	answerInPieces
	answerKinds
)

// keptFillers is the number of fillers whose ports are known: those of holds that follow each other at once.
const keptFillers = 20

// lateAcceptWindow is the time after a late accept within which what is read may have been written long before.
const lateAcceptWindow = 200 * time.Millisecond

// mediaNode is a stand-in media node. Each director reaches it at an address of its own, so that the node knows whose
// connection is whose.
type mediaNode struct {
	world  *world
	name   string
	cell   int
	faces  []*nodeFace // by director
	before *mediaNode  // that had its address

	away   spans // when its machine or process was away; under the lock of the records
	frozen spans // when it read nothing; under the lock of the records

	mu       sync.Mutex
	state    nodeState
	goOn     chan struct{} // while it stands still, else nil; closed when it goes on
	due      []func()      // what its timers had due while it stood still
	endsLast bool          // after a stop its timers come last
	claimed  bool          // in trouble, or about to be: other faults leave it alone
	spoilt   float64       // share of set-ups that get another answer than a good one
	fixed    answerKind
	useFixed bool // every set-up gets fixed
	rng      *rand.Rand
}

// nodeFace is a media node as one director reaches it.
type nodeFace struct {
	node        *mediaNode
	director    int
	listener    int           // descriptor, -1 if closed
	held        bool          // connects hang
	lateFrom    time.Duration // since when no connection was accepted
	lateTill    time.Duration // connections that come up until then have waited for their accept
	addr        string
	tcpAddr     *net.TCPAddr
	conns       map[*nodeConn]bool
	fillerPorts []int      // ports of the last of them, the oldest first
	fillers     []int      // descriptors of connections of its own that fill the queue of its listener
	unsent      []*session // ended sessions whose release found no connection, or goes out again on the next one
}

// nodeConn is one connection from a director.
type nodeConn struct {
	face       *nodeFace
	conn       net.Conn
	attempts   map[uint64]*attemptRecord
	waitedFrom time.Duration // since when its accept may have been due, if it is late
	late       bool          // it has waited for its accept, with what was written on it
	inPieces   bool          // a message is written in part: others wait for another connection
	openedAt   time.Duration
	usedAt     time.Duration // last read or write
	ended      string        // how and when it ended
}

// noteEnd records how the connection ended. The lock of the records is held.
func (nc *nodeConn) noteEnd(now time.Duration, how string) {
	if nc.ended == "" {
		nc.ended = fmt.Sprintf("open %.3f, %s %.3f", nc.openedAt.Seconds(), how, now.Seconds())
	}
}

// newMediaNode starts a media node at the addresses that an index gives.
func newMediaNode(w *world, index int, name string, cell int) *mediaNode {
	n := &mediaNode{world: w, name: name, cell: cell, rng: w.newRand()}
	for d := range w.directors {
		addr := w.network.addr(firstNode+index, nodePort+d)
		tcpAddr, err := net.ResolveTCPAddr("tcp4", addr)
		if err != nil {
			w.t.Fatal(err)
		}
		face := &nodeFace{node: n, director: d, addr: addr, tcpAddr: tcpAddr, conns: map[*nodeConn]bool{}, listener: -1}
		n.faces = append(n.faces, face)
		face.listen()
		if interval := w.settings.reportInterval; interval > 0 {
			w.after(interval, face.sendNotes)
		}
	}
	return n
}

// accept takes connections until the listener is closed. While connects are held, they stay in the queue.
func (f *nodeFace) accept(listener int) {
	for {
		poll := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		unix.Poll(poll, 20)
		f.node.mu.Lock()
		if f.listener != listener {
			f.node.mu.Unlock()
			return
		}
		if !f.held && f.node.goOn == nil {
			f.acceptAll()
		}
		if f.node.state == nodeUp {
			f.closeIdle()
		}
		f.node.mu.Unlock()
		if f.waits() {
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// acceptAll takes the connections in the queue. The node's lock is held.
func (f *nodeFace) acceptAll() {
	for {
		fd, from, err := unix.Accept4(f.listener, unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK)
		if err != nil {
			return
		}
		if f.isFiller(from) {
			unix.Close(fd)
			continue
		}
		file := os.NewFile(uintptr(fd), "media node connection")
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			f.node.world.t.Error(err)
			continue
		}
		nc := &nodeConn{face: f, conn: conn, attempts: map[uint64]*attemptRecord{}, openedAt: f.node.world.now()}
		nc.usedAt, nc.late = nc.openedAt, nc.openedAt < f.lateTill
		nc.waitedFrom = f.lateFrom
		f.conns[nc] = true
		f.sendUnsent(nc)
		go nc.read()
	}
}

// sendUnsent writes the releases that wait for a connection.
func (f *nodeFace) sendUnsent(nc *nodeConn) {
	f.unsent = slices.DeleteFunc(f.unsent, func(s *session) bool {
		if !nc.write(encodeRelease(s.id, byte(s.endCause))) {
			return false
		}
		f.node.world.record(func() { s.releaseWritten(f.node.world.now(), nc) })
		return true
	})
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// write writes unless the node says nothing at the moment; it reports whether that was possible. The node's lock is held.
func (nc *nodeConn) write(b []byte) bool {
	if nc.face.node.state != nodeUp || nc.inPieces {
		return false
	}
	nc.usedAt = nc.face.node.world.now()
	nc.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := nc.conn.Write(b)
	return err == nil
}

// received is what one read from a connection gave.
type received struct {
	at    time.Duration
	bytes []byte
	err   error
}

// receive reads a connection to its end, also while the process stands still: so the times are known at which bytes arrive.
func (nc *nodeConn) receive() <-chan received {
	out := make(chan received, 1024)
	go func() {
		defer close(out)
		for {
			buf := make([]byte, 8192)
			size, err := nc.conn.Read(buf)
			out <- received{nc.face.node.world.now(), buf[:size], err}
			if err != nil {
				return
			}
		}
	}()
	return out
}

func (nc *nodeConn) read() {
	n := nc.face.node
	var pending []byte
	var firstByteAt time.Duration
	for in := range nc.receive() {
		n.waitWhileStopped()
		now := in.at
		n.mu.Lock()
		if in.err != nil {
			now = n.world.now()
			n.world.record(func() { nc.noteEnd(now, in.err.Error()) })
			nc.closed(now)
			n.mu.Unlock()
			continue
		}
		if len(pending) == 0 {
			firstByteAt = now
		}
		nc.usedAt = now
		pending = append(pending, in.bytes...)
		for {
			f, used, err := decodeFrame(pending)
			if err != nil {
				n.world.violation("malformed message at media node %s: %x", n.name, pending[:min(len(pending), 40)])
				resetConn(nc.conn)
			}
			if used == 0 {
				break
			}
			nc.handle(&f, firstByteAt, now)
			pending, firstByteAt = pending[used:], now
		}
		n.mu.Unlock()
	}
}

// closed gives up the attempts of a connection that the director has closed. The node's lock is held.
func (nc *nodeConn) closed(now time.Duration) {
	nc.conn.Close()
	delete(nc.face.conns, nc)
	nc.face.node.world.record(func() {
		for _, a := range nc.attempts {
			a.end(now, endGivenUp)
		}
	})
	clear(nc.attempts)
}

// handle takes one message from a director. A node that has vanished gets none, but what is given up meanwhile is known
// on the way. The node's lock is held.
func (nc *nodeConn) handle(f *frame, firstByteAt, now time.Duration) {
	n := nc.face.node
	if n.state == nodeVanished && (f.typ != typeRelease || nc.attempts[f.session] == nil) {
		return
	}
	switch f.typ {
	case typeSetup:
		late := nc.late && now < nc.openedAt+lateAcceptWindow
		a := &attemptRecord{late: late, id: f.session, class: string(f.params[paramClass]), node: n.name, at: n,
			director: nc.face.director, firstByteAt: firstByteAt, arrivedAt: now}
		fmt.Sscanf(string(f.params[paramWait]), "%d", &a.waitMs)
		n.world.addAttempt(a)
		nc.attempts[f.session] = a
		nc.answerSetup(a)
	case typeRelease:
		if a := nc.attempts[f.session]; a != nil {
			delete(nc.attempts, f.session)
			n.world.record(func() { a.end(now, endGivenUp) })
		} else if s := n.world.standing(f.session, n); s != nil {
			n.world.record(func() { s.end(now, causeCancelled) })
			nc.write(encodeRelease(f.session, causeCancelled))
		}
	case typePing:
		nc.write(encodeFrame(typePong, f.session, param{paramCause, "\x01"}))
	}
}

// answerSetup schedules what becomes of a set-up. The node's lock is held.
func (nc *nodeConn) answerSetup(a *attemptRecord) {
	n := nc.face.node
	kind := answerGood
	if n.useFixed {
		kind = n.fixed
	} else if n.rng.Float64() < n.spoilt {
		kind = answerKind(1 + n.rng.IntN(int(answerKinds)-1))
	}
	delay := time.Duration(2+n.rng.IntN(25)) * time.Millisecond
	if kind == answerLate {
		delay = time.Duration(a.waitMs+20) * time.Millisecond
	}
	if kind == answerNever {
		return
	}
	n.world.after(delay, func() { nc.finish(a, kind) })
}

// finish carries out the answer to a set-up that is still open.
func (nc *nodeConn) finish(a *attemptRecord, kind answerKind) {
	n := nc.face.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.postpone(func() { nc.finish(a, kind) }) || nc.attempts[a.id] != a {
		return
	}
	if n.state == nodeHung { // it goes on when the node does
		n.world.after(50*time.Millisecond, func() { nc.finish(a, kind) })
		return
	}
	if n.state != nodeUp {
		return
	}
	delete(nc.attempts, a.id)
	now := n.world.now()
	ends := map[answerKind]attemptEnd{answerFull: endNeverRan, answerNeverRan: endNeverRan, answerError: endFailed,
		answerBroken: endFailed}
	causes := map[answerKind]byte{answerFull: causeFull, answerNeverRan: causeNeverRan, answerError: causeError,
		answerBroken: causeReset}
	if cause, ok := causes[kind]; ok {
		n.world.record(func() { a.end(now, ends[kind]) })
		nc.write(encodeRelease(a.id, cause))
		return
	}
	sdp := n.world.newSDP(n.name, a.id)
	answer := encodeFrame(typeAnswer, a.id, param{paramSDP, sdp})
	switch kind {
	case answerReset, answerNoise, answerCutOff, answerEndless:
		n.world.record(func() { a.end(now, endFailed) })
		nc.spoil(kind, answer)
		return
	}
	n.world.record(func() { a.end(now, endPlays) })
	nc.startSession(a, now)
	switch kind {
	case answerUnknownFirst:
		nc.write(encodeFrame(typeAnswer, a.id^0xffff, param{paramSDP, "x"}))
		nc.write(answer)
	case answerInPieces:
		nc.write(answer[:7])
		nc.inPieces = true
		n.world.after(40*time.Millisecond, func() { nc.writeRest(answer[7:]) })
	case answerTwice:
		nc.write(answer)
		n.world.after(8*time.Millisecond, func() { nc.writeLater(answer) })
	default:
		nc.write(answer)
	}
}

// writeRest ends a message that was written in part.
func (nc *nodeConn) writeRest(b []byte) {
	nc.face.node.mu.Lock()
	defer nc.face.node.mu.Unlock()
	if nc.face.node.postpone(func() { nc.writeRest(b) }) {
		return
	}
	nc.inPieces = false
	nc.write(b)
}

func (nc *nodeConn) writeLater(b []byte) {
	nc.face.node.mu.Lock()
	defer nc.face.node.mu.Unlock()
	if nc.face.node.postpone(func() { nc.writeLater(b) }) {
		return
	}
	nc.write(b)
}

// spoil sends something other than a whole answer. The node's lock is held.
func (nc *nodeConn) spoil(kind answerKind, answer []byte) {
	switch kind {
	case answerReset:
		delete(nc.face.conns, nc)
		resetConn(nc.conn)
	case answerNoise:
		nc.write([]byte{0, 9, 99, 1, 2, 3, 4, 5, 6, 7, 8})
		delete(nc.face.conns, nc)
	case answerCutOff:
		nc.write(answer[:len(answer)/2])
		delete(nc.face.conns, nc)
		nc.conn.Close()
	case answerEndless:
		nc.write([]byte{0xff, 0xff, typeAnswer})
		delete(nc.face.conns, nc)
	}
}

// startSession makes the session of an answered set-up stand, and schedules its notes and its end. The node's lock is
// held.
func (nc *nodeConn) startSession(a *attemptRecord, now time.Duration) {
	n := nc.face.node
	s := n.world.addSession(a.id, nc, now)
	n.world.after(time.Duration(500+n.rng.IntN(n.world.sessionMs))*time.Millisecond, func() { nc.face.endSession(s, nc) })
}

// sendNotes sends the load notes of the media node on one of the sessions that stand, time and again.
func (f *nodeFace) sendNotes() {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.postpone(f.sendNotes) {
		return
	}
	if s := n.world.anySession(n, f.director); s != nil {
		if nc := f.anyConn(s.conn); nc != nil {
			for _, kind := range []string{"port", "spine"} {
				nc.write(encodeFrame(typeNote, s.id, param{paramNoteKind, kind}, param{paramNoteValue, "0.3"}))
			}
		}
	}
	n.world.after(n.world.settings.reportInterval, f.sendNotes)
}

// anyConn is the preferred connection if it is open, else any open one.
func (f *nodeFace) anyConn(preferred *nodeConn) *nodeConn {
	if f.conns[preferred] && !preferred.inPieces {
		return preferred
	}
	for nc := range f.conns {
		if !nc.inPieces {
			return nc
		}
	}
	return nil
}

// endSession ends a session in the ordinary way, if it still stands.
func (f *nodeFace) endSession(s *session, preferred *nodeConn) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.postpone(func() { f.endSession(s, preferred) }) {
		return
	}
	if n.state == nodeHung {
		n.world.after(50*time.Millisecond, func() { f.endSession(s, preferred) })
		return
	}
	if n.state != nodeUp || !n.world.stillStands(s) {
		return
	}
	now := n.world.now()
	n.world.record(func() { s.end(now, causeNormal) })
	f.unsent = append(f.unsent, s) // goes out on the next new connection as well
	if nc := f.anyConn(preferred); nc != nil && nc.write(encodeRelease(s.id, causeNormal)) {
		n.world.record(func() { s.releaseWritten(n.world.now(), nc) })
	}
}

// setState changes the condition of the node. Sessions are cut when it vanishes or dies, and connections are reset when
// it dies or comes back from having vanished.
func (n *mediaNode) setState(state nodeState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state == state {
		return
	}
	before := n.state
	n.state = state
	n.world.note("media node %s: %s", n.name, [...]string{"up", "hangs", "vanishes", "dies", "stands still",
		"is cut off"}[state])
	if state == nodeStopped || state == nodeCutOff {
		n.goOn = make(chan struct{})
		for _, f := range n.faces {
			f.lateFrom = n.world.now()
		}
	}
	if state == nodeVanished || state == nodeDead {
		n.world.cutSessions(n)
	}
	n.recordReach(state)
	for _, f := range n.faces {
		if state == nodeDead || before == nodeVanished {
			f.resetConns()
		}
		switch {
		case state == nodeVanished, state == nodeCutOff:
			f.blackhole()
		case state == nodeDead:
			f.closeListener()
		case before == nodeDead:
			f.listen()
		case before == nodeVanished:
			f.listenAnew()
		case before == nodeCutOff:
			f.acceptConnects()
		}
	}
	if state == nodeUp && n.goOn != nil {
		n.resumeProcess()
	}
}

// resetAllConns resets all connections of the node, which goes on with its sessions.
func (n *mediaNode) resetAllConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.faces {
		f.resetConns()
	}
}

func (f *nodeFace) resetConns() {
	now := f.node.world.now()
	for nc := range f.conns {
		resetConn(nc.conn)
		f.node.world.record(func() {
			nc.noteEnd(now, "reset")
			for _, a := range nc.attempts {
				a.end(now, endFailed)
			}
		})
		clear(nc.attempts)
	}
	clear(f.conns)
}

// listen opens the listener at its address.
func (f *nodeFace) listen() {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		err = unix.Bind(fd, f.sockaddr())
		for range 40 { // the one before may still be polled, by accept
			if err != unix.EADDRINUSE {
				break
			}
			time.Sleep(5 * time.Millisecond)
			err = unix.Bind(fd, f.sockaddr())
		}
		err = errors.Join(err, unix.Listen(fd, backlog))
	}
	if err != nil {
		f.node.world.t.Errorf("media node cannot listen: %v", err)
		return
	}
	f.listener, f.held = fd, false
	go f.accept(fd)
}

// closeListener lets new connects be refused.
func (f *nodeFace) closeListener() {
	unix.Close(f.listener)
	f.listener = -1
}

func (f *nodeFace) sockaddr() *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: f.tcpAddr.Port, Addr: [4]byte(f.tcpAddr.IP.To4())}
}

// backlog is the length of a listener's queue.
const backlog = 128

// isAway tells whether the process has ended, with its machine or alone; another one starts when the node is up again.
func (n *mediaNode) isAway() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state == nodeVanished || n.state == nodeDead
}

// claim reserves the node for one fault; it returns false if another one has it.
func (n *mediaNode) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed || n.state != nodeUp {
		return false
	}
	n.claimed = true
	return true
}

func (n *mediaNode) unclaim() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

func (n *mediaNode) setSpoilt(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.spoilt = share
}

// cutSome resets or closes some connections of the node; what is open on them may have run.
func (n *mediaNode) cutSome(rng *rand.Rand, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != nodeUp {
		return
	}
	now := n.world.now()
	for _, f := range n.faces {
		for nc := range f.conns {
			if rng.Float64() > 0.3 {
				continue
			}
			n.world.record(func() {
				nc.noteEnd(now, "cut")
				for _, a := range nc.attempts {
					a.end(now, endFailed)
				}
			})
			clear(nc.attempts)
			if reset {
				resetConn(nc.conn)
			} else {
				nc.conn.Close()
			}
			delete(f.conns, nc)
		}
	}
}
