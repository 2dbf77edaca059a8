// Package ledger applies the records of the platform's log to the state of the fleet. It is a
// replicated state machine: every instance applies the same records with the same function,
// [State.Apply], which uses no clock, no randomness and no I/O.
//
// Apply rejects records that would overdraw an availability budget, put a host into more than one
// pool, or were written under an old fence of the planner lease. The order of the log decides, so
// races between operators or planners cannot violate these rules.
package ledger

import (
	"slices"

	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// State is the state of the fleet at one offset of the log. It is not safe for concurrent use: one
// task owns it, and other tasks read it only by requests to that task.
type State struct {
	// NextOffset is the offset of the next record to apply. All records below it have been applied.
	NextOffset uint64
	// FirstOffset is the offset below which record IDs have been dropped.
	FirstOffset uint64
	// IDs maps the IDs of the records at FirstOffset or later to their offsets. It includes rejected
	// records, except those without a valid envelope.
	IDs map[record.ID]uint64
	// Budgets, Pools and Quotas are the specifications published by operators, by name.
	Budgets map[string]*record.Versioned[budget.Spec]
	Pools   map[string]*record.Versioned[pool.Spec]
	Quotas  map[string]*record.Versioned[quota.Spec]
	// Keys holds the keys of teams by name. No two have the same digest.
	Keys map[string]*record.Versioned[apikey.Spec]
	// Hosts holds the hosts by name. Each belongs to exactly one pool.
	Hosts map[string]*host.Host
	// Waves holds the maintenance waves by name, including ended ones.
	Waves map[string]*wave.Wave
	// Jobs holds the jobs by name, including cancelled ones until they are retired.
	Jobs map[string]*jobs.Job
	// Lease is the planner lease.
	Lease lease.Lease
	// Gates holds the highest open schema version of each kind for which a [Gate] was applied.
	// Other kinds are at their initial version.
	Gates map[record.Kind]int
	// Unknown holds, by offset, the records of an unknown kind or schema version. They are stored
	// but not applied.
	Unknown map[uint64]record.Unknown

	index         index
	hostLifecycle *host.Lifecycle
	waveLifecycle *wave.Lifecycle
	changed       Changed
}

// Changed reports which parts of the state have been modified.
type Changed struct {
	// Routing is set if the routing of requests may have changed.
	Routing bool
	// Keys is set if the keys of teams may have changed.
	Keys bool
}

// index holds data derived from the exported fields of [State]. It is not encoded.
type index struct {
	// hostNames holds the sorted names of each pool's hosts.
	hostNames map[string][]string
	// hostCounts holds, for each pool, the number of hosts and how many of them are serving.
	hostCounts map[string]budget.Tally
	// poolForKind maps a request kind to the pool that serves it.
	poolForKind map[string]string
	// hostUsage holds the resources of the tasks placed on each host.
	hostUsage map[string]host.Resources
	// taskCounts holds the number of tasks placed on each host.
	taskCounts map[string]int
	// teamUsage holds the resources of each team's placed tasks.
	teamUsage map[string]host.Resources
}

// New returns an empty state, before the first record.
func New() *State {
	s := &State{
		IDs:     make(map[record.ID]uint64),
		Budgets: make(map[string]*record.Versioned[budget.Spec]),
		Pools:   make(map[string]*record.Versioned[pool.Spec]),
		Quotas:  make(map[string]*record.Versioned[quota.Spec]),
		Keys:    make(map[string]*record.Versioned[apikey.Spec]),
		Hosts:   make(map[string]*host.Host),
		Waves:   make(map[string]*wave.Wave),
		Jobs:    make(map[string]*jobs.Job),
		Gates:   make(map[record.Kind]int),
		Unknown: make(map[uint64]record.Unknown),
	}
	s.buildIndex()
	return s
}

// buildIndex derives the index from the exported fields and builds the state machines.
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

// add adds a host without sorting the pool's host names.
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

// insert adds a host and sorts the pool's host names.
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

// HostsOf returns the sorted names of a pool's hosts. Callers must not modify the slice.
func (s *State) HostsOf(poolName string) []string { return s.index.hostNames[poolName] }

// Tally returns the number of a pool's hosts and how many of them are serving.
func (s *State) Tally(poolName string) budget.Tally { return s.index.hostCounts[poolName] }

// PoolForKind returns the pool that serves a request kind, or "" if no pool does.
func (s *State) PoolForKind(kind string) string { return s.index.poolForKind[kind] }

// HostUsage returns the resources of the tasks placed on a host.
func (s *State) HostUsage(hostName string) host.Resources { return s.index.hostUsage[hostName] }

// TaskCount returns the number of tasks placed on a host.
func (s *State) TaskCount(hostName string) int { return s.index.taskCounts[hostName] }

// TeamUsage returns the resources of a team's placed tasks.
func (s *State) TeamUsage(team string) host.Resources { return s.index.teamUsage[team] }

// Headroom returns how many more hosts of a pool may leave service under its budget. It is negative
// when the budget is overdrawn.
func (s *State) Headroom(poolName string) int {
	p := s.Pools[poolName]
	if p == nil {
		return 0
	}
	return s.Budgets[p.Spec.Budget].Spec.Headroom(s.Tally(poolName))
}

// BudgetFigures describes a pool's budget and host counts, for reasons and explanations.
func (s *State) BudgetFigures(poolName string) string {
	p := s.Pools[poolName]
	if p == nil {
		return "no such pool"
	}
	return s.Budgets[p.Spec.Budget].Spec.Figures(s.Tally(poolName))
}

// OpenSchema returns the highest open schema version of a kind. Records in a higher version are
// stored but not applied.
func (s *State) OpenSchema(k record.Kind) int {
	if open := s.Gates[k]; open > 0 {
		return open
	}
	return initialSchema(k)
}

// initialSchema returns the highest schema version of a kind that is open without a [Gate]: the one
// that the project started with.
func initialSchema(k record.Kind) int {
	switch k {
	case record.KindBudget, record.KindPool, record.KindJob:
		return 2
	}
	return 1
}

// TakeChanges returns the modifications since the previous call and resets them.
func (s *State) TakeChanges() Changed {
	c := s.changed
	s.changed = Changed{}
	return c
}
