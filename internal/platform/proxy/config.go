package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"headmill"
	"headmill/internal/platform/dns"
	"headmill/internal/wire"
)

// Config is what the platform tells a director in the file that PROXY_CONFIG names.
type Config struct {
	Name, Listen, DNS       string
	Seed                    uint64
	Sockets                 int     // descriptors that the process may hold
	MemoryMB                float64 // over which it is killed
	Cores                   float64 // that its processes get together
	Snapshot                dns.Snapshot
	Module                  headmill.Config
	ReportFields            []string // of a load report, in the order of the settings
	Vocabulary              dns.Vocabulary
	ClassIndex, TenantIndex map[string]int
	DeadlineMs              []float64 // longest wait of each class
	ConnectMs               float64   // for a connection to a media node
	KeepAliveMs             float64   // after which media nodes close a connection that rests
	DrainGraceMs            float64   // for which a drain that was told may be overlooked
}

type configFile struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DNS      string          `json:"dns"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads and checks a configuration file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("node: configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads and checks a configuration.
func Parse(text []byte) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, DNS: f.DNS, Sockets: f.Limits.Sockets, MemoryMB: f.Limits.MemoryMB,
		Cores: f.Limits.Cores, ClassIndex: map[string]int{}, TenantIndex: map[string]int{}}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not hexadecimal", f.Seed)
	}
	if c.Listen == "" || c.DNS == "" {
		return nil, fmt.Errorf("listen is %q and dns %q: both are needed", c.Listen, c.DNS)
	}
	if c.Snapshot, err = dns.ParseSnapshot(f.Known); err != nil {
		return nil, err
	}
	kv, err := Flatten(f.Settings)
	if err != nil {
		return nil, err
	}
	s, err := wire.ReadSettings(kv)
	if err != nil {
		return nil, err
	}
	c.Module, c.ReportFields = s.Config, s.Fields
	c.Vocabulary = dns.Vocabulary{Zones: splitList(kv["dcs"]), Kinds: splitList(kv["skus"])}
	if err := forEachObject(kv, "categories", func(i int, p string) error {
		c.ClassIndex[kv[p+"name"]] = i
		ms, err := strconv.ParseFloat(kv[p+"give_up_ms"], 64)
		if err != nil || !(ms > 0) {
			return fmt.Errorf("settings.%sgive_up_ms is %q", p, kv[p+"give_up_ms"])
		}
		c.DeadlineMs = append(c.DeadlineMs, ms)
		return nil
	}); err != nil {
		return nil, err
	}
	if err := forEachObject(kv, "tenants", func(i int, p string) error { c.TenantIndex[kv[p+"name"]] = i; return nil }); err != nil {
		return nil, err
	}
	if len(c.DeadlineMs) == 0 {
		return nil, errors.New("settings.categories is empty")
	}
	for _, f := range []struct {
		key  string
		to   *float64
		none float64 // where the settings state none
	}{{"allowed.connect_timeout_ms", &c.ConnectMs, slices.Min(c.DeadlineMs) / 4}, {"allowed.keepalive_ms", &c.KeepAliveMs, 1.5 * idleTimeoutMs},
		{"safety.drain_grace_ms", &c.DrainGraceMs, 0}} {
		*f.to = f.none
		if v, ok := kv[f.key]; ok {
			if *f.to, err = strconv.ParseFloat(v, 64); err != nil || !(*f.to >= 0) || math.IsInf(*f.to, 0) {
				return nil, fmt.Errorf("settings.%s is %q", f.key, v)
			}
		}
	}
	if c.ConnectMs == 0 {
		return nil, fmt.Errorf("settings.allowed.connect_timeout_ms is 0")
	}
	if c.Sockets == 0 {
		c.Sockets = 1024
	}
	if c.Sockets < 64 {
		return nil, fmt.Errorf("limits.sockets is %d; at least 64 are needed", c.Sockets)
	}
	if err := c.Module.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// each calls f for the items of a list of objects.
func forEachObject(kv map[string]string, key string, f func(i int, prefix string) error) error {
	n, err := strconv.Atoi(kv[key+".count"])
	if _, there := kv[key+".count"]; there && err != nil {
		return fmt.Errorf("settings.%s is no list of objects", key)
	}
	for i := range n {
		if err := f(i, fmt.Sprintf("%s.%d.", key, i)); err != nil {
			return err
		}
	}
	return nil
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// Flatten turns nested settings into the paths of the simulator's first message: a list of plain values is joined with
// commas, a list of objects has its length under .count and its items under .0, .1 and so on.
func Flatten(text []byte) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	kv := map[string]string{}
	flattenValue(kv, "", v)
	return kv, nil
}

func flattenValue(kv map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, x := range v {
			if path != "" {
				name = path + "." + name
			}
			flattenValue(kv, name, x)
		}
	case []any:
		var plain []string
		objects := false
		for i, x := range v {
			if _, ok := x.(map[string]any); ok {
				objects = true
				flattenValue(kv, fmt.Sprintf("%s.%d", path, i), x)
				continue
			}
			plain = append(plain, fmt.Sprint(x))
		}
		if objects {
			kv[path+".count"] = strconv.Itoa(len(v))
		} else {
			kv[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		kv[path] = fmt.Sprint(v)
	}
}
