package proxy

import (
	"math"

	"headmill"
	"headmill/decide/health"
)

const (
	// notificationMarginMs is the part of releaseRetentionMs that is kept for the release of a session that is given up:
	// for a late event loop, and for repeating the release on further connections.
	notificationMarginMs = 1000.0
	// maxConnectDelayMs is the time by which a connection to a media node that runs may come up late (FLEET, "join+mass").
	maxConnectDelayMs = 1000.0
)

// healthConfig sets when a silent media node is probed with a connection, and when its sessions are given up. What
// decide/health calls the event stream of a media node is any established connection here.
//
// Whatever the settings say, viewers are notified of a lost session within releaseRetentionMs, the limit of the protocol,
// which runs from the last moment at which the media node was heard. No session is given up earlier than that limit
// demands: silence alone proves nothing, as a media node may have nothing to send (with reports every five seconds it
// usually has not) and may be cut off for a moment. It is probed in time for two connections in a row that come up late;
// one that does come up proves that the media node is there.
func healthConfig(cfg *Config) health.Config {
	nodeTimeout := releaseRetentionMs - notificationMarginMs
	retry := math.Min(cfg.ConnectMs/4, maxConnectDelayMs/4)
	probes := 2*(probeTimeoutMs(cfg)+sweepIntervalMs) + retry // two in a row
	return health.Config{
		StreamTimeoutMs: nodeTimeout - probes,
		NodeTimeoutMs:   nodeTimeout,
		MinRetryMs:      retry,
		MaxRetryMs:      math.Min(2*cfg.ConnectMs, maxConnectDelayMs),
		IdleTimeoutMs:   cfg.KeepAliveMs / 3,                     // before the media node closes the connection as idle
		OpenTimeoutMs:   probeTimeoutMs(cfg) + sweepIntervalMs/2, // after dialProbe's, which reports the failure first
		LostRetentionMs: health.LostRetentionMs,
	}
}

// probeTimeoutMs is the time that a connection may take which is opened to find out whether a media node is alive. It may
// come up late, beyond the connect timeout for set-ups, and proves as much then.
func probeTimeoutMs(cfg *Config) float64 {
	return math.Min(maxConnectDelayMs+cfg.ConnectMs, (releaseRetentionMs-notificationMarginMs)/4)
}

// lastContactAt is when the media node was last heard on a connection that is open: when one came up, or received bytes.
func (n *mediaNode) lastContactAt() (at float64) {
	for _, nc := range n.conns {
		if nc.established {
			at = max(at, nc.lastHeard)
		}
	}
	return at
}

// applyHealthAction carries out an action of the health monitor.
func (p *Proxy) applyHealthAction(action health.Action) {
	n := p.nodes[headmill.NodeID(action.Node)]
	if n == nil {
		return
	}
	switch action.Kind {
	case health.OpenStream:
		n.ensureConn()
	case health.CancelOpen:
		n.cancelProbe()
	case health.CloseStream:
		p.log.Debug("media node is unused", "host", n.name, "conns", len(n.conns), "sessions", len(n.sessions))
		n.closeUnusedConns()
	case health.SessionLost:
		if s := p.sessionsByModuleID[headmill.SessionID(action.Session)]; s != nil && s.state != statePending {
			p.stats.Lost++
			p.sessionLost(s, action.MayPlay)
		}
	case health.EndOrphan:
		if lost := n.lost[headmill.SessionID(action.Session)]; lost != nil {
			p.log.Info("lost session is ended at its media node", "id", logID(lost.id), "host", n.name)
			n.sendRelease(lost.id)
		}
	case health.LostSessionGone:
		n.removeLost(headmill.SessionID(action.Session), headmill.OutcomeCancelled, headmill.LoadReport{})
	case health.NodeDown:
		p.log.Warn("media node is down; its sessions are given up", "host", n.name, "sessions", action.Count)
	}
}
