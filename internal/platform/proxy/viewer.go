package proxy

import (
	"bytes"
	"errors"
	"math"
	"strconv"

	"headmill/decide/connmgr"
	"headmill/decide/inputorder"
	"headmill/decide/release"
	"headmill/internal/loop"
	"headmill/internal/platform/jsonline"
)

const (
	// readTimeoutMs is the time for which a connection may send no set-up or leave a line unfinished. Such connections
	// must be closed within 3 s (DAYS, "Bad clients").
	readTimeoutMs = 2000.0
	// idleTimeoutMs is the time after which a connection without set-ups and sessions is closed as idle. Viewers close
	// such a connection after 4 s themselves (PROTOCOL).
	idleTimeoutMs = 10000.0
	// requestGraceMs is the time that a connection has for its first request before it makes room for another one. Clients
	// send it at once.
	requestGraceMs = 100.0
	// maxViewerOutput limits the output pending on a connection of a viewer that does not read, bytes.
	maxViewerOutput = 64 << 10
	// viewerReadBudget is the input, in bytes, that is read from one connection of a viewer in an iteration of the loop.
	viewerReadBudget = 1024
)

// viewer is one connection of a viewer. It carries any number of set-ups and sessions.
type viewer struct {
	proxy       *Proxy
	conn        *loop.Conn
	id          connmgr.ConnID
	partialLine []byte
	pending     map[*session]struct{} // sessions in statePending that were requested here
	playing     map[*session]struct{} // sessions that were set up or adopted here
	unplaced    inputorder.Queue      // pending set-ups that the module does not have yet
	drainedAt   float64               // loop time, ms, at which it last had no unread input, if that was soon after a stall
	placing     bool                  // placeRequests is posted to the loop
	closing     bool                  // the connection is about to be closed: set-ups are refused
	left        bool                  // the viewer has closed its side: its set-ups are given up
}

// acceptViewer takes a new connection unless the connection manager closes it at once.
func (p *Proxy) acceptViewer(conn *loop.Conn) loop.Handler {
	p.lastConnID++
	v := &viewer{proxy: p, conn: conn, id: p.lastConnID, pending: map[*session]struct{}{},
		playing: map[*session]struct{}{}}
	conn.SetOutputLimit(maxViewerOutput)
	conn.SetReadBudget(viewerReadBudget)
	p.viewers[v.id] = v
	p.stepConnManager(connmgr.Event{Kind: connmgr.Accepted, Conn: v.id})
	if p.viewers[v.id] == nil {
		return nil
	}
	return v
}

// makeRoomForViewer closes a connection at the limit, and reports whether one more may be accepted. What has arrived is read
// before, so that a connection with a request keeps its place.
func (p *Proxy) makeRoomForViewer() bool {
	const maxCandidates = 4 // more requests in a row are left to the next iteration
	for range maxCandidates {
		room, id := p.connManager.MakeRoom(p.loop.Now())
		if room != connmgr.RoomByClosing {
			return room == connmgr.RoomFree
		}
		v := p.viewers[id]
		v.conn.ReadAvailable()
		if again, worst := p.connManager.MakeRoom(p.loop.Now()); again == connmgr.RoomByClosing && worst == id {
			p.stepConnManager(connmgr.Event{Kind: connmgr.CloseForLimit, Conn: id})
		}
	}
	return false
}

// stepConnManager passes an event to the connection manager and closes the connections that it returns. One that is
// closed to stay within the limit is closed at once, without lingering, so that its descriptor is free immediately.
func (p *Proxy) stepConnManager(ev connmgr.Event) {
	p.closeActions = p.connManager.Step(p.loop.Now(), ev, p.closeActions[:0])
	for _, action := range p.closeActions {
		v := p.viewers[action.Conn]
		delete(p.viewers, action.Conn)
		p.log.Debug("closing viewer connection", "conn", action.Conn, "reason", action.Reason.String())
		switch {
		case action.Conn == ev.Conn && ev.Kind == connmgr.Accepted: // the loop closes it
		case action.Reason == connmgr.LimitReached:
			v.refuseUnread()
			v.conn.Close(loop.ErrClosedByOwner)
		default:
			v.closeIdle()
		}
		if action.Reason == connmgr.NoRequest || action.Reason == connmgr.IncompleteMessage {
			p.stats.Bad++
		}
	}
}

// closeIdle closes a connection without pending set-ups.
func (v *viewer) closeIdle() {
	v.refuseUnread()
	v.conn.CloseGracefully()
}

// refuseUnread reads what has arrived on a connection that is about to be closed, and refuses the set-ups in it: their
// viewers could not tell from the close whether they were read.
func (v *viewer) refuseUnread() {
	v.closing = true
	v.conn.ReadAvailable()
}

// reportUse reports the numbers of pending set-ups and of sessions on the connection to the connection manager.
func (v *viewer) reportUse() {
	v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.UseChanged, Conn: v.id, PendingSetups: len(v.pending),
		Sessions: len(v.playing)})
}

// Connected implements loop.Handler. It is never called, since viewers dial.
func (v *viewer) Connected(*loop.Conn) {}

// Flushed implements loop.Handler. It does nothing, since writes are never paused.
func (v *viewer) Flushed(*loop.Conn) {}

// PeerClosing implements loop.PeerCloseHandler. The viewer waits for no answer any more: its set-ups are given up, also those
// that are still unread. What else it has sent before is carried out.
func (v *viewer) PeerClosing(*loop.Conn) {
	v.left = true
	for s := range v.pending {
		v.proxy.endedByViewer(s)
	}
}

// Closed implements loop.Handler. It gives up the pending set-ups. Sessions that play are bound to no connection and
// play on, except those whose answer was not written completely.
func (v *viewer) Closed(_ *loop.Conn, err error) {
	delete(v.proxy.viewers, v.id)
	v.proxy.log.Debug("viewer connection closed", "conn", v.id, "error", err, "pending", len(v.pending),
		"playing", len(v.playing))
	v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Closed, Conn: v.id})
	for s := range v.pending {
		v.proxy.endedByViewer(s)
	}
	for s := range v.playing {
		s.viewer = nil
		if s.answerEnd > v.conn.Written() { // the viewer never received the answer, so it does not know the session
			v.proxy.endedByViewer(s)
		}
	}
	v.proxy.stepRetransmitter(release.Event{Kind: release.ConnectionClosed, Conn: v.id})
}

// Data implements loop.Handler. It splits the input into lines.
func (v *viewer) Data(conn *loop.Conn, data []byte) {
	lineRead := false
	defer func() {
		if lineRead { // what is left belongs to a new line, whose read timeout starts now
			v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: v.id})
		}
		v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: v.id, Partial: len(v.partialLine) > 0})
		v.placeRequests()
		v.noteDrained()
	}()
	v.unplaced.BytesRead(len(data))
	for len(data) > 0 && conn.Receiving() {
		end := bytes.IndexByte(data, '\n')
		if len(v.partialLine)+len(data) > jsonline.MaxSize && (end < 0 || len(v.partialLine)+end > jsonline.MaxSize) {
			v.closeMalformed(errors.New("line is longer than 16 KiB"))
			return
		}
		if end < 0 {
			v.partialLine = append(v.partialLine, data...)
			return
		}
		line := data[:end]
		if len(v.partialLine) > 0 {
			line = append(v.partialLine, line...)
			v.partialLine = nil
		}
		data = data[end+1:]
		lineRead = true
		v.handleLine(line)
	}
}

// closeMalformed closes a connection after malformed input, since the start of the next message is unknown.
func (v *viewer) closeMalformed(err error) {
	v.proxy.stats.Bad++
	v.proxy.log.Debug("malformed line from a viewer", "error", err.Error())
	v.partialLine = nil
	v.conn.CloseGracefully()
}

// handleLine parses and carries out one line.
func (v *viewer) handleLine(line []byte) {
	p, msg := v.proxy, &v.proxy.lineMsg
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	if err := jsonline.Parse(line, msg); err != nil {
		v.closeMalformed(err)
		return
	}
	if msg.Type == "ping" {
		// The cause of a pong is its result, here always 1.
		v.conn.Write(jsonline.AppendPong(p.outBuf[:0], msg.ID, 1))
		return
	}
	id, ok := jsonline.ParseID(msg.ID)
	if !ok {
		v.closeMalformed(errors.New("id is not 16 lower-case hex digits"))
		return
	}
	switch msg.Type {
	case "setup":
		v.handleSetup(id, msg)
	case "release":
		if s := p.sessions[id]; s != nil {
			p.endedByViewer(s)
		}
		// If the session had ended before, its viewer evidently knows that: this confirms the end too.
		p.stepRetransmitter(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)})
		v.conn.Write(jsonline.AppendReleased(p.outBuf[:0], id))
	case "released":
		p.stepRetransmitter(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)})
	case "progress", "pong", "note": // known types without an effect here
	default:
		v.closeMalformed(errors.New("type " + msg.Type)) // unknown; the text is external
	}
}

// setupRequest holds the checked fields of a set-up.
type setupRequest struct {
	class, firstCell, copies, maxRung int
	className, title, sdp, playingAt  string // playingAt: media node of a session that already plays, else empty
	titleID                           uint64
	timeLeftMs                        float64
}

// handleSetup starts or adopts a session, or answers with a release if the set-up is invalid.
func (v *viewer) handleSetup(id uint64, msg *jsonline.Message) {
	p := v.proxy
	p.stepConnManager(connmgr.Event{Kind: connmgr.RequestRead, Conn: v.id})
	if s := p.sessions[id]; s != nil {
		if at, _ := extraValue(msg, "at"); at != "" && s.state != statePending {
			return // this session is in the table already
		}
		// The id is in use. On another connection than the session's, the session goes on and only the new set-up is
		// refused. On the same connection it is unclear which of the two the viewer means, so both end, with one answer.
		p.stats.Bad++
		if s.viewer == v {
			p.endedByViewer(s)
		}
		v.sendRelease(id, causeInvalidField, 0)
		return
	}
	request, cause := p.parseSetup(msg)
	if cause != 0 {
		p.stats.Bad++
		p.log.Debug("invalid set-up", "id", msg.ID, "cause", cause, "fields", msg.Fields, "sdp", msg.HasSDP)
		v.sendRelease(id, cause, 0)
		return
	}
	p.startSession(v, id, &request)
	if s := p.sessions[id]; v.left && s != nil && s.state == statePending {
		p.endedByViewer(s)
	}
}

// extraValue returns a value from a set-up's extras field.
func extraValue(msg *jsonline.Message, name string) (string, bool) {
	text, _ := msg.Get("extras")
	return namedValue(text, name)
}

// parseSetup checks the fields of a set-up. A cause other than 0 means that it is invalid.
func (p *Proxy) parseSetup(msg *jsonline.Message) (r setupRequest, cause int) {
	className, hasClass := msg.Get("class")
	timeLeft, hasTimeLeft := msg.Get("left")
	title, hasTitle := msg.Get("key")
	if !hasClass || !hasTimeLeft || !hasTitle || !msg.HasSDP || msg.SDP == "" {
		return r, causeMissingField
	}
	var ok bool
	if r.class, ok = p.cfg.ClassIndex[className]; !ok {
		return r, causeInvalidField
	}
	if tenant, given := msg.Get("tenant"); given || len(p.cfg.TenantIndex) > 0 {
		if _, ok := p.cfg.TenantIndex[tenant]; !ok {
			return r, causeInvalidField
		}
	}
	r.playingAt, _ = extraValue(msg, "at")
	var err error
	// More than twice the class's deadline is rejected, except for a session that already plays: its time is not bounded.
	if r.timeLeftMs, err = strconv.ParseFloat(timeLeft, 64); err != nil ||
		!(r.timeLeftMs > 0) || math.IsInf(r.timeLeftMs, 0) ||
		r.playingAt == "" && r.timeLeftMs > 2*p.cfg.DeadlineMs[r.class] {
		return r, causeInvalidField
	}
	if r.titleID, ok = jsonline.ParseID(title); !ok {
		return r, causeInvalidField
	}
	// Values outside min and max are invalid. A rung is at most 255.
	for _, extra := range []struct {
		name     string
		target   *int
		min, max int
	}{{"home", &r.firstCell, 0, p.cfg.Module.Cells - 1}, {"copies", &r.copies, 1, 1 << 16}, {"top", &r.maxRung, 0, 255}} {
		text, ok := extraValue(msg, extra.name)
		if !ok {
			return r, causeMissingField
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value != math.Trunc(value) || value < float64(extra.min) || value > float64(extra.max) {
			return r, causeInvalidField
		}
		*extra.target = int(value)
	}
	r.className, r.title, r.sdp = className, title, msg.SDP
	return r, 0
}

// sendRelease refuses a set-up, with retry advice if waitMs is positive, or reports the end of a session.
func (v *viewer) sendRelease(id uint64, cause int, waitMs float64) {
	v.proxy.outBuf = jsonline.AppendRelease(v.proxy.outBuf[:0], id, cause, waitMs)
	v.conn.Write(v.proxy.outBuf)
}

// markPlaying records that a session of this connection plays.
func (v *viewer) markPlaying(s *session) {
	delete(v.pending, s)
	v.playing[s] = struct{}{}
	v.reportUse()
}
