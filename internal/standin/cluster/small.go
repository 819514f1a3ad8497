package cluster

import (
	"fmt"

	"headmill/internal/config"
	"headmill/internal/standin/medianode"
)

// SmallSpec returns the specification of a cluster for loopback. Its rates are a small part of real ones, so that one
// machine can carry the whole cluster. durationMs is the duration of the shortest titles.
func SmallSpec(directors, nodes, titles int, durationMs float64) Spec {
	settings := config.Default()
	settings.Ladder = config.Ladder{RateKB: []float64{6, 14, 28, 56}, Worth: []float64{0.2, 0.5, 0.76, 1},
		Width: []int{320, 640, 960, 1280}, SegmentMs: 1000, RungChangeCostS: 0.7}
	settings.Classes = []config.Class{
		{Name: "bonus-clip", TargetMs: 1000, GiveUpMs: 3000, Semantics: "once", Value: 3, RateScale: 1,
			MaxRung: 3, MaxPerTitle: 90},
		{Name: "howto-clip", TargetMs: 800, GiveUpMs: 3000, Semantics: "repeatable", Value: 1, RateScale: 0.7, MaxRung: 3},
		{Name: "plan-guide", TargetMs: 1500, GiveUpMs: 5000, Semantics: "repeatable", Value: 1, RateScale: 1, MaxRung: 3},
	}
	racks := max(nodes/4, 1)
	const linkKB, streams = 1500.0, 60
	uplinkKB := linkKB * float64(nodes) / float64(racks) * 0.75
	settings.Fleet = config.Fleet{Cells: nodes, Racks: racks, StreamsByKind: []int{streams},
		TotalLinkKB: linkKB * float64(nodes), UplinkKB: uplinkKB,
		ReportIntervalMs: 2000, ReportDelayMs: 600, WarmUpMs: 6000, ColdRateFraction: 0.4}
	names := []string{"payday-bonus", "how-to-top-up", "plan-basics", "sponsor-bonus", "how-to-share", "plan-family"}
	for i := range titles {
		name := names[i%len(names)]
		if i >= len(names) {
			name = fmt.Sprintf("%s-%d", name, i/len(names)+1)
		}
		settings.Titles = append(settings.Titles, config.Title{Name: name, Class: settings.Classes[i%3].Name,
			FirstCell: i * 2 % nodes, Copies: min(4, nodes), DurationMs: durationMs * []float64{1.3, 1, 1.3}[i%3]})
	}
	scale := map[string]float64{}
	for _, class := range settings.Classes {
		scale[class.Name] = class.RateScale
	}
	return Spec{Directors: directors, Nodes: nodes, Racks: racks, Base: settings,
		DiscoveryStateDelayMs: 800, DiscoveryStartDelayMs: 200, HeartbeatTimeoutMs: 1500,
		NodeConfig: medianode.Config{RateKB: settings.Ladder.RateKB, ClassScale: scale, LinkKB: linkKB, UplinkKB: uplinkKB,
			MaxSessions: streams, Cores: 4, SetupWorkMs: 25, SegmentMs: 1000, IdleTimeoutMs: 5000, OrphanTimeoutMs: 3000, LoadReportIntervalMs: 2000,
			LoadReportDelayMs: 600, WarmUpMs: 6000, ColdRateFraction: 0.4, OverloadFactor: 2, OverloadWindowMs: 1000}}
}
