package health

// Which process of a media node runs a session. A media node keeps its ID when its process starts anew, and the new
// process knows nothing of the sessions before it and sends no release of them. What tells a director of one:
//
//	evidence                                            what it proves
//	a process that started after the connection of a    the session has ended
//	session's set-up came up, by the node list
//	bytes, after that start, on an open connection      the listed start is too late: the process runs since that
//	that came up before it                              connection came up at the latest
//	an older start, by an older answer of the name      nothing new; starts only move forward
//	service
//	a new connection comes up                           something listens at the address, whichever process it is
//	an old connection is reset                          nothing: single connections are reset too
//
// Until the list tells, sessions are kept as long as the media node can be reached: one that is given up wrongly costs
// its viewer, and the list tells of every start.

// OpenConn is an open connection to a media node.
type OpenConn struct {
	ConnectedAt float64 // when it came up
	LastHeardAt float64 // when bytes were last received on it
}

// ProcessStart returns the start of a media node's process, given the listed one and the open connections.
func ProcessStart(listedAt float64, conns []OpenConn) float64 {
	startedAt := listedAt
	for _, conn := range conns {
		if conn.LastHeardAt >= listedAt {
			startedAt = min(startedAt, conn.ConnectedAt)
		}
	}
	return startedAt
}

// loseEarlierSessions loses the sessions that were set up before the present process started.
func (m *Monitor) loseEarlierSessions(node *nodeState) {
	for _, session := range sortedSessions(node.givenUp) {
		if node.givenUp[session].connectedAt < node.processStartedAt {
			m.lostSessionGone(node, session)
		}
	}
	for _, session := range sortedSessions(node.sessions) {
		if node.sessions[session].connectedAt < node.processStartedAt {
			m.loseSession(node, session, false)
		}
	}
}
