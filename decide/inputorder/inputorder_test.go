package inputorder

import (
	"slices"
	"testing"
)

var testConfig = Config{MaxWaitBytes: 1000, MaxPerStep: 2}

// Guards against requests that are carried out ahead of input of their client, and ones that wait for ever.
func TestQueue(t *testing.T) {
	type step struct {
		read   int
		add    []RequestID
		unread bool
		due    []RequestID
	}
	for name, steps := range map[string][]step{
		"nothing is unread":     {{100, []RequestID{1}, false, []RequestID{1}}},
		"input behind it":       {{100, []RequestID{1}, true, nil}, {50, nil, false, []RequestID{1}}},
		"in their order":        {{100, []RequestID{1}, true, nil}, {100, []RequestID{2}, true, nil}, {1, nil, false, []RequestID{1, 2}}},
		"a few at a time":       {{100, []RequestID{1, 2, 3}, false, []RequestID{1, 2}}, {0, nil, false, []RequestID{3}}},
		"enough was read":       {{100, []RequestID{1}, true, nil}, {999, nil, true, nil}, {1, nil, true, []RequestID{1}}},
		"later ones still wait": {{100, []RequestID{1}, true, nil}, {500, []RequestID{2}, true, nil}, {500, nil, true, []RequestID{1}}, {500, nil, true, []RequestID{2}}},
	} {
		t.Run(name, func(t *testing.T) {
			var queue Queue
			for i, s := range steps {
				queue.BytesRead(s.read)
				for _, id := range s.add {
					queue.Add(id)
				}
				if due := queue.Due(testConfig, s.unread, nil); !slices.Equal(due, s.due) {
					t.Errorf("step %d: due are %v, want %v", i, due, s.due)
				}
			}
			if queue.Len() != 0 {
				t.Errorf("%d requests wait for ever", queue.Len())
			}
		})
	}
}
