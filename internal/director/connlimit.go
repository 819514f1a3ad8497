package director

import (
	"headmill/decide/connmgr"
	"headmill/decide/limits"
	"headmill/internal/loop"
)

// The limit of connections of viewers, on the DASH path and the session API: decide/connmgr says which one makes room.

const (
	// requestGraceMs is the time that a connection has for its first request before it makes room for another one.
	requestGraceMs = 100.0
	// maxRoomCandidates is the number of connections that are looked at for one that can be closed; more requests in a row
	// are left to the next iteration of the loop.
	maxRoomCandidates = 4
)

// connOwner is what owns a connection of a viewer: a viewerConn, or the webSocket that it became.
type connOwner interface {
	netConn() *loop.Conn
	closeForLimit()
}

func (v *viewerConn) netConn() *loop.Conn { return v.conn }
func (w *webSocket) netConn() *loop.Conn  { return w.conn }

// closeForLimit closes a connection at once, so that its descriptor and its memory are free.
func (v *viewerConn) closeForLimit() {
	if v.state == viewerReading {
		v.keepAlive = false
		v.conn.Write(v.problem(503, "refused-connections", "too many connections, or too many requests that are not whole; nothing was set up",
			v.director.cfg.Attempts.MaxRetryAfterMs))
	}
	v.conn.Close(loop.ErrClosedByOwner)
}

// closeForLimit closes a connection without a pending message. Its sessions play on for times.tie_ms.
func (w *webSocket) closeForLimit() { w.conn.Close(loop.ErrClosedByOwner) }

// addConn takes a new connection into the limit. It returns false if there is no room for it, at a stop, which accepts whatever
// waits.
func (d *Director) addConn(owner connOwner) (connmgr.ConnID, bool) {
	d.lastConnID++
	d.connOwners[d.lastConnID] = owner
	d.stepConnManager(connmgr.Event{Kind: connmgr.Accepted, Conn: d.lastConnID})
	_, ok := d.connOwners[d.lastConnID]
	return d.lastConnID, ok
}

// removeConn takes a closed connection out of the limit.
func (d *Director) removeConn(id connmgr.ConnID) {
	delete(d.connOwners, id)
	d.stepConnManager(connmgr.Event{Kind: connmgr.Closed, Conn: id})
}

// stepConnManager passes an event to decide/connmgr and closes the connections that it returns.
func (d *Director) stepConnManager(ev connmgr.Event) {
	for _, action := range d.connManager.Step(d.loop.Now(), ev, nil) {
		owner := d.connOwners[action.Conn]
		delete(d.connOwners, action.Conn)
		isNew := ev.Kind == connmgr.Accepted && action.Conn == ev.Conn // the loop closes it
		if owner != nil && !isNew {
			owner.closeForLimit()
		}
	}
	d.quotas.SetUsed(limits.Connections, int64(d.connManager.Len()))
}

// makeRoom closes a connection at the limit, and reports whether one more may be accepted. What has arrived is read before, so
// that a connection with a request keeps its place. Where none can be closed for as long as sessions play, the new one is accepted
// and closed, so that its client need not wait.
func (d *Director) makeRoom() bool {
	for range maxRoomCandidates {
		room, id := d.connManager.MakeRoom(d.loop.Now())
		if room == connmgr.RoomFree {
			return true
		}
		d.logConnLimit()
		if room != connmgr.RoomByClosing {
			return room == connmgr.RoomNone
		}
		d.connOwners[id].netConn().ReadAvailable()
		if again, worst := d.connManager.MakeRoom(d.loop.Now()); again == connmgr.RoomByClosing && worst == id {
			d.stepConnManager(connmgr.Event{Kind: connmgr.CloseForLimit, Conn: id})
		}
	}
	return false
}

// logConnLimit logs that the limit of connections is reached, every logIntervalMs at most.
func (d *Director) logConnLimit() {
	now := d.loop.Now()
	if now-d.lastConnLimitLogAt <= logIntervalMs {
		return
	}
	d.lastConnLimitLogAt = now
	d.log.Warn("the limit of connections is reached; those without a request make room",
		"connections", d.quotas.Usage(limits.Connections).Used)
}

// reportUse reports to decide/connmgr whether a request is pending on the connection.
func (v *viewerConn) reportUse() {
	pending := 0
	if v.state >= viewerCheckingToken {
		pending = 1
	}
	v.director.stepConnManager(connmgr.Event{Kind: connmgr.UseChanged, Conn: v.id, PendingSetups: pending})
}

// reportUse reports the pending messages and the sessions of the connection to decide/connmgr.
func (w *webSocket) reportUse() {
	w.director.stepConnManager(connmgr.Event{Kind: connmgr.UseChanged, Conn: w.id,
		PendingSetups: w.pendingMessages(), Sessions: len(w.sessions)})
}

// reportInput reports the input that the connection holds to decide/connmgr: an incomplete request, or ones behind a pending one.
func (v *viewerConn) reportInput() {
	if v.webSocket != nil || !v.conn.Open() {
		return
	}
	held := cap(v.pipelined)
	if v.parser != nil && v.state < viewerCheckingToken {
		held += v.parser.Held()
	}
	v.director.stepConnManager(connmgr.Event{Kind: connmgr.InputHeld, Conn: v.id, Bytes: held})
}

// reportInput reports the input that the connection holds to decide/connmgr: an incomplete message.
func (w *webSocket) reportInput() {
	if w.conn.Open() {
		w.director.stepConnManager(connmgr.Event{Kind: connmgr.InputHeld, Conn: w.id, Bytes: w.reader.Held()})
	}
}
