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
	sbox "headmill/internal/standin/medianode"
)

// player is the peer: a well-known client library on the published protocol.
type player struct {
	r    *rig
	c    *websocket.Conn
	json bool
	ctx  context.Context
	in   chan *pb.ServerMessage
	err  chan error
}

func (r *rig) socket(sub string, head http.Header, protocols ...string) (*player, *http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	r.t.Cleanup(cancel)
	c, resp, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(r.url, "http")+"/session",
		&websocket.DialOptions{HTTPHeader: head, Subprotocols: append([]string{sub}, protocols...)})
	if err != nil {
		return nil, resp, err
	}
	p := &player{r: r, c: c, json: sub == jsonProtocol, ctx: ctx, in: make(chan *pb.ServerMessage, 1000), err: make(chan error, 1)}
	go func() {
		for {
			_, b, err := c.Read(ctx)
			if err != nil {
				p.err <- err
				close(p.in)
				return
			}
			m := &pb.ServerMessage{}
			if p.json {
				err = protojson.Unmarshal(b, m)
			} else {
				err = proto.Unmarshal(b, m)
			}
			if err != nil {
				p.err <- err
				close(p.in)
				return
			}
			p.in <- m
		}
	}()
	r.t.Cleanup(func() { c.CloseNow() })
	return p, resp, nil
}

func (r *rig) player(raw string) *player {
	r.t.Helper()
	p, _, err := r.socket(protoProtocol, http.Header{"Authorization": {"Bearer " + raw}})
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

func (p *player) send(m *pb.ClientMessage) {
	p.r.t.Helper()
	var b []byte
	kind := websocket.MessageBinary
	if p.json {
		b, _ = protojson.Marshal(m)
		kind = websocket.MessageText
	} else {
		b, _ = proto.Marshal(m)
	}
	if err := p.c.Write(p.ctx, kind, b); err != nil {
		p.r.t.Fatal(err)
	}
}

func (p *player) open(id uint64, raw string) {
	p.r.t.Helper()
	p.send(&pb.ClientMessage{Id: id, Body: &pb.ClientMessage_Open{Open: &pb.Open{Token: raw}}})
}

// next waits for the next message that ok takes; others are passed over.
func (p *player) next(what string, ok func(*pb.ServerMessage) bool) *pb.ServerMessage {
	p.r.t.Helper()
	for {
		select {
		case m, more := <-p.in:
			if !more {
				p.r.t.Fatalf("%s: the connection ended: %v\n%s", what, <-p.err, p.r.log)
			}
			if ok(m) {
				return m
			}
		case <-time.After(10 * time.Second):
			p.r.t.Fatalf("%s: not seen in 10 s\n%s", what, p.r.log)
		}
	}
}

func (p *player) playing(id uint64) *pb.Playing {
	p.r.t.Helper()
	return p.next("playing", func(m *pb.ServerMessage) bool {
		if m.Id == id && m.GetPlaying() == nil {
			p.r.t.Fatalf("message %d is answered by %v", id, m)
		}
		return m.Id == id
	}).GetPlaying()
}

func (p *player) failed(id uint64) *pb.Failed {
	p.r.t.Helper()
	return p.next("failed", func(m *pb.ServerMessage) bool { return m.Id == id && m.GetFailed() != nil }).GetFailed()
}

// end waits for the connection's end and returns the close code.
func (p *player) end() websocket.StatusCode {
	p.r.t.Helper()
	for {
		select {
		case _, more := <-p.in:
			if !more {
				return websocket.CloseStatus(<-p.err)
			}
		case <-time.After(10 * time.Second):
			p.r.t.Fatal("the connection did not end in 10 s")
		}
	}
}

func TestSessionOverBothSubprotocols(t *testing.T) {
	for _, sub := range []string{protoProtocol, jsonProtocol} {
		r := newRig(t, 1, nil)
		raw := r.token("free", "a")
		// As a browser does: no header field, the token among the offered protocols.
		p, resp, err := r.socket(sub, nil, tokenProtocol+raw)
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header.Get("Sec-WebSocket-Protocol"); got != sub {
			t.Errorf("subprotocol %q", got)
		}
		p.send(&pb.ClientMessage{Id: 7, Body: &pb.ClientMessage_Open{Open: &pb.Open{Inline: true}}})
		m := p.playing(7)
		mpd, err := dash.Parse([]byte(m.Manifest))
		if err != nil || m.Jti != "a" || m.KbitPerS != 160 || m.Rung != 1 {
			t.Fatalf("%v %v", m, err)
		}
		if resp, err := http.Get(mpd.Media(0, 0)); err != nil || resp.StatusCode != 200 {
			t.Errorf("segment: %v %v", resp, err)
		}
		if a := fetch(context.Background(), m.ManifestUrl); a.status != 200 || base(a.body) != mpd.Base {
			t.Errorf("manifest by its address: %d", a.status)
		}
		p.open(8, r.token("paid", "b")) // a second session on the same connection
		p.playing(8)
		p.send(&pb.ClientMessage{Id: 9, Body: &pb.ClientMessage_Ping{Ping: &pb.Ping{Nonce: 5}}})
		p.next("pong", func(m *pb.ServerMessage) bool { return m.Id == 9 && m.GetPong().GetNonce() == 5 })
		if err := p.c.Ping(p.ctx); err != nil {
			t.Errorf("ping frame: %v", err)
		}
		p.send(&pb.ClientMessage{Id: 10, Body: &pb.ClientMessage_Report{Report: &pb.Report{Jti: "b", Cmcd: "bl=2000,br=160"}}})
		r.until("the report", func() bool { return r.on(func() int { return int(r.d.Stats().ReportsTaken) }) == 1 })
		p.send(&pb.ClientMessage{Id: 11}) // of a later version
		if f := p.failed(11); f.Status != 400 {
			t.Errorf("unknown message: %v", f)
		}
		p.send(&pb.ClientMessage{Id: 12, Body: &pb.ClientMessage_End{End: &pb.End{}}})
		p.next("its end", func(m *pb.ServerMessage) bool { return m.GetEnded().GetJti() == "a" })
		r.until("one plays on", func() bool { n, _ := r.boxes[0].Counts(); return n == 1 })
		if n := r.on(func() int { return int(r.d.Accounts().Usage(limits.Sockets).Used) }); n != 1 {
			t.Errorf("%d sessions booked on connections", n)
		}
		p.c.Close(websocket.StatusNormalClosure, "bye")
		r.until("the connection is gone", func() bool { return r.on(func() int { return len(r.d.sockets) }) == 0 })
	}
}

func TestRungAndEndArePushed(t *testing.T) {
	r := newRig(t, 1, nil)
	p := r.player(r.token("free", "a"))
	p.open(1, "")
	if m := p.playing(1); m.Rung != 1 {
		t.Fatalf("%v", m)
	}
	r.boxes[0].Set(sbox.Faults{Slow: 1e6}) // its link gives next to nothing: the module lowers what plays there
	p.next("lower rung", func(m *pb.ServerMessage) bool {
		return m.GetRung() != nil && m.GetRung().Rung == 0 && m.GetRung().KbitPerS == 80
	})
	r.boxes[0].Close()
	p.next("its loss", func(m *pb.ServerMessage) bool { return m.GetEnded().GetWhy() == "lost" })
}

// One token on both fronts at the same moment: one set-up, both answered with it.
func TestTokenOnBothFronts(t *testing.T) {
	r := newRig(t, 1, nil)
	r.boxes[0].Set(sbox.Faults{AnswerMs: 150})
	raw := r.token("paid", "j")
	p := r.player(raw)
	p.open(1, "")
	over := r.go_("paid", raw)
	m := p.playing(1)
	a := r.want("DASH", <-over, 200)
	if got := fetch(context.Background(), m.ManifestUrl); base(got.body) != base(a.body) {
		t.Errorf("%s and %s", base(got.body), base(a.body))
	}
	if n := r.setups(); n != 1 {
		t.Fatalf("%d set-ups", n)
	}
}

// A session that plays survives the loss of its connection, is taken up with the same token on either front,
// and ends at the stated time where nobody comes. A paid one is never set up again for that.
func TestLossOfTheConnection(t *testing.T) {
	r := newRig(t, 1, func(s *config.Settings, _ *sbox.Config) { s.Times.DetachedTTLMs = 700 })
	raw := r.token("paid", "j")
	p := r.player(raw)
	p.open(1, "")
	p.playing(1)
	for range 3 {
		p.c.CloseNow()
		r.until("lost", func() bool { return r.on(func() int { return len(r.d.sockets) }) == 0 })
		p = r.player(raw)
		p.open(1, "")
		p.playing(1)
	}
	p.c.CloseNow()
	r.until("it ends after its time", func() bool { n, _ := r.boxes[0].Counts(); return n == 0 })
	p = r.player(raw)
	p.open(1, "")
	if f := p.failed(1); f.Status != 410 {
		t.Errorf("after its end: %v", f)
	}
	// Between "asked" and "playing".
	r.boxes[0].Set(sbox.Faults{AnswerMs: 200})
	raw = r.token("paid", "k")
	p.open(2, raw)
	r.until("asked", func() bool { return r.on(func() int { return int(r.d.Stats().Attempts) }) == 2 })
	p.c.CloseNow()
	r.until("the box runs it", func() bool { n, _ := r.boxes[0].Counts(); return n == 1 })
	p = r.player(raw)
	p.open(1, "")
	p.playing(1)
	if n := r.setups(); n != 2 {
		t.Fatalf("%d set-ups for two wanted sessions", n)
	}
}

func TestFrontsSeeOneAnother(t *testing.T) {
	r := newRig(t, 1, func(s *config.Settings, _ *sbox.Config) { s.Times.DetachedTTLMs = 300 })
	// Begun over DASH: watched and ended over WebSocket; the loss of the watcher does not end it.
	raw := r.token("free", "a")
	r.want("DASH", r.get("free", raw), 200)
	p := r.player(raw)
	p.send(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{WatchOnly: true}}})
	p.playing(1)
	p.send(&pb.ClientMessage{Id: 2, Body: &pb.ClientMessage_Open{Open: &pb.Open{WatchOnly: true, Token: r.token("free", "none")}}})
	if f := p.failed(2); f.Status != 404 {
		t.Errorf("watching nothing: %v", f)
	}
	p.c.CloseNow()
	time.Sleep(600 * time.Millisecond) // twice its time: what must not happen has no event to wait for
	r.want("still there", r.get("free", raw), 200)
	p = r.player(raw)
	p.send(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_End{End: &pb.End{}}})
	p.next("ended", func(m *pb.ServerMessage) bool { return m.Id == 1 && m.GetEnded() != nil })
	r.until("ended at the box", func() bool { n, _ := r.boxes[0].Counts(); return n == 0 })
	// Begun over WebSocket: its manifest and its end over DASH.
	raw = r.token("paid", "b")
	p.open(3, raw)
	p.playing(3)
	r.want("manifest", r.get("paid", raw), 200)
	end := func() int {
		req, _ := http.NewRequest("DELETE", r.url+"/dash/paid-title/manifest.mpd?token="+raw, nil)
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
	p.next("told", func(m *pb.ServerMessage) bool { return m.GetEnded().GetJti() == "b" })
	if s := end(); s != 404 {
		t.Errorf("end once more: %d", s)
	}
	r.want("a paid one is not set up again", r.get("paid", raw), 410)
}

// Floods on one connection cost an answer each and nothing more.
func TestFloods(t *testing.T) {
	r := newRig(t, 1, func(s *config.Settings, _ *sbox.Config) {
		s.Limits.PendingPerSocket, s.Limits.SessionsPerSocket, s.Times.ReportMs, s.Limits.Reports = 4, 6, 1000, 64
	})
	r.boxes[0].Set(sbox.Faults{AnswerMs: 100})
	p := r.player(r.token("free", "own"))
	const n = 200
	for i := range n {
		p.open(uint64(i+1), r.token("free", fmt.Sprint("f", i)))
	}
	played, refused := 0, 0
	for range n {
		m := p.next("an answer", func(m *pb.ServerMessage) bool { return m.Id > 0 })
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
	r.boxes[0].Set(sbox.Faults{})
	sent := 0
	for range 100 * played { // a hundred times as many reports as agreed, longer than their cap together
		p.send(&pb.ClientMessage{Body: &pb.ClientMessage_Report{Report: &pb.Report{Jti: "f0", Cmcd: strings.Repeat("x", 40)}}})
		sent++
	}
	r.until("all are seen", func() bool {
		return r.on(func() int { return int(r.d.Stats().ReportsTaken + r.d.Stats().ReportsDropped) }) == sent
	})
	if taken := r.on(func() int { return int(r.d.Stats().ReportsTaken) }); taken > 3*played+8 {
		t.Errorf("%d of %d reports taken", taken, sent)
	}
	if used := r.on(func() int { return int(r.d.Accounts().Usage(limits.Reports).Used) }); used > 64 {
		t.Errorf("%d bytes of reports kept, the cap is 64", used)
	}
}

func TestSilentAndSlowPlayers(t *testing.T) {
	r := newRig(t, 1, func(s *config.Settings, _ *sbox.Config) {
		s.Times.PingMs, s.Times.PongMs, s.Limits.Output = 200, 300, 16384
	})
	shake := func() net.Conn {
		c, err := net.Dial("tcp4", r.d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET /session HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: %s\r\nAuthorization: Bearer %s\r\n\r\n",
			protoProtocol, r.token("free", "a"))
		return c
	}
	// Pings never answered: cut.
	c := shake()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 101 ") || !strings.HasSuffix(string(b), "\x89\x00") {
		t.Errorf("%q %v", b, err)
	}
	// A player that never reads is cut, not buffered.
	c = shake()
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	ping := append([]byte{0x89, 0x80 | 100, 0, 0, 0, 0}, make([]byte, 100)...)
	for {
		if _, err := c.Write(ping); err != nil {
			break
		}
	}
	r.until("cut", func() bool { return r.on(func() int { return int(r.d.Stats().CutSlow) }) == 1 })
}

func TestHandshakesThatAreNone(t *testing.T) {
	r := newRig(t, 1, nil)
	good := map[string]string{"Upgrade": "websocket", "Connection": "keep-alive, Upgrade", "Sec-WebSocket-Version": "13",
		"Sec-WebSocket-Key": "dGhlIHNhbXBsZSBub25jZQ==", "Sec-WebSocket-Protocol": jsonProtocol, "Authorization": "Bearer " + r.token("free", "a")}
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
		"expired":        {"GET", "Authorization", "Bearer " + r.tokenFor("free", "x", -time.Minute), 401},
	} {
		conn, err := net.Dial("tcp4", r.d.Addr())
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

// Each violation ends the connection with its code, and only that connection.
func TestViolationsCloseWithTheirCode(t *testing.T) {
	r := newRig(t, 1, func(s *config.Settings, _ *sbox.Config) { s.Limits.Message = 2000 })
	keep := r.player(r.token("free", "keep"))
	for name, c := range map[string]struct {
		kind websocket.MessageType
		data string
		code websocket.StatusCode
	}{
		"text on the binary subprotocol": {websocket.MessageText, "{}", websocket.StatusUnsupportedData},
		"not a message":                  {websocket.MessageBinary, "\xff\xff", websocket.StatusInvalidFramePayloadData},
		"too long":                       {websocket.MessageBinary, strings.Repeat("x", 2001), websocket.StatusMessageTooBig},
		"far too long":                   {websocket.MessageBinary, strings.Repeat("x", 900<<10), websocket.StatusMessageTooBig},
	} {
		p := r.player(r.token("free", "a"))
		if err := p.c.Write(p.ctx, c.kind, []byte(c.data)); err != nil {
			t.Fatal(err)
		}
		if code := p.end(); code != c.code {
			t.Errorf("%s: closed with %d, want %d", name, code, c.code)
		}
	}
	p := r.player(r.token("free", "a"))
	go p.c.Close(4321, "mine") // the server answers a close with a close
	p.end()
	r.until("gone", func() bool { return r.on(func() int { return len(r.d.sockets) }) == 1 })
	keep.open(1, "")
	keep.playing(1)
}

// A stop tells players with 1001.
func TestStopTellsPlayers(t *testing.T) {
	r := newRig(t, 1, nil)
	p := r.player(r.token("free", "a"))
	p.open(1, "")
	p.playing(1)
	r.d.Stop()
	r.until("stopping", func() bool { return r.on(func() int { return int(r.d.stop.Phase()) }) > 0 })
	p.open(2, r.token("free", "b"))
	p.next("refused", func(m *pb.ServerMessage) bool { return m.Id == 2 && m.GetRefused().GetReason() == "stopping" })
	if code := p.end(); code != websocket.StatusGoingAway {
		t.Errorf("closed with %d", code)
	}
}

// Caps lowered below what is in use take nothing away; nothing new comes in until it fits.
func TestLoweredCaps(t *testing.T) {
	r := newRig(t, 1, nil)
	p := r.player(r.token("free", "a"))
	for i := range 4 {
		p.open(uint64(i+1), r.token("free", fmt.Sprint("s", i)))
		p.playing(uint64(i + 1))
	}
	lower := func(edit func(*config.Limits)) {
		fresh := *r.cfg
		edit(&fresh.Limits)
		r.on(func() int { r.d.Reload(&fresh); return 0 })
	}
	lower(func(l *config.Limits) { l.Sessions = 2 })
	p.open(9, r.token("free", "more"))
	p.next("refused", func(m *pb.ServerMessage) bool { return m.Id == 9 && m.GetRefused().GetReason() == "full" })
	r.want("DASH", r.get("free", r.token("free", "more2")), 503)
	if n, _ := r.boxes[0].Counts(); n != 4 {
		t.Errorf("%d sessions play, four did", n)
	}
	p.open(10, r.token("free", "s0")) // what plays is not new
	p.playing(10)
	lower(func(l *config.Limits) { l.Sessions, l.Connections = 100, 1 })
	if a := r.get("free", r.token("free", "more3")); a.err == nil {
		t.Errorf("a connection over the cap: %d", a.status)
	}
	p.open(11, r.token("free", "more4")) // on the one that stands
	p.playing(11)
}

// A director that starts to drain says so in the next check; a balancer that checks every 100 ms sends it no new
// session 250 ms later. Checks are no sessions.
func TestBalancerSeesADrain(t *testing.T) {
	agent := func(s *config.Settings, _ *sbox.Config) {
		s.Director.Agent, s.Times.SessionDrainMs = "127.0.0.1:0", 2000
	}
	a, b := newRig(t, 1, agent), newRig(t, 1, agent)
	lb, err := balancer.Start(100*time.Millisecond, &balancer.Server{Addr: a.d.Addr(), Agent: a.d.AgentAddr()},
		&balancer.Server{Addr: b.d.Addr(), Agent: b.d.AgentAddr()})
	if err != nil {
		t.Fatal(err)
	}
	defer lb.Close()
	if s := lb.Look(0); !s.Up || s.Weight != 100 {
		t.Fatalf("%+v", s)
	}
	n := 0
	through := func() reply {
		n++
		return fetch(context.Background(), "http://"+lb.Addr()+"/dash/free-title/manifest.mpd?token="+a.token("free", fmt.Sprint("lb", n)))
	}
	for range 10 {
		a.want("before", through(), 200)
	}
	sessions := a.on(func() int { return int(a.d.Stats().Played) })
	if sessions != 5 || a.on(func() int { return int(a.d.Stats().Checks) }) == 0 {
		t.Fatalf("%d sessions of 10 at the first of two, with checks", sessions)
	}
	a.d.Stop()
	began := time.Now()
	refused := 0
	for time.Since(began) < 800*time.Millisecond {
		at := time.Since(began)
		got := through()
		if got.status != 200 {
			refused++
			if at > 250*time.Millisecond {
				t.Errorf("%v after the drain began: %d %v", at, got.status, got.err)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got := a.on(func() int { return int(a.d.Stats().Played) }); got != sessions {
		t.Errorf("%d new sessions after the drain began", got-sessions)
	}
	if lb.Look(0).Up {
		t.Error("the balancer has not seen the drain")
	}
}

// JSON players may leave out what they don't know and add what we don't.
func TestJSONIsProtoJSON(t *testing.T) {
	r := newRig(t, 1, nil)
	p, _, err := r.socket(jsonProtocol, http.Header{"Authorization": {"Bearer " + r.token("free", "a")}})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.c.Write(p.ctx, websocket.MessageText, []byte(`{"id":"3","open":{"watchOnly":false,"later":1}}`)); err != nil {
		t.Fatal(err)
	}
	if m := p.playing(3); !json.Valid([]byte(fmt.Sprintf("%q", m.ManifestUrl))) || m.Jti != "a" {
		t.Errorf("%v", m)
	}
}
