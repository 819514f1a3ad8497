package director

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	pb "headmill/internal/api/sessionv1"
)

// Guards against sessions that are set up for viewers that have left: requests, and the close of their connection, arrive while
// the director stands still.
func TestRequestsOfAViewerThatLeft(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	var requests strings.Builder
	for i := range 20 {
		fmt.Fprintf(&requests, "GET /dash/free-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: d\r\n\r\n",
			env.token("free", fmt.Sprint("left", i)))
	}
	conn, err := net.Dial("tcp4", strings.TrimPrefix(env.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	before := env.onLoop(func() int { return int(env.director.stats.Attempts) })
	env.onLoop(func() int { // the loop is blocked
		conn.Write([]byte(requests.String()))
		conn.Close()
		time.Sleep(20 * time.Millisecond)
		return 0
	})
	env.waitUntil("the connection is closed", func() bool {
		return env.onLoop(func() int { return len(env.director.viewers) }) == 0
	})
	if attempts := env.onLoop(func() int { return int(env.director.stats.Attempts) }) - before; attempts != 0 {
		t.Errorf("%d set-ups for a viewer that had left", attempts)
	}
}

// Guards against sessions that are set up for players that have left, or have ended them: the messages, and the close of their
// connection or the ends, arrive while the director stands still.
func TestSessionsOfAPlayerThatLeft(t *testing.T) {
	const sessions = 10
	for name, c := range map[string]struct{ closes, tokensKnown bool }{
		"close":               {closes: true},
		"close, tokens known": {closes: true, tokensKnown: true},
		"ends":                {},
		"ends, tokens known":  {tokensKnown: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 1, nil)
			p := env.dialPlayer(env.token("free", "player"))
			var tokens []string
			for i := range sessions {
				tokens = append(tokens, env.token("free", fmt.Sprint("left", i)))
				if c.tokensKnown {
					p.send(&pb.ClientMessage{Id: uint64(i), Body: &pb.ClientMessage_Open{Open: &pb.Open{Token: tokens[i], WatchOnly: true}}})
					p.waitFailed(uint64(i))
				}
			}
			before := env.onLoop(func() int { return int(env.director.stats.Attempts) })
			env.onLoop(func() int { // the loop is blocked
				for i, raw := range tokens {
					p.open(uint64(100+i), raw)
				}
				if c.closes {
					p.conn.CloseNow()
				} else {
					for i, raw := range tokens {
						p.send(&pb.ClientMessage{Id: uint64(200 + i), Body: &pb.ClientMessage_End{End: &pb.End{Token: raw}}})
					}
				}
				time.Sleep(20 * time.Millisecond)
				return 0
			})
			time.Sleep(500 * time.Millisecond)
			if attempts := env.onLoop(func() int { return int(env.director.stats.Attempts) }) - before; attempts != 0 {
				t.Errorf("%d set-ups for a player that had left", attempts)
			}
			if playing := env.onLoop(func() int { return len(env.director.sessions) }); playing != 0 {
				t.Errorf("%d sessions play", playing)
			}
		})
	}
}

// Guards against sessions that play on though their viewer has ended them, as it closes or resets its connection right after the
// DELETEs: the signature of a token is still being verified, or the answer to the first one is met with a reset.
func TestSessionsEndedByAViewerThatLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		sessions       int
		renewed, reset bool
	}{
		"tokens known":             {sessions: 4},
		"tokens renewed":           {sessions: 4, renewed: true},
		"tokens known, a reset":    {sessions: 4, reset: true},
		"token renewed, a reset":   {sessions: 1, renewed: true, reset: true},
		"tokens renewed, a reset":  {sessions: 4, renewed: true, reset: true},
		"more than one turn reads": {sessions: 12, renewed: true, reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 1, nil)
			var ends strings.Builder
			for i := range c.sessions {
				jti := fmt.Sprint("ended", i)
				raw := env.token("free", jti)
				env.wantStatus("session", env.get("free", raw), 200)
				if c.renewed {
					raw = env.tokenFor("free", jti, time.Hour)
				}
				fmt.Fprintf(&ends, "DELETE /dash/free-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: d\r\n\r\n", raw)
			}
			conn, err := net.Dial("tcp4", strings.TrimPrefix(env.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			env.onLoop(func() int { // the loop is blocked
				conn.Write([]byte(ends.String()))
				if c.reset {
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
				time.Sleep(20 * time.Millisecond)
				return 0
			})
			time.Sleep(500 * time.Millisecond)
			if standing := env.onLoop(env.director.standingCount); standing != 0 {
				t.Errorf("%d of %d sessions play on", standing, c.sessions)
			}
		})
	}
}

// Guards against sessions that play on though their player has ended them, as it closes its connection right after: the answer to
// the first end is met with a reset.
func TestSessionsEndedByAPlayerThatLeaves(t *testing.T) {
	const sessions = 8
	env := newTestEnv(t, 1, nil)
	p := env.dialPlayer(env.token("free", "player"))
	var tokens []string
	for i := range sessions {
		tokens = append(tokens, env.token("free", fmt.Sprint("ended", i)))
		p.open(uint64(i), tokens[i])
		p.waitPlaying(uint64(i))
	}
	env.onLoop(func() int { // the loop is blocked
		for i, raw := range tokens {
			p.send(&pb.ClientMessage{Id: uint64(100 + i), Body: &pb.ClientMessage_End{End: &pb.End{Token: raw}}})
		}
		p.conn.CloseNow()
		time.Sleep(20 * time.Millisecond)
		return 0
	})
	time.Sleep(500 * time.Millisecond)
	if standing := env.onLoop(env.director.standingCount); standing != 0 {
		t.Errorf("%d of %d sessions play on", standing, sessions)
	}
}
