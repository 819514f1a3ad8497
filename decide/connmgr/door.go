// Package door decides which connections from viewers a director keeps: which
// goes at the bound, which is closed for its silence or its rest, and on which
// a word goes out that belongs to none. Sessions that stand belong to no
// connection; set-ups do, so one that carries a set-up is never given up.
//
// It is pure: facts with their time (ms) go in by Step, actions come out.
//
//	silent   no set-up that could be read has come
//	resting  it carries no set-up now
//	busy     set-ups are open on it
package connmgr

// Conn is the caller's number of a connection.
type ConnID uint32

// Config has the bounds.
type Config struct {
	MaxConns      int     // connections
	ReadTimeoutMs float64 // for which one may stay silent, or a message without its end
	IdleTimeoutMs float64 // for which one may rest without a byte
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Accepted    EventKind = iota // Conn
	Received                     // Conn, Part: bytes came; a message waits for its rest
	RequestRead                  // Conn: a set-up that could be read
	LoadChanged                  // Conn, Open, Stands: what it carries from now on
	Closed                       // Conn: it is closed
	Tick
)

// Event is one fact.
type Event struct {
	Kind                    EventKind
	Conn                    ConnID
	Partial                 bool
	PendingSetups, Sessions int
}

// Why is the cause of a Shut.
type CloseReason uint8

// The causes.
const (
	LimitReached CloseReason = iota // the bound is met, and this one earns least
	NoRequest
	IncompleteMessage // a message without its end
	IdleTimeout
)

var whys = [...]string{"crowded", "silent", "unended", "rested"}

func (w CloseReason) String() string { return whys[w] }

// Action is a connection to close.
type Action struct {
	Conn   ConnID
	Reason CloseReason
}

type conn struct {
	id           ConnID
	came, heard  float64
	carried      float64 // when a session last stood on it
	part         float64 // since when a message waits for its rest; 0: none does
	open, stands int
	asked, stood bool
}

// Door is the state for all connections.
type Manager struct {
	cfg   Config
	conns map[ConnID]*conn
}

// New makes an open door with nobody there.
func New(cfg Config) *Manager { return &Manager{cfg: cfg, conns: map[ConnID]*conn{}} }

// Len is the number of connections.
func (d *Manager) Len() int { return len(d.conns) }

// Step takes one fact and appends what is to be closed. What is closed is forgotten; Left need not follow.
func (d *Manager) Step(now float64, ev Event, out []Action) []Action {
	c := d.conns[ev.Conn]
	switch ev.Kind {
	case Accepted:
		if len(d.conns) >= d.cfg.MaxConns {
			worst := d.least()
			if worst == nil {
				return append(out, Action{ev.Conn, LimitReached}) // all carry set-ups: the newcomer goes
			}
			out = d.shut(worst, LimitReached, out)
		}
		d.conns[ev.Conn] = &conn{id: ev.Conn, came: now, heard: now}
	case Tick:
		for _, c := range d.conns {
			switch {
			case c.open > 0:
			case !c.asked && now-c.came > d.cfg.ReadTimeoutMs:
				out = d.shut(c, NoRequest, out)
			case c.part > 0 && now-c.part > d.cfg.ReadTimeoutMs:
				out = d.shut(c, IncompleteMessage, out)
			case c.stands > 0: // its viewer waits there for the end of what stands, and need not say a word until then
			case now-max(c.heard, c.carried) > d.cfg.IdleTimeoutMs:
				out = d.shut(c, IdleTimeout, out)
			}
		}
	}
	if c == nil {
		return out
	}
	switch ev.Kind {
	case Received:
		c.heard = now
		if !ev.Partial {
			c.part = 0
		} else if c.part == 0 {
			c.part = max(now, 0.001)
		}
	case RequestRead:
		c.asked = true
	case LoadChanged:
		if c.stands > 0 {
			c.carried = now
		}
		c.open, c.stands = ev.PendingSetups, ev.Sessions
		c.stood = c.stood || c.stands > 0
	case Closed:
		delete(d.conns, ev.Conn)
	}
	return out
}

func (d *Manager) shut(c *conn, why CloseReason, out []Action) []Action {
	delete(d.conns, c.id)
	return append(out, Action{c.id, why})
}

// before orders connections by what is lost with them: silent ones, then those on which nothing stands, then by how
// long nothing was heard.
func (c *conn) before(o *conn) bool {
	switch {
	case c.asked != o.asked:
		return o.asked
	case c.stands > 0 != (o.stands > 0):
		return o.stands > 0
	case c.heard != o.heard:
		return c.heard < o.heard
	}
	return c.id < o.id
}

func (d *Manager) least() (worst *conn) {
	for _, c := range d.conns {
		if c.open == 0 && (worst == nil || c.before(worst)) {
			worst = c
		}
	}
	return worst
}

// Voice is the connection for a word that belongs to none, but for those that skip names: one on which a session has
// stood, since that is proof of a viewer that keeps to the protocol, else one that has asked, else any; of several that
// are alike the one last heard.
func (d *Manager) SelectForMessage(skip func(ConnID) bool) (id ConnID, ok bool) {
	var best *conn
	for _, c := range d.conns {
		if !skip(c.id) && (best == nil || c.betterVoice(best)) {
			best = c
		}
	}
	if best == nil {
		return 0, false
	}
	return best.id, true
}

func (c *conn) betterVoice(o *conn) bool {
	switch {
	case c.stood != o.stood:
		return c.stood
	case c.asked != o.asked:
		return c.asked
	case c.heard != o.heard:
		return c.heard > o.heard
	}
	return c.id < o.id
}
