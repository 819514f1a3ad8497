package director

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pelletier/go-toml/v2"

	"headmill/internal/config"
	"headmill/internal/loop"
	"headmill/internal/standin/discovery"
	"headmill/internal/standin/medianode"
	"headmill/internal/token"
)

// testEnv is a director with stand-ins of its surroundings, all on loopback in this process.
type testEnv struct {
	t          testing.TB
	cfg        *config.Settings
	director   *Director
	loop       *loop.Loop
	discovery  *discovery.Server
	nodes      []*medianode.Node
	signingKey token.Key
	keySet     []byte
	baseURL    string
	log        *syncBuffer
	loopEnded  chan error
	nodeConfig medianode.Config
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// testSettings returns the settings of one director with three titles: one of a paid class, one of a repeatable class
// and one of a class with a lowest rung above 0.
func testSettings(listAddr string) config.Settings {
	s := config.Default()
	s.Director.Name, s.Director.FirstStart, s.Director.Seed = "d0", true, 1
	s.Discovery.Addr, s.Discovery.RetryMs = listAddr, 50
	s.Tokens.Keys = "keys.json"
	s.Ladder = config.Ladder{RateKB: []float64{10, 20}, Worth: []float64{0.5, 1}, SegmentMs: 500}
	s.Classes = []config.Class{
		{Name: "paid", TargetMs: 500, GiveUpMs: 600, Semantics: "once", Value: 3, RateScale: 1, MaxRung: 1},
		{Name: "free", TargetMs: 500, GiveUpMs: 600, Semantics: "repeatable", Value: 1, RateScale: 1, MaxRung: 1},
		{
			Name:      "min-rung",
			TargetMs:  500,
			GiveUpMs:  600,
			Semantics: "repeatable",
			Value:     1,
			RateScale: 1,
			MinRung:   1,
			MaxRung:   1,
		},
	}
	for _, c := range s.Classes {
		s.Titles = append(s.Titles, config.Title{
			Name:       c.Name + "-title",
			Class:      c.Name,
			Copies:     1,
			DurationMs: 30000,
		})
	}
	s.Fleet = config.Fleet{
		Cells:            1,
		Racks:            1,
		StreamsByKind:    []int{1000},
		TotalLinkKB:      1e6,
		UplinkKB:         1e6,
		ReportIntervalMs: 500,
		ReportDelayMs:    100,
		WarmUpMs:         3000,
		ColdRateFraction: 0.4,
	}
	s.Times.NodeStreamTimeoutMs, s.Times.NodeTimeoutMs, s.Times.LateAnswerMs, s.Times.UnclaimedTTLMs =
		1500, 2000, 3000, 2000
	s.Times.SetupDrainMs = 1000
	s.Times.SessionDrainMs, s.Times.EndConfirmMs = 300, 300
	return s
}

// newTestEnv starts the discovery service, the given number of media nodes, and a director, and waits until the
// director knows the nodes. edit, if not nil, may change the settings first.
func newTestEnv(t testing.TB, nodeCount int, edit func(*config.Settings, *medianode.Config)) *testEnv {
	t.Helper()
	e := &testEnv{
		t:          t,
		signingKey: token.NewKey("k1", bytes.Repeat([]byte{7}, 32)),
		log:        &syncBuffer{},
		loopEnded:  make(chan error, 1),
	}
	e.keySet = token.FormatKeys([]token.Key{e.signingKey}, false)
	var err error
	if e.discovery, err = discovery.Start(discovery.Config{Addr: "127.0.0.1:0", HeartbeatTimeoutMs: 1500}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.discovery.Close)
	s := testSettings(e.discovery.Addr())
	e.nodeConfig = medianode.Config{
		Addr:                 "127.0.0.1:0",
		RateKB:               s.Ladder.RateKB,
		ClassScale:           map[string]float64{},
		LinkKB:               1e6,
		UplinkKB:             1e6,
		MaxSessions:          1000,
		Cores:                100,
		SetupWorkMs:          1,
		SegmentMs:            500,
		OrphanTimeoutMs:      1000,
		LoadReportIntervalMs: 500,
		LoadReportDelayMs:    100,
		DiscoveryAddr:        e.discovery.Addr(),
		Keys:                 e.keySet,
	}
	if edit != nil {
		edit(&s, &e.nodeConfig)
	}
	for range nodeCount {
		e.startNode()
	}
	e.start(s)
	e.waitUntil("the director knows its media nodes",
		func() bool { return e.onLoop(e.director.NodeCount) == nodeCount })
	return e
}

func (e *testEnv) startNode() *medianode.Node {
	node, err := medianode.Start(e.nodeConfig)
	if err != nil {
		e.t.Fatal(err)
	}
	e.nodes = append(e.nodes, node)
	e.t.Cleanup(node.Close)
	return node
}

// start runs a director. Its settings pass the same checks as an operator's file.
func (e *testEnv) start(s config.Settings) {
	text, err := toml.Marshal(s)
	if err != nil {
		e.t.Fatal(err)
	}
	if e.cfg, err = config.Parse(filepath.Join("test", "d0.toml"), text); err != nil {
		e.t.Fatal(err)
	}
	if e.loop, err = loop.New(); err != nil {
		e.t.Fatal(err)
	}
	keys, _ := token.ParseKeys(e.keySet)
	if e.director, err = New(e.cfg, e.loop, keys, slog.New(slog.NewJSONHandler(e.log, nil))); err != nil {
		e.t.Fatal(err)
	}
	e.director.Done = e.loop.Stop
	if err := e.director.Start(); err != nil {
		e.t.Fatal(err)
	}
	e.baseURL = "http://" + e.director.Addr()
	l := e.loop
	go func() { e.loopEnded <- l.Run() }()
	e.t.Cleanup(func() { l.Stop() })
}

// onLoop calls f on the loop's goroutine and returns its result.
func (e *testEnv) onLoop(f func() int) int {
	ch := make(chan int, 1)
	e.loop.Post(func() { ch <- f() })
	select {
	case n := <-ch:
		return n
	case <-time.After(10 * time.Second):
		e.t.Fatal("the event loop did not answer within 10 s")
		return 0
	}
}

// waitUntil fails the test if ok does not return true within 15 s.
func (e *testEnv) waitUntil(what string, ok func() bool) {
	e.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	e.t.Fatalf("timed out after 15 s waiting until %s\n%s", what, e.log)
}

// token signs a session token for the title of a class, valid for a minute.
func (e *testEnv) token(class, jti string) string {
	e.t.Helper()
	return e.tokenFor(class, jti, time.Minute)
}

func (e *testEnv) tokenFor(class, jti string, valid time.Duration) string {
	now := time.Now()
	raw, err := e.signingKey.Sign(token.Claims{
		Title:   class + "-title",
		Class:   class,
		MaxRung: 1,
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   "v",
			ID:        jti,
			IssuedAt:  jwt.NewNumericDate(now.Add(-time.Second)),
			ExpiresAt: jwt.NewNumericDate(now.Add(valid)),
		},
	})
	if err != nil {
		e.t.Fatal(err)
	}
	return raw
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

// get requests the manifest of a class's title.
func (e *testEnv) get(class, raw string) reply {
	return fetch(context.Background(), e.baseURL+"/dash/"+class+"-title/manifest.mpd?token="+raw)
}

func fetch(ctx context.Context, url string) reply {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return reply{err: err}
	}
	resp, err := c.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(b), resp.Header, err}
}

func (e *testEnv) getAsync(class, raw string) chan reply {
	ch := make(chan reply, 1)
	go func() { ch <- e.get(class, raw) }()
	return ch
}

// mediaURL returns the base URL of a manifest.
func mediaURL(mpd string) string {
	_, rest, _ := strings.Cut(mpd, "<BaseURL>")
	url, _, _ := strings.Cut(rest, "</BaseURL>")
	return url
}

func (e *testEnv) wantStatus(what string, got reply, status int) reply {
	e.t.Helper()
	if got.err != nil || got.status != status {
		e.t.Fatalf("%s: %d %s %v, want %d\n%s", what, got.status, got.body, got.err, status, e.log)
	}
	return got
}

// setupCount returns the number of set-ups that reached the media nodes.
func (e *testEnv) setupCount() int {
	n := 0
	for _, node := range e.nodes {
		_, setups := node.Counts()
		n += setups
	}
	return n
}

// scriptedNode is a minimal media node for faults that the full stand-in does not produce: handleSetup answers each
// set-up on its raw connection. It registers itself with the discovery service by heartbeats.
type scriptedNode struct {
	listener    net.Listener
	mu          sync.Mutex
	setups      int
	silent      bool // nothing is written, as by a media node that is cut off
	stop        chan struct{}
	handleSetup func(c net.Conn, setup int)
}

func (e *testEnv) startScriptedNode(setup func(c net.Conn, setup int)) *scriptedNode {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}
	node := &scriptedNode{listener: ln, handleSetup: setup, stop: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go node.serve(c)
		}
	}()
	go func() {
		for {
			select {
			case <-node.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			resp, err := http.Post("http://"+e.discovery.Addr()+"/beat", "application/json",
				strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"raw"}`, ln.Addr())))
			if err == nil {
				resp.Body.Close()
			}
		}
	}()
	e.t.Cleanup(func() { close(node.stop); ln.Close() })
	return node
}

func (s *scriptedNode) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		for s.isSilent() {
			time.Sleep(10 * time.Millisecond)
		}
		switch req.Method {
		case "GET":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
				"event: hello\ndata: {\"boot\":\"raw\",\"sessions\":[]}\n\n")
			for {
				time.Sleep(200 * time.Millisecond)
				if s.isSilent() {
					continue
				}
				if _, err := io.WriteString(c, ":\n\n"); err != nil {
					return
				}
			}
		case "PUT":
			s.mu.Lock()
			s.setups++
			count := s.setups
			s.mu.Unlock()
			s.handleSetup(c, count)
		default:
			io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

func (s *scriptedNode) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *scriptedNode) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *scriptedNode) setupCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setups
}

func (s *scriptedNode) writeCreated(c net.Conn) {
	fmt.Fprintf(c, "HTTP/1.1 201 Created\r\nLocation: http://%s/v/x/\r\nContent-Length: 0\r\n\r\n", s.listener.Addr())
}
