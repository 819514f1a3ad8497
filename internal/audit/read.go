// Package audit judges a rehearsal by the rules that bind every director. It
// reads nothing but what relays saw pass on the sockets, with times, and the
// box lists as they were told there. It shares no code with the director: it
// has its own reading of HTTP (net/http), of tokens and of manifests.
package audit

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"encoding/xml"
	"io"
	"math"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"headmill/internal/standin/relay"
)

var never = math.Inf(1)

// side is one direction of a connection: the bytes, and when each of them passed.
type side struct {
	buf   []byte
	ends  []int
	times []float64
	end   float64 // when the stream ended
}

func (s *side) add(r relay.Record) {
	s.buf = append(s.buf, r.Data...)
	s.ends = append(s.ends, len(s.buf))
	s.times = append(s.times, r.AtMs)
}

// at is when the byte at an offset passed.
func (s *side) at(off int) float64 {
	i := sort.SearchInts(s.ends, off+1)
	if i >= len(s.times) {
		return never
	}
	return s.times[i]
}

type conn struct {
	tap         string
	id          int
	forth, back side
}

// request is one message of the connecting side with its answer.
type request struct {
	method, path string
	query        url.Values
	header       http.Header
	form         url.Values
	first, whole float64 // when its first and last byte passed
	status       int     // 0: no whole answer
	answered     float64 // when the answer's last byte passed
	reply        http.Header
	body         []byte
	conn         *conn
}

// counter reads a buffer and knows how far a bufio.Reader on it has come.
type counter struct {
	r    *bytes.Reader
	size int
}

func offset(c *counter, br *bufio.Reader) int { return c.size - c.r.Len() - br.Buffered() }

// requests parses both sides of a connection. extra counts answers that no request asked for.
func (c *conn) requests() (out []*request, extra int) {
	fc := &counter{bytes.NewReader(c.forth.buf), len(c.forth.buf)}
	fr := bufio.NewReaderSize(fc.r, 4096)
	for {
		from := offset(fc, fr)
		if from >= len(c.forth.buf) {
			break
		}
		q, err := http.ReadRequest(fr)
		if err != nil {
			if name, ok := strings.CutPrefix(string(c.forth.buf[from:]), "PUT "); ok { // a set-up cut short has left all the same
				path, _, _ := strings.Cut(name, " ")
				out = append(out, &request{method: "PUT", path: path, first: c.forth.at(from), whole: never,
					answered: never, conn: c})
			}
			break
		}
		body, err := io.ReadAll(q.Body)
		r := &request{method: q.Method, path: q.URL.Path, query: q.URL.Query(), header: q.Header, first: c.forth.at(from),
			whole: never, answered: never, conn: c}
		if err == nil {
			r.whole = c.forth.at(offset(fc, fr) - 1)
		}
		if strings.HasPrefix(q.Header.Get("Content-Type"), "application/x-www-form-urlencoded") {
			r.form, _ = url.ParseQuery(string(body))
		}
		out = append(out, r)
		if err != nil {
			break
		}
	}
	bc := &counter{bytes.NewReader(c.back.buf), len(c.back.buf)}
	br := bufio.NewReaderSize(bc.r, 4096)
	for i := 0; offset(bc, br) < len(c.back.buf); i++ {
		var q *http.Request
		if i < len(out) {
			q = &http.Request{Method: out[i].method}
		}
		resp, err := http.ReadResponse(br, q)
		if err != nil {
			break
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil && resp.Header.Get("Content-Type") != "text/event-stream" {
			break
		}
		if i >= len(out) {
			extra++
			continue
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && math.IsInf(c.back.end, 1) {
			break // its end is the end of the stream, which has not come
		}
		out[i].status, out[i].reply, out[i].body = resp.StatusCode, resp.Header, body
		out[i].answered = c.back.at(offset(bc, br) - 1)
	}
	return out, extra
}

// event is one event of a text/event-stream with the time at which its end passed.
type event struct {
	at         float64
	kind, data string
}

// events reads the stream that answers the connection's only request; it takes the chunked coding apart by
// itself, to know when each byte passed.
func (c *conn) events() (out []event) {
	b := c.back.buf
	i := bytes.Index(b, []byte("\r\n\r\n"))
	if i < 0 {
		return nil
	}
	chunked := bytes.Contains(bytes.ToLower(b[:i]), []byte("transfer-encoding: chunked"))
	pos := i + 4
	kind, data := "message", ""
	var line []byte
	feed := func(part []byte, from int) {
		for k, ch := range part {
			if ch != '\n' {
				line = append(line, ch)
				continue
			}
			text := strings.TrimSuffix(string(line), "\r")
			line = line[:0]
			name, value, _ := strings.Cut(text, ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case text == "":
				if data != "" {
					out = append(out, event{c.back.at(from + k), kind, data})
				}
				kind, data = "message", ""
			case name == "event":
				kind = value
			case name == "data":
				data += value
			}
		}
	}
	if !chunked {
		feed(b[pos:], pos)
		return out
	}
	for pos < len(b) {
		n := bytes.Index(b[pos:], []byte("\r\n"))
		if n < 0 {
			return out
		}
		size, err := strconv.ParseInt(string(b[pos:pos+n]), 16, 32)
		if err != nil || size == 0 {
			return out
		}
		pos += n + 2
		end := min(pos+int(size), len(b))
		feed(b[pos:end], pos)
		pos = end + 2
	}
	return out
}

// claims is the auditor's own reading of a token's payload.
type claims struct {
	JTI, Sub, Title, Class, Brand string
	Top                           int
}

func readToken(r *request) (c claims, ok bool) {
	raw := r.query.Get("token")
	if raw == "" {
		raw = strings.TrimPrefix(r.header.Get("Authorization"), "Bearer ")
	}
	return readRaw(raw)
}

func readRaw(raw string) (c claims, ok bool) {
	parts := strings.Split(raw, ".")
	if len(parts) != 3 {
		return c, false
	}
	text, err := base64.RawURLEncoding.DecodeString(parts[1])
	return c, err == nil && json.Unmarshal(text, &c) == nil && c.JTI != ""
}

// sessionOf finds the session's name in a manifest: its BaseURL is at http://BOX/v/NAME/.
func sessionOf(mpd []byte) string {
	var m struct {
		BaseURL string `xml:"BaseURL"`
	}
	if xml.Unmarshal(mpd, &m) != nil {
		return ""
	}
	u, err := url.Parse(m.BaseURL)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(u.Path, "/v/"), "/")
}

// gather sorts records into connections, and marks by name.
func gather(recs []relay.Record) (conns []*conn, marks []relay.Record) {
	byID := map[int]*conn{}
	for _, r := range recs {
		if r.Kind == relay.Mark {
			marks = append(marks, r)
			continue
		}
		c := byID[r.Conn]
		if c == nil {
			c = &conn{tap: r.Tap, id: r.Conn}
			c.forth.end, c.back.end = never, never
			byID[r.Conn] = c
			conns = append(conns, c)
		}
		switch r.Kind {
		case relay.Forth:
			c.forth.add(r)
		case relay.Back:
			c.back.add(r)
		case relay.ForthEnd:
			c.forth.end = math.Min(c.forth.end, r.AtMs)
		case relay.BackEnd:
			c.back.end = math.Min(c.back.end, r.AtMs)
		}
	}
	return conns, marks
}
