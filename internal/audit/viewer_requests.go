package audit

import (
	"encoding/binary"
	"math"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "headmill/internal/api/sessionv1"
)

// viewerRequest is one request for a session, made over the manifest path or the session API, with its answer.
type viewerRequest struct {
	director, path             string // relay name of the director; URL path, or "open" for the session API
	claims                     tokenClaims
	receivedAt, answeredAt     float64
	status                     int // HTTP status or its equivalent in the session API; 0: no answer
	body                       []byte
	viewerEndAt, directorEndAt float64 // when each side ended its stream of the connection
}

// viewerRequests returns the viewers' requests for sessions in the order in which directors received them.
func (v *verifier) viewerRequests() (out []viewerRequest) {
	for _, c := range v.conns {
		// Relays in front of directors are named d0, d1, ...; a name with a slash is another connection path of a
		// director, to a media node or to the discovery service.
		if strings.Contains(c.relay, "/") || !strings.HasPrefix(c.relay, "d") {
			continue
		}
		if hasPrefix(c.fromClient.data, "GET /session") {
			out = append(out, v.sessionAPIRequests(c)...)
			continue
		}
		exchanges, extra := c.exchanges()
		if extra > 0 {
			v.report.addViolation(&v.report.AnsweredTwice, "%s: %d answers that nobody asked for", c.relay, extra)
		}
		for _, x := range exchanges {
			if x.method != "GET" || !strings.HasPrefix(x.path, "/dash/") || math.IsInf(x.receivedAt, 1) {
				continue
			}
			claims, _ := requestClaims(x)
			out = append(out, viewerRequest{c.relay, x.path, claims, x.receivedAt, x.answeredAt, x.status, x.responseBody,
				c.fromClient.endedAt, c.fromServer.endedAt})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].receivedAt < out[j].receivedAt })
	return out
}

// frame is one unmasked WebSocket frame of the session API.
type frame struct {
	at      float64 // when its last byte passed
	opcode  byte
	payload []byte
}

// frames parses the WebSocket frames that follow the HTTP head of one direction. It implements RFC 6455
// section 5.2 independently of the director's code and without fragmentation, which stand-in players do not use.
func frames(s *stream) (out []frame) {
	i := strings.Index(string(s.data), "\r\n\r\n")
	if i < 0 {
		return nil
	}
	for pos := i + 4; pos+2 <= len(s.data); {
		b := s.data[pos:]
		length, header := int(b[1]&0x7f), 2
		switch {
		case length == 126 && len(b) >= 4:
			length, header = int(binary.BigEndian.Uint16(b[2:])), 4
		case length == 127 && len(b) >= 10:
			length, header = int(binary.BigEndian.Uint64(b[2:])), 10
		}
		mask := []byte{0, 0, 0, 0}
		if b[1]&0x80 != 0 {
			if len(b) < header+4 {
				return out
			}
			mask = b[header : header+4]
			header += 4
		}
		if len(b) < header+length {
			return out
		}
		f := frame{at: s.timeOf(pos + header + length - 1), opcode: b[0] & 0x0f, payload: make([]byte, length)}
		for k := range length {
			f.payload[k] = b[header+k] ^ mask[k&3]
		}
		out = append(out, f)
		pos += header + length
	}
	return out
}

// sessionAPIRequests returns the open messages of one WebSocket connection, each with its answer.
func (v *verifier) sessionAPIRequests(c *conn) (out []viewerRequest) {
	upgrades, _ := (&conn{fromClient: c.fromClient}).exchanges()
	if len(upgrades) == 0 || !hasPrefix(c.fromServer.data, "HTTP/1.1 101 ") {
		return nil
	}
	byID := map[uint64]int{}
	for _, f := range frames(&c.fromClient) {
		var m pb.ClientMessage
		if f.opcode != 2 || proto.Unmarshal(f.payload, &m) != nil || m.GetOpen() == nil {
			continue
		}
		claims, _ := requestClaims(upgrades[0])
		if token := m.GetOpen().Token; token != "" {
			claims, _ = parseToken(token)
		}
		byID[m.Id] = len(out)
		out = append(out, viewerRequest{c.relay, "open", claims, f.at, never, 0, nil,
			c.fromClient.endedAt, c.fromServer.endedAt})
	}
	v.report.SessionAPIRequests += len(out)
	for _, f := range frames(&c.fromServer) {
		var m pb.ServerMessage
		if f.opcode != 2 || proto.Unmarshal(f.payload, &m) != nil || m.Id == 0 {
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
			v.report.addViolation(&v.report.AnsweredTwice, "%s: message %d is answered twice, or was never sent",
				c.relay, m.Id)
			continue
		}
		out[i].status, out[i].answeredAt, out[i].body = status, f.at, body
	}
	return out
}
