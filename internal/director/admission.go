package director

import (
	"runtime/metrics"

	"headmill/decide/limits"
	"headmill/internal/config"
	"headmill/internal/loop"
)

// initAdmission creates admission control and the quotas from the settings.
func (d *Director) initAdmission() {
	settings := &d.cfg.Admission
	cfg := limits.Config{
		MinRetryAfterMs: min(settings.MinRetryAfterMs, d.cfg.Attempts.MaxRetryAfterMs),
		MaxRetryAfterMs: d.cfg.Attempts.MaxRetryAfterMs,
		RetryMemoryMs:   settings.RetryMemoryMs,
		MaxRefusals:     settings.MaxRefusals,
		FullLagMs:       settings.FullLagMs,
		FullQueue:       settings.FullQueue,
		FullMemoryBytes: settings.FullMemoryBytes,
		AdmitAll:        settings.AdmitAll,
		RateKB:          d.cfg.Ladder.RateKB,
		RungWorth:       d.cfg.Ladder.Worth,
		PropagationMs:   d.cfg.Fleet.ReportIntervalMs/2 + d.cfg.Fleet.ReportDelayMs,
		OthersShare:     1 - 1/float64(max(len(d.cfg.Director.Directors), 1)),
		Tenants:         tenants(d.cfg),
	}
	if !d.cfg.Attempts.RetryAfter {
		cfg.MaxRetryAfterMs = 0
	}
	for i := range d.cfg.Classes {
		class := &d.cfg.Classes[i]
		cfg.Classes = append(cfg.Classes, limits.Class{
			Value:     class.Value,
			RateScale: class.RateScale,
			MinRung:   class.MinRung,
			MaxRung:   class.MaxRung,
		})
	}
	d.admission = limits.New(cfg, d.seed)
	d.capacity = limits.CapacityEstimator{Config: d.cfg.ModuleConfig()}
	d.applyLimits()
	d.memorySamples = []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
}

// tenants returns the tenants of the settings, with an entry of no share for those that are not listed.
func tenants(cfg *config.Settings) []limits.Tenant {
	var out []limits.Tenant
	for _, tenant := range cfg.Tenants {
		out = append(out, limits.Tenant{Name: tenant.Name, Share: tenant.Share, MaxShare: tenant.MaxShare})
	}
	if len(out) > 0 { // unlisted tenants have no share of their own: they use borrowed capacity
		out = append(out, limits.Tenant{Name: ""})
	}
	return out
}

// applyLimits sets the quotas from the settings.
func (d *Director) applyLimits() {
	l := &d.cfg.Limits
	maxConns := min(l.Connections, d.descriptors.Viewers)
	d.connManager.SetMaxConns(maxConns)
	d.connManager.SetMaxInput(l.TotalInput)
	for resource, limit := range map[limits.Resource]int{
		limits.Sessions:       l.Sessions,
		limits.Connections:    maxConns,
		limits.Ledger:         l.LedgerEntries,
		limits.Reports:        l.Reports,
		limits.OutputBuffers:  l.TotalOutput,
		limits.SocketSessions: l.SocketSessions,
		limits.Timelines:      l.Timelines,
	} {
		d.quotas.SetLimit(resource, int64(limit))
	}
}

// Reload applies the limits and the tenants of new settings to a running director. A limit below what is in use
// takes nothing away.
func (d *Director) Reload(cfg *config.Settings) {
	d.cfg.Limits, d.cfg.Tenants = cfg.Limits, cfg.Tenants
	d.applyLimits()
	d.quality.tracker.SetMaxBytes(int64(d.cfg.Limits.Timelines))
	if list := tenants(d.cfg); len(list) > 0 {
		d.admission.SetTenants(list)
	}
}

// admissionSetupStarted reports to admission control that a session is being set up.
func (d *Director) admissionSetupStarted(s *session) {
	d.admission.Step(d.loop.Now(), []limits.Event{{
		Kind:      limits.SetupStarted,
		ID:        uint64(s.id),
		Tenant:    s.claims.tenantIndex,
		Class:     s.title.class,
		FirstCell: s.title.FirstCell,
		Copies:    s.title.Copies,
		MaxRung:   s.claims.maxRung,
	}}, nil)
}

// admissionSessionEnded reports to admission control that a session has ended or was never started.
func (d *Director) admissionSessionEnded(s *session) {
	d.admission.Step(d.loop.Now(), []limits.Event{{Kind: limits.SessionEnded, ID: uint64(s.id)}}, nil)
}

// admissionSessionStarted returns the event that a session plays, and in which cell.
func (d *Director) admissionSessionStarted(s *session) limits.Event {
	return limits.Event{
		Kind:       limits.SessionStarted,
		ID:         uint64(s.id),
		RequestKey: s.claims.fingerprint,
		Title:      s.title.number,
		Tenant:     s.claims.tenantIndex,
		Class:      s.title.class,
		FirstCell:  d.nodeList.Cell(s.node),
	}
}

// Quotas returns the resource quotas. It must be called on the loop's goroutine.
func (d *Director) Quotas() *limits.Quotas { return &d.quotas }

// measureLoad reports the director's own load to admission control. While the output pending for all viewers exceeds
// its limit, it closes the connection with the most.
func (d *Director) measureLoad() {
	now := d.loop.Now()
	if now < d.nextLoadMeasurement {
		return
	}
	d.nextLoadMeasurement = now + sweepIntervalMs
	ev := limits.Event{Kind: limits.LoadMeasured, LagMs: d.loop.MaxLag(), Queue: float64(d.maxBatch)}
	d.maxBatch = 0
	if d.cfg.Admission.FullMemoryBytes > 0 {
		metrics.Read(d.memorySamples)
		ev.MemoryBytes = float64(d.memorySamples[0].Value.Uint64())
	}
	d.admission.Step(now, []limits.Event{ev}, nil)
	d.quotas.SetUsed(limits.Ledger, int64(d.ledger.Entries()))
	d.quotas.SetUsed(limits.Timelines, d.quality.tracker.Bytes())
	waitingBytes, largest := d.pendingOutput()
	for !d.quotas.SetUsed(limits.OutputBuffers, int64(waitingBytes)) && largest != nil {
		largest.Close(loop.ErrSlowReader)
		waitingBytes, largest = d.pendingOutput()
	}
}

// pendingOutput returns the number of bytes pending for all viewers, and the connection with the most of them.
func (d *Director) pendingOutput() (sum int, largest *loop.Conn) {
	add := func(c *loop.Conn) {
		n := c.Pending()
		if sum += n; n > 0 && (largest == nil || n > largest.Pending()) {
			largest = c
		}
	}
	for v := range d.viewers {
		add(v.conn)
	}
	for w := range d.webSockets {
		add(w.conn)
	}
	return sum, largest
}
