// Package fleet decides what a director believes of the box list: which
// message of the list service counts, which is stale or has a gap before it,
// and when a box has started anew. It turns messages into the entries that the
// module is told.
//
// It is pure. Names of boxes become numbers here, once, and stay the same.
package discovery

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"headmill"
)

// Entry is a box as the list service tells it.
type Entry struct {
	Name     string  // where it is given, it names the box, and an address may pass from one box to another
	Addr     string  // IPv4:PORT of its set-up interface; its name, where it has no other
	State    string  // ready, draining or gone
	BootID   string  // changes with each start of the process
	UptimeMs float64 // since that start; 0: long ago
	// SinceMs is the time of that start where the service tells it instead of an age, on the clock of Take's now;
	// it then names the boot. 0: long ago, or told as an age.
	StartedAtMs float64
	Cell        int
	Kind        int
	Zone        int
	Weight      float64
}

// Message is one message of the list service. Versions rise by one within an epoch.
type Message struct {
	Epoch   string // changes when the service has lost its count
	Version uint64
	Full    bool
	Entries []Entry
}

// Verdict tells what became of a message.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota
	Stale            // older than what is known: dropped
	Gap              // one before it is missing: dropped, a full list must be asked for
	Invalid          // not usable as a whole; the old list stays
)

var verdictNames = [...]string{"taken", "stale", "gap", "bad"}

func (v Verdict) String() string { return verdictNames[v] }

// Config bounds the list and says what the fleet can look like.
type Config struct {
	MaxNodes int
	Cells    int
	Kinds    int // 0: any
	// Renumbered: versions may start again without a sign, and old messages come up. A message that contradicts the list
	// is then believed once the next one contradicts it too.
	VersionsMayRestart bool
}

// oddMost is how many messages in a row may contradict the list before the last of them is believed: one is an old
// message that came up again, a second says that the list itself is of another count.
const oddMost = 2

// start is one start of a box at one place. A drain of it is never taken back, whatever an older message says.
type start struct {
	id    headmill.NodeID
	addr  string
	since float64
	boot  string
}

// drainedMs is for how long after it was last told a drain is remembered.
const drainedMs = 300000.0

type known struct {
	Entry
	told  Entry // as the message had it
	id    headmill.NodeID
	since float64 // start of the present boot on the director's clock; 0: long ago
}

// List is the believed list.
type List struct {
	cfg     Config
	epoch   string
	version uint64
	some    bool
	boxes   map[headmill.NodeID]*known
	drained map[start]float64 // when last told
	odd     int               // messages in a row that contradict the list
}

// New makes an empty list.
func New(cfg Config) *List {
	return &List{cfg: cfg, boxes: map[headmill.NodeID]*known{}, drained: map[start]float64{}}
}

// Version is the last version taken.
func (l *List) Version() uint64 { return l.version }

// Len is the number of boxes that are not gone.
func (l *List) Len() int { return len(l.boxes) }

// Addr is the address of a box; empty where it was never listed or is long gone.
func (l *List) Addr(id headmill.NodeID) string {
	if k := l.boxes[id]; k != nil {
		return k.Addr
	}
	return FormatAddr(id)
}

// Name is the name of a listed box, its address where it has no other.
func (l *List) Name(id headmill.NodeID) string {
	if k := l.boxes[id]; k != nil && k.Entry.Name != "" {
		return k.Entry.Name
	}
	return l.Addr(id)
}

// Has tells whether a box is listed and not gone.
func (l *List) Listed(id headmill.NodeID) bool { return l.boxes[id] != nil }

// Taken tells whether a listed box has an address.
func (l *List) AddrInUse(addr string) bool {
	for _, k := range l.boxes {
		if k.Addr == addr {
			return true
		}
	}
	return false
}

// Ready tells whether a box may be sent to: listed, and not draining.
func (l *List) Ready(id headmill.NodeID) bool {
	k := l.boxes[id]
	return k != nil && k.State == "ready"
}

// Cell is the cell that a box stands in, as last told; 0 for one that is not listed.
func (l *List) Cell(id headmill.NodeID) int {
	if k := l.boxes[id]; k != nil {
		return k.Cell
	}
	return 0
}

// Servers is the list as the module is told it, by number.
func (l *List) Nodes() []headmill.Node {
	out := make([]headmill.Node, 0, len(l.boxes))
	for _, k := range l.boxes {
		out = append(out, k.server())
	}
	slices.SortFunc(out, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Format is the address that a number stands for.
func FormatAddr(id headmill.NodeID) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", id&255, id>>8&255, id>>16&255, id>>24&255, id>>32&65535)
}

// ID makes a box's number from its address.
func ParseNodeID(addr string) (headmill.NodeID, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
		return 0, fmt.Errorf("fleet: box address %q is not IPv4:PORT", addr)
	}
	a := ap.Addr().As4()
	return headmill.NodeID(a[0]) | headmill.NodeID(a[1])<<8 | headmill.NodeID(a[2])<<16 |
		headmill.NodeID(a[3])<<24 | headmill.NodeID(ap.Port())<<32, nil
}

// Named makes a box's number from its name: the same at every director, whatever addresses they reach it at.
func NodeIDFromName(name string) headmill.NodeID {
	return headmill.NodeID(xxhash.Sum64String(name) >> 16)
}

// Take judges a message at now (ms). ev is what the module is to be told, if it has servers or the message is taken; the
// caller owns it. A stale message may still tell of drains.
func (l *List) Apply(now float64, m *Message) (ev headmill.Event, v Verdict, err error) {
	if l.some && m.Epoch == l.epoch {
		switch {
		case l.cfg.VersionsMayRestart && m.Full: // judged by what it says
		case m.Version < l.version, m.Version == l.version && !m.Full:
			return ev, Stale, nil
		case !m.Full && m.Version != l.version+1:
			return ev, Gap, nil
		}
	} else if !m.Full {
		return ev, Gap, nil // a delta to a list that was never seen
	}
	fresh := make([]*known, 0, len(m.Entries))
	seen := map[headmill.NodeID]bool{}
	for i := range m.Entries {
		k, err := l.entry(now, &m.Entries[i])
		if err != nil {
			return ev, Invalid, fmt.Errorf("fleet: version %d, entry %d: %w", m.Version, i, err)
		}
		if seen[k.id] {
			return ev, Invalid, fmt.Errorf("fleet: version %d: box %s comes twice", m.Version, k.Addr)
		}
		seen[k.id] = true
		fresh = append(fresh, k)
	}
	if n := len(fresh); n > l.cfg.MaxNodes || !m.Full && len(l.boxes)+n > 2*l.cfg.MaxNodes {
		return ev, Invalid, fmt.Errorf("fleet: version %d has %d boxes, over the cap of %d", m.Version, n, l.cfg.MaxNodes)
	}
	l.remember(now, fresh)
	if l.cfg.VersionsMayRestart && m.Full && l.some && m.Epoch == l.epoch && m.Version <= l.version {
		if l.odd++; l.same(m.Version, fresh) {
			l.odd = 0
		}
		if l.odd < oddMost {
			return l.drains(), Stale, nil
		}
	}
	l.odd = 0
	l.epoch, l.version, l.some = m.Epoch, m.Version, true
	ev = headmill.Event{Kind: headmill.EvNodes, Delta: !m.Full}
	if m.Full {
		clear(l.boxes)
	}
	for _, k := range fresh {
		if k.State == "gone" {
			delete(l.boxes, k.id)
			if m.Full {
				continue // absent from a full list is gone
			}
		} else {
			l.boxes[k.id] = k
		}
		ev.Nodes = append(ev.Nodes, k.server())
	}
	slices.SortFunc(ev.Nodes, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return ev, Accepted, nil
}

// remember keeps the drains of a message, and lets those go that were not told for long.
func (l *List) remember(now float64, fresh []*known) {
	if !l.cfg.VersionsMayRestart {
		return
	}
	for _, k := range fresh {
		if at := k.start(); k.State == "draining" {
			l.drained[at] = now
		} else if _, ok := l.drained[at]; ok && k.State == "ready" {
			k.State = "draining"
		}
	}
	for at, told := range l.drained {
		if now-told > drainedMs {
			delete(l.drained, at)
		}
	}
}

func (k *known) start() start { return start{k.id, k.Addr, k.since, k.BootID} }

// same tells whether a message says what the list says.
func (l *List) same(version uint64, fresh []*known) bool {
	if version != l.version || len(fresh) != len(l.boxes) {
		return false
	}
	for _, k := range fresh {
		if old := l.boxes[k.id]; old == nil || old.told != k.told {
			return false
		}
	}
	return true
}

// drains are the boxes of the list whose drain only a message told that was not taken.
func (l *List) drains() headmill.Event {
	ev := headmill.Event{Kind: headmill.EvNodes, Delta: true}
	for _, k := range l.boxes {
		if _, ok := l.drained[k.start()]; ok && k.State == "ready" {
			k.State = "draining"
			ev.Nodes = append(ev.Nodes, k.server())
		}
	}
	slices.SortFunc(ev.Nodes, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return ev
}

// entry checks one box. Its start is kept while its boot is the same: told ages wander by the lateness of
// messages, and a wandering start would look like a restart.
func (l *List) entry(now float64, e *Entry) (*known, error) {
	id, err := ParseNodeID(e.Addr)
	if err != nil {
		return nil, err
	}
	if e.Name != "" {
		id = NodeIDFromName(e.Name)
	}
	switch {
	case e.State != "ready" && e.State != "draining" && e.State != "gone":
		return nil, fmt.Errorf("box %s: state %q is not ready, draining or gone", e.Addr, e.State)
	case e.Cell < 0 || e.Cell >= l.cfg.Cells:
		return nil, fmt.Errorf("box %s: cell %d of %d", e.Addr, e.Cell, l.cfg.Cells)
	case e.Kind < 0 || l.cfg.Kinds > 0 && e.Kind >= l.cfg.Kinds:
		return nil, fmt.Errorf("box %s: kind %d of %d", e.Addr, e.Kind, l.cfg.Kinds)
	case !(e.StartedAtMs >= 0) || e.StartedAtMs > 1e15:
		return nil, fmt.Errorf("box %s: started at %v ms", e.Addr, e.StartedAtMs)
	case !(e.UptimeMs >= 0) || !(e.Weight >= 0) || e.UptimeMs > 1e15:
		return nil, fmt.Errorf("box %s: age %v ms, weight %v", e.Addr, e.UptimeMs, e.Weight)
	}
	k := &known{Entry: *e, told: *e, id: id}
	if e.UptimeMs > 0 {
		k.since = max(now-e.UptimeMs, 0.001) // it started before this director's clock did: still not "long ago"
	}
	if e.StartedAtMs > 0 {
		k.since = e.StartedAtMs
	} else if old := l.boxes[id]; old != nil && old.BootID == e.BootID && old.StartedAtMs == 0 {
		k.since = old.since
	}
	return k, nil
}

func (k *known) server() headmill.Node {
	s := headmill.Node{ID: k.id, StartedAtMs: k.since, Cell: k.Cell, Weight: k.Weight, Kind: k.Kind, Zone: k.Zone}
	switch k.State {
	case "draining":
		s.Health = headmill.Draining
	case "gone":
		s.Health = headmill.Gone
	}
	return s
}
