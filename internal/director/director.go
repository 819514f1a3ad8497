// Package director is one running director: it turns what passes on sockets
// into events for the decision modules and carries their actions out. It owns
// the session table, the viewers' connections and those to boxes and to the
// list service. It decides nothing: where and at which rung is the module's,
// whether a request is one under way is decide/once's, what became of a set-up
// is decide/attempt's, which sessions are lost with a box is decide/boxes',
// which list counts is decide/fleet's, and how it stops is decide/retire's.
//
// A request's way, in files: front.go (accept, parse, token) - path.go (ledger
// and module, their actions) - setup.go (the set-up at a box) - answer.go (the
// answer). Notes of boxes come by boxes.go, the box list by list.go.
//
// Everything runs on the loop's goroutine.
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

const tickMs = 50 // ms between looks at time limits and at the ledgers' own times

// title is one entry of the catalogue with the module's number for it.
type title struct {
	*config.Title
	number uint64
	class  int
}

// Stats counts what a director did since its start.
type Stats struct {
	Asked, Played, Refused, Failed, Denied, Elsewhere uint64
	Attempts, Lost, Late, Orphans, Lists, CutSlow     uint64
	Shed, Checks, ReportsTaken, ReportsDropped        uint64
}

// Director is one director. All methods but Post-safe Stop are for the loop's goroutine.
type Director struct {
	cfg    *config.Settings
	l      *loop.Loop
	log    *slog.Logger
	boot   string // distinguishes this run's sessions at the boxes
	seed   uint64
	listen *loop.Listener

	module   *headmill.Controller
	ledger   *idempotency.Ledger
	watch    *health.Monitor
	fleet    *discovery.List
	stop     *shutdown.Shutdown
	gate     *limits.Admission
	sizes    limits.CapacityEstimator
	views    views
	accounts limits.Quotas
	check    *token.Checker
	pool     *token.Pool
	titles   map[string]*title

	// What waits for the decision modules, in the order in which it was seen.
	moduleIn []headmill.Event
	ledgerIn []idempotency.Event
	watchIn  []health.Event
	module0  []headmill.Event
	ledger0  []idempotency.Event
	watch0   []health.Event
	acts     []headmill.Action
	flushing bool

	sessions map[idempotency.SessionID]*session
	viewers  map[*viewer]struct{}
	waiters  map[idempotency.RequestID]*order
	sockets  map[*socket]struct{}
	boxes    map[headmill.NodeID]*box
	list     listClient

	lastSession  idempotency.SessionID
	lastWaiter   idempotency.RequestID
	parsers      []*http1.Parser
	scratch      []byte
	body         []byte
	saidFull     float64
	agentAddr    string
	memory       []metrics.Sample
	nextSweep    float64
	nextBoxSweep float64
	nextSockets  float64
	nextMeasure  float64
	batch        int // events handed over since the load was last measured
	ending       int
	asked        bool
	hurry        bool
	History      *history.Writer // of closed windows; nil: none. Its owner closes it after the loop has ended
	Trace        *trace.Tracer   // of sampled sessions; nil: none. Its owner closes it after the loop has ended
	Done         func()          // called once when the director has stopped
	ListenFD     int             // a listening socket that was handed over; 0: open one
	stats        Stats
}

// New makes a director on a loop; Start opens it. The keys check session tokens.
func New(cfg *config.Settings, l *loop.Loop, keys []token.Key, log *slog.Logger) (*Director, error) {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("director: %w", err)
	}
	d := &Director{cfg: cfg, l: l, log: log, boot: fmt.Sprintf("%08x", b[8:]), seed: cfg.Director.Seed,
		titles: map[string]*title{}, sessions: map[idempotency.SessionID]*session{}, viewers: map[*viewer]struct{}{},
		waiters: map[idempotency.RequestID]*order{}, sockets: map[*socket]struct{}{}, boxes: map[headmill.NodeID]*box{}}
	if d.seed == 0 {
		d.seed = binary.LittleEndian.Uint64(b[:])
	}
	var err error
	if d.module, err = headmill.New(cfg.Module(), d.seed); err != nil {
		return nil, err
	}
	for i := range cfg.Titles {
		t := &cfg.Titles[i]
		d.titles[t.Name] = &title{Title: t, number: xxhash.Sum64String(t.Name) | 1, class: cfg.ClassIndex(t.Class)}
	}
	d.check = token.NewChecker(keys, cfg.Tokens.Cache, time.Duration(cfg.Tokens.SkewMs*float64(time.Millisecond)))
	workers := cfg.Tokens.Workers
	if workers == 0 {
		workers = runtime.NumCPU() - 1
	}
	d.pool = token.NewPool(workers, cfg.Tokens.Queue, l.Post)
	d.ledger = idempotency.New(idempotency.Config{Self: max(cfg.Self(), 0), Directors: cfg.Director.Directors,
		MaxEntries: cfg.Limits.Entries, MaxWaiters: cfg.Limits.Waiters, UnclaimedTTLMs: cfg.Times.UnclaimedTTLMs, DetachedTTLMs: cfg.Times.DetachedTTLMs,
		ClockSkewMs: cfg.Tokens.SkewMs, RetryAfterMs: cfg.Attempts.MaxRetryAfterMs, LateAnswerMs: cfg.Times.LateAnswerMs,
		StartedMs: l.Now(), FirstStart: cfg.Director.FirstStart, ShardPaid: len(cfg.Director.Directors) > 1})
	d.setGate()
	d.setViews()
	t := &cfg.Times
	d.watch = health.New(health.Config{StreamTimeoutMs: t.NodeStreamTimeoutMs, NodeTimeoutMs: t.NodeTimeoutMs, MinRetryMs: 100, MaxRetryMs: 1000,
		IdleTimeoutMs: t.NodeIdleMs, OpenTimeoutMs: t.NodeStreamTimeoutMs})
	d.fleet = discovery.New(discovery.Config{MaxNodes: cfg.Limits.Nodes, Cells: cfg.Fleet.Cells, Kinds: len(cfg.Fleet.StreamsByKind)})
	d.stop = shutdown.New(shutdown.Config{NoticeMs: t.NoticeMs, SetupDrainMs: t.SetupDrainMs, SessionDrainMs: t.SessionDrainMs, EndConfirmMs: t.EndConfirmMs})
	d.list.d = d
	return d, nil
}

// Start listens, connects to the list service and begins to serve.
func (d *Director) Start() error {
	var ln *loop.Listener
	var err error
	if d.ListenFD > 0 {
		ln, err = d.l.ListenFD(d.ListenFD, d.accept)
	} else {
		ln, err = d.l.Listen(d.cfg.Director.Listen, d.accept)
	}
	if err != nil {
		return err
	}
	d.listen = ln
	if err := d.listenAgent(); err != nil {
		return err
	}
	d.list.connect()
	d.l.OnRound(d.flush)
	d.tick()
	return nil
}

// Addr is the address that viewers connect to.
func (d *Director) Addr() string { return d.listen.Addr() }

// Stats returns the counts. For the loop's goroutine.
func (d *Director) Stats() Stats { return d.stats }

// Boxes is the number of boxes on the believed list. For the loop's goroutine.
func (d *Director) Boxes() int { return d.fleet.Len() }

// SetKeys changes the key set while the director runs. For the loop's goroutine.
func (d *Director) SetKeys(keys []token.Key) { d.check.SetKeys(keys) }

// Stop asks the director to stop, the second time in a hurry. It may be called from any goroutine.
func (d *Director) Stop() {
	d.l.Post(func() {
		d.hurry = d.asked
		d.asked = true
		d.retire()
	})
}

func (d *Director) tick() {
	d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.Tick})
	d.watchIn = append(d.watchIn, health.Event{Kind: health.Tick})
	d.sweepViewers()
	d.sweepSockets()
	d.measure()
	d.look()
	d.sweepBoxes()
	d.list.sweep()
	d.retire()
	d.l.After(tickMs, d.tick)
}

// retire carries out how the director stops.
func (d *Director) retire() {
	playing := 0
	if d.asked {
		for _, s := range d.sessions {
			if s.state == plays {
				playing++
			}
		}
	}
	for _, a := range d.stop.Step(d.l.Now(), shutdown.Status{StopRequested: d.asked, SkipDrain: d.hurry,
		PendingRequests: len(d.waiters), PlayingSessions: playing, UnconfirmedEnds: d.ending}, nil) {
		d.log.Info("stopping", "phase", d.stop.Phase().String(), "waiting", len(d.waiters), "playing", playing)
		switch a {
		case shutdown.RefuseNewSessions:
			d.ledger.Stop()
			for v := range d.viewers {
				v.lastCall()
			}
		case shutdown.CloseListeners:
			d.listen.Close()
		case shutdown.FailPending:
			for id := range d.sessions {
				d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SetupFailed, Session: id, Reason: idempotency.ReasonShuttingDown})
			}
		case shutdown.EndSessions:
			for _, s := range d.sessions {
				if s.state == plays {
					d.endAtBox(s)
				}
			}
		case shutdown.CloseAllConnections:
			d.flush()
			for v := range d.viewers {
				v.c.CloseWrite()
			}
			for k := range d.sockets {
				k.close(ws.GoingAway, "this director is leaving")
			}
			go d.pool.Close()
			if d.Done != nil {
				d.Done()
			}
		}
	}
}

// wall is the time that tokens are checked against.
func (d *Director) wall() time.Time { return time.Now() }

func (d *Director) name(s *session) string {
	return fmt.Sprintf("%s.%s.%d", d.cfg.Director.Name, d.boot, s.id)
}

// parseName finds the session that a box speaks of; false for one of an earlier run or of another director.
func (d *Director) parseName(name string) (idempotency.SessionID, bool) {
	rest, ok := strings.CutPrefix(name, d.cfg.Director.Name+"."+d.boot+".")
	if !ok {
		return 0, false
	}
	var id idempotency.SessionID
	for _, c := range rest {
		if c < '0' || c > '9' || id > 1<<32/10-1 {
			return 0, false
		}
		id = id*10 + idempotency.SessionID(c-'0')
	}
	return id, len(rest) > 0
}
