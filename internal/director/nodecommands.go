package director

import (
	"strconv"

	"headmill/internal/http1"
	"headmill/internal/loop"
)

// command is a request to a media node: a rung change (PATCH) or a session's end (DELETE).
type command struct {
	method, path, body string
	done               func(ok bool)
}

// commandQueue sends the commands to one media node, one at a time and in order, on a connection of the pool.
type commandQueue struct {
	node          *mediaNode
	queue         []command
	inFlight      bool
	conn          *nodeConn
	timer         *loop.Timer
	attempts      int     // connections on which the command in flight has failed
	lastWarningAt float64 // loop time, ms, of the last warning about failed commands; see logIntervalMs
	failures      int     // commands that failed since the last warning
}

// sendRung sends the rung in force to the media node, replacing a rung change that is still queued.
func (d *Director) sendRung(s *session) {
	if s.rung == s.sentRung {
		return
	}
	s.sentRung = s.rung
	d.node(s.node).enqueueCommand("PATCH", "/sessions/"+d.sessionName(s), "rung="+strconv.Itoa(s.rung), nil)
}

// enqueueCommand queues a command. done, if not nil, is called with whether the media node accepted it.
func (n *mediaNode) enqueueCommand(method, path, body string, done func(bool)) {
	q := &n.commands
	firstUnsent := 0
	if q.inFlight {
		firstUnsent = 1
	}
	if method == "PATCH" {
		for i := firstUnsent; i < len(q.queue); i++ {
			if q.queue[i].path == path && q.queue[i].method == method {
				q.queue[i].body = body
				return
			}
		}
	}
	if len(q.queue) >= n.director.cfg.Limits.CommandsPerNode {
		n.director.log.Warn("command to media node dropped: limits.commands_a_box is reached",
			"box", n.addr, "path", path)
		if done != nil {
			done(false)
		}
		return
	}
	q.queue = append(q.queue, command{method, path, body, done})
	q.sendNext()
}

// dropRungChanges discards queued rung changes for a media node whose sessions were given up. Ends stay queued, as
// the node may come back with its sessions.
func (q *commandQueue) dropRungChanges() {
	kept := q.queue[:0]
	for i, c := range q.queue {
		if c.method != "PATCH" || i == 0 && q.inFlight {
			kept = append(kept, c)
		}
	}
	q.queue = kept
}

// sendNext sends the first queued command unless one is in flight.
func (q *commandQueue) sendNext() {
	if q.inFlight || len(q.queue) == 0 {
		return
	}
	q.inFlight = true
	q.timer = q.node.director.loop.After(q.node.director.cfg.Times.CommandMs, func() {
		if q.conn != nil {
			conn := q.conn
			q.conn, conn.user = nil, nil
			conn.netConn.Close(loop.ErrClosedByOwner)
		}
		q.finish(false)
	})
	if conn := q.node.takeIdleConn(); conn != nil {
		q.connected(conn)
		return
	}
	if !q.node.dial(q) {
		q.connectionClosed(nil, nil)
	}
}

// connected writes the first queued command.
func (q *commandQueue) connected(conn *nodeConn) {
	if !q.inFlight || q.conn != nil { // the command it was opened for has timed out
		conn.release()
		return
	}
	q.conn = conn
	conn.assign(q)
	c := &q.queue[0]
	b := http1.AppendRequest(q.node.director.writeBuffer[:0], c.method, c.path, q.node.addr)
	if c.body != "" {
		b = http1.AppendField(b, "Content-Type", "application/x-www-form-urlencoded")
	}
	b = http1.AppendBody(b, []byte(c.body), false)
	q.node.director.writeBuffer = b[:0]
	conn.netConn.Write(b)
}

func (q *commandQueue) bytesWritten(*nodeConn)      {}
func (q *commandQueue) responseHead(*nodeConn, int) {}

// responseComplete ends the command in flight. A 404 counts as success: the media node has no such session any more.
func (q *commandQueue) responseComplete(conn *nodeConn, m *http1.Message) {
	q.conn = nil
	ok := m.Status < 300 || m.Status == 404
	conn.release()
	q.finish(ok)
}

// connectionClosed retries a command once. Commands are idempotent: a DELETE is by RFC 9110 section 9.2.2, and a
// PATCH here sets an absolute rung.
func (q *commandQueue) connectionClosed(*nodeConn, error) {
	q.conn = nil
	if !q.inFlight {
		return
	}
	if q.attempts++; q.attempts < 2 {
		if q.node.dial(q) {
			return
		}
	}
	q.finish(false)
}

// finish ends the command in flight and sends the next one.
func (q *commandQueue) finish(ok bool) {
	q.node.director.loop.Cancel(q.timer)
	c := q.queue[0]
	q.queue = q.queue[1:]
	if len(q.queue) == 0 {
		q.queue = nil
	}
	q.inFlight, q.attempts = false, 0
	if c.done != nil {
		c.done(ok)
	}
	if !ok {
		q.failures++
		if now := q.node.director.loop.Now(); q.lastWarningAt == 0 || now-q.lastWarningAt > logIntervalMs {
			q.node.director.log.Warn("box did not take commands",
				"box", q.node.addr, "method", c.method, "path", c.path, "lost", q.failures)
			q.lastWarningAt, q.failures = now, 0
		}
	}
	q.sendNext()
}
