package http1

import (
	"bytes"
	"fmt"
)

// Events parses a text/event-stream (WHATWG HTML, section 9.2.6) from any split of its bytes. A line or an
// event over Max bytes is an error: the stream is then dropped and begun anew.
type Events struct {
	Max  int // bytes of one event's data [65536]
	line []byte
	kind []byte
	data []byte
	some bool
	cr   bool
}

// Feed calls f for each whole event; kind is "message" where the stream named none. The bytes are valid
// during the call.
func (e *Events) Feed(b []byte, f func(kind, data []byte)) error {
	limit := e.Max
	if limit <= 0 {
		limit = 65536
	}
	for len(b) > 0 {
		if e.cr && b[0] == '\n' { // the second half of CR LF
			e.cr, b = false, b[1:]
			continue
		}
		e.cr = false
		i := bytes.IndexAny(b, "\r\n")
		part := b
		if i >= 0 {
			part = b[:i]
		}
		if len(e.line)+len(part)+len(e.data) > limit {
			return fmt.Errorf("http1: event of over %d bytes", limit)
		}
		e.line = append(e.line, part...)
		if i < 0 {
			return nil
		}
		e.cr = b[i] == '\r'
		b = b[i+1:]
		e.take(f)
		e.line = e.line[:0]
	}
	return nil
}

func (e *Events) take(f func(kind, data []byte)) {
	if len(e.line) == 0 {
		if e.some {
			kind := e.kind
			if len(kind) == 0 {
				kind = []byte("message")
			}
			f(kind, bytes.TrimSuffix(e.data, []byte("\n")))
		}
		e.kind, e.data, e.some = e.kind[:0], e.data[:0], false
		return
	}
	name, value, _ := bytes.Cut(e.line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.kind = append(e.kind[:0], value...)
	case "data":
		e.data = append(append(e.data, value...), '\n')
		e.some = true
	}
}
