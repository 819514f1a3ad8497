// Package shutdown decides how a director shuts down: what it still accepts, what it lets finish, and when it stops
// whatever is left. It is pure: the director's status and the time go in by Step, actions come out.
//
// Phases, what ends each one, and the actions on leaving it:
//
//	Serving           everything is accepted.
//	                  Ends when a stop is requested: RefuseNewSessions, unless AcceptMs is positive.
//	DrainingSetups    new sessions until AcceptMs, with less time than usual; set-ups finish and are answered.
//	                  Ends once no request waits and NoticeMs have passed, or after AnswerMs: CloseListeners.
//	DrainingSessions  no new sessions; sessions play on for a limited time.
//	                  Ends once no session plays, when SkipDrain is set, or after SessionDrainMs:
//	                  EndSessions if sessions still play.
//	EndingSessions    the remaining sessions are being ended at their media nodes; EndSessions again for those that turn
//	                  out to play only now. With KeepSessions none is ended.
//	                  Ends once all ends are confirmed and all messages are sent, or after EndConfirmMs:
//	                  CloseAllConnections.
//	Stopped           the connections are closed, the process exits.
//
// In every phase, FailPending follows for requests that still wait AnswerMs after the stop was requested: the process may
// be killed soon after that. Connections stay open while sessions play and requests go on arriving on them, so no answer
// may depend on a change of phase alone.
//
// Every phase after Serving has a time limit, so that a shutdown always ends. Where
// SessionDrainMs is infinite, only SkipDrain or the end of all sessions ends DrainingSessions.
package shutdown

import "math"

// Config has the times of the phases, in ms. The first three count from the request of the stop.
type Config struct {
	AcceptMs       float64 // new sessions are accepted for so long; at most NoticeMs
	NoticeMs       float64 // the listeners are open for at least so long, so that load balancers notice
	AnswerMs       float64 // all requests are answered by then; more than AcceptMs
	SessionDrainMs float64 // for sessions that play; infinite if they play on until SkipDrain is set
	KeepSessions   bool    // sessions play on at their media nodes when the director has stopped
	EndConfirmMs   float64 // for media nodes to confirm ended sessions, and for answers to be written
}

// Phase is the phase of a shutdown; see the package comment.
type Phase uint8

// The phases.
const (
	PhaseServing Phase = iota
	PhaseDrainingSetups
	PhaseDrainingSessions
	PhaseEndingSessions
	PhaseStopped
)

// phaseNames are the external names of the phases, also in metrics and logs, in the order of the constants.
var phaseNames = [...]string{"serving", "finishing", "playing", "ending", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// Action is one thing to do at the change of a phase.
type Action uint8

// The actions.
const (
	RefuseNewSessions   Action = iota // refuse new sessions, and report so in health checks
	CloseListeners                    // accept no further connections
	FailPending                       // answer all waiting requests: failed, the set-up may have run
	EndSessions                       // end all sessions at their media nodes
	CloseAllConnections               // close all connections and exit
)

// Status is the input of Step: what the director observes of itself.
type Status struct {
	StopRequested   bool
	SkipDrain       bool // a stop was requested a second time
	PendingRequests int  // requests that wait for an answer
	PlayingSessions int
	UnconfirmedEnds int // ended sessions that their media nodes have not confirmed
	UnsentMessages  int // connections with answers still to write, and releases that no viewer has confirmed
}

// Shutdown is the state of a shutdown.
type Shutdown struct {
	cfg            Config
	phase          Phase
	phaseStartedAt float64 // ms
	requestedAt    float64 // ms; of the stop
	refusing       bool    // RefuseNewSessions has been given
}

// New returns the state of a director that is serving.
func New(cfg Config) *Shutdown { return &Shutdown{cfg: cfg} }

// Phase returns the current phase.
func (s *Shutdown) Phase() Phase { return s.phase }

// Accepts tells whether a request that is read at now may start a set-up. One that may not is to be refused at once.
func (s *Shutdown) Accepts(now float64) bool {
	return s.phase == PhaseServing || s.phase == PhaseDrainingSetups && now-s.requestedAt < s.cfg.AcceptMs
}

// TimeLeft returns the time that a request read at now may take, if its viewer waits for waitMs: after it the request is
// failed, as the process may be killed.
func (s *Shutdown) TimeLeft(now, waitMs float64) float64 {
	if s.phase == PhaseServing {
		return waitMs
	}
	return math.Max(math.Min(waitMs, s.requestedAt+s.cfg.AnswerMs-now), 0)
}

func (s *Shutdown) enter(now float64, p Phase) { s.phase, s.phaseStartedAt = p, now }

// Step evaluates the status at time now and appends the resulting actions to out. It may pass through several phases
// at once.
func (s *Shutdown) Step(now float64, status Status, out []Action) []Action {
	if s.phase == PhaseServing {
		if !status.StopRequested {
			return out
		}
		s.requestedAt = now
		s.enter(now, PhaseDrainingSetups)
	}
	if !s.refusing && !s.Accepts(now) {
		s.refusing = true
		out = append(out, RefuseNewSessions)
	}
	answersDue := now-s.requestedAt >= s.cfg.AnswerMs
	if s.phase == PhaseDrainingSetups &&
		(status.PendingRequests == 0 && now-s.requestedAt >= s.cfg.NoticeMs || answersDue) {
		out = append(out, CloseListeners)
		s.enter(now, PhaseDrainingSessions)
	}
	if answersDue && status.PendingRequests > 0 { // every request gets an answer, also from a director that shuts down
		out = append(out, FailPending)
		status.PendingRequests = 0 // by that action
	}
	if s.phase == PhaseDrainingSessions &&
		(status.PlayingSessions == 0 || status.SkipDrain || now-s.phaseStartedAt >= s.cfg.SessionDrainMs) {
		s.enter(now, PhaseEndingSessions)
	}
	if s.phase == PhaseEndingSessions && status.PlayingSessions > 0 && !s.cfg.KeepSessions {
		out = append(out, EndSessions)
		status.UnconfirmedEnds += status.PlayingSessions
	}
	if s.phase == PhaseEndingSessions &&
		(status.PendingRequests+status.UnconfirmedEnds+status.UnsentMessages == 0 || now-s.phaseStartedAt >= s.cfg.EndConfirmMs) {
		s.enter(now, PhaseStopped)
		out = append(out, CloseAllConnections)
	}
	return out
}
