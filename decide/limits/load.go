package limits

import (
	"math"
	"sort"
)

// updateLoad takes a measurement of the director's own load. The load follows a rise at once and a fall slowly, so
// that shedding does not flap with the lag that it cures.
func (a *Admission) updateLoad(ev *Event) {
	load := 0.0
	for _, f := range [][2]float64{{ev.LagMs, a.cfg.FullLagMs}, {ev.Queue, a.cfg.FullQueue},
		{ev.MemoryBytes, a.cfg.FullMemoryBytes}} {
		if f[1] > 0 {
			load = math.Max(load, f[0]/f[1])
		}
	}
	if load < a.currentLoad {
		load = a.currentLoad + (load-a.currentLoad)*(1-math.Exp(-slotMs/loadTimeConstantMs))
	}
	a.currentLoad = load
}

// rankClasses ranks the classes by worth, the lowest first; classes of equal worth have the same rank.
func rankClasses(classes []Class) (ranks []int, distinct int) {
	var values []float64
	for _, class := range classes {
		values = append(values, class.Value)
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	rankOf := map[float64]int{}
	for _, value := range sorted {
		if _, ok := rankOf[value]; !ok {
			rankOf[value] = len(rankOf)
		}
	}
	for _, value := range values {
		ranks = append(ranks, rankOf[value])
	}
	return ranks, len(rankOf)
}

// shouldShed tells whether a request is refused to relieve the director. The cheapest refusals come first: by worth
// of the class, and among equal worth retries before new requests.
func (a *Admission) shouldShed(class int, retried bool) bool {
	if a.currentLoad < shedStartLoad {
		return false
	}
	step := 2 * a.classRanks[min(max(class, 0), len(a.classRanks)-1)]
	if !retried {
		step++
	}
	return a.currentLoad >= shedStartLoad+(shedAllLoad-shedStartLoad)*float64(step)/float64(2*a.rankCount)
}

// Weight is what load balancers should be told of this director, 1 to 100: less as its own load nears its limits,
// and while its media nodes have no capacity.
func (a *Admission) Weight() int {
	weight := 1 - math.Min(math.Max(a.currentLoad-0.5, 0)/0.5, 1)
	if a.triedCount >= 1 {
		weight *= 1 - 0.5*a.refusedCount/a.triedCount
	}
	return max(int(math.Round(weight*100)), 1)
}
