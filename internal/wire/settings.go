package wire

import (
	"fmt"
	"strconv"
	"strings"

	"headmill"
)

// Settings is what an instance is told at its start: the module's Config and
// the order of the load report's fields, which only the decoder needs.
type Settings struct {
	Config headmill.Config
	Fields []string
}

type table struct {
	kv  map[string]string
	err error
}

func (t *table) str(key string) string { return t.kv[key] }

func (t *table) num(key string) float64 {
	v, ok := t.kv[key]
	if !ok || v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil && t.err == nil {
		t.err = fmt.Errorf("wire: setting %s: %q is no number", key, v)
	}
	return f
}

func (t *table) int(key string) int   { return int(t.num(key)) }
func (t *table) bool(key string) bool { return t.kv[key] == "true" }

func (t *table) list(key string) []string {
	if v := t.kv[key]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (t *table) nums(key string) []float64 {
	var out []float64
	for _, v := range t.list(key) {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil && t.err == nil {
			t.err = fmt.Errorf("wire: setting %s: %q is no number", key, v)
		}
		out = append(out, f)
	}
	return out
}

// count reads the length of a list of objects, bounded by the settings' own size.
func (t *table) count(key string) int {
	n := t.num(key + ".count")
	if n < 0 || n > float64(len(t.kv)) {
		if t.err == nil {
			t.err = fmt.Errorf("wire: setting %s.count: %v is impossible", key, n)
		}
		return 0
	}
	return int(n)
}

func at(list []float64, i int, absent float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ParseSettings translates path=value lines; unknown keys are skipped.
func ParseSettings(text string) (Settings, error) {
	kv := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimRight(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, fmt.Errorf("wire: settings line %q has no '='", line)
		}
		kv[key] = value
	}
	return ReadSettings(kv)
}

// ReadSettings translates settings by their paths; unknown keys are skipped.
func ReadSettings(kv map[string]string) (Settings, error) {
	t := &table{kv: kv}
	fam := "family_info."
	floors, tops := t.nums(fam+"floor_by_class"), t.nums(fam+"top_by_class")
	scales, seats := t.nums(fam+"scale_by_class"), t.nums(fam+"class_seats")
	_, rationed := t.kv["safety.repeat_ratio"]
	_, least := t.kv["safety.min_extra"]
	c := headmill.Config{
		Self: t.int("me"), Fronts: t.int("replicas_of_me"), Zone: t.int("zone"),
		RateKB: t.nums(fam + "level_kb"), RungWorth: t.nums(fam + "ladder_worth"),
		Cells: t.int(fam + "cells"), Racks: t.int(fam + "racks"),
		LinkKBPerWeight: t.num(fam + "link_unit_kb"), TotalLinkKB: t.num(fam + "all_links_kb"),
		UplinkKB: t.num(fam + "uplink_kb"), WeightsKnown: t.str("weights") != "off" && t.str("weights") != "",
		RungChangeCostS:  t.num(fam + "switch_s"),
		ReportIntervalMs: t.num(fam + "tell_ms"), ReportDelayMs: t.num(fam + "told_late_ms"),
		MaxAttempts:     t.int("allowed.max_attempts"),
		MaxRetryAfterMs: t.num("allowed.max_retry_after_ms"), RetryAfter: t.bool("allowed.retry_after"),
		SubscribeToNodes: t.str("discovery") == "subscribe",
		WarmUpMs:         t.num("safety.warm_within_ms"), ColdRateFraction: t.num("safety.cold_from"),
		ColdWindowMs: t.num("safety.tip_after_ms"), ConnectTimeoutMs: t.num("allowed.connect_timeout_ms"),
		RetryBudget: rationed || least, RetryBudgetMin: t.num("safety.min_extra"),
		RetryBudgetRatio: t.num("safety.repeat_ratio"), RetryBudgetWindowMs: t.num("safety.look_back_ms"),
	}
	for _, p := range t.nums(fam + "places_by_kind") {
		c.StreamsByKind = append(c.StreamsByKind, int(p))
	}
	for i := range t.count("categories") {
		p := fmt.Sprintf("categories.%d.", i)
		k := headmill.Class{TargetMs: t.num(p + "slo_ms"),
			KeyTTLMs: t.num(p + "key_ttl_ms"), Value: t.num(p + "value"),
			RateScale: at(scales, i, 1), MinRung: int(at(floors, i, 0)),
			MaxRung: int(at(tops, i, float64(len(c.RateKB)-1))), MaxPerTitle: int(at(seats, i, 0))}
		switch t.str(p + "semantics") {
		case "repeatable":
		case "by_key":
			k.Semantics = headmill.IdempotentByKey
		default: // a word that is not known is taken as the strictest one
			k.Semantics = headmill.AtMostOnce
		}
		switch t.str(p + "key_scope") {
		case "zone":
			k.KeyScope = headmill.ScopeZone
		case "cell":
			k.KeyScope = headmill.ScopeCell
		}
		c.Classes = append(c.Classes, k)
	}
	for name, list := range map[string]int{"floor_by_class": len(floors), "top_by_class": len(tops),
		"scale_by_class": len(scales), "class_seats": len(seats)} {
		if list != 0 && list != len(c.Classes) && t.err == nil {
			t.err = fmt.Errorf("wire: setting %s%s has %d values for %d classes", fam, name, list, len(c.Classes))
		}
	}
	return Settings{Config: c, Fields: t.list("feedback.fields")}, t.err
}
