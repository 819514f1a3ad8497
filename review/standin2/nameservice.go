package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// listEntry is one media node on the list.
type listEntry struct {
	name, zone, addr string
	cell             int
	draining         bool
	startedMs        int64 // Unix time of its last start, 0: long ago
}

// nameService answers each query with the whole list (PROTOCOL.md, "The name service").
type nameService struct {
	w       *world
	conn    *net.UDPConn
	mu      sync.Mutex
	serial  uint32
	entries []listEntry
	told    map[uint32]time.Time // when an answer first held an event
	drains  map[string]uint32    // the event in which a media node began to drain
	delay   time.Duration        // from a query to its answer
	asked   chan struct{}        // gets a value with each query if somebody waits
}

func newNameService(w *world) (*nameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: w.ip(250)})
	if err != nil {
		return nil, err
	}
	s := &nameService{w: w, conn: conn, serial: 1, told: map[uint32]time.Time{}, drains: map[string]uint32{},
		asked: make(chan struct{})}
	go s.serve()
	return s, nil
}

func (s *nameService) addr() string { return s.conn.LocalAddr().String() }

// change edits the list and gives it the next number.
func (s *nameService) change(what string, edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
	s.serial++
	s.w.logf("name service: event %d: %s", s.serial, what)
}

// entry returns the entry of a media node. The lock is held.
func (s *nameService) entry(name string) *listEntry {
	for i := range s.entries {
		if s.entries[i].name == name {
			return &s.entries[i]
		}
	}
	return nil
}

// drain lets a media node drain.
func (s *nameService) drain(name string) {
	s.change(name+" drains", func() {
		s.entry(name).draining = true
		s.drains[name] = s.serial + 1
	})
}

// slowDown sets the time from a query to its answer.
func (s *nameService) slowDown(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.logf("name service: answers take %v", delay)
	s.delay = delay
}

// drainTold is when the drain of a media node was told, or the zero time.
func (s *nameService) drainTold(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[s.drains[name]]
}

// known is the list in the form of a director's configuration.
func (s *nameService) known() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, e := range s.entries {
		health := "in_service"
		if e.draining {
			health = "terminating"
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s","site":"%s","class":"box-2c","block":%d,"health":"%s","share":1,"born_ms":%d}`,
			e.name, e.addr, e.zone, e.cell, health, e.startedMs))
	}
	return fmt.Sprintf(`{"no":%d,"items":[{"no":%d,"roster":{"seq":1,"whole":true,"hosts":[%s]}}]}`, s.serial, s.serial,
		strings.Join(hosts, ","))
}

func (s *nameService) serve() {
	buf := make([]byte, 4096)
	for {
		n, from, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var query dnsmessage.Message
		if query.Unpack(buf[:n]) != nil {
			continue
		}
		select {
		case s.asked <- struct{}{}:
		default:
		}
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			if answer, err := s.answer(&query); err == nil {
				s.conn.WriteToUDP(answer, from)
			}
		})
	}
}

// answer is the answer to a query.
func (s *nameService) answer(query *dnsmessage.Message) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told[s.serial].IsZero() {
		s.told[s.serial] = time.Now()
		s.w.logf("name service: event %d is told", s.serial)
	}
	service := dnsmessage.MustNewName("_api._tcp.svc.local.")
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: query.ID, Response: true, Authoritative: true}, Questions: query.Questions}
	add := func(section *[]dnsmessage.Resource, name dnsmessage.Name, body dnsmessage.ResourceBody) {
		*section = append(*section, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET}, Body: body})
	}
	add(&m.Authorities, service, &dnsmessage.SOAResource{NS: service, MBox: service, Serial: s.serial})
	for _, e := range s.entries {
		addr, err := net.ResolveTCPAddr("tcp4", e.addr)
		if err != nil {
			return nil, err
		}
		host := dnsmessage.MustNewName(e.name + "." + e.zone + ".hosts.")
		priority := uint16(0)
		if e.draining {
			priority = 1
		}
		add(&m.Answers, service, &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: uint16(addr.Port), Target: host})
		add(&m.Additionals, host, &dnsmessage.AResource{A: [4]byte(addr.IP.To4())})
		add(&m.Additionals, host, &dnsmessage.TXTResource{TXT: []string{"kind=box-2c", fmt.Sprintf("cell=%d", e.cell),
			fmt.Sprintf("started=%d", e.startedMs)}})
	}
	return m.Pack()
}
