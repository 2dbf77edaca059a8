package shard

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Crash is the unplanned end of an instance of a host with tasks, for logs.
type Crash struct {
	Host string
	// Runs holds the runs that may have been on the host, by task.
	Runs []CrashedRun
}

// CrashedRun is a run that may have been on a host when the host crashed.
type CrashedRun struct {
	Ref batch.Ref
	Run int64
	// Age is the time from the order of the run until the host was first seen not to answer.
	Age time.Duration
}

// TakeCrashes returns the crashes that were found since the last call.
func (s *State) TakeCrashes() []Crash {
	out := s.crashes
	s.crashes = nil
	return out
}

// recordCrash records that an instance of a host has ended. An end that was announced, or that
// follows a request to empty the host, is no crash.
//
// The argument survived holds the runs that the next instance reports; nil means none.
func (s *State) recordCrash(h *Host, survived *port.HostReport, now time.Time) {
	if h.Draining || now.Before(h.CordonedUntil) || len(h.Assigned) == 0 {
		return
	}
	at := now
	if !h.unreachableSince.IsZero() {
		at = h.unreachableSince
	}
	crash := Crash{Host: h.ID}
	for ref, task := range h.Assigned {
		if s.countsCrash(ref, task) && (survived == nil || !survived.Contains(ref.String(), task.Run)) {
			crash.Runs = append(crash.Runs, CrashedRun{Ref: ref, Run: task.Run, Age: at.Sub(task.OrderedAt)})
		}
	}
	if len(crash.Runs) == 0 {
		return
	}
	slices.SortFunc(crash.Runs, func(a, b CrashedRun) int { return compareRefs(a.Ref, b.Ref) })
	for _, run := range crash.Runs {
		_, _, task := s.task(run.Ref)
		task.crashedRun = run.Run
	}
	s.crashes = append(s.crashes, crash)
}

// countsCrash reports whether the crash of a task's host counts for the task: it is not done, and no
// earlier crash was recorded for its run.
func (s *State) countsCrash(ref batch.Ref, task *Task) bool {
	j, stage, _ := s.task(ref)
	return stage != nil && j.Phase == Open && !task.Done && task.crashedRun < task.Run
}

func compareRefs(a, b batch.Ref) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
