package bench

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"headmill/internal/http1"
)

// Result is one measurement of one server.
type Result struct {
	Name                string  `json:"name"`
	Sessions            int64   `json:"sessions"`
	PerS                float64 `json:"sessions_per_s"`
	P50Ms               float64 `json:"p50_ms"`
	P99Ms               float64 `json:"p99_ms"`
	CPUMicrosPerSession float64 `json:"cpu_us_per_session"` // CPU time of the server process, in us
	IdleBytes           float64 `json:"bytes_per_idle_connection"`
	NotPlaying          int64   `json:"not_playing"`
}

// Load requests sessions over persistent connections for a given time, with one request pending on each. requests
// are complete HTTP requests, each of which is sent once. Load fails if all of them are used before the time ends.
func Load(addr string, conns int, duration time.Duration, requests [][]byte) (Result, error) {
	var next, playing, notPlaying atomic.Int64
	latencies := hdrhistogram.New(1, 60_000_000, 3) // us
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make(chan error, conns)
	end := time.Now().Add(duration)
	startedAt := time.Now()
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp4", addr)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			connLatencies := hdrhistogram.New(1, 60_000_000, 3)
			parser := http1.NewResponses(http1.Limits{})
			buf := make([]byte, 16<<10)
			for time.Now().Before(end) {
				i := next.Add(1) - 1
				if i >= int64(len(requests)) {
					break
				}
				sentAt := time.Now()
				if _, err := c.Write(requests[i]); err != nil {
					errs <- err
					return
				}
				for done := false; !done; {
					n, err := c.Read(buf)
					if err != nil {
						errs <- err
						return
					}
					if _, done, err = parser.Feed(buf[:n]); err != nil {
						errs <- err
						return
					}
				}
				if parser.Msg.Status == 200 {
					playing.Add(1)
					connLatencies.RecordValue(time.Since(sentAt).Microseconds())
				} else {
					notPlaying.Add(1)
				}
				parser.Next()
			}
			mu.Lock()
			latencies.Merge(connLatencies)
			mu.Unlock()
		}()
	}
	wg.Wait()
	elapsed := time.Since(startedAt).Seconds()
	select {
	case err := <-errs:
		return Result{}, err
	default:
	}
	if next.Load() >= int64(len(requests)) {
		return Result{}, errors.New("bench: all prepared requests were sent before the measurement ended; prepare more")
	}
	return Result{Sessions: playing.Load(), NotPlaying: notPlaying.Load(), PerS: float64(playing.Load()) / elapsed,
		P50Ms: float64(latencies.ValueAtQuantile(50)) / 1000, P99Ms: float64(latencies.ValueAtQuantile(99)) / 1000}, nil
}

// IdleConnectionBytes opens connections that make one request and then stay idle, and returns the resident memory in
// bytes that each of them adds to the process.
func IdleConnectionBytes(addr string, pid, conns int) (float64, error) {
	before := ResidentBytes(pid)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	buf := make([]byte, 4096)
	for range conns {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			return 0, fmt.Errorf("bench: after %d connections: %w", len(open), err)
		}
		open = append(open, c)
		if _, err := fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return 0, err
		}
		if _, err := c.Read(buf); err != nil {
			return 0, err
		}
	}
	return (ResidentBytes(pid) - before) / float64(conns), nil
}

// ResidentBytes returns a process's resident memory in bytes (VmRSS in /proc/PID/status), or 0 if it cannot be read.
func ResidentBytes(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kB, _ := strconv.ParseFloat(fields[1], 64)
			return kB * 1024
		}
	}
	return 0
}

// CPUMs returns a process's CPU time in ms, or 0 if it cannot be read. /proc/PID/stat has utime and stime in ticks
// of 10 ms.
func CPUMs(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The fields are counted from the end of the command name, which may contain spaces.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 10
}

// WaitReady waits until a server's health check reports at least the given number of media nodes.
func WaitReady(addr string, nodes int) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/healthz"); err == nil {
			var n int
			fmt.Fscanf(resp.Body, "ok\nboxes %d\n", &n)
			resp.Body.Close()
			if n >= nodes {
				return nil
			}
		}
	}
	return errors.New("bench: the server's /healthz did not report all media nodes within 20 s")
}
