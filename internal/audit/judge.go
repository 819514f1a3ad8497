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

// Class and Title are the terms of service.
type Class struct {
	AtMostOnce         bool
	TargetMs, GiveUpMs float64
	Value              float64
	Floor, Seats       int
}

// Title is one entry of the catalogue.
type Title struct {
	Class      string
	DurationMs float64
}

// Terms is what the rules say in figures.
type Terms struct {
	Classes   map[string]Class
	Titles    map[string]Title
	Boxes     map[string]string // name of the box's relay by the address that the list tells
	Worth     []float64         // of each rung
	Shortfall float64           // points of worth lost for each point of the rate that is missing under 98%
	SlackMs   float64           // an answer may come so long after the viewer's time
	GraceMs   float64           // of a drain
	Places    float64
	WarmMs    float64
	ColdFrom  float64
	Factor    float64
	TipMs     float64
	Rationed  bool
	MinExtra  float64
	Ratio     float64
	LookBack  float64
}

// raceMs is how far apart two records of different connections can be in the wrong order: the relays see them
// in goroutines of their own.
const raceMs = 25

// shareMs is how long a told share is taken to hold: boxes tell it once a second while it is short.
const shareMs = 2500

// Report is the verdict. The first fields are the rehearsal's line.
type Report struct {
	Asked          int     `json:"asked"`
	AnsweredOnce   int     `json:"answered_once"`
	Unanswered     int     `json:"unanswered"`
	AnsweredTwice  int     `json:"answered_twice"`
	PaidTwice      int     `json:"paid_twice"`
	TwoAttempts    int     `json:"two_attempts"`
	DrainLate      int     `json:"drain_late"`
	ColdPushed     int     `json:"cold_pushed"`
	SeatsExceeded  int     `json:"seats_exceeded"`
	WorthInTime    float64 `json:"worth_in_time"`
	SetupP50       float64 `json:"setup_ms_p50"`
	SetupP99       float64 `json:"setup_ms_p99"`
	SessionsPerS   float64 `json:"sessions_per_s"`
	WrongRefusals  int     `json:"wrong_refusals"`
	UnderFloor     int     `json:"under_floor"`
	RationExceeded int     `json:"ration_exceeded"`
	Fell           int     `json:"fell"`
	Left           int     `json:"viewer_left"`        // the viewer went before its answer and its time: none is owed
	LostWith       int     `json:"lost_with_director"` // the director was killed while the request was out
	Plays          int     `json:"plays"`
	Refused        int     `json:"refused"`
	Failed         int     `json:"failed"`
	Elsewhere      int     `json:"elsewhere"`
	Denied         int     `json:"denied"`
	Setups         int     `json:"setups"`
	Sockets        int     `json:"socket_opens"` // of asked, those over the session API
	FirstTries     int     `json:"first_tries"`
	FirstInTime    int     `json:"first_tries_in_time"`
	RushPerS       float64 `json:"rush_per_s"`    // most first tries in a second
	ReturnsPerS    float64 `json:"returns_per_s"` // most tries in a second of viewers that were refused before

	WorthByBrand map[string]float64 `json:"worth_by_brand,omitempty"`
	// Broken describes each broken rule, the first 50.
	Broken []string `json:"broken,omitempty"`
}

// OK tells whether no rule broke.
func (r *Report) OK() bool {
	return r.Unanswered+r.AnsweredTwice+r.PaidTwice+r.TwoAttempts+r.DrainLate+r.ColdPushed+r.SeatsExceeded+
		r.WrongRefusals+r.UnderFloor+r.RationExceeded == 0
}

func (r *Report) broke(n *int, format string, args ...any) {
	*n++
	if len(r.Broken) < 50 {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

// setup is one attempt as a box's relay saw it.
type setup struct {
	*request
	session, jti, class, title, director, box string
	rung                                      int
	neverRan                                  bool
	over                                      float64 // answered, or its connection ended
}

// held is a session that plays: where, from when to when, and its rungs.
type held struct {
	name, box, director string
	from, to            float64
	rungs               []change
}

type change struct {
	at   float64
	rung int
}

type judge struct {
	Terms
	rep    *Report
	marks  []relay.Record
	conns  []*conn
	setups []*setup
	held   map[string]*held
	shares map[string][]change2
	asks   map[string][]float64 // requests by director, for the ration
	starts map[string][]start   // starts of boxes as directors were told
}

type change2 struct{ at, v float64 }

type start struct {
	boot string
	at   float64
	told map[string]float64 // by director
}

// Judge reads the records and tells what broke.
func Judge(recs []relay.Record, t Terms) *Report {
	j := &judge{Terms: t, rep: &Report{}, held: map[string]*held{}, shares: map[string][]change2{},
		asks: map[string][]float64{}, starts: map[string][]start{}}
	j.conns, j.marks = gather(recs)
	j.boxes()
	j.fronts()
	j.attempts()
	j.lists()
	j.seats()
	j.ration()
	for _, m := range j.marks {
		if m.Text == "fell" {
			j.rep.Fell++
			j.rep.broke(&j.rep.ColdPushed, "%s fell over at %.0f ms", m.Tap, m.AtMs)
		}
	}
	return j.rep
}

// killed tells whether a member was killed within a span.
func (j *judge) killed(name string, from, to float64) bool {
	for _, m := range j.marks {
		if m.Tap == name && (m.Text == "killed" || m.Text == "vanished") && m.AtMs >= from && m.AtMs <= to {
			return true
		}
	}
	return false
}

// down is when a member next goes down after a time.
func (j *judge) down(name string, after float64) float64 {
	for _, m := range j.marks {
		if m.Tap == name && (m.Text == "killed" || m.Text == "vanished") && m.AtMs >= after {
			return m.AtMs
		}
	}
	return never
}

// boxes reads what passed between directors and boxes.
func (j *judge) boxes() {
	isBox := map[string]bool{}
	for _, name := range j.Boxes {
		isBox[name] = true
	}
	for _, c := range j.conns {
		if !isBox[c.tap] {
			continue
		}
		if bytesPrefix(c.forth.buf, "GET /notes") {
			j.notes(c)
			continue
		}
		reqs, extra := c.requests()
		if extra > 0 {
			j.rep.broke(&j.rep.AnsweredTwice, "%s: %d answers that nobody asked for", c.tap, extra)
		}
		for _, r := range reqs {
			name := strings.TrimPrefix(r.path, "/sessions/")
			switch r.method {
			case "PUT":
				s := &setup{request: r, session: name, jti: r.form.Get("jti"), class: r.form.Get("class"),
					title: r.form.Get("title"), director: r.form.Get("director"), box: c.tap}
				fmt.Sscan(r.form.Get("rung"), &s.rung)
				var doc struct {
					Ran *bool `json:"ran"`
				}
				s.neverRan = r.status == 503 && json.Unmarshal(r.body, &doc) == nil && doc.Ran != nil && !*doc.Ran
				s.over = math.Min(math.Min(r.answered, c.forth.end), c.back.end)
				j.setups = append(j.setups, s)
				if r.status == 201 {
					j.held[name] = &held{name: name, box: c.tap, director: s.director, from: r.answered,
						to:    math.Min(j.down(c.tap, r.answered), j.down(s.director, r.answered)),
						rungs: []change{{r.answered, s.rung}}}
				}
			}
		}
	}
	sort.SliceStable(j.setups, func(a, b int) bool { return j.setups[a].first < j.setups[b].first })
	for _, c := range j.conns { // once all set-ups are known
		if !isBox[c.tap] || bytesPrefix(c.forth.buf, "GET /notes") {
			continue
		}
		reqs, _ := c.requests()
		for _, r := range reqs {
			h := j.held[strings.TrimPrefix(r.path, "/sessions/")]
			if h == nil {
				continue
			}
			switch r.method {
			case "PATCH":
				k := change{r.whole, 0}
				fmt.Sscan(r.form.Get("rung"), &k.rung)
				h.rungs = append(h.rungs, k)
			case "DELETE":
				h.to = math.Min(h.to, r.whole)
			}
		}
	}
	for _, c := range j.conns {
		if isBox[c.tap] && bytesPrefix(c.forth.buf, "GET /notes") {
			j.ends(c)
		}
	}
	for _, h := range j.held {
		slices.SortStableFunc(h.rungs, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	}
}

func bytesPrefix(b []byte, p string) bool { return len(b) >= len(p) && string(b[:len(p)]) == p }

type noteText struct {
	Session string  `json:"session"`
	Value   float64 `json:"value"`
}

func (j *judge) notes(c *conn) {
	for _, e := range c.events() {
		var n noteText
		if e.kind == "share" && json.Unmarshal([]byte(e.data), &n) == nil {
			j.shares[c.tap] = append(j.shares[c.tap], change2{e.at, n.Value})
		}
	}
	slices.SortStableFunc(j.shares[c.tap], func(a, b change2) int { return cmp.Compare(a.at, b.at) })
}

func (j *judge) ends(c *conn) {
	for _, e := range c.events() {
		var n noteText
		if e.kind == "ended" && json.Unmarshal([]byte(e.data), &n) == nil {
			if h := j.held[n.Session]; h != nil {
				h.to = math.Min(h.to, e.at)
			}
		}
	}
}

// fronts reads what passed between viewers and directors: every request one answer, in time.
func (j *judge) fronts() {
	type wish struct {
		at  float64
		c   claims
		got map[string]float64 // session name: when it was answered, if in time
	}
	wishes := map[string]*wish{}
	var times []float64
	first, last := never, 0.0
	turned := map[string]bool{} // viewers whose last try was refused
	var firsts, repeats []float64
	for _, r := range j.asked() {
		cl, k := r.claims, j.Classes[r.claims.Class]
		j.rep.Asked++
		j.asks[r.tap] = append(j.asks[r.tap], r.whole)
		first, last = math.Min(first, r.whole), math.Max(last, r.whole)
		w := wishes[cl.Sub]
		fresh := w == nil && cl.Sub != ""
		if fresh {
			w = &wish{at: r.whole, c: cl, got: map[string]float64{}}
			wishes[cl.Sub] = w
			firsts = append(firsts, r.whole)
			j.rep.FirstTries++
		} else if turned[cl.Sub] {
			repeats = append(repeats, r.whole)
		}
		turned[cl.Sub] = r.status == 503
		limit := r.whole + k.GiveUpMs + j.SlackMs
		switch {
		case r.status == 0 && r.left <= math.Min(r.ended, limit):
			j.rep.Left++
			continue
		case r.status == 0 && j.killed(r.tap, r.whole-raceMs, limit):
			j.rep.LostWith++
			continue
		case r.status == 0:
			j.rep.broke(&j.rep.Unanswered, "%s: %s of %s at %.0f ms: no answer", r.tap, r.path, cl.JTI, r.whole)
			continue
		case r.answered > limit:
			j.rep.broke(&j.rep.Unanswered, "%s: %s of %s: answered after %.0f ms, over the viewer's time", r.tap, r.path,
				cl.JTI, r.answered-r.whole)
			continue
		}
		j.rep.AnsweredOnce++
		inTime := r.answered-r.whole <= k.TargetMs
		switch {
		case r.status == 200:
			j.rep.Plays++
			times = append(times, r.answered-r.whole)
			if fresh && inTime {
				j.rep.FirstInTime++
			}
			if name := sessionOf(r.body); w != nil && name != "" {
				if _, had := w.got[name]; !had && inTime {
					w.got[name] = r.answered
				}
			}
		case r.status == 503:
			j.rep.Refused++
			if k.AtMostOnce {
				j.refusal(r.tap, r.answered, cl)
			}
		case r.status == 307:
			j.rep.Elsewhere++
			if fresh { // its first try is the one that follows the way shown
				delete(wishes, cl.Sub)
				firsts = firsts[:len(firsts)-1]
				j.rep.FirstTries--
			}
		case r.status >= 500 || r.status == 410 || r.status == 409 || r.status == 429:
			j.rep.Failed++
		default:
			j.rep.Denied++
		}
	}
	if p := peak(firsts); p > 0 {
		j.rep.RushPerS, j.rep.ReturnsPerS = p, peak(repeats)
	}
	byBrand := map[string][2]float64{}
	wanted, earned := 0.0, 0.0
	names := make([]string, 0, len(wishes))
	for sub := range wishes {
		names = append(names, sub)
	}
	sort.Strings(names)
	for _, sub := range names {
		w := wishes[sub]
		k, end := j.Classes[w.c.Class], w.at+j.Titles[w.c.Title].DurationMs
		top := min(w.c.Top, len(j.Worth)-1)
		brand := byBrand[w.c.Brand]
		brand[1] += (end - w.at) * k.Value * j.Worth[top]
		wanted += (end - w.at) * k.Value * j.Worth[top]
		for name, at := range w.got {
			if h := j.held[name]; h != nil {
				got := j.worth(h, at, end) * k.Value
				earned += got
				brand[0] += got
			}
		}
		byBrand[w.c.Brand] = brand
	}
	for name, b := range byBrand {
		if b[1] > 0 {
			if j.rep.WorthByBrand == nil {
				j.rep.WorthByBrand = map[string]float64{}
			}
			j.rep.WorthByBrand[name] = math.Round(b[0]/b[1]*1000) / 1000
		}
	}
	if wanted > 0 {
		j.rep.WorthInTime = math.Round(earned/wanted*1000) / 1000
	}
	sort.Float64s(times)
	if n := len(times); n > 0 {
		j.rep.SetupP50 = math.Round(times[n/2]*10) / 10
		j.rep.SetupP99 = math.Round(times[min(n*99/100, n-1)]*10) / 10
	}
	if last > first {
		j.rep.SessionsPerS = math.Round(float64(j.rep.Plays)/(last-first)*1e5) / 100
	}
}

// peak is the largest number of times within one second.
func peak(at []float64) float64 {
	sort.Float64s(at)
	most, from := 0, 0
	for i := range at {
		for at[i]-at[from] >= 1000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most)
}

// worth adds up what a session earned between two times, ms of worth 1.
func (j *judge) worth(h *held, from, to float64) float64 {
	from, to = math.Max(from, h.from), math.Min(to, h.to)
	cuts := []float64{from, to}
	for _, c := range h.rungs {
		cuts = append(cuts, c.at)
	}
	for _, c := range j.shares[h.box] {
		cuts = append(cuts, c.at, c.at+shareMs)
	}
	sort.Float64s(cuts)
	sum := 0.0
	for i := 1; i < len(cuts); i++ {
		a, b := math.Max(cuts[i-1], from), math.Min(cuts[i], to)
		if b <= a {
			continue
		}
		rung, share := h.rungs[0].rung, 1.0
		for _, c := range h.rungs {
			if c.at <= a {
				rung = c.rung
			}
		}
		for _, c := range j.shares[h.box] {
			if c.at <= a && a-c.at < shareMs {
				share = c.v
			}
		}
		w := j.Worth[max(min(rung, len(j.Worth)-1), 0)]
		sum += (b - a) * math.Max(w*(1-j.Shortfall*math.Max(0.98-share, 0)), 0)
	}
	return sum
}

// refusal checks that a paid session is only refused where nothing of it can have run.
func (j *judge) refusal(at string, answered float64, c claims) {
	for _, s := range j.setups {
		if s.jti == c.JTI && s.first < answered && !(s.neverRan && s.answered <= answered+raceMs) {
			j.rep.broke(&j.rep.WrongRefusals, "%s: paid %s refused, though its set-up at %s may have run", at, c.JTI, s.box)
			return
		}
	}
}

// attempts checks that a paid set-up is sent once, that no session has two attempts out, and the floor.
func (j *judge) attempts() {
	byJTI, bySession := map[string][]*setup{}, map[string][]*setup{}
	for _, s := range j.setups {
		j.rep.Setups++
		if j.Classes[s.class].AtMostOnce && s.jti != "" {
			for _, o := range byJTI[s.jti] {
				if !(o.neverRan && o.answered <= s.first+raceMs) {
					j.rep.broke(&j.rep.PaidTwice, "paid %s: set up at %s at %.0f ms and again at %s at %.0f ms", s.jti, o.box,
						o.first, s.box, s.first)
					break
				}
			}
			byJTI[s.jti] = append(byJTI[s.jti], s)
		}
		for _, o := range bySession[s.session] {
			if over := o.over; over > s.first+raceMs || o.status == 201 && j.stillHeld(o, s.first) {
				j.rep.broke(&j.rep.TwoAttempts, "%s: attempt at %s from %.0f ms, another at %s at %.0f ms", s.session, o.box,
					o.first, s.box, s.first)
				break
			}
		}
		bySession[s.session] = append(bySession[s.session], s)
		if s.form != nil && s.rung < j.Classes[s.class].Floor {
			j.rep.broke(&j.rep.UnderFloor, "%s: set up at rung %d", s.session, s.rung)
		}
		if h := j.held[s.session]; h != nil && s.status == 201 {
			for _, c := range h.rungs {
				if c.rung < j.Classes[s.class].Floor {
					j.rep.broke(&j.rep.UnderFloor, "%s: set to rung %d", s.session, c.rung)
				}
			}
		}
	}
}

func (j *judge) stillHeld(s *setup, at float64) bool {
	h := j.held[s.session]
	return h != nil && h.box == s.box && h.to > at+raceMs
}

// lists reads the box lists as told to each director and checks drains and cold starts against them.
func (j *judge) lists() {
	type told struct {
		at    float64
		state string
	}
	by := map[string]map[string][]told{} // director, box
	for _, c := range j.conns {
		d, isList := strings.CutSuffix(c.tap, "/list")
		if !isList {
			continue
		}
		if by[d] == nil {
			by[d] = map[string][]told{}
		}
		for _, e := range c.events() {
			var m struct {
				Full    bool
				Servers []struct {
					Addr, State, Boot string
					UpMs              float64 `json:"up_ms"`
				}
			}
			if json.Unmarshal([]byte(e.data), &m) != nil {
				continue
			}
			now := map[string]bool{}
			for _, s := range m.Servers {
				name := j.Boxes[s.Addr]
				now[name] = true
				by[d][name] = append(by[d][name], told{e.at, s.State})
				if s.UpMs > 0 {
					j.start(name, s.Boot, d, e.at-s.UpMs, e.at)
				}
			}
			if m.Full {
				for name := range by[d] {
					if !now[name] {
						by[d][name] = append(by[d][name], told{e.at, "gone"})
					}
				}
			}
		}
	}
	for _, boxes := range by {
		for _, l := range boxes {
			slices.SortStableFunc(l, func(a, b told) int { return cmp.Compare(a.at, b.at) })
		}
	}
	for _, s := range j.setups {
		state, since := "ready", 0.0
		for _, t := range by[s.director][s.box] {
			if t.at > s.first {
				break
			}
			if t.state != state {
				state, since = t.state, t.at
			}
		}
		if state != "ready" && s.first > since+j.GraceMs {
			j.rep.broke(&j.rep.DrainLate, "%s sent %s to %s %.0f ms after it was told that it is %s", s.director, s.session,
				s.box, s.first-since, state)
		}
	}
	j.cold()
}

func (j *judge) start(box, boot, director string, at, told float64) {
	for i := range j.starts[box] {
		if s := &j.starts[box][i]; s.boot == boot {
			if t, ok := s.told[director]; !ok || told < t {
				s.told[director] = told
			}
			return
		}
	}
	j.starts[box] = append(j.starts[box], start{boot: boot, at: at, told: map[string]float64{director: told}})
}

// cold checks each start: within any window of TipMs, the set-ups of directors that had been told must stay
// under Factor times the pace then, with two for chance.
func (j *judge) cold() {
	if j.WarmMs <= 0 || j.Factor <= 0 {
		return
	}
	for box, starts := range j.starts {
		for _, st := range starts {
			var sent []float64
			for _, s := range j.setups {
				if t, ok := st.told[s.director]; s.box == box && ok && s.first >= t && s.first < st.at+j.WarmMs {
					sent = append(sent, s.first)
				}
			}
			for i := range sent {
				k := i
				for k < len(sent) && sent[k] < sent[i]+j.TipMs {
					k++
				}
				age := math.Max(sent[i]+j.TipMs-st.at, 0)
				pace := j.Places / j.WarmMs * (j.ColdFrom + (1-j.ColdFrom)*math.Min(age/j.WarmMs, 1))
				if float64(k-i) > j.Factor*pace*j.TipMs+2 {
					j.rep.broke(&j.rep.ColdPushed, "%s: %d set-ups within %.0f ms, %.0f ms after its start", box, k-i, j.TipMs,
						sent[i]-st.at)
					break
				}
			}
		}
	}
}

// seats counts the sessions of one title and class that a director holds, set-ups included.
func (j *judge) seats() {
	type step struct {
		at float64
		by int
	}
	steps := map[string][]step{}
	for _, s := range j.setups {
		k := j.Classes[s.class]
		if k.Seats == 0 || s.form == nil {
			continue
		}
		to := s.over
		if h := j.held[s.session]; s.status == 201 && h != nil && h.box == s.box {
			to = h.to
		}
		key := s.director + "\x00" + s.title + "\x00" + s.class
		steps[key] = append(steps[key], step{s.first, 1}, step{to, -1})
	}
	for key, l := range steps {
		slices.SortFunc(l, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
		parts := strings.Split(key, "\x00")
		n := 0
		for _, s := range l {
			if n += s.by; n > j.Classes[parts[2]].Seats {
				j.rep.broke(&j.rep.SeatsExceeded, "%s holds %d sessions of %s at %.0f ms", parts[0], n, parts[1], s.at)
				break
			}
		}
	}
}

// ration checks the attempts beyond each session's first, by director.
func (j *judge) ration() {
	if !j.Rationed {
		return
	}
	seen := map[string]bool{}
	extras := map[string][]float64{}
	for _, s := range j.setups {
		if seen[s.session] {
			l := append(extras[s.director], s.first)
			extras[s.director] = l
			n, asked := 0, 0
			for _, t := range l {
				if t > s.first-j.LookBack {
					n++
				}
			}
			for _, t := range j.asks[s.director] {
				if t > s.first-j.LookBack && t <= s.first {
					asked++
				}
			}
			if float64(n) > j.MinExtra+j.Ratio*float64(asked) {
				j.rep.broke(&j.rep.RationExceeded, "%s: %d further attempts for %d requests at %.0f ms", s.director, n, asked, s.first)
			}
		}
		seen[s.session] = true
	}
}
