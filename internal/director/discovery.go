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

// discoveryClient follows the node list of the discovery service: one text/event-stream (WHATWG HTML section 9.2)
// whose first message is the full list and whose further messages are changes. decide/discovery decides which
// messages are accepted.
type discoveryClient struct {
	director       *Director
	conn           *loop.Conn
	parser         *http1.Parser
	events         http1.EventParser
	lastReceivedAt float64 // loop time, ms
	retryTimer     *loop.Timer
	failures       int // in a row
}

// connect opens the stream unless it is open.
func (c *discoveryClient) connect() {
	c.retryTimer = nil
	if c.conn != nil {
		return
	}
	c.parser = http1.NewResponses(http1.Limits{})
	c.events = http1.EventParser{Max: c.director.cfg.Limits.EventBytes}
	c.lastReceivedAt = c.director.loop.Now()
	conn, err := c.director.loop.Dial(c.director.cfg.Discovery.Addr, c)
	if err != nil {
		c.connectionFailed("connect", err)
		return
	}
	c.conn = conn
}

// scheduleConnect carries out the module's ActSubscribe after a failure: it connects after list.retry_ms.
func (c *discoveryClient) scheduleConnect() {
	if c.conn != nil || c.retryTimer != nil || c.director.stopRequested {
		return
	}
	c.retryTimer = c.director.loop.After(c.director.cfg.Discovery.RetryMs, c.connect)
}

// connectionFailed logs a failure, of those in a row the first three and each hundredth, and reports to the module that
// the list is unavailable.
func (c *discoveryClient) connectionFailed(operation string, err error) {
	c.failures++
	if c.failures <= 3 || c.failures%100 == 0 {
		c.director.log.Warn("box list is not at hand; the last one stays in force",
			"at", operation, "error", err, "tries", c.failures)
	}
	c.director.queueModuleEvent(headmill.Event{Kind: headmill.EvNodes, ListUnavailable: true})
}

// Connected sends the request for the list.
func (c *discoveryClient) Connected(*loop.Conn) {
	cfg := c.director.cfg
	req := http1.AppendRequest(nil, "GET", cfg.Discovery.Path+"?director="+url.QueryEscape(cfg.Director.Name),
		cfg.Discovery.Addr)
	c.conn.Write(append(req, "Accept: text/event-stream\r\n\r\n"...))
}

// Flushed implements loop.Handler. It does nothing, since writes are never paused.
func (c *discoveryClient) Flushed(*loop.Conn) {}

// Data parses messages of the stream.
func (c *discoveryClient) Data(conn *loop.Conn, b []byte) {
	c.lastReceivedAt = c.director.loop.Now()
	c.parser.Sink = func(part []byte) {
		if err := c.events.Feed(part, c.handleMessage); err != nil {
			conn.Close(err)
		}
	}
	_, done, err := c.parser.Feed(b)
	if err == nil && (done || c.parser.HeadDone() && c.parser.Msg.Status != 200) {
		err = errInvalidResponse
	}
	if err != nil {
		conn.Close(err)
	}
}

// Closed reports the end of the stream, upon which the module subscribes again.
func (c *discoveryClient) Closed(_ *loop.Conn, err error) {
	c.conn = nil
	c.connectionFailed("stream", err)
}

// closeIfSilent closes a stream without input for list.silent_ms. The service sends periodic comments as a
// keep-alive.
func (c *discoveryClient) closeIfSilent() {
	if c.conn != nil && c.director.loop.Now()-c.lastReceivedAt > c.director.cfg.Discovery.StreamTimeoutMs {
		c.conn.Close(loop.ErrClosedByOwner)
		c.lastReceivedAt = c.director.loop.Now()
	}
}

// nodeEntry is one media node in a message of the discovery service.
type nodeEntry struct {
	Addr     string  `json:"addr"`
	State    string  `json:"state"` // as in discovery.Entry
	BootID   string  `json:"boot"`
	UptimeMs float64 `json:"up_ms"`
	Cell     int     `json:"cell"`
	Kind     int     `json:"kind"`
	Zone     int     `json:"zone"`
	Weight   float64 `json:"weight"`
}

// nodeListMessage is a message of the discovery service: a full list, or the entries that have changed. Its JSON keys
// are external names ("servers" are the media nodes).
type nodeListMessage struct {
	Epoch   string      `json:"epoch"`
	Version uint64      `json:"version"`
	Full    bool        `json:"full"`
	Nodes   []nodeEntry `json:"servers"`
}

// handleMessage applies one message to the node list and passes an accepted change on to the module and to admission
// control.
func (c *discoveryClient) handleMessage(_, data []byte) {
	d := c.director
	var m nodeListMessage
	if err := json.Unmarshal(data, &m); err != nil {
		d.log.Error("malformed node list message; the last list stays in force", "error", err.Error())
		return
	}
	msg := discovery.Message{Epoch: m.Epoch, Version: m.Version, Full: m.Full}
	for _, e := range m.Nodes {
		msg.Entries = append(msg.Entries, discovery.Entry{
			Addr:     e.Addr,
			State:    e.State,
			BootID:   e.BootID,
			UptimeMs: e.UptimeMs,
			Cell:     e.Cell,
			Kind:     e.Kind,
			Zone:     e.Zone,
			Weight:   e.Weight,
		})
	}
	ev, verdict, err := d.nodeList.Apply(d.loop.Now(), &msg)
	switch verdict {
	case discovery.Accepted:
		c.failures = 0
		d.stats.NodeLists++
		d.queueModuleEvent(ev)
		d.admission.Step(d.loop.Now(), []limits.Event{{
			Kind:     limits.CapacityChanged,
			Capacity: d.capacity.Estimate(d.nodeList.Nodes()),
		}}, nil)
	case discovery.Gap: // a new stream begins with the full list
		d.log.Warn("box list has a gap; asking for the whole",
			"version", m.Version, "have", d.nodeList.Version())
		c.conn.Close(loop.ErrClosedByOwner)
	case discovery.Invalid:
		d.log.Error("box list is not usable; the last one stays in force", "error", err.Error())
	}
}
