package quality

import (
	"cmp"
	"slices"
)

// Segment is one file of the history, as far as it matters for what is kept.
type Segment struct {
	Name   string
	FromMs float64 // time of its oldest window, any clock
	Bytes  int64
}

// Drop decides which segments to give up at now: those older than maxAgeMs, and then the oldest until the rest is
// within maxBytes. A bound of 0 is none. The newest segment is never given up for its size alone.
func SegmentsToDelete(list []Segment, now, maxAgeMs float64, maxBytes int64) (names []string) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.FromMs, b.FromMs), cmp.Compare(a.Name, b.Name))
	})
	sum := int64(0)
	for _, s := range list {
		sum += s.Bytes
	}
	for i, s := range list {
		old := maxAgeMs > 0 && now-s.FromMs > maxAgeMs
		if !old && (maxBytes <= 0 || sum <= maxBytes || i == len(list)-1) {
			break
		}
		names = append(names, s.Name)
		sum -= s.Bytes
	}
	return names
}

// Trouble is a finding as the history keeps it: a group and the time for which it held.
type FindingInterval struct {
	Dim, Name string
	From, To  float64
}

// Loss is what one group lost in one window.
type GroupLoss struct {
	Dim, Name string
	From, To  float64
	Lost      float64
}

// Share is what a cause took.
type CauseLoss struct {
	Cause string
	Lost  float64
}

// widest is the order in which causes claim a window's loss: a rack's trouble is its boxes' and its titles' too.
var widest = []string{"rack", "box", "title", "class", "brand", "family"}

// Causes shares out the worth that was lost: to each trouble what its group lost in the windows in which it held, in
// the order of widest and never more than the window lost in all; what is left has no cause that was found. whole
// is the loss of each window in all, by its beginning.
func AttributeLoss(whole map[float64]float64, losses []GroupLoss, troubles []FindingInterval) []CauseLoss {
	left := map[float64]float64{}
	for at, v := range whole {
		left[at] = v
	}
	sum := map[string]float64{}
	for _, dim := range widest {
		for _, t := range troubles {
			if t.Dim != dim {
				continue
			}
			cause := t.Dim + " " + t.Name
			for _, l := range losses {
				if l.Dim != t.Dim || l.Name != t.Name || l.To <= t.From || l.From >= t.To {
					continue
				}
				took := min(max(l.Lost, 0), left[l.From])
				left[l.From] -= took
				sum[cause] += took
			}
		}
	}
	var out []CauseLoss
	for c, v := range sum {
		out = append(out, CauseLoss{c, v})
	}
	slices.SortFunc(out, func(a, b CauseLoss) int { return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause)) })
	rest := 0.0
	for _, v := range left {
		rest += v
	}
	return append(out, CauseLoss{"no cause found", rest})
}
