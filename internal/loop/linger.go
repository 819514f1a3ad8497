package loop

import "golang.org/x/sys/unix"

// lingeringConn is a closed connection whose peer may still be sending.
type lingeringConn struct {
	timer     *Timer
	bytesLeft int // input bytes still to be discarded before the descriptor is closed
}

func (l *Loop) startLingering(fd int) {
	lc := &lingeringConn{bytesLeft: maxLingerBytes}
	lc.timer = l.After(lingerTimeoutMs, func() { l.stopLingering(fd) })
	l.lingering[fd] = lc
	if l.epollCtl(unix.EPOLL_CTL_MOD, fd, unix.EPOLLIN|unix.EPOLLRDHUP) != nil {
		l.stopLingering(fd)
	} // input is discarded from the next iteration on: the owner may still be using the loop's read buffer
}

// discardInput reads and discards what the peer of a lingering connection sends, until end of stream or the byte limit.
func (l *Loop) discardInput(fd int) {
	lc := l.lingering[fd]
	for range maxReadsPerEvent {
		n, err := unix.Read(fd, l.readBuf)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil || n == 0:
			l.stopLingering(fd)
			return
		}
		if lc.bytesLeft -= n; lc.bytesLeft <= 0 {
			l.stopLingering(fd)
			return
		}
	}
}

func (l *Loop) stopLingering(fd int) {
	if lc := l.lingering[fd]; lc != nil {
		delete(l.lingering, fd)
		l.Cancel(lc.timer)
		unix.Close(fd)
	}
}
