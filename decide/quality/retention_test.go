package quality

import (
	"slices"
	"testing"
)

// Segments are deleted by age, then by total size, the oldest first; the newest is never deleted for its size alone.
func TestSegmentsToDelete(t *testing.T) {
	list := []Segment{{"c", 3000, 10}, {"a", 1000, 10}, {"b", 2000, 10}}
	for _, c := range []struct {
		maxAgeMs float64
		maxBytes int64
		want     []string
	}{{0, 0, nil}, {0, 30, nil}, {0, 29, []string{"a"}}, {0, 5, []string{"a", "b"}}, {2500, 0, []string{"a"}},
		{500, 0, []string{"a", "b", "c"}}, {1800, 12, []string{"a", "b"}}} {
		if got := SegmentsToDelete(list, 3600, c.maxAgeMs, c.maxBytes); !slices.Equal(got, c.want) {
			t.Errorf("max age %v ms, max size %d bytes: deletes %v, want %v", c.maxAgeMs, c.maxBytes, got, c.want)
		}
	}
}
