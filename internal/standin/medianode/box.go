// Package box is a stand-in of a streaming server: it takes set-ups over
// HTTP/1.1, serves CMAF segments paced by a link that all its sessions share,
// tells its load, starts cold, falls over when pushed, and fails on order. It
// is for tests and rehearsals; it plays the outside world and shares no code
// with the director's data path.
package medianode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"headmill/internal/orca"
	"headmill/internal/token"
)

// Config is one box.
type Config struct {
	Addr       string    // to listen on
	Public     string    // address that the list tells, where a relay stands before it
	RateKB     []float64 // the ladder
	Scale      map[string]float64
	LinkKB     float64
	UplinkKB   float64 // of its rack
	Places     int
	Cores      int
	WorkMs     float64
	Cell       int
	Rack       int
	Kind       int
	Zone       int
	SegmentMs  int
	IdleMs     float64 // a session without a segment request for so long ends
	OrphanMs   float64 // sessions of a director whose stream of notes is gone for so long end
	TellMs     float64
	LateMs     float64 // how late notes on load are
	WarmMs     float64
	ColdFrom   float64
	Factor     float64 // falls over at this many times its pace ...
	TipMs      float64 // ... over this long
	Cold       bool    // it starts cold
	Mute       bool    // its answers and notes tell no load of links
	LatePart   float64 // of the players' reports that it hands on up to LateUpToMs late, in any order
	LateUpToMs float64
	DoublePart float64 // of them that it hands on twice
	ListAddr   string  // list service that it reports to; empty: none
	Keys       []byte  // JSON Web Key Set
}

// Faults are switched on and off while it runs.
type Faults struct {
	Slow     float64 `json:"slow"`     // link and set-ups so many times slower
	Uplink   float64 `json:"uplink"`   // the rack's uplink carries so many times less
	Errors   float64 `json:"errors"`   // share of set-ups that fail fast
	Hang     bool    `json:"hang"`     // takes set-ups, answers nothing
	Lost     bool    `json:"lost"`     // set-ups run, their answers don't leave
	Half     bool    `json:"half"`     // half an answer, then the connection breaks
	LateMs   float64 `json:"late_ms"`  // notes come so much later
	AnswerMs float64 `json:"answer"`   // answers of set-ups come so much later
	Draining bool    `json:"draining"` // turns set-ups away
}

type session struct {
	name, director, title, class, jti string
	rung                              int
	began, seen                       time.Time
	duration                          time.Duration
	last                              bool // its last segment was asked for
}

// handed is one report that waits for its batch.
type handed struct {
	Session string  `json:"session"`
	CMCD    string  `json:"cmcd"`
	AgoMs   float64 `json:"ago_ms"`
	at      time.Time
	due     time.Time
}

type stream struct {
	ch   chan string
	gone chan struct{}
}

// Box is one running stand-in.
type Node struct {
	cfg      Config
	ln       net.Listener
	srv      *http.Server
	boot     string
	started  time.Time
	slots    chan struct{}
	mu       sync.Mutex
	check    *token.Checker
	faults   Faults
	sessions map[string]*session
	setting  int
	pushes   []time.Time // set-ups while cold
	fell     bool
	streams  map[string]*stream
	left     map[string]time.Time // directors whose stream is gone
	rackX    float64              // uplink load as last heard
	seq      int
	setups   int
	failSeq  int
	reports  map[string][]handed // by director
	short    bool
	Fell     func() // called when it falls over
	stop     chan struct{}
}

// Start begins to serve.
func Start(cfg Config) (*Node, error) {
	keys, err := token.ParseKeys(cfg.Keys)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("box: %w", err)
	}
	b := &Node{cfg: cfg, ln: ln, started: time.Now(), check: token.NewChecker(keys, 4096, 0),
		boot: strconv.FormatInt(time.Now().UnixNano(), 36), slots: make(chan struct{}, max(cfg.Cores, 1)),
		sessions: map[string]*session{}, streams: map[string]*stream{}, left: map[string]time.Time{}, reports: map[string][]handed{},
		stop: make(chan struct{})}
	if b.cfg.Public == "" {
		b.cfg.Public = ln.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /sessions/{name}", b.setup)
	mux.HandleFunc("PATCH /sessions/{name}", b.setRung)
	mux.HandleFunc("DELETE /sessions/{name}", b.end)
	mux.HandleFunc("GET /notes", b.notes)
	mux.HandleFunc("GET /v/{name}/{rep}/{file}", b.media)
	mux.HandleFunc("OPTIONS /", b.cors)
	mux.HandleFunc("POST /fault", b.fault)
	b.srv = &http.Server{Handler: mux}
	go b.srv.Serve(ln)
	go b.run()
	return b, nil
}

// Addr is where it listens.
func (b *Node) Addr() string { return b.ln.Addr().String() }

// Close ends it at once, connections and all, as a crash does.
func (b *Node) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stop:
		return
	default:
	}
	close(b.stop)
	go b.srv.Close()
}

// Set switches faults.
func (b *Node) Set(f Faults) {
	b.mu.Lock()
	b.faults = f
	b.mu.Unlock()
}

// Counts tells the sessions that play and the set-ups that ran.
func (b *Node) Counts() (playing, setups int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sessions), b.setups
}

func (b *Node) fault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	b.Set(f)
}

func problem(w http.ResponseWriter, status int, detail string, ran bool) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"title": http.StatusText(status), "status": status, "detail": detail, "ran": ran})
}

// pace is how many set-ups a second a cold box takes at present; infinite when warm.
func (b *Node) pace(now time.Time) float64 {
	age := float64(now.Sub(b.started).Milliseconds())
	if !b.cfg.Cold || b.cfg.WarmMs <= 0 || age >= b.cfg.WarmMs {
		return math.Inf(1)
	}
	share := b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*age/b.cfg.WarmMs
	return float64(b.cfg.Places) / b.cfg.WarmMs * 1000 * share
}

// pushed counts a set-up against the budget of a cold start; more than it makes the box fall over.
func (b *Node) pushed(now time.Time) bool {
	p := b.pace(now)
	if math.IsInf(p, 0) || b.cfg.Factor <= 0 {
		return false
	}
	b.pushes = append(b.pushes, now)
	for len(b.pushes) > 0 && now.Sub(b.pushes[0]).Seconds()*1000 > b.cfg.TipMs {
		b.pushes = b.pushes[1:]
	}
	return float64(len(b.pushes)) > b.cfg.Factor*p*b.cfg.TipMs/1000+2
}

func (b *Node) asked() float64 {
	kb := 0.0
	for _, s := range b.sessions {
		kb += b.rate(s)
	}
	return kb
}

func (b *Node) rate(s *session) float64 {
	scale := b.cfg.Scale[s.class]
	if scale == 0 {
		scale = 1
	}
	return b.cfg.RateKB[s.rung] * scale
}

func (b *Node) link() float64 { return b.cfg.LinkKB / math.Max(b.faults.Slow, 1) }

func (b *Node) load() orca.Load {
	if b.cfg.Mute {
		return orca.Load{Present: true, Streams: float64(len(b.sessions) + b.setting), X0: -1, X1: -1}
	}
	return orca.Load{Present: true, Streams: float64(len(b.sessions) + b.setting), X0: b.asked() / b.link(), X1: b.rackX}
}

func (b *Node) setup(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	now := time.Now()
	name := r.PathValue("name")
	rung, err := strconv.Atoi(r.PostForm.Get("rung"))
	dur, err2 := strconv.ParseFloat(r.PostForm.Get("duration_ms"), 64)
	if err != nil || err2 != nil || rung < 0 || rung >= len(b.cfg.RateKB) {
		http.Error(w, "rung or duration_ms", 400)
		return
	}
	b.mu.Lock()
	f := b.faults
	if b.pushed(now) && !b.fell {
		b.fell = true
		b.mu.Unlock()
		if b.Fell != nil {
			b.Fell()
		}
		b.Close()
		return
	}
	why := ""
	switch {
	case f.Draining:
		why = "draining"
	case len(b.sessions)+b.setting >= b.cfg.Places:
		why = "all places are taken"
	case b.asked() >= b.link():
		why = "the link is full"
	}
	w.Header().Set(orca.Header, b.load().Text())
	if why != "" {
		b.mu.Unlock()
		problem(w, 503, why, false)
		return
	}
	b.failSeq++
	fails := f.Errors > 0 && math.Mod(float64(b.failSeq)*f.Errors, 1) < f.Errors // evenly, without chance
	b.setting++
	b.mu.Unlock()
	done := func() {
		b.mu.Lock()
		b.setting--
		b.mu.Unlock()
	}
	defer done()
	if fails {
		problem(w, 500, "failed", true)
		return
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	sleep(r.Context(), b.cfg.WorkMs*math.Max(f.Slow, 1))
	<-b.slots
	if r.Context().Err() != nil && !f.Lost {
		return
	}
	s := &session{name: name, director: r.PostForm.Get("director"), title: r.PostForm.Get("title"),
		class: r.PostForm.Get("class"), jti: r.PostForm.Get("jti"), rung: rung, began: time.Now(), seen: time.Now(),
		duration: time.Duration(dur * float64(time.Millisecond))}
	b.mu.Lock()
	b.sessions[name] = s
	b.setups++
	if _, ok := b.streams[s.director]; !ok {
		b.left[s.director] = time.Now()
	}
	load := b.load()
	b.mu.Unlock()
	if f.AnswerMs > 0 {
		sleep(r.Context(), f.AnswerMs)
	}
	w.Header().Set(orca.Header, load.Text())
	w.Header().Set("Location", "http://"+b.Addr()+"/v/"+name+"/")
	switch {
	case f.Lost:
		<-r.Context().Done()
	case f.Half:
		if c, buf, err := http.NewResponseController(w).Hijack(); err == nil {
			buf.WriteString("HTTP/1.1 201 Created\r\nContent-Le")
			buf.Flush()
			c.Close()
		}
	default:
		w.WriteHeader(201)
	}
}

func sleep(ctx context.Context, ms float64) {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (b *Node) setRung(w http.ResponseWriter, r *http.Request) {
	rung, err := strconv.Atoi(r.FormValue("rung"))
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sessions[r.PathValue("name")]
	switch {
	case s == nil:
		problem(w, 404, "no such session", false)
	case err != nil || rung < 0 || rung >= len(b.cfg.RateKB):
		problem(w, 400, "rung", false)
	default:
		s.rung = rung
		w.Header().Set(orca.Header, b.load().Text())
		w.WriteHeader(204)
	}
}

func (b *Node) end(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sessions[r.PathValue("name")] == nil {
		problem(w, 404, "no such session", false)
		return
	}
	delete(b.sessions, r.PathValue("name"))
	w.WriteHeader(204)
}

// notes is the stream of one director. Events wait for it in a bounded queue; a director that does not read
// is cut.
func (b *Node) notes(w http.ResponseWriter, r *http.Request) {
	d := r.URL.Query().Get("director")
	st := &stream{ch: make(chan string, 4096), gone: make(chan struct{})}
	b.mu.Lock()
	names := []string{}
	for _, s := range b.sessions {
		if s.director == d {
			names = append(names, s.name)
		}
	}
	old := b.streams[d]
	b.streams[d] = st
	delete(b.left, d)
	b.mu.Unlock()
	if old != nil {
		close(old.gone)
	}
	hello, _ := json.Marshal(map[string]any{"boot": b.boot, "sessions": names})
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: hello\ndata: %s\n\n", hello)
	w.(http.Flusher).Flush()
	beat := time.NewTicker(500 * time.Millisecond)
	defer beat.Stop()
	defer func() {
		b.mu.Lock()
		if b.streams[d] == st {
			delete(b.streams, d)
			b.left[d] = time.Now()
		}
		b.mu.Unlock()
	}()
	for {
		select {
		case text := <-st.ch:
			fmt.Fprint(w, text)
		case <-beat.C:
			fmt.Fprint(w, ":\n\n")
		case <-st.gone:
			return
		case <-b.stop:
			return
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// tell hands an event to a director's stream, late where it is of the load.
func (b *Node) tell(d, kind string, v map[string]any, lateMs float64) {
	data, _ := json.Marshal(v)
	b.send(d, fmt.Sprintf("event: %s\ndata: %s\n\n", kind, data), lateMs)
}

func (b *Node) send(d, text string, lateMs float64) {
	send := func() {
		b.mu.Lock()
		st := b.streams[d]
		b.mu.Unlock()
		if st != nil {
			select {
			case st.ch <- text:
			default:
			}
		}
	}
	if lateMs > 0 {
		time.AfterFunc(time.Duration(lateMs*float64(time.Millisecond)), send)
		return
	}
	go send()
}

// share is the part of its rate that each session gets.
func (b *Node) share() float64 {
	return math.Min(1, 1/math.Max(math.Max(b.asked()/b.link(), b.rackX), 1e-9))
}

// run ends sessions, tells notes and reports to the list service.
func (b *Node) run() {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	var told, shared time.Time
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-b.stop:
			return
		case <-t.C:
		}
		now := time.Now()
		b.mu.Lock()
		first := map[string]string{}
		for name, s := range b.sessions {
			why := ""
			gone, out := b.left[s.director]
			switch {
			case now.Sub(s.began) > s.duration && (s.last && ms(now.Sub(s.seen)) > float64(b.cfg.SegmentMs) ||
				ms(now.Sub(s.began)-s.duration) > 3*float64(b.cfg.SegmentMs)):
				why = "done" // a player begins late by its start-up and may still want the end, or want it again
			case b.cfg.IdleMs > 0 && ms(now.Sub(s.seen)) > b.cfg.IdleMs:
				why = "idle"
			case out && ms(now.Sub(gone)) > b.cfg.OrphanMs:
				why = "orphan"
			}
			if why != "" {
				delete(b.sessions, name)
				b.tell(s.director, "ended", map[string]any{"session": name, "why": why, "load": b.load().Text()}, 0)
				continue
			}
			if first[s.director] == "" {
				first[s.director] = name
			}
		}
		load, late := b.load(), b.cfg.LateMs+b.faults.LateMs
		share := b.share()
		tell := ms(now.Sub(told)) >= b.cfg.TellMs && b.cfg.TellMs > 0
		short := ms(now.Sub(shared)) >= 1000 && (share < 0.98 || b.short)
		if short {
			shared, b.short = now, share < 0.98
		}
		if tell {
			told = now
		}
		tell, short = tell && !b.cfg.Mute, short && !b.cfg.Mute
		for d, l := range b.reports {
			var out, wait []handed
			for _, h := range l {
				if h.due.After(now) {
					wait = append(wait, h)
					continue
				}
				if h.due.IsZero() { // of one that was held back it does not know how long: the player's own clock counts
					h.AgoMs = ms(now.Sub(h.at))
				}
				out = append(out, h)
			}
			if len(out) > 0 {
				data, _ := json.Marshal(out)
				b.send(d, fmt.Sprintf("event: reports\ndata: %s\n\n", data), b.faults.LateMs)
			}
			if b.reports[d] = wait; len(wait) == 0 {
				delete(b.reports, d)
			}
		}
		for d, name := range first {
			if short {
				b.tell(d, "share", map[string]any{"session": name, "value": share}, late)
			}
			if tell {
				b.tell(d, "link", map[string]any{"session": name, "value": load.X0}, late)
				b.tell(d, "uplink", map[string]any{"session": name, "value": load.X1}, late)
			}
		}
		beat, _ := json.Marshal(map[string]any{"addr": b.cfg.Public, "boot": b.boot, "cell": b.cfg.Cell,
			"rack": b.cfg.Rack, "kind": b.cfg.Kind, "zone": b.cfg.Zone, "cold": b.cfg.Cold,
			"up_ms": ms(now.Sub(b.started)), "asked_kb": math.Min(b.asked(), b.link())})
		b.mu.Unlock()
		if b.cfg.ListAddr == "" {
			continue
		}
		if resp, err := client.Post("http://"+b.cfg.ListAddr+"/beat", "application/json", bytes.NewReader(beat)); err == nil {
			var rack struct {
				Asked float64 `json:"rack_kb"`
			}
			if json.NewDecoder(resp.Body).Decode(&rack) == nil && b.cfg.UplinkKB > 0 {
				b.mu.Lock()
				b.rackX = rack.Asked / b.cfg.UplinkKB * math.Max(b.faults.Uplink, 1)
				b.mu.Unlock()
			}
			resp.Body.Close()
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (b *Node) cors(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Access-Control-Allow-Origin", "*")
	h.Set("Access-Control-Allow-Methods", "GET, HEAD, OPTIONS")
	h.Set("Access-Control-Allow-Headers", "Range, CMCD-Request, CMCD-Object, CMCD-Session, CMCD-Status")
	h.Set("Access-Control-Expose-Headers", "Content-Range, Content-Length, CMSD-Dynamic")
	if r.Method == "OPTIONS" {
		w.WriteHeader(204)
	}
}

// media serves one segment. The token admits; a session that plays goes on after its token has expired,
// until its own end, for a token whose signature holds and whose jti is the session's.
func (b *Node) media(w http.ResponseWriter, r *http.Request) {
	b.cors(w, r)
	q := r.URL.Query()["token"]
	raw := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if len(q) > 0 {
		raw = q[len(q)-1] // a player that knows Annex I appends it once more
	}
	b.mu.Lock()
	claims, err := b.check.Signed(raw)
	s := b.sessions[r.PathValue("name")]
	if err != nil {
		b.mu.Unlock()
		problem(w, 401, err.Error(), false)
		return
	}
	if s == nil {
		b.mu.Unlock()
		problem(w, 410, "no such session plays here", false)
		return
	}
	if claims.ID != s.jti {
		b.mu.Unlock()
		problem(w, 403, "the token is of another session", false)
		return
	}
	s.seen = time.Now()
	if list := r.URL.Query().Get("CMCD"); list != "" && len(b.reports[s.director]) < 4096 {
		h := handed{Session: s.name, CMCD: list, at: s.seen}
		if c := &b.cfg; rand.Float64() < c.LatePart {
			h.due = s.seen.Add(time.Duration(rand.Float64() * c.LateUpToMs * float64(time.Millisecond)))
		}
		b.reports[s.director] = append(b.reports[s.director], h)
		if rand.Float64() < b.cfg.DoublePart {
			b.reports[s.director] = append(b.reports[s.director], h)
		}
	}
	top := s.rung
	kbps, share, scale := b.rate(s), b.share(), b.cfg.Scale[s.class]
	b.mu.Unlock()
	if scale == 0 {
		scale = 1
	}
	rung, err := strconv.Atoi(strings.TrimPrefix(r.PathValue("rep"), "r"))
	if err != nil || rung < 0 || rung >= len(b.cfg.RateKB) {
		problem(w, 404, "no such representation", false)
		return
	}
	h := w.Header()
	h.Set("CMSD-Dynamic", fmt.Sprintf("\"box-%s\";mb=%d", b.cfg.Public, int(b.cfg.RateKB[top]*scale*8))) // CTA-5006: kbit/s
	h.Set("Content-Type", "video/mp4")
	h.Set("Cache-Control", "no-store")
	var body []byte
	switch file := r.PathValue("file"); {
	case file == "init.mp4":
		body = initSegment(uint16(320*(rung+1)), uint16(180*(rung+1)))
	default:
		n, err := strconv.Atoi(strings.TrimSuffix(file, ".m4s"))
		last := int(math.Ceil(ms(s.duration) / float64(b.cfg.SegmentMs)))
		if err != nil || n < 1 || n > last {
			problem(w, 404, "no such segment", false)
			return
		}
		if n == last {
			b.mu.Lock()
			s.last = true
			b.mu.Unlock()
		}
		begin, whole := (n-1)*b.cfg.SegmentMs, b.cfg.SegmentMs
		length := min(whole, int(s.duration.Milliseconds())-begin) // a player waits for the end where the last one is longer
		body = mediaSegment(n, begin, length, int(b.cfg.RateKB[rung]*scale*float64(length)), 320*(rung+1), 180*(rung+1), rung)
	}
	// The link is shared: a session gets its part of the rung in force, with a little over where nothing is short.
	pace := kbps * share
	if share >= 1 {
		pace *= 1.5
	}
	http.ServeContent(&paced{ResponseWriter: w, kbps: pace, ctx: r.Context()}, r, "", time.Time{}, bytes.NewReader(body))
}

// paced slows a response down to a rate after a first burst.
type paced struct {
	http.ResponseWriter
	kbps  float64
	sent  int
	began time.Time
	ctx   context.Context
}

// Write sends small parts at the pace.
func (p *paced) Write(b []byte) (int, error) {
	if p.began.IsZero() {
		p.began = time.Now()
	}
	total := 0
	for len(b) > 0 {
		n := min(len(b), 16<<10)
		k, err := p.ResponseWriter.Write(b[:n])
		total += k
		p.sent += k
		if err != nil {
			return total, err
		}
		b = b[n:]
		if due := float64(p.sent)/p.kbps - ms(time.Since(p.began)); due > 5 {
			sleep(p.ctx, due)
		}
	}
	return total, nil
}
