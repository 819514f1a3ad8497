package director

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"headmill/decide/health"
	"headmill/decide/shutdown"
	"headmill/internal/config"
	"headmill/internal/dash"
	"headmill/internal/standin/medianode"
	"headmill/internal/token"
)

// A manifest of each class leads to playable segments, and the same token gets the same manifest again.
func TestManifestToSegments(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	for _, class := range []string{"paid", "free", "min-rung"} {
		raw := env.token(class, "j-"+class)
		got := env.wantStatus(class, env.get(class, raw), 200)
		manifest, err := dash.Parse([]byte(got.body))
		if err != nil {
			t.Fatal(err)
		}
		if manifest.Representations[0].ID != map[string]string{"paid": "r0", "free": "r0", "min-rung": "r1"}[class] {
			t.Errorf("%s: lowest representation %s", class, manifest.Representations[0].ID)
		}
		for _, url := range []string{manifest.Init(0), manifest.Media(0, 0),
			manifest.Media(len(manifest.Representations)-1, manifest.Segments()-1)} {
			resp, err := http.Get(url)
			if err != nil {
				t.Fatal(err)
			}
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != 200 || len(b) < 100 || !strings.Contains(resp.Header.Get("CMSD-Dynamic"), ";mb=") {
				t.Errorf("%s: %d, %d bytes, %v", url, resp.StatusCode, len(b), resp.Header)
			}
		}
		second := env.wantStatus(class+" again", env.get(class, raw), 200)
		if second.body != got.body {
			t.Errorf("%s: the same token gets another manifest", class)
		}
	}
	if n := env.setupCount(); n != 3 {
		t.Fatalf("%d set-ups for three sessions", n)
	}
}

// Requests with an invalid token, or for the wrong title, get their problem document and start no set-up. Keys can be
// rotated while the director runs.
func TestRejectedTokensStartNoSession(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	other := token.NewKey("k9", make([]byte, 32))
	forged := token.NewKey("k1", make([]byte, 32))
	mint := func(k token.Key) string {
		saved := env.signingKey
		defer func() { env.signingKey = saved }()
		env.signingKey = k
		return env.token("free", "x")
	}
	good := env.token("free", "good")
	for name, c := range map[string]struct {
		path   string
		status int
		kind   string
	}{
		"none":     {"/dash/free-title/manifest.mpd", 401, "no-token"},
		"nonsense": {"/dash/free-title/manifest.mpd?token=abc", 401, "invalid-token"},
		"expired": {"/dash/free-title/manifest.mpd?token=" + env.tokenFor("free", "x", -time.Minute),
			401, "token-expired"},
		"unknown key": {"/dash/free-title/manifest.mpd?token=" + mint(other), 401, "unknown-key"},
		"forged":      {"/dash/free-title/manifest.mpd?token=" + mint(forged), 401, "invalid-token"},
		"changed": {"/dash/free-title/manifest.mpd?token=" + good[:len(good)-8] + "AAAAAAAA",
			401, "invalid-token"},
		"of another title": {"/dash/paid-title/manifest.mpd?token=" + good, 403, "wrong-title"},
		"unknown title":    {"/dash/none-title/manifest.mpd?token=" + env.token("none", "x"), 404, "no-such-title"},
		"no such page":     {"/else", 404, "no-such-page"},
	} {
		got := env.wantStatus(name, fetch(context.Background(), env.baseURL+c.path), c.status)
		var doc struct{ Type, Title, Detail string }
		if got.header.Get("Content-Type") != "application/problem+json" ||
			json.Unmarshal([]byte(got.body), &doc) != nil ||
			doc.Type != problemTypePrefix+c.kind || doc.Detail == "" {
			t.Errorf("%s: %s %s", name, got.header.Get("Content-Type"), got.body)
		}
	}
	if n := env.setupCount(); n != 0 {
		t.Fatalf("%d set-ups", n)
	}
	if n := env.onLoop(func() int { return int(env.director.Stats().Requests) }); n != 0 {
		t.Fatalf("%d of them count in Requests", n)
	}
	// Rotate the keys: both are accepted, then only the new one.
	env.onLoop(func() int { env.director.SetKeys([]token.Key{env.signingKey, other}); return 0 })
	env.wantStatus("both", env.get("free", mint(other)), 200)
	env.onLoop(func() int { env.director.SetKeys([]token.Key{other}); return 0 })
	env.wantStatus("old key gone", env.get("free", env.token("free", "y")), 401)
}

// Requests with the same token while the first is pending join its set-up.
func TestRetryWhileFirstRequestIsPending(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 200})
	raw := env.token("paid", "j")
	var got []chan reply
	for range 4 {
		got = append(got, env.getAsync("paid", raw))
	}
	first := env.wantStatus("first", <-got[0], 200)
	for _, ch := range got[1:] {
		if a := env.wantStatus("duplicate", <-ch, 200); mediaURL(a.body) != mediaURL(first.body) {
			t.Errorf("requests of one token play %s and %s", mediaURL(a.body), mediaURL(first.body))
		}
	}
	if n := env.setupCount(); n != 1 {
		t.Fatalf("%d set-ups", n)
	}
}

// A media node ran a paid set-up and its answer was lost: the session must not be set up again, however often the
// viewer retries, and every request is answered within the viewer's time.
func TestPaidSessionAfterUnknownOutcome(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	for _, node := range env.nodes {
		node.SetFaults(medianode.Faults{LoseAnswers: true})
	}
	raw := env.token("paid", "j")
	start := time.Now()
	env.wantStatus("first", env.get("paid", raw), 504)
	if elapsed := time.Since(start); elapsed > 640*time.Millisecond { // 40 ms of tolerance
		t.Errorf("answered after %v, the viewer has 600 ms", elapsed)
	}
	for _, node := range env.nodes {
		node.SetFaults(medianode.Faults{})
	}
	for range 5 {
		env.wantStatus("retry", env.get("paid", raw), 504)
	}
	if n := env.onLoop(func() int { return int(env.director.Stats().Attempts) }); n != 1 {
		t.Fatalf("%d attempts", n)
	}
	// A repeatable class is attempted again at the other media node.
	env = newTestEnv(t, 2, nil)
	for _, node := range env.nodes {
		node.SetFaults(medianode.Faults{LoseAnswers: true})
	}
	ch := env.getAsync("free", env.token("free", "f"))
	time.Sleep(50 * time.Millisecond)
	for _, node := range env.nodes {
		node.SetFaults(medianode.Faults{})
	}
	env.wantStatus("free", <-ch, 200)
}

// A media node answers after the time-out: the session plays, and a retry with the same token gets that session.
func TestLateAnswer(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 900})
	raw := env.token("paid", "j")
	env.wantStatus("first", env.get("paid", raw), 504)
	env.waitUntil("the late answer is counted",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().LateSuccesses) }) == 1 })
	got := env.wantStatus("retry", env.get("paid", raw), 200)
	manifest, err := dash.Parse([]byte(got.body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Get(manifest.Media(0, 0))
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the adopted session does not play: %v %v", resp, err)
	}
	resp.Body.Close()
	if n := env.setupCount(); n != 1 {
		t.Fatalf("%d set-ups", n)
	}
	// The next one has no retry: it is ended at the media node after times.hold_ms. (The module sends a paid session
	// to a media node that failed only after another session has played there.)
	env.nodes[0].SetFaults(medianode.Faults{})
	env.waitUntil("the media node gets set-ups again", func() bool {
		return env.get("free", env.token("free", "f")).status == 200
	})
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 900})
	env.wantStatus("other", env.get("paid", env.token("paid", "k")), 504)
	env.waitUntil("the media node runs three", func() bool { n, _ := env.nodes[0].Counts(); return n == 3 })
	env.waitUntil("one is ended", func() bool { n, _ := env.nodes[0].Counts(); return n == 2 })
	env.wantStatus("after its end", env.get("paid", env.token("paid", "k")), 410)
}

// A media node fails in various ways after a byte of a paid set-up has reached it: the set-up may have run, so it
// must not be sent again.
func TestNodeFailsDuringSetup(t *testing.T) {
	for name, setup := range map[string]func(c net.Conn, node *scriptedNode){
		"closes before its answer": func(c net.Conn, _ *scriptedNode) { c.Close() },
		"half an answer": func(c net.Conn, _ *scriptedNode) {
			io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Le")
			c.Close()
		},
		"201 without a location": func(c net.Conn, _ *scriptedNode) {
			io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
		},
		"not HTTP": func(c net.Conn, _ *scriptedNode) { io.WriteString(c, "what?\r\n\r\n") },
		"503 without a proof": func(c net.Conn, _ *scriptedNode) {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 0, nil)
			var node *scriptedNode
			node = env.startScriptedNode(func(c net.Conn, _ int) { setup(c, node) })
			env.waitUntil("the media node is listed", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
			raw := env.token("paid", "j")
			for range 3 {
				env.wantStatus(name, env.get("paid", raw), 502)
			}
			if n := node.setupCount(); n != 1 {
				t.Fatalf("set up %d times", n)
			}
		})
	}
}

// A full media node states that nothing ran: a paid session is attempted at the other one, and refused if both are
// full.
func TestFullNodeProvesNothingRan(t *testing.T) {
	env := newTestEnv(t, 2, func(_ *config.Settings, nodeCfg *medianode.Config) { nodeCfg.MaxSessions = 0 })
	raw := env.token("paid", "j")
	got := env.wantStatus("both full", env.get("paid", raw), 503)
	if got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"retry_after_ms":`) {
		t.Errorf("refused without advice: %s", got.body)
	}
	if n := env.onLoop(func() int { return int(env.director.Stats().Attempts) }); n != 2 {
		t.Errorf("%d attempts, there are two media nodes", n)
	}
	// A refusal guarantees that nothing ran: the same token may start a set-up again.
	before := env.onLoop(func() int { return int(env.director.Stats().Attempts) })
	env.waitUntil("a retry starts another attempt", func() bool {
		env.wantStatus("again", env.get("paid", raw), 503)
		return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) > before
	})
}

// A media node closes an idle connection. A close seen before the write costs nothing. A close while the set-up is
// being written proves nothing, so a paid set-up fails; one of a repeatable class would be attempted again.
func TestIdleConnectionClosed(t *testing.T) {
	env := newTestEnv(t, 0, nil)
	var node *scriptedNode
	closed := make(chan struct{})
	node = env.startScriptedNode(func(c net.Conn, setup int) {
		node.writeCreated(c)
		if setup == 1 {
			c.Close() // after a complete answer: the pool has a dead connection
			close(closed)
		}
	})
	env.waitUntil("the media node is listed", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
	env.wantStatus("first", env.get("paid", env.token("paid", "a")), 200)
	<-closed // the second request must come after the close: a set-up written before it may be reset
	env.wantStatus("on a fresh connection", env.get("paid", env.token("paid", "b")), 200)
	if n := node.setupCount(); n != 2 {
		t.Fatalf("%d set-ups", n)
	}

	env = newTestEnv(t, 0, nil)
	node = env.startScriptedNode(func(c net.Conn, setup int) {
		if setup == 1 {
			node.writeCreated(c)
			return
		}
		c.Close() // after reading the set-up, as a media node that closes idle connections may do
	})
	env.waitUntil("the media node is listed", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
	env.wantStatus("first", env.get("paid", env.token("paid", "a")), 200)
	env.wantStatus("as it is written", env.get("paid", env.token("paid", "b")), 502)
	if n := node.setupCount(); n != 2 {
		t.Fatalf("%d set-ups", n)
	}
}

// A media node accepts the connection and never reads: the kernel has accepted the set-up, so it may have run.
func TestNodeNeverReads(t *testing.T) {
	env := newTestEnv(t, 0, nil)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	beat := func(addr string) {
		resp, err := http.Post("http://"+env.discovery.Addr()+"/beat", "application/json",
			strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"x"}`, addr)))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	beat(ln.Addr().String())
	env.waitUntil("the media node is listed", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
	raw := env.token("paid", "j")
	env.wantStatus("never reads", env.get("paid", raw), 504)
	env.wantStatus("again", env.get("paid", raw), 504)
	if n := env.onLoop(func() int { return int(env.director.Stats().Attempts) }); n != 1 {
		t.Fatalf("%d attempts", n)
	}
}

// Nobody listens at the media node, which proves that nothing ran: a paid session is refused, not failed.
func TestConnectFails(t *testing.T) {
	env := newTestEnv(t, 0, nil)
	ln, _ := net.Listen("tcp4", "127.0.0.1:0")
	addr := ln.Addr().String()
	ln.Close()
	resp, err := http.Post("http://"+env.discovery.Addr()+"/beat", "application/json",
		strings.NewReader(fmt.Sprintf(`{"addr":%q,"boot":"x"}`, addr)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	env.waitUntil("the media node is listed", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
	env.wantStatus("refused", env.get("paid", env.token("paid", "j")), 503)
}

// A viewer disconnects during its set-up: the set-up goes on, and a retry gets the same session. Without a retry the
// session is ended at the media node.
func TestViewerDisconnects(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 200})
	raw := env.token("paid", "j")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- fetch(ctx, env.baseURL+"/dash/paid-title/manifest.mpd?token="+raw) }()
	env.waitUntil("the attempt is sent",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) == 1 })
	cancel()
	if a := <-done; a.err == nil {
		t.Fatal("answered")
	}
	env.waitUntil("the media node runs it", func() bool { n, _ := env.nodes[0].Counts(); return n == 1 })
	env.wantStatus("again", env.get("paid", raw), 200)
	if n := env.setupCount(); n != 1 {
		t.Fatalf("%d set-ups", n)
	}
	env.nodes[0].SetFaults(medianode.Faults{})
	// Disconnect at other points: before a request, in the middle of one, and after one.
	for _, text := range []string{"", "GET /dash/free-ti", "GET /dash/free-title/manifest.mpd?token=" + env.token("free", "f") +
		" HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.Close()
	}
	env.waitUntil("all connections are closed",
		func() bool { return env.onLoop(func() int { return len(env.director.viewers) }) == 0 })
	env.waitUntil("the unclaimed session is ended", func() bool { n, _ := env.nodes[0].Counts(); return n == 1 })
}

// Viewers that send or read too slowly are disconnected, and the output kept for them is limited.
func TestSlowViewers(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) {
		s.Times.HeadMs, s.Times.IdleMs, s.Times.WriteMs, s.Limits.Output = 400, 800, 400, 8192
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		return c
	}
	// A request head that never ends, one byte at a time, is answered with 408 and the connection is closed.
	c := dial()
	go func(c net.Conn) {
		for _, b := range []byte("GET /" + strings.Repeat("a", 1000)) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}(c)
	b, _ := io.ReadAll(c)
	if !strings.HasPrefix(string(b), "HTTP/1.1 408 ") {
		t.Errorf("endless head: %q", b)
	}
	// An idle connection is closed without an answer.
	if b, err := io.ReadAll(dial()); err != nil || len(b) != 0 {
		t.Errorf("idle: %q %v", b, err)
	}
	// A viewer that reads a byte at a time gets its complete manifest.
	c = dial()
	fmt.Fprintf(c, "GET /dash/free-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		env.token("free", "s"))
	var got []byte
	single := make([]byte, 1)
	for {
		if _, err := c.Read(single); err != nil {
			break
		}
		got = append(got, single[0])
	}
	if !strings.HasPrefix(string(got), "HTTP/1.1 200 ") || !strings.HasSuffix(string(got), "</MPD>\n") {
		t.Errorf("read bytewise: %q", got)
	}
	// A viewer that sends requests without end and never reads is disconnected; its pending output is limited.
	c = dial()
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	requests := []byte(strings.Repeat("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 200))
	for {
		if _, err := c.Write(requests); err != nil {
			break
		}
	}
	if n := env.onLoop(func() int { return int(env.director.Stats().SlowReaders) }); n != 1 {
		t.Errorf("%d slow readers disconnected", n)
	}
}

// Pipelined requests are answered in order, and nothing after "Connection: close" is answered.
func TestPipelinedRequests(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	c, err := net.Dial("tcp4", env.director.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := ""
	for i := range 5 {
		text += fmt.Sprintf("GET /dash/free-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: x\r\n\r\nGET /none HTTP/1.1\r\nHost: x\r\n\r\n",
			env.token("free", fmt.Sprint("p", i)))
	}
	text += "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\nGET /never HTTP/1.1\r\nHost: x\r\n\r\n"
	io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	for _, part := range strings.Split(string(b), "HTTP/1.1 ")[1:] {
		codes = append(codes, part[:3])
	}
	if got := strings.Join(codes, " "); got != "200 404 200 404 200 404 200 404 200 404 200" {
		t.Fatalf("answers %s", got)
	}
}

// Request smuggling (RFC 9112 section 11.2): an ambiguous head is rejected and nothing after it is read.
func TestRequestSmuggling(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	for _, head := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length : 4\r\n",
		"Content-Length: 4\r\nContent-Length: 5\r\n", "X: a\r\n b: c\r\n"} {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: x\r\n%s\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", head)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		b, _ := io.ReadAll(c)
		c.Close()
		if n := strings.Count(string(b), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(b), "HTTP/1.1 400 ") {
			t.Errorf("%q: %d answers: %q", head, n, b)
		}
	}
}

// A body longer than declared is taken for the next request, or is a malformed chunk: either is rejected and closes
// the connection.
func TestBodyLongerThanDeclared(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	for _, text := range []string{"Content-Length: 3\r\n\r\nabcdefgh \r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n"} {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: x\r\n%s", text)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		b, _ := io.ReadAll(c)
		c.Close()
		if !strings.Contains(string(b), "HTTP/1.1 400 ") || strings.Count(string(b), "HTTP/1.1 ") > 2 {
			t.Errorf("%q: %q", text, b)
		}
	}
}

// A viewer that is still sending an oversized body or head reads the error response, not a connection reset.
func TestOversizedRequestIsAnswered(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	long := strings.Repeat("x", 600<<10)
	for text, status := range map[string]string{"Content-Length: 614400\r\n\r\n": "413", "X-Long: ": "431"} {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		go fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: x\r\n%s%s\r\n\r\n", text, long)
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		b, err := io.ReadAll(c)
		c.Close()
		if !strings.HasPrefix(string(b), "HTTP/1.1 "+status+" ") || err != nil {
			t.Errorf("%q: %.100q, %v", text, b, err)
		}
	}
}

// Players' own reports: event mode of CMCD by POST, one list per line, rate-limited by session.
func TestReportsByPost(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	raw := env.token("free", "posts")
	env.wantStatus("first request", env.get("free", raw), 200)
	post := func(method, query, body string) int {
		req, _ := http.NewRequest(method, "http://"+env.director.Addr()+"/cmcd"+query, strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	accepted := func() int { return env.onLoop(func() int { return int(env.director.stats.ReportsAccepted) }) }
	dropped := func() int { return env.onLoop(func() int { return int(env.director.stats.ReportsDropped) }) }
	if s := post("POST", "?token="+raw, "v=2,e=ps,sta=p,sn=1,mtp=400\nv=2,e=t,sn=2,br=abc\n\n"); s != 204 || accepted() != 2 {
		t.Errorf("two lists: %d, %d accepted", s, accepted())
	}
	if n := env.onLoop(func() int { return int(env.director.quality.malformedValues["br"]) }); n != 1 {
		t.Errorf("a malformed value is counted %d times", n)
	}
	many := strings.Repeat("v=2,e=t,sn=3\n", 100) + strings.Repeat("x", 600)
	if s := post("POST", "?token="+raw, many); s != 204 || accepted() > 2+reportBurst || dropped() < 101-reportBurst {
		t.Errorf("a flood: %d, %d accepted, %d dropped", s, accepted(), dropped())
	}
	for _, c := range []struct {
		method, query string
		status        int
	}{{"GET", "?token=" + raw, 405}, {"POST", "?token=" + env.token("free", "nobody"), 404}, {"POST", "", 401},
		{"POST", "?token=%zz", 400},
		{"POST", "?token=" + raw[:len(raw)-2], 401}} {
		if s := post(c.method, c.query, "v=2"); s != c.status {
			t.Errorf("%s %.20s: %d, want %d", c.method, c.query, s, c.status)
		}
	}
	if s := env.get("free", raw); s.status != 200 { // the session is unaffected
		t.Errorf("afterwards %d", s.status)
	}
}

// A media node starts to drain while set-ups are pending: no new sessions are placed there, and its sessions play on.
func TestNodeDrain(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	for i := range 20 {
		env.wantStatus("before", env.get("free", env.token("free", fmt.Sprint("a", i))), 200)
	}
	busyNode := 0
	for i, node := range env.nodes {
		if n, _ := node.Counts(); n > 0 {
			busyNode = i
		}
	}
	env.nodes[busyNode].SetFaults(medianode.Faults{AnswerDelayMs: 150})
	var out []chan reply
	for i := range 10 {
		out = append(out, env.getAsync("free", env.token("free", fmt.Sprint("b", i))))
	}
	env.waitUntil("set-ups are pending",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) >= 25 })
	lists := env.onLoop(func() int { return int(env.director.Stats().NodeLists) })
	env.discovery.Drain(env.nodes[busyNode].Addr(), true)
	env.waitUntil("the node list has arrived",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().NodeLists) }) > lists })
	for _, ch := range out {
		env.wantStatus("pending at the drain", <-ch, 200)
	}
	_, before := env.nodes[busyNode].Counts()
	for i := range 20 {
		env.wantStatus("after", env.get("free", env.token("free", fmt.Sprint("c", i))), 200)
	}
	if playing, after := env.nodes[busyNode].Counts(); after != before || playing == 0 {
		t.Fatalf("%d set-ups at the draining media node, %d sessions play there", after-before, playing)
	}
}

// The loss of a media node ends its sessions: a repeatable one can be set up again elsewhere, a paid one cannot.
func TestNodeLost(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	paid, free := env.token("paid", "p"), env.token("free", "f")
	env.wantStatus("paid", env.get("paid", paid), 200)
	first := env.wantStatus("free", env.get("free", free), 200)
	env.nodes[0].Close()
	env.waitUntil("the sessions are given up",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().LostSessions) }) == 2 })
	env.startNode()
	env.waitUntil("the new media node is listed", func() bool {
		return env.onLoop(env.director.NodeCount) == 1 &&
			env.onLoop(func() int { return int(env.director.Stats().NodeLists) }) > 1
	})
	env.wantStatus("paid again", env.get("paid", paid), 410)
	env.waitUntil("free again", func() bool {
		got := env.get("free", free)
		return got.status == 200 && mediaURL(got.body) != mediaURL(first.body)
	})
}

// Guards against a seat that is given twice: a session is lost in a silence, and its media node may still play it.
func TestLostSessionHoldsItsSeat(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Classes[1].MaxPerTitle = 1 })
	env.wantStatus("first", env.get("free", env.token("free", "a")), 200)
	lost := health.Action{Kind: health.SessionLost, MayPlay: true}
	env.onLoop(func() int {
		for id, s := range env.director.sessions {
			lost.Node, lost.Session = health.NodeID(s.node), health.SessionID(id)
		}
		env.director.applyHealthAction(lost)
		return 0
	})
	env.wantStatus("while it may play", env.get("free", env.token("free", "b")), 503)
	env.onLoop(func() int {
		env.director.applyHealthAction(health.Action{Kind: health.LostSessionGone, Node: lost.Node, Session: lost.Session})
		return 0
	})
	env.wantStatus("afterwards", env.get("free", env.token("free", "c")), 200)
}

// The discovery service becomes unavailable: the last node list stays in force.
func TestDiscoveryUnavailable(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.discovery.Close()
	env.waitUntil("the failure is logged", func() bool {
		return strings.Contains(env.log.String(), "box list is not at hand")
	})
	env.wantStatus("on the last list", env.get("free", env.token("free", "a")), 200)
}

// An orderly shutdown, as on SIGTERM: pending requests are answered, new ones refused, and sessions ended at their
// media nodes, within the configured times.
func TestStop(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.wantStatus("plays", env.get("free", env.token("free", "a")), 200)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 200})
	idleConn, err := net.Dial("tcp4", env.director.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer idleConn.Close()
	fmt.Fprintf(idleConn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	out := env.getAsync("paid", env.token("paid", "b"))
	env.waitUntil("the set-up is pending",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) == 2 })
	start := time.Now()
	env.director.Stop()
	env.wantStatus("the pending request", <-out, 200)
	env.waitUntil("the listener is closed", func() bool { // until then new sessions are refused
		a := env.get("free", env.token("free", "late"))
		if a.err == nil && (a.status != 503 || !strings.Contains(a.body, "refused-stopping")) {
			t.Fatalf("during the shutdown: %d %s", a.status, a.body)
		}
		return a.err != nil
	})
	if n := env.setupCount(); n != 2 {
		t.Errorf("%d set-ups, one after the stop", n)
	}
	select {
	case err := <-env.loopEnded:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("did not stop\n%s", env.log)
	}
	if elapsed := time.Since(start); elapsed > 2500*time.Millisecond {
		t.Errorf("stopped after %v; times.finish_ms, play_ms and end_ms add up to 1.6 s", elapsed)
	}
	env.waitUntil("sessions are ended at the media node", func() bool {
		n, _ := env.nodes[0].Counts()
		return n == 0
	})
	idleConn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadAll(idleConn); err != nil {
		t.Errorf("an idle connection is not closed cleanly: %v", err)
	}
}

// A session continues after its token has expired; a new one cannot be started with that token.
func TestTokenExpiresDuringSession(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Tokens.SkewMs = 0 })
	raw := env.tokenFor("free", "short", 700*time.Millisecond)
	got := env.wantStatus("begins", env.get("free", raw), 200)
	manifest, err := dash.Parse([]byte(got.body))
	if err != nil {
		t.Fatal(err)
	}
	env.waitUntil("the token has expired", func() bool { return env.get("free", raw).status == 401 })
	status := func(url string) int {
		resp, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if s := status(manifest.Media(0, 3)); s != 200 {
		t.Errorf("its own session: %d", s)
	}
	other := env.wantStatus("other", env.get("free", env.token("free", "other")), 200)
	otherManifest, _ := dash.Parse([]byte(other.body))
	if s := status(strings.ReplaceAll(otherManifest.Media(0, 3), "token=", "x=") + "&token=" + raw); s != 403 {
		t.Errorf("another's session: %d", s)
	}
	if s := status(strings.Replace(manifest.Media(0, 3), "token=", "x=", 1)); s != 401 {
		t.Errorf("without a token: %d", s)
	}
}

// Browsers need CORS headers, and players use HEAD and range requests.
func TestBrowserPlayers(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	do := func(method, url string, head ...string) *http.Response {
		req, _ := http.NewRequest(method, url, nil)
		for i := 0; i < len(head); i += 2 {
			req.Header.Set(head[i], head[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	raw := env.token("free", "a")
	url := env.baseURL + "/dash/free-title/manifest.mpd"
	if p := do("OPTIONS", url,
		"Origin", "http://page", "Access-Control-Request-Headers", "authorization"); p.StatusCode != 204 ||
		!strings.Contains(p.Header.Get("Access-Control-Allow-Headers"), "Authorization") {
		t.Errorf("preflight: %v", p.Header)
	}
	if p := do("GET", url, "Authorization", "bearer "+raw); p.StatusCode != 200 ||
		p.Header.Get("Access-Control-Allow-Origin") != "*" {
		t.Errorf("bearer: %d %v", p.StatusCode, p.Header)
	}
	if p := do("HEAD", url+"?token="+raw); p.StatusCode != 405 {
		t.Errorf("HEAD of a manifest: %d", p.StatusCode)
	}
	mpd, _ := dash.Parse([]byte(env.get("free", raw).body))
	segment := mpd.Media(0, 0)
	if p := do("HEAD", segment); p.StatusCode != 200 || p.ContentLength != 5000 ||
		p.Header.Get("Access-Control-Allow-Origin") != "*" {
		t.Errorf("HEAD of a segment: %d %d", p.StatusCode, p.ContentLength)
	}
	if p := do("GET", segment, "Range", "bytes=100-199"); p.StatusCode != 206 || p.ContentLength != 100 ||
		p.Header.Get("Content-Range") != "bytes 100-199/5000" {
		t.Errorf("range: %d %v", p.StatusCode, p.Header)
	}
	if p := do("OPTIONS", segment); p.StatusCode != 204 {
		t.Errorf("preflight of a segment: %d", p.StatusCode)
	}
}

// Guards against a request that is lost in the close of an idle connection: it has arrived, and the loop has not read it.
func TestRequestBeforeAnIdleClose(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	conn, err := net.Dial("tcp4", env.director.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	fmt.Fprint(conn, request)
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, first.Body)
	env.onLoop(func() int {
		fmt.Fprint(conn, request)
		for v := range env.director.viewers {
			for deadline := time.Now().Add(5 * time.Second); v.conn.Reusable() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			v.drain()
		}
		return 0
	})
	second, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("a request that had arrived got no answer: %v", err)
	}
	if second.StatusCode != 200 {
		t.Errorf("status %d", second.StatusCode)
	}
}

// Guards against a shutdown that ends while the token of a request is being verified: the request has no answer yet.
func TestStopWaitsForTokenChecks(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Times.SetupDrainMs = 60000 })
	env.onLoop(func() int { env.director.tokenChecks++; return 0 })
	env.director.Stop()
	time.Sleep(time.Duration(2*env.cfg.Times.NoticeMs) * time.Millisecond)
	phase := env.onLoop(func() int {
		env.director.tokenChecks--
		return int(env.director.shutdown.Phase())
	})
	if phase != int(shutdown.PhaseDrainingSetups) {
		t.Errorf("phase %v while a token is being verified", shutdown.Phase(phase))
	}
}

// Guards against a session that is left at its media node by a stop: the answer to its set-up comes after the time-out,
// while the stop waits for other sessions, and no viewer claims it.
func TestStopEndsUnclaimedSessions(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, n *medianode.Config) {
		s.Times.SessionDrainMs, n.OrphanTimeoutMs = 2000, 60000
	})
	env.wantStatus("plays", env.get("free", env.token("free", "a")), 200)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 750})
	out := env.getAsync("paid", env.token("paid", "b"))
	env.waitUntil("the set-up is pending",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) == 2 })
	env.director.Stop()
	env.wantStatus("the pending request", <-out, 504)
	select {
	case <-env.loopEnded:
	case <-time.After(10 * time.Second):
		t.Fatalf("did not stop\n%s", env.log)
	}
	if n := env.director.Stats().LateSuccesses; n != 1 {
		t.Fatalf("%d late answers: the test proves nothing", n)
	}
	env.waitUntil("no session is left at the media node", func() bool {
		n, _ := env.nodes[0].Counts()
		return n == 0
	})
}
