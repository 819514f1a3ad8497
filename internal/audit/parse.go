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

// never is the time of an event that did not happen within the recording.
var never = math.Inf(1)

// stream is one direction of a connection: its bytes and the time at which each of them passed the relay.
type stream struct {
	data    []byte
	offsets []int     // end offset of each recorded chunk
	times   []float64 // time of each recorded chunk, ms
	endedAt float64   // when the stream ended
}

func (s *stream) add(r relay.Record) {
	s.data = append(s.data, r.Data...)
	s.offsets = append(s.offsets, len(s.data))
	s.times = append(s.times, r.AtMs)
}

// timeOf returns the time at which the byte at an offset passed.
func (s *stream) timeOf(offset int) float64 {
	i := sort.SearchInts(s.offsets, offset+1)
	if i >= len(s.times) {
		return never
	}
	return s.times[i]
}

// conn is one recorded connection. The client is the side that connected.
type conn struct {
	relay                  string
	id                     int
	fromClient, fromServer stream
}

// exchange is one HTTP request with its response.
type exchange struct {
	method, path            string
	query                   url.Values
	header                  http.Header
	form                    url.Values // nil unless the body is a complete form
	firstByteAt, receivedAt float64    // when the request's first and last byte passed
	status                  int        // 0: no complete response
	answeredAt              float64    // when the response's last byte passed
	responseHeader          http.Header
	responseBody            []byte
	conn                    *conn
}

// sizedReader is a reader of a buffer with the buffer's size, from which consumed computes a parser's position.
type sizedReader struct {
	reader *bytes.Reader
	size   int
}

// consumed returns how many bytes of the buffer have been read through buffered, which wraps c.
func consumed(c *sizedReader, buffered *bufio.Reader) int {
	return c.size - c.reader.Len() - buffered.Buffered()
}

// exchanges parses both directions of a connection. extra counts responses without a request.
func (c *conn) exchanges() (out []*exchange, extra int) {
	requests := &sizedReader{bytes.NewReader(c.fromClient.data), len(c.fromClient.data)}
	requestReader := bufio.NewReaderSize(requests.reader, 4096)
	for {
		start := consumed(requests, requestReader)
		if start >= len(c.fromClient.data) {
			break
		}
		request, err := http.ReadRequest(requestReader)
		if err != nil {
			// A set-up of which only a part was sent still counts as sent.
			if name, ok := strings.CutPrefix(string(c.fromClient.data[start:]), "PUT "); ok {
				path, _, _ := strings.Cut(name, " ")
				out = append(out, &exchange{method: "PUT", path: path, firstByteAt: c.fromClient.timeOf(start),
					receivedAt: never, answeredAt: never, conn: c})
			}
			break
		}
		body, err := io.ReadAll(request.Body)
		x := &exchange{method: request.Method, path: request.URL.Path, query: request.URL.Query(),
			header: request.Header, firstByteAt: c.fromClient.timeOf(start),
			receivedAt: never, answeredAt: never, conn: c}
		if err == nil {
			x.receivedAt = c.fromClient.timeOf(consumed(requests, requestReader) - 1)
		}
		if strings.HasPrefix(request.Header.Get("Content-Type"), "application/x-www-form-urlencoded") {
			x.form, _ = url.ParseQuery(string(body))
		}
		out = append(out, x)
		if err != nil {
			break
		}
	}
	responses := &sizedReader{bytes.NewReader(c.fromServer.data), len(c.fromServer.data)}
	responseReader := bufio.NewReaderSize(responses.reader, 4096)
	for i := 0; consumed(responses, responseReader) < len(c.fromServer.data); i++ {
		var request *http.Request
		if i < len(out) {
			request = &http.Request{Method: out[i].method}
		}
		response, err := http.ReadResponse(responseReader, request)
		if err != nil {
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil && response.Header.Get("Content-Type") != "text/event-stream" {
			break
		}
		if i >= len(out) {
			extra++
			continue
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && math.IsInf(c.fromServer.endedAt, 1) {
			break // The body ends with the connection, which is still open.
		}
		out[i].status, out[i].responseHeader, out[i].responseBody = response.StatusCode, response.Header, body
		out[i].answeredAt = c.fromServer.timeOf(consumed(responses, responseReader) - 1)
	}
	return out, extra
}

// event is one event of a text/event-stream.
type event struct {
	at         float64 // when the event's last byte passed
	kind, data string
}

// events parses the event stream that answers the connection's only request. It decodes the chunked transfer
// coding itself in order to know when each byte passed.
func (c *conn) events() (out []event) {
	b := c.fromServer.data
	i := bytes.Index(b, []byte("\r\n\r\n"))
	if i < 0 {
		return nil
	}
	chunked := bytes.Contains(bytes.ToLower(b[:i]), []byte("transfer-encoding: chunked"))
	pos := i + 4
	kind, data := "message", ""
	var line []byte
	parse := func(part []byte, offset int) {
		for k, char := range part {
			if char != '\n' {
				line = append(line, char)
				continue
			}
			text := strings.TrimSuffix(string(line), "\r")
			line = line[:0]
			name, value, _ := strings.Cut(text, ":")
			value = strings.TrimPrefix(value, " ")
			switch {
			case text == "":
				if data != "" {
					out = append(out, event{c.fromServer.timeOf(offset + k), kind, data})
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
		parse(b[pos:], pos)
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
		parse(b[pos:end], pos)
		pos = end + 2
	}
	return out
}

// tokenClaims is the payload of a session token, decoded without verifying its signature.
type tokenClaims struct {
	JTI     string
	Subject string `json:"sub"`
	Title   string
	Class   string
	Tenant  string `json:"brand"`
	MaxRung int    `json:"top"`
}

// requestClaims reads the session token of a request from its query or, failing that, its Authorization header.
func requestClaims(x *exchange) (claims tokenClaims, ok bool) {
	token := x.query.Get("token")
	if token == "" {
		token = strings.TrimPrefix(x.header.Get("Authorization"), "Bearer ")
	}
	return parseToken(token)
}

func parseToken(token string) (claims tokenClaims, ok bool) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return claims, false
	}
	text, err := base64.RawURLEncoding.DecodeString(parts[1])
	return claims, err == nil && json.Unmarshal(text, &claims) == nil && claims.JTI != ""
}

// manifestSession returns the session's name from a manifest, whose BaseURL has the form http://NODE/v/NAME/.
func manifestSession(mpd []byte) string {
	var manifest struct {
		BaseURL string `xml:"BaseURL"`
	}
	if xml.Unmarshal(mpd, &manifest) != nil {
		return ""
	}
	u, err := url.Parse(manifest.BaseURL)
	if err != nil {
		return ""
	}
	return strings.TrimSuffix(strings.TrimPrefix(u.Path, "/v/"), "/")
}

// groupRecords assembles records into connections. marks are the events of the scenario run itself (relay.Mark).
func groupRecords(records []relay.Record) (conns []*conn, marks []relay.Record) {
	byID := map[int]*conn{}
	for _, r := range records {
		if r.Kind == relay.Mark {
			marks = append(marks, r)
			continue
		}
		c := byID[r.Conn]
		if c == nil {
			c = &conn{relay: r.Relay, id: r.Conn}
			c.fromClient.endedAt, c.fromServer.endedAt = never, never
			byID[r.Conn] = c
			conns = append(conns, c)
		}
		switch r.Kind {
		case relay.ClientData:
			c.fromClient.add(r)
		case relay.ServerData:
			c.fromServer.add(r)
		case relay.ClientEnd:
			c.fromClient.endedAt = math.Min(c.fromClient.endedAt, r.AtMs)
		case relay.ServerEnd:
			c.fromServer.endedAt = math.Min(c.fromServer.endedAt, r.AtMs)
		}
	}
	return conns, marks
}
