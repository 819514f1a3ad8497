package redelivery

import "slices"

// MessageKind is the kind of a message to a media node.
type MessageKind uint8

// The kinds.
const (
	Release MessageKind = iota // ends a session or gives up a set-up
	Rung                       // sets a session's rung; only the newest of a session counts
)

// Message is a message to a media node about a session. Media nodes acknowledge none.
type Message struct {
	Session     uint64 // of the protocol
	Kind        MessageKind
	FirstSentAt float64 // 0: it was never sent
}

// SentConfig has the limits of a SentMessages.
type SentConfig struct {
	// WindowMs is the time within which a running media node reads what it was sent.
	WindowMs float64
	// SilentWindowMs is the longest time for which a message to a media node that has sent nothing since may be unread.
	SilentWindowMs float64
	MaxMessages    int
}

// SentMessages holds what was sent on one connection and may be lost if the connection ends. It is pure.
type SentMessages struct {
	messages []Message // oldest first
}

// Add notes a message that is being sent; lastHeard is when the media node last sent something on the connection. It returns
// the message with its time. A message that was sent before keeps its time, so that it is not repeated for ever to a media
// node that resets every connection.
func (s *SentMessages) Add(cfg *SentConfig, now, lastHeard float64, msg Message) Message {
	if msg.FirstSentAt == 0 {
		msg.FirstSentAt = now
	}
	s.messages = slices.DeleteFunc(s.messages, func(old Message) bool {
		return old.Session == msg.Session && old.Kind == msg.Kind || !cfg.mayBeLost(old, now, lastHeard)
	})
	if len(s.messages) >= cfg.MaxMessages {
		s.messages = slices.Delete(s.messages, 0, 1)
	}
	s.messages = append(s.messages, msg)
	return msg
}

// TakeLost removes and returns what may be lost as the connection ends now, also in order: the media node may have closed it
// before it was sent anything, and this side may have stood still since.
func (s *SentMessages) TakeLost(cfg *SentConfig, now, lastHeard float64) []Message {
	lost := slices.DeleteFunc(s.messages, func(msg Message) bool { return !cfg.mayBeLost(msg, now, lastHeard) })
	s.messages = nil
	return lost
}

// mayBeLost reports whether a message may be unread at now.
func (c *SentConfig) mayBeLost(msg Message, now, lastHeard float64) bool {
	age := now - msg.FirstSentAt
	return age <= c.WindowMs || lastHeard <= msg.FirstSentAt && age <= c.SilentWindowMs
}
