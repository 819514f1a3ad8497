package faults

import (
	"testing"
	"time"
)

// Guards against ends of sessions that reach no viewer because their media node stood still (review/1): it writes them, once
// it goes on, on connections that the director must not have closed for being silent.
func TestSessionsOfANodeThatStoodStillAreReleased(t *testing.T) {
	t.Parallel()
	rare, quiet := usualSettings, usualSettings
	rare.reportInterval, rare.reportDelay = 5*time.Second, 1400*time.Millisecond
	quiet.reportInterval = 0
	quiet.deadlines = [2]time.Duration{860 * time.Millisecond, 740 * time.Millisecond}
	for name, c := range map[string]struct {
		settings settings
		length   time.Duration
	}{
		"reports every 2.5 s, 6 s":  {usualSettings, 6 * time.Second},
		"reports every 2.5 s, 22 s": {usualSettings, 22 * time.Second},
		"reports every 5 s, 18 s":   {rare, 18 * time.Second},
		"no reports, 18 s":          {quiet, 18 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 5, 1, 4, c.settings)
			w.sessionMs = 24000
			w.directors[0].start()
			w.startViewers(8, steadyViewers)
			time.Sleep(3 * time.Second)
			n := w.busiestNode()
			n.setState(nodeStopped)
			time.Sleep(c.length)
			n.setState(nodeUp)
			time.Sleep(2 * time.Second)
			w.quiet.Store(true)
			time.Sleep(c.settings.deadlines[0] + 2*time.Second)
			w.report(name)
		})
	}
}

// Guards against sessions that are given up at a media node that runs (review/2): it has nothing to say between its reports,
// and connections to it come up late, by up to a second, several in a row. The seats of what plays there stay taken.
func TestSessionsOfAQuietNodeAreKept(t *testing.T) {
	t.Parallel()
	rare, none, slow := usualSettings, usualSettings, usualSettings
	rare.reportInterval, rare.reportDelay = 5*time.Second, 1400*time.Millisecond
	none.reportInterval = 0
	none.deadlines = [2]time.Duration{860 * time.Millisecond, 740 * time.Millisecond}
	slow.reportInterval, slow.connect = 0, 750*time.Millisecond
	for name, s := range map[string]settings{"reports every 5 s": rare, "no reports": none, "long connect timeout": slow} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s.seats = 2
			w := newWorld(t, 6, 1, 3, s)
			w.sessionMs = 60000
			w.directors[0].start()
			w.startViewers(4, steadyViewers)
			time.Sleep(2 * time.Second)
			n := w.busiestNode()
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
				n.holdConnects(950*time.Millisecond, false)
				time.Sleep(connectRetryGap)
			}
			w.quiet.Store(true)
			time.Sleep(s.deadlines[0])
			w.report(name)
		})
	}
}

// Guards against sessions that play on with nobody to watch them, and seats that are given twice, after a media node was cut
// off for longer than its sessions can be kept (review/2): once it is reached again it is told to end them.
func TestSessionsGivenUpInACutAreEnded(t *testing.T) {
	t.Parallel()
	s := usualSettings
	s.seats = 2
	w := newWorld(t, 7, 1, 3, s)
	w.sessionMs = 120000
	w.directors[0].start()
	w.startViewers(4, steadyViewers)
	time.Sleep(2 * time.Second)
	n := w.busiestNode()
	n.setState(nodeCutOff)
	time.Sleep(12 * time.Second)
	n.setState(nodeUp)
	time.Sleep(3 * time.Second)
	w.quiet.Store(true)
	time.Sleep(s.deadlines[0])
	w.report("cut off")
}

// Guards against set-ups for a media node that has gone, which its successor at the address gets, when the discovery service
// answers with an older list several times in a row (review/3): right after the change, soon after and later.
func TestOlderListsBringNoMediaNodeBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 8, 1, 8, usualSettings)
	w.sessionMs = 3000
	d := w.directors[0]
	d.start()
	w.startViewers(20, steadyViewers)
	time.Sleep(time.Second)
	for _, c := range []struct {
		after time.Duration // the change was told
		count int
	}{{0, 3}, {400 * time.Millisecond, 2}, {3 * time.Second, 2}, {0, 1}, {time.Second, 3}, {2 * time.Second, 8}, {0, 8}} {
		w.replaceNode(w.busiestNode())
		for !d.discovery.wasTold() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(c.after)
		d.discovery.sendOlder(c.count)
		time.Sleep(time.Duration(c.count)*250*time.Millisecond + time.Second)
	}
	w.quiet.Store(true)
	time.Sleep(usualSettings.deadlines[0])
	w.report("older lists in a row")
}

// Guards against a drain that is not noticed while the discovery service is slow: every answer comes seconds after its query,
// and names the drain.
func TestDrainIsNoticedInLateAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 9, 1, 4, usualSettings)
	w.sessionMs = 3000
	d := w.directors[0]
	d.start()
	w.startViewers(20, steadyViewers)
	time.Sleep(time.Second)
	d.discovery.slowDown(5 * time.Second)
	time.Sleep(3 * time.Second)
	w.list.set(w.busiestNode(), true, false)
	time.Sleep(8 * time.Second)
	w.quiet.Store(true)
	time.Sleep(usualSettings.deadlines[0])
	w.report("late answers")
}

// Guards against set-ups that are placed by an old list after the director stood still (stall of the review): a media node
// begins to drain as that starts, so that the director counts as told before it goes on.
func TestDrainDuringAStallOfTheDirector(t *testing.T) {
	t.Parallel()
	drainDuringStalls(t, 10, 0, "director stands still")
}

// Guards against set-ups that are placed by an older list right after the director stood still (seed 8 of the soak): the
// discovery service answers with it three times in a row, and the drain began as the director stopped.
func TestOlderListsAfterAStallOfTheDirector(t *testing.T) {
	t.Parallel()
	drainDuringStalls(t, 11, 3, "older lists after a stall")
}

// drainDuringStalls lets a director stand still six times. As each begins, a media node starts to drain, and the first answers
// of the discovery service after it have an older list.
func drainDuringStalls(t *testing.T, seed uint64, olderAnswers int, what string) {
	w := newWorld(t, seed, 1, 8, usualSettings)
	w.sessionMs = 3000
	d := w.directors[0]
	d.start()
	w.startViewers(30, steadyViewers)
	for range 6 {
		time.Sleep(1500 * time.Millisecond)
		n := w.busiestNode()
		w.after(20*time.Millisecond, func() {
			w.list.set(n, true, false)
			d.discovery.sendOlder(olderAnswers)
		})
		d.stall(2 * time.Second)
	}
	w.quiet.Store(true)
	time.Sleep(usualSettings.deadlines[0])
	w.report(what)
}
