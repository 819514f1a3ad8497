// Package http1 parses and writes HTTP/1.1 messages (RFC 9112) for the data
// path: incremental, for any split of the bytes, bounded in every length. It
// owns no socket and no clock; time limits are the caller's.
//
// It is strict where leniency lets two parsers read one stream in two ways
// (request smuggling): both lengths, several lengths, transfer codings other
// than one final "chunked", obsolete folding, bare CR or LF and white space
// before a colon are errors, not guesses (RFC 9112 sections 2.2, 5.1, 5.2, 6.3).
package http1

import (
	"bytes"
	"fmt"
)

// Limits bounds a message. Zero means the default in brackets.
type Limits struct {
	Line   int // bytes of the first line [4096]
	Head   int // bytes of the whole head [16384]
	Fields int // header fields [64]
	Body   int // bytes of a body that is kept [65536]
}

func (l Limits) with(line, head, fields, body int) Limits {
	pick := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	pick(&l.Line, line)
	pick(&l.Head, head)
	pick(&l.Fields, fields)
	pick(&l.Body, body)
	return l
}

// Error is a message that can't be taken; Status is what a server answers to it.
type Error struct {
	Status int
	Why    string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s", e.Why) }

func bad(why string) *Error { return &Error{400, why} }

// Field is one header field; both parts are valid until the parser's next message.
type Field struct{ Name, Value []byte }

// Message is a request or a response as parsed. Its bytes belong to the parser and are valid until Next.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Minor          int    // HTTP/1.Minor
	Fields         []Field
	Body           []byte // empty where a sink took it
	Close          bool   // no further message follows on this connection
	Length         int64  // -1: not told
	Chunked        bool
}

// Get finds the first field of that name (given in lower case); nil where there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

type state uint8

// The states of a parser. Every byte is consumed in exactly one of them.
const (
	inHead state = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	untilClose
	complete
	broken
)

// Parser reads one message after the other. The zero value with Request or
// Response as its kind is not usable: make it with NewRequests or NewResponses.
type Parser struct {
	Msg      Message
	Sink     func([]byte) // takes body bytes as they come (for streams); nil: they are kept in Msg.Body
	NoBody   bool         // the awaited response has none (it answers HEAD)
	limits   Limits
	response bool
	st       state
	head     []byte // bytes of an unfinished head, or of a chunk line
	keep     []byte // storage that Msg points into
	body     []byte
	left     int64
	trailer  int
	scanned  int
	err      *Error
}

// NewRequests makes a parser of requests.
func NewRequests(l Limits) *Parser { return &Parser{limits: l.with(4096, 16384, 64, 65536)} }

// NewResponses makes a parser of responses.
func NewResponses(l Limits) *Parser {
	return &Parser{limits: l.with(4096, 16384, 64, 65536), response: true}
}

// Idle tells that no byte of a next message has come.
func (p *Parser) Idle() bool { return p.st == inHead && len(p.head) == 0 }

// HeadDone tells that the head is parsed and a body, or its end, is awaited.
func (p *Parser) HeadDone() bool { return p.st != inHead && p.st != broken }

// Next makes ready for the next message after a complete one; Msg's bytes are void from then on.
func (p *Parser) Next() {
	fields := p.Msg.Fields[:0]
	p.Msg = Message{Fields: fields}
	p.st, p.left, p.trailer, p.scanned = inHead, 0, 0, 0
	p.head, p.body = p.head[:0], p.body[:0]
	if cap(p.body) > 8192 {
		p.body = nil // one large body does not keep its memory on a kept connection
	}
	p.NoBody, p.Sink = false, nil
}

// Feed takes bytes and returns how many of them belong to the present message. done tells that Msg is whole;
// the rest of b belongs to the next one. After an error the connection can't be used further.
func (p *Parser) Feed(b []byte) (n int, done bool, err error) {
	for n < len(b) || p.st == complete {
		if p.st == complete {
			return n, true, nil
		}
		k, e := p.step(b[n:])
		n += k
		if e != nil {
			p.st, p.err = broken, e
			return n, false, e
		}
	}
	return n, p.st == complete, nil
}

// End tells the parser that the stream has ended. It returns true where that completes the message (a
// response whose length was not told), and an error where it cuts one short.
func (p *Parser) End() (bool, error) {
	switch {
	case p.st == untilClose:
		p.st = complete
		p.Msg.Body = p.body
		return true, nil
	case p.st == complete, p.Idle():
		return false, nil
	}
	return false, bad("the stream ended within a message")
}

func (p *Parser) step(b []byte) (int, *Error) {
	switch p.st {
	case inHead:
		return p.readHead(b)
	case inBody, inChunkData:
		k := int(min(int64(len(b)), p.left))
		if e := p.take(b[:k]); e != nil {
			return k, e
		}
		if p.left -= int64(k); p.left == 0 {
			if p.st == inChunkData {
				p.st = inChunkEnd
			} else {
				p.finish()
			}
		}
		return k, nil
	case untilClose:
		return len(b), p.take(b)
	case inChunkSize, inChunkEnd, inTrailer:
		return p.readLine(b)
	}
	return 0, p.err
}

func (p *Parser) take(b []byte) *Error {
	if p.Sink != nil {
		if len(b) > 0 {
			p.Sink(b)
		}
		return nil
	}
	if len(p.body)+len(b) > p.limits.Body {
		return &Error{413, "body is longer than this server takes"}
	}
	p.body = append(p.body, b...)
	return nil
}

func (p *Parser) finish() {
	p.st = complete
	p.Msg.Body = p.body
}

// readHead gathers bytes up to the empty line. The line limit acts before the head is whole, so that a peer
// that never ends its first line is found early.
func (p *Parser) readHead(b []byte) (int, *Error) {
	if len(p.head) == 0 && !p.response { // RFC 9112 2.2: a server skips an empty line before a request line
		skip := 0
		for skip+1 < len(b) && b[skip] == '\r' && b[skip+1] == '\n' {
			skip += 2
		}
		if skip > 0 {
			if p.trailer += skip; p.trailer > 16 { // not for ever: it is work without a request
				return skip, bad("empty lines before the request line")
			}
			return skip, nil
		}
	}
	if len(p.head) == 1 && p.head[0] == '\r' && b[0] == '\n' && !p.response { // it came in two parts
		p.head = p.head[:0]
		if p.trailer += 2; p.trailer > 16 {
			return 1, bad("empty lines before the request line")
		}
		return 1, nil
	}
	had := len(p.head)
	if had == 0 { // the usual case, a head in one piece: only it is copied, not all that is pipelined behind it
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			p.head = append(p.head, b[:end+4]...)
		} else {
			p.head = append(p.head, b...)
		}
	} else {
		p.head = append(p.head, b...)
	}
	from := max(p.scanned-3, 0)
	end := bytes.Index(p.head[from:], []byte("\r\n\r\n"))
	if end < 0 {
		p.scanned = len(p.head)
		if len(p.head) > p.limits.Line && bytes.IndexByte(p.head[:p.limits.Line], '\n') < 0 {
			return len(b), p.tooLong()
		}
		if len(p.head) > p.limits.Head {
			return len(b), &Error{431, "header is longer than this server takes"}
		}
		return len(b), nil
	}
	end += from
	total := end + 4
	if total > p.limits.Head {
		return len(b), &Error{431, "header is longer than this server takes"}
	}
	used := total - had
	p.keep = append(p.keep[:0], p.head[:total]...)
	p.head, p.scanned = p.head[:0], 0
	if e := p.parseHead(p.keep[:end+2]); e != nil {
		return used, e
	}
	return used, p.frame()
}

func (p *Parser) tooLong() *Error {
	if p.response {
		return bad("status line is too long")
	}
	return &Error{414, "request line is longer than this server takes"}
}

// parseHead reads lines, each ended by CRLF.
func (p *Parser) parseHead(h []byte) *Error {
	line, rest, e := cut(h)
	if e != nil {
		return e
	}
	if len(line) > p.limits.Line {
		return p.tooLong()
	}
	if p.response {
		e = p.statusLine(line)
	} else {
		e = p.requestLine(line)
	}
	if e != nil {
		return e
	}
	for len(rest) > 0 {
		if line, rest, e = cut(rest); e != nil {
			return e
		}
		f, e := field(line)
		if e != nil {
			return e
		}
		if len(p.Msg.Fields) >= p.limits.Fields {
			return &Error{431, "more header fields than this server takes"}
		}
		p.Msg.Fields = append(p.Msg.Fields, f)
	}
	return nil
}

// cut takes one line; a bare CR or LF anywhere is an error.
func cut(b []byte) (line, rest []byte, e *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, bad("a line ends without CR LF")
	}
	line = b[:i-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, bad("a bare CR within a line")
	}
	return line, b[i+1:], nil
}

func field(line []byte) (Field, *Error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Field{}, bad("obsolete line folding")
	}
	i := bytes.IndexByte(line, ':')
	if i <= 0 {
		return Field{}, bad("a header line without a name")
	}
	for _, c := range line[:i] {
		if !token[c] {
			return Field{}, bad("a header name with a character that none may have")
		}
	}
	v := bytes.Trim(line[i+1:], " \t")
	for _, c := range v {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, bad("a header value with a control character")
		}
	}
	return Field{line[:i], v}, nil
}

var token = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func (p *Parser) requestLine(line []byte) *Error {
	a := bytes.IndexByte(line, ' ')
	z := bytes.LastIndexByte(line, ' ')
	if a <= 0 || z <= a+1 || bytes.IndexByte(line[a+1:z], ' ') >= 0 {
		return bad("request line is not METHOD TARGET HTTP/1.x")
	}
	for _, c := range line[:a] {
		if !token[c] {
			return bad("method has a character that none may have")
		}
	}
	for _, c := range line[a+1 : z] {
		if c <= ' ' || c >= 0x7f {
			return bad("target has a character that none may have")
		}
	}
	p.Msg.Method, p.Msg.Target = line[:a], line[a+1:z]
	return p.version(line[z+1:])
}

func (p *Parser) version(v []byte) *Error {
	if len(v) != 8 || !bytes.HasPrefix(v, []byte("HTTP/")) || v[6] != '.' || v[5] < '0' || v[5] > '9' ||
		v[7] < '0' || v[7] > '9' {
		return bad("version is not HTTP/1.x")
	}
	if v[5] != '1' {
		return &Error{505, "HTTP version is not 1.x"}
	}
	p.Msg.Minor = int(v[7] - '0')
	return nil
}

func (p *Parser) statusLine(line []byte) *Error {
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return bad("status line is not HTTP/1.x CODE REASON")
	}
	code := 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return bad("status code is no number")
		}
		code = code*10 + int(c-'0')
	}
	if code < 100 {
		return bad("status code is under 100")
	}
	p.Msg.Status = code
	return p.version(line[:8])
}

// frame finds the length of the body (RFC 9112 6.3).
func (p *Parser) frame() *Error {
	m := &p.Msg
	m.Length, m.Close = -1, m.Minor == 0
	hosts, codings := 0, 0
	for i := range m.Fields {
		f := &m.Fields[i]
		switch {
		case equalFold(f.Name, "content-length"):
			n, ok := number(f.Value)
			if !ok || m.Length >= 0 {
				return bad("content-length is not one plain number")
			}
			m.Length = n
		case equalFold(f.Name, "transfer-encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") {
				return &Error{501, "transfer coding other than one chunked"}
			}
			m.Chunked = true
		case equalFold(f.Name, "connection"):
			m.Close = hasWord(f.Value, "close") || m.Close && !hasWord(f.Value, "keep-alive")
		case equalFold(f.Name, "host"):
			hosts++
		}
	}
	switch {
	case m.Chunked && m.Length >= 0:
		return bad("both content-length and transfer-encoding")
	case m.Chunked && m.Minor == 0:
		return bad("transfer-encoding in HTTP/1.0")
	case !p.response && (hosts > 1 || hosts == 0 && m.Minor > 0):
		return bad("a request needs exactly one Host")
	}
	if p.response && (p.NoBody || m.Status < 200 || m.Status == 204 || m.Status == 304) {
		p.finish()
		return nil
	}
	switch {
	case m.Chunked:
		p.st = inChunkSize
	case m.Length > 0:
		if p.Sink == nil && m.Length > int64(p.limits.Body) {
			return &Error{413, "body is longer than this server takes"}
		}
		p.st, p.left = inBody, m.Length
	case m.Length < 0 && p.response:
		p.st, m.Close = untilClose, true
	default:
		p.finish()
	}
	return nil
}

func number(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 15 {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// HasWord finds a word in a comma-separated list; the word is given in lower case.
func HasWord(list []byte, word string) bool { return hasWord(list, word) }

// hasWord finds a word in a comma-separated list; the word is given in lower case.
func hasWord(list []byte, word string) bool {
	for len(list) > 0 {
		var w []byte
		if w, list, _ = bytes.Cut(list, []byte(",")); equalFold(bytes.Trim(w, " \t"), word) {
			return true
		}
	}
	return false
}

// readLine gathers one short line of the chunked coding: a size, the CR LF after a chunk, or a trailer field.
func (p *Parser) readLine(b []byte) (int, *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if p.head = append(p.head, b...); len(p.head) > p.limits.Line {
			return len(b), bad("a line of the chunked coding is too long")
		}
		return len(b), nil
	}
	p.head = append(p.head, b[:i+1]...)
	if len(p.head) > p.limits.Line {
		return i + 1, bad("a line of the chunked coding is too long")
	}
	line, _, e := cut(p.head)
	if e != nil {
		return i + 1, e
	}
	switch p.st {
	case inChunkEnd:
		if len(line) != 0 {
			return i + 1, bad("a chunk is longer than said")
		}
		p.st = inChunkSize
	case inChunkSize:
		size, e := chunkSize(line)
		if e != nil {
			return i + 1, e
		}
		if p.left = size; size == 0 {
			p.st = inTrailer
		} else {
			p.st = inChunkData
		}
	case inTrailer: // trailer fields are checked and dropped (RFC 9110 6.5.1)
		if len(line) == 0 {
			p.head = p.head[:0]
			p.finish()
			return i + 1, nil
		}
		if p.trailer += len(line) + 2; p.trailer > p.limits.Head {
			return i + 1, &Error{431, "trailer is longer than this server takes"}
		}
		if _, e := field(line); e != nil {
			return i + 1, e
		}
	}
	p.head = p.head[:0]
	return i + 1, nil
}

func chunkSize(line []byte) (int64, *Error) {
	hex, _, _ := bytes.Cut(line, []byte(";"))
	hex = bytes.TrimRight(hex, " \t") // RFC 9112 7.1.1: BWS before an extension
	if len(hex) == 0 || len(hex) > 12 {
		return 0, bad("chunk size is not a hex number")
	}
	n := int64(0)
	for _, c := range hex {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int64(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		case c >= 'A' && c <= 'F':
			n = n<<4 | int64(c-'A'+10)
		default:
			return 0, bad("chunk size is not a hex number")
		}
	}
	return n, nil
}
