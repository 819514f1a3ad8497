// Package cmcd parses Common Media Client Data (CTA-5004, and those keys of its
// version 2 that event reports need): a comma-separated list of keys, in any
// order, from a query parameter or from header fields. It has no side effects.
// Parsing never fails as a whole: unknown keys are returned separately, invalid
// ones are listed by name, and all others are used.
package cmcd

import (
	"math"
	"net/url"
	"strconv"
	"strings"
)

// State is the state of a player (version 2, key sta).
type State byte

// The states of a player; the values are those of key sta.
const (
	NoState     State = 0
	Starting    State = 's'
	Playing     State = 'p'
	Seeking     State = 'k'
	Rebuffering State = 'r'
	Paused      State = 'a'
	Waiting     State = 'w'
	Ended       State = 'e'
	Fatal       State = 'f'
	Quit        State = 'q'
	Preloading  State = 'd'
)

// Record holds the values of one list. Absent numbers are NaN, absent texts are empty; New returns such a record.
type Record struct {
	Bitrate             float64 // br, kbit/s: encoded bitrate of the object requested or played
	Buffer              float64 // bl, ms: buffer length
	Starved             bool    // bs: the buffer ran empty since the last request
	Throughput          float64 // mtp, kbit/s: measured throughput
	RequestedThroughput float64 // rtp, kbit/s: requested maximum throughput
	MaxBitrate          float64 // tb, kbit/s of the highest rung that the player can use
	Startup             bool    // su: needed urgently, for start-up, after a seek or after a stall
	Session             string  // sid: session ID
	Content             string  // cid: content ID
	Rate                float64 // pr: playback rate; 1 is real time
	Deadline            float64 // dl, ms: time until the buffer runs empty
	Duration            float64 // d, ms: duration of the object
	Version             int     // v: version of CMCD; 1 if absent

	Event          string  // e: type of the event (version 2)
	TimestampMs    float64 // ts, ms since the Unix epoch on the player's clock
	SequenceNumber int64   // sn: sequence number; -1 if absent
	State          State   // sta: state of the player
	StallMs        float64 // bsd, ms: duration of the stall that ended
	StartDelayMs   float64 // msd, ms: start delay, from the request to the first picture
	Playhead       float64 // pt, ms: position in the content

	Unknown map[string]string // keys that this package does not interpret, including custom ones (with a hyphen)
	Invalid []string          // keys with a value of the wrong type or range
}

// The bounds of one list; what exceeds them is ignored and reported as "(more)" in Invalid.
const (
	MaxListBytes = 2048 // bytes
	MaxKeys      = 48
)

// New returns a record in which all keys are absent.
func New() Record {
	n := math.NaN()
	return Record{Bitrate: n, Buffer: n, Throughput: n, RequestedThroughput: n, MaxBitrate: n, Rate: n, Deadline: n,
		Duration: n, TimestampMs: n, StallMs: n, StartDelayMs: n, Playhead: n, SequenceNumber: -1, Version: 1}
}

// Parse parses one list.
func Parse(text string) Record {
	r := New()
	r.Add(text)
	return r
}

// FromQuery parses the list in a request's raw query (parameter CMCD, percent-encoded); it returns a zero Record
// and false if there is none.
func FromQuery(raw string) (Record, bool) {
	for raw != "" {
		var part string
		part, raw, _ = strings.Cut(raw, "&")
		if v, ok := strings.CutPrefix(part, "CMCD="); ok {
			text, err := url.QueryUnescape(v)
			if err != nil {
				r := New()
				r.markInvalid("(encoding)")
				return r, true
			}
			return Parse(text), true
		}
	}
	return Record{}, false
}

// FromHeaders parses the lists in the four CMCD header fields as one; get returns a field's value by its name. It
// returns false if there is none.
func FromHeaders(get func(string) string) (Record, bool) {
	r, found := New(), false
	for _, name := range []string{"CMCD-Request", "CMCD-Object", "CMCD-Session", "CMCD-Status"} {
		if v := get(name); v != "" {
			r.Add(v)
			found = true
		}
	}
	return r, found
}

// markInvalid adds a key to Invalid, up to MaxKeys.
func (r *Record) markInvalid(key string) {
	if len(r.Invalid) < MaxKeys {
		r.Invalid = append(r.Invalid, key)
	}
}

// Add parses another list into the record; the last valid value of a repeated key is used.
func (r *Record) Add(text string) {
	if len(text) > MaxListBytes {
		text = text[:MaxListBytes]
		r.markInvalid("(more)")
	}
	for n := 0; text != ""; n++ {
		if n >= MaxKeys {
			r.markInvalid("(more)")
			return
		}
		item, rest, closed := cutItem(text)
		text = rest
		key, value, hasValue := strings.Cut(strings.TrimSpace(item), "=")
		if key == "" {
			if strings.TrimSpace(item) != "" {
				r.markInvalid("(empty)")
			}
			continue
		}
		if !closed || !validKey(key) {
			r.markInvalid(truncateKey(key))
			continue
		}
		r.setField(key, value, hasValue)
	}
}

// cutItem splits off one item, up to a comma outside quotes; closed is false if a quoted string is not terminated.
func cutItem(s string) (item, rest string, closed bool) {
	quoted := false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case quoted && c == '\\' && i+1 < len(s):
			i++
		case c == '"':
			quoted = !quoted
		case c == ',' && !quoted:
			return s[:i], s[i+1:], true
		}
	}
	return s, "", !quoted
}

// validKey reports whether a key has at most 64 characters, all of them letters, digits, hyphens, underscores or dots.
func validKey(key string) bool {
	for _, c := range key {
		if c != '-' && c != '_' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return len(key) <= 64
}

// truncateKey bounds an invalid key for Invalid.
func truncateKey(s string) string { return s[:min(len(s), 32)] }

// numericFields maps the keys whose value is a non-negative number to the field that holds it.
var numericFields = map[string]func(*Record) *float64{
	"br": func(r *Record) *float64 { return &r.Bitrate }, "bl": func(r *Record) *float64 { return &r.Buffer },
	"mtp": func(r *Record) *float64 { return &r.Throughput }, "rtp": func(r *Record) *float64 { return &r.RequestedThroughput },
	"tb": func(r *Record) *float64 { return &r.MaxBitrate }, "pr": func(r *Record) *float64 { return &r.Rate },
	"dl": func(r *Record) *float64 { return &r.Deadline }, "d": func(r *Record) *float64 { return &r.Duration },
	"ts": func(r *Record) *float64 { return &r.TimestampMs }, "bsd": func(r *Record) *float64 { return &r.StallMs },
	"msd": func(r *Record) *float64 { return &r.StartDelayMs }, "pt": func(r *Record) *float64 { return &r.Playhead },
}

func (r *Record) setField(key, value string, hasValue bool) {
	if fieldOf := numericFields[key]; fieldOf != nil {
		// Version 2 has lists for objects of several types, "(1000;v 128;a)": the first number is used.
		number := strings.TrimPrefix(value, "(")
		if i := strings.IndexAny(number, "; )"); i >= 0 {
			number = number[:i]
		}
		parsed, err := strconv.ParseFloat(number, 64)
		if err != nil || !(parsed >= 0) || math.IsInf(parsed, 0) {
			r.markInvalid(key)
			return
		}
		*fieldOf(r) = parsed
		return
	}
	switch key {
	case "bs", "su":
		flag := !hasValue || value == "true" || value == "?1"
		if hasValue && !flag && value != "false" && value != "?0" {
			r.markInvalid(key)
			return
		}
		if key == "bs" {
			r.Starved = flag
		} else {
			r.Startup = flag
		}
	case "sid", "cid":
		s, ok := unquote(value)
		if !ok || len(s) > 64 {
			r.markInvalid(key)
			return
		}
		if key == "sid" {
			r.Session = s
		} else {
			r.Content = s
		}
	case "v":
		if value != "1" && value != "2" {
			r.markInvalid(key)
			return
		}
		r.Version = int(value[0] - '0')
	case "sn":
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			r.markInvalid(key)
			return
		}
		r.SequenceNumber = n
	case "e":
		if value == "" || len(value) > 4 {
			r.markInvalid(key)
			return
		}
		r.Event = value
	case "sta":
		if len(value) != 1 || !strings.ContainsAny(value, "spkrawefqd") {
			r.markInvalid(key)
			return
		}
		r.State = State(value[0])
	default:
		if r.Unknown == nil {
			r.Unknown = map[string]string{}
		}
		r.Unknown[key] = value
	}
}

// unquote decodes a quoted string with its escapes (RFC 8941 section 3.3.3).
func unquote(s string) (string, bool) {
	if len(s) < 2 || s[0] != '"' || s[len(s)-1] != '"' {
		return "", false
	}
	s = s[1 : len(s)-1]
	if !strings.ContainsAny(s, `"\`) {
		return s, true
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '"' {
			return "", false
		}
		if s[i] == '\\' {
			if i++; i >= len(s) || s[i] != '"' && s[i] != '\\' {
				return "", false
			}
		}
		b.WriteByte(s[i])
	}
	return b.String(), true
}
