package headmill

// Every decision of a front. The interface (types, events, actions) is in api.go.
//
// Path of a request: Step hands EvRequest to arrive and on to place. place asks price for the rung that
// the holders' links can pay for, tests the title's token holder (admits), passes the token to the
// least-loaded holder that admits, makes room by lowering own sessions, or tries a lower rung; send is the
// only place that emits a set-up, behind every rule guard (legal). If nothing fits, answer ends the request.
// EvPlaying, EvNote and EvSettled feed the server view; tick lowers and raises rungs of playing sessions.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
)

const (
	mark         = MaxSetupLoad // share of a link or uplink that set-ups may fill: rates spread
	reliefAt     = 1.0          // load above which own sessions are lowered: shares under 0.98 cost worth
	worseAt      = 1.06         // load above which rungs earning most per kB go down too: viewers leave next
	reliefTo     = 0.97         // load that a relief aims at: no more is lowered than what falls short
	raiseTo      = MaxRaiseLoad // link load that raising may reach: a change costs, room is for set-ups
	tickMs       = 250.0        // ms between looks at the fleet: under the 1 s after which viewers notice
	payback      = 2.0          // a rung is raised only for this many times the price of the change
	lifeGuessS   = 15.0         // s a session of unknown length is taken to go on
	alikeMs      = 1500.0       // ms within which two servers short alike point to their uplink
	alikeShare   = 0.04         // difference of shares of two servers short alike
	hungAt       = 3.0          // load from a share above which a server stands still
	uplinkBack   = 1.01         // growth a tick of a learned uplink back to the mean: 4% a second
	wholeStep    = 0.9          // part of a further step that must fit; the first is taken by chance
	settleMs     = 4000.0       // ms for which a changed rung is not raised again, against flapping
	reportAgeMs  = 400.0        // ms that a load report is taken to be old
	reportPart   = 0.5          // weight of a load report against the estimate: reports are noisy
	firstTryPart = 0.45         // share of the aim that a repeatable attempt may take when another can follow
	trialMs      = 1000.0       // ms a failed server rests at first; doubles with each failure in a row
	trialMaxMs   = 8000.0       // ms it rests at most
	fullMs       = 1000.0       // ms for which a server that answered full fails the test
	staleTo      = 0.8          // load to which an old measurement above it fades: low rungs are tried again
	staleFadeMs  = 3000.0       // ms in which it fades by two thirds
	spareMs      = 1000.0       // ms past the told interval and lateness after which a measurement is old
	streamFadeMs = 15000.0      // ms in which told streams of others fade by two thirds: sessions end unseen
	farLoad      = 0.1          // load that a near holder may have over a far one: crossing zones has a price
	guessLoad    = 0.5          // load of a fleet of which nothing has been heard
	meanPart     = 0.1          // weight of a measurement in the mean: one full node must not shut a front
	logEveryMs   = 2000.0       // ms between log lines about one server
	forgetMs     = 60000.0      // ms after which a server that has gone is forgotten
	tokensMost   = 1 << 16      // tokens kept; titles that nobody holds can be asked for without end
	tickTimer    = 1
)

var troubles = map[Outcome]string{Failed: "answers set-ups with errors", TimedOut: "lets set-ups time out",
	ConnectFailed: "takes no connections", Reset: "broke its sessions off"}

// change is a change of the front's own rates on a gauge, kept until a measurement includes it.
type change struct{ at, kb float64 }

// gauge is the load estimate of one link or uplink: what was told, and own changes since.
type gauge struct {
	cap, own float64 // kB/s: what it gives (believed), what own sessions ask
	told, at float64 // asked over given, and when that was measured
	known    bool
	eased    float64 // time of the last relief; none follows before a later measurement
	log      []change
}

func (g *gauge) add(now, kb float64) {
	g.own += kb
	g.log = append(g.log, change{now, kb})
	if len(g.log) > 64 && !g.known {
		g.log = g.log[1:]
	}
}

func (g *gauge) tell(at, load float64) {
	if !(load >= 0) || math.IsInf(load, 0) || (g.known && at < g.at) {
		return
	}
	g.told, g.at, g.known = load, at, true
	k := 0
	for k < len(g.log) && g.log[k].at <= at {
		k++
	}
	g.log = g.log[:copy(g.log, g.log[k:])]
}

func (g *gauge) load(now, stale, absent float64) float64 {
	v := absent
	if g.known {
		v = g.told
		for _, c := range g.log {
			v += c.kb / g.cap
		}
		// An old high load is believed less and less: without set-ups nothing new would be told.
		if age := now - g.at - stale; age > 0 && v > staleTo {
			v = staleTo + (v-staleTo)*math.Exp(-age/staleFadeMs)
		}
	}
	return math.Max(v, g.own/g.cap)
}

// server is the view of one media server.
type server struct {
	Node
	rack             *rack
	off              bool    // draining or gone, from the moment it was told
	goneAt           float64 // when it was told gone; 0: it is there
	link             gauge
	others, counted  float64 // streams of others as last told, and when; -1 when never told
	sessions         []*session
	pending, fails   int     // set-ups out; set-ups failed in a row
	until, full      float64 // no set-up before then: it failed; it answered full
	lost             bool    // seen to fail as a whole: cold when it answers again
	doubt            bool    // one set-up erred or broke off there; a second in a row is the server's fault
	coldAt, lastCold float64 // start of its warm-up as far as known, 0 = warm; last set-up while cold
	logged, raised   float64 // last line about it; last look for room to raise
}

type rack struct {
	up             gauge
	servers        []*server
	shortBy        *server // the last of its servers to fall short, when, and to what share
	shortAt, share float64
}

// session is one request from arrival to end.
type session struct {
	id                  SessionID
	class               *Class
	classNo, sort       int // sort: place in Controller.alike
	title               uint64
	home, n, top        int // first cell, cells, highest rung
	deadline, endGuess  float64
	server              *server // of the attempt that is out or plays
	rung, plan          int     // in force; what lower or raise means to set
	playing, mayHaveRun bool
	erred               *server // where it erred, until its next attempt tells whose fault that was
	errs                int     // attempts that erred
	spare               float64 // share of a server's places that must stay free beside it
	tries               int
	tried               []NodeID
	ranAt               float64 // of the first attempt that may have run
	ranOn               *server
	changed, playedAt   float64 // last change of rung, start of play
}

// alike counts the sessions on servers that are alike to price: of one class and one highest rung.
type alike struct {
	class *Class
	top   int
	n     float64
}

type seatKey struct {
	title uint64
	class int
}

// Controller is one front's state.
type Controller struct {
	cfg           Config
	rng           *rand.Rand
	began         float64 // time of the first Step
	now, perPlace float64 // kB/s of link for each place, where weights tell nothing
	out           []Action
	servers       map[NodeID]*server
	order         []*server   // by id: the order of every walk
	cells         [][]*server // by cell, each in the same order
	racks         []*rack
	sessions      map[SessionID]*session
	seats         map[seatKey]int
	tokens        map[uint64]*server // by title
	taken, extras []float64          // times of requests and of further attempts within the look-back
	ticking       bool
	stale         float64    // ms after which a measurement is old
	mean          float64    // link load of the servers lately heard
	highest       float64    // price of a kB/s above any worth
	scratch       []*server  // of holders
	pool          []*session // of lower
	alike         []alike
}

// New makes the controller of one front. It owns all its state; seed is its only source of chance.
func New(cfg Config, seed uint64) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x6865616d)), servers: map[NodeID]*server{},
		sessions: map[SessionID]*session{}, seats: map[seatKey]int{}, tokens: map[uint64]*server{},
		mean: guessLoad, cells: make([][]*server, cfg.Cells),
		stale: cfg.ReportIntervalMs + cfg.ReportDelayMs + spareMs}
	for _, k := range cfg.Classes {
		c.highest = math.Max(c.highest,
			2*k.Value*cfg.RungWorth[len(cfg.RungWorth)-1]/(cfg.RateKB[0]*k.RateScale))
	}
	for i := range c.cfg.Classes {
		for top := range cfg.RateKB {
			c.alike = append(c.alike, alike{class: &c.cfg.Classes[i], top: top})
		}
	}
	for range cfg.Racks {
		c.racks = append(c.racks, &rack{up: gauge{cap: math.Max(cfg.UplinkKB, 1)}})
	}
	return c, nil
}

// Step takes the events of one moment in their order and appends the actions to out.
func (c *Controller) Step(now float64, events []Event, out []Action) []Action {
	if c.began == 0 {
		c.began = now
	}
	c.now, c.out = now, out
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case EvNodes:
			c.list(ev)
		case EvRequest:
			c.arrive(ev)
		case EvExistingSession:
			c.existing(ev)
		case EvAttemptPlaying:
			c.playing(ev)
		case EvFeedback:
			c.note(ev)
		case EvAttemptEnded:
			c.settled(ev)
		case EvViewerLeft:
			if s := c.sessions[ev.Session]; s != nil {
				s.deadline = now // finished: no further attempt
			}
		case EvTimer:
			c.ticking = false
			c.tick()
		}
	}
	if !c.ticking {
		c.ticking = true
		c.out = append(c.out, Action{Kind: ActTimer, AtMs: now + tickMs, Timer: tickTimer})
	}
	return c.out
}

// ---- server view ----

func (c *Controller) list(ev *Event) {
	if ev.ListUnavailable || c.cfg.SubscribeToNodes && len(c.order) == 0 {
		c.out = append(c.out, Action{Kind: ActSubscribe})
	}
	if ev.ListUnavailable {
		return
	}
	seen := make(map[NodeID]bool, len(ev.Nodes))
	for _, e := range ev.Nodes {
		seen[e.ID] = true
		s := c.servers[e.ID]
		if s == nil {
			s = &server{Node: e, others: -1, rack: c.racks[e.Cell%c.cfg.Racks], coldAt: e.StartedAtMs}
			c.servers[e.ID] = s
			c.order = append(c.order, s)
		} else if e.StartedAtMs > s.StartedAtMs { // restarted: cold, and what it had is gone
			s.coldAt, s.lost, s.fails, s.until, s.link.known = e.StartedAtMs, false, 0, 0, false
		}
		s.Node, s.off = e, e.Health != Ready
	}
	c.order = slices.DeleteFunc(c.order, func(s *server) bool {
		s.off = s.off || !ev.Delta && !seen[s.ID]
		if s.Health != Gone && (ev.Delta || seen[s.ID]) {
			s.goneAt = 0
		} else if s.goneAt == 0 {
			s.Health, s.goneAt = Gone, c.now
		} else if c.now-s.goneAt > forgetMs && len(s.sessions) == 0 {
			delete(c.servers, s.ID)
		}
		return c.servers[s.ID] == nil
	})
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].ID < c.order[j].ID })
	clear(c.cells)
	for _, r := range c.racks {
		r.servers = r.servers[:0]
	}
	for _, s := range c.order {
		s.rack.servers = append(s.rack.servers, s)
		c.cells[s.Cell%len(c.cells)] = append(c.cells[s.Cell%len(c.cells)], s)
	}
	c.sizes()
}

// sizes shares out the told links by weight, or where weights tell nothing by the places of each kind.
func (c *Controller) sizes() {
	size := func(s *server) float64 { return min(c.places(s), 1e6) } // all alike where no places are told
	if c.perPlace == 0 {
		total := 0.0
		for _, s := range c.order {
			total += size(s)
		}
		c.perPlace = c.cfg.TotalLinkKB / max(total, 1)
	}
	for _, s := range c.order {
		s.link.cap = size(s) * c.perPlace
		if c.cfg.WeightsKnown && c.cfg.LinkKBPerWeight > 0 || s.link.cap == 0 {
			s.link.cap = math.Max(math.Max(s.Weight, 0.01)*c.cfg.LinkKBPerWeight, c.cfg.RateKB[0])
		}
	}
}

func (c *Controller) places(s *server) float64 {
	if s.Kind < len(c.cfg.StreamsByKind) {
		return float64(c.cfg.StreamsByKind[s.Kind])
	}
	return math.Inf(1)
}

// tellLink books a measured link load; unheard servers count as the running mean of what was heard.
func (c *Controller) tellLink(v *server, at, load float64) {
	v.link.tell(at, load)
	if v.link.known {
		c.mean += (math.Min(load, 2) - c.mean) * meanPart
	}
}

// seen tells whether a server's load has been heard lately.
func (c *Controller) seen(v *server) bool { return v.link.known && c.now-v.link.at <= c.stale }

// linkLoad and rackLoad are the one estimate of a link and of an uplink.
func (c *Controller) linkLoad(s *server) float64 {
	return s.link.load(c.now, c.stale, c.mean)
}

func (c *Controller) rackLoad(r *rack) float64 {
	if r.up.known {
		return r.up.load(c.now, c.stale, 0)
	}
	asked, most := 0.0, staleTo // old figures and guesses alone never shut a rack
	for _, s := range r.servers {
		if !s.off {
			asked += c.linkLoad(s) * s.link.cap
		}
		if c.seen(s) {
			most = math.Inf(1)
		}
	}
	return r.up.load(c.now, c.stale, math.Min(asked/r.up.cap, most))
}

func (c *Controller) load(s *server) float64 { return math.Max(c.linkLoad(s), c.rackLoad(s.rack)) }

func (c *Controller) cold(s *server) bool {
	return s.coldAt > 0 && c.now-s.coldAt < c.cfg.WarmUpMs
}

func (c *Controller) failed(s *server, why string) {
	s.fails++
	rest := math.Min(trialMs*math.Pow(2, float64(s.fails-1)), trialMaxMs)
	s.until = c.now + rest*(0.75+0.5*c.rng.Float64())
	if c.now-s.logged < logEveryMs && s.logged > 0 {
		return
	}
	s.logged = c.now
	id := uint64(s.ID)
	text := fmt.Sprintf("server %d.%d.%d.%d:%d %s; link %.2f uplink %.2f", id&255, id>>8&255, id>>16&255,
		id>>24&255, id>>32, why, c.linkLoad(s), c.rackLoad(s.rack))
	c.out = append(c.out, Action{Kind: ActLog, Text: text})
}

func (c *Controller) report(s *server, r *Report) {
	if !r.Present {
		return
	}
	at := c.now - reportAgeMs
	if r.Link >= 0 {
		c.tellLink(s, at, r.Link+(c.linkLoad(s)-r.Link)*guessPart(c.seen(s)))
	}
	if r.Uplink >= 0 {
		s.rack.up.tell(at, r.Uplink+(c.rackLoad(s.rack)-r.Uplink)*guessPart(s.rack.up.known))
	}
	if r.Streams >= 0 {
		s.others, s.counted = math.Max(0, r.Streams-float64(len(s.sessions))), c.now
	}
}

// guessPart is what an estimate keeps against a report: nothing where it rests on no measurement.
func guessPart(measured bool) float64 {
	if measured {
		return 1 - reportPart
	}
	return 0
}

// ---- sessions on servers ----

func (c *Controller) rate(class *Class, rung int) float64 {
	return c.cfg.RateKB[rung] * class.RateScale
}

func (c *Controller) attach(s *session, v *server, rung int) {
	s.server, s.rung = v, rung
	v.sessions = append(v.sessions, s)
	kb := c.rate(s.class, rung)
	v.link.add(c.now, kb)
	v.rack.up.add(c.now, kb)
	c.seats[seatKey{s.title, s.classNo}]++
	c.alike[s.sort].n++
}

func (c *Controller) detach(s *session) {
	v := s.server
	if i := slices.Index(v.sessions, s); i >= 0 {
		v.sessions = slices.Delete(v.sessions, i, i+1)
	}
	c.alike[s.sort].n--
	kb := c.rate(s.class, s.rung)
	v.link.add(c.now, -kb)
	v.rack.up.add(c.now, -kb)
	if !s.playing {
		v.pending--
	}
	k := seatKey{s.title, s.classNo}
	if c.seats[k]--; c.seats[k] <= 0 {
		delete(c.seats, k)
	}
	s.server, s.playing = nil, false
}

// setRung is the only place that emits a rung: never under the floor, over the class or over the viewer.
func (c *Controller) setRung(s *session, rung int) {
	rung = max(min(rung, s.top), s.class.MinRung)
	kb := c.rate(s.class, rung) - c.rate(s.class, s.rung)
	if s.server == nil || kb == 0 {
		return
	}
	s.server.link.add(c.now, kb)
	s.server.rack.up.add(c.now, kb)
	s.rung, s.changed = rung, c.now
	c.out = append(c.out, Action{Kind: ActSetRung, Session: s.id, Rung: rung})
}

func (c *Controller) newSession(ev *Event) *session {
	k := &c.cfg.Classes[min(ev.Class, len(c.cfg.Classes)-1)]
	s := &session{id: ev.Session, class: k, classNo: ev.Class, title: ev.Title,
		home: ev.FirstCell, n: ev.Copies, deadline: c.now + ev.TimeLeftMs, spare: ev.Headroom,
		top: min(ev.MaxRung, k.MaxRung, len(c.cfg.RateKB)-1)}
	s.sort = min(ev.Class, len(c.cfg.Classes)-1)*len(c.cfg.RateKB) + max(s.top, 0)
	if ev.DurationHintMs > 0 {
		s.endGuess = c.now + ev.DurationHintMs
	}
	c.sessions[s.id] = s
	return s
}

func (c *Controller) existing(ev *Event) {
	s, v := c.newSession(ev), c.servers[ev.Node]
	if v == nil {
		return
	}
	s.tries = 1
	c.attach(s, v, s.class.MinRung)
	s.playing = true
	v.link.log, v.rack.up.log = v.link.log[:len(v.link.log)-1], v.rack.up.log[:len(v.rack.up.log)-1]
}

// ---- the ordinary path ----

func (c *Controller) arrive(ev *Event) {
	s := c.newSession(ev)
	if c.cfg.RetryBudget {
		c.taken = append(c.taken, c.now)
	}
	c.place(s)
}

// holders are the servers that hold the title and may be sent to by rule and by health.
func (c *Controller) holders(s *session) []*server {
	c.scratch = c.scratch[:0]
	for j := 0; j < s.n && j < len(c.cells); j++ {
		for _, v := range c.cells[(s.home+j)%len(c.cells)] {
			if c.legal(s, v) && c.healthy(s, v) {
				c.scratch = append(c.scratch, v)
			}
		}
	}
	return c.scratch
}

func (c *Controller) healthy(s *session, v *server) bool {
	if c.now < v.until || (v.fails > 0 && (v.pending > 0 || s.class.Semantics == AtMostOnce)) {
		return false
	}
	return !slices.Contains(s.tried, v.ID)
}

// admits is the link-and-stream test: the rung's rate must fit under the mark on the link and the uplink.
func (c *Controller) admits(s *session, v *server, kb float64) bool {
	return c.hasPlace(s, v) && c.linkLoad(v)+kb/v.link.cap <= mark &&
		c.rackLoad(v.rack)+kb/v.rack.up.cap <= mark
}

// hasPlace keeps places free beside a request that must leave some. Rates are not kept so: rungs make room
// for them, and a rate that stands empty earns nothing.
func (c *Controller) hasPlace(s *session, v *server) bool {
	return c.now >= v.full && c.streams(v) < c.places(v)*(1-s.spare)
}

func (c *Controller) streams(v *server) float64 {
	return math.Max(v.others, 0)*math.Exp((v.counted-c.now)/streamFadeMs) + float64(len(v.sessions))
}

func (c *Controller) place(s *session) {
	holders := c.holders(s)
	least := c.leastRung(s)
	want := max(c.bestRung(s.class, s.top, c.price(holders, s)), least)
	token := c.tokens[s.title]
	if token == nil && len(holders) > 0 {
		token = slices.MaxFunc(holders, func(a, b *server) int {
			return cmp.Compare(c.turn(a, s.title), c.turn(b, s.title))
		})
	}
	for rung := want; rung >= least && rung <= s.top; rung-- { // none for a viewer under the floor
		kb := c.rate(s.class, rung)
		v := c.pick(s, holders, token, kb)
		if v == nil {
			v = c.makeRoom(s, holders, rung, kb)
		}
		if v != nil {
			if len(c.tokens) >= tokensMost {
				clear(c.tokens)
			}
			c.tokens[s.title] = v
			c.send(s, v, rung)
			return
		}
	}
	c.answer(s)
}

// pick keeps the token where it is while its holder admits, else finds the least-loaded holder that does.
// Where loads are equal, as for all unheard servers, the title's order decides.
func (c *Controller) pick(s *session, holders []*server, token *server, kb float64) *server {
	heir, least, first := (*server)(nil), math.Inf(1), uint64(0)
	for _, v := range holders {
		l, o := c.load(v), c.turn(v, s.title)
		if v.Zone != c.cfg.Zone {
			l += farLoad
		}
		if (l < least || l == least && o > first || v == token) && c.admits(s, v, kb) {
			if heir, least, first = v, l, o; v == token {
				break
			}
		}
	}
	return heir
}

// turn orders the holders of a title by rendezvous hashing, alike at every front; those of its zone first.
// Departure from one home for all: it spares crossings, and not all fronts fill one server.
func (c *Controller) turn(v *server, title uint64) uint64 {
	h := mix(mix(title)^uint64(v.ID)) >> 1
	if v.Zone == c.cfg.Zone {
		h |= 1 << 63
	}
	return h
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *Controller) worth(s *session, rung int) float64 {
	return s.class.Value * c.cfg.RungWorth[rung]
}

// leastRung is the rung that earns the most for a kB. A session under it uses room with which another would
// earn more, so none is set up there: those that play would go to the floor for it, and all earn less.
func (c *Controller) leastRung(s *session) int {
	best := s.class.MinRung
	for r := best + 1; r <= s.top; r++ {
		if c.worth(s, r)*c.cfg.RateKB[best] > c.worth(s, best)*c.cfg.RateKB[r] {
			best = r
		}
	}
	return best
}

// bestRung is the rung with the most worth left after its rate is paid for at the price.
func (c *Controller) bestRung(k *Class, top int, price float64) int {
	best, most := k.MinRung, math.Inf(-1)
	for r := k.MinRung; r <= top; r++ {
		if v := k.Value*c.cfg.RungWorth[r] - price*c.rate(k, r); v > most {
			best, most = r, v
		}
	}
	return best
}

// effective is what a server can carry once the rack's uplink is shared out among its links.
func (c *Controller) effective(v *server) float64 {
	return v.link.cap * math.Min(1, v.rack.up.cap*float64(c.cfg.Racks)/math.Max(c.cfg.TotalLinkKB, 1))
}

// price is the worth of a kB/s at which all sessions on the holders, the newcomer included, would just fill
// what they carry. The front's own sessions stand for those of all fronts, so that the price does not
// depend on how many fronts there are. Departure from "the viewer's highest rung first".
func (c *Controller) price(holders []*server, s *session) float64 {
	mid := c.cfg.RateKB[len(c.cfg.RateKB)/2] * s.class.RateScale
	own, asked, room := mid, mid, 0.0
	for _, v := range c.order {
		own += v.link.own
	}
	for _, v := range holders {
		asked += math.Max(c.linkLoad(v)*v.link.cap, v.link.own)
		room += c.effective(v) * mark
	}
	budget := room * own / asked
	low, high := 0.0, c.highest
	for range 20 {
		p := (low + high) / 2
		sum := c.rate(s.class, c.bestRung(s.class, s.top, p))
		for i := range c.alike {
			if a := &c.alike[i]; a.n > 0 { // by sort: a front of ten thousand decides as fast as one of ten
				sum += a.n * c.rate(a.class, c.bestRung(a.class, a.top, p))
			}
		}
		if sum > budget {
			low = p
		} else {
			high = p
		}
	}
	return high
}

// gain is the worth of a second of a step up from a rung, step its rate.
func (c *Controller) gain(s *session, rung int) float64 { return c.worth(s, rung+1) - c.worth(s, rung) }

func (c *Controller) step(s *session, rung int) float64 {
	return c.rate(s.class, rung+1) - c.rate(s.class, rung)
}

// loss is the worth given up for each kB/s freed when a session goes down one rung.
func (c *Controller) loss(s *session) float64 {
	if s.plan <= s.class.MinRung {
		return math.Inf(1)
	}
	return c.gain(s, s.plan-1) / c.step(s, s.plan-1)
}

// makeRoom lowers own sessions that earn less for their last kB than the newcomer would, at the first
// holder, by load, where that is enough. It acts only when no holder admits the newcomer at that rung.
func (c *Controller) makeRoom(s *session, holders []*server, rung int, kb float64) *server {
	sort.SliceStable(holders, func(i, j int) bool { return c.load(holders[i]) < c.load(holders[j]) })
	for _, v := range holders {
		if !c.hasPlace(s, v) {
			continue
		}
		link := kb - (mark-c.linkLoad(v))*v.link.cap
		up := kb - (mark-c.rackLoad(v.rack))*v.rack.up.cap
		c.pool = append(c.pool[:0], v.sessions...)
		if up > link {
			for _, o := range v.rack.servers {
				if o != v {
					c.pool = append(c.pool, o.sessions...)
				}
			}
		}
		if c.lower(link, up, v, c.worth(s, rung)/kb, true) {
			return v
		}
	}
	return nil
}

// lower takes own sessions of the pool down, the least loss for a kB first, until link and up are freed, each
// in one change. On server at only its own sessions free the link. Under all it is everything or nothing.
func (c *Controller) lower(link, up float64, at *server, dearest float64, all bool) bool {
	for _, o := range c.pool {
		o.plan = o.rung
	}
	fit := c.rng.Float64()
	for link > 0 || up > 0 {
		best, least := (*session)(nil), dearest
		for _, o := range c.pool {
			if l := c.loss(o); l < least && (link <= 0 || at == nil || o.server == at) {
				best, least = o, l
			}
		}
		if best == nil && all {
			return false
		}
		if best == nil || !all && math.Max(link, up) < fit*c.step(best, best.plan-1) {
			break
		}
		kb := c.step(best, best.plan-1)
		best.plan--
		fit = wholeStep
		up -= kb
		if at == nil || best.server == at {
			link -= kb
		}
	}
	for _, o := range c.pool {
		c.setRung(o, o.plan)
	}
	return true
}

// ---- attempts and rule guards ----

// legal holds the rules that forbid a set-up of s at v now; send asks it for every set-up.
func (c *Controller) legal(s *session, v *server) bool {
	if v.off || s.server != nil || c.now >= s.deadline || s.tries >= c.cfg.MaxAttempts {
		return false // drains; one attempt at a time; deadline; attempts
	}
	if k := s.class; k.MaxPerTitle > 0 && c.seats[seatKey{s.title, s.classNo}] >= k.MaxPerTitle {
		return false // terms
	}
	if s.mayHaveRun {
		switch k := s.class; {
		case k.Semantics == AtMostOnce, k.Semantics == IdempotentByKey && c.now-s.ranAt > k.KeyTTLMs,
			k.Semantics == IdempotentByKey && k.KeyScope == ScopeZone && v.Zone != s.ranOn.Zone,
			k.Semantics == IdempotentByKey && k.KeyScope == ScopeCell && v.Cell != s.ranOn.Cell:
			return false // no effect twice
		}
	}
	if s.tries > 0 && c.cfg.RetryBudget && !c.ration() {
		return false // retry budget
	}
	return !c.cold(v) || c.coldTurn(v)
}

// coldTurn paces set-ups to a cold server: one each slot at its slowest pace, and the slots go round the
// fronts, so that all together stay under it without a word between them. Slots are counted on the clock
// that all fronts have and not from the start, which those that saw the server fail date each by itself. A
// turn stays open for what the server bears beyond its pace, n + 2 roots of n + 2 in TipMs, less what a
// connection may come up late: a front of little traffic would miss a turn of one slot. One that was open
// before this front's own start may be spent.
func (c *Controller) coldTurn(v *server) bool {
	slot := c.cfg.WarmUpMs / math.Max(c.places(v)*math.Max(c.cfg.ColdRateFraction, 0.05), 1)
	if !(slot > 0) {
		return false
	}
	open := 1.0
	if c.cfg.ColdWindowMs > 0 {
		open = math.Max(1, math.Floor(2*math.Sqrt(c.cfg.ColdWindowMs/slot)+2-c.cfg.ConnectTimeoutMs/slot))
	}
	fronts, i := float64(c.cfg.Fronts), math.Floor(c.now/slot)
	first := math.Mod(float64(c.cfg.Self)+float64(mix(uint64(v.ID))%uint64(c.cfg.Fronts)), fronts)
	age := math.Mod(math.Mod(i-first, fronts)+fronts, fronts)
	turn := (i - age) * slot // its begin; one set-up each
	return age < open && v.lastCold < turn && turn >= c.began
}

func (c *Controller) ration() bool {
	from := c.now - c.cfg.RetryBudgetWindowMs
	c.taken, c.extras = after(c.taken, from), after(c.extras, from)
	return float64(len(c.extras)+1) <= c.cfg.RetryBudgetMin+c.cfg.RetryBudgetRatio*float64(len(c.taken))
}

func after(l []float64, t float64) []float64 {
	k := 0
	for k < len(l) && l[k] <= t {
		k++
	}
	return l[:copy(l, l[k:])]
}

// send is the only place that emits a set-up.
func (c *Controller) send(s *session, v *server, rung int) {
	if !c.legal(s, v) {
		c.answer(s)
		return
	}
	allow := 0.0 // until the viewer gives up
	if s.class.Semantics == Repeatable && s.tries+1 < c.cfg.MaxAttempts {
		allow = math.Min(s.deadline-c.now, math.Max(s.class.TargetMs, 100)) * firstTryPart
	}
	if s.tries > 0 && c.cfg.RetryBudget {
		c.extras = append(c.extras, c.now)
	}
	if c.cold(v) {
		v.lastCold = c.now
	}
	s.tries++
	s.tried = append(s.tried, v.ID)
	v.pending++
	c.attach(s, v, rung)
	s.changed = c.now
	c.out = append(c.out, Action{Kind: ActSetRung, Session: s.id, Rung: rung},
		Action{Kind: ActSetup, Session: s.id, Node: v.ID, AtMs: allow})
}

// answer ends a request that nothing can be done for: refused where that is allowed, else failed.
func (c *Controller) answer(s *session) {
	delete(c.sessions, s.id)
	if s.erred != nil { // nobody will tell
		c.doubts(s.erred, troubles[Failed])
	}
	k := s.class
	if s.mayHaveRun &&
		(k.Semantics == AtMostOnce || k.Semantics == IdempotentByKey && k.KeyScope != ScopeAll) {
		c.out = append(c.out, Action{Kind: ActFail, Session: s.id})
		return
	}
	refusal := Action{Kind: ActRefuse, Session: s.id}
	if c.cfg.RetryAfter {
		refusal.RetryAfterMs = c.cfg.MaxRetryAfterMs
	}
	c.out = append(c.out, refusal)
}

// ---- outcomes and notes ----

func (c *Controller) playing(ev *Event) {
	v := c.servers[ev.Node]
	if v != nil {
		if v.lost {
			v.lost, v.coldAt = false, c.now
		}
		v.fails, v.until, v.doubt = 0, 0, false
	}
	if s := c.sessions[ev.Session]; s != nil && s.server != nil && !s.playing {
		if s.erred != nil { // it plays here, so there it was not the request
			c.doubts(s.erred, troubles[Failed])
		}
		s.playing, s.playedAt = true, c.now
		s.server.pending--
		if s.endGuess > 0 {
			s.endGuess += ev.LatencyMs
		}
	}
}

func (c *Controller) note(ev *Event) {
	v, s := c.servers[ev.Node], c.sessions[ev.Session]
	if v == nil {
		return
	}
	at := c.now - c.cfg.ReportDelayMs
	if s != nil && (!s.playing || s.playedAt == c.now) {
		at = c.now // told at set-up, in the batch of EvPlaying: it is of now and includes the session
	}
	switch ev.Feedback {
	case FeedbackRung:
		if s != nil && s.server != nil {
			rung := max(min(int(ev.Value), len(c.cfg.RateKB)-1), 0)
			kb := c.rate(s.class, rung) - c.rate(s.class, s.rung)
			s.rung = rung
			s.server.link.own += kb // asked before now: no change since the last measurement
			s.server.rack.up.own += kb
		}
	case FeedbackLinkLoad:
		c.tellLink(v, at, ev.Value)
	case FeedbackUplinkLoad:
		v.rack.up.tell(at, ev.Value)
	case FeedbackRateShare:
		c.short(v, ev.Value)
	}
}

// short takes a share delivered as a measurement of the link, or of an uplink that is never told where two
// of its servers fall short alike, more than their links explain: it then learns what the uplink carries.
func (c *Controller) short(v *server, share float64) {
	if share >= 0.98 || share <= 0 {
		return
	}
	x, at, r := 1/share, c.now-c.cfg.ReportDelayMs, v.rack
	alike := r.shortBy != v && c.now-r.shortAt < alikeMs && math.Abs(r.share-share) < alikeShare
	r.shortBy, r.shortAt, r.share = v, c.now, share
	if alike && !r.up.known && x < hungAt && c.linkLoad(v) < x-0.03 {
		asked := c.rackLoad(r) * r.up.cap
		r.up.cap, r.up.at = math.Min(r.up.cap, math.Max(asked/x, c.cfg.UplinkKB/hungAt)), at
	} else if c.load(v) < x-0.03 {
		c.tellLink(v, at, x)
	}
}

func (c *Controller) settled(ev *Event) {
	v, s := c.servers[ev.Node], c.sessions[ev.Session]
	was := s != nil && s.playing
	if s != nil && s.server != nil {
		c.detach(s)
	}
	if v != nil {
		if why := troubles[ev.Outcome]; why != "" {
			v.lost = v.lost || ev.Outcome == Reset && was || ev.Outcome == ConnectFailed && v.fails > 0
			c.blame(s, v, ev.Outcome, why, was)
		}
		c.report(v, &ev.Report)
		if ev.Outcome == Full { // of rate, of streams or of set-ups waiting: it does not say which
			v.full = c.now + fullMs
		}
	}
	if s == nil || ev.SessionOver || was {
		delete(c.sessions, ev.Session)
		return
	}
	if o := ev.Outcome; !s.mayHaveRun && o != Full && o != ConnectFailed && o != NeverSent {
		s.mayHaveRun, s.ranAt, s.ranOn = true, c.now-ev.LatencyMs, v
	}
	c.place(s)
}

// blame books a failure on a server, unless it may be another's: a request that no server can use errs at
// each, and connections break for reasons of their own. Servers were shut for both, and taken as cold. An
// error of a request that may be tried elsewhere is judged by how that ends.
func (c *Controller) blame(s *session, v *server, o Outcome, why string, played bool) {
	switch {
	case s == nil || played || o != Failed && o != Reset:
		c.failed(v, why)
	case o == Failed && s.errs > 0:
		s.erred = nil // at another server too: the request's own
	case o == Failed && s.class.Semantics == Repeatable:
		s.erred = v
	default:
		c.doubts(v, why)
	}
	if s != nil && o == Failed {
		s.errs++
	}
}

// doubts books what is likely a server's fault; the second in a row shuts it.
func (c *Controller) doubts(v *server, why string) {
	if v.doubt {
		c.failed(v, why)
	}
	v.doubt = true
}

// ---- while sessions play ----

func (c *Controller) tick() {
	for _, r := range c.racks {
		r.up.cap = math.Max(r.up.cap, math.Min(r.up.cap*uplinkBack, c.cfg.UplinkKB))
		c.relieve(&r.up, c.rackLoad(r), r.servers)
		for i, v := range r.servers {
			c.relieve(&v.link, c.linkLoad(v), r.servers[i:i+1])
		}
	}
	c.raise()
}

// relieve lowers own sessions on a link or uplink that is asked for too much, by this front's part of it.
func (c *Controller) relieve(g *gauge, load float64, on []*server) {
	if load <= reliefAt || g.at == 0 || g.eased > g.at {
		return
	}
	part := g.own * (load - reliefTo) / load
	c.pool = c.pool[:0]
	for _, v := range on {
		c.pool = append(c.pool, v.sessions...)
	}
	if load < worseAt {
		c.pool = slices.DeleteFunc(c.pool, func(s *session) bool { return s.rung <= c.leastRung(s) })
	}
	c.lower(part, 0, nil, math.Inf(1), false)
	g.eased = c.now
}

// raise lifts playing sessions where room lasts, the most worth for a kB first, in one change each. On each
// new measurement a front takes the part of the room that its sessions have of what is asked; a first step
// that does not fit whole is taken by chance, so that many fronts of few sessions together fill the room.
func (c *Controller) raise() {
	for _, v := range c.order {
		if len(v.sessions) == 0 || v.off || c.now < v.until || !c.seen(v) || v.raised >= v.link.at {
			continue
		}
		v.raised = c.now
		load, kept := math.Max(c.load(v), 0.01), mark-raiseTo
		if !v.rack.up.known { // an uplink that is only inferred may be short already
			load, kept = load+kept, 0
		}
		room := v.link.own * (mark/load - 1)
		for _, s := range v.sessions {
			s.plan = s.rung
		}
		fit := c.rng.Float64()
		for room > 0 {
			best, most := (*session)(nil), 0.0
			for _, s := range v.sessions {
				if !s.playing || s.plan >= s.top || c.now-s.changed < settleMs ||
					room <= v.link.own*kept/load && s.plan >= c.leastRung(s) {
					continue // room is kept for newcomers, but for what earns most for a kB
				}
				if w := c.gain(s, s.plan) / c.step(s, s.plan); w > most {
					best, most = s, w
				}
			}
			if best == nil || room < fit*c.step(best, best.plan) {
				break
			}
			room -= c.step(best, best.plan)
			best.plan++
			fit = wholeStep
		}
		for _, s := range v.sessions {
			if c.pays(s, s.plan) {
				c.setRung(s, s.plan)
			}
		}
	}
}

// pays tells whether a lift of s to rung r earns its price back by the session's end.
func (c *Controller) pays(s *session, r int) bool {
	left := lifeGuessS
	if s.endGuess > 0 {
		left = (s.endGuess - c.now) / 1000
	}
	return (c.worth(s, r)-c.worth(s, s.rung))*left >= payback*c.cfg.RungChangeCostS*s.class.Value
}
