// Package relay is a TCP relay on loopback. It records the data that passes,
// with times, and injects faults: delays, stalls, refused and reset
// connections. It does not interpret the data.
package relay

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records. The client is the side that connected, the server the other.
const (
	Open       Kind = iota // a connection was opened
	ClientData             // data from the client
	ServerData             // data to the client
	ClientEnd              // the client ended or reset its stream
	ServerEnd              // the server ended or reset its stream
	Mark                   // an event of the scenario run itself, in Text
)

// Record is one recorded event.
type Record struct {
	Kind  Kind
	AtMs  float64 // since the log's start
	Relay string  // name of the relay
	Conn  int     // number of the connection, unique in the log; 0 for Mark
	Data  []byte  // for ClientData and ServerData
	Text  string  // for Mark
}

// Log collects the records of all relays in the order in which they were recorded. Each connection is recorded by
// goroutines of its own, so that this can differ slightly from the order in which the data passed.
type Log struct {
	mu          sync.Mutex
	start       time.Time
	records     []Record
	connections atomic.Int64
}

// NewLog returns an empty log whose clock starts now.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now returns the milliseconds since the log's start.
func (l *Log) Now() float64 { return float64(time.Since(l.start).Microseconds()) / 1000 }

// add appends a record with the present time.
func (l *Log) add(r Record) {
	l.mu.Lock()
	r.AtMs = l.Now()
	l.records = append(l.records, r)
	l.mu.Unlock()
}

// Mark records an event of the scenario run itself, such as the start of a process.
func (l *Log) Mark(relay, text string) { l.add(Record{Kind: Mark, Relay: relay, Text: text}) }

// Records returns a copy of the records so far.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Faults are the failures that can be injected while the relay runs; the zero value means none.
type Faults struct {
	Stall                  bool    // no data passes in either direction; connections stay open
	StallAnswers           bool    // no data passes to the client; connections stay open
	DelayMs                float64 // delay of each chunk, in both directions
	ResetAfterRequestBytes int     // connections are reset after this many bytes to the server; 0: never
	ResetAfterAnswerBytes  int     // connections are reset after this many bytes to the client; 0: never
}

// Relay is a running relay.
type Relay struct {
	Name          string
	log           *Log
	mu            sync.Mutex
	addr          string
	listener      net.Listener
	target        string
	faults        Faults
	faultsChanged chan struct{} // closed and replaced at each SetFaults
	connections   map[net.Conn]bool
	closed        bool
	skipData      bool // records carry no data
}

// New starts a relay to target, which may be set later. With skipData it records no data, only connections and ends.
func New(log *Log, name, target string, skipData bool) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{Name: name, log: log, listener: listener, addr: listener.Addr().String(), target: target,
		faultsChanged: make(chan struct{}), connections: map[net.Conn]bool{}, skipData: skipData}
	go r.acceptLoop(listener)
	return r, nil
}

// Addr returns the listen address.
func (r *Relay) Addr() string { return r.addr }

// SetTarget sets the server's address for new connections.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	r.target = addr
	r.mu.Unlock()
}

// SetFaults replaces the injected faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	r.faults = f
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
	r.mu.Unlock()
}

// Refuse closes the listener and resets all connections, as if no process listened, or listens again.
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
		return fmt.Errorf("relay: %w", err)
	}
	r.listener = listener
	go r.acceptLoop(listener)
	return nil
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		resetConnection(conn)
	}
}

// Close stops the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Refuse(true)
	r.SetFaults(Faults{})
}

// resetConnection closes a connection with a TCP reset.
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

// currentFaults returns the injected faults and a channel that is closed when they change.
func (r *Relay) currentFaults() (Faults, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.faultsChanged
}

// serve relays one connection until both directions have ended.
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
	r.log.add(Record{Kind: Open, Relay: r.Name, Conn: id})
	var wg sync.WaitGroup
	wg.Add(2)
	var clientBytes, serverBytes atomic.Int64
	go func() { defer wg.Done(); r.forward(id, client, server, ClientData, &clientBytes) }()
	go func() { defer wg.Done(); r.forward(id, server, client, ServerData, &serverBytes) }()
	wg.Wait()
	r.mu.Lock()
	delete(r.connections, client)
	delete(r.connections, server)
	r.mu.Unlock()
}

// forward carries one direction of a connection. ClientData is recorded when it has been read from the client,
// ServerData when it is about to be written to the client. Reading goes on during a stall, so that the end of a side is
// recorded when it happens.
func (r *Relay) forward(id int, from, to net.Conn, direction Kind, passed *atomic.Int64) {
	end := ClientEnd
	if direction == ServerData {
		end = ServerEnd
	}
	chunks := make(chan []byte, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				if direction == ClientData && !r.skipData {
					r.log.add(Record{Kind: direction, Relay: r.Name, Conn: id, Data: buffer[:n]})
				}
				chunks <- buffer[:n]
			}
			if err != nil {
				if direction == ClientData {
					r.log.add(Record{Kind: end, Relay: r.Name, Conn: id})
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
		for faults.Stall || faults.StallAnswers && direction == ServerData {
			<-changed
			faults, changed = r.currentFaults()
		}
		if faults.DelayMs > 0 {
			time.Sleep(time.Duration(faults.DelayMs * float64(time.Millisecond)))
		}
		before := int(passed.Load())
		passed.Add(int64(len(chunk)))
		limit := faults.ResetAfterRequestBytes
		if direction == ServerData {
			limit = faults.ResetAfterAnswerBytes
		}
		reset := limit > 0 && before+len(chunk) >= limit
		if reset {
			chunk = chunk[:max(limit-before, 0)]
		}
		if direction == ServerData && !r.skipData && len(chunk) > 0 {
			r.log.add(Record{Kind: direction, Relay: r.Name, Conn: id, Data: chunk})
		}
		_, err := to.Write(chunk)
		if reset {
			resetConnection(to)
			resetConnection(from)
		}
		broken = reset || err != nil
	}
	// A machine that has become silent does not signal the end of its streams either.
	for faults, changed := r.currentFaults(); faults.Stall; faults, changed = r.currentFaults() {
		<-changed
	}
	if direction == ServerData {
		r.log.add(Record{Kind: end, Relay: r.Name, Conn: id})
	}
	to.Close()
	from.Close()
}
