package quality

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Finding says that a group's sessions fall together, and on what evidence.
type Finding struct {
	GroupKey
	Since, At                 float64
	Ended                     bool // it has ended
	Sessions, Short           int  // of the group
	OtherSessions, OtherShort int  // of the others
	Load                      float64
	Score                     float64 // gain of log-likelihood over "all are alike"
}

// String is the evidence in words.
func (f Finding) String() string {
	if f.Ended {
		return fmt.Sprintf("%s %d is over after %.1f s", f.Dim, f.ID, (f.At-f.Since)/1000)
	}
	return fmt.Sprintf("%s %d: %d of %d sessions short, elsewhere %d of %d; asked for about %.2f of what it gives", f.Dim, f.ID,
		f.Short, f.Sessions, f.OtherShort, f.OtherSessions, f.Load)
}

type tally struct {
	n, short int
	share    float64        // sum over the short ones
	parts    map[uint64]int // short ones by box, of a rack; by rack, of what is no place
}

// spread tells whether a group is short in more than one of its parts. Where all that is short of a title sits
// on one box, the box is what is known to be short: a title is only blamed where it falls on two racks, a rack
// where two of its boxes do.
func (t *tally) spread(d Dimension) bool {
	if d == ByNode {
		return true
	}
	n := 0
	for _, short := range t.parts {
		if short >= 2 {
			n++
		}
	}
	return n >= 2
}

// look compares groups by what their sessions last saw. The group that explains most of what is short is taken
// first; its sessions are set aside, and the rest is looked at again. So a rack that is squeezed is not also a
// dozen bad titles, and a bad box is not a bad rack: the wider group would have to be short as a whole.
func (q *Tracker) look() []Finding {
	type one struct {
		keys  [dims]GroupKey
		short bool
		share float64
	}
	var all []one
	ids := make([]uint64, 0, len(q.sessions))
	for id := range q.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := q.sessions[id]
		if s.at == 0 || s.ended > 0 || q.now-s.at > 2*q.cfg.WindowMs {
			continue
		}
		p := s.spanAt(s.at)
		if last := &s.spans[len(s.spans)-1]; p == nil || last.Node != p.Node {
			continue // it has moved since: what it saw is of another place
		}
		all = append(all, one{s.keys(p.Place), s.short < q.cfg.ShortfallBelow, s.short})
	}
	hold := map[GroupKey]Finding{}
	for range 4 { // more causes at a time than this are one cause that has no group
		groups, whole := map[GroupKey]tally{}, tally{}
		for _, o := range all {
			whole.n++
			if o.short {
				whole.short++
			}
			for _, k := range o.keys {
				t := groups[k]
				t.n++
				if o.short {
					t.short++
					t.share += math.Max(o.share, 0.05)
					if t.parts == nil {
						t.parts = map[uint64]int{}
					}
					part := o.keys[ByRack].ID
					if k.Dim == ByRack {
						part = o.keys[ByNode].ID
					}
					t.parts[part]++
				}
				groups[k] = t
			}
		}
		best, ok := q.best(groups, whole)
		if !ok {
			break
		}
		hold[best.GroupKey] = best
		all = slices.DeleteFunc(all, func(o one) bool { return o.keys[best.Dim] == best.GroupKey })
	}
	return q.changes(hold)
}

// best is the group with the largest gain that passes the bounds: most of it is short, most of the rest is not.
func (q *Tracker) best(groups map[GroupKey]tally, whole tally) (Finding, bool) {
	var best Finding
	found := false
	for k, t := range groups {
		rest := tally{n: whole.n - t.n, short: whole.short - t.short}
		if t.n < q.cfg.MinSessions || rest.n < q.cfg.MinSessions || 2*t.short < t.n || 4*rest.short > rest.n ||
			!t.spread(k.Dim) {
			continue
		}
		f := Finding{GroupKey: k, At: q.now, Sessions: t.n, Short: t.short, OtherSessions: rest.n, OtherShort: rest.short,
			Score: gain(t, rest, whole), Load: float64(t.short) / t.share}
		better := f.Score > best.Score+1e-9
		if math.Abs(f.Score-best.Score) <= 1e-9 { // the same sessions by two names: the nearest cause, always the same one
			better = f.Dim < best.Dim || f.Dim == best.Dim && f.ID < best.ID
		}
		if f.Score >= q.cfg.MinScore && (!found || better) {
			best, found = f, true
		}
	}
	return best, found
}

// gain is the log-likelihood ratio (G-test) of two rates of shortness against one.
func gain(a, b, both tally) float64 { return fit(a) + fit(b) - fit(both) }

func fit(t tally) float64 {
	if t.n == 0 || t.short == 0 || t.short == t.n {
		return 0
	}
	p := float64(t.short) / float64(t.n)
	return float64(t.short)*math.Log(p) + float64(t.n-t.short)*math.Log(1-p)
}

// holding is a cause that is not confirmed yet. A look in which it does not hold takes back what one in which it does
// gives, no more: a rack that is short by a little wavers about the bound, and must not begin anew each time.
type holding struct {
	since float64
	left  float64 // ms for which it must still hold
}

// changes tells findings that began, and those that have been gone for two windows.
func (q *Tracker) changes(hold map[GroupKey]Finding) (out []Finding) {
	for k, f := range hold {
		if old := q.found[k]; old != nil {
			f.Since = old.Since
			*old = f
			continue
		}
		// One box of a squeezed rack may tell first: a cause is named once it has explained most for a while.
		h := q.held[k]
		if h == nil {
			h = &holding{since: q.now, left: q.cfg.ConfirmMs + q.cfg.DetectIntervalMs}
			q.held[k] = h
		}
		f.Since = h.since
		if h.left -= q.cfg.DetectIntervalMs; h.left > 0 {
			continue
		}
		delete(q.held, k)
		q.found[k] = &f
		out = append(out, f)
	}
	for k, h := range q.held {
		if _, ok := hold[k]; ok {
			continue
		}
		if h.left += q.cfg.DetectIntervalMs; h.left > q.cfg.ConfirmMs {
			delete(q.held, k)
		}
	}
	for k, f := range q.found {
		if _, ok := hold[k]; !ok && q.now-f.At > 2*q.cfg.WindowMs {
			f.Ended = true
			f.At = q.now
			out = append(out, *f)
			delete(q.found, k)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Dim, b.Dim), cmp.Compare(a.ID, b.ID)) })
	return out
}

// Findings are those in force, in order.
func (q *Tracker) Findings() []Finding {
	var out []Finding
	for _, f := range q.found {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Dim, b.Dim), cmp.Compare(a.ID, b.ID)) })
	return out
}
