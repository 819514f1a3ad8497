package proxy

import "headmill/decide/redelivery"

// Connections on which media nodes send again the releases that they sent into an ended one; decide/redelivery says when.

// endHandlingMs is the time that a running media node takes at most to handle the end of a connection. A release that was
// lost with one arrives within the second that viewers may wait for it (PROTOCOL, "The rules on sockets").
const endHandlingMs = 300.0

// redeliveryConfig sets the times of decide/redelivery. A connection follows the newest one in time for two in a row to come
// up late, as for decide/health, before a release is due.
func redeliveryConfig(cfg *Config) redelivery.Config {
	times := healthTiming(cfg).Config()
	return redelivery.Config{
		SettleMs:  endHandlingMs,
		RefreshMs: times.StreamTimeoutMs,
		RetryMs:   times.MaxRetryMs,
	}
}

// fetchReleases opens a connection if one is due.
func (n *mediaNode) fetchReleases(now float64) {
	if n.redelivery.State() == redelivery.Settled || !n.redelivery.Due(now, n.hasExposedSession()) {
		return
	}
	if nc := n.dialProbe(); nc != nil {
		n.proxy.log.Debug("media node may have releases to deliver again; a connection is opened", "host", n.name,
			"conns", len(n.conns), "sessions", len(n.sessions))
	}
}

// hasExposedSession reports whether a session plays here whose set-up connection has ended, or belonged to an earlier process.
func (n *mediaNode) hasExposedSession() bool {
	for _, s := range n.sessions {
		if s.setupConn == nil || !s.setupConn.usable() {
			return true
		}
	}
	return false
}
