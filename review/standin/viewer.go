package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// request is one set-up of a viewer, with all that passed about it.
type request struct {
	id       uint64
	class    int
	title    uint64
	first    int // first cell that holds the title
	sdp      string
	leftMs   float64
	conn     *viewerConn
	sentAt   float64
	givenUp  bool
	connLost bool // its connection ended before its answer
	answers  []answer
	attempts []*attempt
	// Of a session that stood: its end at the media node, and its release towards the viewer.
	over       bool
	overAt     float64
	overWhy    string
	overNode   *node
	released   bool
	releasedAt float64
	endedByUs  bool
}

// answer is one message of the director about a request.
type answer struct {
	at      float64
	kind    string // answer or release
	cause   int
	wait    string
	sdp     string
	initial bool // the first one: the final answer to the set-up
}

// attempt is one set-up at a media node.
type attempt struct {
	r        *request
	node     *node
	arrived  float64
	ended    bool
	endedAt  float64
	how      string
	rung     int
	neverRan bool
	answered bool
}

func (a *attempt) end(w *world, how string) {
	if !a.ended {
		a.ended, a.endedAt, a.how = true, w.ms(), how
		w.logf("%s: set-up %016x ends: %s", a.node.name, a.r.id, how)
	}
}

// front holds the viewers' connections to the director.
type front struct {
	w     *world
	mu    sync.Mutex
	conns []*viewerConn
}

// viewerConn is one connection of viewers; it carries any number of set-ups.
type viewerConn struct {
	f       *front
	conn    net.Conn
	wmu     sync.Mutex
	ended   bool
	ours    bool // this side ended it
	pongs   chan bool
	created time.Time
	lastUse time.Time
}

func newFront(w *world) *front { return &front{w: w} }

// dial opens a connection.
func (f *front) dial() (*viewerConn, error) {
	c, err := net.DialTimeout("tcp4", f.w.listen, time.Second)
	if err != nil {
		return nil, err
	}
	vc := &viewerConn{f: f, conn: c, pongs: make(chan bool, 16), created: time.Now(), lastUse: time.Now()}
	go vc.read()
	return vc, nil
}

// test sends a test on a connection of its own.
func (f *front) test() bool {
	vc, err := f.dial()
	if err != nil {
		return false
	}
	defer vc.conn.Close()
	vc.send(map[string]any{"type": "ping", "id": "00000000000000ff", "fields": map[string]string{}, "cause": 0})
	select {
	case ok := <-vc.pongs:
		return ok
	case <-time.After(time.Second):
		return false
	}
}

func (vc *viewerConn) send(m map[string]any) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	vc.wmu.Lock()
	defer vc.wmu.Unlock()
	_, err = vc.conn.Write(append(b, '\n'))
	return err
}

func (vc *viewerConn) read() {
	w := vc.f.w
	reader := bufio.NewReaderSize(vc.conn, 64<<10)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			break
		}
		var m struct {
			Type, ID, SDP string
			Cause         int
			Fields        map[string]any
		}
		if err := json.Unmarshal(line, &m); err != nil {
			w.mu.Lock()
			w.other("the director wrote a line that can't be read: %q", line)
			w.mu.Unlock()
			continue
		}
		if m.Type == "pong" {
			select {
			case vc.pongs <- m.Cause == 1:
			default:
			}
			continue
		}
		var id uint64
		fmt.Sscanf(m.ID, "%x", &id)
		w.mu.Lock()
		w.viewerReceives(vc, id, answer{at: w.ms(), kind: m.Type, cause: m.Cause, sdp: m.SDP, wait: fmt.Sprint(m.Fields["wait"])})
		w.mu.Unlock()
	}
	vc.conn.Close()
	w.mu.Lock()
	vc.ended = true
	for _, r := range w.order {
		if r.conn == vc && len(r.answers) == 0 && !r.givenUp {
			r.connLost = true
			w.logf("viewer: connection ended before the answer to %016x", r.id)
			if !vc.ours && w.ms() > r.sentAt+slackMs {
				w.other("the director has closed the connection of %016x, %.0f ms after it was sent, with no answer", r.id, w.ms()-r.sentAt)
			}
		}
	}
	w.mu.Unlock()
}

// viewerReceives handles an answer or a release.
func (w *world) viewerReceives(vc *viewerConn, id uint64, a answer) {
	if a.kind == "released" {
		return
	}
	r := w.reqs[id]
	if r == nil {
		w.other("the director wrote %s about %016x, which no viewer sent", a.kind, id)
		return
	}
	a.initial = len(r.answers) == 0
	r.answers = append(r.answers, a)
	w.logf("viewer: %s for %016x, cause %d, wait %s, %.0f ms after it was sent", a.kind, id, a.cause, a.wait, a.at-r.sentAt)
	if a.kind == "release" && !a.initial && r.answers[0].kind == "answer" {
		if !r.released {
			r.released, r.releasedAt = true, a.at
		}
		go vc.send(map[string]any{"type": "released", "id": fmt.Sprintf("%016x", id), "fields": map[string]string{}})
	}
	w.checkAnswer(r)
}

// pick returns an open connection for a new set-up, or opens one.
func (f *front) pick() (*viewerConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.w.mu.Lock()
	var live []*viewerConn
	for _, c := range f.conns {
		if !c.ended {
			live = append(live, c)
		}
	}
	f.w.mu.Unlock()
	f.conns = live
	if len(live) >= 8 {
		best := live[0]
		for _, c := range live {
			if c.lastUse.Before(best.lastUse) {
				best = c
			}
		}
		best.lastUse = time.Now()
		return best, nil
	}
	vc, err := f.dial()
	if err != nil {
		return nil, err
	}
	f.conns = append(f.conns, vc)
	return vc, nil
}

// request sends a set-up; leftMs 0 means the class's own time.
func (w *world) request(class int, title uint64, leftMs float64) *request {
	vc, err := w.front.pick()
	if err != nil {
		w.logf("viewer: no connection to the director: %v", err)
		return nil
	}
	return w.requestOn(vc, class, title, leftMs)
}

func (w *world) requestOn(vc *viewerConn, class int, title uint64, leftMs float64) *request {
	w.mu.Lock()
	w.seq++
	id := mix(w.seq)
	if leftMs == 0 {
		leftMs = float64(classes[class].giveUpMs)
	}
	r := &request{id: id, class: class, title: title, first: w.titles[title], sdp: fmt.Sprintf("o=%016x", id), leftMs: leftMs, conn: vc}
	w.reqs[id] = r
	w.order = append(w.order, r)
	r.sentAt = w.ms()
	w.logf("viewer: set-up %016x, class %s, title %016x of cell %d, left %.0f", id, classes[class].name, title, r.first, leftMs)
	w.mu.Unlock()
	tenant := "hanbit-mobile"
	if id%10 < 3 {
		tenant = "dasol-talk"
	}
	err := vc.send(map[string]any{"type": "setup", "id": fmt.Sprintf("%016x", id),
		"fields": map[string]string{"class": classes[class].name, "left": fmt.Sprintf("%.0f", leftMs), "tenant": tenant,
			"key": fmt.Sprintf("%016x", title), "extras": fmt.Sprintf("home:%d;copies:%d;top:3;viewer:%016x", r.first, w.p.Copies, id)},
		"sdp": r.sdp})
	if err != nil {
		w.mu.Lock()
		r.connLost = true
		w.mu.Unlock()
	}
	time.AfterFunc(time.Duration((leftMs+600)*float64(time.Millisecond)), func() {
		w.mu.Lock()
		late := len(r.answers) == 0 && !r.connLost
		if late {
			r.givenUp = true
		}
		w.mu.Unlock()
		if late {
			vc.send(map[string]any{"type": "release", "id": fmt.Sprintf("%016x", id), "fields": map[string]string{}, "cause": causeNormal})
		}
	})
	return r
}

// endByViewer ends a session, or gives a set-up up, on its viewer's word.
func (w *world) endByViewer(r *request) {
	w.mu.Lock()
	r.endedByUs = true
	if len(r.answers) == 0 {
		r.givenUp = true
	}
	vc := r.conn
	w.logf("viewer: release of %016x", r.id)
	w.mu.Unlock()
	if vc.ended {
		var err error
		if vc, err = w.front.pick(); err != nil {
			return
		}
	}
	vc.send(map[string]any{"type": "release", "id": fmt.Sprintf("%016x", r.id), "fields": map[string]string{}, "cause": causeNormal})
}

// handOver names a session that stands to a director that has just started.
func (w *world) handOver(r *request, n *node) {
	vc, err := w.front.pick()
	if err != nil {
		return
	}
	w.mu.Lock()
	r.conn = vc
	w.logf("viewer: hands over %016x, which plays at %s", r.id, n.name)
	w.mu.Unlock()
	vc.send(map[string]any{"type": "setup", "id": fmt.Sprintf("%016x", r.id),
		"fields": map[string]string{"class": classes[r.class].name, "left": fmt.Sprint(classes[r.class].giveUpMs), "tenant": "hanbit-mobile",
			"key": fmt.Sprintf("%016x", r.title), "extras": fmt.Sprintf("home:%d;copies:%d;top:3;viewer:%016x;at:%s", r.first, w.p.Copies, r.id, n.name)},
		"sdp": r.sdp})
}

// mix makes an id that looks drawn.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
