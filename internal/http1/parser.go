// Package http1 parses and writes HTTP/1.1 messages (RFC 9112) for the data
// path, and parses server-sent events. The parsers are incremental: input may
// be split anywhere, and every length is bounded. The package owns no socket
// and no clock; timeouts are the caller's responsibility.
//
// It is strict where leniency lets two parsers read one stream differently
// (request smuggling): Content-Length together with Transfer-Encoding, several
// lengths, transfer codings other than a single "chunked", obsolete line
// folding, bare CR or LF and white space before a colon are errors
// (RFC 9112 sections 2.2, 5.1, 5.2, 6.3).
package http1

import (
	"bytes"
	"fmt"
)

// Limits bounds the parts of a message. Zero selects the default given in brackets.
type Limits struct {
	Line   int // bytes of the request line or status line [4096]
	Head   int // bytes of the first line and all header fields [16384]
	Fields int // number of header fields [64]
	Body   int // bytes of a body that is buffered in Message.Body [65536]
}

func (l Limits) withDefaults(line, head, fields, body int) Limits {
	setDefault := func(v *int, defaultValue int) {
		if *v <= 0 {
			*v = defaultValue
		}
	}
	setDefault(&l.Line, line)
	setDefault(&l.Head, head)
	setDefault(&l.Fields, fields)
	setDefault(&l.Body, body)
	return l
}

// Error describes why a message was rejected. Status is the status code with which a server answers a request; it has no
// meaning for a response. Reasons are external: clients receive them.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s", e.Reason) }

// badRequest returns an Error with status 400.
func badRequest(why string) *Error { return &Error{400, why} }

// Field is a header field; name and value are valid until Parser.Next.
type Field struct{ Name, Value []byte }

// Message is a parsed request or response. Its bytes belong to the parser and are valid until Parser.Next.
type Message struct {
	Method, Target []byte // requests only
	Status         int    // responses only
	Minor          int    // minor version: HTTP/1.Minor
	Fields         []Field
	Body           []byte // empty if Parser.Sink received the body
	Close          bool   // no further message follows on this connection
	Length         int64  // value of Content-Length; -1 if absent
	Chunked        bool
}

// Get returns the value of the first field with the given lower-case name, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// equalFold compares b, ignoring ASCII case, with a lower-case string.
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

type parserState uint8

// The states of a parser. Every byte is consumed in exactly one of them.
//
//	state       meaning                                   events
//	head        first line and header fields              empty line: body, chunk size, until close or complete
//	body        body of known length                      last byte: complete
//	chunk size  line with the size of the next chunk      size above 0: chunk data; size 0: trailer
//	chunk data  bytes of a chunk                          last byte: chunk end
//	chunk end   CR LF after a chunk                       CR LF: chunk size
//	trailer     trailer fields, checked and discarded     empty line: complete
//	until close response body of unknown length           End: complete
//	complete    Msg is whole                              Next: head
//	failed      malformed input, in any state             none; the connection cannot be used further
const (
	stateHead parserState = iota
	stateBody
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailer
	stateUntilClose
	stateComplete
	stateFailed
)

// Parser parses one message after the other. The zero value is not usable: create a parser with NewRequests or
// NewResponses.
type Parser struct {
	Msg          Message
	Sink         func([]byte) // receives body bytes as they arrive (for streams); nil: they are buffered in Msg.Body
	NoBody       bool         // the next response has no body (it answers a HEAD request)
	limits       Limits
	response     bool
	state        parserState
	pending      []byte // an incomplete head, or an incomplete line of the chunked coding
	headStorage  []byte // copy of the head that Msg points into
	body         []byte
	remaining    int64 // bytes still to come of the body or of the current chunk
	ignoredBytes int   // bytes of empty lines before the request line, then of trailer fields
	scannedBytes int   // bytes of pending that were searched for the end of the head
	err          *Error
}

// NewRequests returns a parser of requests.
func NewRequests(l Limits) *Parser { return &Parser{limits: l.withDefaults(4096, 16384, 64, 65536)} }

// NewResponses returns a parser of responses.
func NewResponses(l Limits) *Parser {
	return &Parser{limits: l.withDefaults(4096, 16384, 64, 65536), response: true}
}

// Idle reports whether no byte of the next message has been received.
func (p *Parser) Idle() bool { return p.state == stateHead && len(p.pending) == 0 }

// Held returns the memory, in bytes, that the parser holds for the current message.
func (p *Parser) Held() int { return cap(p.pending) + cap(p.headStorage) + cap(p.body) }

// HeadDone reports whether the head of the current message has been parsed.
func (p *Parser) HeadDone() bool { return p.state != stateHead && p.state != stateFailed }

// Next prepares the parser for the message after a complete one. The bytes that Msg referred to are no longer valid, and
// Sink and NoBody are reset.
func (p *Parser) Next() {
	fields := p.Msg.Fields[:0]
	p.Msg = Message{Fields: fields}
	p.state, p.remaining, p.ignoredBytes, p.scannedBytes = stateHead, 0, 0, 0
	p.pending, p.body = p.pending[:0], p.body[:0]
	if cap(p.body) > 8192 {
		p.body = nil // a single large body must not hold its memory on a persistent connection
	}
	p.NoBody, p.Sink = false, nil
}

// Feed consumes bytes and returns how many of them belong to the current message. done reports that Msg is complete; the
// rest of b belongs to the next message. After an error the connection cannot be used further.
func (p *Parser) Feed(b []byte) (n int, done bool, err error) {
	for n < len(b) || p.state == stateComplete {
		if p.state == stateComplete {
			return n, true, nil
		}
		consumed, e := p.step(b[n:])
		n += consumed
		if e != nil {
			p.state, p.err = stateFailed, e
			return n, false, e
		}
	}
	return n, p.state == stateComplete, nil
}

// End is called at the end of the stream. It returns true if that completes the message (a response without a declared
// length), and an error if the message is incomplete.
func (p *Parser) End() (bool, error) {
	switch {
	case p.state == stateUntilClose:
		p.state = stateComplete
		p.Msg.Body = p.body
		return true, nil
	case p.state == stateComplete, p.Idle():
		return false, nil
	}
	return false, badRequest("the stream ended within a message")
}

func (p *Parser) step(b []byte) (int, *Error) {
	switch p.state {
	case stateHead:
		return p.readHead(b)
	case stateBody, stateChunkData:
		size := int(min(int64(len(b)), p.remaining))
		if e := p.consumeBody(b[:size]); e != nil {
			return size, e
		}
		if p.remaining -= int64(size); p.remaining == 0 {
			if p.state == stateChunkData {
				p.state = stateChunkEnd
			} else {
				p.finishMessage()
			}
		}
		return size, nil
	case stateUntilClose:
		return len(b), p.consumeBody(b)
	case stateChunkSize, stateChunkEnd, stateTrailer:
		return p.readChunkLine(b)
	}
	return 0, p.err
}

func (p *Parser) consumeBody(b []byte) *Error {
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

func (p *Parser) finishMessage() {
	p.state = stateComplete
	p.Msg.Body = p.body
}

// readHead collects bytes up to the empty line. The line limit applies before the head is complete, so that a peer that
// never ends its first line is rejected early.
func (p *Parser) readHead(b []byte) (int, *Error) {
	if len(p.pending) == 0 && !p.response { // RFC 9112 2.2: a server skips an empty line before a request line
		skip := 0
		for skip+1 < len(b) && b[skip] == '\r' && b[skip+1] == '\n' {
			skip += 2
		}
		if skip > 0 {
			if p.ignoredBytes += skip; p.ignoredBytes > 16 { // bytes; bounded, since it is work without a request
				return skip, badRequest("empty lines before the request line")
			}
			return skip, nil
		}
	}
	if len(p.pending) == 1 && p.pending[0] == '\r' && b[0] == '\n' && !p.response { // CR and LF arrived in separate calls
		p.pending = p.pending[:0]
		if p.ignoredBytes += 2; p.ignoredBytes > 16 { // the same bound
			return 1, badRequest("empty lines before the request line")
		}
		return 1, nil
	}
	buffered := len(p.pending)
	if buffered == 0 { // common case, a head in one piece: copy only the head, not the data pipelined behind it
		if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
			p.pending = append(p.pending, b[:end+4]...)
		} else {
			p.pending = append(p.pending, b...)
		}
	} else {
		p.pending = append(p.pending, b...)
	}
	from := max(p.scannedBytes-3, 0)
	end := bytes.Index(p.pending[from:], []byte("\r\n\r\n"))
	if end < 0 {
		p.scannedBytes = len(p.pending)
		if len(p.pending) > p.limits.Line && bytes.IndexByte(p.pending[:p.limits.Line], '\n') < 0 {
			return len(b), p.lineTooLong()
		}
		if len(p.pending) > p.limits.Head {
			return len(b), &Error{431, "header is longer than this server takes"}
		}
		return len(b), nil
	}
	end += from
	total := end + 4
	if total > p.limits.Head {
		return len(b), &Error{431, "header is longer than this server takes"}
	}
	used := total - buffered
	p.headStorage = append(p.headStorage[:0], p.pending[:total]...)
	p.pending, p.scannedBytes = p.pending[:0], 0
	if e := p.parseHead(p.headStorage[:end+2]); e != nil {
		return used, e
	}
	return used, p.determineBodyLength()
}

func (p *Parser) lineTooLong() *Error {
	if p.response {
		return badRequest("status line is too long")
	}
	return &Error{414, "request line is longer than this server takes"}
}

// parseHead parses the first line and the header fields, each terminated by CR LF.
func (p *Parser) parseHead(head []byte) *Error {
	line, rest, e := cutLine(head)
	if e != nil {
		return e
	}
	if len(line) > p.limits.Line {
		return p.lineTooLong()
	}
	if p.response {
		e = p.parseStatusLine(line)
	} else {
		e = p.parseRequestLine(line)
	}
	if e != nil {
		return e
	}
	for len(rest) > 0 {
		if line, rest, e = cutLine(rest); e != nil {
			return e
		}
		f, e := parseField(line)
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

// cutLine splits off one line without its CR LF; a bare CR or LF is an error.
func cutLine(b []byte) (line, rest []byte, e *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, badRequest("a line ends without CR LF")
	}
	line = b[:i-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, badRequest("a bare CR within a line")
	}
	return line, b[i+1:], nil
}

func parseField(line []byte) (Field, *Error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Field{}, badRequest("obsolete line folding")
	}
	i := bytes.IndexByte(line, ':')
	if i <= 0 {
		return Field{}, badRequest("a header line without a name")
	}
	for _, c := range line[:i] {
		if !tokenChars[c] {
			return Field{}, badRequest("a header name with a character that none may have")
		}
	}
	v := bytes.Trim(line[i+1:], " \t")
	for _, c := range v {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, badRequest("a header value with a control character")
		}
	}
	return Field{line[:i], v}, nil
}

// tokenChars is the set of token characters (RFC 9110 section 5.6.2).
var tokenChars = func() (t [256]bool) {
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

func (p *Parser) parseRequestLine(line []byte) *Error {
	methodEnd := bytes.IndexByte(line, ' ')
	targetEnd := bytes.LastIndexByte(line, ' ')
	if methodEnd <= 0 || targetEnd <= methodEnd+1 || bytes.IndexByte(line[methodEnd+1:targetEnd], ' ') >= 0 {
		return badRequest("request line is not METHOD TARGET HTTP/1.x")
	}
	for _, c := range line[:methodEnd] {
		if !tokenChars[c] {
			return badRequest("method has a character that none may have")
		}
	}
	for _, c := range line[methodEnd+1 : targetEnd] {
		if c <= ' ' || c >= 0x7f {
			return badRequest("target has a character that none may have")
		}
	}
	p.Msg.Method, p.Msg.Target = line[:methodEnd], line[methodEnd+1:targetEnd]
	return p.parseVersion(line[targetEnd+1:])
}

func (p *Parser) parseVersion(version []byte) *Error {
	if len(version) != 8 || !bytes.HasPrefix(version, []byte("HTTP/")) || version[6] != '.' ||
		version[5] < '0' || version[5] > '9' || version[7] < '0' || version[7] > '9' {
		return badRequest("version is not HTTP/1.x")
	}
	if version[5] != '1' {
		return &Error{505, "HTTP version is not 1.x"}
	}
	p.Msg.Minor = int(version[7] - '0')
	return nil
}

func (p *Parser) parseStatusLine(line []byte) *Error {
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return badRequest("status line is not HTTP/1.x CODE REASON")
	}
	code := 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return badRequest("status code is no number")
		}
		code = code*10 + int(c-'0')
	}
	if code < 100 {
		return badRequest("status code is under 100")
	}
	p.Msg.Status = code
	return p.parseVersion(line[:8])
}

// determineBodyLength evaluates the fields that frame the message and enters the state for its body (RFC 9112
// section 6.3).
func (p *Parser) determineBodyLength() *Error {
	m := &p.Msg
	m.Length, m.Close = -1, m.Minor == 0
	hosts, codings := 0, 0
	for i := range m.Fields {
		f := &m.Fields[i]
		switch {
		case equalFold(f.Name, "content-length"):
			n, ok := parseContentLength(f.Value)
			if !ok || m.Length >= 0 {
				return badRequest("content-length is not one plain number")
			}
			m.Length = n
		case equalFold(f.Name, "transfer-encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") {
				return &Error{501, "transfer coding other than one chunked"}
			}
			m.Chunked = true
		case equalFold(f.Name, "connection"):
			m.Close = listContains(f.Value, "close") || m.Close && !listContains(f.Value, "keep-alive")
		case equalFold(f.Name, "host"):
			hosts++
		}
	}
	switch {
	case m.Chunked && m.Length >= 0:
		return badRequest("both content-length and transfer-encoding")
	case m.Chunked && m.Minor == 0:
		return badRequest("transfer-encoding in HTTP/1.0")
	case !p.response && (hosts > 1 || hosts == 0 && m.Minor > 0):
		return badRequest("a request needs exactly one Host")
	}
	if p.response && (p.NoBody || m.Status < 200 || m.Status == 204 || m.Status == 304) {
		p.finishMessage()
		return nil
	}
	switch {
	case m.Chunked:
		p.state = stateChunkSize
	case m.Length > 0:
		if p.Sink == nil && m.Length > int64(p.limits.Body) {
			return &Error{413, "body is longer than this server takes"}
		}
		p.state, p.remaining = stateBody, m.Length
	case m.Length < 0 && p.response:
		p.state, m.Close = stateUntilClose, true
	default:
		p.finishMessage()
	}
	return nil
}

// parseContentLength parses an unsigned decimal number of at most 15 digits.
func parseContentLength(b []byte) (int64, bool) {
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

// ListContains reports whether a comma-separated list contains the given lower-case item.
func ListContains(list []byte, word string) bool { return listContains(list, word) }

// listContains reports whether a comma-separated list contains the given lower-case item.
func listContains(list []byte, word string) bool {
	for len(list) > 0 {
		var item []byte
		if item, list, _ = bytes.Cut(list, []byte(",")); equalFold(bytes.Trim(item, " \t"), word) {
			return true
		}
	}
	return false
}

// readChunkLine reads one line of the chunked coding: a chunk size, the CR LF after a chunk, or a trailer field.
func (p *Parser) readChunkLine(b []byte) (int, *Error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if p.pending = append(p.pending, b...); len(p.pending) > p.limits.Line {
			return len(b), badRequest("a line of the chunked coding is too long")
		}
		return len(b), nil
	}
	p.pending = append(p.pending, b[:i+1]...)
	if len(p.pending) > p.limits.Line {
		return i + 1, badRequest("a line of the chunked coding is too long")
	}
	line, _, e := cutLine(p.pending)
	if e != nil {
		return i + 1, e
	}
	switch p.state {
	case stateChunkEnd:
		if len(line) != 0 {
			return i + 1, badRequest("a chunk is longer than said")
		}
		p.state = stateChunkSize
	case stateChunkSize:
		size, e := parseChunkSize(line)
		if e != nil {
			return i + 1, e
		}
		if p.remaining = size; size == 0 {
			p.state = stateTrailer
		} else {
			p.state = stateChunkData
		}
	case stateTrailer: // trailer fields are checked and discarded (RFC 9110 section 6.5.1)
		if len(line) == 0 {
			p.pending = p.pending[:0]
			p.finishMessage()
			return i + 1, nil
		}
		if p.ignoredBytes += len(line) + 2; p.ignoredBytes > p.limits.Head {
			return i + 1, &Error{431, "trailer is longer than this server takes"}
		}
		if _, e := parseField(line); e != nil {
			return i + 1, e
		}
	}
	p.pending = p.pending[:0]
	return i + 1, nil
}

func parseChunkSize(line []byte) (int64, *Error) {
	hex, _, _ := bytes.Cut(line, []byte(";"))
	hex = bytes.TrimRight(hex, " \t") // RFC 9112 section 7.1.1: white space before an extension
	if len(hex) == 0 || len(hex) > 12 {
		return 0, badRequest("chunk size is not a hex number")
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
			return 0, badRequest("chunk size is not a hex number")
		}
	}
	return n, nil
}
