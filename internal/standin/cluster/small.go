package cluster

import (
	"fmt"

	"headmill/internal/config"
	"headmill/internal/standin/medianode"
)

// Small is a fleet for loopback: rates are a small part of real ones, so that one machine can carry all.
func Small(directors, boxes, titles int, durationMs float64) Spec {
	s := config.Default()
	s.Ladder = config.Ladder{RateKB: []float64{6, 14, 28, 56}, Worth: []float64{0.2, 0.5, 0.76, 1},
		Width: []int{320, 640, 960, 1280}, SegmentMs: 1000, RungChangeCostS: 0.7}
	s.Classes = []config.Class{
		{Name: "bonus-clip", TargetMs: 1000, GiveUpMs: 3000, Semantics: "once", Value: 3, RateScale: 1, MaxRung: 3, MaxPerTitle: 90},
		{Name: "howto-clip", TargetMs: 800, GiveUpMs: 3000, Semantics: "repeatable", Value: 1, RateScale: 0.7, MaxRung: 3},
		{Name: "plan-guide", TargetMs: 1500, GiveUpMs: 5000, Semantics: "repeatable", Value: 1, RateScale: 1, MaxRung: 3},
	}
	racks := max(boxes/4, 1)
	const link, places = 1500.0, 60
	uplink := link * float64(boxes) / float64(racks) * 0.75
	s.Fleet = config.Fleet{Cells: boxes, Racks: racks, StreamsByKind: []int{places}, TotalLinkKB: link * float64(boxes),
		UplinkKB: uplink, ReportIntervalMs: 2000, ReportDelayMs: 600, WarmUpMs: 6000, ColdRateFraction: 0.4}
	names := []string{"payday-bonus", "how-to-top-up", "plan-basics", "sponsor-bonus", "how-to-share", "plan-family"}
	for i := range titles {
		name := names[i%len(names)]
		if i >= len(names) {
			name = fmt.Sprintf("%s-%d", name, i/len(names)+1)
		}
		s.Titles = append(s.Titles, config.Title{Name: name, Class: s.Classes[i%3].Name, FirstCell: i * 2 % boxes,
			Copies: min(4, boxes), DurationMs: durationMs * []float64{1.3, 1, 1.3}[i%3]})
	}
	scale := map[string]float64{}
	for _, c := range s.Classes {
		scale[c.Name] = c.RateScale
	}
	return Spec{Directors: directors, Boxes: boxes, Racks: racks, Base: s, ListNoticeMs: 800, ListAddMs: 200,
		ListSilentMs: 1500, Box: medianode.Config{RateKB: s.Ladder.RateKB, Scale: scale, LinkKB: link, UplinkKB: uplink,
			Places: places, Cores: 4, WorkMs: 25, SegmentMs: 1000, IdleMs: 5000, OrphanMs: 3000, TellMs: 2000,
			LateMs: 600, WarmMs: 6000, ColdFrom: 0.4, Factor: 2, TipMs: 1000}}
}
