package director

import (
	"net"
	"sync"
)

// boundedListener limits the connections of a listener for operators: beyond the limit the oldest one is closed, so that clients
// that hold connections without a call neither use up the process's descriptors nor keep operators out.
type boundedListener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open []*boundedConn // oldest first
}

// boundedConn is one connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &boundedConn{Conn: conn, listener: l}
	if oldest := l.add(accepted); oldest != nil {
		oldest.Close()
	}
	return accepted, nil
}

// add notes a connection, and returns the one that makes room for it, or nil.
func (l *boundedListener) add(conn *boundedConn) (oldest *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.maxConns {
		oldest = l.open[0]
	}
	l.open = append(l.open, conn)
	return oldest
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

func (l *boundedListener) remove(conn *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, open := range l.open {
		if open == conn {
			l.open = append(l.open[:i], l.open[i+1:]...)
			return
		}
	}
}
