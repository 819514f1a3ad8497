package quality

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// sketchAccuracy is the relative error of the sketches' quantiles.
const sketchAccuracy = 0.02

// Group aggregates the reports of one group in one window. Groups are added up with Merge.
type Group struct {
	Reports        int64
	Starts         int64
	StallMs        float64
	StalledReports int64   // reports with a stall
	QualitySum     float64 // sum of the reports' quality
	QualityLost    float64 // sum of (quality of the granted rung - quality of the report), plus start-up costs
	Switches       int64   // changes of the rung played
	startupSketch  *ddsketch.DDSketch
	shareSketch    *ddsketch.DDSketch // of the rate received over the rate needed, which can exceed 1
}

// Window aggregates the reports of an interval of event time, in total and by group.
type Window struct {
	StartAt          float64
	Total            Group
	Groups           map[GroupKey]*Group
	UngroupedReports int64 // times that a group left out a report or start-up beyond Config.MaxGroups
}

func newWindow(from float64) *Window { return &Window{StartAt: from, Groups: map[GroupKey]*Group{}} }

// addToSketch adds a value to a sketch, which is created if needed.
func addToSketch(sketch **ddsketch.DDSketch, value float64) {
	if *sketch == nil {
		*sketch, _ = ddsketch.NewDefaultDDSketch(sketchAccuracy) // fails only for an accuracy outside of (0, 1)
	}
	(*sketch).Add(value)
}

// quantile returns the p-quantile of a sketch; NaN if it is empty.
func quantile(sketch *ddsketch.DDSketch, p float64) float64 {
	if sketch == nil {
		return math.NaN()
	}
	value, err := sketch.GetValueAtQuantile(p)
	if err != nil {
		return math.NaN()
	}
	return value
}

// StartupQuantile returns the p-quantile of the start-up time in ms; NaN without any.
func (g *Group) StartupQuantile(p float64) float64 { return quantile(g.startupSketch, p) }

// ShareQuantile returns the p-quantile of the rate received over the rate needed; NaN without any.
func (g *Group) ShareQuantile(p float64) float64 { return quantile(g.shareSketch, p) }

// MeanQuality returns the mean quality of a report; NaN without any.
func (g *Group) MeanQuality() float64 {
	if g.Reports == 0 {
		return math.NaN()
	}
	return g.QualitySum / float64(g.Reports)
}

// Merge adds another part of the same group, of another window or of another director.
func (g *Group) Merge(other *Group) {
	g.Reports += other.Reports
	g.Starts += other.Starts
	g.StallMs += other.StallMs
	g.StalledReports += other.StalledReports
	g.QualitySum += other.QualitySum
	g.QualityLost += other.QualityLost
	g.Switches += other.Switches
	for _, pair := range []struct{ to, from **ddsketch.DDSketch }{
		{&g.startupSketch, &other.startupSketch}, {&g.shareSketch, &other.shareSketch}} {
		switch {
		case *pair.from == nil:
		case *pair.to == nil:
			*pair.to = (*pair.from).Copy()
		default:
			(*pair.to).MergeWith(*pair.from) // fails only for sketches of different accuracies
		}
	}
}

// Merge adds another director's window of the same time.
func (w *Window) Merge(other *Window) {
	w.Total.Merge(&other.Total)
	w.UngroupedReports += other.UngroupedReports
	for key, group := range other.Groups {
		if w.Groups[key] == nil {
			w.Groups[key] = &Group{}
		}
		w.Groups[key].Merge(group)
	}
}

// Keys returns the groups of a dimension, by ID.
func (w *Window) Keys(d Dimension) []GroupKey {
	var out []GroupKey
	for key := range w.Groups {
		if key.Dim == d {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b GroupKey) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// groupKeys returns the groups of a session at a place, indexed by dimension.
func (s *session) groupKeys(place Place) [dimensionCount]GroupKey {
	return [dimensionCount]GroupKey{{ByRack, place.Rack}, {ByNode, place.Node}, {ByTitle, s.title}, {ByClass, s.class},
		{ByTenant, s.tenant}, {ByPlayerFamily, s.playerFamily}}
}

// forEachGroup calls update for the total and for each group of a session. It creates missing groups up to MaxGroups.
func (w *Window) forEachGroup(t *Tracker, s *session, span *timelineSpan, update func(*Group)) {
	update(&w.Total)
	for _, key := range s.groupKeys(span.Place) {
		group := w.Groups[key]
		if group == nil {
			if t.config.MaxGroups > 0 && len(w.Groups) >= t.config.MaxGroups {
				w.UngroupedReports++
				continue
			}
			group = &Group{}
			w.Groups[key] = group
		}
		update(group)
	}
}

// recordStartup counts a session's start-up time and what it costs.
func (w *Window) recordStartup(t *Tracker, s *session, span *timelineSpan, startupMs float64) {
	w.forEachGroup(t, s, span, func(g *Group) {
		g.Starts++
		addToSketch(&g.startupSketch, startupMs)
		g.QualityLost += t.config.StartupCost * startupMs / 1000
	})
}

// recordReport counts one report in the groups of its place, and updates the session's last rung, share and times, on
// which findings rest. The report's quality follows the linear model that Config cites: the quality of the rung played,
// less the costs of a change of rung and of stalls. The quality lost is that of the granted rung less the report's.
func (w *Window) recordReport(t *Tracker, s *session, span *timelineSpan, report *PlayerReport, at float64) {
	rung := span.Rung
	if report.Rung >= 0 {
		rung = report.Rung
	}
	rungQuality := t.rungQuality(rung)
	reportQuality := rungQuality
	switched := s.lastRung >= 0 && s.lastRung != rung && at >= s.lastReportAt
	if switched {
		reportQuality -= t.config.SwitchCost * math.Abs(rungQuality-t.rungQuality(s.lastRung))
	}
	reportQuality -= t.config.StallCost * report.StallMs / 1000
	share := math.NaN()
	if required := requiredRateKB(s, span, report); report.ReceivedKB >= 0 && required > 0 {
		share = report.ReceivedKB / required
	}
	if at >= s.lastReportAt { // a report older than the last one says nothing of the present state
		s.lastReportAt, s.lastRung, s.lastRequiredKB = at, rung, report.RequiredKB
		stalled := report.StallMs > 0 || report.BufferEmpty
		if !math.IsNaN(share) || stalled {
			s.lastShare, s.lastShareAt = share, at
			// A session that stalls is short of rate, whatever rate it measured: its share is set below the limit.
			if stalled && !(share < t.config.ShortfallBelow) {
				s.lastShare = t.config.ShortfallBelow * 0.99
			}
		}
	}
	lost := math.Max(t.rungQuality(span.Rung)-reportQuality, 0)
	w.forEachGroup(t, s, span, func(g *Group) {
		g.Reports++
		g.QualitySum += reportQuality
		g.QualityLost += lost
		g.StallMs += report.StallMs
		if report.StallMs > 0 || report.BufferEmpty {
			g.StalledReports++
		}
		if switched {
			g.Switches++
		}
		if !math.IsNaN(share) {
			addToSketch(&g.shareSketch, math.Min(share, 4)) // a share above 4 is an outlier and counts as 4
		}
	})
}

// requiredRateKB is the rate in kB/s that a session needs: the granted rate, or the requested one (RequiredKB of a
// report) where the player requested less. The received rate was measured on the previous media object, so after a rise
// of the rung the smaller of the last two requested rates counts; otherwise every rise would look like an overload.
func requiredRateKB(s *session, span *timelineSpan, report *PlayerReport) float64 {
	required := span.RateKB
	for _, requested := range []float64{report.RequiredKB, s.lastRequiredKB} {
		if requested > 0 {
			required = math.Min(required, requested)
		}
	}
	return required
}

// rungQuality returns the quality of a rung, or of the nearest one that Config.RungQuality has; 0 if it has none.
func (t *Tracker) rungQuality(rung int) float64 {
	if len(t.config.RungQuality) == 0 {
		return 0
	}
	return t.config.RungQuality[min(max(rung, 0), len(t.config.RungQuality)-1)]
}

// Encode serializes the sketches for another process to merge; nil for an empty sketch.
func (g *Group) Encode() (startup, share []byte) {
	if g.startupSketch != nil {
		g.startupSketch.Encode(&startup, false)
	}
	if g.shareSketch != nil {
		g.shareSketch.Encode(&share, false)
	}
	return startup, share
}

// Decode reads what Encode wrote into a group without sketches.
func (g *Group) Decode(startup, share []byte) error {
	for _, part := range []struct {
		to   **ddsketch.DDSketch
		from []byte
	}{{&g.startupSketch, startup}, {&g.shareSketch, share}} {
		if len(part.from) == 0 {
			continue
		}
		sketch, err := ddsketch.DecodeDDSketch(part.from, store.DefaultProvider, nil)
		if err != nil {
			return fmt.Errorf("quality: decoding sketch: %w", err)
		}
		*part.to = sketch
	}
	return nil
}
