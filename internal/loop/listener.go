package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Listener is a listening stream socket.
type Listener struct {
	loop       *Loop
	fd         int
	addr       string
	onAccept   func(*Conn) Handler
	mayAccept  func() bool // nil: always
	retryTimer *Timer
}

// Listen opens a listening socket. onAccept is called for each accepted connection and returns its handler, or nil to
// close the connection.
func (l *Loop) Listen(addr string, onAccept func(*Conn) Handler) (*Listener, error) {
	sa, err := l.checkAddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: socket: %w", err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, 4096) // backlog: connections that the kernel queues until they are accepted
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("loop: listen on %s: %w", addr, err)
	}
	return l.addListener(fd, onAccept)
}

// ListenFD uses a listening socket inherited from a parent process, for instance from a supervisor that keeps the port
// open across restarts.
func (l *Loop) ListenFD(fd int, onAccept func(*Conn) Handler) (*Listener, error) {
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("loop: descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return l.addListener(fd, onAccept)
}

func (l *Loop) addListener(fd int, onAccept func(*Conn) Handler) (*Listener, error) {
	s := &Listener{loop: l, fd: fd, onAccept: onAccept}
	if got, err := unix.Getsockname(fd); err == nil {
		s.addr = formatAddr(got)
	}
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.listeners[fd] = s
	return s, nil
}

// Addr returns the listening address, with the port that the kernel chose.
func (s *Listener) Addr() string { return s.addr }

// acceptRetryMs is the time after which a listener that can't accept tries again.
const acceptRetryMs = 20

// SetGate sets a function that is asked before each connection is accepted. While it returns false connections wait in the
// kernel. StopAccepting doesn't ask it.
func (s *Listener) SetGate(mayAccept func() bool) { s.mayAccept = mayAccept }

// pause stops accepting for acceptRetryMs: level-triggered readiness would spin.
func (s *Listener) pause() {
	s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, 0)
	s.retryTimer = s.loop.After(acceptRetryMs, func() { s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, unix.EPOLLIN) })
}

// Close stops listening; accepted connections are unaffected.
func (s *Listener) Close() {
	if s.fd < 0 {
		return
	}
	s.loop.Cancel(s.retryTimer)
	delete(s.loop.listeners, s.fd)
	unix.Close(s.fd)
	s.fd = -1
}

// StopAccepting accepts the connections that are already in the kernel's backlog and then stops listening. Closing the
// socket without doing so would reset those connections and lose what their peers have sent.
func (s *Listener) StopAccepting() {
	s.mayAccept = nil
	for s.fd >= 0 && s.acceptPending() {
	}
	s.Close()
}

// acceptPending accepts up to maxAcceptsPerEvent connections; it reports whether there may be more.
func (s *Listener) acceptPending() bool {
	for range maxAcceptsPerEvent {
		if s.mayAccept != nil && !s.mayAccept() {
			s.pause()
			return false
		}
		fd, sa, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			if err == unix.EMFILE || err == unix.ENFILE || err == unix.ENOBUFS || err == unix.ENOMEM {
				s.pause()
			}
			return false
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := &Conn{loop: s.loop, fd: fd, state: stateOpen, peer: sa}
		h := s.onAccept(c)
		if h == nil {
			unix.Close(fd)
			continue
		}
		if c.handler = h; c.fd >= 0 {
			c.register()
		}
	}
	return true
}
