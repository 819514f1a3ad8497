// Package balancer is a stand-in (test double) of a TCP load balancer with
// agent checks: it queries each server's agent at an interval and distributes
// new connections over the servers that are up, by weight.
package balancer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a director behind the balancer.
type Server struct {
	Addr, Agent string // addresses of the director and of its agent
	Weight      int    // as last reported by the agent
	Up          bool   // new connections may be sent there
	credit      int    // for the weighted round robin
}

// Balancer is a running stand-in of a load balancer.
type Balancer struct {
	listener net.Listener
	mu       sync.Mutex
	servers  []*Server
	stop     chan struct{}
}

// Start listens on a free port and checks each agent at the interval.
func Start(interval time.Duration, servers ...*Server) (*Balancer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	balancer := &Balancer{listener: listener, servers: servers, stop: make(chan struct{})}
	for _, server := range servers {
		balancer.checkAgent(server)
		go func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-balancer.stop:
					return
				case <-ticker.C:
					balancer.checkAgent(server)
				}
			}
		}()
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go balancer.forward(conn)
		}
	}()
	return balancer, nil
}

// Addr returns the listen address.
func (b *Balancer) Addr() string { return b.listener.Addr().String() }

// Close stops the balancer; open connections stay.
func (b *Balancer) Close() {
	close(b.stop)
	b.listener.Close()
}

// ServerState returns the present state of a server.
func (b *Balancer) ServerState(i int) Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.servers[i]
}

// checkAgent reads an agent's line: words separated by blanks, up to a "#". A percentage is the weight; the
// server is up if one of the words is "up" or "ready". It is down if its agent cannot be reached.
func (b *Balancer) checkAgent(server *Server) {
	up, weight := false, server.Weight
	if conn, err := net.DialTimeout("tcp4", server.Agent, time.Second); err == nil {
		conn.SetReadDeadline(time.Now().Add(time.Second))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		for _, word := range strings.Fields(strings.SplitN(line, "#", 2)[0]) {
			switch percentage, isWeight := strings.CutSuffix(word, "%"); {
			case isWeight:
				weight, _ = strconv.Atoi(percentage)
			case word == "up" || word == "ready":
				up = true
			}
		}
	}
	b.mu.Lock()
	server.Up, server.Weight = up, weight
	b.mu.Unlock()
}

// pick selects a server that is up by weighted round robin; it returns "" if there is none.
func (b *Balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	total := 0
	for _, server := range b.servers {
		if !server.Up {
			continue
		}
		server.credit += server.Weight
		total += server.Weight
		if best == nil || server.credit > best.credit {
			best = server
		}
	}
	if best == nil {
		return ""
	}
	best.credit -= total
	return best.Addr
}

// forward relays a connection to a server.
func (b *Balancer) forward(client net.Conn) {
	defer client.Close()
	addr := b.pick()
	server, err := net.Dial("tcp4", addr)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { io.Copy(server, client); server.(*net.TCPConn).CloseWrite() }()
	io.Copy(client, server)
}
