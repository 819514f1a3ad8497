package quality

import (
	"cmp"
	"slices"
)

// DirectorFinding is a finding as one director reports it.
type DirectorFinding struct {
	Director, Dim, Name string
	SinceMs, Load       float64 // age: the time since it was first detected; rate needed over rate received
	Sessions, Short     int64   // in the group; those of them that are short of rate
}

// MergedFinding adds up what several directors report of one group.
type MergedFinding struct {
	Dim, Name       string
	Directors       []string // those that report it, sorted, each once
	SinceMs, Load   float64  // the longest SinceMs; the mean Load, weighted by each director's Short
	Sessions, Short int64
}

// MergeFindings adds up the findings of several directors: one finding per group, with the sessions of all directors
// that report it. Of a director that reports a group twice, the last report counts. The result is sorted by
// dimension in the order of attributionOrder, then by the number of sessions that are short of rate, most first.
func MergeFindings(list []DirectorFinding) []MergedFinding {
	type sourceKey struct{ director, dim, name string }
	last := map[sourceKey]DirectorFinding{}
	for _, reported := range list {
		last[sourceKey{reported.Director, reported.Dim, reported.Name}] = reported
	}
	byGroup := map[[2]string]*MergedFinding{}
	weight := map[*MergedFinding]float64{}
	for _, reported := range last {
		merged := byGroup[[2]string{reported.Dim, reported.Name}]
		if merged == nil {
			merged = &MergedFinding{Dim: reported.Dim, Name: reported.Name}
			byGroup[[2]string{reported.Dim, reported.Name}] = merged
		}
		merged.Directors = append(merged.Directors, reported.Director)
		merged.SinceMs = max(merged.SinceMs, reported.SinceMs)
		merged.Sessions, merged.Short = merged.Sessions+reported.Sessions, merged.Short+reported.Short
		merged.Load += reported.Load * float64(max(reported.Short, 1))
		weight[merged] += float64(max(reported.Short, 1))
	}
	out := make([]MergedFinding, 0, len(byGroup))
	for _, merged := range byGroup {
		merged.Load /= weight[merged]
		slices.Sort(merged.Directors)
		out = append(out, *merged)
	}
	slices.SortFunc(out, func(a, b MergedFinding) int {
		return cmp.Or(cmp.Compare(slices.Index(attributionOrder, a.Dim), slices.Index(attributionOrder, b.Dim)),
			cmp.Compare(b.Short, a.Short), cmp.Compare(a.Name, b.Name))
	})
	return out
}
