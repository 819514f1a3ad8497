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

	"github.com/coder/websocket"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"headmill/decide/limits"
	pb "headmill/internal/api/sessionv1"
	"headmill/internal/config"
	"headmill/internal/dash"
	"headmill/internal/standin/balancer"
	"headmill/internal/standin/medianode"
)

// player is a client of the session API, on an independent WebSocket library.
type player struct {
	env      *testEnv
	conn     *websocket.Conn
	isJSON   bool
	ctx      context.Context
	messages chan *pb.ServerMessage
	readErr  chan error
}

// dialWebSocket opens a connection that offers the subprotocol and the further protocols.
func (e *testEnv) dialWebSocket(subprotocol string, head http.Header,
	protocols ...string) (*player, *http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	e.t.Cleanup(cancel)
	c, resp, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(e.baseURL, "http")+"/session",
		&websocket.DialOptions{HTTPHeader: head, Subprotocols: append([]string{subprotocol}, protocols...)})
	if err != nil {
		return nil, resp, err
	}
	p := &player{
		env:      e,
		conn:     c,
		isJSON:   subprotocol == jsonProtocol,
		ctx:      ctx,
		messages: make(chan *pb.ServerMessage, 1000),
		readErr:  make(chan error, 1),
	}
	go func() {
		for {
			_, b, err := c.Read(ctx)
			if err != nil {
				p.readErr <- err
				close(p.messages)
				return
			}
			m := &pb.ServerMessage{}
			if p.isJSON {
				err = protojson.Unmarshal(b, m)
			} else {
				err = proto.Unmarshal(b, m)
			}
			if err != nil {
				p.readErr <- err
				close(p.messages)
				return
			}
			p.messages <- m
		}
	}()
	e.t.Cleanup(func() { c.CloseNow() })
	return p, resp, nil
}

func (e *testEnv) dialPlayer(raw string) *player {
	e.t.Helper()
	p, _, err := e.dialWebSocket(protoProtocol, http.Header{"Authorization": {"Bearer " + raw}})
	if err != nil {
		e.t.Fatal(err)
	}
	return p
}

func (p *player) send(m *pb.ClientMessage) {
	p.env.t.Helper()
	var b []byte
	kind := websocket.MessageBinary
	if p.isJSON {
		b, _ = protojson.Marshal(m)
		kind = websocket.MessageText
	} else {
		b, _ = proto.Marshal(m)
	}
	if err := p.conn.Write(p.ctx, kind, b); err != nil {
		p.env.t.Fatal(err)
	}
}

func (p *player) open(id uint64, raw string) {
	p.env.t.Helper()
	p.send(&pb.ClientMessage{Id: id, Body: &pb.ClientMessage_Open{Open: &pb.Open{Token: raw}}})
}

// waitFor returns the next message that ok accepts and skips others.
func (p *player) waitFor(what string, ok func(*pb.ServerMessage) bool) *pb.ServerMessage {
	p.env.t.Helper()
	for {
		select {
		case m, more := <-p.messages:
			if !more {
				p.env.t.Fatalf("%s: the connection ended: %v\n%s", what, <-p.readErr, p.env.log)
			}
			if ok(m) {
				return m
			}
		case <-time.After(10 * time.Second):
			p.env.t.Fatalf("%s: timed out after 10 s\n%s", what, p.env.log)
		}
	}
}

func (p *player) waitPlaying(id uint64) *pb.Playing {
	p.env.t.Helper()
	return p.waitFor("playing", func(m *pb.ServerMessage) bool {
		if m.Id == id && m.GetPlaying() == nil {
			p.env.t.Fatalf("message %d is answered by %v", id, m)
		}
		return m.Id == id
	}).GetPlaying()
}

func (p *player) waitFailed(id uint64) *pb.Failed {
	p.env.t.Helper()
	return p.waitFor("failed", func(m *pb.ServerMessage) bool {
		return m.Id == id && m.GetFailed() != nil
	}).GetFailed()
}

// waitClosed waits until the connection is closed and returns the close code.
func (p *player) waitClosed() websocket.StatusCode {
	p.env.t.Helper()
	for {
		select {
		case _, more := <-p.messages:
			if !more {
				return websocket.CloseStatus(<-p.readErr)
			}
		case <-time.After(10 * time.Second):
			p.env.t.Fatal("the connection did not end in 10 s")
		}
	}
}

// The session API works alike over both subprotocols: open, ping, report, end, and an unknown message.
func TestSessionOverBothSubprotocols(t *testing.T) {
	for _, subprotocol := range []string{protoProtocol, jsonProtocol} {
		env := newTestEnv(t, 1, nil)
		raw := env.token("free", "a")
		// Like a browser: no Authorization field, and the token among the offered subprotocols.
		p, resp, err := env.dialWebSocket(subprotocol, nil, tokenProtocol+raw)
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header.Get("Sec-WebSocket-Protocol"); got != subprotocol {
			t.Errorf("subprotocol %q", got)
		}
		p.send(&pb.ClientMessage{Id: 7, Body: &pb.ClientMessage_Open{Open: &pb.Open{Inline: true}}})
		m := p.waitPlaying(7)
		mpd, err := dash.Parse([]byte(m.Manifest))
		if err != nil || m.Jti != "a" || m.KbitPerS != 160 || m.Rung != 1 {
			t.Fatalf("%v %v", m, err)
		}
		if resp, err := http.Get(mpd.Media(0, 0)); err != nil || resp.StatusCode != 200 {
			t.Errorf("segment: %v %v", resp, err)
		}
		if a := fetch(context.Background(), m.ManifestUrl); a.status != 200 || mediaURL(a.body) != mpd.BaseURL {
			t.Errorf("manifest by its address: %d", a.status)
		}
		p.open(8, env.token("paid", "b")) // second session on the same connection
		p.waitPlaying(8)
		p.send(&pb.ClientMessage{Id: 9, Body: &pb.ClientMessage_Ping{Ping: &pb.Ping{Nonce: 5}}})
		p.waitFor("pong", func(m *pb.ServerMessage) bool { return m.Id == 9 && m.GetPong().GetNonce() == 5 })
		if err := p.conn.Ping(p.ctx); err != nil {
			t.Errorf("ping frame: %v", err)
		}
		p.send(&pb.ClientMessage{
			Id:   10,
			Body: &pb.ClientMessage_Report{Report: &pb.Report{Jti: "b", Cmcd: "bl=2000,br=160"}},
		})
		env.waitUntil("the report is accepted",
			func() bool { return env.onLoop(func() int { return int(env.director.Stats().ReportsAccepted) }) == 1 })
		p.send(&pb.ClientMessage{Id: 11}) // a message of a later version
		if f := p.waitFailed(11); f.Status != 400 {
			t.Errorf("unknown message: %v", f)
		}
		p.send(&pb.ClientMessage{Id: 12, Body: &pb.ClientMessage_End{End: &pb.End{}}})
		p.waitFor("its end", func(m *pb.ServerMessage) bool { return m.GetEnded().GetJti() == "a" })
		env.waitUntil("one session plays on", func() bool { n, _ := env.nodes[0].Counts(); return n == 1 })
		if n := env.onLoop(func() int { return int(env.director.Quotas().Usage(limits.SocketSessions).Used) }); n != 1 {
			t.Errorf("%d sessions attached to connections", n)
		}
		p.conn.Close(websocket.StatusNormalClosure, "bye")
		env.waitUntil("the connection is removed",
			func() bool { return env.onLoop(func() int { return len(env.director.webSockets) }) == 0 })
	}
}

// Rung changes and the end of a session are pushed to the player.
func TestRungAndEndArePushed(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	p := env.dialPlayer(env.token("free", "a"))
	p.open(1, "")
	if m := p.waitPlaying(1); m.Rung != 1 {
		t.Fatalf("%v", m)
	}
	env.nodes[0].SetFaults(medianode.Faults{Slowdown: 1e6}) // almost no throughput: the module lowers the rungs there
	p.waitFor("lower rung", func(m *pb.ServerMessage) bool {
		return m.GetRung() != nil && m.GetRung().Rung == 0 && m.GetRung().KbitPerS == 80
	})
	env.nodes[0].Close()
	p.waitFor("its loss", func(m *pb.ServerMessage) bool { return m.GetEnded().GetWhy() == "lost" })
}

// The same token over DASH and WebSocket at the same time: one set-up answers both.
func TestSameTokenOnDASHAndWebSocket(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 150})
	raw := env.token("paid", "j")
	p := env.dialPlayer(raw)
	p.open(1, "")
	overDASH := env.getAsync("paid", raw)
	m := p.waitPlaying(1)
	a := env.wantStatus("DASH", <-overDASH, 200)
	if got := fetch(context.Background(), m.ManifestUrl); mediaURL(got.body) != mediaURL(a.body) {
		t.Errorf("%s and %s", mediaURL(got.body), mediaURL(a.body))
	}
	if n := env.setupCount(); n != 1 {
		t.Fatalf("%d set-ups", n)
	}
}

// A playing session survives the loss of its connection: a new connection attaches to it with the same token, and
// without one it ends after times.tie_ms. A paid session is not set up again.
func TestWebSocketLoss(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Times.DetachedTTLMs = 700 })
	raw := env.token("paid", "j")
	p := env.dialPlayer(raw)
	p.open(1, "")
	p.waitPlaying(1)
	for range 3 {
		p.conn.CloseNow()
		env.waitUntil("the connection is removed",
			func() bool { return env.onLoop(func() int { return len(env.director.webSockets) }) == 0 })
		p = env.dialPlayer(raw)
		p.open(1, "")
		p.waitPlaying(1)
	}
	p.conn.CloseNow()
	env.waitUntil("it ends after times.tie_ms", func() bool { n, _ := env.nodes[0].Counts(); return n == 0 })
	p = env.dialPlayer(raw)
	p.open(1, "")
	if f := p.waitFailed(1); f.Status != 410 {
		t.Errorf("after its end: %v", f)
	}
	// The loss of the connection between the request and its answer.
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 200})
	raw = env.token("paid", "k")
	p.open(2, raw)
	env.waitUntil("the attempt is sent",
		func() bool { return env.onLoop(func() int { return int(env.director.Stats().Attempts) }) == 2 })
	p.conn.CloseNow()
	env.waitUntil("the media node runs it", func() bool { n, _ := env.nodes[0].Counts(); return n == 1 })
	p = env.dialPlayer(raw)
	p.open(1, "")
	p.waitPlaying(1)
	if n := env.setupCount(); n != 2 {
		t.Fatalf("%d set-ups for two sessions", n)
	}
}

// Sessions started over DASH can be watched and ended over WebSocket, and the other way round.
func TestSessionSharedByDASHAndWebSocket(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Times.DetachedTTLMs = 300 })
	// Started over DASH, watched and ended over WebSocket; the loss of the watcher does not end it.
	raw := env.token("free", "a")
	env.wantStatus("DASH", env.get("free", raw), 200)
	p := env.dialPlayer(raw)
	p.send(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{WatchOnly: true}}})
	p.waitPlaying(1)
	p.send(&pb.ClientMessage{
		Id:   2,
		Body: &pb.ClientMessage_Open{Open: &pb.Open{WatchOnly: true, Token: env.token("free", "none")}},
	})
	if f := p.waitFailed(2); f.Status != 404 {
		t.Errorf("watching an unknown session: %v", f)
	}
	p.conn.CloseNow()
	time.Sleep(600 * time.Millisecond) // twice times.tie_ms: there is no event to wait for when nothing must happen
	env.wantStatus("still playing", env.get("free", raw), 200)
	p = env.dialPlayer(raw)
	p.send(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_End{End: &pb.End{}}})
	p.waitFor("ended", func(m *pb.ServerMessage) bool { return m.Id == 1 && m.GetEnded() != nil })
	env.waitUntil("ended at the media node", func() bool { n, _ := env.nodes[0].Counts(); return n == 0 })
	// Started over WebSocket, its manifest fetched and ended over DASH.
	raw = env.token("paid", "b")
	p.open(3, raw)
	p.waitPlaying(3)
	env.wantStatus("manifest", env.get("paid", raw), 200)
	end := func() int {
		req, _ := http.NewRequest("DELETE", env.baseURL+"/dash/paid-title/manifest.mpd?token="+raw, nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if s := end(); s != 204 {
		t.Errorf("end over DASH: %d", s)
	}
	p.waitFor("ended", func(m *pb.ServerMessage) bool { return m.GetEnded().GetJti() == "b" })
	if s := end(); s != 404 {
		t.Errorf("second end: %d", s)
	}
	env.wantStatus("a paid one is not set up again", env.get("paid", raw), 410)
}

// Floods of messages on one connection cost no more than an answer each.
func TestMessageFloods(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) {
		s.Limits.PendingPerSocket, s.Limits.SessionsPerSocket, s.Times.ReportMs, s.Limits.Reports = 4, 6, 1000, 64
	})
	env.nodes[0].SetFaults(medianode.Faults{AnswerDelayMs: 100})
	p := env.dialPlayer(env.token("free", "own"))
	const n = 200
	for i := range n {
		p.open(uint64(i+1), env.token("free", fmt.Sprint("f", i)))
	}
	played, refused := 0, 0
	for range n {
		m := p.waitFor("an answer", func(m *pb.ServerMessage) bool { return m.Id > 0 })
		switch {
		case m.GetPlaying() != nil:
			played++
		case m.GetRefused().GetReason() == "crowd" && m.GetRefused().RetryAfterMs > 0:
			refused++
		default:
			t.Fatalf("%v", m)
		}
	}
	if played == 0 || played > 6 || played+refused != n {
		t.Errorf("%d play, %d refused", played, refused)
	}
	env.nodes[0].SetFaults(medianode.Faults{})
	sent := 0
	for range 100 * played { // a hundred times the agreed reports, together over the limit of bytes
		p.send(&pb.ClientMessage{Body: &pb.ClientMessage_Report{Report: &pb.Report{
			Jti:  "f0",
			Cmcd: strings.Repeat("x", 40),
		}}})
		sent++
	}
	env.waitUntil("all are counted", func() bool {
		return env.onLoop(func() int {
			return int(env.director.Stats().ReportsAccepted + env.director.Stats().ReportsDropped)
		}) == sent
	})
	if accepted := env.onLoop(func() int { return int(env.director.Stats().ReportsAccepted) }); accepted > 3*played+8 {
		t.Errorf("%d of %d reports accepted", accepted, sent)
	}
	if used := env.onLoop(func() int { return int(env.director.Quotas().Usage(limits.Reports).Used) }); used > 64 {
		t.Errorf("%d bytes of reports kept, the limit is 64", used)
	}
}

// Players that do not answer pings, or do not read, are disconnected.
func TestSilentAndSlowPlayers(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) {
		s.Times.PingMs, s.Times.PongMs, s.Limits.Output = 200, 300, 16384
	})
	handshake := func() net.Conn {
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET /session HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
			"Sec-WebSocket-Protocol: %s\r\nAuthorization: Bearer %s\r\n\r\n",
			protoProtocol, env.token("free", "a"))
		return c
	}
	// Pings are never answered: the connection is closed.
	c := handshake()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 101 ") || !strings.HasSuffix(string(b), "\x89\x00") {
		t.Errorf("%q %v", b, err)
	}
	// A player that never reads is disconnected, as a slow reader or, where the kernel stops passing on its input as well, for
	// its silence; its output is not buffered without limit.
	most := 0
	pendingOutput := func() int {
		return env.onLoop(func() int {
			pending, _ := env.director.pendingOutput()
			return pending
		})
	}
	c = handshake()
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	ping := append([]byte{0x89, 0x80 | 100, 0, 0, 0, 0}, make([]byte, 100)...)
	for i := 0; ; i++ {
		if _, err := c.Write(ping); err != nil {
			break
		}
		if i%1000 == 0 {
			most = max(most, pendingOutput())
		}
	}
	env.waitUntil("it is disconnected",
		func() bool { return env.onLoop(func() int { return len(env.director.webSockets) }) == 0 })
	if most = max(most, pendingOutput()); most > 16384 {
		t.Errorf("%d bytes of output were pending", most)
	}
}

// Invalid opening handshakes get the matching status (RFC 6455 section 4.2).
func TestInvalidHandshakes(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	good := map[string]string{
		"Upgrade":                "websocket",
		"Connection":             "keep-alive, Upgrade",
		"Sec-WebSocket-Version":  "13",
		"Sec-WebSocket-Key":      "dGhlIHNhbXBsZSBub25jZQ==",
		"Sec-WebSocket-Protocol": jsonProtocol,
		"Authorization":          "Bearer " + env.token("free", "a"),
	}
	for name, c := range map[string]struct {
		method, field, value string
		status               int
	}{
		"good":           {"GET", "", "", 101},
		"POST":           {"POST", "", "", 405},
		"no upgrade":     {"GET", "Upgrade", "", 400},
		"no connection":  {"GET", "Connection", "keep-alive", 400},
		"no key":         {"GET", "Sec-WebSocket-Key", "", 400},
		"short key":      {"GET", "Sec-WebSocket-Key", "eA==", 400},
		"version 8":      {"GET", "Sec-WebSocket-Version", "8", 426},
		"no subprotocol": {"GET", "Sec-WebSocket-Protocol", "", 400},
		"another one":    {"GET", "Sec-WebSocket-Protocol", "chat", 400},
		"no token":       {"GET", "Authorization", "", 401},
		"nonsense":       {"GET", "Authorization", "Bearer x.y.z", 401},
		"expired":        {"GET", "Authorization", "Bearer " + env.tokenFor("free", "x", -time.Minute), 401},
	} {
		conn, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "%s /session HTTP/1.1\r\nHost: x\r\n", c.method)
		for k, v := range good {
			if k == c.field {
				v = c.value
			}
			if v != "" {
				fmt.Fprintf(conn, "%s: %s\r\n", k, v)
			}
		}
		io.WriteString(conn, "\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err != nil || resp.StatusCode != c.status {
			t.Errorf("%s: %v %v, want %d", name, resp, err, c.status)
			continue
		}
		if c.status == 101 && resp.Header.Get("Sec-WebSocket-Accept") != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" {
			t.Errorf("%s: %v", name, resp.Header)
		}
		if c.status == 426 && resp.Header.Get("Sec-WebSocket-Version") != "13" {
			t.Errorf("%s: %v", name, resp.Header)
		}
	}
}

// Each protocol violation closes its connection with the matching code, and no other connection.
func TestProtocolViolations(t *testing.T) {
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Limits.Message = 2000 })
	other := env.dialPlayer(env.token("free", "keep"))
	for name, c := range map[string]struct {
		kind websocket.MessageType
		data string
		code websocket.StatusCode
	}{
		"text on the binary subprotocol": {websocket.MessageText, "{}", websocket.StatusUnsupportedData},
		"not a message":                  {websocket.MessageBinary, "\xff\xff", websocket.StatusInvalidFramePayloadData},
		"too long":                       {websocket.MessageBinary, strings.Repeat("x", 2001), websocket.StatusMessageTooBig},
		"far too long":                   {websocket.MessageBinary, strings.Repeat("x", 900<<10), websocket.StatusMessageTooBig},
		"over a megabyte too long":       {websocket.MessageBinary, strings.Repeat("x", 5<<20), websocket.StatusMessageTooBig},
	} {
		p := env.dialPlayer(env.token("free", "a"))
		if err := p.conn.Write(p.ctx, c.kind, []byte(c.data)); err != nil {
			t.Fatal(err)
		}
		if code := p.waitClosed(); code != c.code {
			t.Errorf("%s: closed with %d, want %d", name, code, c.code)
		}
	}
	p := env.dialPlayer(env.token("free", "a"))
	go p.conn.Close(4321, "mine") // the director answers a close frame with one
	p.waitClosed()
	env.waitUntil("only the other connection is left",
		func() bool { return env.onLoop(func() int { return len(env.director.webSockets) }) == 1 })
	other.open(1, "")
	other.waitPlaying(1)
}

// A shutdown closes players' connections with 1001 (going away).
func TestStopClosesWithGoingAway(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	p := env.dialPlayer(env.token("free", "a"))
	p.open(1, "")
	p.waitPlaying(1)
	env.director.Stop()
	env.waitUntil("the shutdown begins",
		func() bool { return env.onLoop(func() int { return int(env.director.shutdown.Phase()) }) > 0 })
	p.open(2, env.token("free", "b"))
	p.waitFor("refused", func(m *pb.ServerMessage) bool {
		return m.Id == 2 && m.GetRefused().GetReason() == "stopping"
	})
	if code := p.waitClosed(); code != websocket.StatusGoingAway {
		t.Errorf("closed with %d", code)
	}
}

// Limits lowered below the current usage take nothing away; new sessions and connections are refused until they fit.
func TestLoweredLimits(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	p := env.dialPlayer(env.token("free", "a"))
	for i := range 4 {
		p.open(uint64(i+1), env.token("free", fmt.Sprint("s", i)))
		p.waitPlaying(uint64(i + 1))
	}
	lower := func(edit func(*config.Limits)) {
		fresh := *env.cfg
		edit(&fresh.Limits)
		env.onLoop(func() int { env.director.Reload(&fresh); return 0 })
	}
	lower(func(l *config.Limits) { l.Sessions = 2 })
	p.open(9, env.token("free", "more"))
	p.waitFor("refused", func(m *pb.ServerMessage) bool { return m.Id == 9 && m.GetRefused().GetReason() == "full" })
	env.wantStatus("DASH", env.get("free", env.token("free", "more2")), 503)
	if n, _ := env.nodes[0].Counts(); n != 4 {
		t.Errorf("%d sessions play, four did", n)
	}
	p.open(10, env.token("free", "s0")) // it plays already
	p.waitPlaying(10)
	lower(func(l *config.Limits) { l.Sessions, l.Connections = 100, 1 })
	if a := env.get("free", env.token("free", "more3")); a.err == nil {
		t.Errorf("a connection over the limit: %d", a.status)
	}
	p.open(11, env.token("free", "more4")) // on the open connection
	p.waitPlaying(11)
}

// A director that starts to drain reports it in the next agent check: a load balancer that checks every 100 ms sends
// it no new sessions from 250 ms on. Checks are not counted as sessions.
func TestBalancerSeesADrain(t *testing.T) {
	agent := func(s *config.Settings, _ *medianode.Config) {
		s.Director.Agent, s.Times.SessionDrainMs = "127.0.0.1:0", 2000
	}
	first, second := newTestEnv(t, 1, agent), newTestEnv(t, 1, agent)
	lb, err := balancer.Start(100*time.Millisecond,
		&balancer.Server{Addr: first.director.Addr(), Agent: first.director.AgentAddr()},
		&balancer.Server{Addr: second.director.Addr(), Agent: second.director.AgentAddr()})
	if err != nil {
		t.Fatal(err)
	}
	defer lb.Close()
	if s := lb.ServerState(0); !s.Up || s.Weight != 100 {
		t.Fatalf("%+v", s)
	}
	n := 0
	request := func() reply {
		n++
		return fetch(context.Background(),
			"http://"+lb.Addr()+"/dash/free-title/manifest.mpd?token="+first.token("free", fmt.Sprint("lb", n)))
	}
	for range 10 {
		first.wantStatus("before", request(), 200)
	}
	sessions := first.onLoop(func() int { return int(first.director.Stats().Played) })
	if sessions != 5 || first.onLoop(func() int { return int(first.director.Stats().AgentChecks) }) == 0 {
		t.Fatalf("%d sessions of 10 at the first of two, with checks", sessions)
	}
	first.director.Stop()
	start := time.Now()
	refused := 0
	for time.Since(start) < 800*time.Millisecond {
		at := time.Since(start)
		got := request()
		if got.status != 200 {
			refused++
			if at > 250*time.Millisecond {
				t.Errorf("%v after the drain began: %d %v", at, got.status, got.err)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := first.onLoop(func() int { return int(first.director.Stats().Played) }); got != sessions {
		t.Errorf("%d new sessions after the drain began", got-sessions)
	}
	if lb.ServerState(0).Up {
		t.Error("the balancer has not seen the drain")
	}
}

// Players on the JSON subprotocol may omit fields and send unknown ones.
func TestJSONSubprotocol(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	p, _, err := env.dialWebSocket(jsonProtocol, http.Header{"Authorization": {"Bearer " + env.token("free", "a")}})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.conn.Write(p.ctx, websocket.MessageText,
		[]byte(`{"id":"3","open":{"watchOnly":false,"later":1}}`)); err != nil {
		t.Fatal(err)
	}
	if m := p.waitPlaying(3); !json.Valid([]byte(fmt.Sprintf("%q", m.ManifestUrl))) || m.Jti != "a" {
		t.Errorf("%v", m)
	}
}
