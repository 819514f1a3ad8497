// Package orca parses and formats load reports in HTTP responses: the header
// field endpoint-load-metrics of Open Request Cost Aggregation (the xDS ORCA
// proposal and gRFC A51), in its TEXT and JSON forms. It has no side effects.
// Metrics that are absent are negative.
package orca

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Header is the field's name in lower case.
const Header = "endpoint-load-metrics"

// Load is a media node's load report: its streams, running or being set up, and the load of its link (metric x0) and
// of its rack's uplink (metric x1), each as the ratio of demand to capacity.
type Load struct {
	Present                       bool // at least one of the metrics was reported
	Streams, LinkLoad, UplinkLoad float64
}

// Parse parses a field value. Malformed and unknown parts are ignored, as the format requires: a load report must never
// cause a response to be rejected.
func Parse(value string) Load {
	l := Load{Streams: -1, LinkLoad: -1, UplinkLoad: -1}
	form, rest, _ := strings.Cut(strings.TrimSpace(value), " ")
	switch form {
	case "TEXT":
		for rest != "" {
			var pair string
			pair, rest, _ = strings.Cut(rest, ",")
			if key, number, ok := strings.Cut(pair, "="); ok {
				if parsed, err := strconv.ParseFloat(strings.TrimSpace(number), 64); err == nil {
					l.set(strings.TrimPrefix(strings.TrimSpace(key), "named_metrics."), parsed)
				}
			}
		}
	case "JSON":
		var report struct {
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(rest), &report) == nil {
			for k, f := range report.Named {
				l.set(k, f)
			}
		}
	}
	return l
}

// set stores a named metric; negative, infinite and NaN values are ignored.
func (l *Load) set(key string, number float64) {
	if !(number >= 0) || math.IsInf(number, 0) {
		return
	}
	switch key {
	case "inflight":
		l.Streams, l.Present = number, true
	case "x0":
		l.LinkLoad, l.Present = number, true
	case "x1":
		l.UplinkLoad, l.Present = number, true
	}
}

// Text formats the load as a field value in the TEXT form.
func (l Load) Text() string {
	b := []byte("TEXT ")
	for _, f := range []struct {
		name  string
		value float64
	}{{"inflight", l.Streams}, {"x0", l.LinkLoad}, {"x1", l.UplinkLoad}} {
		if f.value < 0 {
			continue
		}
		if len(b) > 5 {
			b = append(b, ", "...)
		}
		b = append(append(append(b, "named_metrics."...), f.name...), '=')
		b = strconv.AppendFloat(b, f.value, 'f', 4, 64)
	}
	return string(b)
}
