package limits

import (
	"math"

	"headmill"
)

// Capacity is an amount of capacity in a cell, available or held.
type Capacity struct {
	RateKB  float64 // kB/s
	Streams float64 // concurrent sessions
}

// add adds other, multiplied by factor.
func (c *Capacity) add(other Capacity, factor float64) {
	c.RateKB += other.RateKB * factor
	c.Streams += other.Streams * factor
}

// dominantShare is the larger of c's parts of total: that of the rate and that of the streams.
func (c Capacity) dominantShare(total Capacity) float64 {
	share := 0.0
	if total.RateKB > 0 {
		share = c.RateKB / total.RateKB
	}
	if total.Streams > 0 {
		share = math.Max(share, c.Streams/total.Streams)
	}
	return share
}

// CapacityEstimator works out one director's part of the capacity of each cell: of the links, of what the uplinks of
// the racks leave to them, both as far as set-ups may fill them, and of the streams.
type CapacityEstimator struct {
	Config  headmill.Config // that of the decision module
	maxSize float64         // streams, or media nodes, of the largest node list so far, which Config.TotalLinkKB covers
}

// Estimate returns the capacity by cell; nodes are those of the node list.
func (e *CapacityEstimator) Estimate(nodes []headmill.Node) []Capacity {
	cfg, out := &e.Config, make([]Capacity, e.Config.Cells)
	fronts := float64(max(cfg.Fronts, 1))
	streams := func(node *headmill.Node) float64 {
		if node.Kind < len(cfg.StreamsByKind) {
			return float64(cfg.StreamsByKind[node.Kind])
		}
		return 0
	}
	size := func(node *headmill.Node) float64 {
		if n := streams(node); n > 0 {
			return n
		}
		return 1
	}
	totalSize := 0.0
	for i := range nodes {
		totalSize += size(&nodes[i])
	}
	e.maxSize = math.Max(e.maxSize, totalSize) // the first list may lack most media nodes, or all
	linkKBPerSize := cfg.TotalLinkKB / math.Max(e.maxSize, 1)
	links := make([]float64, len(nodes))
	rackLinks := make([]float64, max(cfg.Racks, 1))
	for i := range nodes {
		node := &nodes[i]
		if links[i] = size(node) * linkKBPerSize; cfg.WeightsKnown && cfg.LinkKBPerWeight > 0 {
			links[i] = node.Weight * cfg.LinkKBPerWeight
		}
		if node.Health == headmill.HealthReady {
			rackLinks[node.Cell%len(rackLinks)] += links[i]
		}
	}
	for i := range nodes {
		node := &nodes[i]
		if node.Health != headmill.HealthReady || len(out) == 0 {
			continue
		}
		rateKB := links[i]
		if rackKB := rackLinks[node.Cell%len(rackLinks)]; cfg.UplinkKB > 0 && rackKB > cfg.UplinkKB {
			rateKB *= cfg.UplinkKB / rackKB
		}
		out[node.Cell%len(out)].add(Capacity{rateKB * headmill.MaxSetupLoad, streams(node)}, 1/fronts)
	}
	return out
}
