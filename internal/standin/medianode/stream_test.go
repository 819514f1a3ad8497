package medianode

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"headmill/internal/token"
)

// Guards against ends of sessions that a director never hears of, because it did not read its event stream for a time: the stream
// ends, so that the director opens another one, which begins with the list of its sessions.
func TestStreamThatIsNotReadEnds(t *testing.T) {
	node, err := Start(Config{Addr: "127.0.0.1:0", RateKB: []float64{10}, LinkKB: 1, UplinkKB: 1, MaxSessions: 1, Cores: 1, SegmentMs: 500,
		Keys: token.FormatKeys([]token.Key{token.NewKey("k1", make([]byte, 32))}, false)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	resp, err := http.Get("http://" + node.Addr() + "/notes?director=d")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	event := "event: x\ndata: " + strings.Repeat("x", 4096) + "\n\n"
	hasStream := func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return node.streams["d"] != nil
	}
	for deadline := time.Now().Add(20 * time.Second); hasStream(); {
		for range 100 {
			node.sendText("d", event, 0)
		}
		time.Sleep(time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatal("the stream has not ended")
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the stream is cut: %v", err)
	}
}
