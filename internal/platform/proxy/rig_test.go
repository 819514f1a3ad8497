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

const patience = 10 * time.Second // for what must come; a test that waits so long has failed

// media is one media node: what comes goes to the test, which says what is written.
type media struct {
	t     *testing.T
	ln    net.Listener
	name  string
	got   chan seen
	mu    sync.Mutex
	conns []net.Conn
}

// seen is a message with the connection that it came on.
type seen struct {
	typ              frame.Type
	id               uint64
	class, rung, sdp string
	cause            byte
	c                net.Conn
}

func startMedia(t *testing.T, name string) *media {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &media{t: t, ln: ln, name: name, got: make(chan seen, 1000)}
	go m.serve(ln)
	t.Cleanup(func() { ln.Close(); m.cut() })
	return m
}

func (m *media) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		go m.read(c)
	}
}

func (m *media) read(c net.Conn) {
	var r frame.Reader
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		if err := r.Feed(b[:n], func(x *frame.Message) bool {
			m.got <- seen{x.Type, x.Session, string(x.Get(frame.Class)), string(x.Get(frame.Rung)), string(x.Get(frame.SDP)), x.Cause(), c}
			return true
		}); err != nil {
			m.t.Errorf("%s got what it can't read: %v", m.name, err)
			return
		}
	}
}

// cut resets all connections.
func (m *media) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	m.conns = nil
}

// want waits for the next message of a type; others are passed over.
func (m *media) want(typ frame.Type) seen {
	m.t.Helper()
	for late := time.After(patience); ; {
		select {
		case s := <-m.got:
			if s.typ == typ {
				return s
			}
		case <-late:
			m.t.Fatalf("%s: no message of type %d came", m.name, typ)
		}
	}
}

func (s seen) answer(sdp string) {
	out, at := frame.Begin(nil, frame.Answer, s.id)
	s.c.Write(frame.End(frame.Add(out, frame.SDP, sdp), at))
}

func (s seen) release(cause byte) { s.c.Write(frame.AppendRelease(nil, s.id, cause)) }

// rig is a director with its media nodes, each alone in its cell; every title is held by all.
type rig struct {
	t     *testing.T
	n     *Proxy
	l     *loop.Loop
	addr  string
	nodes []*media
	dns   *net.UDPConn
	cfg   *Config
	done  chan struct{} // closed once the loop has ended
}

func startRig(t *testing.T, nodes int, change func(*Config)) *rig {
	t.Helper()
	r := &rig{t: t}
	dns, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dns.Close() })
	r.dns = dns
	var hosts []string
	for i := range nodes {
		m := startMedia(t, fmt.Sprintf("s-%d", i))
		r.nodes = append(r.nodes, m)
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s","site":"east","class":"std","block":%d,"health":"in_service","share":1,"born_ms":0}`,
			m.name, m.ln.Addr(), i))
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
	if r.cfg, err = Parse([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(r.cfg)
	}
	if r.l, err = loop.New(); err != nil {
		t.Fatal(err)
	}
	if r.n, err = New(r.cfg, r.l, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	if err := r.n.Start(); err != nil {
		t.Fatal(err)
	}
	r.addr = r.n.Addr()
	r.done, r.n.Done = make(chan struct{}), r.l.Stop
	go func() { r.l.Run(); close(r.done) }()
	t.Cleanup(func() { r.l.Stop(); <-r.done })
	return r
}

// stats asks for the counters on the loop's goroutine.
func (r *rig) stats() Stats {
	ch := make(chan Stats, 1)
	r.l.Post(func() { ch <- r.n.stats })
	return <-ch
}

// setup waits for a set-up at any media node.
func (r *rig) setup() (*media, seen) {
	r.t.Helper()
	for late := time.Now().Add(patience); time.Now().Before(late); {
		for _, m := range r.nodes {
			select {
			case s := <-m.got:
				if s.typ == frame.Setup {
					return m, s
				}
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Fatal("no set-up came to any media node")
	return nil, seen{}
}

// caller is one connection from viewers.
type caller struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (r *rig) call() *caller {
	r.t.Helper()
	c, err := net.Dial("tcp4", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &caller{r.t, c, bufio.NewReader(c)}
}

func (c *caller) say(format string, a ...any) { fmt.Fprintf(c.c, format+"\n", a...) }

func (c *caller) ask(id, class, extras string) {
	c.say(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:%s"},"sdp":"o\r\n\"%s\""}`,
		id, class, extras, id)
}

type reply struct {
	Type, ID, SDP string
	Cause         int
	Fields        map[string]string
}

// hear waits for the next line.
func (c *caller) hear() reply {
	c.t.Helper()
	c.c.SetReadDeadline(time.Now().Add(patience))
	line, err := c.r.ReadString('\n')
	var v reply
	if err == nil {
		err = json.Unmarshal([]byte(line), &v)
	}
	if err != nil {
		c.t.Fatalf("line %q: %v", line, err)
	}
	return v
}

// closed waits for the connection's end; what is written before it is returned.
func (c *caller) closed() string {
	c.t.Helper()
	c.c.SetReadDeadline(time.Now().Add(patience))
	b, err := io.ReadAll(c.r)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		c.t.Fatal("the connection stays open")
	}
	return string(b)
}

const (
	id1 = "00000000000000a1"
	id2 = "00000000000000a2"
)

func (r *rig) wait(what string, f func(Stats) bool) {
	r.t.Helper()
	for late := time.Now().Add(patience); !f(r.stats()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(late) {
			r.t.Fatalf("%s: %+v", what, r.stats())
		}
	}
}

// blackHole is an address at which connections don't come up, since its queue is full, until somebody takes them.
func blackHole(t *testing.T) (string, net.Listener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "hole")
	ln, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	for range 20 {
		c, err := net.DialTimeout("tcp4", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln.Addr().String(), ln
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue never fills")
	return "", nil
}

// takes hands the director a list of one media node.
func (r *rig) takes(state, addr string) {
	r.t.Helper()
	r.on(func() {
		err := r.n.take(&discovery.Message{Version: r.n.list.Version() + 1, Full: true, Entries: []discovery.Entry{{Name: "s-0", Addr: addr,
			State: state, Weight: 1}}})
		if err != nil {
			r.t.Error(err)
		}
	})
}

// tells answers the director's questions from now on, as the platform's name service does.
func (r *rig) tells(no uint32, draining func(i int) bool) {
	name := dnsmessage.MustNewName
	var m dnsmessage.Message
	add := func(part *[]dnsmessage.Resource, n string, body dnsmessage.ResourceBody) {
		*part = append(*part, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: name(n), Class: dnsmessage.ClassINET}, Body: body})
	}
	for i, x := range r.nodes {
		host, at := x.name+".east.hosts.", x.ln.Addr().(*net.TCPAddr)
		srv := &dnsmessage.SRVResource{Weight: 10, Port: uint16(at.Port), Target: name(host)}
		if draining(i) {
			srv.Priority = 1
		}
		add(&m.Answers, service, srv)
		add(&m.Additionals, host, &dnsmessage.AResource{A: [4]byte(at.IP.To4())})
		add(&m.Additionals, host, &dnsmessage.TXTResource{TXT: []string{"kind=std", fmt.Sprint("cell=", i), "started=0"}})
	}
	add(&m.Authorities, "svc.local.", &dnsmessage.SOAResource{NS: name("ns."), MBox: name("m."), Serial: no})
	go func() {
		for b := make([]byte, 512); ; {
			n, from, err := r.dns.ReadFromUDP(b)
			if err != nil {
				return
			}
			var q dnsmessage.Message
			if q.Unpack(b[:n]) != nil {
				continue
			}
			m.Header = dnsmessage.Header{ID: q.ID, Response: true}
			if out, err := m.Pack(); err == nil {
				r.dns.WriteToUDP(out, from)
			}
		}
	}()
}

// count is how many sessions the director holds.
func (r *rig) count() (n int) {
	r.on(func() { n = len(r.n.sessions) })
	return n
}

// plays brings a session to stand.
func (r *rig) plays(v *caller, id string) (*media, seen) {
	r.t.Helper()
	v.ask(id, "free", "1;top:0")
	m, s := r.setup()
	s.answer("x")
	if e := v.hear(); e.Type != "answer" || e.ID != id {
		r.t.Fatalf("not set up: %+v", e)
	}
	return m, s
}

// connections waits until the director holds so many from viewers.
func (r *rig) connections(want int) {
	r.t.Helper()
	r.wait("connections from viewers", func(Stats) bool {
		ch := make(chan int, 1)
		r.l.Post(func() { ch <- r.n.door.Len() })
		return <-ch == want
	})
}

// playing names a session that plays at a media node, as viewers do after a director's start: with a time that no
// class has.
func (c *caller) playing(id, at string) {
	c.say(`{"type":"setup","id":"%s","fields":{"class":"free","left":"4294967","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1;at:%s"},"sdp":"x"}`, id, at)
}

// adopts brings a session of the start to stand at the first media node.
func (r *rig) adopts(v *caller, id string) *media {
	r.t.Helper()
	before := r.stats().Opened
	v.playing(id, r.nodes[0].name)
	r.wait("not taken", func(st Stats) bool { return st.Opened > before })
	return r.nodes[0]
}

// any waits for a connection that the director keeps there.
func (m *media) any() net.Conn {
	m.t.Helper()
	for late := time.Now().Add(patience); time.Now().Before(late); time.Sleep(time.Millisecond) {
		m.mu.Lock()
		if len(m.conns) > 0 {
			defer m.mu.Unlock()
			return m.conns[0]
		}
		m.mu.Unlock()
	}
	m.t.Fatalf("%s: the director keeps no connection", m.name)
	return nil
}

// on runs f on the loop's goroutine and waits for it.
func (r *rig) on(f func()) {
	done := make(chan struct{})
	r.l.Post(func() { f(); close(done) })
	<-done
}

func (r *rig) standing(id string) (s *session) {
	r.t.Helper()
	no, _ := jsonline.ParseID(id)
	r.on(func() { s = r.n.sessions[no] })
	if s == nil {
		r.t.Fatalf("no session %s", id)
	}
	return s
}

// sets plays the module's word on a rung.
func (r *rig) sets(s *session, rung int) {
	r.on(func() { r.n.fromModule(&headmill.Action{Kind: headmill.ActSetRung, Session: s.no, Rung: rung}) })
}

// note sends a note and waits until it has been read: the next word on the connection is answered after it.
func (r *rig) note(m *media, id uint64, sort string, value float64) {
	c := m.any()
	out, at := frame.Begin(nil, frame.Note, id)
	out = frame.End(frame.Add(frame.Add(out, frame.Sort, sort), frame.Value, fmt.Sprint(value)), at)
	out, at = frame.Begin(out, frame.Ping, id)
	c.Write(frame.End(frame.Add(out, frame.Cause, []byte{0}), at))
	m.want(frame.Pong)
}

// pending waits until so many releases have not been confirmed.
func (r *rig) pending(want int) {
	r.t.Helper()
	r.wait("releases that no viewer has confirmed", func(Stats) (ok bool) {
		r.on(func() { ok = r.n.pending.Len() == want })
		return ok
	})
}
