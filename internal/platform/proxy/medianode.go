package proxy

import (
	"errors"
	"slices"

	"headmill"
	"headmill/decide/health"
	"headmill/internal/loop"
	"headmill/internal/platform/frame"
)

const (
	// maxConnsPerNode limits the connections for set-ups to one media node. Below it each connection carries one set-up,
	// so that a malformed answer affects no other; at the limit set-ups share connections.
	maxConnsPerNode = 8
	// maxSilentConnsPerNode limits the further connections to a media node that is silent: those that were open before,
	// and one for each time that it was found silent.
	maxSilentConnsPerNode = 12
	// partialMessageTimeoutMs is the time to wait for the rest of a message, which has at most 16 KiB (PROTOCOL,
	// "Messages").
	partialMessageTimeoutMs = 300.0
	// maxNodeOutput limits the output pending on a connection to a media node that does not read, bytes.
	maxNodeOutput = 64 << 10
	// unusedNodeTTLMs is the time after which the state of a listed but unused media node is dropped.
	unusedNodeTTLMs = 60000.0
	// queueTTLMs is the time for which messages are kept while no connection can be opened: longer than
	// releaseRetentionMs.
	queueTTLMs = 20000.0
	// releaseLossWindowMs is the time before a connection's end in which a release written on it may have been lost. A
	// release is repeated for no longer than this after it was first written.
	releaseLossWindowMs = 1000.0
	// maxQueuedMessages limits the messages queued for a media node while no connection is established; further ones
	// are dropped.
	maxQueuedMessages = 256
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
	queue       [][]byte // messages about sessions, kept until a connection is established
	queuedSince float64  // loop time, ms, of the first message in queue
	lastUsed    float64  // loop time, ms
	silentSince float64  // loop time, ms, at which it was last found silent; see nodeConn.proven
	// needsNewConn tells that a release may have been lost with a connection. The media node repeats it on the next one
	// that is opened, and on no other.
	needsNewConn bool
	dialedAt     float64 // loop time, ms, of the last dial
}

// mediaNode returns the state of a media node, and creates it where there is none.
func (p *Proxy) mediaNode(id headmill.NodeID) *mediaNode {
	n := p.nodes[id]
	if n == nil {
		n = &mediaNode{proxy: p, id: id, sessions: map[uint64]*session{},
			lost: map[headmill.SessionID]*lostSession{}}
		n.name, n.addr = p.nodeList.Name(id), p.nodeList.Addr(id)
		p.nodes[id] = n
	}
	n.lastUsed = p.loop.Now()
	return n
}

// dial opens a connection for a set-up or a message. It returns nil at a connection limit, on an error, or if another
// media node now has the address.
func (n *mediaNode) dial() *nodeConn {
	silent := 0
	for _, nc := range n.conns {
		if nc.established && !nc.proven() {
			silent++
		}
	}
	// A third of the file descriptors is for connections to media nodes; see New.
	if len(n.conns)-silent >= maxConnsPerNode || len(n.conns) >= maxConnsPerNode+maxSilentConnsPerNode ||
		n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3 {
		return nil
	}
	return n.dialWithin(n.proxy.cfg.ConnectMs)
}

// dialProbe opens a connection to find out whether the media node is alive, or for the releases that it repeats on a new
// one. Set-ups can't prevent that: the limits are those of dial and one more, and a thirty-second of the file descriptors
// above the limit of all. At a limit another connection makes room.
func (n *mediaNode) dialProbe() *nodeConn {
	if len(n.conns) > maxConnsPerNode+maxSilentConnsPerNode {
		n.closeUnansweredConn()
	}
	if n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3+n.proxy.cfg.Sockets/32 && !n.proxy.closeUnusedNodeConn() {
		n.closeUnansweredConn()
	}
	if len(n.conns) > maxConnsPerNode+maxSilentConnsPerNode ||
		n.proxy.nodeConnCount >= n.proxy.cfg.Sockets/3+n.proxy.cfg.Sockets/32 {
		return nil
	}
	return n.dialWithin(probeTimeoutMs(n.proxy.cfg))
}

// closeUnansweredConn closes the oldest connection on which the media node has never written anything: the one whose loss
// is least likely to cost a release.
func (n *mediaNode) closeUnansweredConn() {
	for _, nc := range n.conns {
		if nc.established && !nc.heard && len(nc.attempts) == 0 {
			n.removeConn(nc)
			nc.conn.Close(loop.ErrClosedByOwner)
			return
		}
	}
}

// closeUnusedNodeConn closes a connection to any media node that has no session of this director. It reports whether there
// was one.
func (p *Proxy) closeUnusedNodeConn() bool {
	for _, n := range p.nodes {
		if len(n.sessions) > 0 {
			continue
		}
		for _, nc := range n.conns {
			if nc.established && len(nc.attempts) == 0 && nc.conn.Pending() == 0 {
				n.removeConn(nc)
				nc.conn.Close(loop.ErrClosedByOwner)
				return true
			}
		}
	}
	return false
}

// dialWithin opens a connection whatever the number of those that are open, and gives it up after timeoutMs.
func (n *mediaNode) dialWithin(timeoutMs float64) *nodeConn {
	if n.addrReassigned() {
		return nil
	}
	nc := &nodeConn{node: n, addr: n.addr, attempts: map[uint64]*setupAttempt{}, lastUsed: n.proxy.loop.Now()}
	conn, err := n.proxy.loop.Dial(n.addr, nc)
	if err != nil {
		n.proxy.log.Error("cannot dial media node", "host", n.name, "error", err.Error())
		return nil
	}
	nc.conn, n.dialedAt = conn, n.proxy.loop.Now()
	conn.SetOutputLimit(maxNodeOutput)
	n.conns = append(n.conns, nc)
	n.proxy.nodeConnCount++
	nc.connectTimer = n.proxy.loop.After(timeoutMs, func() { conn.Close(loop.ErrConnectFailed) })
	return nc
}

// addrReassigned reports whether the media node is no longer listed, another one has its address, and none of its sessions
// plays there. What answers at the address then proves nothing about this node.
func (n *mediaNode) addrReassigned() bool {
	successorStartedAt, ok := n.proxy.nodeList.Successor(n.id, n.addr)
	if !ok {
		return false
	}
	for _, s := range n.sessions {
		if s.playsAtSuccessor(successorStartedAt) {
			return false
		}
	}
	return true
}

// loseReplacedSessions ends the sessions that ended with their process, as another one has its address. Those that were set
// up since then, before the list said so, play at the successor.
func (n *mediaNode) loseReplacedSessions() {
	successorStartedAt, ok := n.proxy.nodeList.Successor(n.id, n.addr)
	if !ok {
		return
	}
	for _, s := range n.sessions {
		if !s.playsAtSuccessor(successorStartedAt) {
			n.proxy.stats.Lost++
			n.proxy.sessionLost(s, false)
		}
	}
}

// removeConn takes a connection out of the pool. Its attempts learn of the end by Closed.
func (n *mediaNode) removeConn(nc *nodeConn) {
	if i := slices.Index(n.conns, nc); i >= 0 {
		n.conns = slices.Delete(n.conns, i, i+1)
		n.proxy.nodeConnCount--
	}
}

// sessionAtAddr finds a session that plays at the media node, or that is held for another id of the same address: the set-up
// of one that plays at a successor was sent to the id before.
func (n *mediaNode) sessionAtAddr(id uint64) *session {
	if s := n.sessions[id]; s != nil {
		return s
	}
	s := n.proxy.sessions[id]
	if s == nil || s.state == statePending || s.node.addr != n.addr {
		return nil
	}
	return s
}

// changeAddr sets a new address. Existing connections lead to whatever was at the old one, so none is used for anything
// new; one that carries a set-up is closed once that has its outcome.
func (n *mediaNode) changeAddr(addr string) {
	n.addr = addr
	for _, nc := range slices.Clone(n.conns) {
		nc.closeIfMoved()
	}
}

// idleConn returns a connection that carries no set-up, so that a malformed answer to the new one affects no other.
func (n *mediaNode) idleConn() *nodeConn {
	for _, nc := range n.conns {
		if nc.usable() && nc.proven() && len(nc.attempts) == 0 && !nc.reader.Partial() && !nc.nearIdleTimeout() && nc.conn.Reusable() {
			return nc
		}
	}
	return nil
}

// leastLoadedConn returns the proven connection with the fewest set-ups, for use when no further one may be opened.
func (n *mediaNode) leastLoadedConn() *nodeConn {
	var best *nodeConn
	for _, nc := range n.conns {
		if nc.usable() && nc.proven() && (best == nil || len(nc.attempts) < len(best.attempts)) {
			best = nc
		}
	}
	return best
}

// messageConn returns the connection for a message about a session: a silent one only if there is no other, as a media
// node that stands still reads it once it goes on.
func (n *mediaNode) messageConn() *nodeConn {
	if best := n.leastLoadedConn(); best != nil {
		return best
	}
	for _, nc := range n.conns {
		if nc.usable() {
			return nc
		}
	}
	return nil
}

// ensureConn opens a connection unless the node was heard in this iteration or one is being opened, and reports the result
// to the health monitor as that of its event stream. That a connection was established earlier proves nothing now. A node
// whose address has been reassigned counts as one that refused the connection.
func (n *mediaNode) ensureConn() {
	now := n.proxy.loop.Now()
	if slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.usable() && nc.lastHeard >= now }) {
		n.reportStreamOpened()
		return
	}
	n.silentSince = now
	n.proxy.log.Debug("media node is probed with a connection", "host", n.name, "conns", len(n.conns),
		"sessions", len(n.sessions))
	if slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.probe && !nc.established && nc.addr == n.addr }) {
		return
	}
	if nc := n.dialProbe(); nc != nil {
		nc.probe = true
		return
	}
	n.proxy.queueHealthEvent(health.Event{Kind: health.StreamFailed, Node: health.NodeID(n.id),
		ConnRefused: n.addrReassigned()})
}

// cancelProbe gives up the connections that are being opened for the health monitor alone.
func (n *mediaNode) cancelProbe() {
	for _, nc := range slices.Clone(n.conns) {
		if nc.established || !nc.probe {
			continue
		}
		if nc.probe = false; len(nc.attempts) == 0 {
			nc.conn.Close(loop.ErrConnectFailed)
		}
	}
}

// fetchReleases opens a connection, now or as soon as that is possible, on which the media node repeats releases that may
// have been lost.
func (n *mediaNode) fetchReleases() {
	n.needsNewConn = true
	n.dialProbe()
}

// retryFetch opens the connection that fetchReleases could not, while there is a session whose release may come on it.
func (n *mediaNode) retryFetch(now float64) {
	switch {
	case !n.needsNewConn:
	case len(n.sessions) == 0:
		n.needsNewConn = false
	case now-n.dialedAt > 2*n.proxy.cfg.ConnectMs:
		n.dialProbe()
	}
}

// reportStreamOpened reports an established connection to the health monitor.
func (n *mediaNode) reportStreamOpened() {
	n.proxy.queueHealthEvent(health.Event{Kind: health.StreamOpened, Node: health.NodeID(n.id)})
}

// hasEstablishedConn reports whether a connection is open. One that is proves that the process has not ended, which would
// reset it, whatever is said of new ones.
func (n *mediaNode) hasEstablishedConn() bool {
	return slices.ContainsFunc(n.conns, func(nc *nodeConn) bool { return nc.usable() })
}

// closeUnusedConns closes the connections that carry no set-up, after reading what has arrived on them. Where output is
// pending it is lost, so the error must be another than ErrClosedByOwner: Closed then repeats recent releases.
func (n *mediaNode) closeUnusedConns() {
	for _, nc := range slices.Clone(n.conns) {
		if len(nc.attempts) == 0 {
			nc.conn.ReadAvailable()
		}
		switch {
		case len(nc.attempts) > 0:
		case nc.conn.Pending() > 0:
			nc.conn.Close(loop.ErrSlowReader)
		default:
			nc.conn.Close(loop.ErrClosedByOwner)
		}
	}
}

// sendRelease ends a session at the media node, on any established connection or on the next one.
func (n *mediaNode) sendRelease(id uint64, firstSentAt float64) {
	if nc := n.messageConn(); nc != nil {
		nc.sendRelease(id, firstSentAt)
		return
	}
	n.sendMessage(frame.AppendRelease(nil, id, causeNormal))
}

// sendMessage writes a message about a session, on any established connection or on the next one.
func (n *mediaNode) sendMessage(msg []byte) {
	if nc := n.messageConn(); nc != nil {
		nc.write(msg)
		return
	}
	if len(n.queue) == 0 {
		n.queuedSince = n.proxy.loop.Now()
	}
	if len(n.queue) < maxQueuedMessages {
		n.queue = append(n.queue, msg)
	}
	n.dialForQueue()
}

// dialForQueue opens a connection for queued messages, for up to queueTTLMs. Without it a session whose release is
// queued would play on.
func (n *mediaNode) dialForQueue() {
	switch {
	case len(n.queue) == 0 || len(n.conns) > 0:
	case n.proxy.loop.Now()-n.queuedSince > queueTTLMs, n.addrReassigned():
		n.queue = nil
	default:
		n.dial()
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
	n.retryFetch(now)
	removed := !n.proxy.nodeList.Listed(n.id)
	if removed && len(n.sessions)+len(n.lost) == 0 {
		n.closeUnusedConns()
	}
	if len(n.conns) == 0 && len(n.sessions)+len(n.lost) == 0 && len(n.queue) == 0 && (removed || now-n.lastUsed > unusedNodeTTLMs) {
		delete(n.proxy.nodes, n.id)
	}
}
