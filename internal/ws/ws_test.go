package ws

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// clientFrame encodes a masked frame, as a client sends it.
func clientFrame(first byte, payload string) []byte {
	b := []byte{first}
	switch n := len(payload); {
	case n < 126:
		b = append(b, 0x80|byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(n))
	default:
		b = binary.BigEndian.AppendUint64(append(b, 0x80|127), uint64(n))
	}
	mask := [4]byte{1, 2, 3, 4}
	b = append(b, mask[:]...)
	for i := range len(payload) {
		b = append(b, payload[i]^mask[i&3])
	}
	return b
}

// readAll feeds b to a new Reader in parts of the given size; it returns the messages as text.
func readAll(b []byte, part, limit int) (string, error) {
	r := Reader{Max: limit}
	var out []string
	for len(b) > 0 {
		n := min(part, len(b))
		err := r.Feed(b[:n], func(m Message) { out = append(out, fmt.Sprintf("%d:%s:%d", m.Op, m.Payload, m.Code)) })
		if err != nil {
			return strings.Join(out, " "), err
		}
		b = b[n:]
	}
	return strings.Join(out, " "), nil
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

const (
	finBit         = 0x80
	opText         = byte(OpText)
	opBinary       = byte(OpBinary)
	opContinuation = byte(OpContinuation)
)

func TestMessages(t *testing.T) {
	long, longer := strings.Repeat("a", 126), strings.Repeat("b", 1<<16)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"text":              {clientFrame(finBit|opText, "hello"), "1:hello:0"},
		"empty":             {clientFrame(finBit|opText, ""), "1::0"},
		"binary":            {clientFrame(finBit|opBinary, "\xff\x00"), "2:\xff\x00:0"},
		"16 bits of length": {clientFrame(finBit|opBinary, long), "2:" + long + ":0"},
		"64 bits of length": {clientFrame(finBit|opBinary, longer), "2:" + longer + ":0"},
		"fragments": {
			join(clientFrame(opText, "he"), clientFrame(opContinuation, "ll"), clientFrame(finBit|opContinuation, "o")),
			"1:hello:0",
		},
		"control between": {
			join(clientFrame(opText, "he"), clientFrame(finBit|byte(OpPing), "x"), clientFrame(finBit|opContinuation, "llo")),
			"9:x:0 1:hello:0",
		},
		"empty fragments": {
			join(clientFrame(opText, ""), clientFrame(opContinuation, ""), clientFrame(finBit|opContinuation, "")),
			"1::0",
		},
		"a character split over two fragments": {
			join(clientFrame(opText, "\xe2\x82"), clientFrame(finBit|opContinuation, "\xac")),
			"1:€:0",
		},
		"a character split over three fragments": {
			join(clientFrame(opText, "\xf0\x9f"), clientFrame(opContinuation, "\x98"), clientFrame(finBit|opContinuation, "\x80")),
			"1:😀:0",
		},
		"ping and pong": {
			join(clientFrame(finBit|byte(OpPing), ""), clientFrame(finBit|byte(OpPong), "p")),
			"9::0 10:p:0",
		},
		"close":                {clientFrame(finBit|byte(OpClose), "\x03\xe8bye"), "8:bye:1000"},
		"close without a code": {clientFrame(finBit|byte(OpClose), ""), "8::1005"},
		"nothing after a close": {
			join(clientFrame(finBit|byte(OpClose), "\x0f\xa0"), clientFrame(finBit|opText, "x")),
			"8::4000",
		},
		"two messages": {
			join(clientFrame(finBit|opText, "a"), clientFrame(finBit|opText, "b")),
			"1:a:0 1:b:0",
		},
	} {
		for _, part := range []int{1, 3, len(c.in)} {
			if got, err := readAll(c.in, part, 1<<17); err != nil || got != c.want {
				t.Errorf("%s in parts of %d: %.80q %v", name, part, got, err)
			}
		}
	}
}

func TestViolations(t *testing.T) {
	plain := []byte{finBit | opText, 1, 'x'}
	code := func(n int) []byte {
		return clientFrame(finBit|byte(OpClose), string(binary.BigEndian.AppendUint16(nil, uint16(n))))
	}
	for name, c := range map[string]struct {
		in   []byte
		code int
	}{
		"not masked":                       {plain, CloseProtocolError},
		"RSV1":                             {clientFrame(finBit|0x40|opText, "x"), CloseProtocolError},
		"RSV2":                             {clientFrame(finBit|0x20|opText, "x"), CloseProtocolError},
		"RSV3":                             {clientFrame(finBit|0x10|opText, "x"), CloseProtocolError},
		"opcode 3":                         {clientFrame(finBit|3, "x"), CloseProtocolError},
		"opcode 7":                         {clientFrame(finBit|7, "x"), CloseProtocolError},
		"opcode 11":                        {clientFrame(finBit|11, "x"), CloseProtocolError},
		"opcode 15":                        {clientFrame(finBit|15, "x"), CloseProtocolError},
		"fragmented ping":                  {clientFrame(byte(OpPing), "x"), CloseProtocolError},
		"long ping":                        {clientFrame(finBit|byte(OpPing), strings.Repeat("x", 126)), CloseProtocolError},
		"continuation without a message":   {clientFrame(finBit|opContinuation, "x"), CloseProtocolError},
		"message within a message":         {join(clientFrame(opText, "x"), clientFrame(finBit|opText, "y")), CloseProtocolError},
		"16 bits for 125":                  {[]byte{finBit | opBinary, 0x80 | 126, 0, 125, 0, 0, 0, 0}, CloseProtocolError},
		"64 bits for 65535":                {[]byte{finBit | opBinary, 0x80 | 127, 0, 0, 0, 0, 0, 0, 255, 255, 0, 0, 0, 0}, CloseProtocolError},
		"64 bits with the highest bit set": {[]byte{finBit | opBinary, 0x80 | 127, 128, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, CloseProtocolError},
		"over the limit":                   {clientFrame(finBit|opBinary, strings.Repeat("x", 1001)), CloseMessageTooBig},
		"over the limit in parts": {
			join(clientFrame(opBinary, strings.Repeat("x", 600)), clientFrame(finBit|opContinuation, strings.Repeat("x", 401))),
			CloseMessageTooBig,
		},
		"huge":      {[]byte{finBit | opBinary, 0x80 | 127, 127, 255, 255, 255, 255, 255, 255, 255, 0, 0, 0, 0}, CloseMessageTooBig},
		"bad text":  {clientFrame(finBit|opText, "a\xff"), CloseInvalidPayload},
		"surrogate": {clientFrame(finBit|opText, "\xed\xa0\x80"), CloseInvalidPayload},
		"overlong":  {clientFrame(finBit|opText, "\xc0\xaf"), CloseInvalidPayload},
		"bad in the second fragment": {
			join(clientFrame(opText, "\xe2"), clientFrame(finBit|opContinuation, "(")),
			CloseInvalidPayload,
		},
		"ends within a character": {clientFrame(finBit|opText, "\xe2\x82"), CloseInvalidPayload},
		"close of one byte":       {clientFrame(finBit|byte(OpClose), "x"), CloseProtocolError},
		"close reason not UTF-8":  {clientFrame(finBit|byte(OpClose), "\x03\xe8\xff"), CloseInvalidPayload},
		"close 0":                 {code(0), CloseProtocolError},
		"close 999":               {code(999), CloseProtocolError},
		"close 1004":              {code(1004), CloseProtocolError},
		"close 1005":              {code(1005), CloseProtocolError},
		"close 1006":              {code(1006), CloseProtocolError},
		"close 1015":              {code(1015), CloseProtocolError},
		"close 1016":              {code(1016), CloseProtocolError},
		"close 2999":              {code(2999), CloseProtocolError},
		"close 5000":              {code(5000), CloseProtocolError},
	} {
		for _, part := range []int{1, 3, len(c.in)} {
			_, err := readAll(c.in, part, 1000)
			var e *Error
			if !errors.As(err, &e) || e.Code != c.code {
				t.Errorf("%s in parts of %d: %v, want %d", name, part, err, c.code)
			}
		}
	}
	for _, c := range []int{1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013, 1014, 3000, 3999, 4000, 4999} {
		if _, err := readAll(code(c), 9, 1000); err != nil {
			t.Errorf("close %d: %v", c, err)
		}
	}
}

// Invalid UTF-8 is detected before the message is complete.
func TestInvalidTextIsDetectedEarly(t *testing.T) {
	if _, err := readAll(clientFrame(opText, "ok\xff")[:9], 1, 1000); err == nil {
		t.Error("invalid text was not detected before the end of its message")
	}
}

func TestAcceptKey(t *testing.T) {
	if got, ok := AcceptKey("dGhlIHNhbXBsZSBub25jZQ=="); !ok || got != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" { // RFC 6455 1.3
		t.Error(got, ok)
	}
	for _, k := range []string{"", "x", "dGhlIHNhbXBsZSBub25jZTE=", "dGhlIHNhbXBsZQ=="} {
		if _, ok := AcceptKey(k); ok {
			t.Errorf("key %q is accepted", k)
		}
	}
}

func TestServerFrames(t *testing.T) {
	for _, n := range []int{0, 125, 126, 65535, 65536} {
		b := AppendFrame(nil, OpBinary, make([]byte, n))
		head := map[bool]int{true: 2, false: 4}[n < 126]
		if n >= 1<<16 {
			head = 10
		}
		if len(b) != head+n || b[1]&0x80 != 0 {
			t.Errorf("%d bytes: frame of %d, masked %v", n, len(b), b[1]&0x80 != 0)
		}
	}
	if b := AppendClose(nil, 1001, strings.Repeat("é", 100)); len(b) != 2+2+122 || b[1] != 124 {
		t.Errorf("close frame of %d bytes", len(b))
	}
	if b := AppendClose(nil, 1005, "x"); !bytes.Equal(b, []byte{0x88, 0}) {
		t.Errorf("% x", b)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(join(clientFrame(opText, "he"), clientFrame(finBit|byte(OpPing), "x"),
		clientFrame(finBit|opContinuation, "llo")), uint8(1))
	f.Add(clientFrame(finBit|byte(OpClose), "\x03\xe8bye"), uint8(2))
	f.Add(clientFrame(finBit|opText, "\xe2\x82\xac"), uint8(0))
	f.Fuzz(func(t *testing.T, b []byte, part uint8) {
		whole, err := readAll(b, max(len(b), 1), 300)
		split, err2 := readAll(b, int(part)+1, 300)
		if whole != split || (err == nil) != (err2 == nil) {
			t.Fatalf("whole %q %v, split %q %v", whole, err, split, err2)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	in := clientFrame(finBit|opBinary, strings.Repeat("x", 100))
	r := Reader{Max: 1000}
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Feed(in, func(Message) {}); err != nil {
			b.Fatal(err)
		}
	}
}
