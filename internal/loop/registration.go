package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// epollCtl registers a descriptor or changes what is reported of it. The kernel returns the number of the registration with each
// event, so that an event of a descriptor which was closed in the same iteration is not taken for one of its successor.
func (l *Loop) epollCtl(op, fd int, events uint32) error {
	if op == unix.EPOLL_CTL_ADD {
		l.addRegistration(fd)
	}
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[fd]}
	if err := unix.EpollCtl(l.epollFD, op, fd, &event); err != nil {
		return fmt.Errorf("loop: epoll_ctl of %d: %w", fd, err)
	}
	return nil
}

// addRegistration gives a descriptor the next number.
func (l *Loop) addRegistration(fd int) {
	if missing := fd + 1 - len(l.registrations); missing > 0 {
		l.registrations = append(l.registrations, make([]int32, missing)...)
	}
	l.lastRegistration++
	l.registrations[fd] = l.lastRegistration
}
