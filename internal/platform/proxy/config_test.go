package proxy

import (
	"math"
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
	cfg, err := Parse([]byte(goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	module := &cfg.Module
	if cfg.Seed != 0x8c1f || cfg.ConnectMs != 120.5 || cfg.Sockets != 256 || cfg.Cores != 0.5 ||
		cfg.ClassIndex["free"] != 1 || cfg.TenantIndex["b"] != 1 || cfg.DeadlineMs[1] != 5000 ||
		cfg.Vocabulary.Zones[1] != "west" || cfg.Vocabulary.Kinds[1] != "big" || len(cfg.ReportFields) != 2 ||
		module.FrontIndex != 1 || module.Fronts != 3 || module.RateKB[1] != 200.5 ||
		module.Classes[1].MinRung != 1 || module.Classes[1].RateScale != 0.7 {
		t.Fatalf("%+v", cfg)
	}
}

// The error about an invalid configuration names the key.
func TestConfigErrors(t *testing.T) {
	for _, test := range []struct{ old, replacement, key string }{
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
		text := strings.Replace(goodConfig, test.old, test.replacement, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), test.key) {
			t.Errorf("%s: %v, want an error that names %s", test.replacement, err, test.key)
		}
	}
	if _, err := Load("/nonexistent"); err == nil {
		t.Error("a missing file is accepted")
	}
}

// Two directors with different settings in one process: classes, tenants, retry advice, deadlines and attempt limits of
// one do not affect the other.
func TestTwoDirectorsWithDifferentSettings(t *testing.T) {
	first := startHarness(t, 2, nil)
	second := startHarness(t, 2, func(cfg *Config) {
		cfg.ClassIndex, cfg.TenantIndex = map[string]int{"gold": 0, "paid": 1}, map[string]int{"zeta": 0}
		cfg.DeadlineMs = []float64{1000, 500}
		// The paid class is repeatable here.
		cfg.Module.Classes[0].Semantics, cfg.Module.Classes[1].Semantics = headmill.AtMostOnce, headmill.Repeatable
		cfg.Module.MaxRetryAfterMs, cfg.Module.MaxAttempts = 123, 2
	})
	sendSetup := func(h *harness, class, tenant, left string) (*viewerClient, receivedLine) {
		v := h.dialViewer()
		v.send(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%s","tenant":"%s","key":"7f3a9c21e0b4d655","extras":"home:0;copies:2;top:0"},"sdp":"x"}`,
			id1, class, left, tenant)
		_, setup := h.expectSetup()
		setup.sendRelease(causeError)
		if class == "paid" && h == second { // the second of its two attempts
			_, setup = h.expectSetup()
			setup.sendRelease(causeError)
		}
		return v, v.receive()
	}
	if _, reply := sendSetup(first, "paid", "acme", "3000"); reply.Cause != causeError || first.stats().Attempts != 1 {
		t.Errorf("a paid set-up at the first director: %+v, %+v", reply, first.stats())
	}
	if _, reply := sendSetup(second, "paid", "zeta", "500"); reply.Cause != causeCongested ||
		reply.Fields["wait"] != "123" || second.stats().Attempts != 2 {
		t.Errorf("a repeatable set-up at the second director: %+v, %+v", reply, second.stats())
	}
	for _, test := range []struct {
		director            *harness
		class, tenant, left string
	}{{first, "gold", "acme", "500"}, {first, "paid", "zeta", "500"},
		{second, "free", "zeta", "500"}, {second, "paid", "acme", "500"}, {second, "paid", "zeta", "3000"}} {
		v := test.director.dialViewer()
		v.send(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%s","tenant":"%s","key":"7f3a9c21e0b4d655","extras":"home:0;copies:2;top:0"},"sdp":"x"}`,
			id2, test.class, test.left, test.tenant)
		if reply := v.receive(); reply.Type != "release" || reply.Cause != causeInvalidField {
			t.Errorf("%s of %s within %s ms: %+v", test.class, test.tenant, test.left, reply)
		}
	}
}

// Timeouts come from the settings; a missing one is derived from other settings.
func TestTimeoutsFromTheSettings(t *testing.T) {
	cfg, err := Parse([]byte(goodConfig))
	if err != nil || cfg.ConnectMs != 120.5 || cfg.KeepAliveMs != 1.5*idleTimeoutMs || cfg.DrainGraceMs != 0 {
		t.Fatalf("%+v, %v", cfg, err)
	}
	text := strings.Replace(goodConfig, `"connect_timeout_ms":120.5`, `"keepalive_ms":15000`, 1)
	text = strings.Replace(text, `"tenants"`, `"safety":{"drain_grace_ms":400,"tip_after_ms":1500},"tenants"`, 1)
	cfg, err = Parse([]byte(text))
	if err != nil || cfg.ConnectMs != 750 || cfg.KeepAliveMs != 15000 || cfg.DrainGraceMs != 400 ||
		cfg.Module.ColdWindowMs != 1500 {
		t.Fatalf("%+v, %v", cfg, err)
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
	for _, intervalMs := range []float64{0, 100, 1250, 4500, 60000} {
		for _, connectMs := range []float64{20, 250, 5000} {
			cfg, err := Parse([]byte(goodConfig))
			if err != nil {
				t.Fatal(err)
			}
			cfg.Module.ReportIntervalMs, cfg.Module.ReportDelayMs, cfg.ConnectMs = intervalMs, intervalMs/2, connectMs
			monitor := healthTiming(cfg).Config()
			// In the silence before that, two connections in a row may come up late.
			probes := 2*math.Min(connectMs+1000, 1500) + monitor.MinRetryMs + sweepIntervalMs
			if monitor.NodeTimeoutMs+2*sweepIntervalMs > releaseRetentionMs || monitor.StreamTimeoutMs <= 0 ||
				monitor.NodeTimeoutMs-monitor.StreamTimeoutMs < probes || monitor.OpenTimeoutMs < math.Min(connectMs+1000, 1500) {
				t.Errorf("report interval %v ms, connect timeout %v ms: silent after %v ms, lost after %v ms",
					intervalMs, connectMs, monitor.StreamTimeoutMs, monitor.NodeTimeoutMs)
			}
		}
	}
}

// A release that was lost comes again before it is due, also if a connection for it fails and the next one comes up late, under any
// connect timeout.
func TestRedeliveryTimesUnderAnySettings(t *testing.T) {
	const releaseLimitMs = 1000.0 // from the media node's release to the viewer's
	for _, connectMs := range []float64{1, 20, 250, 750, 1000, 5000, 60000} {
		cfg := &Config{ConnectMs: connectMs}
		times, lateMs := redeliveryConfig(cfg), healthTiming(cfg).ProbeTimeoutMs()
		secondDialMs := math.Max(2*times.RetryMs, lateMs) // after the first
		worstMs := times.RefreshMs + secondDialMs + lateMs + 2*sweepIntervalMs
		if worstMs > releaseRetentionMs || times.RefreshMs < 3000 || times.SettleMs+2*sweepIntervalMs > releaseLimitMs/2 {
			t.Errorf("connect timeout %v ms: a lost release comes again after %v ms: %+v", connectMs, worstMs, times)
		}
		t.Logf("connect timeout %v ms: refresh %v ms, worst case %v ms", connectMs, times.RefreshMs, worstMs)
	}
}
