package main

import (
	"encoding/binary"
	"errors"
)

// The binary messages of media nodes (PROTOCOL.md), written anew so that the cases share no code with the director.
const (
	typeSetup    = 1
	typeAnswer   = 9
	typeRelease  = 12
	typeReleased = 16
	typeNote     = 44
	typePing     = 52
	typePong     = 53
	typeRate     = 60

	paramClass     = 1
	paramTitle     = 5
	paramNoteKind  = 8
	paramRung      = 12
	paramNoteValue = 13
	paramCause     = 15
	paramSDP       = 16
)

// Causes of releases.
const (
	causeNormal    = 16
	causeCancelled = 31
	causeFull      = 34
	causeCongested = 42
	causeNeverRan  = 102
)

// frame is one decoded message.
type frame struct {
	typ     byte
	session uint64
	params  map[byte]string
}

// param is one parameter of a message.
type param struct {
	code  byte
	value string
}

func encodeFrame(typ byte, session uint64, params ...param) []byte {
	out := []byte{0, 0, typ}
	out = binary.BigEndian.AppendUint64(out, session)
	for _, p := range params {
		out = append(out, p.code)
		out = binary.BigEndian.AppendUint16(out, uint16(len(p.value)))
		out = append(out, p.value...)
	}
	binary.BigEndian.PutUint16(out, uint16(len(out)-2))
	return out
}

func encodeRelease(session uint64, cause byte) []byte {
	return encodeFrame(typeRelease, session, param{paramCause, string([]byte{cause})})
}

var errBadFrame = errors.New("malformed message from a director")

// decodeFrame takes the first message from b. The size is 0 if b holds no whole message.
func decodeFrame(b []byte) (f frame, size int, err error) {
	if len(b) < 2 {
		return f, 0, nil
	}
	size = 2 + int(binary.BigEndian.Uint16(b))
	if size < 11 || size > 16<<10 {
		return f, 0, errBadFrame
	}
	if len(b) < size {
		return f, 0, nil
	}
	f = frame{typ: b[2], session: binary.BigEndian.Uint64(b[3:]), params: map[byte]string{}}
	for rest := b[11:size]; len(rest) > 0; {
		if len(rest) < 3 || len(rest) < 3+int(binary.BigEndian.Uint16(rest[1:])) {
			return f, 0, errBadFrame
		}
		length := int(binary.BigEndian.Uint16(rest[1:]))
		f.params[rest[0]] = string(rest[3 : 3+length])
		rest = rest[3+length:]
	}
	return f, size, nil
}
