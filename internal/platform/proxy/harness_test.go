package proxy

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"
	"golang.org/x/sys/unix"

	"headmill"
	"headmill/decide/discovery"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
	"headmill/internal/platform/jsonline"
)

const testTimeout = 10 * time.Second // for events that must happen; a test that waits longer has failed

// standInNode stands in for one media node: it passes what it receives to the test, which decides what is written.
type standInNode struct {
	t        *testing.T
	listener net.Listener
	name     string
	received chan nodeMessage
	mu       sync.Mutex
	conns    []net.Conn
}

// nodeMessage is a message that a stand-in media node received, with its connection.
type nodeMessage struct {
	typ              frame.Type
	id               uint64
	class, rung, sdp string
	cause            byte
	conn             net.Conn
}

// startStandInNode starts a stand-in media node.
func startStandInNode(t *testing.T, name string) *standInNode {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &standInNode{t: t, listener: ln, name: name, received: make(chan nodeMessage, 1000)}
	go node.serve(ln)
	t.Cleanup(func() { ln.Close(); node.resetConns() })
	return node
}

func (n *standInNode) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, conn)
		n.mu.Unlock()
		go n.read(conn)
	}
}

func (n *standInNode) read(conn net.Conn) {
	var r frame.Reader
	buf := make([]byte, 4096)
	for {
		size, err := conn.Read(buf)
		if err != nil {
			return
		}
		if err := r.Feed(buf[:size], func(msg *frame.Message) bool {
			n.received <- nodeMessage{msg.Type, msg.Session, string(msg.Get(frame.Class)), string(msg.Get(frame.Rung)),
				string(msg.Get(frame.SDP)), msg.Cause(), conn}
			return true
		}); err != nil {
			n.t.Errorf("%s received a malformed message: %v", n.name, err)
			return
		}
	}
}

// resetConns resets all connections.
func (n *standInNode) resetConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	n.conns = nil
}

// expect waits for the next message of a type; others are skipped.
func (n *standInNode) expect(typ frame.Type) nodeMessage {
	n.t.Helper()
	for deadline := time.After(testTimeout); ; {
		select {
		case msg := <-n.received:
			if msg.typ == typ {
				return msg
			}
		case <-deadline:
			n.t.Fatalf("%s: no message of type %d received", n.name, typ)
		}
	}
}

// receivedSetup reports whether a set-up is among the messages that have arrived; it takes them.
func (n *standInNode) receivedSetup() (found bool) {
	for len(n.received) > 0 {
		msg := <-n.received
		found = found || msg.typ == frame.Setup
	}
	return found
}

func (msg nodeMessage) sendAnswer(sdp string) {
	out, start := frame.Begin(nil, frame.Answer, msg.id)
	msg.conn.Write(frame.End(frame.AppendParameter(out, frame.SDP, sdp), start))
}

func (msg nodeMessage) sendRelease(cause byte) {
	msg.conn.Write(frame.AppendRelease(nil, msg.id, cause))
}

// harness is a director with stand-in media nodes, each alone in its cell. Every title is held by all cells.
type harness struct {
	t       *testing.T
	proxy   *Proxy
	loop    *loop.Loop
	addr    string
	nodes   []*standInNode
	dnsConn *net.UDPConn
	cfg     *Config
	done    chan struct{} // closed once the loop has ended
}

// startHarness starts a director; change may modify its configuration first.
func startHarness(t *testing.T, nodes int, change func(*Config)) *harness {
	t.Helper()
	h := &harness{t: t}
	dns, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dns.Close() })
	h.dnsConn = dns
	var hosts []string
	for i := range nodes {
		node := startStandInNode(t, fmt.Sprintf("s-%d", i))
		h.nodes = append(h.nodes, node)
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s","site":"east","class":"std","block":%d,"health":"in_service","share":1,"born_ms":0}`,
			node.name, node.listener.Addr(), i))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","dns":"%s",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"no":1,"items":[{"no":1,"roster":{"whole":true,"hosts":[%s]}}]},
		"settings":{"me":0,"replicas_of_me":1,"zone":0,"dcs":["east","west"],"skus":["std"],"discovery":"automatic",
		"allowed":{"max_attempts":3,"retry_after":true,"max_retry_after_ms":700,"connect_timeout_ms":250},
		"categories":[{"name":"paid","give_up_ms":3000,"slo_ms":1000,"semantics":"once","value":3},
			{"name":"free","give_up_ms":3000,"slo_ms":1000,"semantics":"repeatable","value":1}],
		"tenants":[{"name":"acme"}],
		"feedback":{"source":"inline","fields":["outstanding","x0","x1"]},
		"family_info":{"level_kb":[100,200],"ladder_worth":[0.5,1],"cells":%d,"racks":1,"places_by_kind":[20],
			"all_links_kb":%d,"uplink_kb":100000,"link_unit_kb":1000,"scale_by_class":[1,1],"floor_by_class":[0,0],
			"top_by_class":[1,1],"class_seats":[0,0],"switch_s":0.5,"tell_ms":2500,"told_late_ms":1000},
		"safety":{"warm_within_ms":1000,"cold_from":0.4,"answer_slack_ms":40}}}`,
		dns.LocalAddr(), strings.Join(hosts, ","), nodes, nodes*1000)
	if h.cfg, err = Parse([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(h.cfg)
	}
	if h.loop, err = loop.New(); err != nil {
		t.Fatal(err)
	}
	if h.proxy, err = New(h.cfg, h.loop, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	if err := h.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	h.addr = h.proxy.Addr()
	h.done, h.proxy.Done = make(chan struct{}), h.loop.Stop
	go func() { h.loop.Run(); close(h.done) }()
	t.Cleanup(func() { h.loop.Stop(); <-h.done })
	return h
}

// stats reads the counters on the loop's goroutine.
func (h *harness) stats() Stats {
	stats := make(chan Stats, 1)
	h.loop.Post(func() { stats <- h.proxy.stats })
	return <-stats
}

// expectSetup waits for a set-up at any media node.
func (h *harness) expectSetup() (*standInNode, nodeMessage) {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		for _, m := range h.nodes {
			select {
			case s := <-m.received:
				if s.typ == frame.Setup {
					return m, s
				}
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("no media node received a set-up")
	return nil, nodeMessage{}
}

// viewerClient is one connection of a viewer.
type viewerClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) dialViewer() *viewerClient {
	h.t.Helper()
	conn, err := net.Dial("tcp4", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	return &viewerClient{h.t, conn, bufio.NewReader(conn)}
}

func (v *viewerClient) send(format string, a ...any) { fmt.Fprintf(v.conn, format+"\n", a...) }

// sendSetup sends a set-up; extras continue after "copies:".
func (v *viewerClient) sendSetup(id, class, extras string) {
	v.send(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:%s"},"sdp":"o\r\n\"%s\""}`,
		id, class, extras, id)
}

// endSession ends a session.
func (v *viewerClient) endSession(id string) {
	v.send(`{"type":"release","id":"%s","fields":{},"cause":16}`, id)
}

// expectEndConfirmed waits for the confirmation of endSession.
func (v *viewerClient) expectEndConfirmed() {
	v.t.Helper()
	if reply := v.receive(); reply.Type != "released" {
		v.t.Fatalf("%+v", reply)
	}
}

// receivedLine is a line from the director.
type receivedLine struct {
	Type, ID, SDP string
	Cause         int
	Fields        map[string]string
}

// receive waits for the next line.
func (v *viewerClient) receive() receivedLine {
	v.t.Helper()
	v.conn.SetReadDeadline(time.Now().Add(testTimeout))
	text, err := v.reader.ReadString('\n')
	var line receivedLine
	if err == nil {
		err = json.Unmarshal([]byte(text), &line)
	}
	if err != nil {
		v.t.Fatalf("line %q: %v", text, err)
	}
	return line
}

// expectClosed waits for the connection's end and returns what was written before it.
func (v *viewerClient) expectClosed() string {
	v.t.Helper()
	v.conn.SetReadDeadline(time.Now().Add(testTimeout))
	b, err := io.ReadAll(v.reader)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		v.t.Fatal("the connection was not closed")
	}
	return string(b)
}

const (
	// Session ids as text; as numbers they are 0xa1 and 0xa2.
	id1 = "00000000000000a1"
	id2 = "00000000000000a2"
)

// waitFor waits until f is true; failure describes the state that is left otherwise.
func (h *harness) waitFor(failure string, f func(Stats) bool) {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); !f(h.stats()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("%s: %+v", failure, h.stats())
		}
	}
}

// fullBacklogListener returns an address at which connects do not complete until its listener accepts, since its backlog
// is full.
func fullBacklogListener(t *testing.T) (string, net.Listener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "unresponsive")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	for range 20 {
		conn, err := net.DialTimeout("tcp4", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln.Addr().String(), ln
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the backlog does not fill")
	return "", nil
}

// setNodeList applies a node list of one media node.
func (h *harness) setNodeList(state, addr string) {
	h.t.Helper()
	h.runOnLoop(func() {
		err := h.proxy.applyNodeList(&discovery.Message{Version: h.proxy.nodeList.Version() + 1, Full: true,
			Entries: []discovery.Entry{{Name: "s-0", Addr: addr, State: state, Weight: 1}}})
		if err != nil {
			h.t.Error(err)
		}
	})
}

// serveDNS answers the director's queries from now on, as the platform's discovery service does.
func (h *harness) serveDNS(serial uint32, draining func(i int) bool) {
	name := dnsmessage.MustNewName
	var answer dnsmessage.Message
	add := func(section *[]dnsmessage.Resource, owner string, body dnsmessage.ResourceBody) {
		*section = append(*section, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: name(owner), Class: dnsmessage.ClassINET}, Body: body})
	}
	for i, node := range h.nodes {
		host, addr := node.name+".east.hosts.", node.listener.Addr().(*net.TCPAddr)
		srv := &dnsmessage.SRVResource{Weight: 10, Port: uint16(addr.Port), Target: name(host)}
		if draining(i) {
			srv.Priority = 1
		}
		add(&answer.Answers, serviceName, srv)
		add(&answer.Additionals, host, &dnsmessage.AResource{A: [4]byte(addr.IP.To4())})
		add(&answer.Additionals, host, &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", i), "started=0"}})
	}
	add(&answer.Authorities, "svc.local.", &dnsmessage.SOAResource{NS: name("ns."), MBox: name("m."), Serial: serial})
	go func() {
		for buf := make([]byte, 512); ; {
			size, from, err := h.dnsConn.ReadFromUDP(buf)
			if err != nil {
				return
			}
			var query dnsmessage.Message
			if query.Unpack(buf[:size]) != nil {
				continue
			}
			answer.Header = dnsmessage.Header{ID: query.ID, Response: true}
			if out, err := answer.Pack(); err == nil {
				h.dnsConn.WriteToUDP(out, from)
			}
		}
	}()
}

// sessionCount returns the number of sessions in the table.
func (h *harness) sessionCount() (count int) {
	h.runOnLoop(func() { count = len(h.proxy.sessions) })
	return count
}

// playSession sets up a session and answers it.
func (h *harness) playSession(v *viewerClient, id string) (*standInNode, nodeMessage) {
	h.t.Helper()
	v.sendSetup(id, "free", "1;top:0")
	node, setup := h.expectSetup()
	setup.sendAnswer("x")
	if reply := v.receive(); reply.Type != "answer" || reply.ID != id {
		h.t.Fatalf("the session is not set up: %+v", reply)
	}
	return node, setup
}

// expectViewerConns waits until the director has the given number of connections from viewers.
func (h *harness) expectViewerConns(want int) {
	h.t.Helper()
	h.waitFor("connections from viewers", func(Stats) bool {
		count := make(chan int, 1)
		h.loop.Post(func() { count <- h.proxy.connManager.Len() })
		return <-count == want
	})
}

// sendExistingSession names a session that already plays at a media node, as viewers do after a director's start: with a
// time left that exceeds every class deadline.
func (v *viewerClient) sendExistingSession(id, nodeName string) {
	v.send(`{"type":"setup","id":"%s","fields":{"class":"free","left":"4294967","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;at:%s"},"sdp":"x"}`,
		id, nodeName)
}

// adoptSession makes the director adopt a session that plays at the first media node.
func (h *harness) adoptSession(v *viewerClient, id string) *standInNode {
	h.t.Helper()
	before := h.stats().Opened
	v.sendExistingSession(id, h.nodes[0].name)
	h.waitFor("the session is not adopted", func(stats Stats) bool { return stats.Opened > before })
	return h.nodes[0]
}

// anyConn waits for a connection from the director and returns it.
func (n *standInNode) anyConn() net.Conn {
	n.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		n.mu.Lock()
		if len(n.conns) > 0 {
			defer n.mu.Unlock()
			return n.conns[0]
		}
		n.mu.Unlock()
	}
	n.t.Fatalf("%s: the director has opened no connection", n.name)
	return nil
}

// runOnLoop runs f on the loop's goroutine and waits for it.
func (h *harness) runOnLoop(f func()) {
	done := make(chan struct{})
	h.loop.Post(func() { f(); close(done) })
	<-done
}

// session returns a session by its protocol id.
func (h *harness) session(id string) (found *session) {
	h.t.Helper()
	sessionID, _ := jsonline.ParseID(id)
	h.runOnLoop(func() { found = h.proxy.sessions[sessionID] })
	if found == nil {
		h.t.Fatalf("no session %s", id)
	}
	return found
}

// setRung carries out an action of the module that sets a rung.
func (h *harness) setRung(s *session, rung int) {
	h.runOnLoop(func() {
		h.proxy.applyModuleAction(&headmill.Action{Kind: headmill.ActSetRung, Session: s.moduleID, Rung: rung})
	})
}

// sendFeedback sends feedback and waits until the director has read it: a ping after it on the same connection is
// answered later.
func (h *harness) sendFeedback(n *standInNode, id uint64, kind string, value float64) {
	conn := n.anyConn()
	out, start := frame.Begin(nil, frame.Feedback, id)
	out = frame.End(frame.AppendParameter(frame.AppendParameter(out, frame.FeedbackKind, kind),
		frame.FeedbackValue, fmt.Sprint(value)), start)
	out, start = frame.Begin(out, frame.Ping, id)
	conn.Write(frame.End(frame.AppendParameter(out, frame.Cause, []byte{0}), start))
	n.expect(frame.Pong)
}

// expectUnconfirmed waits until the given number of releases is unconfirmed.
func (h *harness) expectUnconfirmed(want int) {
	h.t.Helper()
	h.waitFor("releases that no viewer has confirmed", func(Stats) (ok bool) {
		h.runOnLoop(func() { ok = h.proxy.retransmitter.Len() == want })
		return ok
	})
}
