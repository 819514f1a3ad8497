// Package connmgr decides which viewer connections a director keeps: which one is closed when the limit is reached,
// which ones are closed because they sent no request or were idle, and which one carries a message that belongs to
// no connection: the release of a session whose connection has closed. Sessions that play do not depend on a
// connection; set-ups do, so a connection that carries a set-up is never closed.
//
// The package is pure: events and their time (ms) go in by Step, the connections to close come out.
//
// States of a connection, which follow from requestRead and pendingSetups, and what the events do:
//
//	NoRequest  no valid request (for a set-up) has been received
//	           RequestRead: Idle. Tick: closed ReadTimeoutMs after it was accepted.
//	Idle       it carries no set-up now
//	           Tick: closed after IdleTimeoutMs without a byte received and without a session on it.
//	Busy       it carries set-ups in progress; it is not closed
//	not Busy   Tick: closed when a message has been incomplete for ReadTimeoutMs.
//	any        UseChanged: Busy if it carries set-ups, else NoRequest or Idle as before.
//	           Received: restarts the idle time-out. Closed: removed.
//
// Accepted adds a new connection. At MaxConns the least valuable one that is not Busy is closed, or the new one if all
// are Busy.
package connmgr

// ConnID is the caller's ID of a connection.
type ConnID uint32

// Config has the limits.
type Config struct {
	MaxConns      int
	ReadTimeoutMs float64 // for the first request to arrive, and for an incomplete message to be completed
	IdleTimeoutMs float64 // how long a connection may be idle without a byte received
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	Accepted    EventKind = iota // Conn
	Received                     // Conn; Partial: bytes arrived, and a message is still incomplete
	RequestRead                  // Conn: a valid request was received
	UseChanged                   // Conn, PendingSetups, Sessions: how many it carries from now on
	Closed                       // Conn
	Tick                         // time passes
)

// Event is one input of Step.
type Event struct {
	Kind                    EventKind
	Conn                    ConnID
	Partial                 bool
	PendingSetups, Sessions int
}

// CloseReason tells why a connection is closed.
type CloseReason uint8

// The reasons.
const (
	LimitReached      CloseReason = iota // MaxConns is reached, and this connection is the least valuable
	NoRequest                            // no valid request within ReadTimeoutMs
	IncompleteMessage                    // a message was not completed within ReadTimeoutMs
	IdleTimeout                          // nothing was received, and no session played on it, for IdleTimeoutMs
)

// closeReasonNames are the external names of the reasons, also in metrics and logs, in the order of the constants.
var closeReasonNames = [...]string{"crowded", "silent", "unended", "rested"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// Action is one connection to close.
type Action struct {
	Conn   ConnID
	Reason CloseReason
}

// conn is the state of one connection.
type conn struct {
	id                         ConnID
	acceptedAt, lastReceivedAt float64
	lastSessionAt              float64 // when a session was last known to play on it
	partialSince               float64 // since when a message has been incomplete; 0: none is
	pendingSetups, sessions    int
	requestRead, hadSession    bool
}

// Manager is the state of all connections.
type Manager struct {
	cfg   Config
	conns map[ConnID]*conn
}

// New returns a Manager without connections.
func New(cfg Config) *Manager { return &Manager{cfg: cfg, conns: map[ConnID]*conn{}} }

// Len returns the number of connections.
func (m *Manager) Len() int { return len(m.conns) }

// Step handles one event and appends the connections to close to out. These are forgotten at once; a Closed event for
// them is optional.
func (m *Manager) Step(now float64, ev Event, out []Action) []Action {
	c := m.conns[ev.Conn]
	switch ev.Kind {
	case Accepted:
		if len(m.conns) >= m.cfg.MaxConns {
			worst := m.leastValuable()
			if worst == nil {
				return append(out, Action{ev.Conn, LimitReached}) // all carry set-ups: the new one is closed
			}
			out = m.close(worst, LimitReached, out)
		}
		m.conns[ev.Conn] = &conn{id: ev.Conn, acceptedAt: now, lastReceivedAt: now}
	case Tick:
		for _, c := range m.conns {
			switch {
			case c.pendingSetups > 0:
			case !c.requestRead && now-c.acceptedAt > m.cfg.ReadTimeoutMs:
				out = m.close(c, NoRequest, out)
			case c.partialSince > 0 && now-c.partialSince > m.cfg.ReadTimeoutMs:
				out = m.close(c, IncompleteMessage, out)
			case c.sessions > 0:
				// The viewer waits on it for the end of its sessions, and need not send anything until then.
			case now-max(c.lastReceivedAt, c.lastSessionAt) > m.cfg.IdleTimeoutMs:
				out = m.close(c, IdleTimeout, out)
			}
		}
	}
	if c == nil {
		return out
	}
	switch ev.Kind {
	case Received:
		c.lastReceivedAt = now
		if !ev.Partial {
			c.partialSince = 0
		} else if c.partialSince == 0 {
			c.partialSince = max(now, 0.001) // 0 would mean that no message is incomplete
		}
	case RequestRead:
		c.requestRead = true
	case UseChanged:
		if c.sessions > 0 {
			c.lastSessionAt = now
		}
		c.pendingSetups, c.sessions = ev.PendingSetups, ev.Sessions
		c.hadSession = c.hadSession || c.sessions > 0
	case Closed:
		delete(m.conns, ev.Conn)
	}
	return out
}

func (m *Manager) close(c *conn, reason CloseReason, out []Action) []Action {
	delete(m.conns, c.id)
	return append(out, Action{c.id, reason})
}

// lessValuable orders connections by what is lost when they are closed: first those without a request, then those
// without a session, then those that have received nothing for longest.
func (c *conn) lessValuable(other *conn) bool {
	switch {
	case c.requestRead != other.requestRead:
		return other.requestRead
	case c.sessions > 0 != (other.sessions > 0):
		return other.sessions > 0
	case c.lastReceivedAt != other.lastReceivedAt:
		return c.lastReceivedAt < other.lastReceivedAt
	}
	return c.id < other.id
}

// leastValuable returns the connection to close first, or nil if all carry set-ups.
func (m *Manager) leastValuable() (worst *conn) {
	for _, c := range m.conns {
		if c.pendingSetups == 0 && (worst == nil || c.lessValuable(worst)) {
			worst = c
		}
	}
	return worst
}

// SelectForMessage returns the best connection for a message that belongs to none, among those for which skip returns
// false. A connection that has had a session is preferred, since that proves a viewer that follows the protocol; then
// one that has sent a request; then any. Among equals, the one that received last is chosen.
func (m *Manager) SelectForMessage(skip func(ConnID) bool) (id ConnID, ok bool) {
	var best *conn
	for _, c := range m.conns {
		if !skip(c.id) && (best == nil || c.betterForMessage(best)) {
			best = c
		}
	}
	if best == nil {
		return 0, false
	}
	return best.id, true
}

func (c *conn) betterForMessage(other *conn) bool {
	switch {
	case c.hadSession != other.hadSession:
		return c.hadSession
	case c.requestRead != other.requestRead:
		return c.requestRead
	case c.lastReceivedAt != other.lastReceivedAt:
		return c.lastReceivedAt > other.lastReceivedAt
	}
	return c.id < other.id
}
