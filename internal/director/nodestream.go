package director

import (
	"encoding/json"
	"math"
	"net/url"

	"headmill"
	"headmill/decide/health"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/orca"
)

// nodeEventStream is the event stream of one media node: text/event-stream (WHATWG HTML section 9.2) at GET /notes. The
// path, the event types and the JSON keys are external names.
type nodeEventStream struct {
	node   *mediaNode
	conn   *loop.Conn
	parser *http1.Parser
	events http1.EventParser
	closed bool // closed by this director, at the request of decide/health or to replace it
}

// openEventStream opens the event stream, replacing one that is open.
func (n *mediaNode) openEventStream() {
	if n.eventStream != nil {
		n.closeEventStream()
	}
	stream := &nodeEventStream{node: n, parser: http1.NewResponses(http1.Limits{})}
	stream.events.Max = n.director.cfg.Limits.EventBytes
	conn, err := n.director.loop.Dial(n.addr, stream)
	if err != nil {
		n.director.healthEvents = append(n.director.healthEvents, health.Event{
			Kind: health.StreamFailed,
			Node: health.NodeID(n.id),
		})
		return
	}
	stream.conn, n.eventStream = conn, stream
	n.connCount++
}

// closeEventStream closes the event stream without reporting it as failed.
func (n *mediaNode) closeEventStream() {
	if stream := n.eventStream; stream != nil {
		n.eventStream = nil
		stream.closed = true
		stream.conn.Close(loop.ErrClosedByOwner)
	}
}

// Connected sends the request for the stream.
func (e *nodeEventStream) Connected(*loop.Conn) {
	req := http1.AppendRequest(nil, "GET", "/notes?director="+url.QueryEscape(e.node.director.cfg.Director.Name),
		e.node.addr)
	e.conn.Write(append(req, "Accept: text/event-stream\r\n\r\n"...))
}

// Flushed implements loop.Handler. It does nothing, since writes are never paused.
func (e *nodeEventStream) Flushed(*loop.Conn) {}

// Data parses events of the stream.
func (e *nodeEventStream) Data(_ *loop.Conn, b []byte) {
	if e.closed {
		return
	}
	e.parser.Sink = func(part []byte) {
		if err := e.events.Feed(part, e.handleEvent); err != nil {
			e.conn.Close(err)
		}
	}
	_, done, err := e.parser.Feed(b)
	if e.parser.HeadDone() && e.parser.Msg.Status != 200 || err != nil || done {
		e.conn.Close(errInvalidResponse)
		return
	}
	e.node.director.healthEvents = append(e.node.director.healthEvents, health.Event{
		Kind: health.StreamActivity,
		Node: health.NodeID(e.node.id),
	})
}

// Closed reports the failure of the stream to decide/health, unless this director closed it.
func (e *nodeEventStream) Closed(_ *loop.Conn, err error) {
	e.node.connCount--
	if e.closed {
		return
	}
	e.node.eventStream = nil
	e.node.director.healthEvents = append(e.node.director.healthEvents, health.Event{
		Kind:        health.StreamFailed,
		Node:        health.NodeID(e.node.id),
		ConnRefused: loop.IsConnRefused(err),
	})
}

// nodeEvent is the data of one event of a media node.
type nodeEvent struct {
	Session  string   `json:"session"`
	Value    float64  `json:"value"` // the measurement; feedbackKinds lists the events that carry one
	Reason   string   `json:"why"`   // why the session ended
	Load     string   `json:"load"`  // load report in the format of the ORCA header field
	BootID   string   `json:"boot"`
	Sessions []string `json:"sessions"`
}

// feedbackKinds has the module's kind of feedback for each event type that carries a measurement: a rate share, a load
// or a rung.
var feedbackKinds = map[string]headmill.FeedbackKind{
	"share":  headmill.FeedbackRateShare,
	"link":   headmill.FeedbackLinkLoad,
	"uplink": headmill.FeedbackUplinkLoad,
	"rung":   headmill.FeedbackRung,
}

// handleEvent passes one event on. A malformed event is logged and skipped: no request depends on it.
func (e *nodeEventStream) handleEvent(kind, data []byte) {
	node, d := e.node, e.node.director
	eventKind := string(kind)
	if eventKind == "reports" {
		d.handleReportBatch(node, data)
		return
	}
	var m nodeEvent
	if err := json.Unmarshal(data, &m); err != nil {
		d.log.Warn("malformed event from media node", "box", node.addr, "kind", string(kind), "error", err.Error())
		return
	}
	if eventKind == "hello" {
		e.handleHello(&m)
		return
	}
	id, ours := d.parseSessionName(m.Session)
	s := d.sessions[id]
	if eventKind == "ended" {
		if ours && s != nil {
			d.endedAtNode(s, node, orca.Parse(m.Load), m.Reason)
		}
		return
	}
	feedback, ok := feedbackKinds[eventKind]
	if !ok || math.IsNaN(m.Value) {
		return
	}
	if s == nil || s.node != node.id || s.state != sessionPlaying {
		id = 0 // a load is feedback on the media node also without a session; a rung is not
		if feedback == headmill.FeedbackRung {
			return
		}
	}
	d.queueModuleEvent(headmill.Event{
		Kind:          headmill.EvFeedback,
		Session:       headmill.SessionID(id),
		Node:          node.id,
		Feedback:      feedback,
		FeedbackValue: m.Value,
	})
}

// handleHello passes the media node's list of this director's sessions to decide/health, which compares it with the
// sessions it knows. Sessions of an earlier run of this director are ended.
func (e *nodeEventStream) handleHello(m *nodeEvent) {
	node, d := e.node, e.node.director
	ev := health.Event{Kind: health.StreamOpened, Node: health.NodeID(node.id), BootID: m.BootID}
	for _, name := range m.Sessions {
		if id, ok := d.parseSessionName(name); ok {
			ev.Sessions = append(ev.Sessions, health.SessionID(id))
		} else {
			d.stats.EndedOrphans++
			node.enqueueCommand("DELETE", "/sessions/"+url.PathEscape(name), "", nil)
		}
	}
	d.healthEvents = append(d.healthEvents, ev)
}
