package headmill

// This file holds every decision of a front; the types, events and actions are in api.go.
//
// Path of a request:
//
//  1. Step passes EvRequest to handleRequest, which calls placeSession.
//  2. eligibleHolders collects the nodes that hold the title and are neither excluded by a hard constraint
//     (setupAllowed) nor by the circuit breaker (selectable).
//  3. shadowPrice finds the price of capacity on these nodes, and rungAtPrice the rung whose worth exceeds
//     the price of its rate by most.
//  4. pickNode chooses the holder of the title's placement token if it passes the admission test (admits),
//     and otherwise the least-loaded node with the title that passes. placeSession moves the token to the
//     node that is chosen, here or in step 5.
//  5. If no node passes, freeCapacity lowers own sessions that are worth less per kB than the new one; if
//     that is not enough, steps 4 and 5 repeat with the next lower rung.
//  6. sendSetup, the only place that emits a set-up, checks setupAllowed once more: drains, deadlines, the
//     attempt limit, the per-title session cap, class semantics, the retry budget and slow start.
//  7. If nothing fits, rejectRequest answers the viewer.
//
// EvAttemptPlaying, EvFeedback and EvAttemptEnded update the state of the nodes: load estimates, and the
// circuit breaker that ejects failing nodes. tick runs every tickIntervalMs; it lowers the rungs of playing
// sessions where a link or uplink is overloaded and raises them where capacity is free.
//
// A session is in one of these states:
//
//	state     fields               on an event
//	attempt   node set, !playing   EvAttemptPlaying: playing; EvAttemptEnded: next attempt or final answer,
//	                               or removed if SessionOver; EvViewerLeft: no attempt after this one
//	playing   node set, playing    EvAttemptEnded: removed
//
// A node accepts set-ups according to these states:
//
//	state        fields                           set-ups
//	closed       consecutiveFailures == 0         admitted by load; a certain failure, or a suspected one
//	                                              after another, opens it (attributeFailure)
//	open         now < ejectedUntil               none, until the back-off is over
//	half-open    consecutiveFailures > 0          one at a time and none of an AtMostOnce class; playing
//	                                              closes it; a failure that would open it when closed
//	                                              opens it for twice as long, up to maxEjectionMs
//	full         now < fullUntil                  none: the admission test fails
//	warming up   now < warmUpStartedAt+WarmUpMs   paced by hasWarmUpSlot
//	unavailable  unavailable                      none: the node drains or has been removed
//
// The DALA scheme, from which the routing by placement tokens is taken: Z. Ge, P. Ji, P. Shenoy, "A Demand
// Adaptive and Locality Aware (DALA) Streaming Media Server Cluster Architecture", NOSSDAV 2002.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
)

const (
	// setupLoadLimit is the load of a link or uplink up to which set-ups are admitted. The rest absorbs the
	// spread of the sessions' actual rates.
	setupLoadLimit = MaxSetupLoad
	// reliefThreshold is the load above which own sessions are lowered. At higher loads sessions get less
	// than their rate, and those that get less than 0.98 of it are worth less.
	reliefThreshold = 1.0
	// deepReliefThreshold is the load above which sessions are lowered below their efficient rung too: at
	// higher loads, where sessions get less than about 0.94 of their rate, viewers leave.
	deepReliefThreshold = 1.06
	// reliefTargetLoad is the load that relief aims at, so that no more is lowered than is in excess.
	reliefTargetLoad = 0.97
	// raiseLoadLimit is the link load up to which rungs are raised. It is below setupLoadLimit because a
	// rung change has a cost and free capacity is needed for set-ups.
	raiseLoadLimit = MaxRaiseLoad
	// tickIntervalMs is the time between two checks of all loads, well under the 1 s after which viewers
	// notice a shortage.
	tickIntervalMs = 250.0
	// raisePaybackFactor is how many times its cost a raise must be worth.
	raisePaybackFactor = 2.0
	// defaultRemainingS is the time in seconds that a session of unknown duration is assumed to go on.
	defaultRemainingS = 15.0
	// shortfallWindowMs is the time within which shortfalls of two nodes of a rack count as simultaneous.
	shortfallWindowMs = 1500.0
	// shortfallTolerance is the difference of rate shares up to which two shortfalls count as equal. Equal
	// and simultaneous shortfalls point to the uplink of the rack.
	shortfallTolerance = 0.04
	// hungNodeLoad is the load, inferred from a rate share, above which the node is taken to hang: the
	// shortfall is not attributed to the uplink, and no uplink capacity below UplinkKB/hungNodeLoad is
	// inferred.
	hungNodeLoad = 3.0
	// uplinkRecoveryFactor is the growth per tick of an inferred uplink capacity back to Config.UplinkKB; 4%
	// a second.
	uplinkRecoveryFactor = 1.01
	// minStepFraction is the fraction of a rung step, after the first, that the rate still to be freed or
	// used must cover. The first step is taken at random if it is not covered whole, with the covered
	// fraction as probability.
	minStepFraction = 0.9
	// rungHoldMs is the time for which a rung is not raised after a change, against flapping.
	rungHoldMs = 4000.0
	// loadReportAgeMs is the assumed age of a LoadReport on arrival. Config.ReportDelayMs is the age of the
	// other kind of measurement, EvFeedback.
	loadReportAgeMs = 400.0
	// loadReportWeight is the weight of a load report against the current estimate: reports are noisy.
	loadReportWeight = 0.5
	// attemptTimeoutShare is the share of the class's TargetMs after which a repeatable attempt times out if
	// another one can follow.
	attemptTimeoutShare = 0.45
	// minEjectionMs is the ejection time of a node after its first failure; it doubles with each
	// consecutive failure.
	minEjectionMs = 1000.0
	// maxEjectionMs is the limit of the ejection time, before jitter.
	maxEjectionMs = 8000.0
	// fullHoldMs is the time for which a node that answered "full" fails the admission test, so that requests
	// go to other nodes meanwhile.
	fullHoldMs = 1000.0
	// staleLoadTarget is the load to which a higher stale measurement decays, so that low rungs are tried
	// there again.
	staleLoadTarget = 0.8
	// staleLoadDecayMs is the time in which a stale measurement decays by two thirds.
	staleLoadDecayMs = 3000.0
	// staleGraceMs is the time past the configured report interval and delay after which a measurement is
	// stale.
	staleGraceMs = 1000.0
	// streamDecayMs is the time in which the reported streams of other fronts decay by two thirds: this
	// front does not see those sessions end.
	streamDecayMs = 15000.0
	// remoteZonePenalty is added to the load of nodes outside the front's zone when holders are compared:
	// traffic between zones has a price.
	remoteZonePenalty = 0.1
	// initialMeanLoad is the mean link load that is assumed before the first measurement.
	initialMeanLoad = 0.5
	// meanLoadWeight is the weight of one measurement in the mean link load: a single full node must not
	// make a front refuse everything.
	meanLoadWeight = 0.1
	// nodeLogIntervalMs is the minimum time between two log lines about the same node: a failing node would
	// cause one for each attempt.
	nodeLogIntervalMs = 2000.0
	// removedNodeRetentionMs is the time for which a removed node is remembered, with its failures and its
	// warm-up, in case that it is listed again.
	removedNodeRetentionMs = 60000.0
	// maxPlacementTokens is the largest number of placement tokens kept, as any number of titles that no node
	// holds can be asked for. At the limit all tokens are dropped.
	maxPlacementTokens = 1 << 16
	// tickTimerID is the Event.TimerID and Action.TimerID of tick.
	tickTimerID = 1
)

// failureTexts are the log texts of the outcomes that may be a node's fault. They are external.
var failureTexts = map[Outcome]string{
	OutcomeFailed:        "answers set-ups with errors",
	OutcomeTimedOut:      "lets set-ups time out",
	OutcomeConnectFailed: "takes no connections",   // refuses connections, or lets them time out
	OutcomeReset:         "broke its sessions off", // reset the connections of its sessions
}

// rateChange is a change of the front's own rates on a link or uplink, in kB/s at a time in ms.
type rateChange struct{ at, rateKB float64 }

// loadEstimate estimates the load of one link or uplink from the last measurement and the front's own rate
// changes since then.
type loadEstimate struct {
	capacityKB        float64      // assumed capacity in kB/s
	ownRateKB         float64      // rate that the front's own sessions ask for, in kB/s
	measuredLoad      float64      // last measured load: demand over capacity
	measuredAt        float64      // when a load was measured, or an uplink's capacity inferred; 0 = never
	measured          bool         // measuredLoad is set
	lastReliefAt      float64      // time of the last relief; only a later measurement allows another one
	unmeasuredChanges []rateChange // own changes that no measurement includes yet, by time
}

// addOwnRate records a change of the front's own rates.
func (e *loadEstimate) addOwnRate(now, kb float64) {
	e.ownRateKB += kb
	e.unmeasuredChanges = append(e.unmeasuredChanges, rateChange{now, kb})
	// Without a measurement nothing else drops changes; 64 bounds the memory until the first one.
	if len(e.unmeasuredChanges) > 64 && !e.measured {
		e.unmeasuredChanges = e.unmeasuredChanges[1:]
	}
}

// recordMeasurement sets the load measured at a time and drops the own changes that it includes. It ignores
// invalid loads and measurements older than the last one.
func (e *loadEstimate) recordMeasurement(at, load float64) {
	if !(load >= 0) || math.IsInf(load, 0) || (e.measured && at < e.measuredAt) {
		return
	}
	e.measuredLoad, e.measuredAt, e.measured = load, at, true
	included := 0
	for included < len(e.unmeasuredChanges) && e.unmeasuredChanges[included].at <= at {
		included++
	}
	e.unmeasuredChanges = e.unmeasuredChanges[:copy(e.unmeasuredChanges, e.unmeasuredChanges[included:])]
}

// current returns the estimated load now. A measurement is stale after staleAfterMs; unmeasuredLoad stands in
// where there has been no measurement. The result is never below the load of the front's own sessions.
func (e *loadEstimate) current(now, staleAfterMs, unmeasuredLoad float64) float64 {
	load := unmeasuredLoad
	if e.measured {
		load = e.measuredLoad
		for _, change := range e.unmeasuredChanges {
			load += change.rateKB / e.capacityKB
		}
		// A stale high load decays: it keeps set-ups away, and without set-ups there is no new measurement.
		if age := now - e.measuredAt - staleAfterMs; age > 0 && load > staleLoadTarget {
			load = staleLoadTarget + (load-staleLoadTarget)*math.Exp(-age/staleLoadDecayMs)
		}
	}
	return math.Max(load, e.ownRateKB/e.capacityKB)
}

// nodeState is what a front knows of one media node.
type nodeState struct {
	Node
	rack                *rackState
	unavailable         bool    // draining or removed, from the moment the node list says so
	removedAt           float64 // when the node list said that the node is removed; 0 while it is listed
	link                loadEstimate
	otherStreams        float64 // streams of other fronts as last reported; -1 before the first report
	streamsReportedAt   float64 // time of that report
	sessions            []*sessionState
	pendingSetups       int     // own attempts that neither play nor have ended
	consecutiveFailures int     // failures since a set-up last played
	ejectedUntil        float64 // end of the ejection after a failure
	fullUntil           float64 // end of the hold after a "full" answer
	presumedDown        bool    // the whole node seems to have failed: it is cold when it plays again
	suspectedFailure    bool    // a set-up failed or was reset, and none has played since
	warmUpStartedAt     float64 // start of the warm-up as far as known; 0 = warm
	lastColdSetupAt     float64 // last set-up sent during a warm-up
	lastLoggedAt        float64 // last log line about the node
	lastRaiseAt         float64 // last time that rungs were considered for raising
}

// rackState is a group of nodes behind one uplink, with the last node whose sessions got less than their
// rates, the time of that shortfall and the share that they got.
type rackState struct {
	uplink         loadEstimate
	nodes          []*nodeState
	lastShortNode  *nodeState
	lastShortAt    float64
	lastShortShare float64
}

// sessionState is one request, from its arrival to the end of its session.
type sessionState struct {
	id                    SessionID
	class                 *Class
	classIndex            int // Event.Class as received
	groupIndex            int // index in Controller.groups
	title                 uint64
	firstCell             int        // first cell that holds the title
	copies                int        // number of cells that hold it
	maxRung               int        // highest rung that both the viewer and the class allow
	deadline              float64    // when the viewer gives up
	expectedEndAt         float64    // expected end of the session; 0 = unknown
	node                  *nodeState // of the attempt that is pending or plays
	rung                  int        // the rung in force
	plannedRung           int        // the rung that lowerRungs or raiseRungs is about to set
	playing               bool
	mayHaveRun            bool       // an earlier attempt may have taken effect
	unattributedErrorNode *nodeState // where an attempt failed, until the next one shows whose fault it was
	errorCount            int        // attempts that ended with OutcomeFailed
	headroom              float64    // share of a node's streams that must stay free beside this session
	attempts              int
	attemptedNodes        []NodeID
	mayHaveRunAt          float64    // start of the first attempt that may have taken effect
	mayHaveRunOn          *nodeState // its node
	rungChangedAt         float64
	playingSince          float64
}

// sessionGroup counts attached sessions that are equal to shadowPrice: of one class and one highest rung.
type sessionGroup struct {
	class   *Class
	maxRung int
	count   float64
}

// titleKey identifies the sessions that a per-title session cap counts together.
type titleKey struct {
	title uint64
	class int
}

// Controller is the decision state of one front. It is not safe for concurrent use.
type Controller struct {
	cfg                 Config
	rng                 *rand.Rand
	firstStepAt         float64  // time of the first Step
	now                 float64  // time of the current Step
	linkKBPerStream     float64  // link capacity per stream, used where weights are not known
	actions             []Action // of the current Step
	nodesByID           map[NodeID]*nodeState
	nodes               []*nodeState   // sorted by ID, so that every iteration is deterministic
	nodesByCell         [][]*nodeState // index: cell; each sorted by ID
	racks               []*rackState
	sessions            map[SessionID]*sessionState
	sessionsPerTitle    map[titleKey]int
	placementTokens     map[uint64]*nodeState // current token holder by title
	requestTimes        []float64             // requests within the window of the retry budget
	furtherAttemptTimes []float64             // attempts after the first, within the same window
	tickScheduled       bool
	staleAfterMs        float64         // age at which a measurement is stale
	meanLinkLoad        float64         // running mean of measured link loads
	maxPrice            float64         // a price per kB/s above the worth of any rung
	holderBuffer        []*nodeState    // reused by eligibleHolders
	lowerCandidates     []*sessionState // input of lowerRungs, reused
	groups              []sessionGroup
}

// New returns the Controller of one front. It shares no state, and seed is its only source of randomness.
func New(cfg Config, seed uint64) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// The second word of the PCG seed is arbitrary; it selects the sequence of this package.
	c := &Controller{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x6865616d)),
		nodesByID: map[NodeID]*nodeState{}, sessions: map[SessionID]*sessionState{},
		sessionsPerTitle: map[titleKey]int{}, placementTokens: map[uint64]*nodeState{},
		meanLinkLoad: initialMeanLoad, nodesByCell: make([][]*nodeState, cfg.Cells),
		staleAfterMs: cfg.ReportIntervalMs + cfg.ReportDelayMs + staleGraceMs}
	for _, class := range cfg.Classes {
		c.maxPrice = math.Max(c.maxPrice,
			2*class.ValuePerSecond*cfg.RungWorth[len(cfg.RungWorth)-1]/(cfg.RateKB[0]*class.RateScale))
	}
	for i := range c.cfg.Classes {
		for maxRung := range cfg.RateKB {
			c.groups = append(c.groups, sessionGroup{class: &c.cfg.Classes[i], maxRung: maxRung})
		}
	}
	for range cfg.Racks {
		c.racks = append(c.racks, &rackState{uplink: loadEstimate{capacityKB: math.Max(cfg.UplinkKB, 1)}})
	}
	return c, nil
}

// Step processes the events that happened at now, in their order, and appends the resulting actions to out.
func (c *Controller) Step(now float64, events []Event, out []Action) []Action {
	if c.firstStepAt == 0 {
		c.firstStepAt = now
	}
	c.now, c.actions = now, out
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case EvNodes:
			c.updateNodes(event)
		case EvRequest:
			c.handleRequest(event)
		case EvExistingSession:
			c.handleExistingSession(event)
		case EvAttemptPlaying:
			c.handlePlaying(event)
		case EvFeedback:
			c.handleFeedback(event)
		case EvAttemptEnded:
			c.handleAttemptEnded(event)
		case EvViewerLeft:
			if session := c.sessions[event.Session]; session != nil {
				session.deadline = now // no further attempt
			}
		case EvTimer:
			c.tickScheduled = false
			c.tick()
		}
	}
	if !c.tickScheduled {
		c.tickScheduled = true
		c.actions = append(c.actions,
			Action{Kind: ActTimer, AtMs: now + tickIntervalMs, TimerID: tickTimerID})
	}
	return c.actions
}

// ---- state of the nodes ----

// updateNodes applies a full node list or a delta. Nodes that a full list lacks become unavailable at once
// and are forgotten after removedNodeRetentionMs, once their sessions have ended.
func (c *Controller) updateNodes(event *Event) {
	if event.ListUnavailable || c.cfg.SubscribeToNodes && len(c.nodes) == 0 {
		c.actions = append(c.actions, Action{Kind: ActSubscribe})
	}
	if event.ListUnavailable {
		return
	}
	listed := make(map[NodeID]bool, len(event.Nodes))
	for _, entry := range event.Nodes {
		listed[entry.ID] = true
		node := c.nodesByID[entry.ID]
		if node == nil {
			node = &nodeState{Node: entry, otherStreams: -1, rack: c.racks[entry.Cell%c.cfg.Racks],
				warmUpStartedAt: entry.StartedAtMs}
			c.nodesByID[entry.ID] = node
			c.nodes = append(c.nodes, node)
		} else if entry.StartedAtMs > node.StartedAtMs {
			// A restart: the node warms up, and failures and load from before it no longer count.
			node.warmUpStartedAt, node.presumedDown, node.consecutiveFailures,
				node.ejectedUntil, node.link.measured = entry.StartedAtMs, false, 0, 0, false
		}
		node.Node, node.unavailable = entry, entry.Health != HealthReady
	}
	c.nodes = slices.DeleteFunc(c.nodes, func(node *nodeState) bool {
		node.unavailable = node.unavailable || !event.NodesAreDelta && !listed[node.ID]
		if node.Health != HealthRemoved && (event.NodesAreDelta || listed[node.ID]) {
			node.removedAt = 0
		} else if node.removedAt == 0 {
			node.Health, node.removedAt = HealthRemoved, c.now
		} else if c.now-node.removedAt > removedNodeRetentionMs && len(node.sessions) == 0 {
			delete(c.nodesByID, node.ID)
		}
		return c.nodesByID[node.ID] == nil
	})
	sort.Slice(c.nodes, func(i, j int) bool { return c.nodes[i].ID < c.nodes[j].ID })
	clear(c.nodesByCell)
	for _, rack := range c.racks {
		rack.nodes = rack.nodes[:0]
	}
	for _, node := range c.nodes {
		node.rack.nodes = append(node.rack.nodes, node)
		c.nodesByCell[node.Cell%len(c.nodesByCell)] =
			append(c.nodesByCell[node.Cell%len(c.nodesByCell)], node)
	}
	c.assignLinkCapacities()
}

// assignLinkCapacities sets each node's link capacity by its weight or, where weights are not known, by its
// kind's share of all streams. The capacity per stream is fixed by the first node list that is not empty.
func (c *Controller) assignLinkCapacities() {
	// Without configured stream limits (infinite, cut to 1e6 to keep the arithmetic finite) all links count
	// as equal.
	size := func(node *nodeState) float64 { return min(c.streamLimit(node), 1e6) }
	if c.linkKBPerStream == 0 {
		total := 0.0
		for _, node := range c.nodes {
			total += size(node)
		}
		c.linkKBPerStream = c.cfg.TotalLinkKB / max(total, 1)
	}
	for _, node := range c.nodes {
		node.link.capacityKB = size(node) * c.linkKBPerStream
		if c.cfg.WeightsKnown && c.cfg.LinkKBPerWeight > 0 || node.link.capacityKB == 0 {
			// At least 0.01 of a unit of weight, and the rate of the lowest rung: the capacity is a divisor.
			node.link.capacityKB =
				math.Max(math.Max(node.Weight, 0.01)*c.cfg.LinkKBPerWeight, c.cfg.RateKB[0])
		}
	}
}

// streamLimit is the number of streams that a node runs at most, or infinity where its kind states none.
func (c *Controller) streamLimit(node *nodeState) float64 {
	if node.Kind < len(c.cfg.StreamsByKind) {
		return float64(c.cfg.StreamsByKind[node.Kind])
	}
	return math.Inf(1)
}

// recordLinkLoad records a measured link load, also in the running mean that stands in for the load of nodes
// without a measurement. A load above 2 counts as 2 in the mean, as an outlier.
func (c *Controller) recordLinkLoad(node *nodeState, at, load float64) {
	node.link.recordMeasurement(at, load)
	if node.link.measured {
		c.meanLinkLoad += (math.Min(load, 2) - c.meanLinkLoad) * meanLoadWeight
	}
}

// hasFreshLoad reports whether the last measurement of a node's link is not stale.
func (c *Controller) hasFreshLoad(node *nodeState) bool {
	return node.link.measured && c.now-node.link.measuredAt <= c.staleAfterMs
}

// linkLoad is the load estimate of a node's link.
func (c *Controller) linkLoad(node *nodeState) float64 {
	return node.link.current(c.now, c.staleAfterMs, c.meanLinkLoad)
}

// uplinkLoad is the load estimate of a rack's uplink. An uplink without a measurement is assumed to carry the
// sum of its nodes' links.
func (c *Controller) uplinkLoad(rack *rackState) float64 {
	if rack.uplink.measured {
		return rack.uplink.current(c.now, c.staleAfterMs, 0)
	}
	demandKB, limit := 0.0, staleLoadTarget // stale loads and assumptions alone never exclude a rack
	for _, node := range rack.nodes {
		if !node.unavailable {
			demandKB += c.linkLoad(node) * node.link.capacityKB
		}
		if c.hasFreshLoad(node) {
			limit = math.Inf(1)
		}
	}
	return rack.uplink.current(c.now, c.staleAfterMs, math.Min(demandKB/rack.uplink.capacityKB, limit))
}

// nodeLoad is the higher load of a node's link and its rack's uplink.
func (c *Controller) nodeLoad(node *nodeState) float64 {
	return math.Max(c.linkLoad(node), c.uplinkLoad(node.rack))
}

// warmingUp reports whether a node started less than WarmUpMs ago.
func (c *Controller) warmingUp(node *nodeState) bool {
	return node.warmUpStartedAt > 0 && c.now-node.warmUpStartedAt < c.cfg.WarmUpMs
}

// eject counts a failure and ejects the node for an exponential back-off with a jitter of 25%. It logs the
// failure, rate-limited for each node. The log text, which shows the ID as an address, is external.
func (c *Controller) eject(node *nodeState, reason string) {
	node.consecutiveFailures++
	ejectionMs := math.Min(minEjectionMs*math.Pow(2, float64(node.consecutiveFailures-1)), maxEjectionMs)
	node.ejectedUntil = c.now + ejectionMs*(0.75+0.5*c.rng.Float64())
	if c.now-node.lastLoggedAt < nodeLogIntervalMs && node.lastLoggedAt > 0 {
		return
	}
	node.lastLoggedAt = c.now
	id := uint64(node.ID)
	text := fmt.Sprintf("server %d.%d.%d.%d:%d %s; link %.2f uplink %.2f", id&255, id>>8&255, id>>16&255,
		id>>24&255, id>>32, reason, c.linkLoad(node), c.uplinkLoad(node.rack))
	c.actions = append(c.actions, Action{Kind: ActLog, Text: text})
}

// applyLoadReport blends a node's load report into the estimates.
func (c *Controller) applyLoadReport(node *nodeState, report *LoadReport) {
	if !report.Present {
		return
	}
	at := c.now - loadReportAgeMs
	if report.LinkLoad >= 0 {
		c.recordLinkLoad(node, at,
			report.LinkLoad+(c.linkLoad(node)-report.LinkLoad)*priorWeight(c.hasFreshLoad(node)))
	}
	if report.UplinkLoad >= 0 {
		node.rack.uplink.recordMeasurement(at,
			report.UplinkLoad+
				(c.uplinkLoad(node.rack)-report.UplinkLoad)*priorWeight(node.rack.uplink.measured))
	}
	if report.Streams >= 0 {
		node.otherStreams, node.streamsReportedAt =
			math.Max(0, report.Streams-float64(len(node.sessions))), c.now
	}
}

// priorWeight is the weight of an estimate against a load report; 0 if the estimate rests on no measurement.
func priorWeight(measured bool) float64 {
	if measured {
		return 1 - loadReportWeight
	}
	return 0
}

// ---- sessions on nodes ----

// rateKB is the rate of a class at a rung, in kB/s.
func (c *Controller) rateKB(class *Class, rung int) float64 {
	return c.cfg.RateKB[rung] * class.RateScale
}

// attach counts a session on a node: in the loads, the per-title session cap and the session groups.
func (c *Controller) attach(session *sessionState, node *nodeState, rung int) {
	session.node, session.rung = node, rung
	node.sessions = append(node.sessions, session)
	kb := c.rateKB(session.class, rung)
	node.link.addOwnRate(c.now, kb)
	node.rack.uplink.addOwnRate(c.now, kb)
	c.sessionsPerTitle[titleKey{session.title, session.classIndex}]++
	c.groups[session.groupIndex].count++
}

// detach undoes attach at the end of an attempt or session.
func (c *Controller) detach(session *sessionState) {
	node := session.node
	if i := slices.Index(node.sessions, session); i >= 0 {
		node.sessions = slices.Delete(node.sessions, i, i+1)
	}
	c.groups[session.groupIndex].count--
	kb := c.rateKB(session.class, session.rung)
	node.link.addOwnRate(c.now, -kb)
	node.rack.uplink.addOwnRate(c.now, -kb)
	if !session.playing {
		node.pendingSetups--
	}
	key := titleKey{session.title, session.classIndex}
	if c.sessionsPerTitle[key]--; c.sessionsPerTitle[key] <= 0 {
		delete(c.sessionsPerTitle, key)
	}
	session.node, session.playing = nil, false
}

// setRung changes the rung of an attached session, within the bounds of its class and viewer.
func (c *Controller) setRung(session *sessionState, rung int) {
	rung = max(min(rung, session.maxRung), session.class.MinRung)
	kb := c.rateKB(session.class, rung) - c.rateKB(session.class, session.rung)
	if session.node == nil || kb == 0 {
		return
	}
	session.node.link.addOwnRate(c.now, kb)
	session.node.rack.uplink.addOwnRate(c.now, kb)
	session.rung, session.rungChangedAt = rung, c.now
	c.actions = append(c.actions, Action{Kind: ActSetRung, Session: session.id, Rung: rung})
}

// newSession registers the session that an event describes.
func (c *Controller) newSession(event *Event) *sessionState {
	class := &c.cfg.Classes[min(event.Class, len(c.cfg.Classes)-1)]
	session := &sessionState{id: event.Session, class: class, classIndex: event.Class, title: event.Title,
		firstCell: event.FirstCell, copies: event.Copies, deadline: c.now + event.TimeLeftMs,
		headroom: event.Headroom, maxRung: min(event.MaxRung, class.MaxRung, len(c.cfg.RateKB)-1)}
	session.groupIndex = min(event.Class, len(c.cfg.Classes)-1)*len(c.cfg.RateKB) + max(session.maxRung, 0)
	if event.DurationHintMs > 0 {
		session.expectedEndAt = c.now + event.DurationHintMs
	}
	c.sessions[session.id] = session
	return session
}

// handleExistingSession attaches a session that plays already: one from before the front started, or one that
// is adopted after a late answer. Measurements include its rate, so it is not kept as an unmeasured change.
func (c *Controller) handleExistingSession(event *Event) {
	session, node := c.newSession(event), c.nodesByID[event.Node]
	if node == nil {
		return
	}
	session.attempts = 1
	c.attach(session, node, session.class.MinRung)
	session.playing = true
	node.link.unmeasuredChanges, node.rack.uplink.unmeasuredChanges =
		node.link.unmeasuredChanges[:len(node.link.unmeasuredChanges)-1],
		node.rack.uplink.unmeasuredChanges[:len(node.rack.uplink.unmeasuredChanges)-1]
}

// ---- placement ----

// handleRequest registers a new request and places it.
func (c *Controller) handleRequest(event *Event) {
	session := c.newSession(event)
	if c.cfg.RetryBudget {
		c.requestTimes = append(c.requestTimes, c.now)
	}
	c.placeSession(session)
}

// eligibleHolders returns the nodes that hold the session's title and that both the hard constraints and the
// circuit breaker allow. The result is valid until the next call.
func (c *Controller) eligibleHolders(session *sessionState) []*nodeState {
	c.holderBuffer = c.holderBuffer[:0]
	for i := 0; i < session.copies && i < len(c.nodesByCell); i++ {
		for _, node := range c.nodesByCell[(session.firstCell+i)%len(c.nodesByCell)] {
			if c.setupAllowed(session, node) && c.selectable(session, node) {
				c.holderBuffer = append(c.holderBuffer, node)
			}
		}
	}
	return c.holderBuffer
}

// selectable is the circuit breaker: it excludes ejected nodes, and sends a half-open node one set-up at a
// time, none of them of an AtMostOnce class. It also excludes nodes that the session has attempted before.
func (c *Controller) selectable(session *sessionState, node *nodeState) bool {
	if c.now < node.ejectedUntil ||
		(node.consecutiveFailures > 0 && (node.pendingSetups > 0 || session.class.Semantics == AtMostOnce)) {
		return false
	}
	return !slices.Contains(session.attemptedNodes, node.ID)
}

// admits is the admission test: the node needs a free stream, and the rate must fit under setupLoadLimit on
// both its link and its uplink.
func (c *Controller) admits(session *sessionState, node *nodeState, kb float64) bool {
	return c.hasStreamCapacity(session, node) &&
		c.linkLoad(node)+kb/node.link.capacityKB <= setupLoadLimit &&
		c.uplinkLoad(node.rack)+kb/node.rack.uplink.capacityKB <= setupLoadLimit
}

// hasStreamCapacity reports whether the node has a free stream beside the session's headroom. Headroom
// applies to streams only, not to rates: lowering rungs frees rate when it is needed, and unused rate is
// worth nothing.
func (c *Controller) hasStreamCapacity(session *sessionState, node *nodeState) bool {
	return c.now >= node.fullUntil &&
		c.streamEstimate(node) < c.streamLimit(node)*(1-session.headroom)
}

// streamEstimate is the number of a node's streams: own ones, and those of others as last reported, decayed.
func (c *Controller) streamEstimate(node *nodeState) float64 {
	return math.Max(node.otherStreams, 0)*math.Exp((node.streamsReportedAt-c.now)/streamDecayMs) +
		float64(len(node.sessions))
}

// placeSession sends the next attempt of a request at the highest rung that fits, starting at the one that
// the shadow price allows, and moves the title's placement token to the chosen node. It rejects the request
// if no rung fits, and at once if the viewer's highest rung is below the class's lowest one.
func (c *Controller) placeSession(session *sessionState) {
	holders := c.eligibleHolders(session)
	lowest := c.efficientRung(session)
	wanted := max(c.rungAtPrice(session.class, session.maxRung, c.shadowPrice(holders, session)), lowest)
	tokenHolder := c.placementTokens[session.title]
	if tokenHolder == nil && len(holders) > 0 {
		tokenHolder = slices.MaxFunc(holders, func(a, b *nodeState) int {
			return cmp.Compare(c.rendezvousWeight(a, session.title), c.rendezvousWeight(b, session.title))
		})
	}
	for rung := wanted; rung >= lowest && rung <= session.maxRung; rung-- {
		kb := c.rateKB(session.class, rung)
		node := c.pickNode(session, holders, tokenHolder, kb)
		if node == nil {
			node = c.freeCapacity(session, holders, rung, kb)
		}
		if node != nil {
			if len(c.placementTokens) >= maxPlacementTokens {
				clear(c.placementTokens)
			}
			c.placementTokens[session.title] = node
			c.sendSetup(session, node, rung)
			return
		}
	}
	c.rejectRequest(session)
}

// pickNode returns the token holder if it passes the admission test, or else the least-loaded of holders, the
// nodes with the title, that does.
// The rendezvous weight breaks ties, as among nodes without a measurement.
func (c *Controller) pickNode(session *sessionState, holders []*nodeState, tokenHolder *nodeState,
	kb float64) *nodeState {
	best, bestLoad, bestWeight := (*nodeState)(nil), math.Inf(1), uint64(0)
	for _, node := range holders {
		load, weight := c.nodeLoad(node), c.rendezvousWeight(node, session.title)
		if node.Zone != c.cfg.Zone {
			load += remoteZonePenalty
		}
		if (load < bestLoad || load == bestLoad && weight > bestWeight || node == tokenHolder) &&
			c.admits(session, node, kb) {
			if best, bestLoad, bestWeight = node, load, weight; node == tokenHolder {
				break
			}
		}
	}
	return best
}

// rendezvousWeight orders the holders of a title by rendezvous hashing, in the same way at every front, with
// nodes in the front's own zone first. The DALA scheme has one starting node for all fronts; one for each
// zone avoids traffic between zones, and keeps all fronts from filling the same node.
func (c *Controller) rendezvousWeight(node *nodeState, title uint64) uint64 {
	weight := mix64(mix64(title)^uint64(node.ID)) >> 1
	if node.Zone == c.cfg.Zone {
		weight |= 1 << 63
	}
	return weight
}

// mix64 is the finalizer of the SplitMix64 generator.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rungWorth is the worth of a second of a session at a rung.
func (c *Controller) rungWorth(session *sessionState, rung int) float64 {
	return session.class.ValuePerSecond * c.cfg.RungWorth[rung]
}

// efficientRung is the rung with the most worth per kB. No session is set up below it: it would use capacity
// that is worth more in another session, and would force playing sessions down to their lowest rung, so that
// all are worth less.
func (c *Controller) efficientRung(session *sessionState) int {
	best := session.class.MinRung
	for rung := best + 1; rung <= session.maxRung; rung++ {
		if c.rungWorth(session, rung)*c.cfg.RateKB[best] > c.rungWorth(session, best)*c.cfg.RateKB[rung] {
			best = rung
		}
	}
	return best
}

// rungAtPrice is the rung with the highest worth less the price of its rate.
func (c *Controller) rungAtPrice(class *Class, maxRung int, price float64) int {
	best, bestSurplus := class.MinRung, math.Inf(-1)
	for rung := class.MinRung; rung <= maxRung; rung++ {
		if surplus := class.ValuePerSecond*c.cfg.RungWorth[rung] -
			price*c.rateKB(class, rung); surplus > bestSurplus {
			best, bestSurplus = rung, surplus
		}
	}
	return best
}

// effectiveCapacityKB is what a node can carry, in kB/s, when all links share the uplinks in proportion.
func (c *Controller) effectiveCapacityKB(node *nodeState) float64 {
	return node.link.capacityKB *
		math.Min(1, node.rack.uplink.capacityKB*float64(c.cfg.Racks)/math.Max(c.cfg.TotalLinkKB, 1))
}

// shadowPrice finds, by bisection, the price per kB/s at which all sessions on the holders, the new one
// included, would just fill the holders' capacity. The front's own sessions stand for those of all fronts, so
// the price does not depend on the number of fronts. Unlike in the DALA scheme, placement starts at the rung
// that this price allows and not at the viewer's highest one.
func (c *Controller) shadowPrice(holders []*nodeState, session *sessionState) float64 {
	middleRateKB := c.cfg.RateKB[len(c.cfg.RateKB)/2] * session.class.RateScale
	ownKB, demandKB, capacityKB := middleRateKB, middleRateKB, 0.0
	for _, node := range c.nodes {
		ownKB += node.link.ownRateKB
	}
	for _, node := range holders {
		demandKB += math.Max(c.linkLoad(node)*node.link.capacityKB, node.link.ownRateKB)
		capacityKB += c.effectiveCapacityKB(node) * setupLoadLimit
	}
	budgetKB := capacityKB * ownKB / demandKB
	low, high := 0.0, c.maxPrice // 20 halvings leave a millionth of the interval
	for range 20 {
		price := (low + high) / 2
		sumKB := c.rateKB(session.class, c.rungAtPrice(session.class, session.maxRung, price))
		for i := range c.groups {
			// Summing over groups makes the cost independent of the number of sessions.
			if group := &c.groups[i]; group.count > 0 {
				sumKB += group.count * c.rateKB(group.class, c.rungAtPrice(group.class, group.maxRung, price))
			}
		}
		if sumKB > budgetKB {
			low = price
		} else {
			high = price
		}
	}
	return high
}

// stepWorth is the worth per second of the step from a rung to the next higher one.
func (c *Controller) stepWorth(session *sessionState, rung int) float64 {
	return c.rungWorth(session, rung+1) - c.rungWorth(session, rung)
}

// stepRateKB is the rate of that step, in kB/s.
func (c *Controller) stepRateKB(session *sessionState, rung int) float64 {
	return c.rateKB(session.class, rung+1) - c.rateKB(session.class, rung)
}

// lossPerKB is the worth lost per kB/s freed when a session goes down one rung from its planned one.
func (c *Controller) lossPerKB(session *sessionState) float64 {
	if session.plannedRung <= session.class.MinRung {
		return math.Inf(1)
	}
	return c.stepWorth(session, session.plannedRung-1) / c.stepRateKB(session, session.plannedRung-1)
}

// freeCapacity is called when no holder admits a new session at a rung. It returns the least-loaded holder
// where lowering own sessions is enough, and lowers them; only sessions that lose less worth per kB than the
// new session would have per kB are lowered. It returns nil if there is no such holder.
func (c *Controller) freeCapacity(session *sessionState, holders []*nodeState, rung int,
	kb float64) *nodeState {
	sort.SliceStable(holders, func(i, j int) bool { return c.nodeLoad(holders[i]) < c.nodeLoad(holders[j]) })
	for _, node := range holders {
		if !c.hasStreamCapacity(session, node) {
			continue
		}
		linkKB := kb - (setupLoadLimit-c.linkLoad(node))*node.link.capacityKB
		uplinkKB := kb - (setupLoadLimit-c.uplinkLoad(node.rack))*node.rack.uplink.capacityKB
		c.lowerCandidates = append(c.lowerCandidates[:0], node.sessions...)
		if uplinkKB > linkKB {
			for _, other := range node.rack.nodes {
				if other != node {
					c.lowerCandidates = append(c.lowerCandidates, other.sessions...)
				}
			}
		}
		if c.lowerRungs(linkKB, uplinkKB, node, c.rungWorth(session, rung)/kb, true) {
			return node
		}
	}
	return nil
}

// lowerRungs lowers sessions of lowerCandidates, each in one rung change and the one with the least loss per
// kB first, until linkKB and uplinkKB are freed. Steps that lose maxLoss per kB or more are not taken. If
// onNode is set, only sessions on that node free its link. With allOrNothing it changes no session and
// returns false if it can't free enough.
func (c *Controller) lowerRungs(linkKB, uplinkKB float64, onNode *nodeState, maxLoss float64,
	allOrNothing bool) bool {
	for _, candidate := range c.lowerCandidates {
		candidate.plannedRung = candidate.rung
	}
	requiredFit := c.rng.Float64()
	for linkKB > 0 || uplinkKB > 0 {
		best, leastLoss := (*sessionState)(nil), maxLoss
		for _, candidate := range c.lowerCandidates {
			if loss := c.lossPerKB(candidate); loss < leastLoss &&
				(linkKB <= 0 || onNode == nil || candidate.node == onNode) {
				best, leastLoss = candidate, loss
			}
		}
		if best == nil && allOrNothing {
			return false
		}
		if best == nil ||
			!allOrNothing && math.Max(linkKB, uplinkKB) < requiredFit*c.stepRateKB(best, best.plannedRung-1) {
			break
		}
		kb := c.stepRateKB(best, best.plannedRung-1)
		best.plannedRung--
		requiredFit = minStepFraction
		uplinkKB -= kb
		if onNode == nil || best.node == onNode {
			linkKB -= kb
		}
	}
	for _, candidate := range c.lowerCandidates {
		c.setRung(candidate, candidate.plannedRung)
	}
	return true
}

// ---- attempts and hard constraints ----

// setupAllowed checks the hard constraints: the conditions under which a set-up of a session on a node is
// forbidden now, whatever it would be worth. sendSetup checks them for every set-up.
func (c *Controller) setupAllowed(session *sessionState, node *nodeState) bool {
	// Draining or removed node; one attempt at a time; the viewer's deadline; the attempt limit.
	if node.unavailable || session.node != nil || c.now >= session.deadline ||
		session.attempts >= c.cfg.MaxAttempts {
		return false
	}
	// Per-title session cap.
	if class := session.class; class.MaxPerTitle > 0 &&
		c.sessionsPerTitle[titleKey{session.title, session.classIndex}] >= class.MaxPerTitle {
		return false
	}
	// A set-up must not take effect twice.
	if session.mayHaveRun {
		switch class := session.class; {
		case class.Semantics == AtMostOnce,
			class.Semantics == IdempotentByKey && c.now-session.mayHaveRunAt > class.KeyTTLMs,
			class.Semantics == IdempotentByKey && class.KeyScope == ScopeZone &&
				node.Zone != session.mayHaveRunOn.Zone,
			class.Semantics == IdempotentByKey && class.KeyScope == ScopeCell &&
				node.Cell != session.mayHaveRunOn.Cell:
			return false
		}
	}
	// Retry budget, for attempts after the first.
	if session.attempts > 0 && c.cfg.RetryBudget && !c.withinRetryBudget() {
		return false
	}
	// Slow start.
	return !c.warmingUp(node) || c.hasWarmUpSlot(node)
}

// hasWarmUpSlot is the slow start of a node that warms up. It grants one set-up in each time slot, at the
// node's lowest set-up rate (Config.ColdRateFraction), and the slots rotate over the fronts, so that all
// fronts together keep to that rate without any communication. Slots are counted on the clock that the fronts
// share and not from the node's start, which fronts that saw the node fail date differently.
//
// A front's turn stays open for more than one slot, as a front with little traffic would miss it otherwise:
// for as many slots as the node accepts set-ups beyond its rate, 2*sqrt(n)+2 in Config.ColdWindowMs, less
// ConnectTimeoutMs, since a set-up may reach the node that much after its slot. A turn that began before the
// front's first Step may have been used before a restart, so it is not granted.
func (c *Controller) hasWarmUpSlot(node *nodeState) bool {
	// A ColdRateFraction below 0.05 counts as 0.05.
	slotMs := c.cfg.WarmUpMs / math.Max(c.streamLimit(node)*math.Max(c.cfg.ColdRateFraction, 0.05), 1)
	if !(slotMs > 0) {
		return false
	}
	openSlots := 1.0
	if c.cfg.ColdWindowMs > 0 {
		openSlots = math.Max(1,
			math.Floor(2*math.Sqrt(c.cfg.ColdWindowMs/slotMs)+2-c.cfg.ConnectTimeoutMs/slotMs))
	}
	fronts, slot := float64(c.cfg.Fronts), math.Floor(c.now/slotMs)
	firstSlot := math.Mod(
		float64(c.cfg.FrontIndex)+float64(mix64(uint64(node.ID))%uint64(c.cfg.Fronts)), fronts)
	age := math.Mod(math.Mod(slot-firstSlot, fronts)+fronts, fronts)
	turnStart := (slot - age) * slotMs // one set-up is granted for each turn
	return age < openSlots && node.lastColdSetupAt < turnStart && turnStart >= c.firstStepAt
}

// withinRetryBudget reports whether the retry budget allows one more attempt after the first: a minimum, plus
// a ratio of the requests within the window.
func (c *Controller) withinRetryBudget() bool {
	windowStart := c.now - c.cfg.RetryBudgetWindowMs
	c.requestTimes, c.furtherAttemptTimes =
		dropThrough(c.requestTimes, windowStart), dropThrough(c.furtherAttemptTimes, windowStart)
	return float64(len(c.furtherAttemptTimes)+1) <=
		c.cfg.RetryBudgetMin+c.cfg.RetryBudgetRatio*float64(len(c.requestTimes))
}

// dropThrough removes the leading times up to and including limit, in place.
func dropThrough(times []float64, limit float64) []float64 {
	first := 0
	for first < len(times) && times[first] <= limit {
		first++
	}
	return times[:copy(times, times[first:])]
}

// sendSetup starts an attempt, or rejects the request if setupAllowed forbids it. It is the only place that
// emits a set-up.
func (c *Controller) sendSetup(session *sessionState, node *nodeState, rung int) {
	if !c.setupAllowed(session, node) {
		c.rejectRequest(session)
		return
	}
	timeoutMs := 0.0 // until the viewer gives up
	if session.class.Semantics == Repeatable && session.attempts+1 < c.cfg.MaxAttempts {
		// A TargetMs below 100 ms counts as 100 ms.
		timeoutMs = math.Min(session.deadline-c.now, math.Max(session.class.TargetMs, 100)) *
			attemptTimeoutShare
	}
	if session.attempts > 0 && c.cfg.RetryBudget {
		c.furtherAttemptTimes = append(c.furtherAttemptTimes, c.now)
	}
	if c.warmingUp(node) {
		node.lastColdSetupAt = c.now
	}
	session.attempts++
	session.attemptedNodes = append(session.attemptedNodes, node.ID)
	node.pendingSetups++
	c.attach(session, node, rung)
	session.rungChangedAt = c.now
	c.actions = append(c.actions, Action{Kind: ActSetRung, Session: session.id, Rung: rung},
		Action{Kind: ActSetup, Session: session.id, Node: node.ID, AtMs: timeoutMs})
}

// rejectRequest ends a request that can't be placed. It refuses the request where the viewer may safely
// retry, and fails it where an earlier attempt may have taken effect and a retry may repeat that.
func (c *Controller) rejectRequest(session *sessionState) {
	delete(c.sessions, session.id)
	if session.unattributedErrorNode != nil { // no further attempt will attribute the error
		c.suspectFailure(session.unattributedErrorNode, failureTexts[OutcomeFailed])
	}
	class := session.class
	if session.mayHaveRun && (class.Semantics == AtMostOnce ||
		class.Semantics == IdempotentByKey && class.KeyScope != ScopeAll) {
		c.actions = append(c.actions, Action{Kind: ActFail, Session: session.id})
		return
	}
	refusal := Action{Kind: ActRefuse, Session: session.id}
	if c.cfg.AdviseRetryAfter {
		refusal.RetryAfterMs = c.cfg.MaxRetryAfterMs
	}
	c.actions = append(c.actions, refusal)
}

// ---- outcomes and feedback ----

// handlePlaying records that an attempt plays: it closes the node's circuit breaker, and starts the warm-up
// of a node that was presumed down.
func (c *Controller) handlePlaying(event *Event) {
	node := c.nodesByID[event.Node]
	if node != nil {
		if node.presumedDown {
			node.presumedDown, node.warmUpStartedAt = false, c.now
		}
		node.consecutiveFailures, node.ejectedUntil, node.suspectedFailure = 0, 0, false
	}
	if session := c.sessions[event.Session]; session != nil && session.node != nil && !session.playing {
		// The request plays here, so the earlier error was not its own fault.
		if session.unattributedErrorNode != nil {
			c.suspectFailure(session.unattributedErrorNode, failureTexts[OutcomeFailed])
		}
		session.playing, session.playingSince = true, c.now
		session.node.pendingSetups--
		if session.expectedEndAt > 0 {
			session.expectedEndAt += event.LatencyMs
		}
	}
}

// handleFeedback records one measurement, or the rung in force, that a node reported on a session.
func (c *Controller) handleFeedback(event *Event) {
	node, session := c.nodesByID[event.Node], c.sessions[event.Session]
	if node == nil {
		return
	}
	at := c.now - c.cfg.ReportDelayMs
	if session != nil && (!session.playing || session.playingSince == c.now) {
		// Sent at set-up, in the same batch as EvAttemptPlaying: it is current and includes the session.
		at = c.now
	}
	switch event.Feedback {
	case FeedbackRung:
		if session != nil && session.node != nil {
			rung := max(min(int(event.FeedbackValue), len(c.cfg.RateKB)-1), 0)
			kb := c.rateKB(session.class, rung) - c.rateKB(session.class, session.rung)
			session.rung = rung
			// The rung was set earlier: the last measurement includes it, so it is no unmeasured change.
			session.node.link.ownRateKB += kb
			session.node.rack.uplink.ownRateKB += kb
		}
	case FeedbackLinkLoad:
		c.recordLinkLoad(node, at, event.FeedbackValue)
	case FeedbackUplinkLoad:
		node.rack.uplink.recordMeasurement(at, event.FeedbackValue)
	case FeedbackRateShare:
		c.applyRateShare(node, event.FeedbackValue)
	}
}

// applyRateShare takes the share of their rates that a node's sessions got, if it is below 0.98, as a
// measurement of a load of 1/share. It counts for the link, or for an uplink without measurements if two of
// its nodes fall equally short within a short time and by more than their links explain; the uplink's
// capacity is then inferred from the demand. 0.98 is the share below which a session is worth less; 0.03 is
// the difference up to which the inferred load and the estimate count as equal.
func (c *Controller) applyRateShare(node *nodeState, share float64) {
	if share >= 0.98 || share <= 0 {
		return
	}
	load, at, rack := 1/share, c.now-c.cfg.ReportDelayMs, node.rack
	equalShortfall := rack.lastShortNode != node && c.now-rack.lastShortAt < shortfallWindowMs &&
		math.Abs(rack.lastShortShare-share) < shortfallTolerance
	rack.lastShortNode, rack.lastShortAt, rack.lastShortShare = node, c.now, share
	if equalShortfall && !rack.uplink.measured && load < hungNodeLoad && c.linkLoad(node) < load-0.03 {
		demandKB := c.uplinkLoad(rack) * rack.uplink.capacityKB
		rack.uplink.capacityKB, rack.uplink.measuredAt = math.Min(rack.uplink.capacityKB,
			math.Max(demandKB/load, c.cfg.UplinkKB/hungNodeLoad)), at
	} else if c.nodeLoad(node) < load-0.03 {
		c.recordLinkLoad(node, at, load)
	}
}

// handleAttemptEnded detaches the session, attributes a failure, and places the request again unless it is
// over.
func (c *Controller) handleAttemptEnded(event *Event) {
	node, session := c.nodesByID[event.Node], c.sessions[event.Session]
	wasPlaying := session != nil && session.playing
	if session != nil && session.node != nil {
		c.detach(session)
	}
	if node != nil {
		if reason := failureTexts[event.Outcome]; reason != "" {
			node.presumedDown = node.presumedDown || event.Outcome == OutcomeReset && wasPlaying ||
				event.Outcome == OutcomeConnectFailed && node.consecutiveFailures > 0
			c.attributeFailure(session, node, event.Outcome, reason, wasPlaying)
		}
		c.applyLoadReport(node, &event.LoadReport)
		// Full may refer to rate, streams or queued set-ups; the answer does not say which.
		if event.Outcome == OutcomeFull {
			node.fullUntil = c.now + fullHoldMs
		}
	}
	if session == nil || event.SessionOver || wasPlaying {
		delete(c.sessions, event.Session)
		return
	}
	if outcome := event.Outcome; !session.mayHaveRun &&
		outcome != OutcomeFull && outcome != OutcomeConnectFailed && outcome != OutcomeNeverRan {
		session.mayHaveRun, session.mayHaveRunAt, session.mayHaveRunOn = true, c.now-event.LatencyMs, node
	}
	c.placeSession(session)
}

// attributeFailure decides whether a failure counts against the node. A malformed request fails on every
// node, and single connections break for reasons of their own; counting these at once would eject healthy
// nodes and restart their warm-up. So a first OutcomeFailed of a repeatable request is attributed by the
// outcome of its next attempt, and other first errors and resets only make the node suspect. Any other
// failure is certain and ejects the node.
func (c *Controller) attributeFailure(session *sessionState, node *nodeState, outcome Outcome, reason string,
	wasPlaying bool) {
	switch {
	case session == nil || wasPlaying || outcome != OutcomeFailed && outcome != OutcomeReset:
		c.eject(node, reason)
	case outcome == OutcomeFailed && session.errorCount > 0:
		session.unattributedErrorNode = nil // a second node failed it too: the request is at fault
	case outcome == OutcomeFailed && session.class.Semantics == Repeatable:
		session.unattributedErrorNode = node
	default:
		c.suspectFailure(node, reason)
	}
	if session != nil && outcome == OutcomeFailed {
		session.errorCount++
	}
}

// suspectFailure records a failure that is probably the node's. It ejects the node if another such failure
// was recorded since a set-up last played there.
func (c *Controller) suspectFailure(node *nodeState, reason string) {
	if node.suspectedFailure {
		c.eject(node, reason)
	}
	node.suspectedFailure = true
}

// ---- rung changes of playing sessions ----

// tick lets inferred uplink capacities recover, relieves overloaded links and uplinks, and raises rungs.
func (c *Controller) tick() {
	for _, rack := range c.racks {
		rack.uplink.capacityKB = math.Max(rack.uplink.capacityKB,
			math.Min(rack.uplink.capacityKB*uplinkRecoveryFactor, c.cfg.UplinkKB))
		c.relieveOverload(&rack.uplink, c.uplinkLoad(rack), rack.nodes)
		for i, node := range rack.nodes {
			c.relieveOverload(&node.link, c.linkLoad(node), rack.nodes[i:i+1])
		}
	}
	c.raiseRungs()
}

// relieveOverload lowers own sessions on an overloaded link or uplink by this front's share of the excess,
// once for each measurement.
func (c *Controller) relieveOverload(estimate *loadEstimate, load float64, nodes []*nodeState) {
	if load <= reliefThreshold || estimate.measuredAt == 0 || estimate.lastReliefAt > estimate.measuredAt {
		return
	}
	excessKB := estimate.ownRateKB * (load - reliefTargetLoad) / load
	c.lowerCandidates = c.lowerCandidates[:0]
	for _, node := range nodes {
		c.lowerCandidates = append(c.lowerCandidates, node.sessions...)
	}
	if load < deepReliefThreshold {
		c.lowerCandidates = slices.DeleteFunc(c.lowerCandidates,
			func(session *sessionState) bool { return session.rung <= c.efficientRung(session) })
	}
	c.lowerRungs(excessKB, 0, nil, math.Inf(1), false)
	estimate.lastReliefAt = c.now
}

// raiseRungs raises playing sessions where capacity is free, the step with the most worth per kB first and
// each session in one change. On each new measurement of a link, a front uses a fraction of the free capacity
// equal to its sessions' fraction of the demand. A first step that does not fit whole is taken at random, so
// that many fronts with few sessions each fill the capacity together.
func (c *Controller) raiseRungs() {
	for _, node := range c.nodes {
		if len(node.sessions) == 0 || node.unavailable || c.now < node.ejectedUntil ||
			!c.hasFreshLoad(node) || node.lastRaiseAt >= node.link.measuredAt {
			continue
		}
		node.lastRaiseAt = c.now
		// A load of at least 0.01: it is a divisor below.
		load, reserved := math.Max(c.nodeLoad(node), 0.01), setupLoadLimit-raiseLoadLimit
		if !node.rack.uplink.measured { // an uplink that is only inferred may be overloaded already
			load, reserved = load+reserved, 0
		}
		freeKB := node.link.ownRateKB * (setupLoadLimit/load - 1)
		for _, session := range node.sessions {
			session.plannedRung = session.rung
		}
		requiredFit := c.rng.Float64()
		for freeKB > 0 {
			best, mostWorth := (*sessionState)(nil), 0.0
			for _, session := range node.sessions {
				// Capacity reserved for new sessions is used only up to the efficient rung.
				if !session.playing || session.plannedRung >= session.maxRung ||
					c.now-session.rungChangedAt < rungHoldMs ||
					freeKB <= node.link.ownRateKB*reserved/load &&
						session.plannedRung >= c.efficientRung(session) {
					continue
				}
				if worth := c.stepWorth(session, session.plannedRung) /
					c.stepRateKB(session, session.plannedRung); worth > mostWorth {
					best, mostWorth = session, worth
				}
			}
			if best == nil || freeKB < requiredFit*c.stepRateKB(best, best.plannedRung) {
				break
			}
			freeKB -= c.stepRateKB(best, best.plannedRung)
			best.plannedRung++
			requiredFit = minStepFraction
		}
		for _, session := range node.sessions {
			if c.raisePaysOff(session, session.plannedRung) {
				c.setRung(session, session.plannedRung)
			}
		}
	}
}

// raisePaysOff reports whether a raise to a rung is worth raisePaybackFactor times its cost until the
// session's expected end.
func (c *Controller) raisePaysOff(session *sessionState, rung int) bool {
	remainingS := defaultRemainingS
	if session.expectedEndAt > 0 {
		remainingS = (session.expectedEndAt - c.now) / 1000
	}
	return (c.rungWorth(session, rung)-c.rungWorth(session, session.rung))*remainingS >=
		raisePaybackFactor*c.cfg.RungChangeCostS*session.class.ValuePerSecond
}
