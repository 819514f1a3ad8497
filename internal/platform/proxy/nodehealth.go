package proxy

import (
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

// healthTiming has the limits that decide/health derives its times from. What it calls the event stream of a media node is any
// established connection here. Viewers are notified of a lost session within releaseRetentionMs whatever the settings say.
func healthTiming(cfg *Config) health.Timing {
	return health.Timing{
		NotifyMs:        releaseRetentionMs,
		NotifyMarginMs:  notificationMarginMs,
		ConnectMs:       cfg.ConnectMs,
		ConnectDelayMs:  maxConnectDelayMs,
		CheckIntervalMs: sweepIntervalMs,
		PeerIdleMs:      cfg.KeepAliveMs,
	}
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
