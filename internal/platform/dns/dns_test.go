package dns

import (
	"errors"
	"testing"

	"golang.org/x/net/dns/dnsmessage"

	"headmill/decide/discovery"
)

var testVocabulary = Vocabulary{Zones: []string{"east", "west"}, Kinds: []string{"std", "big"}}

// packAnswer encodes an answer; change may modify it first.
func packAnswer(t *testing.T, change func(*dnsmessage.Message)) []byte {
	t.Helper()
	name := dnsmessage.MustNewName
	header := func(n string) dnsmessage.ResourceHeader {
		return dnsmessage.ResourceHeader{Name: name(n), Class: dnsmessage.ClassINET}
	}
	serviceName := "_api._tcp.svc.local."
	answer := dnsmessage.Message{Header: dnsmessage.Header{ID: 77, Response: true},
		Answers: []dnsmessage.Resource{
			{Header: header(serviceName), Body: &dnsmessage.SRVResource{Weight: 40, Port: 5080, Target: name("s-1.east.hosts.")}},
			{Header: header(serviceName), Body: &dnsmessage.SRVResource{Priority: 1, Weight: 15, Port: 5081, Target: name("s-2.west.hosts.")}}},
		Authorities: []dnsmessage.Resource{{Header: header("svc.local."), Body: &dnsmessage.SOAResource{NS: name("ns."), MBox: name("m."), Serial: 41}}},
		Additionals: []dnsmessage.Resource{
			{Header: header("s-1.east.hosts."), Body: &dnsmessage.AResource{A: [4]byte{10, 1, 0, 9}}},
			{Header: header("s-1.east.hosts."), Body: &dnsmessage.TXTResource{TXT: []string{"kind=std", "cell=2", "started=0"}}},
			{Header: header("s-2.west.hosts."), Body: &dnsmessage.AResource{A: [4]byte{10, 1, 0, 8}}},
			{Header: header("s-2.west.hosts."), Body: &dnsmessage.TXTResource{TXT: []string{"kind=big", "cell=3", "started=1700000000500"}}}}}
	if change != nil {
		change(&answer)
	}
	b, err := answer.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestAnswer(t *testing.T) {
	b := packAnswer(t, nil)
	if id, ok := MessageID(b); id != 77 || !ok {
		t.Fatalf("id %d, %v", id, ok)
	}
	msg, err := ParseAnswer(b, testVocabulary)
	if err != nil || msg.Version != 41 || !msg.Full || len(msg.Entries) != 2 {
		t.Fatalf("%+v, %v", msg, err)
	}
	want := []discovery.Entry{{Name: "s-1", Addr: "10.1.0.9:5080", State: "ready", Cell: 2, Weight: 4},
		{Name: "s-2", Addr: "10.1.0.8:5081", State: "draining", Cell: 3, Kind: 1, Zone: 1, Weight: 1.5, StartedAtMs: 1700000000500}}
	for i := range want {
		if msg.Entries[i] != want[i] {
			t.Errorf("%+v, want %+v", msg.Entries[i], want[i])
		}
	}
}

// A partial list would look as if media nodes had been removed, so such an answer is rejected.
func TestUnusableAnswers(t *testing.T) {
	for name, change := range map[string]func(*dnsmessage.Message){
		"failure":    func(answer *dnsmessage.Message) { answer.RCode = dnsmessage.RCodeServerFailure },
		"truncated":  func(answer *dnsmessage.Message) { answer.Truncated = true },
		"no address": func(answer *dnsmessage.Message) { answer.Additionals = answer.Additionals[1:] },
		"no text":    func(answer *dnsmessage.Message) { answer.Additionals = answer.Additionals[:3] },
		"no serial":  func(answer *dnsmessage.Message) { answer.Authorities = nil },
		"no hosts":   func(answer *dnsmessage.Message) { answer.Answers = nil },
		"unknown kind": func(answer *dnsmessage.Message) {
			answer.Additionals[1].Body.(*dnsmessage.TXTResource).TXT[0] = "kind=x"
		},
		"unknown zone": func(answer *dnsmessage.Message) {
			answer.Answers[0].Body.(*dnsmessage.SRVResource).Target = dnsmessage.MustNewName("s-1.up.")
		},
		"cell not a number": func(answer *dnsmessage.Message) {
			answer.Additionals[1].Body.(*dnsmessage.TXTResource).TXT[1] = "cell=x"
		},
	} {
		if _, err := ParseAnswer(packAnswer(t, change), testVocabulary); !errors.Is(err, ErrUnusableAnswer) {
			t.Errorf("%s: %v", name, err)
		}
	}
	complete := packAnswer(t, nil)
	for n := range complete {
		if _, err := ParseAnswer(complete[:n], testVocabulary); err == nil {
			t.Errorf("the first %d of %d bytes are accepted", n, len(complete))
		}
	}
}

func TestSnapshotEventsAreMerged(t *testing.T) {
	snapshot, err := ParseSnapshot([]byte(`{"no":4,"items":[
		{"no":1,"roster":{"whole":true,"hosts":[{"host":"a","dial":"10.0.0.1:1","site":"east","class":"std","block":0,"health":"in_service","share":1,"born_ms":0},
			{"host":"b","dial":"10.0.0.2:1","site":"west","class":"big","block":1,"health":"in_service","share":1,"born_ms":0}]}},
		{"no":2},
		{"no":4,"roster":{"whole":false,"hosts":[{"host":"b","dial":"10.0.0.2:1","site":"west","class":"big","block":1,"health":"terminating","share":1,"born_ms":9}]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	msg, err := snapshot.Message(testVocabulary)
	if err != nil || msg.Version != 4 || len(msg.Entries) != 2 || msg.Entries[0].State != "ready" ||
		msg.Entries[1].State != "draining" || msg.Entries[1].StartedAtMs != 9 {
		t.Fatalf("%+v, %v", msg, err)
	}
	snapshot.Items[0].Roster.Hosts[0].Health = "asleep"
	if _, err := snapshot.Message(testVocabulary); err == nil {
		t.Fatal("an unknown state is accepted")
	}
}
