package health

import "testing"

// Guards against a seat that is given again while its session, which its viewer has ended, plays at a media node that is cut off
// (review/10).
func TestEndPresumed(t *testing.T) {
	for name, c := range map[string]struct {
		capped                bool
		toldAt, lastContactAt float64
		want                  bool
	}{
		"not capped":              {false, 100, 50, true},
		"heard since it was told": {true, 100, 101, true},
		"not heard":               {true, 100, 50, false},
		"heard as it was told":    {true, 100, 100, false},
	} {
		if got := EndPresumed(c.capped, c.toldAt, c.lastContactAt); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
