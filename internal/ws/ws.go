// Package ws reads and writes WebSocket frames (RFC 6455) for a server: any
// split of the bytes, bounded, strict. It owns no socket and no clock.
// docs/design/websocket.md lists the requirements that it meets, with the test
// of each.
package ws

import (
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"unicode/utf8"
)

// Opcode is the type of a frame (section 5.2).
type Opcode byte

// The opcodes.
const (
	Continuation Opcode = 0
	Text         Opcode = 1
	Binary       Opcode = 2
	Close        Opcode = 8
	Ping         Opcode = 9
	Pong         Opcode = 10
)

// The close codes that headmill sends (section 7.4.1).
const (
	Normal      = 1000
	GoingAway   = 1001
	Protocol    = 1002
	Unsupported = 1003
	BadData     = 1007
	Policy      = 1008
	TooBig      = 1009
)

// Error is a stream that can't be read on; Code is what the close frame says.
type Error struct {
	Code int
	Why  string
}

func (e *Error) Error() string { return fmt.Sprintf("ws: %s (%d)", e.Why, e.Code) }

func broken(why string) *Error { return &Error{Protocol, why} }

// AcceptKey answers Sec-WebSocket-Key (section 4.2.2); false where the key is not 16 bytes of base64.
func AcceptKey(key string) (string, bool) {
	if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != 16 {
		return "", false
	}
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:]), true
}

// Message is one whole data message or control frame; its payload is valid during the call.
type Message struct {
	Op      Opcode
	Payload []byte
	Code    int // of a Close; 1005 where it has none
}

// Reader takes the bytes of a client apart. The zero value with Max set is ready.
type Reader struct {
	Max     int // bytes of a message, fragments together
	head    [14]byte
	have    int // bytes of the head at hand
	in      bool
	fin     bool
	op      Opcode // of the frame in hand
	left    int
	mask    [4]byte
	at      int // position in the payload, for the mask
	message []byte
	data    Opcode // of the message in hand; 0: none
	control []byte
	partial []byte // an unfinished UTF-8 sequence at the end of what has come
	closed  bool
}

// Feed takes bytes and calls f for each whole message. After an error, or after a Close was handed over,
// nothing more is read.
func (r *Reader) Feed(b []byte, f func(Message)) error {
	for len(b) > 0 && !r.closed {
		if !r.in {
			n, err := r.readHead(b)
			b = b[n:]
			if err != nil {
				r.closed = true
				return err
			}
			if !r.in {
				return nil
			}
		}
		n := min(len(b), r.left)
		if err := r.take(b[:n]); err != nil {
			r.closed = true
			return err
		}
		b = b[n:]
		if r.left == 0 {
			if err := r.done(f); err != nil {
				r.closed = true
				return err
			}
		}
	}
	return nil
}

// Idle tells that no frame and no fragmented message is in hand.
func (r *Reader) Idle() bool { return !r.in && r.have == 0 && r.data == 0 }

// readHead gathers the 2 to 14 bytes of a frame's head and checks them as early as they come.
func (r *Reader) readHead(b []byte) (used int, err error) {
	for used < len(b) {
		r.head[r.have] = b[used]
		r.have++
		used++
		need := 6
		if r.have >= 2 {
			switch r.head[1] & 0x7f {
			case 126:
				need = 8
			case 127:
				need = 14
			}
		}
		if r.have == 2 {
			if e := r.check(); e != nil {
				return used, e
			}
		}
		if r.have == need {
			return used, r.begin(need)
		}
	}
	return used, nil
}

func (r *Reader) check() error {
	first, second := r.head[0], r.head[1]
	op, fin, short := Opcode(first&0x0f), first&0x80 != 0, second&0x7f
	switch {
	case first&0x70 != 0:
		return broken("a reserved bit is set and no extension was agreed") // 5.2
	case second&0x80 == 0:
		return broken("a frame of a client is not masked") // 5.1
	case op > Binary && op < Close || op > Pong:
		return broken("an opcode that is reserved") // 5.2
	case op >= Close && (!fin || short > 125):
		return broken("a control frame that is fragmented or longer than 125 bytes") // 5.5
	case op == Continuation && r.data == 0:
		return broken("a continuation without a beginning") // 5.4
	case (op == Text || op == Binary) && r.data != 0:
		return broken("a new message within a fragmented one") // 5.4
	}
	return nil
}

func (r *Reader) begin(need int) error {
	length := uint64(r.head[1] & 0x7f)
	switch length {
	case 126:
		if length = uint64(binary.BigEndian.Uint16(r.head[2:])); length < 126 {
			return broken("a length that is not in its shortest form") // 5.2
		}
	case 127:
		length = binary.BigEndian.Uint64(r.head[2:])
		if length>>63 != 0 || length < 1<<16 {
			return broken("a length that is not in its shortest form") // 5.2
		}
	}
	r.op, r.fin = Opcode(r.head[0]&0x0f), r.head[0]&0x80 != 0
	if r.op < Close && uint64(len(r.message))+length > uint64(r.Max) {
		return &Error{TooBig, fmt.Sprintf("a message of over %d bytes", r.Max)} // 7.4.1
	}
	copy(r.mask[:], r.head[need-4:need])
	r.in, r.have, r.at, r.left = true, 0, 0, int(length)
	if r.op == Text || r.op == Binary {
		r.data = r.op
	}
	return nil
}

// take unmasks a part of a payload (section 5.3).
func (r *Reader) take(b []byte) error {
	r.left -= len(b)
	if r.op >= Close {
		from := len(r.control)
		r.control = append(r.control, b...)
		r.unmask(r.control[from:])
		return nil
	}
	from := len(r.message)
	r.message = append(r.message, b...)
	r.unmask(r.message[from:])
	if r.data == Text && !r.text(r.message[from:]) {
		return &Error{BadData, "a text message that is not UTF-8"} // 8.1
	}
	return nil
}

func (r *Reader) unmask(b []byte) {
	for i := range b {
		b[i] ^= r.mask[r.at&3]
		r.at++
	}
}

// text checks UTF-8 as it comes; a sequence may be cut by a frame's end, and what can never become valid is
// found at once.
func (r *Reader) text(b []byte) bool {
	if len(r.partial) > 0 {
		n := 0
		for n < len(b) && !utf8.FullRune(r.partial) {
			r.partial = append(r.partial, b[n])
			n++
		}
		if !utf8.FullRune(r.partial) {
			return true
		}
		if c, size := utf8.DecodeRune(r.partial); c == utf8.RuneError && size <= 1 || size != len(r.partial) {
			return false
		}
		r.partial = r.partial[:0]
		b = b[n:]
	}
	for len(b) > 0 {
		if b[0] < utf8.RuneSelf {
			b = b[1:]
			continue
		}
		if !utf8.FullRune(b) {
			r.partial = append(r.partial[:0], b...)
			return true
		}
		c, size := utf8.DecodeRune(b)
		if c == utf8.RuneError && size <= 1 {
			return false
		}
		b = b[size:]
	}
	return true
}

// done ends a frame, and a message where it was the last of its frames.
func (r *Reader) done(f func(Message)) error {
	r.in = false
	if r.op >= Close {
		payload := r.control
		r.control = r.control[:0]
		m := Message{Op: r.op, Payload: payload}
		if r.op == Close {
			if err := closing(&m); err != nil {
				return err
			}
			r.closed = true
		}
		f(m)
		return nil
	}
	if !r.fin {
		return nil
	}
	if len(r.partial) > 0 {
		return &Error{BadData, "a text message that ends within a character"}
	}
	m := Message{Op: r.data, Payload: r.message}
	r.data = 0
	keep := r.message
	r.message = r.message[:0]
	f(m)
	if cap(keep) > 4096 {
		r.message = nil // one long message does not keep its memory on an idle connection
	}
	return nil
}

// closing reads the payload of a close frame (sections 5.5.1 and 7.4).
func closing(m *Message) error {
	p := m.Payload
	if len(p) == 0 {
		m.Code = 1005
		return nil
	}
	if len(p) == 1 {
		return broken("a close frame of one byte")
	}
	m.Code, m.Payload = int(binary.BigEndian.Uint16(p)), p[2:]
	if !ValidCode(m.Code) {
		return broken("a close code that no one may send")
	}
	if !utf8.Valid(m.Payload) {
		return &Error{BadData, "a close reason that is not UTF-8"}
	}
	return nil
}

// ValidCode tells whether a code may stand in a close frame (section 7.4, and its registry as of RFC 6455).
func ValidCode(c int) bool {
	return c >= 1000 && c <= 1003 || c >= 1007 && c <= 1014 || c >= 3000 && c <= 4999
}

// Append writes one whole frame of a server: not masked (section 5.1).
func Append(b []byte, op Opcode, payload []byte) []byte {
	b = append(b, 0x80|byte(op))
	switch n := len(payload); {
	case n < 126:
		b = append(b, byte(n))
	case n < 1<<16:
		b = append(b, 126)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
	default:
		b = append(b, 127)
		b = binary.BigEndian.AppendUint64(b, uint64(n))
	}
	return append(b, payload...)
}

// AppendClose writes a close frame; a reason that is too long is cut at a character's end.
func AppendClose(b []byte, code int, reason string) []byte {
	if code == 1005 {
		return Append(b, Close, nil)
	}
	for len(reason) > 123 {
		_, n := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-n]
	}
	return Append(b, Close, append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...))
}
