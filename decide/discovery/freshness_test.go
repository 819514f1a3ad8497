package discovery

import "testing"

// Guards against set-ups that are placed by an old list after the process stood still (stall of the review).
func TestPlacingWaitsAfterAStall(t *testing.T) {
	newFreshness := func() *Freshness {
		f := &Freshness{MaxAgeMs: 1500, MaxHoldMs: 200}
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
