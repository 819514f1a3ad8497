// Package retire decides how a director stops: what it still takes, what it
// lets end, and when it goes whatever is left. It is pure.
//
//	Serving    all is taken
//	Finishing  no new session; set-ups that are out end and are answered
//	Playing    all is answered; sessions that play go on for a while
//	Ending     sessions still there are ended at their boxes
//	Gone       connections are cut, the process ends
//
// Each step has a time after which the next comes anyway: a stop always ends.
package shutdown

// Config has the times of the steps, ms.
type Config struct {
	NoticeMs       float64 // new sessions are refused for so long before the door is closed, so that balancers see it
	SetupDrainMs   float64 // for what is out; at least the longest give-up of a class, or answers are cut short
	SessionDrainMs float64 // for sessions that play
	EndConfirmMs   float64 // for the boxes to confirm ends, and for what was answered to leave
}

// Phase is where the stop stands.
type Phase uint8

// The phases.
const (
	PhaseServing Phase = iota
	PhaseDrainingSetups
	PhaseDrainingSessions
	PhaseEndingSessions
	PhaseStopped
)

var phaseNames = [...]string{"serving", "finishing", "playing", "ending", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// Action is what is to be done on entering a phase.
type Action uint8

// The actions.
const (
	RefuseNewSessions   Action = iota // refuse new sessions, and say so in checks
	CloseListeners                    // take no further connections
	FailPending                       // answer all that still wait: failed, no promise
	EndSessions                       // end all sessions at their boxes
	CloseAllConnections               // cut all connections and leave
)

// Facts is what is seen of the director at a moment.
type Status struct {
	StopRequested   bool // a stop was asked for
	SkipDrain       bool // it was asked for again
	PendingRequests int  // requests that are owed an answer
	PlayingSessions int  // sessions
	UnconfirmedEnds int  // ends that the boxes have not confirmed
	UnsentMessages  int  // connections on which answers wait to be written, and releases that no viewer has confirmed
}

// Stop is the state.
type Shutdown struct {
	cfg   Config
	phase Phase
	since float64
}

// New makes the state of a serving director.
func New(cfg Config) *Shutdown { return &Shutdown{cfg: cfg} }

// Phase tells where the stop stands.
func (s *Shutdown) Phase() Phase { return s.phase }

func (s *Shutdown) enter(now float64, p Phase) { s.phase, s.since = p, now }

// Step looks at the facts and appends what is to be done. It may pass several phases at once.
func (s *Shutdown) Step(now float64, f Status, out []Action) []Action {
	if s.phase == PhaseServing && f.StopRequested {
		s.enter(now, PhaseDrainingSetups)
		out = append(out, RefuseNewSessions)
	}
	if s.phase == PhaseDrainingSetups && (f.PendingRequests == 0 && now-s.since >= s.cfg.NoticeMs || now-s.since >= s.cfg.SetupDrainMs) {
		out = append(out, CloseListeners)
		if f.PendingRequests > 0 { // rule: every request is answered, also by a director that leaves
			out = append(out, FailPending)
		}
		s.enter(now, PhaseDrainingSessions)
	}
	if s.phase == PhaseDrainingSessions && (f.PlayingSessions == 0 || f.SkipDrain || now-s.since >= s.cfg.SessionDrainMs) {
		if f.PlayingSessions > 0 {
			out = append(out, EndSessions)
		}
		s.enter(now, PhaseEndingSessions)
		f.UnconfirmedEnds += f.PlayingSessions
	}
	if s.phase == PhaseEndingSessions && (f.UnconfirmedEnds+f.UnsentMessages == 0 || now-s.since >= s.cfg.EndConfirmMs) {
		s.enter(now, PhaseStopped)
		out = append(out, CloseAllConnections)
	}
	return out
}
