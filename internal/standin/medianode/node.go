// Package medianode is a stand-in (test double) of a media node. It answers
// set-ups over HTTP/1.1, serves CMAF segments at the rate that its sessions'
// share of a common link allows, sends load reports and session events to the
// directors, and registers with the discovery service by heartbeats.
//
// It can start cold: until it is warm it crashes when set-ups come too fast.
// Faults are injected while it runs. It serves tests and scenario runs only and
// stands for a system outside the directors, so it shares only the codecs of
// load reports (orca) and of tokens with their data path.
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

// Config describes one media node. It is read from JSON, and partly from a
// TOML table of a scenario's script; the names in the tags are external.
type Config struct {
	Addr                 string             // listen address
	PublicAddr           string             `json:"Public" toml:"Public"` // announced address, e.g. of a relay; default: listen address
	RateKB               []float64          // ladder: rate of each rung in kB/s
	ClassScale           map[string]float64 `json:"Scale" toml:"Scale"` // factor on the ladder's rates by class; default: 1
	LinkKB               float64            // capacity of the node's link in kB/s
	UplinkKB             float64            // capacity of the rack's uplink in kB/s; 0: not simulated
	MaxSessions          int                `json:"Places" toml:"Places"` // maximum number of concurrent sessions
	Cores                int                // set-ups processed at the same time, at least 1
	SetupWorkMs          float64            `json:"WorkMs" toml:"WorkMs"` // processing time of a set-up
	Cell                 int
	Rack                 int
	Kind                 int
	Zone                 int
	SegmentMs            int
	IdleTimeoutMs        float64 `json:"IdleMs" toml:"IdleMs"`     // a session without a segment request for this long ends; 0: never
	OrphanTimeoutMs      float64 `json:"OrphanMs" toml:"OrphanMs"` // sessions of a director without an event stream for this long end
	LoadReportIntervalMs float64 `json:"TellMs" toml:"TellMs"`     // interval of load reports; 0: none
	LoadReportDelayMs    float64 `json:"LateMs" toml:"LateMs"`     // delay of load reports

	WarmUpMs         float64 `json:"WarmMs" toml:"WarmMs"`     // warm-up time after a cold start
	ColdRateFraction float64 `json:"ColdFrom" toml:"ColdFrom"` // share of the warm set-up rate right after a cold start
	OverloadFactor   float64 `json:"Factor" toml:"Factor"`     // a cold node crashes at this multiple of its set-up rate; 0: never
	OverloadWindowMs float64 `json:"TipMs" toml:"TipMs"`       // window over which that rate is measured
	Cold             bool    // the node starts cold

	OmitLinkLoad            bool    `json:"Mute" toml:"Mute"`             // answers carry no link and uplink load, and no share, link and uplink events are sent
	DelayedReportFraction   float64 `json:"LatePart" toml:"LatePart"`     // share of players' reports sent late, in any order
	MaxReportDelayMs        float64 `json:"LateUpToMs" toml:"LateUpToMs"` // longest delay of those
	DuplicateReportFraction float64 `json:"DoublePart" toml:"DoublePart"` // share of players' reports sent twice

	DiscoveryAddr string `json:"ListAddr" toml:"ListAddr"` // address of the discovery service; empty: none
	Keys          []byte // JSON Web Key Set
}

// Faults are the failures that can be injected while the node runs; the zero
// value means none.
type Faults struct {
	Slowdown        float64 `json:"slow"`     // factor by which the link and the set-ups are slower
	UplinkSlowdown  float64 `json:"uplink"`   // factor by which the rack's uplink carries less
	ErrorFraction   float64 `json:"errors"`   // share of set-ups that fail at once
	Hang            bool    `json:"hang"`     // set-ups are accepted and never answered
	LoseAnswers     bool    `json:"lost"`     // set-ups run, but their answers are not sent
	TruncateAnswers bool    `json:"half"`     // the connection breaks in the middle of a set-up's answer
	EventDelayMs    float64 `json:"late_ms"`  // additional delay of load reports and of players' reports
	AnswerDelayMs   float64 `json:"answer"`   // delay of set-ups' answers
	Draining        bool    `json:"draining"` // set-ups are refused
}

// session is one session set up on the node.
type session struct {
	name, director, title, class, jti string
	rung                              int
	startedAt, lastRequestAt          time.Time
	duration                          time.Duration
	lastSegmentRequested              bool // the player has requested the last segment
}

// cmcdReport is a player's CMCD report that waits to be sent to its director.
type cmcdReport struct {
	Session    string  `json:"session"`
	CMCD       string  `json:"cmcd"`
	AgoMs      float64 `json:"ago_ms"` // age of the report when sent; 0 if the report was delayed
	receivedAt time.Time
	deliverAt  time.Time // zero: with the next batch
}

// eventStream is the queue of events to one director.
type eventStream struct {
	events chan string
	ended  chan struct{} // closed when the director opens another stream, or does not read this one
}

// Node is a running stand-in of a media node.
type Node struct {
	config           Config
	listener         net.Listener
	httpServer       *http.Server
	bootID           string
	startedAt        time.Time
	setupSlots       chan struct{}
	mu               sync.Mutex
	tokenChecker     *token.Checker
	faults           Faults
	sessions         map[string]*session
	pendingSetups    int
	coldSetups       []time.Time // recent set-ups received while cold
	crashed          bool
	streams          map[string]*eventStream // by director
	disconnectedAt   map[string]time.Time    // by director without an event stream
	uplinkLoad       float64                 // last reported load of the rack's uplink; 1 is full
	completedSetups  int
	errorSequence    int                     // set-ups counted for ErrorFraction
	pendingReports   map[string][]cmcdReport // by director
	reportedShortage bool                    // the last share event said less than 0.98
	OnCrash          func()                  // called when an overload crashes the node
	stop             chan struct{}
}

// Start listens on cfg.Addr and serves until Close.
func Start(cfg Config) (*Node, error) {
	keys, err := token.ParseKeys(cfg.Keys)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("media node stand-in: %w", err)
	}
	node := &Node{config: cfg, listener: listener, startedAt: time.Now(), tokenChecker: token.NewChecker(keys, 4096, 0),
		bootID: strconv.FormatInt(time.Now().UnixNano(), 36), setupSlots: make(chan struct{}, max(cfg.Cores, 1)),
		sessions: map[string]*session{}, streams: map[string]*eventStream{}, disconnectedAt: map[string]time.Time{},
		pendingReports: map[string][]cmcdReport{}, stop: make(chan struct{})}
	if node.config.PublicAddr == "" {
		node.config.PublicAddr = listener.Addr().String()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /sessions/{name}", node.handleSetup)
	mux.HandleFunc("PATCH /sessions/{name}", node.handleSetRung)
	mux.HandleFunc("DELETE /sessions/{name}", node.handleEnd)
	mux.HandleFunc("GET /notes", node.handleEvents)
	mux.HandleFunc("GET /v/{name}/{rep}/{file}", node.handleMedia)
	mux.HandleFunc("OPTIONS /", node.setCORSHeaders)
	mux.HandleFunc("POST /fault", node.handleFault)
	node.httpServer = &http.Server{Handler: mux}
	go node.httpServer.Serve(listener)
	go node.maintain()
	return node, nil
}

// Addr returns the listen address.
func (node *Node) Addr() string { return node.listener.Addr().String() }

// Close stops the node at once and breaks all connections, as a crash does.
func (node *Node) Close() {
	node.mu.Lock()
	defer node.mu.Unlock()
	select {
	case <-node.stop:
		return
	default:
	}
	close(node.stop)
	go node.httpServer.Close()
}

// SetFaults replaces the injected faults.
func (node *Node) SetFaults(f Faults) {
	node.mu.Lock()
	node.faults = f
	node.mu.Unlock()
}

// Counts returns the number of sessions that play and of set-ups that have run.
func (node *Node) Counts() (playing, setups int) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return len(node.sessions), node.completedSetups
}

func (node *Node) handleFault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	node.SetFaults(faults)
}

// writeProblem writes a problem document (RFC 9457); ran says whether the set-up may have run.
func writeProblem(w http.ResponseWriter, status int, detail string, ran bool) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"title": http.StatusText(status), "status": status, "detail": detail,
		"ran": ran})
}

// coldSetupRate returns the set-ups per second that a cold node accepts at present; infinite when warm.
func (node *Node) coldSetupRate(now time.Time) float64 {
	age := float64(now.Sub(node.startedAt).Milliseconds())
	if !node.config.Cold || node.config.WarmUpMs <= 0 || age >= node.config.WarmUpMs {
		return math.Inf(1)
	}
	share := node.config.ColdRateFraction + (1-node.config.ColdRateFraction)*age/node.config.WarmUpMs
	return float64(node.config.MaxSessions) / node.config.WarmUpMs * 1000 * share
}

// recordColdSetup counts a set-up against the budget of a cold start and reports whether the budget is exceeded,
// in which case the node crashes.
func (node *Node) recordColdSetup(now time.Time) bool {
	rate := node.coldSetupRate(now)
	if math.IsInf(rate, 0) || node.config.OverloadFactor <= 0 {
		return false
	}
	node.coldSetups = append(node.coldSetups, now)
	for len(node.coldSetups) > 0 && now.Sub(node.coldSetups[0]).Seconds()*1000 > node.config.OverloadWindowMs {
		node.coldSetups = node.coldSetups[1:]
	}
	// Two more are allowed, since arrivals vary by chance.
	return float64(len(node.coldSetups)) > node.config.OverloadFactor*rate*node.config.OverloadWindowMs/1000+2
}

// demandKB returns the rate that all sessions together request, in kB/s.
func (node *Node) demandKB() float64 {
	totalKB := 0.0
	for _, s := range node.sessions {
		totalKB += node.sessionRateKB(s)
	}
	return totalKB
}

// sessionRateKB returns the rate of a session at its rung, in kB/s.
func (node *Node) sessionRateKB(s *session) float64 {
	scale := node.config.ClassScale[s.class]
	if scale == 0 {
		scale = 1
	}
	return node.config.RateKB[s.rung] * scale
}

// linkKB returns the present capacity of the link, in kB/s.
func (node *Node) linkKB() float64 { return node.config.LinkKB / math.Max(node.faults.Slowdown, 1) }

// loadReport returns the present load; LinkLoad and UplinkLoad are -1 where unknown.
func (node *Node) loadReport() orca.Load {
	if node.config.OmitLinkLoad {
		return orca.Load{Present: true, Streams: float64(len(node.sessions) + node.pendingSetups), LinkLoad: -1, UplinkLoad: -1}
	}
	return orca.Load{Present: true, Streams: float64(len(node.sessions) + node.pendingSetups),
		LinkLoad: node.demandKB() / node.linkKB(), UplinkLoad: node.uplinkLoad}
}

// handleSetup runs a set-up, or refuses it, or fails as the injected faults say.
func (node *Node) handleSetup(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	now := time.Now()
	name := r.PathValue("name")
	rung, err := strconv.Atoi(r.PostForm.Get("rung"))
	durationMs, durationErr := strconv.ParseFloat(r.PostForm.Get("duration_ms"), 64)
	if err != nil || durationErr != nil || rung < 0 || rung >= len(node.config.RateKB) {
		http.Error(w, "rung or duration_ms", 400)
		return
	}
	node.mu.Lock()
	faults := node.faults
	if node.recordColdSetup(now) && !node.crashed {
		node.crashed = true
		node.mu.Unlock()
		if node.OnCrash != nil {
			node.OnCrash()
		}
		node.Close()
		return
	}
	refusal := ""
	switch {
	case faults.Draining:
		refusal = "draining"
	case len(node.sessions)+node.pendingSetups >= node.config.MaxSessions:
		refusal = "all places are taken"
	case node.demandKB() >= node.linkKB():
		refusal = "the link is full"
	}
	w.Header().Set(orca.Header, node.loadReport().Text())
	if refusal != "" {
		node.mu.Unlock()
		writeProblem(w, 503, refusal, false)
		return
	}
	node.errorSequence++
	// Failures are spread evenly over the set-ups, not chosen at random.
	fails := faults.ErrorFraction > 0 && math.Mod(float64(node.errorSequence)*faults.ErrorFraction, 1) < faults.ErrorFraction
	node.pendingSetups++
	node.mu.Unlock()
	finish := func() {
		node.mu.Lock()
		node.pendingSetups--
		node.mu.Unlock()
	}
	defer finish()
	if fails {
		writeProblem(w, 500, "failed", true)
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	select {
	case node.setupSlots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	sleepMs(r.Context(), node.config.SetupWorkMs*math.Max(faults.Slowdown, 1))
	<-node.setupSlots
	if r.Context().Err() != nil && !faults.LoseAnswers {
		return
	}
	playing := &session{name: name, director: r.PostForm.Get("director"), title: r.PostForm.Get("title"),
		class: r.PostForm.Get("class"), jti: r.PostForm.Get("jti"), rung: rung, startedAt: time.Now(),
		lastRequestAt: time.Now(), duration: time.Duration(durationMs * float64(time.Millisecond))}
	node.mu.Lock()
	node.sessions[name] = playing
	node.completedSetups++
	if _, ok := node.streams[playing.director]; !ok {
		node.disconnectedAt[playing.director] = time.Now()
	}
	load := node.loadReport()
	node.mu.Unlock()
	if faults.AnswerDelayMs > 0 {
		sleepMs(r.Context(), faults.AnswerDelayMs)
	}
	w.Header().Set(orca.Header, load.Text())
	w.Header().Set("Location", "http://"+node.Addr()+"/v/"+name+"/")
	switch {
	case faults.LoseAnswers:
		<-r.Context().Done()
	case faults.TruncateAnswers:
		if conn, buffered, err := http.NewResponseController(w).Hijack(); err == nil {
			buffered.WriteString("HTTP/1.1 201 Created\r\nContent-Le")
			buffered.Flush()
			conn.Close()
		}
	default:
		w.WriteHeader(201)
	}
}

// sleepMs sleeps for ms milliseconds or until ctx ends.
func sleepMs(ctx context.Context, ms float64) {
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (node *Node) handleSetRung(w http.ResponseWriter, r *http.Request) {
	rung, err := strconv.Atoi(r.FormValue("rung"))
	node.mu.Lock()
	defer node.mu.Unlock()
	s := node.sessions[r.PathValue("name")]
	switch {
	case s == nil:
		writeProblem(w, 404, "no such session", false)
	case err != nil || rung < 0 || rung >= len(node.config.RateKB):
		writeProblem(w, 400, "rung", false)
	default:
		s.rung = rung
		w.Header().Set(orca.Header, node.loadReport().Text())
		w.WriteHeader(204)
	}
}

func (node *Node) handleEnd(w http.ResponseWriter, r *http.Request) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.sessions[r.PathValue("name")] == nil {
		writeProblem(w, 404, "no such session", false)
		return
	}
	delete(node.sessions, r.PathValue("name"))
	w.WriteHeader(204)
}

// handleEvents serves the event stream of one director: a hello event with the
// director's sessions, then events from a bounded queue and keep-alive
// comments. A new stream of the same director replaces the old one. A stream
// whose queue is full, because the director does not read, ends: the list of
// the next one tells what it has missed.
func (node *Node) handleEvents(w http.ResponseWriter, r *http.Request) {
	director := r.URL.Query().Get("director")
	stream := &eventStream{events: make(chan string, 4096), ended: make(chan struct{})} // 4096 queued events
	node.mu.Lock()
	names := []string{}
	for _, s := range node.sessions {
		if s.director == director {
			names = append(names, s.name)
		}
	}
	previous := node.streams[director]
	node.streams[director] = stream
	delete(node.disconnectedAt, director)
	node.mu.Unlock()
	if previous != nil {
		close(previous.ended)
	}
	hello, _ := json.Marshal(map[string]any{"boot": node.bootID, "sessions": names})
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: hello\ndata: %s\n\n", hello)
	w.(http.Flusher).Flush()
	keepAlive := time.NewTicker(500 * time.Millisecond)
	defer keepAlive.Stop()
	defer func() {
		node.mu.Lock()
		if node.streams[director] == stream {
			delete(node.streams, director)
			node.disconnectedAt[director] = time.Now()
		}
		node.mu.Unlock()
	}()
	for {
		select {
		case text := <-stream.events:
			fmt.Fprint(w, text)
		case <-keepAlive.C:
			fmt.Fprint(w, ":\n\n")
		case <-stream.ended:
			return
		case <-node.stop:
			return
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// sendEvent queues an event of the given kind for a director after a delay.
func (node *Node) sendEvent(director, kind string, fields map[string]any, lateMs float64) {
	data, _ := json.Marshal(fields)
	node.sendText(director, fmt.Sprintf("event: %s\ndata: %s\n\n", kind, data), lateMs)
}

// sendText queues a formatted event for a director after a delay; it drops the event if the director has no stream.
func (node *Node) sendText(director, text string, lateMs float64) {
	enqueue := func() {
		node.mu.Lock()
		stream := node.streams[director]
		node.mu.Unlock()
		if stream != nil {
			select {
			case stream.events <- text:
			default:
				node.endStream(director, stream)
			}
		}
	}
	if lateMs > 0 {
		time.AfterFunc(time.Duration(lateMs*float64(time.Millisecond)), enqueue)
		return
	}
	go enqueue()
}

// endStream ends a director's event stream, unless it has ended.
func (node *Node) endStream(director string, stream *eventStream) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.streams[director] == stream {
		delete(node.streams, director)
		node.disconnectedAt[director] = time.Now()
		close(stream.ended)
	}
}

// bandwidthShare returns the part of its rate that each session gets, 0 to 1.
func (node *Node) bandwidthShare() float64 {
	return math.Min(1, 1/math.Max(math.Max(node.demandKB()/node.linkKB(), node.uplinkLoad), 1e-9))
}

// maintain periodically ends sessions, sends pending events and reports, and
// sends heartbeats to the discovery service. A session ends as "done" when it
// has played, as "idle" without segment requests, and as "orphan" when its
// director's event stream stays disconnected.
func (node *Node) maintain() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	var lastLoadEventAt, lastShareEventAt time.Time
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-node.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		node.mu.Lock()
		firstSession := map[string]string{}
		for name, s := range node.sessions {
			reason := ""
			disconnectedAt, disconnected := node.disconnectedAt[s.director]
			switch {
			case now.Sub(s.startedAt) > s.duration &&
				(s.lastSegmentRequested && milliseconds(now.Sub(s.lastRequestAt)) > float64(node.config.SegmentMs) ||
					milliseconds(now.Sub(s.startedAt)-s.duration) > 3*float64(node.config.SegmentMs)):
				// The margins allow for a player that starts late, after its start-up, and
				// still requests the end, or requests it again.
				reason = "done"
			case node.config.IdleTimeoutMs > 0 && milliseconds(now.Sub(s.lastRequestAt)) > node.config.IdleTimeoutMs:
				reason = "idle"
			case disconnected && milliseconds(now.Sub(disconnectedAt)) > node.config.OrphanTimeoutMs:
				reason = "orphan"
			}
			if reason != "" {
				delete(node.sessions, name)
				node.sendEvent(s.director, "ended", map[string]any{"session": name, "why": reason,
					"load": node.loadReport().Text()}, 0)
				continue
			}
			if firstSession[s.director] == "" {
				firstSession[s.director] = name
			}
		}
		load, delayMs := node.loadReport(), node.config.LoadReportDelayMs+node.faults.EventDelayMs
		share := node.bandwidthShare()
		sendLoad := milliseconds(now.Sub(lastLoadEventAt)) >= node.config.LoadReportIntervalMs &&
			node.config.LoadReportIntervalMs > 0
		// Sessions count as short of their rates below a share of 0.98.
		sendShare := milliseconds(now.Sub(lastShareEventAt)) >= 1000 && (share < 0.98 || node.reportedShortage)
		if sendShare {
			lastShareEventAt, node.reportedShortage = now, share < 0.98
		}
		if sendLoad {
			lastLoadEventAt = now
		}
		sendLoad, sendShare = sendLoad && !node.config.OmitLinkLoad, sendShare && !node.config.OmitLinkLoad
		for director, reports := range node.pendingReports {
			var due, waiting []cmcdReport
			for _, report := range reports {
				if report.deliverAt.After(now) {
					waiting = append(waiting, report)
					continue
				}
				// A delayed report carries no age, as if the node did not know the delay: the director then
				// relies on the player's own clock.
				if report.deliverAt.IsZero() {
					report.AgoMs = milliseconds(now.Sub(report.receivedAt))
				}
				due = append(due, report)
			}
			if len(due) > 0 {
				data, _ := json.Marshal(due)
				node.sendText(director, fmt.Sprintf("event: reports\ndata: %s\n\n", data), node.faults.EventDelayMs)
			}
			if node.pendingReports[director] = waiting; len(waiting) == 0 {
				delete(node.pendingReports, director)
			}
		}
		for director, name := range firstSession {
			if sendShare {
				node.sendEvent(director, "share", map[string]any{"session": name, "value": share}, delayMs)
			}
			if sendLoad {
				node.sendEvent(director, "link", map[string]any{"session": name, "value": load.LinkLoad}, delayMs)
				node.sendEvent(director, "uplink", map[string]any{"session": name, "value": load.UplinkLoad}, delayMs)
			}
		}
		heartbeat, _ := json.Marshal(map[string]any{"addr": node.config.PublicAddr, "boot": node.bootID,
			"cell": node.config.Cell, "rack": node.config.Rack, "kind": node.config.Kind, "zone": node.config.Zone,
			"cold": node.config.Cold, "up_ms": milliseconds(now.Sub(node.startedAt)), "asked_kb": math.Min(node.demandKB(), node.linkKB())})
		node.mu.Unlock()
		if node.config.DiscoveryAddr == "" {
			continue
		}
		if resp, err := client.Post("http://"+node.config.DiscoveryAddr+"/beat", "application/json",
			bytes.NewReader(heartbeat)); err == nil {
			var rack struct {
				DemandKB float64 `json:"rack_kb"` // rate that the nodes of this rack request, kB/s
			}
			if json.NewDecoder(resp.Body).Decode(&rack) == nil && node.config.UplinkKB > 0 {
				node.mu.Lock()
				node.uplinkLoad = rack.DemandKB / node.config.UplinkKB * math.Max(node.faults.UplinkSlowdown, 1)
				node.mu.Unlock()
			}
			resp.Body.Close()
		}
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// setCORSHeaders allows requests of players in web pages (CORS) and answers their preflight requests.
func (node *Node) setCORSHeaders(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Access-Control-Allow-Origin", "*")
	header.Set("Access-Control-Allow-Methods", "GET, HEAD, OPTIONS")
	header.Set("Access-Control-Allow-Headers", "Range, CMCD-Request, CMCD-Object, CMCD-Session, CMCD-Status")
	header.Set("Access-Control-Expose-Headers", "Content-Range, Content-Length, CMSD-Dynamic")
	if r.Method == "OPTIONS" {
		w.WriteHeader(204)
	}
}

// handleMedia serves one segment. The token's signature must be valid and its
// jti must be the session's. Its expiry is not checked: a session that plays
// goes on after its token has expired, until the session's own end.
func (node *Node) handleMedia(w http.ResponseWriter, r *http.Request) {
	node.setCORSHeaders(w, r)
	tokens := r.URL.Query()["token"]
	raw := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if len(tokens) > 0 {
		raw = tokens[len(tokens)-1] // a player that supports Annex I of ISO/IEC 23009-1 appends the token again
	}
	node.mu.Lock()
	claims, err := node.tokenChecker.VerifySignature(raw)
	playing := node.sessions[r.PathValue("name")]
	if err != nil {
		node.mu.Unlock()
		writeProblem(w, 401, err.Error(), false)
		return
	}
	if playing == nil {
		node.mu.Unlock()
		writeProblem(w, 410, "no such session plays here", false)
		return
	}
	if claims.ID != playing.jti {
		node.mu.Unlock()
		writeProblem(w, 403, "the token is of another session", false)
		return
	}
	playing.lastRequestAt = time.Now()
	if cmcd := r.URL.Query().Get("CMCD"); cmcd != "" && len(node.pendingReports[playing.director]) < 4096 { // reports per director
		report := cmcdReport{Session: playing.name, CMCD: cmcd, receivedAt: playing.lastRequestAt}
		if config := &node.config; rand.Float64() < config.DelayedReportFraction {
			report.deliverAt = playing.lastRequestAt.Add(
				time.Duration(rand.Float64() * config.MaxReportDelayMs * float64(time.Millisecond)))
		}
		node.pendingReports[playing.director] = append(node.pendingReports[playing.director], report)
		if rand.Float64() < node.config.DuplicateReportFraction {
			node.pendingReports[playing.director] = append(node.pendingReports[playing.director], report)
		}
	}
	grantedRung := playing.rung
	rateKBps, share, scale := node.sessionRateKB(playing), node.bandwidthShare(), node.config.ClassScale[playing.class]
	node.mu.Unlock()
	if scale == 0 {
		scale = 1
	}
	rung, err := strconv.Atoi(strings.TrimPrefix(r.PathValue("rep"), "r"))
	if err != nil || rung < 0 || rung >= len(node.config.RateKB) {
		writeProblem(w, 404, "no such representation", false)
		return
	}
	header := w.Header()
	// CMSD (CTA-5006): key mb is the maximum suggested bitrate in kbit/s.
	header.Set("CMSD-Dynamic", fmt.Sprintf("\"box-%s\";mb=%d", node.config.PublicAddr,
		int(node.config.RateKB[grantedRung]*scale*8)))
	header.Set("Content-Type", "video/mp4")
	header.Set("Cache-Control", "no-store")
	var body []byte
	switch file := r.PathValue("file"); {
	case file == "init.mp4":
		body = initSegment(uint16(320*(rung+1)), uint16(180*(rung+1)))
	default:
		number, err := strconv.Atoi(strings.TrimSuffix(file, ".m4s"))
		last := int(math.Ceil(milliseconds(playing.duration) / float64(node.config.SegmentMs)))
		if err != nil || number < 1 || number > last {
			writeProblem(w, 404, "no such segment", false)
			return
		}
		if number == last {
			node.mu.Lock()
			playing.lastSegmentRequested = true
			node.mu.Unlock()
		}
		beginMs, fullMs := (number-1)*node.config.SegmentMs, node.config.SegmentMs
		// The last segment ends with the title: a player would wait for the missing end of a longer one.
		lengthMs := min(fullMs, int(playing.duration.Milliseconds())-beginMs)
		body = mediaSegment(number, beginMs, lengthMs, int(node.config.RateKB[rung]*scale*float64(lengthMs)),
			320*(rung+1), 180*(rung+1), rung)
	}
	// The link is shared: a session gets its share of the rate of its rung, or one and a half times the rate while
	// the link and the uplink are not full.
	pacedKBps := rateKBps * share
	if share >= 1 {
		pacedKBps *= 1.5
	}
	http.ServeContent(&pacedWriter{ResponseWriter: w, rateKBps: pacedKBps, ctx: r.Context()}, r, "", time.Time{},
		bytes.NewReader(body))
}

// pacedWriter limits a response to a rate, after a first chunk sent at once.
type pacedWriter struct {
	http.ResponseWriter
	rateKBps  float64 // kB/s, which is also bytes per millisecond
	sentBytes int
	startedAt time.Time
	ctx       context.Context
}

// Write sends the data in small chunks and sleeps where it is ahead of the rate.
func (w *pacedWriter) Write(data []byte) (int, error) {
	if w.startedAt.IsZero() {
		w.startedAt = time.Now()
	}
	total := 0
	for len(data) > 0 {
		chunk := min(len(data), 16<<10)
		written, err := w.ResponseWriter.Write(data[:chunk])
		total += written
		w.sentBytes += written
		if err != nil {
			return total, err
		}
		data = data[chunk:]
		if aheadMs := float64(w.sentBytes)/w.rateKBps - milliseconds(time.Since(w.startedAt)); aheadMs > 5 {
			sleepMs(w.ctx, aheadMs)
		}
	}
	return total, nil
}
