// Package shard holds the scheduling state of one pool and makes its decisions: which jobs are
// accepted, which runs are on which host, and which orders to send next. Its types Job,
// Occurrence, Stage and Task hold the state of the jobs, occurrences, steps and tasks that package
// batch describes. It does no I/O and reads no clock. The owner of the pool reports events to it
// and carries out its orders.
package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/grade"
	"carawaymux.dev/fleet/pairs"
	"carawaymux.dev/fleet/port"
)

// Timing holds the durations and factors that the decisions use.
type Timing struct {
	// Lease is how long a host may run work without contact to the owner. It is positive and at
	// most what the platform allows.
	Lease time.Duration
	// MaxLease is the longest lease that a host accepts; a longer one is shortened to it.
	MaxLease time.Duration
	// Grace is how long an owner goes on extending leases after the store last confirmed its
	// claim.
	Grace time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// RemoteFactor is the factor by which the run time of a task grows when it runs away from its
	// data.
	RemoteFactor float64
	// AbsenceLimit is how long a long-running task may be down before it counts as an
	// interruption.
	AbsenceLimit time.Duration
	// RestoreTime is the time that it takes to resume from a checkpoint.
	RestoreTime time.Duration
	// DisruptionLimit is how long a serving task may be disturbed.
	DisruptionLimit time.Duration
	// StopTimeout is the longest time that a host takes to end a run.
	StopTimeout time.Duration
	// MaxReservedShare is the share of the hosts that may be reserved at a time for steps that end and do not fit yet. One
	// host may be reserved in any case. There is no limit if it is 0.
	MaxReservedShare float64
}

// ClockDrift is the largest factor by which a duration is longer in true time than on a host's
// clock. The platform states that host clocks may be up to 2 % slow.
const ClockDrift = 1.02

// runsPerEpoch is the number of run numbers of a task that are set aside for each owner, so that
// the run numbers of a new owner are above all that earlier owners can have given.
const runsPerEpoch = 1000

// Phase is the state of a job.
type Phase string

// The phases of a job.
const (
	Open      Phase = "open"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Status is the state of a task.
type Status uint8

// The statuses of a task.
const (
	// Idle tasks are on no host.
	Idle Status = iota
	// Starting tasks have been ordered to start, and the host has not answered yet.
	Starting
	// Uncertain tasks may be running or may still start, because the order to start was not
	// answered. The host has to confirm a stop of that run before another run may start.
	Uncertain
	// Running tasks run on their host.
	Running
	// Stopping tasks have been ordered to stop.
	Stopping
)

// Task is the state of one task of a step.
type Task struct {
	// Status is the state of the current run. Host and Run are set unless it is Idle.
	Status Status
	Host   string
	// Run is the highest run number that was given out or seen.
	Run int64
	// Counted is the highest run whose end has been counted. It is at most Run.
	Counted int64
	// FailedRuns holds the runs that failed, in the order in which they were counted. Hosts
	// report ends in any order, so the highest counted run does not tell which runs were counted.
	// It stays empty for long-running work.
	FailedRuns []int64
	// FailedEarlier is the number of failed runs before those, of which the numbers are not kept.
	FailedEarlier int
	// Done is set by the first counted end that is a success, and never cleared.
	Done bool
	// Checkpoint is the newest checkpoint.
	Checkpoint string
	// Percent and Load are the values that the host reported last.
	Percent, Load float64
	// ThrottlePercent is the share of its capacity that a best-effort task was last told to use,
	// in percent.
	ThrottlePercent int
	// StartClock is the host's clock in milliseconds when it answered the start, and 0 before
	// that.
	StartClock int64
	// OrderedAt is when the run was ordered.
	OrderedAt time.Time
	// Meter measures how fast the task runs.
	Meter SpeedMeter
	// RetryStopAt is when a stop that was not answered is sent again. It is zero when none is
	// due.
	RetryStopAt time.Time
	// LostAt is when a run was found to be gone although its end was never reported. It is zero
	// when the end of the last run is known. A newer owner may have counted the end before, so
	// the store has to confirm the claim after this time before another run starts.
	LostAt time.Time
	// unknownRuns is the number of hosts that report a run of the task that is not assigned to
	// them.
	unknownRuns int
	// AvoidHost is a host on which the task failed or ran too slowly.
	AvoidHost string
	// Crashes counts the hosts that have crashed under the task. crashedRun is the highest run whose host
	// has crashed.
	Crashes    Crashes
	crashedRun int64
	// excuses holds, for each crash that does not count as unexplained, the crashes of other hosts that explain it.
	// It is set for long-running tasks only.
	excuses [][]*pastCrash
	// late reports whether the work was late when the last run was ordered.
	late bool
	// observed is what is remembered of the run to learn about its neighbors, or nil.
	observed *observed
	// startedEarlier reports whether an earlier owner had ordered a run of which neither the end nor the host is
	// known.
	startedEarlier bool
}

// Stage is the state of one step in an occurrence.
type Stage struct {
	// Tasks has one element for each task of the step, or none while all are as at first. count is the number of
	// tasks.
	Tasks []Task
	count int
	// Left is the number of tasks that are not done.
	Left int
	// idle is the number of tasks that are Idle, not done and not given up. givenUp is the number of those that
	// are given up; they count in Left.
	idle, givenUp int
	// waiting is the step's entry in the backlog, or nil. load is what the stage adds to the sums there.
	waiting *waitingStep
	load    load
	// suspected reports whether a host has crashed under some task.
	suspected bool
	// outcomes is what the runs tell about the step, or nil before the first has ended.
	outcomes *outcomes
	// meanSpeed is the running mean of the speeds of the tasks, over speedCount measurements.
	meanSpeed  float64
	speedCount int
}

// Occurrence is the state of an occurrence of a job.
type Occurrence struct {
	// Stages has one element for each step. It is empty if the occurrence was
	// restored as done.
	Stages []Stage
	// Left is the number of stages that are not done.
	Left int
	// work caches the work that is left. It is nil if Stages is empty.
	work *workLeft
}

// Job is an accepted job.
type Job struct {
	ID   string
	Spec batch.Spec
	// Phase is the phase that was decided. StoredPhase is the newest phase that is in the store,
	// and the one that callers are told.
	Phase, StoredPhase Phase
	// Occurrences holds the occurrences that have become due, in order.
	Occurrences []Occurrence
	// OccurrencesLeft is the number of occurrences that are not done, whether they are due or
	// not.
	OccurrencesLeft int
	// Stored reports whether the job is in the store. Nothing of the job starts before it is.
	Stored bool
	// Unsubmitted is true if the job was cancelled and its submission has not arrived. Its spec is
	// then empty.
	Unsubmitted bool
	// InInbox reports whether the inbox may still hold the submission. The job is then kept beyond
	// its retention time, so that the next owner does not take the submission for a new job.
	InInbox bool
	// Started reports whether any task is known to have started.
	Started bool
	// Inherited is true if an earlier owner may have started tasks that this owner has no record
	// of.
	Inherited bool
	// AcceptedAt is when the job was accepted. EndedAt is when its final phase was decided.
	AcceptedAt, EndedAt time.Time
	// Objective is the time by which the job should be complete.
	Objective time.Time
	// Size is the size of the job among those that its queue had seen when it was accepted.
	Size grade.Grade
	// counted reports whether the job is in the counts by size. begun reports whether work that ends was started in time, begunAt
	// when that was counted, and lost whether the job was late afterwards.
	counted, begun, lost bool
	begunAt              time.Time
	// assigned is the number of tasks that are assigned to hosts, and lastStart when the last one was
	// ordered to start, counted from when the pool was claimed.
	assigned  int
	lastStart time.Duration
	// tenant is what the pool knows of the tenant, and nil before the backlog has needed it.
	tenant *TenantUse
	// rules is what the backlog knows of the queue, and nil before the backlog has needed it. waiting holds the
	// entries of the job in the backlog. pending reports whether the backlog counts the job as pending.
	rules   *queueRules
	waiting []*waitingStep
	pending bool
	// opensLater reports whether an occurrence is due and has to wait until fewer tasks are open.
	opensLater bool
	// opening is the entry of the next occurrence in backlog.due, or nil.
	opening *opening
	// parted reports whether the progress is stored in parts.
	parted bool
	// dirty reports whether the progress has changed since it was last taken for the store. For a job
	// in parts, dirtyParts holds the parts of which that is true.
	dirty      bool
	dirtyParts map[PartRef]struct{}
	// storedParts holds the parts that the store has, or may have.
	storedParts map[PartRef]struct{}
}

// State is the scheduling state of one pool.
type State struct {
	Pool string
	// Epoch is the number of the claim and the fencing token of all orders.
	Epoch int64
	// ClaimedAt is when the claim was confirmed.
	ClaimedAt time.Time
	// ConfirmedAt is the time at which the newest call that the store has answered was sent. The
	// answer confirms the claim as of that time.
	ConfirmedAt time.Time
	Timing      Timing
	Queues      map[string]port.Queue
	// EnforcesCapacity reports whether the pool's hosts refuse tasks that exceed their capacity.
	EnforcesCapacity bool
	Jobs             map[string]*Job
	Hosts            map[string]*Host
	// Overloaded is true if the last round of planning found more waiting work than all hosts
	// together can do within overloadThreshold.
	Overloaded bool
	// HasPolicyService reports whether a policy service is configured.
	HasPolicyService bool

	// needsAdvice is true if some queue needs advice from the policy service, or has needed it.
	needsAdvice bool
	// permits holds the answers of the policy service, by step.
	permits map[batch.Ref]*permit
	orders  []Order
	crashes []Crash
	// pastCrashes holds the crashes of hosts, with or without tasks, within settleTime before the last one.
	pastCrashes []*pastCrash
	// suspects holds the tasks of open jobs that are suspected of a crash. It may also hold some that are done.
	suspects map[batch.Ref]*Task
	// startedEarlier holds the tasks whose startedEarlier was set when they were restored.
	startedEarlier map[batch.Ref]struct{}
	// hostEndedUnseen reports whether a host of an earlier owner ended before it answered this one.
	hostEndedUnseen bool
	// othersWaitedAt is when a round of planning last found work waiting that does not have to run apart.
	othersWaitedAt time.Time
	// isolatedHosts is the number of hosts that are kept for isolated tasks in the current round of planning,
	// and maxIsolatedHosts the limit for it.
	isolatedHosts, maxIsolatedHosts int
	// MaxTaskBytes limits the stored progress of one task of a job that is stored in parts; 0 means no
	// limit.
	MaxTaskBytes int
	// dirty holds the progress that waits to be stored, and changeSequence the number of the change that
	// was queued last.
	dirty          []unit
	changeSequence int64
	// staleParts holds the stored parts that are to be deleted.
	staleParts []StalePart
	// latestLost is the latest LostAt of any task.
	latestLost time.Time
	// openJobs holds the jobs in phase Open.
	openJobs map[string]*Job
	// ended holds the jobs that have ended, in the order of their ends, and kept those of them that could not be
	// dropped when their retention time was over.
	ended, kept []*Job
	// unlistedCordons holds the cordons of hosts that are not known yet.
	unlistedCordons map[string]unlistedCordon
	// holderEpoch is the highest epoch of a holder of the machines that has sent a request.
	holderEpoch int64
	// budgets limits the starts of tenants with a cap.
	budgets budgets
	// backlog holds the work of the open jobs that waits.
	backlog backlog
	// unansweredStops holds the tasks whose RetryStopAt may be set.
	unansweredStops map[batch.Ref]struct{}
	// latestFirstAnswer is the latest FirstAnswer of any host.
	latestFirstAnswer time.Time
	// endUnstored is true if some dirty job may have an end that is not in the store.
	endUnstored bool
	// candidateBuffer is the buffer of candidates.
	candidateBuffer candidates
	// reserved is the number of hosts that the last round of planning reserved. reservations is the number of those that
	// count against maxReservations.
	reserved, reservations, maxReservations int
	// hostList holds the hosts by ID. It is nil after the set of hosts has changed.
	hostList []*Host
	// lateUsed is the capacity that tasks take which were late when they were ordered to start, in thousandths of a core.
	lateUsed int64
	// arrivals measures the rate at which work arrives.
	arrivals demand.Meter
	// durationRatios holds the ratios of run time to estimate, by queue.
	durationRatios map[string]*sample
	// sizes holds the sizes of the jobs, by queue.
	sizes map[string]*queueSizes
	// neighbors is what was learned about tasks that slow each other down.
	neighbors neighborhood
}

// New returns the state of a pool whose claim was confirmed at time now.
func New(pool string, epoch int64, t Timing, now time.Time) *State {
	return &State{
		Pool: pool, Epoch: epoch, ClaimedAt: now, ConfirmedAt: now, Timing: t,
		Queues: map[string]port.Queue{}, Jobs: map[string]*Job{}, Hosts: map[string]*Host{},
		openJobs: map[string]*Job{}, unlistedCordons: map[string]unlistedCordon{}, durationRatios: map[string]*sample{}, sizes: map[string]*queueSizes{}, permits: map[batch.Ref]*permit{},
		backlog: newBacklog(now), unansweredStops: map[batch.Ref]struct{}{},
		suspects: map[batch.Ref]*Task{}, startedEarlier: map[batch.Ref]struct{}{},
		neighbors: neighborhood{learner: pairs.New(), now: now},
	}
}

// OrderKind is what an order does.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle
)

// Order is an order to a host. Its result has to be passed to [State.HandleStartResult],
// [State.HandleStopResult] or [State.HandleThrottleResult].
type Order struct {
	Kind OrderKind
	Host string
	Ref  batch.Ref
	Run  int64
	// Specification, Checkpoint and Ticket are set for a start. Percent is set for a throttle.
	Specification, Checkpoint, Ticket string
	Percent                           int
	// AfterWrite reports whether a start has to wait until the store shows that the run was ordered. It is set for
	// tasks that run apart since hosts have crashed under them.
	AfterWrite bool
	// Reason says why the order was given, for logs.
	Reason string
}

// TakeOrders returns the orders that were decided since the last call.
func (s *State) TakeOrders() []Order {
	out := s.orders
	s.orders = nil
	return out
}

// task returns a task with its job and stage. The stage and the task are nil when the task does
// not exist, and the job is nil when it is unknown.
func (s *State) task(r batch.Ref) (*Job, *Stage, *Task) {
	j := s.Jobs[r.Job]
	if j == nil || r.Occurrence >= len(j.Occurrences) {
		return j, nil, nil
	}
	occ := &j.Occurrences[r.Occurrence]
	if r.Step >= len(occ.Stages) || r.Index >= occ.Stages[r.Step].count {
		return j, nil, nil
	}
	stage := &occ.Stages[r.Step]
	stage.expand()
	return j, stage, &stage.Tasks[r.Index]
}

// markDirty marks the progress of a job as changed.
func (s *State) markDirty(j *Job) { s.queueChange(unit{Job: j}) }

// markTaskDirty marks the progress of a task as changed.
func (s *State) markTaskDirty(j *Job, r batch.Ref) {
	if !j.parted {
		s.markDirty(j)
		return
	}
	part := j.partOf(r.Occurrence, r.Step, r.Index)
	s.queueChange(unit{Job: j, part: &part})
}

func (s *State) queueChange(u unit) {
	if !u.setDirty(u.part) {
		return
	}
	s.changeSequence++
	u.sequence = s.changeSequence
	s.dirty = append(s.dirty, u)
}

// setDirty marks the job, or a part of it, as changed. It reports whether it was not marked before.
func (j *Job) setDirty(part *PartRef) bool {
	if part == nil {
		was := j.dirty
		j.dirty = true
		return !was
	}
	_, was := j.dirtyParts[*part]
	j.dirtyParts[*part] = struct{}{}
	return !was
}

// release makes a task idle after its run has ended, or once it is known that it never began.
func (s *State) release(stage *Stage, task *Task, r batch.Ref) {
	if task.Status == Idle {
		return
	}
	if h := s.Hosts[task.Host]; h != nil {
		s.unassign(h, r)
	}
	j := s.Jobs[r.Job]
	task.Status, task.Host, task.Percent, task.Load, task.StartClock = Idle, "", 0, 0, 0
	if !task.closed() {
		stage.idle++
		s.backlog.update(j, r.Occurrence, r.Step)
	}
	if j.assigned == 0 {
		s.compact(j)
	}
}

// releaseLost makes a task idle whose run is gone without a known end.
func (s *State) releaseLost(stage *Stage, task *Task, r batch.Ref, at time.Time) {
	if task.Status == Idle {
		return
	}
	s.release(stage, task, r)
	s.markLost(task, at)
}

// markLost records that the end of a task's run may be unknown from a time on.
func (s *State) markLost(task *Task, at time.Time) {
	task.LostAt = at
	if at.After(s.latestLost) {
		s.latestLost = at
	}
}

// mayStart reports whether an idle task may start: no host reports a run of it, and no newer owner
// can have counted an end of it that is unknown here.
func (s *State) mayStart(task *Task) bool {
	return task.unknownRuns == 0 && (task.LostAt.IsZero() || s.ConfirmedAt.After(task.LostAt))
}

// openOccurrence adds the next occurrence of an open job that has become due.
func (s *State) openOccurrence(j *Job) {
	j.addOccurrence()
	if len(j.Occurrences) >= j.Spec.Occurrences() {
		s.backlog.dropOpening(j)
	}
	s.backlog.updateOccurrence(j, len(j.Occurrences)-1)
}

// addOccurrence adds an occurrence of which nothing has started.
func (j *Job) addOccurrence() {
	occ := Occurrence{Stages: make([]Stage, len(j.Spec.Steps)), Left: len(j.Spec.Steps), work: &workLeft{}}
	for i := range occ.Stages {
		count := j.Spec.Steps[i].Count
		occ.Stages[i] = Stage{count: count, Left: count, idle: count}
	}
	j.Occurrences = append(j.Occurrences, occ)
}

// expand sets Tasks. Most tasks that wait need no state of their own.
func (s *Stage) expand() {
	if s.Tasks == nil {
		s.Tasks = make([]Task, s.count)
	}
}
