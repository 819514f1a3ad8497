package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// answer is what a viewer got for a set-up.
type viewerAnswer uint8

const (
	noAnswer viewerAnswer = iota
	answerPlays
	answerRefused
	answerFailed
)

// crossingWindow is the time in which a set-up may cross the end of a resting connection and is sent again.
const crossingWindow = 50 * time.Millisecond

// maxRepeats limits how often a viewer comes again at once.
const maxRepeats = 4

// request is one set-up of a viewer.
type request struct {
	id       uint64
	class    int
	title    uint64
	director *director
	life     *lifetime // that holds its session
	readBy   *lifetime // that its set-up was sent to
	wait     time.Duration
	tries    int // set-ups before it that came again at once

	sentAt        time.Duration // when the last byte was written; 0 if it never was
	leftAt        time.Duration // when the viewer gave up, or ended the session
	answeredAt    time.Duration
	answer        viewerAnswer
	cause         int
	extraAnswers  []string // further answers, with their times
	sdp           string
	releasedAt    time.Duration // of the session
	connEndedAt   time.Duration // when its connection ended without an answer
	resent        bool
	newConnFailed bool // it was to be sent again, and no new connection came up
}

// copies is the number of media nodes that hold a title: that of its home cell and those after it.
const copies = 4

// homeCell is the first cell that holds the request's title.
func (r *request) homeCell(cells int) int { return int(r.id % uint64(cells)) }

func (r *request) String() string {
	return fmt.Sprintf("%016x %s to n%d, sent %.3f, would wait %v", r.id, classes[r.class], r.director.index,
		r.sentAt.Seconds(), r.wait)
}

// viewerConn is one connection of a viewer. It is safe for concurrent use.
type viewerConn struct {
	world    *world
	director *director
	life     *lifetime
	conn     net.Conn
	writing  sync.Mutex
	mu       sync.Mutex
	ended    bool
	openedAt time.Duration
	endedAt  time.Duration       // 0 while it is open
	open     map[uint64]*request // sent on this connection and not answered
	rng      *rand.Rand
}

// dialViewer opens a connection to a director, or returns nil.
func (w *world) dialViewer(d *director) *viewerConn {
	d.mu.Lock()
	life := d.life
	d.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", d.addr, 300*time.Millisecond)
	if err != nil || life == nil {
		return nil
	}
	v := &viewerConn{world: w, director: d, life: life, conn: conn, open: map[uint64]*request{}, rng: w.newRand(),
		openedAt: w.now()}
	w.record(func() { w.conns = append(w.conns, v) })
	w.clients.Add(1)
	go v.read()
	return v
}

func (v *viewerConn) alive() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.ended
}

// openIn tells for how long the connection was open between two times.
func (v *viewerConn) openIn(from, to time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.endedAt > 0 {
		to = min(to, v.endedAt)
	}
	return to - max(from, v.openedAt)
}

// idle tells whether no set-up is open on the connection.
func (v *viewerConn) idle() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.open) == 0
}

// line is one message from a director.
type line struct {
	Type, ID, SDP string
	Cause         int
	Fields        map[string]any
}

func (v *viewerConn) read() {
	defer v.world.clients.Done()
	reader := bufio.NewReader(v.conn)
	for {
		text, err := reader.ReadBytes('\n')
		now := v.world.now()
		if err != nil {
			v.connEnded(now)
			return
		}
		var msg line
		if err := json.Unmarshal(text, &msg); err != nil {
			v.world.violation("unreadable line from n%d: %q", v.director.index, text)
			continue
		}
		id, _ := strconv.ParseUint(msg.ID, 16, 64)
		v.handle(id, &msg, now)
	}
}

// handle records one message.
func (v *viewerConn) handle(id uint64, msg *line, now time.Duration) {
	w := v.world
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.requests[id]
	if r == nil || msg.Type != "answer" && msg.Type != "release" {
		return
	}
	v.mu.Lock()
	delete(v.open, id)
	v.mu.Unlock()
	switch {
	case r.answer == noAnswer && r.leftAt > 0: // no answer is owed; the session may have come up all the same
	case msg.Type == "answer" && r.answer == noAnswer:
		r.answer, r.answeredAt, r.sdp = answerPlays, now, msg.SDP
	case msg.Type == "release" && r.answer == answerPlays:
		if r.releasedAt == 0 {
			r.releasedAt = now
		}
		if v.rng.Float64() < 0.85 { // confirming is free
			go v.send(fmt.Sprintf(`{"type":"released","id":"%016x","fields":{}}`, id))
		}
	case msg.Type == "release" && r.answer == noAnswer:
		r.answer, r.answeredAt, r.cause = answerFailed, now, msg.Cause
		if msg.Cause == causeFull || msg.Cause == causeCongested || msg.Cause == causeNeverRan {
			r.answer = answerRefused
		}
		if r.tries < maxRepeats && v.rng.Float64() < w.repeats && !w.quiet.Load() {
			go v.comeAgain(r)
		}
	default:
		r.extraAnswers = append(r.extraAnswers, fmt.Sprintf("%s, cause %d, at %.3f", msg.Type, msg.Cause, now.Seconds()))
	}
}

// comeAgain sends a set-up anew, with a new id, as soon as it was refused or failed.
func (v *viewerConn) comeAgain(r *request) {
	again := v.newRequest(r.class, v.world.settings.deadlines[r.class])
	again.tries = r.tries + 1
	v.sendRequest(again, false)
}

// send writes one line in one piece.
func (v *viewerConn) send(text string) error {
	v.writing.Lock()
	defer v.writing.Unlock()
	_, err := v.conn.Write([]byte(text + "\n"))
	return err
}

// connEnded records the end for the open set-ups; those that have just crossed it are sent again on a new connection.
func (v *viewerConn) connEnded(now time.Duration) {
	v.conn.Close()
	v.mu.Lock()
	v.ended, v.endedAt = true, now
	open := v.open
	v.open = nil
	v.mu.Unlock()
	var again []*request
	v.world.record(func() {
		for _, r := range open {
			if r.answer != noAnswer || r.leftAt > 0 {
				continue
			}
			r.connEndedAt = now
			if !r.resent && r.sentAt > 0 && now-r.sentAt <= crossingWindow {
				r.resent = true
				again = append(again, r)
			}
		}
	})
	for _, r := range again {
		if v.world.hasStopped() {
			return
		}
		other := v.world.dialViewer(v.director)
		if other == nil {
			v.world.record(func() { r.newConnFailed = true })
			continue
		}
		v.world.record(func() { r.connEndedAt, r.sentAt, r.life, r.readBy = 0, 0, other.life, other.life })
		other.sendRequest(r, false)
	}
}

// newRequest makes a request with a new id.
func (v *viewerConn) newRequest(class int, wait time.Duration) *request {
	r := &request{class: class, director: v.director, life: v.life, readBy: v.life, wait: wait}
	v.world.record(func() {
		r.id = v.rng.Uint64() | 1
		r.title = 0x7f00 + r.id%8
		v.world.requests[r.id] = r
		v.world.order = append(v.world.order, r)
	})
	return r
}

// sendRequest writes a set-up, whole or in pieces.
func (v *viewerConn) sendRequest(r *request, inPieces bool) {
	w := v.world
	text := w.setupLine(r)
	v.mu.Lock()
	if v.ended {
		v.mu.Unlock()
		return
	}
	v.open[r.id] = r
	v.mu.Unlock()
	v.writing.Lock()
	defer v.writing.Unlock()
	rest := []byte(text)
	if inPieces {
		for _, cut := range []int{1, 40, len(rest) - 42} {
			if _, err := v.conn.Write(rest[:cut]); err != nil {
				return
			}
			rest = rest[cut:]
			time.Sleep(time.Duration(r.id>>cut%40) * time.Millisecond)
		}
	}
	now := w.now()
	if _, err := v.conn.Write(rest); err == nil {
		w.record(func() { r.sentAt = now })
	}
}

// giveUp withdraws a set-up, or ends its session, on its connection or by closing that.
func (v *viewerConn) giveUp(r *request, byClosing bool) {
	w := v.world
	now := w.now()
	if byClosing {
		v.mu.Lock()
		open := v.open
		v.open, v.ended = nil, true // nothing more is sent on it
		v.mu.Unlock()
		w.record(func() {
			for _, other := range open {
				if other.answer == noAnswer && other.leftAt == 0 {
					other.leftAt = now
				}
			}
		})
		v.conn.Close()
		return
	}
	w.record(func() {
		if r.leftAt == 0 && r.releasedAt == 0 {
			r.leftAt = now
		}
	})
	v.send(fmt.Sprintf(`{"type":"release","id":"%016x","fields":{},"cause":16}`, r.id))
}

// viewerHabits say how a viewer behaves.
type viewerHabits struct {
	interval   time.Duration // mean time between set-ups
	earlyLeave float64       // share of set-ups that are given up soon after
	pieces     float64       // share that is written in pieces
	short      float64       // share with very little time left
	newConn    float64       // share on a new connection
	endsSoon   float64       // share of sessions that their viewer ends
}

// runViewer sends set-ups until the run ends. An open connection is used until it ends.
func (w *world) runViewer(habits viewerHabits) {
	defer w.clients.Done()
	rng := w.newRand()
	var v *viewerConn
	for !w.hasStopped() && !w.quiet.Load() {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(habits.interval)))
		if v == nil || !v.alive() || rng.Float64() < habits.newConn {
			if next := w.dialAdmitted(rng); next != nil {
				v = next
			}
		}
		if v == nil || !v.alive() || w.hasStopped() {
			continue
		}
		class := 0
		if rng.Float64() < 0.6 {
			class = 1
		}
		wait := w.settings.deadlines[class]
		if rng.Float64() < habits.short {
			wait = time.Duration(20+rng.IntN(120)) * time.Millisecond
		}
		r := v.newRequest(class, wait)
		v.sendRequest(r, rng.Float64() < habits.pieces)
		if rng.Float64() < habits.earlyLeave {
			conn, byClosing := v, rng.Float64() < 0.4
			w.after(time.Duration(rng.IntN(60))*time.Millisecond, func() { conn.giveUp(r, byClosing) })
		} else if rng.Float64() < habits.endsSoon {
			conn := v
			w.after(time.Duration(300+rng.IntN(2500))*time.Millisecond, func() { conn.giveUp(r, false) })
		}
	}
}

// newConnWindow is the time after SIGTERM for which new connections still come.
const newConnWindow = 400 * time.Millisecond

// dialAdmitted connects to a director that the front sends clients to, or returns nil.
func (w *world) dialAdmitted(rng *rand.Rand) *viewerConn {
	for _, i := range rng.Perm(len(w.directors)) {
		d := w.directors[i]
		life, running := d.current()
		if running && (life.termAt == 0 || w.now()-life.termAt < newConnWindow) {
			if v := w.dialViewer(d); v != nil {
				return v
			}
		}
	}
	return nil
}

// startViewers starts viewers.
func (w *world) startViewers(count int, habits viewerHabits) {
	for range count {
		w.clients.Add(1)
		go w.runViewer(habits)
	}
}
