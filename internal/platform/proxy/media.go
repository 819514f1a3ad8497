package proxy

import (
	"errors"
	"math"
	"slices"
	"strconv"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/health"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
	"headmill/internal/platform/jsonline"
)

const (
	perBox    = 8        // connections to one media node at most: each carries one set-up while there are enough
	partialMs = 300.0    // for which the rest of a message may be awaited: 16 KiB at most (PROTOCOL, "Messages")
	boxOut    = 64 << 10 // bytes that may wait for a media node
	unusedMs  = 60000.0  // after which a media node that is listed and not used is forgotten
	queueMs   = 20000.0  // for which messages are kept that no connection could take: over the 8 s of a release (PROTOCOL)
	lateMs    = 1000.0   // before a connection's end, in which what ended a session there may not have been read
	queueMost = 256      // messages kept for a media node that is being reached
)

// box is what the director keeps of a media node.
type box struct {
	n        *Proxy
	id       headmill.NodeID
	name     string
	addr     string
	links    []*link
	standing map[uint64]*session
	queue    [][]byte // messages on sessions, until a connection stands
	queued   float64  // when the first of them was kept
	used     float64
}

// link is one connection to a media node.
type link struct {
	b       *box
	c       *loop.Conn
	addr    string // that it was dialled at
	up      bool
	r       frame.Reader
	tries   map[uint64]*try
	partial float64 // since when a message waits for its rest
	used    float64 // when bytes last went or came
	ended   []ended // releases written lately, the oldest first
	timer   *loop.Timer
}

// ended is a session that the media node was told to end, and when.
type ended struct {
	id uint64
	at float64
}

// try is one attempt, from the module's word to its outcome.
type try struct {
	n     *Proxy
	s     *session
	b     *box
	k     *link
	a     attempt.Attempt
	began float64
	until float64
	base  int64 // bytes that the connection had to write before this set-up
	wrote bool
	moot  bool
	load  headmill.Report
	timer *loop.Timer
}

func (n *Proxy) box(id headmill.NodeID) *box {
	b := n.boxes[id]
	if b == nil {
		b = &box{n: n, id: id, standing: map[uint64]*session{}}
		b.name, b.addr = n.list.Name(id), n.list.Addr(id)
		n.boxes[id] = b
	}
	b.used = n.l.Now()
	return b
}

// ---- connections ----

func (b *box) dial() *link {
	if b.replaced() {
		return nil
	}
	if len(b.links) >= perBox || b.n.links >= b.n.cfg.Sockets/3 {
		return nil
	}
	k := &link{b: b, addr: b.addr, tries: map[uint64]*try{}, used: b.n.l.Now()}
	c, err := b.n.l.Dial(b.addr, k)
	if err != nil {
		b.n.log.Error("media node can't be dialled", "host", b.name, "error", err.Error())
		return nil
	}
	k.c = c
	c.SetLimit(boxOut)
	b.links = append(b.links, k)
	b.n.links++
	k.timer = b.n.l.After(b.n.cfg.ConnectMs, func() { c.Close(loop.ErrConnectTimeout) })
	return k
}

// replaced tells whether the media node has gone and another has its address: what is there now says nothing of it.
func (b *box) replaced() bool { return !b.n.list.Listed(b.id) && b.n.list.AddrInUse(b.addr) }

// drop takes a connection out of use. Its set-ups hear of it by Closed.
func (b *box) drop(k *link) {
	if i := slices.Index(b.links, k); i >= 0 {
		b.links = slices.Delete(b.links, i, i+1)
		b.n.links--
	}
}

// move takes a new address: connections reach what was at the old one, so none is used again. One that carries a set-up
// ends with it.
func (b *box) move(addr string) {
	b.addr = addr
	for _, k := range slices.Clone(b.links) {
		k.retire()
	}
}

// retire closes a connection that reaches where the media node no longer is, once it carries nothing.
func (k *link) retire() {
	if k.addr != k.b.addr && len(k.tries) == 0 {
		k.b.drop(k)
		k.c.Close(loop.ErrClosedByOwner)
	}
}

// usable tells whether something new may be written there.
func (k *link) usable() bool { return k.up && k.c.Open() && k.addr == k.b.addr }

// stale tells whether the media node may be about to close the connection for its idleness: a set-up that crosses the
// close is read by nobody, and nothing proves that.
func (k *link) stale() bool { return k.b.n.l.Now()-k.used > k.b.n.cfg.KeepAliveMs-k.b.n.cfg.ConnectMs }

// spare finds a connection for a set-up: one that carries none, so that an answer that can't be read takes no other
// set-up with it.
func (b *box) spare() *link {
	for _, k := range b.links {
		if k.usable() && len(k.tries) == 0 && !k.r.Partial() && !k.stale() && k.c.Idle() {
			return k
		}
	}
	return nil
}

// least is the connection with the fewest set-ups, for when no further one may be opened.
func (b *box) least() *link {
	var best *link
	for _, k := range b.links {
		if k.usable() && (best == nil || len(k.tries) < len(best.tries)) {
			best = k
		}
	}
	return best
}

// reach opens a connection where none stands or is being opened.
func (b *box) reach() {
	here := func(k *link) bool { return k.addr == b.addr }
	if b.least() != nil {
		b.hello()
	} else if !slices.ContainsFunc(b.links, here) && b.dial() == nil {
		b.n.tellWatch(health.Event{Kind: health.StreamFailed, Node: health.NodeID(b.id), ConnRefused: b.replaced()})
	}
}

func (b *box) hello() {
	b.n.tellWatch(health.Event{Kind: health.StreamOpened, Node: health.NodeID(b.id), Sessions: b.placed()})
}

// placed lists what this director holds there: the platform's media nodes don't tell what they run, so a connection
// that stands proves that the machine lives and says nothing against any session.
func (b *box) placed() []health.SessionID {
	var l []health.SessionID
	for _, s := range b.standing {
		l = append(l, health.SessionID(s.no))
	}
	return l
}

// shut closes the connections that carry no set-up. What is unsent there is lost, so that is no idle end.
func (b *box) shut() {
	for _, k := range b.links {
		switch {
		case len(k.tries) > 0:
		case k.c.Pending() > 0:
			k.c.Close(loop.ErrSlowReader)
		default:
			k.c.Close(loop.ErrClosedByOwner)
		}
	}
}

// release ends a session or gives up a set-up here; at is when that was first said. Media nodes confirm nothing, so what
// was written shortly before the connection's end may be lost with it and is written again, within lateMs of the first
// time: a media node that resets each connection must not be told for ever.
func (k *link) release(id uint64, at float64) {
	now := k.b.n.l.Now()
	k.ended = append(slices.DeleteFunc(k.ended, func(e ended) bool { return now-e.at > lateMs }), ended{id, at})
	k.write(frame.AppendRelease(nil, id, causeClear))
}

func (k *link) write(m []byte) {
	k.used = k.b.n.l.Now()
	k.c.Write(m)
}

// release ends a session at the media node, on any connection or on the next one that stands.
func (b *box) release(id uint64, at float64) {
	if k := b.least(); k != nil {
		k.release(id, at)
		return
	}
	b.tell(frame.AppendRelease(nil, id, causeClear))
}

// tell writes a message on a session, on any connection or on the next one that stands.
func (b *box) tell(m []byte) {
	if k := b.least(); k != nil {
		k.write(m)
		return
	}
	if len(b.queue) == 0 {
		b.queued = b.n.l.Now()
	}
	if len(b.queue) < queueMost {
		b.queue = append(b.queue, m)
	}
	b.deliver()
}

// deliver sees to it that what is kept goes out, for a bounded time: what is to end there would stand on.
func (b *box) deliver() {
	switch {
	case len(b.queue) == 0 || len(b.links) > 0:
	case b.n.l.Now()-b.queued > queueMs, b.replaced():
		b.queue = nil
	default:
		b.dial()
	}
}

// Connected lets the attempts that waited for the connection be written. A drain that was told meanwhile stops them:
// no byte has left, so they never ran.
func (k *link) Connected(c *loop.Conn) {
	b := k.b
	b.n.l.Cancel(k.timer)
	k.up = true
	for _, m := range b.queue {
		c.Write(m)
	}
	b.queue = nil
	b.hello()
	ready := b.n.list.Ready(b.id)
	for _, t := range k.tries {
		if !ready || k.addr != b.addr { // the connection reaches where the media node was
			t.step(attempt.Event{Kind: attempt.Cancelled})
			continue
		}
		t.step(attempt.Event{Kind: attempt.Connected})
	}
}

// Drained wants nothing.
func (k *link) Drained(*loop.Conn) {}

// Data reads messages.
func (k *link) Data(c *loop.Conn, data []byte) {
	n := k.b.n
	n.tellWatch(health.Event{Kind: health.StreamActivity, Node: health.NodeID(k.b.id)})
	k.used = n.l.Now()
	was := k.r.Partial()
	err := k.r.Feed(data, func(m *frame.Message) bool {
		was = false // what waits for its rest after this is another message
		k.message(m)
		return c.Open()
	})
	if err != nil {
		k.spoilt(err)
		return
	}
	if k.r.Partial() && !was {
		k.partial = n.l.Now()
	}
}

var errSpoilt = errors.New("node: a message that can't be read")

// spoilt gives up a connection on which where the next message begins is not known. Its set-ups may have run, and what
// was answered unreadably stands: the media node is told on another connection that nobody wants them, since this one
// may be reset with what was written last.
func (k *link) spoilt(err error) {
	n := k.b.n
	n.stats.Malformed++
	n.log.Debug("media node's message can't be read", "host", k.b.name, "error", err.Error())
	k.b.drop(k)
	k.c.Close(errSpoilt)
	for id := range k.tries {
		k.b.release(id, n.l.Now())
	}
}

// Closed tells the attempts on the connection what can be known of them.
func (k *link) Closed(_ *loop.Conn, err error) {
	b := k.b
	b.n.l.Cancel(k.timer)
	b.drop(k)
	if loop.IsConnRefused(err) { // no process, so nothing that could be told
		b.queue = nil
	}
	if len(b.links) == 0 {
		b.n.tellWatch(health.Event{Kind: health.StreamFailed, Node: health.NodeID(b.id), ConnRefused: loop.IsConnRefused(err)})
	} else if k.up && err != nil && len(b.standing) > 0 {
		// A session's end that was written here is lost, and comes again on the next connection that is opened: with
		// others open, none might be, and the session would stand for good.
		b.dial()
	}
	for id, t := range k.tries {
		sent := t.a.State() == attempt.StateSent
		t.closed()
		if sent && !loop.IsConnRefused(err) { // its answer may be lost with the connection, and what stands is nobody's
			b.release(id, b.n.l.Now())
		}
	}
	for _, e := range k.ended {
		if b.n.l.Now()-e.at <= lateMs && err != loop.ErrClosedByOwner { // closed by this side, with nothing unsent, it has arrived
			b.release(e.id, e.at)
		}
	}
	k.ended = nil
}

func (k *link) message(m *frame.Message) {
	n, b := k.b.n, k.b
	switch m.Type {
	case frame.Answer:
		if t := k.tries[m.Session]; t != nil {
			t.answered(m.Get(frame.SDP))
		}
	case frame.Release:
		load := n.report(m.Get(frame.Report))
		if t := k.tries[m.Session]; t != nil {
			t.load = load
			t.released(m.Cause())
		} else if s := b.standing[m.Session]; s != nil {
			o := headmill.Reset
			cause := int(m.Cause())
			switch cause {
			case causeClear:
				o = headmill.Served
			case causeCancelled:
				o = headmill.Cancelled
			}
			n.ended(s, o, cause, load)
		}
		k.c.Write(frame.AppendReleased(nil, m.Session))
	case frame.Note:
		k.note(m)
	case frame.Ping:
		out, at := frame.Begin(nil, frame.Pong, m.Session)
		k.c.Write(frame.End(frame.Add(out, frame.Cause, []byte{1}), at))
	}
}

var sorts = map[string]headmill.FeedbackKind{"got": headmill.FeedbackRateShare, "level": headmill.FeedbackRung,
	"port": headmill.FeedbackLinkLoad, "spine": headmill.FeedbackUplinkLoad}

func (k *link) note(m *frame.Message) {
	s := k.b.standing[m.Session]
	kind, ok := sorts[string(m.Get(frame.Sort))]
	v, err := strconv.ParseFloat(string(m.Get(frame.Value)), 64)
	if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || s == nil {
		return
	}
	if kind == headmill.FeedbackRung && s.sent == unknown {
		s.sent = int(v)
	}
	k.b.n.tell(headmill.Event{Kind: headmill.EvFeedback, Session: s.no, Node: k.b.id, Feedback: kind, Value: v})
}

// sweep closes connections on which a message waits for its rest, and forgets what has gone or is long unused.
func (b *box) sweep(now float64) {
	for _, k := range slices.Clone(b.links) {
		if k.r.Partial() && now-k.partial > partialMs {
			k.spoilt(errors.New("message without its end"))
		} else if k.up && len(k.tries)+len(b.standing) == 0 && k.c.Pending() == 0 && k.stale() {
			b.drop(k)
			k.c.Close(loop.ErrClosedByOwner)
		}
	}
	b.deliver()
	gone := !b.n.list.Listed(b.id)
	if gone && len(b.standing) == 0 {
		b.shut()
	}
	if len(b.links) == 0 && len(b.standing) == 0 && len(b.queue) == 0 && (gone || now-b.used > unusedMs) {
		delete(b.n.boxes, b.id)
	}
}

// ---- attempts ----

// send begins the attempt that the module asked for. allow is its time, ms; 0: until the viewer gives up.
func (n *Proxy) send(s *session, server headmill.NodeID, allow float64) {
	now := n.l.Now()
	if left := s.deadline - now; allow == 0 || allow > left {
		allow = left
	}
	b := n.box(server)
	t := &try{n: n, s: s, b: b, began: now, until: now + allow}
	s.box, s.try = b, t
	n.stats.Attempts++
	t.timer = n.l.After(allow, func() { t.step(attempt.Event{Kind: attempt.DeadlineExceeded}) })
	k := b.spare()
	if k == nil {
		if k = b.dial(); k == nil {
			k = b.least()
		}
	}
	if k == nil {
		t.step(attempt.Event{Kind: attempt.Start})
		return
	}
	t.join(k)
	t.step(attempt.Event{Kind: attempt.Start, Reused: k.up})
}

func (t *try) join(k *link) {
	t.k = k
	k.tries[t.s.id] = t
}

// step gives a fact to decide/attempt and carries out what it says.
func (t *try) step(ev attempt.Event) {
	t.moot = t.moot || ev.Kind == attempt.Cancelled
	for _, a := range t.a.Step(ev, nil) {
		switch a.Kind {
		case attempt.Dial:
			if t.k == nil {
				if k := t.b.dial(); k != nil {
					t.join(k)
				} else {
					t.step(attempt.Event{Kind: attempt.ConnectionClosed})
				}
			}
		case attempt.Write:
			if !t.n.gone(t.s) {
				t.write()
			}
		case attempt.CloseConnection: // the connection stays: it carries other set-ups
			if t.k != nil && t.wrote {
				t.k.release(t.s.id, t.n.l.Now())
			}
			t.off()
		case attempt.KeepConnection:
			t.off()
		case attempt.ReportOutcome:
			t.settle(a.Outcome)
		}
	}
}

func (t *try) off() {
	if t.k != nil && t.k.tries[t.s.id] == t {
		delete(t.k.tries, t.s.id)
		t.k.retire()
	}
	t.k = nil
	t.n.l.Cancel(t.timer)
}

// write sends the set-up.
func (t *try) write() {
	s, c := t.s, t.k.c
	out, at := frame.Begin(t.n.out[:0], frame.Setup, s.id)
	out = frame.Add(out, frame.Class, s.className)
	out = frame.Add(out, frame.Wait, strconv.Itoa(int(math.Max(t.until-t.n.l.Now(), 1))))
	out = frame.Add(out, frame.Title, s.title)
	out = frame.Add(out, frame.Rung, strconv.Itoa(s.rung))
	out = frame.End(frame.Add(out, frame.SDP, s.sdp), at)
	t.n.out = out[:0]
	s.sent = s.rung
	t.base = c.Written() + int64(c.Pending())
	t.k.write(out)
	t.wrote = true
	t.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: c.Written() - t.base})
}

// closed tells what is known after the connection's end: whether a byte of the set-up had left.
func (t *try) closed() {
	if t.wrote && t.k.c.Written() > t.base {
		t.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: t.k.c.Written() - t.base})
	}
	t.k, t.wrote = nil, false
	t.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// answered passes the session on. A description that no line can hold can't be: nobody is told that the session
// stands, so it is ended there.
func (t *try) answered(sdp []byte) {
	if t.a.State() != attempt.StateSent || t.n.gone(t.s) {
		return
	}
	s, n := t.s, t.n
	n.out = jsonline.AppendAnswer(n.out[:0], s.id, sdp)
	if len(n.out) > jsonline.MaxSize {
		n.stats.Malformed++
		t.k.release(s.id, n.l.Now())
		t.broke()
		return
	}
	t.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 201})
	s.try = nil
	n.stands(s, n.l.Now()-t.began, n.out)
}

// broke ends an attempt whose connection goes on.
func (t *try) broke() {
	t.off()
	t.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// released is the media node's own word on a set-up.
func (t *try) released(cause byte) {
	switch cause {
	case causeFull, causeMoot:
		t.moot = cause == causeMoot
		t.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 503, NeverRan: true})
	case causeError:
		t.n.log.Debug("media node answers a set-up with an error", "host", t.b.name, "id", t.s.id, "class", t.s.className,
			"title", t.s.title, "sdp", t.s.sdp, "left", t.s.deadline-t.began)
		t.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 500})
	default:
		t.broke()
	}
}

var outcomes = map[attempt.Outcome]headmill.Outcome{attempt.OutcomeFull: headmill.Full,
	attempt.OutcomeConnectFailed: headmill.ConnectFailed, attempt.OutcomeError: headmill.Failed, attempt.OutcomeReset: headmill.Reset,
	attempt.OutcomeTimedOut: headmill.TimedOut, attempt.OutcomeCancelled: headmill.Cancelled}

// settle tells the module the outcome of an attempt that does not stand.
func (t *try) settle(o attempt.Outcome) {
	if o == attempt.OutcomePlaying {
		return
	}
	n, s := t.n, t.s
	n.l.Cancel(t.timer)
	if s.try == t {
		s.try = nil
	}
	what := outcomes[o]
	if t.moot && o.NeverRan() { // it never left: by the media node's word, or since nobody waits for it any more
		what = headmill.NeverSent
	}
	n.tell(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.no, Node: t.b.id, Outcome: what,
		SessionOver: s.state == over, LatencyMs: n.l.Now() - t.began, Report: t.load})
}

// tellRung sends the module's rung where it is not what is in force or on its way. A set-up that is still to be written
// carries it itself.
func (n *Proxy) tellRung(s *session) {
	if s.rung == s.sent {
		return
	}
	out, at := frame.Begin(nil, frame.Rate, s.id)
	m := frame.End(frame.Add(out, frame.Rung, strconv.Itoa(s.rung)), at)
	switch {
	case s.state == plays:
		s.box.tell(m)
	case s.state == asked && s.try != nil && s.try.wrote && s.try.k != nil:
		s.try.k.c.Write(m)
	default:
		return
	}
	s.sent = s.rung
}
