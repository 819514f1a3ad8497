package director

import (
	"fmt"
	"testing"
	"time"

	pb "headmill/internal/api/sessionv1"
)

// Guards against sessions that are taken for ones of the new process at their media node's address, or the other way round: the
// process ends, another one takes its address, and players of the old sessions are to be told, those of new ones are not.
func TestNewProcessAtAnAddress(t *testing.T) {
	const sessions = 5
	const tellLimit, watchNew = 8 * time.Second, 2 * time.Second
	for _, away := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 1, nil)
			p := env.dialPlayer(env.token("free", "player"))
			for id := range uint64(sessions) {
				p.openUntilPlaying(id)
			}
			env.wantStatus("by DASH", env.get("free", env.token("free", "dash")), 200)
			env.nodeConfig.Addr = env.nodes[0].Addr()
			env.nodes[0].Close()
			endedAt := time.Now()
			time.Sleep(away)
			env.startNode()
			ended := map[string]bool{}
			for len(ended) < sessions {
				m := p.waitFor("an end", func(m *pb.ServerMessage) bool { return m.GetEnded() != nil })
				ended[m.GetEnded().Jti] = true
			}
			if took := time.Since(endedAt); took > tellLimit {
				t.Errorf("players were told after %v, want %v", took, tellLimit)
			}
			env.waitUntil("no session of the old process is left", func() bool {
				return env.onLoop(func() int { return len(env.director.sessions) }) == 0
			})
			for id := range uint64(sessions) {
				p.openUntilPlaying(100 + id)
			}
			time.Sleep(watchNew)
			for len(p.messages) > 0 {
				if m := <-p.messages; m.GetEnded() != nil {
					t.Errorf("a session of the new process was ended: %v", m)
				}
			}
			if playing, _ := env.nodes[1].Counts(); playing < sessions {
				t.Errorf("%d sessions play at the new process, want at least %d", playing, sessions)
			}
		})
	}
}

// openUntilPlaying opens a session, again while a media node that has just started gets no more set-ups.
func (p *player) openUntilPlaying(id uint64) {
	p.env.t.Helper()
	raw := p.env.token("free", fmt.Sprint("session", id))
	p.env.waitUntil("a session plays", func() bool {
		p.open(id, raw)
		answer := p.waitFor("an answer", func(m *pb.ServerMessage) bool { return m.Id == id })
		return answer.GetPlaying() != nil
	})
}
