// Package tap is a TCP relay on loopback that records what passes, with times,
// and cuts, delays, stalls and resets on order. It knows nothing of what it
// carries.
package relay

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the sort of a record.
type Kind uint8

// The kinds. Forth is from the side that connected, Back to it.
const (
	Open Kind = iota
	Forth
	Back
	ForthEnd // the side that connected ended its stream or broke it
	BackEnd  // the other side did
	Mark     // a word of the rehearsal itself: Text
)

// Record is one thing seen.
type Record struct {
	Kind Kind
	AtMs float64 // since the log's start
	Tap  string
	Conn int
	Data []byte
	Text string
}

// Log gathers the records of all taps in the order in which they happened.
type Log struct {
	mu    sync.Mutex
	start time.Time
	recs  []Record
	conns atomic.Int64
}

// NewLog starts the clock.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now is ms since the log's start.
func (l *Log) Now() float64 { return float64(time.Since(l.start).Microseconds()) / 1000 }

func (l *Log) add(r Record) {
	l.mu.Lock()
	r.AtMs = l.Now()
	l.recs = append(l.recs, r)
	l.mu.Unlock()
}

// Mark records a word of the rehearsal.
func (l *Log) Mark(tap, text string) { l.add(Record{Kind: Mark, Tap: tap, Text: text}) }

// Records returns what has been seen so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.recs...)
}

// Faults are switched while the tap runs.
type Faults struct {
	Stall     bool    // nothing passes, connections stay
	StallBack bool    // answers don't pass
	DelayMs   float64 // each part passes so much later, both ways
	CutAfter  int     // connections are reset once so many bytes have passed forth; 0: never
	HalfBack  int     // connections are reset once so many bytes of answers have passed; 0: never
}

// Tap is one relay.
type Relay struct {
	Name   string
	log    *Log
	mu     sync.Mutex
	addr   string
	ln     net.Listener
	target string
	faults Faults
	gate   chan struct{} // closed when a stall ends
	conns  map[net.Conn]bool
	closed bool
	quiet  bool
}

// New starts a relay to target, which may be set later. quiet taps record no bytes.
func New(log *Log, name, target string, quiet bool) (*Relay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	t := &Relay{Name: name, log: log, ln: ln, addr: ln.Addr().String(), target: target, gate: make(chan struct{}),
		conns: map[net.Conn]bool{}, quiet: quiet}
	go t.accept(ln)
	return t, nil
}

// Addr is where it listens.
func (t *Relay) Addr() string { return t.addr }

// Target sets the other end.
func (t *Relay) Target(addr string) {
	t.mu.Lock()
	t.target = addr
	t.mu.Unlock()
}

// Set switches faults.
func (t *Relay) Set(f Faults) {
	t.mu.Lock()
	t.faults = f
	close(t.gate)
	t.gate = make(chan struct{})
	t.mu.Unlock()
}

// Refuse stops or begins to take connections, as where no process listens. It cuts those that stand.
func (t *Relay) Refuse(on bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		if t.ln != nil {
			t.ln.Close()
			t.ln = nil
		}
		for c := range t.conns {
			reset(c)
		}
		return nil
	}
	if t.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp4", t.addr)
	if err != nil {
		return fmt.Errorf("tap: %w", err)
	}
	t.ln = ln
	go t.accept(ln)
	return nil
}

// Reset breaks all connections that stand.
func (t *Relay) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		reset(c)
	}
}

// Close ends the tap.
func (t *Relay) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Refuse(true)
	t.Set(Faults{})
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

func (t *Relay) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *Relay) state() (Faults, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.gate
}

func (t *Relay) serve(c net.Conn) {
	id := int(t.log.conns.Add(1))
	t.mu.Lock()
	target := t.target
	t.mu.Unlock()
	for f, gate := t.state(); f.Stall; f, gate = t.state() {
		<-gate
	}
	o, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	t.mu.Lock()
	t.conns[c], t.conns[o] = true, true
	t.mu.Unlock()
	t.log.add(Record{Kind: Open, Tap: t.Name, Conn: id})
	var wg sync.WaitGroup
	wg.Add(2)
	var forth, back atomic.Int64
	go func() { defer wg.Done(); t.pump(id, c, o, Forth, &forth) }()
	go func() { defer wg.Done(); t.pump(id, o, c, Back, &back) }()
	wg.Wait()
	t.mu.Lock()
	delete(t.conns, c)
	delete(t.conns, o)
	t.mu.Unlock()
}

// pump carries one direction. What it records as Forth has been read from the side that connected; as Back,
// has been handed to it. Reading goes on during a stall, so that the end of a side is seen when it happens.
func (t *Relay) pump(id int, from, to net.Conn, dir Kind, passed *atomic.Int64) {
	end := ForthEnd
	if dir == Back {
		end = BackEnd
	}
	parts := make(chan []byte, 1024)
	go func() {
		defer close(parts)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				if dir == Forth && !t.quiet {
					t.log.add(Record{Kind: dir, Tap: t.Name, Conn: id, Data: buf[:n]})
				}
				parts <- buf[:n]
			}
			if err != nil {
				if dir == Forth {
					t.log.add(Record{Kind: end, Tap: t.Name, Conn: id})
				}
				return
			}
		}
	}()
	broken := false
	for part := range parts {
		if broken {
			continue
		}
		f, gate := t.state()
		for f.Stall || f.StallBack && dir == Back {
			<-gate
			f, gate = t.state()
		}
		if f.DelayMs > 0 {
			time.Sleep(time.Duration(f.DelayMs * float64(time.Millisecond)))
		}
		before := int(passed.Load())
		passed.Add(int64(len(part)))
		limit := f.CutAfter
		if dir == Back {
			limit = f.HalfBack
		}
		cut := limit > 0 && before+len(part) >= limit
		if cut {
			part = part[:max(limit-before, 0)]
		}
		if dir == Back && !t.quiet && len(part) > 0 {
			t.log.add(Record{Kind: dir, Tap: t.Name, Conn: id, Data: part})
		}
		_, err := to.Write(part)
		if cut {
			reset(to)
			reset(from)
		}
		broken = cut || err != nil
	}
	for f, gate := t.state(); f.Stall; f, gate = t.state() { // a silent machine does not tell its end either
		<-gate
	}
	if dir == Back {
		t.log.add(Record{Kind: end, Tap: t.Name, Conn: id})
	}
	to.Close()
	from.Close()
}
