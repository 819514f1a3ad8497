package proxy

import (
	"net"
	"testing"
	"time"

	"headmill/internal/platform/frame"
)

// A release is written to a connection that the media node is just resetting: it is repeated on another one.
func TestReleaseLostWithItsConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	s := h.session(id1)
	h.runOnLoop(func() {
		nc := s.node.conns[0]
		node.resetConns()
		waitForPeerClose(t, nc.conn)
		h.proxy.endedByViewer(s)
	})
	if msg := node.expect(frame.Release); msg.id != 0xa1 || msg.cause != causeNormal {
		t.Fatalf("%+v", msg)
	}
}

// A viewer names a session at a media node that is no longer listed, and closes its connection: the release goes out on
// another connection.
func TestReleaseOfUnlistedSessionOnAClosingConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	a, b := h.dialViewer(), h.dialViewer()
	h.playSession(b, id2)
	h.expectViewerConns(2)
	h.runOnLoop(func() {
		a.sendExistingSession(id1, "s-77")
		a.conn.Close()
		for _, viewer := range h.proxy.viewers {
			for deadline := time.Now().Add(testTimeout); len(viewer.playing) == 0 && unreadData(viewer.conn) == 0 &&
				time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			}
		}
	})
	if reply := b.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
}

// A connection that the director closes as idle has delivered all that was written to it: no release is repeated, and no
// connection is opened for one.
func TestIdleCloseRepeatsNoRelease(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	mediaNode := h.session(id1).node
	v.endSession(id1)
	node.expect(frame.Release)
	h.runOnLoop(mediaNode.closeUnusedConns)
	h.runOnLoop(func() {}) // Closed is called after the iteration
	h.runOnLoop(func() {
		if len(mediaNode.conns)+len(mediaNode.queue) != 0 {
			t.Errorf("%d connections, %d messages kept", len(mediaNode.conns), len(mediaNode.queue))
		}
	})
}

// A media node's release is lost with the connection that it was written on, while another one is open: by a reset, or as
// the media node closes it in the middle of the message. The media node repeats it on the next connection that is opened,
// so the director must open one.
func TestReleaseLostWithOneOfTwoConnections(t *testing.T) {
	for name, lose := range map[string]func(setup nodeMessage){
		"reset": func(setup nodeMessage) {
			setup.conn.(*net.TCPConn).SetLinger(0)
			setup.conn.Close()
		},
		"half a release": func(setup nodeMessage) {
			setup.conn.Write(frame.AppendRelease(nil, setup.id, causeNormal)[:5])
			setup.conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) { testLostRelease(t, lose) })
	}
}

// testLostRelease loses a release with one of two connections.
func testLostRelease(t *testing.T, lose func(setup nodeMessage)) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	_, setupA := h.expectSetup()
	v.sendSetup(id2, "free", "1;top:0")
	node, setupB := h.expectSetup()
	if setupA.conn == setupB.conn {
		t.Fatal("two set-ups on one connection: the test proves nothing")
	}
	setupA.sendAnswer("x")
	v.receive()
	setupB.sendAnswer("x")
	v.receive()
	lose(setupA)
	newConn := func() (conn net.Conn) {
		node.mu.Lock()
		defer node.mu.Unlock()
		if last := node.conns[len(node.conns)-1]; last != setupA.conn && last != setupB.conn {
			conn = last
		}
		return conn
	}
	out, start := frame.Begin(nil, frame.Ping, 1)
	out = frame.End(frame.AppendParameter(out, frame.Cause, []byte{0}), start)
	for deadline := time.Now().Add(testTimeout); newConn() == nil; time.Sleep(5 * time.Millisecond) {
		setupB.conn.Write(out) // keeps the other connection from counting as silent, which would open one too
		if time.Now().After(deadline) {
			t.Fatal("no further connection is opened")
		}
	}
	newConn().Write(frame.AppendRelease(nil, setupA.id, causeNormal))
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 {
		t.Fatalf("%+v", reply)
	}
}

// Guards against a media node's release that is lost when its connection is closed as silent at the moment it arrives.
func TestReleaseBeforeASilentClose(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	_, setup := h.playSession(v, id1)
	node := h.session(id1).node
	h.runOnLoop(func() {
		conn := node.conns[0].conn
		setup.sendRelease(causeNormal)
		waitForInput(conn)
		node.closeUnusedConns()
	})
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
}

// Guards against releases that are lost since the confirmation of another one, before them in the same read, finds the
// connection reset.
func TestReleasesBeforeAReset(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	_, setup := h.playSession(v, id1)
	if _, setup2 := h.playSession(v, id2); setup2.conn != setup.conn {
		t.Fatal("two connections: the test proves nothing")
	}
	conn := h.session(id1).node.conns[0].conn
	h.runOnLoop(func() {
		setup.conn.Write(frame.AppendRelease(frame.AppendRelease(nil, 0xa1, causeNormal), 0xa2, causeNormal))
		setup.conn.(*net.TCPConn).SetLinger(0)
		setup.conn.Close()
		waitForInput(conn)
		time.Sleep(10 * time.Millisecond) // for the reset
	})
	for _, id := range []string{id1, id2} {
		if reply := v.receive(); reply.Type != "release" || reply.ID != id || reply.Cause != causeNormal {
			t.Fatalf("%+v", reply)
		}
	}
}

// Guards against an adopted session that stands for ever: after a start its media node reports its end on the first
// connection, which another session has opened, before its viewer names it.
func TestEndBeforeAdoption(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node := h.adoptSession(v, id2)
	conn := node.anyConn()
	conn.Write(frame.AppendRelease(nil, 0xa1, causeReset))
	node.expect(frame.Released)
	v.sendExistingSession(id1, node.name)
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
}

// Guards against a viewer that is told, after a restart of the director, that its session is over, though it plays: an attempt of
// it ended at another media node, which repeats that end on the first connection (review/7), before or after the viewer names the
// session.
func TestEndOfAnAttemptElsewhere(t *testing.T) {
	for name, endFirst := range map[string]bool{"end before the naming": true, "end after the naming": false} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, 2, nil)
			v := h.dialViewer()
			v.sendExistingSession("00000000000000a3", h.nodes[1].name) // opens a connection to each media node
			v.sendExistingSession("00000000000000a4", h.nodes[0].name)
			other, named := h.nodes[1], h.nodes[0]
			endElsewhere := func() {
				other.anyConn().Write(frame.AppendRelease(nil, 0xa1, causeCancelled))
				other.expect(frame.Released)
			}
			nameSession := func() {
				before := h.stats().Opened
				v.sendExistingSession(id1, named.name)
				h.waitFor("the session is not adopted", func(stats Stats) bool { return stats.Opened > before })
			}
			if endFirst {
				endElsewhere()
				nameSession()
			} else {
				nameSession()
				endElsewhere()
			}
			named.anyConn().Write(frame.AppendRelease(nil, 0xa1, causeNormal))
			if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
				t.Fatalf("%+v", reply)
			}
		})
	}
}
