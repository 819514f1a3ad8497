package redelivery

import (
	"fmt"
	"testing"
)

// What may be lost with a connection, by when it was sent and when the media node was last heard.
func TestSentMessages(t *testing.T) {
	cfg := &SentConfig{WindowMs: 1000, SilentWindowMs: 20000, MaxMessages: 3}
	sent := func(session uint64, kind MessageKind, firstSentAt float64) Message {
		return Message{session, kind, firstSentAt}
	}
	for name, c := range map[string]struct {
		add            []Message // sent at 100 ms
		now, lastHeard float64
		want           []Message
	}{
		"a moment ago":                   {[]Message{sent(1, Release, 0)}, 1100, 1000, []Message{sent(1, Release, 100)}},
		"read, as it was heard since":    {[]Message{sent(1, Release, 0)}, 1101, 200, nil},
		"nothing heard since":            {[]Message{sent(1, Release, 0)}, 20100, 100, []Message{sent(1, Release, 100)}},
		"nothing heard for too long":     {[]Message{sent(1, Release, 0)}, 20101, 99, nil},
		"repeated, by its first time":    {[]Message{sent(1, Release, 50)}, 1051, 99, nil},
		"the newest rung counts":         {[]Message{sent(1, Rung, 0), sent(1, Rung, 0), sent(1, Release, 0)}, 200, 0, []Message{sent(1, Rung, 100), sent(1, Release, 100)}},
		"more than the limit, the newer": {[]Message{sent(1, Rung, 0), sent(2, Rung, 0), sent(3, Rung, 0), sent(4, Rung, 0)}, 200, 0, []Message{sent(2, Rung, 100), sent(3, Rung, 100), sent(4, Rung, 100)}},
	} {
		var s SentMessages
		for _, msg := range c.add {
			s.Add(cfg, 100, 99, msg)
		}
		if got := s.TakeLost(cfg, c.now, c.lastHeard); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: lost %v, want %v", name, got, c.want)
		}
		if got := s.TakeLost(cfg, 100, 0); len(got) > 0 {
			t.Errorf("%s: lost twice: %v", name, got)
		}
	}
}
