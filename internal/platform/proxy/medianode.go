package proxy

import (
	"errors"
	"slices"

	"headmill"
	"headmill/decide/redelivery"
	"headmill/internal/loop"
)

const (
	// partialMessageTimeoutMs is the time to wait for the rest of a message, which has at most 16 KiB (PROTOCOL,
	// "Messages").
	partialMessageTimeoutMs = 300.0
	// maxNodeOutput limits the output pending on a connection to a media node that does not read, bytes.
	maxNodeOutput = 64 << 10
	// unusedNodeTTLMs is the time after which the state of a listed but unused media node is dropped.
	unusedNodeTTLMs = 60000.0
)

// mediaNode is a media node with its connection pool and the sessions that this director has there.
type mediaNode struct {
	proxy       *Proxy
	id          headmill.NodeID
	name        string
	addr        string
	conns       []*nodeConn
	sessions    map[uint64]*session // playing or ending, by protocol id
	lost        map[headmill.SessionID]*lostSession
	queue       []redelivery.Message // kept until a connection is established
	queuedSince float64              // loop time, ms, of the first message in queue
	lastUsed    float64              // loop time, ms
	silentSince float64              // loop time, ms, at which it was last found silent; see nodeConn.proven
	redelivery  *redelivery.Schedule
	startedAt   float64 // Unix time, ms, of the start of its process; see updateProcessStart
}

// mediaNode returns the state of a media node, and creates it where there is none.
func (p *Proxy) mediaNode(id headmill.NodeID) *mediaNode {
	n := p.nodes[id]
	if n == nil {
		n = &mediaNode{proxy: p, id: id, sessions: map[uint64]*session{},
			lost: map[headmill.SessionID]*lostSession{}, redelivery: redelivery.New(redeliveryConfig(p.cfg))}
		n.name, n.addr, n.startedAt = p.nodeList.Name(id), p.nodeList.Addr(id), p.nodeList.StartedAt(id)
		p.nodes[id] = n
	}
	n.lastUsed = p.loop.Now()
	return n
}

// changeAddr sets a new address. Existing connections lead to whatever was at the old one, so none is used for anything
// new; one that carries a set-up is closed once that has its outcome.
func (n *mediaNode) changeAddr(addr string) {
	n.addr = addr
	for _, nc := range slices.Clone(n.conns) {
		nc.closeIfMoved()
	}
}

// sweep closes connections with an overdue incomplete message and unused ones near their idle timeout. It drops the
// state of media nodes that are no longer listed or long unused.
func (n *mediaNode) sweep(now float64) {
	for _, nc := range slices.Clone(n.conns) {
		if nc.reader.Partial() && now-nc.partialSince > partialMessageTimeoutMs {
			nc.closeMalformed(errors.New("timeout while waiting for the rest of a message"))
		} else if nc.established && len(nc.attempts)+len(n.sessions) == 0 &&
			nc.conn.Pending() == 0 && (nc.nearIdleTimeout() || nc.addr != n.addr) {
			n.removeConn(nc)
			nc.conn.Close(loop.ErrClosedByOwner)
		}
	}
	n.dialForQueue()
	n.fetchReleases(now)
	removed := !n.proxy.nodeList.Listed(n.id)
	if removed && len(n.sessions)+len(n.lost) == 0 {
		n.closeUnusedConns()
	}
	if len(n.conns) == 0 && len(n.sessions)+len(n.lost) == 0 && len(n.queue) == 0 && (removed || now-n.lastUsed > unusedNodeTTLMs) {
		delete(n.proxy.nodes, n.id)
	}
}
