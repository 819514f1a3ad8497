package proxy

import (
	"fmt"

	"headmill/internal/loop"
	"headmill/internal/platform/dns"
)

const (
	serviceName           = "_api._tcp.svc.local."
	propagationMs         = 1500.0 // after which an event counts as told, whether an answer came or not (PROTOCOL, "The name service")
	queriesPerWindow      = 8      // questions that fit into that time and the settings' grace: some answers get lost
	maxOutstandingQueries = 16     // questions whose answers are still awaited
)

// feed asks the name service for the whole list, again and again.
type discoveryClient struct {
	proxy       *Proxy
	conn        *loop.PacketConn
	queryTimer  *loop.Timer
	lastQueryID uint16 // question
}

// open asks at an address from now on.
func (d *discoveryClient) connect(addr string) error {
	sock, err := d.proxy.loop.DialPacket(addr, d.handleAnswer)
	switch {
	case err == nil:
		if d.conn != nil {
			d.conn.Close()
		}
		d.conn = sock
	case d.conn != nil && d.conn.Reconnect(addr) == nil: // no descriptor was left: idle clients may hold them all
	default:
		return fmt.Errorf("node: name service: %w", err)
	}
	d.proxy.loop.Cancel(d.queryTimer)
	d.query()
	return nil
}

func (d *discoveryClient) query() {
	d.queryTimer = d.proxy.loop.After((propagationMs+d.proxy.cfg.DrainGraceMs)/queriesPerWindow, d.query)
	d.lastQueryID++
	if q, err := dns.AppendQuery(d.lastQueryID, serviceName); err == nil {
		d.conn.Send(q)
	}
}

// take reads one datagram. What can't be used leaves the list as it is: the next question is due soon.
func (d *discoveryClient) handleAnswer(b []byte) {
	if id, ok := dns.MessageID(b); !ok || d.lastQueryID-id >= maxOutstandingQueries {
		return
	}
	m, err := dns.ParseAnswer(b, d.proxy.cfg.Vocabulary)
	if err == nil {
		err = d.proxy.applyNodeList(&m)
	}
	if err != nil {
		d.proxy.log.Debug("name service's answer can't be used", "error", err.Error())
	}
}
