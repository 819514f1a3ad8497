package limits

import "testing"

// Every use has a descriptor, and a quarter is left for media nodes and the process, at both ends of the limits.
func TestPlanDescriptors(t *testing.T) {
	for _, total := range []int{64, 256, 1024, 20000} {
		plan := PlanDescriptors(total)
		used := plan.Viewers + plan.Lingering + plan.Operators
		if plan.Viewers < 1 || plan.Lingering < 1 || plan.Operators < 1 || used > total*3/4 {
			t.Errorf("%d descriptors: %+v", total, plan)
		}
	}
}
