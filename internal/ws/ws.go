// Package ws reads and writes WebSocket frames (RFC 6455) for a server. The
// reader is incremental (input may be split anywhere), bounds the length of
// messages and is strict about violations of the protocol. The package owns no
// socket and no clock. docs/design/websocket.md lists the requirements that it
// meets, with the test of each. Section numbers in comments are those of
// RFC 6455.
package ws

import (
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"unicode/utf8"
)

// Opcode is the opcode of a frame (section 5.2).
type Opcode byte

// The opcodes.
const (
	OpContinuation Opcode = 0
	OpText         Opcode = 1
	OpBinary       Opcode = 2
	OpClose        Opcode = 8
	OpPing         Opcode = 9
	OpPong         Opcode = 10
)

// The close codes that headmill sends (section 7.4.1).
const (
	CloseNormal          = 1000
	CloseGoingAway       = 1001
	CloseProtocolError   = 1002
	CloseUnsupportedData = 1003
	CloseInvalidPayload  = 1007
	ClosePolicyViolation = 1008
	CloseMessageTooBig   = 1009
)

// Error is a violation after which nothing more is read; Code is the status code for the close frame.
type Error struct {
	Code   int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("ws: %s (%d)", e.Reason, e.Code) }

// protocolError returns an Error with close code 1002.
func protocolError(why string) *Error { return &Error{CloseProtocolError, why} }

// AcceptKey returns the value of Sec-WebSocket-Accept for a Sec-WebSocket-Key (section 4.2.2), and false if the key is
// not 16 bytes of base64.
func AcceptKey(key string) (string, bool) {
	if raw, err := base64.StdEncoding.DecodeString(key); err != nil || len(raw) != 16 {
		return "", false
	}
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return base64.StdEncoding.EncodeToString(sum[:]), true
}

// Message is a complete data message or control frame; its payload is valid during the callback.
type Message struct {
	Op      Opcode
	Payload []byte
	Code    int // status code of a Close frame; 1005 (RFC 6455 section 7.4.1: no status received) if it has none
}

// Reader parses the frames that a client sends. The zero value with Max set is ready for use.
type Reader struct {
	Max         int // most bytes of a message, all fragments together
	header      [14]byte
	headerLen   int // bytes of the frame header received so far
	inPayload   bool
	fin         bool
	opcode      Opcode // of the current frame
	remaining   int
	maskKey     [4]byte
	maskPos     int // position in the payload, which selects the byte of the masking key
	message     []byte
	messageOp   Opcode // of the current message; 0 if there is none
	control     []byte
	partialRune []byte // an incomplete UTF-8 sequence at the end of the received text
	closed      bool
}

// Feed parses bytes and calls onMessage for each complete message. After an error or a Close frame all further bytes are
// ignored.
func (r *Reader) Feed(b []byte, onMessage func(Message)) error {
	for len(b) > 0 && !r.closed {
		if !r.inPayload {
			n, err := r.readHeader(b)
			b = b[n:]
			if err != nil {
				r.closed = true
				return err
			}
			if !r.inPayload {
				return nil
			}
		}
		n := min(len(b), r.remaining)
		if err := r.appendPayload(b[:n]); err != nil {
			r.closed = true
			return err
		}
		b = b[n:]
		if r.remaining == 0 {
			if err := r.finishFrame(onMessage); err != nil {
				r.closed = true
				return err
			}
		}
	}
	return nil
}

// Idle reports whether neither a frame nor a fragmented message is incomplete.
func (r *Reader) Idle() bool { return !r.inPayload && r.headerLen == 0 && r.messageOp == 0 }

// Held returns the memory, in bytes, that the reader holds for the current message.
func (r *Reader) Held() int { return cap(r.message) }

// readHeader collects the 6 to 14 bytes of a masked frame's header; the first two are checked as soon as they arrive.
func (r *Reader) readHeader(b []byte) (used int, err error) {
	for used < len(b) {
		r.header[r.headerLen] = b[used]
		r.headerLen++
		used++
		headerSize := 6
		if r.headerLen >= 2 {
			switch r.header[1] & 0x7f {
			case 126:
				headerSize = 8
			case 127:
				headerSize = 14
			}
		}
		if r.headerLen == 2 {
			if e := r.checkHeader(); e != nil {
				return used, e
			}
		}
		if r.headerLen == headerSize {
			return used, r.beginPayload(headerSize)
		}
	}
	return used, nil
}

// checkHeader validates the first two bytes of a frame header.
func (r *Reader) checkHeader() error {
	first, second := r.header[0], r.header[1]
	op, fin, short := Opcode(first&0x0f), first&0x80 != 0, second&0x7f
	switch {
	case first&0x70 != 0:
		return protocolError("a reserved bit is set and no extension was agreed") // 5.2
	case second&0x80 == 0:
		return protocolError("a frame of a client is not masked") // 5.1
	case op > OpBinary && op < OpClose || op > OpPong:
		return protocolError("an opcode that is reserved") // 5.2
	case op >= OpClose && (!fin || short > 125):
		return protocolError("a control frame that is fragmented or longer than 125 bytes") // 5.5
	case op == OpContinuation && r.messageOp == 0:
		return protocolError("a continuation without a beginning") // 5.4
	case (op == OpText || op == OpBinary) && r.messageOp != 0:
		return protocolError("a new message within a fragmented one") // 5.4
	}
	return nil
}

// beginPayload evaluates a complete frame header of headerSize bytes.
func (r *Reader) beginPayload(headerSize int) error {
	length := uint64(r.header[1] & 0x7f)
	switch length {
	case 126:
		if length = uint64(binary.BigEndian.Uint16(r.header[2:])); length < 126 {
			return protocolError("a length that is not in its shortest form") // 5.2
		}
	case 127:
		length = binary.BigEndian.Uint64(r.header[2:])
		if length>>63 != 0 || length < 1<<16 {
			return protocolError("a length that is not in its shortest form") // 5.2
		}
	}
	r.opcode, r.fin = Opcode(r.header[0]&0x0f), r.header[0]&0x80 != 0
	if r.opcode < OpClose && uint64(len(r.message))+length > uint64(r.Max) {
		return &Error{CloseMessageTooBig, fmt.Sprintf("a message of over %d bytes", r.Max)} // 7.4.1
	}
	copy(r.maskKey[:], r.header[headerSize-4:headerSize])
	r.inPayload, r.headerLen, r.maskPos, r.remaining = true, 0, 0, int(length)
	if r.opcode == OpText || r.opcode == OpBinary {
		r.messageOp = r.opcode
	}
	return nil
}

// appendPayload unmasks and stores a part of a payload (section 5.3).
func (r *Reader) appendPayload(b []byte) error {
	r.remaining -= len(b)
	if r.opcode >= OpClose {
		from := len(r.control)
		r.control = append(r.control, b...)
		r.unmask(r.control[from:])
		return nil
	}
	from := len(r.message)
	r.message = append(r.message, b...)
	r.unmask(r.message[from:])
	if r.messageOp == OpText && !r.validateText(r.message[from:]) {
		return &Error{CloseInvalidPayload, "a text message that is not UTF-8"} // 8.1
	}
	return nil
}

func (r *Reader) unmask(b []byte) {
	for i := range b {
		b[i] ^= r.maskKey[r.maskPos&3]
		r.maskPos++
	}
}

// validateText checks UTF-8 incrementally: a sequence may continue in the next frame, and invalid text is detected at
// once.
func (r *Reader) validateText(b []byte) bool {
	if len(r.partialRune) > 0 {
		n := 0
		for n < len(b) && !utf8.FullRune(r.partialRune) {
			r.partialRune = append(r.partialRune, b[n])
			n++
		}
		if !utf8.FullRune(r.partialRune) {
			return true
		}
		if char, size := utf8.DecodeRune(r.partialRune); char == utf8.RuneError && size <= 1 || size != len(r.partialRune) {
			return false
		}
		r.partialRune = r.partialRune[:0]
		b = b[n:]
	}
	for len(b) > 0 {
		if b[0] < utf8.RuneSelf {
			b = b[1:]
			continue
		}
		if !utf8.FullRune(b) {
			r.partialRune = append(r.partialRune[:0], b...)
			return true
		}
		char, size := utf8.DecodeRune(b)
		if char == utf8.RuneError && size <= 1 {
			return false
		}
		b = b[size:]
	}
	return true
}

// finishFrame handles the end of a frame, and of a message if the frame was its last.
func (r *Reader) finishFrame(onMessage func(Message)) error {
	r.inPayload = false
	if r.opcode >= OpClose {
		payload := r.control
		r.control = r.control[:0]
		m := Message{Op: r.opcode, Payload: payload}
		if r.opcode == OpClose {
			if err := parseClose(&m); err != nil {
				return err
			}
			r.closed = true
		}
		onMessage(m)
		return nil
	}
	if !r.fin {
		return nil
	}
	if len(r.partialRune) > 0 {
		return &Error{CloseInvalidPayload, "a text message that ends within a character"}
	}
	m := Message{Op: r.messageOp, Payload: r.message}
	r.messageOp = 0
	buffer := r.message
	r.message = r.message[:0]
	onMessage(m)
	if cap(buffer) > 4096 {
		r.message = nil // a single long message must not hold its memory on an idle connection
	}
	return nil
}

// parseClose parses the payload of a close frame (sections 5.5.1 and 7.4).
func parseClose(m *Message) error {
	payload := m.Payload
	if len(payload) == 0 {
		m.Code = 1005
		return nil
	}
	if len(payload) == 1 {
		return protocolError("a close frame of one byte")
	}
	m.Code, m.Payload = int(binary.BigEndian.Uint16(payload)), payload[2:]
	if !ValidCloseCode(m.Code) {
		return protocolError("a close code that no one may send")
	}
	if !utf8.Valid(m.Payload) {
		return &Error{CloseInvalidPayload, "a close reason that is not UTF-8"}
	}
	return nil
}

// ValidCloseCode reports whether a status code may be sent in a close frame (section 7.4 and the IANA registry that it
// establishes).
func ValidCloseCode(code int) bool {
	return code >= 1000 && code <= 1003 || code >= 1007 && code <= 1014 || code >= 3000 && code <= 4999
}

// AppendFrame appends a final server frame, which is not masked (section 5.1).
func AppendFrame(b []byte, op Opcode, payload []byte) []byte {
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

// AppendClose appends a close frame. A reason that is too long for a control frame is truncated at a character boundary;
// code 1005 (no status, which is never sent itself) gives a frame without a payload.
func AppendClose(b []byte, code int, reason string) []byte {
	if code == 1005 {
		return AppendFrame(b, OpClose, nil)
	}
	for len(reason) > 123 {
		_, n := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-n]
	}
	return AppendFrame(b, OpClose, append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...))
}
