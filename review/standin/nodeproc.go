package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"headmill/internal/platform/frame"
)

// nodeEvent is what a media node that is a process of its own reports to the case, one line of JSON each.
type nodeEvent struct {
	Event string  `json:"event"` // listens, setup, answer, givenup, over
	Addr  string  `json:"addr,omitempty"`
	ID    uint64  `json:"id,omitempty"`
	Why   string  `json:"why,omitempty"`
	AtMs  float64 `json:"at_ms"` // Unix time
}

// nodeProcess is a media node in a process of its own, which can be stopped and continued by signals. It does what the
// protocol's page says of a media node and nothing else: it answers set-ups after some work, plays sessions to their end
// and then says so on the connection of the set-up, otherwise on any open one, and on the next one opened.
type nodeProcess struct {
	mu       sync.Mutex
	name     string
	p        params
	conns    map[*procConn]bool
	sessions map[uint64]*procSession
	unsent   map[uint64]byte
}

type procConn struct {
	p     *nodeProcess
	conn  net.Conn
	open  map[uint64]int // set-ups without an answer, and their rungs
	ended bool
}

type procSession struct {
	conn  *procConn
	rung  int
	timer *time.Timer
}

// runNodeProcess is the process: NAME, and the settings of the case as JSON.
func runNodeProcess(name, settingsText string) {
	p := &nodeProcess{name: name, conns: map[*procConn]bool{}, sessions: map[uint64]*procSession{}, unsent: map[uint64]byte{}}
	if err := json.Unmarshal([]byte(settingsText), &p.p); err != nil {
		panic(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p.say(nodeEvent{Event: "listens", Addr: ln.Addr().String()})
	go func() { // the case holds the other end of standard input
		os.Stdin.Read(make([]byte, 1))
		os.Exit(0)
	}()
	go p.notes()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		pc := &procConn{p: p, conn: c, open: map[uint64]int{}}
		p.mu.Lock()
		p.conns[pc] = true
		for id, cause := range p.unsent {
			c.Write(releaseFrame(id, cause, ""))
		}
		clear(p.unsent)
		p.mu.Unlock()
		go pc.read()
	}
}

func (p *nodeProcess) say(e nodeEvent) {
	e.AtMs = float64(time.Now().UnixMicro()) / 1000
	b, _ := json.Marshal(e)
	os.Stdout.Write(append(b, '\n'))
}

func (pc *procConn) read() {
	p := pc.p
	var reader frame.Reader
	buf := make([]byte, 32<<10)
	for {
		pc.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
		size, err := pc.conn.Read(buf)
		if err != nil {
			break
		}
		if reader.Feed(buf[:size], func(m *frame.Message) bool {
			p.mu.Lock()
			pc.handle(m)
			p.mu.Unlock()
			return true
		}) != nil {
			break
		}
	}
	pc.conn.Close()
	p.mu.Lock()
	pc.ended = true
	delete(p.conns, pc)
	for id := range pc.open {
		p.say(nodeEvent{Event: "givenup", ID: id, Why: "connection closed"})
	}
	clear(pc.open)
	p.mu.Unlock()
}

func (pc *procConn) handle(m *frame.Message) {
	p := pc.p
	switch m.Type {
	case frame.Setup:
		id := m.Session
		rung, _ := strconv.Atoi(string(m.Get(frame.Rung)))
		p.say(nodeEvent{Event: "setup", ID: id})
		pc.open[id] = rung
		sdp := "s=" + p.name + "\r\ni=" + string(m.Get(frame.SDP)) + "\r\n"
		work := p.p.WorkMs[0] + rand.Float64()*(p.p.WorkMs[1]-p.p.WorkMs[0])
		time.AfterFunc(time.Duration(work*float64(time.Millisecond)), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if _, ok := pc.open[id]; ok && !pc.ended {
				pc.answer(id, sdp)
			}
		})
	case frame.Release:
		if _, ok := pc.open[m.Session]; ok {
			delete(pc.open, m.Session)
			p.say(nodeEvent{Event: "givenup", ID: m.Session, Why: "given up by the director"})
		} else if s := p.sessions[m.Session]; s != nil {
			p.end(m.Session, s, causeCancelled, "released by the director")
		}
	case frame.Rate:
		if s := p.sessions[m.Session]; s != nil {
			s.rung, _ = strconv.Atoi(string(m.Get(frame.Rung)))
		}
	case frame.Ping:
		out, start := frame.Begin(nil, frame.Pong, m.Session)
		pc.conn.Write(frame.End(frame.AppendParameter(out, frame.Cause, []byte{1}), start))
	}
}

func (pc *procConn) answer(id uint64, sdp string) {
	p := pc.p
	s := &procSession{conn: pc, rung: pc.open[id]}
	delete(pc.open, id)
	p.sessions[id] = s
	life := p.p.LifeMs[0] + rand.Float64()*(p.p.LifeMs[1]-p.p.LifeMs[0])
	s.timer = time.AfterFunc(time.Duration(life*float64(time.Millisecond)), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.sessions[id] == s {
			p.end(id, s, causeNormal, "its own end")
		}
	})
	p.say(nodeEvent{Event: "answer", ID: id})
	out, start := frame.Begin(nil, frame.Answer, id)
	pc.conn.Write(append(frame.End(frame.AppendParameter(out, frame.SDP, sdp), start), p.note(id, "port")...))
}

func (p *nodeProcess) end(id uint64, s *procSession, cause byte, why string) {
	s.timer.Stop()
	delete(p.sessions, id)
	p.say(nodeEvent{Event: "over", ID: id, Why: why})
	p.unsent[id] = cause
	if pc := p.connOf(s); pc != nil {
		pc.conn.Write(releaseFrame(id, cause, ""))
	}
}

// connOf is the connection of a session's set-up, otherwise any open one.
func (p *nodeProcess) connOf(s *procSession) *procConn {
	if !s.conn.ended {
		return s.conn
	}
	for pc := range p.conns {
		return pc
	}
	return nil
}

func (p *nodeProcess) note(id uint64, kind string) []byte {
	kb := 0.0
	for _, s := range p.sessions {
		kb += levels[min(max(s.rung, 0), len(levels)-1)]
	}
	out, start := frame.Begin(nil, frame.Feedback, id)
	out = frame.AppendParameter(out, frame.FeedbackKind, kind)
	return frame.End(frame.AppendParameter(out, frame.FeedbackValue, fmt.Sprintf("%.3f", kb/7422)), start)
}

func (p *nodeProcess) notes() {
	for {
		time.Sleep(time.Duration(p.p.TellMs * float64(time.Millisecond)))
		p.mu.Lock()
		for id, s := range p.sessions {
			if pc := p.connOf(s); pc != nil {
				pc.conn.Write(p.note(id, "port"))
			}
			break
		}
		p.mu.Unlock()
	}
}

// startNodeProcess starts a media node as a process and follows what it reports.
func (w *world) startNodeProcess(name string, cell int) (*node, error) {
	settingsText, err := json.Marshal(w.p)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(os.Args[0], "node", name, string(settingsText))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n := &node{w: w, name: name, cell: cell, running: true, proc: cmd, conns: map[*nodeConn]bool{}, sessions: map[uint64]*standing{}}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("the process of %s ends at once", name)
	}
	var first nodeEvent
	if err := json.Unmarshal(lines.Bytes(), &first); err != nil {
		return nil, err
	}
	n.addr = first.Addr
	go func() {
		defer in.Close()
		for lines.Scan() {
			var e nodeEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				w.mu.Lock()
				n.processReports(e)
				w.mu.Unlock()
			}
		}
	}()
	w.nodes, w.byName[name] = append(w.nodes, n), n
	return n, nil
}

// processReports follows a media node that is a process. Times are those at which it wrote.
func (n *node) processReports(e nodeEvent) {
	w := n.w
	at := e.AtMs - float64(w.start.UnixMicro())/1000
	r := w.reqs[e.ID]
	if r == nil {
		w.other("%s: %s of %016x, which no viewer sent", n.name, e.Event, e.ID)
		return
	}
	last := func() *attempt {
		for _, a := range r.attempts {
			if a.node == n && !a.ended {
				return a
			}
		}
		return nil
	}
	w.logf("%s: %s of %016x %s, at %.1f", n.name, e.Event, e.ID, e.Why, at)
	switch e.Event {
	case "setup":
		r.attempts = append(r.attempts, &attempt{r: r, node: n, arrived: at})
	case "answer":
		if a := last(); a != nil {
			a.ended, a.endedAt, a.answered = true, at, true
			n.sessions[e.ID] = &standing{r: r}
		}
	case "givenup":
		if a := last(); a != nil {
			a.ended, a.endedAt, a.how = true, at, e.Why
		}
	case "over":
		delete(n.sessions, e.ID)
		r.over, r.overAt, r.overWhy, r.overNode = true, at, e.Why, n
	}
}
