package wire

import (
	"fmt"
	"strconv"
	"strings"

	"headmill"
)

// Settings is what an instance receives at its start: headmill.Config and
// the order of the load report's fields, which only the decoder needs.
type Settings struct {
	Config headmill.Config
	Fields []string
}

// settingsReader reads typed values by their paths. A path that is absent gives
// the zero value; err is the first value that could not be read.
type settingsReader struct {
	values map[string]string
	err    error
}

func (r *settingsReader) text(key string) string { return r.values[key] }

func (r *settingsReader) number(key string) float64 {
	v, ok := r.values[key]
	if !ok || v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("wire: setting %s: %q is not a number", key, v)
	}
	return f
}

func (r *settingsReader) int(key string) int   { return int(r.number(key)) }
func (r *settingsReader) bool(key string) bool { return r.values[key] == "true" }

func (r *settingsReader) list(key string) []string {
	if v := r.values[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (r *settingsReader) numbers(key string) []float64 {
	var out []float64
	for _, v := range r.list(key) {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil && r.err == nil {
			r.err = fmt.Errorf("wire: setting %s: %q is not a number", key, v)
		}
		out = append(out, f)
	}
	return out
}

// count reads the length of a list of objects. It cannot exceed the number of all settings, which keeps a wrong value
// from claiming memory.
func (r *settingsReader) count(key string) int {
	n := r.number(key + ".count")
	if n < 0 || n > float64(len(r.values)) {
		if r.err == nil {
			r.err = fmt.Errorf("wire: setting %s.count: %v is out of range", key, n)
		}
		return 0
	}
	return int(n)
}

// valueAt returns the value at index i, or fallback when the list is shorter.
func valueAt(list []float64, i int, fallback float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return fallback
}

// ParseSettings translates path=value lines; unknown paths are skipped.
func ParseSettings(text string) (Settings, error) {
	values := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, fmt.Errorf("wire: settings line %q has no '='", line)
		}
		values[key] = value
	}
	return ReadSettings(values)
}

// ReadSettings translates settings that are given by their paths; unknown paths are skipped.
func ReadSettings(values map[string]string) (Settings, error) {
	r := &settingsReader{values: values}
	fleetPrefix := "family_info." // of the settings that describe the fleet and the ladder
	minRungs, maxRungs := r.numbers(fleetPrefix+"floor_by_class"), r.numbers(fleetPrefix+"top_by_class")
	scales, maxPerTitle := r.numbers(fleetPrefix+"scale_by_class"), r.numbers(fleetPrefix+"class_seats")
	_, hasBudgetRatio := r.values["safety.repeat_ratio"]
	_, hasBudgetMin := r.values["safety.min_extra"]
	config := headmill.Config{
		FrontIndex: r.int("me"), Fronts: r.int("replicas_of_me"), Zone: r.int("zone"),
		RateKB: r.numbers(fleetPrefix + "level_kb"), RungWorth: r.numbers(fleetPrefix + "ladder_worth"),
		Cells: r.int(fleetPrefix + "cells"), Racks: r.int(fleetPrefix + "racks"),
		LinkKBPerWeight: r.number(fleetPrefix + "link_unit_kb"), TotalLinkKB: r.number(fleetPrefix + "all_links_kb"),
		UplinkKB: r.number(fleetPrefix + "uplink_kb"), WeightsKnown: r.text("weights") != "off" && r.text("weights") != "",
		RungChangeCostS:  r.number(fleetPrefix + "switch_s"),
		ReportIntervalMs: r.number(fleetPrefix + "tell_ms"), ReportDelayMs: r.number(fleetPrefix + "told_late_ms"),
		MaxAttempts:     r.int("allowed.max_attempts"),
		MaxRetryAfterMs: r.number("allowed.max_retry_after_ms"), AdviseRetryAfter: r.bool("allowed.retry_after"),
		SubscribeToNodes: r.text("discovery") == "subscribe",
		WarmUpMs:         r.number("safety.warm_within_ms"), ColdRateFraction: r.number("safety.cold_from"),
		ColdWindowMs: r.number("safety.tip_after_ms"), ConnectTimeoutMs: r.number("allowed.connect_timeout_ms"),
		RetryBudget: hasBudgetRatio || hasBudgetMin, RetryBudgetMin: r.number("safety.min_extra"),
		RetryBudgetRatio: r.number("safety.repeat_ratio"), RetryBudgetWindowMs: r.number("safety.look_back_ms"),
	}
	for _, streams := range r.numbers(fleetPrefix + "places_by_kind") {
		config.StreamsByKind = append(config.StreamsByKind, int(streams))
	}
	for i := range r.count("categories") {
		prefix := fmt.Sprintf("categories.%d.", i)
		class := headmill.Class{TargetMs: r.number(prefix + "slo_ms"),
			KeyTTLMs: r.number(prefix + "key_ttl_ms"), ValuePerSecond: r.number(prefix + "value"),
			RateScale: valueAt(scales, i, 1), MinRung: int(valueAt(minRungs, i, 0)),
			MaxRung: int(valueAt(maxRungs, i, float64(len(config.RateKB)-1))), MaxPerTitle: int(valueAt(maxPerTitle, i, 0))}
		switch r.text(prefix + "semantics") {
		case "repeatable":
		case "by_key":
			class.Semantics = headmill.IdempotentByKey
		default: // an unknown value is treated as the strictest semantics
			class.Semantics = headmill.AtMostOnce
		}
		switch r.text(prefix + "key_scope") {
		case "zone":
			class.KeyScope = headmill.ScopeZone
		case "cell":
			class.KeyScope = headmill.ScopeCell
		}
		config.Classes = append(config.Classes, class)
	}
	for name, count := range map[string]int{"floor_by_class": len(minRungs), "top_by_class": len(maxRungs),
		"scale_by_class": len(scales), "class_seats": len(maxPerTitle)} {
		if count != 0 && count != len(config.Classes) && r.err == nil {
			r.err = fmt.Errorf("wire: setting %s%s has %d values for %d classes", fleetPrefix, name, count, len(config.Classes))
		}
	}
	return Settings{Config: config, Fields: r.list("feedback.fields")}, r.err
}
