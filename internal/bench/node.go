package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"headmill/internal/http1"
)

// sessionMs is how long each session of a measurement lasts, in ms.
const sessionMs = 200

// Node is a media node that answers every set-up at once and reports the session's end after sessionMs. It does
// as little work as possible, so that the director dominates the measurement.
type Node struct {
	listener net.Listener
	mu       sync.Mutex
	// event streams of directors by request target; ends of sessions are sent to all of them
	eventStreams map[string]net.Conn
	hold         bool // sessions do not end by themselves
}

// StartNode starts a media node on a free loopback port.
func StartNode() (*Node, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{listener: listener, eventStreams: map[string]net.Conn{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// Addr returns the address on which the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Overload reports to every director that the demand on the node's link is load times its capacity.
func (n *Node) Overload(load float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.eventStreams {
		fmt.Fprintf(c, "event: link\ndata: {\"session\":\"\",\"value\":%v}\n\n", load)
	}
}

// HoldSessions makes sessions last until the director ends them.
func (n *Node) HoldSessions() {
	n.mu.Lock()
	n.hold = true
	n.mu.Unlock()
}

// serve answers the requests of one connection: GET opens the event stream, PUT sets a session up, and any other
// method succeeds without effect.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	parser := http1.NewRequests(http1.Limits{})
	buf, out := make([]byte, 16<<10), []byte(nil)
	for {
		size, err := c.Read(buf)
		if err != nil {
			return
		}
		for in := buf[:size]; len(in) > 0; {
			consumed, done, err := parser.Feed(in)
			if err != nil {
				return
			}
			in = in[consumed:]
			if !done {
				break
			}
			if string(parser.Msg.Method) == "GET" {
				n.serveEvents(c, string(parser.Msg.Target))
				return
			}
			if string(parser.Msg.Method) != "PUT" {
				if _, err := c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
					return
				}
				parser.Next()
				continue
			}
			name := string(parser.Msg.Target[len("/sessions/"):])
			out = http1.AppendStatusLine(out[:0], 201)
			out = append(out, "endpoint-load-metrics: TEXT named_metrics.inflight=10, named_metrics.x0=0.3, named_metrics.x1=0.3\r\nLocation: http://"...)
			out = append(append(append(out, n.Addr()...), "/v/"...), name...)
			out = append(out, "/\r\nContent-Length: 0\r\n\r\n"...)
			if _, err := c.Write(out); err != nil {
				return
			}
			parser.Next()
			n.scheduleEnd(name)
		}
	}
}

// scheduleEnd reports the session's end to all directors after sessionMs, unless sessions are held.
func (n *Node) scheduleEnd(name string) {
	n.mu.Lock()
	hold := n.hold
	n.mu.Unlock()
	if hold {
		return
	}
	time.AfterFunc(sessionMs*time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, c := range n.eventStreams {
			data, _ := json.Marshal(map[string]string{"session": name, "why": "done"})
			fmt.Fprintf(c, "event: ended\ndata: %s\n\n", data)
		}
	})
}

// serveEvents registers a director's event stream and keeps it open with a comment line every 500 ms.
func (n *Node) serveEvents(c net.Conn, target string) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: hello\ndata: {\"boot\":\"x\",\"sessions\":[]}\n\n")
	n.mu.Lock()
	n.eventStreams[target] = c
	n.mu.Unlock()
	for {
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		_, err := fmt.Fprint(c, ":\n\n")
		n.mu.Unlock()
		if err != nil {
			return
		}
	}
}
