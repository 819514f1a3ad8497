package proxy

import (
	"strings"
	"testing"

	"headmill"
)

const goodConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f","dns":"127.0.0.1:53",
	"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"no":0,"items":[]},
	"settings":{"me":1,"replicas_of_me":3,"zone":0,"dcs":["east","west"],"skus":["std","big"],
	"allowed":{"max_attempts":3,"connect_timeout_ms":120.5},
	"categories":[{"name":"paid","give_up_ms":3000.0,"semantics":"once"},{"name":"free","give_up_ms":5000,"semantics":"repeatable"}],
	"tenants":[{"name":"a"},{"name":"b"}],"feedback":{"fields":["outstanding","x0"]},
	"family_info":{"level_kb":[100,200.5],"ladder_worth":[0.5,1],"cells":3,"racks":1,"floor_by_class":[0,1],"top_by_class":[1,1],"scale_by_class":[1,0.7]}}}`

// All parts of a configuration are read.
func TestConfig(t *testing.T) {
	c, err := Parse([]byte(goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	m := &c.Module
	if c.Seed != 0x8c1f || c.ConnectMs != 120.5 || c.Sockets != 256 || c.Cores != 0.5 || c.ClassIndex["free"] != 1 || c.TenantIndex["b"] != 1 ||
		c.DeadlineMs[1] != 5000 || c.Vocabulary.Zones[1] != "west" || c.Vocabulary.Kinds[1] != "big" || len(c.ReportFields) != 2 ||
		m.Self != 1 || m.Fronts != 3 || m.RateKB[1] != 200.5 || m.Classes[1].MinRung != 1 || m.Classes[1].RateScale != 0.7 {
		t.Fatalf("%+v", c)
	}
}

// The error about an invalid configuration names the key.
func TestConfigErrors(t *testing.T) {
	for _, f := range []struct{ was, is, key string }{
		{`"seed":"8c1f"`, `"seed":"zz"`, "seed"},
		{`"listen":"127.0.0.1:0"`, `"listen":""`, "listen"},
		{`"dns":"127.0.0.1:53"`, `"dns":""`, "dns"},
		{`"sockets":256`, `"sockets":8`, "limits.sockets"},
		{`"sockets":256`, `"sockets":"many"`, "limits.sockets"},
		{`"items":[]`, `"items":7`, "known"},
		{`"give_up_ms":3000.0`, `"give_up_ms":0`, "categories.0.give_up_ms"},
		{`"give_up_ms":5000`, `"give_up_ms":"soon"`, "categories.1.give_up_ms"},
		{`"connect_timeout_ms":120.5`, `"connect_timeout_ms":-1`, "allowed.connect_timeout_ms"},
		{`"max_attempts":3`, `"max_attempts":0`, "MaxAttempts"},
		{`"cells":3`, `"cells":"x"`, "family_info.cells"},
		{`"level_kb":[100,200.5]`, `"level_kb":[]`, "RateKB"},
		{`"settings":{`, `"settings":[{`, "configuration"},
	} {
		text := strings.Replace(goodConfig, f.was, f.is, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), f.key) {
			t.Errorf("%s: %v, want an error that names %s", f.is, err, f.key)
		}
	}
	if _, err := Load("/nonexistent"); err == nil {
		t.Error("a missing file is accepted")
	}
}

// Two directors with different settings in one process: classes, tenants, retry advice, deadlines and attempt limits of
// one do not affect the other.
func TestTwoDirectorsWithDifferentSettings(t *testing.T) {
	a := startHarness(t, 2, nil)
	b := startHarness(t, 2, func(c *Config) {
		c.ClassIndex, c.TenantIndex = map[string]int{"gold": 0, "paid": 1}, map[string]int{"zeta": 0} // "paid" is repeatable here
		c.DeadlineMs = []float64{1000, 500}
		c.Module.Classes[0].Semantics, c.Module.Classes[1].Semantics = headmill.AtMostOnce, headmill.Repeatable
		c.Module.MaxRetryAfterMs, c.Module.MaxAttempts = 123, 2
	})
	ask := func(r *harness, class, tenant, left string) (*viewerClient, receivedLine) {
		v := r.dialViewer()
		v.send(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%s","tenant":"%s","key":"7f3a9c21e0b4d655","extras":"home:0;copies:2;top:0"},"sdp":"x"}`,
			id1, class, left, tenant)
		_, setup := r.expectSetup()
		setup.sendRelease(causeError)
		if class == "paid" && r == b { // the second of its two attempts
			_, setup = r.expectSetup()
			setup.sendRelease(causeError)
		}
		return v, v.receive()
	}
	if _, e := ask(a, "paid", "acme", "3000"); e.Cause != causeError || a.stats().Attempts != 1 {
		t.Errorf("a paid set-up at the first director: %+v, %+v", e, a.stats())
	}
	if _, e := ask(b, "paid", "zeta", "500"); e.Cause != causeCongested || e.Fields["wait"] != "123" || b.stats().Attempts != 2 {
		t.Errorf("a repeatable set-up at the second director: %+v, %+v", e, b.stats())
	}
	for _, x := range []struct {
		r                   *harness
		class, tenant, left string
	}{{a, "gold", "acme", "500"}, {a, "paid", "zeta", "500"}, {b, "free", "zeta", "500"}, {b, "paid", "acme", "500"},
		{b, "paid", "zeta", "3000"}} {
		v := x.r.dialViewer()
		v.send(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%s","tenant":"%s","key":"7f3a9c21e0b4d655","extras":"home:0;copies:2;top:0"},"sdp":"x"}`,
			id2, x.class, x.left, x.tenant)
		if reply := v.receive(); reply.Type != "release" || reply.Cause != causeInvalidField {
			t.Errorf("%s of %s within %s ms: %+v", x.class, x.tenant, x.left, reply)
		}
	}
}

// Timeouts come from the settings; a missing one is derived from other settings.
func TestTimeoutsFromTheSettings(t *testing.T) {
	c, err := Parse([]byte(goodConfig))
	if err != nil || c.ConnectMs != 120.5 || c.KeepAliveMs != 1.5*idleTimeoutMs || c.DrainGraceMs != 0 {
		t.Fatalf("%+v, %v", c, err)
	}
	text := strings.Replace(goodConfig, `"connect_timeout_ms":120.5`, `"keepalive_ms":15000`, 1)
	text = strings.Replace(text, `"tenants"`, `"safety":{"drain_grace_ms":400,"tip_after_ms":1500},"tenants"`, 1)
	c, err = Parse([]byte(text))
	if err != nil || c.ConnectMs != 750 || c.KeepAliveMs != 15000 || c.DrainGraceMs != 400 || c.Module.ColdWindowMs != 1500 {
		t.Fatalf("%+v, %v", c, err)
	}
	if _, err := Parse([]byte(strings.Replace(goodConfig, `"connect_timeout_ms":120.5`, `"connect_timeout_ms":0`, 1))); err == nil {
		t.Error("a connect timeout of 0 is accepted")
	}
	if _, err := Parse([]byte(strings.Replace(goodConfig, `"categories":`, `"other":`, 1))); err == nil {
		t.Error("settings without a class are accepted")
	}
}

// Sessions of a media node that has vanished are given up in time to notify their viewers, under any settings.
func TestSessionLossIsReportedInTime(t *testing.T) {
	for _, tell := range []float64{0, 100, 1250, 4500, 60000} {
		for _, connect := range []float64{20, 250, 5000} {
			c, err := Parse([]byte(goodConfig))
			if err != nil {
				t.Fatal(err)
			}
			c.Module.ReportIntervalMs, c.Module.ReportDelayMs, c.ConnectMs = tell, tell/2, connect
			w := healthConfig(c)
			if w.NodeTimeoutMs+2*sweepIntervalMs > releaseRetentionMs || w.NodeTimeoutMs <= w.StreamTimeoutMs || w.StreamTimeoutMs <= 0 {
				t.Errorf("report interval %v ms, connect timeout %v ms: silent after %v ms, lost after %v ms",
					tell, connect, w.StreamTimeoutMs, w.NodeTimeoutMs)
			}
		}
	}
}
