// Package dash writes and reads the manifest of one session: a Media
// Presentation Description of ISO/IEC 23009-1 (profile isoff-live), with the
// session's token carried to segment requests both by the flexible insertion
// of URL parameters (Annex I, as a supplemental property) and in the segment
// templates themselves, for players that don't know Annex I.
//
// It is pure: bytes in, bytes out. Which representations a session may have is
// decided elsewhere.
package dash

import (
	"encoding/xml"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Representation is one rung of the ladder.
type Representation struct {
	ID    string
	KBps  float64 // kB/s; an MPD says bits a second
	Width int
}

// Manifest is what an MPD of headmill says.
type Manifest struct {
	Base       string // absolute URL of the session at its box, with a final slash
	Token      string // carried to segments; base64url and dots
	DurationMs float64
	SegmentMs  float64
	Reps       []Representation // rising
}

// Append writes the MPD.
func (m *Manifest) Append(b []byte) []byte {
	b = append(b, `<?xml version="1.0" encoding="UTF-8"?>
<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" xmlns:up="urn:mpeg:dash:schema:urlparam:2014" type="static"`+
		` profiles="urn:mpeg:dash:profile:isoff-live:2011" mediaPresentationDuration="`...)
	b = appendDuration(b, m.DurationMs)
	b = append(b, `" minBufferTime="`...)
	b = appendDuration(b, m.SegmentMs)
	b = append(b, "\">\n  <BaseURL>"...)
	b = appendText(b, m.Base)
	b = append(b, "</BaseURL>\n  <Period id=\"0\" start=\"PT0S\">\n    <AdaptationSet id=\"1\" contentType=\"video\""+
		" mimeType=\"video/mp4\" codecs=\"avc1.42c01f\" segmentAlignment=\"true\" startWithSAP=\"1\">\n"...)
	if m.Token != "" {
		b = append(b, `      <SupplementalProperty schemeIdUri="urn:mpeg:dash:urlparam:2014">`+
			"\n        <up:UrlQueryInfo queryTemplate=\"token="...)
		b = appendText(b, m.Token)
		b = append(b, "\"/>\n      </SupplementalProperty>\n"...)
	}
	b = append(b, `      <SegmentTemplate timescale="1000" startNumber="1" duration="`...)
	b = strconv.AppendInt(b, int64(m.SegmentMs), 10)
	b = append(b, `" initialization="$RepresentationID$/init.mp4`...)
	b = m.appendQuery(b)
	b = append(b, `" media="$RepresentationID$/$Number$.m4s`...)
	b = m.appendQuery(b)
	b = append(b, "\"/>\n"...)
	for i := range m.Reps {
		r := &m.Reps[i]
		b = append(b, `      <Representation id="`...)
		b = appendText(b, r.ID)
		b = append(b, `" bandwidth="`...)
		b = strconv.AppendInt(b, int64(r.KBps*8000), 10)
		if r.Width > 0 {
			b = append(b, `" width="`...)
			b = strconv.AppendInt(b, int64(r.Width), 10)
			b = append(b, `" height="`...)
			b = strconv.AppendInt(b, int64(r.Width*9/16), 10)
		}
		b = append(b, "\"/>\n"...)
	}
	return append(b, "    </AdaptationSet>\n  </Period>\n</MPD>\n"...)
}

func (m *Manifest) appendQuery(b []byte) []byte {
	if m.Token == "" {
		return b
	}
	b = append(b, "?token="...)
	return appendText(b, strings.ReplaceAll(m.Token, "$", "$$")) // 5.3.9.4.4: $$ stands for one $
}

func appendDuration(b []byte, ms float64) []byte {
	b = append(b, "PT"...)
	b = strconv.AppendFloat(b, ms/1000, 'f', -1, 64)
	return append(b, 'S')
}

func appendText(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '&':
			b = append(b, "&amp;"...)
		case '<':
			b = append(b, "&lt;"...)
		case '>':
			b = append(b, "&gt;"...)
		case '"':
			b = append(b, "&quot;"...)
		default:
			b = append(b, c)
		}
	}
	return b
}

type mpdXML struct {
	XMLName  xml.Name `xml:"urn:mpeg:dash:schema:mpd:2011 MPD"`
	Duration string   `xml:"mediaPresentationDuration,attr"`
	BaseURL  string   `xml:"BaseURL"`
	Period   struct {
		Set struct {
			Template struct {
				Timescale float64 `xml:"timescale,attr"`
				Duration  float64 `xml:"duration,attr"`
				Start     int     `xml:"startNumber,attr"`
				Init      string  `xml:"initialization,attr"`
				Media     string  `xml:"media,attr"`
			} `xml:"SegmentTemplate"`
			Reps []struct {
				ID        string  `xml:"id,attr"`
				Bandwidth float64 `xml:"bandwidth,attr"`
				Width     int     `xml:"width,attr"`
			} `xml:"Representation"`
		} `xml:"AdaptationSet"`
	} `xml:"Period"`
}

// Presentation is an MPD as a plain player sees it, one that does not know Annex I.
type Presentation struct {
	Manifest
	media, init string
	start       int
}

// Parse reads an MPD of the kind that Append writes.
func Parse(text []byte) (*Presentation, error) {
	var x mpdXML
	if err := xml.Unmarshal(text, &x); err != nil {
		return nil, fmt.Errorf("dash: %w", err)
	}
	set := &x.Period.Set
	if set.Template.Media == "" || set.Template.Duration <= 0 || set.Template.Timescale <= 0 || len(set.Reps) == 0 {
		return nil, errors.New("dash: no SegmentTemplate with media and duration, or no Representation")
	}
	sec, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimPrefix(x.Duration, "PT"), "S"), 64)
	if err != nil {
		return nil, fmt.Errorf("dash: mediaPresentationDuration %q is not PTnS", x.Duration)
	}
	p := &Presentation{media: set.Template.Media, init: set.Template.Init, start: set.Template.Start}
	p.Base, p.DurationMs = strings.TrimSpace(x.BaseURL), sec*1000
	p.SegmentMs = set.Template.Duration / set.Template.Timescale * 1000
	for _, r := range set.Reps {
		p.Reps = append(p.Reps, Representation{ID: r.ID, KBps: r.Bandwidth / 8000, Width: r.Width})
	}
	return p, nil
}

// Segments is the number of media segments.
func (p *Presentation) Segments() int { return int((p.DurationMs + p.SegmentMs - 1) / p.SegmentMs) }

// Init is the URL of a representation's initialization segment.
func (p *Presentation) Init(rep int) string { return p.Base + expand(p.init, p.Reps[rep].ID, 0) }

// Media is the URL of a media segment, counted from 0.
func (p *Presentation) Media(rep, i int) string {
	return p.Base + expand(p.media, p.Reps[rep].ID, p.start+i)
}

func expand(template, id string, number int) string {
	return strings.NewReplacer("$$", "$", "$RepresentationID$", id, "$Number$", strconv.Itoa(number)).Replace(template)
}
