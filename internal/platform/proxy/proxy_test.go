package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"headmill"
	"headmill/decide/discovery"
	"headmill/decide/limits"
	"headmill/internal/platform/frame"
)

// A session is set up, answered and ended, with a ping beforehand.
func TestSessionFromSetupToItsEnd(t *testing.T) {
	h := startHarness(t, 2, nil)
	v := h.dialViewer()
	v.send(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if reply := v.receive(); reply.Type != "pong" || reply.Cause != 1 || reply.ID != "x" {
		t.Fatalf("pong: %+v", reply)
	}
	v.sendSetup(id1, "paid", "2;top:1")
	node, setup := h.expectSetup()
	if setup.id != 0xa1 || setup.class != "paid" || setup.rung != "1" || setup.sdp != "o\r\n\""+id1+"\"" {
		t.Fatalf("set-up: %+v", setup)
	}
	setup.sendAnswer("v=0\r\n\"é\"")
	if reply := v.receive(); reply.Type != "answer" || reply.ID != id1 || reply.SDP != "v=0\r\n\"é\"" {
		t.Fatalf("answer: %+v", reply)
	}
	setup.sendRelease(causeNormal)
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Fatalf("release: %+v", reply)
	}
	node.expect(frame.Released)
}

// A session is bound to no connection: its release goes out on another one if its own is closed.
func TestReleaseOnAnotherConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	a, b := h.dialViewer(), h.dialViewer()
	h.playSession(b, id2)
	_, setup1 := h.playSession(a, id1)
	a.conn.Close()
	h.expectViewerConns(1)
	setup1.sendRelease(causeReset)
	if reply := b.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
}

// With no connection open, the release is kept until one opens. If a peer does not confirm it, it is repeated on another
// connection.
func TestReleaseIsKeptUntilAConnectionOpens(t *testing.T) {
	h := startHarness(t, 1, nil)
	a := h.dialViewer()
	_, setup1 := h.playSession(a, id1)
	a.conn.Close()
	h.expectViewerConns(0)
	setup1.sendRelease(causeNormal)
	h.expectUnconfirmed(1)
	silentViewer := h.dialViewer()
	if reply := silentViewer.receive(); reply.Type != "release" || reply.ID != id1 {
		t.Fatalf("%+v", reply)
	}
	b := h.dialViewer()
	b.send(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	b.receive()
	if reply := b.receive(); reply.Type != "release" || reply.ID != id1 {
		t.Fatalf("%+v", reply)
	}
	b.send(`{"type":"released","id":"%s","fields":{}}`, id1)
	h.expectUnconfirmed(0)
}

// A release that is written while its viewer closes the connection is lost, so it is sent again.
func TestReleaseWrittenToAClosingConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	a, b := h.dialViewer(), h.dialViewer()
	h.playSession(b, id2)
	h.playSession(a, id1)
	s := h.session(id1)
	h.runOnLoop(func() {
		a.conn.Close()
		for s.viewer.conn.Reusable() { // the close has reached the kernel, but not yet the loop
			time.Sleep(time.Millisecond)
		}
		h.proxy.sessionEnded(s, headmill.OutcomeServed, causeNormal, headmill.LoadReport{})
	})
	if reply := b.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
	b.send(`{"type":"released","id":"%s","fields":{}}`, id1)
	h.expectUnconfirmed(0)
}

// A set-up that the module refuses is answered at once, with retry advice.
func TestRefusalIsImmediateWithRetryAdvice(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	start := time.Now()
	v.sendSetup(id1, "paid", "1;top:0")
	_, setup := h.expectSetup()
	setup.sendRelease(causeFull)
	reply := v.receive()
	if reply.Type != "release" || reply.Cause != causeCongested || reply.Fields["wait"] != "700" {
		t.Fatalf("%+v", reply)
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Fatalf("refused only after %v of 3 s", elapsed)
	}
}

// Errors and connection failures after the set-up was sent prove nothing: a set-up of the paid class, which may run once
// only, fails without a second attempt.
func TestPaidSetupThatMayHaveRunIsNeverRepeated(t *testing.T) {
	for name, fail := range map[string]func(*standInNode, nodeMessage){
		"error": func(_ *standInNode, setup nodeMessage) { setup.sendRelease(causeError) },
		"reset": func(node *standInNode, _ nodeMessage) { node.resetConns() },
		"noise": func(_ *standInNode, setup nodeMessage) { setup.conn.Write([]byte{0, 9, 99, 1, 2, 3}) },
		"claim": func(_ *standInNode, setup nodeMessage) { setup.conn.Write([]byte{0xff, 0xff, 9}) },
		"short": func(_ *standInNode, setup nodeMessage) { setup.conn.Write([]byte{0, 40, 9, 0}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, 2, nil)
			v := h.dialViewer()
			v.sendSetup(id1, "paid", "2;top:0")
			node, setup := h.expectSetup()
			fail(node, setup)
			if reply := v.receive(); reply.Type != "release" || reply.Cause != causeError {
				t.Fatalf("%+v", reply)
			}
			if stats := h.stats(); stats.Attempts != 1 || stats.Failed != 1 {
				t.Fatalf("%+v", stats)
			}
		})
	}
}

// A refused connection proves that nothing ran: the paid set-up is sent to another media node.
func TestRefusedConnectionProvesNothingRan(t *testing.T) {
	h := startHarness(t, 2, nil)
	h.nodes[0].listener.Close()
	for i := range 4 { // titles start at either node
		v := h.dialViewer()
		v.sendSetup(fmt.Sprintf("%016x", 0xb0+i), "paid", "2;top:0")
		node, setup := h.expectSetup()
		if node != h.nodes[1] {
			t.Fatal("a set-up came to a media node that does not listen")
		}
		setup.sendAnswer("x")
		if reply := v.receive(); reply.Type != "answer" {
			t.Fatalf("%+v", reply)
		}
	}
}

// Answers that match no pending attempt are ignored: one with an unknown id, and a duplicate.
func TestUnexpectedAnswersAreIgnored(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	_, setup := h.expectSetup()
	other := setup
	other.id = 0xdead
	other.sendAnswer("not yours")
	setup.sendAnswer("yours")
	setup.sendAnswer("yours")
	if reply := v.receive(); reply.Type != "answer" || reply.SDP != "yours" {
		t.Fatalf("%+v", reply)
	}
	setup.sendRelease(causeNormal)
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeNormal {
		t.Fatalf("a second answer: %+v", reply)
	}
}

// A viewer cancels its set-up: the director releases it at the media node and removes the session.
func TestViewerCancelsSetup(t *testing.T) {
	for name, leave := range map[string]func(*viewerClient){
		"release": func(v *viewerClient) { v.endSession(id1) },
		"close":   func(v *viewerClient) { v.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHarness(t, 1, nil)
			v := h.dialViewer()
			v.sendSetup(id1, "paid", "1;top:0")
			node, setup := h.expectSetup()
			leave(v)
			if msg := node.expect(frame.Release); msg.id != 0xa1 || msg.cause != causeNormal {
				t.Fatalf("%+v", msg)
			}
			setup.sendAnswer("too late")
			h.waitFor("a session plays though its viewer has left",
				func(stats Stats) bool { return stats.Left == 1 && stats.Played == 0 })
		})
	}
}

// A viewer ends its session: the director releases it at the media node, and does not pass the node's release back.
func TestViewerEndsItsSession(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	v.endSession(id1)
	v.expectEndConfirmed()
	node.expect(frame.Release)
	setup.sendRelease(causeCancelled)
	v.send(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if reply := v.receive(); reply.Type != "pong" {
		t.Fatalf("the viewer that ended the session got a release: %+v", reply)
	}
}

// Sessions that play when the director starts come with a time left that exceeds every class deadline. They are adopted,
// and end as others do.
func TestAdoptedSessions(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node := h.adoptSession(v, id1)
	node.anyConn().Write(frame.AppendRelease(nil, 0xa1, causeNormal))
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
	v.sendExistingSession(id2, "s-77")
	if reply := v.receive(); reply.Type != "release" || reply.ID != id2 || reply.Cause != causeReset {
		t.Fatalf("a session at an unlisted media node: %+v", reply)
	}
}

// When a media node process dies, the viewers of its sessions get releases, so that they retry.
func TestSessionsOfADeadMediaNode(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	node.listener.Close()
	node.resetConns()
	if reply := v.receive(); reply.Type != "release" || reply.ID != id1 || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
}

// A connection failure does not end the sessions that play.
func TestSessionsOutliveAConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	node.resetConns()
	v.sendSetup(id2, "free", "1;top:0")
	_, setup2 := h.expectSetup()
	setup2.id = 0xa1
	setup2.sendRelease(causeNormal) // the release of the first session comes on the next connection
	if reply := v.receive(); reply.ID != id1 || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
}

// A set-up with an id in use, on another connection: it is refused, and the existing session goes on.
func TestIDInUse(t *testing.T) {
	h := startHarness(t, 1, nil)
	v, other := h.dialViewer(), h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	_, setup := h.expectSetup()
	other.sendSetup(id1, "paid", "1;top:1")
	if reply := other.receive(); reply.Type != "release" || reply.Cause != causeInvalidField {
		t.Fatalf("%+v", reply)
	}
	setup.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
	other.sendSetup(id1, "paid", "1;top:1")
	if reply := other.receive(); reply.Type != "release" {
		t.Fatalf("%+v", reply)
	}
	setup.sendRelease(causeNormal)
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeNormal {
		t.Fatalf("%+v", reply)
	}
}

// Two set-ups with one id on one connection: both end, with one answer.
func TestDuplicateIDOnOneConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	node, setup := h.expectSetup()
	v.sendSetup(id1, "paid", "1;top:1")
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeInvalidField {
		t.Fatalf("%+v", reply)
	}
	node.expect(frame.Release)
	setup.sendAnswer("x")
	v.send(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if reply := v.receive(); reply.Type != "pong" {
		t.Fatalf("a second answer: %+v", reply)
	}
}

// Set-ups with missing fields or invalid values are refused, and the connection stays open.
func TestInvalidSetups(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	good := `{"type":"setup","id":"` + id1 + `","fields":{"class":"paid","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1"},"sdp":"x"}`
	for _, change := range [][2]string{{`"paid"`, `"gold"`}, {`"acme"`, `"none"`}, {`"3000"`, `"nan"`}, {`"3000"`, `-5`},
		{`"3000"`, `1e12`}, {`"3000"`, `"+Inf"`}, {`home:0`, `home:99`}, {`copies:1`, `copies:0`},
		{`top:1`, `top:1.5`}, {`top:1`, `tip:1`},
		{`7f3a9c21e0b4d655`, `zz`}, {`"sdp":"x"`, `"sdp":""`}, {`,"sdp":"x"`, ``}, {`"left":"3000",`, ``}} {
		line := strings.Replace(good, change[0], change[1], 1)
		if line == good {
			t.Fatalf("%v does not occur in the set-up", change)
		}
		v.send("%s", line)
		if reply := v.receive(); reply.Type != "release" || reply.Cause == causeFull ||
			reply.Cause == causeCongested || reply.Cause == causeNeverRan {
			t.Errorf("%v: %+v", change, reply)
		}
	}
	if stats := h.stats(); stats.Asked != 0 || stats.Attempts != 0 {
		t.Fatalf("an invalid set-up reached the module: %+v", stats)
	}
}

// Input that is malformed, too long, never completed or never sent closes its connection.
func TestMalformedInputClosesConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	for name, input := range map[string]string{"noise": "\x16\x03\x01\x02\n", "too long": strings.Repeat("x", 40000),
		"id": `{"type":"setup","id":"-1","fields":{}}` + "\n", "silent": "", "no end": `{"type":"setup"`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := h.dialViewer()
			fmt.Fprint(v.conn, input)
			v.expectClosed()
		})
	}
}

// At the connection limit, silent connections are closed in favour of those that send set-ups.
func TestSilentConnectionsAreClosedAtTheLimit(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) { cfg.Sockets = 64 })
	var silent []net.Conn
	for range 40 {
		conn, err := net.Dial("tcp4", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		silent = append(silent, conn)
	}
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	_, setup := h.expectSetup()
	setup.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
	silent[0].SetReadDeadline(time.Now().Add(testTimeout))
	_, err := silent[0].Read(make([]byte, 1))
	if netErr, ok := err.(net.Error); err == nil || ok && netErr.Timeout() {
		t.Fatalf("the first silent connection is still open: %v", err)
	}
}

// A set-up and its release arrive in one iteration. The module must learn that the attempt was never made:
// otherwise it would hold the node's capacity for good.
func TestSetupAndReleaseInOneIteration(t *testing.T) {
	h := startHarness(t, 1, nil)
	for i := range 50 { // more than the capacity of 20 streams
		v := h.dialViewer()
		id := fmt.Sprintf("%016x", 0xc00+i)
		fmt.Fprintf(v.conn, `{"type":"setup","id":"%s","fields":{"class":"free","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`+"\n"+
			`{"type":"release","id":"%s","fields":{},"cause":16}`+"\n", id, id)
		if reply := v.receive(); reply.Type != "released" {
			t.Fatalf("%+v", reply)
		}
	}
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	for {
		_, setup := h.expectSetup()
		if setup.id == 0xa1 {
			setup.sendAnswer("x")
			break
		}
	}
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
}

// The discovery service moves: the new address is queried. A new address that is unusable leaves the old one in use.
func TestReload(t *testing.T) {
	h := startHarness(t, 1, nil)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	newCfg := *h.cfg
	newCfg.DNS = other.LocalAddr().String()
	h.proxy.Reload(&newCfg)
	buf := make([]byte, 512)
	other.SetReadDeadline(time.Now().Add(testTimeout))
	if _, _, err := other.ReadFromUDP(buf); err != nil {
		t.Fatalf("the new address is not queried: %v", err)
	}
	badCfg := *h.cfg
	badCfg.DNS = "nowhere"
	h.proxy.Reload(&badCfg)
	other.SetReadDeadline(time.Now().Add(testTimeout))
	for range 3 {
		if _, _, err := other.ReadFromUDP(buf); err != nil {
			t.Fatalf("an unusable address ends the queries: %v", err)
		}
	}
}

// A media node is identified by its id: when its address changes, no set-up goes to the old address.
func TestChangedAddress(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	oldNode, _ := h.playSession(v, id1)
	moved := startStandInNode(t, "s-0")
	h.setNodeList("ready", moved.listener.Addr().String())
	h.nodes = append(h.nodes, moved)
	v.sendSetup(id2, "free", "1;top:0")
	node, setup := h.expectSetup()
	if node == oldNode {
		t.Fatal("a set-up went to the old address")
	}
	setup.sendAnswer("x")
	if reply := v.receive(); reply.ID != id2 || reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
}

// The rung of an adopted session is known only once its media node reports it. A rung that the module sets after that is
// sent, even if it is the lowest; one that is already in force is not.
func TestRungOfAdoptedSession(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node := h.adoptSession(v, id1)
	s := h.session(id1)
	h.sendFeedback(node, s.id, "level", 1)
	h.setRung(s, 0)
	if got := node.expect(frame.Rate); got.id != s.id || got.rung != "0" {
		t.Fatalf("%+v", got)
	}
	h.setRung(s, 0)
	h.setRung(s, 1)
	if got := node.expect(frame.Rate); got.rung != "1" {
		t.Fatalf("an unchanged rung was sent: %+v", got)
	}
}

// A stop answers what was accepted, closes the listener, and completes when the last session has ended.
func TestStop(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendExistingSession(id2, "s-77") // refused: it must not count as pending
	v.send(`{"type":"released","id":"%s","fields":{}}`, v.receive().ID)
	_, setup := h.playSession(v, id1)
	h.proxy.Stop()
	v.sendSetup(id2, "paid", "1;top:0")
	_, setup2 := h.expectSetup()
	setup2.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("a set-up right after the stop is not served: %+v", reply)
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp4", h.addr)
		if err != nil {
			break
		}
		conn.Close()
		if time.Now().After(deadline) {
			t.Fatal("the listener stays open")
		}
	}
	select {
	case <-h.done:
		t.Fatal("the stop completed while sessions play")
	default:
	}
	setup.sendRelease(causeNormal)
	setup2.sendRelease(causeNormal)
	for range 2 {
		v.send(`{"type":"released","id":"%s","fields":{}}`, v.receive().ID)
	}
	select {
	case <-h.done:
	case <-time.After(testTimeout):
		t.Fatal("the stop does not complete after the last session")
	}
}

// A set-up that is pending while its media node's address changes keeps its connection; that is not used for another.
func TestChangedAddressDuringSetup(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) {
		cfg.Module.ReportIntervalMs = 1e6 // keeps the connection from being closed as silent
	})
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	_, setup := h.expectSetup()
	moved := startStandInNode(t, "s-0")
	h.setNodeList("ready", moved.listener.Addr().String())
	setup.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
	h.waitFor("connections to the old address stay open", func(Stats) bool {
		old := 0
		h.runOnLoop(func() {
			for _, nc := range h.proxy.nodes[discovery.NodeIDFromName("s-0")].conns {
				if nc.addr != moved.listener.Addr().String() {
					old++
				}
			}
		})
		return old == 0
	})
	h.nodes = append(h.nodes, moved)
	v.sendSetup(id2, "free", "1;top:0")
	if node, _ := h.expectSetup(); node != moved {
		t.Fatal("a set-up went to the old address")
	}
}

// A drain is announced while a set-up waits for its connection: the set-up is not written.
func TestDrainWhileConnecting(t *testing.T) {
	addr, listener := fullBacklogListener(t)
	h := startHarness(t, 1, func(cfg *Config) {
		cfg.ConnectMs = 20000
		cfg.Snapshot.Items[0].Roster.Hosts[0].Dial = addr
	})
	v := h.dialViewer()
	v.send(`{"type":"setup","id":"%s","fields":{"class":"paid","left":"6000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`,
		id1)
	h.waitFor("no attempt", func(stats Stats) bool { return stats.Attempts == 1 })
	h.setNodeList("draining", addr)
	go func() { // lets the pending connects succeed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := conn.Read(make([]byte, 100)); n > 0 {
					t.Errorf("%d bytes were written after the drain was announced", n)
				}
			}()
		}
	}()
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeCongested {
		t.Fatalf("%+v", reply)
	}
}

// After a malformed answer the session may play unknown to its viewer: it is released at the media node, on another
// connection.
func TestSessionWithMalformedAnswerIsEnded(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	node, setup := h.expectSetup()
	setup.conn.Write([]byte{0xff, 0xff, 9})
	go func() { // keeps sending
		for b := make([]byte, 1<<16); ; {
			if _, err := setup.conn.Write(b); err != nil {
				return
			}
		}
	}()
	for {
		if msg := node.expect(frame.Release); msg.id == 0xa1 && msg.conn != setup.conn {
			break
		}
	}
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeError {
		t.Fatalf("%+v", reply)
	}
}

// A session description is too long for a line to the viewer, who gets a failure; the session is ended at its media
// node.
func TestAnswerTooLongForALine(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "paid", "1;top:0")
	node, setup := h.expectSetup()
	setup.sendAnswer(strings.Repeat("\x01", 4000)) // six bytes each in JSON
	if msg := node.expect(frame.Release); msg.id != 0xa1 {
		t.Fatalf("%+v", msg)
	}
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeError {
		t.Fatalf("%+v", reply)
	}
}

// A release for a media node that is unreachable at the moment is sent when it is reachable again.
func TestReleaseIsSentWhenTheMediaNodeIsBack(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, _ := h.playSession(v, id1)
	addr, listener := fullBacklogListener(t)
	h.runOnLoop(func() { h.proxy.nodes[discovery.NodeIDFromName(node.name)].addr = addr })
	node.resetConns()
	v.endSession(id1)
	v.receive()
	h.waitFor("not ended", func(Stats) bool { return h.sessionCount() == 0 }) // the first connect fails before or after
	go node.serve(listener)
	if msg := node.expect(frame.Release); msg.id != 0xa1 {
		t.Fatalf("%+v", msg)
	}
}

// A media node sends a release and repeats it: it counts once.
func TestDuplicateReleaseFromMediaNode(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	node, setup := h.playSession(v, id1)
	setup.sendRelease(causeReset)
	setup.sendRelease(causeReset)
	node.expect(frame.Released)
	node.expect(frame.Released)
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeReset {
		t.Fatalf("%+v", reply)
	}
	v.send(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if reply := v.receive(); reply.Type != "pong" {
		t.Fatalf("the viewer got a second message: %+v", reply)
	}
}

// A drain announced by the discovery service, over DNS on a socket, keeps set-ups away from the node.
func TestDrainFromDiscovery(t *testing.T) {
	h := startHarness(t, 2, nil)
	v := h.dialViewer()
	h.serveDNS(7, func(i int) bool { return i == 0 })
	h.waitFor("the node list is not applied", func(Stats) bool {
		var version uint64
		h.runOnLoop(func() { version = h.proxy.nodeList.Version() })
		return version == 7
	})
	for i := range 6 {
		v.sendSetup(fmt.Sprintf("%016x", 0xd0+i), "free", "2;top:0")
		node, setup := h.expectSetup()
		if node == h.nodes[0] {
			t.Fatal("a set-up came to a draining media node")
		}
		setup.sendAnswer("x")
		v.receive()
	}
}

// The session descriptions of pending set-ups are limited to a part of the memory; one more is refused at
// once, with retry advice.
func TestPendingSetupsAreBoundedInMemory(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) { cfg.MemoryMB = 1 })
	v := h.dialViewer()
	description, setups := strings.Repeat("x", 15000), 40
	go func() {
		for i := range setups {
			v.send(`{"type":"setup","id":"%016x","fields":{"class":"free","left":"3000","tenant":"acme","key":"%016x","extras":"home:0;copies:1;top:0"},"sdp":"%s"}`,
				0xe00+i, i, description)
		}
	}()
	refused := 0
	for range setups {
		if reply := v.receive(); reply.Type == "release" && reply.Cause == causeCongested && reply.Fields["wait"] != "" {
			refused++
		}
	}
	if stats := h.stats(); refused < setups/2 || stats.Asked+stats.Denied != setups || stats.Denied == 0 {
		t.Fatalf("%d refused, %+v", refused, stats)
	}
	h.waitFor("quota is not returned", func(Stats) bool {
		var used int64
		h.runOnLoop(func() {
			used = h.proxy.quotas.Usage(limits.PendingSetups).Used + h.proxy.quotas.Usage(limits.Sessions).Used
		})
		return used == 0
	})
}

// Ended sessions, closed connections and removed media nodes leave no state behind, or a long-running director would
// grow without bound.
func TestNoStateIsLeftBehind(t *testing.T) {
	h := startHarness(t, 1, nil)
	node := h.nodes[0]
	for round := range 8 {
		name := fmt.Sprintf("s-new-%d", round)
		h.runOnLoop(func() {
			list := discovery.Message{Version: uint64(10 + round), Full: true, Entries: []discovery.Entry{
				{Name: name, Addr: node.listener.Addr().String(), State: "ready", Weight: 1}}}
			for range 5 { // until the return of a media node that is older than the first list is believed
				if err := h.proxy.applyNodeList(&list); err != nil {
					t.Error(err)
				}
			}
		})
		for i := range 10 {
			v, id := h.dialViewer(), fmt.Sprintf("%016x", 0x1000+100*round+i)
			v.sendSetup(id, "free", "1;top:0")
			_, setup := h.expectSetup()
			if i%5 == 0 { // the viewer leaves
				v.conn.Close()
				continue
			}
			setup.sendAnswer("x")
			v.receive()
			setup.sendRelease(causeNormal)
			v.receive()
			v.send(`{"type":"released","id":"%s","fields":{}}`, id)
			v.conn.Close()
		}
	}
	stateSizes := func() (out string) {
		h.runOnLoop(func() {
			p := h.proxy
			out = fmt.Sprint(len(p.sessions), len(p.sessionsByModuleID), len(p.viewers), p.connManager.Len(),
				p.pendingSetups, p.retransmitter.Len(), p.quotas.Usage(limits.PendingSetups).Used,
				p.quotas.Usage(limits.Sessions).Used, len(p.nodes)-1)
			for _, n := range p.nodes {
				out += fmt.Sprint(" ", len(n.sessions), len(n.queue))
				for _, nc := range n.conns {
					out += fmt.Sprint(" ", len(nc.attempts))
				}
			}
			if p.nodeConnCount > maxConnsPerNode {
				out += fmt.Sprint(" node connections ", p.nodeConnCount)
			}
		})
		return out
	}
	for deadline := time.Now().Add(testTimeout); strings.Trim(stateSizes(), "0 ") != ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("state left behind: %s", stateSizes())
		}
	}
}
