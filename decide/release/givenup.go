package release

// GivenUpSetups remembers paid set-ups that their viewers gave up while they might run, so that one which comes again under the same
// ID doesn't run twice. The zero value with its limits set is ready for use.
type GivenUpSetups struct {
	RetentionMs float64
	MaxSetups   int         // at this limit the oldest is forgotten
	setups      []SessionID // oldest first
	givenUpAt   map[SessionID]float64
}

// Add remembers a set-up.
func (g *GivenUpSetups) Add(now float64, session SessionID) {
	if g.givenUpAt == nil {
		g.givenUpAt = map[SessionID]float64{}
	}
	g.expire(now)
	if _, known := g.givenUpAt[session]; known {
		return
	}
	if len(g.setups) >= g.MaxSetups {
		g.forgetOldest()
	}
	g.setups = append(g.setups, session)
	g.givenUpAt[session] = now
}

// MayHaveRun reports whether a set-up of that ID was given up while it might run.
func (g *GivenUpSetups) MayHaveRun(now float64, session SessionID) bool {
	g.expire(now)
	_, known := g.givenUpAt[session]
	return known
}

func (g *GivenUpSetups) expire(now float64) {
	for len(g.setups) > 0 && now-g.givenUpAt[g.setups[0]] >= g.RetentionMs {
		g.forgetOldest()
	}
}

func (g *GivenUpSetups) forgetOldest() {
	delete(g.givenUpAt, g.setups[0])
	g.setups = g.setups[1:]
}
