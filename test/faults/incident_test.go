package faults

import (
	"syscall"
	"testing"
	"time"
)

// steadyViewers send about 25 set-ups a second for each of two directors, always on open connections.
var steadyViewers = viewerHabits{interval: 400 * time.Millisecond}

// Guards against set-ups that are read during a stop and have no answer when the process is killed: the media nodes begin
// to hang after SIGTERM (report de84ff, evidence 1 and 3).
func TestSetupsReadDuringAStopAreAnsweredBeforeTheKill(t *testing.T) {
	short := usualSettings
	short.deadlines = [2]time.Duration{860 * time.Millisecond, 740 * time.Millisecond}
	for name, c := range map[string]struct {
		settings settings
		hangAt   time.Duration // after SIGTERM
	}{
		"deadline 3 s, hang early": {usualSettings, 300 * time.Millisecond},
		"deadline 3 s, hang late":  {usualSettings, 1400 * time.Millisecond},
		"deadline 860 ms":          {short, 1250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1, 1, 6, c.settings)
			d := w.directors[0]
			d.start()
			w.startViewers(12, steadyViewers)
			time.Sleep(2 * time.Second)
			w.after(c.hangAt, func() {
				for _, n := range w.allNodes()[:3] {
					n.setState(nodeHung)
				}
			})
			d.restart(0)
			w.report(name)
		})
	}
}

// Guards against sessions whose viewers are released over 8 s after their media node vanished, because a connection that
// was up before the silence counted as contact (report de84ff, evidence 2).
func TestSessionsOfAVanishedNodeAreReleasedInTime(t *testing.T) {
	long := usualSettings
	long.deadlines = [2]time.Duration{8 * time.Second, 8 * time.Second}
	for name, s := range map[string]settings{"deadline 3 s": usualSettings, "deadline 8 s": long} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 2, 1, 3, s)
			w.sessionMs = 60000
			w.directors[0].start()
			w.startViewers(12, steadyViewers)
			time.Sleep(2 * time.Second)
			for _, n := range w.allNodes()[:2] {
				n.setState(nodeVanished)
			}
			time.Sleep(releaseFromEnd + 500*time.Millisecond)
			w.report(name)
		})
	}
}

// Guards against set-ups that a process leaves unread when it ends by itself: a second SIGTERM skips the wait for sessions
// while viewers go on sending on their open connections.
func TestSetupsAtTheEndOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 1, 3, usualSettings)
	d := w.directors[0]
	d.start()
	w.startViewers(40, viewerHabits{interval: 50 * time.Millisecond})
	time.Sleep(time.Second)
	d.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(w.settings.killDelay()):
	}
	w.report("second SIGTERM")
}

// Guards against set-ups to a removed media node after a start while all answers have an older list that still has it.
func TestOldListsAfterAStart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 1, 3, usualSettings)
	d := w.directors[0]
	d.start()
	w.startViewers(12, steadyViewers)
	time.Sleep(time.Second)
	w.list.set(w.allNodes()[1], false, true)
	time.Sleep(time.Second)
	d.discovery.setMode(discoveryOldInARow)
	d.kill()
	d.start()
	time.Sleep(2 * time.Second)
	w.report("old lists after a start")
}
