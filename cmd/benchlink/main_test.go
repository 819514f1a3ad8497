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

// openRecord builds an OPEN_INSTANCE record whose settings are the first length bytes of the tail.
func openRecord(instance byte, length int) []byte {
	b := make([]byte, 64)
	b[0], b[1] = 9, instance
	binary.LittleEndian.PutUint32(b[15:], uint32(length))
	return b
}

// batch builds a whole batch with the given tail.
func batch(tail string, records ...[]byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(1000))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func eventRecord(code, instance byte) []byte {
	b := make([]byte, 64)
	b[0], b[1] = code, instance
	return b
}

// An instance may exit and open again in one batch. Events that precede its exit must get no answer, and the new
// controller must start without them.
func TestExitAndOpenInOneBatch(t *testing.T) {
	listUnavailable := eventRecord(7, 2)
	listUnavailable[3] = 2
	input := append(batch(""), batch(settings, openRecord(2, len(settings)), listUnavailable)...)
	input = append(input, batch(settings, eventRecord(3, 2), eventRecord(13, 2),
		openRecord(2, len(settings)), listUnavailable)...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	reply := out.Bytes()
	if n := binary.LittleEndian.Uint32(reply); n != 0 {
		t.Fatalf("%d actions for an empty batch", n)
	}
	reply = reply[8:]
	for i := range 2 { // each time: a new subscription as the node list failed, and a timer; no answer
		n, length := binary.LittleEndian.Uint32(reply), binary.LittleEndian.Uint32(reply[4:])
		if n != 2 || reply[8] != 11 || reply[8+24] != 5 {
			t.Fatalf("batch %d: %d actions, codes %d and %d", i, n, reply[8], reply[8+24])
		}
		reply = reply[8+length:]
	}
	if len(reply) != 0 {
		t.Fatalf("%d bytes after the last reply", len(reply))
	}
}

func TestInvalidInputIsAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"not open": batch("", eventRecord(10, 4)),
		"cut off":  batch("", eventRecord(10, 4))[:40],
		"config":   batch("me=0\n", openRecord(1, 5)),
	} {
		err := run(bytes.NewReader(in), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "panic") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
