package orca

import "testing"

func TestParseAndText(t *testing.T) {
	for text, want := range map[string]Load{
		"TEXT named_metrics.inflight=3, named_metrics.x0=0.5,named_metrics.x1=1.25": {true, 3, 0.5, 1.25},
		`JSON {"cpu_utilization": 0.3, "named_metrics": {"x0": 2}}`:                 {true, -1, 2, -1},
		"TEXT cpu_utilization=0.3":  {false, -1, -1, -1},
		"TEXT named_metrics.x0=-1":  {false, -1, -1, -1},
		"TEXT named_metrics.x0=NaN": {false, -1, -1, -1},
		"TEXT named_metrics.x0=Inf": {false, -1, -1, -1},
		"TEXT named_metrics.x0":     {false, -1, -1, -1},
		"JSON {":                    {false, -1, -1, -1},
		"BIN AAAA":                  {false, -1, -1, -1},
		"":                          {false, -1, -1, -1},
	} {
		if got := Parse(text); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	l := Load{true, 3, 0.5, -1}
	if got := Parse(l.Text()); got != l {
		t.Errorf("%q is parsed as %+v", l.Text(), got)
	}
}
