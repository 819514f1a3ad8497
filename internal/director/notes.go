package director

import (
	"encoding/json"
	"math"
	"net/url"
	"strconv"

	"headmill"
	"headmill/decide/health"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/orca"
)

// notes is the stream of notes of one box: text/event-stream (WHATWG HTML 9.2) at GET /notes.
type notes struct {
	b    *box
	c    *loop.Conn
	p    *http1.Parser
	ev   http1.Events
	shut bool
}

func (b *box) openNotes() {
	if b.notes != nil {
		b.shutNotes()
	}
	n := &notes{b: b, p: http1.NewResponses(http1.Limits{})}
	n.ev.Max = b.d.cfg.Limits.EventBytes
	c, err := b.d.l.Dial(b.addr, n)
	if err != nil {
		b.d.watchIn = append(b.d.watchIn, health.Event{Kind: health.StreamFailed, Node: health.NodeID(b.id)})
		return
	}
	n.c, b.notes = c, n
	b.conns++
}

func (b *box) shutNotes() {
	if n := b.notes; n != nil {
		b.notes = nil
		n.shut = true
		n.c.Close(loop.ErrClosedByOwner)
	}
}

// Connected asks for the stream.
func (n *notes) Connected(*loop.Conn) {
	req := http1.AppendRequest(nil, "GET", "/notes?director="+url.QueryEscape(n.b.d.cfg.Director.Name), n.b.addr)
	n.c.Write(append(req, "Accept: text/event-stream\r\n\r\n"...))
}

// Drained has nothing to do.
func (n *notes) Drained(*loop.Conn) {}

// Data reads events.
func (n *notes) Data(_ *loop.Conn, b []byte) {
	if n.shut {
		return
	}
	n.p.Sink = func(part []byte) {
		if err := n.ev.Feed(part, n.event); err != nil {
			n.c.Close(err)
		}
	}
	_, done, err := n.p.Feed(b)
	if n.p.HeadDone() && n.p.Msg.Status != 200 || err != nil || done {
		n.c.Close(errAnswer)
		return
	}
	n.b.d.watchIn = append(n.b.d.watchIn, health.Event{Kind: health.StreamActivity, Node: health.NodeID(n.b.id)})
}

// Closed tells decide/boxes, but for a stream that was shut on its word.
func (n *notes) Closed(_ *loop.Conn, err error) {
	n.b.conns--
	if n.shut {
		return
	}
	n.b.notes = nil
	n.b.d.watchIn = append(n.b.d.watchIn, health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.b.id),
		ConnRefused: loop.IsConnRefused(err)})
}

type note struct {
	Session  string   `json:"session"`
	Value    float64  `json:"value"`
	Why      string   `json:"why"`
	Load     string   `json:"load"` // as in the ORCA field
	Boot     string   `json:"boot"`
	Sessions []string `json:"sessions"`
}

var noteKinds = map[string]headmill.FeedbackKind{"share": headmill.FeedbackRateShare, "link": headmill.FeedbackLinkLoad,
	"uplink": headmill.FeedbackUplinkLoad, "rung": headmill.FeedbackRung}

// event hands one note on. Notes that can't be read are logged and passed over: they are news, not answers.
func (n *notes) event(kind, data []byte) {
	b, d := n.b, n.b.d
	k := string(kind)
	if k == "reports" {
		d.batchOf(b, data)
		return
	}
	var m note
	if err := json.Unmarshal(data, &m); err != nil {
		d.log.Warn("note can't be read", "box", b.addr, "kind", string(kind), "error", err.Error())
		return
	}
	if k == "hello" {
		n.hello(&m)
		return
	}
	id, mine := d.parseName(m.Session)
	s := d.sessions[id]
	if k == "ended" {
		if mine && s != nil && s.server == b.id && s.state == plays {
			d.over(s, headmill.Served, orca.Parse(m.Load), m.Why)
		}
		return
	}
	sort, ok := noteKinds[k]
	if !ok || math.IsNaN(m.Value) {
		return
	}
	if s == nil || s.server != b.id || s.state != plays {
		id = 0
		if sort == headmill.FeedbackRung {
			return
		}
	}
	d.toModule(headmill.Event{Kind: headmill.EvFeedback, Session: headmill.SessionID(id), Node: b.id, Feedback: sort,
		Value: m.Value})
}

// hello sets the box's list of this director's sessions against the table; those of an earlier run are ended.
func (n *notes) hello(m *note) {
	b, d := n.b, n.b.d
	ev := health.Event{Kind: health.StreamOpened, Node: health.NodeID(b.id), BootID: m.Boot}
	for _, name := range m.Sessions {
		if id, ok := d.parseName(name); ok {
			ev.Sessions = append(ev.Sessions, health.SessionID(id))
		} else {
			d.stats.Orphans++
			b.command("DELETE", "/sessions/"+url.PathEscape(name), "", nil)
		}
	}
	d.watchIn = append(d.watchIn, ev)
}

// command is one thing to be told to a box: a rung or an end.
type command struct {
	method, path, body string
	done               func(ok bool)
}

// commands is the queue of one box: one at a time, in order, on a connection of the pool.
type commands struct {
	b     *box
	queue []command
	busy  bool
	u     *upstream
	timer *loop.Timer
	tries int
	said  float64 // time of the last log line; one a few seconds is enough about a box in trouble
	lost  int     // commands not taken since then
}

// tellRung tells the box the rung in force; one that has not left yet is replaced.
func (d *Director) tellRung(s *session) {
	if s.rung == s.sent {
		return
	}
	s.sent = s.rung
	d.box(s.server).command("PATCH", "/sessions/"+d.name(s), "rung="+strconv.Itoa(s.rung), nil)
}

func (b *box) command(method, path, body string, done func(bool)) {
	q := &b.cmds
	first := 0
	if q.busy {
		first = 1
	}
	if method == "PATCH" {
		for i := first; i < len(q.queue); i++ {
			if q.queue[i].path == path && q.queue[i].method == method {
				q.queue[i].body = body
				return
			}
		}
	}
	if len(q.queue) >= b.d.cfg.Limits.CommandsPerNode {
		b.d.log.Warn("command to a box dropped: limits.commands_a_box is reached", "box", b.addr, "path", path)
		if done != nil {
			done(false)
		}
		return
	}
	q.queue = append(q.queue, command{method, path, body, done})
	q.next()
}

// drop forgets rung changes that wait for a box whose sessions were given up. Ends stay: it may come back.
func (q *commands) drop() {
	keep := q.queue[:0]
	for i, c := range q.queue {
		if c.method != "PATCH" || i == 0 && q.busy {
			keep = append(keep, c)
		}
	}
	q.queue = keep
}

func (q *commands) next() {
	if q.busy || len(q.queue) == 0 {
		return
	}
	q.busy = true
	q.timer = q.b.d.l.After(q.b.d.cfg.Times.CommandMs, func() {
		if q.u != nil {
			u := q.u
			q.u, u.use = nil, nil
			u.c.Close(loop.ErrClosedByOwner)
		}
		q.finish(false)
	})
	if u := q.b.rested(); u != nil {
		q.connected(u)
		return
	}
	if !q.b.dial(q) {
		q.broke(nil, nil)
	}
}

func (q *commands) connected(u *upstream) {
	if !q.busy || q.u != nil { // the command it was opened for has run out of time
		u.rest()
		return
	}
	q.u = u
	u.take(q)
	c := &q.queue[0]
	b := http1.AppendRequest(q.b.d.scratch[:0], c.method, c.path, q.b.addr)
	if c.body != "" {
		b = http1.AppendField(b, "Content-Type", "application/x-www-form-urlencoded")
	}
	b = http1.AppendBody(b, []byte(c.body), false)
	q.b.d.scratch = b[:0]
	u.c.Write(b)
}

func (q *commands) wrote(*upstream)     {}
func (q *commands) head(*upstream, int) {}

func (q *commands) whole(u *upstream, m *http1.Message) {
	q.u = nil
	ok := m.Status < 300 || m.Status == 404
	u.rest()
	q.finish(ok)
}

// broke tries a command once more: both kinds may be repeated harmlessly (RFC 9110 9.2.2).
func (q *commands) broke(*upstream, error) {
	q.u = nil
	if !q.busy {
		return
	}
	if q.tries++; q.tries < 2 {
		if q.b.dial(q) {
			return
		}
	}
	q.finish(false)
}

func (q *commands) finish(ok bool) {
	q.b.d.l.Cancel(q.timer)
	c := q.queue[0]
	q.queue = q.queue[1:]
	if len(q.queue) == 0 {
		q.queue = nil
	}
	q.busy, q.tries = false, 0
	if c.done != nil {
		c.done(ok)
	}
	if !ok {
		q.lost++
		if now := q.b.d.l.Now(); q.said == 0 || now-q.said > 2000 {
			q.b.d.log.Warn("box did not take commands", "box", q.b.addr, "method", c.method, "path", c.path, "lost", q.lost)
			q.said, q.lost = now, 0
		}
	}
	q.next()
}
