// Package rehearse plays a scripted bad day against real directors: it draws
// viewers, injects the script's troubles into boxes, relays and processes, and
// hands what the relays saw to the auditor.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Script is a bad day. Troubles bear the names and columns under which operators record them.
type Script struct {
	Seconds            float64        `toml:"seconds"`
	Rate               float64        `toml:"rate"` // new viewers a second
	Directors          int            `toml:"directors"`
	Boxes              int            `toml:"boxes"`
	Titles             int            `toml:"titles"`
	LifeS              float64        `toml:"life_s"`
	Seed               uint64         `toml:"seed"`
	DuplicateFraction  float64        `toml:"double"`   // share of viewers that ask twice at the same moment
	SessionAPIFraction float64        `toml:"socket"`   // share of viewers that come over the session API
	MaxRetryAfterS     float64        `toml:"advice_s"` // the longest advice that a refusal may give
	Gate               string         `toml:"gate"`     // "off": the limits pass all, for comparison
	CapacityFactor     float64        `toml:"room"`     // part of their links, uplinks and places that the boxes have; 0: all
	OnlyTenant         string         `toml:"only"`     // viewers of other brands stay away
	DirectorSettings   map[string]any `toml:"settings"` // over the directors' own, in their form
	NodeSettings       map[string]any `toml:"box"`      // over what all boxes share (box.Config)
	Troubles           []Trouble      `toml:"trouble"`
}

// overlay puts a table of the script over what stands in v.
func applyOverrides(target any, table map[string]any) error {
	if len(table) == 0 {
		return nil
	}
	text, err := toml.Marshal(table)
	if err == nil {
		err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	}
	if err != nil {
		return fmt.Errorf("script: settings or box: %w", err)
	}
	return nil
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	Name      string  `toml:"name"`
	AtS       float64 `toml:"at_s"`
	LenS      float64 `toml:"len_s"`
	Fraction  float64 `toml:"part"` // share of boxes or directors; at least one
	Magnitude float64 `toml:"size"`
	Extra     float64 `toml:"extra"`
	Targets   []int   `toml:"on"` // these, in place of a draw
}

// played are the troubles that this version can play, and whether they fall on directors.
var affectsDirectors = map[string]bool{"crash": false, "vanish": false, "hang": false, "fast_errors": false, "slow": false,
	"answer_lost": false, "report_late": false, "burst": false, "balancer_crash": true, "drain": false,
	"cold_start": false, "retry_flood": false,
	"origin_slow": false}

// later are recorded troubles that the form holds and this version does not play yet.
var unsupportedTroubles = []string{"neighbour", "hot_key", "zone_cut", "balancer_roll", "report_gap", "shared_slow"}

// BuiltIn is the day that rehearse plays without a script.
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

// Parse reads a script; what it leaves out is as in the built-in day, but for the troubles.
func Parse(text string) (*Script, error) {
	script := Script{Seconds: 30, Rate: 30, Directors: 2, Boxes: 8, Titles: 9, LifeS: 9, Seed: 1, MaxRetryAfterS: 1}
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
	if script.Seconds <= 0 || script.Rate <= 0 || script.Directors < 1 || script.Boxes < 3 || script.Titles < 1 || script.LifeS <= 0 {
		return nil, errors.New("script: seconds, rate, titles, life_s must be positive, directors 1 and boxes 3 at least")
	}
	for i, trouble := range script.Troubles {
		if _, ok := affectsDirectors[trouble.Name]; !ok {
			if slices.Contains(unsupportedTroubles, trouble.Name) {
				return nil, fmt.Errorf("script: trouble %d: %q is known and not played by this version", i+1, trouble.Name)
			}
			return nil, fmt.Errorf("script: trouble %d: no trouble is called %q", i+1, trouble.Name)
		}
		if trouble.AtS < 0 || trouble.LenS <= 0 || trouble.Fraction < 0 || trouble.Fraction > 1 {
			return nil, fmt.Errorf("script: trouble %d (%s): at_s 0 or more, len_s over 0, part 0 to 1", i+1, trouble.Name)
		}
		if slices.Contains([]string{"slow", "fast_errors", "report_late", "burst", "retry_flood", "origin_slow"}, trouble.Name) && trouble.Magnitude <= 0 {
			return nil, fmt.Errorf("script: trouble %d (%s) needs a size", i+1, trouble.Name)
		}
		limit := script.Boxes
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

func (s *Script) String() string {
	var names []string
	for _, trouble := range s.Troubles {
		names = append(names, trouble.Name)
	}
	return fmt.Sprintf("%.0f s, %.0f viewers/s, %d directors, %d boxes, seed %d: %s", s.Seconds, s.Rate, s.Directors,
		s.Boxes, s.Seed, strings.Join(names, ", "))
}

// Cut makes the day shorter or longer. Troubles that would begin after its end are left out, and none goes on
// past it.
func (s *Script) Cut(seconds float64) {
	s.Seconds = seconds
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.AtS >= seconds })
	for i := range s.Troubles {
		s.Troubles[i].LenS = min(s.Troubles[i].LenS, seconds-s.Troubles[i].AtS)
	}
}
