package director

import (
	"encoding/json"
	"net/url"

	"headmill"
	"headmill/decide/discovery"
	"headmill/decide/limits"
	"headmill/internal/http1"
	"headmill/internal/loop"
)

// listClient follows the box list: one text/event-stream whose first message is the whole list and whose
// further ones are changes. Which of them count is decide/fleet's to say.
type listClient struct {
	d     *Director
	c     *loop.Conn
	p     *http1.Parser
	ev    http1.Events
	heard float64
	timer *loop.Timer
	tries int
}

func (c *listClient) connect() {
	c.timer = nil
	if c.c != nil {
		return
	}
	c.p = http1.NewResponses(http1.Limits{})
	c.ev = http1.Events{Max: c.d.cfg.Limits.EventBytes}
	c.heard = c.d.l.Now()
	conn, err := c.d.l.Dial(c.d.cfg.List.Addr, c)
	if err != nil {
		c.failed("connect", err)
		return
	}
	c.c = conn
}

// again is the module's wish for the list (ActWatch) after a failure: connect after the agreed pause.
func (c *listClient) again() {
	if c.c != nil || c.timer != nil || c.d.asked {
		return
	}
	c.timer = c.d.l.After(c.d.cfg.List.RetryMs, c.connect)
}

func (c *listClient) failed(what string, err error) {
	c.tries++
	if c.tries <= 3 || c.tries%100 == 0 {
		c.d.log.Warn("box list is not at hand; the last one stays in force", "at", what, "error", err, "tries", c.tries)
	}
	c.d.toModule(headmill.Event{Kind: headmill.EvNodes, ListUnavailable: true})
}

// Connected asks for the list.
func (c *listClient) Connected(*loop.Conn) {
	cfg := c.d.cfg
	req := http1.AppendRequest(nil, "GET", cfg.List.Path+"?director="+url.QueryEscape(cfg.Director.Name), cfg.List.Addr)
	c.c.Write(append(req, "Accept: text/event-stream\r\n\r\n"...))
}

// Drained has nothing to do.
func (c *listClient) Drained(*loop.Conn) {}

// Data reads messages.
func (c *listClient) Data(conn *loop.Conn, b []byte) {
	c.heard = c.d.l.Now()
	c.p.Sink = func(part []byte) {
		if err := c.ev.Feed(part, c.message); err != nil {
			conn.Close(err)
		}
	}
	_, done, err := c.p.Feed(b)
	if err == nil && (done || c.p.HeadDone() && c.p.Msg.Status != 200) {
		err = errAnswer
	}
	if err != nil {
		conn.Close(err)
	}
}

// Closed makes the module ask again.
func (c *listClient) Closed(_ *loop.Conn, err error) {
	c.c = nil
	c.failed("stream", err)
}

// sweep closes a stream that has gone silent: the service sends a comment from time to time.
func (c *listClient) sweep() {
	if c.c != nil && c.d.l.Now()-c.heard > c.d.cfg.List.SilentMs {
		c.c.Close(loop.ErrClosedByOwner)
		c.heard = c.d.l.Now()
	}
}

type listEntry struct {
	Addr   string  `json:"addr"`
	State  string  `json:"state"`
	Boot   string  `json:"boot"`
	UpMs   float64 `json:"up_ms"`
	Cell   int     `json:"cell"`
	Kind   int     `json:"kind"`
	Zone   int     `json:"zone"`
	Weight float64 `json:"weight"`
}

type listMessage struct {
	Epoch   string      `json:"epoch"`
	Version uint64      `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// message judges one message and tells the module.
func (c *listClient) message(_, data []byte) {
	d := c.d
	var m listMessage
	if err := json.Unmarshal(data, &m); err != nil {
		d.log.Error("box list can't be read; the last one stays in force", "error", err.Error())
		return
	}
	msg := discovery.Message{Epoch: m.Epoch, Version: m.Version, Full: m.Full}
	for _, e := range m.Servers {
		msg.Entries = append(msg.Entries, discovery.Entry{Addr: e.Addr, State: e.State, BootID: e.Boot, UptimeMs: e.UpMs,
			Cell: e.Cell, Kind: e.Kind, Zone: e.Zone, Weight: e.Weight})
	}
	ev, verdict, err := d.fleet.Apply(d.l.Now(), &msg)
	switch verdict {
	case discovery.Accepted:
		c.tries = 0
		d.stats.Lists++
		d.toModule(ev)
		d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.CapacityChanged, Capacity: d.sizes.Rooms(d.fleet.Nodes())}}, nil)
	case discovery.Gap: // a stream begun anew opens with the whole list
		d.log.Warn("box list has a gap; asking for the whole", "version", m.Version, "have", d.fleet.Version())
		c.c.Close(loop.ErrClosedByOwner)
	case discovery.Invalid:
		d.log.Error("box list is not usable; the last one stays in force", "error", err.Error())
	}
}
