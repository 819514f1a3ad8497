package faults

import (
	"testing"
	"time"
)

// startsAnew lets the machine of a media node vanish for a time and come back with a new process, which knows nothing of the
// sessions before it. The list shows the start after a further time, or, if that is negative, before connections come up.
func (w *world) startsAnew(n *mediaNode, away, listedAfter time.Duration) {
	n.setState(nodeVanished)
	if listedAfter < 0 {
		time.Sleep(away + listedAfter)
		w.list.startedAnew(n)
		time.Sleep(-listedAfter)
	} else {
		time.Sleep(away)
	}
	n.forgetReleases()
	n.setState(nodeUp)
	if listedAfter >= 0 {
		startedAt := time.Now()
		time.Sleep(listedAfter)
		w.list.startedAnewAt(n, startedAt)
	}
}

// newLongSessions starts a director with sessions that outlast the test, and returns the media node that plays the most.
func newLongSessions(t *testing.T, seed uint64) (*world, *mediaNode) {
	w := newWorld(t, seed, 1, 4, usualSettings)
	w.sessionMs = 60000
	w.directors[0].start()
	w.startViewers(8, steadyViewers)
	time.Sleep(2 * time.Second)
	return w, w.busiestNode()
}

// Guards against viewers that are never told that their sessions ended with a process whose successor is there before the
// media node counts as down (review/6), and against sessions of the successor that are ended with them.
func TestSessionsOfAnEarlierProcessAreReleased(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		away, listedAfter time.Duration
		times             int
	}{
		"back after 1 s":                  {time.Second, time.Second, 1},
		"back after 5 s":                  {5 * time.Second, time.Second, 1},
		"back after 6 s":                  {6 * time.Second, time.Second, 1},
		"listed before connections do so": {2 * time.Second, -500 * time.Millisecond, 1},
		"twice":                           {time.Second, time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, n := newLongSessions(t, 11)
			for range c.times {
				w.startsAnew(n, c.away, c.listedAfter)
			}
			time.Sleep(releaseFromEnd + 500*time.Millisecond)
			w.checkSuccessorsKept(n)
			w.quiet.Store(true)
			time.Sleep(usualSettings.deadlines[0])
			w.report(name)
		})
	}
}

// Guards against viewers that are never told that their sessions ended with a machine that vanished, when its new process
// stands still or hangs right after its start (seeds 6, 146 and 512 of the soak): the list alone tells of it.
func TestSessionsBeforeAProcessThatStandsStillAreReleased(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		away, running, listedAfter time.Duration
		state                      nodeState
	}{
		"stops after 0.4 s":         {4500 * time.Millisecond, 400 * time.Millisecond, 0, nodeStopped},
		"hangs after 20 ms":         {1900 * time.Millisecond, 20 * time.Millisecond, 0, nodeHung},
		"stops, listed 1.5 s later": {4500 * time.Millisecond, 20 * time.Millisecond, 1500 * time.Millisecond, nodeStopped},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, n := newLongSessions(t, 12)
			w.after(c.away+c.running, func() { n.setState(c.state) })
			w.startsAnew(n, c.away, c.listedAfter)
			time.Sleep(releaseFromEnd + 500*time.Millisecond)
			w.quiet.Store(true)
			time.Sleep(usualSettings.deadlines[0])
			w.report(name)
		})
	}
}

// Guards against sessions that are given up though they play: to a director, a media node that resets its connections and then
// stands still looks as one that vanished and came back, but for the list.
func TestSessionsOfANodeThatResetsAndStandsStillAreKept(t *testing.T) {
	t.Parallel()
	w, n := newLongSessions(t, 13)
	n.resetAllConns()
	time.Sleep(20 * time.Millisecond)
	n.setState(nodeStopped)
	time.Sleep(releaseFromEnd + 4*time.Second)
	n.setState(nodeUp)
	time.Sleep(time.Second)
	w.quiet.Store(true)
	time.Sleep(usualSettings.deadlines[0])
	w.report("resets and stands still")
}

// checkSuccessorsKept checks that no session was given up that the present process of a media node plays.
func (w *world) checkSuccessorsKept(n *mediaNode) {
	var given []string
	w.record(func() {
		for _, s := range w.sessions {
			if r := w.requests[s.id]; s.node == n && s.endedAt == 0 && r.answer == answerPlays && r.releasedAt > 0 {
				given = append(given, r.String())
			}
		}
	})
	for _, r := range given {
		w.violation("session given up, though the new process of %s plays it: %s", n.name, r)
	}
}
