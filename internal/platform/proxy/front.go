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
	silentMs  = 2000.0   // for which one may be without a set-up, or a line without its end: 3 s are owed (DAYS, "Bad clients")
	restMs    = 10000.0  // for which one may rest that carries nothing: viewers close it after 4 s (PROTOCOL)
	viewerOut = 64 << 10 // bytes that may wait for a viewer that does not read
)

// viewer is one connection from viewers.
type viewer struct {
	n      *Proxy
	c      *loop.Conn
	id     connmgr.ConnID
	buf    []byte
	open   map[*session]struct{} // set-ups
	stands map[*session]struct{} // sessions set up here
}

// accept takes a connection, if decide/door does.
func (n *Proxy) accept(c *loop.Conn) loop.Handler {
	n.lastView++
	v := &viewer{n: n, c: c, id: n.lastView, open: map[*session]struct{}{}, stands: map[*session]struct{}{}}
	c.SetLimit(viewerOut)
	n.viewers[v.id] = v
	n.close(connmgr.Event{Kind: connmgr.Accepted, Conn: v.id})
	if n.viewers[v.id] == nil {
		return nil
	}
	return v
}

// close tells decide/door a fact and closes what it says. What makes room is cut, so that its descriptor is free at
// once.
func (n *Proxy) close(ev connmgr.Event) {
	n.shut = n.door.Step(n.l.Now(), ev, n.shut[:0])
	for _, a := range n.shut {
		v := n.viewers[a.Conn]
		delete(n.viewers, a.Conn)
		switch {
		case a.Conn == ev.Conn: // just accepted: the loop closes it
		case a.Reason == connmgr.LimitReached:
			v.c.Close(loop.ErrClosedByOwner)
		default:
			v.c.CloseWrite()
		}
		if a.Reason == connmgr.NoRequest || a.Reason == connmgr.IncompleteMessage {
			n.stats.InvalidRequests++
		}
	}
}

// carries tells decide/door what is on the connection.
func (v *viewer) carries() {
	v.n.close(connmgr.Event{Kind: connmgr.LoadChanged, Conn: v.id, PendingSetups: len(v.open), Sessions: len(v.stands)})
}

// Connected is never called: viewers dial.
func (v *viewer) Connected(*loop.Conn) {}

// Drained wants nothing.
func (v *viewer) Drained(*loop.Conn) {}

// Closed gives up the set-ups that were open. Sessions that stand belong to no connection.
func (v *viewer) Closed(*loop.Conn, error) {
	delete(v.n.viewers, v.id)
	v.n.close(connmgr.Event{Kind: connmgr.Closed, Conn: v.id})
	for s := range v.open {
		v.n.left(s)
	}
	for s := range v.stands {
		s.front = nil
		if s.answered > v.c.Written() { // nobody has got its answer, so nobody knows that it stands
			v.n.left(s)
		}
	}
	v.n.releases(release.Event{Kind: release.ConnectionClosed, Conn: v.id})
}

// Data cuts lines.
func (v *viewer) Data(c *loop.Conn, b []byte) {
	whole := false
	defer func() {
		if whole { // a part after a whole line is another line's: it has its own time
			v.n.close(connmgr.Event{Kind: connmgr.Received, Conn: v.id})
		}
		v.n.close(connmgr.Event{Kind: connmgr.Received, Conn: v.id, Partial: len(v.buf) > 0})
	}()
	for len(b) > 0 && c.Open() {
		i := bytes.IndexByte(b, '\n')
		if len(v.buf)+len(b) > jsonline.MaxSize && (i < 0 || len(v.buf)+i > jsonline.MaxSize) {
			v.bad(errors.New("line over 16 KiB"))
			return
		}
		if i < 0 {
			v.buf = append(v.buf, b...)
			return
		}
		line := b[:i]
		if len(v.buf) > 0 {
			line = append(v.buf, line...)
			v.buf = nil
		}
		b = b[i+1:]
		whole = true
		v.line(line)
	}
}

// bad ends a connection whose peer sends what can't be read: where the next message begins is not known.
func (v *viewer) bad(err error) {
	v.n.stats.InvalidRequests++
	v.n.log.Debug("viewer's line can't be read", "error", err.Error())
	v.buf = nil
	v.c.CloseWrite()
}

func (v *viewer) line(line []byte) {
	n, m := v.n, &v.n.msg
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	if err := jsonline.Parse(line, m); err != nil {
		v.bad(err)
		return
	}
	if m.Type == "ping" {
		v.c.Write(jsonline.AppendPong(n.out[:0], m.ID, 1))
		return
	}
	id, ok := jsonline.ParseID(m.ID)
	if !ok {
		v.bad(errors.New("id is not 16 hex digits"))
		return
	}
	switch m.Type {
	case "setup":
		v.setup(id, m)
	case "release":
		if s := n.sessions[id]; s != nil {
			n.left(s)
		}
		n.releases(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)}) // its own end of what is over is one too
		v.c.Write(jsonline.AppendReleased(n.out[:0], id))
	case "released":
		n.releases(release.Event{Kind: release.Confirmed, Session: release.SessionID(id)})
	case "progress", "pong", "note":
	default:
		v.bad(errors.New("type " + m.Type))
	}
}

// request is a set-up's figures, checked.
type request struct {
	class, home, copies, top  int
	className, title, sdp, at string
	key                       uint64
	left                      float64
}

func (v *viewer) setup(id uint64, m *jsonline.Message) {
	n := v.n
	n.close(connmgr.Event{Kind: connmgr.RequestRead, Conn: v.id})
	if s := n.sessions[id]; s != nil {
		if at, _ := extra(m, "at"); at != "" && s.state != asked {
			return // what this director holds already
		}
		// An id that is in use. From another connection it is not the session's viewer who asks: the session goes on,
		// and only the newcomer is turned away. On one connection it can't be told which is meant, so neither goes
		// on, and there is one answer.
		n.stats.InvalidRequests++
		if s.front == v {
			n.left(s)
		}
		v.release(id, causeInvalid, 0)
		return
	}
	r, cause := n.read(m)
	if cause != 0 {
		n.stats.InvalidRequests++
		n.log.Debug("set-up can't be used", "id", m.ID, "cause", cause, "fields", m.Fields, "sdp", m.HasSDP)
		v.release(id, cause, 0)
		return
	}
	n.request(v, id, &r)
}

// extra is one of a set-up's extras.
func extra(m *jsonline.Message, name string) (string, bool) {
	text, _ := m.Get("extras")
	return pick(text, name)
}

// read checks a set-up's fields. A cause other than 0 tells why it can't be used.
func (n *Proxy) read(m *jsonline.Message) (r request, cause int) {
	className, ok1 := m.Get("class")
	left, ok2 := m.Get("left")
	title, ok3 := m.Get("key")
	if !ok1 || !ok2 || !ok3 || !m.HasSDP || m.SDP == "" {
		return r, causeMissing
	}
	var ok bool
	if r.class, ok = n.cfg.Classes[className]; !ok {
		return r, causeInvalid
	}
	if tenant, given := m.Get("tenant"); given || len(n.cfg.Tenants) > 0 {
		if _, ok := n.cfg.Tenants[tenant]; !ok {
			return r, causeInvalid
		}
	}
	r.at, _ = extra(m, "at")
	var err error
	if r.left, err = strconv.ParseFloat(left, 64); err != nil || !(r.left > 0) || math.IsInf(r.left, 0) ||
		r.at == "" && r.left > 2*n.cfg.DeadlineMs[r.class] { // a session that plays has no deadline: any figure will do
		return r, causeInvalid
	}
	if r.key, ok = jsonline.ParseID(title); !ok {
		return r, causeInvalid
	}
	for _, f := range []struct {
		name     string
		to       *int
		min, max int
	}{{"home", &r.home, 0, n.cfg.Module.Cells - 1}, {"copies", &r.copies, 1, 1 << 16}, {"top", &r.top, 0, 255}} {
		text, ok := extra(m, f.name)
		if !ok {
			return r, causeMissing
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != math.Trunc(v) || v < float64(f.min) || v > float64(f.max) {
			return r, causeInvalid
		}
		*f.to = int(v)
	}
	r.className, r.title, r.sdp = className, title, m.SDP
	return r, 0
}

// release answers a set-up that is not to stand, or tells the end of a session.
func (v *viewer) release(id uint64, cause int, waitMs float64) {
	v.n.out = jsonline.AppendRelease(v.n.out[:0], id, cause, waitMs)
	v.c.Write(v.n.out)
}

// keep notes that a session of this connection stands.
func (v *viewer) keep(s *session) {
	delete(v.open, s)
	v.stands[s] = struct{}{}
	v.carries()
}
