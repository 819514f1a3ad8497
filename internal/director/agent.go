package director

import (
	"strconv"

	"headmill/decide/shutdown"
	"headmill/internal/loop"
)

// agent answers balancers' agent checks (HAProxy configuration manual, section 5.2, "agent-check"): a line of
// ASCII on connect, then the end. A check is no session and touches no table.
type agent struct{ d *Director }

// Connected is never called for accepted connections.
func (a agent) Connected(*loop.Conn) {}

// Drained has nothing to do.
func (a agent) Drained(*loop.Conn) {}

// Data throws away what a check sends ("agent-send").
func (a agent) Data(*loop.Conn, []byte) {}

// Closed has nothing to do.
func (a agent) Closed(*loop.Conn, error) {}

// agentLine is what is said: drain as soon as a stop was asked for, down without a box list, else the weight.
func (d *Director) agentLine() string {
	switch {
	case d.stop.Phase() != shutdown.PhaseServing:
		return "drain\n"
	case d.fleet.Len() == 0:
		return "down #no box list\n"
	}
	return "up " + strconv.Itoa(d.gate.Weight()) + "%\n"
}

func (d *Director) listenAgent() error {
	if d.cfg.Director.Agent == "" {
		return nil
	}
	ln, err := d.l.Listen(d.cfg.Director.Agent, func(c *loop.Conn) loop.Handler {
		d.stats.Checks++
		c.Write([]byte(d.agentLine()))
		c.CloseWrite()
		return agent{d}
	})
	if err == nil {
		d.agentAddr = ln.Addr()
	}
	return err
}

// AgentAddr is where agent checks are answered; empty where they are not.
func (d *Director) AgentAddr() string { return d.agentAddr }
