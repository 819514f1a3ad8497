// Package scenario runs a scripted load with faults against real directors and
// stand-ins, for the command "headmill rehearse". Its input is a script in TOML.
// It generates viewers, injects the script's troubles (faults) into media nodes,
// relays and processes, and returns the audit report on what the relays
// recorded.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Script describes a scenario. Troubles are its injected faults; their names and keys are those of the operators'
// incident records.
type Script struct {
	Seconds            float64        `toml:"seconds"` // length of the scenario
	Rate               float64        `toml:"rate"`    // new viewers per second
	Directors          int            `toml:"directors"`
	Nodes              int            `toml:"boxes"` // media nodes
	Titles             int            `toml:"titles"`
	TitleDurationS     float64        `toml:"life_s"` // duration of the shortest titles
	Seed               uint64         `toml:"seed"`
	DuplicateFraction  float64        `toml:"double"`   // share of viewers that send their first request twice
	SessionAPIFraction float64        `toml:"socket"`   // share of viewers that use the session API
	MaxRetryAfterS     float64        `toml:"advice_s"` // longest Retry-After of a refusal
	AdmissionControl   string         `toml:"gate"`     // "off": admission control passes all requests, for comparison
	CapacityFactor     float64        `toml:"room"`     // factor on the nodes' links, uplinks and session limits; 0: unchanged
	OnlyTenant         string         `toml:"only"`     // if set, there are viewers of this tenant only
	DirectorSettings   map[string]any `toml:"settings"` // overrides of the directors' settings, under their keys
	NodeSettings       map[string]any `toml:"box"`      // overrides of the nodes' medianode.Config
	Troubles           []Trouble      `toml:"trouble"`
}

// applyOverrides decodes a table of the script into target; keys that the table does not have keep their values.
func applyOverrides(target any, table map[string]any) error {
	if len(table) == 0 {
		return nil
	}
	text, err := toml.Marshal(table)
	if err == nil {
		err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	}
	if err != nil {
		return fmt.Errorf("script: invalid table settings or box: %w", err)
	}
	return nil
}

// Trouble is one injected fault of a scenario.
type Trouble struct {
	Name      string  `toml:"name"`
	AtS       float64 `toml:"at_s"`  // start, in seconds since the scenario's start
	DurationS float64 `toml:"len_s"` // duration
	Fraction  float64 `toml:"part"`  // share of media nodes or directors that are affected; at least one is
	Magnitude float64 `toml:"size"`  // strength; its meaning depends on the trouble
	Extra     float64 `toml:"extra"` // accepted and not used
	Targets   []int   `toml:"on"`    // numbers of the affected nodes or directors; if empty, they are chosen at random
}

// affectsDirectors has an entry for each trouble that this version supports: true if the trouble affects directors, false
// if it affects media nodes or viewers. Parse rejects names without an entry.
var affectsDirectors = map[string]bool{"crash": false, "vanish": false, "hang": false, "fast_errors": false,
	"slow": false, "answer_lost": false, "report_late": false, "burst": false, "balancer_crash": true, "drain": false,
	"cold_start": false, "retry_flood": false, "origin_slow": false}

// unsupportedTroubles are troubles that operators record and this version does not support yet.
var unsupportedTroubles = []string{"neighbour", "hot_key", "zone_cut", "balancer_roll", "report_gap", "shared_slow"}

// BuiltIn is the script that is run by default. Its text is external. It has most of the supported troubles, but not
// retry_flood and origin_slow.
const BuiltIn = `# A bad day of half a minute: every trouble that this version plays, some of them together.
seconds = 30
rate = 30
directors = 2
boxes = 8
titles = 9
life_s = 9
seed = 1
double = 0.03
socket = 0.3

[[trouble]]
name = "slow"
at_s = 3
len_s = 5
part = 0.2
size = 2.5

[[trouble]]
name = "report_late"
at_s = 4
len_s = 8
size = 1.5

[[trouble]]
name = "crash"
at_s = 6
len_s = 5
part = 0.13

[[trouble]]
name = "fast_errors"
at_s = 8
len_s = 4
part = 0.13
size = 0.6

[[trouble]]
name = "drain"
at_s = 10
len_s = 6
part = 0.13

[[trouble]]
name = "hang"
at_s = 12
len_s = 4
part = 0.13

[[trouble]]
name = "answer_lost"
at_s = 14
len_s = 3
part = 0.13

[[trouble]]
name = "balancer_crash"
at_s = 16
len_s = 3
part = 0.5

[[trouble]]
name = "burst"
at_s = 20
len_s = 4
size = 1.8
extra = 0.5

[[trouble]]
name = "vanish"
at_s = 21
len_s = 5
part = 0.13

[[trouble]]
name = "cold_start"
at_s = 22
len_s = 1
part = 0.13
`

// Parse reads a script. A script without seconds, rate, directors, boxes, titles, life_s or seed has those of the
// built-in script, and advice_s is 1 by default; all other keys, and the troubles, are zero or empty if left out.
func Parse(text string) (*Script, error) {
	script := Script{Seconds: 30, Rate: 30, Directors: 2, Nodes: 8, Titles: 9, TitleDurationS: 9, Seed: 1, MaxRetryAfterS: 1}
	decoder := toml.NewDecoder(bytes.NewReader([]byte(text))).DisallowUnknownFields()
	if err := decoder.Decode(&script); err != nil {
		var unknownKeys *toml.StrictMissingError
		var syntaxErr *toml.DecodeError
		switch {
		case errors.As(err, &unknownKeys):
			return nil, fmt.Errorf("script: unknown keys:\n%s", unknownKeys.String())
		case errors.As(err, &syntaxErr):
			row, _ := syntaxErr.Position()
			return nil, fmt.Errorf("script: line %d: %s", row, syntaxErr.Error())
		}
		return nil, fmt.Errorf("script: %w", err)
	}
	if script.Seconds <= 0 || script.Rate <= 0 || script.Directors < 1 || script.Nodes < 3 || script.Titles < 1 ||
		script.TitleDurationS <= 0 {
		return nil, errors.New("script: seconds, rate, titles and life_s must be positive, directors at least 1 and boxes at least 3")
	}
	for i, trouble := range script.Troubles {
		if _, ok := affectsDirectors[trouble.Name]; !ok {
			if slices.Contains(unsupportedTroubles, trouble.Name) {
				return nil, fmt.Errorf("script: trouble %d: %q is not supported by this version", i+1, trouble.Name)
			}
			return nil, fmt.Errorf("script: trouble %d: unknown name %q", i+1, trouble.Name)
		}
		if trouble.AtS < 0 || trouble.DurationS <= 0 || trouble.Fraction < 0 || trouble.Fraction > 1 {
			return nil, fmt.Errorf("script: trouble %d (%s): at_s must be at least 0, len_s positive and part from 0 to 1",
				i+1, trouble.Name)
		}
		if slices.Contains([]string{"slow", "fast_errors", "report_late", "burst", "retry_flood", "origin_slow"},
			trouble.Name) && trouble.Magnitude <= 0 {
			return nil, fmt.Errorf("script: trouble %d (%s): size must be positive", i+1, trouble.Name)
		}
		limit := script.Nodes
		if affectsDirectors[trouble.Name] {
			limit = script.Directors
		}
		for _, target := range trouble.Targets {
			if target < 0 || target >= limit {
				return nil, fmt.Errorf("script: trouble %d (%s): on has %d, there are %d", i+1, trouble.Name, target, limit)
			}
		}
	}
	return &script, nil
}

// String returns a summary in one line.
func (s *Script) String() string {
	var names []string
	for _, trouble := range s.Troubles {
		names = append(names, trouble.Name)
	}
	return fmt.Sprintf("%.0f s, %.0f viewers/s, %d directors, %d boxes, seed %d: %s", s.Seconds, s.Rate, s.Directors,
		s.Nodes, s.Seed, strings.Join(names, ", "))
}

// Cut sets the length of the scenario. Troubles that would begin after its end are removed, and the others end with it at
// the latest.
func (s *Script) Cut(seconds float64) {
	s.Seconds = seconds
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.AtS >= seconds })
	for i := range s.Troubles {
		s.Troubles[i].DurationS = min(s.Troubles[i].DurationS, seconds-s.Troubles[i].AtS)
	}
}
