package cmcd

import (
	"math"
	"net/url"
	"reflect"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	r := Parse(`bl=21300,br=3200,bs,cid="faec5fc2-ac30-11ea-bb37-0242ac130002",d=4004,mtp=25400,rtp=15000,` +
		`sid="6e2fb550-c457-11e9-bb97-0800200c9a66",su,tb=6000,pr=1.08,com.example-x="a,b=\"c\"",nor="..%2F300kbps%2Ftrack.m4v"`)
	if r.Buffer != 21300 || r.Bitrate != 3200 || !r.Starved || !r.Startup || r.Throughput != 25400 || r.RequestedThroughput != 15000 ||
		r.MaxBitrate != 6000 || r.Rate != 1.08 || r.Duration != 4004 || r.Session != "6e2fb550-c457-11e9-bb97-0800200c9a66" ||
		r.Content != "faec5fc2-ac30-11ea-bb37-0242ac130002" || r.Version != 1 || r.SequenceNumber != -1 || !math.IsNaN(r.TimestampMs) {
		t.Errorf("%+v", r)
	}
	if len(r.Invalid) != 0 || len(r.Unknown) != 2 || r.Unknown["com.example-x"] != `"a,b=\"c\""` {
		t.Errorf("bad %v, unknown %v", r.Invalid, r.Unknown)
	}
	r = Parse(`v=2,e=ps,ts=1700000000123,sn=7,sta=r,bsd=340,msd=820,pt=12000,br=(1000;v 128;a),bs=?0`)
	if r.Version != 2 || r.Event != "ps" || r.TimestampMs != 1700000000123 || r.SequenceNumber != 7 || r.State != Rebuffering ||
		r.StallMs != 340 || r.StartDelayMs != 820 || r.Playhead != 12000 || r.Bitrate != 1000 || r.Starved || len(r.Invalid) != 0 {
		t.Errorf("%+v", r)
	}
}

// Invalid keys are listed by name, and the other keys are still used.
func TestInvalidKeys(t *testing.T) {
	for text, bad := range map[string]string{
		"bl=x,br=1":        "bl",
		"bl=-1,br=1":       "bl",
		"bl=NaN,br=1":      "bl",
		"bl=1e999,br=1":    "bl",
		"bl,br=1":          "bl",
		"sid=abc,br=1":     "sid",
		`sid="a\x",br=1`:   "sid",
		`br=1,sid="no end`: "sid",
		"bs=maybe,br=1":    "bs",
		"v=3,br=1":         "v",
		"sn=-4,br=1":       "sn",
		"sta=x,br=1":       "sta",
		"e=toolong,br=1":   "e",
		"=4,br=1":          "(empty)",
		"b l=4,br=1":       "b l",
		"cid=\"" + strings.Repeat("x", 65) + "\",br=1": "cid",
	} {
		r := Parse(text)
		if len(r.Invalid) != 1 || r.Invalid[0] != bad || r.Bitrate != 1 {
			t.Errorf("%q: bad %q, br %v", text, r.Invalid, r.Bitrate)
		}
	}
	long := Parse("br=1," + strings.Repeat("zz=1,", 100))
	if len(long.Invalid) != 1 || long.Invalid[0] != "(more)" || long.Bitrate != 1 {
		t.Errorf("%v", long.Invalid)
	}
	if r := Parse("br=1," + strings.Repeat("x", 5000)); len(r.Invalid) != 2 || r.Bitrate != 1 {
		t.Errorf("%v", r.Invalid)
	}
	if r := Parse(""); len(r.Invalid) != 0 || !math.IsNaN(r.Bitrate) {
		t.Errorf("%+v", r)
	}
}

func TestQueryAndHeaders(t *testing.T) {
	text := `bl=100,sid="a b"`
	q, ok := FromQuery("token=x&CMCD=" + url.QueryEscape(text) + "&y=1")
	if !ok || q.Buffer != 100 || q.Session != "a b" {
		t.Errorf("%+v", q)
	}
	if _, ok := FromQuery("token=x"); ok {
		t.Error("a record without CMCD data")
	}
	if r, ok := FromQuery("CMCD=%zz"); !ok || len(r.Invalid) != 1 {
		t.Errorf("%+v", r)
	}
	fields := map[string]string{"CMCD-Request": "bl=100,mtp=7", "CMCD-Session": `sid="a b"`, "CMCD-Status": "bs"}
	h, ok := FromHeaders(func(k string) string { return fields[k] })
	if !ok || h.Buffer != 100 || h.Session != "a b" || !h.Starved {
		t.Errorf("%+v", h)
	}
	if _, ok := FromHeaders(func(string) string { return "" }); ok {
		t.Error("a record without CMCD data")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`bl=21300,br=3200,bs,cid="x",com.a-b="q,\"",v=2,sn=1,sta=p`)
	f.Add(`br=(1;v 2;a),,=,"`)
	f.Fuzz(func(t *testing.T, text string) {
		r := Parse(text)
		for _, v := range []float64{r.Bitrate, r.Buffer, r.Throughput, r.RequestedThroughput, r.MaxBitrate, r.Rate, r.Deadline, r.Duration, r.TimestampMs,
			r.StallMs, r.StartDelayMs, r.Playhead} {
			if v < 0 || math.IsInf(v, 0) {
				t.Fatalf("number %v of %q is negative or infinite", v, text)
			}
		}
		if len(r.Invalid) > MaxKeys || len(r.Unknown) > MaxKeys || len(r.Session) > 64 || len(r.Content) > 64 {
			t.Fatalf("%q: bounds exceeded: %+v", text, r)
		}
		if again := Parse(text); !reflect.DeepEqual(again.Unknown, r.Unknown) || len(again.Invalid) != len(r.Invalid) {
			t.Fatalf("%q gives two different results", text)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Parse(`bl=21300,br=3200,bs,cid="faec5fc2",mtp=25400,rtp=15000,sid="6e2fb550-c457",sn=12,ts=1700000000123,tb=6000`)
	}
}
