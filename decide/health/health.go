// Package health decides which of a director's sessions are lost with a media
// node, and which sessions on a media node belong to nobody. The director keeps
// one event stream to each media node where it has sessions. The evidence is a
// stream that is silent or fails, and the list of sessions that the media node
// sends when the stream is opened again.
//
// The package is pure: Step takes events with their time and returns actions.
// The IDs of media nodes and sessions are the caller's.
//
// States of a media node:
//
//	state    meaning
//	idle     no session there; no stream is kept
//	opening  the stream was requested
//	up       the stream is open; every byte counts as contact with the media node
//	broken   the stream ended or could not be opened; sessions are kept while it is retried
//	down     no contact for NodeTimeoutMs, or refusalsUntilDown connections refused in a row; its sessions were given
//	         up. The external name of this state is "lost".
//
// A session that was given up after silence may still play: the media node may have been cut off or stood still. It is
// lost to its viewer, but holds what it uses there, until the media node is reached and can be told to end it, refuses
// connections, reports the end, or LostRetentionMs have passed. LostSessionGone tells that moment.
//
// Contact is what was observed of the media node at that moment: bytes received, or a connection that came up. A
// connection that was open before and a session that is only said to play there are none.
//
// What each event does (of an unknown media node only SetupSent, SessionStarted and SessionAdopted count, as in idle):
//
//	SetupSent       idle, down: opens the stream (to opening); in every state the set-up is pending
//	SessionStarted  idle, down: opens the stream (to opening); in every state it counts as contact
//	SessionAdopted  as SessionStarted, but is no contact
//	SessionEnded    removes the session or its set-up; without any left the media node is unused
//	SessionEnding   gives up a session without SessionLost: its viewer has ended it
//	LostSessionEnded
//	                removes a session that was given up
//	ProcessStarted  the sessions that were set up before it, also given-up ones, have ended with the process before: loses
//	                them; see process.go
//	StreamOpened    opening, broken, and down with given-up sessions: compares the sessions where the stream lists them,
//	                reports lost ones and orphans, ends the given-up ones (to up); else ignored
//	StreamActivity  opening, up, broken: counts as contact; else ignored. In any state, unless the stream lists sessions,
//	                ends the given-up ones
//	StreamFailed    opening, up: schedules a retry with exponential backoff (to broken, or to idle if unused); else
//	                ignored
//	Tick            opening: after OpenTimeoutMs cancels the opening (to broken, or to idle if unused)
//	                up: after StreamTimeoutMs of silence opens a further stream (to opening), or closes it if unused (to
//	                idle); after IdleTimeoutMs without use closes it (to idle)
//	                opening, broken: if the media node has sessions and there was no contact for NodeTimeoutMs, or
//	                refusalsUntilDown connections were refused in a row, gives its sessions up (to down)
//	                broken: when the retry is due, opens the stream again (to opening), or to idle if unused
//	                down: opens the stream if a set-up is pending or a session was given up after silence (to opening)
//	                any: reports given-up sessions as gone after LostRetentionMs
//	                idle, down: forgets a media node that has been unused for 10 IdleTimeoutMs
//
// A set-up is pending from SetupSent on; SessionStarted makes it a session, and SessionEnded removes it in either case.
// A media node is unused while it has neither sessions, also given-up ones, nor pending set-ups.
//
// A silent stream is not closed while it is used. Its media node may stand still, and write what it owes on this very
// stream once it goes on: what it writes to a closed one is lost for good.
package health

import (
	"cmp"
	"math"
	"slices"
)

// NodeID and SessionID are IDs that the caller gives to media nodes and sessions.
type (
	NodeID    uint64
	SessionID uint32
)

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events.
const (
	SetupSent        EventKind = iota // Node, Session: a set-up is sent there
	SessionStarted                    // Node, Session, ConnectedAt: the media node has just answered that it plays there
	SessionAdopted                    // Node, Session: it plays there, by an earlier answer or a viewer's word
	SessionEnded                      // Node, Session: it ended, or its set-up failed
	SessionEnding                     // Node, Session: its viewer has ended it, and the media node is told; it may play on
	LostSessionEnded                  // Node, Session: the media node has reported or confirmed the end of a session that was given up
	ProcessStarted                    // Node, ProcessStartedAt: the present process of the media node started then
	StreamOpened                      // Node, BootID, Sessions (with Config.StreamListsSessions): the stream has just come up
	StreamActivity                    // Node: bytes from it
	StreamFailed                      // Node, ConnRefused: the stream ended, or could not be opened
	Tick                              // only time passes
)

// Event is one fact.
type Event struct {
	Kind        EventKind
	Node        NodeID
	Session     SessionID
	BootID      string      // of the process that opened the stream; kept, but not used for a decision
	Sessions    []SessionID // what the media node runs for this director
	ConnRefused bool        // the host of the media node answered that nothing listens there
	// ConnectedAt is when the connection came up that a session was answered on. 0, the start of the director, if an
	// earlier process of the director set the session up, or if the caller sends no ProcessStarted.
	ConnectedAt      float64
	ProcessStartedAt float64
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of actions.
const (
	OpenStream      ActionKind = iota // Node: open its event stream, a further one if one is open
	CancelOpen                        // Node: give up the stream that is being opened; an open one stays
	CloseStream                       // Node: close it, as it is unused
	SessionLost                       // Node, Session, MayPlay: the session is lost to its viewer
	LostSessionGone                   // Node, Session: a session that was lost and might play does no longer
	EndOrphan                         // Node, Session: tell the media node to end a session that this director does not hold
	NodeDown                          // Node, Count: for the log; the number of sessions that are given up
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Node    NodeID
	Session SessionID
	Count   int
	MayPlay bool // it may still play; LostSessionGone follows when it does not
}

// Config has the timeouts, in ms.
type Config struct {
	StreamTimeoutMs float64 // a stream without a byte for so long counts as broken
	NodeTimeoutMs   float64 // a media node without contact for so long has lost its sessions
	MinRetryMs      float64 // first delay between attempts to open the stream; doubles up to MaxRetryMs
	MaxRetryMs      float64
	IdleTimeoutMs   float64 // a stream without sessions is closed after so long
	OpenTimeoutMs   float64 // a stream that is not open after so long counts as broken
	LostRetentionMs float64 // a session that was given up after silence is taken to have ended after so long
	// StreamListsSessions says that StreamOpened has the sessions that the media node runs.
	StreamListsSessions bool
}

// State is the state of a media node.
type State uint8

// The states; see the package comment.
const (
	StateIdle State = iota
	StateOpening
	StateUp
	StateBroken
	StateDown
)

// stateNames are the external names of the states, also in metrics and logs, in the order of the constants.
var stateNames = [...]string{"idle", "opening", "up", "broken", "lost"}

func (s State) String() string { return stateNames[s] }

// nodeState is what is known of one media node.
type nodeState struct {
	id                  NodeID
	state               State
	bootID              string
	pendingSetups       map[SessionID]bool           // set-ups sent and not answered
	sessions            map[SessionID]playingSession // sessions that play
	givenUp             map[SessionID]givenUpSession // sessions that were given up after silence
	processStartedAt    float64                      // of the newest process that is known; 0: before the director's
	openedAt            float64                      // when the stream was requested
	lastContactAt       float64                      // last contact; at first, when the stream was requested
	retryAt             float64                      // when to open the stream again
	retryDelayMs        float64
	consecutiveRefusals int     // connections refused in a row; see refusalsUntilDown
	unusedSince         float64 // since when there are no sessions and no pending set-ups
}

// playingSession is a session that plays.
type playingSession struct {
	since       float64
	connectedAt float64 // see Event
}

// givenUpSession is a session that was given up after silence.
type givenUpSession struct {
	at          float64
	connectedAt float64 // see Event
}

// Monitor is the state of all media nodes.
type Monitor struct {
	cfg         Config
	now         float64
	out         []Action
	nodes       map[NodeID]*nodeState
	sortedNodes []*nodeState // by id
}

// refusalsUntilDown is how many refused connections in a row mean that the process has ended, and with it what it
// ran. A single one may come from a listener that is just being replaced.
const refusalsUntilDown = 2

// New makes a Monitor without media nodes.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg, nodes: map[NodeID]*nodeState{}} }

// State returns the state of a media node. One whose sessions were given up is down until it is reached.
func (m *Monitor) State(id NodeID) State {
	node := m.nodes[id]
	switch {
	case node == nil:
		return StateIdle
	case len(node.givenUp) > 0 && len(node.sessions) == 0 && node.state != StateUp:
		return StateDown
	}
	return node.state
}

// Sessions is the number of sessions that play on a media node.
func (m *Monitor) Sessions(id NodeID) int {
	if node := m.nodes[id]; node != nil {
		return len(node.sessions)
	}
	return 0
}

// Step takes the events of one moment and appends the actions to out.
func (m *Monitor) Step(now float64, events []Event, out []Action) []Action {
	m.now, m.out = now, out
	for i := range events {
		ev := &events[i]
		if ev.Kind == Tick {
			m.checkTimeouts()
			continue
		}
		node := m.nodes[ev.Node]
		if node == nil {
			if ev.Kind != SetupSent && ev.Kind != SessionStarted && ev.Kind != SessionAdopted {
				continue
			}
			node = &nodeState{id: ev.Node, pendingSetups: map[SessionID]bool{}, sessions: map[SessionID]playingSession{},
				givenUp: map[SessionID]givenUpSession{}}
			m.nodes[ev.Node] = node
			i, _ := slices.BinarySearchFunc(m.sortedNodes, node, func(a, b *nodeState) int { return cmp.Compare(a.id, b.id) })
			m.sortedNodes = slices.Insert(m.sortedNodes, i, node)
		}
		m.handleEvent(node, ev)
	}
	out, m.out = m.out, nil
	return out
}

// handleEvent applies an event to its media node; the package comment has the table.
func (m *Monitor) handleEvent(node *nodeState, ev *Event) {
	switch ev.Kind {
	case SetupSent:
		node.pendingSetups[ev.Session] = true
		if node.state == StateIdle || node.state == StateDown { // down: a new set-up is sent there, so it may be back
			m.openStream(node)
		}
	case SessionStarted, SessionAdopted:
		delete(node.pendingSetups, ev.Session)
		node.sessions[ev.Session] = playingSession{since: m.now, connectedAt: ev.ConnectedAt}
		if ev.Kind == SessionStarted { // the answer to the set-up is contact as well as a byte on the stream is
			node.lastContactAt = math.Max(node.lastContactAt, m.now)
		}
		if node.state == StateIdle || node.state == StateDown {
			m.openStream(node)
		}
		m.loseEarlierSessions(node)
	case ProcessStarted:
		node.processStartedAt = math.Max(node.processStartedAt, ev.ProcessStartedAt)
		m.loseEarlierSessions(node)
	case SessionEnded:
		delete(node.pendingSetups, ev.Session)
		delete(node.sessions, ev.Session)
		if node.unused() {
			node.unusedSince = m.now
		}
	case SessionEnding:
		if session, ok := node.sessions[ev.Session]; ok {
			delete(node.sessions, ev.Session)
			node.givenUp[ev.Session] = givenUpSession{at: m.now, connectedAt: session.connectedAt}
		}
	case LostSessionEnded:
		delete(node.givenUp, ev.Session)
		if node.unused() {
			node.unusedSince = m.now
		}
	case StreamOpened:
		if node.state == StateOpening || node.state == StateBroken || node.state == StateDown && len(node.givenUp) > 0 {
			m.reconcileSessions(node, ev)
		}
	case StreamActivity:
		if !m.cfg.StreamListsSessions {
			m.endGivenUp(node)
		}
		if node.state == StateOpening || node.state == StateUp || node.state == StateBroken {
			node.lastContactAt = m.now
		}
	case StreamFailed:
		if node.state == StateOpening || node.state == StateUp {
			node.consecutiveRefusals++
			if !ev.ConnRefused {
				node.consecutiveRefusals = 0
			}
			m.streamFailed(node)
		}
	}
}

func (n *nodeState) unused() bool { return len(n.pendingSetups)+len(n.sessions)+len(n.givenUp) == 0 }

func (m *Monitor) openStream(node *nodeState) {
	if node.state == StateIdle || node.state == StateDown {
		node.lastContactAt, node.retryDelayMs, node.consecutiveRefusals = m.now, 0, 0
	}
	node.state, node.openedAt = StateOpening, m.now
	m.out = append(m.out, Action{Kind: OpenStream, Node: node.id})
}

// reconcileSessions compares the sessions that the media node runs with those that this director knows. Only a session
// that started before the stream was requested can be found missing: the media node may have written its list before a
// later one was set up.
func (m *Monitor) reconcileSessions(node *nodeState, ev *Event) {
	node.state, node.lastContactAt, node.retryDelayMs, node.bootID, node.consecutiveRefusals =
		StateUp, m.now, 0, ev.BootID, 0
	if !m.cfg.StreamListsSessions {
		m.endGivenUp(node)
		return
	}
	m.lostSessionsGone(node) // those that still run are among the orphans
	running := make(map[SessionID]bool, len(ev.Sessions))
	for _, session := range ev.Sessions {
		running[session] = true
		if _, ok := node.sessions[session]; !ok && !node.pendingSetups[session] {
			m.out = append(m.out, Action{Kind: EndOrphan, Node: node.id, Session: session})
		}
	}
	for _, session := range sortedSessions(node.sessions) {
		if !running[session] && node.sessions[session].since < node.openedAt {
			m.loseSession(node, session, false)
		}
	}
}

// endGivenUp ends the sessions that were given up at a media node that has just been heard.
func (m *Monitor) endGivenUp(node *nodeState) {
	for _, session := range sortedSessions(node.givenUp) {
		m.out = append(m.out, Action{Kind: EndOrphan, Node: node.id, Session: session})
	}
	m.lostSessionsGone(node)
}

// lostSessionsGone reports that the sessions that were given up play no longer.
func (m *Monitor) lostSessionsGone(node *nodeState) {
	for _, session := range sortedSessions(node.givenUp) {
		m.lostSessionGone(node, session)
	}
}

func (m *Monitor) lostSessionGone(node *nodeState, session SessionID) {
	delete(node.givenUp, session)
	m.out = append(m.out, Action{Kind: LostSessionGone, Node: node.id, Session: session})
	if node.unused() {
		node.unusedSince = m.now
	}
}

func sortedSessions[V any](sessions map[SessionID]V) []SessionID {
	out := make([]SessionID, 0, len(sessions))
	for session := range sessions {
		out = append(out, session)
	}
	slices.Sort(out)
	return out
}

func (m *Monitor) loseSession(node *nodeState, session SessionID, mayPlay bool) {
	connectedAt := node.sessions[session].connectedAt
	delete(node.sessions, session)
	m.out = append(m.out, Action{Kind: SessionLost, Node: node.id, Session: session, MayPlay: mayPlay})
	if mayPlay {
		node.givenUp[session] = givenUpSession{at: m.now, connectedAt: connectedAt}
	}
	if node.unused() {
		node.unusedSince = m.now
	}
}

// streamFailed schedules the next attempt to open the stream; a media node without sessions needs none.
func (m *Monitor) streamFailed(node *nodeState) {
	node.state = StateBroken
	node.retryDelayMs = math.Min(math.Max(node.retryDelayMs*2, m.cfg.MinRetryMs), m.cfg.MaxRetryMs)
	node.retryAt = m.now + node.retryDelayMs
	if node.unused() {
		node.state = StateIdle
	}
}

// checkDown gives the sessions of a media node up that had no contact for too long, or whose process has ended.
func (m *Monitor) checkDown(node *nodeState) {
	if node.state != StateBroken && node.state != StateOpening {
		return
	}
	processEnded := node.consecutiveRefusals >= refusalsUntilDown
	if processEnded {
		m.lostSessionsGone(node)
	}
	if len(node.sessions) == 0 || !processEnded && m.now-node.lastContactAt <= m.cfg.NodeTimeoutMs {
		return
	}
	m.out = append(m.out, Action{Kind: NodeDown, Node: node.id, Count: len(node.sessions)})
	for _, session := range sortedSessions(node.sessions) {
		m.loseSession(node, session, !processEnded)
	}
	if node.state == StateOpening {
		m.out = append(m.out, Action{Kind: CancelOpen, Node: node.id})
	}
	node.state = StateDown
}

// checkTimeouts does what is due at a Tick; the package comment has the table.
func (m *Monitor) checkTimeouts() {
	for _, node := range m.sortedNodes {
		switch node.state {
		case StateOpening:
			if m.now-node.openedAt > m.cfg.OpenTimeoutMs {
				m.out = append(m.out, Action{Kind: CancelOpen, Node: node.id})
				m.streamFailed(node)
			}
		case StateUp:
			silent := m.now-node.lastContactAt > m.cfg.StreamTimeoutMs
			switch {
			case silent && !node.unused():
				m.openStream(node)
			case silent, node.unused() && m.now-node.unusedSince > m.cfg.IdleTimeoutMs:
				m.out = append(m.out, Action{Kind: CloseStream, Node: node.id})
				node.state = StateIdle
			}
		}
		m.checkDown(node)
		if node.state == StateBroken && m.now >= node.retryAt {
			if node.unused() {
				node.state = StateIdle
			} else {
				m.openStream(node)
			}
		}
		// A set-up is sent there, so it may be back; or it may have to be told.
		if node.state == StateDown && len(node.pendingSetups)+len(node.givenUp) > 0 {
			m.openStream(node)
		}
		for _, session := range sortedSessions(node.givenUp) {
			if m.now-node.givenUp[session].at > m.cfg.LostRetentionMs {
				m.lostSessionGone(node, session)
			}
		}
	}
	// A media node that has been unused for 10 idle time-outs is forgotten, so that the table is bounded by the present
	// nodes.
	m.sortedNodes = slices.DeleteFunc(m.sortedNodes, func(node *nodeState) bool {
		expired := (node.state == StateIdle || node.state == StateDown) && node.unused() &&
			m.now-node.unusedSince > 10*m.cfg.IdleTimeoutMs
		if expired {
			delete(m.nodes, node.id)
		}
		return expired
	})
}
