package quality

import "testing"

// A cause that is detected in two runs of three becomes a finding within a few seconds; one that is detected in every
// other run never does.
func TestIntermittentCauseConfirmation(t *testing.T) {
	for _, c := range []struct {
		missedEvery int // one run in so many does not detect the cause
		confirmed   bool
	}{{3, true}, {2, false}} {
		tracker := New(Config{WindowMs: 5000, DetectIntervalMs: 500, ConfirmMs: 1500, MinSessions: 6, MinScore: 8})
		key, confirmedAt := GroupKey{ByRack, 1}, 0.0
		for i := 1; i <= 60 && confirmedAt == 0; i++ {
			tracker.now = float64(i) * 500
			detected := map[GroupKey]Finding{}
			if i%c.missedEvery != 0 {
				detected[key] = Finding{GroupKey: key, At: tracker.now}
			}
			if changed := tracker.updateFindings(detected); len(changed) > 0 {
				confirmedAt = tracker.now
				if changed[0].Since != 500 {
					t.Errorf("finding since %v ms, want 500", changed[0].Since)
				}
			}
		}
		if c.confirmed != (confirmedAt > 0) || confirmedAt > 6000 {
			t.Errorf("missed in one run of %d: confirmed at %v ms", c.missedEvery, confirmedAt)
		}
	}
}
