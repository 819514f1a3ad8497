package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const maxDatagramsPerEvent = 64 // datagrams read per readiness event, so that a flood does not starve other sockets

// PacketConn is a datagram socket that is connected to one peer.
type PacketConn struct {
	loop       *Loop
	fd         int
	onDatagram func([]byte)
}

// DialPacket opens a datagram socket to addr. onDatagram is called for each datagram received from that address; its
// bytes are only valid during the call.
func (l *Loop) DialPacket(addr string, onDatagram func([]byte)) (*PacketConn, error) {
	sa, err := l.checkAddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loop: socket: %w", err)
	}
	if err = unix.Connect(fd, sa); err != nil { // the kernel drops datagrams from other senders
		unix.Close(fd)
		return nil, fmt.Errorf("loop: datagrams to %s: %w", addr, err)
	}
	if err = l.epollCtl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	p := &PacketConn{loop: l, fd: fd, onDatagram: onDatagram}
	l.packetConns[fd] = p
	return p, nil
}

// Send sends one datagram, which may be lost. Socket errors are not reported: the caller has to handle a missing answer
// anyway.
func (p *PacketConn) Send(b []byte) {
	if p.fd >= 0 {
		unix.SendmsgN(p.fd, b, nil, nil, unix.MSG_NOSIGNAL)
	}
}

// Reconnect changes the peer, keeping the descriptor.
func (p *PacketConn) Reconnect(addr string) error {
	sa, err := p.loop.checkAddr(addr)
	if err != nil {
		return err
	}
	if err := unix.Connect(p.fd, sa); err != nil {
		return fmt.Errorf("loop: datagrams to %s: %w", addr, err)
	}
	return nil
}

// Close closes the socket; onDatagram is not called again.
func (p *PacketConn) Close() {
	if p.fd >= 0 {
		delete(p.loop.packetConns, p.fd)
		unix.Close(p.fd)
		p.fd = -1
	}
}

func (p *PacketConn) handleReadable() {
	for range maxDatagramsPerEvent {
		if p.fd < 0 {
			return
		}
		n, err := unix.Read(p.fd, p.loop.readBuf)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // an ICMP port-unreachable message: keep reading
			continue
		}
		if err != nil {
			return
		}
		p.onDatagram(p.loop.readBuf[:n])
	}
}
