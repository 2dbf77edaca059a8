// Package jobs defines the jobs in the log, and the records that cancel jobs and place their
// tasks. A job has tasks of one size, which run on the hosts of a pool.
package jobs

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// Limits on a job's fields.
const (
	// MaxTasks is the largest number of tasks of one job.
	MaxTasks = 1024
	// MaxRunSeconds is the longest declared run time.
	MaxRunSeconds = 90 * 24 * 3600
	// MaxCrashes is the number of hosts that may crash under a task before it is given up.
	MaxCrashes = 3
	// CrashWindow is how soon after the start of a task a host has to fail for the task to be suspected
	// of having crashed it.
	CrashWindow = 5 * time.Minute
	// SuspectTime is how long a task under which a host has crashed is kept apart from other tasks after
	// each start. It is below CrashWindow, so that tasks which wait for a host of their own get one soon.
	SuspectTime = time.Minute
)

// CrashSchema is the schema version of [Placement] from which on crashes are counted.
const CrashSchema = 2

// Urgency is the priority class of a job or request.
type Urgency string

// The urgency classes, least urgent first.
const (
	Low    Urgency = "low"
	Normal Urgency = "normal"
	Urgent Urgency = "urgent"
)

// Urgencies lists the classes, most urgent first.
var Urgencies = [...]Urgency{Urgent, Normal, Low}

// Rank is 0 for the most urgent class. An unknown class has the rank of the least urgent one.
func (u Urgency) Rank() int {
	for i, known := range Urgencies {
		if u == known {
			return i
		}
	}
	return len(Urgencies) - 1
}

// Known reports whether the class is one of [Urgencies].
func (u Urgency) Known() bool { return u == Low || u == Normal || u == Urgent }

// Spec is a job in schema version 2.
type Spec struct {
	// Pool is the pool whose hosts run the tasks.
	Pool string `json:"pool"`
	// Team is the team whose quota the tasks count against; empty for none.
	Team string `json:"team,omitempty"`
	// Size is what each task declares to need. The actual use may differ widely.
	Size host.Resources `json:"size"`
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// RunSeconds is the declared run time in seconds; 0 means that the tasks run until the job is
	// cancelled.
	RunSeconds int64 `json:"run-seconds,omitempty"`
	// Urgency determines the order of placement.
	Urgency Urgency `json:"urgency"`
	// Spread requests that the tasks run in different racks, as far as there are enough racks.
	Spread bool `json:"spread,omitempty"`
}

// SpecV1 is schema version 1, which has processors and memory only.
type SpecV1 struct {
	// Pool is the pool whose hosts run the tasks.
	Pool string `json:"pool"`
	// Cores is the number of cores that each task declares to need.
	Cores int64 `json:"cores"`
	// MemoryMiB is the memory that each task declares to need, in MiB.
	MemoryMiB int64 `json:"memory-mib"`
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
}

// Upgrade returns the job in schema version 2.
func (s SpecV1) Upgrade() Spec {
	return Spec{
		Pool:    s.Pool,
		Size:    host.Resources{Cores: s.Cores, MemoryMiB: s.MemoryMiB},
		Tasks:   s.Tasks,
		Urgency: Normal,
	}
}

// Downgrade returns the job in schema version 1. It fails if the job uses a field that version 1
// does not have.
func (s Spec) Downgrade() (SpecV1, error) {
	if s.Size.Accelerators != 0 || s.Team != "" || s.RunSeconds != 0 || s.Spread || s.Urgency != Normal {
		return SpecV1{}, fmt.Errorf("job cannot be written in schema 1: it sets accelerators, team, run-seconds, spread or an urgency other than normal")
	}
	return SpecV1{Pool: s.Pool, Cores: s.Size.Cores, MemoryMiB: s.Size.MemoryMiB, Tasks: s.Tasks}, nil
}

// Kind returns [record.KindJob].
func (Spec) Kind() record.Kind { return record.KindJob }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckName("pool", s.Pool)
	if s.Team != "" {
		p.CheckName("team", s.Team)
	}
	CheckSize(&p, s.Size)
	p.CheckRange("tasks", int64(s.Tasks), 1, MaxTasks)
	p.CheckRange("run-seconds", s.RunSeconds, 0, MaxRunSeconds)
	if !s.Urgency.Known() {
		p.Add("urgency", fmt.Sprintf("%q", s.Urgency), "low, normal or urgent")
	}
	return p
}

// CheckSize validates the size of a task.
func CheckSize(p *record.Problems, s host.Resources) {
	p.CheckRange("size.cores", s.Cores, 0, host.MaxCores)
	p.CheckRange("size.memory-mib", s.MemoryMiB, 0, host.MaxMemoryMiB)
	p.CheckRange("size.accelerators", s.Accelerators, 0, host.MaxAccelerators)
	if s == (host.Resources{}) {
		p.Add("size", "", "more than nothing in one dimension")
	}
}

// Cancel cancels jobs. Jobs that are unknown or already cancelled are ignored, so that a
// cancellation can be repeated.
type Cancel struct {
	// Jobs names the jobs.
	Jobs []string `json:"jobs"`
}

// Kind returns [record.KindCancel].
func (Cancel) Kind() record.Kind { return record.KindCancel }

// Check validates the fields.
func (c Cancel) Check() record.Problems {
	var p record.Problems
	p.CheckRange("jobs", int64(len(c.Jobs)), 1, record.MaxBatch)
	for _, name := range c.Jobs {
		p.CheckName("jobs", name)
	}
	return p
}

// TeamCancel cancels those of the jobs that belong to a team. Others are ignored like jobs that do not exist.
type TeamCancel struct {
	// Team is the team that cancels.
	Team string `json:"team"`
	Cancel
}

// Kind returns [record.KindTeamCancel].
func (TeamCancel) Kind() record.Kind { return record.KindTeamCancel }

// Check validates the fields.
func (c TeamCancel) Check() record.Problems {
	p := c.Cancel.Check()
	p.CheckName("team", c.Team)
	return p
}

// Act is the change that a placement item makes to a task.
type Act string

// The acts on a task.
const (
	// ActStart places a task on a host.
	ActStart Act = "start"
	// ActStop takes a task off its host; the task will be placed again.
	ActStop Act = "stop"
	// ActFinish ends a task permanently.
	ActFinish Act = "finish"
	// ActCrash takes a task off a host that failed within [CrashWindow] of the task's start. The task
	// will be placed again, unless this has happened [MaxCrashes] times in a row.
	ActCrash Act = "crash"
)

// PlacementItem is a change to one task.
type PlacementItem struct {
	// Job and Task identify the task; Task counts from 0.
	Job  string `json:"job"`
	Task int    `json:"task"`
	// Act is the change.
	Act Act `json:"act"`
	// Host is the host on which the task starts; empty for other acts.
	Host string `json:"host,omitempty"`
}

// Placement is a batch of changes that the planner proposes. Each item is judged separately: an
// item that no longer applies does not block the others.
type Placement struct {
	// Items are the changes, in order.
	Items []PlacementItem `json:"items"`
}

// Kind returns [record.KindPlacement].
func (Placement) Kind() record.Kind { return record.KindPlacement }

// Check validates the fields.
func (b Placement) Check() record.Problems {
	var p record.Problems
	p.CheckRange("items", int64(len(b.Items)), 1, record.MaxBatch)
	for _, it := range b.Items {
		p.CheckName("items.job", it.Job)
		p.CheckRange("items.task", int64(it.Task), 0, MaxTasks-1)
		switch it.Act {
		case ActStart:
			p.CheckName("items.host", it.Host)
		case ActStop, ActFinish, ActCrash:
		default:
			p.Add("items.act", fmt.Sprintf("%q", it.Act), "start, stop, finish or crash")
		}
	}
	return p
}

// PlacementV1 is schema version 1, which has no [ActCrash].
type PlacementV1 struct {
	// Items are the changes, in order.
	Items []PlacementItem `json:"items"`
}

// Upgrade returns the batch in schema version 2.
func (b PlacementV1) Upgrade() Placement { return Placement(b) }

// Downgrade returns the batch in schema version 1. It fails if an item uses an act that version 1 does
// not have.
func (b Placement) Downgrade() (PlacementV1, error) {
	for _, it := range b.Items {
		if it.Act == ActCrash {
			return PlacementV1{}, fmt.Errorf("placement cannot be written in schema 1: it has the act %q", it.Act)
		}
	}
	return PlacementV1(b), nil
}

// Task is the state of a task.
type Task struct {
	// Host is the host on which the task is placed; empty while it has none.
	Host string `json:"host,omitempty"`
	// Fence is the version of the placement that put the task on its host. The platform
	// receives it, so that an outdated placement starts nothing.
	Fence uint64 `json:"fence,omitempty"`
	// Finished means that the task has ended permanently.
	Finished bool `json:"finished,omitempty"`
	// StartedAt is when the task was placed on its host by the planner's clock, in Unix milliseconds;
	// 0 if it has no host or was placed under schema version 1 of [Placement].
	StartedAt int64 `json:"started,omitempty"`
	// Crashes counts the hosts in a row that failed within [CrashWindow] of the task's start.
	Crashes int `json:"crashes,omitempty"`
}

// GivenUp reports that the task is not placed again, because [MaxCrashes] hosts crashed under it.
func (t Task) GivenUp() bool { return t.Crashes >= MaxCrashes }

// Suspect reports whether a host may crash under the task, as one has done before: it has no host, or
// has not run for [SuspectTime] on its present one.
func (t Task) Suspect(now time.Time) bool {
	return t.Crashes > 0 && !t.ranFor(SuspectTime, now.UnixMilli())
}

// LastStart reports whether the next crash gives the task up.
func (t Task) LastStart() bool { return t.Crashes == MaxCrashes-1 }

// ranFor reports whether the task has run for d on its host.
func (t Task) ranFor(d time.Duration, atMS int64) bool {
	return t.StartedAt > 0 && atMS-t.StartedAt >= d.Milliseconds()
}

// Remove takes the task off its host at a time in Unix milliseconds and counts a crash.
func (t *Task) Remove(act Act, atMS int64) {
	switch {
	case act == ActCrash:
		t.Crashes++
	case t.ranFor(CrashWindow, atMS):
		t.Crashes = 0
	}
	t.Host, t.Fence, t.StartedAt = "", 0, 0
	t.Finished = t.Finished || act == ActFinish
}

// Job is the state of a job.
type Job struct {
	// Published is the specification with its version.
	Published record.Versioned[Spec] `json:"published"`
	// Tasks has one element per task.
	Tasks []Task `json:"tasks"`
	// Cancelled means that the job was cancelled. Its tasks then no longer wait for a host, and the
	// planner stops those that run.
	Cancelled bool `json:"cancelled,omitempty"`
	// UnplaceableFor names a dimension in which a task exceeds every host of the pool, even an
	// empty one. It is empty if a task fits on some host or if the pool has no hosts. It is
	// recomputed when the job is published and when a host of the pool is published.
	UnplaceableFor string `json:"never,omitempty"`
}

// Waiting returns the number of tasks that wait for a host: those that are neither placed nor
// finished nor given up. It is 0 if the job is cancelled or its tasks fit on no host.
func (j *Job) Waiting() int {
	if j.Cancelled || j.UnplaceableFor != "" {
		return 0
	}
	n := 0
	for _, t := range j.Tasks {
		if t.Host == "" && !t.Finished && !t.GivenUp() {
			n++
		}
	}
	return n
}
