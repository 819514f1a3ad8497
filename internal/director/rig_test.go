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
	sbox "headmill/internal/standin/medianode"
	"headmill/internal/token"
)

// rig is a director with stand-ins around it, all on loopback in this process.
type rig struct {
	t      testing.TB
	cfg    *config.Settings
	d      *Director
	l      *loop.Loop
	list   *discovery.Server
	boxes  []*sbox.Node
	key    token.Key
	keys   []byte
	url    string
	log    *syncBuffer
	ended  chan error
	boxCfg sbox.Config
	n      int
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

// settings are those of one director with three titles, one of each sort of class.
func settings(listAddr string) config.Settings {
	s := config.Default()
	s.Director.Name, s.Director.FirstStart, s.Director.Seed = "d0", true, 1
	s.List.Addr, s.List.RetryMs = listAddr, 50
	s.Tokens.Keys = "keys.json"
	s.Ladder = config.Ladder{RateKB: []float64{10, 20}, Worth: []float64{0.5, 1}, SegmentMs: 500}
	s.Classes = []config.Class{
		{Name: "paid", TargetMs: 500, GiveUpMs: 600, Semantics: "once", Value: 3, RateScale: 1, MaxRung: 1},
		{Name: "free", TargetMs: 500, GiveUpMs: 600, Semantics: "repeatable", Value: 1, RateScale: 1, MaxRung: 1},
		{Name: "floor", TargetMs: 500, GiveUpMs: 600, Semantics: "repeatable", Value: 1, RateScale: 1, MinRung: 1, MaxRung: 1},
	}
	for _, c := range s.Classes {
		s.Titles = append(s.Titles, config.Title{Name: c.Name + "-title", Class: c.Name, Copies: 1, DurationMs: 30000})
	}
	s.Fleet = config.Fleet{Cells: 1, Racks: 1, StreamsByKind: []int{1000}, TotalLinkKB: 1e6, UplinkKB: 1e6, ReportIntervalMs: 500,
		ReportDelayMs: 100, WarmUpMs: 3000, ColdRateFraction: 0.4}
	s.Times.NodeStreamTimeoutMs, s.Times.NodeTimeoutMs, s.Times.LateAnswerMs, s.Times.UnclaimedTTLMs = 1500, 2000, 3000, 2000
	s.Times.SetupDrainMs = 1000
	s.Times.SessionDrainMs, s.Times.EndConfirmMs = 300, 300
	return s
}

func newRig(t testing.TB, boxes int, edit func(*config.Settings, *sbox.Config)) *rig {
	t.Helper()
	r := &rig{t: t, key: token.NewKey("k1", bytes.Repeat([]byte{7}, 32)), log: &syncBuffer{}, ended: make(chan error, 1)}
	r.keys = token.FormatKeys([]token.Key{r.key}, false)
	var err error
	if r.list, err = discovery.Start(discovery.Config{Addr: "127.0.0.1:0", SilentMs: 1500}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.list.Close)
	s := settings(r.list.Addr())
	r.boxCfg = sbox.Config{Addr: "127.0.0.1:0", RateKB: s.Ladder.RateKB, Scale: map[string]float64{}, LinkKB: 1e6,
		UplinkKB: 1e6, Places: 1000, Cores: 100, WorkMs: 1, SegmentMs: 500, OrphanMs: 1000, TellMs: 500, LateMs: 100,
		ListAddr: r.list.Addr(), Keys: r.keys}
	if edit != nil {
		edit(&s, &r.boxCfg)
	}
	for range boxes {
		r.startBox()
	}
	r.start(s)
	r.until("the director knows its boxes", func() bool { return r.on(r.d.Boxes) == boxes })
	return r
}

func (r *rig) startBox() *sbox.Node {
	b, err := sbox.Start(r.boxCfg)
	if err != nil {
		r.t.Fatal(err)
	}
	r.boxes = append(r.boxes, b)
	r.t.Cleanup(b.Close)
	return b
}

// start runs a director with settings that have passed the same check as an operator's.
func (r *rig) start(s config.Settings) {
	text, err := toml.Marshal(s)
	if err != nil {
		r.t.Fatal(err)
	}
	if r.cfg, err = config.Parse(filepath.Join("rig", "d0.toml"), text); err != nil {
		r.t.Fatal(err)
	}
	if r.l, err = loop.New(); err != nil {
		r.t.Fatal(err)
	}
	keys, _ := token.ParseKeys(r.keys)
	if r.d, err = New(r.cfg, r.l, keys, slog.New(slog.NewJSONHandler(r.log, nil))); err != nil {
		r.t.Fatal(err)
	}
	r.d.Done = r.l.Stop
	if err := r.d.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.url = "http://" + r.d.Addr()
	l := r.l
	go func() { r.ended <- l.Run() }()
	r.t.Cleanup(func() { l.Stop() })
}

// on calls f on the loop's goroutine.
func (r *rig) on(f func() int) int {
	ch := make(chan int, 1)
	r.l.Post(func() { ch <- f() })
	select {
	case n := <-ch:
		return n
	case <-time.After(10 * time.Second):
		r.t.Fatal("the loop does not answer")
		return 0
	}
}

func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	r.t.Fatalf("not seen in 15 s: %s\n%s", what, r.log)
}

func (r *rig) token(class, jti string) string {
	r.t.Helper()
	return r.tokenFor(class, jti, time.Minute)
}

func (r *rig) tokenFor(class, jti string, valid time.Duration) string {
	now := time.Now()
	raw, err := r.key.Mint(token.Claims{Title: class + "-title", Class: class, MaxRung: 1, RegisteredClaims: jwt.RegisteredClaims{
		Subject: "v", ID: jti, IssuedAt: jwt.NewNumericDate(now.Add(-time.Second)), ExpiresAt: jwt.NewNumericDate(now.Add(valid))}})
	if err != nil {
		r.t.Fatal(err)
	}
	return raw
}

type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

func (r *rig) get(class, raw string) reply {
	return fetch(context.Background(), r.url+"/dash/"+class+"-title/manifest.mpd?token="+raw)
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

func (r *rig) go_(class, raw string) chan reply {
	ch := make(chan reply, 1)
	go func() { ch <- r.get(class, raw) }()
	return ch
}

func base(mpd string) string {
	_, rest, _ := strings.Cut(mpd, "<BaseURL>")
	u, _, _ := strings.Cut(rest, "</BaseURL>")
	return u
}

func (r *rig) want(what string, got reply, status int) reply {
	r.t.Helper()
	if got.err != nil || got.status != status {
		r.t.Fatalf("%s: %d %s %v, want %d\n%s", what, got.status, got.body, got.err, status, r.log)
	}
	return got
}

func (r *rig) setups() int {
	n := 0
	for _, b := range r.boxes {
		_, k := b.Counts()
		n += k
	}
	return n
}

// raw is a box written by hand: script gets each connection's reader and writer, for faults that a whole
// stand-in does not make. It is listed by reports of its own.
type rawBox struct {
	ln    net.Listener
	mu    sync.Mutex
	puts  int
	stop  chan struct{}
	setup func(c net.Conn, put int)
}

func (r *rig) rawBox(setup func(c net.Conn, put int)) *rawBox {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	b := &rawBox{ln: ln, setup: setup, stop: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			resp, err := http.Post("http://"+r.list.Addr()+"/beat", "application/json",
				strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"raw"}`, ln.Addr())))
			if err == nil {
				resp.Body.Close()
			}
		}
	}()
	r.t.Cleanup(func() { close(b.stop); ln.Close() })
	return b
}

func (b *rawBox) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, q.Body)
		switch q.Method {
		case "GET":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: hello\ndata: {\"boot\":\"raw\",\"sessions\":[]}\n\n")
			for {
				time.Sleep(200 * time.Millisecond)
				if _, err := io.WriteString(c, ":\n\n"); err != nil {
					return
				}
			}
		case "PUT":
			b.mu.Lock()
			b.puts++
			n := b.puts
			b.mu.Unlock()
			b.setup(c, n)
		default:
			io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

func (b *rawBox) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.puts
}

func (b *rawBox) created(c net.Conn) {
	fmt.Fprintf(c, "HTTP/1.1 201 Created\r\nLocation: http://%s/v/x/\r\nContent-Length: 0\r\n\r\n", b.ln.Addr())
}
