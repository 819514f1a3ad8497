// Package discovery keeps a director's node list: it decides which message of
// the discovery service is applied, which is stale or has a gap before it, and
// when a media node has restarted. It turns messages into the events that the
// decision module (package headmill) takes.
//
// The package is pure: Apply takes a message with its time, and returns a
// verdict and the event. The IDs of media nodes are made only here, from their
// names or addresses.
//
// What becomes of a message:
//
//	message                                                        verdict
//	full, the first one or of a new epoch                          Accepted
//	delta, the first one or of a new epoch                         Gap: a delta to a list that was never seen
//	same epoch, full, the present version or a newer one           Accepted
//	same epoch, delta, the next version                            Accepted
//	same epoch, an older version, or a delta of the present one    Stale
//	same epoch, delta, a version left out before it                Gap
//	any of these with an invalid entry, a media node twice, or     Invalid; the old list stays
//	too many media nodes
//
// With Config.VersionsMayRestart, messages may also come out of order, and numbers of an earlier run of the director may
// come. Which list is valid then is decided in unordered.go.
//
// States of a media node, as named in messages:
//
//	ready     may be sent set-ups
//	draining  gets no new set-ups; with VersionsMayRestart it is not ready again until it has restarted, or until no
//	          message has had its drain for restrictionMemoryMs
//	gone      removed from the list, as is one that is missing from a full message
package discovery

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"headmill"
)

// The states of a media node in messages; see the package comment.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// Entry is a media node as the discovery service describes it.
type Entry struct {
	Name     string  // identifies the media node if given; an address may then pass from one media node to another
	Addr     string  // IPv4:PORT of its set-up interface; identifies the media node if it has no name
	State    string  // ready, draining or gone
	BootID   string  // changes with each start of the process
	UptimeMs float64 // since that start; 0: long ago
	// StartedAtMs is the time of that start, on the clock of Apply's now, where the service gives it instead of an
	// uptime; it then identifies the boot. 0: long ago, or given as an uptime.
	StartedAtMs float64
	Cell        int
	Kind        int
	Zone        int
	Weight      float64
}

// Message is one message of the discovery service. Versions rise by one within an epoch.
type Message struct {
	Epoch   string // changes when the service has restarted its version numbers
	Version uint64
	Full    bool // Entries is the whole list, and not a delta
	Entries []Entry
}

// Verdict tells what became of a message.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota
	Stale            // older than what is known: dropped
	Gap              // a message before it is missing: dropped, a full list must be requested
	Invalid          // not usable as a whole; the old list stays
)

// verdictNames are the external names of the verdicts, also in metrics and logs, in the order of the constants.
var verdictNames = [...]string{"taken", "stale", "gap", "bad"}

func (v Verdict) String() string { return verdictNames[v] }

// Config bounds the list and the values of its entries.
type Config struct {
	MaxNodes int // limit of the entries of a message, and half the limit of the list and a delta together
	Cells    int
	Kinds    int // 0: any
	// VersionsMayRestart says that versions may start again without a new epoch, and that old messages may arrive
	// late; see unordered.go.
	VersionsMayRestart bool
}

// bootKey identifies one start of a media node at one address.
type bootKey struct {
	id        headmill.NodeID
	addr      string
	startedAt float64
	bootID    string
}

// listedNode is a media node of the list. The State of its Entry may have been changed to draining.
type listedNode struct {
	Entry
	received  Entry // as in the message
	holdFor   int   // with VersionsMayRestart: messages that must list it before it counts as ready; see unordered.go
	id        headmill.NodeID
	startedAt float64 // start of the present boot on the director's clock; 0: long ago
}

// List is the node list in force.
type List struct {
	cfg       Config
	epoch     string
	version   uint64
	hasList   bool // a message was accepted
	nodes     map[headmill.NodeID]*listedNode
	unordered unorderedState
}

// New makes an empty list.
func New(cfg Config) *List {
	return &List{cfg: cfg, nodes: map[headmill.NodeID]*listedNode{}, unordered: newUnorderedState()}
}

// Version is the version of the last message that was accepted.
func (l *List) Version() uint64 { return l.version }

// Len is the number of media nodes on the list.
func (l *List) Len() int { return len(l.nodes) }

// Addr is the address of a media node; for one that is not listed, the address that an ID of ParseNodeID encodes.
func (l *List) Addr(id headmill.NodeID) string {
	if node := l.nodes[id]; node != nil {
		return node.Addr
	}
	return FormatAddr(id)
}

// Name is the name of a listed media node, or its address if it has no name.
func (l *List) Name(id headmill.NodeID) string {
	if node := l.nodes[id]; node != nil && node.Entry.Name != "" {
		return node.Entry.Name
	}
	return l.Addr(id)
}

// Listed tells whether a media node is on the list.
func (l *List) Listed(id headmill.NodeID) bool { return l.nodes[id] != nil }

// StartedAt is when the present process of a listed media node started, on the clock of Apply's now; 0: long ago, or it is
// not listed.
func (l *List) StartedAt(id headmill.NodeID) float64 {
	if node := l.nodes[id]; node != nil {
		return node.startedAt
	}
	return 0
}

// Ready tells whether a media node may be sent set-ups: listed, and not draining.
func (l *List) Ready(id headmill.NodeID) bool {
	node := l.nodes[id]
	return node != nil && node.State == stateReady
}

// Cell is the cell of a media node by the last message; 0 for one that is not listed.
func (l *List) Cell(id headmill.NodeID) int {
	if node := l.nodes[id]; node != nil {
		return node.Cell
	}
	return 0
}

// Nodes returns the list in the decision module's form, sorted by ID.
func (l *List) Nodes() []headmill.Node {
	out := make([]headmill.Node, 0, len(l.nodes))
	for _, node := range l.nodes {
		out = append(out, node.moduleNode())
	}
	slices.SortFunc(out, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// FormatAddr is the address that an ID of ParseNodeID encodes: 4 address bytes and a port, 48 bits.
func FormatAddr(id headmill.NodeID) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", id&255, id>>8&255, id>>16&255, id>>24&255, id>>32&65535)
}

// ParseNodeID makes the ID of a media node from its address.
func ParseNodeID(addr string) (headmill.NodeID, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil || !addrPort.Addr().Is4() || addrPort.Port() == 0 {
		return 0, fmt.Errorf("fleet: box address %q is not IPv4:PORT", addr) // external: operators' tools match it
	}
	ip := addrPort.Addr().As4()
	return headmill.NodeID(ip[0]) | headmill.NodeID(ip[1])<<8 | headmill.NodeID(ip[2])<<16 |
		headmill.NodeID(ip[3])<<24 | headmill.NodeID(addrPort.Port())<<32, nil
}

// NodeIDFromName makes the ID of a media node from its name: a hash, cut to the 48 bits that IDs of ParseNodeID have.
// It is the same at every director, whatever addresses they reach the media node at.
func NodeIDFromName(name string) headmill.NodeID {
	return headmill.NodeID(xxhash.Sum64String(name) >> 16)
}

// Apply checks a message at now (ms), and applies it to the list if it is Accepted. ev is for the decision module if
// the message is Accepted or ev has nodes, as a Stale message may still have drains. The caller owns ev.
func (l *List) Apply(now float64, m *Message) (ev headmill.Event, verdict Verdict, err error) {
	if l.hasList && m.Epoch == l.epoch {
		switch {
		case l.cfg.VersionsMayRestart && m.Full: // its contents decide, below
		case m.Version < l.version, m.Version == l.version && !m.Full:
			return ev, Stale, nil
		case !m.Full && m.Version != l.version+1:
			return ev, Gap, nil
		}
	} else if !m.Full {
		return ev, Gap, nil // a delta to a list that was never seen
	}
	nodes := make([]*listedNode, 0, len(m.Entries))
	seen := map[headmill.NodeID]bool{}
	for i := range m.Entries {
		node, err := l.parseEntry(now, &m.Entries[i])
		if err != nil {
			return ev, Invalid, fmt.Errorf("discovery: version %d, entry %d: %w", m.Version, i, err)
		}
		if seen[node.id] {
			return ev, Invalid, fmt.Errorf("discovery: version %d: media node %s is listed twice", m.Version, node.Addr)
		}
		seen[node.id] = true
		nodes = append(nodes, node)
	}
	// Entries of a delta may replace or remove listed ones, so list and delta together may have twice MaxNodes. The
	// error tells the length of the message.
	if n := len(nodes); n > l.cfg.MaxNodes || !m.Full && len(l.nodes)+n > 2*l.cfg.MaxNodes {
		return ev, Invalid, fmt.Errorf("discovery: version %d has %d media nodes, over the limit of %d",
			m.Version, n, l.cfg.MaxNodes)
	}
	if l.cfg.VersionsMayRestart && m.Full {
		if !l.hasList || m.Epoch != l.epoch {
			l.unordered.begin(now, m.Version, seen)
		}
		if !l.decideUnordered(now, m.Version, nodes) {
			return l.restrictionEvent(), Stale, nil
		}
	}
	l.epoch, l.version, l.hasList = m.Epoch, m.Version, true
	ev = headmill.Event{Kind: headmill.EvNodes, NodesAreDelta: !m.Full}
	if m.Full {
		clear(l.nodes)
	}
	for _, node := range nodes {
		if node.State == stateGone {
			delete(l.nodes, node.id)
			if m.Full {
				continue // to the decision module, a node that is missing from a full list is removed
			}
		} else {
			l.nodes[node.id] = node
		}
		ev.Nodes = append(ev.Nodes, node.moduleNode())
	}
	slices.SortFunc(ev.Nodes, func(a, b headmill.Node) int { return cmp.Compare(a.ID, b.ID) })
	return ev, Accepted, nil
}

// parseEntry checks one entry. The time of start is kept while the boot is the same: uptimes vary with the delay of
// messages, and a start that moves would look like a restart.
func (l *List) parseEntry(now float64, e *Entry) (*listedNode, error) {
	id, err := ParseNodeID(e.Addr)
	if err != nil {
		return nil, err
	}
	if e.Name != "" {
		id = NodeIDFromName(e.Name)
	}
	switch {
	case e.State != stateReady && e.State != stateDraining && e.State != stateGone:
		return nil, fmt.Errorf("media node %s: state %q is not ready, draining or gone", e.Addr, e.State)
	case e.Cell < 0 || e.Cell >= l.cfg.Cells:
		return nil, fmt.Errorf("media node %s: cell %d is negative or not below the number of cells, %d",
			e.Addr, e.Cell, l.cfg.Cells)
	case e.Kind < 0 || l.cfg.Kinds > 0 && e.Kind >= l.cfg.Kinds:
		return nil, fmt.Errorf("media node %s: kind %d is negative or not below the number of kinds, %d",
			e.Addr, e.Kind, l.cfg.Kinds)
	// 1e15 ms, about 32000 years, is the largest time that counts as valid.
	case !(e.StartedAtMs >= 0) || e.StartedAtMs > 1e15:
		return nil, fmt.Errorf("media node %s: start time %v ms is not in 0 to 1e15", e.Addr, e.StartedAtMs)
	case !(e.UptimeMs >= 0) || !(e.Weight >= 0) || e.UptimeMs > 1e15:
		return nil, fmt.Errorf("media node %s: uptime %v ms is not in 0 to 1e15, or weight %v is negative",
			e.Addr, e.UptimeMs, e.Weight)
	}
	node := &listedNode{Entry: *e, received: *e, id: id}
	if e.UptimeMs > 0 {
		node.startedAt = max(now-e.UptimeMs, 0.001) // a start before this director's clock began is not "long ago", 0
	}
	if e.StartedAtMs > 0 {
		node.startedAt = e.StartedAtMs
	} else if old := l.nodes[id]; old != nil && old.BootID == e.BootID && old.StartedAtMs == 0 {
		node.startedAt = old.startedAt
	}
	return node, nil
}

// moduleNode is the node in the decision module's form.
func (n *listedNode) moduleNode() headmill.Node {
	out := headmill.Node{ID: n.id, StartedAtMs: n.startedAt, Cell: n.Cell, Weight: n.Weight, Kind: n.Kind, Zone: n.Zone}
	switch n.State {
	case stateDraining:
		out.Health = headmill.HealthDraining
	case stateGone:
		out.Health = headmill.HealthRemoved
	}
	return out
}
