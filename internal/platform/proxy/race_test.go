package proxy

import (
	"fmt"
	"testing"
	"time"

	"headmill/decide/connmgr"
	"headmill/decide/discovery"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
)

// Tests of races between two events (docs/design/platform.md, "Where two events cross"). The loop is blocked while both
// happen, so that the unfavourable order occurs each time.

// waitForPeerClose waits until the peer's close has reached the kernel. It runs on the loop, which has not seen it yet.
func waitForPeerClose(t *testing.T, conn *loop.Conn) {
	for deadline := time.Now().Add(testTimeout); !conn.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("the close does not arrive")
			return
		}
	}
}

// A set-up and the close of its connection are read together: no attempt is made.
func TestSetupAndCloseInOneRead(t *testing.T) {
	h := startHarness(t, 1, nil)
	for range 5 { // later passes have a connection to the media node already
		v := h.dialViewer()
		h.expectViewerConns(1)
		h.runOnLoop(func() {
			v.sendSetup(id1, "free", "1;top:0")
			v.conn.Close()
			for _, viewer := range h.proxy.viewers {
				for deadline := time.Now().Add(testTimeout); unreadData(viewer.conn) == 0 &&
					time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				}
			}
			// The close follows the bytes; reading earlier only makes the test easier to pass.
			time.Sleep(5 * time.Millisecond)
		})
		h.expectViewerConns(0)
	}
	if stats := h.stats(); stats.Attempts != 0 || stats.Asked != 5 || stats.Left != 5 {
		t.Fatalf("attempts for viewers that have left: %+v", stats)
	}
}

// unreadData returns 1 if bytes wait to be read, else 0.
func unreadData(conn *loop.Conn) int {
	if conn.Reusable() {
		return 0
	}
	return 1
}

// An attempt waits for its connection; the connection opens and the viewer leaves in one iteration of the loop.
func TestCloseWhileConnecting(t *testing.T) {
	addr, listener := fullBacklogListener(t)
	h := startHarness(t, 1, func(cfg *Config) { cfg.ConnectMs = 60000 })
	h.setNodeList("ready", addr)
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	h.waitFor("no attempt", func(stats Stats) bool { return stats.Attempts == 1 })
	s := h.session(id1)
	node := &standInNode{t: t, listener: listener, name: "unresponsive", received: make(chan nodeMessage, 100)}
	h.runOnLoop(func() {
		v.conn.Close()
		waitForPeerClose(t, s.viewer.conn)
		go node.serve(listener)
		for deadline := time.Now().Add(testTimeout); !s.attempt.conn.conn.Established(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Error("the connection is not established")
				return
			}
		}
	})
	h.waitFor("the viewer's close is not noticed", func(stats Stats) bool { return stats.Left == 1 })
	other := h.dialViewer()
	other.sendSetup(id2, "free", "1;top:0") // on the established connection, on which nothing was sent before
	if got := node.expect(frame.Setup); got.id != 0xa2 {
		t.Fatalf("an attempt was written after its viewer had left: %+v", got)
	}
}

// A media node's answer and the viewer's close are read in one iteration of the loop: the session is released, since no
// viewer knows it.
func TestAnswerAndClose(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	node, setup := h.expectSetup()
	pending := h.session(id1)
	h.runOnLoop(func() {
		v.conn.Close()
		waitForPeerClose(t, pending.viewer.conn)
		setup.sendAnswer("x")
		for deadline := time.Now().Add(testTimeout); unreadData(pending.attempt.conn.conn) == 0 &&
			time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
	})
	if msg := node.expect(frame.Release); msg.id != 0xa1 || msg.cause != causeNormal {
		t.Fatalf("%+v", msg)
	}
	if stats := h.stats(); stats.Played != 0 || stats.Left != 1 {
		t.Fatalf("%+v", stats)
	}
}

// The viewer connection fails before the whole answer is written: the session is released, since no viewer knows it.
func TestAnswerThatNeverLeft(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	s := h.session(id1)
	h.runOnLoop(func() { s.answerEnd = s.viewer.conn.Written() + 1; s.viewer.conn.Close(loop.ErrSlowReader) })
	if msg := node.expect(frame.Release); msg.id != 0xa1 {
		t.Fatalf("%+v", msg)
	}
}

// The media node's answer is lost with its connection: the session that may play there is released.
func TestAnswerLostWithItsConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	node, _ := h.expectSetup()
	node.resetConns()
	if msg := node.expect(frame.Release); msg.id != 0xa1 || msg.cause != causeNormal {
		t.Fatalf("%+v", msg)
	}
	if reply := v.receive(); reply.Cause != causeError {
		t.Fatalf("%+v", reply)
	}
}

// A viewer that leaves while its attempt waits for a connection is no evidence against the media node, which goes on
// to get attempts.
func TestCancelledConnectDoesNotCountAgainstTheNode(t *testing.T) {
	addr, _ := fullBacklogListener(t)
	h := startHarness(t, 1, func(cfg *Config) { cfg.ConnectMs = 60000 })
	h.setNodeList("ready", addr)
	for i := range 3 {
		v := h.dialViewer()
		v.sendSetup(id1, "free", "1;top:0")
		h.waitFor("the media node gets no further attempts", func(stats Stats) bool { return stats.Attempts == i+1 })
		v.conn.Close()
		h.expectViewerConns(0)
	}
}

// A new media node gets the address of a removed one: its answers are no evidence that the old one's sessions still play.
func TestAddressReassignedToAnotherNode(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node := h.adoptSession(v, id1)
	node.anyConn()
	h.runOnLoop(func() {
		if err := h.proxy.applyNodeList(&discovery.Message{Version: 9, Full: true, Entries: []discovery.Entry{
			{Name: "s-new", Addr: node.listener.Addr().String(), State: "ready", Weight: 1, StartedAtMs: h.proxy.now()}}}); err != nil {
			t.Error(err)
		}
	})
	node.resetConns()
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
}

// Guards against sessions that are given up though they play: their set-ups reached the successor at the address before the
// list told of it. Those from before the successor's start are lost at once.
func TestSessionsAtASuccessor(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	h.playSession(v, id1)
	h.nodes[0].resetConns() // as the process ends
	h.waitForClock()
	startedAt := h.proxy.unixOffsetMs + h.waitForClock()
	_, setup2 := h.playSession(v, id2)
	h.runOnLoop(func() {
		if err := h.proxy.applyNodeList(&discovery.Message{Version: 9, Full: true, Entries: []discovery.Entry{
			{Name: "s-new", Addr: h.nodes[0].listener.Addr().String(), State: "ready", Weight: 1, StartedAtMs: startedAt - 2}}}); err != nil {
			t.Error(err)
		}
	})
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
	node := h.session(id2).node
	h.runOnLoop(func() {
		if node.addrReassigned() {
			t.Error("the address of a session that plays is taken for another's")
		}
	})
	setup2.sendRelease(causeNormal)
	if reply := v.receive(); reply.Type != "release" || reply.ID != id2 || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
}

// waitForClock waits until the loop's clock has advanced by a few ms, and returns its time.
func (h *harness) waitForClock() (now float64) {
	h.runOnLoop(func() { now = h.loop.Now() })
	for was := now; now < was+5; h.runOnLoop(func() { now = h.loop.Now() }) {
		time.Sleep(time.Millisecond)
	}
	return now
}

// Every read ends in the middle of the next line: the read timeout starts anew with each line.
func TestFragmentsAcrossLines(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	_, setup := h.playSession(v, id1) // so that the connection has sent a set-up
	setup.sendRelease(causeNormal)
	v.receive()
	line := `{"type":"ping","id":"x","fields":{},"cause":0}` + "\n"
	fmt.Fprint(v.conn, line+line[:5])
	v.receive()
	first := h.waitForClock()
	fmt.Fprint(v.conn, line[5:]+line[:5])
	if reply := v.receive(); reply.Type != "pong" {
		t.Fatalf("%+v", reply)
	}
	h.runOnLoop(func() {
		if out := h.proxy.connManager.Step(first+readTimeoutMs, connmgr.Event{Kind: connmgr.Tick}, nil); len(out) > 0 {
			t.Errorf("a connection is closed though its line is not overdue: %v", out)
		}
	})
}

// As TestFragmentsAcrossLines, for messages of a media node.
func TestFragmentsAcrossMessages(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	out, start := frame.Begin(nil, frame.Ping, 1)
	out = frame.End(frame.AppendParameter(out, frame.Cause, []byte{0}), start)
	fragment := append(out[3:len(out):len(out)], out[:3]...)
	setup.conn.Write(append(out[:len(out):len(out)], out[:3]...))
	node.expect(frame.Pong)
	first := h.waitForClock()
	setup.conn.Write(fragment)
	node.expect(frame.Pong)
	h.runOnLoop(func() {
		if nc := h.proxy.sessions[setup.id].node.conns[0]; !nc.reader.Partial() || nc.partialSince < first {
			t.Errorf("message is incomplete since %v, though it began after %v", nc.partialSince, first)
		}
	})
}

// waitForInput waits until bytes have arrived on a connection that the loop has not read yet. It runs on the loop.
func waitForInput(conn *loop.Conn) {
	for deadline := time.Now().Add(testTimeout); unreadData(conn) == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a set-up that is lost when its connection is closed as idle or in a crowd: it has arrived, and the loop has
// not read it. It is refused, so that its viewer knows that nothing ran.
func TestSetupBeforeAClose(t *testing.T) {
	for name, closeConn := range map[string]func(*Proxy, *viewer){
		"idle": func(_ *Proxy, v *viewer) { v.closeIdle() },
		"crowd": func(p *Proxy, v *viewer) {
			for i := range p.cfg.Sockets / 2 {
				p.stepConnManager(connmgr.Event{Kind: connmgr.Accepted, Conn: connmgr.ConnID(1000 + i)})
				if v.closing {
					return
				}
				p.connManager.Step(0, connmgr.Event{Kind: connmgr.RequestRead, Conn: connmgr.ConnID(1000 + i)}, nil)
			}
		},
		"end of a stop": func(p *Proxy, _ *viewer) { p.closeAll() },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, 1, nil)
			client := h.dialViewer()
			h.expectViewerConns(1)
			h.runOnLoop(func() {
				for _, v := range h.proxy.viewers {
					client.sendSetup(id1, "paid", "1;top:0")
					waitForInput(v.conn)
					closeConn(h.proxy, v)
				}
			})
			if reply := client.receive(); reply.Type != "release" || reply.Cause != causeCongested {
				t.Fatalf("%+v", reply)
			}
			if stats := h.stats(); stats.Attempts != 0 {
				t.Fatalf("%+v", stats)
			}
		})
	}
}

// Guards against set-ups that are placed ahead of a drain which the director has received with them (review/8): they arrive first,
// and the name service's answer follows, while the loop stands still.
func TestDrainBehindUnreadSetups(t *testing.T) {
	const warmUps, setups = 3, 2
	h := startHarness(t, 2, nil)
	v := h.dialViewer()
	var preferred *standInNode // the one that set-ups of the title go to
	var setup nodeMessage
	for i := range warmUps { // opens a connection, on which set-ups are written at once
		v.sendSetup(fmt.Sprintf("%016x", 0xa0+i), "free", "2;top:0")
		preferred, setup = h.expectSetup()
		setup.sendAnswer("x")
		v.receive()
	}
	h.runOnLoop(func() {
		for i := range setups {
			v.sendSetup(fmt.Sprintf("%016x", 0xd0+i), "free", "2;top:0")
		}
		time.Sleep(20 * time.Millisecond)
		h.serveDNS(7, func(i int) bool { return h.nodes[i] == preferred })
		time.Sleep(100 * time.Millisecond)
	})
	if node, _ := h.expectSetup(); node == preferred {
		t.Fatal("a set-up came to a draining media node")
	}
	time.Sleep(100 * time.Millisecond)
	if preferred.receivedSetup() {
		t.Fatal("a set-up came to a draining media node")
	}
}

// Guards against set-ups that are answered too late, since the time for which they waited in a stall of the process is given to
// their attempts again (review/9): the media node never answers, so that all of the time is used.
func TestTimeLeftAfterAStall(t *testing.T) {
	const left, stall, latest = 1000 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	h.expectViewerConns(1)
	var sentAt time.Time
	h.runOnLoop(func() {
		sentAt = time.Now()
		v.send(`{"type":"setup","id":"%s","fields":{"class":"paid","left":"%d","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`,
			id1, left.Milliseconds())
		time.Sleep(stall)
	})
	reply := v.receive()
	if took := time.Since(sentAt); took > latest || reply.Type != "release" {
		t.Errorf("answered by %+v after %v, want one within %v", reply, took, latest)
	}
}

// Guards against a seat that is given again while its session stands at a media node that is cut off: its viewer has ended it, and the
// media node has not been heard since (review/10).
func TestSeatOfAnEndedSessionIsHeld(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) { cfg.Module.Classes[cfg.ClassIndex["free"]].MaxPerTitle = 1 })
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	v.endSession(id1)
	v.expectEndConfirmed()
	node.expect(frame.Release)
	time.Sleep(2 * endConfirmMs * time.Millisecond)
	v.sendSetup(id2, "free", "1;top:0")
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeCongested {
		t.Fatalf("the seat was given again: %+v", reply)
	}
	if node.receivedSetup() {
		t.Fatal("the seat was given again: a set-up was sent on")
	}
	setup.sendRelease(causeCancelled)
	h.waitFor("the session has not ended", func(Stats) bool { return h.sessionCount() == 0 })
	h.playSession(v, "00000000000000a3")
}
