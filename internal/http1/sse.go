package http1

import (
	"bytes"
	"fmt"
)

// EventParser incrementally parses a text/event-stream (WHATWG HTML, section 9.2.6), split anywhere. A line or an event of
// more than Max bytes is an error, after which the caller has to close the stream and open a new one.
type EventParser struct {
	Max     int // bytes of one event's data [65536]
	line    []byte
	kind    []byte
	data    []byte
	hasData bool
	afterCR bool
}

// Feed calls onEvent for each complete event; kind is "message" if the stream names none. Its arguments are valid during
// the call.
func (e *EventParser) Feed(b []byte, onEvent func(kind, data []byte)) error {
	limit := e.Max
	if limit <= 0 {
		limit = 65536
	}
	for len(b) > 0 {
		if e.afterCR && b[0] == '\n' { // the LF of a CR LF that was split
			e.afterCR, b = false, b[1:]
			continue
		}
		e.afterCR = false
		i := bytes.IndexAny(b, "\r\n")
		part := b
		if i >= 0 {
			part = b[:i]
		}
		if len(e.line)+len(part)+len(e.data) > limit {
			return fmt.Errorf("http1: event is longer than %d bytes", limit)
		}
		e.line = append(e.line, part...)
		if i < 0 {
			return nil
		}
		e.afterCR = b[i] == '\r'
		b = b[i+1:]
		e.processLine(onEvent)
		e.line = e.line[:0]
	}
	return nil
}

// processLine handles the line in e.line; an empty line dispatches the event.
func (e *EventParser) processLine(f func(kind, data []byte)) {
	if len(e.line) == 0 {
		if e.hasData {
			kind := e.kind
			if len(kind) == 0 {
				kind = []byte("message")
			}
			f(kind, bytes.TrimSuffix(e.data, []byte("\n")))
		}
		e.kind, e.data, e.hasData = e.kind[:0], e.data[:0], false
		return
	}
	name, value, _ := bytes.Cut(e.line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.kind = append(e.kind[:0], value...)
	case "data":
		e.data = append(append(e.data, value...), '\n')
		e.hasData = true
	}
}
