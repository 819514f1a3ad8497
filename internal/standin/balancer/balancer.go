// Package balancer is a stand-in of a TCP load balancer with agent checks: it
// asks each server's agent at an interval and sends new connections to those
// that are up, by weight.
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

// Server is one director behind the balancer.
type Server struct {
	Addr, Agent string
	Weight      int  // as last told
	Up          bool // new connections may go there
	credit      int
}

// Balancer is a running stand-in.
type Balancer struct {
	ln      net.Listener
	mu      sync.Mutex
	servers []*Server
	stop    chan struct{}
}

// Start listens and checks each agent at the interval.
func Start(every time.Duration, servers ...*Server) (*Balancer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	b := &Balancer{ln: ln, servers: servers, stop: make(chan struct{})}
	for _, s := range servers {
		b.check(s)
		go func() {
			t := time.NewTicker(every)
			defer t.Stop()
			for {
				select {
				case <-b.stop:
					return
				case <-t.C:
					b.check(s)
				}
			}
		}()
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// Addr is where it listens.
func (b *Balancer) Addr() string { return b.ln.Addr().String() }

// Close ends it.
func (b *Balancer) Close() {
	close(b.stop)
	b.ln.Close()
}

// Look returns what is known of a server.
func (b *Balancer) Look(i int) Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *b.servers[i]
}

// check reads an agent's line: words separated by blanks, of which a percentage is the weight.
func (b *Balancer) check(s *Server) {
	up, weight := false, s.Weight
	if c, err := net.DialTimeout("tcp4", s.Agent, time.Second); err == nil {
		c.SetReadDeadline(time.Now().Add(time.Second))
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		for _, w := range strings.Fields(strings.SplitN(line, "#", 2)[0]) {
			switch p, isWeight := strings.CutSuffix(w, "%"); {
			case isWeight:
				weight, _ = strconv.Atoi(p)
			case w == "up" || w == "ready":
				up = true
			}
		}
	}
	b.mu.Lock()
	s.Up, s.Weight = up, weight
	b.mu.Unlock()
}

// pick is weighted round robin over what is up.
func (b *Balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	total := 0
	for _, s := range b.servers {
		if !s.Up {
			continue
		}
		s.credit += s.Weight
		total += s.Weight
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	best.credit -= total
	return best.Addr
}

func (b *Balancer) serve(c net.Conn) {
	defer c.Close()
	addr := b.pick()
	o, err := net.Dial("tcp4", addr)
	if err != nil {
		return
	}
	defer o.Close()
	go func() { io.Copy(o, c); o.(*net.TCPConn).CloseWrite() }()
	io.Copy(c, o)
}
