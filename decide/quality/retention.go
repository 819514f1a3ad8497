package quality

import (
	"cmp"
	"slices"
)

// Segment describes one file of the history for SegmentsToDelete.
type Segment struct {
	Name   string
	FromMs float64 // time of its oldest window, on the clock of SegmentsToDelete's now
	Bytes  int64
}

// SegmentsToDelete returns the names of the segments to delete at time now: those older than maxAgeMs, then the oldest
// until the rest fits in maxBytes. A bound of 0 means none. The newest segment is never deleted for its size alone.
func SegmentsToDelete(list []Segment, now, maxAgeMs float64, maxBytes int64) (names []string) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.FromMs, b.FromMs), cmp.Compare(a.Name, b.Name))
	})
	totalBytes := int64(0)
	for _, segment := range list {
		totalBytes += segment.Bytes
	}
	for i, segment := range list {
		expired := maxAgeMs > 0 && now-segment.FromMs > maxAgeMs
		if !expired && (maxBytes <= 0 || totalBytes <= maxBytes || i == len(list)-1) {
			break
		}
		names = append(names, segment.Name)
		totalBytes -= segment.Bytes
	}
	return names
}
