package director

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"headmill/internal/config"
	"headmill/internal/standin/medianode"
	"headmill/internal/trace"
)

// A sampled session's trace has its attempts, its player's reports and its end; a scrape has the counters.
func TestTraceAndMetrics(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	path := filepath.Join(t.TempDir(), "trace.json")
	tr, err := trace.Open(path, "d0", 1)
	if err != nil {
		t.Fatal(err)
	}
	env.onLoop(func() int { env.director.Trace = tr; return 0 })
	raw := env.token("free", "traced")
	env.wantStatus("first request", env.get("free", raw), 200)
	resp, err := http.Post("http://"+env.director.Addr()+"/cmcd?token="+raw, "application/cmcd",
		strings.NewReader("v=2,sn=1,mtp=100,bsd=1300,bs"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	addr, stop, err := env.director.ServeMetrics("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	scrape := func() string {
		resp, err := http.Get("http://" + addr + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return string(b)
	}
	env.waitUntil("the report is counted", func() bool {
		return strings.Contains(scrape(), `headmill_reports_total{verdict="counted"} 1`)
	})
	text := scrape()
	for _, want := range []string{`headmill_orders_total{result="played"} 1`, `headmill_sessions{state="plays"} 1`,
		"headmill_boxes 2", `headmill_memory_used{purpose="sessions"} 1`, "headmill_attempts_total 1", "go_goroutines"} {
		if !strings.Contains(text, want+"\n") && !strings.Contains(text, want+" ") {
			t.Errorf("the scrape lacks %s", want)
		}
	}
	req, _ := http.NewRequest("DELETE", "http://"+env.director.Addr()+"/dash/free-title/manifest.mpd?token="+raw, nil)
	if resp, err = http.DefaultClient.Do(req); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	env.waitUntil("the session has ended", func() bool {
		return strings.Contains(scrape(), `headmill_sessions{state="plays"} 0`)
	})
	env.onLoop(func() int { env.director.Trace = nil; return 0 })
	if err := tr.Close(); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := trace.ReadSession(f, "traced")
	if err != nil {
		t.Fatal(err)
	}
	traceText := ""
	for _, l := range lines {
		traceText += fmt.Sprintln(l.Text)
	}
	for _, want := range []string{"session begins", "attempt begins box=127.0.0.1:", "outcome=plays",
		"  report stall_ms=1300 starved=true", "end=ended here"} {
		if !strings.Contains(traceText, want) {
			t.Errorf("the trace lacks %q:\n%s", want, traceText)
		}
	}
}

// BenchmarkReportsPosted measures how many reports per second one director accepts over sockets: the players of 64
// sessions post sixteen reports at a time.
func BenchmarkReportsPosted(b *testing.B) {
	env := newTestEnv(b, 1, func(s *config.Settings, nodeCfg *medianode.Config) {
		s.Times.ReportMs, nodeCfg.MaxSessions, nodeCfg.LinkKB = 1, 1000, 1e6
	})
	var conns []*bufio.ReadWriter
	var heads []string
	for i := range 64 {
		raw := env.token("free", fmt.Sprint("bench", i))
		if got := env.get("free", raw); got.status != 200 {
			b.Fatal(got.status, got.body)
		}
		c, err := net.Dial("tcp4", env.director.Addr())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriter(c)))
		heads = append(heads, "POST /cmcd?token="+raw+" HTTP/1.1\r\nHost: x\r\nContent-Length: ")
	}
	before := env.onLoop(func() int { return int(env.director.stats.ReportsAccepted) })
	b.ResetTimer()
	number := 0
	for n := 0; n < b.N; n += 16 * len(conns) {
		for i, c := range conns {
			var body strings.Builder
			for range 16 {
				number++
				fmt.Fprintf(&body, "v=2,e=t,ts=%d,sn=%d,mtp=400,br=224,bl=4000\n", time.Now().UnixMilli(), number)
			}
			fmt.Fprintf(c, "%s%d\r\n\r\n%s", heads[i], body.Len(), body.String())
			c.Flush()
		}
		for _, c := range conns {
			resp, err := http.ReadResponse(c.Reader, nil)
			if err != nil || resp.StatusCode != 204 {
				b.Fatal(err, resp)
			}
		}
	}
	b.StopTimer()
	accepted := env.onLoop(func() int { return int(env.director.stats.ReportsAccepted) }) - before
	b.ReportMetric(float64(accepted)/b.Elapsed().Seconds(), "taken/s")
	b.ReportMetric(float64(env.onLoop(func() int { return int(env.director.quality.tracker.Bytes()) }))/64,
		"bytes/session")
}
