package discovery

import "testing"

// Guards against set-ups that are placed by an old list after the process stood still (stall of the review).
func TestPlacingWaitsAfterAStall(t *testing.T) {
	newFreshness := func() *Freshness {
		f := &Freshness{MaxAgeMs: 1500, MaxHoldMs: 200, Confirmations: 1}
		f.Answered(1000)
		return f
	}
	f := newFreshness()
	if f.Stalled(2400) || !f.MayPlace(2400) {
		t.Error("the list is recent enough, and placing waits")
	}
	if !f.Stalled(2950) || f.MayPlace(2951) {
		t.Error("placing goes on by an old list")
	}
	if f.Answered(1200); f.MayPlace(2960) { // sent before the process stood still
		t.Error("an answer to an old query ends the wait")
	}
	if f.Answered(2950); !f.MayPlace(2961) || f.Stalled(3300) {
		t.Error("an answer to a new query does not end the wait")
	}
	f = newFreshness()
	if !f.Stalled(2950) || f.MayPlace(3149) || !f.MayPlace(3150) || !f.MayPlace(9000) {
		t.Error("the wait does not end by itself")
	}
	if !f.Stalled(9100) || f.MayPlace(9101) {
		t.Error("a further stall does not count")
	}
}

// Guards against set-ups that are placed by an older list right after the process stood still: the discovery service sends it
// a few times in a row, and again for queries that were answered before.
func TestPlacingWaitsForSeveralAnswers(t *testing.T) {
	f := &Freshness{MaxAgeMs: 1500, MaxHoldMs: 200, Confirmations: 4}
	f.Answered(1000)
	f.Stalled(3000)
	for _, queriedAt := range []float64{3000, 3001, 3002} {
		if !f.Answered(queriedAt) || f.MayPlace(queriedAt) {
			t.Errorf("the answer to the query of %v ends the wait", queriedAt)
		}
		if f.Answered(queriedAt) || f.MayPlace(queriedAt) {
			t.Errorf("the repeated answer to the query of %v counts", queriedAt)
		}
	}
	if f.Answered(3003) || !f.MayPlace(3003) {
		t.Error("the fourth answer does not end the wait")
	}
	if f.Answered(3100) {
		t.Error("a further answer is asked for while placing does not wait")
	}
}

// Guards against answers that wait for a node list which they don't need: only a set-up with time left is placed by it.
func TestOverdueSetupsNeedNoList(t *testing.T) {
	f := &Freshness{MaxAgeMs: 1500, MaxHoldMs: 200, Confirmations: 1}
	f.Answered(1000)
	if f.Overdue(3000, 2000) {
		t.Error("a set-up is failed though placing does not wait")
	}
	f.Stalled(3000)
	for deadline, want := range map[float64]bool{2000: true, 3000: true, 3001: false} {
		if got := f.Overdue(3000, deadline); got != want {
			t.Errorf("deadline %v: overdue %v", deadline, got)
		}
	}
}
