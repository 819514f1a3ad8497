// Package loop implements a director's single event loop: epoll, timers,
// wake-ups, stream sockets and connected datagram sockets. Sockets are
// restricted to the loopback interface and, where SetLocalAddr is called, the
// director's own private network. It is the only package that makes socket and
// epoll system calls itself. It owns file descriptors and buffered output; it
// does not interpret the bytes and contains no application logic.
//
// Everything but Post and Stop runs on the goroutine that called Run, so
// nothing else in a director needs a lock. The design follows nginx's event
// core: level-triggered readiness, one shared read buffer, timers in a heap.
//
// A stream connection is in one of three states:
//
//	state       meaning                          events
//	connecting  Dial has been called             writable: open, or closed on a connect error
//	open        data flows in both directions    readable: Handler.Data; output flushed: Handler.Flushed;
//	                                             end of stream, error, Close, CloseGracefully (once flushed): closed
//	closed      the owner no longer has it       Handler.Closed is called once, at the end of the iteration
//
// After CloseGracefully the loop keeps the descriptor for a bounded time and
// discards what the peer still sends.
package loop

import (
	"container/heap"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes     = 64 << 10
	maxEpollEvents      = 256
	maxAcceptsPerEvent  = 64       // connections accepted per readiness event, so that a burst does not starve other sockets
	lingerTimeoutMs     = 2000     // longest time that input is discarded after a connection was closed
	stopTimeoutMs       = 300      // longest time that the end of the loop waits for connections that end
	maxLingerBytes      = 16 << 20 // most input that is discarded per lingering connection
	defaultMaxLingering = 1024     // most lingering connections; further ones are closed at once
	maxReadsPerEvent    = 4        // reads of one connection per readiness event, so that it does not starve other sockets
)

// ErrSlowReader is passed to Closed when buffered output exceeds the connection's limit.
var ErrSlowReader = errors.New("loop: peer reads too slowly; buffered output exceeds the limit")

// ErrClosedByOwner is the error with which an owner closes a connection that is idle or late.
var ErrClosedByOwner = errors.New("loop: connection closed by its owner")

// ErrStopped is passed to Closed for connections that are open when the loop ends.
var ErrStopped = errors.New("loop: stopped")

// Loop is one epoll instance with its timers and sockets.
type Loop struct {
	epollFD, wakeFD  int
	start            time.Time
	now              float64 // ms since start, updated once per iteration
	timers           timerHeap
	timerSeq         uint64
	conns            map[int]*Conn
	listeners        map[int]*Listener
	packetConns      map[int]*PacketConn
	registrations    []int32 // number of the last registration of each descriptor; see epollCtl
	lastRegistration int32
	readBuf          []byte
	events           []unix.EpollEvent
	lingering        map[int]*lingeringConn
	maxLingering     int
	brokenConns      []*Conn      // a write failed in this iteration; they are read and closed after its events, or those of the next ones
	closedConns      []*Conn      // closed in this iteration; Closed is called after the iteration's events
	maxLag           float64      // ms; longest iteration since MaxLag was last called: a ready event waits up to that long
	onIteration      func()       // called at the end of each iteration
	onStall          func()       // called at the start of an iteration that comes late
	stallFrom        float64      // ms; start of the iteration before the last one that came late
	stallTo          float64      // ms; start of the last one that came late
	stallMs          float64      // time between the starts of two iterations from which the later one comes late
	localNetwork     netip.Prefix // permitted addresses besides the loopback interface's

	stopping bool // Run returns once no connection lingers

	mu            sync.Mutex
	posted        []func()
	stopRequested bool
}

// New returns a loop; the caller must call Run, or Close if Run is never called.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	l := &Loop{epollFD: epollFD, wakeFD: wakeFD, start: time.Now(), conns: map[int]*Conn{},
		listeners: map[int]*Listener{}, lingering: map[int]*lingeringConn{},
		packetConns: map[int]*PacketConn{}, maxLingering: defaultMaxLingering,
		readBuf: make([]byte, readBufferBytes), events: make([]unix.EpollEvent, maxEpollEvents)}
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN); err != nil {
		return nil, err
	}
	l.updateNow()
	return l, nil
}

// MaxDescriptors returns the number of file descriptors that this process may hold.
func MaxDescriptors() int {
	const fallback, most = 1024, 1 << 20
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return fallback
	}
	return int(min(limit.Cur, most))
}

func (l *Loop) updateNow() { l.now = float64(time.Since(l.start).Microseconds()) / 1000 }

// Now returns the time of the current iteration in ms since New; it is monotonic.
func (l *Loop) Now() float64 { return l.now }

// MaxLag returns the loop's lag: the duration of the longest iteration, in ms, since its previous call. An event that
// becomes ready waits up to that long.
func (l *Loop) MaxLag() float64 {
	lag := l.maxLag
	l.maxLag = 0
	return lag
}

// Post queues f to run on the loop's goroutine. It is the only way for other goroutines to reach the loop's state.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	wasEmpty := len(l.posted) == 0
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if wasEmpty { // otherwise a wake-up is already pending
		l.wakeUp()
	}
}

// Stop makes Run return after the current iteration. It may be called from any goroutine.
func (l *Loop) Stop() {
	l.mu.Lock()
	l.stopRequested = true
	l.mu.Unlock()
	l.wakeUp()
}

// StopGracefully makes Run return once the connections that were closed gracefully have sent their output and ended, or
// after stopTimeoutMs. It must be called on the loop's goroutine.
func (l *Loop) StopGracefully() {
	if !l.stopping {
		l.stopping = true
		l.After(stopTimeoutMs, l.Stop)
	}
}

// closing reports whether a connection that was closed gracefully has not ended.
func (l *Loop) closing() bool {
	if len(l.lingering) > 0 {
		return true
	}
	for _, c := range l.conns {
		if c.closeAfterFlush {
			return true
		}
	}
	return false
}

func (l *Loop) wakeUp() {
	one := [8]byte{1}
	unix.Write(l.wakeFD, one[:]) // EAGAIN means that a wake-up is already pending
}

// SetMaxLingering limits the number of lingering connections; connections beyond it are closed at once. It is meant for
// programs with few file descriptors.
func (l *Loop) SetMaxLingering(n int) { l.maxLingering = n }

// OnIteration sets the function called at the end of each iteration, after its events and timers.
func (l *Loop) OnIteration(f func()) { l.onIteration = f }

// OnStall sets the function called at the start of an iteration, before its events, that begins more than stallMs after the
// previous one: the process stood still. Without timers that are due more often, an idle loop counts as stalled too.
func (l *Loop) OnStall(stallMs float64, f func()) { l.stallMs, l.onStall = stallMs, f }

// LastStall returns the start of the last iteration that came late, and that of the one before it; 0 and 0 if none did.
func (l *Loop) LastStall() (from, to float64) { return l.stallFrom, l.stallTo }

// Elapsed returns the time since the start of the current iteration, in ms. Now does not advance by it.
func (l *Loop) Elapsed() float64 { return float64(time.Since(l.start).Microseconds())/1000 - l.now }

// Run handles events until Stop is called. It closes all sockets before it returns.
func (l *Loop) Run() error {
	defer l.closeAll()
	previousStart := l.now
	for {
		wait := -1
		if len(l.timers) > 0 {
			l.updateNow()
			if remaining := l.timers[0].dueMs - l.now; remaining <= 0 {
				wait = 0
			} else {
				wait = int(min(remaining+0.999, 1e9))
			}
		}
		if len(l.closedConns)+len(l.brokenConns) > 0 {
			wait = 0
		}
		n, err := unix.EpollWait(l.epollFD, l.events, wait)
		for err == unix.EINTR { // a stopped process goes on; timers must not come before the events that it finds
			n, err = unix.EpollWait(l.epollFD, l.events, 0)
		}
		if err != nil {
			return fmt.Errorf("loop: epoll_wait: %w", err)
		}
		l.updateNow()
		iterationStart := l.now
		if l.onStall != nil && iterationStart-previousStart > l.stallMs {
			l.stallFrom, l.stallTo = previousStart, iterationStart
			l.onStall()
		}
		previousStart = iterationStart
		for i := range max(n, 0) {
			if event := &l.events[i]; event.Pad == l.registrations[event.Fd] {
				l.dispatch(int(event.Fd), event.Events)
			}
		}
		for len(l.timers) > 0 && l.timers[0].dueMs <= l.now {
			heap.Pop(&l.timers).(*Timer).callback()
		}
		l.notifyClosed()
		if l.onIteration != nil {
			l.onIteration()
		}
		l.mu.Lock()
		stop := l.stopRequested
		l.mu.Unlock()
		if stop || l.stopping && !l.closing() {
			return nil
		}
		l.updateNow()
		l.maxLag = max(l.maxLag, l.now-iterationStart)
	}
}

func (l *Loop) dispatch(fd int, events uint32) {
	switch {
	case fd == l.wakeFD:
		var b [8]byte
		unix.Read(fd, b[:])
		l.mu.Lock()
		calls := l.posted
		l.posted = nil
		l.mu.Unlock()
		for _, f := range calls {
			f()
		}
	case l.listeners[fd] != nil:
		l.listeners[fd].acceptPending()
	case l.conns[fd] != nil:
		l.conns[fd].handleEvents(events)
	case l.packetConns[fd] != nil:
		l.packetConns[fd].handleReadable()
	case l.lingering[fd] != nil:
		l.discardInput(fd)
	}
}

// notifyClosed reads the connections whose writes failed, and calls Closed for those that closed in this iteration. It runs after
// the iteration's events so that a handler is never re-entered from within one of its own calls.
func (l *Loop) notifyClosed() {
	broken := l.brokenConns
	l.brokenConns = nil
	for _, c := range broken {
		if !c.closeBroken() {
			l.brokenConns = append(l.brokenConns, c)
		}
	}
	for len(l.closedConns) > 0 {
		conns := l.closedConns
		l.closedConns = nil
		for _, c := range conns {
			c.handler.Closed(c, c.closeErr)
		}
	}
}

func (l *Loop) closeAll() {
	for _, s := range l.listeners {
		s.Close()
	}
	for _, c := range l.conns {
		c.Close(ErrStopped)
	}
	l.notifyClosed()
	for _, p := range l.packetConns {
		p.Close()
	}
	for fd := range l.lingering {
		l.stopLingering(fd)
	}
	unix.Close(l.wakeFD)
	unix.Close(l.epollFD)
}

// Close releases a loop that was never run.
func (l *Loop) Close() { l.closeAll() }
