package main

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

// viewer is a viewer's connection to the director.
type viewer struct {
	w       *world
	conn    net.Conn
	writing sync.Mutex
	carries []*request // sent or named on it; under the lock of the world
}

// restLimit is the time after which a viewer closes a connection that carries no session (PROTOCOL.md).
const restLimit = 4 * time.Second

func (w *world) dialViewer() (*viewer, error) {
	conn, err := net.DialTimeout("tcp4", w.listen, time.Second)
	if err != nil {
		return nil, err
	}
	v := &viewer{w: w, conn: conn}
	go v.read()
	go v.rest()
	return v, nil
}

// busy reports whether the connection carries an open set-up or a session.
func (v *viewer) busy() bool {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	for _, r := range v.carries {
		if r.endedAt.IsZero() && (r.answer == "" || r.answer == "served" && r.releasedAt.IsZero()) {
			return true
		}
	}
	return false
}

// rest closes the connection once it has carried nothing for the time of the page.
func (v *viewer) rest() {
	for idleSince := time.Now(); time.Since(idleSince) < restLimit; time.Sleep(100 * time.Millisecond) {
		if v.busy() {
			idleSince = time.Now()
		}
	}
	v.conn.Close()
}

func (v *viewer) send(text string) {
	v.writing.Lock()
	defer v.writing.Unlock()
	v.conn.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(v.conn, text)
}

// ask sends a set-up for a title whose first holder is the cell home.
func (v *viewer) ask(class int, title uint64, home, copies int) *request {
	return v.askWith(class, title, home, copies, false)
}

// askWith is ask; with loses the first answer of a media node is lost.
func (v *viewer) askWith(class int, title uint64, home, copies int, loses bool) *request {
	w := v.w
	name := []string{"bonus-clip", "howto-clip"}[class]
	r := &request{id: rand.Uint64() | 1, class: name, title: fmt.Sprintf("%016x", title), sentAt: time.Now(), left: w.deadlines[class],
		loses: loses, extras: fmt.Sprintf("home:%d;copies:%d;top:3", home, copies)}
	w.mu.Lock()
	w.requests[r.id] = r
	w.order = append(w.order, r)
	v.carries = append(v.carries, r)
	w.mu.Unlock()
	w.logf("viewer: set-up %016x, class %s, title %s, left %d ms", r.id, name, r.title, r.left.Milliseconds())
	v.send(fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"%s","left":"%d","tenant":"hanbit-mobile","key":"%s","extras":"%s;viewer:%016x"},"sdp":"v=0\r\no=%016x\r\n"}`,
		r.id, name, r.left.Milliseconds(), r.title, r.extras, r.id, r.id))
	return r
}

// name hands a session that stands over to a director that has started anew.
func (v *viewer) name(r *request) {
	v.w.logf("viewer: names %016x, which stands at %s", r.id, r.node)
	v.w.update(r.id, func(r *request) { v.carries = append(v.carries, r) })
	v.send(fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"%s","left":"%d","tenant":"hanbit-mobile","key":"%s","extras":"%s;viewer:%016x;at:%s"},"sdp":"v=0\r\no=%016x\r\n"}`,
		r.id, r.class, r.left.Milliseconds(), r.title, r.extras, r.id, r.node, r.id))
}

// end gives up a set-up, or ends its session.
func (v *viewer) end(r *request) {
	v.w.logf("viewer: ends %016x", r.id)
	v.w.update(r.id, func(r *request) { r.endedAt = time.Now() })
	v.send(fmt.Sprintf(`{"type":"release","id":"%016x","fields":{},"cause":16}`, r.id))
}

func (v *viewer) read() {
	reader := bufio.NewReader(v.conn)
	for {
		text, err := reader.ReadBytes('\n')
		if err != nil {
			v.conn.Close()
			return
		}
		var msg struct {
			Type, ID, SDP string
			Cause         int
		}
		if err := json.Unmarshal(text, &msg); err != nil {
			v.w.logf("viewer: unreadable line %q", text)
			continue
		}
		id, _ := strconv.ParseUint(msg.ID, 16, 64)
		v.w.logf("viewer: gets %s for %016x, cause %d", msg.Type, id, msg.Cause)
		if msg.Type == "answer" || msg.Type == "release" {
			v.w.update(id, func(r *request) { v.handle(r, msg.Type, msg.Cause, msg.SDP) })
		}
	}
}

// handle records an answer or release. The lock of the world is held.
func (v *viewer) handle(r *request, kind string, cause int, sdp string) {
	now := time.Now()
	switch {
	case kind == "answer" && r.answer == "":
		r.answer, r.answeredAt = "served", now
		if sdp != v.w.description(r.node, r.id) {
			v.w.breach("request %016x: served with %q", r.id, sdp)
		}
	case kind == "release" && r.answer == "":
		r.answer, r.answeredAt, r.cause = "failed", now, cause
		if cause == causeFull || cause == causeCongested || cause == causeNeverRan {
			r.answer = "refused"
		}
	case kind == "release" && r.answer == "served":
		if r.releasedAt.IsZero() {
			r.releasedAt = now
		}
		go v.send(fmt.Sprintf(`{"type":"released","id":"%016x","fields":{}}`, r.id))
	default:
		r.extra++
	}
}
