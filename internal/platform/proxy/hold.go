package proxy

import (
	"slices"

	"headmill"
)

// After the process stood still, decisions wait for a recent node list; decide/discovery.Freshness says how long.

// holdPlacing holds all that waits for a decision, after the process stood still, until the node list is known to be recent.
func (p *Proxy) holdPlacing() {
	if p.holding || !p.freshness.Stalled(p.loop.Now()+p.loop.Elapsed()) {
		return
	}
	p.log.Info("the process stood still; placing waits for a node list", "events", len(p.events))
	p.holding = true
	p.discovery.queryNow()
	p.loop.After(p.loop.Elapsed(), p.failOverdue)            // once what has arrived meanwhile is read
	p.loop.After(maxStallHoldMs+p.loop.Elapsed(), func() {}) // the iteration that ends the wait
}

// resumePlacing goes on if the node list is known to be recent, or cannot be had. It reports whether it does.
func (p *Proxy) resumePlacing() bool {
	if !p.freshness.MayPlace(p.loop.Now()) {
		return false
	}
	p.holding = false
	for _, n := range p.nodes {
		for _, nc := range n.conns {
			if nc.established {
				nc.startAttempts()
			}
		}
	}
	return true
}

// failOverdue fails the set-ups that need not wait for a node list.
func (p *Proxy) failOverdue() {
	for _, s := range p.sessions {
		if s.state == statePending && p.freshness.Overdue(p.loop.Now(), s.deadline) {
			p.failSetup(s, "set-up failed: its time ran out while the process stood still")
		}
	}
}

// queueNodeList queues a node list for the module, ahead of what was read in the same iteration or waits for the list: a set-up
// may have been read before a list that arrived with it.
func (p *Proxy) queueNodeList(ev headmill.Event) {
	p.events = slices.Insert(p.events, p.queuedLists, ev)
	p.queuedLists++
}
