package redelivery

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

var testConfig = Config{SettleMs: 300, RefreshMs: 4000, RetryMs: 500}

// Each path through the states: events, and when a connection is due.
func TestSchedule(t *testing.T) {
	end := func(written bool) func(*Schedule, float64) {
		return func(s *Schedule, now float64) { s.ConnectionEnded(now, written) }
	}
	up := func(s *Schedule, now float64) { s.ConnectionUp(now) }
	heard := (*Schedule).BytesReceived
	refused := func(s *Schedule, now float64) { s.Dialled(now); s.DialFailed() }
	type step struct {
		at      float64
		event   func(*Schedule, float64) // nil: none
		exposed bool
		due     bool
		state   State
	}
	for name, steps := range map[string][]step{
		"nothing has ended": {{0, up, true, false, Settled}, {1e6, nil, true, false, Settled}},
		"no session is exposed": {{0, end(true), false, false, Settled}, {1000, nil, false, false, Settled},
			{1001, nil, true, false, Settled}},
		"settled by a connection late enough": {{0, end(true), true, false, Unsettled}, {299, heard, true, false, Unsettled},
			{300, nil, true, true, Unsettled}, {300, up, true, false, Unsettled}, {2500, heard, true, false, Responsive},
			{4299, nil, true, false, Responsive}, {4300, nil, true, true, Responsive}, {4300, up, true, false, Settled},
			{1e6, nil, true, false, Settled}},
		"a connection that was opened too early": {{0, end(true), true, false, Unsettled}, {10, up, true, false, Unsettled},
			{300, nil, true, true, Unsettled}},
		"never written on": {{0, end(false), true, false, Unsettled}, {3999, nil, true, false, Unsettled},
			{4000, nil, true, true, Unsettled}},
		"nothing is heard": {{0, end(true), true, false, Unsettled}, {300, up, true, false, Unsettled},
			{4300, up, true, false, Unsettled}, {8299, nil, true, false, Unsettled}, {8300, nil, true, true, Unsettled}},
		"one ends just before the connection for another": {{0, end(true), true, false, Unsettled},
			{290, end(true), true, false, Unsettled}, {310, up, true, false, Unsettled}, {589, nil, true, false, Unsettled},
			{590, nil, true, true, Unsettled}},
		"ends in a row put nothing off": {{0, end(false), true, false, Unsettled}, {2000, end(false), true, false, Unsettled},
			{3900, end(false), true, false, Unsettled}, {4000, nil, true, true, Unsettled}},
		"every end is covered": {{0, end(false), true, false, Unsettled}, {3900, end(false), true, false, Unsettled},
			{4250, heard, true, false, Responsive}, {4600, up, true, false, Responsive}, {8600, up, true, false, Settled}},
		"a connection that was opened as bytes came": {{0, end(false), true, false, Unsettled},
			{3990, heard, true, false, Responsive}, {4000, up, true, false, Responsive}, {8000, up, true, false, Settled}},
		"adopted": {{100, (*Schedule).SessionAdopted, true, false, Unsettled}, {500, heard, true, false, Responsive},
			{4100, nil, true, true, Responsive}, {4200, up, true, false, Settled}},
		"refused, again and again": {{0, end(true), true, false, Unsettled}, {300, refused, true, false, Unsettled},
			{1299, nil, true, false, Unsettled}, {1300, refused, true, false, Unsettled}, {3299, nil, true, false, Unsettled},
			{3300, refused, true, false, Unsettled}, {7300, refused, true, false, Unsettled}, {11299, nil, true, false, Unsettled},
			{11300, up, true, false, Unsettled}},
		"dialled, and not up yet": {{0, end(true), true, false, Unsettled}, {300, (*Schedule).Dialled, true, false, Unsettled},
			{799, nil, true, false, Unsettled}, {800, nil, true, true, Unsettled}},
	} {
		s := New(testConfig)
		for i, step := range steps {
			if step.event != nil {
				step.event(s, step.at)
			}
			if due := s.Due(step.at, step.exposed); due != step.due || s.State() != step.state {
				t.Errorf("%s, step %d: due %v in state %d, want %v in %d", name, i, due, s.State(), step.due, step.state)
			}
		}
	}
}

// simulatedNode is a media node and the connections that a director has to it, in steps of stepMs. The media node stands
// still now and then, handles what waits in a random order when it goes on, closes idle connections and others, and is late
// to know of its own closes. Sessions like to end as a connection does.
type simulatedNode struct {
	rng          *rand.Rand
	schedule     *Schedule
	now          float64
	conns        []*simulatedConn
	sessions     []*simulatedSession
	stoppedUntil float64
	closeLateMs  float64 // time that the media node takes at most to handle the end of a connection
	idleMs       float64
	reportMs     float64 // between two reports; 0: none
	nextReport   float64
	dials        int
	writtenEnds  int // ends of connections that the media node had written on
}

type simulatedConn struct {
	dialledAt, upAt float64
	acceptAt        float64 // the media node accepts it
	up, accepted    bool    // up: at the director
	openHere        bool    // at the director
	openThere       bool    // as the media node believes
	forgetAt        float64 // when the media node handles the end
	lastUsed        float64
	written         bool
}

// simulatedSession is a session that ends once, and whose release is sent at most twice.
type simulatedSession struct {
	conn           *simulatedConn // nil: of an earlier process
	endsAt         float64
	ended, offered bool
	delivered      bool
	waitedMs       float64 // from its end to its delivery, but for the time in which the media node stood still
}

// dial opens a connection that comes up late now and then.
func (n *simulatedNode) dial() {
	n.dials++
	n.schedule.Dialled(n.now)
	c := &simulatedConn{dialledAt: n.now, upAt: n.now, lastUsed: n.now}
	if n.rng.Float64() < 0.05 {
		c.upAt += 1000 * n.rng.Float64()
	}
	c.acceptAt = c.upAt + 5*n.rng.Float64()
	n.conns = append(n.conns, c)
}

// send writes something on a connection. It reports whether it arrives.
func (n *simulatedNode) send(c *simulatedConn) bool {
	c.lastUsed = n.now
	if c.openHere {
		c.written = true
		n.schedule.BytesReceived(n.now)
	}
	return c.openHere
}

// endConn ends a connection for the director; the media node handles that later.
func (n *simulatedNode) endConn(c *simulatedConn) {
	c.openHere = false
	c.forgetAt = n.now + n.closeLateMs*n.rng.Float64()
	if s := n.sessions[n.rng.IntN(len(n.sessions))]; !s.ended {
		s.endsAt = n.now + (c.forgetAt-n.now)*n.rng.Float64()
	}
	if c.written {
		n.writtenEnds++
	}
	n.schedule.ConnectionEnded(n.now, c.written)
}

// connOf is the connection for a session's messages: that of its set-up, otherwise any that the media node takes for open.
func (n *simulatedNode) connOf(s *simulatedSession) *simulatedConn {
	if s.conn != nil && s.conn.openThere {
		return s.conn
	}
	for _, i := range n.rng.Perm(len(n.conns)) {
		if n.conns[i].openThere {
			return n.conns[i]
		}
	}
	return nil
}

// exposed tells whether a session's set-up connection has ended, by what the director knows.
func (n *simulatedNode) exposed() bool {
	for _, s := range n.sessions {
		if !s.delivered && (s.conn == nil || !s.conn.openHere) {
			return true
		}
	}
	return false
}

// step plays stepMs.
func (n *simulatedNode) step() {
	n.now += stepMs
	for _, c := range n.conns {
		if !c.up && n.now >= c.upAt {
			c.up, c.openHere = true, true
			n.schedule.ConnectionUp(c.dialledAt)
		}
	}
	if n.now >= n.stoppedUntil {
		for _, s := range n.sessions {
			if s.ended && !s.delivered {
				s.waitedMs += stepMs
			}
		}
		actions := []func(){n.endSessions, n.accept, n.closeIdle, n.handleEnds, n.report}
		for _, i := range n.rng.Perm(len(actions)) {
			actions[i]()
		}
	}
	if int(n.now)%100 == 0 && n.schedule.Due(n.now, n.exposed()) {
		n.dial()
	}
}

func (n *simulatedNode) endSessions() {
	for _, s := range n.sessions {
		if s.ended || n.now < s.endsAt {
			continue
		}
		s.ended = true
		if c := n.connOf(s); c != nil && n.send(c) {
			s.delivered = true
		}
	}
}

func (n *simulatedNode) accept() {
	for _, c := range n.conns {
		if !c.up || c.accepted || n.now < c.acceptAt {
			continue
		}
		c.accepted, c.openThere, c.lastUsed = true, true, n.now
		for _, s := range n.sessions {
			if s.ended && !s.offered {
				s.offered = true
				s.delivered = n.send(c) || s.delivered
			}
		}
	}
}

func (n *simulatedNode) closeIdle() {
	for _, c := range n.conns {
		if c.openThere && c.openHere && (n.now-c.lastUsed > n.idleMs || n.rng.Float64() < 0.0001) {
			n.endConn(c)
		}
	}
}

func (n *simulatedNode) handleEnds() {
	for _, c := range n.conns {
		if c.openThere && !c.openHere && n.now >= c.forgetAt {
			c.openThere = false
		}
	}
}

func (n *simulatedNode) report() {
	if n.reportMs == 0 || n.now < n.nextReport {
		return
	}
	n.nextReport = n.now + n.reportMs
	for _, s := range n.sessions {
		if !s.ended {
			if c := n.connOf(s); c != nil {
				n.send(c)
			}
			return
		}
	}
}

// Guards against a release that its media node sends into ended connections only, in random orders of idle closes, resets,
// stalls of the media node with connections in its backlog, late connects and ends of sessions, with idle times and report
// intervals at both ends of their ranges. The connections for it are bounded.
func TestReleasesArriveInEveryOrder(t *testing.T) {
	const (
		limitMs = 8000.0
		seeds   = 5
	)
	for _, idleMs := range []float64{1000, 4000, 15000, 60000} {
		for _, reportMs := range []float64{0, 100, 2500, 5000} {
			for _, closeLateMs := range []float64{0, 20, 250, 2000} {
				name := fmt.Sprintf("idle %v ms, reports every %v ms, closes handled in %v ms", idleMs, reportMs, closeLateMs)
				dials := 0
				for seed := range uint64(seeds) {
					n := &simulatedNode{rng: rand.New(rand.NewPCG(seed, 44)), schedule: New(testConfig), idleMs: idleMs,
						reportMs: reportMs, closeLateMs: closeLateMs}
					n.play()
					for _, s := range n.sessions {
						if s.waitedMs > limitMs {
							t.Errorf("%s, seed %d: the release of %.0f ms has waited for %v ms", name, seed, s.endsAt, s.waitedMs)
						}
					}
					dials += n.dials
					if limit := firstDials + n.writtenEnds + int(n.now/testConfig.RefreshMs) + 1; n.dials > limit {
						t.Errorf("%s, seed %d: %d connections, at most %d are needed", name, seed, n.dials, limit)
					}
				}
				t.Logf("%s: %.1f connections a minute", name, float64(dials)/seeds)
			}
		}
	}
}

const (
	stepMs     = 5.0 // length of a step
	firstDials = 3   // for set-ups
)

// play runs a minute. The director opens three connections and sets up sessions on them; an earlier process has left one
// that the media node does not know to have ended.
func (n *simulatedNode) play() {
	n.conns = []*simulatedConn{{up: true, accepted: true, openThere: true, forgetAt: n.closeLateMs}}
	if n.rng.Float64() < 0.3 {
		n.conns[0].forgetAt = 4000 * n.rng.Float64()
	}
	for range firstDials {
		n.dial()
	}
	for n.now < 20 {
		n.step()
	}
	for i := range 12 {
		s := &simulatedSession{endsAt: 100 + 50000*n.rng.Float64()}
		if i%4 > 0 {
			s.conn = n.conns[1+i%firstDials]
		} else {
			n.schedule.SessionAdopted(n.now)
		}
		n.sessions = append(n.sessions, s)
	}
	for n.now < 60000 {
		if n.rng.Float64() < 0.0005 {
			n.stoppedUntil = n.now + 20000*n.rng.Float64()
		}
		n.step()
	}
}
