package faults

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// listEntry is a media node as the discovery service lists it.
type listEntry struct {
	draining, gone bool
	startedMs      int64 // Unix time of a late start, ms
}

// nodeList is the discovery service's list, which all its endpoints serve.
type nodeList struct {
	world   *world
	mu      sync.Mutex
	version uint32
	entries map[string]*listEntry
	history []listEvent
}

// listEvent is one drain, removal or return of a media node.
type listEvent struct {
	node    string
	ready   bool
	at      time.Duration
	version uint32
}

func (l *nodeList) init(w *world) {
	l.world, l.version, l.entries = w, 1, map[string]*listEntry{}
	for _, n := range w.allNodes() {
		l.entries[n.name] = &listEntry{}
	}
}

// set changes the entry of a media node.
func (l *nodeList) set(n *mediaNode, draining, gone bool) {
	l.mu.Lock()
	l.version++
	e := l.entries[n.name]
	if e.gone && !gone { // another process at the same address
		e.startedMs = time.Now().UnixMilli()
	}
	e.draining, e.gone = draining, gone
	version := l.version
	l.history = append(l.history, listEvent{n.name, !draining && !gone, l.world.now(), version})
	l.mu.Unlock()
	l.world.note("list v%d: %s draining=%v gone=%v", version, n.name, draining, gone)
}

// startedAnew shows the start of a media node's process, as of now.
func (l *nodeList) startedAnew(n *mediaNode) { l.startedAnewAt(n, time.Now()) }

// startedAnewAt shows the start of a media node's process.
func (l *nodeList) startedAnewAt(n *mediaNode, at time.Time) {
	l.mu.Lock()
	l.version++
	l.entries[n.name].startedMs = at.UnixMilli()
	version := l.version
	l.mu.Unlock()
	l.world.note("list v%d: %s has started anew", version, n.name)
}

// replace takes a media node off the list and adds its successor. The lock is held.
func (l *nodeList) replace(old, fresh *mediaNode, startedMs int64) {
	l.version++
	*l.entries[old.name] = listEntry{gone: true}
	l.entries[fresh.name] = &listEntry{startedMs: startedMs}
	l.history = append(l.history, listEvent{old.name, false, l.world.now(), l.version},
		listEvent{fresh.name, true, l.world.now(), l.version})
	l.world.note("list v%d: %s is replaced by %s", l.version, old.name, fresh.name)
}

func (l *nodeList) isGone(n *mediaNode) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[n.name].gone
}

// snapshotJSON is the list in the form of a director's configuration.
func (l *nodeList) snapshotJSON(director int) (string, uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []string
	for _, n := range l.world.allNodes() {
		e := l.entries[n.name]
		if e.gone {
			continue
		}
		health := "in_service"
		if e.draining {
			health = "terminating"
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s","site":"east","class":"std","block":%d,"health":"%s","share":1,"born_ms":%d}`,
			n.name, n.faces[director].addr, n.cell, health, e.startedMs))
	}
	return fmt.Sprintf(`{"no":%d,"items":[{"no":%d,"roster":{"whole":true,"hosts":[%s]}}]}`, l.version, l.version,
		strings.Join(hosts, ",")), l.version
}

// discoveryMode is what an endpoint does with queries.
type discoveryMode uint8

const (
	discoveryUp discoveryMode = iota
	discoverySilent
	discoveryFails // answers with a server failure
	discoveryCut   // answers cut short
	discoveryOtherID
	discoveryOld  // every second answer has an older list
	discoveryDown // nothing listens
	discoverySlow // answers with the list of the moment, but late
	discoveryModes

	discoveryOldInARow // every answer has an older list; not in the soak, see TestOldListsAfterAStart
)

// discoveryEndpoint is the name service as one director reaches it: an address that answers, and may move.
type discoveryEndpoint struct {
	director *director
	mu       sync.Mutex
	conn     *net.UDPConn
	closed   bool // nothing listens
	older    bool // the last answer had an older list
	olderRun int  // so many further answers have an older list
	mode     discoveryMode
	delay    time.Duration            // of answers in discoverySlow
	upSince  time.Duration            // when it last came back or moved; 0: never in trouble
	told     map[uint32]time.Duration // when an answer with this version was first sent
	answered []dnsmessage.Message     // one answer of each version, the last ones
}

func newDiscoveryEndpoint(d *director) *discoveryEndpoint {
	e := &discoveryEndpoint{director: d, told: map[uint32]time.Duration{}}
	e.move()
	return e
}

// move opens a new address; the old one no longer answers.
func (e *discoveryEndpoint) move() {
	network := e.director.world.network
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, byte(network.second), byte(network.third), firstDiscovery)})
	if err != nil {
		e.director.world.t.Error(err)
		return
	}
	e.mu.Lock()
	if e.conn != nil {
		e.conn.Close()
		e.upSince = e.director.world.now()
	}
	e.conn, e.closed = conn, false
	e.mu.Unlock()
	go e.serve(conn)
}

func (e *discoveryEndpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.Close()
}

func (e *discoveryEndpoint) addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn.LocalAddr().String()
}

// wasTold tells whether the present list was sent.
func (e *discoveryEndpoint) wasTold() bool {
	e.director.world.list.mu.Lock()
	version := e.director.world.list.version
	e.director.world.list.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, told := e.told[version]
	return told
}

// sendOlder lets the next answers bring the list before the last change.
func (e *discoveryEndpoint) sendOlder(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.olderRun = count
}

// takesOlder tells whether the next answer has an older list.
func (e *discoveryEndpoint) takesOlder(mode discoveryMode) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mode == discoveryUp && e.olderRun > 0 {
		e.olderRun--
		return true
	}
	return false
}

func (e *discoveryEndpoint) setMode(mode discoveryMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mode != discoveryUp && mode == discoveryUp {
		e.upSince = e.director.world.now()
	}
	if mode == discoveryDown && !e.closed {
		e.conn.Close()
		e.closed = true
	}
	if mode != discoveryDown && e.closed {
		e.listenAgain()
	}
	e.mode = mode
}

// listenAgain opens the address that was closed. The endpoint's lock is held.
func (e *discoveryEndpoint) listenAgain() {
	conn, err := net.ListenUDP("udp4", e.conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		e.director.world.t.Errorf("discovery cannot listen again: %v", err)
		return
	}
	e.conn, e.closed = conn, false
	go e.serve(conn)
}

// previous is the answer before the present version's, if there is one. The endpoint's lock is held.
func (e *discoveryEndpoint) previous(now dnsmessage.Message, version uint32) dnsmessage.Message {
	if n := len(e.answered); n == 0 || e.answered[n-1].Authorities[0].Body.(*dnsmessage.SOAResource).Serial != version {
		e.answered = append(e.answered[max(n-1, 0):], now)
	}
	return e.answered[0]
}

func (e *discoveryEndpoint) serve(conn *net.UDPConn) {
	for buf := make([]byte, 1024); ; {
		size, from, err := conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var query dnsmessage.Message
		if query.Unpack(buf[:size]) != nil {
			continue
		}
		e.mu.Lock()
		mode, delay := e.mode, e.delay
		e.mu.Unlock()
		switch mode {
		case discoverySilent, discoveryDown:
		case discoverySlow:
			asking := e.director.process()
			e.director.world.after(delay, func() {
				if e.director.process() == asking { // else nobody is told
					e.sendAnswer(conn, from, query.ID, discoveryUp)
				}
			})
		default:
			e.sendAnswer(conn, from, query.ID, mode)
		}
	}
}

// sendAnswer answers a query.
func (e *discoveryEndpoint) sendAnswer(conn *net.UDPConn, to *net.UDPAddr, id uint16, mode discoveryMode) {
	if e.takesOlder(mode) {
		mode = discoveryOldInARow
	}
	out, version := e.answer(id, mode)
	_, err := conn.WriteToUDP(out, to)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.told[version]; !ok && err == nil && mode == discoveryUp && conn == e.conn && !e.closed {
		e.told[version] = e.director.world.now()
	}
}

// slowDown lets answers come late from now on.
func (e *discoveryEndpoint) slowDown(delay time.Duration) {
	e.setMode(discoverySlow)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = delay
}

// answer packs the list, or what an endpoint in trouble sends instead.
func (e *discoveryEndpoint) answer(id uint16, mode discoveryMode) ([]byte, uint32) {
	l := &e.director.world.list
	l.mu.Lock()
	defer l.mu.Unlock()
	name := dnsmessage.MustNewName
	answer := dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: true}}
	add := func(section *[]dnsmessage.Resource, owner string, body dnsmessage.ResourceBody) {
		*section = append(*section, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: name(owner), Class: dnsmessage.ClassINET}, Body: body})
	}
	for _, n := range l.world.allNodes() {
		entry := l.entries[n.name]
		if entry.gone {
			continue
		}
		host, addr := n.name+".east.hosts.", n.faces[e.director.index].tcpAddr
		srv := &dnsmessage.SRVResource{Weight: 10, Port: uint16(addr.Port), Target: name(host)}
		if entry.draining {
			srv.Priority = 1
		}
		add(&answer.Answers, "_api._tcp.svc.local.", srv)
		add(&answer.Additionals, host, &dnsmessage.AResource{A: [4]byte(addr.IP.To4())})
		add(&answer.Additionals, host, &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", n.cell),
			fmt.Sprint("started=", entry.startedMs)}})
	}
	add(&answer.Authorities, "svc.local.", &dnsmessage.SOAResource{NS: name("ns."), MBox: name("m."), Serial: l.version})
	e.mu.Lock()
	previous := e.previous(answer, l.version)
	e.mu.Unlock()
	switch mode {
	case discoveryOld, discoveryOldInARow:
		previous.Header.ID = id
		if e.older = !e.older || mode == discoveryOldInARow; e.older {
			answer = previous
		}
	case discoveryFails:
		answer = dnsmessage.Message{Header: dnsmessage.Header{ID: id, Response: true, RCode: dnsmessage.RCodeServerFailure}}
	case discoveryOtherID:
		answer.ID += 777
	}
	out, err := answer.Pack()
	if err != nil {
		e.director.world.t.Error(err)
	}
	if mode == discoveryCut {
		out = out[:len(out)/2]
	}
	return out, l.version
}
