package audit

import (
	"encoding/binary"
	"math"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "headmill/internal/api/sessionv1"
)

// asked is one request for a session, over either front.
type asked struct {
	tap, path       string
	claims          claims
	whole, answered float64
	status          int // 0: none came
	body            []byte
	left, ended     float64 // when the viewer's side of the connection ended, and the director's
}

// asked gathers the requests for sessions in the order in which they came.
func (j *judge) asked() (out []asked) {
	for _, c := range j.conns {
		if strings.Contains(c.tap, "/") || !strings.HasPrefix(c.tap, "d") {
			continue
		}
		if bytesPrefix(c.forth.buf, "GET /session") {
			out = append(out, j.socket(c)...)
			continue
		}
		reqs, extra := c.requests()
		if extra > 0 {
			j.rep.broke(&j.rep.AnsweredTwice, "%s: %d answers that nobody asked for", c.tap, extra)
		}
		for _, r := range reqs {
			if r.method != "GET" || !strings.HasPrefix(r.path, "/dash/") || math.IsInf(r.whole, 1) {
				continue
			}
			cl, _ := readToken(r)
			out = append(out, asked{c.tap, r.path, cl, r.whole, r.answered, r.status, r.body, c.forth.end, c.back.end})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].whole < out[b].whole })
	return out
}

// frame is one frame of the session API, unmasked.
type frame struct {
	at      float64
	op      byte
	payload []byte
}

// frames takes one side apart after its HTTP head. It is the auditor's own reading of RFC 6455 section 5.2;
// stand-in players do not fragment.
func frames(s *side) (out []frame) {
	i := strings.Index(string(s.buf), "\r\n\r\n")
	if i < 0 {
		return nil
	}
	for p := i + 4; p+2 <= len(s.buf); {
		b := s.buf[p:]
		n, head := int(b[1]&0x7f), 2
		switch {
		case n == 126 && len(b) >= 4:
			n, head = int(binary.BigEndian.Uint16(b[2:])), 4
		case n == 127 && len(b) >= 10:
			n, head = int(binary.BigEndian.Uint64(b[2:])), 10
		}
		mask := []byte{0, 0, 0, 0}
		if b[1]&0x80 != 0 {
			if len(b) < head+4 {
				return out
			}
			mask = b[head : head+4]
			head += 4
		}
		if len(b) < head+n {
			return out
		}
		f := frame{at: s.at(p + head + n - 1), op: b[0] & 0x0f, payload: make([]byte, n)}
		for k := range n {
			f.payload[k] = b[head+k] ^ mask[k&3]
		}
		out = append(out, f)
		p += head + n
	}
	return out
}

// socket reads the open messages of one connection and what answered each.
func (j *judge) socket(c *conn) (out []asked) {
	reqs, _ := (&conn{forth: c.forth}).requests()
	if len(reqs) == 0 || !bytesPrefix(c.back.buf, "HTTP/1.1 101 ") {
		return nil
	}
	byID := map[uint64]int{}
	for _, f := range frames(&c.forth) {
		var m pb.ClientMessage
		if f.op != 2 || proto.Unmarshal(f.payload, &m) != nil || m.GetOpen() == nil {
			continue
		}
		cl, _ := readToken(reqs[0])
		if t := m.GetOpen().Token; t != "" {
			cl, _ = readRaw(t)
		}
		byID[m.Id] = len(out)
		out = append(out, asked{c.tap, "open", cl, f.at, never, 0, nil, c.forth.end, c.back.end})
	}
	j.rep.Sockets += len(out)
	for _, f := range frames(&c.back) {
		var m pb.ServerMessage
		if f.op != 2 || proto.Unmarshal(f.payload, &m) != nil || m.Id == 0 {
			continue
		}
		i, ok := byID[m.Id]
		status, body := 0, []byte(nil)
		switch {
		case m.GetPlaying() != nil:
			status, body = 200, []byte(m.GetPlaying().Manifest)
		case m.GetRefused() != nil:
			status = 503
		case m.GetFailed() != nil:
			status = int(m.GetFailed().Status)
		default:
			continue
		}
		if !ok || out[i].status != 0 {
			j.rep.broke(&j.rep.AnsweredTwice, "%s: message %d is answered twice, or was never sent", c.tap, m.Id)
			continue
		}
		out[i].status, out[i].answered, out[i].body = status, f.at, body
	}
	return out
}
