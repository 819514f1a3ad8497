// Package jsonline encodes and decodes the JSON lines between viewers and
// directors of the JSON-lines platform (see internal/platform/proxy): one
// object per line, with type, id, fields and, where they apply, a cause and a
// session description. It is pure, and knows neither sessions nor sockets.
package jsonline

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// MaxSize is the longest line including its line feed, bytes.
const MaxSize = 16 << 10

const (
	maxDepth  = 8  // deepest nesting of a skipped value
	maxFields = 32 // largest number of members of the fields object
)

// ErrMalformed is wrapped by every error about a line.
var ErrMalformed = errors.New("jsonline: malformed line")

// Field is one member of the fields object. A number is kept as its text.
type Field struct{ Name, Value string }

// Message is one line.
type Message struct {
	Type, ID string
	Fields   []Field
	Cause    int // -1 if absent
	SDP      string
	HasSDP   bool
}

// Get returns the value of a field, and whether it is present.
func (m *Message) Get(name string) (string, bool) {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			return m.Fields[i].Value, true
		}
	}
	return "", false
}

// parser is a strict JSON parser over one line.
type parser struct {
	data []byte
	pos  int
}

// syntaxError returns an error with the position reached.
func (p *parser) syntaxError(what string) error {
	return fmt.Errorf("%w: %s at byte %d", ErrMalformed, what, p.pos)
}

// skipSpace skips white space.
func (p *parser) skipSpace() {
	for p.pos < len(p.data) &&
		(p.data[p.pos] == ' ' || p.data[p.pos] == '\t' || p.data[p.pos] == '\r' || p.data[p.pos] == '\n') {
		p.pos++
	}
}

// peek returns the next byte after white space, 0 at the end.
func (p *parser) peek() byte {
	p.skipSpace()
	if p.pos < len(p.data) {
		return p.data[p.pos]
	}
	return 0
}

// accept consumes the next byte after white space if it is c.
func (p *parser) accept(c byte) bool {
	if p.peek() != c {
		return false
	}
	p.pos++
	return true
}

// parseObject reads an object and calls f at the value of each member.
func (p *parser) parseObject(f func(name string) error) error {
	if !p.accept('{') {
		return p.syntaxError("expected an object")
	}
	if p.accept('}') {
		return nil
	}
	for {
		if p.peek() != '"' {
			return p.syntaxError("expected a member name")
		}
		name, err := p.parseString()
		if err != nil {
			return err
		}
		if !p.accept(':') {
			return p.syntaxError("expected a colon")
		}
		p.skipSpace()
		if err := f(name); err != nil {
			return err
		}
		if p.accept('}') {
			return nil
		}
		if !p.accept(',') {
			return p.syntaxError("expected a comma")
		}
	}
}

// parseString reads a string.
func (p *parser) parseString() (string, error) {
	if !p.accept('"') {
		return "", p.syntaxError("expected a string")
	}
	end := bytes.IndexAny(p.data[p.pos:], "\"\\")
	if end >= 0 && p.data[p.pos+end] == '"' { // the common case: no escapes
		s := p.data[p.pos : p.pos+end]
		p.pos += end + 1
		return p.validUTF8(s)
	}
	var out []byte
	for p.pos < len(p.data) {
		c := p.data[p.pos]
		p.pos++
		switch {
		case c == '"':
			return p.validUTF8(out)
		case c != '\\':
			out = append(out, c)
			continue
		case p.pos >= len(p.data):
			return "", p.syntaxError("unterminated string")
		}
		c = p.data[p.pos]
		p.pos++
		switch c {
		case '"', '\\', '/':
			out = append(out, c)
		case 'b':
			out = append(out, '\b')
		case 'f':
			out = append(out, '\f')
		case 'n':
			out = append(out, '\n')
		case 'r':
			out = append(out, '\r')
		case 't':
			out = append(out, '\t')
		case 'u':
			r, err := p.parseHex4()
			if err != nil {
				return "", err
			}
			if utf16.IsSurrogate(r) {
				if p.pos+1 >= len(p.data) || p.data[p.pos] != '\\' || p.data[p.pos+1] != 'u' {
					return "", p.syntaxError("unpaired surrogate")
				}
				p.pos += 2
				low, err := p.parseHex4()
				if err != nil {
					return "", err
				}
				if r = utf16.DecodeRune(r, low); r == utf8.RuneError {
					return "", p.syntaxError("invalid surrogate pair")
				}
			}
			out = utf8.AppendRune(out, r)
		default:
			return "", p.syntaxError("unknown escape")
		}
	}
	return "", p.syntaxError("unterminated string")
}

// validUTF8 converts the contents of a string, which must be valid UTF-8. Raw control characters are accepted, though
// JSON requires them to be escaped: viewers send them, and after unescaping they can't be told from escaped ones.
func (p *parser) validUTF8(s []byte) (string, error) {
	if !utf8.Valid(s) {
		return "", p.syntaxError("string is not valid UTF-8")
	}
	return string(s), nil
}

// parseHex4 reads the four digits of a \u escape.
func (p *parser) parseHex4() (rune, error) {
	if p.pos+4 > len(p.data) {
		return 0, p.syntaxError("incomplete escape")
	}
	v, err := strconv.ParseUint(string(p.data[p.pos:p.pos+4]), 16, 16)
	if err != nil {
		return 0, p.syntaxError("escape is not hexadecimal")
	}
	p.pos += 4
	return rune(v), nil
}

// parseNumber returns the text of a number, whose form it checks (RFC 8259 section 6).
func (p *parser) parseNumber() (string, error) {
	start := p.pos
	digits := func() bool {
		first := p.pos
		for p.pos < len(p.data) && p.data[p.pos] >= '0' && p.data[p.pos] <= '9' {
			p.pos++
		}
		return p.pos > first
	}
	next := func(set string) bool {
		if p.pos < len(p.data) && strings.IndexByte(set, p.data[p.pos]) >= 0 {
			p.pos++
			return true
		}
		return false
	}
	next("-")
	if !next("0") && !digits() || next(".") && !digits() {
		return "", p.syntaxError("invalid number")
	}
	if next("eE") {
		next("+-")
		if !digits() {
			return "", p.syntaxError("invalid number")
		}
	}
	return string(p.data[start:p.pos]), nil
}

// skipValue skips a value of any type.
func (p *parser) skipValue(depth int) error {
	if depth > maxDepth {
		return p.syntaxError("nesting is too deep")
	}
	switch c := p.peek(); {
	case c == '"':
		_, err := p.parseString()
		return err
	case c == '{':
		return p.parseObject(func(string) error { return p.skipValue(depth + 1) })
	case c == '[':
		p.pos++
		if p.accept(']') {
			return nil
		}
		for {
			if err := p.skipValue(depth + 1); err != nil {
				return err
			}
			if p.accept(']') {
				return nil
			}
			if !p.accept(',') {
				return p.syntaxError("expected a comma")
			}
		}
	case c == '-' || c >= '0' && c <= '9':
		_, err := p.parseNumber()
		return err
	}
	for _, literal := range []string{"true", "false", "null"} {
		if bytes.HasPrefix(p.data[p.pos:], []byte(literal)) {
			p.pos += len(literal)
			return nil
		}
	}
	return p.syntaxError("expected a value")
}

// Parse reads one line, with or without its line feed. Unknown members are skipped; a known member of the wrong type, or
// a duplicate one, makes the line malformed. On an error m holds what was read before it.
func Parse(line []byte, m *Message) error {
	*m = Message{Fields: m.Fields[:0], Cause: -1}
	p := &parser{data: line}
	var seen [5]bool
	once := func(i int, name string) error {
		if seen[i] {
			return p.syntaxError("duplicate member " + name)
		}
		seen[i] = true
		return nil
	}
	err := p.parseObject(func(name string) (err error) {
		switch name {
		case "type":
			if err = once(0, name); err == nil {
				m.Type, err = p.parseString()
			}
		case "id":
			if err = once(1, name); err == nil {
				m.ID, err = p.parseString()
			}
		case "sdp":
			if err = once(2, name); err == nil {
				m.SDP, err = p.parseString()
				m.HasSDP = err == nil
			}
		case "cause":
			if err = once(3, name); err != nil {
				return err
			}
			var text string
			if text, err = p.parseNumber(); err != nil {
				return err
			}
			if m.Cause, err = strconv.Atoi(text); err != nil || m.Cause < 0 || m.Cause > 255 {
				m.Cause, err = -1, p.syntaxError("cause is not in 0 to 255")
			}
		case "fields":
			if err = once(4, name); err == nil {
				err = p.parseObject(func(name string) error { return p.parseField(m, name) })
			}
		default:
			err = p.skipValue(1)
		}
		return err
	})
	if err != nil {
		return err
	}
	if p.peek() != 0 || p.pos < len(p.data) {
		return p.syntaxError("data after the object")
	}
	if m.Type == "" {
		return p.syntaxError("type is missing")
	}
	return nil
}

// parseField reads one member of the fields object: a string or a number.
func (p *parser) parseField(m *Message, name string) error {
	if _, duplicate := m.Get(name); duplicate || len(m.Fields) == maxFields {
		return p.syntaxError("duplicate field " + name + ", or too many fields")
	}
	var value string
	var err error
	if p.peek() == '"' {
		value, err = p.parseString()
	} else {
		value, err = p.parseNumber()
	}
	if err == nil {
		m.Fields = append(m.Fields, Field{name, value})
	}
	return err
}

// ParseID reads a session id: 16 lower-case hex digits.
func ParseID(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	var v uint64
	for i := range len(s) {
		switch c := s[i]; {
		case c >= '0' && c <= '9':
			v = v<<4 | uint64(c-'0')
		case c >= 'a' && c <= 'f':
			v = v<<4 | uint64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return v, true
}

// AppendID appends a session id as 16 lower-case hex digits.
func AppendID(out []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		out = append(out, digits[id>>shift&15])
	}
	return out
}

// appendHead appends the part of a message up to the start of its fields.
func appendHead(out []byte, typ string, id uint64) []byte {
	out = append(append(append(out, `{"type":"`...), typ...), `","id":"`...)
	return append(AppendID(out, id), `","fields":{`...)
}

// AppendAnswer appends an answer with its session description.
func AppendAnswer(out []byte, id uint64, sdp []byte) []byte {
	out = append(appendHead(out, "answer", id), `},"sdp":`...)
	return append(appendString(out, sdp), '}', '\n')
}

// AppendRelease appends a release. A positive wait (ms) is included as retry advice.
func AppendRelease(out []byte, id uint64, cause int, waitMs float64) []byte {
	out = appendHead(out, "release", id)
	if waitMs > 0 {
		out = append(strconv.AppendInt(append(out, `"wait":"`...), int64(waitMs+0.5), 10), '"')
	}
	return append(strconv.AppendInt(append(out, `},"cause":`...), int64(cause), 10), '}', '\n')
}

// AppendReleased appends the acknowledgement of a release.
func AppendReleased(out []byte, id uint64) []byte {
	return append(appendHead(out, "released", id), '}', '}', '\n')
}

// AppendPong appends the answer to a ping, with its result as the cause. The id is echoed unchanged.
func AppendPong(out []byte, id string, cause int) []byte {
	out = appendString(append(out, `{"type":"pong","id":`...), []byte(id))
	return append(strconv.AppendInt(append(out, `,"fields":{},"cause":`...), int64(cause), 10), '}', '\n')
}

// appendString appends a JSON string.
func appendString(out, s []byte) []byte {
	const digits = "0123456789abcdef"
	out = append(out, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			out = append(out, '\\', c)
		case c == '\n':
			out = append(out, '\\', 'n')
		case c == '\r':
			out = append(out, '\\', 'r')
		case c < 0x20:
			out = append(out, '\\', 'u', '0', '0', digits[c>>4], digits[c&15])
		default:
			out = append(out, c)
		}
	}
	return append(out, '"')
}
