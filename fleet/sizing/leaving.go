package sizing

// leavingShare is the share of the hosts of a pool that may be leaving at once, unless they are beyond its need.
const leavingShare = 0.2

// moveLimit bounds the moves that a plan begins.
type moveLimit struct {
	// moves is how many moves may begin, and hosts how many of them of hosts in pools at work.
	moves, hosts int
	// leaving is how many further hosts may leave each pool.
	leaving map[string]int
}

// newMoveLimit returns the limit of a plan. Pools give a share of their hosts at once, or what they have beyond the need for work that
// could run now and can be in time.
func newMoveLimit(pools []*pool, in *Input) *moveLimit {
	limit := &moveLimit{moves: in.Budget, hosts: in.Budget, leaving: map[string]int{}}
	leaving, waiting := map[string]int{}, 0
	for _, m := range in.Moving {
		if m.Host != "" {
			leaving[m.From]++
			waiting++
		}
	}
	if in.MaxLeaving > 0 {
		limit.hosts = in.MaxLeaving - waiting
	}
	for id := range in.Emptying {
		leaving[in.Machines[id].Pool]++
	}
	for _, p := range pools {
		hosts := p.load.Hosts + leaving[p.name]
		share := max(int(leavingShare*float64(hosts)), 1)
		limit.leaving[p.name] = max(share, hosts-min(p.required, p.urgent)) - leaving[p.name]
	}
	return limit
}

// take takes a move from the limit, and reports whether it may begin.
func (l *moveLimit) take(m *Move) bool {
	if l.moves <= 0 || (m.Host != "" && (l.hosts <= 0 || l.leaving[m.From] <= 0)) {
		return false
	}
	l.moves--
	if m.Host != "" {
		l.hosts--
		l.leaving[m.From]--
	}
	return true
}
