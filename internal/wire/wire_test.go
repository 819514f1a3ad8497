package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"

	"headmill"
)

// eventRecord builds one event record of 64 bytes from hex; blanks are ignored.
func eventRecord(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil || len(b) > eventSize {
		t.Fatalf("record %q: %v", text, err)
	}
	return append(b, make([]byte, eventSize-len(b))...)
}

// batch builds a whole batch: header, records and tail.
func batch(now float64, tail []byte, records ...[]byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(now))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

// Records of the simulator, in hex; nodeEntriesHex is the tail that nodeListHex refers to.
const (
	requestHex = "03 0300 c4913a5d 0000 00000000 640ad2557c3bf091 107cf3d901648e2b 0000000000006e40" +
		"0000000000002840 00000000 00004040 00000040 01"
	feedbackHex     = "01 0300 c4913a5d 0000 0a124a07 431f 01 0000003f"
	attemptEndedHex = "0b 0300 c4913a5d 01 0000 0000000000803240 0100 0a124a07 431f 03 0000e040 cdcccc3e 0000a03f 00000000"
	nodeListHex     = "0c 00000000 00000000 02000000"
	nodesHex        = "07 0300 01 2900000000000000 00000000"
	nodeEntriesHex  = "0000000000000000 0000 00 0000803f 0a124a07 431f 00 00" +
		"0000000000d4b740 0000 00 0000c03f 0a9011f2 6c1f 00 01"
)

func decodeAll(t *testing.T, d *Decoder, frame []byte) []Message {
	t.Helper()
	_, msgs, err := d.ReadBatch(bytes.NewReader(frame))
	if err != nil {
		t.Fatal(err)
	}
	return msgs
}

func TestDecodeEvents(t *testing.T) {
	d := NewDecoder()
	d.SetFields(3, []string{"outstanding", "x0", "x1"})
	tail, _ := hex.DecodeString(strings.ReplaceAll(nodeEntriesHex, " ", ""))
	msgs := decodeAll(t, d, batch(5000, tail, eventRecord(t, nodeListHex), eventRecord(t, nodesHex),
		eventRecord(t, requestHex), eventRecord(t, feedbackHex), eventRecord(t, attemptEndedHex),
		eventRecord(t, "04 0300 4d00000000000000"), eventRecord(t, "0a 0500 192b6f0e"),
		eventRecord(t, "0d 0300"), eventRecord(t, "c8 0300")))
	if len(msgs) != 7 {
		t.Fatalf("%d messages, want 7: the list is no event and an unknown code is skipped", len(msgs))
	}
	list := msgs[0].Event.Nodes
	if len(list) != 2 || list[1].Weight != 1.5 || list[1].Zone != 1 || list[1].StartedAtMs != 6100 {
		t.Errorf("list %+v", list)
	}
	request := msgs[1].Event
	if request.Kind != headmill.EvRequest || request.Session != 0x5d3a91c4 ||
		request.TimeLeftMs != 240 || request.DurationHintMs != 12 ||
		request.Copies != 3 || request.MaxRung != 2 || request.Title != 0x2b8e6401d9f37c10 {
		t.Errorf("request %+v", request)
	}
	feedback := msgs[2].Event
	if feedback.Feedback != headmill.FeedbackRateShare || feedback.FeedbackValue != 0.5 || feedback.Node != list[0].ID {
		t.Errorf("feedback %+v", feedback)
	}
	ended := msgs[3].Event
	if ended.Outcome != headmill.OutcomeServed || !ended.SessionOver || ended.LatencyMs != 18.5 ||
		ended.LoadReport.Streams != 7 || ended.LoadReport.UplinkLoad != 1.25 {
		t.Errorf("ended attempt %+v", ended)
	}
	if msgs[4].Event.TimerID != 77 || msgs[5].Instance != 5 || !msgs[6].Exit {
		t.Errorf("timer, viewer left or exit: %+v", msgs[4:])
	}
}

// A batch may reuse a list number: each event gets the list that precedes it.
func TestListNumberIsReused(t *testing.T) {
	tail, _ := hex.DecodeString(strings.ReplaceAll(nodeEntriesHex, " ", ""))
	shorterList := eventRecord(t, "0c 00000000 17000000 01000000")
	msgs := decodeAll(t, NewDecoder(), batch(1, tail, eventRecord(t, nodeListHex), eventRecord(t, nodesHex),
		shorterList, eventRecord(t, nodesHex)))
	if len(msgs[0].Event.Nodes) != 2 || len(msgs[1].Event.Nodes) != 1 || msgs[1].Event.Nodes[0].Weight != 1.5 {
		t.Errorf("lists %+v and %+v", msgs[0].Event.Nodes, msgs[1].Event.Nodes)
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	valid := batch(1, nil, eventRecord(t, requestHex))
	tooManyRecords := append([]byte{}, valid...)
	tooManyRecords[12] = 200
	for name, frame := range map[string][]byte{
		"short header":    valid[:9],
		"short body":      valid[:30],
		"too many":        tooManyRecords,
		"outside tail":    batch(1, nil, eventRecord(t, nodeListHex)),
		"list number":     batch(1, nil, eventRecord(t, "0c 40000000 00000000 00000000")),
		"list kind":       batch(1, nil, eventRecord(t, "07 0300 09")),
		"rung":            batch(1, nil, eventRecord(t, strings.Replace(requestHex, "00000040 01", "000080ff 01", 1))),
		"clock":           batch(math.NaN(), nil),
		"report":          batch(1, nil, eventRecord(t, strings.Replace(attemptEndedHex, "431f 03", "431f 09", 1))),
		"settings":        batch(1, []byte("me=x\n"), eventRecord(t, "09 0300 0000000000000000 00000000 05000000")),
		"settings no '='": batch(1, []byte("hello"), eventRecord(t, "09 0300 0000000000000000 00000000 05000000")),
	} {
		if _, _, err := NewDecoder().ReadBatch(bytes.NewReader(frame)); err == nil || err == io.EOF {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, _, err := NewDecoder().ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func TestEncodeActions(t *testing.T) {
	var encoder Encoder
	id := headmill.NodeID(0x1f43074a120a)
	for _, a := range []headmill.Action{
		{Kind: headmill.ActSetup, Session: 0x5d3a91c4, Node: id, AtMs: 80},
		{Kind: headmill.ActTimer, AtMs: 12345, TimerID: 77},
		{Kind: headmill.ActSetRung, Session: 0x5d3a91c4, Rung: 2},
		{Kind: headmill.ActLog, Text: "two"},
	} {
		if err := encoder.Add(3, &a); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if _, err := encoder.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := strings.ReplaceAll("04000000 63000000"+
		"01 0300 c4913a5d 0a124a07 431f 0000000000005440 000000"+
		"05 0300 0000000080 1cc840 4d00000000000000 0000000000"+
		"0d 0300 c4913a5d 02 00000000000000000000000000000000"+
		"09 0300 00000000 03000000 00000000000000000000000000"+"74776f", " ", "")
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("reply\n%s, want\n%s", got, want)
	}
	if err := encoder.Add(3, &headmill.Action{Kind: headmill.ActSetRung, Rung: 300}); err == nil {
		t.Error("rung 300 was encoded")
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings("me=1\nreplicas_of_me=3\nfamily_info.level_kb=10.0,20.0\nfamily_info.ladder_worth=0.5,1.0\n" +
		"family_info.cells=4\nfamily_info.racks=2\nallowed.max_attempts=3\ncategories.count=2\n" +
		"categories.0.semantics=once\ncategories.1.semantics=by_key\ncategories.1.key_scope=cell\n" +
		"family_info.class_seats=3,0\nfeedback.fields=x0,x1\nweights=off\nsafety.repeat_ratio=0.1\nnew.key=7\n")
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.FrontIndex != 1 || c.Fronts != 3 || len(c.RateKB) != 2 ||
		c.Classes[0].Semantics != headmill.AtMostOnce || c.Classes[0].MaxPerTitle != 3 ||
		c.Classes[1].KeyScope != headmill.ScopeCell || c.WeightsKnown || !c.RetryBudget || c.Classes[0].MaxRung != 1 {
		t.Errorf("config %+v", c)
	}
	for _, bad := range []string{"categories.count=9000000000", "family_info.class_seats=1,2,3\ncategories.count=1\n"} {
		if _, err := ParseSettings(bad); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
}

// FuzzDecode checks that the decoder neither panics on any input nor returns messages beside an error.
func FuzzDecode(f *testing.F) {
	tail, _ := hex.DecodeString(strings.ReplaceAll(nodeEntriesHex, " ", ""))
	f.Add(batch(1, tail, eventRecord(f, nodeListHex), eventRecord(f, nodesHex),
		eventRecord(f, requestHex), eventRecord(f, attemptEndedHex)))
	f.Add(batch(1, []byte("me=0\n"), eventRecord(f, "09 0300 0000000000000000 00000000 05000000")))
	f.Add(batch(1, nil))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, frame []byte) {
		if len(frame) > HeaderSize { // a length in the header must not make the decoder allocate more than the input has
			binary.LittleEndian.PutUint32(frame[8:], uint32(len(frame)-HeaderSize))
		}
		d := NewDecoder()
		d.SetFields(3, []string{"x0", "x1"})
		_, msgs, err := d.ReadBatch(bytes.NewReader(frame))
		if err != nil && msgs != nil {
			t.Errorf("%d messages beside error %v", len(msgs), err)
		}
	})
}
