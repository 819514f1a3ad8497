package proxy

import (
	"fmt"
	"testing"
	"time"

	"headmill/decide/discovery"
	"headmill/internal/platform/frame"
)

// listStart applies a node list in which the process of the first media node has just started, and returns once it is in force.
func (h *harness) listStart(startedAt time.Time) {
	h.t.Helper()
	h.runOnLoop(func() {
		err := h.proxy.applyNodeList(&discovery.Message{Version: h.proxy.nodeList.Version() + 1, Full: true,
			Entries: []discovery.Entry{{Name: h.nodes[0].name, Addr: h.nodes[0].listener.Addr().String(), State: "ready",
				Weight: 1, StartedAtMs: float64(startedAt.UnixMicro()) / 1000}}})
		if err != nil {
			h.t.Error(err)
		}
	})
}

// forgetConns lets the connections of an ended process be: nothing is written on them any more, and no end is told.
func (n *standInNode) forgetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = nil
}

// connCount returns the number of connections to a media node.
func (h *harness) connCount(node *standInNode) (count int) {
	h.runOnLoop(func() { count = len(h.proxy.mediaNode(discovery.NodeIDFromName(node.name)).conns) })
	return count
}

// occupyConns has the connections to a media node count as busy, so that a set-up takes a new one, until release is called.
func (h *harness) occupyConns(node *standInNode) (release func()) {
	var occupied []*nodeConn
	h.runOnLoop(func() {
		occupied = append(occupied, h.proxy.mediaNode(discovery.NodeIDFromName(node.name)).conns...)
		for _, nc := range occupied {
			nc.attempts[0] = &setupAttempt{}
		}
	})
	return func() {
		h.runOnLoop(func() {
			for _, nc := range occupied {
				delete(nc.attempts, 0)
			}
		})
	}
}

// Guards against viewers that are never told that their session ended with its media node's process, since the next process
// accepts connections (review/6), and against sessions of the next one that are ended with them.
func TestSessionsOfAnEndedProcess(t *testing.T) {
	for name, resets := range map[string]bool{"connections are reset": true, "connections stay silent": false} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, 1, nil)
			v := h.dialViewer()
			node, old := h.playSession(v, id1)
			adoptedByNewest := "00000000000000a3"
			time.Sleep(5 * time.Millisecond)
			startedAt := time.Now()
			release := func() {}
			if resets {
				node.resetConns()
				h.waitFor("the reset is not read", func(Stats) bool { return h.connCount(node) == 0 })
			} else { // the director can't tell the silent connection from a good one before the list does
				node.forgetConns()
				release = h.occupyConns(node)
			}
			v.sendSetup(id2, "free", "1;top:0")
			_, setup := h.expectSetup()
			if setup.conn == old.conn {
				t.Fatal("the set-up is on a connection of the ended process: the test proves nothing")
			}
			release()
			setup.sendAnswer("x")
			if reply := v.receive(); reply.Type != "answer" || reply.ID != id2 {
				t.Fatalf("%+v", reply)
			}
			h.listStart(startedAt)
			if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
				t.Fatalf("%+v", reply)
			}
			v.send(`{"type":"released","id":"%s","fields":{}}`, id1)
			v.sendExistingSession(adoptedByNewest, node.name)
			if reply := v.receive(); reply.Type != "release" || reply.ID != adoptedByNewest {
				t.Fatalf("a session from before the director's start is kept: %+v", reply)
			}
			if count := h.sessionCount(); count != 1 {
				t.Errorf("%d sessions, want that of the new process alone", count)
			}
			setup.sendRelease(causeNormal)
			if reply := v.receive(); reply.Type != "release" || reply.ID != id2 || reply.Cause != causeNormal {
				t.Fatalf("%+v", reply)
			}
		})
	}
}

// Guards against set-ups that are sent on an idle connection to an ended process once the list has its successor.
func TestNoSetupOnConnectionsOfAnEndedProcess(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, old := h.playSession(v, id1)
	time.Sleep(5 * time.Millisecond)
	node.forgetConns()
	h.listStart(time.Now())
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 {
		t.Fatalf("%+v", reply)
	}
	if setup := h.setupOnceWarm(v, node); setup.conn == old.conn {
		t.Error("the set-up came on a connection of the ended process")
	}
}

// setupOnceWarm sends set-ups until the media node gets one: a director may refuse those for a process that has just started.
func (h *harness) setupOnceWarm(v *viewerClient, node *standInNode) nodeMessage {
	h.t.Helper()
	for i := range 30 {
		v.sendSetup(fmt.Sprintf("%016x", 0xb0+i), "free", "1;top:0")
		select {
		case msg := <-node.received:
			if msg.typ == frame.Setup {
				return msg
			}
		case <-time.After(200 * time.Millisecond):
		}
	}
	h.t.Fatal("the media node got no set-up")
	return nodeMessage{}
}
