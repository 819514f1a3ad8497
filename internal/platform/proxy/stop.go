package proxy

import (
	"math"
	"slices"

	"headmill/decide/shutdown"
)

// The times of a stop (DAYS, "New configurations and restarts").
const (
	// unawareMs is the time after SIGTERM for which viewers can't know of the stop.
	unawareMs = 700.0
	// maxAcceptMs is the longest time after SIGTERM for which connections and set-ups are accepted.
	maxAcceptMs = 1500.0
	// maxDrainDeadlineMs is the longest class deadline that a stop waits for, and killDelayMs the time beyond it after
	// which SIGKILL may come.
	maxDrainDeadlineMs = 3000.0
	killDelayMs        = 700.0
	// killMarginMs is the time before the earliest SIGKILL by which all set-ups are answered. It covers a late event loop
	// and the last writes.
	killMarginMs = 200.0
)

// shutdownConfig sets the times of a stop.
func shutdownConfig(cfg *Config) shutdown.Config {
	schedule := shutdown.KillSchedule{
		EarliestKillMs: math.Min(slices.Max(cfg.DeadlineMs), maxDrainDeadlineMs) + killDelayMs,
		MarginMs:       killMarginMs, UnawareMs: unawareMs, MaxAcceptMs: maxAcceptMs}
	for _, class := range cfg.Module.Classes {
		schedule.LongestTargetMs = math.Max(schedule.LongestTargetMs, class.TargetMs)
	}
	times := schedule.Config()
	times.SessionDrainMs = math.Inf(1)      // no limit: sessions play on until they end or a second stop is requested
	times.KeepSessions = true               // the next start of this director adopts them
	times.EndConfirmMs = releaseRetentionMs // for unconfirmed releases, which are kept no longer than that
	return times
}

// Stop starts a graceful stop; a second call skips the session drain, the wait for sessions that play. It may be called
// from any goroutine.
func (p *Proxy) Stop() {
	p.loop.Post(func() {
		if p.skipDrain = p.stopRequested; !p.stopRequested {
			p.stopRequested = true
			p.loop.After(p.shutdownTimes.AnswerMs, p.stepShutdown) // the sweep may be late for it
		}
		p.stepShutdown()
	})
}

// stepShutdown advances the stop and carries out its actions.
func (p *Proxy) stepShutdown() {
	before := p.shutdown.Phase()
	status := shutdown.Status{StopRequested: p.stopRequested, SkipDrain: p.skipDrain,
		PendingRequests: p.pendingSetups, PlayingSessions: len(p.sessions) - p.pendingSetups,
		UnsentMessages: p.unsentMessages()}
	for _, action := range p.shutdown.Step(p.loop.Now(), status, nil) {
		p.applyShutdownAction(action)
	}
	if phase := p.shutdown.Phase(); phase != before {
		p.log.Info("stopping", "phase", phase.String(), "waiting", status.PendingRequests,
			"playing", status.PlayingSessions, "unsent", status.UnsentMessages)
	}
}

// applyShutdownAction carries out a step of a stop.
func (p *Proxy) applyShutdownAction(action shutdown.Action) {
	switch action {
	case shutdown.RefuseNewSessions:
		// startSession asks p.shutdown for each set-up.
	case shutdown.CloseListeners:
		p.listener.StopAccepting()
	case shutdown.FailPending:
		for _, s := range p.sessions {
			if s.state == statePending {
				p.failSetup(s, "set-up failed by the stop")
			}
		}
	case shutdown.EndSessions: // not with shutdown.Config.KeepSessions
	case shutdown.CloseAllConnections:
		p.closeAll()
		p.Done()
	}
}

// closeAll closes all connections at the end of a stop. What viewers have sent by then is read, and set-ups are refused.
func (p *Proxy) closeAll() {
	for _, v := range p.viewers {
		v.closeIdle()
	}
	for _, n := range p.nodes {
		for _, nc := range n.conns {
			nc.conn.CloseGracefully()
		}
	}
}

// unsentMessages counts what a stop waits for once all set-ups are answered: connections whose peers have not read what
// was written, and releases that no viewer has confirmed.
func (p *Proxy) unsentMessages() int {
	count := p.retransmitter.Len()
	for _, v := range p.viewers {
		if v.conn.Pending() > 0 {
			count++
		}
	}
	for _, n := range p.nodes {
		for _, nc := range n.conns {
			if nc.conn.Pending() > 0 {
				count++
			}
		}
	}
	return count
}
