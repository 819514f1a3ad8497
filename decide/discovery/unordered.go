package discovery

import (
	"cmp"
	"slices"

	"headmill"
)

// With Config.VersionsMayRestart, three things look alike by the version alone: an old message that comes late, a message
// of an earlier run of the director, whose versions were higher, and versions that began again. The errors differ: a media
// node that is left out for a moment costs little, a set-up that is sent to one that has gone reaches nobody, or its
// successor at the address. So a message may always restrict, and what it permits must hold against contradiction:
//
//	message                                      what becomes of it
//	newer than the list                          accepted
//	not newer, says the same as the list         confirms the list
//	not newer, not older than the established    its drains and removals count at once, as a hold; accepted once
//	version, and contradicts the list            confirmations of them came in a row
//	older than the established version           only its drains count; accepted once nothing else came for restartMs
//
// The established version is the highest one that was not undercut by any of the last confirmations messages; at the start
// it is that of the first message, which is the director's own configuration. An old message that comes late, however often
// it is repeated, stays below it.
//
// A media node on hold gets no new set-ups. It counts as ready once holdFor messages in a row have listed it as ready:
//
//	confirmations         a message that contradicts the list leaves it out; or it was not on the first list though it is
//	                      older than that, so it had been removed; or it comes back after a removal, with a newer version
//	lowerReturnMessages   it comes back after a removal, with a version that is not newer
const (
	confirmations       = 4
	lowerReturnMessages = 24
)

const (
	// restartMs is the time, in ms, after which versions below the established one are taken to have begun again. No
	// disturbance of the service lasts as long.
	restartMs = 60000.0
	// restrictionMemoryMs is for how long, in ms, a drain is remembered after the last message that had it, and a removal
	// after the first one. It bounds the memory; later a message may make the media node ready again.
	restrictionMemoryMs = 300000.0
)

// removal is the removal of one start of a media node.
type removal struct {
	version uint64  // highest one of a message that left it out
	at      float64 // time of the first such message
}

// unorderedState is what messages have said so far, beside the list in force.
type unorderedState struct {
	established    uint64
	lastVersions   []uint64 // of the last confirmations messages, the newest last
	firstAt        float64
	firstNodes     map[headmill.NodeID]bool
	drains         map[bootKey]float64 // draining starts of media nodes, and when a message last had them
	removals       map[bootKey]removal
	contradictions int     // messages in a row that contradict the list
	olderOnly      bool    // all messages since olderSince were older than the established version
	olderSince     float64 // time of the first of them
}

func newUnorderedState() unorderedState {
	return unorderedState{drains: map[bootKey]float64{}, removals: map[bootKey]removal{}}
}

// begin starts anew with the first message of an epoch.
func (u *unorderedState) begin(now float64, version uint64, nodes map[headmill.NodeID]bool) {
	u.established, u.lastVersions, u.firstAt, u.firstNodes = version, nil, now, nodes
	u.contradictions, u.olderOnly = 0, false
}

// addVersion counts a message for the established version.
func (u *unorderedState) addVersion(version uint64) {
	u.lastVersions = append(u.lastVersions, version)
	if len(u.lastVersions) > confirmations {
		u.lastVersions = slices.Delete(u.lastVersions, 0, 1)
	}
	if len(u.lastVersions) == confirmations {
		u.established = max(u.established, slices.Min(u.lastVersions))
	}
}

// decideUnordered decides whether a full message is accepted. It changes the states of the message's media nodes, and of
// those on the list, to what may be believed.
func (l *List) decideUnordered(now float64, version uint64, nodes []*listedNode) bool {
	u := &l.unordered
	u.addVersion(version)
	l.trackDrains(now, nodes)
	if version < u.established {
		if !u.olderOnly {
			u.olderOnly, u.olderSince = true, now
		}
		if now-u.olderSince < restartMs {
			return false
		}
		u.begin(now, version, u.firstNodes)
	}
	u.olderOnly = false
	if l.hasList && l.matches(version, nodes) {
		u.contradictions = 0
		u.confirmRemovals(version, func(key bootKey) bool {
			node := l.nodes[key.id]
			return node != nil && node.bootKey() == key
		})
		l.countListings(nodes)
		return false
	}
	l.holdMissing(now, version, nodes)
	if l.hasList && version <= l.version {
		if u.contradictions++; u.contradictions < confirmations {
			l.countListings(nodes)
			return false
		}
	}
	u.contradictions = 0
	l.holdReturning(version, nodes)
	return true
}

// trackDrains remembers the drains of a message, changes ready nodes to draining whose drain is remembered, and forgets
// drains and removals after restrictionMemoryMs.
func (l *List) trackDrains(now float64, nodes []*listedNode) {
	u := &l.unordered
	for _, node := range nodes {
		if key := node.bootKey(); node.State == stateDraining {
			u.drains[key] = now
		} else if _, ok := u.drains[key]; ok && node.State == stateReady {
			node.State = stateDraining
		}
	}
	for key, lastSeenAt := range u.drains {
		if now-lastSeenAt > restrictionMemoryMs {
			delete(u.drains, key)
		}
	}
	for key, r := range u.removals {
		if now-r.at > restrictionMemoryMs {
			delete(u.removals, key)
		}
	}
}

// holdMissing remembers which media nodes a message leaves out, and puts those of the list on hold.
func (l *List) holdMissing(now float64, version uint64, nodes []*listedNode) {
	listed := make(map[bootKey]bool, len(nodes))
	for _, node := range nodes {
		listed[node.bootKey()] = node.State != stateGone
	}
	for _, node := range l.nodes {
		if key := node.bootKey(); !listed[key] {
			node.holdFor = max(node.holdFor, confirmations)
			if _, known := l.unordered.removals[key]; !known {
				l.unordered.removals[key] = removal{version: version, at: now}
			}
		}
	}
	l.unordered.confirmRemovals(version, func(key bootKey) bool { return listed[key] })
}

// confirmRemovals takes note of a message that leaves out what was removed before, but for what it lists.
func (u *unorderedState) confirmRemovals(version uint64, listed func(bootKey) bool) {
	for key, r := range u.removals {
		if !listed(key) {
			u.removals[key] = removal{version: max(version, r.version), at: r.at}
		}
	}
}

// countListings counts a message that was not accepted for the media nodes on hold that it lists as ready.
func (l *List) countListings(nodes []*listedNode) {
	for _, node := range nodes {
		if old := l.nodes[node.id]; old != nil && old.bootKey() == node.bootKey() && node.State == stateReady {
			l.countListing(old)
		}
	}
}

// countListing counts one message that lists a media node as ready. The removal of one that is off hold is forgotten.
func (l *List) countListing(node *listedNode) {
	node.holdFor = max(node.holdFor-1, 0)
	if node.holdFor == 0 {
		delete(l.unordered.removals, node.bootKey())
	}
}

// holdReturning puts those media nodes of a message that is accepted on hold which may have been removed.
func (l *List) holdReturning(version uint64, nodes []*listedNode) {
	u := &l.unordered
	for _, node := range nodes {
		old := l.nodes[node.id]
		removed, wasRemoved := u.removals[node.bootKey()]
		switch {
		case old != nil && old.bootKey() == node.bootKey():
			node.holdFor = old.holdFor
			l.countListing(node)
		case wasRemoved && version > removed.version:
			node.holdFor = confirmations
		case wasRemoved:
			node.holdFor = lowerReturnMessages
		case l.hasList && !u.firstNodes[node.id] && node.startedAt < u.firstAt:
			node.holdFor = confirmations
		}
		if node.holdFor > 0 && node.State == stateReady {
			node.State = stateDraining
		}
	}
}

// restrictionEvent brings the states of listed media nodes in line with the drains and holds of a message that was not
// accepted, and returns those that changed for the decision module.
func (l *List) restrictionEvent() headmill.Event {
	ev := headmill.Event{Kind: headmill.EvNodes, NodesAreDelta: true}
	for _, node := range l.nodes {
		state := node.received.State
		if _, drains := l.unordered.drains[node.bootKey()]; state == stateReady && (drains || node.holdFor > 0) {
			state = stateDraining
		}
		if state != node.State {
			node.State = state
			ev.Nodes = append(ev.Nodes, node.moduleNode())
		}
	}
	slices.SortFunc(ev.Nodes, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return ev
}

func (n *listedNode) bootKey() bootKey { return bootKey{n.id, n.Addr, n.startedAt, n.BootID} }

// matches tells whether a message says the same as the list.
func (l *List) matches(version uint64, nodes []*listedNode) bool {
	if version != l.version || len(nodes) != len(l.nodes) {
		return false
	}
	for _, node := range nodes {
		if old := l.nodes[node.id]; old == nil || old.received != node.received {
			return false
		}
	}
	return true
}
