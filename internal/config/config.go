// Package config reads a director's settings from a TOML file and checks them.
// Each error names file, line and key and says what is expected. The package
// holds no state. Defaults exist for limits and times that an operator may
// change; the settings of the decision module are passed on unchanged, and the
// module validates them itself.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"headmill"
)

// Settings holds the whole file. Times are in ms, rates in kB/s and sizes in bytes unless a name says otherwise. The keys
// of the file and the texts of SettingError are external.
type Settings struct {
	Director  Director  `toml:"director"`
	Discovery Discovery `toml:"list"`
	Tokens    Tokens    `toml:"tokens"`
	Limits    Limits    `toml:"limits"`
	Times     Times     `toml:"times"`
	Ladder    Ladder    `toml:"ladder"`
	Fleet     Fleet     `toml:"fleet"`
	Attempts  Attempts  `toml:"attempts"`
	Admission Admission `toml:"gate"`
	Quality   Quality   `toml:"quality"`
	History   History   `toml:"history"`
	Trace     Trace     `toml:"trace"`
	Tenants   []Tenant  `toml:"brand"`
	Classes   []Class   `toml:"class"`
	Titles    []Title   `toml:"title"`
	Log       Log       `toml:"log"`
}

// Director identifies this director, its addresses and the other directors.
type Director struct {
	Name       string   `toml:"name"`
	Listen     string   `toml:"listen"`
	Directors  []string `toml:"directors"` // names of all directors, in the same order on each
	URLs       []string `toml:"urls"`      // public URL of each, in the order of directors
	Agent      string   `toml:"agent"`     // IPv4:PORT for the agent checks of load balancers; empty: none
	Operator   string   `toml:"operator"`  // IPv4:PORT of the operator API (gRPC); empty: none
	Metrics    string   `toml:"metrics"`   // IPv4:PORT of /metrics; empty: none
	Zone       int      `toml:"zone"`
	Seed       uint64   `toml:"seed"`        // of the random numbers; 0: chosen at start-up
	FirstStart bool     `toml:"first_start"` // no earlier run accepted tokens: see docs/operate/director.md
}

// Admission configures admission control, which runs before the decision module: see docs/operate/limits.md.
type Admission struct {
	AdmitAll        bool    `toml:"pass_all"`     // admit every request
	MinRetryAfterMs float64 `toml:"min_retry_ms"` // smallest retry advice
	RetryMemoryMs   float64 `toml:"remember_ms"`  // how long refused requests are remembered
	MaxRefusals     int     `toml:"wishes"`       // refused requests remembered at most
	FullLagMs       float64 `toml:"lag_ms"`       // event loop lag that counts as full load
	FullQueue       float64 `toml:"queue"`        // waiting events that count as full load
	FullMemoryBytes float64 `toml:"memory_bytes"` // memory use that counts as full load; 0: not considered
}

// Quality configures the evaluation of players' reports: see docs/operate/quality.md.
type Quality struct {
	WindowMs           float64 `toml:"window_ms"`    // length of a window of event time
	AllowedLatenessMs  float64 `toml:"late_ms"`      // allowed lateness of reports
	MaxClockSkewMs     float64 `toml:"skew_ms"`      // largest clock skew assumed of a player
	SessionRetentionMs float64 `toml:"keep_ms"`      // how long the timeline of an ended session is kept
	DetectIntervalMs   float64 `toml:"look_ms"`      // interval between runs of the detector
	ConfirmMs          float64 `toml:"confirm_ms"`   // how long a cause must remain the best explanation before it is reported
	MaxGroups          int     `toml:"groups"`       // groups in a window at most
	SwitchCost         float64 `toml:"switch_cost"`  // quality units (the ladder's worth) per unit of quality change
	StallCost          float64 `toml:"stall_cost"`   // quality units per second of stall
	StartupCost        float64 `toml:"start_cost"`   // quality units per second of start-up
	ShortfallBelow     float64 `toml:"short_under"`  // fraction of the granted rate below which a session counts as short of its rate
	MinSessions        int     `toml:"min_sessions"` // of a group, for a finding
	MinScore           float64 `toml:"min_score"`    // log-likelihood gain required of a finding
	Relieve            bool    `toml:"relieve"`      // findings on racks and nodes are reported to the decision module
}

// History configures the storage of closed windows: see docs/operate/quality.md.
type History struct {
	Dir      string  `toml:"dir"`       // relative to the settings file; empty: no history
	SegmentS float64 `toml:"segment_s"` // seconds covered by one segment file
	MaxBytes int64   `toml:"max_bytes"` // of all segment files of this director
	MaxAgeS  float64 `toml:"max_age_s"` // age in seconds after which a segment file is removed
}

// Trace configures tracing.
type Trace struct {
	File        string  `toml:"file"` // relative to the settings file; empty: none
	SampleRatio float64 `toml:"part"` // sampling ratio of sessions, 0 to 1
}

// Tenant configures the capacity share of one tenant.
type Tenant struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"` // weight of its share of the capacity
	MaxShare float64 `toml:"most"`  // largest fraction of the capacity, borrowed capacity included; 0: no cap
}

// Discovery configures the discovery service.
type Discovery struct {
	Addr    string  `toml:"addr"` // IPv4:PORT
	Path    string  `toml:"path"`
	RetryMs float64 `toml:"retry_ms"` // pause before reconnecting
	// StreamTimeoutMs is the time without a byte after which the stream is considered broken; the service sends comments as
	// heartbeats.
	StreamTimeoutMs float64 `toml:"silent_ms"`
}

// Tokens configures the verification of session tokens.
type Tokens struct {
	Keys   string  `toml:"keys"`    // file of a JSON Web Key Set; relative to the settings file
	SkewMs float64 `toml:"skew_ms"` // tolerated clock skew
	Cache  int     `toml:"cache"`   // verified tokens per cache generation
	// Workers is the number of goroutines that verify signatures; 0: one less than the number of processors, at least 1.
	Workers int `toml:"workers"`
	Queue   int `toml:"queue"` // verifications that may be queued; further tokens are refused at once
}

// Limits bounds memory, connections and sessions.
type Limits struct {
	Connections       int `toml:"connections"`    // viewer connections
	Line              int `toml:"line"`           // bytes of a request line
	Head              int `toml:"head"`           // bytes of a request line and its header fields
	Fields            int `toml:"fields"`         // header fields of a request
	Body              int `toml:"body"`           // bytes of a request body
	Output            int `toml:"output"`         // bytes buffered for one viewer
	LedgerEntries     int `toml:"entries"`        // entries of the idempotency ledger
	Waiters           int `toml:"waiters"`        // requests that wait for one session
	Nodes             int `toml:"boxes"`          // media nodes
	IdleConnsPerNode  int `toml:"pool_per_box"`   // idle pooled connections to a media node
	EventBytes        int `toml:"event_bytes"`    // bytes of one event from discovery or from a media node
	ConnsPerNode      int `toml:"conns_per_box"`  // all connections to a media node
	Sessions          int `toml:"sessions"`       // sessions of this director
	CommandsPerNode   int `toml:"commands_a_box"` // rung changes and session ends queued for one media node
	TotalOutput       int `toml:"output_in_all"`  // bytes buffered for all viewers together
	TotalInput        int `toml:"input_in_all"`   // bytes buffered of all incomplete requests and messages together
	Reports           int `toml:"reports"`        // bytes of stored player reports
	Timelines         int `toml:"timelines"`      // bytes of the session timelines that quality is computed from
	Message           int `toml:"message"`        // bytes of a WebSocket message
	PendingPerSocket  int `toml:"socket_opens"`   // pending requests on one WebSocket connection
	SessionsPerSocket int `toml:"socket_holds"`   // sessions attached to one WebSocket connection
	SocketSessions    int `toml:"sockets"`        // sessions attached to all WebSocket connections together
}

// Times holds the timeouts of connections, media nodes and shutdown, in ms.
type Times struct {
	HeadMs              float64 `toml:"head_ms"`       // to receive a request head
	IdleMs              float64 `toml:"idle_ms"`       // of an idle viewer connection
	WriteMs             float64 `toml:"write_ms"`      // to send an answer to a viewer
	ConnectMs           float64 `toml:"connect_ms"`    // to connect to a media node
	NodeIdleMs          float64 `toml:"box_idle_ms"`   // of an idle pooled connection to a media node
	LateAnswerMs        float64 `toml:"late_ms"`       // how long a late answer to an at-most-once set-up is waited for
	UnclaimedTTLMs      float64 `toml:"hold_ms"`       // how long a session that no viewer has claimed is kept
	NodeStreamTimeoutMs float64 `toml:"box_silent_ms"` // silence after which a node's event stream counts as broken
	NodeTimeoutMs       float64 `toml:"box_lost_ms"`   // silence after which a node's sessions are given up
	SetupDrainMs        float64 `toml:"finish_ms"`     // at shutdown: for pending set-ups
	SessionDrainMs      float64 `toml:"play_ms"`       // at shutdown: for sessions that play
	EndConfirmMs        float64 `toml:"end_ms"`        // at shutdown: for media nodes to confirm session ends
	CommandMs           float64 `toml:"command_ms"`    // for a media node to answer a command
	PingMs              float64 `toml:"ping_ms"`       // silence after which a WebSocket connection is pinged
	PongMs              float64 `toml:"pong_ms"`       // further silence after which it is closed
	DetachedTTLMs       float64 `toml:"tie_ms"`        // how long a session outlives its WebSocket connection
	ReportMs            float64 `toml:"report_ms"`     // agreed interval between a player's reports on one session
	NoticeMs            float64 `toml:"notice_ms"`     // at shutdown: new sessions are refused before the listener closes
	AnswerMarginMs      float64 `toml:"margin_ms"`     // a viewer is answered at least this long before it gives up
}

// Ladder describes the ladder of rates, from the lowest rung to the highest.
type Ladder struct {
	RateKB          []float64 `toml:"rate_kb"`    // rate of each rung, kB/s
	Worth           []float64 `toml:"worth"`      // worth of each rung: utility per second; see headmill.Config.RungWorth
	Width           []int     `toml:"width"`      // picture width of each rung, pixels
	SegmentMs       float64   `toml:"segment_ms"` // duration of a media segment
	RungChangeCostS float64   `toml:"switch_s"`   // cost of a rung change, in seconds of the rungs' worth
}

// Fleet describes the media nodes as far as they are known in advance; see headmill.Config for its fields.
type Fleet struct {
	Cells            int     `toml:"cells"`
	Racks            int     `toml:"racks"`
	StreamsByKind    []int   `toml:"places"`
	LinkKBPerWeight  float64 `toml:"link_unit_kb"`
	TotalLinkKB      float64 `toml:"all_links_kb"`
	UplinkKB         float64 `toml:"uplink_kb"`
	WeightsKnown     bool    `toml:"weights_known"`
	ReportIntervalMs float64 `toml:"tell_ms"`
	ReportDelayMs    float64 `toml:"told_late_ms"`
	WarmUpMs         float64 `toml:"warm_within_ms"`
	ColdRateFraction float64 `toml:"cold_from"`
}

// Attempts bounds the attempts for a request; see headmill.Config for its fields.
type Attempts struct {
	Max                 int     `toml:"max"`
	RetryAfter          bool    `toml:"retry_after"`
	MaxRetryAfterMs     float64 `toml:"max_retry_after_ms"`
	RetryBudget         bool    `toml:"rationed"`
	RetryBudgetMin      float64 `toml:"min_extra"`
	RetryBudgetRatio    float64 `toml:"repeat_ratio"`
	RetryBudgetWindowMs float64 `toml:"look_back_ms"`
}

// Class configures one class of sessions; see headmill.Class for its fields.
type Class struct {
	Name        string  `toml:"name"`
	TargetMs    float64 `toml:"aim_ms"`
	GiveUpMs    float64 `toml:"give_up_ms"`
	Semantics   string  `toml:"repeat"` // repeatable, by_key or once
	KeyScope    string  `toml:"key_scope"`
	KeyTTLMs    float64 `toml:"key_ttl_ms"`
	Value       float64 `toml:"value"`
	RateScale   float64 `toml:"scale"`
	MinRung     int     `toml:"floor"`
	MaxRung     int     `toml:"top"` // -1 or absent: the ladder's highest
	MaxPerTitle int     `toml:"seats"`
}

// Title is an entry of the catalogue.
type Title struct {
	Name       string  `toml:"name"`
	Class      string  `toml:"class"`
	FirstCell  int     `toml:"home"`   // first of the consecutive cells that hold it
	Copies     int     `toml:"copies"` // number of these cells
	DurationMs float64 `toml:"duration_ms"`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"`
	File  string `toml:"file"` // empty: standard error
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		Director:  Director{Listen: "127.0.0.1:0"},
		Discovery: Discovery{Path: "/list", RetryMs: 250, StreamTimeoutMs: 5000},
		Tokens:    Tokens{SkewMs: 250, Cache: 8192, Queue: 1024},
		Limits: Limits{Connections: 20000, Line: 4608, Head: 16384, Fields: 64, Body: 65536,
			Output: 262144, LedgerEntries: 200000, Waiters: 8, Nodes: 1024, IdleConnsPerNode: 64, EventBytes: 1 << 20,
			ConnsPerNode: 512, Sessions: 100000, CommandsPerNode: 4096, TotalOutput: 256 << 20, TotalInput: 32 << 20, Reports: 16 << 20,
			Timelines: 64 << 20, Message: 16384, PendingPerSocket: 16, SessionsPerSocket: 64, SocketSessions: 100000},
		Quality: Quality{WindowMs: 5000, AllowedLatenessMs: 25000, MaxClockSkewMs: 3600e3, SessionRetentionMs: 120000,
			DetectIntervalMs: 500, ConfirmMs: 1500, MaxGroups: 4096, SwitchCost: 1, StallCost: 3, StartupCost: 0.2, ShortfallBelow: 0.9,
			MinSessions: 6, MinScore: 8, Relieve: true},
		Trace:     Trace{SampleRatio: 0.01},
		History:   History{SegmentS: 60, MaxBytes: 256 << 20, MaxAgeS: 30 * 86400},
		Admission: Admission{MinRetryAfterMs: 200, RetryMemoryMs: 30000, MaxRefusals: 100000, FullLagMs: 100, FullQueue: 20000},
		Times: Times{HeadMs: 5000, IdleMs: 60000, WriteMs: 10000, ConnectMs: 250, NodeIdleMs: 15000, LateAnswerMs: 10000,
			UnclaimedTTLMs: 8000, NodeStreamTimeoutMs: 3000, NodeTimeoutMs: 4000, SetupDrainMs: 6000,
			SessionDrainMs: 10000, EndConfirmMs: 1000, CommandMs: 2000, AnswerMarginMs: 25, PingMs: 20000,
			PongMs: 10000, DetachedTTLMs: 15000, ReportMs: 5000, NoticeMs: 250},
		Ladder:   Ladder{SegmentMs: 2000},
		Fleet:    Fleet{Cells: 1, Racks: 1},
		Attempts: Attempts{Max: 3, RetryAfter: true, MaxRetryAfterMs: 1000},
		Log:      Log{Level: "info"},
	}
}

// SettingError is one invalid setting and its position.
type SettingError struct {
	File    string
	Line    int // 0: the key is not in the file
	Key     string
	Message string
}

func (p SettingError) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Load reads and checks a file. The error joins one SettingError for each invalid setting. Relative paths in the file
// are resolved against its directory.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	if s.Trace.File != "" && !filepath.IsAbs(s.Trace.File) {
		s.Trace.File = filepath.Join(filepath.Dir(path), s.Trace.File)
	}
	if s.History.Dir != "" && !filepath.IsAbs(s.History.Dir) {
		s.History.Dir = filepath.Join(filepath.Dir(path), s.History.Dir)
	}
	if s.Tokens.Keys != "" && !filepath.IsAbs(s.Tokens.Keys) {
		s.Tokens.Keys = filepath.Join(filepath.Dir(path), s.Tokens.Keys)
	}
	return s, nil
}

// Parse decodes and checks a TOML text; file is its name in errors.
func Parse(file string, text []byte) (*Settings, error) {
	s := Default()
	dec := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, decodeError(file, err)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.RateScale == 0 {
			c.RateScale = 1
		}
		if c.MaxRung < 0 || c.MaxRung == 0 && !isKeySet(text, "class", i, "top") {
			c.MaxRung = len(s.Ladder.RateKB) - 1
		}
	}
	check := &checker{file: file, lines: keyLines(text), settings: &s}
	check.checkAll()
	if len(check.problems) > 0 {
		sort.SliceStable(check.problems, func(i, j int) bool { return check.problems[i].Line < check.problems[j].Line })
		var errs []error
		for _, p := range check.problems {
			errs = append(errs, p)
		}
		return nil, errors.Join(errs...)
	}
	return &s, nil
}

// isKeySet reports whether the text sets a key in entry i of an array of tables.
func isKeySet(text []byte, table string, index int, key string) bool {
	_, ok := keyLines(text)[fmt.Sprintf("%s[%d].%s", table, index, key)]
	return ok
}

// decodeError converts an error of the TOML decoder to SettingErrors where it has positions.
func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			errs = append(errs, SettingError{file, row, strings.Join(e.Key(), "."),
				"no such key; see docs/operate/director.md for all of them"})
		}
		return errors.Join(errs...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = "syntax"
		}
		return SettingError{file, row, key, strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// keyLines returns the line of every key by its path, for instance "times.head_ms" or "class[1].aim_ms".
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tableCounts := map[string]int{}
	prefix := ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		row := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			if row == 0 {
				row = p.Shape(n.Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = name
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", name, tableCounts[name])
			tableCounts[name]++
		case unstable.KeyValue:
			if prefix != "" {
				name = prefix + "." + name
			}
		default:
			continue
		}
		if e.Kind != unstable.KeyValue {
			name = prefix
		}
		if _, ok := lines[name]; !ok {
			lines[name] = row
		}
	}
	return lines
}

// checker collects the errors of one file.
type checker struct {
	file     string
	lines    map[string]int // line of each key
	settings *Settings
	problems []SettingError
}

// report records an error for a key, at the key's line or, if the file does not set it, at the line of its table.
func (c *checker) report(key, format string, args ...any) {
	line := c.lines[key]
	for table := key; line == 0 && strings.Contains(table, "."); {
		table = table[:strings.LastIndexByte(table, '.')]
		line = c.lines[table]
	}
	c.problems = append(c.problems, SettingError{c.file, line, key, fmt.Sprintf(format, args...)})
}

// checkAddr checks an IPv4 address on the loopback interface; zeroPort permits port 0.
func (c *checker) checkAddr(key, addr string, zeroPort bool) {
	addrPort, err := netip.ParseAddrPort(addr)
	switch {
	case err != nil:
		c.report(key, "%q is not IPv4:PORT", addr)
	case !addrPort.Addr().Is4() || !addrPort.Addr().IsLoopback():
		c.report(key, "%s is not on 127.0.0.0/8; this version serves the loopback interface only", addr)
	case addrPort.Port() == 0 && !zeroPort:
		c.report(key, "%s needs a port", addr)
	}
}

// checkMinimum checks that a number is at least minimum and no more than 1e12.
func (c *checker) checkMinimum(key string, v, minimum float64) {
	if !(v >= minimum) || v > 1e12 {
		c.report(key, "%v must be a number of at least %v", v, minimum)
	}
}

func (c *checker) checkAll() {
	s := c.settings
	director := &s.Director
	if director.Name == "" {
		c.report("director.name", "is needed, for instance name = \"d0\"")
	}
	c.checkAddr("director.listen", director.Listen, true)
	if director.Name != "" && len(director.Directors) > 0 && s.Self() < 0 {
		c.report("director.directors", "does not hold this director's own name %q", director.Name)
	}
	seen := map[string]bool{}
	for _, name := range director.Directors {
		if seen[name] {
			c.report("director.directors", "%q stands there twice", name)
		}
		seen[name] = true
	}
	if len(director.URLs) > 0 && len(director.URLs) != len(director.Directors) {
		c.report("director.urls", "has %d entries for %d directors", len(director.URLs), len(director.Directors))
	}
	if len(director.Directors) > 1 && len(director.URLs) == 0 {
		c.report("director.urls", "is needed with several directors: a paid token that arrives at the wrong one is sent on")
	}
	for _, url := range director.URLs {
		if !strings.HasPrefix(url, "http://") || strings.HasSuffix(url, "/") {
			c.report("director.urls", "%q is not http://IPv4:PORT without a final slash", url)
		}
	}
	c.checkAddr("list.addr", s.Discovery.Addr, false)
	if !strings.HasPrefix(s.Discovery.Path, "/") {
		c.report("list.path", "%q must begin with a slash", s.Discovery.Path)
	}
	if s.Tokens.Keys == "" {
		c.report("tokens.keys", "is needed: the file of a JSON Web Key Set (headmill token keys makes one)")
	}
	for _, bound := range []struct {
		key     string
		value   float64
		minimum float64
	}{
		{"list.retry_ms", s.Discovery.RetryMs, 10}, {"list.silent_ms", s.Discovery.StreamTimeoutMs, 100},
		{"tokens.skew_ms", s.Tokens.SkewMs, 0}, {"tokens.cache", float64(s.Tokens.Cache), 1},
		{"tokens.workers", float64(s.Tokens.Workers), 0}, {"tokens.queue", float64(s.Tokens.Queue), 1},
		{"limits.connections", float64(s.Limits.Connections), 1}, {"limits.line", float64(s.Limits.Line), 64},
		{"limits.head", float64(s.Limits.Head), 128}, {"limits.fields", float64(s.Limits.Fields), 4},
		{"limits.body", float64(s.Limits.Body), 0},
		{"limits.output", float64(s.Limits.Output), 4096}, {"limits.entries", float64(s.Limits.LedgerEntries), 1},
		{"limits.waiters", float64(s.Limits.Waiters), 1}, {"limits.boxes", float64(s.Limits.Nodes), 1},
		{"limits.pool_per_box", float64(s.Limits.IdleConnsPerNode), 0},
		{"limits.event_bytes", float64(s.Limits.EventBytes), 1024},
		{"limits.conns_per_box", float64(s.Limits.ConnsPerNode), 2},
		{"limits.sessions", float64(s.Limits.Sessions), 1},
		{"limits.commands_a_box", float64(s.Limits.CommandsPerNode), 1},
		{"times.head_ms", s.Times.HeadMs, 10}, {"times.idle_ms", s.Times.IdleMs, 10},
		{"times.write_ms", s.Times.WriteMs, 10}, {"times.connect_ms", s.Times.ConnectMs, 1},
		{"times.box_idle_ms", s.Times.NodeIdleMs, 10}, {"times.late_ms", s.Times.LateAnswerMs, 0},
		{"times.hold_ms", s.Times.UnclaimedTTLMs, 0}, {"times.box_silent_ms", s.Times.NodeStreamTimeoutMs, 50},
		{"times.box_lost_ms", s.Times.NodeTimeoutMs, 50}, {"times.finish_ms", s.Times.SetupDrainMs, 0},
		{"times.play_ms", s.Times.SessionDrainMs, 0}, {"times.end_ms", s.Times.EndConfirmMs, 0},
		{"times.command_ms", s.Times.CommandMs, 10}, {"times.margin_ms", s.Times.AnswerMarginMs, 0},
		{"times.ping_ms", s.Times.PingMs, 50}, {"times.pong_ms", s.Times.PongMs, 50},
		{"times.tie_ms", s.Times.DetachedTTLMs, 0},
		{"times.report_ms", s.Times.ReportMs, 1}, {"times.notice_ms", s.Times.NoticeMs, 0},
		{"limits.output_in_all", float64(s.Limits.TotalOutput), 65536},
		{"limits.input_in_all", float64(s.Limits.TotalInput), 65536},
		{"limits.reports", float64(s.Limits.Reports), 0}, {"limits.timelines", float64(s.Limits.Timelines), 0},
		{"limits.message", float64(s.Limits.Message), 1024}, {"limits.socket_opens", float64(s.Limits.PendingPerSocket), 1},
		{"limits.socket_holds", float64(s.Limits.SessionsPerSocket), 1},
		{"limits.sockets", float64(s.Limits.SocketSessions), 1},
		{"gate.min_retry_ms", s.Admission.MinRetryAfterMs, 0}, {"gate.remember_ms", s.Admission.RetryMemoryMs, 0},
		{"gate.wishes", float64(s.Admission.MaxRefusals), 1}, {"gate.lag_ms", s.Admission.FullLagMs, 1},
		{"gate.queue", s.Admission.FullQueue, 1},
		{"gate.memory_bytes", s.Admission.FullMemoryBytes, 0},
		{"quality.window_ms", s.Quality.WindowMs, 100}, {"quality.late_ms", s.Quality.AllowedLatenessMs, 0},
		{"quality.skew_ms", s.Quality.MaxClockSkewMs, 0},
		{"quality.keep_ms", s.Quality.SessionRetentionMs, 0}, {"quality.look_ms", s.Quality.DetectIntervalMs, 50},
		{"quality.confirm_ms", s.Quality.ConfirmMs, 0}, {"quality.groups", float64(s.Quality.MaxGroups), 8},
		{"quality.switch_cost", s.Quality.SwitchCost, 0}, {"quality.stall_cost", s.Quality.StallCost, 0},
		{"quality.start_cost", s.Quality.StartupCost, 0}, {"quality.short_under", s.Quality.ShortfallBelow, 0},
		{"quality.min_sessions", float64(s.Quality.MinSessions), 2}, {"quality.min_score", s.Quality.MinScore, 0},
		{"history.segment_s", s.History.SegmentS, 0.1}, {"history.max_bytes", float64(s.History.MaxBytes), 0},
		{"history.max_age_s", s.History.MaxAgeS, 0},
		{"trace.part", s.Trace.SampleRatio, 0},
		{"ladder.segment_ms", s.Ladder.SegmentMs, 100}, {"ladder.switch_s", s.Ladder.RungChangeCostS, 0},
		{"fleet.cells", float64(s.Fleet.Cells), 1}, {"fleet.racks", float64(s.Fleet.Racks), 1},
		{"fleet.link_unit_kb", s.Fleet.LinkKBPerWeight, 0}, {"fleet.all_links_kb", s.Fleet.TotalLinkKB, 0},
		{"fleet.uplink_kb", s.Fleet.UplinkKB, 0}, {"fleet.tell_ms", s.Fleet.ReportIntervalMs, 0},
		{"fleet.told_late_ms", s.Fleet.ReportDelayMs, 0}, {"fleet.warm_within_ms", s.Fleet.WarmUpMs, 0},
		{"fleet.cold_from", s.Fleet.ColdRateFraction, 0}, {"attempts.max", float64(s.Attempts.Max), 1},
		{"attempts.max_retry_after_ms", s.Attempts.MaxRetryAfterMs, 0},
		{"attempts.min_extra", s.Attempts.RetryBudgetMin, 0}, {"attempts.repeat_ratio", s.Attempts.RetryBudgetRatio, 0},
		{"attempts.look_back_ms", s.Attempts.RetryBudgetWindowMs, 0},
	} {
		c.checkMinimum(bound.key, bound.value, bound.minimum)
	}
	if s.Limits.Line > s.Limits.Head {
		c.report("limits.line", "%d is over limits.head, %d", s.Limits.Line, s.Limits.Head)
	}
	if director.Agent != "" {
		c.checkAddr("director.agent", director.Agent, true)
	}
	if director.Metrics != "" {
		c.checkAddr("director.metrics", director.Metrics, true)
	}
	if s.Trace.SampleRatio > 1 {
		c.report("trace.part", "%v is over 1, which is every session", s.Trace.SampleRatio)
	}
	if director.Operator != "" {
		c.checkAddr("director.operator", director.Operator, true)
	}
	tenantNames := map[string]bool{}
	for i, tenant := range s.Tenants {
		prefix := fmt.Sprintf("brand[%d].", i)
		if tenant.Name == "" || tenantNames[tenant.Name] {
			c.report(prefix+"name", "%q must be a name of its own", tenant.Name)
		}
		tenantNames[tenant.Name] = true
		c.checkMinimum(prefix+"share", tenant.Share, 0)
		if !(tenant.MaxShare >= 0) || tenant.MaxShare > 1 {
			c.report(prefix+"most", "%v must be a part from 0 (no cap) to 1", tenant.MaxShare)
		}
	}
	c.checkLadder()
	c.checkClasses()
	c.checkTitles()
	if len(c.problems) == 0 { // the decision module validates its own settings
		if cfg := s.ModuleConfig(); cfg.Validate() != nil {
			c.report("fleet", "%v", cfg.Validate())
		}
	}
}

func (c *checker) checkLadder() {
	ladder := &c.settings.Ladder
	if len(ladder.RateKB) == 0 {
		c.report("ladder.rate_kb", "is needed: the rate of each rung in kB a second, rising")
		return
	}
	for i, rate := range ladder.RateKB {
		if !(rate > 0) || i > 0 && rate <= ladder.RateKB[i-1] {
			c.report("ladder.rate_kb", "rung %d has %v; rates must be positive and rising", i, rate)
		}
	}
	if len(ladder.Worth) != len(ladder.RateKB) {
		c.report("ladder.worth", "has %d entries for %d rungs", len(ladder.Worth), len(ladder.RateKB))
	}
	if len(ladder.Width) != 0 && len(ladder.Width) != len(ladder.RateKB) {
		c.report("ladder.width", "has %d entries for %d rungs", len(ladder.Width), len(ladder.RateKB))
	}
}

func (c *checker) checkClasses() {
	if len(c.settings.Classes) == 0 {
		c.report("class", "at least one [[class]] is needed")
	}
	seen := map[string]bool{}
	for i := range c.settings.Classes {
		class, prefix := &c.settings.Classes[i], fmt.Sprintf("class[%d].", i)
		if class.Name == "" || seen[class.Name] {
			c.report(prefix+"name", "%q must be a name of its own", class.Name)
		}
		seen[class.Name] = true
		c.checkMinimum(prefix+"aim_ms", class.TargetMs, 1)
		c.checkMinimum(prefix+"give_up_ms", class.GiveUpMs, 1)
		c.checkMinimum(prefix+"value", class.Value, 0)
		c.checkMinimum(prefix+"scale", class.RateScale, 0.001)
		c.checkMinimum(prefix+"key_ttl_ms", class.KeyTTLMs, 0)
		if class.Semantics != "repeatable" && class.Semantics != "by_key" && class.Semantics != "once" {
			c.report(prefix+"repeat", "%q must be repeatable, by_key or once", class.Semantics)
		}
		if class.KeyScope != "" && class.KeyScope != "all" && class.KeyScope != "zone" && class.KeyScope != "cell" {
			c.report(prefix+"key_scope", "%q must be all, zone or cell", class.KeyScope)
		}
		if n := len(c.settings.Ladder.RateKB); class.MinRung < 0 || class.MinRung > class.MaxRung || class.MaxRung >= n {
			c.report(prefix+"floor", "floor %d and top %d do not fit a ladder of %d rungs", class.MinRung, class.MaxRung, n)
		}
		if class.MaxPerTitle < 0 {
			c.report(prefix+"seats", "%d must be 0 (no cap) or more", class.MaxPerTitle)
		}
		if class.GiveUpMs > c.settings.Times.SetupDrainMs {
			c.report("times.finish_ms", "%v is under the give_up_ms of class %q, %v: a stop would cut its answers short",
				c.settings.Times.SetupDrainMs, class.Name, class.GiveUpMs)
		}
	}
}

func (c *checker) checkTitles() {
	seen := map[string]bool{}
	for i := range c.settings.Titles {
		title, prefix := &c.settings.Titles[i], fmt.Sprintf("title[%d].", i)
		if title.Name == "" || seen[title.Name] || strings.ContainsAny(title.Name, "/?#% ") {
			c.report(prefix+"name", "%q must be a name of its own without / ? # %% or space", title.Name)
		}
		seen[title.Name] = true
		if c.settings.ClassIndex(title.Class) < 0 {
			c.report(prefix+"class", "there is no [[class]] named %q", title.Class)
		}
		if title.FirstCell < 0 || title.FirstCell >= c.settings.Fleet.Cells {
			c.report(prefix+"home", "cell %d of %d", title.FirstCell, c.settings.Fleet.Cells)
		}
		if title.Copies < 1 || title.Copies > c.settings.Fleet.Cells {
			c.report(prefix+"copies", "%d must be 1 to %d cells", title.Copies, c.settings.Fleet.Cells)
		}
		c.checkMinimum(prefix+"duration_ms", title.DurationMs, 100)
	}
}

// Self returns this director's index in Directors: 0 if that list is empty, -1 if the list does not contain its name.
func (s *Settings) Self() int {
	if len(s.Director.Directors) == 0 {
		return 0
	}
	for i, n := range s.Director.Directors {
		if n == s.Director.Name {
			return i
		}
	}
	return -1
}

// ClassIndex returns the index of the named class, or -1 if there is none.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// ModuleConfig returns the settings of the decision module.
func (s *Settings) ModuleConfig() headmill.Config {
	cfg := headmill.Config{
		FrontIndex: max(s.Self(), 0), Fronts: max(len(s.Director.Directors), 1), Zone: s.Director.Zone,
		RateKB: s.Ladder.RateKB, RungWorth: s.Ladder.Worth, RungChangeCostS: s.Ladder.RungChangeCostS,
		Cells: s.Fleet.Cells, Racks: s.Fleet.Racks, StreamsByKind: s.Fleet.StreamsByKind,
		LinkKBPerWeight: s.Fleet.LinkKBPerWeight, TotalLinkKB: s.Fleet.TotalLinkKB, UplinkKB: s.Fleet.UplinkKB,
		WeightsKnown:     s.Fleet.WeightsKnown,
		ReportIntervalMs: s.Fleet.ReportIntervalMs, ReportDelayMs: s.Fleet.ReportDelayMs, WarmUpMs: s.Fleet.WarmUpMs,
		ColdRateFraction: s.Fleet.ColdRateFraction, MaxAttempts: s.Attempts.Max, AdviseRetryAfter: s.Attempts.RetryAfter,
		MaxRetryAfterMs: s.Attempts.MaxRetryAfterMs, RetryBudget: s.Attempts.RetryBudget,
		RetryBudgetMin: s.Attempts.RetryBudgetMin, RetryBudgetRatio: s.Attempts.RetryBudgetRatio,
		RetryBudgetWindowMs: s.Attempts.RetryBudgetWindowMs,
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		moduleClass := headmill.Class{TargetMs: class.TargetMs, KeyTTLMs: class.KeyTTLMs, ValuePerSecond: class.Value,
			RateScale: class.RateScale, MinRung: class.MinRung, MaxRung: class.MaxRung, MaxPerTitle: class.MaxPerTitle}
		switch class.Semantics {
		case "once":
			moduleClass.Semantics = headmill.AtMostOnce
		case "by_key":
			moduleClass.Semantics = headmill.IdempotentByKey
		}
		switch class.KeyScope {
		case "zone":
			moduleClass.KeyScope = headmill.ScopeZone
		case "cell":
			moduleClass.KeyScope = headmill.ScopeCell
		}
		cfg.Classes = append(cfg.Classes, moduleClass)
	}
	return cfg
}
