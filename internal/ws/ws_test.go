package ws

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// frame writes a frame as a client does.
func frame(first byte, payload string) []byte {
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

func read(b []byte, part, limit int) (string, error) {
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
	fin  = 0x80
	text = byte(Text)
	bin  = byte(Binary)
	cont = byte(Continuation)
)

func TestMessages(t *testing.T) {
	long, longer := strings.Repeat("a", 126), strings.Repeat("b", 1<<16)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"text":                              {frame(fin|text, "hello"), "1:hello:0"},
		"empty":                             {frame(fin|text, ""), "1::0"},
		"binary":                            {frame(fin|bin, "\xff\x00"), "2:\xff\x00:0"},
		"16 bits of length":                 {frame(fin|bin, long), "2:" + long + ":0"},
		"64 bits of length":                 {frame(fin|bin, longer), "2:" + longer + ":0"},
		"fragments":                         {join(frame(text, "he"), frame(cont, "ll"), frame(fin|cont, "o")), "1:hello:0"},
		"control between":                   {join(frame(text, "he"), frame(fin|byte(Ping), "x"), frame(fin|cont, "llo")), "9:x:0 1:hello:0"},
		"empty fragments":                   {join(frame(text, ""), frame(cont, ""), frame(fin|cont, "")), "1::0"},
		"a character over a fragment's end": {join(frame(text, "\xe2\x82"), frame(fin|cont, "\xac")), "1:€:0"},
		"a character over three":            {join(frame(text, "\xf0\x9f"), frame(cont, "\x98"), frame(fin|cont, "\x80")), "1:😀:0"},
		"ping and pong":                     {join(frame(fin|byte(Ping), ""), frame(fin|byte(Pong), "p")), "9::0 10:p:0"},
		"close":                             {frame(fin|byte(Close), "\x03\xe8bye"), "8:bye:1000"},
		"close without a code":              {frame(fin|byte(Close), ""), "8::1005"},
		"nothing after a close":             {join(frame(fin|byte(Close), "\x0f\xa0"), frame(fin|text, "x")), "8::4000"},
		"two messages":                      {join(frame(fin|text, "a"), frame(fin|text, "b")), "1:a:0 1:b:0"},
	} {
		for _, part := range []int{1, 3, len(c.in)} {
			if got, err := read(c.in, part, 1<<17); err != nil || got != c.want {
				t.Errorf("%s in parts of %d: %.80q %v", name, part, got, err)
			}
		}
	}
}

func TestViolations(t *testing.T) {
	plain := []byte{fin | text, 1, 'x'}
	code := func(n int) []byte {
		return frame(fin|byte(Close), string(binary.BigEndian.AppendUint16(nil, uint16(n))))
	}
	for name, c := range map[string]struct {
		in   []byte
		code int
	}{
		"not masked":                 {plain, Protocol},
		"RSV1":                       {frame(fin|0x40|text, "x"), Protocol},
		"RSV2":                       {frame(fin|0x20|text, "x"), Protocol},
		"RSV3":                       {frame(fin|0x10|text, "x"), Protocol},
		"opcode 3":                   {frame(fin|3, "x"), Protocol},
		"opcode 7":                   {frame(fin|7, "x"), Protocol},
		"opcode 11":                  {frame(fin|11, "x"), Protocol},
		"opcode 15":                  {frame(fin|15, "x"), Protocol},
		"fragmented ping":            {frame(byte(Ping), "x"), Protocol},
		"long ping":                  {frame(fin|byte(Ping), strings.Repeat("x", 126)), Protocol},
		"continuation at first":      {frame(fin|cont, "x"), Protocol},
		"message within a message":   {join(frame(text, "x"), frame(fin|text, "y")), Protocol},
		"16 bits for 125":            {[]byte{fin | bin, 0x80 | 126, 0, 125, 0, 0, 0, 0}, Protocol},
		"64 bits for 65535":          {[]byte{fin | bin, 0x80 | 127, 0, 0, 0, 0, 0, 0, 255, 255, 0, 0, 0, 0}, Protocol},
		"64 bits with the highest":   {[]byte{fin | bin, 0x80 | 127, 128, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, Protocol},
		"over the limit":             {frame(fin|bin, strings.Repeat("x", 1001)), TooBig},
		"over the limit in parts":    {join(frame(bin, strings.Repeat("x", 600)), frame(fin|cont, strings.Repeat("x", 401))), TooBig},
		"huge":                       {[]byte{fin | bin, 0x80 | 127, 127, 255, 255, 255, 255, 255, 255, 255, 0, 0, 0, 0}, TooBig},
		"bad text":                   {frame(fin|text, "a\xff"), BadData},
		"surrogate":                  {frame(fin|text, "\xed\xa0\x80"), BadData},
		"overlong":                   {frame(fin|text, "\xc0\xaf"), BadData},
		"bad in the second fragment": {join(frame(text, "\xe2"), frame(fin|cont, "(")), BadData},
		"ends within a character":    {frame(fin|text, "\xe2\x82"), BadData},
		"close of one byte":          {frame(fin|byte(Close), "x"), Protocol},
		"close reason not UTF-8":     {frame(fin|byte(Close), "\x03\xe8\xff"), BadData},
		"close 0":                    {code(0), Protocol},
		"close 999":                  {code(999), Protocol},
		"close 1004":                 {code(1004), Protocol},
		"close 1005":                 {code(1005), Protocol},
		"close 1006":                 {code(1006), Protocol},
		"close 1015":                 {code(1015), Protocol},
		"close 1016":                 {code(1016), Protocol},
		"close 2999":                 {code(2999), Protocol},
		"close 5000":                 {code(5000), Protocol},
	} {
		for _, part := range []int{1, 3, len(c.in)} {
			_, err := read(c.in, part, 1000)
			var e *Error
			if !errors.As(err, &e) || e.Code != c.code {
				t.Errorf("%s in parts of %d: %v, want %d", name, part, err, c.code)
			}
		}
	}
	for _, c := range []int{1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013, 1014, 3000, 3999, 4000, 4999} {
		if _, err := read(code(c), 9, 1000); err != nil {
			t.Errorf("close %d: %v", c, err)
		}
	}
}

// Text that can never become valid is found before its message is whole.
func TestBadTextIsFoundEarly(t *testing.T) {
	if _, err := read(frame(text, "ok\xff")[:9], 1, 1000); err == nil {
		t.Error("bad text waits for the end of its message")
	}
}

func TestAcceptKey(t *testing.T) {
	if got, ok := AcceptKey("dGhlIHNhbXBsZSBub25jZQ=="); !ok || got != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" { // RFC 6455 1.3
		t.Error(got, ok)
	}
	for _, k := range []string{"", "x", "dGhlIHNhbXBsZSBub25jZTE=", "dGhlIHNhbXBsZQ=="} {
		if _, ok := AcceptKey(k); ok {
			t.Errorf("%q is taken", k)
		}
	}
}

func TestServerFrames(t *testing.T) {
	for _, n := range []int{0, 125, 126, 65535, 65536} {
		b := Append(nil, Binary, make([]byte, n))
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
	f.Add(join(frame(text, "he"), frame(fin|byte(Ping), "x"), frame(fin|cont, "llo")), uint8(1))
	f.Add(frame(fin|byte(Close), "\x03\xe8bye"), uint8(2))
	f.Add(frame(fin|text, "\xe2\x82\xac"), uint8(0))
	f.Fuzz(func(t *testing.T, b []byte, part uint8) {
		whole, err := read(b, max(len(b), 1), 300)
		split, err2 := read(b, int(part)+1, 300)
		if whole != split || (err == nil) != (err2 == nil) {
			t.Fatalf("whole %q %v, split %q %v", whole, err, split, err2)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	in := frame(fin|bin, strings.Repeat("x", 100))
	r := Reader{Max: 1000}
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Feed(in, func(Message) {}); err != nil {
			b.Fatal(err)
		}
	}
}
