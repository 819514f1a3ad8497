// Package loop is the one event loop of a director: epoll, timers, wake-ups
// and stream sockets on the loopback interface. It is the only package with
// system calls. It owns file descriptors and the bytes that wait to be
// written; it must not know what the bytes mean and decides nothing.
//
// Everything but Post and Stop runs on the goroutine that called Run, so that
// nothing else in a director needs a lock. The design follows nginx's event
// core: level-triggered readiness, one shared read buffer, timers in a heap.
package loop

import (
	"container/heap"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize    = 64 << 10
	waitBatch   = 256
	acceptMax   = 64      // connections taken at one readiness, so that a rush of them does not starve the rest
	lingerMs    = 2000    // for which a closed connection's peer is read from at most,
	lingerBytes = 1 << 20 // how much is dropped at most,
	lingerMost  = 1024    // and how many there are at most; further ones are closed at once
	readsMax    = 4       // reads of one connection at one readiness, for the same reason
)

// ErrSlowReader is the cause of a cut where a peer let more wait than its bound.
var ErrSlowReader = errors.New("loop: peer does not read; output over its bound")

// ErrIdle is the cause of a cut by the owner for idleness or lateness.
var ErrClosedByOwner = errors.New("loop: cut by its owner")

// ErrStopped is the cause given to connections that are open when the loop ends.
var ErrStopped = errors.New("loop: stopped")

// Loop is one epoll instance with its timers.
type Loop struct {
	ep, wake   int
	start      time.Time
	now        float64
	timers     timerHeap
	seq        uint64
	slots      map[int]*Conn
	lists      map[int]*Listener
	packets    map[int]*PacketConn
	buf        []byte
	events     []unix.EpollEvent
	lingers    map[int]*linger
	lingerMost int
	dead       []*Conn // closed in this round: told after the round's events
	worst      float64
	round      func()
	home       netip.Prefix // addresses beside the loopback interface's that are served

	mu     sync.Mutex
	posted []func()
	quit   bool
}

// New makes a loop; Close frees it if Run is never called.
func New() (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	l := &Loop{ep: ep, wake: wake, start: time.Now(), slots: map[int]*Conn{}, lists: map[int]*Listener{}, lingers: map[int]*linger{},
		packets: map[int]*PacketConn{}, lingerMost: lingerMost,
		buf: make([]byte, readSize), events: make([]unix.EpollEvent, waitBatch)}
	if err := l.ctl(unix.EPOLL_CTL_ADD, wake, unix.EPOLLIN); err != nil {
		return nil, err
	}
	l.tick()
	return l, nil
}

func (l *Loop) ctl(op, fd int, events uint32) error {
	if err := unix.EpollCtl(l.ep, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("loop: epoll_ctl of %d: %w", fd, err)
	}
	return nil
}

func (l *Loop) tick() { l.now = float64(time.Since(l.start).Microseconds()) / 1000 }

// Now is the time of the present round in ms since New; it never runs backwards.
func (l *Loop) Now() float64 { return l.now }

// WorstLag is the longest round, in ms, since it was last asked.
func (l *Loop) MaxLag() float64 {
	w := l.worst
	l.worst = 0
	return w
}

// Post hands f to the loop's goroutine; it is the only door from other goroutines.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	first := len(l.posted) == 0
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if first { // else the wake-up is already due
		l.poke()
	}
}

// Stop ends Run after the present round.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.quit = true
	l.mu.Unlock()
	l.poke()
}

func (l *Loop) poke() {
	one := [8]byte{1}
	unix.Write(l.wake, one[:]) // EAGAIN means that a wake-up is already due
}

// SetLingerMost bounds the closed connections whose peers are still read from; further ones are closed at once. For a
// program with few descriptors.
func (l *Loop) SetMaxLingering(n int) { l.lingerMost = n }

// OnRound sets the call at the end of each round, after its events and timers.
func (l *Loop) OnRound(f func()) { l.round = f }

// Timer is one pending call.
type Timer struct {
	at    float64
	seq   uint64
	index int
	f     func()
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)   { t := x.(*Timer); t.index = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// At calls f in the first round at or after the time at (ms, as Now).
func (l *Loop) At(at float64, f func()) *Timer {
	l.seq++
	t := &Timer{at: at, seq: l.seq, f: f}
	heap.Push(&l.timers, t)
	return t
}

// After calls f in ms from now.
func (l *Loop) After(ms float64, f func()) *Timer { return l.At(l.now+ms, f) }

// Cancel takes a timer back; nil and fired timers are passed over.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
		t.index = -1
	}
}

// Run serves events until Stop. It closes all that is open before it returns.
func (l *Loop) Run() error {
	defer l.close()
	for {
		wait := -1
		if len(l.timers) > 0 {
			l.tick()
			if d := l.timers[0].at - l.now; d <= 0 {
				wait = 0
			} else {
				wait = int(min(d+0.999, 1e9))
			}
		}
		if len(l.dead) > 0 {
			wait = 0
		}
		n, err := unix.EpollWait(l.ep, l.events, wait)
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("loop: epoll_wait: %w", err)
		}
		l.tick()
		began := l.now
		for i := range max(n, 0) {
			l.ready(int(l.events[i].Fd), l.events[i].Events)
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			heap.Pop(&l.timers).(*Timer).f()
		}
		l.bury()
		if l.round != nil {
			l.round()
		}
		l.mu.Lock()
		quit := l.quit
		l.mu.Unlock()
		if quit {
			return nil
		}
		l.tick()
		l.worst = max(l.worst, l.now-began)
	}
}

func (l *Loop) ready(fd int, events uint32) {
	switch {
	case fd == l.wake:
		var b [8]byte
		unix.Read(fd, b[:])
		l.mu.Lock()
		calls := l.posted
		l.posted = nil
		l.mu.Unlock()
		for _, f := range calls {
			f()
		}
	case l.lists[fd] != nil:
		l.lists[fd].accept()
	case l.slots[fd] != nil:
		l.slots[fd].ready(events)
	case l.packets[fd] != nil:
		l.packets[fd].ready()
	case l.lingers[fd] != nil:
		l.drop(fd)
	}
}

// bury tells owners of connections that closed in this round. It runs after the round's events, so that no
// owner is entered again in the middle of its own call.
func (l *Loop) bury() {
	for len(l.dead) > 0 {
		dead := l.dead
		l.dead = nil
		for _, c := range dead {
			c.h.Closed(c, c.cause)
		}
	}
}

func (l *Loop) close() {
	for _, s := range l.lists {
		s.Close()
	}
	for _, c := range l.slots {
		c.Close(ErrStopped)
	}
	l.bury()
	for _, p := range l.packets {
		p.Close()
	}
	for fd := range l.lingers {
		l.letGo(fd)
	}
	unix.Close(l.wake)
	unix.Close(l.ep)
}

// Close frees a loop that was never run.
func (l *Loop) Close() { l.close() }

// homeBits is the length of the prefix that a director's own network is taken to have: the platform's pages place its
// directors, media nodes and name service in one such network.
const homeBits = 8

// SetHome also serves the network that a director's own address lies in, where a platform names one. Elsewhere headmill
// listens on and connects to the loopback interface only.
func (l *Loop) SetLocalAddr(addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("loop: address %q: want IPv4:PORT: %w", addr, err)
	}
	if ap.Addr().Is4() && ap.Addr().IsPrivate() {
		l.home = netip.PrefixFrom(ap.Addr(), homeBits).Masked()
	}
	return nil
}

// local checks that an address is IPv4 and served: on the loopback interface, or in the director's own network.
func (l *Loop) local(addr string) (*unix.SockaddrInet4, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("loop: address %q: want IPv4:PORT: %w", addr, err)
	}
	if !ap.Addr().Is4() || !ap.Addr().IsLoopback() && !(l.home.Contains(ap.Addr()) && ap.Addr().IsPrivate()) {
		return nil, fmt.Errorf("loop: address %q is not on 127.0.0.0/8; headmill serves the loopback interface only", addr)
	}
	return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}, nil
}

// Listener takes connections.
type Listener struct {
	l      *Loop
	fd     int
	addr   string
	take   func(*Conn) Handler
	paused bool
	retry  *Timer
}

// Listen opens a listening socket; take is called for each connection and names its owner, nil to close it.
func (l *Loop) Listen(addr string, take func(*Conn) Handler) (*Listener, error) {
	sa, err := l.local(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: socket: %w", err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, 4096)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("loop: listen on %s: %w", addr, err)
	}
	return l.adopt(fd, take)
}

// ListenFD takes over a listening socket that was handed to the process, as a supervisor does to keep a port.
func (l *Loop) ListenFD(fd int, take func(*Conn) Handler) (*Listener, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("loop: descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return l.adopt(fd, take)
}

func (l *Loop) adopt(fd int, take func(*Conn) Handler) (*Listener, error) {
	s := &Listener{l: l, fd: fd, take: take}
	if got, err := unix.Getsockname(fd); err == nil {
		s.addr = format(got)
	}
	if err := l.ctl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.lists[fd] = s
	return s, nil
}

func format(sa unix.Sockaddr) string {
	if v, ok := sa.(*unix.SockaddrInet4); ok {
		return net.JoinHostPort(netip.AddrFrom4(v.Addr).String(), fmt.Sprint(v.Port))
	}
	return ""
}

// Addr is the address listened on, with the port the kernel chose.
func (s *Listener) Addr() string { return s.addr }

// Close stops listening; what was taken stays.
func (s *Listener) Close() {
	if s.fd < 0 {
		return
	}
	s.l.Cancel(s.retry)
	delete(s.l.lists, s.fd)
	unix.Close(s.fd)
	s.fd = -1
}

// Finish takes the connections that the machine has accepted already, and stops listening: closed at once, the listener
// would reset them with what their peers have sent.
func (s *Listener) StopAccepting() {
	for s.fd >= 0 && s.accept() {
	}
	s.Close()
}

// accept takes connections; it tells whether there may be more.
func (s *Listener) accept() bool {
	for range acceptMax {
		fd, sa, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			// Out of descriptors: level-triggered readiness would spin; look again a little later.
			if err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM {
				s.l.ctl(unix.EPOLL_CTL_MOD, s.fd, 0)
				s.retry = s.l.After(50, func() { s.l.ctl(unix.EPOLL_CTL_MOD, s.fd, unix.EPOLLIN) })
			}
			return false
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := &Conn{l: s.l, fd: fd, state: open, peer: sa}
		h := s.take(c)
		if h == nil {
			unix.Close(fd)
			continue
		}
		if c.h = h; c.fd >= 0 {
			c.register()
		}
	}
	return true
}
