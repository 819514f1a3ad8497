package limits

import "math"

// brand is one tenant: what it holds in each cell, and how its titles fare.
type brand struct {
	Tenant
	part    float64
	held    []Capacity // by cell
	wants   rate       // first tries a ms
	fit     float64    // part of its viewers' full rates at which what it wants would fit into its share
	asked   float64    // first tries since it was last moved, and those refused for want of rate
	missed  float64
	holding int // sessions
	titles  map[uint64]*title
	swept   float64
}

// title counts what a title of the brand was let through lately, and whether it wanted more.
type title struct {
	used, at float64
	unmet    float64 // when it was last refused; 0: never
}

// refit moves fit once a slot: down by at most a fifth, as far as first tries were refused, and slowly up again
// where none were. It never falls under least.
func (b *brand) refit(least float64) {
	if b.missed > 0 {
		b.fit = math.Max(b.fit*(1-fitDown*b.missed/b.asked), least)
	} else {
		b.fit = math.Min(b.fit*fitUp, 1)
	}
	b.asked, b.missed = 0, 0
}

// title finds a title's counts; those not seen for a while are forgotten.
func (b *brand) title(id uint64, now float64) *title {
	if now-b.swept > titleMs {
		b.swept = now
		for k, t := range b.titles {
			if now-t.at > 4*titleMs {
				delete(b.titles, k)
			}
		}
	}
	t := b.titles[id]
	if t == nil {
		t = &title{at: now}
		b.titles[id] = t
	}
	t.used *= math.Exp(-(now - t.at) / titleMs)
	t.at = now
	return t
}

func (b *brand) unmet(id uint64, now float64) { b.title(id, now).unmet = now }

// starves tells whether a title is ahead of its equal part of the brand while another one was refused lately.
func (b *brand) starves(t *title, now float64) bool {
	sum, n, waits := 0.0, 0, false
	for _, o := range b.titles {
		used := o.used * math.Exp(-(now-o.at)/titleMs)
		lately := o.unmet > 0 && now-o.unmet < titleMs
		if used > 0.5 || lately {
			sum += used
			n++
		}
		waits = waits || o != t && lately && used < t.used
	}
	return waits && n > 1 && t.used > sum/float64(n)+titleSlack
}
