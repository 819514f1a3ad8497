package director

import (
	"runtime/metrics"

	"headmill/decide/limits"
	"headmill/internal/config"
	"headmill/internal/loop"
)

// setGate makes the gate and the accounts out of the settings.
func (d *Director) setGate() {
	c := &d.cfg.Admission
	g := limits.Config{MinRetryAfterMs: min(c.MinRetryMs, d.cfg.Attempts.MaxRetryAfterMs), MaxRetryAfterMs: d.cfg.Attempts.MaxRetryAfterMs,
		RetryMemoryMs: c.RememberMs, MaxRefusals: c.Wishes, FullLagMs: c.LagMs, FullQueue: c.Queue, FullMemoryBytes: c.MemoryBytes, AdmitAll: c.PassAll,
		RateKB: d.cfg.Ladder.RateKB, RungWorth: d.cfg.Ladder.Worth, PropagationMs: d.cfg.Fleet.ReportIntervalMs/2 + d.cfg.Fleet.ReportDelayMs,
		OthersShare: 1 - 1/float64(max(len(d.cfg.Director.Directors), 1)), Tenants: brands(d.cfg)}
	if !d.cfg.Attempts.RetryAfter {
		g.MaxRetryAfterMs = 0
	}
	for i := range d.cfg.Classes {
		k := &d.cfg.Classes[i]
		g.Classes = append(g.Classes, limits.Class{Value: k.Value, RateScale: k.RateScale, MinRung: k.MinRung, MaxRung: k.MaxRung})
	}
	d.gate = limits.New(g, d.seed)
	d.sizes = limits.CapacityEstimator{Cfg: d.cfg.Module()}
	d.setCaps()
	d.memory = []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
}

func brands(cfg *config.Settings) []limits.Tenant {
	var out []limits.Tenant
	for _, b := range cfg.Tenants {
		out = append(out, limits.Tenant{Name: b.Name, Share: b.Share, MaxShare: b.MaxShare})
	}
	if len(out) > 0 { // names that are not listed have no part of their own: they live on loans
		out = append(out, limits.Tenant{Name: ""})
	}
	return out
}

func (d *Director) setCaps() {
	l := &d.cfg.Limits
	for p, n := range map[limits.Resource]int{limits.Sessions: l.Sessions, limits.Connections: l.Connections,
		limits.Ledger: l.Entries, limits.Reports: l.Reports, limits.Outgoing: l.TotalOutput, limits.Sockets: l.SocketSessions,
		limits.Timelines: l.Timelines} {
		d.accounts.SetLimit(p, int64(n))
	}
}

// Reload takes the limits and the brands of new settings while the director runs. A cap below what is in use
// takes nothing away.
func (d *Director) Reload(cfg *config.Settings) {
	d.cfg.Limits, d.cfg.Tenants = cfg.Limits, cfg.Tenants
	d.setCaps()
	d.views.q.SetMaxBytes(int64(d.cfg.Limits.Timelines))
	if b := brands(d.cfg); len(b) > 0 {
		d.gate.SetTenants(b)
	}
}

// holds tells the gate that a session is being set up, holdsNone that it is over or was never begun.
func (d *Director) holds(s *session) {
	d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.SetupStarted, ID: uint64(s.id), Tenant: s.claims.brandNo,
		Class: s.title.class, FirstCell: s.title.FirstCell, Copies: s.title.Copies, MaxRung: s.claims.top}}, nil)
}

func (d *Director) holdsNone(s *session) {
	d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.SessionEnded, ID: uint64(s.id)}}, nil)
}

// placed is the gate's news that a session plays, and in which cell.
func (d *Director) placed(s *session) limits.Event {
	return limits.Event{Kind: limits.SessionStarted, ID: uint64(s.id), RequestKey: s.claims.wish, Title: s.title.number,
		Tenant: s.claims.brandNo, Class: s.title.class, FirstCell: d.fleet.Cell(s.server)}
}

// Accounts returns the memory accounts. For the loop's goroutine.
func (d *Director) Accounts() *limits.Quotas { return &d.accounts }

// measure tells the gate the director's own load, and cuts the connections that let most wait while all
// together let more wait than the cap.
func (d *Director) measure() {
	now := d.l.Now()
	if now < d.nextMeasure {
		return
	}
	d.nextMeasure = now + 250
	ev := limits.Event{Kind: limits.LoadMeasured, LagMs: d.l.MaxLag(), Queue: float64(d.batch)}
	d.batch = 0
	if d.cfg.Admission.MemoryBytes > 0 {
		metrics.Read(d.memory)
		ev.MemoryBytes = float64(d.memory[0].Value.Uint64())
	}
	d.gate.Step(now, []limits.Event{ev}, nil)
	d.accounts.SetUsed(limits.Ledger, int64(d.ledger.Entries()))
	d.accounts.SetUsed(limits.Timelines, d.views.q.Bytes())
	waits, worst := d.waiting()
	for !d.accounts.SetUsed(limits.Outgoing, int64(waits)) && worst != nil {
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
