package proxy

import (
	"net"
	"slices"
	"testing"
	"time"

	"headmill/decide/discovery"
	"headmill/internal/platform/frame"
)

// Guards against a media node with sessions that can't be probed since connections hold all descriptors: one to a media node
// without sessions makes room, and none of its own.
func TestProbeAtTheLimitClosesAnUnusedConnection(t *testing.T) {
	h := startHarness(t, 2, nil)
	v := h.dialViewer()
	other, setup := h.playSession(v, id1)
	otherNode := h.session(id1).node
	setup.sendRelease(causeNormal)
	v.receive()
	v.send(`{"type":"released","id":"%s","fields":{}}`, id1)
	for _, n := range h.nodes {
		if n != other {
			v.sendExistingSession(id2, n.name)
			n.anyConn()
		}
	}
	node := h.session(id2).node
	h.waitForClock()
	h.runOnLoop(func() {
		h.proxy.nodeConnCount = h.cfg.Sockets/3 + h.cfg.Sockets/32
		before := len(node.conns)
		node.ensureConn()
		if len(node.conns) != before+1 || len(otherNode.conns) != 0 {
			t.Errorf("%d connections, %d before; %d to the media node without sessions", len(node.conns), before, len(otherNode.conns))
		}
	})
}

// Guards against sessions that are given up because their media node refuses new connections for a moment, while one that is open
// shows that its process has not ended.
func TestRefusedConnectionsBesideAnOpenOne(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	n := h.session(id1).node
	node.listener.Close()
	for range 4 { // two refusals in a row count, if none is open
		h.waitForClock()
		h.runOnLoop(n.ensureConn)
		time.Sleep(300 * time.Millisecond)
	}
	setup.sendRelease(causeNormal)
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Errorf("%+v", reply)
	}
}

// Guards against a release that is dropped because it comes on a connection that was opened for the id of the successor at the
// address, while its session is held for the id before.
func TestReleaseOnAConnectionOfTheSuccessorsID(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	h.waitForClock()
	startedAt := h.proxy.unixOffsetMs + h.waitForClock()
	_, setup := h.playSession(v, id1)
	addr := h.nodes[0].listener.Addr().String()
	h.runOnLoop(func() {
		if err := h.proxy.applyNodeList(&discovery.Message{Version: 9, Full: true, Entries: []discovery.Entry{
			{Name: "s-new", Addr: addr, State: "ready", Weight: 1, StartedAtMs: startedAt - 2}}}); err != nil {
			t.Error(err)
		}
		h.proxy.mediaNode(discovery.NodeIDFromName("s-new")).dial()
	})
	var successors net.Conn
	for deadline := time.Now().Add(testTimeout); successors == nil; time.Sleep(time.Millisecond) {
		h.nodes[0].mu.Lock()
		if last := h.nodes[0].conns[len(h.nodes[0].conns)-1]; last != setup.conn {
			successors = last
		}
		h.nodes[0].mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatal("no connection for the successor's id")
		}
	}
	successors.Write(frame.AppendRelease(nil, setup.id, causeNormal))
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Errorf("%+v", reply)
	}
}

// A connection that its media node may be about to close as idle gets no set-up.
func TestConnectionNearIdleTimeoutIsNotUsed(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	h.runOnLoop(func() {
		h.proxy.sessions[setup.id].node.conns[0].lastUsed -= h.proxy.cfg.KeepAliveMs - h.proxy.cfg.ConnectMs + 1
	})
	v.sendSetup(id2, "free", "1;top:0")
	if got := node.expect(frame.Setup); got.id != 0xa2 || got.conn == setup.conn {
		t.Fatalf("%+v: a set-up was sent on a connection near its idle timeout", got)
	}
}

// Guards against connections that multiply: each one that is closed as silent, but the last, was replaced by a new one.
func TestSilentCloseOpensNoConnections(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	ids := []string{id1, id2}
	var setups []nodeMessage
	for _, id := range ids { // each on a connection of its own
		v.sendSetup(id, "free", "1;top:0")
		_, setup := h.expectSetup()
		setups = append(setups, setup)
	}
	for _, setup := range setups {
		setup.sendAnswer("x")
		v.receive()
	}
	node := h.session(id1).node
	h.runOnLoop(func() {
		if len(node.conns) != 2 {
			t.Errorf("%d connections: the test proves nothing", len(node.conns))
		}
		node.closeUnusedConns()
	})
	h.runOnLoop(func() {}) // Closed is called after the iteration
	h.runOnLoop(func() {
		if len(node.conns) != 0 {
			t.Errorf("%d connections opened", len(node.conns))
		}
	})
}

// Guards against descriptors that a media node uses up by standing still: the connections that are opened to find out whether
// it is alive stay bounded, and the one on which its session was set up stays open.
func TestConnectionsToASilentNodeAreBounded(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	h.playSession(v, id1)
	node := h.session(id1).node
	var first *nodeConn
	h.runOnLoop(func() { first = node.conns[0] })
	for range 3 * maxSilentConnsPerNode {
		h.waitForClock()
		h.runOnLoop(node.ensureConn)
		h.waitFor("the connection does not come up", func(Stats) (up bool) {
			h.runOnLoop(func() { up = node.conns[len(node.conns)-1].established })
			return up
		})
	}
	h.runOnLoop(func() {
		if count := len(node.conns); count > maxConnsPerNode+maxSilentConnsPerNode+1 || !slices.Contains(node.conns, first) {
			t.Errorf("%d connections, the first one is open: %v", count, slices.Contains(node.conns, first))
		}
	})
}
