package redelivery

import "testing"

func TestEvict(t *testing.T) {
	for name, c := range map[string]struct {
		conns []Connection
		want  int
	}{
		"none":                        {nil, -1},
		"all busy":                    {[]Connection{{1, true, true}, {2, false, true}}, -1},
		"the newest never written on": {[]Connection{{1, true, false}, {2, false, false}, {4, false, false}, {3, false, false}, {5, false, true}}, 2},
		"the oldest written on":       {[]Connection{{3, true, false}, {2, true, false}, {1, true, true}, {4, false, true}}, 1},
	} {
		if got := Evict(c.conns); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
