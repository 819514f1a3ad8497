package quality

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The attributed losses and the remainder add up to the total loss, however the findings overlap; a rack claims its
// loss before its media nodes.
func TestAttributeLoss(t *testing.T) {
	total := map[float64]float64{0: 10, 5: 20, 10: 4}
	losses := []GroupLoss{{"rack", "1", 0, 5, 9}, {"box", "b", 0, 5, 8}, {"rack", "1", 5, 10, 12},
		{"title", "t", 5, 10, 20}, {"rack", "1", 10, 15, 4}}
	got := AttributeLoss(total, losses, []FindingInterval{{"box", "b", 0, 5}, {"rack", "1", 2, 9}, {"title", "t", 6, 9}})
	want := []CauseLoss{{"rack 1", 21}, {"title t", 8}, {"box b", 1}, {"no cause found", 4}}
	if !slices.Equal(got, want) {
		t.Errorf("attributed %v, want %v", got, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		total, sumOfTotals := map[float64]float64{}, 0.0
		var losses []GroupLoss
		var findings []FindingInterval
		for i := range rapid.IntRange(0, 5).Draw(t, "windows") {
			from := float64(i) * 5
			total[from] = float64(rapid.IntRange(0, 50).Draw(t, "lost"))
			sumOfTotals += total[from]
			for _, dim := range []string{"rack", "box", "title"} {
				losses = append(losses, GroupLoss{dim, "x", from, from + 5, float64(rapid.IntRange(-5, 60).Draw(t, dim))})
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "findings") {
			from := float64(rapid.IntRange(0, 20).Draw(t, "from"))
			findings = append(findings, FindingInterval{
				rapid.SampledFrom([]string{"rack", "box", "title"}).Draw(t, "dim"), "x", from, from + 7})
		}
		sum := 0.0
		for _, cause := range AttributeLoss(total, losses, findings) {
			if cause.QualityLost < 0 {
				t.Fatalf("%s is attributed %v", cause.Cause, cause.QualityLost)
			}
			sum += cause.QualityLost
		}
		if math.Abs(sum-sumOfTotals) > 1e-9 {
			t.Fatalf("attributed losses add up to %v, want %v", sum, sumOfTotals)
		}
	})
}
