// Package director runs one director process. It converts socket input into
// events for the decision packages and carries out the actions they return.
// It owns the session table, the connections of viewers, and the connections
// to media nodes and to the discovery service.
//
// The package makes no decisions itself:
//
//	headmill            placement and rungs (the decision module)
//	decide/limits       admission control, retry advice and memory quotas
//	decide/idempotency  whether a request is new or belongs to a known session
//	decide/attempt      the outcome of a set-up attempt
//	decide/health       which sessions are lost with a media node
//	decide/discovery    which node list is in force
//	decide/quality      findings from players' reports
//	decide/shutdown     the phases of a stop
//
// A request passes through http.go or websocket.go (accept, parse, check the
// token), request.go (admission control and the ledger), session.go (actions
// of the ledger and the module), setup.go (the attempt at a media node) and
// response.go (the answer). The event streams of media nodes are read in
// nodestream.go, the node list in discovery.go.
//
// A session in the table has one of these states:
//
//	sessionPending  the module is placing it; entered at StartSetup. Goes to
//	                sessionPlaying when an attempt succeeds. A refusal or a
//	                failure is passed to the ledger, and the entry stays
//	                until ForgetSession. AdoptSession, after a late success,
//	                also leads to sessionPlaying
//	sessionPlaying  it streams from its media node. Goes to sessionEnded when
//	                the node reports its end, the node is lost, or this
//	                director ends it
//	sessionEnded    it has ended; the ledger may still know it. Removed at
//	                ForgetSession
//
// Log lines, metrics, traces and messages use external names, which stay as
// they are: "box" is a media node, "brand" a tenant, "why" a reason, "again"
// whether a request is a retry, and "plays" stands for playing.
//
// All state belongs to the goroutine of the event loop.
package director

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/metrics"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"headmill"
	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/decide/health"
	"headmill/decide/idempotency"
	"headmill/decide/limits"
	"headmill/decide/shutdown"
	"headmill/internal/config"
	"headmill/internal/history"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/token"
	"headmill/internal/trace"
	"headmill/internal/ws"
)

// tickIntervalMs is the interval, in ms, at which deadlines and the timers of the decision packages are checked. They
// are noticed up to this much late.
const tickIntervalMs = 50

// sweepIntervalMs is the minimum time, in ms, between two sweeps of all connections of viewers, and between two
// measurements of the director's load. nodeSweepIntervalMs is the same for media nodes. A sweep visits each connection
// or each media node, so it does not run in each tick.
const (
	sweepIntervalMs     = 250
	nodeSweepIntervalMs = 1000
)

// logIntervalMs is the minimum time, in ms, between two log lines about a condition that may recur often.
const logIntervalMs = 2000

// title is a catalogue entry with its number in the decision module and the index of its class.
type title struct {
	*config.Title
	number uint64
	class  int
}

// Stats counts events since the start of the director.
//
//	Requests           requests for a session whose token is valid
//	Played             requests answered with a session that plays
//	Refused            requests refused by the module, by admission control or at a limit, also at one that is checked
//	                   before a request counts in Requests; nothing was set up for them
//	Failed             requests answered with a failure
//	Denied             messages rejected since their token, or what it names, is not valid; not in Requests
//	Redirected         requests answered with the address of the director that owns the token
//	Attempts           set-ups sent to media nodes
//	LostSessions       sessions lost with their media nodes
//	LateSuccesses      sessions that turned out to play after their attempt had been given up
//	EndedOrphans       sessions ended at media nodes because this director does not know them
//	NodeLists          accepted messages of the discovery service
//	SlowReaders        connections of viewers closed because too much output was pending
//	AdmissionRefusals  those of Refused that admission control refused
//	AgentChecks        agent checks of load balancers
//	ReportsAccepted    reports of players passed to decide/quality
//	ReportsDropped     reports of players dropped: too frequent, too long, over a quota, or of a session not known there
type Stats struct {
	Requests, Played, Refused, Failed, Denied, Redirected                       uint64
	Attempts, LostSessions, LateSuccesses, EndedOrphans, NodeLists, SlowReaders uint64
	AdmissionRefusals, AgentChecks, ReportsAccepted, ReportsDropped             uint64
}

// Director is one running director. Once the loop runs, its methods must be called on the loop's goroutine, except
// Stop, ServeMetrics, ServeOperator, Addr and AgentAddr, which may be called from any goroutine.
type Director struct {
	cfg      *config.Settings
	loop     *loop.Loop
	log      *slog.Logger
	bootID   string // part of session names at the media nodes; differs in each run of the director
	seed     uint64
	listener *loop.Listener

	module       *headmill.Controller
	ledger       *idempotency.Ledger
	health       *health.Monitor
	nodeList     *discovery.List
	shutdown     *shutdown.Shutdown
	admission    *limits.Admission
	capacity     limits.CapacityEstimator
	quality      qualityState
	quotas       limits.Quotas
	descriptors  limits.Descriptors
	tokenChecker *token.Checker
	tokenPool    *token.Pool
	titles       map[string]*title

	// Events queued for the decision packages, in order of arrival. The spare slices are the previous batches, reused
	// as the next queues.
	moduleEvents      []headmill.Event
	ledgerEvents      []idempotency.Event
	healthEvents      []health.Event
	spareModuleEvents []headmill.Event
	spareLedgerEvents []idempotency.Event
	spareHealthEvents []health.Event
	moduleActions     []headmill.Action
	stepping          bool

	sessions map[idempotency.SessionID]*session
	// lostSessions are those that were given up and still hold what they use, as their media nodes may play them.
	lostSessions map[idempotency.SessionID]*session
	viewers      map[*viewerConn]struct{}
	connManager  *connmgr.Manager
	connOwners   map[connmgr.ConnID]connOwner
	requests     map[idempotency.RequestID]*sessionRequest
	webSockets   map[*webSocket]struct{}
	nodes        map[headmill.NodeID]*mediaNode
	discovery    discoveryClient

	lastConnID          connmgr.ConnID
	lastSessionID       idempotency.SessionID
	lastRequestID       idempotency.RequestID
	freeParsers         []*http1.Parser
	writeBuffer         []byte
	manifestBuffer      []byte
	lastConnLimitLogAt  float64 // loop time, ms, as are the next* fields
	agentCheckAddr      string
	memorySamples       []metrics.Sample
	nextViewerSweep     float64
	nextNodeSweep       float64
	nextWebSocketSweep  float64
	nextLoadMeasurement float64
	maxBatch            int // largest batch of events in one step since the load was last measured
	unconfirmedEnds     int
	tokenChecks         int // requests whose token is being verified
	stopRequested       bool
	skipDrain           bool
	// History stores closed windows; may be nil. Its owner closes it after the loop has ended.
	History *history.Writer
	// Trace traces sampled sessions; may be nil. Its owner closes it after the loop has ended.
	Trace    *trace.Tracer
	Done     func() // called once when the director has stopped; may be nil
	ListenFD int    // inherited listening socket; 0 opens a new one
	stats    Stats
}

// New returns a director that runs on the given loop. keys verify session tokens. The director serves once Start is
// called.
func New(cfg *config.Settings, eventLoop *loop.Loop, keys []token.Key, log *slog.Logger) (*Director, error) {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("director: %w", err)
	}
	d := &Director{
		cfg:          cfg,
		loop:         eventLoop,
		log:          log,
		bootID:       fmt.Sprintf("%08x", b[8:]),
		seed:         cfg.Director.Seed,
		titles:       map[string]*title{},
		sessions:     map[idempotency.SessionID]*session{},
		lostSessions: map[idempotency.SessionID]*session{},
		viewers:      map[*viewerConn]struct{}{},
		connOwners:   map[connmgr.ConnID]connOwner{},
		requests:     map[idempotency.RequestID]*sessionRequest{},
		webSockets:   map[*webSocket]struct{}{},
		nodes:        map[headmill.NodeID]*mediaNode{},
	}
	if d.seed == 0 {
		d.seed = binary.LittleEndian.Uint64(b[:])
	}
	var err error
	if d.module, err = headmill.New(cfg.ModuleConfig(), d.seed); err != nil {
		return nil, err
	}
	for i := range cfg.Titles {
		t := &cfg.Titles[i]
		// The lowest bit is set so that no title has the number 0.
		d.titles[t.Name] = &title{Title: t, number: xxhash.Sum64String(t.Name) | 1, class: cfg.ClassIndex(t.Class)}
	}
	d.tokenChecker = token.NewChecker(keys, cfg.Tokens.Cache,
		time.Duration(cfg.Tokens.SkewMs*float64(time.Millisecond)))
	workers := cfg.Tokens.Workers
	if workers == 0 {
		workers = runtime.NumCPU() - 1
	}
	d.tokenPool = token.NewPool(workers, cfg.Tokens.Queue, eventLoop.Post)
	d.ledger = idempotency.New(idempotency.Config{
		Self:           max(cfg.Self(), 0),
		Directors:      cfg.Director.Directors,
		MaxEntries:     cfg.Limits.LedgerEntries,
		MaxWaiters:     cfg.Limits.Waiters,
		UnclaimedTTLMs: cfg.Times.UnclaimedTTLMs,
		DetachedTTLMs:  cfg.Times.DetachedTTLMs,
		ClockSkewMs:    cfg.Tokens.SkewMs,
		RetryAfterMs:   cfg.Attempts.MaxRetryAfterMs,
		LateAnswerMs:   cfg.Times.LateAnswerMs,
		StartedAtMs:    eventLoop.Now(),
		FirstStart:     cfg.Director.FirstStart,
		ShardPaid:      len(cfg.Director.Directors) > 1,
	})
	d.descriptors = limits.PlanDescriptors(loop.MaxDescriptors())
	eventLoop.SetMaxLingering(d.descriptors.Lingering)
	d.connManager = connmgr.New(connmgr.Config{RequestGraceMs: requestGraceMs, KeepSessions: true})
	d.initAdmission()
	d.initQuality()
	t := &cfg.Times
	d.health = health.New(health.Config{
		StreamTimeoutMs:     t.NodeStreamTimeoutMs,
		NodeTimeoutMs:       t.NodeTimeoutMs,
		MinRetryMs:          100, // delay before an event stream is opened again; doubles up to MaxRetryMs
		MaxRetryMs:          1000,
		IdleTimeoutMs:       t.NodeIdleMs,
		OpenTimeoutMs:       t.NodeStreamTimeoutMs,
		LostRetentionMs:     health.LostRetentionMs,
		StreamListsSessions: true,
	})
	d.nodeList = discovery.New(discovery.Config{
		MaxNodes: cfg.Limits.Nodes,
		Cells:    cfg.Fleet.Cells,
		Kinds:    len(cfg.Fleet.StreamsByKind),
	})
	d.shutdown = shutdown.New(shutdown.Config{
		NoticeMs:       t.NoticeMs,
		AnswerMs:       t.SetupDrainMs,
		SessionDrainMs: t.SessionDrainMs,
		EndConfirmMs:   t.EndConfirmMs,
	})
	d.discovery.director = d
	return d, nil
}

// Start opens the listeners, connects to the discovery service and begins to serve.
func (d *Director) Start() error {
	var ln *loop.Listener
	var err error
	if d.ListenFD > 0 {
		ln, err = d.loop.ListenFD(d.ListenFD, d.accept)
	} else {
		ln, err = d.loop.Listen(d.cfg.Director.Listen, d.accept)
	}
	if err != nil {
		return err
	}
	d.listener = ln
	ln.SetGate(d.makeRoom)
	if err := d.listenAgentChecks(); err != nil {
		return err
	}
	d.discovery.connect()
	d.loop.OnIteration(d.stepModules)
	d.tick()
	return nil
}

// Addr returns the address that viewers connect to.
func (d *Director) Addr() string { return d.listener.Addr() }

// Stats returns the counters. It must be called on the loop's goroutine.
func (d *Director) Stats() Stats { return d.stats }

// NodeCount returns the number of media nodes on the node list in force. It must be called on the loop's goroutine.
func (d *Director) NodeCount() int { return d.nodeList.Len() }

// SetKeys replaces the key set of a running director. It must be called on the loop's goroutine.
func (d *Director) SetKeys(keys []token.Key) { d.tokenChecker.SetKeys(keys) }

// Stop requests an orderly shutdown; a second call skips the session drain. It may be called from any goroutine.
func (d *Director) Stop() {
	d.loop.Post(func() {
		d.skipDrain = d.stopRequested
		d.stopRequested = true
		d.stepShutdown()
	})
}

// tick runs the periodic checks and schedules the next tick.
func (d *Director) tick() {
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.Tick})
	d.healthEvents = append(d.healthEvents, health.Event{Kind: health.Tick})
	d.sweepViewers()
	d.sweepWebSockets()
	d.measureLoad()
	d.stepQuality()
	d.sweepNodes()
	d.discovery.closeIfSilent()
	d.stepShutdown()
	d.loop.After(tickIntervalMs, d.tick)
}

// stepShutdown advances the shutdown and carries out its actions.
func (d *Director) stepShutdown() {
	playing := 0
	if d.stopRequested {
		for _, s := range d.sessions {
			if s.state == sessionPlaying || s.unclaimed() {
				playing++
			}
		}
	}
	for _, a := range d.shutdown.Step(d.loop.Now(), shutdown.Status{
		StopRequested:   d.stopRequested,
		SkipDrain:       d.skipDrain,
		PendingRequests: len(d.requests) + d.tokenChecks,
		PlayingSessions: playing,
		UnconfirmedEnds: d.unconfirmedEnds,
	}, nil) {
		d.log.Info("stopping", "phase", d.shutdown.Phase().String(), "waiting", len(d.requests), "playing", playing)
		switch a {
		case shutdown.RefuseNewSessions:
			d.ledger.Stop()
			for v := range d.viewers {
				v.drain()
			}
		case shutdown.CloseListeners:
			d.listener.StopAccepting()
		case shutdown.FailPending:
			for id := range d.sessions {
				d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
					Kind:    idempotency.SetupFailed,
					Session: id,
					Reason:  idempotency.ReasonShuttingDown,
				})
			}
		case shutdown.EndSessions:
			d.endAllSessions()
		case shutdown.CloseAllConnections:
			d.closeAll()
		}
	}
}

// endAllSessions ends all sessions at their media nodes, with those that no viewer has claimed.
func (d *Director) endAllSessions() {
	for _, s := range d.sessions {
		switch {
		case s.state == sessionPlaying:
			d.endAtNode(s)
		case s.unclaimed():
			d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
				Kind:        idempotency.EndRequested,
				Key:         s.claims.jti,
				Fingerprint: s.claims.fingerprint,
			})
		}
	}
}

// closeAll closes all connections of viewers at the end of a shutdown. What has arrived on them by then is read, and
// requests are refused.
func (d *Director) closeAll() {
	for v := range d.viewers {
		v.conn.ReadAvailable()
	}
	for w := range d.webSockets {
		w.conn.ReadAvailable()
	}
	d.stepModules()
	for v := range d.viewers {
		v.conn.CloseGracefully()
	}
	for w := range d.webSockets {
		w.close(ws.CloseGoingAway, "this director is leaving") // text to clients: external
	}
	go d.tokenPool.Close()
	if d.Done != nil {
		d.Done()
	}
}

// wallClock returns the time that tokens are checked against.
func (d *Director) wallClock() time.Time { return time.Now() }

// sessionName returns the name of a session at media nodes. It is unique across directors and their restarts.
func (d *Director) sessionName(s *session) string {
	return fmt.Sprintf("%s.%s.%d", d.cfg.Director.Name, d.bootID, s.id)
}

// parseSessionName returns the session ID in a session name. It returns false for a name of an earlier run or of
// another director.
func (d *Director) parseSessionName(name string) (idempotency.SessionID, bool) {
	rest, ok := strings.CutPrefix(name, d.cfg.Director.Name+"."+d.bootID+".")
	if !ok {
		return 0, false
	}
	var id idempotency.SessionID
	for _, c := range rest {
		if c < '0' || c > '9' || id > 1<<32/10-1 { // a further digit could exceed 32 bits
			return 0, false
		}
		id = id*10 + idempotency.SessionID(c-'0')
	}
	return id, len(rest) > 0
}
