package limits

// Descriptors says how many file descriptors of a director's process may be used for what. The rest is for connections to media
// nodes and the discovery service, for agent checks, and for the process itself.
type Descriptors struct {
	Viewers   int // connections of viewers
	Lingering int // connections that linger after their close
	Operators int // connections to the operators' interfaces
}

// PlanDescriptors divides the descriptors that a process may hold.
func PlanDescriptors(total int) Descriptors {
	return Descriptors{Viewers: max(total*5/8, 1), Lingering: max(total/16, 1), Operators: max(min(total/16, 64), 1)}
}
