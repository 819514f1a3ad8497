// Package names reads what the name service of the users' platform says of
// media nodes: DNS answers and the list in a director's configuration. It is
// pure and only translates; which list counts is decided in decide/fleet.
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

// ErrAnswer is wrapped by every error about an answer that can't be used; the list stays as it was.
var ErrUnusableAnswer = errors.New("names: answer can't be used")

// Words are the names of zones and kinds in the order of the settings.
type Vocabulary struct{ Zones, Kinds []string }

func indexOf(list []string, name, what string) (int, error) {
	for i, s := range list {
		if s == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("names: %s %q is not in the settings", what, name)
}

// states are the platform's words for what decide/fleet knows.
var discoveryStates = map[string]string{"in_service": "ready", "terminating": "draining", "terminated": "gone"}

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

// Known is the list of the start, as the configuration holds it.
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

// Message joins the events of the start into one whole list.
func (k *Snapshot) Message(w Vocabulary) (discovery.Message, error) {
	m := discovery.Message{Version: k.No, Full: true}
	at := map[string]int{}
	for _, item := range k.Items {
		if item.Roster == nil {
			continue // an event about something else
		}
		if item.Roster.Whole {
			m.Entries = m.Entries[:0]
			clear(at)
		}
		for _, h := range item.Roster.Hosts {
			e, err := h.entry(w)
			if err != nil {
				return m, fmt.Errorf("known, event %d: %w", item.No, err)
			}
			if i, ok := at[h.Host]; ok {
				m.Entries[i] = e
				continue
			}
			at[h.Host] = len(m.Entries)
			m.Entries = append(m.Entries, e)
		}
	}
	return m, nil
}

// ParseKnown reads the list of the start.
func ParseSnapshot(text []byte) (k Snapshot, err error) {
	if err = json.Unmarshal(text, &k); err != nil {
		err = fmt.Errorf("names: known: %w", err)
	}
	return k, err
}

func (h *snapshotHost) entry(w Vocabulary) (discovery.Entry, error) {
	e := discovery.Entry{Name: h.Host, Addr: h.Dial, State: discoveryStates[h.Health], StartedAtMs: h.BornMs, Cell: h.Block, Weight: h.Share}
	var err error
	if e.State == "" {
		return e, fmt.Errorf("names: host %s: state %q is not known", h.Host, h.Health)
	}
	if e.Zone, err = indexOf(w.Zones, h.Site, "site"); err != nil {
		return e, err
	}
	e.Kind, err = indexOf(w.Kinds, h.Class, "class")
	return e, err
}

// Query is the question for the whole list.
func AppendQuery(id uint16, service string) ([]byte, error) {
	name, err := dnsmessage.NewName(service)
	if err != nil {
		return nil, fmt.Errorf("names: %q: %w", service, err)
	}
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: id, RecursionDesired: true},
		Questions: []dnsmessage.Question{{Name: name, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}}}
	return m.Pack()
}

func unusableAnswer(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrUnusableAnswer, fmt.Sprintf(format, a...))
}

// ID is the number of the query that a datagram answers.
func MessageID(b []byte) (uint16, bool) {
	var p dnsmessage.Parser
	h, err := p.Start(b)
	return h.ID, err == nil && h.Response
}

type hostRecords struct {
	addr netip.Addr
	txt  []string
}

// Answer reads a whole list out of a datagram. An answer that was cut short, reports a failure or lacks a record that
// the list needs is an error as a whole: half a list would look like media nodes that are gone.
func ParseAnswer(b []byte, w Vocabulary) (m discovery.Message, err error) {
	var d dnsmessage.Message
	if err := d.Unpack(b); err != nil {
		return m, unusableAnswer("%v", err)
	}
	if d.RCode != dnsmessage.RCodeSuccess || d.Truncated {
		return m, unusableAnswer("code %v, cut short %v", d.RCode, d.Truncated)
	}
	var srv []*dnsmessage.SRVResource
	nodes, serial, some := map[string]*hostRecords{}, uint64(0), false
	for _, part := range [][]dnsmessage.Resource{d.Answers, d.Authorities, d.Additionals} {
		for i := range part {
			name := strings.ToLower(part[i].Header.Name.String())
			n := nodes[name]
			if n == nil {
				n = &hostRecords{}
				nodes[name] = n
			}
			switch r := part[i].Body.(type) {
			case *dnsmessage.SRVResource:
				srv = append(srv, r)
			case *dnsmessage.AResource:
				n.addr = netip.AddrFrom4(r.A)
			case *dnsmessage.TXTResource:
				n.txt = r.TXT
			case *dnsmessage.SOAResource:
				serial, some = uint64(r.Serial), true
			}
		}
	}
	if !some || len(srv) == 0 {
		return m, unusableAnswer("%d hosts, serial there: %v", len(srv), some)
	}
	m = discovery.Message{Version: serial, Full: true}
	for _, r := range srv {
		target := strings.ToLower(r.Target.String())
		n := nodes[target]
		if n == nil || !n.addr.IsValid() || n.txt == nil {
			return m, unusableAnswer("host %s lacks its address or its text", target)
		}
		label := strings.Split(target, ".")
		if len(label) < 2 {
			return m, unusableAnswer("host %s names no zone", target)
		}
		e := discovery.Entry{Name: label[0], Addr: netip.AddrPortFrom(n.addr, r.Port).String(), State: "ready",
			Weight: float64(r.Weight) / 10}
		if r.Priority != 0 {
			e.State = "draining"
		}
		if e.Zone, err = indexOf(w.Zones, label[1], "zone"); err != nil {
			return m, unusableAnswer("%v", err)
		}
		if err = parseTXT(&e, n.txt, w); err != nil {
			return m, unusableAnswer("host %s: %v", target, err)
		}
		m.Entries = append(m.Entries, e)
	}
	return m, nil
}

// read takes kind, cell and start out of a host's text.
func parseTXT(e *discovery.Entry, text []string, w Vocabulary) (err error) {
	for _, word := range text {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "kind":
			e.Kind, err = indexOf(w.Kinds, value, "kind")
		case "cell":
			e.Cell, err = strconv.Atoi(value)
		case "started":
			e.StartedAtMs, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
