// Package audit verifies, after a scenario run on a cluster with stand-ins, that
// the directors kept the rules listed below.
//
// Its input is the recording of the relays between viewers, directors and
// media nodes: the bytes that passed on each connection, with their times. The
// node lists that directors received are part of it. The expected behaviour is
// passed in as Terms. Its output is a Report with counters and the violations:
//
//	answers         each request is answered once and within the viewer's time
//	set-ups         an at-most-once session is set up once, and refused only if
//	                no attempt can have run; a session has one attempt at a time
//	drains          no set-up goes to a media node that drains or was removed
//	cold starts     a media node that has just started receives few set-ups
//	caps            per-title session caps and lowest rungs of classes are kept
//	retry budget    directors limit the attempts beyond each session's first
//
// The package shares no code with the director, whose mistakes it would repeat
// otherwise: it parses HTTP (with net/http), tokens and manifests by itself.
package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"headmill/internal/standin/relay"
)

// Class holds the expected behaviour for one class of sessions.
type Class struct {
	AtMostOnce           bool    // a session must not be set up twice
	TargetMs, GiveUpMs   float64 // set-up time that counts as in time, and after which the viewer gives up
	Value                float64 // weight of a session in WorthInTime
	MinRung, MaxPerTitle int     // lowest rung, and sessions of one title at each director (0: no cap)
}

// Title is one entry of the catalogue.
type Title struct {
	Class      string
	DurationMs float64
}

// Terms holds the expected behaviour and the properties of the media nodes that the rules refer to.
type Terms struct {
	Classes          map[string]Class
	Titles           map[string]Title
	Nodes            map[string]string // name of a media node's relay by the address in the node list
	Worth            []float64         // of each rung: utility per second
	ShortfallPenalty float64           // fraction of the worth lost per unit by which the share of the rate is under 0.98
	SlackMs          float64           // accepted delay of an answer after the viewer's time
	GraceMs          float64           // time after a drain or removal within which a set-up may still arrive

	// A media node that started less than WarmUpMs ago takes set-ups at a rate that rises from ColdRateFraction times
	// the full rate to the full rate, which is StreamsPerNode per WarmUpMs. More than ColdOverloadFactor times this
	// rate within ColdWindowMs breaks the rule for cold starts.
	StreamsPerNode     float64 // streams of a media node
	WarmUpMs           float64
	ColdRateFraction   float64
	ColdOverloadFactor float64
	ColdWindowMs       float64

	// Within the last RetryWindowMs a director may send MinRetries attempts that are not the first of their session,
	// and RetryRatio more for each request that it received.
	RetryBudgetEnabled bool
	MinRetries         float64
	RetryRatio         float64
	RetryWindowMs      float64
}

// reorderToleranceMs is the largest time by which two records of different connections can be in the wrong
// order: each relay connection is recorded by a goroutine of its own.
const reorderToleranceMs = 25

// shareValidityMs is how long a reported share is assumed to hold: media nodes repeat the report once a second
// while their sessions receive less than their rates.
const shareValidityMs = 2500

// Report holds the counters and violations found in a recording. The command "headmill rehearse" prints it as one line of
// JSON; the keys are external.
type Report struct {
	Requests              int     `json:"asked"`
	AnsweredOnce          int     `json:"answered_once"`
	Unanswered            int     `json:"unanswered"`
	AnsweredTwice         int     `json:"answered_twice"` // answers without a request, also of media nodes
	AtMostOnceRepeated    int     `json:"paid_twice"`
	ConcurrentAttempts    int     `json:"two_attempts"`
	SetupsAfterDrain      int     `json:"drain_late"`
	ColdStartOverloads    int     `json:"cold_pushed"`
	TitleCapExceeded      int     `json:"seats_exceeded"`
	WorthInTime           float64 `json:"worth_in_time"` // worth delivered in time as a share of the worth requested, 0 to 1
	SetupP50Ms            float64 `json:"setup_ms_p50"`  // from a viewer's request to its answer
	SetupP99Ms            float64 `json:"setup_ms_p99"`
	SessionsPerS          float64 `json:"sessions_per_s"`
	WrongRefusals         int     `json:"wrong_refusals"`
	BelowMinRung          int     `json:"under_floor"`
	RetryBudgetExceeded   int     `json:"ration_exceeded"`
	NodeCrashes           int     `json:"fell"`               // media nodes that crashed during a cold start
	ViewerDisconnected    int     `json:"viewer_left"`        // the viewer disconnected first, so no answer was required
	LostWithDirector      int     `json:"lost_with_director"` // the director was killed while the request was pending
	Plays                 int     `json:"plays"`
	Refused               int     `json:"refused"`
	Failed                int     `json:"failed"`
	Redirected            int     `json:"elsewhere"` // redirected to another director
	Denied                int     `json:"denied"`    // answers with any other status
	Setups                int     `json:"setups"`
	SessionAPIRequests    int     `json:"socket_opens"` // requests over the session API; Requests includes them
	FirstRequests         int     `json:"first_tries"`
	FirstRequestsInTime   int     `json:"first_tries_in_time"`
	PeakFirstRequestsPerS float64 `json:"rush_per_s"`    // most first requests of viewers within a second
	PeakRetriesPerS       float64 `json:"returns_per_s"` // most retries of refused viewers within a second

	// WorthByTenant is WorthInTime by tenant.
	WorthByTenant map[string]float64 `json:"worth_by_brand,omitempty"`
	// Violations describes the first 50 violations.
	Violations []string `json:"broken,omitempty"`
}

// OK reports whether all rules were kept.
func (r *Report) OK() bool {
	return r.Unanswered+r.AnsweredTwice+r.AtMostOnceRepeated+r.ConcurrentAttempts+r.SetupsAfterDrain+
		r.ColdStartOverloads+r.TitleCapExceeded+r.WrongRefusals+r.BelowMinRung+r.RetryBudgetExceeded == 0
}

// addViolation counts a violation and describes it, up to 50 in all. The texts are external; "paid" is their word for an
// at-most-once session.
func (r *Report) addViolation(counter *int, format string, args ...any) {
	*counter++
	if len(r.Violations) < 50 {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// setup is one attempt as recorded by the media node's relay.
type setup struct {
	*exchange
	session, jti, class, title, director, node string
	rung                                       int
	provenNotRun                               bool    // the media node answered that the attempt never ran
	endedAt                                    float64 // when it was answered or its connection ended
}

// session is a session that plays on a media node.
type session struct {
	name, node, director string
	startedAt, endedAt   float64
	rungs                []rungChange
}

type rungChange struct {
	at   float64
	rung int
}

// verifier holds the recording and what has been derived from it.
type verifier struct {
	Terms
	report       *Report
	marks        []relay.Record
	conns        []*conn
	setups       []*setup
	sessions     map[string]*session
	shares       map[string][]shareReport // by media node
	requestTimes map[string][]float64     // of viewers' requests by director, for the retry budget
	starts       map[string][]nodeStart   // by media node, as directors learnt of them
}

// shareReport is a media node's report of the share of their rates that its sessions receive.
type shareReport struct{ at, share float64 }

// nodeStart is one start of a media node.
type nodeStart struct {
	boot       string
	at         float64
	reportedAt map[string]float64 // when each director learnt of it
}

// Verify checks the records of a scenario run against the terms and reports all violations.
func Verify(records []relay.Record, terms Terms) *Report {
	v := &verifier{Terms: terms, report: &Report{}, sessions: map[string]*session{}, shares: map[string][]shareReport{},
		requestTimes: map[string][]float64{}, starts: map[string][]nodeStart{}}
	v.conns, v.marks = groupRecords(records)
	v.readNodeTraffic()
	v.checkViewerRequests()
	v.checkSetups()
	v.checkNodeLists()
	v.checkTitleCaps()
	v.checkRetryBudget()
	for _, m := range v.marks {
		if m.Text == "fell" { // crashed by overload
			v.report.NodeCrashes++
			v.report.addViolation(&v.report.ColdStartOverloads, "%s fell over at %.0f ms", m.Relay, m.AtMs)
		}
	}
	return v.report
}

// killedWithin reports whether a director or media node was killed or vanished within a time span.
func (v *verifier) killedWithin(name string, from, to float64) bool {
	for _, m := range v.marks {
		if m.Relay == name && (m.Text == "killed" || m.Text == "vanished") && m.AtMs >= from && m.AtMs <= to {
			return true
		}
	}
	return false
}

// nextKill returns the first time after a given one at which a director or media node was killed or vanished.
func (v *verifier) nextKill(name string, after float64) float64 {
	for _, m := range v.marks {
		if m.Relay == name && (m.Text == "killed" || m.Text == "vanished") && m.AtMs >= after {
			return m.AtMs
		}
	}
	return never
}

// readNodeTraffic derives set-ups, sessions and reported shares from the traffic between directors and media
// nodes.
func (v *verifier) readNodeTraffic() {
	isNode := map[string]bool{}
	for _, name := range v.Nodes {
		isNode[name] = true
	}
	for _, c := range v.conns {
		if !isNode[c.relay] {
			continue
		}
		if hasPrefix(c.fromClient.data, "GET /notes") {
			v.readShares(c)
			continue
		}
		exchanges, extra := c.exchanges()
		if extra > 0 {
			v.report.addViolation(&v.report.AnsweredTwice, "%s: %d answers that nobody asked for", c.relay, extra)
		}
		for _, x := range exchanges {
			name := strings.TrimPrefix(x.path, "/sessions/")
			switch x.method {
			case "PUT":
				s := &setup{exchange: x, session: name, jti: x.form.Get("jti"), class: x.form.Get("class"),
					title: x.form.Get("title"), director: x.form.Get("director"), node: c.relay}
				fmt.Sscan(x.form.Get("rung"), &s.rung)
				var problem struct {
					Ran *bool `json:"ran"`
				}
				s.provenNotRun = x.status == 503 && json.Unmarshal(x.responseBody, &problem) == nil &&
					problem.Ran != nil && !*problem.Ran
				s.endedAt = math.Min(math.Min(x.answeredAt, c.fromClient.endedAt), c.fromServer.endedAt)
				v.setups = append(v.setups, s)
				if x.status == 201 {
					v.sessions[name] = &session{name: name, node: c.relay, director: s.director,
						startedAt: x.answeredAt,
						endedAt:   math.Min(v.nextKill(c.relay, x.answeredAt), v.nextKill(s.director, x.answeredAt)),
						rungs:     []rungChange{{x.answeredAt, s.rung}}}
				}
			}
		}
	}
	sort.SliceStable(v.setups, func(i, j int) bool { return v.setups[i].firstByteAt < v.setups[j].firstByteAt })
	for _, c := range v.conns { // after all set-ups, since a session may be changed over another connection
		if !isNode[c.relay] || hasPrefix(c.fromClient.data, "GET /notes") {
			continue
		}
		exchanges, _ := c.exchanges()
		for _, x := range exchanges {
			s := v.sessions[strings.TrimPrefix(x.path, "/sessions/")]
			if s == nil {
				continue
			}
			switch x.method {
			case "PATCH":
				change := rungChange{x.receivedAt, 0}
				fmt.Sscan(x.form.Get("rung"), &change.rung)
				s.rungs = append(s.rungs, change)
			case "DELETE":
				s.endedAt = math.Min(s.endedAt, x.receivedAt)
			}
		}
	}
	for _, c := range v.conns {
		if isNode[c.relay] && hasPrefix(c.fromClient.data, "GET /notes") {
			v.readSessionEnds(c)
		}
	}
	for _, s := range v.sessions {
		slices.SortStableFunc(s.rungs, func(a, b rungChange) int { return cmp.Compare(a.at, b.at) })
	}
}

func hasPrefix(b []byte, prefix string) bool {
	return len(b) >= len(prefix) && string(b[:len(prefix)]) == prefix
}

// notification is the data of an event in a media node's event stream.
type notification struct {
	Session string  `json:"session"`
	Value   float64 `json:"value"`
}

// readShares adds the shares reported in a media node's event stream.
func (v *verifier) readShares(c *conn) {
	for _, e := range c.events() {
		var n notification
		if e.kind == "share" && json.Unmarshal([]byte(e.data), &n) == nil {
			v.shares[c.relay] = append(v.shares[c.relay], shareReport{e.at, n.Value})
		}
	}
	slices.SortStableFunc(v.shares[c.relay], func(a, b shareReport) int { return cmp.Compare(a.at, b.at) })
}

// readSessionEnds ends the sessions that a media node's event stream reports as ended.
func (v *verifier) readSessionEnds(c *conn) {
	for _, e := range c.events() {
		var n notification
		if e.kind == "ended" && json.Unmarshal([]byte(e.data), &n) == nil {
			if s := v.sessions[n.Session]; s != nil {
				s.endedAt = math.Min(s.endedAt, e.at)
			}
		}
	}
}

// checkViewerRequests checks that each viewer's request is answered once and in time, and computes the figures of
// the report that depend on these requests.
func (v *verifier) checkViewerRequests() {
	type firstRequest struct {
		at           float64
		claims       tokenClaims
		playedInTime map[string]float64 // when each session that was answered in time began to play, by its name
	}
	firstRequests := map[string]*firstRequest{} // by viewer
	var setupTimes []float64
	earliest, latest := never, 0.0
	refusedBefore := map[string]bool{} // viewers whose last request was refused
	var firsts, retries []float64
	for _, r := range v.viewerRequests() {
		claims, class := r.claims, v.Classes[r.claims.Class]
		v.report.Requests++
		v.requestTimes[r.director] = append(v.requestTimes[r.director], r.receivedAt)
		earliest, latest = math.Min(earliest, r.receivedAt), math.Max(latest, r.receivedAt)
		first := firstRequests[claims.Subject]
		isFirst := first == nil && claims.Subject != ""
		if isFirst {
			first = &firstRequest{at: r.receivedAt, claims: claims, playedInTime: map[string]float64{}}
			firstRequests[claims.Subject] = first
			firsts = append(firsts, r.receivedAt)
			v.report.FirstRequests++
		} else if refusedBefore[claims.Subject] {
			retries = append(retries, r.receivedAt)
		}
		refusedBefore[claims.Subject] = r.status == 503
		deadline := r.receivedAt + class.GiveUpMs + v.SlackMs
		switch {
		case r.status == 0 && r.viewerEndAt <= math.Min(r.directorEndAt, deadline):
			v.report.ViewerDisconnected++
			continue
		case r.status == 0 && v.killedWithin(r.director, r.receivedAt-reorderToleranceMs, deadline):
			v.report.LostWithDirector++
			continue
		case r.status == 0:
			v.report.addViolation(&v.report.Unanswered, "%s: %s of %s at %.0f ms: no answer",
				r.director, r.path, claims.JTI, r.receivedAt)
			continue
		case r.answeredAt > deadline:
			v.report.addViolation(&v.report.Unanswered, "%s: %s of %s: answered after %.0f ms, over the viewer's time",
				r.director, r.path, claims.JTI, r.answeredAt-r.receivedAt)
			continue
		}
		v.report.AnsweredOnce++
		inTime := r.answeredAt-r.receivedAt <= class.TargetMs
		switch {
		case r.status == 200:
			v.report.Plays++
			setupTimes = append(setupTimes, r.answeredAt-r.receivedAt)
			if isFirst && inTime {
				v.report.FirstRequestsInTime++
			}
			if name := manifestSession(r.body); first != nil && name != "" {
				if _, known := first.playedInTime[name]; !known && inTime {
					first.playedInTime[name] = r.answeredAt
				}
			}
		case r.status == 503:
			v.report.Refused++
			if class.AtMostOnce {
				v.checkRefusal(r.director, r.answeredAt, claims)
			}
		case r.status == 307:
			v.report.Redirected++
			if isFirst { // the request to the director that it is redirected to counts as the first
				delete(firstRequests, claims.Subject)
				firsts = firsts[:len(firsts)-1]
				v.report.FirstRequests--
			}
		case r.status >= 500 || r.status == 410 || r.status == 409 || r.status == 429:
			v.report.Failed++
		default:
			v.report.Denied++
		}
	}
	if peak := peakPerSecond(firsts); peak > 0 {
		v.report.PeakFirstRequestsPerS, v.report.PeakRetriesPerS = peak, peakPerSecond(retries)
	}
	worthByTenant := map[string][2]float64{} // earned and wanted
	wanted, earned := 0.0, 0.0
	viewers := make([]string, 0, len(firstRequests))
	for viewer := range firstRequests {
		viewers = append(viewers, viewer)
	}
	sort.Strings(viewers)
	for _, viewer := range viewers {
		first := firstRequests[viewer]
		class, end := v.Classes[first.claims.Class], first.at+v.Titles[first.claims.Title].DurationMs
		maxRung := min(first.claims.MaxRung, len(v.Worth)-1)
		tenant := worthByTenant[first.claims.Tenant]
		tenant[1] += (end - first.at) * class.Value * v.Worth[maxRung]
		wanted += (end - first.at) * class.Value * v.Worth[maxRung]
		for name, at := range first.playedInTime {
			if s := v.sessions[name]; s != nil {
				worth := v.sessionWorth(s, at, end) * class.Value
				earned += worth
				tenant[0] += worth
			}
		}
		worthByTenant[first.claims.Tenant] = tenant
	}
	for name, worth := range worthByTenant {
		if worth[1] > 0 {
			if v.report.WorthByTenant == nil {
				v.report.WorthByTenant = map[string]float64{}
			}
			v.report.WorthByTenant[name] = math.Round(worth[0]/worth[1]*1000) / 1000
		}
	}
	if wanted > 0 {
		v.report.WorthInTime = math.Round(earned/wanted*1000) / 1000
	}
	sort.Float64s(setupTimes)
	if n := len(setupTimes); n > 0 {
		v.report.SetupP50Ms = math.Round(setupTimes[n/2]*10) / 10
		v.report.SetupP99Ms = math.Round(setupTimes[min(n*99/100, n-1)]*10) / 10
	}
	if latest > earliest {
		v.report.SessionsPerS = math.Round(float64(v.report.Plays)/(latest-earliest)*1e5) / 100
	}
}

// peakPerSecond returns the largest number of times, given in ms, that lie within one second. It sorts them.
func peakPerSecond(times []float64) float64 {
	sort.Float64s(times)
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] >= 1000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most)
}

// sessionWorth returns the worth of a session between two times: the sum over its rungs of the time in ms, times
// the rung's worth, reduced while the media node reported a share under 0.98.
func (v *verifier) sessionWorth(s *session, from, to float64) float64 {
	from, to = math.Max(from, s.startedAt), math.Min(to, s.endedAt)
	cuts := []float64{from, to} // times at which the rung or the share may change
	for _, change := range s.rungs {
		cuts = append(cuts, change.at)
	}
	for _, r := range v.shares[s.node] {
		cuts = append(cuts, r.at, r.at+shareValidityMs)
	}
	sort.Float64s(cuts)
	sum := 0.0
	for i := 1; i < len(cuts); i++ {
		start, end := math.Max(cuts[i-1], from), math.Min(cuts[i], to)
		if end <= start {
			continue
		}
		rung, share := s.rungs[0].rung, 1.0
		for _, change := range s.rungs {
			if change.at <= start {
				rung = change.rung
			}
		}
		for _, r := range v.shares[s.node] {
			if r.at <= start && start-r.at < shareValidityMs {
				share = r.share
			}
		}
		worth := v.Worth[max(min(rung, len(v.Worth)-1), 0)]
		sum += (end - start) * math.Max(worth*(1-v.ShortfallPenalty*math.Max(0.98-share, 0)), 0)
	}
	return sum
}

// checkRefusal checks that an at-most-once session is refused only if each of its attempts is proven not to have
// run.
func (v *verifier) checkRefusal(director string, answeredAt float64, claims tokenClaims) {
	for _, s := range v.setups {
		if s.jti == claims.JTI && s.firstByteAt < answeredAt &&
			!(s.provenNotRun && s.answeredAt <= answeredAt+reorderToleranceMs) {
			v.report.addViolation(&v.report.WrongRefusals, "%s: paid %s refused, though its set-up at %s may have run",
				director, claims.JTI, s.node)
			return
		}
	}
}

// checkSetups checks that an at-most-once session is set up again only after its earlier attempts are proven not
// to have run, that a session has no two attempts at a time, and that rungs are not below the class's lowest.
func (v *verifier) checkSetups() {
	byJTI, bySession := map[string][]*setup{}, map[string][]*setup{}
	for _, s := range v.setups {
		v.report.Setups++
		if v.Classes[s.class].AtMostOnce && s.jti != "" {
			for _, earlier := range byJTI[s.jti] {
				if !(earlier.provenNotRun && earlier.answeredAt <= s.firstByteAt+reorderToleranceMs) {
					v.report.addViolation(&v.report.AtMostOnceRepeated,
						"paid %s: set up at %s at %.0f ms and again at %s at %.0f ms",
						s.jti, earlier.node, earlier.firstByteAt, s.node, s.firstByteAt)
					break
				}
			}
			byJTI[s.jti] = append(byJTI[s.jti], s)
		}
		for _, earlier := range bySession[s.session] {
			if endedAt := earlier.endedAt; endedAt > s.firstByteAt+reorderToleranceMs ||
				earlier.status == 201 && v.stillPlaying(earlier, s.firstByteAt) {
				v.report.addViolation(&v.report.ConcurrentAttempts, "%s: attempt at %s from %.0f ms, another at %s at %.0f ms",
					s.session, earlier.node, earlier.firstByteAt, s.node, s.firstByteAt)
				break
			}
		}
		bySession[s.session] = append(bySession[s.session], s)
		if s.form != nil && s.rung < v.Classes[s.class].MinRung {
			v.report.addViolation(&v.report.BelowMinRung, "%s: set up at rung %d", s.session, s.rung)
		}
		if playing := v.sessions[s.session]; playing != nil && s.status == 201 {
			for _, change := range playing.rungs {
				if change.rung < v.Classes[s.class].MinRung {
					v.report.addViolation(&v.report.BelowMinRung, "%s: set to rung %d", s.session, change.rung)
				}
			}
		}
	}
}

// stillPlaying reports whether the session of a successful set-up still plays on its media node at a time.
func (v *verifier) stillPlaying(s *setup, at float64) bool {
	playing := v.sessions[s.session]
	return playing != nil && playing.node == s.node && playing.endedAt > at+reorderToleranceMs
}

// checkNodeLists reads the node lists that each director received and checks set-ups against them: none may
// arrive later than GraceMs after the director learnt that the media node drains or was removed. The starts of
// media nodes that the lists report are then checked by checkColdStarts.
func (v *verifier) checkNodeLists() {
	type nodeState struct {
		at    float64
		state string
	}
	states := map[string]map[string][]nodeState{} // by director and media node
	for _, c := range v.conns {
		director, isNodeList := strings.CutSuffix(c.relay, "/list")
		if !isNodeList {
			continue
		}
		if states[director] == nil {
			states[director] = map[string][]nodeState{}
		}
		for _, e := range c.events() {
			var message struct {
				Full  bool
				Nodes []struct {
					Addr, State, Boot string
					UpMs              float64 `json:"up_ms"`
				} `json:"servers"`
			}
			if json.Unmarshal([]byte(e.data), &message) != nil {
				continue
			}
			listed := map[string]bool{}
			for _, n := range message.Nodes {
				name := v.Nodes[n.Addr]
				listed[name] = true
				states[director][name] = append(states[director][name], nodeState{e.at, n.State})
				if n.UpMs > 0 {
					v.recordStart(name, n.Boot, director, e.at-n.UpMs, e.at)
				}
			}
			if message.Full {
				for name := range states[director] {
					if !listed[name] {
						states[director][name] = append(states[director][name], nodeState{e.at, "gone"})
					}
				}
			}
		}
	}
	for _, byNode := range states {
		for _, list := range byNode {
			slices.SortStableFunc(list, func(a, b nodeState) int { return cmp.Compare(a.at, b.at) })
		}
	}
	for _, s := range v.setups {
		state, since := "ready", 0.0
		for _, change := range states[s.director][s.node] {
			if change.at > s.firstByteAt {
				break
			}
			if change.state != state {
				state, since = change.state, change.at
			}
		}
		if state != "ready" && s.firstByteAt > since+v.GraceMs {
			v.report.addViolation(&v.report.SetupsAfterDrain, "%s sent %s to %s %.0f ms after it was told that it is %s",
				s.director, s.session, s.node, s.firstByteAt-since, state)
		}
	}
	v.checkColdStarts()
}

// recordStart adds that a director learnt at reportedAt of a media node's start.
func (v *verifier) recordStart(node, boot, director string, at, reportedAt float64) {
	for i := range v.starts[node] {
		if start := &v.starts[node][i]; start.boot == boot {
			if earliest, ok := start.reportedAt[director]; !ok || reportedAt < earliest {
				start.reportedAt[director] = reportedAt
			}
			return
		}
	}
	v.starts[node] = append(v.starts[node], nodeStart{boot: boot, at: at,
		reportedAt: map[string]float64{director: reportedAt}})
}

// checkColdStarts checks each start of a media node: within any window of ColdWindowMs, the set-ups from directors
// that knew of the start must not exceed ColdOverloadFactor times the node's rate at the window's end. Two more are allowed,
// since arrivals vary by chance.
func (v *verifier) checkColdStarts() {
	if v.WarmUpMs <= 0 || v.ColdOverloadFactor <= 0 {
		return
	}
	for node, starts := range v.starts {
		for _, start := range starts {
			var sentAt []float64
			for _, s := range v.setups {
				if reportedAt, ok := start.reportedAt[s.director]; s.node == node && ok &&
					s.firstByteAt >= reportedAt && s.firstByteAt < start.at+v.WarmUpMs {
					sentAt = append(sentAt, s.firstByteAt)
				}
			}
			for i := range sentAt {
				end := i
				for end < len(sentAt) && sentAt[end] < sentAt[i]+v.ColdWindowMs {
					end++
				}
				age := math.Max(sentAt[i]+v.ColdWindowMs-start.at, 0)
				rate := v.StreamsPerNode / v.WarmUpMs * // set-ups per ms
					(v.ColdRateFraction + (1-v.ColdRateFraction)*math.Min(age/v.WarmUpMs, 1))
				if float64(end-i) > v.ColdOverloadFactor*rate*v.ColdWindowMs+2 {
					v.report.addViolation(&v.report.ColdStartOverloads,
						"%s: %d set-ups within %.0f ms, %.0f ms after its start",
						node, end-i, v.ColdWindowMs, sentAt[i]-start.at)
					break
				}
			}
		}
	}
}

// checkTitleCaps checks the number of sessions of one title and class at each director, including those whose
// set-up is pending, against the class's cap.
func (v *verifier) checkTitleCaps() {
	type step struct {
		at    float64
		delta int
	}
	steps := map[string][]step{} // by director, title and class
	for _, s := range v.setups {
		class := v.Classes[s.class]
		if class.MaxPerTitle == 0 || s.form == nil {
			continue
		}
		endedAt := s.endedAt
		if playing := v.sessions[s.session]; s.status == 201 && playing != nil && playing.node == s.node {
			endedAt = playing.endedAt
		}
		key := s.director + "\x00" + s.title + "\x00" + s.class
		steps[key] = append(steps[key], step{s.firstByteAt, 1}, step{endedAt, -1})
	}
	for key, list := range steps {
		slices.SortFunc(list, func(a, b step) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta))
		})
		parts := strings.Split(key, "\x00")
		count := 0
		for _, s := range list {
			if count += s.delta; count > v.Classes[parts[2]].MaxPerTitle {
				v.report.addViolation(&v.report.TitleCapExceeded, "%s holds %d sessions of %s at %.0f ms", parts[0], count,
					parts[1], s.at)
				break
			}
		}
	}
}

// checkRetryBudget checks the attempts beyond each session's first against each director's retry budget.
func (v *verifier) checkRetryBudget() {
	if !v.RetryBudgetEnabled {
		return
	}
	attempted := map[string]bool{} // sessions
	retryTimes := map[string][]float64{}
	for _, s := range v.setups {
		if attempted[s.session] {
			times := append(retryTimes[s.director], s.firstByteAt)
			retryTimes[s.director] = times
			retries, requests := 0, 0
			for _, t := range times {
				if t > s.firstByteAt-v.RetryWindowMs {
					retries++
				}
			}
			for _, t := range v.requestTimes[s.director] {
				if t > s.firstByteAt-v.RetryWindowMs && t <= s.firstByteAt {
					requests++
				}
			}
			if float64(retries) > v.MinRetries+v.RetryRatio*float64(requests) {
				v.report.addViolation(&v.report.RetryBudgetExceeded, "%s: %d further attempts for %d requests at %.0f ms",
					s.director, retries, requests, s.firstByteAt)
			}
		}
		attempted[s.session] = true
	}
}
