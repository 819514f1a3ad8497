package director

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"headmill"
	"headmill/decide/limits"
	"headmill/decide/quality"
	"headmill/internal/cmcd"
	"headmill/internal/history"
)

// qualityState is the director's state around decide/quality.
type qualityState struct {
	tracker         *quality.Tracker
	events          []quality.Event
	groupNames      map[quality.GroupKey]string
	lastFeedbackAt  float64           // loop time, ms, when findings were last passed to the module
	unknownKeys     uint64            // number of unknown keys in reports
	malformedValues map[string]uint64 // number of malformed values in reports, by report key
	closedWindows   []*quality.Window // newest last
}

// maxClosedWindows is the number of closed windows kept for queries. Older ones are only in the history, if there is
// one.
const maxClosedWindows = 60

// feedbackIntervalMs is the minimum time, in ms, between two batches of feedback about findings to the module.
const feedbackIntervalMs = 1000

// maxMalformedValueKeys limits the distinct report keys whose malformed values are counted, as reports come from
// players.
const maxMalformedValueKeys = 64

// initQuality creates the quality tracker from the settings.
func (d *Director) initQuality() {
	settings := &d.cfg.Quality
	d.quality = qualityState{
		groupNames:      map[quality.GroupKey]string{},
		malformedValues: map[string]uint64{},
		tracker: quality.New(quality.Config{
			WindowMs:           settings.WindowMs,
			AllowedLatenessMs:  settings.AllowedLatenessMs,
			MaxClockSkewMs:     settings.MaxClockSkewMs,
			SessionRetentionMs: settings.SessionRetentionMs,
			MaxSpans:           64, // spans of the timeline kept per session
			DedupWindow:        64, // last reports per session among which duplicates are recognized
			MaxGroups:          settings.MaxGroups,
			MaxBytes:           int64(d.cfg.Limits.Timelines),
			RungQuality:        d.cfg.Ladder.Worth,
			SwitchCost:         settings.SwitchCost,
			StallCost:          settings.StallCost,
			StartupCost:        settings.StartupCost,
			ShortfallBelow:     settings.ShortfallBelow,
			DetectIntervalMs:   settings.DetectIntervalMs,
			ConfirmMs:          settings.ConfirmMs,
			MinSessions:        settings.MinSessions,
			MinScore:           settings.MinScore,
		}),
	}
}

// groupID returns the ID of a group, a hash of its name, and records the name for it. Names are never removed, also not
// those of groups that no longer occur, so at most eight times MaxGroups are recorded; a group beyond that has an empty
// name.
func (d *Director) groupID(dim quality.Dimension, name string) uint64 {
	id := xxhash.Sum64String(name)
	k := quality.GroupKey{Dim: dim, ID: id}
	if _, ok := d.quality.groupNames[k]; !ok && len(d.quality.groupNames) < 8*d.cfg.Quality.MaxGroups {
		d.quality.groupNames[k] = name
	}
	return id
}

// qualityPlace returns where a session plays and at which rung. The rack of a cell is the remainder of its number
// divided by the number of racks.
func (d *Director) qualityPlace(s *session) quality.Place {
	addr := d.nodeList.Addr(s.node)
	return quality.Place{
		Rack:   d.groupID(quality.ByRack, strconv.Itoa(d.nodeList.Cell(s.node)%d.cfg.Fleet.Racks)),
		Node:   d.groupID(quality.ByNode, addr),
		Rung:   s.rung,
		RateKB: d.cfg.Ladder.RateKB[s.rung] * d.cfg.Classes[s.title.class].RateScale,
	}
}

// recordSessionStart reports to decide/quality that a session plays. kind is quality.SessionStarted, or
// quality.SessionAdopted, for which the start-up time is ignored.
func (d *Director) recordSessionStart(s *session, kind quality.EventKind) {
	d.quality.events = append(d.quality.events, quality.Event{
		Kind:      kind,
		Session:   uint64(s.id),
		At:        d.loop.Now(),
		Place:     d.qualityPlace(s),
		Title:     d.groupID(quality.ByTitle, s.title.Name),
		Class:     d.groupID(quality.ByClass, s.title.Class),
		Tenant:    d.groupID(quality.ByTenant, s.claims.tenant),
		Family:    d.groupID(quality.ByPlayerFamily, s.claims.playerFamily),
		StartupMs: d.loop.Now() - s.requestedAt,
	})
}

// recordRungChange reports a session's new rung to decide/quality.
func (d *Director) recordRungChange(s *session) {
	d.quality.events = append(d.quality.events, quality.Event{
		Kind:    quality.RungChanged,
		Session: uint64(s.id),
		At:      d.loop.Now(),
		Place:   d.qualityPlace(s),
	})
}

// recordSessionEnd reports to decide/quality that a session ended.
func (d *Director) recordSessionEnd(s *session) {
	d.quality.events = append(d.quality.events, quality.Event{
		Kind:    quality.SessionEnded,
		Session: uint64(s.id),
		At:      d.loop.Now(),
	})
}

// recordReport accepts one report of a player. node is the media node that forwarded it, or 0 if it came directly.
// ageMs is how long the node has held it.
func (d *Director) recordReport(s *session, text string, node headmill.NodeID, ageMs float64) {
	r := cmcd.Parse(text)
	d.quality.unknownKeys += uint64(len(r.Unknown))
	for _, k := range r.Invalid {
		if _, ok := d.quality.malformedValues[k]; ok || len(d.quality.malformedValues) < maxMalformedValueKeys {
			d.quality.malformedValues[k]++
		}
	}
	ev := quality.PlayerReport{
		At:          r.TimestampMs,
		ArrivedAt:   d.loop.Now() - math.Max(ageMs, 0),
		Sequence:    r.SequenceNumber,
		ReceivedKB:  r.Throughput / 8,
		BufferEmpty: r.Starved,
		Rung:        -1,
	}
	if r.StallMs > 0 {
		ev.StallMs = r.StallMs
	}
	if r.Bitrate > 0 {
		ev.Rung, ev.RequiredKB = d.nearestRung(s, r.Bitrate), r.Bitrate/8
	}
	if s.trace != nil {
		attrs := []attribute.KeyValue{attribute.Float64("stall_ms", ev.StallMs), attribute.Bool("starved", r.Starved)}
		for name, v := range map[string]float64{
			"got_kb":    ev.ReceivedKB,
			"need_kb":   ev.RequiredKB,
			"buffer_ms": r.Buffer,
		} {
			if !math.IsNaN(v) { // NaN: not reported
				attrs = append(attrs, attribute.Float64(name, v))
			}
		}
		s.trace.AddEvent("report", attrs...)
	}
	if node != 0 {
		ev.Node = d.groupID(quality.ByNode, d.nodeList.Addr(node))
	}
	d.quality.events = append(d.quality.events, quality.Event{
		Kind:    quality.ReportReceived,
		Session: uint64(s.id),
		Report:  ev,
	})
}

// nearestRung returns the rung whose rate is nearest to a bitrate in kbit/s.
func (d *Director) nearestRung(s *session, kbitPerS float64) int {
	nearest, minDiff := 0, math.Inf(1)
	for i, kb := range d.cfg.Ladder.RateKB {
		if diff := math.Abs(kb*d.cfg.Classes[s.title.class].RateScale*8 - kbitPerS); diff < minDiff {
			nearest, minDiff = i, diff
		}
	}
	return nearest
}

// traceFinding adds a finding on a rack or a media node to the traces of the sessions that play there.
func (d *Director) traceFinding(f quality.Finding) {
	for _, s := range d.sessions {
		if s.trace == nil || s.state != sessionPlaying {
			continue
		}
		if p := d.qualityPlace(s); f.Dim == quality.ByRack && p.Rack == f.ID ||
			f.Dim == quality.ByNode && p.Node == f.ID {
			s.trace.AddEvent("finding", attribute.String(f.Dim.String(), d.quality.groupNames[f.GroupKey]),
				attribute.Bool("over", f.Ended), attribute.Float64("load", f.Load))
		}
	}
}

// unixMs converts loop time in ms to Unix time in ms.
func (d *Director) unixMs(at float64) int64 {
	return d.wallClock().UnixMilli() - int64(d.loop.Now()-at)
}

// storeWindow writes a closed window to the history.
func (d *Director) storeWindow(w *quality.Window) {
	if d.History == nil {
		return
	}
	from, name := d.unixMs(w.StartAt), d.cfg.Director.Name
	to := from + int64(d.cfg.Quality.WindowMs)
	rows := make([]history.Row, 0, len(w.Groups)+1)
	rows = append(rows, history.NewRow(from, to, name, "whole", "", &w.Total))
	for k, g := range w.Groups {
		rows = append(rows, history.NewRow(from, to, name, k.Dim.String(), d.quality.groupNames[k], g))
	}
	d.History.Put(rows)
}

// storeFinding writes a finding that began or ended to the history. The beginning is stored at once, so that the
// finding survives a director that stops before its end.
func (d *Director) storeFinding(f quality.Finding) {
	if d.History != nil {
		d.History.Put([]history.Row{{
			FromMs:   d.unixMs(f.Since),
			ToMs:     max(d.unixMs(f.At), d.unixMs(f.Since)+1),
			Director: d.cfg.Director.Name,
			Dim:      f.Dim.String(),
			Name:     d.quality.groupNames[f.GroupKey],
			Finding:  true,
			Evidence: f.String(),
		}})
	}
}

// handleReportBatch accepts the players' reports that a media node forwards.
func (d *Director) handleReportBatch(node *mediaNode, data []byte) {
	var list []struct {
		Session string  `json:"session"`
		CMCD    string  `json:"cmcd"`
		AgoMs   float64 `json:"ago_ms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		d.log.Warn("malformed player reports from media node", "box", node.addr, "error", err.Error())
		return
	}
	for _, r := range list {
		id, ours := d.parseSessionName(r.Session)
		s := d.sessions[id]
		if !ours || s == nil || !d.quotas.Fits(limits.Reports, int64(len(r.CMCD))) {
			d.stats.ReportsDropped++
			continue
		}
		d.stats.ReportsAccepted++
		d.recordReport(s, r.CMCD, node.id, r.AgoMs)
	}
}

// stepQuality passes the recorded events to decide/quality and its findings to the log, the traces and the history.
// If quality.relieve is set, findings on racks and media nodes go to the module as load feedback, at most once a
// second.
func (d *Director) stepQuality() {
	now := d.loop.Now()
	in := d.quality.events
	for _, f := range d.quality.tracker.Step(now, in) {
		f := f
		d.storeFinding(f)
		d.traceFinding(f)
		d.log.Warn("quality: "+f.String(), "group", f.Dim.String(), "name", d.quality.groupNames[f.GroupKey],
			"over", f.Ended, "load", f.Load)
	}
	d.quality.events = in[:0]
	for _, w := range d.quality.tracker.TakeClosed() {
		d.storeWindow(w)
		d.quality.closedWindows = append(d.quality.closedWindows, w)
		if len(d.quality.closedWindows) > maxClosedWindows {
			d.quality.closedWindows = d.quality.closedWindows[1:]
		}
	}
	if !d.cfg.Quality.Relieve || now-d.quality.lastFeedbackAt < feedbackIntervalMs {
		return
	}
	d.quality.lastFeedbackAt = now
	for _, f := range d.quality.tracker.Findings() {
		if now-f.At > 2*d.cfg.Quality.DetectIntervalMs { // stale: nothing new supports it
			continue
		}
		feedback := headmill.FeedbackLinkLoad
		if f.Dim == quality.ByRack {
			feedback = headmill.FeedbackUplinkLoad
		} else if f.Dim != quality.ByNode {
			continue // a title or a player family: no media node is the cause
		}
		for _, s := range d.sessions { // one session is enough to identify the group, whose load is the same for all
			p := d.qualityPlace(s)
			if s.state != sessionPlaying || f.Dim == quality.ByRack && p.Rack != f.ID ||
				f.Dim == quality.ByNode && p.Node != f.ID {
				continue
			}
			d.queueModuleEvent(headmill.Event{
				Kind:          headmill.EvFeedback,
				Session:       headmill.SessionID(s.id),
				Node:          s.node,
				Feedback:      feedback,
				FeedbackValue: f.Load,
			})
			break
		}
	}
}
