package health

import "math"

// Timing has the limits from which the times of a Monitor follow where any open connection to a media node serves as its stream.
// Silence alone proves nothing there: a media node may have nothing to send, or be cut off for a moment. All times are in ms.
type Timing struct {
	NotifyMs        float64 // from when a media node was last heard until viewers of its lost sessions must be notified
	NotifyMarginMs  float64 // the part of NotifyMs that is kept for the notification
	ConnectMs       float64 // connect time-out of set-ups
	ConnectDelayMs  float64 // by which a connection to a media node that runs may come up late
	CheckIntervalMs float64 // between two Ticks
	PeerIdleMs      float64 // after which media nodes close an idle connection
}

// Config returns when a silent media node is probed with a connection, and when its sessions are given up: not before NotifyMs
// demands it, and after two probes in a row that may each come up late. One that does come up is contact.
func (t Timing) Config() Config {
	retryMs := math.Min(t.ConnectMs, t.ConnectDelayMs) / 4
	probesMs := 2*(t.ProbeTimeoutMs()+t.CheckIntervalMs) + retryMs
	return Config{
		StreamTimeoutMs: t.nodeTimeoutMs() - probesMs,
		NodeTimeoutMs:   t.nodeTimeoutMs(),
		MinRetryMs:      retryMs,
		MaxRetryMs:      math.Min(2*t.ConnectMs, t.ConnectDelayMs),
		IdleTimeoutMs:   t.PeerIdleMs / 3,
		OpenTimeoutMs:   t.ProbeTimeoutMs() + t.CheckIntervalMs/2, // after the caller's time-out, which reports the failure first
		LostRetentionMs: LostRetentionMs,
	}
}

// ProbeTimeoutMs is the time that a connection may take which is opened to find out whether a media node is alive. It may come
// up late, beyond the connect time-out for set-ups, and proves as much then.
func (t Timing) ProbeTimeoutMs() float64 {
	return math.Min(t.ConnectDelayMs+t.ConnectMs, t.nodeTimeoutMs()/4)
}

func (t Timing) nodeTimeoutMs() float64 { return t.NotifyMs - t.NotifyMarginMs }
