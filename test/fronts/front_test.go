package fronts

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"headmill/internal/config"
	"headmill/internal/standin/cluster"
	"headmill/internal/token"
)

// The limits of a director on the platform, and the time that its users' classes aim at.
const (
	memoryLimitMB   = 192
	descriptorLimit = 1024
	answerAim       = 800 * time.Millisecond
)

const (
	titleName  = "how-to-top-up"
	titleClass = "howto-clip"
)

// front is a director process with its media nodes.
type front struct {
	t       *testing.T
	cluster *cluster.Cluster
	addr    string
	pid     int
}

// startFront starts a director that holds descriptors file descriptors; change may modify its settings first.
func startFront(t *testing.T, descriptors uint64, change func(*config.Settings)) *front {
	t.Helper()
	const nodes, titles, clipMs, streams = 4, 6, 2000, 4000
	spec := cluster.SmallSpec(1, nodes, titles, clipMs)
	spec.Dir = t.TempDir()
	spec.Executable = limitedExecutable(t, descriptors)
	spec.DiscoveryStartDelayMs = 0
	spec.Base.Fleet.StreamsByKind = []int{streams}
	spec.NodeConfig.MaxSessions, spec.NodeConfig.SetupWorkMs = streams, 1
	spec.NodeConfig.LinkKB, spec.NodeConfig.UplinkKB = 1e6, 1e7
	spec.Base.Fleet.TotalLinkKB, spec.Base.Fleet.UplinkKB = nodes*1e6, 1e7
	if change != nil {
		change(&spec.Base)
	}
	c, err := cluster.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return &front{t: t, cluster: c, addr: c.Directors[0].Proc.Addr, pid: c.Directors[0].Proc.Pid()}
}

// limitedExecutable returns a program that starts headmill with a limit of descriptors.
func limitedExecutable(t *testing.T, descriptors uint64) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "headmill")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", descriptors, headmillBinary)
	if err := os.WriteFile(path, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

// memoryMB returns a value of /proc/PID/status in MB, such as VmRSS or VmHWM, its peak.
func (f *front) memoryMB(name string) float64 {
	f.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.pid))
	if err != nil {
		f.t.Fatalf("the director has ended: %v", err)
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			var kB float64
			fmt.Sscan(string(rest), &kB)
			return kB / 1024
		}
	}
	f.t.Fatalf("no %s in /proc/%d/status", name, f.pid)
	return 0
}

// newToken returns a session token of its own.
func (f *front) newToken() string {
	var id [12]byte
	rand.Read(id[:])
	now := time.Now()
	raw, err := f.cluster.Key.Sign(token.Claims{Title: titleName, Class: titleClass, Tenant: "demo", MaxRung: 3,
		RegisteredClaims: jwt.RegisteredClaims{Subject: hex.EncodeToString(id[:4]), ID: hex.EncodeToString(id[:]),
			IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(time.Hour))}})
	if err != nil {
		f.t.Fatal(err)
	}
	return raw
}

// honestClients request manifests, each on a connection of its own that it opens again where it was closed.
type honestClients struct {
	stop      chan struct{}
	running   sync.WaitGroup
	mu        sync.Mutex
	latencies []time.Duration
	statuses  map[int]int
	failures  []string

	firstRefusal string
}

// honestTimeout is the time after which an honest client gives an answer up.
const honestTimeout = 5 * time.Second

// startHonest starts clients that send a request every interval; with fresh each one comes on a new connection.
func (f *front) startHonest(count int, interval time.Duration, fresh bool) *honestClients {
	h := &honestClients{stop: make(chan struct{}), statuses: map[int]int{}}
	for range count {
		h.running.Add(1)
		go func() {
			defer h.running.Done()
			client := &http.Client{Timeout: honestTimeout, Transport: &http.Transport{DisableKeepAlives: fresh}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-h.stop:
					return
				case <-time.After(interval):
				}
				h.request(client, "http://"+f.addr+"/dash/"+titleName+"/manifest.mpd?token="+f.newToken())
			}
		}()
	}
	return h
}

func (h *honestClients) request(client *http.Client, url string) {
	sentAt := time.Now()
	resp, err := client.Get(url)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failures = append(h.failures, errors.Unwrap(err).Error())
		return
	}
	h.latencies = append(h.latencies, time.Since(sentAt))
	h.statuses[resp.StatusCode]++
	if resp.StatusCode != http.StatusOK {
		h.firstRefusal = string(body)
	}
}

// outcome is what honest clients got.
type outcome struct {
	answered, failed, played int
	p50, p99, max            time.Duration
	firstFailure             string // or refusal
}

func (o outcome) String() string {
	return fmt.Sprintf("%d answered (%d played), %d failed %s; p50 %v, p99 %v, max %v", o.answered, o.played, o.failed,
		o.firstFailure, o.p50.Round(100*time.Microsecond), o.p99.Round(100*time.Microsecond), o.max.Round(100*time.Microsecond))
}

// finish ends the clients and returns what they got.
func (h *honestClients) finish() (o outcome) {
	close(h.stop)
	h.running.Wait()
	slices.Sort(h.latencies)
	o.answered, o.failed, o.played = len(h.latencies), len(h.failures), h.statuses[200]
	if o.firstFailure = h.firstRefusal; o.failed > 0 {
		o.firstFailure = "(" + h.failures[0] + ")"
	}
	if o.answered > 0 {
		o.p50, o.p99, o.max = h.latencies[o.answered/2], h.latencies[o.answered*99/100], h.latencies[o.answered-1]
	}
	return o
}

// check fails the test if honest clients were harmed or the memory limit was passed.
func (f *front) check(what string, o outcome) {
	f.t.Helper()
	peak := f.memoryMB("VmHWM")
	f.t.Logf("%s: honest clients: %v; peak memory %.0f MB, now %.0f MB", what, o, peak, f.memoryMB("VmRSS"))
	if o.failed > 0 || o.answered == 0 || o.played < o.answered {
		f.t.Errorf("%s: honest clients were not served: %v", what, o)
	}
	if o.p99 > answerAim {
		f.t.Errorf("%s: p99 of honest clients is %v, over the aim of %v", what, o.p99, answerAim)
	}
	if peak > memoryLimitMB {
		f.t.Errorf("%s: peak memory is %.0f MB, over %d MB", what, peak, memoryLimitMB)
	}
}

// slowClients hold connections on which a request stays incomplete. They dial again when a connection is closed.
type slowClients struct {
	stop     atomic.Bool
	running  sync.WaitGroup
	opened   atomic.Int64
	answered atomic.Int64 // connections that were answered, or closed, by the director
	open     atomic.Int64
}

// startSlow opens count connections and sends prefix on each.
func (f *front) startSlow(count int, prefix []byte, redial bool) *slowClients {
	s := &slowClients{}
	for range count {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			for first := true; !s.stop.Load() && (first || redial); first = false {
				s.hold(f.addr, prefix)
			}
		}()
	}
	return s
}

// hold sends a prefix and waits for the end of the connection.
func (s *slowClients) hold(addr string, prefix []byte) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	s.opened.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	conn.Write(prefix)
	reader, upgraded := bufio.NewReader(conn), false
	for !s.stop.Load() {
		conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		line, err := reader.ReadString('\n')
		if err, ok := err.(net.Error); ok && err.Timeout() {
			continue
		}
		if strings.HasPrefix(line, "HTTP/1.1 101") {
			upgraded = true
		}
		if upgraded && err == nil {
			continue // the head of the answer to the upgrade
		}
		s.answered.Add(1)
		return
	}
}

func (s *slowClients) finish() {
	s.stop.Store(true)
	s.running.Wait()
}
