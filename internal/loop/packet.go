package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const packetReads = 64 // datagrams read at one readiness, so that a flood of them does not starve the rest

// Packet is a datagram socket that talks to one peer on the loopback interface.
type PacketConn struct {
	l    *Loop
	fd   int
	take func([]byte)
}

// Packet opens a datagram socket to addr. take is called for each datagram that comes from there; its bytes are only
// valid during the call.
func (l *Loop) DialPacket(addr string, take func([]byte)) (*PacketConn, error) {
	sa, err := l.local(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: socket: %w", err)
	}
	if err = unix.Connect(fd, sa); err != nil { // the kernel drops what others send
		unix.Close(fd)
		return nil, fmt.Errorf("loop: datagrams to %s: %w", addr, err)
	}
	if err = l.ctl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	p := &PacketConn{l: l, fd: fd, take: take}
	l.packets[fd] = p
	return p, nil
}

// Send sends one datagram. It may be lost; an error of the socket is not told, since the answer's absence says the
// same.
func (p *PacketConn) Send(b []byte) {
	if p.fd >= 0 {
		unix.SendmsgN(p.fd, b, nil, nil, unix.MSG_NOSIGNAL)
	}
}

// Move talks to another peer from now on, on the same descriptor.
func (p *PacketConn) Reconnect(addr string) error {
	sa, err := p.l.local(addr)
	if err != nil {
		return err
	}
	if err := unix.Connect(p.fd, sa); err != nil {
		return fmt.Errorf("loop: datagrams to %s: %w", addr, err)
	}
	return nil
}

// Close ends the socket; take is not called again.
func (p *PacketConn) Close() {
	if p.fd >= 0 {
		delete(p.l.packets, p.fd)
		unix.Close(p.fd)
		p.fd = -1
	}
}

func (p *PacketConn) ready() {
	for range packetReads {
		if p.fd < 0 {
			return
		}
		n, err := unix.Read(p.fd, p.l.buf)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // the peer's machine says that nobody listens: read on
			continue
		}
		if err != nil {
			return
		}
		p.take(p.l.buf[:n])
	}
}
