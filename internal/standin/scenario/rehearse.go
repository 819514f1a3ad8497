package scenario

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"headmill/internal/audit"
	"headmill/internal/bench"
	"headmill/internal/config"
	"headmill/internal/standin/cluster"
	"headmill/internal/standin/medianode"
	"headmill/internal/standin/player"
	"headmill/internal/standin/relay"
	"headmill/internal/token"
)

// Run is one rehearsal.
type Run struct {
	Script *Script
	Exe    string
	Dir    string
	Edit   func(*cluster.Spec) // changes the fleet before it starts
	Say    func(format string, args ...any)

	st     *cluster.Cluster
	mu     sync.Mutex
	boxF   []medianode.Faults
	busy   map[int]bool // boxes that a process trouble has in hand
	rate   float64
	ctx    context.Context
	client *http.Client
	draws  *rand.Rand // of the day's viewers
	flood  *rand.Rand // of a flood's
	nth    atomic.Int64
	living sync.WaitGroup
	Began  time.Time
	Stats  player.Stats
	CPU    []float64 // ms that each director used, as far as it lived to the end
}

// Play runs the script to its end and returns the auditor's report.
func (r *Run) Play() (*audit.Report, error) {
	s := r.Script
	spec := cluster.Small(s.Directors, s.Boxes, s.Titles, s.LifeS*1000)
	spec.Exe, spec.Dir, spec.CutTaps = r.Exe, r.Dir, true
	spec.Base.Attempts.MaxRetryAfterMs = s.AdviceS * 1000
	spec.Base.Admission.PassAll = s.Gate == "off"
	spec.Base.Tenants = []config.Tenant{{Name: brands[0], Share: 0.7}, {Name: brands[1], Share: 0.3}}
	if s.Room > 0 {
		f, b := &spec.Base.Fleet, &spec.Box
		f.TotalLinkKB, f.UplinkKB, b.LinkKB, b.UplinkKB = f.TotalLinkKB*s.Room, f.UplinkKB*s.Room, b.LinkKB*s.Room, b.UplinkKB*s.Room
		b.Places = int(math.Round(float64(b.Places) * s.Room))
		f.StreamsByKind = []int{b.Places}
	}
	if err := errors.Join(overlay(&spec.Base, s.Settings), overlay(&spec.Box, s.Box)); err != nil {
		return nil, err
	}
	if r.Edit != nil {
		r.Edit(&spec)
	}
	st, err := cluster.New(spec)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if err := st.Start(); err != nil {
		return nil, err
	}
	r.st, r.boxF, r.busy, r.rate = st, make([]medianode.Faults, s.Boxes), map[int]bool{}, 1
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	r.Began = began
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	for _, t := range s.Troubles {
		on := r.victims(t, rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(began.Add(seconds(t.AtS))))
			r.say("%5.1f s  %s on %s for %.0f s", time.Since(began).Seconds(), t.Name, names(t, on), t.LenS)
			r.trouble(t, on)
		}()
	}
	r.ctx, r.client = ctx, player.Client()
	r.flood, r.draws = rand.New(rand.NewPCG(s.Seed, 17)), rand.New(rand.NewPCG(s.Seed, 13))
	r.viewers(began)
	wg.Wait()
	r.say("%5.1f s  no more viewers; waiting for those who watch", time.Since(began).Seconds())
	r.living.Wait()
	for _, m := range st.Directors {
		if m.Proc.Alive() {
			r.CPU = append(r.CPU, bench.CPUMs(m.Proc.Pid()))
		}
	}
	time.Sleep(300 * time.Millisecond) // the last notes
	return audit.Judge(st.Log.Records(), Terms(st)), nil
}

func (r *Run) say(format string, args ...any) {
	if r.Say != nil {
		r.Say(format, args...)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func names(t Trouble, on []int) string {
	if t.Name == "burst" || t.Name == "retry_flood" {
		return "viewers"
	}
	kind := "b"
	if played[t.Name] {
		kind = "d"
	}
	var out []string
	for _, i := range on {
		out = append(out, kind+strconv.Itoa(i))
	}
	return strings.Join(out, ",")
}

// victims draws whom a trouble falls on; the same seed draws the same.
func (r *Run) victims(t Trouble, rng *rand.Rand) []int {
	n := r.Script.Boxes
	if played[t.Name] {
		n = r.Script.Directors
	}
	perm := rng.Perm(n)
	if len(t.On) > 0 {
		return t.On
	}
	if t.Name == "report_late" && t.Part == 0 {
		return perm
	}
	k := max(int(math.Round(t.Part*float64(n))), 1)
	on := perm[:k]
	slices.Sort(on)
	return on
}

// set changes one box's faults.
func (r *Run) set(i int, change func(*medianode.Faults)) {
	r.mu.Lock()
	change(&r.boxF[i])
	f := r.boxF[i]
	r.mu.Unlock()
	if err := r.st.Fault(r.st.Boxes[i], f); err != nil {
		r.say("b%d: fault not set: %v", i, err)
	}
}

// take claims a box for a trouble of its process; false where another has it.
func (r *Run) take(i int, on bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && r.busy[i] {
		return false
	}
	r.busy[i] = on
	return true
}

func (r *Run) trouble(t Trouble, on []int) {
	wait := func() { time.Sleep(seconds(t.LenS)) }
	each := func(begin, end func(f *medianode.Faults)) {
		for _, i := range on {
			r.set(i, begin)
		}
		wait()
		for _, i := range on {
			r.set(i, end)
		}
	}
	switch t.Name {
	case "slow":
		each(func(f *medianode.Faults) { f.Slow = t.Size }, func(f *medianode.Faults) { f.Slow = 0 })
	case "origin_slow": // the uplinks of the racks in which the drawn boxes stand
		racks := map[int]bool{}
		for _, i := range on {
			racks[r.st.Boxes[i].Box.Rack] = true
		}
		on = on[:0:0]
		for i, m := range r.st.Boxes {
			if racks[m.Box.Rack] {
				on = append(on, i)
			}
		}
		each(func(f *medianode.Faults) { f.Uplink = t.Size }, func(f *medianode.Faults) { f.Uplink = 0 })
	case "fast_errors":
		each(func(f *medianode.Faults) { f.Errors = t.Size }, func(f *medianode.Faults) { f.Errors = 0 })
	case "hang":
		each(func(f *medianode.Faults) { f.Hang = true }, func(f *medianode.Faults) { f.Hang = false })
	case "answer_lost":
		each(func(f *medianode.Faults) { f.Lost = true }, func(f *medianode.Faults) { f.Lost = false })
	case "report_late":
		each(func(f *medianode.Faults) { f.LateMs = t.Size * 1000 }, func(f *medianode.Faults) { f.LateMs = 0 })
	case "burst":
		r.setRate(t.Size)
		wait()
		r.setRate(1)
	case "retry_flood": // of the second brand; its viewers come again every 100 ms whatever they are told
		end := time.Now().Add(seconds(t.LenS))
		for at := time.Now(); at.Before(end); at = at.Add(time.Duration(float64(time.Second) / t.Size)) {
			time.Sleep(time.Until(at))
			r.viewer(r.flood, func(w *player.Wish) { w.Hammer = true }, 1)
		}
	case "drain":
		for _, i := range on {
			r.st.Lister.Drain(r.st.Boxes[i].Box.Public, true)
		}
		wait()
		for _, i := range on {
			r.st.Lister.Drain(r.st.Boxes[i].Box.Public, false)
		}
	case "crash", "cold_start", "vanish":
		var wg sync.WaitGroup
		for _, i := range on {
			if !r.take(i, true) {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer r.take(i, false)
				r.restartBox(t, r.st.Boxes[i])
				r.set(i, func(f *medianode.Faults) { *f = medianode.Faults{} })
			}()
		}
		wg.Wait()
	case "balancer_crash":
		for _, i := range on {
			m := r.st.Directors[i]
			r.st.Log.Mark(m.Name, "killed")
			m.Proc.Kill()
			m.Front.Refuse(true)
			m.List.Reset()
		}
		wait()
		for _, i := range on {
			m := r.st.Directors[i]
			if err := r.st.StartDirector(m, false); err != nil {
				r.say("%s: %v", m.Name, err)
				continue
			}
			r.st.Log.Mark(m.Name, "started")
			m.Front.Refuse(false)
		}
	}
}

// restartBox takes a box down and starts it again cold. One that vanishes is stopped without a word, and its
// machine does not even reset what stands.
func (r *Run) restartBox(t Trouble, m *cluster.Member) {
	if t.Name == "vanish" {
		r.st.Log.Mark(m.Name, "vanished")
		m.Front.Set(relay.Faults{Stall: true})
		m.Proc.Kill()
		time.Sleep(seconds(t.LenS))
		m.Front.Refuse(true)
		m.Front.Set(relay.Faults{})
	} else {
		r.st.Log.Mark(m.Name, "killed")
		m.Proc.Kill()
		m.Front.Refuse(true)
		time.Sleep(seconds(t.LenS))
	}
	if err := r.st.StartBox(m, true); err != nil {
		r.say("%s: %v", m.Name, err)
		return
	}
	r.st.Log.Mark(m.Name, "started")
	p := m.Proc
	go func() {
		for p.Alive() {
			time.Sleep(20 * time.Millisecond)
		}
		if strings.Contains(fmt.Sprint(p.Err), "exit status 9") {
			r.st.Log.Mark(m.Name, "fell")
		}
	}()
}

func (r *Run) setRate(f float64) {
	r.mu.Lock()
	r.rate = f
	r.mu.Unlock()
}

var brands = [2]string{"hanbit-mobile", "dasol-talk"}

// viewers draws viewers until the script's end and lets them live on.
func (r *Run) viewers(began time.Time) {
	at := 0.0
	for {
		r.mu.Lock()
		rate := r.Script.Rate * r.rate
		r.mu.Unlock()
		at += r.draws.ExpFloat64() / rate
		if at >= r.Script.Seconds {
			return
		}
		time.Sleep(time.Until(began.Add(seconds(at))))
		brand := 0
		if r.draws.Float64() < 0.3 {
			brand = 1
		}
		if s := r.Script.Only; s == "" || s == brands[brand] {
			r.viewer(r.draws, nil, brand)
		}
	}
}

// viewer draws one viewer of a brand and lets it live.
func (r *Run) viewer(rng *rand.Rand, edit func(*player.Wish), brand int) {
	s, st := r.Script, r.st
	titles := st.Spec.Base.Titles
	t := &titles[int(float64(len(titles))*math.Pow(rng.Float64(), 1.5))] // some are wanted far more than others
	k := &st.Spec.Base.Classes[st.Spec.Base.ClassIndex(t.Class)]
	viewer, top := fmt.Sprintf("v%d", r.nth.Add(1)), len(st.Spec.Base.Ladder.RateKB)-1
	if rng.Float64() < 0.2 {
		top--
	}
	tries := 0
	w := player.Wish{Title: t.Name, Class: t.Class, Paid: k.Semantics == "once", GiveUp: time.Duration(k.GiveUpMs) * time.Millisecond,
		Length: time.Duration(t.DurationMs) * time.Millisecond, Seed: rng.Uint64(), Double: rng.Float64() < s.Double,
		Socket: rng.Float64() < s.Socket,
		Token: func() string {
			tries++
			now := time.Now()
			raw, err := st.Key.Mint(token.Claims{Title: t.Name, Class: t.Class, Tenant: brands[brand], MaxRung: top,
				RegisteredClaims: jwt.RegisteredClaims{Subject: viewer, ID: fmt.Sprintf("%s-%d", viewer, tries),
					IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(10 * time.Minute))}})
			if err != nil {
				panic(err)
			}
			return raw
		},
		Director: func(g *rand.Rand) string { return st.Directors[g.IntN(len(st.Directors))].URL }}
	if edit != nil {
		edit(&w)
	}
	r.living.Add(1)
	go func() {
		defer r.living.Done()
		player.Watch(r.ctx, r.client, w, &r.Stats)
	}()
}

// Found is one line of a director's log on quality.
type Found struct {
	Director, Group, Name string
	Over                  bool
	Load                  float64
	At                    float64 // s since the day began
}

// Findings reads what the directors' logs say of quality.
func (r *Run) Findings() (out []Found, err error) {
	for _, m := range r.st.Directors {
		f, err := os.Open(filepath.Join(r.Dir, m.Name+".log"))
		if err != nil {
			return nil, err
		}
		defer f.Close()
		sc := bufio.NewScanner(f)
		for sc.Buffer(nil, 1<<20); sc.Scan(); {
			var line struct {
				Time        time.Time
				Msg         string
				Group, Name string
				Over        bool
				Load        float64
			}
			if json.Unmarshal(sc.Bytes(), &line) == nil && strings.HasPrefix(line.Msg, "quality: ") {
				out = append(out, Found{m.Name, line.Group, line.Name, line.Over, line.Load, line.Time.Sub(r.Began).Seconds()})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Found) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// RackOf is the rack in which the box of an address stands; -1 for no box.
func (r *Run) RackOf(addr string) int {
	for _, m := range r.st.Boxes {
		if m.Box.Public == addr {
			return m.Box.Rack
		}
	}
	return -1
}

// Terms is what the auditor is told of the fleet: the terms of service, not what any director thinks.
func Terms(st *cluster.Cluster) audit.Terms {
	b, x := &st.Spec.Base, &st.Spec.Box
	t := audit.Terms{Classes: map[string]audit.Class{}, Titles: map[string]audit.Title{}, Boxes: map[string]string{},
		Worth: b.Ladder.Worth, SlackMs: 40, GraceMs: 250, Places: float64(x.Places), WarmMs: x.WarmMs,
		ColdFrom: x.ColdFrom, Factor: x.Factor, TipMs: x.TipMs, Shortfall: 6}
	for _, k := range b.Classes {
		t.Classes[k.Name] = audit.Class{AtMostOnce: k.Semantics == "once", TargetMs: k.TargetMs, GiveUpMs: k.GiveUpMs, Value: k.Value,
			Floor: k.MinRung, Seats: k.MaxPerTitle}
	}
	for _, v := range b.Titles {
		t.Titles[v.Name] = audit.Title{Class: v.Class, DurationMs: v.DurationMs}
	}
	for _, m := range st.Boxes {
		t.Boxes[m.Box.Public] = m.Name
	}
	return t
}
