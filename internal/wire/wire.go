// Package wire translates the bench's binary frames to and from headmill's
// types. It decides nothing.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"headmill"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	HeaderSize  = 16
	eventSize   = 64
	actionSize  = 24
	entrySize   = 23
	maxFrame    = 1 << 30 // bytes; a longer frame is taken for garbage
	maxListSlot = 16
)

// Message is one event for one instance. Open and Exit are for the host of
// the instances; every other message carries an Event of the module.
type Message struct {
	Instance uint16
	Open     bool
	Exit     bool
	Seed     uint64
	Settings string
	Event    headmill.Event
}

// Decoder reads batches; it keeps the numbered server lists of the process.
type Decoder struct {
	lists  [maxListSlot][]headmill.Node
	fields map[uint16][]string
	msgs   []Message
	buf    []byte
}

// NewDecoder returns a decoder with no lists.
func NewDecoder() *Decoder { return &Decoder{fields: make(map[uint16][]string)} }

// SetFields tells the order of an instance's load report fields.
func (d *Decoder) SetFields(instance uint16, fields []string) { d.fields[instance] = fields }

// ReadBatch reads one frame. It returns io.EOF at a clean end of the input.
// The messages are valid until the next call.
func (d *Decoder) ReadBatch(r io.Reader) (now float64, msgs []Message, err error) {
	var h [HeaderSize]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("wire: batch header: %w", err)
	}
	now = math.Float64frombits(binary.LittleEndian.Uint64(h[:]))
	length, count := binary.LittleEndian.Uint32(h[8:]), binary.LittleEndian.Uint32(h[12:])
	if length > maxFrame {
		return 0, nil, fmt.Errorf("wire: batch of %d bytes is too long", length)
	}
	if uint64(count)*eventSize > uint64(length) {
		return 0, nil, fmt.Errorf("wire: %d records do not fit %d bytes", count, length)
	}
	if uint32(cap(d.buf)) < length {
		d.buf = make([]byte, length)
	}
	d.buf = d.buf[:length]
	if _, err = io.ReadFull(r, d.buf); err != nil {
		return 0, nil, fmt.Errorf("wire: batch body of %d bytes: %w", length, err)
	}
	msgs, err = d.Decode(now, d.buf, int(count))
	return now, msgs, err
}

// Decode translates the count records and the tail in body. SetFields of an
// instance that opens in this body happens here, since its events may follow.
func (d *Decoder) Decode(now float64, body []byte, count int) ([]Message, error) {
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, fmt.Errorf("wire: the clock is %v", now)
	}
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("wire: %d records do not fit %d bytes", count, len(body))
	}
	d.msgs = d.msgs[:0]
	tail := body[count*eventSize:]
	for i := range count {
		rec := body[i*eventSize : (i+1)*eventSize]
		m, keep, err := d.event(rec, tail)
		if err != nil {
			return nil, fmt.Errorf("wire: record %d (code %d): %w", i, rec[0], err)
		}
		if keep {
			d.msgs = append(d.msgs, m)
		}
	}
	return d.msgs, nil
}

func u16(b []byte) uint16  { return binary.LittleEndian.Uint16(b) }
func u32(b []byte) uint32  { return binary.LittleEndian.Uint32(b) }
func u64(b []byte) uint64  { return binary.LittleEndian.Uint64(b) }
func f64(b []byte) float64 { return math.Float64frombits(u64(b)) }
func f32(b []byte) float64 { return float64(math.Float32frombits(u32(b))) }

func serverID(b []byte) headmill.NodeID {
	return headmill.NodeID(u32(b)) | headmill.NodeID(u16(b[4:]))<<32
}

// whole turns a float field that holds a small count into an int.
func whole(b []byte) (int, error) {
	v := f32(b)
	if !(v >= 0 && v < 1<<20) {
		return 0, fmt.Errorf("count %v is impossible", v)
	}
	return int(v), nil
}

func span(b, tail []byte, unit uint64) ([]byte, error) {
	off, n := uint64(u32(b)), uint64(u32(b[4:]))*unit
	if off+n > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d to %d lie outside the tail of %d", off, off+n, len(tail))
	}
	return tail[off : off+n], nil
}

func (d *Decoder) report(instance uint16, b []byte) (headmill.Report, error) {
	n := int(b[0])
	if n > 4 {
		return headmill.Report{Streams: -1, Link: -1, Uplink: -1}, fmt.Errorf("a load report of %d values", n)
	}
	return ReadReport(d.fields[instance], func(i int, _ string) (float64, bool) {
		if i >= n {
			return 0, false
		}
		return f32(b[1+4*i:]), true
	}), nil
}

// ReadReport makes a load report of the figures that value tells for the settings' fields; figures that are not finite
// count as not told.
func ReadReport(fields []string, value func(i int, name string) (float64, bool)) headmill.Report {
	r := headmill.Report{Streams: -1, Link: -1, Uplink: -1}
	var capped float64 = -1
	for i, name := range fields {
		v, ok := value(i, name)
		if !ok || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		r.Present = true
		switch name {
		case "outstanding":
			r.Streams = v
		case "x0":
			r.Link = v
		case "x1":
			r.Uplink = v
		case "utilization":
			capped = v
		}
	}
	if r.Link < 0 {
		r.Link = capped
	}
	return r
}

func (d *Decoder) event(b, tail []byte) (m Message, keep bool, err error) {
	m.Instance = u16(b[1:])
	ev := &m.Event
	switch b[0] {
	case 1: // SIGNAL
		ev.Kind, ev.Session = headmill.EvFeedback, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.Feedback, ev.Value = serverID(b[9:]), headmill.FeedbackKind(b[15]), f32(b[16:])
	case 2: // HEADERS
		ev.Kind, ev.Session = headmill.EvAttemptPlaying, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.LatencyMs = serverID(b[9:]), f64(b[15:])
	case 3: // QUERY
		ev.Kind, ev.Session, ev.Class = headmill.EvRequest, headmill.SessionID(u32(b[3:])), int(u16(b[7:]))
		ev.Title = u64(b[21:])
		ev.TimeLeftMs = f64(b[29:])
		err = sessionTail(ev, b[37:], b[45:], b[49:], b[53:], b[57])
	case 4: // BELL
		ev.Kind, ev.Timer = headmill.EvTimer, u64(b[3:])
	case 5: // MESSAGE
		_, err = span(b[5:], tail, 1)
		return m, false, err // fronts here do not post
	case 6: // PREEXISTING
		ev.Kind, ev.Session = headmill.EvExistingSession, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.TimeLeftMs = serverID(b[15:]), f64(b[46:])
		ev.Class, ev.Title = int(u16(b[54:])), u64(b[56:])
		err = sessionTail(ev, b[38:], b[26:], b[34:], b[21:], b[25])
	case 7: // SYNC
		ev.Kind = headmill.EvNodes
		switch b[3] {
		case 0, 1:
		case 2:
			ev.ListUnavailable = true
		case 4:
			ev.Delta = true
		default:
			return m, false, fmt.Errorf("list of kind %d", b[3])
		}
		if !ev.ListUnavailable {
			slot := u32(b[12:])
			if slot >= maxListSlot {
				return m, false, fmt.Errorf("list number %d", slot)
			}
			ev.Nodes = d.lists[slot]
		}
	case 8: // HEALTH_RESULT
		_, err = d.report(m.Instance, b[19:])
		return m, false, err // fronts here do not probe
	case 9: // OPEN_INSTANCE
		m.Open, m.Seed = true, u64(b[3:])
		var text []byte
		if text, err = span(b[11:], tail, 1); err == nil {
			m.Settings = string(text)
			var s Settings
			if s, err = ParseSettings(m.Settings); err == nil {
				d.SetFields(m.Instance, s.Fields)
			}
		}
	case 10: // WITHDRAWN
		ev.Kind, ev.Session = headmill.EvViewerLeft, headmill.SessionID(u32(b[3:]))
	case 11: // SETTLED
		ev.Kind, ev.Session, ev.SessionOver = headmill.EvAttemptEnded, headmill.SessionID(u32(b[3:])), b[7] != 0
		ev.LatencyMs, ev.Outcome = f64(b[10:]), headmill.Outcome(u16(b[18:]))
		ev.Node = serverID(b[20:])
		ev.Report, err = d.report(m.Instance, b[26:])
	case 12: // LIST
		return m, false, d.list(b, tail)
	case 13: // EXIT
		m.Exit = true
	default: // records are of one size, so what a later wire adds can be passed over
		return m, false, nil
	}
	return m, err == nil, err
}

func sessionTail(ev *headmill.Event, hint, home, copies, top []byte, flags byte) (err error) {
	if ev.FirstCell, err = whole(home); err != nil {
		return fmt.Errorf("base: %w", err)
	}
	if ev.Copies, err = whole(copies); err != nil {
		return fmt.Errorf("spread: %w", err)
	}
	if ev.MaxRung, err = whole(top); err != nil {
		return fmt.Errorf("ceiling_rung: %w", err)
	}
	if flags&1 != 0 {
		ev.DurationHintMs = f64(hint)
	}
	return nil
}

func (d *Decoder) list(b, tail []byte) error {
	slot := u32(b[1:])
	if slot >= maxListSlot {
		return fmt.Errorf("list number %d", slot)
	}
	raw, err := span(b[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]headmill.Node, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		entries = append(entries, headmill.Node{
			StartedAtMs: f64(raw), Cell: int(u16(raw[8:])), Health: headmill.Health(raw[10]),
			Weight: f32(raw[11:]), ID: serverID(raw[15:]), Kind: int(raw[21]), Zone: int(raw[22])})
	}
	d.lists[slot] = entries
	return nil
}

// Encoder gathers the actions of one reply.
type Encoder struct {
	recs, tail []byte
	count      uint32
}

// Reset starts a new reply.
func (e *Encoder) Reset() { e.recs, e.tail, e.count = e.recs[:0], e.tail[:0], 0 }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint16, a *headmill.Action) error {
	var r [actionSize]byte
	le := binary.LittleEndian
	le.PutUint16(r[1:], instance)
	le.PutUint32(r[3:], uint32(a.Session))
	switch a.Kind {
	case headmill.ActSetup:
		r[0] = 1
		putServer(r[7:], a.Node)
		le.PutUint64(r[13:], math.Float64bits(a.AtMs))
	case headmill.ActRefuse:
		r[0] = 2
		le.PutUint64(r[7:], math.Float64bits(a.RetryAfterMs))
	case headmill.ActFail:
		r[0] = 3
	case headmill.ActTimer:
		r[0] = 5
		le.PutUint64(r[3:], math.Float64bits(a.AtMs))
		le.PutUint64(r[11:], a.Timer)
	case headmill.ActLog:
		r[0] = 9
		le.PutUint32(r[3:], uint32(len(e.tail)))
		le.PutUint32(r[7:], uint32(len(a.Text)))
		e.tail = append(e.tail, a.Text...)
	case headmill.ActSubscribe:
		r[0], r[3] = 11, 1
	case headmill.ActSetRung:
		if a.Rung < 0 || a.Rung > 255 {
			return fmt.Errorf("wire: rung %d", a.Rung)
		}
		r[0], r[7] = 13, byte(a.Rung)
	default:
		return fmt.Errorf("wire: action of kind %d", a.Kind)
	}
	e.recs = append(e.recs, r[:]...)
	e.count++
	return nil
}

func putServer(b []byte, id headmill.NodeID) {
	binary.LittleEndian.PutUint32(b, uint32(id))
	binary.LittleEndian.PutUint16(b[4:], uint16(id>>32))
}

// WriteTo writes the reply as one frame.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var h [8]byte
	binary.LittleEndian.PutUint32(h[:], e.count)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(e.recs)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{h[:], e.recs, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, fmt.Errorf("wire: reply: %w", err)
		}
	}
	return total, nil
}
