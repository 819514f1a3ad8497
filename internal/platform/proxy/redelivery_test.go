package proxy

import (
	"testing"
	"time"

	"headmill/internal/platform/frame"
)

// playOnTwoConns sets up two sessions at a media node, each on a connection of its own, and returns it with their set-ups.
func (h *harness) playOnTwoConns(v *viewerClient) (node *standInNode, setups [2]nodeMessage) {
	h.t.Helper()
	for i, id := range [2]string{id1, id2} {
		v.sendSetup(id, "free", "1;top:1")
		node, setups[i] = h.expectSetup()
	}
	if setups[0].conn == setups[1].conn {
		h.t.Fatal("two set-ups on one connection: the test proves nothing")
	}
	for _, setup := range setups {
		setup.sendAnswer("x")
		v.receive()
	}
	return node, setups
}

// writeAcrossClose has the loop write to a media node, by write, on the connection of the second session, which the media node
// has just closed. The loop stands still for a time before it learns of that.
func (h *harness) writeAcrossClose(setups [2]nodeMessage, still time.Duration, write func(*mediaNode)) {
	n := h.session(id1).node
	h.runOnLoop(func() {
		for _, nc := range n.conns { // the message goes where the fewest set-ups are out
			if nc.localAddr != setups[1].conn.RemoteAddr().String() {
				nc.attempts[0] = &setupAttempt{}
				defer delete(nc.attempts, 0)
			}
		}
		setups[1].conn.Close()
		time.Sleep(20 * time.Millisecond)
		write(n)
		time.Sleep(still)
	})
}

// Guards against a session that plays on for good at its media node: its release was written into a connection that the media
// node had closed in order, and the director stood still before it read that.
func TestReleaseWrittenBeforeAStallIsSentAgain(t *testing.T) {
	h := startHarness(t, 1, nil)
	node, setups := h.playOnTwoConns(h.dialViewer())
	h.writeAcrossClose(setups, 1200*time.Millisecond, func(n *mediaNode) { n.sendRelease(0xa1) })
	if got := node.expect(frame.Release); got.id != 0xa1 || got.conn == setups[1].conn {
		t.Errorf("%+v", got)
	}
}

// Guards against a rung that stays as it was: the message that changes it was written into a connection that the media node had
// closed.
func TestRungWrittenToAClosedConnectionIsSentAgain(t *testing.T) {
	h := startHarness(t, 1, nil)
	node, setups := h.playOnTwoConns(h.dialViewer())
	s := h.session(id1)
	rung := 1 - s.rung
	h.writeAcrossClose(setups, 0, func(*mediaNode) {
		s.rung = rung
		h.proxy.sendRung(s)
	})
	if got := node.expect(frame.Rate); got.id != 0xa1 || got.rung != string('0'+rune(rung)) || got.conn == setups[1].conn {
		t.Errorf("%+v", got)
	}
}

// Guards against queued messages that are lost for good with the connection that came up for them.
func TestQueuedReleaseIsSentAgain(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	n := h.session(id1).node
	reset := make(chan struct{})
	h.runOnLoop(func() {
		for _, nc := range n.conns {
			nc.conn.Close(errMalformed)
		}
		go func() { <-reset; node.resetConns() }()
	})
	h.runOnLoop(func() { n.sendRelease(0xa1) })
	if got := node.expect(frame.Release); got.id != 0xa1 || got.conn == setup.conn {
		t.Fatalf("%+v", got)
	}
	close(reset) // the media node may not have read it
	if got := node.expect(frame.Release); got.id != 0xa1 {
		t.Errorf("%+v", got)
	}
}

// Guards against a release that stays with its media node because connections to other media nodes hold all descriptors: one of
// the media node's own makes room for the connection on which the release comes again.
func TestReleasesAreFetchedAtTheLimitOfConnections(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) { cfg.Sockets = 64 })
	v := h.dialViewer()
	node, setups := h.playOnTwoConns(v)
	h.runOnLoop(func() { h.proxy.nodeConnCount = h.cfg.Sockets/3 + h.cfg.Sockets/32 + 1 }) // the next close leaves the limit
	setups[0].conn.Close()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) { // before the silence is noticed
		node.mu.Lock()
		newest := node.conns[len(node.conns)-1]
		node.mu.Unlock()
		if newest != setups[0].conn && newest != setups[1].conn {
			setups[0].conn = newest
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no further connection is opened")
		}
	}
	setups[0].sendRelease(causeNormal)
	if got := v.receive(); got.Type != "release" || got.ID != id1 {
		t.Errorf("%+v", got)
	}
}
