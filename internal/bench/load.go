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
	Name       string  `json:"name"`
	Sessions   int64   `json:"sessions"`
	PerS       float64 `json:"sessions_per_s"`
	P50Ms      float64 `json:"p50_ms"`
	P99Ms      float64 `json:"p99_ms"`
	CPUUs      float64 `json:"cpu_us_per_session"`
	IdleBytes  float64 `json:"bytes_per_idle_connection"`
	NotPlaying int64   `json:"not_playing"`
}

// Load asks for sessions over kept connections, one request out on each, until the time is over. requests are
// whole HTTP requests, each used once.
func Load(addr string, conns int, dur time.Duration, requests [][]byte) (Result, error) {
	var next, good, other atomic.Int64
	hist := hdrhistogram.New(1, 60_000_000, 3) // us
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make(chan error, conns)
	end := time.Now().Add(dur)
	began := time.Now()
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
			own := hdrhistogram.New(1, 60_000_000, 3)
			p := http1.NewResponses(http1.Limits{})
			buf := make([]byte, 16<<10)
			for time.Now().Before(end) {
				i := next.Add(1) - 1
				if i >= int64(len(requests)) {
					break
				}
				at := time.Now()
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
					if _, done, err = p.Feed(buf[:n]); err != nil {
						errs <- err
						return
					}
				}
				if p.Msg.Status == 200 {
					good.Add(1)
					own.RecordValue(time.Since(at).Microseconds())
				} else {
					other.Add(1)
				}
				p.Next()
			}
			mu.Lock()
			hist.Merge(own)
			mu.Unlock()
		}()
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	select {
	case err := <-errs:
		return Result{}, err
	default:
	}
	if next.Load() >= int64(len(requests)) {
		return Result{}, errors.New("bench: requests ran out before the time; mint more")
	}
	return Result{Sessions: good.Load(), NotPlaying: other.Load(), PerS: float64(good.Load()) / took,
		P50Ms: float64(hist.ValueAtQuantile(50)) / 1000, P99Ms: float64(hist.ValueAtQuantile(99)) / 1000}, nil
}

// Idle opens connections that have made one request and then do nothing, and tells the resident memory that
// each costs the process.
func Idle(addr string, pid, conns int) (float64, error) {
	before := Resident(pid)
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
	return (Resident(pid) - before) / float64(conns), nil
}

// Resident is a process's resident memory in bytes (proc(5), status, VmRSS).
func Resident(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.ParseFloat(f[1], 64)
			return n * 1024
		}
	}
	return 0
}

// CPUMs is a process's processor time (proc(5), stat: utime and stime in ticks of 10 ms).
func CPUMs(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) * 10
}

// WaitReady waits until a server knows so many boxes.
func WaitReady(addr string, boxes int) error {
	c := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := c.Get("http://" + addr + "/healthz"); err == nil {
			var n int
			fmt.Fscanf(resp.Body, "ok\nboxes %d\n", &n)
			resp.Body.Close()
			if n >= boxes {
				return nil
			}
		}
	}
	return errors.New("bench: the server is not ready after 20 s")
}
