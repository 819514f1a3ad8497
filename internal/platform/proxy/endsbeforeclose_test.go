package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against sessions that play on though their viewer has ended them, as it closes its connection right after: the
// confirmation of the first ends is met with a reset, which loses those that are unread.
func TestSessionsEndedRightBeforeACloseAreEnded(t *testing.T) {
	const sessions = 6
	unused := strings.Repeat("x", viewerReadBudget/2) // the ends are more than one iteration reads
	h := startHarness(t, 1, nil)
	v := h.dialViewer()
	var ends strings.Builder
	for i := range sessions {
		id := fmt.Sprintf("%016x", 0xe00+i)
		h.playSession(v, id)
		fmt.Fprintf(&ends, `{"type":"release","id":"%s","fields":{"unused":"%s"},"cause":16}`+"\n", id, unused)
	}
	blocked, goOn := make(chan bool), make(chan bool)
	h.loop.Post(func() { close(blocked); <-goOn })
	<-blocked
	v.conn.Write([]byte(ends.String()))
	v.conn.Close()
	close(goOn)
	for deadline := time.Now().Add(2 * time.Second); h.playingCount() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if playing := h.playingCount(); playing > 0 {
		t.Errorf("%d of %d sessions play on", playing, sessions)
	}
}

// playingCount returns the number of sessions that play and that no viewer has ended.
func (h *harness) playingCount() (count int) {
	h.runOnLoop(func() {
		for _, s := range h.proxy.sessions {
			if s.state == statePlaying {
				count++
			}
		}
	})
	return count
}
