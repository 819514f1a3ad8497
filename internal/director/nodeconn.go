package director

import (
	"errors"

	"headmill"
	"headmill/internal/http1"
	"headmill/internal/loop"
)

// errInvalidResponse closes a connection whose peer does not follow the protocol.
var errInvalidResponse = errors.New("director: malformed response from media node")

// connUser is the current user of a connection to a media node: a set-up attempt or the command queue.
type connUser interface {
	connected(conn *nodeConn)                          // the connection dialled for it is established
	bytesWritten(conn *nodeConn)                       // the kernel has accepted all pending output
	responseHead(conn *nodeConn, status int)           // the head of the final response has arrived
	responseComplete(conn *nodeConn, m *http1.Message) // the whole response has arrived; m is valid during the call
	connectionClosed(conn *nodeConn, err error)        // the connection has closed, or could not be opened
}

// maxNodeOutputBytes limits the output pending on one connection to a media node.
const maxNodeOutputBytes = 1 << 20

// nodeConn is one connection to a media node. It serves one user at a time; without one it is idle in the pool.
type nodeConn struct {
	node          *mediaNode
	netConn       *loop.Conn
	parser        *http1.Parser
	user          connUser
	writtenBefore int64   // bytes written on the connection before the current request
	idleSince     float64 // loop time, ms
	headReported  bool
	connectTimer  *loop.Timer
}

// mediaNode is the director's state for one media node: its connections and its queued commands.
type mediaNode struct {
	director    *Director
	id          headmill.NodeID
	addr        string
	idleConns   []*nodeConn
	connCount   int
	eventStream *nodeEventStream
	commands    commandQueue
	lastUsedAt  float64 // loop time, ms
}

// node returns the state for a media node, creating it if needed.
func (d *Director) node(id headmill.NodeID) *mediaNode {
	n := d.nodes[id]
	if n == nil {
		n = &mediaNode{director: d, id: id, addr: d.nodeList.Addr(id)}
		n.commands.node = n
		d.nodes[id] = n
	}
	n.lastUsedAt = d.loop.Now()
	return n
}

// takeIdleConn takes an idle connection that is still open from the pool, or returns nil. The socket is checked for a
// close by the peer before a set-up is written on it.
func (n *mediaNode) takeIdleConn() *nodeConn {
	for count := len(n.idleConns); count > 0; count = len(n.idleConns) {
		conn := n.idleConns[count-1]
		n.idleConns = n.idleConns[:count-1]
		if conn.netConn.Reusable() {
			return conn
		}
		conn.netConn.Close(loop.ErrClosedByOwner)
	}
	return nil
}

// dial opens a connection for a user. It returns false if that fails at once or the connection limit is reached.
func (n *mediaNode) dial(user connUser) bool {
	if n.connCount >= n.director.cfg.Limits.ConnsPerNode {
		return false
	}
	nc := &nodeConn{node: n, user: user, parser: http1.NewResponses(http1.Limits{})}
	conn, err := n.director.loop.Dial(n.addr, nc)
	if err != nil {
		return false
	}
	nc.netConn = conn
	conn.SetOutputLimit(maxNodeOutputBytes)
	n.connCount++
	nc.connectTimer = n.director.loop.After(n.director.cfg.Times.ConnectMs,
		func() { conn.Close(loop.ErrConnectFailed) })
	return true
}

// assign gives the connection to a user.
func (c *nodeConn) assign(user connUser) {
	c.user, c.writtenBefore, c.headReported = user, c.netConn.Written(), false
}

// requestBytesWritten returns how many bytes of the current request the kernel has accepted.
func (c *nodeConn) requestBytesWritten() int64 { return c.netConn.Written() - c.writtenBefore }

// release returns the connection to the pool, or closes it if it can't be reused.
func (c *nodeConn) release() {
	c.user = nil
	if !c.netConn.Open() {
		return
	}
	if c.parser.Msg.Close || len(c.node.idleConns) >= c.node.director.cfg.Limits.IdleConnsPerNode {
		c.netConn.Close(loop.ErrClosedByOwner)
		return
	}
	c.parser.Next()
	c.idleSince = c.node.director.loop.Now()
	c.node.idleConns = append(c.node.idleConns, c)
}

// Connected passes the established connection to its user.
func (c *nodeConn) Connected(*loop.Conn) {
	c.node.director.loop.Cancel(c.connectTimer)
	if c.user != nil {
		c.user.connected(c)
	}
}

// Flushed informs the user that its request was written.
func (c *nodeConn) Flushed(*loop.Conn) {
	if c.user != nil {
		c.user.bytesWritten(c)
	}
}

// Data parses the response.
func (c *nodeConn) Data(_ *loop.Conn, b []byte) {
	if c.user == nil { // unsolicited data could be taken for the next response
		c.netConn.Close(errInvalidResponse)
		return
	}
	for len(b) > 0 && c.user != nil {
		n, done, err := c.parser.Feed(b)
		if err != nil {
			c.netConn.Close(err)
			return
		}
		b = b[n:]
		if c.parser.HeadDone() && !c.headReported && c.parser.Msg.Status >= 200 {
			c.headReported = true
			c.user.responseHead(c, c.parser.Msg.Status)
		}
		if !done {
			return
		}
		if c.parser.Msg.Status < 200 { // an interim response (RFC 9110 section 15.2)
			c.parser.Next()
			continue
		}
		c.user.responseComplete(c, &c.parser.Msg)
	}
	if len(b) > 0 && c.netConn.Open() {
		c.netConn.Close(errInvalidResponse)
	}
}

// Closed informs the user, or removes the connection from the pool.
func (c *nodeConn) Closed(_ *loop.Conn, err error) {
	node := c.node
	node.director.loop.Cancel(c.connectTimer)
	node.connCount--
	if c.user == nil {
		for i, idle := range node.idleConns {
			if idle == c {
				node.idleConns = append(node.idleConns[:i], node.idleConns[i+1:]...)
				break
			}
		}
		return
	}
	user := c.user
	if err == nil && c.headReported {
		if done, _ := c.parser.End(); done { // a response delimited by the end of the connection
			user.responseComplete(c, &c.parser.Msg)
			return
		}
	}
	c.user = nil
	user.connectionClosed(c, err)
}

// sweepNodes closes connections idle for too long and removes the state of media nodes that are no longer used.
func (d *Director) sweepNodes() {
	now := d.loop.Now()
	if now < d.nextNodeSweep {
		return
	}
	d.nextNodeSweep = now + nodeSweepIntervalMs
	for id, n := range d.nodes {
		for len(n.idleConns) > 0 && now-n.idleConns[0].idleSince > d.cfg.Times.NodeIdleMs {
			conn := n.idleConns[0]
			n.idleConns = n.idleConns[1:]
			conn.netConn.Close(loop.ErrClosedByOwner)
		}
		// The state is kept for four idle times after the last use.
		if n.connCount == 0 && n.eventStream == nil && len(n.commands.queue) == 0 &&
			now-n.lastUsedAt > 4*d.cfg.Times.NodeIdleMs {
			delete(d.nodes, id)
		}
	}
}
