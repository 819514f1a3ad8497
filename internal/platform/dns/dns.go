// Package dns reads node lists in the two forms of the JSON-lines platform (see
// internal/platform/proxy): DNS answers of its discovery service, and the
// snapshot in a director's configuration. It is pure and only translates into
// discovery messages; decide/discovery decides which list is valid.
package dns

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"headmill/decide/discovery"
)

// ErrUnusableAnswer is wrapped by every error about a DNS answer. The node list then stays as it was.
var ErrUnusableAnswer = errors.New("dns: unusable answer")

// Vocabulary holds the names of zones and of kinds of media nodes, in the order of the settings.
type Vocabulary struct{ Zones, Kinds []string }

// indexOf finds a name in a list of the settings; what describes the list in the error.
func indexOf(list []string, name, what string) (int, error) {
	for i, entry := range list {
		if entry == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("dns: %s %q is not in the settings", what, name)
}

// discoveryStates translates the platform's node states into those of decide/discovery; both are external names.
var discoveryStates = map[string]string{"in_service": "ready", "terminating": "draining", "terminated": "gone"}

// snapshotHost is the JSON form of a media node in a snapshot.
type snapshotHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Snapshot is the node list at the start, in the form of the configuration: a sequence of events, some of which carry a
// full or partial list.
type Snapshot struct {
	No    uint64 `json:"no"`
	Items []struct {
		No     uint64 `json:"no"`
		Roster *struct {
			Whole bool           `json:"whole"`
			Hosts []snapshotHost `json:"hosts"`
		} `json:"roster"`
	} `json:"items"`
}

// Message merges the events of the snapshot into one full list.
func (s *Snapshot) Message(vocabulary Vocabulary) (discovery.Message, error) {
	msg := discovery.Message{Version: s.No, Full: true}
	indexByHost := map[string]int{}
	for _, item := range s.Items {
		if item.Roster == nil {
			continue // an event about something else
		}
		if item.Roster.Whole {
			msg.Entries = msg.Entries[:0]
			clear(indexByHost)
		}
		for _, host := range item.Roster.Hosts {
			entry, err := host.entry(vocabulary)
			if err != nil {
				return msg, fmt.Errorf("known, event %d: %w", item.No, err)
			}
			if i, ok := indexByHost[host.Host]; ok {
				msg.Entries[i] = entry
				continue
			}
			indexByHost[host.Host] = len(msg.Entries)
			msg.Entries = append(msg.Entries, entry)
		}
	}
	return msg, nil
}

// ParseSnapshot reads a snapshot.
func ParseSnapshot(text []byte) (s Snapshot, err error) {
	if err = json.Unmarshal(text, &s); err != nil {
		err = fmt.Errorf("dns: known: %w", err)
	}
	return s, err
}

// entry translates a media node of a snapshot.
func (h *snapshotHost) entry(vocabulary Vocabulary) (discovery.Entry, error) {
	entry := discovery.Entry{Name: h.Host, Addr: h.Dial, State: discoveryStates[h.Health], StartedAtMs: h.BornMs,
		Cell: h.Block, Weight: h.Share}
	var err error
	if entry.State == "" {
		// The text is external, as operators' tools may match it; "names" is a former name of this package.
		return entry, fmt.Errorf("names: host %s: state %q is not known", h.Host, h.Health)
	}
	if entry.Zone, err = indexOf(vocabulary.Zones, h.Site, "site"); err != nil {
		return entry, err
	}
	entry.Kind, err = indexOf(vocabulary.Kinds, h.Class, "class")
	return entry, err
}

// NewQuery returns a query for the full node list.
func NewQuery(id uint16, service string) ([]byte, error) {
	name, err := dnsmessage.NewName(service)
	if err != nil {
		return nil, fmt.Errorf("dns: service name %q: %w", service, err)
	}
	query := dnsmessage.Message{Header: dnsmessage.Header{ID: id, RecursionDesired: true},
		Questions: []dnsmessage.Question{{Name: name, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	return query.Pack()
}

// unusableAnswer returns an error that wraps ErrUnusableAnswer.
func unusableAnswer(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUnusableAnswer, fmt.Sprintf(format, args...))
}

// MessageID returns the ID of the query that a datagram answers, and false if it is no answer.
func MessageID(b []byte) (uint16, bool) {
	var parser dnsmessage.Parser
	header, err := parser.Start(b)
	return header.ID, err == nil && header.Response
}

// hostRecords are the records of one host name.
type hostRecords struct {
	addr netip.Addr
	txt  []string
}

// ParseAnswer reads a full node list from a datagram. An answer that is truncated, reports a failure or lacks a required
// record is rejected as a whole, since a partial list would look as if media nodes had been removed.
func ParseAnswer(b []byte, vocabulary Vocabulary) (msg discovery.Message, err error) {
	var answer dnsmessage.Message
	if err := answer.Unpack(b); err != nil {
		return msg, unusableAnswer("%v", err)
	}
	if answer.RCode != dnsmessage.RCodeSuccess || answer.Truncated {
		return msg, unusableAnswer("response code %v, truncated %v", answer.RCode, answer.Truncated)
	}
	var services []*dnsmessage.SRVResource
	hosts, serial, hasSerial := map[string]*hostRecords{}, uint64(0), false
	for _, section := range [][]dnsmessage.Resource{answer.Answers, answer.Authorities, answer.Additionals} {
		for i := range section {
			name := strings.ToLower(section[i].Header.Name.String())
			host := hosts[name]
			if host == nil {
				host = &hostRecords{}
				hosts[name] = host
			}
			switch record := section[i].Body.(type) {
			case *dnsmessage.SRVResource:
				services = append(services, record)
			case *dnsmessage.AResource:
				host.addr = netip.AddrFrom4(record.A)
			case *dnsmessage.TXTResource:
				host.txt = record.TXT
			case *dnsmessage.SOAResource:
				serial, hasSerial = uint64(record.Serial), true
			}
		}
	}
	if !hasSerial || len(services) == 0 {
		return msg, unusableAnswer("%d SRV records, SOA serial present: %v", len(services), hasSerial)
	}
	msg = discovery.Message{Version: serial, Full: true}
	for _, service := range services {
		target := strings.ToLower(service.Target.String())
		host := hosts[target]
		if host == nil || !host.addr.IsValid() || host.txt == nil {
			return msg, unusableAnswer("host %s lacks its A or TXT record", target)
		}
		labels := strings.Split(target, ".")
		if len(labels) < 2 {
			return msg, unusableAnswer("host name %s has no zone label", target)
		}
		// SRV weights are integers: they are ten times the weight of the media node.
		entry := discovery.Entry{Name: labels[0], Addr: netip.AddrPortFrom(host.addr, service.Port).String(),
			State: "ready", Weight: float64(service.Weight) / 10}
		if service.Priority != 0 {
			entry.State = "draining"
		}
		if entry.Zone, err = indexOf(vocabulary.Zones, labels[1], "zone"); err != nil {
			return msg, unusableAnswer("%v", err)
		}
		if err = parseTXT(&entry, host.txt, vocabulary); err != nil {
			return msg, unusableAnswer("host %s: %v", target, err)
		}
		msg.Entries = append(msg.Entries, entry)
	}
	return msg, nil
}

// parseTXT reads kind, cell and start time from a host's TXT record.
func parseTXT(entry *discovery.Entry, txt []string, vocabulary Vocabulary) (err error) {
	for _, pair := range txt {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "kind":
			entry.Kind, err = indexOf(vocabulary.Kinds, value, "kind")
		case "cell":
			entry.Cell, err = strconv.Atoi(value)
		case "started":
			entry.StartedAtMs, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
