// Package proxy runs one director on the JSON-lines platform: it speaks JSON
// lines with viewers, binary frames with media nodes and DNS with the discovery
// service. It forwards messages about sessions, but no media. Package
// internal/director is the director with the HTTP protocols.
//
// PROTOCOL and DAYS in comments are pages of the platform's owners that fix
// these numbers. Keys in log lines and names in messages are external names and
// stay as they are ("host" is a media node).
//
// It owns the sessions and all connections. It turns what arrives on sockets
// into events for the decision packages, and carries out the actions that they
// return. It makes no decision itself:
//
//	headmill          placement, rung, refusals and their retry advice (the decision module)
//	decide/attempt    outcome of a set-up that was sent to a media node
//	decide/discovery  which node list is valid
//	decide/health     which sessions are lost with a media node
//	decide/connmgr    which connections from viewers are kept
//	decide/inputorder when a set-up is placed whose viewer has sent more that is still unread
//	decide/nodepool   which connection to a media node carries what, how many there are, which one makes room
//	decide/release    which connection carries the release of an ended session, and when it is repeated
//	decide/redelivery when a media node gets a connection for releases that it sends again, and what it is sent again
//	decide/shutdown   the steps of a stop
//
// A session passes these states:
//
//	state         meaning                                       next
//	statePending  an attempt is out or about to be sent         playing: a media node has answered;
//	                                                            ended: refused, failed or given up by its viewer
//	statePlaying  the session plays at its media node           ending: its viewer ends it;
//	                                                            ended: the media node ends it or is lost
//	stateEnding   its viewer has ended it; the media node's     ended: that release has come,
//	              release is awaited                            or endConfirmMs have passed
//	stateEnded    removed from the session table                -
package proxy

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"headmill"
	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/decide/health"
	"headmill/decide/inputorder"
	"headmill/decide/limits"
	"headmill/decide/nodepool"
	"headmill/decide/release"
	"headmill/decide/shutdown"
	"headmill/internal/loop"
	"headmill/internal/platform/jsonline"
	"headmill/internal/wire"
)

// Causes of releases. The numbers are those of ITU-T Q.850, except that the platform's protocol gives 102 (recovery on
// timer expiry) a meaning of its own. The first three are refusals: a retry after them is harmless.
const (
	causeFull         = 34  // the media node has no capacity
	causeCongested    = 42  // the director refuses
	causeNeverRan     = 102 // the media node states that the set-up never ran
	causeNormal       = 16  // the session has ended normally
	causeCancelled    = 31  // the session was ended by its viewer
	causeReset        = 41  // the session was cut off
	causeError        = 47  // the set-up failed and may have run
	causeMissingField = 96  // a required field is missing
	causeInvalidField = 100 // a field has an unusable value
)

const (
	// quotaMemoryDivisor sets two memory quotas: the session descriptions of pending set-ups, and the session table,
	// may each hold limits.memory_mb divided by it.
	quotaMemoryDivisor = 8
	// sessionEntryBytes is what one session counts as in its quota, bytes.
	sessionEntryBytes = 1 << 10
	// sweepIntervalMs is the time between checks of timeouts: a tenth of the second within which releases are due
	// (PROTOCOL).
	sweepIntervalMs = 100.0
	// endConfirmMs is the time that a media node has for its release of a session that the viewer ended. The protocol
	// does not require that release (PROTOCOL).
	endConfirmMs = 400.0
	// releaseRetentionMs is the time for which a release that no viewer has confirmed is kept (PROTOCOL, "The rules on
	// sockets"). Viewers of a lost session must be notified within the same time, see healthTiming.
	releaseRetentionMs = 8000.0
	// releaseRetransmitMs is the time to wait for a confirmation before the release is repeated: a third of the second
	// within which a viewer must be notified (PROTOCOL, "The rules on sockets").
	releaseRetransmitMs = 333.0
	// maxEarlyEnds limits the remembered ends of sessions that viewers have not named.
	maxEarlyEnds = 512
	// givenUpRetentionMs and maxGivenUpSetups limit the paid set-ups that are remembered after their viewers gave them up.
	givenUpRetentionMs = 20000.0
	maxGivenUpSetups   = 4096
	// maxUsualLagMs is the longest iteration of the event loop that is not logged.
	maxUsualLagMs = 100.0
)

// Stats counts events since the start. The "stopped" log line prints the struct, so the field names are external names.
type Stats struct {
	// Set-ups of viewers, by what became of them:
	//
	//	Asked    passed to the decision module
	//	Played   answered with a session
	//	Refused  refused by the module
	//	Denied   refused before they reached the module: at a memory limit, late in a stop, or at a close
	//	Failed   failed by the module, or still pending at the end of a stop
	//	Left     pending set-ups that their viewers gave up
	//	Bad      invalid set-ups, malformed lines, and connections closed for sending no set-up, or part of a line
	//	         only, in time
	//
	// Others:
	//
	//	Lost      sessions lost with their media nodes
	//	Spoilt    malformed messages of media nodes, and answers too long to be passed on
	//	Attempts  attempts, that is set-ups sent to media nodes
	//	Opened    sessions adopted, since they already played
	Asked, Played, Refused, Denied, Failed, Left, Bad, Lost, Spoilt, Attempts, Opened int
}

// Proxy is one director on the JSON-lines platform. Except for Stop and Reload, its methods must be called on the
// goroutine of its event loop.
type Proxy struct {
	cfg           *Config
	loop          *loop.Loop
	log           *slog.Logger
	module        *headmill.Controller
	nodeList      *discovery.List
	freshness     discovery.Freshness
	healthMonitor *health.Monitor
	shutdown      *shutdown.Shutdown
	shutdownTimes shutdown.Config
	discovery     discoveryClient
	listener      *loop.Listener

	events, spareEvents []headmill.Event // queued for the module; the previous batch's buffer, reused
	healthEvents        []health.Event   // queued for the health monitor
	actions             []headmill.Action
	flushing            bool
	holding             bool    // placing waits for a list; see holdPlacing
	queuedLists         int     // node lists at the front of events
	unixOffsetMs        float64 // Unix time, ms, at which the loop's clock was 0

	sessions           map[uint64]*session // by protocol id
	sessionsByModuleID map[headmill.SessionID]*session
	lastModuleID       headmill.SessionID
	nodes              map[headmill.NodeID]*mediaNode
	viewers            map[connmgr.ConnID]*viewer
	lastConnID         connmgr.ConnID
	connManager        *connmgr.Manager
	closeActions       []connmgr.Action
	quotas             limits.Quotas
	retransmitter      *release.Retransmitter
	earlyEnds          release.EarlyEnds
	givenUpSetups      release.GivenUpSetups
	nodeConnCount      int // open connections to all media nodes
	connLimits         nodepool.Limits
	poolBuf            []nodepool.Conn // see mediaNode.pool
	pendingSetups      int             // sessions in statePending
	unplaced           map[inputorder.RequestID]unplacedRequest
	stopRequested      bool
	skipDrain          bool
	outBuf             []byte           // reused for outgoing messages
	lineMsg            jsonline.Message // reused for incoming lines
	stats              Stats
	// Done is called once when the director has stopped.
	Done func()
}

// New makes a director on an event loop. It serves once Start is called.
func New(cfg *Config, eventLoop *loop.Loop, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{cfg: cfg, loop: eventLoop, log: log, sessions: map[uint64]*session{},
		sessionsByModuleID: map[headmill.SessionID]*session{}, nodes: map[headmill.NodeID]*mediaNode{},
		viewers: map[connmgr.ConnID]*viewer{}, connLimits: connLimits(cfg),
		unplaced: map[inputorder.RequestID]unplacedRequest{}, Done: func() {}}
	p.unixOffsetMs = float64(time.Now().UnixMicro())/1000 - eventLoop.Now()
	var err error
	if p.module, err = headmill.New(cfg.Module, cfg.Seed); err != nil {
		return nil, err
	}
	module := &cfg.Module
	p.nodeList = discovery.New(discovery.Config{MaxNodes: 4096, Cells: module.Cells, Kinds: len(cfg.Vocabulary.Kinds),
		VersionsMayRestart: true})
	p.healthMonitor = health.New(healthTiming(cfg).Config())
	p.shutdownTimes = shutdownConfig(cfg)
	p.shutdown = shutdown.New(p.shutdownTimes)
	// File descriptors: at most a half for connections of viewers, a third for those to media nodes (dial) and a
	// sixteenth for connections that linger after their close. The rest is for the listener, DNS and the process.
	p.connManager = connmgr.New(connmgr.Config{MaxConns: cfg.Sockets / 2, ReadTimeoutMs: readTimeoutMs,
		IdleTimeoutMs: idleTimeoutMs, RequestGraceMs: requestGraceMs})
	maxReleases := 1 << 16 // if the configuration states no memory limit
	if quota := int64(cfg.MemoryMB * (1 << 20) / quotaMemoryDivisor); quota > 0 {
		p.quotas.SetLimit(limits.PendingSetups, quota)
		p.quotas.SetLimit(limits.Sessions, quota/sessionEntryBytes)
		maxReleases = int(quota / sessionEntryBytes)
	}
	p.retransmitter = release.New(release.Config{RetentionMs: releaseRetentionMs, RetransmitMs: releaseRetransmitMs,
		MaxPending: maxReleases}, p)
	p.earlyEnds = release.EarlyEnds{RetentionMs: releaseRetentionMs, MaxEnds: maxEarlyEnds}
	p.givenUpSetups = release.GivenUpSetups{RetentionMs: givenUpRetentionMs, MaxSetups: maxGivenUpSetups}
	p.freshness = discovery.Freshness{MaxAgeMs: propagationMs, MaxHoldMs: maxStallHoldMs,
		Confirmations: stallConfirmations}
	p.discovery.proxy = p
	if err := eventLoop.SetLocalAddr(cfg.Listen); err != nil {
		return nil, err
	}
	eventLoop.SetMaxLingering(cfg.Sockets / 16)
	return p, nil
}

// Start applies the configured node list, starts to query the discovery service and accepts viewers.
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
	p.listener.SetGate(p.makeRoomForViewer)
	if err := p.discovery.connect(p.cfg.DNS); err != nil {
		return err
	}
	p.loop.OnIteration(p.flush)
	p.loop.OnStall(stallMs, p.holdPlacing)
	p.loop.After(sweepIntervalMs, p.sweep)
	return nil
}

// Addr returns the address listened on.
func (p *Proxy) Addr() string { return p.listener.Addr() }

// Stats returns the counters.
func (p *Proxy) Stats() Stats { return p.stats }

// Reload applies the address of the discovery service from a configuration that was read again. All other settings stay
// as they were at the start. It may be called from any goroutine.
func (p *Proxy) Reload(cfg *Config) {
	p.loop.Post(func() {
		if err := p.discovery.connect(cfg.DNS); err != nil {
			p.log.Error("name service's new address can't be used; the old one stays", "dns", cfg.DNS,
				"error", err.Error())
		}
	})
}

// now returns the Unix time in ms: the clock of headmill and decide/discovery, as the discovery service sends the start
// times of media nodes in Unix time. The other decide packages get the loop's time.
func (p *Proxy) now() float64 { return p.unixOffsetMs + p.loop.Now() }

// flush passes the queued events to the decision packages until none is left. It runs at the end of each iteration of
// the loop, so that all that arrived in one iteration is decided as one batch, in its order.
func (p *Proxy) flush() {
	if p.loop.Elapsed() > stallMs { // the process stood still in this iteration
		p.holdPlacing()
	}
	if p.flushing || p.holding && !p.resumePlacing() {
		return
	}
	p.flushing = true
	for len(p.events)+len(p.healthEvents) > 0 {
		if batch := p.healthEvents; len(batch) > 0 {
			p.healthEvents = nil
			for _, action := range p.healthMonitor.Step(p.loop.Now(), batch, nil) {
				p.applyHealthAction(action)
			}
		}
		if batch := p.events; len(batch) > 0 {
			p.events, p.spareEvents, p.queuedLists = p.spareEvents[:0], batch, 0
			p.actions = p.module.Step(p.now(), batch, p.actions[:0])
			for i := range p.actions {
				p.applyModuleAction(&p.actions[i])
			}
		}
	}
	p.flushing = false
}

// queueEvent queues an event for the decision module.
func (p *Proxy) queueEvent(ev headmill.Event) { p.events = append(p.events, ev) }

// queueHealthEvent queues an event for the health monitor.
func (p *Proxy) queueHealthEvent(ev health.Event) { p.healthEvents = append(p.healthEvents, ev) }

// applyNodeList validates a node list, passes it to the module and moves media nodes whose address has changed.
func (p *Proxy) applyNodeList(list *discovery.Message) error {
	ev, verdict, err := p.nodeList.Apply(p.now(), list)
	if verdict != discovery.Stale || list.Version != p.nodeList.Version() { // most answers repeat the list in force
		p.log.Debug("node list received", "version", list.Version, "verdict", verdict.String(), "nodes", len(list.Entries),
			"in_force", p.nodeList.Version())
	}
	if verdict == discovery.Accepted || len(ev.Nodes) > 0 {
		p.queueNodeList(ev)
	}
	if verdict == discovery.Accepted {
		for i := range list.Entries {
			entry := &list.Entries[i]
			if n := p.nodes[discovery.NodeIDFromName(entry.Name)]; n != nil && n.addr != entry.Addr {
				n.changeAddr(entry.Addr)
			}
		}
		for _, n := range p.nodes {
			n.loseReplacedSessions()
			n.updateProcessStart()
		}
	}
	return err
}

// applyModuleAction carries out an action of the decision module. Every kind of action has a case.
func (p *Proxy) applyModuleAction(action *headmill.Action) {
	s := p.sessionsByModuleID[action.Session]
	switch action.Kind {
	case headmill.ActSetup:
		if s != nil && s.state == statePending {
			p.startAttempt(s, action.Node, action.AtMs)
		} else { // its viewer left in the same iteration: the module must not wait for an attempt that is never made
			p.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: action.Session, Node: action.Node,
				Outcome: headmill.OutcomeNeverRan, SessionOver: true})
		}
	case headmill.ActSetRung:
		if s != nil {
			s.rung = action.Rung
			p.sendRung(s)
		}
	case headmill.ActRefuse:
		if s != nil && s.state == statePending {
			p.stats.Refused++
			p.rejectSetup(s, causeCongested, action.RetryAfterMs)
		}
	case headmill.ActFail:
		if s != nil && s.state == statePending {
			p.stats.Failed++
			p.rejectSetup(s, causeError, 0)
		}
	case headmill.ActTimer:
		timer := action.TimerID
		p.loop.At(action.AtMs-p.unixOffsetMs, func() {
			p.queueEvent(headmill.Event{Kind: headmill.EvTimer, TimerID: timer})
		})
	case headmill.ActSubscribe: // nothing to do: the discovery service is queried all the time
	case headmill.ActLog:
		p.log.Warn(action.Text)
	}
}

// parseReport reads a load report, NAME:VALUE;..., with the names from the settings.
func (p *Proxy) parseReport(b []byte) headmill.LoadReport {
	text := string(b)
	return wire.ReadReport(p.cfg.ReportFields, func(_ int, name string) (float64, bool) {
		value, ok := namedValue(text, name)
		number, err := strconv.ParseFloat(value, 64)
		return number, ok && err == nil
	})
}

// namedValue finds the value of a name in NAME:VALUE;...
func namedValue(text, name string) (string, bool) {
	for pair := range strings.SplitSeq(text, ";") {
		if key, value, ok := strings.Cut(pair, ":"); ok && key == name {
			return value, true
		}
	}
	return "", false
}

// sweep checks timeouts and the progress of a stop. It runs every sweepIntervalMs.
func (p *Proxy) sweep() {
	p.loop.After(sweepIntervalMs, p.sweep)
	now := p.loop.Now()
	if lag := p.loop.MaxLag(); lag > maxUsualLagMs {
		p.log.Warn("event loop was late", "lag_ms", lag)
	}
	p.queueHealthEvent(health.Event{Kind: health.Tick})
	p.stepConnManager(connmgr.Event{Kind: connmgr.Tick})
	for _, n := range p.nodes {
		n.sweep(now)
	}
	p.stepRetransmitter(release.Event{Kind: release.Tick})
	p.stepShutdown()
}
