package faults

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a fault of the stand-in, by which set-ups of a connection that came up as a machine vanished reached the process
// after it (seed 3 of the soak). To its client such a connection is open; the kernel of the machine still waits for the end of the
// handshake, as its queue was full, and completes it with bytes that come again once it is back.
func TestVanishedNodeForgetsHalfOpenConnections(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 15, 1, 1, usualSettings)
	n := w.allNodes()[0]
	face := n.faces[0]
	// The handshake ends with the first bytes.
	const deferSeconds = 10
	if err := unix.SetsockoptInt(face.listener, unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", face.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	n.setState(nodeVanished)
	conn.Write(encodeFrame(typeSetup, 1, param{paramClass, "free"}, param{paramWait, "3000"}))
	time.Sleep(300 * time.Millisecond)
	if face.connCount() != 0 {
		t.Fatal("the connection is accepted: the test proves nothing")
	}
	n.setState(nodeUp)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // the bytes come again meanwhile
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is not reset: %v", err)
	}
	w.record(func() {
		if len(w.attempts) != 0 {
			t.Error("the process that came back got a set-up from before")
		}
	})
}
