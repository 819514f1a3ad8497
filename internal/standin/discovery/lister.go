// Package lister is a stand-in of the box list's service: boxes report that
// they run, directors follow one stream each and hear of changes late, as the
// real service tells them. It also adds up what the boxes of a rack ask of
// their uplink, in the place of the network itself.
package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config has the service's lateness, in ms.
type Config struct {
	Addr     string
	NoticeMs float64 // a change of state is told so late
	AddMs    float64 // a start is told so late
	SilentMs float64 // a box not heard of for so long is gone
}

type beat struct {
	Addr  string  `json:"addr"`
	Boot  string  `json:"boot"`
	Cell  int     `json:"cell"`
	Rack  int     `json:"rack"`
	Kind  int     `json:"kind"`
	Zone  int     `json:"zone"`
	Cold  bool    `json:"cold"`
	UpMs  float64 `json:"up_ms"`
	Asked float64 `json:"asked_kb"`
}

type entry struct {
	beat
	heard, started time.Time
	state          string
	told           string // state as told to directors
}

// Entry is a box as directors are told of it.
type Entry struct {
	Addr   string  `json:"addr"`
	State  string  `json:"state"`
	Boot   string  `json:"boot"`
	UpMs   float64 `json:"up_ms"`
	Cell   int     `json:"cell"`
	Kind   int     `json:"kind"`
	Zone   int     `json:"zone"`
	Weight float64 `json:"weight"`
}

// Message is one message of the stream.
type Message struct {
	Epoch   string  `json:"epoch"`
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Service is one running stand-in.
type Server struct {
	cfg     Config
	ln      net.Listener
	srv     *http.Server
	mu      sync.Mutex
	boxes   map[string]*entry
	drains  map[string]bool
	version uint64
	epoch   string
	subs    map[chan string]bool
	stop    chan struct{}
	once    sync.Once
}

// Start begins to serve.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("lister: %w", err)
	}
	s := &Server{cfg: cfg, ln: ln, boxes: map[string]*entry{}, drains: map[string]bool{}, subs: map[chan string]bool{},
		epoch: fmt.Sprint(time.Now().UnixNano()), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beat", s.beat)
	mux.HandleFunc("GET /list", s.list)
	s.srv = &http.Server{Handler: mux}
	go s.srv.Serve(ln)
	go s.watch()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.once.Do(func() { close(s.stop) })
	s.srv.Close()
}

// Drain marks a box as draining, or takes that back.
func (s *Server) Drain(addr string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains[addr] = on
	if e := s.boxes[addr]; e != nil && e.state != "gone" {
		e.state = "ready"
		if on {
			e.state = "draining"
		}
		s.change(e, s.cfg.NoticeMs)
	}
}

// Ready counts the boxes that are told as ready.
func (s *Server) Ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.boxes {
		if e.told == "ready" {
			n++
		}
	}
	return n
}

func (s *Server) beat(w http.ResponseWriter, r *http.Request) {
	var b beat
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	now := time.Now()
	s.mu.Lock()
	e := s.boxes[b.Addr]
	fresh := e == nil || e.Boot != b.Boot || e.state == "gone"
	if e == nil {
		e = &entry{}
		s.boxes[b.Addr] = e
	}
	e.beat, e.heard = b, now
	e.started = now.Add(-time.Duration(b.UpMs * float64(time.Millisecond)))
	if fresh {
		e.state = "ready"
		if s.drains[b.Addr] {
			e.state = "draining"
		}
		s.change(e, s.cfg.AddMs)
	}
	rack := 0.0
	for _, o := range s.boxes {
		if o.Rack == b.Rack && o.state != "gone" {
			rack += o.Asked
		}
	}
	s.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]float64{"rack_kb": rack})
}

// watch finds boxes that have gone silent.
func (s *Server) watch() {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			for _, e := range s.boxes {
				if e.state != "gone" && now.Sub(e.heard).Seconds()*1000 > s.cfg.SilentMs {
					e.state = "gone"
					s.change(e, s.cfg.NoticeMs)
				}
			}
			s.mu.Unlock()
		}
	}
}

func (e *entry) entry(now time.Time) Entry {
	up := 0.0
	if e.Cold {
		up = now.Sub(e.started).Seconds() * 1000
	}
	return Entry{Addr: e.Addr, State: e.told, Boot: e.Boot, UpMs: up, Cell: e.Cell, Kind: e.Kind, Zone: e.Zone, Weight: 1}
}

// change tells a box's state to all directors after the service's lateness; called with mu held.
func (s *Server) change(e *entry, lateMs float64) {
	state := e.state
	time.AfterFunc(time.Duration(lateMs*float64(time.Millisecond)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		e.told = state
		s.version++
		text := s.text(Message{Epoch: s.epoch, Version: s.version, Servers: []Entry{e.entry(time.Now())}})
		for ch := range s.subs {
			select {
			case ch <- text:
			default: // a director that does not read: cut, it will ask for the whole list
				delete(s.subs, ch)
				close(ch)
			}
		}
	})
}

func (s *Server) text(m Message) string {
	data, _ := json.Marshal(m)
	return "data: " + string(data) + "\n\n"
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	ch := make(chan string, 1024)
	now := time.Now()
	s.mu.Lock()
	m := Message{Epoch: s.epoch, Version: s.version, Full: true, Servers: []Entry{}}
	for _, e := range s.boxes {
		if e.told != "" && e.told != "gone" {
			m.Servers = append(m.Servers, e.entry(now))
		}
	}
	slices.SortFunc(m.Servers, func(a, b Entry) int { return strings.Compare(a.Addr, b.Addr) })
	s.subs[ch] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.subs, ch)
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, s.text(m))
	w.(http.Flusher).Flush()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case text, ok := <-ch:
			if !ok {
				return
			}
			fmt.Fprint(w, text)
		case <-t.C:
			fmt.Fprint(w, ":\n\n")
		case <-s.stop:
			return
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}
