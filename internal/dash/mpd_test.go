package dash

import (
	"encoding/xml"
	"io"
	"strings"
	"testing"
)

func testManifest() Manifest {
	return Manifest{BaseURL: "http://127.0.0.1:1/v/d0.1/", Token: "a.b-_c", DurationMs: 4500, SegmentMs: 2000,
		Representations: []Representation{{"r1", 10, 640}, {"r2", 25.5, 1280}}}
}

func TestRoundTrip(t *testing.T) {
	m := testManifest()
	p, err := Parse(m.Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	if p.BaseURL != m.BaseURL || p.DurationMs != 4500 || p.SegmentMs != 2000 || len(p.Representations) != 2 ||
		p.Representations[1] != (Representation{"r2", 25.5, 1280}) {
		t.Fatalf("%+v", p)
	}
	if p.Segments() != 3 {
		t.Errorf("%d segments of 2 s in 4.5 s", p.Segments())
	}
	if got := p.Media(1, 2); got != "http://127.0.0.1:1/v/d0.1/r2/3.m4s?token=a.b-_c" {
		t.Errorf("media %s", got)
	}
	if got := p.Init(0); got != "http://127.0.0.1:1/v/d0.1/r1/init.mp4?token=a.b-_c" {
		t.Errorf("init %s", got)
	}
}

// Annex I of ISO/IEC 23009-1: the token is in a supplemental property, so that players without support for it still
// play, with the query in the namespace of the scheme.
func TestURLParameters(t *testing.T) {
	m := testManifest()
	text := string(m.Append(nil))
	if !strings.Contains(text, `<SupplementalProperty schemeIdUri="urn:mpeg:dash:urlparam:2014">`) ||
		!strings.Contains(text, `xmlns:up="urn:mpeg:dash:schema:urlparam:2014"`) ||
		!strings.Contains(text, `<up:UrlQueryInfo queryTemplate="token=a.b-_c"/>`) {
		t.Error(text)
	}
	if strings.Contains(text, "EssentialProperty") {
		t.Error("a player that does not support Annex I would have to reject this manifest")
	}
}

// Untrusted text cannot end an element or inject a template identifier.
func TestUntrustedTextIsEscaped(t *testing.T) {
	m := testManifest()
	m.BaseURL, m.Token = `http://x/</BaseURL><a b="&`, "$Number$&\"<>"
	text := m.Append(nil)
	d := xml.NewDecoder(strings.NewReader(string(text)))
	for {
		if _, err := d.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
	}
	p, err := Parse(text)
	if err != nil || p.BaseURL != m.BaseURL {
		t.Fatalf("%v %q", err, p.BaseURL)
	}
	if got := p.Media(0, 0); got != m.BaseURL+"r1/1.m4s?token="+m.Token {
		t.Errorf("media %s", got)
	}
}

func TestParseErrors(t *testing.T) {
	m := testManifest()
	good := string(m.Append(nil))
	for name, text := range map[string]string{
		"no XML":      "<MPD",
		"not an MPD":  "<x/>",
		"no template": strings.Replace(good, "SegmentTemplate", "SegmentList", 1),
		"duration":    strings.Replace(good, `mediaPresentationDuration="PT4.5S"`, `mediaPresentationDuration="P1Y"`, 1),
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	m := testManifest()
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf = m.Append(buf[:0])
	}
}
