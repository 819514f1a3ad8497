package proxy

import (
	"fmt"

	"headmill/internal/loop"
	"headmill/internal/platform/dns"
)

const (
	service  = "_api._tcp.svc.local."
	toldMs   = 1500.0 // after which an event counts as told, whether an answer came or not (PROTOCOL, "The name service")
	asks     = 8      // questions that fit into that time and the settings' grace: some answers get lost
	openAsks = 16     // questions whose answers are still awaited
)

// feed asks the name service for the whole list, again and again.
type feed struct {
	n     *Proxy
	sock  *loop.PacketConn
	timer *loop.Timer
	last  uint16 // question
}

// open asks at an address from now on.
func (f *feed) open(addr string) error {
	sock, err := f.n.l.DialPacket(addr, f.take)
	switch {
	case err == nil:
		if f.sock != nil {
			f.sock.Close()
		}
		f.sock = sock
	case f.sock != nil && f.sock.Reconnect(addr) == nil: // no descriptor was left: idle clients may hold them all
	default:
		return fmt.Errorf("node: name service: %w", err)
	}
	f.n.l.Cancel(f.timer)
	f.ask()
	return nil
}

func (f *feed) ask() {
	f.timer = f.n.l.After((toldMs+f.n.cfg.DrainGraceMs)/asks, f.ask)
	f.last++
	if q, err := dns.AppendQuery(f.last, service); err == nil {
		f.sock.Send(q)
	}
}

// take reads one datagram. What can't be used leaves the list as it is: the next question is due soon.
func (f *feed) take(b []byte) {
	if id, ok := dns.MessageID(b); !ok || f.last-id >= openAsks {
		return
	}
	m, err := dns.ParseAnswer(b, f.n.cfg.Vocabulary)
	if err == nil {
		err = f.n.take(&m)
	}
	if err != nil {
		f.n.log.Debug("name service's answer can't be used", "error", err.Error())
	}
}
