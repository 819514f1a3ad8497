// Package orca reads and writes load reports in answers: the header field
// endpoint-load-metrics of Open Request Cost Aggregation (the xDS ORCA
// proposal and gRFC A51), in its TEXT and JSON forms. It is pure. Figures that
// were not told stay negative.
package orca

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Header is the field's name in lower case.
const Header = "endpoint-load-metrics"

// Load is what headmill's boxes report: streams that run or are being set up, and what is asked of the link
// and of the rack's uplink over what they give.
type Load struct {
	Present         bool
	Streams, X0, X1 float64
}

// Parse reads a field value. What is malformed or unknown is passed over, as the format asks: a load report is
// never a reason to lose an answer.
func Parse(v string) Load {
	l := Load{Streams: -1, X0: -1, X1: -1}
	form, rest, _ := strings.Cut(strings.TrimSpace(v), " ")
	switch form {
	case "TEXT":
		for rest != "" {
			var pair string
			pair, rest, _ = strings.Cut(rest, ",")
			if k, n, ok := strings.Cut(pair, "="); ok {
				if f, err := strconv.ParseFloat(strings.TrimSpace(n), 64); err == nil {
					l.set(strings.TrimPrefix(strings.TrimSpace(k), "named_metrics."), f)
				}
			}
		}
	case "JSON":
		var m struct {
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(rest), &m) == nil {
			for k, f := range m.Named {
				l.set(k, f)
			}
		}
	}
	return l
}

func (l *Load) set(k string, f float64) {
	if !(f >= 0) || math.IsInf(f, 0) {
		return
	}
	switch k {
	case "inflight":
		l.Streams, l.Present = f, true
	case "x0":
		l.X0, l.Present = f, true
	case "x1":
		l.X1, l.Present = f, true
	}
}

// Text writes a field value in the TEXT form.
func (l Load) Text() string {
	b := []byte("TEXT ")
	for _, f := range []struct {
		k string
		v float64
	}{{"inflight", l.Streams}, {"x0", l.X0}, {"x1", l.X1}} {
		if f.v < 0 {
			continue
		}
		if len(b) > 5 {
			b = append(b, ", "...)
		}
		b = append(append(append(b, "named_metrics."...), f.k...), '=')
		b = strconv.AppendFloat(b, f.v, 'f', 4, 64)
	}
	return string(b)
}
