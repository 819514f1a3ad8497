package quality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
)

func testConfig() Config {
	return Config{WindowMs: 5000, AllowedLatenessMs: 25000, MaxClockSkewMs: 3600e3, SessionRetentionMs: 60000,
		MaxSpans: 64, DedupWindow: 64, MaxGroups: 2000, RungQuality: []float64{0.2, 0.5, 0.8, 1}, SwitchCost: 1,
		StallCost: 3, StartupCost: 0.2, ShortfallBelow: 0.9, DetectIntervalMs: 500, ConfirmMs: 1000, MinSessions: 6,
		MinScore: 8}
}

func testReport(at, arrivedAt float64, sequence int64) PlayerReport {
	return PlayerReport{At: at, ArrivedAt: arrivedAt, Sequence: sequence, ReceivedKB: 100, Rung: -1}
}

func testPlace(rack, node uint64) Place { return Place{Rack: rack, Node: node, Rung: 3, RateKB: 100} }

// Each report of a session with a skewed clock gets the status that its time, number and session call for.
func TestReportStatus(t *testing.T) {
	tracker := New(testConfig())
	step := func(now float64, events ...Event) { tracker.Step(now, events) }
	report := func(now float64, session uint64, r PlayerReport) ReportStatus {
		r.ArrivedAt = now
		before := tracker.Counts()
		step(now, Event{Kind: ReportReceived, Session: session, Report: r})
		for status, count := range tracker.Counts() {
			if count > before[status] {
				return status
			}
		}
		return 99
	}
	nan := math.NaN()
	step(100000, Event{Kind: SessionStarted, Session: 1, At: 100000, Place: testPlace(1, 1), Title: 7})
	for i, c := range []struct {
		now     float64
		session uint64
		report  PlayerReport
		want    ReportStatus
	}{
		{101000, 1, PlayerReport{At: 500, Sequence: 1, ReceivedKB: 100, Rung: -1}, ReportCounted}, // clock 100 s behind
		{102000, 1, PlayerReport{At: 1500, Sequence: 2, ReceivedKB: 100, Rung: -1}, ReportCounted},
		{102500, 1, PlayerReport{At: 1500, Sequence: 2, ReceivedKB: 100, Rung: -1}, ReportDuplicate},
		{103000, 9, PlayerReport{At: 1, Sequence: 1, Rung: -1}, ReportUnknownSession},
		{104000, 1, PlayerReport{At: nan, Sequence: -1, ReceivedKB: 100, Rung: -1}, ReportCounted}, // its arrival counts
		{105000, 1, PlayerReport{At: math.Inf(1), Sequence: 4, ReceivedKB: 100, Rung: -1}, ReportCounted},
		{106000, 1, PlayerReport{At: -15000, Sequence: 5, ReceivedKB: 100, Rung: -1}, ReportBeforeSession}, // 15 s before the session
		{140000, 1, PlayerReport{At: 1600, Sequence: 6, ReceivedKB: 100, Rung: -1}, ReportTooLate},
		{141000, 1, PlayerReport{At: 40500, Sequence: 7, ReceivedKB: 100, Rung: -1}, ReportCounted},
		{141100, 1, PlayerReport{At: -9e8, Sequence: 8, ReceivedKB: 100, Rung: -1}, ReportInvalidTime},
	} {
		if got := report(c.now, c.session, c.report); got != c.want {
			t.Errorf("report %d: %s, want %s", i, got, c.want)
		}
	}
	if tracker.maxLatenessMs < 10000 || tracker.maxLatenessMs > 15000 {
		t.Errorf("largest lateness is %v ms, want 12.9 s", tracker.maxLatenessMs)
	}
	// A report from the future changes the estimated clock offset and is placed at its arrival, no later.
	step(150000, Event{Kind: SessionEnded, Session: 1, At: 149000})
	if status := report(150500, 1, PlayerReport{At: 900000, Sequence: 9, ReceivedKB: 100,
		Rung: -1}); status != ReportCounted {
		t.Errorf("report after the session's end: %s", status)
	}
	step(300000)
	if status := report(300001, 1, PlayerReport{At: 1, Sequence: 10, Rung: -1}); status != ReportUnknownSession ||
		tracker.Sessions() != 0 {
		t.Errorf("report of a session that ended long ago: %s, %d timelines kept", status, tracker.Sessions())
	}
}

// The timeline of a session that already played when the director adopted it begins at the adoption: reports of the
// time before are not placed.
func TestAdoptedTimeline(t *testing.T) {
	tracker := New(testConfig())
	tracker.Step(50000, []Event{{Kind: SessionAdopted, Session: 1, At: 50000, Place: testPlace(2, 3)}})
	tracker.Step(52000, []Event{
		{Kind: ReportReceived, Session: 1, Report: testReport(49000, 52000, 1)},
		{Kind: ReportReceived, Session: 1, Report: testReport(51900, 52000, 2)},
	})
	tracker.Step(52500, []Event{{Kind: ReportReceived, Session: 1, Report: testReport(46000, 52500, 3)}})
	if counts := tracker.Counts(); counts[ReportCounted] != 2 || counts[ReportBeforeSession] != 1 {
		t.Errorf("counts %v, want 2 counted and 1 before the session", counts)
	}
}

// Reports arrive late, twice and out of order, with skewed clocks, of sessions that move: each is counted once, in
// the window, rack and title where the session was at the report's time.
func TestReportsArePlacedByEventTime(t *testing.T) {
	const sessions, reports = 400, 100000
	rng := rand.New(rand.NewPCG(1, 2))
	config := testConfig()
	config.DedupWindow = 512
	tracker := New(config)
	type move struct {
		at   float64
		node uint64
	}
	type arrival struct {
		at    float64
		event Event
	}
	var arrivals []arrival
	want := map[string]int64{}
	moves := make([][]move, sessions)
	counted, atWindowEdge := 0, 0
	const minDelay = 20.0 // ms, network delay; the first report of each session takes just that
	for session := range sessions {
		startAt := rng.Float64() * 1000
		moves[session] = []move{{startAt, uint64(rng.IntN(16))}}
		for at := startAt + 10000 + rng.Float64()*20000; at < 120000; at += 15000 + rng.Float64()*30000 {
			moves[session] = append(moves[session], move{at, uint64(rng.IntN(16))})
		}
		for i, m := range moves[session] {
			kind := SessionMoved
			if i == 0 {
				kind = SessionStarted
			}
			arrivals = append(arrivals, arrival{m.at, Event{Kind: kind, Session: uint64(session), At: m.at,
				Place: testPlace(m.node/4, m.node+1), Title: uint64(session % 9)}})
		}
		skew := (rng.Float64() - 0.5) * 1000e3
		for sequence := range reports / sessions {
			at := startAt + 100 + float64(sequence)*450 + rng.Float64()*200
			delay := minDelay + rng.Float64()*300
			if sequence == 0 {
				delay = minDelay
			} else if rng.Float64() < 0.3 {
				delay += rng.Float64() * 20000
			}
			current := moves[session][0]
			nearMove := false
			for _, m := range moves[session] {
				if m.at <= at {
					current = m
				}
				nearMove = nearMove || math.Abs(m.at-at) <= minDelay
			}
			report := PlayerReport{At: at + skew, ArrivedAt: at + delay, Sequence: int64(sequence), ReceivedKB: 100, Rung: -1}
			if rng.Float64() < 0.5 || nearMove { // half of the reports are forwarded by the media node
				report.Node = current.node + 1
			}
			arrivals = append(arrivals, arrival{at + delay, Event{Kind: ReportReceived, Session: uint64(session),
				Report: report}})
			if rng.Float64() < 0.05 {
				repeated := report
				repeated.ArrivedAt += 500
				arrivals = append(arrivals, arrival{at + delay + 500, Event{Kind: ReportReceived,
					Session: uint64(session), Report: repeated}})
			}
			// The director's estimate of a report's time is late by the shortest network delay, which can move it to
			// the next window.
			estimatedAt := at + minDelay
			if math.Floor(at/config.WindowMs) != math.Floor(estimatedAt/config.WindowMs) {
				atWindowEdge++
			}
			want[fmt.Sprintf("%v rack %d", math.Floor(estimatedAt/config.WindowMs), current.node/4)]++
			want[fmt.Sprintf("%v title %d", math.Floor(estimatedAt/config.WindowMs), session%9)]++
			counted++
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	got := map[string]int64{}
	collect := func() {
		for _, w := range tracker.TakeClosed() {
			for key, group := range w.Groups {
				if key.Dim == ByRack || key.Dim == ByTitle {
					got[fmt.Sprintf("%v %s %d", w.StartAt/config.WindowMs, key.Dim, key.ID)] += group.Reports
				}
			}
		}
	}
	for _, arrival := range arrivals {
		tracker.Step(arrival.at, []Event{arrival.event})
		collect()
	}
	tracker.Step(1e6, nil)
	collect()
	counts := tracker.Counts()
	if int(counts[ReportCounted]) != counted || counts[ReportTooLate]+counts[ReportUnknownSession]+
		counts[ReportBeforeSession]+counts[ReportInvalidTime] != 0 || counts[ReportDuplicate] == 0 {
		t.Fatalf("%d reports: %v", counted, counts)
	}
	misplaced := int64(0)
	for key, count := range want {
		if got[key] < count {
			misplaced += count - got[key]
		}
	}
	if misplaced != 0 {
		t.Errorf("%d of %d reports misplaced", misplaced, counted)
	}
	t.Logf("%d counted, %d duplicates, %d within the shortest delay of a window's end", counted,
		counts[ReportDuplicate], atWindowEdge)
}

// testFleet has sessions spread over 4 racks, 16 media nodes, 7 titles and 5 player families, and makes their reports.
type testFleet struct {
	tracker  *Tracker
	now      float64
	sessions int
	sequence int64
}

func (f *testFleet) node(session int) uint64   { return uint64(session % 16) }
func (f *testFleet) title(session int) uint64  { return uint64(session / 16 % 7) }
func (f *testFleet) family(session int) uint64 { return uint64(session / 3 % 5) }

func newTestFleet(sessions int) *testFleet {
	f := &testFleet{tracker: New(testConfig()), sessions: sessions, now: 1000}
	var events []Event
	for s := range sessions {
		events = append(events, Event{Kind: SessionStarted, Session: uint64(s), At: f.now,
			Place: testPlace(f.node(s)/4, f.node(s)), Title: f.title(s), Family: f.family(s),
			Class: uint64(s % 3), Tenant: uint64(s % 2), StartupMs: 300})
	}
	f.tracker.Step(f.now, events)
	return f
}

// reportOnce advances the time by a second and lets every session report; short selects those that receive half of
// their rate.
func (f *testFleet) reportOnce(short func(session int) bool) []Finding {
	var events []Event
	f.now += 1000
	f.sequence++
	for s := range f.sessions {
		report := testReport(f.now-30, f.now, f.sequence)
		if short(s) {
			report.ReceivedKB = 50
		}
		events = append(events, Event{Kind: ReportReceived, Session: uint64(s), Report: report})
	}
	return f.tracker.Step(f.now, events)
}

// findingNames lists findings as "rack 2, title 5 over".
func findingNames(findings []Finding) string {
	var out []string
	for _, f := range findings {
		name := fmt.Sprintf("%s %d", f.Dim, f.ID)
		if f.Ended {
			name += " over"
		}
		out = append(out, name)
	}
	return strings.Join(out, ", ")
}

// Each kind of cause is found and not mistaken for another, two simultaneous causes are both found, and no finding
// arises without a cause.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		short func(f *testFleet, s int) bool
		want  string
	}{
		"none short":           {func(*testFleet, int) bool { return false }, ""},
		"overloaded rack":      {func(f *testFleet, s int) bool { return f.node(s)/4 == 2 }, "rack 2"},
		"faulty media node":    {func(f *testFleet, s int) bool { return f.node(s) == 9 }, "box 9"},
		"faulty title":         {func(f *testFleet, s int) bool { return f.title(s) == 3 }, "title 3"},
		"faulty player family": {func(f *testFleet, s int) bool { return f.family(s) == 4 }, "family 4"},
		"rack and title": {func(f *testFleet, s int) bool { return f.node(s)/4 == 1 || f.title(s) == 5 },
			"rack 1, title 5"},
		"a tenth of all sessions": {func(_ *testFleet, s int) bool { return s*7919%10 == 0 }, ""},
		"all sessions":            {func(*testFleet, int) bool { return true }, ""}, // no group differs from the rest
	} {
		f := newTestFleet(336)
		var began []Finding
		for range 5 {
			began = append(began, f.reportOnce(func(s int) bool { return c.short(f, s) })...)
		}
		if got := findingNames(began); got != c.want {
			t.Errorf("%s: found %q, want %q", name, got, c.want)
		}
		for _, finding := range began {
			if finding.Load < 1.8 || finding.Load > 2.2 || finding.Since != 2000 {
				t.Errorf("%s: %s, since %v", name, finding, finding.Since)
			}
		}
		var ended []Finding
		for range 15 {
			ended = append(ended, f.reportOnce(func(int) bool { return false })...)
		}
		if c.want != "" && findingNames(ended) != strings.ReplaceAll(c.want, ",", " over,")+" over" {
			t.Errorf("%s: ended %q", name, findingNames(ended))
		}
		if len(f.tracker.Findings()) != 0 {
			t.Errorf("%s: still active: %q", name, findingNames(f.tracker.Findings()))
		}
	}
}

// Neither a title with one viewer nor a rack whose sessions have all ended becomes a finding.
func TestSmallGroups(t *testing.T) {
	f := newTestFleet(64)
	f.tracker.Step(f.now, []Event{{Kind: SessionStarted, Session: 999, At: f.now, Place: testPlace(0, 0), Title: 77}})
	for i := range 5 {
		f.reportOnce(func(int) bool { return false })
		f.tracker.Step(f.now, []Event{{Kind: ReportReceived, Session: 999,
			Report: PlayerReport{At: f.now - 1, ArrivedAt: f.now, Sequence: int64(i), ReceivedKB: 1, Rung: -1}}})
	}
	var ends []Event
	for s := range f.sessions {
		if f.node(s)/4 == 3 {
			ends = append(ends, Event{Kind: SessionEnded, Session: uint64(s), At: f.now})
		}
	}
	if got := f.tracker.Step(f.now, ends); len(got) != 0 || len(f.tracker.Findings()) != 0 {
		t.Errorf("findings %q, want none", findingNames(f.tracker.Findings()))
	}
}

// A report of the time before a session moved is no evidence on its new place.
func TestMovedSessionsAreNotEvidence(t *testing.T) {
	f := newTestFleet(320)
	for range 3 {
		f.reportOnce(func(s int) bool { return f.node(s)/4 == 2 })
	}
	if findingNames(f.tracker.Findings()) != "rack 2" {
		t.Fatalf("findings %q, want rack 2", findingNames(f.tracker.Findings()))
	}
	var events []Event
	for s := range f.sessions {
		if f.node(s)/4 == 2 {
			events = append(events, Event{Kind: SessionMoved, Session: uint64(s), At: f.now, Place: testPlace(0, 1)})
		}
	}
	f.tracker.Step(f.now+1, events)
	if finding := f.tracker.activeFindings[GroupKey{ByRack, 0}]; finding != nil {
		t.Errorf("finding on the rack that took over the sessions: %s", finding)
	}
}

// Windows of several directors merge: quantiles of the merged windows are those of all reports together.
func TestMergeWindows(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	single, parts := New(testConfig()), []*Tracker{New(testConfig()), New(testConfig()), New(testConfig())}
	var startupTimes []float64
	for s := range 600 {
		startupMs := 100 + rng.ExpFloat64()*400
		startupTimes = append(startupTimes, startupMs)
		events := []Event{{Kind: SessionStarted, Session: uint64(s), At: 1000,
			Place: testPlace(uint64(s%2), 1), StartupMs: startupMs},
			{Kind: ReportReceived, Session: uint64(s), Report: PlayerReport{At: 1500, ArrivedAt: 1500, Sequence: 1,
				ReceivedKB: rng.Float64() * 100, StallMs: float64(s % 3 * 100), Rung: 2}}}
		single.Step(2000, events)
		parts[s%3].Step(2000, events)
	}
	want := single.openWindows[0]
	merged := parts[0].openWindows[0]
	merged.Merge(parts[1].openWindows[0])
	merged.Merge(parts[2].openWindows[0])
	for _, key := range append(want.Keys(ByRack), want.Keys(ByNode)...) {
		a, b := want.Groups[key], merged.Groups[key]
		if a.Reports != b.Reports || a.StalledReports != b.StalledReports || math.Abs(a.QualitySum-b.QualitySum) > 1e-6 ||
			a.StartupQuantile(0.9) != b.StartupQuantile(0.9) || a.ShareQuantile(0.5) != b.ShareQuantile(0.5) || math.Abs(a.QualityLost-b.QualityLost) > 1e-6 {
			t.Errorf("%v: want %+v, merged windows have %+v", key, a, b)
		}
	}
	sort.Float64s(startupTimes)
	if got, want := merged.Total.StartupQuantile(0.9), startupTimes[540]; math.Abs(got-want) > 0.05*want {
		t.Errorf("start-up p90 %v, want %v", got, want)
	}
	if !math.IsNaN((&Group{}).MeanQuality()) || !math.IsNaN((&Group{}).ShareQuantile(0.5)) {
		t.Error("an empty group has a mean or a quantile")
	}
}

// The quality of reports follows the linear model; the expected values are computed by hand.
func TestReportQualityModel(t *testing.T) {
	tracker := New(testConfig())
	tracker.Step(1000, []Event{{Kind: SessionStarted, Session: 1, At: 1000, Place: testPlace(1, 1)}})
	tracker.Step(2000, []Event{{Kind: ReportReceived, Session: 1,
		Report: PlayerReport{At: 2000, ArrivedAt: 2000, Sequence: 1, ReceivedKB: 100, Rung: 3}}})
	tracker.Step(3000, []Event{{Kind: ReportReceived, Session: 1,
		Report: PlayerReport{At: 3000, ArrivedAt: 3000, Sequence: 2, ReceivedKB: 50, StallMs: 100, Rung: 2}}})
	group := tracker.openWindows[0].Groups[GroupKey{ByRack, 1}]
	// The first report has a quality of 1, the second 0.8 less 0.2 for the switch and 0.3 for the stall.
	if math.Abs(group.QualitySum-1.3) > 1e-9 || group.Switches != 1 || group.StalledReports != 1 || group.StallMs != 100 ||
		math.Abs(group.QualityLost-0.7) > 1e-9 {
		t.Errorf("%+v", group)
	}
}

// The first report after a rise of the rung measured a media object at the old rate: that is no overload.
func TestRaisedRungIsNotShortfall(t *testing.T) {
	f := newTestFleet(320)
	for i := range 6 {
		var events []Event
		f.now += 1000
		f.sequence++
		for s := range f.sessions {
			requiredKB := 100.0
			if f.node(s)/4 == 2 && i >= 3 { // the rung on one rack rises to twice the rate
				requiredKB = 200
				if i == 3 {
					events = append(events, Event{Kind: RungChanged, Session: uint64(s), At: f.now - 500,
						Place: Place{Rung: 3, RateKB: 200}})
				}
			}
			report := testReport(f.now-30, f.now, f.sequence)
			report.RequiredKB = requiredKB
			if requiredKB > 100 && i > 3 {
				report.ReceivedKB = 200
			}
			events = append(events, Event{Kind: ReportReceived, Session: uint64(s), Report: report})
		}
		if got := f.tracker.Step(f.now, events); len(got) != 0 {
			t.Fatalf("round %d: %s", i, findingNames(got))
		}
	}
}

// Windows, groups, spans and dedup keys stay within their bounds under a flood of groups and late reports.
func TestMemoryBounds(t *testing.T) {
	config := testConfig()
	config.MaxGroups, config.DedupWindow, config.MaxSpans = 20, 8, 4
	tracker := New(config)
	for s := range 200 {
		tracker.Step(1000, []Event{{Kind: SessionStarted, Session: uint64(s), At: 1000,
			Place: testPlace(uint64(s), uint64(s)), Title: uint64(s)}})
	}
	for i := range 5000 {
		id := uint64(i % 200)
		now := 2000 + float64(i)*10
		tracker.Step(now, []Event{{Kind: RungChanged, Session: id, At: now, Place: Place{Rung: i % 4, RateKB: 10}},
			{Kind: ReportReceived, Session: id, Report: testReport(now-float64(i/200%40)*2000, now, int64(i))}})
	}
	for _, w := range append(tracker.openWindows, tracker.closedWindows...) {
		if len(w.Groups) > 20 {
			t.Fatalf("%d groups in a window, want at most 20", len(w.Groups))
		}
	}
	if len(tracker.openWindows) > int(config.AllowedLatenessMs/config.WindowMs)+2 {
		t.Errorf("%d windows open", len(tracker.openWindows))
	}
	for _, s := range tracker.sessions {
		if len(s.recentReports) > 8 || len(s.spans) > 4 || !s.truncated {
			t.Fatalf("%d dedup keys, %d spans, want at most 8 and 4", len(s.recentReports), len(s.spans))
		}
	}
	if tracker.Counts()[ReportTooLate] == 0 {
		t.Error("no report was too late")
	}
}

func BenchmarkReports(b *testing.B) {
	f := newTestFleet(1000)
	var event [1]Event
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.now += 0.02
		event[0] = Event{Kind: ReportReceived, Session: uint64(i % 1000), Report: testReport(f.now, f.now, int64(i))}
		f.tracker.recordReport(&event[0])
		if i%5000 == 0 {
			f.tracker.Step(f.now, nil)
			f.tracker.TakeClosed()
		}
	}
}

// The timelines stay within MaxBytes under a flood of sessions: ended sessions are evicted, the longest ended first,
// those that play are kept, and the accounted memory is that of the timelines kept.
func TestTimelineMemoryBound(t *testing.T) {
	const maxBytes = 200 * (sessionBytes + spanBytes)
	tracker := New(Config{WindowMs: 1000, AllowedLatenessMs: 5000, SessionRetentionMs: 1e6,
		MaxSpans: 8, DedupWindow: 16, MaxBytes: maxBytes, RungQuality: []float64{1}})
	checkAccounting := func() {
		t.Helper()
		sum := int64(0)
		for _, s := range tracker.sessions {
			sum += s.memoryBytes()
		}
		if sum != tracker.Bytes() || sum > maxBytes+200*16*dedupKeyBytes {
			t.Fatalf("%d bytes accounted, timelines take %d", tracker.Bytes(), sum)
		}
	}
	for id := uint64(1); id <= 50; id++ { // sessions that go on playing
		tracker.Step(float64(id), []Event{{Kind: SessionStarted, Session: id, At: float64(id)}})
	}
	for id := uint64(100); id < 5000; id++ { // sessions that start and end, while the first ones report
		now := float64(id * 10)
		tracker.Step(now, []Event{{Kind: SessionStarted, Session: id, At: now}, {Kind: RungChanged, Session: id, At: now + 1},
			{Kind: SessionEnded, Session: id, At: now + 2},
			{Kind: ReportReceived, Session: 1 + id%50,
				Report: PlayerReport{At: math.NaN(), ArrivedAt: now, Sequence: int64(id)}}})
		checkAccounting()
	}
	for id := uint64(1); id <= 50; id++ {
		if _, _, _, ok := tracker.Timeline(id); !ok {
			t.Errorf("session %d plays, but its timeline was removed", id)
		}
	}
	if _, _, _, ok := tracker.Timeline(4999); !ok || tracker.Untracked() != 0 {
		t.Errorf("latest session tracked: %v; %d sessions untracked, want true and 0", ok, tracker.Untracked())
	}
	if _, _, _, ok := tracker.Timeline(100); ok {
		t.Error("the longest ended session is still tracked")
	}
	for id := uint64(10000); id < 10400; id++ { // more playing sessions than fit
		tracker.Step(1e6, []Event{{Kind: SessionStarted, Session: id, At: 1e6}})
		checkAccounting()
	}
	if tracker.Untracked() == 0 || tracker.Bytes() > maxBytes+50*16*dedupKeyBytes {
		t.Errorf("%d sessions untracked, %d bytes", tracker.Untracked(), tracker.Bytes())
	}
	before := tracker.Bytes()
	tracker.SetMaxBytes(before / 2) // below the memory in use: playing sessions are kept, new ones are not tracked
	tracker.Step(1e6, []Event{{Kind: SessionStarted, Session: 20000, At: 1e6}})
	checkAccounting()
	if _, _, _, ok := tracker.Timeline(20000); ok || tracker.Bytes() != before {
		t.Errorf("after lowering the bound: %d bytes, %d before", tracker.Bytes(), before)
	}
	if got := tracker.recordReport(&Event{Session: 10399,
		Report: PlayerReport{At: math.NaN(), ArrivedAt: 1e6, Sequence: 1}}); got != ReportUnknownSession {
		t.Errorf("status of a report of an untracked session: %v", got)
	}
}
