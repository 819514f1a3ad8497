package director

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"headmill/internal/config"
	"headmill/internal/standin/medianode"
)

// Guards against requests that get no answer at all: their connection got the descriptor of one that made room for it, and an
// event of that one, which its client closed at the same time, counted as the end of the new one.
func TestRequestsOnReusedDescriptorsAreAnswered(t *testing.T) {
	const connections, requests = 16, 4
	env := newTestEnv(t, 1, func(s *config.Settings, _ *medianode.Config) { s.Limits.Connections = connections })
	dial := func() *net.TCPConn {
		conn, err := net.Dial("tcp4", strings.TrimPrefix(env.baseURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn.(*net.TCPConn)
	}
	var idle, asking []*net.TCPConn
	for range connections {
		idle = append(idle, dial())
	}
	env.waitUntil("all connections are accepted", func() bool {
		return env.onLoop(func() int { return len(env.director.viewers) }) == connections
	})
	time.Sleep(2 * requestGraceMs * time.Millisecond) // from then on they make room
	env.onLoop(func() int {                           // the loop is blocked
		for i := range requests {
			conn := dial()
			fmt.Fprintf(conn, "GET /dash/free-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: d\r\n\r\n",
				env.token("free", fmt.Sprint("reused", i)))
			asking = append(asking, conn)
		}
		for _, conn := range idle {
			conn.CloseWrite() // its own descriptor, of this process too, is not freed
		}
		return 0
	})
	for i, conn := range asking {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("request %d: %v", i, err)
			continue
		}
		if response.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d", i, response.StatusCode)
		}
	}
}
