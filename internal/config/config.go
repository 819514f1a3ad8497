// Package config reads a director's settings from TOML and checks them. Each
// error names file, line and key and says what is wanted. It owns no state and
// decides nothing: defaults are bounds and times that an operator may change,
// and what the module's Config wants is handed over as it stands.
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

// Settings is the whole file. Times are ms, rates kB a second, sizes bytes.
type Settings struct {
	Director  Director  `toml:"director"`
	List      List      `toml:"list"`
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

// Director names this director among the others.
type Director struct {
	Name       string   `toml:"name"`
	Listen     string   `toml:"listen"`
	Directors  []string `toml:"directors"` // names of all; alike at every director
	URLs       []string `toml:"urls"`      // where viewers reach each, in the order of directors
	Agent      string   `toml:"agent"`     // IPv4:PORT for balancers' agent checks; empty: none
	Operator   string   `toml:"operator"`  // IPv4:PORT of the operators' API (gRPC); empty: none
	Metrics    string   `toml:"metrics"`   // IPv4:PORT of /metrics; empty: none
	Zone       int      `toml:"zone"`
	Seed       uint64   `toml:"seed"`        // 0: drawn at the start
	FirstStart bool     `toml:"first_start"` // no earlier run took tokens: see operate/director.md
}

// Gate sets what may come in before the module is asked: see docs/operate/limits.md.
type Admission struct {
	PassAll     bool    `toml:"pass_all"`
	MinRetryMs  float64 `toml:"min_retry_ms"`
	RememberMs  float64 `toml:"remember_ms"`
	Wishes      int     `toml:"wishes"`
	LagMs       float64 `toml:"lag_ms"`
	Queue       float64 `toml:"queue"`
	MemoryBytes float64 `toml:"memory_bytes"`
}

// Quality sets what is worked out from players' reports: see docs/operate/quality.md.
type Quality struct {
	WindowMs    float64 `toml:"window_ms"`
	LateMs      float64 `toml:"late_ms"`
	SkewMs      float64 `toml:"skew_ms"`
	KeepMs      float64 `toml:"keep_ms"`
	LookMs      float64 `toml:"look_ms"`
	ConfirmMs   float64 `toml:"confirm_ms"`
	Groups      int     `toml:"groups"`
	SwitchCost  float64 `toml:"switch_cost"`
	StallCost   float64 `toml:"stall_cost"`
	StartCost   float64 `toml:"start_cost"`
	ShortUnder  float64 `toml:"short_under"`
	MinSessions int     `toml:"min_sessions"`
	MinScore    float64 `toml:"min_score"`
	Relieve     bool    `toml:"relieve"` // findings on racks and boxes are told to the module
}

// History says where closed windows are kept, and how many: see docs/operate/quality.md.
type History struct {
	Dir      string  `toml:"dir"` // relative to the settings file; empty: no history
	SegmentS float64 `toml:"segment_s"`
	MaxBytes int64   `toml:"max_bytes"` // of this director's segments
	MaxAgeS  float64 `toml:"max_age_s"`
}

// Trace names the file of traces.
type Trace struct {
	File string  `toml:"file"` // relative to the settings file; empty: none
	Part float64 `toml:"part"` // of the sessions, 0 to 1
}

// Brand is one tenant's part.
type Tenant struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`
	MaxShare float64 `toml:"most"`
}

// List names the list service.
type List struct {
	Addr    string  `toml:"addr"` // IPv4:PORT
	Path    string  `toml:"path"`
	RetryMs float64 `toml:"retry_ms"`
	// SilentMs without a byte means that the stream is broken; the service sends comments to keep it alive.
	SilentMs float64 `toml:"silent_ms"`
}

// Tokens names the key set.
type Tokens struct {
	Keys   string  `toml:"keys"` // file of a JSON Web Key Set; relative to the settings file
	SkewMs float64 `toml:"skew_ms"`
	Cache  int     `toml:"cache"`
	// Workers check signatures beside the loop; 0: one less than there are processors, one at least.
	Workers int `toml:"workers"`
	Queue   int `toml:"queue"` // checks that may wait; what comes beyond is refused at once
}

// Limits bounds what is kept.
type Limits struct {
	Connections       int `toml:"connections"`
	Line              int `toml:"line"`
	Head              int `toml:"head"`
	Fields            int `toml:"fields"`
	Body              int `toml:"body"`
	Output            int `toml:"output"`  // bytes that may wait for a viewer
	Entries           int `toml:"entries"` // of the once-ledger
	Waiters           int `toml:"waiters"` // requests that wait for one session
	Nodes             int `toml:"boxes"`
	IdleConnsPerNode  int `toml:"pool_per_box"`   // kept connections to a box
	EventBytes        int `toml:"event_bytes"`    // one event of the list or of a box
	ConnsPerNode      int `toml:"conns_per_box"`  // connections to a box in all
	Sessions          int `toml:"sessions"`       // sessions of this director
	CommandsPerNode   int `toml:"commands_a_box"` // rung changes and ends that wait for one box
	TotalOutput       int `toml:"output_in_all"`  // bytes that may wait for all viewers together
	Reports           int `toml:"reports"`        // bytes of players' reports that are kept
	Timelines         int `toml:"timelines"`      // bytes of the timelines that quality is worked out from
	Message           int `toml:"message"`        // of a WebSocket message
	PendingPerSocket  int `toml:"socket_opens"`   // requests that may be out on one WebSocket connection
	SessionsPerSocket int `toml:"socket_holds"`   // sessions held by one WebSocket connection
	SocketSessions    int `toml:"sockets"`        // sessions held by all of them
}

// Times has the time limits of connections and boxes.
type Times struct {
	HeadMs              float64 `toml:"head_ms"`
	IdleMs              float64 `toml:"idle_ms"`
	WriteMs             float64 `toml:"write_ms"`
	ConnectMs           float64 `toml:"connect_ms"`
	NodeIdleMs          float64 `toml:"box_idle_ms"`
	LateAnswerMs        float64 `toml:"late_ms"` // how long a late word of a box on a paid set-up is listened for
	UnclaimedTTLMs      float64 `toml:"hold_ms"` // how long a session that no viewer took is kept
	NodeStreamTimeoutMs float64 `toml:"box_silent_ms"`
	NodeTimeoutMs       float64 `toml:"box_lost_ms"`
	SetupDrainMs        float64 `toml:"finish_ms"`
	SessionDrainMs      float64 `toml:"play_ms"`
	EndConfirmMs        float64 `toml:"end_ms"`
	CommandMs           float64 `toml:"command_ms"`
	PingMs              float64 `toml:"ping_ms"`   // a WebSocket connection that is silent so long is pinged
	PongMs              float64 `toml:"pong_ms"`   // and cut if nothing comes for so long after that
	DetachedTTLMs       float64 `toml:"tie_ms"`    // how long a session outlives the WebSocket connection that held it
	ReportMs            float64 `toml:"report_ms"` // agreed time between a player's reports on one session
	NoticeMs            float64 `toml:"notice_ms"` // at a stop: new sessions are refused so long before the door is closed
	AnswerMarginMs      float64 `toml:"margin_ms"` // an answer is given so long before the viewer gives up
}

// Ladder is the ladder of rates.
type Ladder struct {
	RateKB          []float64 `toml:"rate_kb"`
	Worth           []float64 `toml:"worth"`
	Width           []int     `toml:"width"`
	SegmentMs       float64   `toml:"segment_ms"`
	RungChangeCostS float64   `toml:"switch_s"`
}

// Fleet is what is known of the boxes beforehand.
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

// Attempts bounds what is tried for a request.
type Attempts struct {
	Max                 int     `toml:"max"`
	RetryAfter          bool    `toml:"retry_after"`
	MaxRetryAfterMs     float64 `toml:"max_retry_after_ms"`
	RetryBudget         bool    `toml:"rationed"`
	RetryBudgetMin      float64 `toml:"min_extra"`
	RetryBudgetRatio    float64 `toml:"repeat_ratio"`
	RetryBudgetWindowMs float64 `toml:"look_back_ms"`
}

// Class is one kind of session.
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
	MaxRung     int     `toml:"top"` // -1: the ladder's
	MaxPerTitle int     `toml:"seats"`
}

// Title is one entry of the catalogue.
type Title struct {
	Name       string  `toml:"name"`
	Class      string  `toml:"class"`
	FirstCell  int     `toml:"home"`
	Copies     int     `toml:"copies"`
	DurationMs float64 `toml:"duration_ms"`
}

// Log says where logs go.
type Log struct {
	Level string `toml:"level"`
	File  string `toml:"file"` // empty: standard error
}

// Default is what a file that says nothing would mean.
func Default() Settings {
	return Settings{
		Director: Director{Listen: "127.0.0.1:0"},
		List:     List{Path: "/list", RetryMs: 250, SilentMs: 5000},
		Tokens:   Tokens{SkewMs: 250, Cache: 8192, Queue: 1024},
		Limits: Limits{Connections: 20000, Line: 4608, Head: 16384, Fields: 64, Body: 65536,
			Output: 262144, Entries: 200000, Waiters: 8, Nodes: 1024, IdleConnsPerNode: 64, EventBytes: 1 << 20,
			ConnsPerNode: 512, Sessions: 100000, CommandsPerNode: 4096, TotalOutput: 256 << 20, Reports: 16 << 20, Timelines: 64 << 20, Message: 16384,
			PendingPerSocket: 16, SessionsPerSocket: 64, SocketSessions: 100000},
		Quality: Quality{WindowMs: 5000, LateMs: 25000, SkewMs: 3600e3, KeepMs: 120000, LookMs: 500, ConfirmMs: 1500, Groups: 4096, SwitchCost: 1,
			StallCost: 3, StartCost: 0.2, ShortUnder: 0.9, MinSessions: 6, MinScore: 8, Relieve: true},
		Trace:     Trace{Part: 0.01},
		History:   History{SegmentS: 60, MaxBytes: 256 << 20, MaxAgeS: 30 * 86400},
		Admission: Admission{MinRetryMs: 200, RememberMs: 30000, Wishes: 100000, LagMs: 100, Queue: 20000},
		Times: Times{HeadMs: 5000, IdleMs: 60000, WriteMs: 10000, ConnectMs: 250, NodeIdleMs: 15000, LateAnswerMs: 10000,
			UnclaimedTTLMs: 8000, NodeStreamTimeoutMs: 3000, NodeTimeoutMs: 4000, SetupDrainMs: 6000, SessionDrainMs: 10000, EndConfirmMs: 1000,
			CommandMs: 2000, AnswerMarginMs: 25, PingMs: 20000, PongMs: 10000, DetachedTTLMs: 15000, ReportMs: 5000, NoticeMs: 250},
		Ladder:   Ladder{SegmentMs: 2000},
		Fleet:    Fleet{Cells: 1, Racks: 1},
		Attempts: Attempts{Max: 3, RetryAfter: true, MaxRetryAfterMs: 1000},
		Log:      Log{Level: "info"},
	}
}

// Problem is one fault with its place.
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

// Load reads and checks a file. The error joins one Problem for each fault found.
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

// Parse checks a text; file is its name in errors.
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
		if c.MaxRung < 0 || c.MaxRung == 0 && !wasSet(text, "class", i, "top") {
			c.MaxRung = len(s.Ladder.RateKB) - 1
		}
	}
	ck := &checker{file: file, lines: places(text), s: &s}
	ck.all()
	if len(ck.problems) > 0 {
		sort.SliceStable(ck.problems, func(i, j int) bool { return ck.problems[i].Line < ck.problems[j].Line })
		var errs []error
		for _, p := range ck.problems {
			errs = append(errs, p)
		}
		return nil, errors.Join(errs...)
	}
	return &s, nil
}

func wasSet(text []byte, table string, i int, key string) bool {
	_, ok := places(text)[fmt.Sprintf("%s[%d].%s", table, i, key)]
	return ok
}

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
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		key := strings.Join(de.Key(), ".")
		if key == "" {
			key = "syntax"
		}
		return SettingError{file, row, key, strings.TrimPrefix(de.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", file, err)
}

// places finds the line of every key: "times.head_ms", "class[1].aim_ms".
func places(text []byte) map[string]int {
	out := map[string]int{}
	counts := map[string]int{}
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
			prefix = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
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
		if _, ok := out[name]; !ok {
			out[name] = row
		}
	}
	return out
}

type checker struct {
	file     string
	lines    map[string]int
	s        *Settings
	problems []SettingError
}

// bad notes a fault at a key; the line is the key's, else that of its table.
func (c *checker) bad(key, why string, args ...any) {
	line := c.lines[key]
	for k := key; line == 0 && strings.Contains(k, "."); {
		k = k[:strings.LastIndexByte(k, '.')]
		line = c.lines[k]
	}
	c.problems = append(c.problems, SettingError{c.file, line, key, fmt.Sprintf(why, args...)})
}

func (c *checker) addr(key, v string, zeroPort bool) {
	ap, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		c.bad(key, "%q is not IPv4:PORT", v)
	case !ap.Addr().Is4() || !ap.Addr().IsLoopback():
		c.bad(key, "%s is not on 127.0.0.0/8; this version serves the loopback interface only", v)
	case ap.Port() == 0 && !zeroPort:
		c.bad(key, "%s needs a port", v)
	}
}

func (c *checker) atLeast(key string, v, least float64) {
	if !(v >= least) || v > 1e12 {
		c.bad(key, "%v must be a number of at least %v", v, least)
	}
}

func (c *checker) all() {
	s := c.s
	d := &s.Director
	if d.Name == "" {
		c.bad("director.name", "is needed, for instance name = \"d0\"")
	}
	c.addr("director.listen", d.Listen, true)
	if d.Name != "" && len(d.Directors) > 0 && s.Self() < 0 {
		c.bad("director.directors", "does not hold this director's own name %q", d.Name)
	}
	seen := map[string]bool{}
	for _, n := range d.Directors {
		if seen[n] {
			c.bad("director.directors", "%q stands there twice", n)
		}
		seen[n] = true
	}
	if len(d.URLs) > 0 && len(d.URLs) != len(d.Directors) {
		c.bad("director.urls", "has %d entries for %d directors", len(d.URLs), len(d.Directors))
	}
	if len(d.Directors) > 1 && len(d.URLs) == 0 {
		c.bad("director.urls", "is needed with several directors: a paid token that arrives at the wrong one is sent on")
	}
	for _, u := range d.URLs {
		if !strings.HasPrefix(u, "http://") || strings.HasSuffix(u, "/") {
			c.bad("director.urls", "%q is not http://IPv4:PORT without a final slash", u)
		}
	}
	c.addr("list.addr", s.List.Addr, false)
	if !strings.HasPrefix(s.List.Path, "/") {
		c.bad("list.path", "%q must begin with a slash", s.List.Path)
	}
	if s.Tokens.Keys == "" {
		c.bad("tokens.keys", "is needed: the file of a JSON Web Key Set (headmill token keys makes one)")
	}
	for _, f := range []struct {
		key   string
		v     float64
		least float64
	}{
		{"list.retry_ms", s.List.RetryMs, 10}, {"list.silent_ms", s.List.SilentMs, 100},
		{"tokens.skew_ms", s.Tokens.SkewMs, 0}, {"tokens.cache", float64(s.Tokens.Cache), 1},
		{"tokens.workers", float64(s.Tokens.Workers), 0}, {"tokens.queue", float64(s.Tokens.Queue), 1},
		{"limits.connections", float64(s.Limits.Connections), 1}, {"limits.line", float64(s.Limits.Line), 64},
		{"limits.head", float64(s.Limits.Head), 128}, {"limits.fields", float64(s.Limits.Fields), 4},
		{"limits.body", float64(s.Limits.Body), 0},
		{"limits.output", float64(s.Limits.Output), 4096}, {"limits.entries", float64(s.Limits.Entries), 1},
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
		{"times.ping_ms", s.Times.PingMs, 50}, {"times.pong_ms", s.Times.PongMs, 50}, {"times.tie_ms", s.Times.DetachedTTLMs, 0},
		{"times.report_ms", s.Times.ReportMs, 1}, {"times.notice_ms", s.Times.NoticeMs, 0},
		{"limits.output_in_all", float64(s.Limits.TotalOutput), 65536}, {"limits.reports", float64(s.Limits.Reports), 0}, {"limits.timelines", float64(s.Limits.Timelines), 0},
		{"limits.message", float64(s.Limits.Message), 1024}, {"limits.socket_opens", float64(s.Limits.PendingPerSocket), 1},
		{"limits.socket_holds", float64(s.Limits.SessionsPerSocket), 1}, {"limits.sockets", float64(s.Limits.SocketSessions), 1},
		{"gate.min_retry_ms", s.Admission.MinRetryMs, 0}, {"gate.remember_ms", s.Admission.RememberMs, 0},
		{"gate.wishes", float64(s.Admission.Wishes), 1}, {"gate.lag_ms", s.Admission.LagMs, 1}, {"gate.queue", s.Admission.Queue, 1},
		{"gate.memory_bytes", s.Admission.MemoryBytes, 0},
		{"quality.window_ms", s.Quality.WindowMs, 100}, {"quality.late_ms", s.Quality.LateMs, 0}, {"quality.skew_ms", s.Quality.SkewMs, 0},
		{"quality.keep_ms", s.Quality.KeepMs, 0}, {"quality.look_ms", s.Quality.LookMs, 50},
		{"quality.confirm_ms", s.Quality.ConfirmMs, 0}, {"quality.groups", float64(s.Quality.Groups), 8},
		{"quality.switch_cost", s.Quality.SwitchCost, 0}, {"quality.stall_cost", s.Quality.StallCost, 0},
		{"quality.start_cost", s.Quality.StartCost, 0}, {"quality.short_under", s.Quality.ShortUnder, 0},
		{"quality.min_sessions", float64(s.Quality.MinSessions), 2}, {"quality.min_score", s.Quality.MinScore, 0},
		{"history.segment_s", s.History.SegmentS, 0.1}, {"history.max_bytes", float64(s.History.MaxBytes), 0},
		{"history.max_age_s", s.History.MaxAgeS, 0},
		{"trace.part", s.Trace.Part, 0},
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
		c.atLeast(f.key, f.v, f.least)
	}
	if s.Limits.Line > s.Limits.Head {
		c.bad("limits.line", "%d is over limits.head, %d", s.Limits.Line, s.Limits.Head)
	}
	if d.Agent != "" {
		c.addr("director.agent", d.Agent, true)
	}
	if d.Metrics != "" {
		c.addr("director.metrics", d.Metrics, true)
	}
	if s.Trace.Part > 1 {
		c.bad("trace.part", "%v is over 1, which is every session", s.Trace.Part)
	}
	if d.Operator != "" {
		c.addr("director.operator", d.Operator, true)
	}
	brands := map[string]bool{}
	for i, b := range s.Tenants {
		at := fmt.Sprintf("brand[%d].", i)
		if b.Name == "" || brands[b.Name] {
			c.bad(at+"name", "%q must be a name of its own", b.Name)
		}
		brands[b.Name] = true
		c.atLeast(at+"share", b.Share, 0)
		if !(b.MaxShare >= 0) || b.MaxShare > 1 {
			c.bad(at+"most", "%v must be a part from 0 (no cap) to 1", b.MaxShare)
		}
	}
	c.ladder()
	c.classes()
	c.titles()
	if len(c.problems) == 0 { // the module has the last word on what it is given
		if cfg := s.Module(); cfg.Validate() != nil {
			c.bad("fleet", "%v", cfg.Validate())
		}
	}
}

func (c *checker) ladder() {
	l := &c.s.Ladder
	if len(l.RateKB) == 0 {
		c.bad("ladder.rate_kb", "is needed: the rate of each rung in kB a second, rising")
		return
	}
	for i, r := range l.RateKB {
		if !(r > 0) || i > 0 && r <= l.RateKB[i-1] {
			c.bad("ladder.rate_kb", "rung %d has %v; rates must be positive and rising", i, r)
		}
	}
	if len(l.Worth) != len(l.RateKB) {
		c.bad("ladder.worth", "has %d entries for %d rungs", len(l.Worth), len(l.RateKB))
	}
	if len(l.Width) != 0 && len(l.Width) != len(l.RateKB) {
		c.bad("ladder.width", "has %d entries for %d rungs", len(l.Width), len(l.RateKB))
	}
}

func (c *checker) classes() {
	if len(c.s.Classes) == 0 {
		c.bad("class", "at least one [[class]] is needed")
	}
	seen := map[string]bool{}
	for i := range c.s.Classes {
		k, at := &c.s.Classes[i], fmt.Sprintf("class[%d].", i)
		if k.Name == "" || seen[k.Name] {
			c.bad(at+"name", "%q must be a name of its own", k.Name)
		}
		seen[k.Name] = true
		c.atLeast(at+"aim_ms", k.TargetMs, 1)
		c.atLeast(at+"give_up_ms", k.GiveUpMs, 1)
		c.atLeast(at+"value", k.Value, 0)
		c.atLeast(at+"scale", k.RateScale, 0.001)
		c.atLeast(at+"key_ttl_ms", k.KeyTTLMs, 0)
		if k.Semantics != "repeatable" && k.Semantics != "by_key" && k.Semantics != "once" {
			c.bad(at+"repeat", "%q must be repeatable, by_key or once", k.Semantics)
		}
		if k.KeyScope != "" && k.KeyScope != "all" && k.KeyScope != "zone" && k.KeyScope != "cell" {
			c.bad(at+"key_scope", "%q must be all, zone or cell", k.KeyScope)
		}
		if n := len(c.s.Ladder.RateKB); k.MinRung < 0 || k.MinRung > k.MaxRung || k.MaxRung >= n {
			c.bad(at+"floor", "floor %d and top %d do not fit a ladder of %d rungs", k.MinRung, k.MaxRung, n)
		}
		if k.MaxPerTitle < 0 {
			c.bad(at+"seats", "%d must be 0 (no cap) or more", k.MaxPerTitle)
		}
		if k.GiveUpMs > c.s.Times.SetupDrainMs {
			c.bad("times.finish_ms", "%v is under the give_up_ms of class %q, %v: a stop would cut its answers short",
				c.s.Times.SetupDrainMs, k.Name, k.GiveUpMs)
		}
	}
}

func (c *checker) titles() {
	seen := map[string]bool{}
	for i := range c.s.Titles {
		t, at := &c.s.Titles[i], fmt.Sprintf("title[%d].", i)
		if t.Name == "" || seen[t.Name] || strings.ContainsAny(t.Name, "/?#% ") {
			c.bad(at+"name", "%q must be a name of its own without / ? # %% or space", t.Name)
		}
		seen[t.Name] = true
		if c.s.ClassIndex(t.Class) < 0 {
			c.bad(at+"class", "there is no [[class]] named %q", t.Class)
		}
		if t.FirstCell < 0 || t.FirstCell >= c.s.Fleet.Cells {
			c.bad(at+"home", "cell %d of %d", t.FirstCell, c.s.Fleet.Cells)
		}
		if t.Copies < 1 || t.Copies > c.s.Fleet.Cells {
			c.bad(at+"copies", "%d must be 1 to %d cells", t.Copies, c.s.Fleet.Cells)
		}
		c.atLeast(at+"duration_ms", t.DurationMs, 100)
	}
}

// Me is this director's number among Directors; 0 where it is alone, -1 where its name is missing.
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

// ClassNumber is the position of a class; -1 where there is none of that name.
func (s *Settings) ClassIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Module is the part that the decision module is given.
func (s *Settings) Module() headmill.Config {
	c := headmill.Config{
		Self: max(s.Self(), 0), Fronts: max(len(s.Director.Directors), 1), Zone: s.Director.Zone,
		RateKB: s.Ladder.RateKB, RungWorth: s.Ladder.Worth, RungChangeCostS: s.Ladder.RungChangeCostS,
		Cells: s.Fleet.Cells, Racks: s.Fleet.Racks, StreamsByKind: s.Fleet.StreamsByKind, LinkKBPerWeight: s.Fleet.LinkKBPerWeight,
		TotalLinkKB: s.Fleet.TotalLinkKB, UplinkKB: s.Fleet.UplinkKB, WeightsKnown: s.Fleet.WeightsKnown,
		ReportIntervalMs: s.Fleet.ReportIntervalMs, ReportDelayMs: s.Fleet.ReportDelayMs, WarmUpMs: s.Fleet.WarmUpMs,
		ColdRateFraction: s.Fleet.ColdRateFraction, MaxAttempts: s.Attempts.Max, RetryAfter: s.Attempts.RetryAfter,
		MaxRetryAfterMs: s.Attempts.MaxRetryAfterMs, RetryBudget: s.Attempts.RetryBudget,
		RetryBudgetMin: s.Attempts.RetryBudgetMin, RetryBudgetRatio: s.Attempts.RetryBudgetRatio, RetryBudgetWindowMs: s.Attempts.RetryBudgetWindowMs,
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		m := headmill.Class{TargetMs: k.TargetMs, KeyTTLMs: k.KeyTTLMs, Value: k.Value, RateScale: k.RateScale,
			MinRung: k.MinRung, MaxRung: k.MaxRung, MaxPerTitle: k.MaxPerTitle}
		switch k.Semantics {
		case "once":
			m.Semantics = headmill.AtMostOnce
		case "by_key":
			m.Semantics = headmill.IdempotentByKey
		}
		switch k.KeyScope {
		case "zone":
			m.KeyScope = headmill.ScopeZone
		case "cell":
			m.KeyScope = headmill.ScopeCell
		}
		c.Classes = append(c.Classes, m)
	}
	return c
}
