// Package discovery is a stand-in (test double) of the discovery service. Media
// nodes send heartbeats (POST /beat); each director follows the node list on
// one event stream (GET /list): first the full list, then changes, delayed as
// the real service delays them. It also simulates a part of the network: the
// answer to a heartbeat carries the rate that all nodes of the rack together
// request from their uplink.
//
// The states of a node:
//
//	state     meaning           left when
//	ready     heartbeats come   Drain marks it; heartbeats stop
//	draining  marked by Drain   Drain removes the mark; heartbeats stop
//	gone      heartbeats ended  a heartbeat is received
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

// Config holds the listen address and the service's delays.
type Config struct {
	Addr               string
	StateDelayMs       float64 // delay until directors learn of a change of state
	StartDelayMs       float64 // delay until directors learn of a node that has started
	HeartbeatTimeoutMs float64 // a node without a heartbeat for this long is gone
}

// heartbeat is the body of a node's POST /beat.
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

// nodeRecord is what the service knows of a node.
type nodeRecord struct {
	heartbeat
	lastHeartbeatAt, startedAt time.Time
	state                      string
	publishedState             string // state as the directors know it; empty: node not published yet
}

// Entry is a node as directors receive it.
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

// Message is one message of the event stream: the full list, or a change.
type Message struct {
	Epoch   string  `json:"epoch"`
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Nodes   []Entry `json:"servers"`
}

// Server is a running stand-in of the discovery service.
type Server struct {
	config      Config
	listener    net.Listener
	httpServer  *http.Server
	mu          sync.Mutex
	nodes       map[string]*nodeRecord
	draining    map[string]bool // by address; kept while a node is gone
	version     uint64
	epoch       string
	subscribers map[chan string]bool
	stop        chan struct{}
	closeOnce   sync.Once
}

// Start listens on cfg.Addr and serves until Close.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("discovery stand-in: %w", err)
	}
	server := &Server{config: cfg, listener: listener, nodes: map[string]*nodeRecord{}, draining: map[string]bool{},
		subscribers: map[chan string]bool{}, epoch: fmt.Sprint(time.Now().UnixNano()), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beat", server.handleHeartbeat)
	mux.HandleFunc("GET /list", server.handleList)
	server.httpServer = &http.Server{Handler: mux}
	go server.httpServer.Serve(listener)
	go server.expireSilentNodes()
	return server, nil
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	s.httpServer.Close()
}

// Drain marks a node as draining, or removes the mark.
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

// Ready returns the number of nodes that are published as ready.
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

// handleHeartbeat records a heartbeat, publishes a node that has started, and answers with the demand of its rack.
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

// expireSilentNodes marks nodes without heartbeats as gone.
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
				if record.state != "gone" && now.Sub(record.lastHeartbeatAt).Seconds()*1000 > s.config.HeartbeatTimeoutMs {
					record.state = "gone"
					s.publishAfter(record, s.config.StateDelayMs)
				}
			}
			s.mu.Unlock()
		}
	}
}

// published returns the node as directors receive it. Only a node that started cold has an uptime.
func (record *nodeRecord) published(now time.Time) Entry {
	uptimeMs := 0.0
	if record.Cold {
		uptimeMs = now.Sub(record.startedAt).Seconds() * 1000
	}
	return Entry{Addr: record.Addr, State: record.publishedState, Boot: record.Boot, UptimeMs: uptimeMs,
		Cell: record.Cell, Kind: record.Kind, Zone: record.Zone, Weight: 1}
}

// publishAfter sends a node's present state to all directors after a delay. It must be called with s.mu held.
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
			default:
				// The director does not read: its stream is closed, and it will request the full list again.
				delete(s.subscribers, subscriber)
				close(subscriber)
			}
		}
	})
}

// formatEvent returns the message as a server-sent event.
func (s *Server) formatEvent(message Message) string {
	data, _ := json.Marshal(message)
	return "data: " + string(data) + "\n\n"
}

// handleList serves the event stream of one director.
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
