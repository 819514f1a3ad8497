package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the deployment, in the range of gaon-clips.
const (
	keepAlive = 15 * time.Second
	linkKB    = 6400.0 // of a media node
	slack     = 50 * time.Millisecond
)

var (
	levelKB   = []float64{210, 640, 1280, 1900}
	rateScale = map[string]float64{"bonus-clip": 1, "howto-clip": 0.7}
)

// request is one set-up of a viewer, and what became of it.
type request struct {
	id           uint64
	class, title string
	extras       string
	sentAt       time.Time
	left         time.Duration
	answer       string // "", "served", "refused" or "failed"
	answeredAt   time.Time
	cause        int
	extra        int       // further answers
	endedAt      time.Time // when its viewer gave it up, or ended its session
	releasedAt   time.Time // when its viewer was told that the session is over

	node      string // where its session stood last
	standsAt  time.Time
	overAt    time.Time
	writtenAt time.Time // when the media node sent the release
	lostAt    time.Time // when the session ended with its machine
	loses     bool      // the next answer to its set-up is lost
	out       int       // set-ups that are out
	attempts  []string
}

// world is one run: a director process, its media nodes, name service and viewers, and the record of what passed.
type world struct {
	root, dir     string
	start         time.Time
	record        *bufio.Writer
	recordMu      sync.Mutex
	second, third int
	sessionLength time.Duration
	names         *nameService
	nodes         []*node
	listen        string
	deadlines     [2]time.Duration // of the classes bonus-clip and howto-clip
	seats         int
	directors     int // of the tier

	mu       sync.Mutex
	requests map[uint64]*request
	rates    map[*node]float64 // that the sessions of a media node ask for, kB/s
	order    []*request
	broken   []string
	cmd      *exec.Cmd
	exited   chan struct{}
	stderr   *os.File
	onSetup  func(*request, string) // called with the lock held when a set-up arrives at a media node
}

func newWorld(root, out string, nodes int) (*world, error) {
	file, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, start: time.Now(), record: bufio.NewWriter(file), second: 64 + rand.IntN(120),
		third: rand.IntN(250), sessionLength: time.Minute, deadlines: [2]time.Duration{3 * time.Second, 3 * time.Second},
		requests: map[uint64]*request{}, rates: map[*node]float64{}}
	if w.names, err = newNameService(w); err != nil {
		return nil, err
	}
	for i := range nodes {
		n, err := newNode(w, i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		w.names.entries = append(w.names.entries, listEntry{name: n.name, zone: "floor-2", addr: n.addr.String(), cell: n.cell})
	}
	// A free port of an address that nothing else uses.
	probe, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: w.ip(1)})
	if err != nil {
		return nil, err
	}
	w.listen = probe.Addr().String()
	return w, probe.Close()
}

// ip is a loopback address of this run.
func (w *world) ip(last int) net.IP {
	return net.IPv4(127, byte(w.second), byte(w.third), byte(last)).To4()
}

// logf writes a line of the record.
func (w *world) logf(format string, a ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, a...))
}

// breach records a broken rule.
func (w *world) breach(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	w.logf("RULE BROKEN: %s", text)
	w.broken = append(w.broken, text)
}

func (w *world) writeConfig() error {
	classes := fmt.Sprintf(`[{"name":"bonus-clip","give_up_ms":%d,"slo_ms":1000,"semantics":"once","value":3},
		{"name":"howto-clip","give_up_ms":%d,"slo_ms":800,"semantics":"repeatable","value":1}]`,
		w.deadlines[0].Milliseconds(), w.deadlines[1].Milliseconds())
	text := fmt.Sprintf(`{"name":"n1","listen":"%s","seed":"%016x","dns":"%s",
		"limits":{"cores":1.0,"memory_mb":128,"sockets":512},"known":%s,
		"settings":{"me":0,"replicas_of_me":%d,"zone":0,"dcs":["floor-2","floor-3"],"skus":["box-2c"],"discovery":"automatic",
		"allowed":{"max_attempts":3,"retry_after":true,"max_retry_after_ms":1000,"connect_timeout_ms":250,"keepalive_ms":%d},
		"categories":%s,"tenants":[{"name":"hanbit-mobile"}],"feedback":{"source":"inline","fields":["outstanding","x0","x1"]},
		"family_info":{"level_kb":[210,640,1280,1900],"ladder_worth":[0.2,0.5,0.8,1],"cells":%d,"racks":1,"places_by_kind":[24],
			"all_links_kb":%.0f,"uplink_kb":%.0f,"link_unit_kb":%.0f,"scale_by_class":[1,0.7],"floor_by_class":[0,0],
			"top_by_class":[3,3],"class_seats":[%d,0],"switch_s":0.7,"tell_ms":2500,"told_late_ms":1000},
		"safety":{"warm_within_ms":8000,"cold_from":0.5,"overload_factor":2,"tip_after_ms":1000,"answer_slack_ms":50,"drain_grace_ms":250}}}`,
		w.listen, rand.Uint64(), w.names.addr(), w.names.known(), max(w.directors, 1), keepAlive.Milliseconds(), classes, len(w.nodes),
		linkKB*float64(len(w.nodes)), linkKB*float64(len(w.nodes)), linkKB, w.seats)
	return os.WriteFile(filepath.Join(w.dir, "config.json"), []byte(text), 0o644)
}

// runLine is the line `run` of the deploy file.
func (w *world) runLine() (string, error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

// startDirector starts the director and waits until it has passed a test. The caller's goroutine is locked to its thread.
func (w *world) startDirector() error {
	if err := w.writeConfig(); err != nil {
		return err
	}
	line, err := w.runLine()
	if err != nil {
		return err
	}
	if w.stderr, err = os.Create(filepath.Join(w.dir, "director.log")); err != nil {
		return err
	}
	if level := os.Getenv("DIRECTOR_LOG"); level != "" {
		line += " --log " + level
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+w.listen, "PROXY_CONFIG="+filepath.Join(w.dir, "config.json"),
		"TMPDIR="+w.dir)
	cmd.Stdout, cmd.Stderr = w.stderr, w.stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	w.mu.Lock()
	w.cmd, w.exited = cmd, exited
	w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		w.logf("director: process ended: %v", err)
		close(exited)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp4", w.listen, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintln(conn, `{"type":"ping","id":"0000000000000000","fields":{},"cause":0}`)
		reply, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if err == nil && strings.Contains(reply, "pong") {
			w.logf("director: passed its test")
			return nil
		}
	}
	return fmt.Errorf("the director was not ready within 10 s")
}

// running reports whether the director's process runs.
func (w *world) running() bool {
	select {
	case <-w.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the director.
func (w *world) signal(sig syscall.Signal) {
	w.logf("director: %v", sig)
	w.cmd.Process.Signal(sig)
}

// close ends the director and writes the record out.
func (w *world) close() {
	if w.cmd != nil && w.running() {
		w.cmd.Process.Kill()
		<-w.exited
	}
	if w.stderr != nil {
		w.stderr.Close()
		log, _ := os.ReadFile(w.stderr.Name())
		w.logf("director: what it logged:")
		for line := range bytes.Lines(log) {
			w.logf("  %s", bytes.TrimSpace(line))
		}
	}
	w.recordMu.Lock()
	w.record.Flush()
	w.recordMu.Unlock()
	os.RemoveAll(w.dir)
}

// description is the description that a media node gives for a session.
func (w *world) description(node string, id uint64) string {
	return fmt.Sprintf("v=0\r\no=%s %016x\r\nm=video 31000 RTP/AVP 96\r\n", node, id)
}

// update changes the record of a request, if it is one.
func (w *world) update(id uint64, f func(r *request)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[id]; r != nil {
		f(r)
		return
	}
	w.breach("a set-up or session %016x that no viewer sent", id)
}

func (w *world) attemptArrived(id uint64, node string) {
	w.update(id, func(r *request) {
		r.out++
		r.attempts = append(r.attempts, node)
		if w.onSetup != nil {
			w.onSetup(r, node)
		}
	})
}

func (w *world) attemptEnded(id uint64) { w.update(id, func(r *request) { r.out-- }) }

func (w *world) sessionStands(id uint64, node string) {
	w.update(id, func(r *request) {
		r.out--
		r.node, r.standsAt, r.overAt, r.writtenAt = node, time.Now(), time.Time{}, time.Time{}
	})
}

func (w *world) sessionEnded(id uint64, node string, written bool) {
	w.update(id, func(r *request) {
		if r.node != node { // it was set up again elsewhere
			return
		}
		r.overAt = time.Now()
		if written {
			r.writtenAt = r.overAt
		}
	})
}

// uplinkKB notes what the sessions of a media node ask for, and returns what those of all ask for.
func (w *world) uplinkKB(n *node, kb float64) (total float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rates[n] = kb
	for _, kb := range w.rates {
		total += kb
	}
	return total
}

// losesAnswer reports whether the answer to a set-up is lost, which it is once.
func (w *world) losesAnswer(id uint64) (loses bool) {
	w.update(id, func(r *request) { loses, r.loses = r.loses, false })
	return loses
}

// nodeOf returns a media node by its name.
func (w *world) nodeOf(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// snapshot returns copies of all requests, in the order in which they were sent.
func (w *world) snapshot() []request {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]request, 0, len(w.order))
	for _, r := range w.order {
		out = append(out, *r)
	}
	return out
}

// checkAnswers checks that each request got one answer, in time, and what served ones were given.
func (w *world) checkAnswers() {
	for _, r := range w.snapshot() {
		switch {
		case r.extra > 0:
			w.breach("request %016x: a second answer", r.id)
		case r.answer == "" && r.endedAt.IsZero() && time.Since(r.sentAt) > r.left+500*time.Millisecond+slack:
			w.breach("request %016x: no answer", r.id)
		case r.answer != "" && r.answeredAt.Sub(r.sentAt) > r.left+500*time.Millisecond+slack:
			w.breach("request %016x: answered after %v", r.id, r.answeredAt.Sub(r.sentAt))
		}
	}
}
