// Package cmcd reads Common Media Client Data (CTA-5004, and the keys of its
// second version that events need): the comma-separated list of a query
// parameter or header field, in any order of keys. It is pure and never fails as
// a whole: unknown keys are kept apart, bad ones are named, the rest counts.
package cmcd

import (
	"math"
	"net/url"
	"strconv"
	"strings"
)

// State is the player's state (version 2, key sta).
type State byte

// The states of a player.
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

// Record is what one list says. Figures that were not told are NaN; texts empty.
type Record struct {
	Bitrate    float64 // br, kbit/s: of the object requested or played
	Buffer     float64 // bl, ms
	Starved    bool    // bs: the buffer ran empty since the last request
	Throughput float64 // mtp, kbit/s measured
	Requested  float64 // rtp, kbit/s asked for at most
	Top        float64 // tb, kbit/s of the highest rung that the player can use
	Startup    bool    // su: needed urgently, for start-up, seek or after a stall
	Session    string  // sid
	Content    string  // cid
	Rate       float64 // pr: 1 is real time
	Deadline   float64 // dl, ms
	Duration   float64 // d, ms
	Version    int     // v; 1 where it is not told

	Event    string  // e, version 2
	At       float64 // ts, ms since 1970 on the player's clock
	Number   int64   // sn: -1 where it is not told
	State    State   // sta
	Starve   float64 // bsd, ms of the stall that ended
	Delay    float64 // msd, ms from the wish to the first picture
	Playhead float64 // pt, ms

	Unknown map[string]string // keys that this version does not read, custom ones (with a hyphen) among them
	Bad     []string          // keys whose value is not of their kind
}

// The bounds of one list; what goes beyond is passed over and named as "(more)".
const (
	MaxText = 2048
	MaxKeys = 48
)

// New is a record that tells nothing.
func New() Record {
	n := math.NaN()
	return Record{Bitrate: n, Buffer: n, Throughput: n, Requested: n, Top: n, Rate: n, Deadline: n, Duration: n, At: n,
		Starve: n, Delay: n, Playhead: n, Number: -1, Version: 1}
}

// Parse reads one list.
func Parse(text string) Record {
	r := New()
	r.Add(text)
	return r
}

// FromQuery finds the list in a request's raw query (key CMCD, percent-encoded).
func FromQuery(raw string) (Record, bool) {
	for raw != "" {
		var part string
		part, raw, _ = strings.Cut(raw, "&")
		if v, ok := strings.CutPrefix(part, "CMCD="); ok {
			text, err := url.QueryUnescape(v)
			if err != nil {
				r := New()
				r.bad("(encoding)")
				return r, true
			}
			return Parse(text), true
		}
	}
	return Record{}, false
}

// FromHeaders joins the four header fields; get returns a field's value by its name.
func FromHeaders(get func(string) string) (Record, bool) {
	r, some := New(), false
	for _, name := range []string{"CMCD-Request", "CMCD-Object", "CMCD-Session", "CMCD-Status"} {
		if v := get(name); v != "" {
			r.Add(v)
			some = true
		}
	}
	return r, some
}

func (r *Record) bad(key string) {
	if len(r.Bad) < MaxKeys {
		r.Bad = append(r.Bad, key)
	}
}

// Add reads one more list into the record; a key that comes again counts as it came last.
func (r *Record) Add(text string) {
	if len(text) > MaxText {
		text = text[:MaxText]
		r.bad("(more)")
	}
	for n := 0; text != ""; n++ {
		if n >= MaxKeys {
			r.bad("(more)")
			return
		}
		item, rest, closed := cut(text)
		text = rest
		key, value, has := strings.Cut(strings.TrimSpace(item), "=")
		if key == "" {
			if strings.TrimSpace(item) != "" {
				r.bad("(empty)")
			}
			continue
		}
		if !closed || !plain(key) {
			r.bad(clip(key))
			continue
		}
		r.set(key, value, has)
	}
}

// cut takes one item up to a comma outside of quotes; closed is false where a quote has no end.
func cut(s string) (item, rest string, closed bool) {
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

func plain(key string) bool {
	for _, c := range key {
		if c != '-' && c != '_' && c != '.' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return len(key) <= 64
}

func clip(s string) string { return s[:min(len(s), 32)] }

// numbers are the keys with a figure that must not be negative.
var numbers = map[string]func(*Record) *float64{
	"br": func(r *Record) *float64 { return &r.Bitrate }, "bl": func(r *Record) *float64 { return &r.Buffer },
	"mtp": func(r *Record) *float64 { return &r.Throughput }, "rtp": func(r *Record) *float64 { return &r.Requested },
	"tb": func(r *Record) *float64 { return &r.Top }, "pr": func(r *Record) *float64 { return &r.Rate },
	"dl": func(r *Record) *float64 { return &r.Deadline }, "d": func(r *Record) *float64 { return &r.Duration },
	"ts": func(r *Record) *float64 { return &r.At }, "bsd": func(r *Record) *float64 { return &r.Starve },
	"msd": func(r *Record) *float64 { return &r.Delay }, "pt": func(r *Record) *float64 { return &r.Playhead },
}

func (r *Record) set(key, value string, has bool) {
	if at := numbers[key]; at != nil {
		// Version 2 gives lists for objects of several kinds, "(1000;v 128;a)": the first figure counts.
		v := strings.TrimPrefix(value, "(")
		if i := strings.IndexAny(v, "; )"); i >= 0 {
			v = v[:i]
		}
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= 0) || math.IsInf(f, 0) {
			r.bad(key)
			return
		}
		*at(r) = f
		return
	}
	switch key {
	case "bs", "su":
		on := !has || value == "true" || value == "?1"
		if has && !on && value != "false" && value != "?0" {
			r.bad(key)
			return
		}
		if key == "bs" {
			r.Starved = on
		} else {
			r.Startup = on
		}
	case "sid", "cid":
		s, ok := unquote(value)
		if !ok || len(s) > 64 {
			r.bad(key)
			return
		}
		if key == "sid" {
			r.Session = s
		} else {
			r.Content = s
		}
	case "v":
		if value != "1" && value != "2" {
			r.bad(key)
			return
		}
		r.Version = int(value[0] - '0')
	case "sn":
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 0 {
			r.bad(key)
			return
		}
		r.Number = n
	case "e":
		if value == "" || len(value) > 4 {
			r.bad(key)
			return
		}
		r.Event = value
	case "sta":
		if len(value) != 1 || !strings.ContainsAny(value, "spkrawefqd") {
			r.bad(key)
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

// unquote reads a quoted string with its escapes (RFC 8941 section 3.3.3).
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
