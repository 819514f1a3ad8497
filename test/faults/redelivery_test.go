package faults

import (
	"testing"
	"time"
)

// Guards against releases that reach nobody because their media node sends them into a connection that it is just closing
// (review/1, again): other connections are open, so without a new one, opened late enough, none follows on which it would
// send them again. The media node is late with its sessions' ends by the time given; in the rows of several crossings the
// connection that was opened for the release is the one that the next release crosses.
func TestReleasesThatCrossACloseAreDelivered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		lag       time.Duration // from the close to the end of the session
		reset     bool
		crossings int
		stall     time.Duration // of the director, from before the close on
		limit     time.Duration // from the end to the viewer's release
	}{
		"at once":               {crossings: 1, limit: releaseLimit},
		"10 ms late":            {lag: 10 * time.Millisecond, crossings: 1, limit: releaseLimit},
		"200 ms late":           {lag: 200 * time.Millisecond, crossings: 1, limit: releaseLimit},
		"3 s late":              {lag: 3 * time.Second, crossings: 1, limit: releaseFromEnd},
		"10 ms late, reset":     {lag: 10 * time.Millisecond, reset: true, crossings: 1, limit: releaseLimit},
		"10 ms late, each time": {lag: 10 * time.Millisecond, crossings: 4, limit: releaseFromEnd},
		"director stands still": {lag: 10 * time.Millisecond, crossings: 1, stall: 1900 * time.Millisecond, limit: releaseFromEnd},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newQuietWorld(t, 11, usualSettings)
			f := w.busiestNode().faces[0]
			for range c.crossings {
				if c.stall > 0 {
					go w.directors[0].stall(c.stall)
					time.Sleep(50 * time.Millisecond)
				}
				if f.connCount() < 2 { // with none left the director would open one in any case
					t.Fatal("the media node has one connection: the test proves nothing")
				}
				s := f.endAcrossClose(c.lag, c.reset)
				if s == nil {
					t.Fatal("the media node has no session with an open connection")
				}
				w.expectReleased(s, c.limit+limitSlack)
			}
			w.report(name)
		})
	}
}

// Guards against releases that are lost as their media node goes on: it takes the connections of the director's probes first,
// closes those that are idle, and then ends sessions, on connections that are closed or belonged to a director process that was
// killed meanwhile. Nothing but a later connection brings their releases.
func TestReleasesOfANodeThatGoesOnAreDelivered(t *testing.T) {
	t.Parallel()
	for name, killed := range map[string]bool{"idle closes": false, "director killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := usualSettings
			s.keepAlive = 4 * time.Second
			w := newQuietWorld(t, 12, s)
			d, n := w.directors[0], w.busiestNode()
			n.mu.Lock()
			n.endsLast = true
			n.mu.Unlock()
			n.setState(nodeStopped)
			if killed {
				d.kill()
				d.start()
				d.adopt(true)
			}
			time.Sleep(9 * time.Second)
			ended := w.endSome(n, 3)
			n.setState(nodeUp)
			for _, s := range ended {
				w.expectReleased(s, releaseFromEnd+limitSlack)
			}
			w.report(name)
		})
	}
}

// newQuietWorld starts a director with three media nodes and some hundred sessions, which play on with no set-up to follow.
func newQuietWorld(t *testing.T, seed uint64, s settings) *world {
	w := newWorld(t, seed, 1, 3, s)
	w.sessionMs = 120000
	w.directors[0].start()
	w.startViewers(40, steadyViewers) // so many that set-ups overlap, each on a connection of its own
	time.Sleep(2 * time.Second)
	w.quiet.Store(true)
	time.Sleep(time.Second)
	return w
}

// endSome ends some sessions of a media node, those of one that stands still as it goes on.
func (w *world) endSome(n *mediaNode, count int) (ended []*session) {
	w.record(func() {
		for _, s := range w.sessions {
			if s.node == n && s.endedAt == 0 && len(ended) < count {
				ended = append(ended, s)
			}
		}
	})
	for _, s := range ended {
		n.faces[s.director].endSession(s, s.conn)
	}
	return ended
}

// Guards against releases of a media node that has forgotten its connections without a word, so that the director takes them for
// open.
func TestReleasesOfANodeThatForgetsConnectionsAreDelivered(t *testing.T) {
	t.Parallel()
	w := newQuietWorld(t, 13, usualSettings)
	n := w.busiestNode()
	n.mu.Lock()
	clear(n.faces[0].conns)
	n.mu.Unlock()
	for _, s := range w.endSome(n, 3) {
		w.expectReleased(s, releaseFromEnd+limitSlack)
	}
	w.report("connections forgotten")
}

// closeIdle closes idle connections and returns them. The node's lock is held.
func (f *nodeFace) closeIdle() (closed []*nodeConn) {
	for nc := range f.conns {
		if f.node.world.now()-nc.usedAt > f.node.world.settings.keepAlive && len(nc.attempts) == 0 {
			nc.conn.Close()
			delete(f.conns, nc)
			closed = append(closed, nc)
		}
	}
	return closed
}

// connCount is the number of open connections.
func (f *nodeFace) connCount() int {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	return len(f.conns)
}

// endAcrossClose closes the connection that a session's release would be sent on, and ends the session a little later, while
// the media node still takes that connection for open. It returns nil if there is no such session, or set-ups are out on the
// connection.
func (f *nodeFace) endAcrossClose(lag time.Duration, reset bool) *session {
	n := f.node
	n.mu.Lock()
	s := n.world.anySession(n, f.director)
	var closing *nodeConn
	if s != nil {
		closing = f.anyConn(s.conn)
	}
	if closing == nil || len(closing.attempts) > 0 || n.state != nodeUp {
		n.mu.Unlock()
		return nil
	}
	if reset {
		resetConn(closing.conn)
	} else {
		closing.conn.Close()
	}
	n.mu.Unlock()
	time.Sleep(lag)
	n.mu.Lock()
	f.conns[closing] = true // its end is not handled yet
	n.mu.Unlock()
	f.endSession(s, closing)
	n.mu.Lock()
	delete(f.conns, closing)
	n.mu.Unlock()
	return s
}

// expectReleased waits until the viewer of an ended session has its release.
func (w *world) expectReleased(s *session, limit time.Duration) {
	w.t.Helper()
	released := func() (at time.Duration) {
		w.record(func() { at = w.requests[s.id].releasedAt })
		return at
	}
	for w.now() < s.endedAt+limit && released() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	if at := released(); at == 0 || at > s.endedAt+limit {
		w.t.Errorf("session %016x ended at %.3f, its viewer has its release at %.3f", s.id, s.endedAt.Seconds(), at.Seconds())
	}
}
