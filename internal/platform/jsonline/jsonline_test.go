package jsonline

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"
)

// A set-up with escapes, a number as a field and an unknown member is read.
func TestSetup(t *testing.T) {
	var msg Message
	err := Parse([]byte(`{"type":"setup","id":"9b1f03aa5c7e2d41","new":[1,{"a":null}],"fields":{"class":"paid","left":1500,`+
		`"extras":"home:4;copies:3"},"sdp":"9d\r\nc=\u00e9\ud83d\ude00\/\"\n"}`+"\r\n"), &msg)
	if err != nil {
		t.Fatal(err)
	}
	id, ok := ParseID(msg.ID)
	left, _ := msg.Get("left")
	if msg.Type != "setup" || !ok || id != 0x9b1f03aa5c7e2d41 || left != "1500" || msg.Cause != -1 ||
		msg.SDP != "9d\r\nc=é😀/\"\n" || !msg.HasSDP {
		t.Fatalf("%+v", msg)
	}
	if _, found := msg.Get("tenant"); found {
		t.Fatal("an absent field was found")
	}
}

func TestMalformedLines(t *testing.T) {
	for _, line := range []string{"", "hello", "[]", "{", `{"type":"setup"`, `{"type":"setup"} x`, `{"id":"1"}`, `{"type":1}`,
		`{"type":"a","type":"a"}`, `{"type":"a","cause":1e9}`, `{"type":"a","cause":-1}`, `{"type":"a","cause":"16"}`,
		`{"type":"a","fields":{"x":{}}}`, `{"type":"a","fields":{"x":"1","x":"2"}}`, `{"type":"a","fields":{"x":NaN}}`,
		`{"type":"a","fields":[]}`, `{"type":"a","sdp":"\ud800"}`, `{"type":"a","sdp":"\x"}`, "{\"type\":\"a\",\"sdp\":\"\xff\"}",
		`{"type":"a","sdp":"no end}`, `{"type":"a","y":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + "}",
		`{"type":"a",}`, `{"type" "a"}`, `{"type":"a","y":+1}`, `{"type":"a","y":01}`, `{"type":"a","y":1.}`,
		`{"type":"a","y":1e}`, `{"type":"a","y":-}`, `{"type":"a","y":.5}`} {
		var msg Message
		if err := Parse([]byte(line), &msg); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestIDsAreSixteenLowerHexDigits(t *testing.T) {
	for _, s := range []string{"", "1", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9B1F03AA5C7E2D41", "9b1f03aa5c7e2d4g", "-b1f03aa5c7e2d41"} {
		if _, ok := ParseID(s); ok {
			t.Errorf("%q is accepted", s)
		}
	}
}

// Encoded lines are read back unchanged by the standard JSON parser and by this one.
func FuzzDescriptions(f *testing.F) {
	f.Add("v=0\r\nc=IN \"x\" \\ \x01 é", uint64(0x9b1f03aa5c7e2d41))
	f.Fuzz(func(t *testing.T, sdp string, id uint64) {
		if !utf8.ValidString(sdp) {
			return
		}
		line := AppendAnswer(nil, id, []byte(sdp))
		var std struct{ Type, ID, SDP string }
		var msg Message
		if err := errors.Join(json.Unmarshal(line, &std), Parse(line, &msg)); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		got, ok := ParseID(msg.ID)
		if std.SDP != sdp || msg.SDP != sdp || !ok || got != id || std.ID != msg.ID || strings.Count(string(line), "\n") != 1 {
			t.Fatalf("%q became %q and %q", sdp, std.SDP, msg.SDP)
		}
	})
}

// The parser accepts nothing that the standard library rejects, except for raw control characters.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{"wait":"100"},"cause":34}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var msg Message
		if Parse(b, &msg) == nil && !json.Valid(b) {
			for _, c := range b { // raw control characters in a string are accepted, since viewers send them
				if c < 0x20 {
					return
				}
			}
			t.Fatalf("%q is accepted", b)
		}
	})
}

func TestReleaseCarriesRetryAdvice(t *testing.T) {
	var msg Message
	if err := Parse(AppendRelease(nil, 1, 42, 999.6), &msg); err != nil {
		t.Fatal(err)
	}
	if wait, _ := msg.Get("wait"); wait != "1000" || msg.Cause != 42 {
		t.Fatalf("%+v", msg)
	}
	if err := Parse(AppendRelease(nil, 1, 47, 0), &msg); err != nil || len(msg.Fields) != 0 {
		t.Fatalf("%+v, %v", msg, err)
	}
}
