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
package retire

// Config has the times of the steps, ms.
type Config struct {
	NoticeMs float64 // new sessions are refused for so long before the door is closed, so that balancers see it
	FinishMs float64 // for what is out; at least the longest give-up of a class, or answers are cut short
	PlayMs   float64 // for sessions that play
	EndMs    float64 // for the boxes to confirm ends, and for what was answered to leave
}

// Phase is where the stop stands.
type Phase uint8

// The phases.
const (
	Serving Phase = iota
	Finishing
	Playing
	Ending
	Gone
)

var phaseNames = [...]string{"serving", "finishing", "playing", "ending", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// Action is what is to be done on entering a phase.
type Action uint8

// The actions.
const (
	StopTaking  Action = iota // refuse new sessions, and say so in checks
	CloseDoor                 // take no further connections
	FailWaiting               // answer all that still wait: failed, no promise
	EndSessions               // end all sessions at their boxes
	CutAll                    // cut all connections and leave
)

// Facts is what is seen of the director at a moment.
type Facts struct {
	Asked   bool // a stop was asked for
	Hurry   bool // it was asked for again
	Waiting int  // requests that are owed an answer
	Playing int  // sessions
	Ending  int  // ends that the boxes have not confirmed
	Unsent  int  // connections on which answers wait to be written, and releases that no viewer has confirmed
}

// Stop is the state.
type Stop struct {
	cfg   Config
	phase Phase
	since float64
}

// New makes the state of a serving director.
func New(cfg Config) *Stop { return &Stop{cfg: cfg} }

// Phase tells where the stop stands.
func (s *Stop) Phase() Phase { return s.phase }

func (s *Stop) enter(now float64, p Phase) { s.phase, s.since = p, now }

// Step looks at the facts and appends what is to be done. It may pass several phases at once.
func (s *Stop) Step(now float64, f Facts, out []Action) []Action {
	if s.phase == Serving && f.Asked {
		s.enter(now, Finishing)
		out = append(out, StopTaking)
	}
	if s.phase == Finishing && (f.Waiting == 0 && now-s.since >= s.cfg.NoticeMs || now-s.since >= s.cfg.FinishMs) {
		out = append(out, CloseDoor)
		if f.Waiting > 0 { // rule: every request is answered, also by a director that leaves
			out = append(out, FailWaiting)
		}
		s.enter(now, Playing)
	}
	if s.phase == Playing && (f.Playing == 0 || f.Hurry || now-s.since >= s.cfg.PlayMs) {
		if f.Playing > 0 {
			out = append(out, EndSessions)
		}
		s.enter(now, Ending)
		f.Ending += f.Playing
	}
	if s.phase == Ending && (f.Ending+f.Unsent == 0 || now-s.since >= s.cfg.EndMs) {
		s.enter(now, Gone)
		out = append(out, CutAll)
	}
	return out
}
