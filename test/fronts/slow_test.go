package fronts

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"headmill/internal/config"
	"headmill/internal/loop"
	"headmill/internal/ws"
)

// unfinishedBody is a request that stops 1 kB before the end of a body of limits.body.
func unfinishedBody() []byte {
	const bodyBytes = 65536
	head := fmt.Sprintf("POST /cmcd HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	return append([]byte(head), make([]byte, bodyBytes-1024)...)
}

// unfinishedHead is a head of many short fields that does not end.
func unfinishedHead() []byte {
	var b bytes.Buffer
	b.WriteString("GET /healthz HTTP/1.1\r\nHost: d\r\n")
	for i := range 60 {
		fmt.Fprintf(&b, "x-%d: %0245d\r\n", i, i)
	}
	return b.Bytes()
}

// unfinishedMessage is a message of a WebSocket that stops half way.
func unfinishedMessage(f *front) []byte {
	message := maskedFrame(ws.OpText, make([]byte, 16384))
	return append(f.upgrade(), message[:len(message)/2]...)
}

// unfinished are requests that stay incomplete.
var unfinished = map[string]func(*front) []byte{
	"body":              func(*front) []byte { return unfinishedBody() },
	"head":              func(*front) []byte { return unfinishedHead() },
	"nothing":           func(*front) []byte { return nil },
	"WebSocket message": unfinishedMessage,
}

// Guards against honest clients that get no place while others hold more connections than the process has descriptors, with
// requests that stay incomplete, and dial again as soon as one is closed.
func TestSlowRequests(t *testing.T) {
	const clients = 1500
	for name, prefix := range unfinished {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, descriptorLimit, nil)
			f.playSlow(clients, prefix(f))
		})
	}
}

// Guards against honest clients that get no place where the settings allow few connections and little input.
func TestSlowRequestsAtLowLimits(t *testing.T) {
	const clients, connections, leastInput = 100, 64, 65536
	for name, prefix := range unfinished {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, descriptorLimit, func(s *config.Settings) {
				s.Limits.Connections, s.Limits.TotalInput = connections, leastInput
			})
			f.playSlow(clients, prefix(f))
		})
	}
}

// playSlow holds connections with an incomplete request, and checks what honest clients get meanwhile.
func (f *front) playSlow(clients int, prefix []byte) {
	f.t.Helper()
	slow := f.startSlow(clients, prefix, true)
	time.Sleep(time.Second)
	honest := f.startHonest(4, 50*time.Millisecond, true)
	time.Sleep(3 * time.Second)
	f.check(fmt.Sprintf("%d slow clients", clients), honest.finish())
	f.t.Logf("slow clients: %d opened, %d ended by the director, %d open", slow.opened.Load(), slow.answered.Load(), slow.open.Load())
	slow.finish()
}

// Guards against memory that grows with the number of clients whose requests stay incomplete, where there are descriptors for all of
// them.
func TestMemoryOfSlowRequests(t *testing.T) {
	const clients, mostDescriptors = 4000, 20000
	descriptors := uint64(min(loop.MaxDescriptors(), mostDescriptors))
	for name, prefix := range unfinished {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, descriptors, nil)
			f.playSlow(clients, prefix(f))
		})
	}
}
