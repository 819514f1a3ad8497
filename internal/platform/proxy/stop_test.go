package proxy

import (
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"headmill/decide/shutdown"
	"headmill/internal/platform/frame"
)

// A connection that the kernel has accepted before the listener closes is served.
func TestListenerClosesAfterAnAcceptedConnection(t *testing.T) {
	h := startHarness(t, 1, nil)
	var v *viewerClient
	h.runOnLoop(func() {
		v = h.dialViewer()
		v.sendSetup(id1, "free", "1;top:0")
		h.proxy.applyShutdownAction(shutdown.CloseListeners)
	})
	_, setup := h.expectSetup()
	setup.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" {
		t.Fatalf("%+v", reply)
	}
	if conn, err := net.Dial("tcp4", h.addr); err == nil {
		conn.Close()
		t.Fatal("the listener is still open")
	}
}

// Set-ups still pending at the end of a stop are answered as failed, and released at their media nodes.
func TestStopFailsPendingSetups(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	v.sendSetup(id1, "free", "1;top:0")
	node, _ := h.expectSetup()
	h.runOnLoop(func() { h.proxy.applyShutdownAction(shutdown.FailPending) })
	if reply := v.receive(); reply.Type != "release" || reply.Cause != causeError {
		t.Fatalf("%+v", reply)
	}
	if msg := node.expect(frame.Release); msg.id != 0xa1 || h.sessionCount() != 0 {
		t.Fatalf("%+v, %d sessions", msg, h.sessionCount())
	}
}

// A stop waits for output that its peer has not read, and for releases that no viewer has confirmed.
func TestUnsentMessages(t *testing.T) {
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	_, setup := h.playSession(v, id1)
	h.runOnLoop(func() {
		conn := h.proxy.sessions[setup.id].viewer.conn
		conn.SetOutputLimit(0)
		for big := make([]byte, 1<<20); conn.Pending() == 0; {
			conn.Write(big)
		}
		if got := h.proxy.unsentMessages(); got != 1 {
			t.Errorf("%d unsent, want 1: the viewer's output", got)
		}
	})
	setup.sendRelease(causeNormal)
	h.expectUnconfirmed(1)
	h.runOnLoop(func() {
		if got := h.proxy.unsentMessages(); got != 2 {
			t.Errorf("%d unsent, want 2: the output and the release", got)
		}
	})
}

// No file descriptor is free when the discovery service moves: the existing socket is connected to the new address. Other
// goroutines of the tests may close descriptors at any time, as the one closed here.
func TestReloadWithoutADescriptor(t *testing.T) {
	const descriptorLimit = 3 // standard input, output and error stay open, so no lower descriptor is ever free
	h := startHarness(t, 1, nil)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	closedMeanwhile, err := unix.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	h.runOnLoop(func() {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptorLimit, Max: limit.Max}); err != nil {
			t.Error(err)
		}
		defer unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
		unix.Close(closedMeanwhile)
		if _, err := h.loop.DialPacket(other.LocalAddr().String(), func([]byte) {}); !errors.Is(err, unix.EMFILE) {
			t.Errorf("a descriptor may be free, the test proves nothing: %v", err)
		}
		if err := h.proxy.discovery.connect(other.LocalAddr().String()); err != nil {
			t.Error(err)
		}
	})
	other.SetReadDeadline(time.Now().Add(testTimeout))
	if _, _, err := other.ReadFromUDP(make([]byte, 512)); err != nil {
		t.Fatalf("the new address is not queried: %v", err)
	}
}
