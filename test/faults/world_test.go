// Package faults plays faults against director processes over loopback: signals, media nodes that hang, vanish or answer
// wrongly, discovery that falls silent, and clients that break off. Every request, attempt and session is recorded, and
// rules_test.go checks the records.
package faults

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// attemptEnd is how an attempt at a media node ended.
type attemptEnd uint8

const (
	endOpen     attemptEnd = iota
	endPlays               // answered: the session stands
	endNeverRan            // refused: nothing ran
	endFailed              // it may have run
	endGivenUp             // by the director, or its connection ended
)

// attemptRecord is one set-up that came to a media node.
type attemptRecord struct {
	id          uint64
	class, node string
	at          *mediaNode
	late        bool // it may have been written long before it was read
	director    int
	waitMs      int
	firstByteAt time.Duration
	arrivedAt   time.Duration
	endedAt     time.Duration
	ended       attemptEnd
}

func (a *attemptRecord) end(now time.Duration, how attemptEnd) {
	if a.ended == endOpen {
		a.ended, a.endedAt = how, now
	}
}

// session is one session at a media node.
type session struct {
	id        uint64
	node      *mediaNode
	director  int       // that answers for it
	conn      *nodeConn // of its set-up
	startedAt time.Duration
	endedAt   time.Duration // 0 while it stands
	endCause  int
	writtenOn *nodeConn // the connection that its release was first written on
	writes    []releaseWrite
	writtenAt time.Duration // when the node first wrote its release; 0 if never
	adoptedAt time.Duration // when its viewer named it to a restarted director
}

// releaseWrite is one write of a session's release.
type releaseWrite struct {
	at time.Duration
	nc *nodeConn
}

func (s *session) end(now time.Duration, cause int) {
	if s.endedAt == 0 {
		s.endedAt, s.endCause = now, cause
	}
}

func (s *session) releaseWritten(now time.Duration, nc *nodeConn) {
	if s.writtenAt == 0 {
		s.writtenAt, s.writtenOn = now, nc
	}
	s.writes = append(s.writes, releaseWrite{now, nc})
}

// network is the part of the loopback addresses that one run has for itself, so that no port is taken by another run or by
// an outgoing connection while a process or a media node is down.
type network struct{ second, third int }

var runCount atomic.Int32

const (
	directorPort = 5080
	nodePort     = 5100 // and further ones, by director
	firstNode    = 100  // last byte of the address of the first media node

	firstDiscovery = 200 // last byte of the address of the discovery service

	reservation     = 253 // last byte of the address that shows that the network is taken
	reservationPort = 5079
)

// newNetwork takes addresses that no other run has, in this process or in another one on the machine. They are held by a
// listener for as long as the run goes on.
func newNetwork(t *testing.T) network {
	t.Helper()
	const tries = 1000
	for range tries {
		n := network{64 + os.Getpid()%128, int(runCount.Add(1)) % 256}
		if held, err := net.Listen("tcp4", n.addr(reservation, reservationPort)); err == nil {
			t.Cleanup(func() { held.Close() })
			return n
		}
	}
	t.Fatal("no network is free")
	return network{}
}

// addr is an address of the run.
func (n network) addr(index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.second, n.third, index+1, port)
}

// world is one run: directors, media nodes, discovery and clients, with all that was recorded.
type world struct {
	t         *testing.T
	start     time.Time
	network   network
	settings  settings
	quiet     atomic.Bool // viewers send nothing new
	repeats   float64     // share of refused and failed set-ups that come again at once
	sessionMs int         // sessions last 500 ms and up to so much more
	directors []*director
	cells     int // media nodes, each in a cell of its own
	nodesMu   sync.Mutex
	nodes     []*mediaNode // the present ones

	mu         sync.Mutex
	seeds      *rand.Rand
	requests   map[uint64]*request
	conns      []*viewerConn
	order      []*request
	attempts   []*attemptRecord
	sessions   map[uint64]*session
	strays     []*session        // further sessions of an id, which no viewer was given
	sdps       map[string]uint64 // every description that a media node made, with its session
	violations []string
	notes      []string
	list       nodeList
	stopped    bool
	timers     map[*time.Timer]bool
	running    sync.WaitGroup // calls of timers
	clients    sync.WaitGroup
}

// newWorld makes a run with media nodes and director processes that are not started yet.
func newWorld(t *testing.T, seed uint64, directors, nodes int, s settings) *world {
	w := &world{t: t, start: time.Now(), network: newNetwork(t), settings: s, seeds: rand.New(rand.NewPCG(seed, 35)), sessionMs: 5000,
		requests: map[uint64]*request{}, sessions: map[uint64]*session{}, sdps: map[string]uint64{},
		timers: map[*time.Timer]bool{}}
	for i := range directors {
		w.directors = append(w.directors, newDirector(w, i))
	}
	w.cells = nodes
	for i := range nodes {
		w.nodes = append(w.nodes, newMediaNode(w, i, fmt.Sprintf("s-%08x", i+1), i))
	}
	w.list.init(w)
	t.Cleanup(w.close)
	go w.watchLateness()
	return w
}

// watchLateness notes when the test's own process stood still, as it does when the machine does: what was measured then is late.
func (w *world) watchLateness() {
	const tick = 10 * time.Millisecond
	for last := w.now(); !w.hasStopped(); {
		time.Sleep(tick)
		now := w.now()
		if now-last > tick+limitSlack {
			w.note("this test stood still from %.3f on", last.Seconds())
		}
		last = now
	}
}

// allNodes returns the present media nodes.
func (w *world) allNodes() []*mediaNode {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	return slices.Clone(w.nodes)
}

// replaceNode lets the process of a media node end and another one, under a new id and in another cell, take its address. It
// returns the new one.
func (w *world) replaceNode(old *mediaNode) *mediaNode {
	old.setState(nodeDead)
	old.forgetReleases()
	index := slices.Index(w.allNodes(), old)
	w.list.mu.Lock()
	startedMs := time.Now().UnixMilli()
	fresh := newMediaNode(w, index, fmt.Sprintf("s-%08x", int(w.list.version+1)<<16+index), (old.cell+max(w.cells/2, 1))%w.cells)
	fresh.before = old
	w.nodesMu.Lock()
	w.nodes[index] = fresh
	w.nodesMu.Unlock()
	w.list.replace(old, fresh, startedMs)
	w.list.mu.Unlock()
	return fresh
}

// close ends clients, directors and media nodes.
func (w *world) close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	for _, d := range w.directors {
		d.kill()
		d.discovery.close()
	}
	w.clients.Wait()
	for _, n := range w.allNodes() {
		n.setState(nodeDead)
	}
	w.record(func() {
		for timer := range w.timers {
			if timer.Stop() {
				w.running.Done()
			}
		}
	})
	w.running.Wait()
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// newRand returns a random source that the run's seed determines.
func (w *world) newRand() *rand.Rand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.New(rand.NewPCG(w.seeds.Uint64(), w.seeds.Uint64()))
}

// after calls f later, unless the run has ended by then.
func (w *world) after(delay time.Duration, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.running.Add(1)
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		defer w.running.Done()
		w.record(func() { delete(w.timers, timer) })
		if !w.hasStopped() {
			f()
		}
	})
	w.timers[timer] = true
}

func (w *world) hasStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// record runs f under the lock of the records.
func (w *world) record(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// note adds a line to the run's log of faults, which is printed if a rule is broken.
func (w *world) note(format string, a ...any) {
	line := fmt.Sprintf("%7.3f ", w.now().Seconds()) + fmt.Sprintf(format, a...)
	w.record(func() { w.notes = append(w.notes, line) })
}

// violation records a broken rule.
func (w *world) violation(format string, a ...any) {
	line := fmt.Sprintf(format, a...)
	w.record(func() { w.violations = append(w.violations, line) })
}

func (w *world) addAttempt(a *attemptRecord) {
	w.record(func() { w.attempts = append(w.attempts, a) })
}

// newSDP makes a description that no other session has.
func (w *world) newSDP(node string, id uint64) string {
	sdp := fmt.Sprintf("v=0\r\no=%s %016x \"é\"\r\n", node, id)
	w.record(func() { w.sdps[sdp] = id })
	return sdp
}

func (w *world) addSession(id uint64, nc *nodeConn, now time.Duration) *session {
	s := &session{id: id, node: nc.face.node, director: nc.face.director, conn: nc, startedAt: now}
	w.record(func() {
		r, other := w.requests[id], w.sessions[id]
		if other != nil && r != nil && r.answer == answerPlays {
			w.strays = append(w.strays, s) // it comes up after the viewer was given another one
			return
		}
		if other != nil {
			w.strays = append(w.strays, other)
		}
		w.sessions[id] = s
	})
	return s
}

// standing returns the session of an id that stands at a media node, else nil.
func (w *world) standing(id uint64, n *mediaNode) *session {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range append([]*session{w.sessions[id]}, w.strays...) {
		if s != nil && s.id == id && s.node == n && s.endedAt == 0 {
			return s
		}
	}
	return nil
}

// busiestNode returns the media node with the most sessions.
func (w *world) busiestNode() *mediaNode {
	count := map[*mediaNode]int{}
	w.record(func() {
		for _, s := range w.sessions {
			if s.endedAt == 0 {
				count[s.node]++
			}
		}
	})
	return slices.MaxFunc(w.allNodes(), func(a, b *mediaNode) int { return cmp.Compare(count[a], count[b]) })
}

// anySession returns a session of a director that stands at a media node, or nil.
func (w *world) anySession(n *mediaNode, director int) (found *session) {
	w.record(func() {
		for _, s := range w.sessions {
			if s.node == n && s.director == director && s.endedAt == 0 {
				found = s
			}
		}
	})
	return found
}

func (w *world) stillStands(s *session) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.endedAt == 0
}

// cutSessions ends all sessions of a media node that vanishes or dies. Their releases go out once it is back, on the next
// connection that is opened. The node's lock is held.
func (w *world) cutSessions(n *mediaNode) {
	now := w.now()
	w.record(func() {
		for _, s := range slices.Concat(slices.Collect(maps.Values(w.sessions)), w.strays) {
			if s.node == n && s.endedAt == 0 {
				s.end(now, causeReset)
				n.faces[s.director].unsent = append(n.faces[s.director].unsent, s)
			}
		}
	})
}
