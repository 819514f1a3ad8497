package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = "me=0\nreplicas_of_me=1\nfamily_info.level_kb=10.0,20.0\nfamily_info.ladder_worth=0.5,1.0\n" +
	"family_info.cells=1\nfamily_info.racks=1\nallowed.max_attempts=3\ncategories.count=1\n" +
	"categories.0.semantics=repeatable\ncategories.0.value=1\n"

func open(instance byte, length int) []byte {
	b := make([]byte, 64)
	b[0], b[1] = 9, instance
	binary.LittleEndian.PutUint32(b[15:], uint32(length))
	return b
}

func frame(tail string, recs ...[]byte) []byte {
	body := append(bytes.Join(recs, nil), tail...)
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(1000))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(recs)))
	return append(b, body...)
}

func event(code, instance byte) []byte {
	b := make([]byte, 64)
	b[0], b[1] = code, instance
	return b
}

// An instance may exit and open again in one batch; what it was asked before is void.
func TestExitAndOpenInOneBatch(t *testing.T) {
	failed := event(7, 2)
	failed[3] = 2
	in := append(frame(""), frame(settings, open(2, len(settings)), failed)...)
	in = append(in, frame(settings, event(3, 2), event(13, 2), open(2, len(settings)), failed)...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	b := out.Bytes()
	if n := binary.LittleEndian.Uint32(b); n != 0 {
		t.Fatalf("%d actions for an empty batch", n)
	}
	b = b[8:]
	for i := range 2 { // each time: subscribe again after the failed list call, and the tick; no answer
		n, length := binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint32(b[4:])
		if n != 2 || b[8] != 11 || b[8+24] != 5 {
			t.Fatalf("batch %d: %d actions, codes %d and %d", i, n, b[8], b[8+24])
		}
		b = b[8+length:]
	}
	if len(b) != 0 {
		t.Fatalf("%d bytes too many", len(b))
	}
}

func TestPlainErrors(t *testing.T) {
	for name, in := range map[string][]byte{
		"not open": frame("", event(10, 4)),
		"cut off":  frame("", event(10, 4))[:40],
		"config":   frame("me=0\n", open(1, 5)),
	} {
		err := run(bytes.NewReader(in), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "panic") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
