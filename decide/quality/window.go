package quality

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// accuracy is the relative error of the sketches' quantiles.
const accuracy = 0.02

// Group is what is known of one group in one window. Two groups add up with Merge.
type Group struct {
	Reports  int64
	Starts   int64
	StallMs  float64
	Stalled  int64   // reports with a stall
	Score    float64 // sum of the reports' quality
	Lost     float64 // sum of what was missing to the best that was granted
	Switches int64
	startUp  *ddsketch.DDSketch
	share    *ddsketch.DDSketch
}

// Window is a span of event time.
type Window struct {
	From             float64
	Total            Group
	Groups           map[GroupKey]*Group
	UngroupedReports int64 // reports of groups beyond the bound: in Whole only
}

func newWindow(from float64) *Window { return &Window{From: from, Groups: map[GroupKey]*Group{}} }

func add(s **ddsketch.DDSketch, v float64) {
	if *s == nil {
		*s, _ = ddsketch.NewDefaultDDSketch(accuracy) // a constant within its range: it can't fail
	}
	(*s).Add(v)
}

func quantile(s *ddsketch.DDSketch, p float64) float64 {
	if s == nil {
		return math.NaN()
	}
	v, err := s.GetValueAtQuantile(p)
	if err != nil {
		return math.NaN()
	}
	return v
}

// StartUp is a quantile of the start-up time, ms; NaN without any.
func (g *Group) StartUp(p float64) float64 { return quantile(g.startUp, p) }

// Share is a quantile of the rate got over the rate granted; NaN without any.
func (g *Group) Share(p float64) float64 { return quantile(g.share, p) }

// Mean is the mean quality of a report; NaN without any.
func (g *Group) Mean() float64 {
	if g.Reports == 0 {
		return math.NaN()
	}
	return g.Score / float64(g.Reports)
}

// Merge adds another director's part.
func (g *Group) Merge(o *Group) {
	g.Reports += o.Reports
	g.Starts += o.Starts
	g.StallMs += o.StallMs
	g.Stalled += o.Stalled
	g.Score += o.Score
	g.Lost += o.Lost
	g.Switches += o.Switches
	for _, x := range []struct{ to, from **ddsketch.DDSketch }{{&g.startUp, &o.startUp}, {&g.share, &o.share}} {
		switch {
		case *x.from == nil:
		case *x.to == nil:
			*x.to = (*x.from).Copy()
		default:
			(*x.to).MergeWith(*x.from) // of one accuracy: it can't fail
		}
	}
}

// Merge adds another director's window of the same time.
func (w *Window) Merge(o *Window) {
	w.Total.Merge(&o.Total)
	w.UngroupedReports += o.UngroupedReports
	for k, g := range o.Groups {
		if w.Groups[k] == nil {
			w.Groups[k] = &Group{}
		}
		w.Groups[k].Merge(g)
	}
}

// Keys lists a dimension's groups in order.
func (w *Window) Keys(d Dimension) []GroupKey {
	var out []GroupKey
	for k := range w.Groups {
		if k.Dim == d {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b GroupKey) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// keys are the groups of a session at a place.
func (s *session) keys(p Place) [dims]GroupKey {
	return [dims]GroupKey{{ByRack, p.Rack}, {ByNode, p.Node}, {ByTitle, s.title}, {ByClass, s.class}, {ByTenant, s.brand}, {ByPlayerFamily, s.family}}
}

// each calls f for the whole and for each group of a session.
func (w *Window) each(q *Tracker, s *session, p *span, f func(*Group)) {
	f(&w.Total)
	for _, k := range s.keys(p.Place) {
		g := w.Groups[k]
		if g == nil {
			if q.cfg.MaxGroups > 0 && len(w.Groups) >= q.cfg.MaxGroups {
				w.UngroupedReports++
				continue
			}
			g = &Group{}
			w.Groups[k] = g
		}
		f(g)
	}
}

func (w *Window) start(q *Tracker, s *session, p *span, ms float64) {
	w.each(q, s, p, func(g *Group) {
		g.Starts++
		add(&g.startUp, ms)
		g.Lost += q.cfg.StartupCost * ms / 1000
	})
}

// report counts one report where the session was. Its quality is the linear model's: the rung's, less what
// changes of rung, stalls and a rate under the granted one cost.
func (w *Window) report(q *Tracker, s *session, p *span, r *PlayerReport, at float64) {
	rung := p.Rung
	if r.Rung >= 0 {
		rung = r.Rung
	}
	worth := q.worth(rung)
	score := worth
	switched := s.rung >= 0 && s.rung != rung && at >= s.last
	if switched {
		score -= q.cfg.SwitchCost * math.Abs(worth-q.worth(s.rung))
	}
	score -= q.cfg.StallCost * r.StallMs / 1000
	share := math.NaN()
	if need := needed(s, p, r); r.ReceivedKB >= 0 && need > 0 {
		share = r.ReceivedKB / need
	}
	if at >= s.last { // an older report says nothing of now
		s.last, s.rung, s.need = at, rung, r.RequiredKB
		stalled := r.StallMs > 0 || r.BufferEmpty
		if !math.IsNaN(share) || stalled {
			s.short, s.at = share, at
			if stalled && !(share < q.cfg.ShortfallBelow) { // it stalled whatever rate it measured
				s.short = q.cfg.ShortfallBelow * 0.99
			}
		}
	}
	lost := math.Max(q.worth(p.Rung)-score, 0)
	w.each(q, s, p, func(g *Group) {
		g.Reports++
		g.Score += score
		g.Lost += lost
		g.StallMs += r.StallMs
		if r.StallMs > 0 || r.BufferEmpty {
			g.Stalled++
		}
		if switched {
			g.Switches++
		}
		if !math.IsNaN(share) {
			add(&g.share, math.Min(share, 4))
		}
	})
}

// needed is the rate that a session must get not to be short: what was granted, or less where the player asked
// for less. What it measured is of the object before, so after a rise the smaller of the two requests counts:
// else every raised rung would look like a squeeze.
func needed(s *session, p *span, r *PlayerReport) float64 {
	need := p.RateKB
	for _, kb := range []float64{r.RequiredKB, s.need} {
		if kb > 0 {
			need = math.Min(need, kb)
		}
	}
	return need
}

func (q *Tracker) worth(rung int) float64 {
	if len(q.cfg.RungWorth) == 0 {
		return 0
	}
	return q.cfg.RungWorth[min(max(rung, 0), len(q.cfg.RungWorth)-1)]
}

// Encode writes the sketches, for another process to merge; nil where there is nothing.
func (g *Group) Encode() (startUp, share []byte) {
	if g.startUp != nil {
		g.startUp.Encode(&startUp, false)
	}
	if g.share != nil {
		g.share.Encode(&share, false)
	}
	return startUp, share
}

// Decode reads what Encode wrote into a group without sketches.
func (g *Group) Decode(startUp, share []byte) error {
	for _, x := range []struct {
		to   **ddsketch.DDSketch
		from []byte
	}{{&g.startUp, startUp}, {&g.share, share}} {
		if len(x.from) == 0 {
			continue
		}
		s, err := ddsketch.DecodeDDSketch(x.from, store.DefaultProvider, nil)
		if err != nil {
			return fmt.Errorf("quality: sketch: %w", err)
		}
		*x.to = s
	}
	return nil
}
