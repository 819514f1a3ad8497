package faults

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a deployment that differ between runs.
type settings struct {
	deadlines      [2]time.Duration // of the classes paid and free
	connect        time.Duration    // connect timeout to media nodes
	sockets        int
	memoryMB       int           // 0: usualMemoryMB
	reportInterval time.Duration // between load notes of a media node; 0: it sends none
	seats          int           // of each title of the class paid at one director; 0: no limit
	reportDelay    time.Duration // by which load notes are late
	keepAlive      time.Duration // media nodes close connections that were idle for so long
}

// usualSettings are those of the report's deployment.
var usualSettings = settings{deadlines: [2]time.Duration{3 * time.Second, 3 * time.Second},
	connect: 250 * time.Millisecond, sockets: 512, reportInterval: 2500 * time.Millisecond,
	reportDelay: time.Second, keepAlive: 15 * time.Second}

// killDelay is the least time between SIGTERM and SIGKILL that the platform's page states.
func (s settings) killDelay() time.Duration {
	return min(max(s.deadlines[0], s.deadlines[1]), 3*time.Second) + 700*time.Millisecond
}

// usualMemoryMB is the memory limit of most runs.
const usualMemoryMB = 128

func (s settings) memoryLimitMB() int { return cmp.Or(s.memoryMB, usualMemoryMB) }

var classes = [2]string{"paid", "free"}

// lifetime is one process of a director. Times are 0 while they have not come.
type lifetime struct {
	startedAt, readyAt, termAt, killedAt, exitedAt time.Duration
	listVersion                                    uint32             // of its configuration
	stalls                                         [][2]time.Duration // when it stood still
}

// director is one director: an address at which processes follow each other.
type director struct {
	world      *world
	index      int
	addr       string
	configPath string
	logPath    string
	discovery  *discoveryEndpoint

	stalling sync.Mutex // held while the process stands still; signals wait

	mu   sync.Mutex
	cmd  *exec.Cmd
	life *lifetime // of the present process, else nil
	all  []*lifetime
	done chan struct{}
}

func newDirector(w *world, index int) *director {
	dir := w.t.TempDir()
	d := &director{world: w, index: index, addr: w.network.addr(index, directorPort), configPath: filepath.Join(dir, "config.json"),
		logPath: filepath.Join(dir, "log")}
	d.discovery = newDiscoveryEndpoint(d)
	return d
}

// writeConfig writes the configuration as it is now and returns the version of its node list.
func (d *director) writeConfig() uint32 {
	s := &d.world.settings
	known, version := d.world.list.snapshotJSON(d.index)
	notes := ""
	if s.reportInterval > 0 {
		notes = fmt.Sprintf(`"tell_ms":%d,"told_late_ms":%d,`, s.reportInterval.Milliseconds(), s.reportDelay.Milliseconds())
	}
	cells := len(d.world.allNodes())
	text := fmt.Sprintf(`{"name":"n%d","listen":"%s","seed":"8c1f30d27a5be96%d","dns":"%s",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,
		"settings":{"me":%d,"replicas_of_me":%d,"zone":0,"dcs":["east","west"],"skus":["std"],"discovery":"automatic",
		"allowed":{"max_attempts":3,"retry_after":true,"max_retry_after_ms":700,"connect_timeout_ms":%d,"keepalive_ms":%d},
		"categories":[{"name":"paid","give_up_ms":%d,"slo_ms":1000,"semantics":"once","value":3},
			{"name":"free","give_up_ms":%d,"slo_ms":800,"semantics":"repeatable","value":1}],
		"tenants":[{"name":"acme"}],"feedback":{"source":"inline","fields":["outstanding","x0","x1"]},
		"family_info":{"level_kb":[100,200],"ladder_worth":[0.5,1],"cells":%d,"racks":1,"places_by_kind":[400],
			"all_links_kb":%d,"uplink_kb":10000000,"link_unit_kb":100000,"scale_by_class":[1,1],"floor_by_class":[0,0],
			"top_by_class":[1,1],"class_seats":[%d,0],"switch_s":0.5,%s"x":0},
		"safety":{"warm_within_ms":1000,"cold_from":0.4,"answer_slack_ms":40,"drain_grace_ms":250}}}`,
		d.index, d.addr, d.index, d.discovery.addr(), s.memoryLimitMB(), s.sockets, known, d.index, len(d.world.directors),
		s.connect.Milliseconds(), s.keepAlive.Milliseconds(), s.deadlines[0].Milliseconds(), s.deadlines[1].Milliseconds(), cells, cells*100000, s.seats, notes)
	if err := os.WriteFile(d.configPath, []byte(text), 0o644); err != nil {
		d.world.t.Error(err)
	}
	return version
}

// start starts a process and waits until it has passed a test.
func (d *director) start() {
	life := &lifetime{listVersion: d.writeConfig()}
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		d.world.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(headmillPath, "node", "--log", logLevel())
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+d.configPath, "GOTRACEBACK=all")
	cmd.Stdout, cmd.Stderr = log, log
	life.startedAt = d.world.now()
	if err := cmd.Start(); err != nil {
		d.world.t.Error(err)
		return
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.life, d.done = cmd, life, done
	d.all = append(d.all, life)
	d.mu.Unlock()
	d.world.note("n%d started", d.index)
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		life.exitedAt = d.world.now()
		expected := life.termAt > 0 || life.killedAt > 0
		d.mu.Unlock()
		d.world.note("n%d ended: %v", d.index, err)
		if !expected {
			d.world.violation("n%d crashed at %.3f: %v", d.index, life.exitedAt.Seconds(), err)
		}
		close(done)
	}()
	for deadline := time.Now().Add(10 * time.Second); !d.passesTest(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.world.violation("n%d was not ready within 10 s", d.index)
			return
		}
		if d.exited() {
			return
		}
	}
	d.mu.Lock()
	life.readyAt = d.world.now()
	d.mu.Unlock()
}

// passesTest sends a ping on a new connection.
func (d *director) passesTest() bool {
	conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, `{"type":"ping","id":"0000000000000000","fields":{},"cause":0}`+"\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.Contains(line, "pong")
}

func (d *director) exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// current returns a copy of the present lifetime, and whether a process runs.
func (d *director) current() (lifetime, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.life == nil || d.life.exitedAt > 0 || d.life.readyAt == 0 {
		return lifetime{}, false
	}
	return *d.life, true
}

// process returns the record of the present or last process.
func (d *director) process() *lifetime {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

// signal sends a signal to the present process.
func (d *director) signal(sig syscall.Signal) {
	d.stalling.Lock()
	defer d.stalling.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil || d.life.exitedAt > 0 {
		return
	}
	now := d.world.now()
	if sig == syscall.SIGTERM && d.life.termAt == 0 {
		d.life.termAt = now
	}
	if sig == syscall.SIGKILL && d.life.killedAt == 0 {
		d.life.killedAt = now
	}
	d.cmd.Process.Signal(sig)
	go d.world.note("n%d %v", d.index, sig)
}

// stall lets the present process stand still for a time, unless it is stopping.
func (d *director) stall(length time.Duration) {
	d.stalling.Lock()
	defer d.stalling.Unlock()
	d.mu.Lock()
	process, life := d.cmd.Process, d.life
	running := life != nil && life.readyAt > 0 && life.exitedAt == 0 && life.termAt == 0 && life.killedAt == 0
	d.mu.Unlock()
	if !running {
		return
	}
	from := d.world.now()
	d.mu.Lock()
	life.stalls = append(life.stalls, [2]time.Duration{from, from + length})
	d.mu.Unlock()
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
	d.mu.Lock()
	life.stalls[len(life.stalls)-1][1] = d.world.now()
	d.mu.Unlock()
	d.world.note("n%d stood still from %.3f on", d.index, from.Seconds())
}

// unchangedSince tells whether nothing befell the process since an earlier record of it.
func (l *lifetime) unchangedSince(before *lifetime) bool {
	return l.startedAt == before.startedAt && l.termAt == before.termAt && l.killedAt == before.killedAt &&
		l.exitedAt == before.exitedAt
}

// endedBetween tells whether a process of the director ended between two times.
func (d *director) endedBetween(from, to time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.all, func(l *lifetime) bool { return l.exitedAt >= from && l.exitedAt <= to })
}

// runUntil returns the time at which the process has run for a time, from a moment on: later by what it stood still.
func (l *lifetime) runUntil(from, length time.Duration) time.Duration {
	for _, s := range l.stalls { // in the order of their times
		if s[1] <= from || s[0] >= from+length {
			continue
		}
		length -= max(0, s[0]-from)
		from = s[1]
	}
	return from + length
}

// kill ends the present process at once and waits for its end.
func (d *director) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done != nil {
		<-done
	}
}

// restart stops the process as the platform's page has it: SIGTERM, SIGKILL at the earliest moment allowed, a new start.
func (d *director) restart(pause time.Duration) {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(d.world.settings.killDelay()):
		d.kill()
	}
	time.Sleep(pause)
	d.start()
}

// reload moves the discovery endpoint and announces that with SIGHUP, which never comes in a process's first second.
func (d *director) reload() {
	life, running := d.current()
	if !running || d.world.now()-life.readyAt < time.Second {
		return
	}
	d.discovery.move()
	d.writeConfig()
	d.signal(syscall.SIGHUP)
}

// adopt hands the director the sessions that its last process left standing, as their viewers do after a start, or ends
// what is recorded of them.
func (d *director) adopt(handsOver bool) {
	w := d.world
	d.mu.Lock()
	life := d.life
	d.mu.Unlock()
	v := w.dialViewer(d)
	if v == nil || life.readyAt == 0 {
		return
	}
	var left []*session
	w.record(func() {
		for _, s := range w.sessions {
			r := w.requests[s.id]
			if s.director == d.index && s.endedAt == 0 && r != nil && r.answer == answerPlays && r.leftAt == 0 &&
				r.life != life {
				left = append(left, s)
			}
		}
	})
	for _, s := range left {
		if !handsOver {
			w.record(func() { w.requests[s.id].leftAt = w.now() })
			continue
		}
		w.record(func() { s.adoptedAt, w.requests[s.id].life = w.now(), life })
		v.send(fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"%s","left":"4294967","tenant":"acme","key":"%016x","extras":"home:0;copies:1;top:1;at:%s"},"sdp":"x"}`,
			s.id, classes[w.requests[s.id].class], w.requests[s.id].title, s.node.name))
	}
	if handsOver {
		w.note("n%d adopts %d sessions", d.index, len(left))
	}
}
