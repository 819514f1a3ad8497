package frame

import (
	"bytes"
	"errors"
	"testing"
)

// answer encodes an answer.
func answer(id uint64, sdp string) []byte {
	out, start := Begin(nil, Answer, id)
	return End(AppendParameter(AppendParameter(out, Report, "outstanding:3"), SDP, sdp), start)
}

// Messages are read completely however the stream is split.
func TestReaderInAnySplit(t *testing.T) {
	stream := append(answer(7, "v=0\r\n"), AppendRelease(nil, 1<<63, 41)...)
	for cut := range len(stream) + 1 {
		var r Reader
		var got []Type
		check := func(msg *Message) bool {
			if msg.Type == Answer && (msg.Session != 7 || string(msg.Get(SDP)) != "v=0\r\n") ||
				msg.Type == Release && (msg.Session != 1<<63 || msg.Cause() != 41) {
				t.Fatalf("cut at %d: %+v", cut, msg)
			}
			got = append(got, msg.Type)
			return true
		}
		if err := errors.Join(r.Feed(stream[:cut], check), r.Feed(stream[cut:], check)); err != nil || len(got) != 2 || r.Partial() {
			t.Fatalf("cut at %d: %v, %v, partial %v", cut, got, err, r.Partial())
		}
	}
}

// Malformed input fails at once, even if more bytes could follow.
func TestMalformedMessages(t *testing.T) {
	good := answer(7, "v=0\r\n")
	change := func(at int, b ...byte) []byte {
		changed := bytes.Clone(good)
		copy(changed[at:], b)
		return changed
	}
	for name, b := range map[string][]byte{
		"length over the limit":      {0xff, 0xff},
		"length too short":           {0, 3, 9},
		"unknown type":               change(2, 99),
		"unknown type, nothing more": {0, 200, 99},
		"parameter over the end":     change(12, 0x10),
		"unknown parameter":          change(11, 77),
		"parameter twice":            change(11+3+13, byte(Report)),
		"answer without description": func() []byte { o, at := Begin(nil, Answer, 1); return End(o, at) }(),
		"description not UTF-8":      answer(7, "\xff\xfe"),
		"release without cause":      func() []byte { o, at := Begin(nil, Release, 1); return End(o, at) }(),
		"cause of two bytes":         func() []byte { o, at := Begin(nil, Release, 1); return End(AppendParameter(o, Cause, "ab"), at) }(),
		"feedback without value": func() []byte {
			o, at := Begin(nil, Feedback, 1)
			return End(AppendParameter(o, FeedbackKind, "got"), at)
		}(),
	} {
		var r Reader
		err := r.Feed(b, func(msg *Message) bool { t.Errorf("%s: accepted as %+v", name, msg); return true })
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Any input gives the same messages and the same verdict however it is split.
func FuzzReader(f *testing.F) {
	f.Add(append(answer(7, "v=0"), AppendRelease(nil, 9, 34)...), uint(5))
	f.Fuzz(func(t *testing.T, b []byte, cut uint) {
		read := func(parts ...[]byte) (n int, bad bool) {
			var r Reader
			for _, p := range parts {
				if err := r.Feed(p, func(*Message) bool { n++; return true }); err != nil {
					return n, true
				}
			}
			return n, false
		}
		at := int(cut % uint(len(b)+1))
		n1, bad1 := read(b)
		n2, bad2 := read(b[:at], b[at:])
		if n1 != n2 || bad1 != bad2 {
			t.Fatalf("whole: %d messages, bad %v; cut at %d: %d, %v", n1, bad1, at, n2, bad2)
		}
	})
}
