package director

import (
	"strconv"

	"headmill/decide/shutdown"
	"headmill/internal/loop"
)

// agentCheckHandler owns connections of load balancers' agent checks (HAProxy configuration manual, section 5.2,
// "agent-check"): the director writes a line of ASCII on connect and closes. A check is not a session and changes no
// table.
type agentCheckHandler struct{ director *Director }

// Connected implements loop.Handler. It is never called for accepted connections.
func (a agentCheckHandler) Connected(*loop.Conn) {}

// Flushed implements loop.Handler.
func (a agentCheckHandler) Flushed(*loop.Conn) {}

// Data discards what the check sends ("agent-send").
func (a agentCheckHandler) Data(*loop.Conn, []byte) {}

// Closed implements loop.Handler.
func (a agentCheckHandler) Closed(*loop.Conn, error) {}

// agentCheckResponse returns "drain" once a stop was requested, "down" without a node list, and otherwise "up" with
// the weight from admission control.
func (d *Director) agentCheckResponse() string {
	switch {
	case d.shutdown.Phase() != shutdown.PhaseServing:
		return "drain\n"
	case d.nodeList.Len() == 0:
		return "down #no box list\n" // external text
	}
	return "up " + strconv.Itoa(d.admission.Weight()) + "%\n"
}

// listenAgentChecks opens the agent check listener if one is configured.
func (d *Director) listenAgentChecks() error {
	if d.cfg.Director.Agent == "" {
		return nil
	}
	ln, err := d.loop.Listen(d.cfg.Director.Agent, func(c *loop.Conn) loop.Handler {
		d.stats.AgentChecks++
		c.Write([]byte(d.agentCheckResponse()))
		c.CloseGracefully()
		return agentCheckHandler{d}
	})
	if err == nil {
		d.agentCheckAddr = ln.Addr()
	}
	return err
}

// AgentAddr returns the address of the agent check listener, or "" if there is none.
func (d *Director) AgentAddr() string { return d.agentCheckAddr }
