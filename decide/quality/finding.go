package quality

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Finding names a group whose sessions are short of rate together, with the evidence. A session is short of rate, or
// just short, if it receives less than Config.ShortfallBelow of the rate that it needs, or if it stalls.
type Finding struct {
	GroupKey
	Since, At                 float64 // when it was first and last detected; At is the time of the end once Ended
	Ended                     bool
	Sessions, Short           int     // in the group
	OtherSessions, OtherShort int     // outside of the group
	Load                      float64 // rate needed over rate received, of the group's short sessions
	Score                     float64 // log-likelihood gain over the hypothesis that all sessions are alike
}

// String returns the evidence as text. The text is external. Load stands there as what the group is asked for: the
// rate that its short sessions need is Load times the rate that they receive.
func (f Finding) String() string {
	if f.Ended {
		return fmt.Sprintf("%s %d is over after %.1f s", f.Dim, f.ID, (f.At-f.Since)/1000)
	}
	return fmt.Sprintf("%s %d: %d of %d sessions short, elsewhere %d of %d; asked for about %.2f of what it gives",
		f.Dim, f.ID, f.Short, f.Sessions, f.OtherShort, f.OtherSessions, f.Load)
}

// groupTally counts the sessions of a group in one detection run.
type groupTally struct {
	sessions, short int            // short: those that are short of rate
	shareSum        float64        // sum of the short sessions' shares
	shortByPart     map[uint64]int // short sessions of a rack by media node, of every other group by rack
}

// spansSeveralParts tells whether a group is short in more than one of its parts: whether two parts have two short
// sessions each. The parts of a rack are its media nodes, those of every other group are racks; a media node has no
// parts. If all short sessions of a title are on one media node, the evidence points to the node and not to the title.
func (tally *groupTally) spansSeveralParts(d Dimension) bool {
	if d == ByNode {
		return true
	}
	parts := 0
	for _, short := range tally.shortByPart {
		if short >= 2 {
			parts++
		}
	}
	return parts >= 2
}

// maxFindingsPerRun is the largest number of findings of one detection run: more simultaneous causes than this are one
// cause that no group describes.
const maxFindingsPerRun = 4

// detect compares groups by the last report of each of their sessions. The group that explains most of the shortfall
// is taken first; its sessions are set aside, and the rest is examined again. So an overloaded rack is not also
// reported as a dozen faulty titles, nor a faulty media node as its rack, which would have to be short as a whole.
func (t *Tracker) detect() []Finding {
	type sample struct {
		keys  [dimensionCount]GroupKey
		short bool
		share float64
	}
	var samples []sample
	ids := make([]uint64, 0, len(t.sessions))
	for id := range t.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := t.sessions[id]
		// Sessions that have ended, or have not reported for two windows, say nothing of the present.
		if s.lastShareAt == 0 || s.endedAt > 0 || t.now-s.lastShareAt > 2*t.config.WindowMs {
			continue
		}
		span := s.spanAt(s.lastShareAt)
		if last := &s.spans[len(s.spans)-1]; span == nil || last.Node != span.Node {
			continue // it has moved since, so its last report describes another place
		}
		samples = append(samples, sample{s.groupKeys(span.Place), s.lastShare < t.config.ShortfallBelow, s.lastShare})
	}
	detected := map[GroupKey]Finding{}
	for range maxFindingsPerRun {
		groups, total := map[GroupKey]groupTally{}, groupTally{}
		for _, smp := range samples {
			total.sessions++
			if smp.short {
				total.short++
			}
			for _, key := range smp.keys {
				tally := groups[key]
				tally.sessions++
				if smp.short {
					tally.short++
					tally.shareSum += math.Max(smp.share, 0.05) // bounds Load where next to nothing is received
					if tally.shortByPart == nil {
						tally.shortByPart = map[uint64]int{}
					}
					part := smp.keys[ByRack].ID
					if key.Dim == ByRack {
						part = smp.keys[ByNode].ID
					}
					tally.shortByPart[part]++
				}
				groups[key] = tally
			}
		}
		best, found := t.bestFinding(groups, total)
		if !found {
			break
		}
		detected[best.GroupKey] = best
		samples = slices.DeleteFunc(samples, func(smp sample) bool { return smp.keys[best.Dim] == best.GroupKey })
	}
	return t.updateFindings(detected)
}

// bestFinding returns the group with the largest gain among those that meet the bounds: the group and the rest have
// MinSessions each, at least half of the group is short, at most a quarter of the rest is, and the shortfall is in
// several parts of the group.
func (t *Tracker) bestFinding(groups map[GroupKey]groupTally, total groupTally) (Finding, bool) {
	var best Finding
	found := false
	for key, tally := range groups {
		rest := groupTally{sessions: total.sessions - tally.sessions, short: total.short - tally.short}
		if tally.sessions < t.config.MinSessions || rest.sessions < t.config.MinSessions ||
			2*tally.short < tally.sessions || 4*rest.short > rest.sessions || !tally.spansSeveralParts(key.Dim) {
			continue
		}
		finding := Finding{GroupKey: key, At: t.now, Sessions: tally.sessions, Short: tally.short,
			OtherSessions: rest.sessions, OtherShort: rest.short,
			Score: logLikelihoodGain(tally, rest, total), Load: float64(tally.short) / tally.shareSum}
		better := finding.Score > best.Score+1e-9 // scores that differ by rounding only are equal
		// Equal scores are the same sessions grouped in two ways: the order of dimensions and IDs decides, so that
		// every run names the same group.
		if math.Abs(finding.Score-best.Score) <= 1e-9 {
			better = finding.Dim < best.Dim || finding.Dim == best.Dim && finding.ID < best.ID
		}
		if finding.Score >= t.config.MinScore && (!found || better) {
			best, found = finding, true
		}
	}
	return best, found
}

// logLikelihoodGain is the log-likelihood ratio (G-test) of two separate rates of short sessions, in a group and in
// the rest, against one common rate.
func logLikelihoodGain(group, rest, total groupTally) float64 {
	return logLikelihood(group) + logLikelihood(rest) - logLikelihood(total)
}

// logLikelihood is the log-likelihood of a tally under its own rate of short sessions.
func logLikelihood(tally groupTally) float64 {
	if tally.sessions == 0 || tally.short == 0 || tally.short == tally.sessions {
		return 0
	}
	p := float64(tally.short) / float64(tally.sessions)
	return float64(tally.short)*math.Log(p) + float64(tally.sessions-tally.short)*math.Log(1-p)
}

// candidate is a cause that is not confirmed yet. A run that misses it undoes the progress of one run that detected
// it, and no more: a rack that is only a little short is detected in some runs and missed in others, and its
// confirmation must not restart each time.
type candidate struct {
	since       float64
	remainingMs float64 // time for which it must still be detected
}

// updateFindings merges the result of a detection run into the candidates and the active findings. It returns the
// findings that began, and those that ended because they were not detected for two windows.
func (t *Tracker) updateFindings(detected map[GroupKey]Finding) (changed []Finding) {
	for key, finding := range detected {
		if active := t.activeFindings[key]; active != nil {
			finding.Since = active.Since
			*active = finding
			continue
		}
		// The reports of one media node of an overloaded rack may arrive first: a cause is named only once it has
		// explained most of the shortfall for ConfirmMs.
		c := t.candidates[key]
		if c == nil {
			c = &candidate{since: t.now, remainingMs: t.config.ConfirmMs + t.config.DetectIntervalMs}
			t.candidates[key] = c
		}
		finding.Since = c.since
		if c.remainingMs -= t.config.DetectIntervalMs; c.remainingMs > 0 {
			continue
		}
		delete(t.candidates, key)
		t.activeFindings[key] = &finding
		changed = append(changed, finding)
	}
	for key, c := range t.candidates {
		if _, ok := detected[key]; ok {
			continue
		}
		if c.remainingMs += t.config.DetectIntervalMs; c.remainingMs > t.config.ConfirmMs {
			delete(t.candidates, key)
		}
	}
	for key, finding := range t.activeFindings {
		if _, ok := detected[key]; !ok && t.now-finding.At > 2*t.config.WindowMs {
			finding.Ended = true
			finding.At = t.now
			changed = append(changed, *finding)
			delete(t.activeFindings, key)
		}
	}
	slices.SortFunc(changed, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Dim, b.Dim), cmp.Compare(a.ID, b.ID)) })
	return changed
}

// Findings returns the active findings, by dimension and ID.
func (t *Tracker) Findings() []Finding {
	var out []Finding
	for _, finding := range t.activeFindings {
		out = append(out, *finding)
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Dim, b.Dim), cmp.Compare(a.ID, b.ID)) })
	return out
}
