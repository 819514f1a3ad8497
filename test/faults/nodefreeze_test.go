package faults

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Media nodes that stand still, are cut off, or take connections late.

// recordReach records whether the machine and its process are there, and whether it reads.
func (n *mediaNode) recordReach(state nodeState) {
	now := n.world.now()
	n.world.record(func() {
		n.away.set(now, state == nodeVanished || state == nodeDead || state == nodeCutOff)
		n.frozen.set(now, state == nodeVanished || state == nodeStopped || state == nodeCutOff)
	})
}

// resumeProcess goes on after the process stood still, as one event loop does: first come the timers that are due, then the
// connections that wait, then what has come on the others. Idle connections are past their time. With endsLast sessions end only
// after that, and the idle connections count as open until then. The lock is held.
func (n *mediaNode) resumeProcess() {
	goOn, due := n.goOn, n.due
	n.goOn, n.due = nil, nil
	for _, f := range n.faces {
		f.lateTill = n.world.now() + lateAcceptWindow
	}
	if n.endsLast {
		defer n.closeAndAccept(true)()
	}
	n.mu.Unlock()
	for _, f := range due {
		f()
	}
	n.mu.Lock()
	if !n.endsLast {
		n.closeAndAccept(false)
	}
	close(goOn)
}

// closeAndAccept closes idle connections and takes those that wait. With stayKnown the closed ones count as open until the
// function that is returned is called. The lock is held.
func (n *mediaNode) closeAndAccept(stayKnown bool) (forgetClosed func()) {
	var closed []*nodeConn
	for _, f := range n.faces {
		closed = append(closed, f.closeIdle()...)
		if f.listener >= 0 {
			f.acceptAll()
		}
	}
	if stayKnown {
		for _, nc := range closed {
			nc.face.conns[nc] = true
		}
	}
	return func() {
		for _, nc := range closed {
			delete(nc.face.conns, nc)
		}
	}
}

// waitWhileStopped waits while the process stands still.
func (n *mediaNode) waitWhileStopped() {
	for {
		n.mu.Lock()
		goOn := n.goOn
		n.mu.Unlock()
		if goOn == nil {
			return
		}
		<-goOn
	}
}

// forgetReleases drops the releases that wait for a connection: the process has ended for good.
func (n *mediaNode) forgetReleases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.faces {
		f.unsent = nil
	}
}

// postpone keeps what a timer has due for the time when the process goes on. It reports whether the process stands still;
// the node's lock is held.
func (n *mediaNode) postpone(f func()) bool {
	if n.goOn == nil {
		return false
	}
	n.due = append(n.due, f)
	return true
}

// blackhole lets new connects hang: the listener accepts nothing and its queue is full.
func (f *nodeFace) blackhole() {
	f.held, f.lateFrom = true, f.node.world.now()
	unix.Listen(f.listener, 0)
	for range 3 { // the queue holds one connection more than its backlog
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return
		}
		f.fillers = append(f.fillers, fd)
		unix.Connect(fd, f.sockaddr())
		if local, err := unix.Getsockname(fd); err == nil {
			f.fillerPorts = append(f.fillerPorts[max(0, len(f.fillerPorts)-keptFillers):], local.(*unix.SockaddrInet4).Port)
		}
	}
}

// resume lets connects succeed again. What is in the queue is reset: what was written there arrived at nobody.
func (f *nodeFace) resume() {
	f.closeFillers()
	for {
		fd, _, err := unix.Accept4(f.listener, unix.SOCK_CLOEXEC)
		if err != nil {
			break
		}
		unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		unix.Close(fd)
	}
	unix.Listen(f.listener, backlog)
	f.held = false
}

// listenAnew lets connects succeed again, at the process of a machine that has come back. What waits in the queue is reset, and so
// are connections whose handshake was not over, with their next bytes.
func (f *nodeFace) listenAnew() {
	f.closeFillers()
	before := f.listener
	unix.Shutdown(before, unix.SHUT_RD) // frees the address
	f.listen()
	unix.Close(before) // after listen, so that the new listener has another descriptor
}

// connectRetryGap is the time after a hold in which the kernel sends a connect of the hold again, 1 s after the first time. In a
// further hold it would be dropped once more, and come up later than the second that the pages allow.
const connectRetryGap = 1050 * time.Millisecond

// holdConnects lets new connections come up late, after up to a time. If reset is set they are reset as they come up.
func (n *mediaNode) holdConnects(length time.Duration, reset bool) {
	n.mu.Lock()
	for _, f := range n.faces {
		f.blackhole()
	}
	n.mu.Unlock()
	time.Sleep(length)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.faces {
		if reset {
			f.resume()
			continue
		}
		f.acceptConnects()
	}
}

// acceptConnects lets connects come up again, also those that wait.
func (f *nodeFace) acceptConnects() {
	f.closeFillers()
	unix.Listen(f.listener, backlog)
	f.held = false
	f.lateTill = f.node.world.now() + lateAcceptWindow
}

// closeFillers closes the connections that fill the queue of the listener.
func (f *nodeFace) closeFillers() {
	for _, fd := range f.fillers {
		unix.Close(fd)
	}
	f.fillers = nil
}

// isFiller tells whether a connection is one of those that filled the queue.
func (f *nodeFace) isFiller(from unix.Sockaddr) bool {
	addr, ok := from.(*unix.SockaddrInet4)
	return ok && slices.Contains(f.fillerPorts, addr.Port)
}

// waits tells whether connections stay in the queue.
func (f *nodeFace) waits() bool {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	return f.held || f.node.goOn != nil
}

// spans are periods of time, the last of which may have no end yet (0).
type spans [][2]time.Duration

// set begins a period or ends the last one.
func (s *spans) set(now time.Duration, on bool) {
	last := len(*s) - 1
	open := last >= 0 && (*s)[last][1] == 0
	switch {
	case on && !open:
		*s = append(*s, [2]time.Duration{now, 0})
	case !on && open:
		(*s)[last][1] = now
	}
}

// touch tells whether a period has a moment between two times.
func (s spans) touch(from, to time.Duration) bool {
	return slices.ContainsFunc(s, func(span [2]time.Duration) bool {
		return span[0] <= to && (span[1] == 0 || span[1] >= from)
	})
}

// holds tells whether the media node holds the title of a request.
func (n *mediaNode) holds(r *request) bool {
	cells := n.world.cells
	return (n.cell-r.homeCell(cells)+cells)%cells < copies
}
