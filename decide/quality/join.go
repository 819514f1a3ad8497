package quality

import (
	"cmp"
	"slices"
)

// Told is a finding as one director tells it.
type DirectorFinding struct {
	Director, Dim, Name string
	SinceMs, Load       float64 // ago; needed over got
	Sessions, Short     int64
}

// Joined is what several directors tell of one group.
type MergedFinding struct {
	Dim, Name       string
	Directors       []string // in order, each once
	SinceMs, Load   float64  // the first that named it; the mean, each director by its short sessions
	Sessions, Short int64
}

// Join adds directors' findings up: the same group is one finding, with the sessions of all that name it. A director
// that tells one twice counts with what it told last. The widest groups come first, then those with most short
// sessions.
func MergeFindings(list []DirectorFinding) []MergedFinding {
	type from struct{ director, dim, name string }
	last := map[from]DirectorFinding{}
	for _, t := range list {
		last[from{t.Director, t.Dim, t.Name}] = t
	}
	sum := map[[2]string]*MergedFinding{}
	weight := map[*MergedFinding]float64{}
	for _, t := range last {
		j := sum[[2]string{t.Dim, t.Name}]
		if j == nil {
			j = &MergedFinding{Dim: t.Dim, Name: t.Name}
			sum[[2]string{t.Dim, t.Name}] = j
		}
		j.Directors = append(j.Directors, t.Director)
		j.SinceMs = max(j.SinceMs, t.SinceMs)
		j.Sessions, j.Short = j.Sessions+t.Sessions, j.Short+t.Short
		j.Load += t.Load * float64(max(t.Short, 1))
		weight[j] += float64(max(t.Short, 1))
	}
	out := make([]MergedFinding, 0, len(sum))
	for _, j := range sum {
		j.Load /= weight[j]
		slices.Sort(j.Directors)
		out = append(out, *j)
	}
	slices.SortFunc(out, func(a, b MergedFinding) int {
		return cmp.Or(cmp.Compare(slices.Index(widest, a.Dim), slices.Index(widest, b.Dim)), cmp.Compare(b.Short, a.Short), cmp.Compare(a.Name, b.Name))
	})
	return out
}
