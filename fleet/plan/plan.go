// Package plan decides what the planner proposes: failures and returns of hosts,
// the steps of maintenance waves and moves, repairs and placements.
//
// A round looks at the folded state and at what was observed, and gives records to
// append and calls to make. Nothing takes effect before the fold has accepted its
// record, so a round that is based on an old view can do no harm.
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

// Entry is an entry host as the planner sees it.
type Entry struct {
	Name string
	Zone string
	// Offset is the offset up to which the entry has the routing in force.
	Offset uint64
	// Busy names hosts out of service on which the entry has requests in flight.
	Busy []string
	// Failing names hosts that fail what the entry sends them.
	Failing []string
	// Out says that the entry has handed its work over or is gone for good. It
	// no longer counts for barriers.
	Out bool
	// Silent says that the entry was not heard of lately. It counts for
	// barriers all the same, since it may still be running.
	Silent bool
}

// Input is what a round goes by beside the folded state.
type Input struct {
	Now     time.Time
	Entries []Entry
	// Machines is the platform's list by name; nil when it is too old to act on.
	Machines map[string]plat.Machine
	// Usage is the platform's usage report; nil when there is none.
	Usage []plat.TaskUsage
	// Stopped holds the fences of tasks that the platform says are stopped.
	Stopped map[TaskKey]uint64
}

// TaskKey names a task.
type TaskKey struct {
	Job  string
	Task int
}

// Draft is a record to append.
type Draft struct {
	Object string
	Base   uint64
	Body   record.Body
	Reason record.Reason
}

// Verb is a call to the platform.
type Verb string

// The calls. All of them are fenced and can be repeated.
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
	// Task and Start are set for calls about tasks.
	Task  TaskKey
	Start plat.TaskStart
}

// Output is what a round wants done.
type Output struct {
	Drafts []Draft
	Calls  []Call
}

// Times are the waits that damp decisions.
type Times struct {
	// FailAfter is how long a host must be down before it counts as failed.
	FailAfter time.Duration
	// ReturnAfter is how long a returning host must be live before it serves.
	// Each failure that is still remembered doubles it, up to maxDamping times.
	ReturnAfter time.Duration
	// CutAfter is how long an entry must be silent before cordoned hosts of its
	// zone are given back.
	CutAfter time.Duration
	// QuarantineFor is how long a quarantine lasts.
	QuarantineFor time.Duration
	// TaskTerm is the term of the leases that tasks run under.
	TaskTerm time.Duration
	// RepeatAfter is the time between two equal calls to the platform.
	RepeatAfter time.Duration
}

// maxDamping is the largest factor by which failures lengthen ReturnAfter.
const maxDamping = 16

// Planner keeps what has to be remembered from round to round. The policies are type
// parameters: O orders the hosts of a wave, M decides on moves between pools. Use
// [New] to build it; it belongs to one task.
type Planner[O Order, M Mover] struct {
	times Times
	order O
	mover M
	since tracker
	// calls is when each call was last made.
	calls map[Call]time.Time
}

// New builds a planner.
func New[O Order, M Mover](times Times, order O, mover M) *Planner[O, M] {
	return &Planner[O, M]{
		times: times, order: order, mover: mover, since: make(tracker), calls: make(map[Call]time.Time),
	}
}

// condition names something that holds or not for a subject.
type condition struct {
	what    string
	subject string
	// task tells the tasks of a job apart; 0 for other subjects.
	task int
}

// tracker remembers since when conditions hold.
type tracker map[condition]time.Time

// held returns for how long a condition has held, and forgets it when it does not.
func (t tracker) held(c condition, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(t, c)
		return 0
	}
	first, known := t[c]
	if !known {
		t[c] = now
		return 0
	}
	return now.Sub(first)
}

// round is one round of planning.
type round struct {
	s     *ledger.State
	in    Input
	times Times
	since tracker
	out   Output
	// room is what is left of each pool's budget after the drafts so far.
	room map[string]int
	// zones tells what is known of the entries of each zone.
	zones map[string]*zoneView
	// names lists the hosts in order, so that rounds on equal states are equal.
	names []string
	// cordons and returns name the hosts that this round takes out or gives back.
	cordons, returns map[string]bool
}

// zoneView is what the entries of one zone have acknowledged.
type zoneView struct {
	// acked is the lowest offset that every entry has in force.
	acked uint64
	// busy names hosts on which an entry has requests in flight.
	busy map[string]bool
	// failing counts the entries that find a host failing.
	failing map[string]int
	// entries counts the entries that are not out.
	entries int
	// silent says that an entry was not heard of lately.
	silent bool
}

// Round decides on one round. It reads the state and changes nothing in it.
func (p *Planner[O, M]) Round(s *ledger.State, in Input) Output {
	r := &round{s: s, in: in, times: p.times, since: p.since, room: make(map[string]int), zones: zonesOf(in),
		names: slices.Sorted(maps.Keys(s.Hosts)), cordons: make(map[string]bool), returns: make(map[string]bool),
	}
	for name := range s.Pools {
		r.room[name] = s.Headroom(name)
	}
	r.observe()
	r.settle()
	r.advance()
	planWaves(r, p.order)
	r.startMoves()
	p.repair(r)
	r.quarantine()
	r.placeTasks()
	r.out.Calls = p.unrepeated(r)
	return r.out
}

// unrepeated drops calls that were made a moment ago.
func (p *Planner[O, M]) unrepeated(r *round) []Call {
	now := r.in.Now
	maps.DeleteFunc(p.calls, func(_ Call, at time.Time) bool { return now.Sub(at) >= r.times.RepeatAfter })
	var out []Call
	for _, c := range r.out.Calls {
		if _, recent := p.calls[c]; recent {
			continue
		}
		p.calls[c] = now
		out = append(out, c)
	}
	return out
}

func zonesOf(in Input) map[string]*zoneView {
	zones := make(map[string]*zoneView)
	for _, e := range in.Entries {
		if e.Out {
			continue
		}
		z := zones[e.Zone]
		if z == nil {
			z = &zoneView{acked: e.Offset, busy: make(map[string]bool), failing: make(map[string]int)}
			zones[e.Zone] = z
		}
		z.entries++
		z.acked = min(z.acked, e.Offset)
		z.silent = z.silent || e.Silent
		for _, name := range e.Busy {
			z.busy[name] = true
		}
		for _, name := range e.Failing {
			z.failing[name]++
		}
	}
	return zones
}

// zone returns what is known of a zone; a zone without entries routes nothing and
// acknowledges everything.
func (r *round) zone(name string) *zoneView {
	if z := r.zones[name]; z != nil {
		return z
	}
	return &zoneView{acked: r.s.NextOffset}
}

// change drafts a step of hosts' lives.
func (r *round) change(event host.Event, hosts []string, why record.Reason) {
	for _, name := range hosts {
		r.cordons[name] = r.cordons[name] || event == host.EventCordon
		r.returns[name] = r.returns[name] || event == host.EventReturn
	}
	for len(hosts) > 0 {
		n := min(len(hosts), record.MaxBatch)
		r.out.Drafts = append(r.out.Drafts, Draft{Body: host.Change{Event: event, Hosts: hosts[:n]}, Reason: why})
		hosts = hosts[n:]
	}
}

// live reports whether the platform says that a machine runs and stays.
func (r *round) live(name string) bool {
	m, known := r.in.Machines[name]
	return known && m.State == plat.MachineLive
}

// down reports whether the platform says that a machine does not run.
func (r *round) down(name string) bool {
	m, known := r.in.Machines[name]
	return known && (m.State == plat.MachineDown || m.State == plat.MachineGone)
}
