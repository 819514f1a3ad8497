// Package dash writes and parses the manifest of one session: a Media
// Presentation Description (MPD) of ISO/IEC 23009-1 (profile isoff-live). The
// session's token is passed on to segment requests in two ways: by flexible
// insertion of URL parameters (Annex I, as a supplemental property), and in the
// segment templates themselves for players that do not support Annex I.
//
// The package has no side effects. Which representations a session may use is
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
	KBps  float64 // kB/s; the MPD's bandwidth attribute is in bit/s
	Width int     // pixels; 0: unknown
}

// Manifest holds the contents of an MPD that headmill writes.
type Manifest struct {
	BaseURL         string // absolute URL of the session on its media node, with a trailing slash
	Token           string // passed on to segment requests; base64url and dots
	DurationMs      float64
	SegmentMs       float64
	Representations []Representation // by increasing rate
}

// Append appends the MPD to b.
func (m *Manifest) Append(b []byte) []byte {
	b = append(b, `<?xml version="1.0" encoding="UTF-8"?>
<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" xmlns:up="urn:mpeg:dash:schema:urlparam:2014" type="static"`+
		` profiles="urn:mpeg:dash:profile:isoff-live:2011" mediaPresentationDuration="`...)
	b = appendDuration(b, m.DurationMs)
	b = append(b, `" minBufferTime="`...)
	b = appendDuration(b, m.SegmentMs)
	b = append(b, "\">\n  <BaseURL>"...)
	b = appendEscaped(b, m.BaseURL)
	b = append(b, "</BaseURL>\n  <Period id=\"0\" start=\"PT0S\">\n    <AdaptationSet id=\"1\" contentType=\"video\""+
		" mimeType=\"video/mp4\" codecs=\"avc1.42c01f\" segmentAlignment=\"true\" startWithSAP=\"1\">\n"...)
	if m.Token != "" {
		b = append(b, `      <SupplementalProperty schemeIdUri="urn:mpeg:dash:urlparam:2014">`+
			"\n        <up:UrlQueryInfo queryTemplate=\"token="...)
		b = appendEscaped(b, m.Token)
		b = append(b, "\"/>\n      </SupplementalProperty>\n"...)
	}
	b = append(b, `      <SegmentTemplate timescale="1000" startNumber="1" duration="`...)
	b = strconv.AppendInt(b, int64(m.SegmentMs), 10)
	b = append(b, `" initialization="$RepresentationID$/init.mp4`...)
	b = m.appendTokenQuery(b)
	b = append(b, `" media="$RepresentationID$/$Number$.m4s`...)
	b = m.appendTokenQuery(b)
	b = append(b, "\"/>\n"...)
	for i := range m.Representations {
		r := &m.Representations[i]
		b = append(b, `      <Representation id="`...)
		b = appendEscaped(b, r.ID)
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

func (m *Manifest) appendTokenQuery(b []byte) []byte {
	if m.Token == "" {
		return b
	}
	b = append(b, "?token="...)
	return appendEscaped(b, strings.ReplaceAll(m.Token, "$", "$$")) // section 5.3.9.4.4: $$ stands for a single $
}

// appendDuration appends an xs:duration in seconds.
func appendDuration(b []byte, ms float64) []byte {
	b = append(b, "PT"...)
	b = strconv.AppendFloat(b, ms/1000, 'f', -1, 64)
	return append(b, 'S')
}

// appendEscaped appends text with the special characters of XML escaped.
func appendEscaped(b []byte, s string) []byte {
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

// mpdXML holds the elements and attributes of an MPD that Parse reads.
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

// Presentation is an MPD as seen by a player that does not support Annex I.
type Presentation struct {
	Manifest
	mediaTemplate, initTemplate string
	startNumber                 int
}

// Parse parses an MPD of the form that Append writes. Token stays empty.
func Parse(text []byte) (*Presentation, error) {
	var doc mpdXML
	if err := xml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("dash: %w", err)
	}
	set := &doc.Period.Set
	if set.Template.Media == "" || set.Template.Duration <= 0 || set.Template.Timescale <= 0 || len(set.Reps) == 0 {
		return nil, errors.New("dash: no SegmentTemplate with media and duration, or no Representation")
	}
	seconds, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimPrefix(doc.Duration, "PT"), "S"), 64)
	if err != nil {
		return nil, fmt.Errorf("dash: mediaPresentationDuration %q is not PTnS", doc.Duration)
	}
	p := &Presentation{mediaTemplate: set.Template.Media, initTemplate: set.Template.Init, startNumber: set.Template.Start}
	p.BaseURL, p.DurationMs = strings.TrimSpace(doc.BaseURL), seconds*1000
	p.SegmentMs = set.Template.Duration / set.Template.Timescale * 1000
	for _, r := range set.Reps {
		p.Representations = append(p.Representations, Representation{ID: r.ID, KBps: r.Bandwidth / 8000, Width: r.Width})
	}
	return p, nil
}

// Segments returns the number of media segments: DurationMs / SegmentMs rounded up, as both are whole milliseconds.
func (p *Presentation) Segments() int { return int((p.DurationMs + p.SegmentMs - 1) / p.SegmentMs) }

// Init returns the URL of the initialization segment of representation rep.
func (p *Presentation) Init(rep int) string {
	return p.BaseURL + expandTemplate(p.initTemplate, p.Representations[rep].ID, 0)
}

// Media returns the URL of media segment i, counted from 0, of representation rep.
func (p *Presentation) Media(rep, i int) string {
	return p.BaseURL + expandTemplate(p.mediaTemplate, p.Representations[rep].ID, p.startNumber+i)
}

// expandTemplate replaces the identifiers of a segment template (section 5.3.9.4.4).
func expandTemplate(template, id string, number int) string {
	return strings.NewReplacer("$$", "$", "$RepresentationID$", id, "$Number$", strconv.Itoa(number)).Replace(template)
}
