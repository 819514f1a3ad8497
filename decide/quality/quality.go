// Package quality works out the quality that viewers see from what their
// players report, places each report with the rack, box, title, class and brand
// where the session was at the report's time, and decides when a group of
// sessions that fall together points to one cause: a squeezed rack, a bad box, a
// bad title, a bad family of players.
//
// It is pure: facts with their times go in by Step, findings come out. Times are
// ms on the director's clock; a player's clock is never trusted as it is.
package quality

import (
	"cmp"
	"math"
	"slices"
)

// Dim is a way to group sessions.
type Dimension uint8

// The dimensions.
const (
	ByRack Dimension = iota
	ByNode
	ByTitle
	ByClass
	ByTenant
	ByPlayerFamily // of players
	dims
)

var dimNames = [...]string{"rack", "box", "title", "class", "brand", "family"}

func (d Dimension) String() string { return dimNames[d] }

// Config has the times and bounds.
type Config struct {
	WindowMs           float64   // length of a window of event time
	AllowedLatenessMs  float64   // a window stays open for reports so late
	MaxClockSkewMs     float64   // the most that a player's clock is taken to be wrong by
	SessionRetentionMs float64   // how long an ended session's timeline is kept
	MaxSpans           int       // of a session's timeline; older ones are merged
	DedupWindow        int       // report numbers remembered for a session
	MaxGroups          int       // groups in a window; reports of further ones count in the whole only
	MaxBytes           int64     // of all timelines; over it ended ones are forgotten early, then new ones are not kept. 0: no bound
	RungWorth          []float64 // quality of each rung
	// Weights of the linear model (Yin, Jindal, Sekar, Sinopoli, SIGCOMM 2015, eq. 5), in quality units.
	SwitchCost, StallCost, StartupCost float64 // for a unit of change, a second of stall, a second of start-up
	ShortfallBelow                     float64 // a session whose rate got is under this part of the granted is short
	DetectIntervalMs                   float64 // groups are compared so often
	ConfirmMs                          float64 // a cause is named once it has explained most for so long
	MinSessions                        int     // of a group, for a finding
	MinScore                           float64 // log-likelihood gain of a finding
}

// Key names a group.
type GroupKey struct {
	Dim Dimension
	ID  uint64
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	SessionStarted EventKind = iota // Session, At, Place, Title, Class, Brand, Family, StartMs
	SessionMoved                    // Session, At, Place: it plays elsewhere from then on
	RungChanged                     // Session, At, Place.Rung, Place.KB
	SessionEnded                    // Session, At
	ReportReceived                  // Session, Seen
	SessionAdopted                  // as Begun, for a session whose director died: its timeline before At is not known
)

// Place is where a session plays.
type Place struct {
	Rack, Node uint64
	Rung       int
	RateKB     float64 // kB/s granted
}

// Seen is one report of a player.
type PlayerReport struct {
	At          float64 // on the player's clock; NaN: it told none
	ArrivedAt   float64 // on the director's clock
	Sequence    int64   // of the player's own count; -1: none
	ReceivedKB  float64 // kB/s that arrived; NaN: not told
	RequiredKB  float64 // kB/s of what it asked for; 0: not told, then the granted rate counts
	StallMs     float64 // ms of stall since its last report
	BufferEmpty bool    // it ran empty, for how long is not told
	Rung        int     // that it played; -1: not told
	Node        uint64  // the box that handed the report on: it was seen there; 0: it came straight
}

// Event is one fact.
type Event struct {
	Kind                         EventKind
	Session                      uint64
	At                           float64
	Place                        Place
	Title, Class, Tenant, Family uint64
	StartupMs                    float64 // from the wish to play, where it is known
	Report                       PlayerReport
}

// Verdict tells what became of a report.
type ReportStatus uint8

// The verdicts.
const (
	ReportCounted        ReportStatus = iota
	ReportDuplicate                   // it was counted before
	ReportUnknownSession              // of a session never seen, or ended too long ago
	ReportBeforeSession               // of a time before the session's known timeline
	ReportTooLate                     // after the watermark
	ReportInvalidTime                 // of a time that no clock error explains
	verdicts
)

var verdictNames = [...]string{"counted", "doubled", "unknown", "before", "too_late", "broken"}

func (v ReportStatus) String() string { return verdictNames[v] }

// span is a part of a session's timeline with one place and rung.
type span struct {
	from float64
	Place
}

type session struct {
	spans                       []span
	title, class, brand, family uint64
	ended                       float64 // 0: it plays
	partly                      bool    // its timeline before the first span is not known
	skew                        float64 // added to the player's clock
	clocked                     bool
	seen                        []uint64 // marks of reports counted, a ring
	next                        int
	last                        float64 // event time of the last report
	rung                        int     // played at the last report
	need                        float64 // kB/s asked for at the last report
	short                       float64 // part of the granted rate that it got, at short's time
	at                          float64
}

// Quality is the state.
type Tracker struct {
	cfg      Config
	now      float64
	sessions map[uint64]*session
	open     []*Window // by start, rising
	closed   []*Window // not yet taken
	counts   [verdicts]uint64
	bytes    int64    // of timelines, about
	over     []uint64 // ended sessions, the longest ended first
	unkept   uint64   // sessions for which there was no room
	late     float64  // the most that a report came too late by
	swept    float64
	looked   float64
	found    map[GroupKey]*Finding
	held     map[GroupKey]*holding // causes that are not confirmed yet
}

// New makes an empty state.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, sessions: map[uint64]*session{}, found: map[GroupKey]*Finding{}, held: map[GroupKey]*holding{}}
}

// Counts tells how many reports had each verdict.
func (q *Tracker) Counts() map[ReportStatus]uint64 {
	out := map[ReportStatus]uint64{}
	for v, n := range q.counts {
		out[ReportStatus(v)] = n
	}
	return out
}

// Sessions is the number of timelines kept.
func (q *Tracker) Sessions() int { return len(q.sessions) }

// What a timeline takes, about: the entry with its place in the table, each span, each mark of a report.
const (
	sessionBytes = 320
	spanBytes    = 48
	markBytes    = 8
)

// Bytes is what the timelines take, about.
func (q *Tracker) Bytes() int64 { return q.bytes }

// SetMaxBytes changes the bound on timelines. One below what they take forgets ended ones at the next session.
func (q *Tracker) SetMaxBytes(n int64) { q.cfg.MaxBytes = n }

// Unkept counts the sessions that had no timeline because there was no room.
func (q *Tracker) Untracked() uint64 { return q.unkept }

func (s *session) bytes() int64 {
	return sessionBytes + spanBytes*int64(len(s.spans)) + markBytes*int64(len(s.seen))
}

func (q *Tracker) forget(id uint64) {
	if s := q.sessions[id]; s != nil {
		q.bytes -= s.bytes()
		delete(q.sessions, id)
	}
}

// makeRoom forgets ended sessions, the longest ended first, until one more fits; false where none is left to forget.
// A flood of ended sessions so never takes the place of those that play, and those that play are never forgotten.
func (q *Tracker) makeRoom() bool {
	const one = sessionBytes + spanBytes
	if q.cfg.MaxBytes <= 0 {
		return true
	}
	for q.bytes+one > q.cfg.MaxBytes && len(q.over) > 0 {
		id := q.over[0]
		q.over = q.over[1:]
		if s := q.sessions[id]; s != nil && s.ended > 0 {
			q.forget(id)
		}
	}
	return q.bytes+one <= q.cfg.MaxBytes
}

// Step takes events in the order in which they came and returns findings that began or ended.
func (q *Tracker) Step(now float64, events []Event) []Finding {
	q.now = now
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case ReportReceived:
			q.counts[q.report(ev)]++
		case SessionStarted, SessionAdopted:
			q.begin(ev)
		default:
			q.change(ev)
		}
	}
	q.pass()
	if now-q.looked < q.cfg.DetectIntervalMs {
		return nil
	}
	q.looked = now
	return q.look()
}

func (q *Tracker) begin(ev *Event) {
	if s := q.sessions[ev.Session]; s != nil { // begun again, or told by two ways: the timeline goes on
		s.ended = 0
		q.place(s, ev.At, ev.Place)
		return
	}
	if !q.makeRoom() {
		q.unkept++
		return
	}
	s := &session{title: ev.Title, class: ev.Class, brand: ev.Tenant, family: ev.Family, partly: ev.Kind == SessionAdopted,
		spans: []span{{ev.At, ev.Place}}, rung: -1, last: ev.At}
	q.sessions[ev.Session] = s
	q.bytes += s.bytes()
	if ev.StartupMs > 0 && ev.Kind == SessionStarted {
		if w := q.window(ev.At); w != nil {
			w.start(q, s, &s.spans[0], ev.StartupMs)
		}
	}
}

func (q *Tracker) change(ev *Event) {
	s := q.sessions[ev.Session]
	if s == nil {
		return
	}
	switch ev.Kind {
	case SessionMoved:
		q.place(s, ev.At, ev.Place)
	case RungChanged:
		p := s.spans[len(s.spans)-1].Place
		p.Rung, p.RateKB = ev.Place.Rung, ev.Place.RateKB
		q.place(s, ev.At, p)
	case SessionEnded:
		if s.ended == 0 {
			q.over = append(q.over, ev.Session)
		}
		s.ended = ev.At
	}
}

// place adds a span. Changes can be told out of order: the timeline is kept by time.
func (q *Tracker) place(s *session, at float64, p Place) {
	i, same := slices.BinarySearchFunc(s.spans, at, func(x span, t float64) int { return cmp.Compare(x.from, t) })
	if same {
		s.spans[i].Place = p
		return
	}
	q.bytes -= s.bytes()
	defer func() { q.bytes += s.bytes() }()
	s.spans = slices.Insert(s.spans, i, span{at, p})
	if n := q.cfg.MaxSpans; n > 0 && len(s.spans) > n { // the oldest are merged; what they knew is said to be lost
		s.spans = slices.Delete(s.spans, 0, len(s.spans)-n)
		s.partly = true
	}
}

// spanAt finds where the session was at a time; nil before its known timeline.
func (s *session) spanAt(at float64) *span {
	i, same := slices.BinarySearchFunc(s.spans, at, func(x span, t float64) int { return cmp.Compare(x.from, t) })
	if !same {
		i--
	}
	if i < 0 {
		return nil
	}
	return &s.spans[i]
}

// nearest finds the span at a box that is closest to a time.
func (s *session) nearest(at float64, box uint64) *span {
	best, least := (*span)(nil), math.Inf(1)
	for i := range s.spans {
		if s.spans[i].Node != box {
			continue
		}
		to := math.Inf(1)
		if i+1 < len(s.spans) {
			to = s.spans[i+1].from
		}
		if d := math.Max(math.Max(s.spans[i].from-at, at-to), 0); d < least {
			best, least = &s.spans[i], d
		}
	}
	return best
}

// report places one report by its own time.
func (q *Tracker) report(ev *Event) ReportStatus {
	s, r := q.sessions[ev.Session], &ev.Report
	if s == nil {
		return ReportUnknownSession
	}
	at, ok := q.clock(s, r)
	if !ok {
		return ReportInvalidTime
	}
	if q.doubled(s, r) {
		return ReportDuplicate
	}
	if s.ended > 0 {
		at = math.Min(at, s.ended) // what it saw last was seen while it played
	}
	if at < q.watermark()-q.cfg.WindowMs {
		q.late = math.Max(q.late, q.watermark()-at)
		return ReportTooLate
	}
	p := s.spanAt(at)
	if r.Node != 0 && (p == nil || p.Node != r.Node) { // near a move the box knows better than a clock
		if near := s.nearest(at, r.Node); near != nil {
			p = near
		}
	}
	if p == nil {
		if s.partly || at < s.spans[0].from-q.cfg.WindowMs {
			return ReportBeforeSession
		}
		p = &s.spans[0] // a clock a little behind, at the very start
		at = p.from
	}
	w := q.window(at)
	if w == nil {
		q.late = math.Max(q.late, q.watermark()-at)
		return ReportTooLate
	}
	q.remember(s, r)
	w.report(q, s, p, r, at)
	return ReportCounted
}

// clock turns the player's time into the director's. The smallest difference between arrival and the player's
// time that was ever seen is the skew and the fastest way together; a report can't have been seen after it
// arrived.
func (q *Tracker) clock(s *session, r *PlayerReport) (float64, bool) {
	if math.IsNaN(r.At) || math.IsInf(r.At, 0) {
		return r.ArrivedAt, true
	}
	d := r.ArrivedAt - r.At
	if !s.clocked || d < s.skew {
		s.skew, s.clocked = d, true
	}
	// A clock that is more wrong than allowed is not a clock: what it says of the order of reports is kept, but
	// a player that jumps is told apart by the bound.
	if math.Abs(s.skew) > q.cfg.MaxClockSkewMs && q.cfg.MaxClockSkewMs > 0 {
		return r.ArrivedAt, true
	}
	at := math.Min(r.At+s.skew, r.ArrivedAt)
	return at, at > r.ArrivedAt-10*q.cfg.AllowedLatenessMs-q.cfg.MaxClockSkewMs
}

// mark is what a report is known by: its number, else its time and content.
func (r *PlayerReport) mark() uint64 {
	if r.Sequence >= 0 {
		return uint64(r.Sequence)<<1 | 1
	}
	h := math.Float64bits(r.At)*0x9e3779b97f4a7c15 ^ math.Float64bits(r.ReceivedKB)*0xbf58476d1ce4e5b9 ^ math.Float64bits(r.StallMs)
	return h << 1
}

func (q *Tracker) doubled(s *session, r *PlayerReport) bool {
	if r.Sequence < 0 && math.IsNaN(r.At) {
		return false // nothing tells two of them apart
	}
	return slices.Contains(s.seen, r.mark())
}

func (q *Tracker) remember(s *session, r *PlayerReport) {
	if len(s.seen) < max(q.cfg.DedupWindow, 1) {
		s.seen = append(s.seen, r.mark())
		q.bytes += markBytes
		return
	}
	s.seen[s.next] = r.mark()
	s.next = (s.next + 1) % len(s.seen)
}

// watermark is the time before which windows are closed.
func (q *Tracker) watermark() float64 { return q.now - q.cfg.AllowedLatenessMs }

// pass closes windows behind the watermark and forgets sessions that ended long ago.
func (q *Tracker) pass() {
	n := 0
	for n < len(q.open) && q.open[n].From+q.cfg.WindowMs <= q.watermark() {
		q.closed = append(q.closed, q.open[n])
		n++
	}
	q.open = q.open[n:]
	if q.now-q.swept < q.cfg.WindowMs {
		return
	}
	q.swept = q.now
	for id, s := range q.sessions {
		if s.ended > 0 && q.now-s.ended > q.cfg.SessionRetentionMs {
			q.forget(id)
		}
	}
	q.over = slices.DeleteFunc(q.over, func(id uint64) bool {
		s := q.sessions[id]
		return s == nil || s.ended == 0
	})
}

// Closed takes the windows that were closed since the last call, oldest first.
func (q *Tracker) TakeClosed() []*Window {
	out := q.closed
	q.closed = nil
	return out
}

// window finds the open window of a time, or makes it; nil behind the watermark.
func (q *Tracker) window(at float64) *Window {
	if at < 0 {
		return nil
	}
	from := math.Floor(at/q.cfg.WindowMs) * q.cfg.WindowMs
	if from+q.cfg.WindowMs <= q.watermark() {
		return nil
	}
	i, same := slices.BinarySearchFunc(q.open, from, func(w *Window, t float64) int { return cmp.Compare(w.From, t) })
	if !same {
		q.open = slices.Insert(q.open, i, newWindow(from))
	}
	return q.open[i]
}

// DimOf finds a dimension by its name.
func ParseDimension(name string) (Dimension, bool) {
	for d, n := range dimNames {
		if n == name {
			return Dimension(d), true
		}
	}
	return 0, false
}

// Recent adds up the windows that are open, and those of closed that begin at from or later, by group of a dimension.
func (q *Tracker) Recent(d Dimension, from float64, closed []*Window) map[GroupKey]*Group {
	out := map[GroupKey]*Group{}
	for _, list := range [][]*Window{closed, q.open} {
		for _, w := range list {
			if w.From < from {
				continue
			}
			for _, k := range w.Keys(d) {
				if out[k] == nil {
					out[k] = &Group{}
				}
				out[k].Merge(w.Groups[k])
			}
		}
	}
	return out
}

// LateBy is the most that a report came too late by, ms.
func (q *Tracker) LateBy() float64 { return q.late }

// Span is a part of a session's timeline.
type Span struct {
	From float64
	Place
}

// Timeline tells where a session played; partly where its beginning is not known. ok is false for one that is
// not kept.
func (q *Tracker) Timeline(id uint64) (spans []Span, partly bool, skew float64, ok bool) {
	s := q.sessions[id]
	if s == nil {
		return nil, false, 0, false
	}
	for _, x := range s.spans {
		spans = append(spans, Span{x.from, x.Place})
	}
	return spans, s.partly, s.skew, true
}
