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
	mu          sync.Mutex
	start       time.Time
	records     []Record
	connections atomic.Int64
}

// NewLog starts the clock.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now is ms since the log's start.
func (l *Log) Now() float64 { return float64(time.Since(l.start).Microseconds()) / 1000 }

func (l *Log) add(r Record) {
	l.mu.Lock()
	r.AtMs = l.Now()
	l.records = append(l.records, r)
	l.mu.Unlock()
}

// Mark records a word of the rehearsal.
func (l *Log) Mark(relay, text string) { l.add(Record{Kind: Mark, Tap: relay, Text: text}) }

// Records returns what has been seen so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Faults are switched while the tap runs.
type Faults struct {
	Stall                  bool    // nothing passes, connections stay
	StallAnswers           bool    // answers don't pass
	DelayMs                float64 // each part passes so much later, both ways
	ResetAfterRequestBytes int     // connections are reset once so many bytes have passed forth; 0: never
	ResetAfterAnswerBytes  int     // connections are reset once so many bytes of answers have passed; 0: never
}

// Tap is one relay.
type Relay struct {
	Name          string
	log           *Log
	mu            sync.Mutex
	addr          string
	listener      net.Listener
	target        string
	faults        Faults
	faultsChanged chan struct{} // closed when a stall ends
	connections   map[net.Conn]bool
	closed        bool
	skipData      bool
}

// New starts a relay to target, which may be set later. quiet taps record no bytes.
func New(log *Log, name, target string, skipData bool) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("tap: %w", err)
	}
	r := &Relay{Name: name, log: log, listener: listener, addr: listener.Addr().String(), target: target, faultsChanged: make(chan struct{}),
		connections: map[net.Conn]bool{}, skipData: skipData}
	go r.acceptLoop(listener)
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.addr }

// Target sets the other end.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	r.target = addr
	r.mu.Unlock()
}

// Set switches faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	r.faults = f
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
	r.mu.Unlock()
}

// Refuse stops or begins to take connections, as where no process listens. It cuts those that stand.
func (r *Relay) Refuse(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		if r.listener != nil {
			r.listener.Close()
			r.listener = nil
		}
		for conn := range r.connections {
			resetConnection(conn)
		}
		return nil
	}
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return fmt.Errorf("tap: %w", err)
	}
	r.listener = listener
	go r.acceptLoop(listener)
	return nil
}

// Reset breaks all connections that stand.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		resetConnection(conn)
	}
}

// Close ends the tap.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Refuse(true)
	r.SetFaults(Faults{})
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (r *Relay) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) currentFaults() (Faults, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.faultsChanged
}

func (r *Relay) serve(client net.Conn) {
	id := int(r.log.connections.Add(1))
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	for faults, changed := r.currentFaults(); faults.Stall; faults, changed = r.currentFaults() {
		<-changed
	}
	server, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		resetConnection(client)
		return
	}
	r.mu.Lock()
	r.connections[client], r.connections[server] = true, true
	r.mu.Unlock()
	r.log.add(Record{Kind: Open, Tap: r.Name, Conn: id})
	var wg sync.WaitGroup
	wg.Add(2)
	var clientBytes, serverBytes atomic.Int64
	go func() { defer wg.Done(); r.forward(id, client, server, Forth, &clientBytes) }()
	go func() { defer wg.Done(); r.forward(id, server, client, Back, &serverBytes) }()
	wg.Wait()
	r.mu.Lock()
	delete(r.connections, client)
	delete(r.connections, server)
	r.mu.Unlock()
}

// pump carries one direction. What it records as Forth has been read from the side that connected; as Back,
// has been handed to it. Reading goes on during a stall, so that the end of a side is seen when it happens.
func (r *Relay) forward(id int, from, to net.Conn, direction Kind, passed *atomic.Int64) {
	end := ForthEnd
	if direction == Back {
		end = BackEnd
	}
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				if direction == Forth && !r.skipData {
					r.log.add(Record{Kind: direction, Tap: r.Name, Conn: id, Data: buffer[:n]})
				}
				chunks <- buffer[:n]
			}
			if err != nil {
				if direction == Forth {
					r.log.add(Record{Kind: end, Tap: r.Name, Conn: id})
				}
				return
			}
		}
	}()
	broken := false
	for chunk := range chunks {
		if broken {
			continue
		}
		faults, changed := r.currentFaults()
		for faults.Stall || faults.StallAnswers && direction == Back {
			<-changed
			faults, changed = r.currentFaults()
		}
		if faults.DelayMs > 0 {
			time.Sleep(time.Duration(faults.DelayMs * float64(time.Millisecond)))
		}
		before := int(passed.Load())
		passed.Add(int64(len(chunk)))
		limit := faults.ResetAfterRequestBytes
		if direction == Back {
			limit = faults.ResetAfterAnswerBytes
		}
		reset := limit > 0 && before+len(chunk) >= limit
		if reset {
			chunk = chunk[:max(limit-before, 0)]
		}
		if direction == Back && !r.skipData && len(chunk) > 0 {
			r.log.add(Record{Kind: direction, Tap: r.Name, Conn: id, Data: chunk})
		}
		_, err := to.Write(chunk)
		if reset {
			resetConnection(to)
			resetConnection(from)
		}
		broken = reset || err != nil
	}
	for faults, changed := r.currentFaults(); faults.Stall; faults, changed = r.currentFaults() { // a silent machine does not tell its end either
		<-changed
	}
	if direction == Back {
		r.log.add(Record{Kind: end, Tap: r.Name, Conn: id})
	}
	to.Close()
	from.Close()
}
