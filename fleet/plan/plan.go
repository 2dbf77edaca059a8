// Package plan decides what the planner proposes: failures and returns of hosts, the steps of
// maintenance waves and moves, repairs of pools and placements of tasks.
//
// A planning round reads the fleet state and the observations, and returns records to append to
// the log and calls to make to the platform. A record has no effect until package ledger has
// accepted it, so a round that is based on an outdated state does no harm.
package plan

import (
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// Entry is the planner's view of an entry host.
type Entry struct {
	Name string
	Zone string
	// Offset is the log offset that the entry has acknowledged: its routing follows from the
	// records below it.
	Offset uint64
	// Busy names hosts out of service on which the entry still has requests in flight.
	Busy []string
	// Failing names hosts on which the entry's requests fail.
	Failing []string
	// Departed means that the entry has handed over its work or is permanently gone. Barriers no
	// longer wait for it.
	Departed bool
	// Unreachable means that no heartbeat of the entry has arrived within the timeout. Barriers
	// still wait for it, since it may still be running.
	Unreachable bool
}

// Input holds the observations that a round uses in addition to the fleet state.
type Input struct {
	Now     time.Time
	Entries []Entry
	// Machines is the platform's machine list by name; nil when the list is too old to act on.
	Machines map[string]plat.Machine
	// Usage is the platform's usage report; nil when there is none.
	Usage []plat.TaskUsage
	// StoppedTasks holds the fences of tasks that the platform reports as stopped.
	StoppedTasks map[TaskKey]uint64
}

// TaskKey identifies a task.
type TaskKey struct {
	Job  string
	Task int
}

// Draft is a record that the planner proposes to append.
type Draft struct {
	Object string
	Base   uint64
	// Schema is the schema version of the record; 0 selects version 1.
	Schema int
	Body   record.Body
	Reason record.Reason
}

// Verb is the kind of a call to the platform.
type Verb string

// The calls to the platform. All of them are fenced and can be repeated.
const (
	VerbReboot Verb = "reboot"
	VerbStart  Verb = "start-task"
	VerbStop   Verb = "stop-task"
)

// Call is a call to make to the platform.
type Call struct {
	Verb  Verb
	Host  string
	Fence uint64
	// Task is set for calls about tasks, Start only for [VerbStart].
	Task  TaskKey
	Start plat.TaskStart
}

// Output holds the records and calls that a round proposes.
type Output struct {
	Drafts []Draft
	Calls  []Call
}

// Timing holds the delays and the lease term that the planner uses.
type Timing struct {
	// FailAfter is how long a host must be down before it counts as failed.
	FailAfter time.Duration
	// ReturnAfter is how long a returning host must be live before it serves. A failed host must
	// be live for ReturnAfter before its failure is over; each further failure in its history
	// doubles this time.
	ReturnAfter time.Duration
	// PartitionAfter is how long a host must be cordoned in a zone with an unreachable entry before
	// it returns to service.
	PartitionAfter time.Duration
	// QuarantineFor is how long a quarantine lasts.
	QuarantineFor time.Duration
	// TaskLeaseTerm is the term of the leases under which tasks run.
	TaskLeaseTerm time.Duration
	// RepeatCallAfter is the minimum time before an equal call to the platform is repeated.
	RepeatCallAfter time.Duration
}

// maxWaitFactor limits how often failures double ReturnAfter. recoveryWait halves the factor, so
// the longest wait is maxWaitFactor/2 times ReturnAfter.
const maxWaitFactor = 16

// Planner keeps the state that lasts from one round to the next. The policies are type
// parameters: O orders the hosts of a wave, M decides on moves between pools. Use [New] to
// build it. It is not safe for concurrent use: one task owns it.
type Planner[O HostOrder, M Mover] struct {
	timing     Timing
	order      O
	mover      M
	conditions conditionTimes
	// lastCalls holds the time at which each call was last made.
	lastCalls map[Call]time.Time
	// lostTasks holds the fences of placed tasks that did not run when their host was seen down.
	lostTasks map[TaskKey]uint64
}

// New builds a planner.
func New[O HostOrder, M Mover](timing Timing, order O, mover M) *Planner[O, M] {
	return &Planner[O, M]{
		timing: timing, order: order, mover: mover, conditions: make(conditionTimes), lastCalls: make(map[Call]time.Time),
		lostTasks: make(map[TaskKey]uint64),
	}
}

// condition identifies a condition of a subject, such as a host that is down.
type condition struct {
	kind    string
	subject string
	// task distinguishes the tasks of a job; 0 for other subjects.
	task int
}

// conditionTimes holds the time since which each condition has held.
type conditionTimes map[condition]time.Time

// heldFor returns how long a condition has held without interruption. When it does not hold, its
// start time is deleted.
func (t conditionTimes) heldFor(c condition, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(t, c)
		return 0
	}
	since, known := t[c]
	if !known {
		t[c] = now
		return 0
	}
	return now.Sub(since)
}

// round holds the data of one planning round.
type round struct {
	state      *ledger.State
	input      Input
	timing     Timing
	conditions conditionTimes
	lostTasks  map[TaskKey]uint64
	output     Output
	// headroom is what remains of each pool's budget after the drafts of this round so far.
	headroom map[string]int
	// zones holds the view of the entries of each zone.
	zones map[string]*zoneView
	// hostNames is sorted, so that rounds on equal states give equal output.
	hostNames []string
	// cordoned and returned name the hosts that this round takes out of service or returns.
	cordoned, returned map[string]bool
	// taskHosts names the hosts with tasks, including those that this round places.
	taskHosts taskHosts
}

// zoneView combines the reports of the entries of one zone.
type zoneView struct {
	// acknowledged is the lowest offset that an entry of the zone has acknowledged.
	acknowledged uint64
	// busy names hosts on which an entry has requests in flight.
	busy map[string]bool
	// failing counts, for each host, the entries whose requests fail on it.
	failing map[string]int
	// entries counts the entries that have not departed.
	entries int
	// unreachable means that at least one entry is unreachable.
	unreachable bool
}

// Round plans one round. It does not modify the state.
func (p *Planner[O, M]) Round(s *ledger.State, in Input) Output {
	r := &round{state: s, input: in, timing: p.timing, conditions: p.conditions, lostTasks: p.lostTasks, headroom: make(map[string]int), zones: zoneViews(in),
		hostNames: slices.Sorted(maps.Keys(s.Hosts)), cordoned: make(map[string]bool), returned: make(map[string]bool),
	}
	for name := range s.Pools {
		r.headroom[name] = s.Headroom(name)
	}
	r.observeMachines()
	r.returnUnneeded()
	r.advanceHosts()
	planWaves(r, p.order)
	r.startMoves()
	p.repair(r)
	r.quarantine()
	r.placeTasks()
	r.output.Calls = p.withoutRecentCalls(r)
	return r.output
}

// withoutRecentCalls drops calls that were made less than RepeatCallAfter ago.
func (p *Planner[O, M]) withoutRecentCalls(r *round) []Call {
	now := r.input.Now
	maps.DeleteFunc(p.lastCalls, func(_ Call, at time.Time) bool { return now.Sub(at) >= r.timing.RepeatCallAfter })
	var out []Call
	for _, c := range r.output.Calls {
		if _, recent := p.lastCalls[c]; recent {
			continue
		}
		p.lastCalls[c] = now
		out = append(out, c)
	}
	return out
}

func zoneViews(in Input) map[string]*zoneView {
	zones := make(map[string]*zoneView)
	for _, e := range in.Entries {
		if e.Departed {
			continue
		}
		z := zones[e.Zone]
		if z == nil {
			z = &zoneView{acknowledged: e.Offset, busy: make(map[string]bool), failing: make(map[string]int)}
			zones[e.Zone] = z
		}
		z.entries++
		z.acknowledged = min(z.acknowledged, e.Offset)
		z.unreachable = z.unreachable || e.Unreachable
		for _, name := range e.Busy {
			z.busy[name] = true
		}
		for _, name := range e.Failing {
			z.failing[name]++
		}
	}
	return zones
}

// zone returns the view of a zone. A zone without entries routes nothing, so it counts as having
// acknowledged everything.
func (r *round) zone(name string) *zoneView {
	if z := r.zones[name]; z != nil {
		return z
	}
	return &zoneView{acknowledged: r.state.NextOffset}
}

// draftChange drafts a change of the hosts' phases, in records of at most record.MaxBatch
// hosts.
func (r *round) draftChange(event host.Event, hosts []string, why record.Reason) {
	for _, name := range hosts {
		r.cordoned[name] = r.cordoned[name] || event == host.EventCordon
		r.returned[name] = r.returned[name] || event == host.EventReturn
	}
	for len(hosts) > 0 {
		n := min(len(hosts), record.MaxBatch)
		r.output.Drafts = append(r.output.Drafts, Draft{Body: host.Change{Event: event, Hosts: hosts[:n]}, Reason: why})
		hosts = hosts[n:]
	}
}

// live reports whether the platform lists the machine as running and not about to leave.
func (r *round) live(name string) bool {
	m, known := r.input.Machines[name]
	return known && m.State == plat.MachineLive
}

// down reports whether the platform lists the machine as not running.
func (r *round) down(name string) bool {
	m, known := r.input.Machines[name]
	return known && (m.State == plat.MachineDown || m.State == plat.MachineGone)
}
