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
	Addr         string
	StateDelayMs float64 // a change of state is told so late
	StartDelayMs float64 // a start is told so late
	SilentMs     float64 // a box not heard of for so long is gone
}

type heartbeat struct {
	Addr     string  `json:"addr"`
	Boot     string  `json:"boot"`
	Cell     int     `json:"cell"`
	Rack     int     `json:"rack"`
	Kind     int     `json:"kind"`
	Zone     int     `json:"zone"`
	Cold     bool    `json:"cold"`
	UptimeMs float64 `json:"up_ms"`
	DemandKB float64 `json:"asked_kb"`
}

type nodeRecord struct {
	heartbeat
	lastHeartbeatAt, startedAt time.Time
	state                      string
	publishedState             string // state as told to directors
}

// Entry is a box as directors are told of it.
type Entry struct {
	Addr     string  `json:"addr"`
	State    string  `json:"state"`
	Boot     string  `json:"boot"`
	UptimeMs float64 `json:"up_ms"`
	Cell     int     `json:"cell"`
	Kind     int     `json:"kind"`
	Zone     int     `json:"zone"`
	Weight   float64 `json:"weight"`
}

// Message is one message of the stream.
type Message struct {
	Epoch   string  `json:"epoch"`
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Nodes   []Entry `json:"servers"`
}

// Service is one running stand-in.
type Server struct {
	config      Config
	listener    net.Listener
	httpServer  *http.Server
	mu          sync.Mutex
	nodes       map[string]*nodeRecord
	draining    map[string]bool
	version     uint64
	epoch       string
	subscribers map[chan string]bool
	stop        chan struct{}
	closeOnce   sync.Once
}

// Start begins to serve.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("lister: %w", err)
	}
	server := &Server{config: cfg, listener: listener, nodes: map[string]*nodeRecord{}, draining: map[string]bool{}, subscribers: map[chan string]bool{},
		epoch: fmt.Sprint(time.Now().UnixNano()), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beat", server.handleHeartbeat)
	mux.HandleFunc("GET /list", server.handleList)
	server.httpServer = &http.Server{Handler: mux}
	go server.httpServer.Serve(listener)
	go server.expireSilentNodes()
	return server, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	s.httpServer.Close()
}

// Drain marks a box as draining, or takes that back.
func (s *Server) Drain(addr string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[addr] = on
	if record := s.nodes[addr]; record != nil && record.state != "gone" {
		record.state = "ready"
		if on {
			record.state = "draining"
		}
		s.publishAfter(record, s.config.StateDelayMs)
	}
}

// Ready counts the boxes that are told as ready.
func (s *Server) Ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := 0
	for _, record := range s.nodes {
		if record.publishedState == "ready" {
			ready++
		}
	}
	return ready
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var beat heartbeat
	if err := json.NewDecoder(r.Body).Decode(&beat); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	now := time.Now()
	s.mu.Lock()
	record := s.nodes[beat.Addr]
	started := record == nil || record.Boot != beat.Boot || record.state == "gone"
	if record == nil {
		record = &nodeRecord{}
		s.nodes[beat.Addr] = record
	}
	record.heartbeat, record.lastHeartbeatAt = beat, now
	record.startedAt = now.Add(-time.Duration(beat.UptimeMs * float64(time.Millisecond)))
	if started {
		record.state = "ready"
		if s.draining[beat.Addr] {
			record.state = "draining"
		}
		s.publishAfter(record, s.config.StartDelayMs)
	}
	rackKB := 0.0
	for _, other := range s.nodes {
		if other.Rack == beat.Rack && other.state != "gone" {
			rackKB += other.DemandKB
		}
	}
	s.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]float64{"rack_kb": rackKB})
}

// watch finds boxes that have gone silent.
func (s *Server) expireSilentNodes() {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, record := range s.nodes {
				if record.state != "gone" && now.Sub(record.lastHeartbeatAt).Seconds()*1000 > s.config.SilentMs {
					record.state = "gone"
					s.publishAfter(record, s.config.StateDelayMs)
				}
			}
			s.mu.Unlock()
		}
	}
}

func (record *nodeRecord) published(now time.Time) Entry {
	uptimeMs := 0.0
	if record.Cold {
		uptimeMs = now.Sub(record.startedAt).Seconds() * 1000
	}
	return Entry{Addr: record.Addr, State: record.publishedState, Boot: record.Boot, UptimeMs: uptimeMs, Cell: record.Cell, Kind: record.Kind, Zone: record.Zone, Weight: 1}
}

// change tells a box's state to all directors after the service's lateness; called with mu held.
func (s *Server) publishAfter(record *nodeRecord, lateMs float64) {
	state := record.state
	time.AfterFunc(time.Duration(lateMs*float64(time.Millisecond)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		record.publishedState = state
		s.version++
		event := s.formatEvent(Message{Epoch: s.epoch, Version: s.version, Nodes: []Entry{record.published(time.Now())}})
		for subscriber := range s.subscribers {
			select {
			case subscriber <- event:
			default: // a director that does not read: cut, it will ask for the whole list
				delete(s.subscribers, subscriber)
				close(subscriber)
			}
		}
	})
}

func (s *Server) formatEvent(message Message) string {
	data, _ := json.Marshal(message)
	return "data: " + string(data) + "\n\n"
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	events := make(chan string, 1024)
	now := time.Now()
	s.mu.Lock()
	message := Message{Epoch: s.epoch, Version: s.version, Full: true, Nodes: []Entry{}}
	for _, record := range s.nodes {
		if record.publishedState != "" && record.publishedState != "gone" {
			message.Nodes = append(message.Nodes, record.published(now))
		}
	}
	slices.SortFunc(message.Nodes, func(a, b Entry) int { return strings.Compare(a.Addr, b.Addr) })
	s.subscribers[events] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.subscribers, events)
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, s.formatEvent(message))
	w.(http.Flusher).Flush()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return
			}
			fmt.Fprint(w, event)
		case <-ticker.C:
			fmt.Fprint(w, ":\n\n")
		case <-s.stop:
			return
		case <-r.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}
