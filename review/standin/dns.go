package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// nameService answers the SRV queries of the director with the whole list.
type nameService struct {
	w    *world
	conn *net.UDPConn
	mu   sync.Mutex
	// hook may replace the list of one answer, delay it, or drop it; n counts the queries. An answer that is delayed has
	// the list of the moment at which it is sent.
	hook func(n int) (list []listEntry, version int, delay time.Duration, drop bool)
	n    int
	// sent is called once an answer with a version is sent.
	sent func(version int)
}

func newNameService(w *world) (*nameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &nameService{w: w, conn: conn}
	go s.serve()
	return s, nil
}

func (s *nameService) addr() string { return s.conn.LocalAddr().String() }

func (s *nameService) setHook(f func(n int) ([]listEntry, int, time.Duration, bool)) {
	s.mu.Lock()
	s.hook = f
	s.mu.Unlock()
}

func (s *nameService) serve() {
	buf := make([]byte, 2048)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var q dnsmessage.Message
		if q.Unpack(buf[:size]) != nil || len(q.Questions) != 1 {
			continue
		}
		var list []listEntry
		version := 0
		s.mu.Lock()
		s.n++
		var delay time.Duration
		drop := false
		if s.hook != nil {
			if l, v, d, dr := s.hook(s.n); dr || l != nil || d > 0 {
				delay, drop = d, dr
				if l != nil {
					list, version = l, v
				}
			}
		}
		s.mu.Unlock()
		if drop {
			continue
		}
		fixed := list != nil
		send := func() {
			if !fixed {
				s.w.mu.Lock()
				list, version = append([]listEntry(nil), s.w.list...), s.w.version
				s.w.mu.Unlock()
			}
			answer, err := buildAnswer(q.ID, q.Questions[0], list, version)
			if err != nil {
				panic(err)
			}
			s.conn.WriteToUDPAddrPort(answer, from)
			s.w.told(version)
			s.mu.Lock()
			f := s.sent
			s.mu.Unlock()
			if f != nil {
				f(version)
			}
		}
		if delay > 0 {
			time.AfterFunc(delay, send)
		} else {
			send()
		}
	}
}

// buildAnswer is the answer in the form of the protocol's page.
func buildAnswer(id uint16, q dnsmessage.Question, list []listEntry, version int) ([]byte, error) {
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: true, Authoritative: true},
		Questions: []dnsmessage.Question{q}}
	for _, e := range list {
		ap, err := netip.ParseAddrPort(e.addr)
		if err != nil {
			return nil, err
		}
		name := dnsmessage.MustNewName(e.name + ".floor-2.hosts.")
		priority := uint16(0)
		if e.draining {
			priority = 1
		}
		m.Answers = append(m.Answers, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: q.Name, Class: dnsmessage.ClassINET, TTL: 1},
			Body:   &dnsmessage.SRVResource{Priority: priority, Weight: 10, Port: ap.Port(), Target: name}})
		m.Additionals = append(m.Additionals, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET, TTL: 1},
			Body:   &dnsmessage.AResource{A: ap.Addr().As4()}}, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET, TTL: 1},
			Body: &dnsmessage.TXTResource{TXT: []string{"kind=box-2c", fmt.Sprintf("cell=%d", e.cell),
				fmt.Sprintf("started=%d", e.startedMs)}}})
	}
	m.Authorities = []dnsmessage.Resource{{
		Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName("svc.local."), Class: dnsmessage.ClassINET, TTL: 1},
		Body: &dnsmessage.SOAResource{NS: dnsmessage.MustNewName("ns.svc.local."), MBox: dnsmessage.MustNewName("ns.svc.local."),
			Serial: uint32(version)}}}
	return m.Pack()
}

// told notes that an answer with a number has been sent.
func (w *world) told(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.leftNo > 0 && n.leftNo <= version && n.toldAt == 0 {
			n.toldAt = w.ms()
			w.logf("name service: the director is told that %s drains or has gone", n.name)
		}
	}
}

// drain changes a media node on the list to draining, or removes it.
func (w *world) drain(n *node, gone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []listEntry
	for _, e := range w.list {
		if e.name == n.name {
			if gone {
				continue
			}
			e.draining = true
		}
		list = append(list, e)
	}
	w.list = list
	w.version++
	if n.leftAt == 0 {
		n.leftAt, n.leftNo = w.ms(), w.version
	}
	w.logf("name service: number %d: %s, gone %v", w.version, n.name, gone)
}
