// Package wire is the codec of the simulator's protocol: it translates batches
// of events, replies with actions and the settings text to and from the types
// of package headmill. It makes no decisions.
//
// All numbers are little-endian. A batch is a header (time in ms, length of the
// body, number of records), that many records of 64 bytes and a tail. A reply
// is a header (number of records, length of the body), records of 24 bytes and
// a tail. The first byte of a record is its code. Records refer to data of
// variable length by offset and length in the tail.
//
// A Decoder keeps two things between batches: the numbered node lists of the
// process, and for each instance the order of its load report fields.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"headmill"
)

// HeaderSize is the size of a batch's header in bytes.
const HeaderSize = 16

// Sizes of the other fixed parts of a frame, in bytes, and limits.
const (
	eventSize     = 64
	actionSize    = 24
	nodeEntrySize = 23
	maxFrameSize  = 1 << 30 // bytes; a longer length is taken for a corrupt header
	maxNodeLists  = 16      // numbered node lists that are kept at the same time
)

// Codes of event records. The simulator's own names differ for some; these are named after the decision module's events.
const (
	eventFeedback        = 1
	eventAttemptPlaying  = 2
	eventRequest         = 3
	eventTimer           = 4
	eventMessage         = 5
	eventExistingSession = 6
	eventNodes           = 7
	eventHealthResult    = 8
	eventOpenInstance    = 9
	eventViewerLeft      = 10
	eventAttemptEnded    = 11
	eventList            = 12
	eventExit            = 13
)

// Codes of the action records that Encoder writes.
const (
	actionSetup     = 1
	actionRefuse    = 2
	actionFail      = 3
	actionTimer     = 5
	actionLog       = 9
	actionSubscribe = 11
	actionSetRung   = 13
)

// Message is one event for one instance. Open and Exit are for the host of the
// instances; every other message carries an Event for the decision module.
type Message struct {
	Instance uint16
	Open     bool   // the instance starts, with Seed and Settings
	Exit     bool   // the instance ends
	Seed     uint64 // of an Open
	Settings string // of an Open: path=value lines for ParseSettings
	Event    headmill.Event
}

// Decoder reads batches. It keeps the numbered node lists of the process and
// the load report fields of each instance.
type Decoder struct {
	nodeLists    [maxNodeLists][]headmill.Node
	reportFields map[uint16][]string
	msgs         []Message
	buf          []byte
}

// NewDecoder returns a Decoder without node lists.
func NewDecoder() *Decoder { return &Decoder{reportFields: make(map[uint16][]string)} }

// SetFields sets the order of an instance's load report fields.
func (d *Decoder) SetFields(instance uint16, fields []string) { d.reportFields[instance] = fields }

// ReadBatch reads one batch. It returns io.EOF when the input ends between two
// batches. The messages are valid until the next call.
func (d *Decoder) ReadBatch(r io.Reader) (now float64, msgs []Message, err error) {
	var header [HeaderSize]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, fmt.Errorf("wire: batch header: %w", err)
	}
	now = math.Float64frombits(binary.LittleEndian.Uint64(header[:]))
	length, count := binary.LittleEndian.Uint32(header[8:]), binary.LittleEndian.Uint32(header[12:])
	if length > maxFrameSize {
		return 0, nil, fmt.Errorf("wire: batch of %d bytes is too long", length)
	}
	if uint64(count)*eventSize > uint64(length) {
		return 0, nil, fmt.Errorf("wire: %d records do not fit in a body of %d bytes", count, length)
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

// Decode translates the records and the tail of a batch's body. For an instance
// that opens in this batch it calls SetFields itself, since the instance's
// events may follow in the same batch.
func (d *Decoder) Decode(now float64, body []byte, count int) ([]Message, error) {
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, fmt.Errorf("wire: batch time is %v, want a finite number", now)
	}
	if count < 0 || count > len(body)/eventSize {
		return nil, fmt.Errorf("wire: %d records do not fit in a body of %d bytes", count, len(body))
	}
	d.msgs = d.msgs[:0]
	tail := body[count*eventSize:]
	for i := range count {
		record := body[i*eventSize : (i+1)*eventSize]
		m, deliver, err := d.decodeEvent(record, tail)
		if err != nil {
			return nil, fmt.Errorf("wire: record %d (code %d): %w", i, record[0], err)
		}
		if deliver {
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

// nodeID reads a node id: 6 bytes, the lower 4 first.
func nodeID(b []byte) headmill.NodeID {
	return headmill.NodeID(u32(b)) | headmill.NodeID(u16(b[4:]))<<32
}

// smallCount reads a small whole number that the protocol carries as a float. Values from 1<<20 on are rejected.
func smallCount(b []byte) (int, error) {
	v := f32(b)
	if !(v >= 0 && v < 1<<20) {
		return 0, fmt.Errorf("value %v is out of range for a count", v)
	}
	return int(v), nil
}

// tailBytes returns the part of the tail that the reference in b (offset in bytes, number of units) denotes.
func tailBytes(b, tail []byte, unitSize uint64) ([]byte, error) {
	offset, length := uint64(u32(b)), uint64(u32(b[4:]))*unitSize
	if offset+length > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d to %d are outside the tail of %d bytes", offset, offset+length, len(tail))
	}
	return tail[offset : offset+length], nil
}

// decodeReport reads a load report: the number of values, then that many of the instance's fields.
func (d *Decoder) decodeReport(instance uint16, b []byte) (headmill.LoadReport, error) {
	count := int(b[0])
	if count > 4 { // most values of a load report in the protocol
		return headmill.LoadReport{Streams: -1, LinkLoad: -1, UplinkLoad: -1},
			fmt.Errorf("load report has %d values, at most 4 are allowed", count)
	}
	return ReadReport(d.reportFields[instance], func(i int, _ string) (float64, bool) {
		if i >= count {
			return 0, false
		}
		return f32(b[1+4*i:]), true
	}), nil
}

// ReadReport builds a load report. It calls value for each of the fields, which are in the settings' order; a value that
// is not finite counts as missing. Without a link load, the utilization stands in for it.
func ReadReport(fields []string, value func(i int, name string) (float64, bool)) headmill.LoadReport {
	r := headmill.LoadReport{Streams: -1, LinkLoad: -1, UplinkLoad: -1}
	var utilization float64 = -1
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
			r.LinkLoad = v
		case "x1":
			r.UplinkLoad = v
		case "utilization":
			utilization = v
		}
	}
	if r.LinkLoad < 0 {
		r.LinkLoad = utilization
	}
	return r
}

// decodeEvent translates one record; deliver is false for a record that is no event of the decision
// module.
func (d *Decoder) decodeEvent(b, tail []byte) (m Message, deliver bool, err error) {
	m.Instance = u16(b[1:])
	ev := &m.Event
	switch b[0] {
	case eventFeedback:
		ev.Kind, ev.Session = headmill.EvFeedback, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.Feedback, ev.FeedbackValue = nodeID(b[9:]), headmill.FeedbackKind(b[15]), f32(b[16:])
	case eventAttemptPlaying:
		ev.Kind, ev.Session = headmill.EvAttemptPlaying, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.LatencyMs = nodeID(b[9:]), f64(b[15:])
	case eventRequest:
		ev.Kind, ev.Session, ev.Class = headmill.EvRequest, headmill.SessionID(u32(b[3:])), int(u16(b[7:]))
		ev.Title = u64(b[21:])
		ev.TimeLeftMs = f64(b[29:])
		err = decodeTitleAndLimits(ev, b[37:], b[45:], b[49:], b[53:], b[57])
	case eventTimer:
		ev.Kind, ev.TimerID = headmill.EvTimer, u64(b[3:])
	case eventMessage:
		_, err = tailBytes(b[5:], tail, 1)
		return m, false, err // the fronts send each other no messages
	case eventExistingSession:
		ev.Kind, ev.Session = headmill.EvExistingSession, headmill.SessionID(u32(b[3:]))
		ev.Node, ev.TimeLeftMs = nodeID(b[15:]), f64(b[46:])
		ev.Class, ev.Title = int(u16(b[54:])), u64(b[56:])
		err = decodeTitleAndLimits(ev, b[38:], b[26:], b[34:], b[21:], b[25])
	case eventNodes:
		ev.Kind = headmill.EvNodes
		switch b[3] { // kind of the update
		case 0, 1: // a whole list
		case 2: // discovery did not answer
			ev.ListUnavailable = true
		case 4: // only the nodes that changed
			ev.NodesAreDelta = true
		default:
			return m, false, fmt.Errorf("unknown node list kind %d", b[3])
		}
		if !ev.ListUnavailable {
			listNumber := u32(b[12:])
			if listNumber >= maxNodeLists {
				return m, false, fmt.Errorf("list number %d", listNumber)
			}
			ev.Nodes = d.nodeLists[listNumber]
		}
	case eventHealthResult:
		_, err = d.decodeReport(m.Instance, b[19:])
		return m, false, err // the fronts send no health probes
	case eventOpenInstance:
		m.Open, m.Seed = true, u64(b[3:])
		var text []byte
		if text, err = tailBytes(b[11:], tail, 1); err == nil {
			m.Settings = string(text)
			var s Settings
			if s, err = ParseSettings(m.Settings); err == nil {
				d.SetFields(m.Instance, s.Fields)
			}
		}
	case eventViewerLeft:
		ev.Kind, ev.Session = headmill.EvViewerLeft, headmill.SessionID(u32(b[3:]))
	case eventAttemptEnded:
		ev.Kind, ev.Session, ev.SessionOver = headmill.EvAttemptEnded, headmill.SessionID(u32(b[3:])), b[7] != 0
		ev.LatencyMs, ev.Outcome = f64(b[10:]), headmill.Outcome(u16(b[18:]))
		ev.Node = nodeID(b[20:])
		ev.LoadReport, err = d.decodeReport(m.Instance, b[26:])
	case eventList:
		return m, false, d.decodeNodeList(b, tail)
	case eventExit:
		m.Exit = true
	default: // all records have one size, so codes of a later protocol version can be skipped
		return m, false, nil
	}
	return m, err == nil, err
}

// decodeTitleAndLimits reads where an event's title is stored, the highest rung that the player can use and, if the flags
// say that there is one, the hint at the session's duration. The errors name the fields as the protocol does.
func decodeTitleAndLimits(ev *headmill.Event, durationHint, firstCell, copies, maxRung []byte, flags byte) (err error) {
	if ev.FirstCell, err = smallCount(firstCell); err != nil {
		return fmt.Errorf("base: %w", err)
	}
	if ev.Copies, err = smallCount(copies); err != nil {
		return fmt.Errorf("spread: %w", err)
	}
	if ev.MaxRung, err = smallCount(maxRung); err != nil {
		return fmt.Errorf("ceiling_rung: %w", err)
	}
	if flags&1 != 0 {
		ev.DurationHintMs = f64(durationHint)
	}
	return nil
}

// decodeNodeList reads a numbered node list, which later events refer to.
func (d *Decoder) decodeNodeList(b, tail []byte) error {
	listNumber := u32(b[1:])
	if listNumber >= maxNodeLists {
		return fmt.Errorf("list number %d", listNumber)
	}
	raw, err := tailBytes(b[5:], tail, nodeEntrySize)
	if err != nil {
		return err
	}
	nodes := make([]headmill.Node, 0, len(raw)/nodeEntrySize)
	for ; len(raw) > 0; raw = raw[nodeEntrySize:] {
		nodes = append(nodes, headmill.Node{
			StartedAtMs: f64(raw), Cell: int(u16(raw[8:])), Health: headmill.Health(raw[10]),
			Weight: f32(raw[11:]), ID: nodeID(raw[15:]), Kind: int(raw[21]), Zone: int(raw[22])})
	}
	d.nodeLists[listNumber] = nodes
	return nil
}

// Encoder collects the actions of one reply.
type Encoder struct {
	records, tail []byte
	count         uint32
}

// Reset starts a new reply.
func (e *Encoder) Reset() { e.records, e.tail, e.count = e.records[:0], e.tail[:0], 0 }

// Add appends one action of an instance.
func (e *Encoder) Add(instance uint16, a *headmill.Action) error {
	var record [actionSize]byte
	order := binary.LittleEndian
	order.PutUint16(record[1:], instance)
	order.PutUint32(record[3:], uint32(a.Session))
	switch a.Kind {
	case headmill.ActSetup:
		record[0] = actionSetup
		putNodeID(record[7:], a.Node)
		order.PutUint64(record[13:], math.Float64bits(a.AtMs))
	case headmill.ActRefuse:
		record[0] = actionRefuse
		order.PutUint64(record[7:], math.Float64bits(a.RetryAfterMs))
	case headmill.ActFail:
		record[0] = actionFail
	case headmill.ActTimer:
		record[0] = actionTimer
		order.PutUint64(record[3:], math.Float64bits(a.AtMs))
		order.PutUint64(record[11:], a.TimerID)
	case headmill.ActLog:
		record[0] = actionLog
		order.PutUint32(record[3:], uint32(len(e.tail)))
		order.PutUint32(record[7:], uint32(len(a.Text)))
		e.tail = append(e.tail, a.Text...)
	case headmill.ActSubscribe:
		record[0], record[3] = actionSubscribe, 1 // byte 3 is 1 in every subscription
	case headmill.ActSetRung:
		if a.Rung < 0 || a.Rung > 255 {
			return fmt.Errorf("wire: rung %d does not fit in a byte", a.Rung)
		}
		record[0], record[7] = actionSetRung, byte(a.Rung)
	default:
		return fmt.Errorf("wire: unknown action kind %d", a.Kind)
	}
	e.records = append(e.records, record[:]...)
	e.count++
	return nil
}

func putNodeID(b []byte, id headmill.NodeID) {
	binary.LittleEndian.PutUint32(b, uint32(id))
	binary.LittleEndian.PutUint16(b[4:], uint16(id>>32))
}

// WriteTo writes the reply as one frame.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var header [8]byte
	binary.LittleEndian.PutUint32(header[:], e.count)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{header[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, fmt.Errorf("wire: write reply: %w", err)
		}
	}
	return total, nil
}
