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

// views is what the director keeps for decide/quality: numbers of boxes and names of groups.
type views struct {
	q       *quality.Tracker
	in      []quality.Event
	names   map[quality.GroupKey]string
	told    float64 // when findings were last told to the module
	unknown uint64  // keys of reports that were passed over
	bad     map[string]uint64
	windows []*quality.Window // closed, newest last
}

// keepWindows is how many closed windows are kept for queries; older ones are gone until there is a history.
const keepWindows = 60

func (d *Director) setViews() {
	c := &d.cfg.Quality
	d.views = views{names: map[quality.GroupKey]string{}, bad: map[string]uint64{}, q: quality.New(quality.Config{WindowMs: c.WindowMs,
		AllowedLatenessMs: c.LateMs, MaxClockSkewMs: c.SkewMs, SessionRetentionMs: c.KeepMs, MaxSpans: 64, DedupWindow: 64, MaxGroups: c.Groups, MaxBytes: int64(d.cfg.Limits.Timelines),
		RungWorth: d.cfg.Ladder.Worth, SwitchCost: c.SwitchCost, StallCost: c.StallCost, StartupCost: c.StartCost,
		ShortfallBelow: c.ShortUnder, DetectIntervalMs: c.LookMs, ConfirmMs: c.ConfirmMs, MinSessions: c.MinSessions, MinScore: c.MinScore})}
}

// name remembers what a group's number stands for.
func (d *Director) group(dim quality.Dimension, name string) uint64 {
	id := xxhash.Sum64String(name)
	k := quality.GroupKey{Dim: dim, ID: id}
	if _, ok := d.views.names[k]; !ok && len(d.views.names) < 8*d.cfg.Quality.Groups {
		d.views.names[k] = name
	}
	return id
}

func (d *Director) placeOf(s *session) quality.Place {
	addr := d.fleet.Addr(s.server)
	return quality.Place{Rack: d.group(quality.ByRack, strconv.Itoa(d.fleet.Cell(s.server)%d.cfg.Fleet.Racks)),
		Node: d.group(quality.ByNode, addr), Rung: s.rung, RateKB: d.cfg.Ladder.RateKB[s.rung] * d.cfg.Classes[s.title.class].RateScale}
}

// viewed tells decide/quality that a session plays, with its start-up time where this director knows it.
func (d *Director) viewed(s *session, kind quality.EventKind) {
	d.views.in = append(d.views.in, quality.Event{Kind: kind, Session: uint64(s.id), At: d.l.Now(), Place: d.placeOf(s),
		Title: d.group(quality.ByTitle, s.title.Name), Class: d.group(quality.ByClass, s.title.Class),
		Tenant: d.group(quality.ByTenant, s.claims.brand), Family: d.group(quality.ByPlayerFamily, s.claims.family), StartupMs: d.l.Now() - s.asked})
}

func (d *Director) viewRung(s *session) {
	d.views.in = append(d.views.in, quality.Event{Kind: quality.RungChanged, Session: uint64(s.id), At: d.l.Now(), Place: d.placeOf(s)})
}

func (d *Director) viewEnd(s *session) {
	d.views.in = append(d.views.in, quality.Event{Kind: quality.SessionEnded, Session: uint64(s.id), At: d.l.Now()})
}

// seen takes one report of a player. box is the box that handed it on; 0: it came straight. ago is how long the
// box had it, ms.
func (d *Director) seen(s *session, text string, box headmill.NodeID, ago float64) {
	r := cmcd.Parse(text)
	d.views.unknown += uint64(len(r.Unknown))
	for _, k := range r.Bad {
		if _, ok := d.views.bad[k]; ok || len(d.views.bad) < 64 {
			d.views.bad[k]++
		}
	}
	ev := quality.PlayerReport{At: r.At, ArrivedAt: d.l.Now() - math.Max(ago, 0), Sequence: r.Number, ReceivedKB: r.Throughput / 8, BufferEmpty: r.Starved,
		Rung: -1}
	if r.Starve > 0 {
		ev.StallMs = r.Starve
	}
	if r.Bitrate > 0 {
		ev.Rung, ev.RequiredKB = d.rungOf(s, r.Bitrate), r.Bitrate/8
	}
	if s.story != nil {
		told := []attribute.KeyValue{attribute.Float64("stall_ms", ev.StallMs), attribute.Bool("starved", r.Starved)}
		for name, v := range map[string]float64{"got_kb": ev.ReceivedKB, "need_kb": ev.RequiredKB, "buffer_ms": r.Buffer} {
			if !math.IsNaN(v) { // not told
				told = append(told, attribute.Float64(name, v))
			}
		}
		s.story.Note("report", told...)
	}
	if box != 0 {
		ev.Node = d.group(quality.ByNode, d.fleet.Addr(box))
	}
	d.views.in = append(d.views.in, quality.Event{Kind: quality.ReportReceived, Session: uint64(s.id), Report: ev})
}

// rungOf is the rung whose rate is nearest to a bitrate in kbit/s.
func (d *Director) rungOf(s *session, kbits float64) int {
	best, least := 0, math.Inf(1)
	for i, kb := range d.cfg.Ladder.RateKB {
		if diff := math.Abs(kb*d.cfg.Classes[s.title.class].RateScale*8 - kbits); diff < least {
			best, least = i, diff
		}
	}
	return best
}

// tellStories notes a finding on racks and boxes in the traces of the sessions that play there.
func (d *Director) tellStories(f quality.Finding) {
	for _, s := range d.sessions {
		if s.story == nil || s.state != plays {
			continue
		}
		if p := d.placeOf(s); f.Dim == quality.ByRack && p.Rack == f.ID || f.Dim == quality.ByNode && p.Node == f.ID {
			s.story.Note("finding", attribute.String(f.Dim.String(), d.views.names[f.GroupKey]), attribute.Bool("over", f.Ended),
				attribute.Float64("load", f.Load))
		}
	}
}

// unix is a time of the loop as Unix time, ms.
func (d *Director) unix(at float64) int64 { return d.wall().UnixMilli() - int64(d.l.Now()-at) }

// keep hands a closed window to the history.
func (d *Director) keep(w *quality.Window) {
	if d.History == nil {
		return
	}
	from, name := d.unix(w.From), d.cfg.Director.Name
	to := from + int64(d.cfg.Quality.WindowMs)
	rows := make([]history.Row, 0, len(w.Groups)+1)
	rows = append(rows, history.Of(from, to, name, "whole", "", &w.Total))
	for k, g := range w.Groups {
		rows = append(rows, history.Of(from, to, name, k.Dim.String(), d.views.names[k], g))
	}
	d.History.Put(rows)
}

// keepFinding hands a finding that began or ended to the history; one that began is kept at once, for a director
// that does not live to see its end.
func (d *Director) keepFinding(f quality.Finding) {
	if d.History != nil {
		d.History.Put([]history.Row{{FromMs: d.unix(f.Since), ToMs: max(d.unix(f.At), d.unix(f.Since)+1), Director: d.cfg.Director.Name,
			Dim: f.Dim.String(), Name: d.views.names[f.GroupKey], Finding: true, Evidence: f.String()}})
	}
}

// batch takes the reports that a box hands on.
func (d *Director) batchOf(b *box, data []byte) {
	var list []struct {
		Session string  `json:"session"`
		CMCD    string  `json:"cmcd"`
		AgoMs   float64 `json:"ago_ms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		d.log.Warn("reports can't be read", "box", b.addr, "error", err.Error())
		return
	}
	for _, r := range list {
		id, mine := d.parseName(r.Session)
		s := d.sessions[id]
		if !mine || s == nil || !d.accounts.Fits(limits.Reports, int64(len(r.CMCD))) {
			d.stats.ReportsDropped++
			continue
		}
		d.stats.ReportsTaken++
		d.seen(s, r.CMCD, b.id, r.AgoMs)
	}
}

// look hands what was seen to decide/quality and its findings on: to the log, and to the module as the
// observation that they are.
func (d *Director) look() {
	now := d.l.Now()
	in := d.views.in
	for _, f := range d.views.q.Step(now, in) {
		f := f
		d.keepFinding(f)
		d.tellStories(f)
		d.log.Warn("quality: "+f.String(), "group", f.Dim.String(), "name", d.views.names[f.GroupKey], "over", f.Ended, "load", f.Load)
	}
	d.views.in = in[:0]
	for _, w := range d.views.q.TakeClosed() {
		d.keep(w)
		d.views.windows = append(d.views.windows, w)
		if len(d.views.windows) > keepWindows {
			d.views.windows = d.views.windows[1:]
		}
	}
	if !d.cfg.Quality.Relieve || now-d.views.told < 1000 {
		return
	}
	d.views.told = now
	for _, f := range d.views.q.Findings() {
		if now-f.At > 2*d.cfg.Quality.LookMs { // it is fading: nothing new was seen
			continue
		}
		note := headmill.FeedbackLinkLoad
		if f.Dim == quality.ByRack {
			note = headmill.FeedbackUplinkLoad
		} else if f.Dim != quality.ByNode {
			continue // a title or a family of players: no server is at fault
		}
		for _, s := range d.sessions { // any session there names a box of the group; all of them tell of one load
			p := d.placeOf(s)
			if s.state != plays || f.Dim == quality.ByRack && p.Rack != f.ID || f.Dim == quality.ByNode && p.Node != f.ID {
				continue
			}
			d.toModule(headmill.Event{Kind: headmill.EvFeedback, Session: headmill.SessionID(s.id), Node: s.server, Feedback: note,
				Value: f.Load})
			break
		}
	}
}
