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

// Config is the checked form of the file that PROXY_CONFIG names.
type Config struct {
	// Name is the name of this director, Listen the address to accept viewers on, DNS that of the discovery service.
	Name, Listen, DNS string

	Seed         uint64
	Sockets      int             // file descriptors that the process may hold
	MemoryMB     float64         // the process is killed above this; 0: not stated
	Cores        float64         // CPU limit for all of the director's processes together
	Snapshot     dns.Snapshot    // node list at the start
	Module       headmill.Config // settings of the decision module
	ReportFields []string        // names of the values in a load report, in the order of the settings
	Vocabulary   dns.Vocabulary  // names of zones and kinds of media nodes

	// ClassIndex and TenantIndex hold the position of each class and tenant in the settings, by name.
	ClassIndex, TenantIndex map[string]int

	DeadlineMs   []float64 // longest time that a viewer waits for an answer, by class
	ConnectMs    float64   // timeout of a connect to a media node
	KeepAliveMs  float64   // media nodes close a connection that has been idle for this long
	DrainGraceMs float64   // time for which an announced drain may still go unnoticed
}

// configFile is the JSON form of a configuration.
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
		return nil, fmt.Errorf("proxy: read configuration: %w", err)
	}
	cfg, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// Parse reads and checks a configuration. Errors name the offending key.
func Parse(text []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, DNS: file.DNS, Sockets: file.Limits.Sockets,
		MemoryMB: file.Limits.MemoryMB, Cores: file.Limits.Cores,
		ClassIndex: map[string]int{}, TenantIndex: map[string]int{}}
	var err error
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal 64-bit number", file.Seed)
	}
	if cfg.Listen == "" || cfg.DNS == "" {
		return nil, fmt.Errorf("listen is %q and dns is %q: both are required", cfg.Listen, cfg.DNS)
	}
	if cfg.Snapshot, err = dns.ParseSnapshot(file.Known); err != nil {
		return nil, err
	}
	kv, err := Flatten(file.Settings)
	if err != nil {
		return nil, err
	}
	settings, err := wire.ReadSettings(kv)
	if err != nil {
		return nil, err
	}
	cfg.Module, cfg.ReportFields = settings.Config, settings.Fields
	cfg.Vocabulary = dns.Vocabulary{Zones: splitList(kv["dcs"]), Kinds: splitList(kv["skus"])}
	if err := forEachObject(kv, "categories", func(i int, prefix string) error {
		cfg.ClassIndex[kv[prefix+"name"]] = i
		ms, err := strconv.ParseFloat(kv[prefix+"give_up_ms"], 64)
		if err != nil || !(ms > 0) {
			return fmt.Errorf("settings.%sgive_up_ms is %q", prefix, kv[prefix+"give_up_ms"])
		}
		cfg.DeadlineMs = append(cfg.DeadlineMs, ms)
		return nil
	}); err != nil {
		return nil, err
	}
	if err := forEachObject(kv, "tenants", func(i int, prefix string) error {
		cfg.TenantIndex[kv[prefix+"name"]] = i
		return nil
	}); err != nil {
		return nil, err
	}
	if len(cfg.DeadlineMs) == 0 {
		return nil, errors.New("settings.categories is empty: at least one class is required")
	}
	for _, setting := range []struct {
		key      string
		target   *float64
		fallback float64 // used where the settings do not contain the key
	}{{"allowed.connect_timeout_ms", &cfg.ConnectMs, slices.Min(cfg.DeadlineMs) / 4},
		{"allowed.keepalive_ms", &cfg.KeepAliveMs, 1.5 * idleTimeoutMs},
		{"safety.drain_grace_ms", &cfg.DrainGraceMs, 0}} {
		*setting.target = setting.fallback
		if text, ok := kv[setting.key]; ok {
			if *setting.target, err = strconv.ParseFloat(text, 64); err != nil || !(*setting.target >= 0) ||
				math.IsInf(*setting.target, 0) {
				return nil, fmt.Errorf("settings.%s is %q", setting.key, text)
			}
		}
	}
	if cfg.ConnectMs == 0 {
		return nil, fmt.Errorf("settings.allowed.connect_timeout_ms is 0: it must be positive")
	}
	if cfg.Sockets == 0 { // not stated
		cfg.Sockets = 1024
	}
	if cfg.Sockets < 64 {
		return nil, fmt.Errorf("limits.sockets is %d: at least 64 are required", cfg.Sockets)
	}
	if err := cfg.Module.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}

// forEachObject calls f with the index and the key prefix of each item of a flattened list of objects. An absent list
// has no items.
func forEachObject(kv map[string]string, key string, f func(i int, prefix string) error) error {
	count, err := strconv.Atoi(kv[key+".count"])
	if _, there := kv[key+".count"]; there && err != nil {
		return fmt.Errorf("settings.%s is no list of objects", key)
	}
	for i := range count {
		if err := f(i, fmt.Sprintf("%s.%d.", key, i)); err != nil {
			return err
		}
	}
	return nil
}

// splitList splits a flattened list of plain values.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// Flatten turns nested settings into the key paths that wire.ReadSettings reads, those of the simulator's first message:
// a list of plain values is joined with commas; a list of objects has its length under .count and its items under .0, .1
// and so on.
func Flatten(text []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var settings any
	if err := decoder.Decode(&settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	kv := map[string]string{}
	flattenValue(kv, "", settings)
	return kv, nil
}

// flattenValue adds a value and all that it contains to kv under path.
func flattenValue(kv map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, member := range value {
			if path != "" {
				name = path + "." + name
			}
			flattenValue(kv, name, member)
		}
	case []any:
		var plain []string
		objects := false
		for i, item := range value {
			if _, ok := item.(map[string]any); ok {
				objects = true
				flattenValue(kv, fmt.Sprintf("%s.%d", path, i), item)
				continue
			}
			plain = append(plain, fmt.Sprint(item))
		}
		if objects {
			kv[path+".count"] = strconv.Itoa(len(value))
		} else {
			kv[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		kv[path] = fmt.Sprint(value)
	}
}
