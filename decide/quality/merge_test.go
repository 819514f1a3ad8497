package quality

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Findings of several directors add up independently of their order, each counts once, and none is lost.
func TestMergeFindings(t *testing.T) {
	list := []DirectorFinding{{"d1", "box", "b", 900, 1.2, 8, 6}, {"d0", "rack", "1", 500, 2, 20, 10},
		{"d1", "rack", "1", 1500, 1, 10, 10}, {"d0", "rack", "1", 700, 1.5, 22, 30}}
	got := MergeFindings(list)
	if len(got) != 2 || got[0].Name != "1" || !slices.Equal(got[0].Directors, []string{"d0", "d1"}) ||
		got[0].Sessions != 32 || got[0].Short != 40 || got[0].SinceMs != 1500 ||
		math.Abs(got[0].Load-(1.5*30+10)/40) > 1e-9 || got[1].Dim != "box" {
		t.Errorf("merged %+v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		var list []DirectorFinding
		totalShort := int64(0)
		for director := range rapid.IntRange(0, 4).Draw(t, "directors") {
			for _, name := range []string{"1", "2", "3"} {
				if rapid.Bool().Draw(t, "names it") {
					short := int64(rapid.IntRange(0, 9).Draw(t, "short"))
					totalShort += short
					list = append(list, DirectorFinding{string(rune('a' + director)), "rack", name, 1, 1.5, 10, short})
				}
			}
		}
		forward := MergeFindings(list)
		slices.Reverse(list)
		sum := int64(0)
		for i, merged := range MergeFindings(list) {
			sum += merged.Short
			if merged.Name != forward[i].Name || merged.Short != forward[i].Short || math.Abs(merged.Load-1.5) > 1e-9 ||
				!slices.IsSorted(merged.Directors) {
				t.Fatalf("%+v, in reverse order %+v", forward[i], merged)
			}
		}
		if sum != totalShort || len(MergeFindings(append(list, list...))) != len(forward) {
			t.Fatalf("%d short sessions after merging, want %d", sum, totalShort)
		}
	})
}
