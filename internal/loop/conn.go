package loop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler receives a connection's events. Its methods are called on the loop's goroutine.
type Handler interface {
	// Connected is called when a dialled connection is established. If connecting fails, only Closed is called.
	Connected(c *Conn)
	// Data delivers received bytes, split at arbitrary points; b is only valid during the call.
	Data(c *Conn, b []byte)
	// Flushed is called when the kernel has taken all buffered output.
	Flushed(c *Conn)
	// Closed is the last call for c and is made exactly once. err is nil after an orderly end of stream and after a
	// close without an error.
	Closed(c *Conn, err error)
}

// PeerCloseHandler is implemented by handlers that are to know of the peer's end of stream before the input ahead of it is
// delivered, which may take several iterations.
type PeerCloseHandler interface {
	// PeerClosing is called once at most. Data, for what the peer had sent before, and Closed follow.
	PeerClosing(c *Conn)
}

type connState uint8

const (
	stateConnecting connState = iota
	stateOpen
	stateClosed
)

// Conn is a stream socket. An idle connection holds no buffer.
type Conn struct {
	loop            *Loop
	handler         Handler
	closeErr        error
	writeErr        error // of a failed write; what the peer had sent before is still to be read
	peer            unix.Sockaddr
	outBuf          []byte
	written         int64
	outLimit        int
	readBudget      int // see SetReadBudget
	fd              int
	interest        uint32
	state           connState
	readPaused      bool
	peerClosing     bool // the peer's end of stream, or a reset, has arrived; input may be unread
	closeAfterFlush bool // close once outBuf has been sent
}

// ErrConnectFailed is the error of a dialled connection that was not established; it wraps the reason where the kernel
// gives one.
var ErrConnectFailed = errors.New("loop: connect failed")

// Dial starts connecting to an address that the loop permits. The result is reported to h by Connected or Closed, never
// during this call.
func (l *Loop) Dial(addr string, h Handler) (*Conn, error) {
	sa, err := l.checkAddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("%w: socket: %w", ErrConnectFailed, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, handler: h, fd: fd, peer: sa}
	err = unix.Connect(fd, sa)
	c.interest = unix.EPOLLOUT
	if ctlErr := l.epollCtl(unix.EPOLL_CTL_ADD, fd, c.interest); ctlErr != nil {
		unix.Close(fd)
		return nil, ctlErr
	}
	l.conns[fd] = c
	if err != nil && err != unix.EINPROGRESS {
		c.Close(fmt.Errorf("%w: %w", ErrConnectFailed, err))
	}
	return c, nil
}

func (c *Conn) register() {
	c.interest = unix.EPOLLIN | unix.EPOLLRDHUP
	if c.readPaused {
		c.interest = unix.EPOLLRDHUP
	}
	if len(c.outBuf) > 0 {
		c.interest |= unix.EPOLLOUT
	}
	c.loop.conns[c.fd] = c
	if err := c.loop.epollCtl(unix.EPOLL_CTL_ADD, c.fd, c.interest); err != nil {
		c.Close(err)
	}
}

func (c *Conn) updateInterest() {
	if c.state != stateOpen || c.fd < 0 || c.loop.conns[c.fd] != c {
		return
	}
	var ev uint32
	switch {
	case !c.readPaused:
		ev |= unix.EPOLLIN | unix.EPOLLRDHUP
	case !c.peerClosing:
		ev |= unix.EPOLLRDHUP
	}
	if len(c.outBuf) > 0 {
		ev |= unix.EPOLLOUT
	}
	if ev != c.interest {
		c.interest = ev
		if err := c.loop.epollCtl(unix.EPOLL_CTL_MOD, c.fd, ev); err != nil {
			c.Close(err)
		}
	}
}

// SetHandler replaces the connection's handler, for instance after a protocol upgrade.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Open reports whether the connection accepts writes.
func (c *Conn) Open() bool { return c.state == stateOpen && !c.closeAfterFlush && c.writeErr == nil }

// Receiving reports whether input is still to be handled: also after a write has failed, since the peer may have sent it
// before.
func (c *Conn) Receiving() bool { return c.state == stateOpen && !c.closeAfterFlush }

// Written returns the number of bytes that the kernel has taken since the connection was established. Zero proves that
// no byte was sent.
func (c *Conn) Written() int64 { return c.written }

// Pending returns the number of output bytes that the kernel has not taken yet.
func (c *Conn) Pending() int { return len(c.outBuf) }

// SetOutputLimit bounds the buffered output in bytes; beyond it the connection is closed with ErrSlowReader. 0 means no
// bound.
func (c *Conn) SetOutputLimit(n int) { c.outLimit = n }

// SetReadBudget bounds the input that one iteration of the loop reads, in bytes, so that a peer that sends at full speed does
// not delay others by the work that its input brings. The rest stays in the kernel until the next iteration. 0 means
// maxReadsPerEvent times the loop's read buffer.
func (c *Conn) SetReadBudget(n int) { c.readBudget = n }

// SetReadPaused stops reading, to apply back-pressure to a peer that sends faster than its data is processed;
// SetReadPaused(false) resumes it.
func (c *Conn) SetReadPaused(on bool) {
	if c.readPaused != on {
		c.readPaused = on
		c.updateInterest()
	}
}

// Write sends as much of b as the kernel takes and buffers a copy of the rest. Errors are reported by Closed, after what the
// peer had sent before was read.
func (c *Conn) Write(b []byte) {
	if !c.Open() {
		return
	}
	if len(c.outBuf) == 0 {
		n, err := c.send(b)
		if err != nil {
			c.writeFailed(err)
			return
		}
		b = b[n:]
	}
	if len(b) == 0 {
		return
	}
	if c.outLimit > 0 && len(c.outBuf)+len(b) > c.outLimit {
		c.Close(ErrSlowReader)
		return
	}
	c.outBuf = append(c.outBuf, b...)
	c.updateInterest()
}

// writeFailed has the connection closed once its input has been read, which may take several iterations: a peer may reset a
// connection after it has sent what is still unread here.
func (c *Conn) writeFailed(err error) {
	c.writeErr, c.outBuf = err, nil
	c.loop.brokenConns = append(c.loop.brokenConns, c)
}

// closeBroken reads what the kernel still holds of a connection whose write failed, as much as one iteration may read of it, and
// closes it once nothing is left. It reports whether the connection is closed.
func (c *Conn) closeBroken() bool {
	buf, budget := c.readBuffer()
	for c.state == stateOpen && budget > 0 {
		n, err := unix.Read(c.fd, buf)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			c.Close(c.writeErr)
			break
		}
		budget -= n
		c.handler.Data(c, buf[:n])
	}
	return c.state != stateOpen
}

// readBuffer returns the buffer for one read, and the input that one iteration may read of the connection, in bytes.
func (c *Conn) readBuffer() (buf []byte, budget int) {
	buf = c.loop.readBuf
	if c.readBudget == 0 {
		return buf, maxReadsPerEvent * len(buf)
	}
	return buf[:min(len(buf), c.readBudget)], c.readBudget
}

func (c *Conn) send(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n, err := unix.SendmsgN(c.fd, b[sent:], nil, nil, unix.MSG_NOSIGNAL)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			return sent, err
		}
		sent += n
		c.written += int64(n)
	}
	return sent, nil
}

// CloseGracefully closes the connection once all buffered output has been sent. What the peer still sends is then read
// and discarded for a bounded time: closing a socket with unread input resets the connection, and the peer may lose the
// response that explains the close (RFC 9112 section 9.6; RFC 6455 section 7.1.1; nginx calls it a lingering close).
func (c *Conn) CloseGracefully() {
	if c.writeErr != nil {
		return // closed at the end of the iteration
	}
	if c.state == stateOpen && len(c.outBuf) > 0 {
		c.closeAfterFlush = true
		return
	}
	c.closeGracefully()
}

// closeGracefully shuts down the writing side and starts lingering on the descriptor. For the owner the connection is
// closed.
func (c *Conn) closeGracefully() {
	if c.state != stateOpen || len(c.loop.lingering) >= c.loop.maxLingering || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.Close(nil)
		return
	}
	fd := c.fd
	c.state, c.closeErr = stateClosed, nil
	if c.loop.conns[fd] == c {
		delete(c.loop.conns, fd)
	} else if c.loop.epollCtl(unix.EPOLL_CTL_ADD, fd, 0) != nil { // closed by its owner before it was registered
		unix.Close(fd)
		fd = -1
	}
	c.fd = -1
	if c.handler != nil {
		c.loop.closedConns = append(c.loop.closedConns, c)
	}
	if fd >= 0 {
		c.loop.startLingering(fd)
	}
}

// Close closes the connection at once; Closed is called with err at the end of the current iteration. Only the first
// call has an effect.
func (c *Conn) Close(err error) {
	if c.state == stateClosed {
		return
	}
	if err != nil && len(c.outBuf) > 0 { // reset, so that the kernel does not keep output that the peer does not read
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.state, c.closeErr, c.outBuf = stateClosed, err, nil
	if c.loop.conns[c.fd] == c {
		delete(c.loop.conns, c.fd)
	}
	unix.Close(c.fd)
	c.fd = -1
	if c.handler != nil {
		c.loop.closedConns = append(c.loop.closedConns, c)
	}
}

func (c *Conn) handleEvents(ev uint32) {
	if c.writeErr != nil {
		return // closeBroken reads it
	}
	if c.state == stateConnecting {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.connectFailed(err)
			return
		}
		c.state = stateOpen
		c.updateInterest()
		c.handler.Connected(c)
		return
	}
	if ev&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		c.read(ev)
	}
	if c.state == stateOpen && c.writeErr == nil && ev&unix.EPOLLOUT != 0 {
		n, err := c.send(c.outBuf)
		if err != nil {
			c.writeFailed(err)
			return
		}
		if n < len(c.outBuf) {
			c.outBuf = c.outBuf[:copy(c.outBuf, c.outBuf[n:])]
			return
		}
		c.outBuf = nil
		if c.closeAfterFlush {
			c.closeGracefully()
			return
		}
		c.updateInterest()
		c.handler.Flushed(c)
	}
}

// connectFailed closes a dialled connection with an error. If the peer has sent something it was established in the meantime,
// and what was sent is delivered.
func (c *Conn) connectFailed(err error) {
	n, readErr := unix.Read(c.fd, c.loop.readBuf)
	if readErr != nil || n <= 0 {
		c.Close(fmt.Errorf("%w: %w", ErrConnectFailed, err))
		return
	}
	c.state, c.writeErr = stateOpen, err // nothing can be written any more
	c.handler.Connected(c)
	c.handler.Data(c, c.loop.readBuf[:n])
	c.loop.brokenConns = append(c.loop.brokenConns, c)
}

// ReadAvailable delivers the input that the kernel holds at the moment, before its owner closes the connection. It must not
// be called from a handler's Data.
func (c *Conn) ReadAvailable() {
	if c.readPaused || !c.Open() || c.Reusable() {
		return
	}
	for range maxReadsPerEvent {
		n, err := unix.Read(c.fd, c.loop.readBuf)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return
		}
		c.handler.Data(c, c.loop.readBuf[:n])
		if c.state != stateOpen || n < len(c.loop.readBuf) {
			return
		}
	}
}

func (c *Conn) read(ev uint32) {
	if ev&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 && !c.peerClosing {
		c.peerClosing = true
		if handler, ok := c.handler.(PeerCloseHandler); ok {
			handler.PeerClosing(c)
		}
		c.updateInterest()
	}
	buf, budget := c.readBuffer()
	for budget > 0 {
		if c.readPaused && ev&(unix.EPOLLHUP|unix.EPOLLERR) == 0 {
			return
		}
		n, err := unix.Read(c.fd, buf)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil:
			c.Close(err)
			return
		case n == 0: // a half-closed peer is treated as disconnected, as nginx does: no viewer waits there any more
			c.Close(nil)
			return
		}
		budget -= n
		c.handler.Data(c, buf[:n])
		if c.state != stateOpen || n < len(buf) && ev&unix.EPOLLRDHUP == 0 {
			return
		} // the peer's end of stream arrived with its last bytes: both are reported in one iteration
	}
}

// IsConnRefused reports whether err means that nothing listens at the peer's address.
func IsConnRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// PeerClosed reports whether the peer has closed its side, or the connection is no longer open. It queries the kernel, which may
// know of the end of stream before the loop has handled it, and while input ahead of it is unread.
func (c *Conn) PeerClosed() bool {
	if c.state != stateOpen || c.peerClosing {
		return true
	}
	poll := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0
}

// Unread reports whether the kernel holds input of the connection that was not delivered yet.
func (c *Conn) Unread() bool {
	if c.state != stateOpen {
		return false
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	return err == nil && n > 0
}

// Reusable reports whether an idle connection can be reused: open, no unread input, no end of stream. It queries the
// kernel, so that a close by the peer that the loop has not handled yet is noticed too.
func (c *Conn) Reusable() bool {
	if !c.Open() {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// LocalAddr returns the address of this side, empty if the connection is closed.
func (c *Conn) LocalAddr() string {
	addr, err := unix.Getsockname(c.fd)
	if err != nil {
		return ""
	}
	return formatAddr(addr)
}

// Established reports whether the kernel has established a dialled connection; the loop may not have handled that
// event yet.
func (c *Conn) Established() bool {
	_, err := unix.Getpeername(c.fd)
	return err == nil
}
