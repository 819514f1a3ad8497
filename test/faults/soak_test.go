package faults

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The default is the short soak of CI; the long one is started by hand:
//
//	go test ./test/faults -run TestFaultSoak -seeds 60 -first-seed 100 -soak-length 40s -timeout 60m
var (
	seedCount   = flag.Int("seeds", 8, "seeds of the soak")
	firstSeed   = flag.Uint64("first-seed", 1, "first seed of the soak")
	soakLength  = flag.Duration("soak-length", 16*time.Second, "time of faults and new set-ups of a seed")
	soakWorkers = flag.Int("soak-workers", 3, "seeds that are played at once")
)

const (
	soakSettle      = 4 * time.Second       // after faults and new set-ups, for what is owed
	longestStop     = 22 * time.Second      // that a media node stands still
	longestCut      = 12 * time.Second      // that a media node is cut off
	longestSlowness = 6 * time.Second       // of an answer of the discovery service
	shortCrossing   = 50 * time.Millisecond // that a media node takes to know of its own close
	longCrossing    = 3 * time.Second
)

// Guards against broken rules under mixed faults: each seed draws a deployment and what goes wrong in it.
func TestFaultSoak(t *testing.T) {
	slots := make(chan struct{}, *soakWorkers)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			playSoak(t, seed)
		})
	}
}

// soak is one run of mixed faults.
type soak struct {
	*world
	rng   *rand.Rand
	until time.Duration
}

func playSoak(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	ms := func(v int) time.Duration { return time.Duration(v) * time.Millisecond }
	s := usualSettings
	s.deadlines = [][2]time.Duration{{ms(3000), ms(3000)}, {ms(3000), ms(5000)}, {ms(860), ms(740)}, {ms(1200), ms(900)},
		{ms(3000), ms(3000)}}[rng.IntN(5)]
	s.connect = ms(100 + rng.IntN(200))
	s.sockets = 256 + 256*rng.IntN(2)
	s.reportInterval = []time.Duration{0, ms(2000), ms(2500), ms(5000)}[rng.IntN(4)]
	s.reportDelay = []time.Duration{ms(400), ms(1400)}[rng.IntN(2)]
	s.seats = []int{0, 2, 4}[rng.IntN(3)]
	s.keepAlive = []time.Duration{ms(1500), ms(4000), ms(15000)}[seed%3]
	w := newWorld(t, seed, 2+rng.IntN(2), 5+rng.IntN(4), s)
	w.sessionMs = 1000 + rng.IntN(int(soakLength.Milliseconds()))
	w.repeats = 0.5 * rng.Float64()
	k := &soak{world: w, rng: rng}
	for _, d := range w.directors {
		d.start()
	}
	k.until = w.now() + *soakLength
	habits := viewerHabits{interval: ms(250 + rng.IntN(500)), pieces: 0.1 * rng.Float64(), short: 0.1 * rng.Float64(),
		newConn: 0.2 * rng.Float64(), endsSoon: 0.2 * rng.Float64(), earlyLeave: 0.15 * rng.Float64()}
	w.startViewers(10*len(w.directors), habits)
	faults := []func(*rand.Rand){k.restartDirectors, k.troubleNodes, k.troubleNodes, k.troubleDiscovery, k.drainNodes,
		k.reloadDirectors, k.cutConnections, k.sendBadInput, k.sendCrowds, k.delayConnects, k.freezeNodes, k.replaceNodes, k.sendOlderLists,
		k.stallDirectors, k.crossCloses}
	for i, fault := range faults {
		if i > 1 && rng.Float64() < 0.4 { // the first two are played always
			continue
		}
		faultRand := w.newRand()
		w.clients.Add(1)
		go func() {
			defer w.clients.Done()
			fault(faultRand)
		}()
	}
	time.Sleep(*soakLength)
	w.quiet.Store(true)
	time.Sleep(max(s.deadlines[0], s.deadlines[1]) + soakSettle)
	w.report(fmt.Sprintf("seed %d", seed))
}

// anyNode draws a media node that faults may befall: any but the last, which stays good.
func (k *soak) anyNode(rng *rand.Rand) *mediaNode { return k.allNodes()[rng.IntN(k.cells-1)] }

// running tells whether faults are still played, after a pause of up to twice mean.
func (k *soak) pause(rng *rand.Rand, mean time.Duration) bool {
	time.Sleep(time.Duration(rng.Float64() * 2 * float64(mean)))
	return k.now() < k.until && !k.hasStopped()
}

// restartDirectors stops directors one after another or two at a time, with signals in series, and kills some outright.
func (k *soak) restartDirectors(rng *rand.Rand) {
	for k.pause(rng, time.Second) {
		if rng.Float64() < 0.15 {
			d := k.directors[rng.IntN(len(k.directors))]
			d.kill()
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
			d.start()
			d.adopt(rng.Float64() < 0.5)
			continue
		}
		done := make(chan struct{}, len(k.directors))
		stopping := 0
		for _, i := range rng.Perm(len(k.directors))[:1+rng.IntN(2)] {
			d := k.directors[i]
			if _, running := d.current(); !running {
				continue
			}
			stopping++
			for range rng.IntN(3) {
				d.reload()
			}
			if rng.Float64() < 0.25 { // a second request skips the wait for sessions
				k.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { d.signal(syscall.SIGTERM) })
			}
			if rng.Float64() < 0.3 {
				k.after(time.Duration(100+rng.IntN(2500))*time.Millisecond, d.reload)
			}
			pause, adopts := time.Duration(rng.IntN(600))*time.Millisecond, rng.Float64() < 0.5
			go func() {
				d.restart(pause)
				d.adopt(adopts)
				done <- struct{}{}
			}()
		}
		for range stopping {
			<-done
		}
	}
}

// troubleNodes lets media nodes hang, vanish, die, be replaced, or answer wrongly for a time.
func (k *soak) troubleNodes(rng *rand.Rand) {
	for k.pause(rng, 800*time.Millisecond) {
		n := k.anyNode(rng) // the last one stays good
		if !n.claim() {
			continue
		}
		length := time.Duration(300+rng.IntN(5000)) * time.Millisecond
		var back atomic.Bool
		switch rng.IntN(5) {
		case 0:
			n.setState(nodeHung)
		case 1:
			n.setState(nodeVanished)
		case 2:
			n.setState(nodeDead)
		case 3: // the list learns of it
			n.setState([]nodeState{nodeVanished, nodeDead}[rng.IntN(2)])
			k.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() {
				if !back.Load() {
					k.list.set(n, false, true)
				}
			})
		case 4:
			n.setSpoilt(0.1 + 0.5*rng.Float64())
		}
		k.after(length, func() {
			back.Store(true)
			wasAway, startedAt := n.isAway(), time.Now()
			n.setState(nodeUp)
			n.setSpoilt(0)
			switch {
			case k.list.isGone(n):
				k.list.set(n, false, false)
			case wasAway:
				k.list.startedAnewAt(n, startedAt)
			}
			n.unclaim()
		})
	}
}

// freezeNodes lets media nodes stand still, or cuts them off, and continues them.
func (k *soak) freezeNodes(rng *rand.Rand) {
	for k.pause(rng, 1500*time.Millisecond) {
		n := k.anyNode(rng)
		if !n.claim() {
			continue
		}
		state, longest := nodeStopped, longestStop
		if rng.Float64() < 0.4 {
			state, longest = nodeCutOff, longestCut
		}
		n.setState(state)
		length := time.Duration((0.05 + 0.95*rng.Float64()) * float64(min(longest, *soakLength)))
		k.after(length, func() { n.setState(nodeUp); n.unclaim() })
	}
}

// replaceNodes lets media nodes end, and others take their addresses.
func (k *soak) replaceNodes(rng *rand.Rand) {
	for k.pause(rng, 2500*time.Millisecond) {
		if n := k.anyNode(rng); n.claim() { // for good
			k.replaceNode(n)
		}
	}
}

// sendOlderLists lets the discovery service answer with older lists, up to three in a row.
func (k *soak) sendOlderLists(rng *rand.Rand) {
	for k.pause(rng, 700*time.Millisecond) {
		k.directors[rng.IntN(len(k.directors))].discovery.sendOlder(1 + rng.IntN(3))
	}
}

// stallDirectors lets directors stand still.
func (k *soak) stallDirectors(rng *rand.Rand) {
	for k.pause(rng, 4*time.Second) {
		k.directors[rng.IntN(len(k.directors))].stall(time.Duration(1200+rng.IntN(800)) * time.Millisecond)
	}
}

// troubleDiscovery lets the discovery service fall silent or answer wrongly, with a drain close to its return.
func (k *soak) troubleDiscovery(rng *rand.Rand) {
	for k.pause(rng, 2*time.Second) {
		mode := discoveryMode(1 + rng.IntN(int(discoveryModes)-1))
		k.note("discovery mode %d", mode)
		for _, d := range k.directors {
			if mode == discoverySlow {
				d.discovery.slowDown(time.Duration(rng.Float64() * float64(longestSlowness)))
				continue
			}
			d.discovery.setMode(mode)
		}
		time.Sleep(time.Duration(300+rng.IntN(5000)) * time.Millisecond)
		if n := k.anyNode(rng); n.claim() {
			k.list.set(n, true, false)
			k.after(time.Duration(1+rng.IntN(5))*time.Second, func() { n.setState(nodeDead); k.list.set(n, false, true) })
			k.after(6500*time.Millisecond, func() { n.setState(nodeUp); k.list.set(n, false, false); n.unclaim() })
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		k.note("discovery is back")
		for _, d := range k.directors {
			d.discovery.setMode(discoveryUp)
		}
	}
}

// drainNodes drains media nodes, removes some of them, and lists them again.
func (k *soak) drainNodes(rng *rand.Rand) {
	for k.pause(rng, 1500*time.Millisecond) {
		n := k.anyNode(rng)
		if !n.claim() {
			continue
		}
		k.list.set(n, true, false)
		time.Sleep(time.Duration(1000+rng.IntN(2000)) * time.Millisecond)
		if rng.Float64() < 0.5 {
			k.list.set(n, false, true)
			n.setState(nodeDead)
			time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
			n.setState(nodeUp)
			k.list.set(n, false, false)
		}
		n.unclaim()
	}
}

// reloadDirectors sends new configurations in quick succession.
func (k *soak) reloadDirectors(rng *rand.Rand) {
	for k.pause(rng, 2*time.Second) {
		d := k.directors[rng.IntN(len(k.directors))]
		for range 1 + rng.IntN(4) {
			d.reload()
			time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
		}
	}
}

// cutConnections resets connections to media nodes, also under begun set-ups, and closes others early.
func (k *soak) cutConnections(rng *rand.Rand) {
	for k.pause(rng, 300*time.Millisecond) {
		k.allNodes()[rng.IntN(k.cells)].cutSome(rng, rng.Float64() < 0.5)
	}
}

// crossCloses lets sessions end as their media node closes or resets the connection that it sends their release on.
func (k *soak) crossCloses(rng *rand.Rand) {
	for k.pause(rng, 500*time.Millisecond) {
		n := k.allNodes()[rng.IntN(k.cells)]
		longest := shortCrossing
		if rng.Float64() < 0.2 {
			longest = longCrossing
		}
		lag := time.Duration(rng.Float64() * float64(longest))
		n.faces[rng.IntN(len(n.faces))].endAcrossClose(lag, rng.Float64() < 0.3)
	}
}

// delayConnects lets new connections to a media node come up late.
func (k *soak) delayConnects(rng *rand.Rand) {
	for k.pause(rng, time.Second) {
		n := k.allNodes()[rng.IntN(k.cells)]
		if n.claim() {
			reset := rng.Float64() < 0.3
			for range 1 + rng.IntN(4) { // several in a row
				n.holdConnects(time.Duration(50+rng.IntN(900))*time.Millisecond, reset)
				time.Sleep(connectRetryGap)
			}
			n.unclaim()
		}
	}
}

// sendCrowds sends bursts of set-ups on many new connections, beside silent ones.
func (k *soak) sendCrowds(rng *rand.Rand) {
	for k.pause(rng, 4*time.Second) {
		k.note("a crowd")
		var conns []*viewerConn
		for range 40 + rng.IntN(60) {
			v := k.dialAdmitted(rng)
			if v == nil {
				continue
			}
			conns = append(conns, v)
			if rng.Float64() < 0.6 {
				class := rng.IntN(2)
				v.sendRequest(v.newRequest(class, k.settings.deadlines[class]), false)
			}
		}
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		for _, v := range conns {
			if v.idle() { // one that a set-up is open on stays, as its viewer waits
				v.conn.Close()
			}
		}
	}
}
