// Package shard holds what the owner of a pool knows and decides: which jobs it has
// accepted, what runs on which host, and which orders to give next. It does no I/O
// and reads no clock; the owner task feeds it with what happened and carries its
// orders out.
package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Timing holds the times that the decisions rest on.
type Timing struct {
	// Lease is how long a host may run work without hearing from the owner. It is
	// positive and at most what the platform allows.
	Lease time.Duration
	// Grace is how long an owner goes on extending leases after the store last
	// confirmed its claim.
	Grace time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor times the run time is what a task takes away from its data.
	RemoteFactor float64
	// AbsenceLimit is how long a lasting task may be away before it counts.
	AbsenceLimit time.Duration
	// RestoreTime is what resuming from a checkpoint takes.
	RestoreTime time.Duration
	// DisruptionLimit is how long a task that serves may be disturbed.
	DisruptionLimit time.Duration
	// StopTimeout is the longest time that a host takes to end a run.
	StopTimeout time.Duration
}

// ClockDrift is how much slower than true time a host's clock may be, as a factor
// on spans of its time; the platform says 2 %.
const ClockDrift = 1.02

// runsPerEpoch is the number of starts of one task under one owner. A new
// owner's run numbers lie above all that earlier owners can have given.
const runsPerEpoch = 1000

// Phase is where a job is in its life.
type Phase string

// The phases of a job.
const (
	Open      Phase = "open"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Status is where a task is.
type Status uint8

// The statuses of a task.
const (
	// Idle units run nowhere.
	Idle Status = iota
	// Starting units have been ordered to start, and the host has not answered.
	Starting
	// Uncertain units may run or start to run: the order to start was not answered. A
	// stop of that run has to be confirmed before another may start.
	Uncertain
	// Running units run.
	Running
	// Stopping units have been ordered to stop.
	Stopping
)

// Unit is a task of an occurrence.
type Unit struct {
	// Status says whether it runs; Host and Run are set unless it is Idle.
	Status Status
	Host   string
	// Run is the highest run number that was given out or seen.
	Run int64
	// Counted is the highest run whose end has been counted; at most Run.
	Counted int64
	// FailedRuns holds the runs that failed, in the order in which they were counted.
	// Ends of different hosts come in any order, so the highest run does not tell
	// which were counted. For lasting work it stays empty.
	FailedRuns []int64
	// Done is set for good by the first counted end that is a success.
	Done bool
	// Checkpoint is the newest checkpoint.
	Checkpoint string
	// Percent and Load are what the host said last.
	Percent, Load float64
	// Pace is the share that a unit that fills was last told to use, in percent.
	Pace int
	// StartClock is the host's clock when it answered the start; 0 before.
	StartClock int64
	// OrderedAt is when the run was ordered.
	OrderedAt time.Time
	// Meter is how fast it runs.
	Meter SpeedMeter
	// RetryStopAt is when a stop that was not answered is sent again; zero when none is
	// due.
	RetryStopAt time.Time
	// LostAt is when a run was found to have gone without its end having been heard;
	// zero when the last run's end is known. A newer owner may have counted the end
	// before, so the claim has to be confirmed after it before another run starts.
	LostAt time.Time
	// AvoidHost is a host on which the unit failed or stood still.
	AvoidHost string
}

// Stage is a step of an occurrence.
type Stage struct {
	// Units has as many elements as the step has tasks.
	Units []Unit
	// Left is the number of units that are not done.
	Left int
	// idle is the number of units that are Idle and not done.
	idle int
	// speed is the mean speed of the units' runs, of so many measurements.
	speed    float64
	measured int
}

// Occurrence is an occurrence of a job.
type Occurrence struct {
	// Stages has one element a step; it is empty once the occurrence is done.
	Stages []Stage
	// Left is the number of stages that are not done.
	Left int
}

// Job is an accepted job.
type Job struct {
	ID   string
	Spec batch.Spec
	// Phase is decided; StoredPhase is the newest phase that the store has, which is
	// what callers are told.
	Phase, StoredPhase Phase
	// Occurrences holds the occurrences that have become due, in order.
	Occurrences []Occurrence
	// OccurrencesLeft is the number of occurrences that are not done, due or not.
	OccurrencesLeft int
	// Stored says that the store has the job; nothing starts before.
	Stored bool
	// Unsubmitted says that the job was cancelled and no submission has come; its spec is
	// then empty.
	Unsubmitted bool
	// Begun says that some task has started.
	Begun bool
	// Inherited says that an earlier owner may have started tasks that this
	// owner does not know of.
	Inherited bool
	// AcceptedAt is when the job came; EndedAt is when its phase was decided.
	AcceptedAt, EndedAt time.Time
	// Objective is the time by which the job should be complete.
	Objective time.Time
	// dirty says that the progress differs from what the store has or will have.
	dirty bool
}

// State is all that the owner of one pool knows.
type State struct {
	Pool string
	// Epoch is the claim's number and the fencing token of all orders.
	Epoch int64
	// ClaimedAt is when the claim was confirmed.
	ClaimedAt time.Time
	// ConfirmedAt is when the newest call that the store answered was sent.
	ConfirmedAt time.Time
	Timing      Timing
	Queues      map[string]port.Queue
	Guarded     bool
	Jobs        map[string]*Job
	Hosts       map[string]*Host
	// Overloaded says that the pool did not keep up with its work in the last round.
	Overloaded bool
	// HasPolicyService says that there is a policy service to ask.
	HasPolicyService bool

	// advice says that some queue needs advice, or did.
	advice bool
	// permits holds what the policy service has said, by step.
	permits map[batch.Ref]*permit
	orders  []Order
	dirty   []*Job
	// lost is the latest time at which a unit was lost.
	lost time.Time
	// open holds the jobs in phase Open, in no order.
	open map[string]*Job
	// arrivals holds the work that has come lately.
	arrivals []arrival
	// durations holds what runs took, by image or queue.
	durations map[string]*sample
}

// New builds the state of a pool whose claim was confirmed at a time.
func New(pool string, epoch int64, t Timing, now time.Time) *State {
	return &State{
		Pool: pool, Epoch: epoch, ClaimedAt: now, ConfirmedAt: now, Timing: t,
		Queues: map[string]port.Queue{}, Jobs: map[string]*Job{}, Hosts: map[string]*Host{},
		open: map[string]*Job{}, durations: map[string]*sample{}, permits: map[batch.Ref]*permit{},
	}
}

// OrderKind is what an order does.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is to be carried out on a host. The outcome has to be reported back.
type Order struct {
	Kind OrderKind
	Host string
	Ref  batch.Ref
	Run  int64
	// Text, Checkpoint and Ticket go with a start; Percent goes with a pace.
	Text, Checkpoint, Ticket string
	Percent                  int
	// Why is the reason, for logs.
	Why string
}

// TakeOrders returns the orders that were decided since the last call.
func (s *State) TakeOrders() []Order {
	out := s.orders
	s.orders = nil
	return out
}

// unit returns a task, or nil when the job or the unit is not known.
func (s *State) unit(r batch.Ref) (*Job, *Stage, *Unit) {
	j := s.Jobs[r.Job]
	if j == nil || r.Occurrence >= len(j.Occurrences) {
		return j, nil, nil
	}
	t := &j.Occurrences[r.Occurrence]
	if r.Step >= len(t.Stages) || r.Index >= len(t.Stages[r.Step].Units) {
		return j, nil, nil
	}
	g := &t.Stages[r.Step]
	return j, g, &g.Units[r.Index]
}

// touch marks a job's progress as changed.
func (s *State) touch(j *Job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// free makes a unit idle, after a run that ended or never began.
func (s *State) free(g *Stage, u *Unit, r batch.Ref) {
	if u.Status == Idle {
		return
	}
	if h := s.Hosts[u.Host]; h != nil {
		delete(h.Assigned, r)
	}
	u.Status, u.Host, u.Percent, u.Load, u.StartClock = Idle, "", 0, 0, 0
	if !u.Done {
		g.idle++
	}
}

// miss makes a unit idle whose run has gone without a known end, at a time.
func (s *State) miss(g *Stage, u *Unit, r batch.Ref, at time.Time) {
	if u.Status == Idle {
		return
	}
	s.free(g, u, r)
	u.LostAt = at
	if at.After(s.lost) {
		s.lost = at
	}
}

// settled reports whether no newer owner can have counted an end of the unit that is
// not known here.
func (s *State) settled(u *Unit) bool { return u.LostAt.IsZero() || s.ConfirmedAt.After(u.LostAt) }

// open an occurrence whose time has come.
func (s *State) openTurn(j *Job) {
	t := Occurrence{Stages: make([]Stage, len(j.Spec.Steps)), Left: len(j.Spec.Steps)}
	for i := range t.Stages {
		n := j.Spec.Steps[i].Count
		t.Stages[i] = Stage{Units: make([]Unit, n), Left: n, idle: n}
	}
	j.Occurrences = append(j.Occurrences, t)
}
