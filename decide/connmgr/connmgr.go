// Package connmgr decides which viewer connections a director keeps: which one is closed when the limit is reached,
// which ones are closed because they sent no request or were idle, and which one carries a message that belongs to
// no connection: the release of a session whose connection has closed. Sessions that play do not depend on a
// connection; set-ups do, so a connection that carries a set-up is never closed.
//
// The package is pure: events and their time (ms) go in by Step, the connections to close come out. MakeRoom tells, before
// a connection is accepted, which one to close for it.
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
// are Busy: first those in NoRequest, the oldest first, whatever they have received; then those without a session, and
// then those with one, each in the order of their last use. A caller that asks MakeRoom before it accepts never comes to
// that: connections wait in the kernel instead while all are Busy, and while half of MaxConns are in NoRequest and have
// not had RequestGraceMs to send one. Clients that dial again as soon as they are closed can't drive others out that way
// before their requests are read, nor take more than half of all places.
package connmgr

import "container/list"

// ConnID is the caller's ID of a connection.
type ConnID uint32

// Config has the limits.
type Config struct {
	MaxConns      int
	ReadTimeoutMs float64 // for the first request to arrive, and for an incomplete message to be completed
	IdleTimeoutMs float64 // how long a connection may be idle without a byte received
	// RequestGraceMs is the time that a connection has for its first request before it is closed for another one.
	RequestGraceMs float64
	// MaxInputBytes is the input that all connections together may hold in memory; 0: no limit. Beyond it the connection that
	// has held input for longest, and is not Busy, is closed: a fast request is whole by then.
	MaxInputBytes int
	// KeepSessions says that a connection with a session is never closed for another one, as it is the session's only one.
	KeepSessions bool
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	Accepted      EventKind = iota // Conn
	Received                       // Conn; Partial: bytes arrived, and a message is still incomplete
	RequestRead                    // Conn: a valid request was received
	UseChanged                     // Conn, PendingSetups, Sessions: how many it carries from now on
	Closed                         // Conn
	CloseForLimit                  // Conn: the one that MakeRoom has returned makes room
	InputHeld                      // Conn, Bytes: input that it holds in memory from now on
	Tick                           // time passes
)

// Event is one input of Step.
type Event struct {
	Kind                    EventKind
	Conn                    ConnID
	Partial                 bool
	PendingSetups, Sessions int
	Bytes                   int
}

// CloseReason tells why a connection is closed.
type CloseReason uint8

// The reasons.
const (
	LimitReached      CloseReason = iota // MaxConns is reached, and this connection is the least valuable
	NoRequest                            // no valid request within ReadTimeoutMs
	IncompleteMessage                    // a message was not completed within ReadTimeoutMs
	IdleTimeout                          // nothing was received, and no session played on it, for IdleTimeoutMs
	InputLimit                           // MaxInputBytes are exceeded, and this connection has held input for longest
)

// closeReasonNames are the external names of the reasons, also in metrics and logs, in the order of the constants.
var closeReasonNames = [...]string{"crowded", "silent", "unended", "rested", "buffered"}

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
	value                      value
	position                   *list.Element // in the list of its value; nil while it is busy
	inputBytes                 int
	inputPosition              *list.Element // in Manager.holdingInput; nil while it holds none
}

// value is what is lost when a connection is closed, from the least to the most.
type value uint8

const (
	valueNoRequest value = iota
	valueIdle
	valueSession
	valueBusy // it must not be closed
)

func (c *conn) currentValue() value {
	switch {
	case c.pendingSetups > 0:
		return valueBusy
	case !c.requestRead:
		return valueNoRequest
	case c.sessions == 0:
		return valueIdle
	}
	return valueSession
}

// Manager is the state of all connections.
type Manager struct {
	cfg     Config
	conns   map[ConnID]*conn
	byValue [valueBusy]list.List // of *conn, in the order in which they are closed
	// holdingInput has the connections that hold input, of *conn, in the order since when; inputBytes is the sum.
	holdingInput list.List
	inputBytes   int
}

// New returns a Manager without connections.
func New(cfg Config) *Manager { return &Manager{cfg: cfg, conns: map[ConnID]*conn{}} }

// Room tells whether a connection may be accepted.
type Room uint8

// The kinds of room.
const (
	RoomFree      Room = iota
	RoomByClosing      // once the connection that comes with it is closed
	RoomLater          // not now: it waits in the kernel until those without a request are old enough
	RoomNone           // none can be closed until a set-up, or a session, ends
)

// MakeRoom tells whether a connection may be accepted now, and which one is to be closed for it. What has arrived on that one
// should be read first: if that was a request, another is to be closed.
func (m *Manager) MakeRoom(now float64) (Room, ConnID) {
	if len(m.conns) < m.cfg.MaxConns {
		return RoomFree, 0
	}
	worst := m.leastValuable(valueNoRequest)
	if worst == nil {
		return RoomNone, 0
	}
	if worst.value == valueNoRequest && now-worst.acceptedAt < m.cfg.RequestGraceMs {
		if m.byValue[valueNoRequest].Len() >= m.cfg.MaxConns/2 {
			return RoomLater, 0
		}
		if worst = m.leastValuable(valueIdle); worst == nil {
			return RoomLater, 0
		}
	}
	return RoomByClosing, worst.id
}

// SetMaxInput changes the limit of held input.
func (m *Manager) SetMaxInput(bytes int) { m.cfg.MaxInputBytes = bytes }

// InputBytes returns the input that all connections hold.
func (m *Manager) InputBytes() int { return m.inputBytes }

// SetMaxConns changes the limit. Connections beyond a lower one make room as others come.
func (m *Manager) SetMaxConns(n int) { m.cfg.MaxConns = n }

// Len returns the number of connections.
func (m *Manager) Len() int { return len(m.conns) }

// Step handles one event and appends the connections to close to out. These are forgotten at once; a Closed event for
// them is optional.
func (m *Manager) Step(now float64, ev Event, out []Action) []Action {
	c := m.conns[ev.Conn]
	switch ev.Kind {
	case Accepted:
		if len(m.conns) >= m.cfg.MaxConns {
			worst := m.leastValuable(valueNoRequest)
			if worst == nil {
				return append(out, Action{ev.Conn, LimitReached}) // all carry set-ups: the new one is closed
			}
			out = m.close(worst, LimitReached, out)
		}
		added := &conn{id: ev.Conn, acceptedAt: now, lastReceivedAt: now}
		added.position = m.byValue[valueNoRequest].PushBack(added)
		m.conns[ev.Conn] = added
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
		if c.position != nil && c.value != valueNoRequest {
			m.byValue[c.value].MoveToBack(c.position)
		}
		if !ev.Partial {
			c.partialSince = 0
		} else if c.partialSince == 0 {
			c.partialSince = max(now, 0.001) // 0 would mean that no message is incomplete
		}
	case RequestRead:
		c.requestRead = true
		m.updateValue(c)
	case UseChanged:
		if c.sessions > 0 {
			c.lastSessionAt = now
		}
		c.pendingSetups, c.sessions = ev.PendingSetups, ev.Sessions
		c.hadSession = c.hadSession || c.sessions > 0
		m.updateValue(c)
	case Closed:
		m.remove(c)
	case CloseForLimit:
		out = m.close(c, LimitReached, out)
	case InputHeld:
		m.setInput(c, ev.Bytes)
		for m.cfg.MaxInputBytes > 0 && m.inputBytes > m.cfg.MaxInputBytes {
			slowest := m.slowestInput()
			if slowest == nil {
				break
			}
			out = m.close(slowest, InputLimit, out)
		}
	}
	return out
}

// slowestInput returns the connection that has held input for longest, nil if all that do carry set-ups.
func (m *Manager) slowestInput() *conn {
	for e := m.holdingInput.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.value != valueBusy {
			return c
		}
	}
	return nil
}

// setInput notes the input that a connection holds.
func (m *Manager) setInput(c *conn, bytes int) {
	m.inputBytes += bytes - c.inputBytes
	c.inputBytes = bytes
	switch {
	case bytes > 0 && c.inputPosition == nil:
		c.inputPosition = m.holdingInput.PushBack(c)
	case bytes == 0 && c.inputPosition != nil:
		m.holdingInput.Remove(c.inputPosition)
		c.inputPosition = nil
	}
}

// updateValue moves a connection to the list of its present value.
func (m *Manager) updateValue(c *conn) {
	present := c.currentValue()
	if present == c.value {
		return
	}
	m.unlist(c)
	c.value = present
	if present != valueBusy {
		c.position = m.byValue[present].PushBack(c)
	}
}

func (m *Manager) unlist(c *conn) {
	if c.position != nil {
		m.byValue[c.value].Remove(c.position)
		c.position = nil
	}
}

func (m *Manager) remove(c *conn) {
	m.unlist(c)
	m.setInput(c, 0)
	delete(m.conns, c.id)
}

func (m *Manager) close(c *conn, reason CloseReason, out []Action) []Action {
	m.remove(c)
	return append(out, Action{c.id, reason})
}

// leastValuable returns the connection to close first among those of at least a value, or nil if none may be closed.
func (m *Manager) leastValuable(least value) *conn {
	end := valueBusy
	if m.cfg.KeepSessions {
		end = valueSession
	}
	for i := least; i < end; i++ {
		if front := m.byValue[i].Front(); front != nil {
			return front.Value.(*conn)
		}
	}
	return nil
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
