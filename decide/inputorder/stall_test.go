package inputorder

import "testing"

// Guards against requests that are given the time again for which they waited while the process stood still (review/9).
func TestTimeLeftAfterAStall(t *testing.T) {
	cfg := StallConfig{BacklogMs: 200, MinTimeMs: 100}
	stall := Stall{From: 1000, To: 2900}
	for name, c := range map[string]struct {
		stall                            Stall
		now, drainedAt, timeLeft, wantMs float64
	}{
		"no stall yet":                  {Stall{}, 100, 0, 3000, 3000},
		"arrived in the stall":          {stall, 2900, 990, 3000, 1100},
		"read a little later":           {stall, 2950, 990, 3000, 1050},
		"less time than the stall":      {stall, 2900, 990, 860, 100},
		"less time than any":            {stall, 2900, 990, 50, 50},
		"read after all of the stall's": {stall, 2950, 2910, 3000, 3000},
		"long after the stall":          {stall, 3200, 990, 3000, 3000},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.stall.TimeLeft(cfg, c.now, c.drainedAt, c.timeLeft); got != c.wantMs {
				t.Errorf("%v ms are left, want %v", got, c.wantMs)
			}
		})
	}
}
