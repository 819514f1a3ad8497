package faults

import (
	"testing"
	"time"
)

// Guards against ends of sessions that reach no viewer because their media node stood still (review/1): it writes them, once
// it goes on, on connections that the director must not have closed for being silent.
func TestSessionsOfANodeThatStoodStillAreReleased(t *testing.T) {
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
