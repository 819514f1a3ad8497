package limits

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time: a verdict must not depend on the day.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

func config() Config {
	return Config{Brands: []Brand{{Name: "a", Share: 3}, {Name: "b", Share: 1}}, Values: []float64{3, 1, 1}, MinRetryMs: 200,
		MaxRetryMs: 8000, RememberMs: 30000, MaxWishes: 1000, LagMs: 100, Queue: 1000, MemoryBytes: 1e9}
}

// world is a fleet that places so many a second and refuses the rest, behind a gate.
type world struct {
	g                  *Gate
	room, now, seats   float64
	next               uint64
	placed, asked      map[int]int // by brand
	shed               map[Reason]int
	advice             []float64
	firstsIn, repeatIn int // let through while scarce
}

func newWorld(cfg Config, perS float64) *world {
	return &world{g: New(cfg, 1), room: perS, seats: perS, placed: map[int]int{}, asked: map[int]int{}, shed: map[Reason]int{}}
}

// wait lets time pass in the world, and room come free.
func (w *world) wait(ms float64) {
	w.now += ms
	w.seats = math.Min(w.seats+w.room*ms/1000, w.room)
	w.g.Step(w.now, []Event{{Kind: Tick}}, nil)
}

// ask brings one request; it returns whether it plays, and else the advice.
func (w *world) ask(brand int, wish, title uint64) (bool, float64) {
	w.next++
	w.asked[brand]++
	ev := Event{Kind: Ask, ID: w.next, Wish: wish, Brand: brand, Title: title, Class: 1}
	a := w.g.Step(w.now, []Event{ev}, nil)[0]
	if a.Reason != Pass {
		w.shed[a.Reason]++
		w.advice = append(w.advice, a.RetryMs)
		return false, a.RetryMs
	}
	if w.seats >= 1 {
		w.seats--
		w.placed[brand]++
		if w.g.Scarce() {
			if a.Repeated {
				w.repeatIn++
			} else {
				w.firstsIn++
			}
		}
		ev.Kind = Placed
		w.g.Step(w.now, []Event{ev}, nil)
		return true, 0
	}
	ev.Kind, ev.Loan = NoRoom, a.Loan
	a = w.g.Step(w.now, []Event{ev}, nil)[0]
	w.shed[a.Reason]++
	w.advice = append(w.advice, a.RetryMs)
	return false, a.RetryMs
}

func TestAllPassesWhileThereIsRoom(t *testing.T) {
	w := newWorld(config(), 100)
	for i := range 2000 { // 50 a second, all of the brand with the small share, all of one title
		w.wait(20)
		if ok, _ := w.ask(1, uint64(i), 7); !ok {
			t.Fatalf("request %d refused with half of the room free: %v", i, w.shed)
		}
	}
	if w.g.Weight() != 100 {
		t.Errorf("weight %d", w.g.Weight())
	}
}

// The brand within its share loses next to nothing while the other one floods with repeated tries.
func TestABrandWithinItsShareIsKept(t *testing.T) {
	for _, flood := range []float64{100, 400, 1000} {
		w := newWorld(config(), 40)
		wish := uint64(0)
		aAsked, aPlaced := 0, 0
		for i := range 4000 { // 40 s in steps of 10 ms
			w.wait(10)
			if i%5 == 0 { // 20 a second of brand a, which may have 30
				wish++
				ok, _ := w.ask(0, wish, wish%5)
				if i > 500 {
					aAsked++
					if ok {
						aPlaced++
					}
				}
			}
			for range int(flood / 100) {
				w.ask(1, 1e6+uint64(i%50), 3) // fifty viewers that ask again and again
			}
		}
		if lost := 1 - float64(aPlaced)/float64(aAsked); lost > 0.02 {
			t.Errorf("flood of %v: brand a loses %.1f%% (%d of %d)", flood, 100*lost, aAsked-aPlaced, aAsked)
		}
		if w.placed[1] < 10*40/2 {
			t.Errorf("flood of %v: brand b has %d placements; it has a share too, and what a leaves", flood, w.placed[1])
		}
	}
}

// What a brand does not use is lent, and its owner has it back within a second.
func TestLending(t *testing.T) {
	w := newWorld(config(), 40)
	wish := uint64(0)
	one := func(brand int) bool { wish++; ok, _ := w.ask(brand, wish, wish%7); return ok }
	for i := range 2000 { // 20 s: b alone wants 60 a second
		w.wait(10)
		if i%5 != 0 {
			one(1)
		}
	}
	alone := w.placed[1]
	if alone < 20*40*8/10 {
		t.Fatalf("b alone gets %d of %d", alone, 20*40)
	}
	got := make([]int, 5)
	for s := range 5 { // now a wants its 30 a second too
		for i := range 100 {
			w.wait(10)
			if i%10 < 3 && one(0) {
				got[s]++
			}
			one(1)
		}
	}
	if got[0] < 20 || got[1] < 27 {
		t.Errorf("a wants 30 a second and has, second by second, %v", got)
	}
}

func TestTitlesOfABrand(t *testing.T) {
	w := newWorld(config(), 20)
	placed := map[uint64]int{}
	wish := uint64(0)
	for i := range 3000 { // 30 s: title 1 wants 100 a second, title 2 and 3 want 5 each
		w.wait(10)
		ask := func(title uint64) {
			wish++
			if ok, _ := w.ask(0, wish, title); ok && i > 500 {
				placed[title]++
			}
		}
		if i%20 == 0 {
			ask(2)
			ask(3)
		}
		ask(1)
	}
	for _, title := range []uint64{2, 3} {
		if want := 25 * 5; placed[title] < want*8/10 {
			t.Errorf("title %d: %d of %d placed beside a title that wants all (%v)", title, placed[title], want, placed)
		}
	}
}

// First tries go before repeated ones while not all fit: 16 first tries a second in bursts find room of 20, though
// hundreds that were refused in a rush come again all the time.
func TestFirstTriesGoFirst(t *testing.T) {
	w := newWorld(Config{Values: []float64{1}, MaxRetryMs: 1000, RememberMs: 1e5, MaxWishes: 10000}, 20)
	var pool []uint64 // refused, they come again
	first, firstOK, again, againOK := 0, 0, 0, 0
	ask := func(wish uint64) bool {
		ok, _ := w.ask(0, wish, wish%5)
		if !ok {
			pool = append(pool, wish)
		}
		return ok
	}
	for i := range 3000 {
		w.wait(10)
		if i < 100 {
			for k := range 6 {
				ask(1e6 + uint64(i*6+k))
			}
		}
		if i%50 < 8 {
			ok := ask(uint64(i))
			if i > 500 {
				if first++; ok {
					firstOK++
				}
			}
		}
		if len(pool) > 0 {
			wish := pool[0]
			pool = pool[1:]
			if i > 500 {
				again++
			}
			if ask(wish) && i > 500 {
				againOK++
			}
		}
	}
	if f, a := float64(firstOK)/float64(first), float64(againOK)/float64(again); f < 0.9 || a > 0.2 || againOK == 0 {
		t.Errorf("first tries %.2f, repeated ones %.2f (%d) let in", f, a, againOK)
	}
}

// After a rush the wave of returns is lower than the rush, where viewers follow the advice.
func TestReturnWave(t *testing.T) {
	run := func(pass bool) (peak int) {
		cfg := config()
		cfg.PassAll, cfg.Brands = pass, nil
		w := newWorld(cfg, 40)
		due := map[int][]uint64{} // returns by step of 10 ms
		rng := rand.New(rand.NewPCG(3, 3))
		perS := map[int]int{}
		wish := uint64(0)
		for i := range 4000 {
			w.wait(10)
			ask := func(id uint64) {
				if ok, after := w.ask(0, id, id%9); !ok && rng.Float64() < 0.9 {
					at := i + max(int(after/10), 1)
					due[at] = append(due[at], id)
				}
			}
			rate := 30
			if i >= 500 && i < 800 { // 3 s of 300 a second
				rate = 300
			}
			for range rate/100 + map[bool]int{true: 1}[rng.IntN(100) < rate%100] {
				wish++
				ask(wish)
			}
			for _, id := range due[i] {
				perS[i/100]++
				ask(id)
			}
		}
		for s, n := range perS {
			if s >= 8 {
				peak = max(peak, n)
			}
		}
		return peak
	}
	with, without := run(false), run(true)
	if with >= 300 || with*2 > without {
		t.Errorf("the wave of returns is %d a second after a rush of 300; with advice of one length it is %d", with, without)
	}
}

func TestOverloadShedsByWorth(t *testing.T) {
	cfg := config()
	for name, c := range map[string]struct {
		ev   Event
		want []bool // shed: free repeated, free first, paid repeated, paid first
	}{
		"calm":          {Event{LagMs: 70, Queue: 700}, []bool{false, false, false, false}},
		"lag":           {Event{LagMs: 85}, []bool{true, false, false, false}},
		"queue":         {Event{Queue: 1000}, []bool{true, true, false, false}},
		"memory":        {Event{MemoryBytes: 1.2e9}, []bool{true, true, true, false}},
		"beyond it all": {Event{LagMs: 300}, []bool{true, true, true, true}},
	} {
		g := New(cfg, 1)
		c.ev.Kind = Load
		g.Step(0, []Event{{Kind: NoRoom, Wish: 1}, {Kind: NoRoom, Wish: 2}, c.ev}, nil)
		for i, class := range []int{1, 1, 0, 0} {
			wish := uint64(1 + i/2)
			if i%2 == 1 {
				wish = 100 + uint64(i)
			}
			a := g.Step(0, []Event{{Kind: Ask, Wish: wish, Class: class}}, nil)[0]
			if (a.Reason == Overload) != c.want[i] {
				t.Errorf("%s, request %d: %s at severity %.2f", name, i, a.Reason, g.Severity())
			}
			if a.Reason == Overload && a.RetryMs < cfg.MinRetryMs {
				t.Errorf("%s: advice %v", name, a.RetryMs)
			}
		}
	}
	// A rise is believed at once, a fall slowly; the weight follows.
	g := New(cfg, 1)
	g.Step(0, []Event{{Kind: Load, LagMs: 95}}, nil)
	high := g.Weight()
	g.Step(250, []Event{{Kind: Load}}, nil)
	if g.Severity() < 0.6 || high > 20 || g.Weight() <= high {
		t.Errorf("severity %.2f, weight %d then %d", g.Severity(), high, g.Weight())
	}
	for i := range 40 {
		g.Step(250*float64(i+2), []Event{{Kind: Load}}, nil)
	}
	if g.Weight() != 100 {
		t.Errorf("weight %d long after", g.Weight())
	}
}

func TestPassAll(t *testing.T) {
	cfg := config()
	cfg.PassAll = true
	w := newWorld(cfg, 1)
	w.g.Step(0, []Event{{Kind: Load, LagMs: 1e6}}, nil)
	for i := range 100 {
		w.ask(0, uint64(i), 1)
	}
	if len(w.shed) != 1 || w.shed[Room] == 0 {
		t.Errorf("set to pass all, it sheds %v", w.shed)
	}
}

func TestChangedShares(t *testing.T) {
	g := New(config(), 1)
	g.SetBrands([]Brand{{Name: "b", Share: 1}, {Name: "c", Share: 1}, {Name: "rest"}})
	for name, want := range map[string]int{"b": 0, "c": 1, "a": 2, "": 2} {
		if got := g.BrandNumber(name); got != want {
			t.Errorf("%q is brand %d, want %d", name, got, want)
		}
	}
	if g.brands[0].part != 0.5 || g.brands[2].part != 0 {
		t.Errorf("parts %v %v", g.brands[0].part, g.brands[2].part)
	}
	for _, ev := range []Event{{Kind: Ask, Brand: -1}, {Kind: Ask, Brand: 99}, {Kind: NoRoom, Brand: 99, Class: 99}} { // from before the change
		g.Step(1, []Event{ev}, nil)
	}
}

// Whatever comes: parts add up to 1, nothing is lent that no brand left, no brand passes its cap, advice and
// tables stay in their bounds, and every request has one decision.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "brands")
		cfg := Config{Values: []float64{1, 3}, MinRetryMs: 100, MaxRetryMs: 5000, RememberMs: 5000, MaxWishes: 20, LagMs: 100}
		for i := range n {
			cfg.Brands = append(cfg.Brands, Brand{Name: string(rune('a' + i)), Share: float64(rapid.IntRange(0, 5).Draw(t, "share")),
				Most: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "most")})
		}
		g := New(cfg, 1)
		sum := 0.0
		for _, b := range g.brands {
			sum += b.part
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("parts add up to %v", sum)
		}
		now := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			ms := float64(rapid.IntRange(0, 300).Draw(t, "ms"))
			now += ms
			g.Step(now, nil, nil)
			ev := Event{ID: uint64(now) + 1, Wish: uint64(rapid.IntRange(0, 40).Draw(t, "wish")), Class: rapid.IntRange(0, 2).Draw(t, "class"),
				Brand: rapid.IntRange(0, n).Draw(t, "brand"), Title: uint64(rapid.IntRange(0, 3).Draw(t, "title"))}
			ev.Kind = rapid.SampledFrom([]EventKind{Ask, Ask, Ask, Placed, NoRoom, Load}).Draw(t, "kind")
			ev.LagMs = float64(rapid.IntRange(0, 60).Draw(t, "lag"))
			before, tokens := g.Scarce(), g.lent
			for _, b := range g.brands {
				tokens += b.tokens + b.loans
			}
			out := g.Step(now, []Event{ev}, nil)
			want := 0
			if ev.Kind == Ask || ev.Kind == NoRoom {
				want = 1
			}
			if len(out) != want {
				t.Fatalf("%d decisions for one event", len(out))
			}
			if want == 1 && out[0].Reason != Pass && (out[0].RetryMs < cfg.MinRetryMs || out[0].RetryMs > cfg.MaxRetryMs) {
				t.Fatalf("advice %v", out[0].RetryMs)
			}
			after := g.lent
			for _, b := range g.brands {
				after += b.tokens + b.loans
				if b.tokens < 0 || b.loans < 0 || b.Most > 0 && b.most < 0 {
					t.Fatalf("bucket of %v tokens, cap of %v", b.tokens, b.most)
				}
			}
			if ev.Kind == Ask && before {
				want := 0.0
				if out[0].Reason == Pass {
					want = 1
				}
				if d := tokens - after; math.Abs(d-want) > 1e-9 {
					t.Fatalf("a request with %s cost %v tokens", out[0].Reason, d)
				}
			}
			if g.lent < 0 || g.loan > 0 && g.loan < leastRate {
				t.Fatalf("%v on loan at a rate of %v", g.lent, g.loan)
			}
			if g.Remembered() > cfg.MaxWishes+1 {
				t.Fatalf("%d wishes remembered", g.Remembered())
			}
			if w := g.Weight(); w < 1 || w > 100 {
				t.Fatalf("weight %d", w)
			}
			for _, s := range g.returns.slots {
				if s < 0 {
					t.Fatal("a slot with less than no returns")
				}
			}
		}
	})
}

func TestAccounts(t *testing.T) {
	var a Accounts
	a.SetCap(Sessions, 10)
	if !a.Take(Sessions, 10) || a.Take(Sessions, 1) || a.Of(Sessions).Denied != 1 {
		t.Errorf("%+v", a.Of(Sessions))
	}
	a.SetCap(Sessions, 4) // below what is in use: nothing is taken away, nothing new comes in
	a.Give(Sessions, 5)
	if a.Take(Sessions, 1) || a.Of(Sessions).Used != 5 {
		t.Errorf("%+v", a.Of(Sessions))
	}
	a.Give(Sessions, 3)
	if !a.Take(Sessions, 2) || a.Of(Sessions).Peak != 10 {
		t.Errorf("%+v", a.Of(Sessions))
	}
	a.Give(Sessions, 100)
	if a.Of(Sessions).Used != 0 || a.Take(Sessions, -1) {
		t.Errorf("%+v", a.Of(Sessions))
	}
	if !a.Take(Reports, 1<<40) || a.Fullest() != 0 { // no cap
		t.Errorf("%+v, fullest %v", a.Of(Reports), a.Fullest())
	}
	a.SetCap(Outgoing, 100)
	if a.Set(Outgoing, 101) || !a.Set(Outgoing, 50) || a.Fullest() != 0.5 {
		t.Errorf("%+v", a.Of(Outgoing))
	}
	if a.Room(Sessions, 5) || !a.Room(Sessions, 4) {
		t.Errorf("%+v", a.Of(Sessions))
	}
	m := Meter{PerMs: 0.01, Burst: 3}
	passed := 0
	for i := range 1000 { // a second of one a ms: the burst and ten more
		if m.Take(float64(i)) {
			passed++
		}
	}
	if passed < 12 || passed > 13 {
		t.Errorf("%d passed a meter of ten a second with a burst of three", passed)
	}
	for _, p := range Purposes() {
		if p.String() == "" {
			t.Error(p)
		}
	}
}
