// Package quality measures the quality that viewers see, from the reports of
// their players. It places each report with the rack, media node, title, class and
// tenant where the session was at the report's time, aggregates the reports in
// windows of event time, and detects when a group of sessions that degrade
// together points to one cause: an overloaded rack, a faulty media node, a faulty
// title or a faulty family of players. A family is what the session token names as
// the player's: players of one client application or kind of device.
//
// The package is pure: it reads no clock and does no I/O. Input are events with
// their times, passed to Tracker.Step; output are findings (Step, Findings) and
// closed windows (TakeClosed). Times are ms on the director's clock. A player's
// clock is never used as it is: its offset is estimated first.
//
// A window is in one of these states:
//
//	open    StartAt + WindowMs is after the watermark (now - AllowedLatenessMs);
//	        reports of its time are counted
//	closed  the watermark has passed its end; reports of its time are
//	        ReportTooLate; it waits for TakeClosed
//
// A group that is suspected as a cause is in one of these states:
//
//	candidate  detected, not yet confirmed; a detection run that finds it counts
//	           towards ConfirmMs, one that does not counts back, and the
//	           candidate is dropped once all progress is undone
//	active     confirmed for ConfirmMs and returned by Step; each run that finds
//	           it updates its evidence
//	ended      not detected for two windows; returned by Step with Ended set
package quality

import (
	"cmp"
	"math"
	"slices"
)

// Dimension is a property by which sessions are grouped.
type Dimension uint8

// The dimensions.
const (
	ByRack Dimension = iota
	ByNode
	ByTitle
	ByClass
	ByTenant
	ByPlayerFamily // family of players: one client application or kind of device
	dimensionCount
)

// dimensionNames are the external names of the dimensions, also in metrics and logs, in the order of the constants.
var dimensionNames = [...]string{"rack", "box", "title", "class", "brand", "family"}

// String returns the dimension's name in messages, in the history and in evidence texts.
func (d Dimension) String() string { return dimensionNames[d] }

// Config has the durations, bounds and weights of a Tracker.
type Config struct {
	WindowMs           float64   // length of a window of event time
	AllowedLatenessMs  float64   // time after its end for which a window accepts reports
	MaxClockSkewMs     float64   // largest offset at which a player's clock is still used; 0: no bound
	SessionRetentionMs float64   // time for which the timeline of an ended session is kept
	MaxSpans           int       // spans of a session's timeline; beyond it the oldest are dropped. 0: no bound
	DedupWindow        int       // reports per session that are remembered to detect duplicates
	MaxGroups          int       // groups in a window; reports of further groups count in Window.Total only. 0: no bound
	MaxBytes           int64     // memory of all timelines, see SetMaxBytes. 0: no bound
	RungQuality        []float64 // quality of each rung, as headmill.Config.RungWorth

	// Weights of the linear model (Yin, Jindal, Sekar, Sinopoli, SIGCOMM 2015, eq. 5), in units of quality:
	// per unit of quality by which a change of rung (a switch) differs, per second of stall, per second of start-up.
	SwitchCost, StallCost, StartupCost float64

	ShortfallBelow   float64 // a session that receives less than this share of the rate it needs is short of rate
	DetectIntervalMs float64 // interval between detection runs
	ConfirmMs        float64 // time for which a cause must be detected before it becomes a finding
	MinSessions      int     // sessions that a group, and the rest, must have for a finding
	MinScore         float64 // log-likelihood gain that a finding must have
}

// GroupKey identifies a group of sessions.
type GroupKey struct {
	Dim Dimension
	ID  uint64
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each sets.
const (
	// SessionStarted begins a session: Session, At, Place, Title, Class, Tenant, Family, StartupMs.
	SessionStarted EventKind = iota
	// SessionMoved tells that a session plays elsewhere from then on: Session, At, Place.
	SessionMoved
	// RungChanged tells that a session plays another rung: Session, At, Place.Rung, Place.RateKB.
	RungChanged
	// SessionEnded ends a session: Session, At.
	SessionEnded
	// ReportReceived delivers a player's report: Session, Report.
	ReportReceived
	// SessionAdopted sets the fields of SessionStarted, for a session that played already when the director adopted it,
	// as after a late answer: its timeline before At is not known.
	SessionAdopted
)

// Place is where a session plays, and at which rate.
type Place struct {
	Rack, Node uint64
	Rung       int
	RateKB     float64 // kB/s granted
}

// PlayerReport is one report of a player.
type PlayerReport struct {
	At          float64 // on the player's clock; NaN: not reported
	ArrivedAt   float64 // on the director's clock
	Sequence    int64   // number given by the player; -1: none
	ReceivedKB  float64 // kB/s that arrived; NaN: not reported
	RequiredKB  float64 // kB/s of the media requested; 0: not reported, then the granted rate counts
	StallMs     float64 // duration of stalls since the player's last report
	BufferEmpty bool    // the buffer ran empty, for a duration that is not reported
	Rung        int     // the rung played; -1: not reported
	Node        uint64  // the media node that serves the session and forwarded the report; 0: sent by the player
}

// Event is one input of Step.
type Event struct {
	Kind                         EventKind
	Session                      uint64
	At                           float64
	Place                        Place
	Title, Class, Tenant, Family uint64
	StartupMs                    float64 // from the request to the start of playback; 0: not known
	Report                       PlayerReport
}

// ReportStatus tells what became of a report.
type ReportStatus uint8

// The statuses of a report.
const (
	ReportCounted        ReportStatus = iota
	ReportDuplicate                   // it was counted before
	ReportUnknownSession              // the session was never seen, is not tracked, or ended too long ago
	ReportBeforeSession               // its time is before the session's known timeline
	ReportTooLate                     // the watermark has passed its window
	ReportInvalidTime                 // no clock offset explains its time
	reportStatusCount
)

// reportStatusNames are the external names of the statuses, also in metrics and logs, in the order of the constants.
var reportStatusNames = [...]string{"counted", "doubled", "unknown", "before", "too_late", "broken"}

// String returns the status's name in metrics and messages.
func (s ReportStatus) String() string { return reportStatusNames[s] }

// timelineSpan is a part of a session's timeline with one place and rung. It lasts until the next span starts.
type timelineSpan struct {
	startAt float64
	Place
}

// session is a session's timeline and the state derived from its reports.
type session struct {
	spans                              []timelineSpan // by startAt, ascending; never empty
	title, class, tenant, playerFamily uint64
	endedAt                            float64  // 0: it plays
	truncated                          bool     // the timeline before the first span is not known
	clockOffsetMs                      float64  // added to the player's clock to get the director's time
	hasClockOffset                     bool     // clockOffsetMs is set
	recentReports                      []uint64 // ring of the dedup keys of counted reports
	nextRecent                         int      // index in recentReports that is overwritten next
	lastReportAt                       float64  // event time of the last report; before one, of the session's start
	lastRung                           int      // rung played at the last report; -1: none yet
	lastRequiredKB                     float64  // RequiredKB of the last report
	lastShare                          float64  // share of the required rate that it received, at lastShareAt
	lastShareAt                        float64  // 0: no share known yet
}

// Tracker keeps the sessions' timelines, the windows and the findings. It is not safe for concurrent use.
type Tracker struct {
	config          Config
	now             float64
	sessions        map[uint64]*session
	openWindows     []*Window // by StartAt, ascending
	closedWindows   []*Window // not yet taken
	reportCounts    [reportStatusCount]uint64
	timelineBytes   int64    // estimated memory of the timelines
	endedSessions   []uint64 // in the order in which they ended
	untracked       uint64   // sessions that were not tracked because MaxBytes was reached
	maxLatenessMs   float64  // largest lateness of a report that was too late
	lastSweepAt     float64  // when expired sessions were last removed
	lastDetectionAt float64
	activeFindings  map[GroupKey]*Finding
	candidates      map[GroupKey]*candidate // causes that are not confirmed yet
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	return &Tracker{config: config, sessions: map[uint64]*session{}, activeFindings: map[GroupKey]*Finding{},
		candidates: map[GroupKey]*candidate{}}
}

// Counts returns how many reports had each status.
func (t *Tracker) Counts() map[ReportStatus]uint64 {
	out := map[ReportStatus]uint64{}
	for status, count := range t.reportCounts {
		out[ReportStatus(status)] = count
	}
	return out
}

// Sessions returns the number of timelines kept.
func (t *Tracker) Sessions() int { return len(t.sessions) }

// Estimated memory of a timeline, in bytes: the session with its map entry, each span, each dedup key.
const (
	sessionBytes  = 320
	spanBytes     = 48
	dedupKeyBytes = 8
)

// Bytes returns the estimated memory of the timelines.
func (t *Tracker) Bytes() int64 { return t.timelineBytes }

// SetMaxBytes changes the bound on the memory of timelines. When a new session would exceed it, the timelines of
// ended sessions are removed first, the longest ended before the others; if that is not enough, the new session is
// not tracked. A bound below the memory in use takes effect at the next new session.
func (t *Tracker) SetMaxBytes(n int64) { t.config.MaxBytes = n }

// Untracked returns the number of sessions that were not tracked because MaxBytes was reached.
func (t *Tracker) Untracked() uint64 { return t.untracked }

// memoryBytes estimates the memory of the session's timeline.
func (s *session) memoryBytes() int64 {
	return sessionBytes + spanBytes*int64(len(s.spans)) + dedupKeyBytes*int64(len(s.recentReports))
}

func (t *Tracker) removeSession(id uint64) {
	if s := t.sessions[id]; s != nil {
		t.timelineBytes -= s.memoryBytes()
		delete(t.sessions, id)
	}
}

// evictForNewSession removes ended sessions, the longest ended first, until a new one fits. It returns false if none
// is left to remove. Sessions that play are never removed, so that a flood of brief sessions can't displace them.
func (t *Tracker) evictForNewSession() bool {
	const newSessionBytes = sessionBytes + spanBytes
	if t.config.MaxBytes <= 0 {
		return true
	}
	for t.timelineBytes+newSessionBytes > t.config.MaxBytes && len(t.endedSessions) > 0 {
		id := t.endedSessions[0]
		t.endedSessions = t.endedSessions[1:]
		if s := t.sessions[id]; s != nil && s.endedAt > 0 {
			t.removeSession(id)
		}
	}
	return t.timelineBytes+newSessionBytes <= t.config.MaxBytes
}

// Step applies events in the order in which they arrived and returns the findings that began or ended.
func (t *Tracker) Step(now float64, events []Event) []Finding {
	t.now = now
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case ReportReceived:
			t.reportCounts[t.recordReport(event)]++
		case SessionStarted, SessionAdopted:
			t.startSession(event)
		default:
			t.updateSession(event)
		}
	}
	t.advanceWatermark()
	if now-t.lastDetectionAt < t.config.DetectIntervalMs {
		return nil
	}
	t.lastDetectionAt = now
	return t.detect()
}

// startSession begins a timeline and counts the start-up time.
func (t *Tracker) startSession(event *Event) {
	// The session started again, or its start was reported twice: the timeline continues.
	if s := t.sessions[event.Session]; s != nil {
		s.endedAt = 0
		t.insertSpan(s, event.At, event.Place)
		return
	}
	if !t.evictForNewSession() {
		t.untracked++
		return
	}
	s := &session{title: event.Title, class: event.Class, tenant: event.Tenant, playerFamily: event.Family,
		truncated: event.Kind == SessionAdopted, spans: []timelineSpan{{event.At, event.Place}}, lastRung: -1,
		lastReportAt: event.At}
	t.sessions[event.Session] = s
	t.timelineBytes += s.memoryBytes()
	if event.StartupMs > 0 && event.Kind == SessionStarted {
		if w := t.openWindowFor(event.At); w != nil {
			w.recordStartup(t, s, &s.spans[0], event.StartupMs)
		}
	}
}

// updateSession applies a move, a change of rung or an end.
func (t *Tracker) updateSession(event *Event) {
	s := t.sessions[event.Session]
	if s == nil {
		return
	}
	switch event.Kind {
	case SessionMoved:
		t.insertSpan(s, event.At, event.Place)
	case RungChanged:
		place := s.spans[len(s.spans)-1].Place
		place.Rung, place.RateKB = event.Place.Rung, event.Place.RateKB
		t.insertSpan(s, event.At, place)
	case SessionEnded:
		if s.endedAt == 0 {
			t.endedSessions = append(t.endedSessions, event.Session)
		}
		s.endedAt = event.At
	}
}

// insertSpan adds a span to a timeline. Events can arrive out of order: the spans are kept sorted by time.
func (t *Tracker) insertSpan(s *session, at float64, place Place) {
	i, exists := slices.BinarySearchFunc(s.spans, at, func(span timelineSpan, at float64) int {
		return cmp.Compare(span.startAt, at)
	})
	if exists {
		s.spans[i].Place = place
		return
	}
	t.timelineBytes -= s.memoryBytes()
	defer func() { t.timelineBytes += s.memoryBytes() }()
	s.spans = slices.Insert(s.spans, i, timelineSpan{at, place})
	// Beyond MaxSpans the oldest spans are dropped, and the beginning of the timeline is marked as not known.
	if limit := t.config.MaxSpans; limit > 0 && len(s.spans) > limit {
		s.spans = slices.Delete(s.spans, 0, len(s.spans)-limit)
		s.truncated = true
	}
}

// spanAt returns the span in which a time falls; nil before the known timeline.
func (s *session) spanAt(at float64) *timelineSpan {
	i, exists := slices.BinarySearchFunc(s.spans, at, func(span timelineSpan, at float64) int {
		return cmp.Compare(span.startAt, at)
	})
	if !exists {
		i--
	}
	if i < 0 {
		return nil
	}
	return &s.spans[i]
}

// nearestSpanAtNode returns the span at a media node that is closest to a time; nil if the session was never there.
func (s *session) nearestSpanAtNode(at float64, node uint64) *timelineSpan {
	nearest, minDistance := (*timelineSpan)(nil), math.Inf(1)
	for i := range s.spans {
		if s.spans[i].Node != node {
			continue
		}
		end := math.Inf(1)
		if i+1 < len(s.spans) {
			end = s.spans[i+1].startAt
		}
		if distance := math.Max(math.Max(s.spans[i].startAt-at, at-end), 0); distance < minDistance {
			nearest, minDistance = &s.spans[i], distance
		}
	}
	return nearest
}

// recordReport counts one report in the window and the place of its event time.
func (t *Tracker) recordReport(event *Event) ReportStatus {
	s, report := t.sessions[event.Session], &event.Report
	if s == nil {
		return ReportUnknownSession
	}
	at, valid := t.directorTime(s, report)
	if !valid {
		return ReportInvalidTime
	}
	if t.isDuplicate(s, report) {
		return ReportDuplicate
	}
	if s.endedAt > 0 {
		at = math.Min(at, s.endedAt) // a report that arrives after the end describes playback before it
	}
	if at < t.watermark()-t.config.WindowMs {
		t.maxLatenessMs = math.Max(t.maxLatenessMs, t.watermark()-at)
		return ReportTooLate
	}
	span := s.spanAt(at)
	// Near a move the media node that forwarded the report is more reliable than the estimated time.
	if report.Node != 0 && (span == nil || span.Node != report.Node) {
		if nearest := s.nearestSpanAtNode(at, report.Node); nearest != nil {
			span = nearest
		}
	}
	if span == nil {
		if s.truncated || at < s.spans[0].startAt-t.config.WindowMs {
			return ReportBeforeSession
		}
		span = &s.spans[0] // the estimated time is slightly before the session's start
		at = span.startAt
	}
	w := t.openWindowFor(at)
	if w == nil {
		t.maxLatenessMs = math.Max(t.maxLatenessMs, t.watermark()-at)
		return ReportTooLate
	}
	t.rememberReport(s, report)
	w.recordReport(t, s, span, report, at)
	return ReportCounted
}

// directorTime converts a report's time to the director's clock. The smallest difference seen so far between arrival
// and the player's time is taken as the offset: it is the clock's skew plus the shortest network delay. The result
// is never after the arrival. It is false for a time that no clock offset explains.
func (t *Tracker) directorTime(s *session, report *PlayerReport) (float64, bool) {
	if math.IsNaN(report.At) || math.IsInf(report.At, 0) {
		return report.ArrivedAt, true
	}
	offset := report.ArrivedAt - report.At
	if !s.hasClockOffset || offset < s.clockOffsetMs {
		s.clockOffsetMs, s.hasClockOffset = offset, true
	}
	// A clock whose skew exceeds the bound is not used; the arrival time takes its place.
	if math.Abs(s.clockOffsetMs) > t.config.MaxClockSkewMs && t.config.MaxClockSkewMs > 0 {
		return report.ArrivedAt, true
	}
	at := math.Min(report.At+s.clockOffsetMs, report.ArrivedAt)
	// A time much further back than any delay (10 times the allowed lateness), even with a clock at the bound, means
	// that the player's clock jumped.
	return at, at > report.ArrivedAt-10*t.config.AllowedLatenessMs-t.config.MaxClockSkewMs
}

// dedupKey identifies a report within its session: by its sequence number, else by a hash of its time and content.
func (r *PlayerReport) dedupKey() uint64 {
	if r.Sequence >= 0 {
		return uint64(r.Sequence)<<1 | 1
	}
	hash := math.Float64bits(r.At)*0x9e3779b97f4a7c15 ^ math.Float64bits(r.ReceivedKB)*0xbf58476d1ce4e5b9 ^
		math.Float64bits(r.StallMs)
	return hash << 1
}

func (t *Tracker) isDuplicate(s *session, report *PlayerReport) bool {
	if report.Sequence < 0 && math.IsNaN(report.At) {
		return false // without a number and a time, two reports can't be told apart
	}
	return slices.Contains(s.recentReports, report.dedupKey())
}

// rememberReport adds a report's dedup key to the session's ring, over the oldest once the ring is full.
func (t *Tracker) rememberReport(s *session, report *PlayerReport) {
	if len(s.recentReports) < max(t.config.DedupWindow, 1) {
		s.recentReports = append(s.recentReports, report.dedupKey())
		t.timelineBytes += dedupKeyBytes
		return
	}
	s.recentReports[s.nextRecent] = report.dedupKey()
	s.nextRecent = (s.nextRecent + 1) % len(s.recentReports)
}

// watermark returns the event time up to which windows are closed.
func (t *Tracker) watermark() float64 { return t.now - t.config.AllowedLatenessMs }

// advanceWatermark closes the windows behind the watermark and, once per window length, removes the sessions that
// ended more than SessionRetentionMs ago.
func (t *Tracker) advanceWatermark() {
	n := 0
	for n < len(t.openWindows) && t.openWindows[n].StartAt+t.config.WindowMs <= t.watermark() {
		t.closedWindows = append(t.closedWindows, t.openWindows[n])
		n++
	}
	t.openWindows = t.openWindows[n:]
	if t.now-t.lastSweepAt < t.config.WindowMs {
		return
	}
	t.lastSweepAt = t.now
	for id, s := range t.sessions {
		if s.endedAt > 0 && t.now-s.endedAt > t.config.SessionRetentionMs {
			t.removeSession(id)
		}
	}
	t.endedSessions = slices.DeleteFunc(t.endedSessions, func(id uint64) bool {
		s := t.sessions[id]
		return s == nil || s.endedAt == 0
	})
}

// TakeClosed returns the windows that were closed since the last call, oldest first.
func (t *Tracker) TakeClosed() []*Window {
	out := t.closedWindows
	t.closedWindows = nil
	return out
}

// openWindowFor returns the open window of a time and creates it if needed; nil behind the watermark.
func (t *Tracker) openWindowFor(at float64) *Window {
	if at < 0 {
		return nil
	}
	from := math.Floor(at/t.config.WindowMs) * t.config.WindowMs
	if from+t.config.WindowMs <= t.watermark() {
		return nil
	}
	i, exists := slices.BinarySearchFunc(t.openWindows, from, func(w *Window, from float64) int {
		return cmp.Compare(w.StartAt, from)
	})
	if !exists {
		t.openWindows = slices.Insert(t.openWindows, i, newWindow(from))
	}
	return t.openWindows[i]
}

// ParseDimension returns the dimension with a name, as String gives it.
func ParseDimension(name string) (Dimension, bool) {
	for d, dimensionName := range dimensionNames {
		if dimensionName == name {
			return Dimension(d), true
		}
	}
	return 0, false
}

// Recent merges, by group of a dimension, the open windows and those of closed that begin at from or later.
func (t *Tracker) Recent(d Dimension, from float64, closed []*Window) map[GroupKey]*Group {
	out := map[GroupKey]*Group{}
	for _, list := range [][]*Window{closed, t.openWindows} {
		for _, w := range list {
			if w.StartAt < from {
				continue
			}
			for _, key := range w.Keys(d) {
				if out[key] == nil {
					out[key] = &Group{}
				}
				out[key].Merge(w.Groups[key])
			}
		}
	}
	return out
}

// MaxLatenessMs returns the largest lateness that a report that was too late ever had, in ms behind the watermark.
func (t *Tracker) MaxLatenessMs() float64 { return t.maxLatenessMs }

// Span is a part of a session's timeline; it lasts until the next one begins.
type Span struct {
	From float64
	Place
}

// Timeline returns where a session played, and the offset of its player's clock. truncated is true where the
// beginning is not known; ok is false for a session that is not tracked.
func (t *Tracker) Timeline(id uint64) (spans []Span, truncated bool, clockOffsetMs float64, ok bool) {
	s := t.sessions[id]
	if s == nil {
		return nil, false, 0, false
	}
	for _, span := range s.spans {
		spans = append(spans, Span{span.startAt, span.Place})
	}
	return spans, s.truncated, s.clockOffsetMs, true
}
