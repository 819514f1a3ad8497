package proxy

import (
	"bytes"
	"errors"
	"math"
	"strconv"

	"headmill/decide/connmgr"
	"headmill/decide/release"
	"headmill/internal/loop"
	"headmill/internal/platform/jsonline"
)

const (
	readTimeoutMs   = 2000.0   // for which one may be without a set-up, or a line without its end: 3 s are owed (DAYS, "Bad clients")
	idleTimeoutMs   = 10000.0  // for which one may rest that carries nothing: viewers close it after 4 s (PROTOCOL)
	maxViewerOutput = 64 << 10 // bytes that may wait for a viewer that does not read
)

// viewer is one connection from viewers.
type viewer struct {
	proxy       *Proxy
	conn        *loop.Conn
	id          connmgr.ConnID
	partialLine []byte
	pending     map[*session]struct{} // set-ups
	playing     map[*session]struct{} // sessions set up here
}

// accept takes a connection, if decide/door does.
func (p *Proxy) acceptViewer(c *loop.Conn) loop.Handler {
	p.lastConnID++
	v := &viewer{proxy: p, conn: c, id: p.lastConnID, pending: map[*session]struct{}{}, playing: map[*session]struct{}{}}
	c.SetLimit(maxViewerOutput)
	p.viewers[v.id] = v
	p.stepConnManager(connmgr.Event{Kind: connmgr.Accepted, Conn: v.id})
	if p.viewers[v.id] == nil {
		return nil
	}
	return v
}

// close tells decide/door a fact and closes what it says. What makes room is cut, so that its descriptor is free at
// once.
func (p *Proxy) stepConnManager(ev connmgr.Event) {
	p.closeActions = p.connManager.Step(p.loop.Now(), ev, p.closeActions[:0])
	for _, a := range p.closeActions {
		v := p.viewers[a.Conn]
		delete(p.viewers, a.Conn)
		switch {
		case a.Conn == ev.Conn: // just accepted: the loop closes it
		case a.Reason == connmgr.LimitReached:
			v.conn.Close(loop.ErrClosedByOwner)
		default:
			v.conn.CloseWrite()
		}
		if a.Reason == connmgr.NoRequest || a.Reason == connmgr.IncompleteMessage {
			p.stats.InvalidRequests++
		}
	}
}

// carries tells decide/door what is on the connection.
func (v *viewer) reportLoad() {
	v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.LoadChanged, Conn: v.id, PendingSetups: len(v.pending), Sessions: len(v.playing)})
}

// Connected is never called: viewers dial.
func (v *viewer) Connected(*loop.Conn) {}

// Drained wants nothing.
func (v *viewer) Drained(*loop.Conn) {}

// Closed gives up the set-ups that were open. Sessions that stand belong to no connection.
func (v *viewer) Closed(*loop.Conn, error) {
	delete(v.proxy.viewers, v.id)
	v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Closed, Conn: v.id})
	for s := range v.pending {
		v.proxy.endedByViewer(s)
	}
	for s := range v.playing {
		s.viewer = nil
		if s.answerEnd > v.conn.Written() { // nobody has got its answer, so nobody knows that it stands
			v.proxy.endedByViewer(s)
		}
	}
	v.proxy.stepRetransmitter(release.Event{Kind: release.ConnectionClosed, Conn: v.id})
}

// Data cuts lines.
func (v *viewer) Data(c *loop.Conn, b []byte) {
	whole := false
	defer func() {
		if whole { // a part after a whole line is another line's: it has its own time
			v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: v.id})
		}
		v.proxy.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: v.id, Partial: len(v.partialLine) > 0})
	}()
	for len(b) > 0 && c.Open() {
		i := bytes.IndexByte(b, '\n')
		if len(v.partialLine)+len(b) > jsonline.MaxSize && (i < 0 || len(v.partialLine)+i > jsonline.MaxSize) {
			v.closeMalformed(errors.New("line over 16 KiB"))
			return
		}
		if i < 0 {
			v.partialLine = append(v.partialLine, b...)
			return
		}
		line := b[:i]
		if len(v.partialLine) > 0 {
			line = append(v.partialLine, line...)
			v.partialLine = nil
		}
		b = b[i+1:]
		whole = true
		v.handleLine(line)
	}
}

// bad ends a connection whose peer sends what can't be read: where the next message begins is not known.
func (v *viewer) closeMalformed(err error) {
	v.proxy.stats.InvalidRequests++
	v.proxy.log.Debug("viewer's line can't be read", "error", err.Error())
	v.partialLine = nil
	v.conn.CloseWrite()
}

func (v *viewer) handleLine(line []byte) {
	p, m := v.proxy, &v.proxy.lineMsg
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	if err := jsonline.Parse(line, m); err != nil {
		v.closeMalformed(err)
		return
	}
	if m.Type == "ping" {
		v.conn.Write(jsonline.AppendPong(p.outBuf[:0], m.ID, 1))
		return
	}
	id, ok := jsonline.ParseID(m.ID)
	if !ok {
		v.closeMalformed(errors.New("id is not 16 hex digits"))
		return
	}
	switch m.Type {
	case "setup":
		v.handleSetup(id, m)
	case "release":
		if s := p.sessions[id]; s != nil {
			p.endedByViewer(s)
		}
		p.stepRetransmitter(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)}) // its own end of what is over is one too
		v.conn.Write(jsonline.AppendReleased(p.outBuf[:0], id))
	case "released":
		p.stepRetransmitter(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)})
	case "progress", "pong", "note":
	default:
		v.closeMalformed(errors.New("type " + m.Type))
	}
}

// request is a set-up's figures, checked.
type setupRequest struct {
	class, firstCell, copies, maxRung int
	className, title, sdp, playingAt  string
	titleKey                          uint64
	timeLeftMs                        float64
}

func (v *viewer) handleSetup(id uint64, m *jsonline.Message) {
	p := v.proxy
	p.stepConnManager(connmgr.Event{Kind: connmgr.RequestRead, Conn: v.id})
	if s := p.sessions[id]; s != nil {
		if at, _ := extraValue(m, "at"); at != "" && s.state != statePending {
			return // what this director holds already
		}
		// An id that is in use. From another connection it is not the session's viewer who asks: the session goes on,
		// and only the newcomer is turned away. On one connection it can't be told which is meant, so neither goes
		// on, and there is one answer.
		p.stats.InvalidRequests++
		if s.viewer == v {
			p.endedByViewer(s)
		}
		v.sendRelease(id, causeInvalidField, 0)
		return
	}
	r, cause := p.parseSetup(m)
	if cause != 0 {
		p.stats.InvalidRequests++
		p.log.Debug("set-up can't be used", "id", m.ID, "cause", cause, "fields", m.Fields, "sdp", m.HasSDP)
		v.sendRelease(id, cause, 0)
		return
	}
	p.startSession(v, id, &r)
}

// extra is one of a set-up's extras.
func extraValue(m *jsonline.Message, name string) (string, bool) {
	text, _ := m.Get("extras")
	return reportValue(text, name)
}

// read checks a set-up's fields. A cause other than 0 tells why it can't be used.
func (p *Proxy) parseSetup(m *jsonline.Message) (r setupRequest, cause int) {
	className, ok1 := m.Get("class")
	left, ok2 := m.Get("left")
	title, ok3 := m.Get("key")
	if !ok1 || !ok2 || !ok3 || !m.HasSDP || m.SDP == "" {
		return r, causeMissingField
	}
	var ok bool
	if r.class, ok = p.cfg.ClassIndex[className]; !ok {
		return r, causeInvalidField
	}
	if tenant, given := m.Get("tenant"); given || len(p.cfg.TenantIndex) > 0 {
		if _, ok := p.cfg.TenantIndex[tenant]; !ok {
			return r, causeInvalidField
		}
	}
	r.playingAt, _ = extraValue(m, "at")
	var err error
	if r.timeLeftMs, err = strconv.ParseFloat(left, 64); err != nil || !(r.timeLeftMs > 0) || math.IsInf(r.timeLeftMs, 0) ||
		r.playingAt == "" && r.timeLeftMs > 2*p.cfg.DeadlineMs[r.class] { // a session that plays has no deadline: any figure will do
		return r, causeInvalidField
	}
	if r.titleKey, ok = jsonline.ParseID(title); !ok {
		return r, causeInvalidField
	}
	for _, f := range []struct {
		name     string
		to       *int
		min, max int
	}{{"home", &r.firstCell, 0, p.cfg.Module.Cells - 1}, {"copies", &r.copies, 1, 1 << 16}, {"top", &r.maxRung, 0, 255}} {
		text, ok := extraValue(m, f.name)
		if !ok {
			return r, causeMissingField
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != math.Trunc(v) || v < float64(f.min) || v > float64(f.max) {
			return r, causeInvalidField
		}
		*f.to = int(v)
	}
	r.className, r.title, r.sdp = className, title, m.SDP
	return r, 0
}

// release answers a set-up that is not to stand, or tells the end of a session.
func (v *viewer) sendRelease(id uint64, cause int, waitMs float64) {
	v.proxy.outBuf = jsonline.AppendRelease(v.proxy.outBuf[:0], id, cause, waitMs)
	v.conn.Write(v.proxy.outBuf)
}

// keep notes that a session of this connection stands.
func (v *viewer) markPlaying(s *session) {
	delete(v.pending, s)
	v.playing[s] = struct{}{}
	v.reportLoad()
}
