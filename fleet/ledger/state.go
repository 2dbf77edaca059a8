// Package ledger folds the platform's log into the state of the fleet.
//
// Every instance folds the same stream with the same function, [State.Apply],
// which uses no clock, no randomness and no I/O. What would break an availability
// budget, the rule of one pool per host, or the fence of the planner lease is
// rejected here, so no race between operators or planners can break them.
package ledger

import (
	"slices"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// State is the fleet as of an offset. It belongs to one task; the maps are read
// by others only through that task.
type State struct {
	// NextOffset is the next offset to fold; every record below it is folded.
	NextOffset uint64
	// FirstOffset is the offset below which record IDs have been forgotten.
	FirstOffset uint64
	// IDs maps every record ID folded at Floor or later to its offset.
	IDs map[record.ID]uint64
	// Budgets, Pools and Quotas are what operators published, by name.
	Budgets map[string]*record.Versioned[budget.Spec]
	Pools   map[string]*record.Versioned[pool.Spec]
	Quotas  map[string]*record.Versioned[quota.Spec]
	// Hosts are the hosts by name; each belongs to exactly one pool.
	Hosts map[string]*host.Host
	// Waves are the maintenance waves by name, ended ones included.
	Waves map[string]*wave.Wave
	// Jobs are the jobs by name, cancelled ones included until retired.
	Jobs map[string]*jobs.Job
	// Lease is the planner lease.
	Lease lease.Lease
	// Gates holds the highest open schema version of each kind where it is
	// above the one that the project began with.
	Gates map[record.Kind]int
	// Unknown are the records that were kept without being understood, by offset.
	Unknown map[uint64]record.Unknown

	index         index
	hostLifecycle *host.Lifecycle
	waveLifecycle *wave.Lifecycle
	changed       Changed
}

// Changed says which parts of the state a record touched.
type Changed struct {
	// Routing is set when requests may have to be routed otherwise.
	Routing bool
}

// index is derived from the state and never encoded.
type index struct {
	// byPool holds the sorted host names of each pool.
	hostNames map[string][]string
	// tally counts each pool's hosts.
	hostCounts map[string]budget.Tally
	// poolOf maps a request kind to the pool that serves it.
	poolForKind map[string]string
	// used is what placed tasks hold on each host.
	hostUsage map[string]host.Resources
	// tasks is the number of tasks placed on each host.
	taskCounts map[string]int
	// teamUsed is what placed tasks hold for each team.
	teamUsage map[string]host.Resources
}

// New returns the state before the first record.
func New() *State {
	s := &State{
		IDs:     make(map[record.ID]uint64),
		Budgets: make(map[string]*record.Versioned[budget.Spec]),
		Pools:   make(map[string]*record.Versioned[pool.Spec]),
		Quotas:  make(map[string]*record.Versioned[quota.Spec]),
		Hosts:   make(map[string]*host.Host),
		Waves:   make(map[string]*wave.Wave),
		Jobs:    make(map[string]*jobs.Job),
		Gates:   make(map[record.Kind]int),
		Unknown: make(map[uint64]record.Unknown),
	}
	s.buildIndex()
	return s
}

// prepare builds what is derived from the exported fields.
func (s *State) buildIndex() {
	s.hostLifecycle = host.NewLifecycle()
	s.waveLifecycle = wave.NewLifecycle()
	s.index = index{
		hostNames:   make(map[string][]string),
		hostCounts:  make(map[string]budget.Tally),
		poolForKind: make(map[string]string),
		hostUsage:   make(map[string]host.Resources),
		taskCounts:  make(map[string]int),
		teamUsage:   make(map[string]host.Resources),
	}
	for name, p := range s.Pools {
		for _, k := range p.Spec.Kinds {
			s.index.poolForKind[k] = name
		}
	}
	for name, h := range s.Hosts {
		s.index.add(name, h)
	}
	for _, names := range s.index.hostNames {
		slices.Sort(names)
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.Host != "" {
				s.index.addTask(j, t.Host)
			}
		}
	}
}

func (x *index) add(name string, h *host.Host) {
	p := h.Spec.Pool
	x.hostNames[p] = append(x.hostNames[p], name)
	t := x.hostCounts[p]
	t.Size++
	if h.Phase == host.Serving {
		t.Serving++
	}
	x.hostCounts[p] = t
}

// insert adds a host and keeps the pool's names sorted.
func (x *index) insert(name string, h *host.Host) {
	x.add(name, h)
	slices.Sort(x.hostNames[h.Spec.Pool])
}

func (x *index) remove(name string, h *host.Host) {
	p := h.Spec.Pool
	if i, found := slices.BinarySearch(x.hostNames[p], name); found {
		x.hostNames[p] = slices.Delete(x.hostNames[p], i, i+1)
	}
	t := x.hostCounts[p]
	t.Size--
	if h.Phase == host.Serving {
		t.Serving--
	}
	x.hostCounts[p] = t
}

func (x *index) addTask(j *jobs.Job, on string) {
	x.hostUsage[on] = x.hostUsage[on].Add(j.Published.Spec.Size)
	x.taskCounts[on]++
	team := j.Published.Spec.Team
	x.teamUsage[team] = x.teamUsage[team].Add(j.Published.Spec.Size)
}

func (x *index) removeTask(j *jobs.Job, from string) {
	x.hostUsage[from] = x.hostUsage[from].Sub(j.Published.Spec.Size)
	x.taskCounts[from]--
	team := j.Published.Spec.Team
	x.teamUsage[team] = x.teamUsage[team].Sub(j.Published.Spec.Size)
}

// HostsOf returns the sorted names of a pool's hosts. The slice belongs to the
// state; callers must not change it.
func (s *State) HostsOf(poolName string) []string { return s.index.hostNames[poolName] }

// Tally counts a pool's hosts.
func (s *State) Tally(poolName string) budget.Tally { return s.index.hostCounts[poolName] }

// PoolForKind returns the pool that serves a request kind, or "".
func (s *State) PoolForKind(kind string) string { return s.index.poolForKind[kind] }

// HostUsage is what placed tasks hold on a host.
func (s *State) HostUsage(hostName string) host.Resources { return s.index.hostUsage[hostName] }

// TaskCount is the number of tasks placed on a host.
func (s *State) TaskCount(hostName string) int { return s.index.taskCounts[hostName] }

// TeamUsage is what placed tasks hold for a team.
func (s *State) TeamUsage(team string) host.Resources { return s.index.teamUsage[team] }

// Headroom is how many more hosts of a pool may leave service under its budget.
func (s *State) Headroom(poolName string) int {
	p := s.Pools[poolName]
	if p == nil {
		return 0
	}
	return s.Budgets[p.Spec.Budget].Spec.Headroom(s.Tally(poolName))
}

// BudgetFigures describes a pool's budget and its hosts.
func (s *State) BudgetFigures(poolName string) string {
	p := s.Pools[poolName]
	if p == nil {
		return "no such pool"
	}
	return s.Budgets[p.Spec.Budget].Spec.Figures(s.Tally(poolName))
}

// OpenSchema is the highest schema version of a kind that is in force.
func (s *State) OpenSchema(k record.Kind) int {
	if open := s.Gates[k]; open > 0 {
		return open
	}
	return initialSchema(k)
}

// firstSchema is the highest schema version that the project began with.
func initialSchema(k record.Kind) int {
	switch k {
	case record.KindBudget, record.KindPool, record.KindJob:
		return 2
	}
	return 1
}

// TakeChanges returns what was touched since the last call.
func (s *State) TakeChanges() Changed {
	c := s.changed
	s.changed = Changed{}
	return c
}
