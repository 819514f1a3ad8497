package proxy

import (
	"fmt"

	"headmill/internal/loop"
	"headmill/internal/platform/dns"
)

const (
	// serviceName is the DNS name of the SRV records that list the media nodes.
	serviceName = "_api._tcp.svc.local."
	// propagationMs is the time after which a director counts as notified of a change, whether or not an answer has
	// arrived (PROTOCOL, "The name service").
	propagationMs = 1500.0
	// queriesPerWindow is the number of queries within propagationMs plus the settings' drain grace: more than one,
	// since answers get lost.
	queriesPerWindow = 8
	// querySlots is the number of queries whose times are kept: over answerTimeoutMs at the shortest interval.
	querySlots = 256
	// maxStallHoldMs is the longest time for which placing waits for a new list after the process stood still: most of the
	// time that a set-up may take on top of its deadline is left.
	maxStallHoldMs = 200.0
	// stallConfirmations is the number of answers that show the node list to be recent after the process stood still: as many
	// as it takes elsewhere to believe what older lists contradict.
	stallConfirmations = 4
	// stallMs is the time without an iteration of the event loop from which the process counts as having stood still:
	// several sweeps.
	stallMs = 400.0
	// answerTimeoutMs is the time after a query for which its answer is accepted. However late it is, the director counts as
	// notified of what it says.
	answerTimeoutMs = 30000.0
)

// discoveryClient queries the discovery service for the full node list, periodically and without end.
type discoveryClient struct {
	proxy       *Proxy
	conn        *loop.PacketConn
	queryTimer  *loop.Timer
	lastQueryID uint16
	sentAt      [querySlots]float64 // loop time, ms, of the last queries, by their ID
}

// connect queries the service at addr from now on. On an error the old address stays in use.
func (d *discoveryClient) connect(addr string) error {
	conn, err := d.proxy.loop.DialPacket(addr, d.handleAnswer)
	switch {
	case err == nil:
		if d.conn != nil {
			d.conn.Close()
		}
		d.conn = conn
	case d.conn != nil && d.conn.Reconnect(addr) == nil:
		// No file descriptor is free, as when idle clients hold them all: the existing socket is reused.
	default:
		return fmt.Errorf("proxy: connect to the discovery service: %w", err)
	}
	d.queryNow()
	return nil
}

// query sends one query and schedules the next.
func (d *discoveryClient) query() {
	d.queryTimer = d.proxy.loop.After(d.queryIntervalMs(), d.query)
	d.lastQueryID++
	d.sentAt[d.lastQueryID%querySlots] = d.proxy.loop.Now() + d.proxy.loop.Elapsed()
	if query, err := dns.NewQuery(d.lastQueryID, serviceName); err == nil {
		d.conn.Send(query)
	}
}

// queryNow sends the next query at once.
func (d *discoveryClient) queryNow() {
	d.proxy.loop.Cancel(d.queryTimer)
	d.query()
}

// queryIntervalMs is the time between two queries.
func (d *discoveryClient) queryIntervalMs() float64 {
	return (propagationMs + d.proxy.cfg.DrainGraceMs) / queriesPerWindow
}

// handleAnswer reads one datagram. An unusable answer leaves the node list as it is: the next query is due soon.
func (d *discoveryClient) handleAnswer(datagram []byte) {
	// The difference of two uint16 query IDs is right also after they wrap around.
	id, ok := dns.MessageID(datagram)
	queriedAt := d.sentAt[id%querySlots]
	if !ok || d.lastQueryID-id >= querySlots || d.proxy.loop.Now()-queriedAt > answerTimeoutMs {
		return
	}
	list, err := dns.ParseAnswer(datagram, d.proxy.cfg.Vocabulary)
	if err == nil {
		err = d.proxy.applyNodeList(&list)
	}
	if err != nil {
		d.proxy.log.Debug("unusable answer of the discovery service", "error", err.Error())
		return
	}
	if d.proxy.freshness.Answered(queriedAt) {
		d.queryNow()
	}
}
