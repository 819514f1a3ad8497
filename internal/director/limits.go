package director

import (
	"runtime/metrics"

	"headmill/decide/limits"
	"headmill/internal/config"
	"headmill/internal/loop"
)

// setGate makes the gate and the accounts out of the settings.
func (d *Director) setGate() {
	c := &d.cfg.Gate
	g := limits.Config{MinRetryMs: min(c.MinRetryMs, d.cfg.Attempts.MaxRetryAfterMs), MaxRetryMs: d.cfg.Attempts.MaxRetryAfterMs,
		RememberMs: c.RememberMs, MaxWishes: c.Wishes, LagMs: c.LagMs, Queue: c.Queue, MemoryBytes: c.MemoryBytes, PassAll: c.PassAll,
		RateKB: d.cfg.Ladder.RateKB, Worth: d.cfg.Ladder.Worth, KnownMs: d.cfg.Fleet.TellMs/2 + d.cfg.Fleet.ToldLateMs,
		Others: 1 - 1/float64(max(len(d.cfg.Director.Directors), 1)), Brands: brands(d.cfg)}
	if !d.cfg.Attempts.RetryAfter {
		g.MaxRetryMs = 0
	}
	for i := range d.cfg.Classes {
		k := &d.cfg.Classes[i]
		g.Classes = append(g.Classes, limits.Class{Value: k.Value, Scale: k.Scale, Floor: k.Floor, Top: k.Top})
	}
	d.gate = limits.New(g, d.seed)
	d.sizes = limits.Fleet{Cfg: d.cfg.Module()}
	d.setCaps()
	d.memory = []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
}

func brands(cfg *config.Settings) []limits.Brand {
	var out []limits.Brand
	for _, b := range cfg.Brands {
		out = append(out, limits.Brand{Name: b.Name, Share: b.Share, Most: b.Most})
	}
	if len(out) > 0 { // names that are not listed have no part of their own: they live on loans
		out = append(out, limits.Brand{Name: ""})
	}
	return out
}

func (d *Director) setCaps() {
	l := &d.cfg.Limits
	for p, n := range map[limits.Purpose]int{limits.Sessions: l.SessionsInAll, limits.Connections: l.Connections,
		limits.Ledger: l.Entries, limits.Reports: l.Reports, limits.Outgoing: l.OutputInAll, limits.Sockets: l.Sockets,
		limits.Timelines: l.Timelines} {
		d.accounts.SetCap(p, int64(n))
	}
}

// Reload takes the limits and the brands of new settings while the director runs. A cap below what is in use
// takes nothing away.
func (d *Director) Reload(cfg *config.Settings) {
	d.cfg.Limits, d.cfg.Brands = cfg.Limits, cfg.Brands
	d.setCaps()
	d.views.q.SetMaxBytes(int64(d.cfg.Limits.Timelines))
	if b := brands(d.cfg); len(b) > 0 {
		d.gate.SetBrands(b)
	}
}

// holds tells the gate that a session is being set up, holdsNone that it is over or was never begun.
func (d *Director) holds(s *session) {
	d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.Begin, ID: uint64(s.id), Brand: s.claims.brandNo,
		Class: s.title.class, Home: s.title.Home, Copies: s.title.Copies, Top: s.claims.top}}, nil)
}

func (d *Director) holdsNone(s *session) {
	d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.Over, ID: uint64(s.id)}}, nil)
}

// placed is the gate's news that a session plays, and in which cell.
func (d *Director) placed(s *session) limits.Event {
	return limits.Event{Kind: limits.Placed, ID: uint64(s.id), Wish: s.claims.wish, Title: s.title.number,
		Brand: s.claims.brandNo, Class: s.title.class, Home: d.fleet.Cell(s.server)}
}

// Accounts returns the memory accounts. For the loop's goroutine.
func (d *Director) Accounts() *limits.Accounts { return &d.accounts }

// measure tells the gate the director's own load, and cuts the connections that let most wait while all
// together let more wait than the cap.
func (d *Director) measure() {
	now := d.l.Now()
	if now < d.nextMeasure {
		return
	}
	d.nextMeasure = now + 250
	ev := limits.Event{Kind: limits.Load, LagMs: d.l.WorstLag(), Queue: float64(d.batch)}
	d.batch = 0
	if d.cfg.Gate.MemoryBytes > 0 {
		metrics.Read(d.memory)
		ev.MemoryBytes = float64(d.memory[0].Value.Uint64())
	}
	d.gate.Step(now, []limits.Event{ev}, nil)
	d.accounts.Set(limits.Ledger, int64(d.ledger.Entries()))
	d.accounts.Set(limits.Timelines, d.views.q.Bytes())
	waits, worst := d.waiting()
	for !d.accounts.Set(limits.Outgoing, int64(waits)) && worst != nil {
		worst.Close(loop.ErrSlowReader)
		waits, worst = d.waiting()
	}
}

// waiting adds up the bytes that wait for viewers, and finds the connection with most of them.
func (d *Director) waiting() (sum int, worst *loop.Conn) {
	look := func(c *loop.Conn) {
		n := c.Pending()
		if sum += n; n > 0 && (worst == nil || n > worst.Pending()) {
			worst = c
		}
	}
	for v := range d.viewers {
		look(v.c)
	}
	for k := range d.sockets {
		look(k.c)
	}
	return sum, worst
}
