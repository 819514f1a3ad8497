package quality

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestDrop(t *testing.T) {
	list := []Segment{{"c", 3000, 10}, {"a", 1000, 10}, {"b", 2000, 10}}
	for _, c := range []struct {
		age  float64
		size int64
		want []string
	}{{0, 0, nil}, {0, 30, nil}, {0, 29, []string{"a"}}, {0, 5, []string{"a", "b"}}, {2500, 0, []string{"a"}},
		{500, 0, []string{"a", "b", "c"}}, {1800, 12, []string{"a", "b"}}} {
		if got := SegmentsToDelete(list, 3600, c.age, c.size); !slices.Equal(got, c.want) {
			t.Errorf("age %v, size %d: gives up %v, want %v", c.age, c.size, got, c.want)
		}
	}
}

// Causes add up to what was lost, whatever overlaps; a rack claims before its boxes.
func TestCauses(t *testing.T) {
	whole := map[float64]float64{0: 10, 5: 20, 10: 4}
	losses := []GroupLoss{{"rack", "1", 0, 5, 9}, {"box", "b", 0, 5, 8}, {"rack", "1", 5, 10, 12}, {"title", "t", 5, 10, 20}, {"rack", "1", 10, 15, 4}}
	got := AttributeLoss(whole, losses, []FindingInterval{{"box", "b", 0, 5}, {"rack", "1", 2, 9}, {"title", "t", 6, 9}})
	want := []CauseLoss{{"rack 1", 21}, {"title t", 8}, {"box b", 1}, {"no cause found", 4}}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		whole, all := map[float64]float64{}, 0.0
		var losses []GroupLoss
		var troubles []FindingInterval
		for i := range rapid.IntRange(0, 5).Draw(t, "windows") {
			at := float64(i) * 5
			whole[at] = float64(rapid.IntRange(0, 50).Draw(t, "lost"))
			all += whole[at]
			for _, d := range []string{"rack", "box", "title"} {
				losses = append(losses, GroupLoss{d, "x", at, at + 5, float64(rapid.IntRange(-5, 60).Draw(t, d))})
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "troubles") {
			from := float64(rapid.IntRange(0, 20).Draw(t, "from"))
			troubles = append(troubles, FindingInterval{rapid.SampledFrom([]string{"rack", "box", "title"}).Draw(t, "dim"), "x", from, from + 7})
		}
		sum := 0.0
		for _, s := range AttributeLoss(whole, losses, troubles) {
			if s.Lost < 0 {
				t.Fatalf("%s took %v", s.Cause, s.Lost)
			}
			sum += s.Lost
		}
		if math.Abs(sum-all) > 1e-9 {
			t.Fatalf("causes add up to %v of %v", sum, all)
		}
	})
}

// A flood of sessions and of late reports keeps to the cap: ended timelines go first, the longest ended before the
// others, and those that play stay; the books are exact.
func TestTimelinesKeepToTheirCap(t *testing.T) {
	const most = 200 * (sessionBytes + spanBytes)
	q := New(Config{WindowMs: 1000, AllowedLatenessMs: 5000, SessionRetentionMs: 1e6, MaxSpans: 8, DedupWindow: 16, MaxBytes: most, RungWorth: []float64{1}})
	exact := func() {
		t.Helper()
		sum := int64(0)
		for _, s := range q.sessions {
			sum += s.bytes()
		}
		if sum != q.Bytes() || sum > most+200*16*markBytes {
			t.Fatalf("%d bytes booked, %d held", q.Bytes(), sum)
		}
	}
	for id := uint64(1); id <= 50; id++ { // fifty that play on
		q.Step(float64(id), []Event{{Kind: SessionStarted, Session: id, At: float64(id)}})
	}
	for id := uint64(100); id < 5000; id++ { // and thousands that come and go, with reports
		now := float64(id * 10)
		q.Step(now, []Event{{Kind: SessionStarted, Session: id, At: now}, {Kind: RungChanged, Session: id, At: now + 1}, {Kind: SessionEnded, Session: id, At: now + 2},
			{Kind: ReportReceived, Session: 1 + id%50, Report: PlayerReport{At: math.NaN(), ArrivedAt: now, Sequence: int64(id)}}})
		exact()
	}
	for id := uint64(1); id <= 50; id++ {
		if _, _, _, ok := q.Timeline(id); !ok {
			t.Errorf("session %d plays and is forgotten", id)
		}
	}
	if _, _, _, ok := q.Timeline(4999); !ok || q.Untracked() != 0 {
		t.Errorf("the last one is kept: %v; %d were not", ok, q.Untracked())
	}
	if _, _, _, ok := q.Timeline(100); ok {
		t.Error("the longest ended is kept")
	}
	for id := uint64(10000); id < 10400; id++ { // more that play than fit
		q.Step(1e6, []Event{{Kind: SessionStarted, Session: id, At: 1e6}})
		exact()
	}
	if q.Untracked() == 0 || q.Bytes() > most+50*16*markBytes {
		t.Errorf("%d not kept, %d bytes", q.Untracked(), q.Bytes())
	}
	before := q.Bytes()
	q.SetMaxBytes(before / 2) // lowered below what is in use: nothing that plays goes, nothing new comes
	q.Step(1e6, []Event{{Kind: SessionStarted, Session: 20000, At: 1e6}})
	exact()
	if _, _, _, ok := q.Timeline(20000); ok || q.Bytes() != before {
		t.Errorf("a lowered cap: %d bytes of %d", q.Bytes(), before)
	}
	if got := q.report(&Event{Session: 10399, Report: PlayerReport{At: math.NaN(), ArrivedAt: 1e6, Sequence: 1}}); got != ReportUnknownSession {
		t.Errorf("a report of one that is not kept is %v", got)
	}
}

// Directors' parts add up whatever their order, each counts once, and nothing is lost.
func TestJoin(t *testing.T) {
	list := []DirectorFinding{{"d1", "box", "b", 900, 1.2, 8, 6}, {"d0", "rack", "1", 500, 2, 20, 10}, {"d1", "rack", "1", 1500, 1, 10, 10},
		{"d0", "rack", "1", 700, 1.5, 22, 30}}
	got := MergeFindings(list)
	if len(got) != 2 || got[0].Name != "1" || !slices.Equal(got[0].Directors, []string{"d0", "d1"}) || got[0].Sessions != 32 ||
		got[0].Short != 40 || got[0].SinceMs != 1500 || math.Abs(got[0].Load-(1.5*30+10)/40) > 1e-9 || got[1].Dim != "box" {
		t.Errorf("%+v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		var list []DirectorFinding
		short := int64(0)
		for d := range rapid.IntRange(0, 4).Draw(t, "directors") {
			for _, name := range []string{"1", "2", "3"} {
				if rapid.Bool().Draw(t, "names it") {
					n := int64(rapid.IntRange(0, 9).Draw(t, "short"))
					short += n
					list = append(list, DirectorFinding{string(rune('a' + d)), "rack", name, 1, 1.5, 10, n})
				}
			}
		}
		a := MergeFindings(list)
		slices.Reverse(list)
		sum := int64(0)
		for i, j := range MergeFindings(list) {
			sum += j.Short
			if j.Name != a[i].Name || j.Short != a[i].Short || math.Abs(j.Load-1.5) > 1e-9 || !slices.IsSorted(j.Directors) {
				t.Fatalf("%+v, in the other order %+v", a[i], j)
			}
		}
		if sum != short || len(MergeFindings(append(list, list...))) != len(a) {
			t.Fatalf("%d short of %d", sum, short)
		}
	})
}

// A cause that holds in two looks of three is named in a few seconds; one that holds in every other look never is.
func TestWaveringCause(t *testing.T) {
	for _, c := range []struct {
		every int // one look in so many does not hold
		named bool
	}{{3, true}, {2, false}} {
		q := New(Config{WindowMs: 5000, DetectIntervalMs: 500, ConfirmMs: 1500, MinSessions: 6, MinScore: 8})
		k, began := GroupKey{ByRack, 1}, 0.0
		for i := 1; i <= 60 && began == 0; i++ {
			q.now = float64(i) * 500
			hold := map[GroupKey]Finding{}
			if i%c.every != 0 {
				hold[k] = Finding{GroupKey: k, At: q.now}
			}
			if out := q.changes(hold); len(out) > 0 {
				began = q.now
				if out[0].Since != 500 {
					t.Errorf("since %v", out[0].Since)
				}
			}
		}
		if c.named != (began > 0) || began > 6000 {
			t.Errorf("missing every %d: named at %v ms", c.every, began)
		}
	}
}
