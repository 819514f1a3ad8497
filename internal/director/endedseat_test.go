package director

import (
	"fmt"
	"net"
	"testing"
	"time"

	pb "headmill/internal/api/sessionv1"
	"headmill/internal/config"
	"headmill/internal/standin/medianode"
)

// Guards against a seat that is given again while its session may stand at a media node that is cut off: its viewer has ended
// it, and the media node has not confirmed that (review/10, on the session API).
func TestSeatOfAnEndedSessionIsHeldUntilConfirmed(t *testing.T) {
	env := newTestEnv(t, 0, func(s *config.Settings, _ *medianode.Config) {
		for i := range s.Classes {
			s.Classes[i].MaxPerTitle = 1
		}
	})
	var nodes []*scriptedNode
	for range 2 {
		var node *scriptedNode
		node = env.startScriptedNode(func(conn net.Conn, _ int) { node.writeCreated(conn) })
		nodes = append(nodes, node)
	}
	env.waitUntil("the director knows the media nodes", func() bool { return env.onLoop(env.director.NodeCount) == len(nodes) })
	p := env.dialPlayer(env.token("free", "player"))
	end := func(raw string) {
		p.send(&pb.ClientMessage{Id: 1000, Body: &pb.ClientMessage_End{End: &pb.End{Token: raw}}})
		p.waitFor("the end", func(m *pb.ServerMessage) bool { return m.GetEnded() != nil })
	}
	tries := 0
	open := func() (raw string, playing bool) {
		tries++
		raw = env.token("free", fmt.Sprint("seat", tries))
		p.open(uint64(tries), raw)
		answer := p.waitFor("an answer", func(m *pb.ServerMessage) bool { return m.Id == uint64(tries) })
		return raw, answer.GetPlaying() != nil
	}
	var raw string
	openUntilPlaying := func() {
		env.waitUntil("a session plays", func() (playing bool) { raw, playing = open(); return playing })
	}
	openUntilPlaying()
	end(raw)
	openUntilPlaying() // a media node that confirms the end frees the seat
	cutOff := nodes[0]
	if env.playsAt(nodes[1]) {
		cutOff = nodes[1]
	}
	cutOff.setSilent(true)
	end(raw)
	for started := time.Now(); time.Since(started) < 1200*time.Millisecond; time.Sleep(100 * time.Millisecond) {
		if _, playing := open(); playing {
			t.Fatalf("the seat was given again %v after the end", time.Since(started))
		}
	}
	cutOff.setSilent(false)
	openUntilPlaying()
}

// playsAt reports whether a session plays at a media node.
func (e *testEnv) playsAt(n *scriptedNode) bool {
	return e.onLoop(func() (count int) {
		for _, s := range e.director.sessions {
			if s.state == sessionPlaying && e.director.nodeList.Addr(s.node) == n.listener.Addr().String() {
				count++
			}
		}
		return count
	}) > 0
}
