package limits

import "math"

// brand is one tenant's bucket, as in hierarchical token buckets (Devera's HTB): it fills at the brand's part
// of the placements that are measured, and what is let through beyond it is on loan (Gate.loan). What a brand
// leaves unused is room that loans find; an owner who comes back finds its bucket full, and loans give way.
type brand struct {
	Brand
	part   float64
	tokens float64
	most   float64 // tokens of the cap, where there is one
	loans  float64 // tokens beyond its own part, and for repeated tries
	titles map[uint64]*title
	swept  float64
}

// title counts what a title of the brand was let through lately, and whether it wanted more.
type title struct {
	used, at float64
	unmet    float64 // when it was last refused; 0: never
}

func (b *brand) depth(whole float64) float64 { return math.Max(whole*b.part*depthMs, 1) }

// start fills a bucket for its first use.
func (b *brand) start(whole float64) {
	b.tokens, b.loans = b.depth(whole)/2, 0
	b.most = math.Max(whole*b.Most*depthMs, 1)
}

// fill adds the time's tokens.
func (b *brand) fill(ms, whole float64) {
	b.tokens = math.Min(b.tokens+whole*b.part*ms, b.depth(whole))
	if b.Most > 0 {
		b.most = math.Min(b.most+whole*b.Most*ms, math.Max(whole*b.Most*depthMs, 1))
	}
}

// borrow adds the brand's part of the loans and returns what it does not use, for all.
func (b *brand) borrow(ms, loan float64) float64 {
	b.loans += loan * b.part * ms
	over := b.loans - math.Max(loan*b.part*slotMs, 1)
	if over <= 0 {
		return 0
	}
	b.loans -= over
	return over
}

// capped tells whether the brand has had the largest part that it may have.
func (b *brand) capped() bool { return b.Most > 0 && b.most < 1 }

// spend uses a token of the brand's own, or one on loan.
func (b *brand) spend(from *float64) {
	*from--
	if b.Most > 0 {
		b.most--
	}
}

// title finds a title's counts; those not seen for a while are forgotten.
func (b *brand) title(id uint64, now float64) *title {
	if now-b.swept > depthMs {
		b.swept = now
		for k, t := range b.titles {
			if now-t.at > 4*depthMs {
				delete(b.titles, k)
			}
		}
	}
	t := b.titles[id]
	if t == nil {
		t = &title{at: now}
		b.titles[id] = t
	}
	t.used *= math.Exp(-(now - t.at) / depthMs)
	t.at = now
	return t
}

func (b *brand) unmet(id uint64, now float64) { b.title(id, now).unmet = now }

// starves tells whether a title is ahead of its equal part of the brand while another one was refused lately.
func (b *brand) starves(t *title, now float64) bool {
	sum, n, waits := 0.0, 0, false
	for _, o := range b.titles {
		used := o.used * math.Exp(-(now-o.at)/depthMs)
		lately := o.unmet > 0 && now-o.unmet < depthMs
		if used > 0.5 || lately {
			sum += used
			n++
		}
		waits = waits || o != t && lately && used < t.used
	}
	return waits && n > 1 && t.used > sum/float64(n)+titleSlack
}
