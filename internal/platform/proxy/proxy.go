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
	causeFull         = 34
	causeCongested    = 42
	causeNeverRan     = 102
	causeNormal       = 16
	causeCancelled    = 31
	causeReset        = 41
	causeError        = 47
	causeMissingField = 96  // a field that is needed is missing
	causeInvalidField = 100 // a field that can't be used
)

const (
	quotaMemoryDivisor  = 8       // of limits.memory_mb: what set-ups that wait may hold, and once more what sessions may
	sessionEntryBytes   = 1 << 10 // bytes that a session in the table is reckoned at
	sweepIntervalMs     = 100.0   // between looks at what is late: a tenth of the second in which releases are due (PROTOCOL)
	endConfirmMs        = 400.0   // for a media node's last word on a session that its viewer ended; none is owed (PROTOCOL)
	releaseRetentionMs  = 8000.0  // for which a release that no viewer has confirmed is kept (PROTOCOL, "The rules on sockets")
	releaseRetransmitMs = 333.0   // for its confirmation: a third of the second in which a viewer must hear (same place)
	shutdownNoticeMs    = 1500.0  // after SIGTERM: requests come for 0.6 s, and all are taken (DAYS, "New configurations and restarts")
	maxDrainDeadlineMs  = 3000.0  // that a deadline counts for a stop (same place)
	drainMarginMs       = 550.0   // beyond it, in which what waits is answered: SIGKILL comes 700 ms beyond it (same place)
	rungUnknown         = -1      // rung of a session of the start, until its media node tells it
)

type sessionState uint8

const (
	statePending sessionState = iota
	statePlaying
	stateEnding
	stateEnded
)

// session is one entry of the table, from its set-up to its last word.
type session struct {
	id             uint64
	moduleID       headmill.SessionID
	state          sessionState
	rung, sentRung int     // the module's last word; what its media node was told, or unknown
	viewer         *viewer // of its set-up; nil once that connection is closed
	className      string
	title          string
	sdp            string // until it stands
	deadline       float64
	answerEnd      int64 // bytes that its connection has written once the whole answer has left
	node           *mediaNode
	attempt        *setupAttempt
	endTimer       *loop.Timer // of ending
}

// Stats counts what happened since the start.
type Stats struct {
	Requests, Played, Refused, Denied, Failed, ViewersLeft, InvalidRequests, Lost, Malformed, Attempts, Opened int
}

// Node is one director.
type Proxy struct {
	cfg           *Config
	loop          *loop.Loop
	log           *slog.Logger
	module        *headmill.Controller
	nodeList      *discovery.List
	healthMonitor *health.Monitor
	shutdown      *shutdown.Shutdown
	discovery     discoveryClient
	listener      *loop.Listener

	events, spareEvents []headmill.Event
	healthEvents        []health.Event
	actions             []headmill.Action
	flushing            bool
	unixOffsetMs        float64 // Unix time, ms, of the loop's zero

	sessions           map[uint64]*session
	sessionsByModuleID map[headmill.SessionID]*session
	lastModuleID       headmill.SessionID
	nodes              map[headmill.NodeID]*mediaNode
	viewers            map[connmgr.ConnID]*viewer
	lastConnID         connmgr.ConnID
	connManager        *connmgr.Manager
	closeActions       []connmgr.Action
	quotas             limits.Quotas
	retransmitter      *release.Retransmitter
	nodeConnCount      int
	pendingSetups      int // sessions in asked
	stopRequested      bool
	skipDrain          bool
	outBuf             []byte
	lineMsg            jsonline.Message
	stats              Stats
	// Done is called once when the director has stopped.
	Done func()
}

// New makes a director on a loop; Start opens it.
func New(cfg *Config, l *loop.Loop, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{cfg: cfg, loop: l, log: log, sessions: map[uint64]*session{}, sessionsByModuleID: map[headmill.SessionID]*session{},
		nodes: map[headmill.NodeID]*mediaNode{}, viewers: map[connmgr.ConnID]*viewer{}, Done: func() {}}
	p.unixOffsetMs = float64(time.Now().UnixMicro())/1000 - l.Now()
	var err error
	if p.module, err = headmill.New(cfg.Module, cfg.Seed); err != nil {
		return nil, err
	}
	m := &cfg.Module
	p.nodeList = discovery.New(discovery.Config{MaxNodes: 4096, Cells: m.Cells, Kinds: len(cfg.Vocabulary.Kinds), VersionsMayRestart: true})
	p.healthMonitor = health.New(healthConfig(cfg))
	p.shutdown = shutdown.New(shutdown.Config{NoticeMs: shutdownNoticeMs, SetupDrainMs: math.Min(slices.Max(cfg.DeadlineMs), maxDrainDeadlineMs) + drainMarginMs,
		SessionDrainMs: math.Inf(1), EndConfirmMs: releaseRetentionMs})
	p.connManager = connmgr.New(connmgr.Config{MaxConns: cfg.Sockets / 2, ReadTimeoutMs: readTimeoutMs, IdleTimeoutMs: idleTimeoutMs})
	most := 1 << 16
	if held := int64(cfg.MemoryMB * (1 << 20) / quotaMemoryDivisor); held > 0 {
		p.quotas.SetLimit(limits.Waiting, held)
		p.quotas.SetLimit(limits.Sessions, held/sessionEntryBytes)
		most = int(held / sessionEntryBytes)
	}
	p.retransmitter = release.New(release.Config{RetentionMs: releaseRetentionMs, RetransmitMs: releaseRetransmitMs, MaxPending: most}, p)
	p.discovery.proxy = p
	if err := l.SetLocalAddr(cfg.Listen); err != nil {
		return nil, err
	}
	l.SetMaxLingering(cfg.Sockets / 16)
	return p, nil
}

// silence says when a media node that is not heard is asked for a connection, and when its sessions are lost. Loads come
// on one session of each media node once in TellMs, as late as ToldLateMs: silence for longer is a sign, with two
// connections' time over for the loop's own lateness. Where none are told, answers have to do, and a client's longest wait
// stands for the interval. Whatever the settings say, viewers hear of a lost session within the protocol's 8 s: a media
// node that is only quiet proves itself by taking a connection.
func healthConfig(cfg *Config) health.Config {
	quiet := cfg.Module.ReportIntervalMs + cfg.Module.ReportDelayMs + 2*cfg.ConnectMs
	if cfg.Module.ReportIntervalMs == 0 {
		quiet = slices.Max(cfg.DeadlineMs)
	}
	quiet = math.Min(quiet, releaseRetentionMs/2)
	return health.Config{StreamTimeoutMs: quiet, NodeTimeoutMs: quiet + math.Min(3*cfg.ConnectMs, releaseRetentionMs/4), MinRetryMs: cfg.ConnectMs / 4,
		MaxRetryMs: 2 * cfg.ConnectMs, IdleTimeoutMs: cfg.KeepAliveMs / 3, OpenTimeoutMs: cfg.ConnectMs + sweepIntervalMs/2}
}

// Start takes the list of the start, asks the name service and opens the door.
func (p *Proxy) Start() error {
	known, err := p.cfg.Snapshot.Message(p.cfg.Vocabulary)
	if err != nil {
		return err
	}
	if err := p.applyNodeList(&known); err != nil {
		return err
	}
	p.flush()
	if p.listener, err = p.loop.Listen(p.cfg.Listen, p.acceptViewer); err != nil {
		return err
	}
	if err := p.discovery.connect(p.cfg.DNS); err != nil {
		return err
	}
	p.loop.OnRound(p.flush)
	p.loop.After(sweepIntervalMs, p.sweep)
	return nil
}

// Addr is the address listened on.
func (p *Proxy) Addr() string { return p.listener.Addr() }

// Stats is what happened so far.
func (p *Proxy) Stats() Stats { return p.stats }

// Stop begins to stop; a second call hurries. It may be called from any goroutine.
func (p *Proxy) Stop() { p.loop.Post(func() { p.skipDrain = p.stopRequested; p.stopRequested = true }) }

// Reload takes a configuration read anew: the name service may have another address. The rest holds from the start.
func (p *Proxy) Reload(cfg *Config) {
	p.loop.Post(func() {
		if err := p.discovery.connect(cfg.DNS); err != nil {
			p.log.Error("name service's new address can't be used; the old one stays", "dns", cfg.DNS, "error", err.Error())
		}
	})
}

// now is the Unix time in ms, the clock of the modules and of the name service's starts.
func (p *Proxy) now() float64 { return p.unixOffsetMs + p.loop.Now() }

// flush hands what has gathered to the decision modules until nothing is left. It runs at the end of each round of the
// loop, so that what came in one round is decided as one batch, in its order.
func (p *Proxy) flush() {
	if p.flushing {
		return
	}
	p.flushing = true
	for len(p.events)+len(p.healthEvents) > 0 {
		if in := p.healthEvents; len(in) > 0 {
			p.healthEvents = nil
			for _, a := range p.healthMonitor.Step(p.loop.Now(), in, nil) {
				p.applyHealthAction(a)
			}
		}
		if in := p.events; len(in) > 0 {
			p.events, p.spareEvents = p.spareEvents[:0], in
			p.actions = p.module.Step(p.now(), in, p.actions[:0])
			for i := range p.actions {
				p.applyModuleAction(&p.actions[i])
			}
		}
	}
	p.flushing = false
}

func (p *Proxy) queueEvent(ev headmill.Event) { p.events = append(p.events, ev) }

func (p *Proxy) queueHealthEvent(ev health.Event) { p.healthEvents = append(p.healthEvents, ev) }

// take judges a list and tells the module.
func (p *Proxy) applyNodeList(m *discovery.Message) error {
	ev, verdict, err := p.nodeList.Apply(p.now(), m)
	if verdict == discovery.Accepted || len(ev.Nodes) > 0 {
		p.queueEvent(ev)
	}
	if verdict == discovery.Accepted {
		for i := range m.Entries {
			e := &m.Entries[i]
			if n := p.nodes[discovery.NodeIDFromName(e.Name)]; n != nil && n.addr != e.Addr {
				n.changeAddr(e.Addr)
			}
		}
	}
	return err
}

// fromModule carries out what the module says; every kind of action is here.
func (p *Proxy) applyModuleAction(a *headmill.Action) {
	s := p.sessionsByModuleID[a.Session]
	switch a.Kind {
	case headmill.ActSetup:
		if s != nil && s.state == statePending {
			p.startAttempt(s, a.Node, a.AtMs)
		} else { // its viewer left in the same round: the module must not wait for an attempt that is never made
			p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: a.Session, Node: a.Node,
				Outcome: headmill.NeverSent, SessionOver: true})
		}
	case headmill.ActSetRung:
		if s != nil {
			s.rung = a.Rung
			p.sendRung(s)
		}
	case headmill.ActRefuse:
		if s != nil && s.state == statePending {
			p.stats.Refused++
			p.rejectSetup(s, causeCongested, a.RetryAfterMs)
		}
	case headmill.ActFail:
		if s != nil && s.state == statePending {
			p.stats.Failed++
			p.rejectSetup(s, causeError, 0)
		}
	case headmill.ActTimer:
		name := a.Timer
		p.loop.At(a.AtMs-p.unixOffsetMs, func() { p.queueEvent(headmill.Event{Kind: headmill.EvTimer, Timer: name}) })
	case headmill.ActSubscribe: // the name service is asked all the time
	case headmill.ActLog:
		p.log.Warn(a.Text)
	}
}

// final answers a set-up that is not to stand, and forgets it.
func (p *Proxy) rejectSetup(s *session, cause int, waitMs float64) {
	if f := s.viewer; f != nil {
		f.sendRelease(s.id, cause, waitMs)
	}
	p.removeSession(s)
}

func (p *Proxy) removeSession(s *session) {
	p.detachViewer(s)
	if s.state == statePending {
		p.releaseSetupQuota(s)
	}
	p.loop.Cancel(s.endTimer)
	s.state = stateEnded
	p.quotas.Release(limits.Sessions, 1)
	if p.sessions[s.id] == s {
		delete(p.sessions, s.id)
	}
	delete(p.sessionsByModuleID, s.moduleID)
}

// settled gives back what a set-up held while it waited.
func (p *Proxy) releaseSetupQuota(s *session) {
	p.pendingSetups--
	p.quotas.Release(limits.Waiting, int64(len(s.sdp)))
	s.sdp = ""
}

// leave takes a session off its viewer's connection.
func (p *Proxy) detachViewer(s *session) {
	if f := s.viewer; f != nil {
		delete(f.pending, s)
		delete(f.playing, s)
		s.viewer = nil
		f.reportLoad()
	}
}

// request makes the module's request out of a set-up. At a bound it is refused here, with the settings' time to come
// back: the module never hears of it, so nothing of it can have run.
func (p *Proxy) startSession(v *viewer, id uint64, r *setupRequest) {
	held := int64(len(r.sdp))
	switch {
	case r.playingAt != "" && !p.nodeList.Listed(discovery.NodeIDFromName(r.playingAt)): // where it played is not there any more, so it is over
		p.log.Debug("session plays where no media node is listed", "host", r.playingAt)
		p.notifySessionEnd(v, id, causeReset)
		return
	case !p.quotas.Fits(limits.Sessions, 1), r.playingAt == "" && !p.quotas.Acquire(limits.Waiting, held):
		p.stats.Denied++
		wait := 0.0
		if m := &p.cfg.Module; m.RetryAfter {
			wait = m.MaxRetryAfterMs
		}
		v.sendRelease(id, causeCongested, wait)
		return
	}
	p.quotas.Acquire(limits.Sessions, 1)
	p.lastModuleID++
	s := &session{id: id, moduleID: p.lastModuleID, className: r.className, title: r.title, sdp: r.sdp, viewer: v,
		deadline: p.loop.Now() + r.timeLeftMs, rung: p.cfg.Module.Classes[r.class].MinRung}
	p.sessions[id], p.sessionsByModuleID[s.moduleID] = s, s
	ev := headmill.Event{Kind: headmill.EvRequest, Session: s.moduleID, Class: r.class, Title: r.titleKey, TimeLeftMs: r.timeLeftMs,
		FirstCell: r.firstCell, Copies: r.copies, MaxRung: r.maxRung}
	if r.playingAt != "" {
		p.adoptSession(s, discovery.NodeIDFromName(r.playingAt), ev)
		return
	}
	v.pending[s] = struct{}{}
	v.reportLoad()
	p.stats.Requests++
	p.pendingSetups++
	p.queueEvent(ev)
}

// adopt takes a session that plays at a media node already.
func (p *Proxy) adoptSession(s *session, server headmill.NodeID, ev headmill.Event) {
	p.stats.Opened++
	s.state, s.sentRung, s.sdp, s.node = statePlaying, rungUnknown, "", p.mediaNode(server)
	s.node.sessions[s.id] = s
	s.viewer.markPlaying(s)
	ev.Kind, ev.Node = headmill.EvExistingSession, server
	p.queueEvent(ev)
	p.queueHealthEvent(health.Event{Kind: health.SessionStarted, Node: health.NodeID(server), Session: health.SessionID(s.moduleID)})
}

// stands passes a media node's answer on, as the line that was made of it: the session plays.
func (p *Proxy) sessionPlaying(s *session, took float64, line []byte) {
	p.stats.Played++
	p.releaseSetupQuota(s)
	s.state = statePlaying
	s.node.sessions[s.id] = s
	if f := s.viewer; f != nil {
		f.conn.Write(line)
		s.answerEnd = f.conn.Written() + int64(f.conn.Pending())
		f.markPlaying(s)
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptPlaying, Session: s.moduleID, Node: s.node.id, LatencyMs: took})
	p.queueHealthEvent(health.Event{Kind: health.SessionStarted, Node: health.NodeID(s.node.id), Session: health.SessionID(s.moduleID)})
	p.sendRung(s) // what was set while the set-up was out and could not be told
}

// ended settles a session that stood: the module hears of it, and its viewer, where it is owed a release.
func (p *Proxy) sessionEnded(s *session, o headmill.Outcome, cause int, r headmill.Report) {
	if s.state != statePlaying && s.state != stateEnding {
		return
	}
	delete(s.node.sessions, s.id)
	p.log.Debug("session ended", "id", s.id, "host", s.node.name, "cause", cause, "state", s.state)
	if s.state == statePlaying && cause != causeCancelled {
		p.notifySessionEnd(s.viewer, s.id, cause)
	}
	p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: s.moduleID, Node: s.node.id, Outcome: o, SessionOver: true, Report: r})
	p.queueHealthEvent(health.Event{Kind: health.SessionEnded, Node: health.NodeID(s.node.id), Session: health.SessionID(s.moduleID)})
	p.removeSession(s)
}

// gone looks whether the viewer of a set-up has closed its connection and the loop has not read that yet; it then gives
// up all that waits there. An attempt that begins, or a session that stands, after its viewer has gone is nobody's.
func (p *Proxy) viewerDisconnected(s *session) bool {
	v := s.viewer
	if s.state != statePending || v == nil || !v.conn.WriteClosed() {
		return s.state == stateEnded
	}
	v.conn.Close(nil)
	for s := range v.pending {
		p.endedByViewer(s)
	}
	return true
}

// left is the viewer's own end of a session: a set-up given up, or one that stood.
func (p *Proxy) endedByViewer(s *session) {
	switch s.state {
	case statePending:
		p.stats.ViewersLeft++
		p.queueEvent(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.moduleID})
		a := s.attempt
		p.removeSession(s)
		if a != nil {
			a.step(attempt.Event{Kind: attempt.Cancelled})
		}
	case statePlaying:
		s.state = stateEnding
		s.node.sendRelease(s.id, p.loop.Now())
		s.endTimer = p.loop.After(endConfirmMs, func() {
			s.endTimer = nil
			p.sessionEnded(s, headmill.Cancelled, causeCancelled, headmill.Report{})
		})
	}
}

// owe sees to it that a viewer hears of its session's end.
func (p *Proxy) notifySessionEnd(front *viewer, id uint64, cause int) {
	ev := release.Event{Kind: release.SessionEnded, Session: release.SessionID(id), Cause: cause}
	if front != nil && front.conn.Open() {
		ev.Conn = front.id
	}
	p.stepRetransmitter(ev)
}

// releases tells decide/release a fact and writes what it says. A connection that has closed meanwhile says so itself,
// and the release comes up again.
func (p *Proxy) stepRetransmitter(ev release.Event) {
	for _, a := range p.retransmitter.Step(p.loop.Now(), ev, nil) {
		if v := p.viewers[a.Conn]; v != nil {
			v.sendRelease(uint64(a.Session), a.Cause, 0)
		}
	}
}

// Voice finds a connection for decide/release among those that can be written to.
func (p *Proxy) SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool) {
	return p.connManager.SelectForMessage(func(c connmgr.ConnID) bool {
		v := p.viewers[c]
		return v == nil || !v.conn.Open() || skip(c)
	})
}

// fromWatch carries out what decide/boxes says.
func (p *Proxy) applyHealthAction(a health.Action) {
	n := p.nodes[headmill.NodeID(a.Node)]
	if n == nil {
		return
	}
	switch a.Kind {
	case health.OpenStream:
		n.ensureConn()
	case health.CloseStream:
		n.closeUnusedConns()
	case health.SessionLost, health.EndOrphan:
		if s := p.sessionsByModuleID[headmill.SessionID(a.Session)]; s != nil && s.state != statePending {
			p.stats.Lost++
			p.sessionEnded(s, headmill.Reset, causeReset, headmill.Report{})
		}
	case health.NodeDown:
		p.log.Warn("media node is down; its sessions are given up", "host", n.name, "sessions", a.Count)
	}
}

// report reads a load report: NAME:VALUE;... with the names of the settings.
func (p *Proxy) parseReport(b []byte) headmill.Report {
	text := string(b)
	return wire.ReadReport(p.cfg.ReportFields, func(_ int, name string) (float64, bool) {
		word, ok := reportValue(text, name)
		v, err := strconv.ParseFloat(word, 64)
		return v, ok && err == nil
	})
}

// pick finds a value in NAME:VALUE;...
func reportValue(text, name string) (string, bool) {
	for word := range strings.SplitSeq(text, ";") {
		if k, value, ok := strings.Cut(word, ":"); ok && k == name {
			return value, true
		}
	}
	return "", false
}

// sweep looks at what is late, and at how far a stop is.
func (p *Proxy) sweep() {
	p.loop.After(sweepIntervalMs, p.sweep)
	now := p.loop.Now()
	p.queueHealthEvent(health.Event{Kind: health.Tick})
	p.stepConnManager(connmgr.Event{Kind: connmgr.Tick})
	for _, n := range p.nodes {
		n.sweep(now)
	}
	p.stepRetransmitter(release.Event{Kind: release.Tick})
	for _, a := range p.shutdown.Step(now, shutdown.Status{StopRequested: p.stopRequested, SkipDrain: p.skipDrain, PendingRequests: p.pendingSetups,
		PlayingSessions: len(p.sessions) - p.pendingSetups, UnsentMessages: p.unsentMessages()}, nil) {
		p.applyShutdownAction(a)
	}
}

// stopping carries out what decide/retire says.
func (p *Proxy) applyShutdownAction(a shutdown.Action) {
	switch a {
	case shutdown.RefuseNewSessions: // what still comes was sent by clients that can't know, and is taken until the door closes
	case shutdown.CloseListeners:
		p.listener.StopAccepting()
	case shutdown.FailPending:
		for _, s := range p.sessions {
			if s.state == statePending {
				p.failSetup(s)
			}
		}
	case shutdown.EndSessions: // they stand at their media nodes, and the next start of this director is handed them
	case shutdown.CloseAllConnections:
		p.Done()
	}
}

// abandon answers a set-up that can't be waited for any longer: failed, since its attempt may run.
func (p *Proxy) failSetup(s *session) {
	p.stats.Failed++
	a := s.attempt
	p.queueEvent(headmill.Event{Kind: headmill.EvViewerLeft, Session: s.moduleID})
	p.rejectSetup(s, causeError, 0)
	if a != nil {
		a.step(attempt.Event{Kind: attempt.Cancelled})
	}
}

// unsent counts what a stop waits for once all is answered: connections whose peers have not taken what was written,
// and releases that no viewer has confirmed.
func (p *Proxy) unsentMessages() int {
	count := p.retransmitter.Len()
	for _, v := range p.viewers {
		if v.conn.Pending() > 0 {
			count++
		}
	}
	for _, n := range p.nodes {
		for _, nc := range n.conns {
			if nc.conn.Pending() > 0 {
				count++
			}
		}
	}
	return count
}
