package director

import (
	"fmt"
	"net"
	"testing"
	"time"

	"headmill/internal/config"
	"headmill/internal/standin/medianode"
)

// Guards against a session that is held for good, since its media node has reported its end, once, before the director had read
// that it plays: before the answer to the set-up, before a late answer, and before a viewer has claimed it.
func TestEndBeforeTheSessionIsKnownToPlay(t *testing.T) {
	for name, c := range map[string]struct {
		class        string
		answerAfter  time.Duration // from the set-up; the class's time is 0.6 s
		endAfter     time.Duration
		first, retry int // status of the request, and of one with the same token afterwards
	}{
		"before the answer":         {"free", 150 * time.Millisecond, 50 * time.Millisecond, 200, 200},
		"paid, before the answer":   {"paid", 300 * time.Millisecond, 100 * time.Millisecond, 200, 410},
		"before a late answer":      {"paid", 900 * time.Millisecond, 750 * time.Millisecond, 504, 410},
		"before it is claimed":      {"paid", 800 * time.Millisecond, 1000 * time.Millisecond, 504, 410},
		"long before a late answer": {"paid", 800 * time.Millisecond, 100 * time.Millisecond, 504, 410},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, func(*config.Settings, *medianode.Config) {})
			setupRead := make(chan time.Time, 8)
			var node *scriptedNode
			node = env.startScriptedNode(func(conn net.Conn, _ int) {
				setupRead <- time.Now()
				time.Sleep(c.answerAfter)
				node.writeCreated(conn)
			})
			env.waitUntil("the director knows the media node", func() bool { return env.onLoop(env.director.NodeCount) == 1 })
			raw := env.token(c.class, "a")
			answer := env.getAsync(c.class, raw)
			time.Sleep(time.Until((<-setupRead).Add(c.endAfter)))
			env.onLoop(func() int { env.director.reportEnds(); return 0 })
			env.wantStatus("first request", <-answer, c.first)
			time.Sleep(c.answerAfter)
			env.waitUntil("no session plays", func() bool { return env.onLoop(env.director.standingCount) == 0 })
			env.wantStatus("second request", env.get(c.class, raw), c.retry)
		})
	}
}

// reportEnds handles the media nodes' report that each session has ended.
func (d *Director) reportEnds() {
	for _, s := range d.sessions {
		data := fmt.Appendf(nil, `{"session":%q,"why":"idle"}`, d.sessionName(s))
		for _, n := range d.nodes {
			if n.eventStream != nil {
				n.eventStream.handleEvent([]byte("ended"), data)
			}
		}
	}
}

// standingCount counts the sessions that play, also those that no viewer has claimed.
func (d *Director) standingCount() (count int) {
	for _, s := range d.sessions {
		if s.state == sessionPlaying || s.unclaimed() {
			count++
		}
	}
	return count
}
