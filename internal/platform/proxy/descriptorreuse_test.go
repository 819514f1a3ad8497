package proxy

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Guards against set-ups that get no answer at all: their connection got the descriptor of one that made room for it, and an
// event of that one, which its client closed at the same time, counted as the end of the new one (seed 520 of the soak).
func TestSetupsOnReusedDescriptorsAreAnswered(t *testing.T) {
	h := startHarness(t, 1, func(cfg *Config) { cfg.Sockets = 64 })
	limit := h.cfg.Sockets / 2 // connections of viewers
	var idle []*viewerClient
	for range limit {
		idle = append(idle, h.dialViewer())
	}
	h.expectViewerConns(limit)
	time.Sleep(2 * requestGraceMs * time.Millisecond) // from then on they make room
	blocked, goOn := make(chan bool), make(chan bool)
	h.loop.Post(func() { blocked <- true; <-goOn })
	<-blocked
	const setups = 4
	var viewers []*viewerClient
	for i := range setups {
		v := h.dialViewer()
		v.sendSetup(fmt.Sprintf("00000000000000b%d", i), "free", "1;top:0")
		viewers = append(viewers, v)
	}
	for _, v := range idle {
		v.conn.(*net.TCPConn).CloseWrite() // their own descriptors, of this process too, are not freed
	}
	close(goOn)
	for range setups {
		_, setup := h.expectSetup()
		setup.sendAnswer("x")
	}
	for _, v := range viewers {
		if reply := v.receive(); reply.Type != "answer" {
			t.Errorf("the set-up is not answered: %+v", reply)
		}
	}
}
