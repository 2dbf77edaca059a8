package shard

import (
	"cmp"
	"math"
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
	// suspects is the number of suspected runs.
	suspects int
}

// CrashedRun is a run that may have been on a host when the host crashed.
type CrashedRun struct {
	Ref batch.Ref
	Run int64
	// Age is the time from the order of the run until the host was first seen not to answer.
	Age time.Duration
	// Confirmed reports whether the host had confirmed the start.
	Confirmed bool
	// Suspected reports whether the run may have caused the crash, and GivenUp whether its task was given up.
	Suspected, GivenUp bool
}

// TakeCrashes returns the crashes that were found since the last call.
func (s *State) TakeCrashes() []Crash {
	out := s.crashes
	s.crashes = nil
	return out
}

const (
	// settleTime is the time on a host after which a run is not suspected of a crash while a younger one
	// is there. Tasks that crash their hosts mostly do so soon after their start.
	settleTime = 2 * time.Second
	// startSpan is the time before a crash within which all runs that were started are the first to be
	// suspected. Several starts of a host may be answered before the first one takes effect.
	startSpan = 50 * time.Millisecond
	// maxCrashes is the number of crashes after which a task is given up if it was alone on one of the
	// hosts, and maxSharedCrashes the number after which it is given up in any case. Tasks that have
	// crashed three hosts may be started twice more; one of these starts is left for a crash that is missed.
	maxCrashes, maxSharedCrashes = 3, 4
	// minConfirmed is the number of starts that hosts have to have confirmed before a task is given up after
	// maxCrashes. A start that was not answered may never have reached its host.
	minConfirmed = 2
	// maxUnexplainedCrashes is the number of such crashes in a row after which a long-running task is given up.
	maxUnexplainedCrashes = 4
	// promptSpan is the age up to which the crash of the host of a run is prompt.
	promptSpan = 250 * time.Millisecond
)

// pastCrash is the crash of a host, kept for settleTime.
type pastCrash struct {
	at time.Time
	// runs holds the tasks of the runs that were on the host, and suspects those that are suspected.
	runs     map[batch.Ref]struct{}
	suspects []batch.Ref
	// blamed reports whether the one suspect of the crash ran apart since it was suspected before. Its crashes do
	// not show that hosts crash by themselves.
	blamed bool
}

// proofCrashes is the number of crashes with no other suspect that show a task to crash its hosts. Earlier crashes
// of its hosts do not show that hosts crash by themselves, either.
const proofCrashes = 2

// isExplained reports whether a task explains a crash. It may come to do so later.
func (s *State) isExplained(c *pastCrash) bool {
	return c.blamed || slices.ContainsFunc(c.suspects, func(ref batch.Ref) bool {
		_, _, task := s.task(ref)
		return task != nil && task.Crashes.Alone >= proofCrashes
	})
}

// recordCrash records that an instance of a host has ended. An end that was announced, or that
// follows a request to empty the host, is no crash. The tasks that may have caused the crash are
// suspected of it: they are kept apart until they are done or given up.
//
// The argument next is the report of the next instance, which may have carried out some of the
// starts; nil means that there is none.
func (s *State) recordCrash(h *Host, next *port.HostReport, now time.Time) {
	if h.Draining || now.Before(h.CordonedUntil) {
		return
	}
	crash := Crash{Host: h.ID, Runs: append(s.runsOn(h, next, now), s.uncountedOf(h.lapsed)...)}
	h.lapsed = nil
	past := &pastCrash{at: now, runs: map[batch.Ref]struct{}{}}
	for _, run := range crash.Runs {
		past.runs[run.Ref] = struct{}{}
	}
	s.pastCrashes = slices.DeleteFunc(s.pastCrashes, func(c *pastCrash) bool { return now.Sub(c.at) > settleTime })
	if len(crash.Runs) == 0 {
		s.pastCrashes = append(s.pastCrashes, past)
		return
	}
	youngest := time.Duration(math.MaxInt64)
	for _, run := range crash.Runs {
		youngest = min(youngest, run.Age)
	}
	slices.SortFunc(crash.Runs, func(a, b CrashedRun) int { return compareRefs(a.Ref, b.Ref) })
	for i := range crash.Runs {
		run := &crash.Runs[i]
		_, _, task := s.task(run.Ref)
		task.crashedRun = run.Run
		if run.Suspected = run.Age <= max(youngest, settleTime); run.Suspected {
			crash.suspects++
			past.suspects = append(past.suspects, run.Ref)
			past.blamed = past.blamed || task.Crashes.Isolated
		}
	}
	past.blamed = past.blamed && crash.suspects == 1
	s.pastCrashes = append(s.pastCrashes, past)
	for i := range crash.Runs {
		run := &crash.Runs[i]
		if !run.Suspected {
			s.suspectLate(run.Ref)
			continue
		}
		run.GivenUp = s.suspect(run.Ref, suspicion{
			alone: crash.suspects == 1, first: run.Age <= max(youngest, startSpan), confirmed: run.Confirmed,
			prompt: run.Confirmed && run.Age <= promptSpan, excuses: s.crashesWithout(run.Ref),
		}, now)
	}
	s.crashes = append(s.crashes, crash)
}

// runsOn returns the runs that may be on a host, but for those that its next instance reports.
func (s *State) runsOn(h *Host, next *port.HostReport, now time.Time) []CrashedRun {
	at := now
	if !h.unreachableSince.IsZero() {
		at = h.unreachableSince
	}
	var out []CrashedRun
	for ref, task := range h.Assigned {
		age := at.Sub(task.OrderedAt)
		neverThere := age < 0 && task.StartClock == 0
		if neverThere || !s.countsCrash(ref, task.Run) || (next != nil && next.Contains(ref.String(), task.Run)) {
			continue
		}
		out = append(out, CrashedRun{Ref: ref, Run: task.Run, Age: age, Confirmed: task.StartClock > 0})
	}
	return out
}

// uncountedOf returns those of some runs for which no crash was counted and that are not known to have ended.
func (s *State) uncountedOf(runs []CrashedRun) []CrashedRun {
	return slices.DeleteFunc(runs, func(r CrashedRun) bool { return !s.countsCrash(r.Ref, r.Run) })
}

// suspicion is what speaks for a task as the cause of a crash.
type suspicion struct {
	// alone reports whether no other task is suspected, first whether the task is among the first to be
	// suspected, and confirmed whether the host had confirmed its start.
	alone, first, confirmed bool
	// prompt reports whether the host crashed within promptSpan of a confirmed start. excuses holds the crashes of
	// hosts without the task at that time, and excused reports whether others may have been missed.
	prompt  bool
	excuses []*pastCrash
	excused bool
}

// crashesWithout returns the crashes of hosts without a task within settleTime before the last crash that no other
// task explains, as far as is known.
func (s *State) crashesWithout(ref batch.Ref) []*pastCrash {
	var out []*pastCrash
	for _, c := range s.pastCrashes {
		if _, aboard := c.runs[ref]; !aboard && !s.isExplained(c) {
			out = append(out, c)
		}
	}
	return out
}

// suspect counts a crash for a task. It reports whether the task is given up. Its job fails with it, unless the
// task is long-running: then the other tasks of the job go on.
func (s *State) suspect(ref batch.Ref, why suspicion, now time.Time) bool {
	j, _, task := s.task(ref)
	if j.Phase != Open {
		return true
	}
	task.Crashes.Hosts++
	task.Crashes.Alone += count(why.alone)
	task.Crashes.Confirmed += count(why.confirmed)
	task.Crashes.Isolated = task.Crashes.Isolated || why.first || task.Crashes.Hosts >= isolateAfter
	if len(s.suspects) == 0 {
		// Whether other work waits was not observed before.
		s.othersWaitedAt = now
	}
	s.addSuspect(ref, task)
	s.markTaskDirty(j, ref)
	if step := &j.Spec.Steps[ref.Step]; step.LongRunning && !step.Gang {
		return s.suspectLongRunning(j, ref, task, why, now)
	}
	if !task.Crashes.exhausted() {
		return false
	}
	s.closeJob(j, Failed, now)
	return true
}

// suspectLongRunning counts a crash for a long-running task. Such a task is on a host all the time, so it is there
// when hosts crash by themselves, too: only crashes that this does not explain count for giving it up. The job ends
// once no task of it is left.
func (s *State) suspectLongRunning(j *Job, ref batch.Ref, task *Task, why suspicion, now time.Time) bool {
	wasGivenUp := task.Crashes.GivenUp()
	if why.prompt || (len(why.excuses) == 0 && !why.excused) {
		task.Crashes.Unexplained++
	} else if !why.excused {
		task.excuses = append(task.excuses, why.excuses)
	}
	// A crash that excused this task may be explained by another task since.
	task.excuses = slices.DeleteFunc(task.excuses, func(crashes []*pastCrash) bool {
		withdrawn := !slices.ContainsFunc(crashes, func(c *pastCrash) bool { return !s.isExplained(c) })
		task.Crashes.Unexplained += count(withdrawn)
		return withdrawn
	})
	if !task.Crashes.GivenUp() {
		return false
	}
	if !wasGivenUp {
		stage := &j.Occurrences[ref.Occurrence].Stages[ref.Step]
		stage.givenUp++
		stage.idle -= count(task.Status == Idle)
		s.backlog.update(j, ref.Occurrence, ref.Step)
	}
	if !j.hasTaskLeft() {
		s.closeJob(j, Failed, now)
	}
	return true
}

// hasTaskLeft reports whether some task of the job is neither done nor given up, or is not due yet.
func (j *Job) hasTaskLeft() bool {
	if len(j.Occurrences) < j.Spec.Occurrences() {
		return true
	}
	for oi := range j.Occurrences {
		for si := range j.Occurrences[oi].Stages {
			stage := &j.Occurrences[oi].Stages[si]
			if stage.Left > len(stage.Tasks) || slices.ContainsFunc(stage.Tasks, func(t Task) bool { return !t.closed() }) {
				return true
			}
		}
	}
	return false
}

// closed reports whether no run of the task is to start any more.
func (t *Task) closed() bool { return t.Done || t.Crashes.GivenUp() }

// suspectLate counts a crash for a task that younger ones are suspected of. A task that ends runs apart after
// isolateAfter of them, so that the next crash has one suspect. Long-running tasks are on a host for so long
// that they share the crashes of others.
func (s *State) suspectLate(ref batch.Ref) {
	j, _, task := s.task(ref)
	if j.Phase != Open || j.Spec.Steps[ref.Step].LongRunning {
		return
	}
	s.markTaskDirty(j, ref)
	if task.Crashes.Late++; task.Crashes.Late >= isolateAfter {
		task.Crashes.Hosts, task.Crashes.Isolated = max(task.Crashes.Hosts, task.Crashes.Late), true
		task.Crashes.Confirmed = max(task.Crashes.Confirmed, task.Crashes.Late)
		s.addSuspect(ref, task)
	}
}

// addSuspect adds a task that is suspected of a crash.
func (s *State) addSuspect(ref batch.Ref, task *Task) {
	s.suspects[ref] = task
	_, stage, _ := s.task(ref)
	stage.suspected = true
	if stage.waiting != nil {
		s.backlog.touch(stage.waiting)
	}
}

// Crashes counts the hosts that have crashed under a task.
type Crashes struct {
	// Hosts is the number of hosts of whose crash the task was suspected. Alone is the number of those
	// of which no other task was; it is at most Hosts.
	Hosts int `cbor:"1,keyasint,omitempty"`
	Alone int `cbor:"2,keyasint,omitempty"`
	// Isolated reports whether the task runs apart from others.
	Isolated bool `cbor:"3,keyasint,omitempty"`
	// Confirmed is the number of those that had confirmed the start of the task; it is at most Hosts.
	Confirmed int `cbor:"5,keyasint,omitempty"`
	// Late is the number of hosts that crashed after the task had been on them for settleTime, and of
	// whose crash younger tasks were suspected.
	Late int `cbor:"4,keyasint,omitempty"`
	// Unexplained is the number of hosts that crashed within promptSpan of a start which they had confirmed, or
	// while no other crash explained theirs. It is counted for long-running tasks only and is at most Hosts.
	Unexplained int `cbor:"6,keyasint,omitempty"`
}

// GivenUp reports whether a long-running task is not started any more.
func (c *Crashes) GivenUp() bool {
	return c.Unexplained >= maxUnexplainedCrashes
}

// exhausted reports whether a task has crashed so many hosts that it is given up.
func (c *Crashes) exhausted() bool {
	return (c.Hosts >= maxCrashes && c.Alone > 0 && c.Confirmed >= minConfirmed) || c.Hosts >= maxSharedCrashes
}

// countVanished counts the runs that an earlier owner had ordered and that no host reports, once each host has
// listed all its ends or its lease has expired. Such a run was lost with its host. Only if the task is suspected already, or
// if some host ended while there was no owner, is that taken for a crash.
func (s *State) countVanished(now time.Time) {
	if len(s.startedEarlier) == 0 || !s.priorHosts(now).empty() {
		return
	}
	for ref := range s.startedEarlier {
		_, stage, task := s.task(ref)
		if stage != nil && !task.Done && task.startedEarlier && (task.Crashes.Hosts > 0 || s.hostEndedUnseen) {
			// Whether the host crashed, and what else was on it, is not known.
			s.suspect(ref, suspicion{first: task.Crashes.Hosts > 0, excused: true}, now)
		}
		if stage != nil {
			task.startedEarlier = false
		}
	}
	clear(s.startedEarlier)
}

// count returns 1 if the condition holds, and 0 otherwise.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// SettleSuspects clears the suspicion of long-running tasks that have been on their host long enough, and
// forgets the suspects that are done or whose job has ended.
func (s *State) SettleSuspects(now time.Time) {
	for ref, task := range s.suspects {
		j, stage, current := s.task(ref)
		if stage == nil || current != task || j.Phase != Open || task.Done {
			delete(s.suspects, ref)
			continue
		}
		if task.Crashes.GivenUp() && task.Status == Idle {
			delete(s.suspects, ref)
			continue
		}
		if j.Spec.Steps[ref.Step].LongRunning && task.settled(now) {
			stage.givenUp -= count(task.Crashes.GivenUp())
			task.Crashes, task.excuses = Crashes{}, nil
			s.backlog.update(j, ref.Occurrence, ref.Step)
			delete(s.suspects, ref)
			s.markTaskDirty(j, ref)
		}
	}
}

// addRestored adds the suspects and the started tasks of a job that an earlier owner has stored.
func (s *State) addRestored(j *Job) {
	for oi := range j.Occurrences {
		for si := range j.Occurrences[oi].Stages {
			tasks := j.Occurrences[oi].Stages[si].Tasks
			for i := range tasks {
				ref := batch.Ref{Job: j.ID, Occurrence: oi, Step: si, Index: i}
				if tasks[i].Crashes.Hosts > 0 && !tasks[i].Done {
					s.addSuspect(ref, &tasks[i])
				}
				if tasks[i].startedEarlier {
					s.startedEarlier[ref] = struct{}{}
				}
			}
		}
	}
}

// countsCrash reports whether the crash of the host of a run counts for its task: the task is not done, the end
// of the run is not known, and no crash was counted for it or a later one.
func (s *State) countsCrash(ref batch.Ref, run int64) bool {
	j, stage, task := s.task(ref)
	return stage != nil && j.Phase == Open && !task.Done && task.Counted < run && task.crashedRun < run
}

func compareRefs(a, b batch.Ref) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
