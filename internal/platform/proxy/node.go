// Package node is the director on the users' platform: viewers by JSON lines,
// media nodes by binary messages, the name service by DNS. It owns the
// sessions and turns what comes on sockets into events of the decision modules
// and their actions into messages. It decides nothing: where a session goes,
// its rung, a refusal and its advice are the module's; what became of a set-up
// is decide/attempt's, which list counts decide/fleet's, and which sessions are
// lost with a media node decide/boxes', which connections from viewers are kept
// decide/door's.
//
// A session passes these states:
//
//	asked    the module has it; an attempt is out or about to be
//	plays    it stands at its media node
//	ending   its viewer has left; the media node's last word is awaited
//	over     the module has let go of it
package proxy

import (
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/decide/health"
	"headmill/decide/limits"
	"headmill/decide/release"
	"headmill/decide/shutdown"
	"headmill/internal/loop"
	"headmill/internal/platform/jsonline"
	"headmill/internal/wire"
)

// Causes of releases (Q.850). The first three are refusals: trying again is harmless.
const (
	causeFull      = 34
	causeCongested = 42
	causeMoot      = 102
	causeClear     = 16
	causeCancelled = 31
	causeReset     = 41
	causeError     = 47
	causeMissing   = 96  // a field that is needed is missing
	causeInvalid   = 100 // a field that can't be used
)

const (
	heldPart  = 8       // of limits.memory_mb: what set-ups that wait may hold, and once more what sessions may
	entrySize = 1 << 10 // bytes that a session in the table is reckoned at
	sweepMs   = 100.0   // between looks at what is late: a tenth of the second in which releases are due (PROTOCOL)
	endMs     = 400.0   // for a media node's last word on a session that its viewer ended; none is owed (PROTOCOL)
	oweMs     = 8000.0  // for which a release that no viewer has confirmed is kept (PROTOCOL, "The rules on sockets")
	againMs   = 333.0   // for its confirmation: a third of the second in which a viewer must hear (same place)
	noticeMs  = 1500.0  // after SIGTERM: requests come for 0.6 s, and all are taken (DAYS, "New configurations and restarts")
	longestMs = 3000.0  // that a deadline counts for a stop (same place)
	finishMs  = 550.0   // beyond it, in which what waits is answered: SIGKILL comes 700 ms beyond it (same place)
	unknown   = -1      // rung of a session of the start, until its media node tells it
)

type state uint8

const (
	asked state = iota
	plays
	ending
	over
)

// session is one entry of the table, from its set-up to its last word.
type session struct {
	id         uint64
	no         headmill.SessionID
	state      state
	rung, sent int     // the module's last word; what its media node was told, or unknown
	front      *viewer // of its set-up; nil once that connection is closed
	className  string
	title      string
	sdp        string // until it stands
	deadline   float64
	answered   int64 // bytes that its connection has written once the whole answer has left
	box        *box
	try        *try
	timer      *loop.Timer // of ending
}

// Stats counts what happened since the start.
type Stats struct {
	Requests, Played, Refused, Denied, Failed, ViewersLeft, InvalidRequests, Lost, Malformed, Attempts, Opened int
}

// Node is one director.
type Proxy struct {
	cfg    *Config
	l      *loop.Loop
	log    *slog.Logger
	module *headmill.Controller
	list   *discovery.List
	watch  *health.Monitor
	stop   *shutdown.Shutdown
	feed   feed
	listen *loop.Listener

	in, spare []headmill.Event
	watchIn   []health.Event
	acts      []headmill.Action
	flushing  bool
	unix0     float64 // Unix time, ms, of the loop's zero

	sessions map[uint64]*session
	numbers  map[headmill.SessionID]*session
	last     headmill.SessionID
	boxes    map[headmill.NodeID]*box
	viewers  map[connmgr.ConnID]*viewer
	lastView connmgr.ConnID
	door     *connmgr.Manager
	shut     []connmgr.Action
	accounts limits.Quotas
	pending  *release.Retransmitter
	links    int
	waiting  int // sessions in asked
	term     bool
	hurry    bool
	out      []byte
	msg      jsonline.Message
	stats    Stats
	// Done is called once when the director has stopped.
	Done func()
}

// New makes a director on a loop; Start opens it.
func New(cfg *Config, l *loop.Loop, log *slog.Logger) (*Proxy, error) {
	n := &Proxy{cfg: cfg, l: l, log: log, sessions: map[uint64]*session{}, numbers: map[headmill.SessionID]*session{},
		boxes: map[headmill.NodeID]*box{}, viewers: map[connmgr.ConnID]*viewer{}, Done: func() {}}
	n.unix0 = float64(time.Now().UnixMicro())/1000 - l.Now()
	var err error
	if n.module, err = headmill.New(cfg.Module, cfg.Seed); err != nil {
		return nil, err
	}
	m := &cfg.Module
	n.list = discovery.New(discovery.Config{MaxNodes: 4096, Cells: m.Cells, Kinds: len(cfg.Vocabulary.Kinds), VersionsMayRestart: true})
	n.watch = health.New(silence(cfg))
	n.stop = shutdown.New(shutdown.Config{NoticeMs: noticeMs, SetupDrainMs: math.Min(slices.Max(cfg.DeadlineMs), longestMs) + finishMs,
		SessionDrainMs: math.Inf(1), EndConfirmMs: oweMs})
	n.door = connmgr.New(connmgr.Config{MaxConns: cfg.Sockets / 2, ReadTimeoutMs: silentMs, IdleTimeoutMs: restMs})
	most := 1 << 16
	if held := int64(cfg.MemoryMB * (1 << 20) / heldPart); held > 0 {
		n.accounts.SetLimit(limits.Waiting, held)
		n.accounts.SetLimit(limits.Sessions, held/entrySize)
		most = int(held / entrySize)
	}
	n.pending = release.New(release.Config{RetentionMs: oweMs, RetransmitMs: againMs, MaxPending: most}, n)
	n.feed.n = n
	if err := l.SetLocalAddr(cfg.Listen); err != nil {
		return nil, err
	}
	l.SetMaxLingering(cfg.Sockets / 16)
	return n, nil
}

// silence says when a media node that is not heard is asked for a connection, and when its sessions are lost. Loads come
// on one session of each media node once in TellMs, as late as ToldLateMs: silence for longer is a sign, with two
// connections' time over for the loop's own lateness. Where none are told, answers have to do, and a client's longest wait
// stands for the interval. Whatever the settings say, viewers hear of a lost session within the protocol's 8 s: a media
// node that is only quiet proves itself by taking a connection.
func silence(cfg *Config) health.Config {
	quiet := cfg.Module.ReportIntervalMs + cfg.Module.ReportDelayMs + 2*cfg.ConnectMs
	if cfg.Module.ReportIntervalMs == 0 {
		quiet = slices.Max(cfg.DeadlineMs)
	}
	quiet = math.Min(quiet, oweMs/2)
	return health.Config{StreamTimeoutMs: quiet, NodeTimeoutMs: quiet + math.Min(3*cfg.ConnectMs, oweMs/4), MinRetryMs: cfg.ConnectMs / 4,
		MaxRetryMs: 2 * cfg.ConnectMs, IdleTimeoutMs: cfg.KeepAliveMs / 3, OpenTimeoutMs: cfg.ConnectMs + sweepMs/2}
}

// Start takes the list of the start, asks the name service and opens the door.
func (n *Proxy) Start() error {
	known, err := n.cfg.Snapshot.Message(n.cfg.Vocabulary)
	if err != nil {
		return err
	}
	if err := n.take(&known); err != nil {
		return err
	}
	n.flush()
	if n.listen, err = n.l.Listen(n.cfg.Listen, n.accept); err != nil {
		return err
	}
	if err := n.feed.open(n.cfg.DNS); err != nil {
		return err
	}
	n.l.OnRound(n.flush)
	n.l.After(sweepMs, n.sweep)
	return nil
}

// Addr is the address listened on.
func (n *Proxy) Addr() string { return n.listen.Addr() }

// Stats is what happened so far.
func (n *Proxy) Stats() Stats { return n.stats }

// Stop begins to stop; a second call hurries. It may be called from any goroutine.
func (n *Proxy) Stop() { n.l.Post(func() { n.hurry = n.term; n.term = true }) }

// Reload takes a configuration read anew: the name service may have another address. The rest holds from the start.
func (n *Proxy) Reload(cfg *Config) {
	n.l.Post(func() {
		if err := n.feed.open(cfg.DNS); err != nil {
			n.log.Error("name service's new address can't be used; the old one stays", "dns", cfg.DNS, "error", err.Error())
		}
	})
}

// now is the Unix time in ms, the clock of the modules and of the name service's starts.
func (n *Proxy) now() float64 { return n.unix0 + n.l.Now() }

// flush hands what has gathered to the decision modules until nothing is left. It runs at the end of each round of the
// loop, so that what came in one round is decided as one batch, in its order.
func (n *Proxy) flush() {
	if n.flushing {
		return
	}
	n.flushing = true
	for len(n.in)+len(n.watchIn) > 0 {
		if in := n.watchIn; len(in) > 0 {
			n.watchIn = nil
			for _, a := range n.watch.Step(n.l.Now(), in, nil) {
				n.fromWatch(a)
			}
		}
		if in := n.in; len(in) > 0 {
			n.in, n.spare = n.spare[:0], in
			n.acts = n.module.Step(n.now(), in, n.acts[:0])
			for i := range n.acts {
				n.fromModule(&n.acts[i])
			}
		}
	}
	n.flushing = false
}

func (n *Proxy) tell(ev headmill.Event) { n.in = append(n.in, ev) }

func (n *Proxy) tellWatch(ev health.Event) { n.watchIn = append(n.watchIn, ev) }

// take judges a list and tells the module.
func (n *Proxy) take(m *discovery.Message) error {
	ev, verdict, err := n.list.Apply(n.now(), m)
	if verdict == discovery.Accepted || len(ev.Nodes) > 0 {
		n.tell(ev)
	}
	if verdict == discovery.Accepted {
		for i := range m.Entries {
			e := &m.Entries[i]
			if b := n.boxes[discovery.NodeIDFromName(e.Name)]; b != nil && b.addr != e.Addr {
				b.move(e.Addr)
			}
		}
	}
	return err
}

// fromModule carries out what the module says; every kind of action is here.
func (n *Proxy) fromModule(a *headmill.Action) {
	s := n.numbers[a.Session]
	switch a.Kind {
	case headmill.ActSetup:
		if s != nil && s.state == asked {
			n.send(s, a.Node, a.AtMs)
		} else { // its viewer left in the same round: the module must not wait for an attempt that is never made
			n.tell(headmill.Event{Kind: headmill.EvAttemptEnded, Session: a.Session, Node: a.Node,
				Outcome: headmill.NeverSent, SessionOver: true})
		}
	case headmill.ActSetRung:
		if s != nil {
			s.rung = a.Rung
			n.tellRung(s)
		}
	case headmill.ActRefuse:
		if s != nil && s.state == asked {
			n.stats.Refused++
			n.final(s, causeCongested, a.RetryAfterMs)
		}
	case headmill.ActFail:
		if s != nil && s.state == asked {
			n.stats.Failed++
			n.final(s, causeError, 0)
		}
	case headmill.ActTimer:
		name := a.Timer
		n.l.At(a.AtMs-n.unix0, func() { n.tell(headmill.Event{Kind: headmill.EvTimer, Timer: name}) })
	case headmill.ActSubscribe: // the name service is asked all the time
	case headmill.ActLog:
		n.log.Warn(a.Text)
	}
}

// final answers a set-up that is not to stand, and forgets it.
func (n *Proxy) final(s *session, cause int, waitMs float64) {
	if f := s.front; f != nil {
		f.release(s.id, cause, waitMs)
	}
	n.forget(s)
}

func (n *Proxy) forget(s *session) {
	n.leave(s)
	if s.state == asked {
		n.settled(s)
	}
	n.l.Cancel(s.timer)
	s.state = over
	n.accounts.Release(limits.Sessions, 1)
	if n.sessions[s.id] == s {
		delete(n.sessions, s.id)
	}
	delete(n.numbers, s.no)
}

// settled gives back what a set-up held while it waited.
func (n *Proxy) settled(s *session) {
	n.waiting--
	n.accounts.Release(limits.Waiting, int64(len(s.sdp)))
	s.sdp = ""
}

// leave takes a session off its viewer's connection.
func (n *Proxy) leave(s *session) {
	if f := s.front; f != nil {
		delete(f.open, s)
		delete(f.stands, s)
		s.front = nil
		f.carries()
	}
}

// request makes the module's request out of a set-up. At a bound it is refused here, with the settings' time to come
// back: the module never hears of it, so nothing of it can have run.
func (n *Proxy) request(v *viewer, id uint64, r *request) {
	held := int64(len(r.sdp))
	switch {
	case r.at != "" && !n.list.Listed(discovery.NodeIDFromName(r.at)): // where it played is not there any more, so it is over
		n.log.Debug("session plays where no media node is listed", "host", r.at)
		n.owe(v, id, causeReset)
		return
	case !n.accounts.Fits(limits.Sessions, 1), r.at == "" && !n.accounts.Acquire(limits.Waiting, held):
		n.stats.Denied++
		wait := 0.0
		if m := &n.cfg.Module; m.RetryAfter {
			wait = m.MaxRetryAfterMs
		}
		v.release(id, causeCongested, wait)
		return
	}
	n.accounts.Acquire(limits.Sessions, 1)
	n.last++
	s := &session{id: id, no: n.last, className: r.className, title: r.title, sdp: r.sdp, front: v,
		deadline: n.l.Now() + r.left, rung: n.cfg.Module.Classes[r.class].MinRung}
	n.sessions[id], n.numbers[s.no] = s, s
	ev := headmill.Event{Kind: headmill.EvRequest, Session: s.no, Class: r.class, Title: r.key, TimeLeftMs: r.left,
		FirstCell: r.home, Copies: r.copies, MaxRung: r.top}
	if r.at != "" {
		n.adopt(s, discovery.NodeIDFromName(r.at), ev)
		return
	}
	v.open[s] = struct{}{}
	v.carries()
	n.stats.Requests++
	n.waiting++
	n.tell(ev)
}

// adopt takes a session that plays at a media node already.
func (n *Proxy) adopt(s *session, server headmill.NodeID, ev headmill.Event) {
	n.stats.Opened++
	s.state, s.sent, s.sdp, s.box = plays, unknown, "", n.box(server)
	s.box.standing[s.id] = s
	s.front.keep(s)
	ev.Kind, ev.Node = headmill.EvExistingSession, server
	n.tell(ev)
	n.tellWatch(health.Event{Kind: health.SessionStarted, Node: health.NodeID(server), Session: health.SessionID(s.no)})
}

// stands passes a media node's answer on, as the line that was made of it: the session plays.
func (n *Proxy) stands(s *session, took float64, line []byte) {
	n.stats.Played++
	n.settled(s)
	s.state = plays
	s.box.standing[s.id] = s
	if f := s.front; f != nil {
		f.c.Write(line)
		s.answered = f.c.Written() + int64(f.c.Pending())
		f.keep(s)
	}
	n.tell(headmill.Event{Kind: headmill.EvAttemptPlaying, Session: s.no, Node: s.box.id, LatencyMs: took})
	n.tellWatch(health.Event{Kind: health.SessionStarted, Node: health.NodeID(s.box.id), Session: health.SessionID(s.no)})
	n.tellRung(s) // what was set while the set-up was out and could not be told
}

// ended settles a session that stood: the module hears of it, and its viewer, where it is owed a release.
func (n *Proxy) ended(s *session, o headmill.Outcome, cause int, r headmill.Report) {
	if s.state != plays && s.state != ending {
		return
	}
	delete(s.box.standing, s.id)
	n.log.Debug("session ended", "id", s.id, "host", s.box.name, "cause", cause, "state", s.state)
	if s.state == plays && cause != causeCancelled {
		n.owe(s.front, s.id, cause)
	}
	n.tell(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.no, Node: s.box.id, Outcome: o, SessionOver: true, Report: r})
	n.tellWatch(health.Event{Kind: health.SessionEnded, Node: health.NodeID(s.box.id), Session: health.SessionID(s.no)})
	n.forget(s)
}

// gone looks whether the viewer of a set-up has closed its connection and the loop has not read that yet; it then gives
// up all that waits there. An attempt that begins, or a session that stands, after its viewer has gone is nobody's.
func (n *Proxy) gone(s *session) bool {
	v := s.front
	if s.state != asked || v == nil || !v.c.WriteClosed() {
		return s.state == over
	}
	v.c.Close(nil)
	for s := range v.open {
		n.left(s)
	}
	return true
}

// left is the viewer's own end of a session: a set-up given up, or one that stood.
func (n *Proxy) left(s *session) {
	switch s.state {
	case asked:
		n.stats.ViewersLeft++
		n.tell(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.no})
		t := s.try
		n.forget(s)
		if t != nil {
			t.step(attempt.Event{Kind: attempt.Cancelled})
		}
	case plays:
		s.state = ending
		s.box.release(s.id, n.l.Now())
		s.timer = n.l.After(endMs, func() {
			s.timer = nil
			n.ended(s, headmill.Cancelled, causeCancelled, headmill.Report{})
		})
	}
}

// owe sees to it that a viewer hears of its session's end.
func (n *Proxy) owe(front *viewer, id uint64, cause int) {
	ev := release.Event{Kind: release.SessionEnded, Session: release.SessionID(id), Cause: cause}
	if front != nil && front.c.Open() {
		ev.Conn = front.id
	}
	n.releases(ev)
}

// releases tells decide/release a fact and writes what it says. A connection that has closed meanwhile says so itself,
// and the release comes up again.
func (n *Proxy) releases(ev release.Event) {
	for _, a := range n.pending.Step(n.l.Now(), ev, nil) {
		if v := n.viewers[a.Conn]; v != nil {
			v.release(uint64(a.Session), a.Cause, 0)
		}
	}
}

// Voice finds a connection for decide/release among those that can be written to.
func (n *Proxy) SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool) {
	return n.door.SelectForMessage(func(c connmgr.ConnID) bool {
		v := n.viewers[c]
		return v == nil || !v.c.Open() || skip(c)
	})
}

// fromWatch carries out what decide/boxes says.
func (n *Proxy) fromWatch(a health.Action) {
	b := n.boxes[headmill.NodeID(a.Node)]
	if b == nil {
		return
	}
	switch a.Kind {
	case health.OpenStream:
		b.reach()
	case health.CloseStream:
		b.shut()
	case health.SessionLost, health.EndOrphan:
		if s := n.numbers[headmill.SessionID(a.Session)]; s != nil && s.state != asked {
			n.stats.Lost++
			n.ended(s, headmill.Reset, causeReset, headmill.Report{})
		}
	case health.NodeDown:
		n.log.Warn("media node is down; its sessions are given up", "host", b.name, "sessions", a.Count)
	}
}

// report reads a load report: NAME:VALUE;... with the names of the settings.
func (n *Proxy) report(b []byte) headmill.Report {
	text := string(b)
	return wire.ReadReport(n.cfg.Fields, func(_ int, name string) (float64, bool) {
		word, ok := pick(text, name)
		v, err := strconv.ParseFloat(word, 64)
		return v, ok && err == nil
	})
}

// pick finds a value in NAME:VALUE;...
func pick(text, name string) (string, bool) {
	for word := range strings.SplitSeq(text, ";") {
		if k, value, ok := strings.Cut(word, ":"); ok && k == name {
			return value, true
		}
	}
	return "", false
}

// sweep looks at what is late, and at how far a stop is.
func (n *Proxy) sweep() {
	n.l.After(sweepMs, n.sweep)
	now := n.l.Now()
	n.tellWatch(health.Event{Kind: health.Tick})
	n.close(connmgr.Event{Kind: connmgr.Tick})
	for _, b := range n.boxes {
		b.sweep(now)
	}
	n.releases(release.Event{Kind: release.Tick})
	for _, a := range n.stop.Step(now, shutdown.Status{StopRequested: n.term, SkipDrain: n.hurry, PendingRequests: n.waiting,
		PlayingSessions: len(n.sessions) - n.waiting, UnsentMessages: n.unsent()}, nil) {
		n.stopping(a)
	}
}

// stopping carries out what decide/retire says.
func (n *Proxy) stopping(a shutdown.Action) {
	switch a {
	case shutdown.RefuseNewSessions: // what still comes was sent by clients that can't know, and is taken until the door closes
	case shutdown.CloseListeners:
		n.listen.StopAccepting()
	case shutdown.FailPending:
		for _, s := range n.sessions {
			if s.state == asked {
				n.abandon(s)
			}
		}
	case shutdown.EndSessions: // they stand at their media nodes, and the next start of this director is handed them
	case shutdown.CloseAllConnections:
		n.Done()
	}
}

// abandon answers a set-up that can't be waited for any longer: failed, since its attempt may run.
func (n *Proxy) abandon(s *session) {
	n.stats.Failed++
	t := s.try
	n.tell(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.no})
	n.final(s, causeError, 0)
	if t != nil {
		t.step(attempt.Event{Kind: attempt.Cancelled})
	}
}

// unsent counts what a stop waits for once all is answered: connections whose peers have not taken what was written,
// and releases that no viewer has confirmed.
func (n *Proxy) unsent() int {
	count := n.pending.Len()
	for _, v := range n.viewers {
		if v.c.Pending() > 0 {
			count++
		}
	}
	for _, b := range n.boxes {
		for _, k := range b.links {
			if k.c.Pending() > 0 {
				count++
			}
		}
	}
	return count
}
