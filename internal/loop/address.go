package loop

import (
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// localNetworkBits is the prefix length assumed for a director's own network: the platform's documentation places its
// directors, media nodes and discovery service in one /8 network.
const localNetworkBits = 8

// SetLocalAddr additionally permits addresses in the private network that contains the director's own address addr,
// where a platform provides one. Without it, headmill listens on and connects to the loopback interface only.
func (l *Loop) SetLocalAddr(addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("loop: address %q: expected IPv4:PORT: %w", addr, err)
	}
	if ap.Addr().Is4() && ap.Addr().IsPrivate() {
		l.localNetwork = netip.PrefixFrom(ap.Addr(), localNetworkBits).Masked()
	}
	return nil
}

// checkAddr parses an IPv4 address and checks that it is on the loopback interface or in the director's own network.
func (l *Loop) checkAddr(addr string) (*unix.SockaddrInet4, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("loop: address %q: expected IPv4:PORT: %w", addr, err)
	}
	if !ap.Addr().Is4() || !ap.Addr().IsLoopback() && !(l.localNetwork.Contains(ap.Addr()) && ap.Addr().IsPrivate()) {
		return nil, fmt.Errorf("loop: address %q is neither in 127.0.0.0/8 nor in the director's own private network", addr)
	}
	return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}, nil
}

// formatAddr returns an IPv4 socket address as text, empty for another kind.
func formatAddr(sa unix.Sockaddr) string {
	if v, ok := sa.(*unix.SockaddrInet4); ok {
		return net.JoinHostPort(netip.AddrFrom4(v.Addr).String(), fmt.Sprint(v.Port))
	}
	return ""
}
