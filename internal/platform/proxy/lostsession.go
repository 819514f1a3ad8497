package proxy

import (
	"headmill"
	"headmill/decide/health"
)

// lostSession is a session that was given up, and that its media node may still play. Its viewer was notified.
type lostSession struct {
	id uint64 // of the protocol
	// holdsCap tells that the decision module still counts the session, whose class is capped.
	holdsCap bool
}

// sessionLost carries out health.SessionLost.
func (p *Proxy) sessionLost(s *session, mayPlay bool) {
	if !mayPlay {
		p.sessionEnded(s, headmill.OutcomeReset, causeReset, headmill.LoadReport{})
		return
	}
	lost := &lostSession{id: s.id, holdsCap: health.HoldsReservation(mayPlay, p.cfg.Module.Classes[s.class].Capped())}
	s.node.lost[s.moduleID] = lost
	if lost.holdsCap {
		p.removePlaying(s, causeReset)
	} else {
		p.sessionEnded(s, headmill.OutcomeReset, causeReset, headmill.LoadReport{})
	}
}

// findLost finds a lost session by its protocol id.
func (n *mediaNode) findLost(id uint64) (headmill.SessionID, bool) {
	for moduleID, lost := range n.lost {
		if lost.id == id {
			return moduleID, true
		}
	}
	return 0, false
}

// removeLost removes a lost session that plays no longer.
func (n *mediaNode) removeLost(moduleID headmill.SessionID, outcome headmill.Outcome, report headmill.LoadReport) {
	lost := n.lost[moduleID]
	if lost == nil {
		return
	}
	delete(n.lost, moduleID)
	if lost.holdsCap {
		n.proxy.queueEvent(headmill.Event{Kind: headmill.EvAttemptEnded, Session: moduleID, Node: n.id, Outcome: outcome,
			SessionOver: true, LoadReport: report})
	}
}

// lostSessionEnded handles the media node's report that a lost session has ended.
func (n *mediaNode) lostSessionEnded(moduleID headmill.SessionID, report headmill.LoadReport) {
	n.proxy.queueHealthEvent(health.Event{Kind: health.LostSessionEnded, Node: health.NodeID(n.id),
		Session: health.SessionID(moduleID)})
	n.removeLost(moduleID, headmill.OutcomeCancelled, report)
}
