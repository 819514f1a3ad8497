package shutdown

import "math"

// KillSchedule describes a platform that kills a stopping process, whatever it is doing. Times are in ms and count from
// the request of the stop.
type KillSchedule struct {
	EarliestKillMs  float64 // the process is not killed before
	MarginMs        float64 // all requests are answered so long before the earliest kill
	UnawareMs       float64 // clients can't know of the stop for so long
	MaxAcceptMs     float64 // new sessions are accepted for no longer than this
	LongestTargetMs float64 // the longest time within which a class wants its answer
}

// Config returns the times of a stop that ends with a kill. New sessions are accepted while the longest target is left
// before the last answer, and for as long as clients can't know of the stop in any case. The listener is open for the
// same time.
func (k KillSchedule) Config() Config {
	answer := k.EarliestKillMs - k.MarginMs
	accept := math.Max(k.UnawareMs, math.Min(k.MaxAcceptMs, answer-k.LongestTargetMs))
	return Config{AcceptMs: accept, NoticeMs: accept, AnswerMs: answer}
}
