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
	maxConnsPerNode         = 8        // connections to one media node at most: each carries one set-up while there are enough
	partialMessageTimeoutMs = 300.0    // for which the rest of a message may be awaited: 16 KiB at most (PROTOCOL, "Messages")
	maxNodeOutput           = 64 << 10 // bytes that may wait for a media node
	unusedNodeTTLMs         = 60000.0  // after which a media node that is listed and not used is forgotten
	queueTTLMs              = 20000.0  // for which messages are kept that no connection could take: over the 8 s of a release (PROTOCOL)
	releaseLossWindowMs     = 1000.0   // before a connection's end, in which what ended a session there may not have been read
	maxQueuedMessages       = 256      // messages kept for a media node that is being reached
)

// box is what the director keeps of a media node.
type mediaNode struct {
	proxy       *Proxy
	id          headmill.NodeID
	name        string
	addr        string
	conns       []*nodeConn
	sessions    map[uint64]*session
	queue       [][]byte // messages on sessions, until a connection stands
	queuedSince float64  // when the first of them was kept
	lastUsed    float64
}

// link is one connection to a media node.
type nodeConn struct {
	node           *mediaNode
	conn           *loop.Conn
	addr           string // that it was dialled at
	established    bool
	reader         frame.Reader
	attempts       map[uint64]*setupAttempt
	partialSince   float64       // since when a message waits for its rest
	lastUsed       float64       // when bytes last went or came
	recentReleases []sentRelease // releases written lately, the oldest first
	connectTimer   *loop.Timer
}

// ended is a session that the media node was told to end, and when.
type sentRelease struct {
	id          uint64
	firstSentAt float64
}

// try is one attempt, from the module's word to its outcome.
type setupAttempt struct {
	proxy           *Proxy
	session         *session
	node            *mediaNode
	conn            *nodeConn
	machine         attempt.Attempt
	startedAt       float64
	deadline        float64
	startOffset     int64 // bytes that the connection had to write before this set-up
	written         bool
	reportNeverSent bool
	report          headmill.Report
	deadlineTimer   *loop.Timer
}

func (p *Proxy) mediaNode(id headmill.NodeID) *mediaNode {
	n := p.nodes[id]
	if n == nil {
		n = &mediaNode{proxy: p, id: id, sessions: map[uint64]*session{}}
		n.name, n.addr = p.nodeList.Name(id), p.nodeList.Addr(id)
		p.nodes[id] = n
	}
	n.lastUsed = p.loop.Now()
	return n
}

// ---- connections ----

func (n *mediaNode) dial() *nodeConn {
	if n.addrReassigned() {
		return nil
	}
	if len(n.conns) >= maxConnsPerNode || n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3 {
		return nil
	}
	nc := &nodeConn{node: n, addr: n.addr, attempts: map[uint64]*setupAttempt{}, lastUsed: n.proxy.loop.Now()}
	c, err := n.proxy.loop.Dial(n.addr, nc)
	if err != nil {
		n.proxy.log.Error("media node can't be dialled", "host", n.name, "error", err.Error())
		return nil
	}
	nc.conn = c
	c.SetLimit(maxNodeOutput)
	n.conns = append(n.conns, nc)
	n.proxy.nodeConnCount++
	nc.connectTimer = n.proxy.loop.After(n.proxy.cfg.ConnectMs, func() { c.Close(loop.ErrConnectTimeout) })
	return nc
}

// replaced tells whether the media node has gone and another has its address: what is there now says nothing of it.
func (n *mediaNode) addrReassigned() bool {
	return !n.proxy.nodeList.Listed(n.id) && n.proxy.nodeList.AddrInUse(n.addr)
}

// drop takes a connection out of use. Its set-ups hear of it by Closed.
func (n *mediaNode) removeConn(nc *nodeConn) {
	if i := slices.Index(n.conns, nc); i >= 0 {
		n.conns = slices.Delete(n.conns, i, i+1)
		n.proxy.nodeConnCount--
	}
}

// move takes a new address: connections reach what was at the old one, so none is used again. One that carries a set-up
// ends with it.
func (n *mediaNode) changeAddr(addr string) {
	n.addr = addr
	for _, nc := range slices.Clone(n.conns) {
		nc.closeIfMoved()
	}
}

// retire closes a connection that reaches where the media node no longer is, once it carries nothing.
func (nc *nodeConn) closeIfMoved() {
	if nc.addr != nc.node.addr && len(nc.attempts) == 0 {
		nc.node.removeConn(nc)
		nc.conn.Close(loop.ErrClosedByOwner)
	}
}

// usable tells whether something new may be written there.
func (nc *nodeConn) usable() bool { return nc.established && nc.conn.Open() && nc.addr == nc.node.addr }

// stale tells whether the media node may be about to close the connection for its idleness: a set-up that crosses the
// close is read by nobody, and nothing proves that.
func (nc *nodeConn) nearIdleTimeout() bool {
	return nc.node.proxy.loop.Now()-nc.lastUsed > nc.node.proxy.cfg.KeepAliveMs-nc.node.proxy.cfg.ConnectMs
}

// spare finds a connection for a set-up: one that carries none, so that an answer that can't be read takes no other
// set-up with it.
func (n *mediaNode) idleConn() *nodeConn {
	for _, nc := range n.conns {
		if nc.usable() && len(nc.attempts) == 0 && !nc.reader.Partial() && !nc.nearIdleTimeout() && nc.conn.Idle() {
			return nc
		}
	}
	return nil
}

// least is the connection with the fewest set-ups, for when no further one may be opened.
func (n *mediaNode) leastLoadedConn() *nodeConn {
	var best *nodeConn
	for _, nc := range n.conns {
		if nc.usable() && (best == nil || len(nc.attempts) < len(best.attempts)) {
			best = nc
		}
	}
	return best
}

// reach opens a connection where none stands or is being opened.
func (n *mediaNode) ensureConn() {
	here := func(k *nodeConn) bool { return k.addr == n.addr }
	if n.leastLoadedConn() != nil {
		n.reportStreamOpened()
	} else if !slices.ContainsFunc(n.conns, here) && n.dial() == nil {
		n.proxy.queueHealthEvent(health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.id), ConnRefused: n.addrReassigned()})
	}
}

func (n *mediaNode) reportStreamOpened() {
	n.proxy.queueHealthEvent(health.Event{Kind: health.StreamOpened, Node: health.NodeID(n.id), Sessions: n.sessionIDs()})
}

// placed lists what this director holds there: the platform's media nodes don't tell what they run, so a connection
// that stands proves that the machine lives and says nothing against any session.
func (n *mediaNode) sessionIDs() []health.SessionID {
	var l []health.SessionID
	for _, s := range n.sessions {
		l = append(l, health.SessionID(s.moduleID))
	}
	return l
}

// shut closes the connections that carry no set-up. What is unsent there is lost, so that is no idle end.
func (n *mediaNode) closeUnusedConns() {
	for _, nc := range n.conns {
		switch {
		case len(nc.attempts) > 0:
		case nc.conn.Pending() > 0:
			nc.conn.Close(loop.ErrSlowReader)
		default:
			nc.conn.Close(loop.ErrClosedByOwner)
		}
	}
}

// release ends a session or gives up a set-up here; at is when that was first said. Media nodes confirm nothing, so what
// was written shortly before the connection's end may be lost with it and is written again, within lateMs of the first
// time: a media node that resets each connection must not be told for ever.
func (nc *nodeConn) sendRelease(id uint64, at float64) {
	now := nc.node.proxy.loop.Now()
	nc.recentReleases = append(slices.DeleteFunc(nc.recentReleases, func(e sentRelease) bool { return now-e.firstSentAt > releaseLossWindowMs }), sentRelease{id, at})
	nc.write(frame.AppendRelease(nil, id, causeNormal))
}

func (nc *nodeConn) write(m []byte) {
	nc.lastUsed = nc.node.proxy.loop.Now()
	nc.conn.Write(m)
}

// release ends a session at the media node, on any connection or on the next one that stands.
func (n *mediaNode) sendRelease(id uint64, at float64) {
	if nc := n.leastLoadedConn(); nc != nil {
		nc.sendRelease(id, at)
		return
	}
	n.sendMessage(frame.AppendRelease(nil, id, causeNormal))
}

// tell writes a message on a session, on any connection or on the next one that stands.
func (n *mediaNode) sendMessage(m []byte) {
	if nc := n.leastLoadedConn(); nc != nil {
		nc.write(m)
		return
	}
	if len(n.queue) == 0 {
		n.queuedSince = n.proxy.loop.Now()
	}
	if len(n.queue) < maxQueuedMessages {
		n.queue = append(n.queue, m)
	}
	n.dialForQueue()
}

// deliver sees to it that what is kept goes out, for a bounded time: what is to end there would stand on.
func (n *mediaNode) dialForQueue() {
	switch {
	case len(n.queue) == 0 || len(n.conns) > 0:
	case n.proxy.loop.Now()-n.queuedSince > queueTTLMs, n.addrReassigned():
		n.queue = nil
	default:
		n.dial()
	}
}

// Connected lets the attempts that waited for the connection be written. A drain that was told meanwhile stops them:
// no byte has left, so they never ran.
func (nc *nodeConn) Connected(c *loop.Conn) {
	n := nc.node
	n.proxy.loop.Cancel(nc.connectTimer)
	nc.established = true
	for _, m := range n.queue {
		c.Write(m)
	}
	n.queue = nil
	n.reportStreamOpened()
	ready := n.proxy.nodeList.Ready(n.id)
	for _, a := range nc.attempts {
		if !ready || nc.addr != n.addr { // the connection reaches where the media node was
			a.step(attempt.Event{Kind: attempt.Cancelled})
			continue
		}
		a.step(attempt.Event{Kind: attempt.Connected})
	}
}

// Drained wants nothing.
func (nc *nodeConn) Drained(*loop.Conn) {}

// Data reads messages.
func (nc *nodeConn) Data(c *loop.Conn, data []byte) {
	p := nc.node.proxy
	p.queueHealthEvent(health.Event{Kind: health.StreamActivity, Node: health.NodeID(nc.node.id)})
	nc.lastUsed = p.loop.Now()
	was := nc.reader.Partial()
	err := nc.reader.Feed(data, func(m *frame.Message) bool {
		was = false // what waits for its rest after this is another message
		nc.handleMessage(m)
		return c.Open()
	})
	if err != nil {
		nc.closeMalformed(err)
		return
	}
	if nc.reader.Partial() && !was {
		nc.partialSince = p.loop.Now()
	}
}

var errMalformed = errors.New("node: a message that can't be read")

// spoilt gives up a connection on which where the next message begins is not known. Its set-ups may have run, and what
// was answered unreadably stands: the media node is told on another connection that nobody wants them, since this one
// may be reset with what was written last.
func (nc *nodeConn) closeMalformed(err error) {
	p := nc.node.proxy
	p.stats.Malformed++
	p.log.Debug("media node's message can't be read", "host", nc.node.name, "error", err.Error())
	nc.node.removeConn(nc)
	nc.conn.Close(errMalformed)
	for id := range nc.attempts {
		nc.node.sendRelease(id, p.loop.Now())
	}
}

// Closed tells the attempts on the connection what can be known of them.
func (nc *nodeConn) Closed(_ *loop.Conn, err error) {
	n := nc.node
	n.proxy.loop.Cancel(nc.connectTimer)
	n.removeConn(nc)
	if loop.IsConnRefused(err) { // no process, so nothing that could be told
		n.queue = nil
	}
	if len(n.conns) == 0 {
		n.proxy.queueHealthEvent(health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.id), ConnRefused: loop.IsConnRefused(err)})
	} else if nc.established && err != nil && len(n.sessions) > 0 {
		// A session's end that was written here is lost, and comes again on the next connection that is opened: with
		// others open, none might be, and the session would stand for good.
		n.dial()
	}
	for id, a := range nc.attempts {
		sent := a.machine.State() == attempt.StateSent
		a.connClosed()
		if sent && !loop.IsConnRefused(err) { // its answer may be lost with the connection, and what stands is nobody's
			n.sendRelease(id, n.proxy.loop.Now())
		}
	}
	for _, e := range nc.recentReleases {
		if n.proxy.loop.Now()-e.firstSentAt <= releaseLossWindowMs && err != loop.ErrClosedByOwner { // closed by this side, with nothing unsent, it has arrived
			n.sendRelease(e.id, e.firstSentAt)
		}
	}
	nc.recentReleases = nil
}

func (nc *nodeConn) handleMessage(m *frame.Message) {
	p, node := nc.node.proxy, nc.node
	switch m.Type {
	case frame.Answer:
		if a := nc.attempts[m.Session]; a != nil {
			a.handleAnswer(m.Get(frame.SDP))
		}
	case frame.Release:
		load := p.parseReport(m.Get(frame.Report))
		if a := nc.attempts[m.Session]; a != nil {
			a.report = load
			a.handleRelease(m.Cause())
		} else if s := node.sessions[m.Session]; s != nil {
			o := headmill.Reset
			cause := int(m.Cause())
			switch cause {
			case causeNormal:
				o = headmill.Served
			case causeCancelled:
				o = headmill.Cancelled
			}
			p.sessionEnded(s, o, cause, load)
		}
		nc.conn.Write(frame.AppendReleased(nil, m.Session))
	case frame.Feedback:
		nc.handleFeedback(m)
	case frame.Ping:
		out, at := frame.Begin(nil, frame.Pong, m.Session)
		nc.conn.Write(frame.End(frame.AppendParameter(out, frame.Cause, []byte{1}), at))
	}
}

var feedbackKinds = map[string]headmill.FeedbackKind{"got": headmill.FeedbackRateShare, "level": headmill.FeedbackRung,
	"port": headmill.FeedbackLinkLoad, "spine": headmill.FeedbackUplinkLoad}

func (nc *nodeConn) handleFeedback(m *frame.Message) {
	s := nc.node.sessions[m.Session]
	kind, ok := feedbackKinds[string(m.Get(frame.FeedbackKind))]
	v, err := strconv.ParseFloat(string(m.Get(frame.FeedbackValue)), 64)
	if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || s == nil {
		return
	}
	if kind == headmill.FeedbackRung && s.sentRung == rungUnknown {
		s.sentRung = int(v)
	}
	nc.node.proxy.queueEvent(headmill.Event{Kind: headmill.EvFeedback, Session: s.moduleID, Node: nc.node.id, Feedback: kind, Value: v})
}

// sweep closes connections on which a message waits for its rest, and forgets what has gone or is long unused.
func (n *mediaNode) sweep(now float64) {
	for _, nc := range slices.Clone(n.conns) {
		if nc.reader.Partial() && now-nc.partialSince > partialMessageTimeoutMs {
			nc.closeMalformed(errors.New("message without its end"))
		} else if nc.established && len(nc.attempts)+len(n.sessions) == 0 && nc.conn.Pending() == 0 && nc.nearIdleTimeout() {
			n.removeConn(nc)
			nc.conn.Close(loop.ErrClosedByOwner)
		}
	}
	n.dialForQueue()
	gone := !n.proxy.nodeList.Listed(n.id)
	if gone && len(n.sessions) == 0 {
		n.closeUnusedConns()
	}
	if len(n.conns) == 0 && len(n.sessions) == 0 && len(n.queue) == 0 && (gone || now-n.lastUsed > unusedNodeTTLMs) {
		delete(n.proxy.nodes, n.id)
	}
}

// ---- attempts ----

// send begins the attempt that the module asked for. allow is its time, ms; 0: until the viewer gives up.
func (p *Proxy) startAttempt(s *session, server headmill.NodeID, allow float64) {
	now := p.loop.Now()
	if left := s.deadline - now; allow == 0 || allow > left {
		allow = left
	}
	n := p.mediaNode(server)
	a := &setupAttempt{proxy: p, session: s, node: n, startedAt: now, deadline: now + allow}
	s.node, s.attempt = n, a
	p.stats.Attempts++
	a.deadlineTimer = p.loop.After(allow, func() { a.step(attempt.Event{Kind: attempt.DeadlineExceeded}) })
	nc := n.idleConn()
	if nc == nil {
		if nc = n.dial(); nc == nil {
			nc = n.leastLoadedConn()
		}
	}
	if nc == nil {
		a.step(attempt.Event{Kind: attempt.Start})
		return
	}
	a.attachTo(nc)
	a.step(attempt.Event{Kind: attempt.Start, Reused: nc.established})
}

func (a *setupAttempt) attachTo(nc *nodeConn) {
	a.conn = nc
	nc.attempts[a.session.id] = a
}

// step gives a fact to decide/attempt and carries out what it says.
func (a *setupAttempt) step(ev attempt.Event) {
	a.reportNeverSent = a.reportNeverSent || ev.Kind == attempt.Cancelled
	for _, action := range a.machine.Step(ev, nil) {
		switch action.Kind {
		case attempt.Dial:
			if a.conn == nil {
				if nc := a.node.dial(); nc != nil {
					a.attachTo(nc)
				} else {
					a.step(attempt.Event{Kind: attempt.ConnectionClosed})
				}
			}
		case attempt.Write:
			if !a.proxy.viewerDisconnected(a.session) {
				a.write()
			}
		case attempt.CloseConnection: // the connection stays: it carries other set-ups
			if a.conn != nil && a.written {
				a.conn.sendRelease(a.session.id, a.proxy.loop.Now())
			}
			a.detach()
		case attempt.KeepConnection:
			a.detach()
		case attempt.ReportOutcome:
			a.reportOutcome(action.Outcome)
		}
	}
}

func (a *setupAttempt) detach() {
	if a.conn != nil && a.conn.attempts[a.session.id] == a {
		delete(a.conn.attempts, a.session.id)
		a.conn.closeIfMoved()
	}
	a.conn = nil
	a.proxy.loop.Cancel(a.deadlineTimer)
}

// write sends the set-up.
func (a *setupAttempt) write() {
	s, c := a.session, a.conn.conn
	out, at := frame.Begin(a.proxy.outBuf[:0], frame.Setup, s.id)
	out = frame.AppendParameter(out, frame.Class, s.className)
	out = frame.AppendParameter(out, frame.Wait, strconv.Itoa(int(math.Max(a.deadline-a.proxy.loop.Now(), 1))))
	out = frame.AppendParameter(out, frame.Title, s.title)
	out = frame.AppendParameter(out, frame.Rung, strconv.Itoa(s.rung))
	out = frame.End(frame.AppendParameter(out, frame.SDP, s.sdp), at)
	a.proxy.outBuf = out[:0]
	s.sentRung = s.rung
	a.startOffset = c.Written() + int64(c.Pending())
	a.conn.write(out)
	a.written = true
	a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: c.Written() - a.startOffset})
}

// closed tells what is known after the connection's end: whether a byte of the set-up had left.
func (a *setupAttempt) connClosed() {
	if a.written && a.conn.conn.Written() > a.startOffset {
		a.step(attempt.Event{Kind: attempt.BytesWritten, Bytes: a.conn.conn.Written() - a.startOffset})
	}
	a.conn, a.written = nil, false
	a.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// answered passes the session on. A description that no line can hold can't be: nobody is told that the session
// stands, so it is ended there.
func (a *setupAttempt) handleAnswer(sdp []byte) {
	if a.machine.State() != attempt.StateSent || a.proxy.viewerDisconnected(a.session) {
		return
	}
	s, p := a.session, a.proxy
	p.outBuf = jsonline.AppendAnswer(p.outBuf[:0], s.id, sdp)
	if len(p.outBuf) > jsonline.MaxSize {
		p.stats.Malformed++
		a.conn.sendRelease(s.id, p.loop.Now())
		a.endAsConnClosed()
		return
	}
	a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 201})
	s.attempt = nil
	p.sessionPlaying(s, p.loop.Now()-a.startedAt, p.outBuf)
}

// broke ends an attempt whose connection goes on.
func (a *setupAttempt) endAsConnClosed() {
	a.detach()
	a.step(attempt.Event{Kind: attempt.ConnectionClosed})
}

// released is the media node's own word on a set-up.
func (a *setupAttempt) handleRelease(cause byte) {
	switch cause {
	case causeFull, causeNeverRan:
		a.reportNeverSent = cause == causeNeverRan
		a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 503, NeverRan: true})
	case causeError:
		a.proxy.log.Debug("media node answers a set-up with an error", "host", a.node.name, "id", a.session.id, "class", a.session.className,
			"title", a.session.title, "sdp", a.session.sdp, "left", a.session.deadline-a.startedAt)
		a.step(attempt.Event{Kind: attempt.ResponseComplete, Status: 500})
	default:
		a.endAsConnClosed()
	}
}

var moduleOutcomes = map[attempt.Outcome]headmill.Outcome{attempt.OutcomeFull: headmill.Full,
	attempt.OutcomeConnectFailed: headmill.ConnectFailed, attempt.OutcomeError: headmill.Failed, attempt.OutcomeReset: headmill.Reset,
	attempt.OutcomeTimedOut: headmill.TimedOut, attempt.OutcomeCancelled: headmill.Cancelled}

// settle tells the module the outcome of an attempt that does not stand.
func (a *setupAttempt) reportOutcome(o attempt.Outcome) {
	if o == attempt.OutcomePlaying {
		return
	}
	p, s := a.proxy, a.session
	p.loop.Cancel(a.deadlineTimer)
	if s.attempt == a {
		s.attempt = nil
	}
	what := moduleOutcomes[o]
	if a.reportNeverSent && o.NeverRan() { // it never left: by the media node's word, or since nobody waits for it any more
		what = headmill.NeverSent
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.moduleID, Node: a.node.id, Outcome: what,
		SessionOver: s.state == stateEnded, LatencyMs: p.loop.Now() - a.startedAt, Report: a.report})
}

// tellRung sends the module's rung where it is not what is in force or on its way. A set-up that is still to be written
// carries it itself.
func (p *Proxy) sendRung(s *session) {
	if s.rung == s.sentRung {
		return
	}
	out, at := frame.Begin(nil, frame.Rate, s.id)
	m := frame.End(frame.AppendParameter(out, frame.Rung, strconv.Itoa(s.rung)), at)
	switch {
	case s.state == statePlaying:
		s.node.sendMessage(m)
	case s.state == statePending && s.attempt != nil && s.attempt.written && s.attempt.conn != nil:
		s.attempt.conn.conn.Write(m)
	default:
		return
	}
	s.sentRung = s.rung
}
