package fake

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"carawaymux.dev/fleet/batch"
)

// Crash describes the tasks of a job that crash each host that starts them.
type Crash struct {
	// Share is the share of the job's tasks that crash their hosts; Seed chooses them. A share of
	// 1 chooses all.
	Share float64
	Seed  uint64
	// Delay is the time from the start of a task to the crash. With a delay of 0, the host crashes
	// before it responds to the start.
	Delay time.Duration
	// Downtime is how long the machine is offline. It is positive.
	Downtime time.Duration
	// KeepID makes the machine come back with the host ID that it had, as a new instance. It comes
	// back with a new ID otherwise.
	KeepID bool
}

// chooses reports whether a task crashes its hosts.
func (c *Crash) chooses(task string) bool {
	if c == nil {
		return false
	}
	name := fnv.New64a()
	name.Write([]byte(task)) //nolint:errcheck // a hash returns no error
	return rand.New(rand.NewPCG(c.Seed, name.Sum64())).Float64() < c.Share
}

// CrashesHosts reports whether the job has a task that crashes its hosts.
func (j *Job) CrashesHosts() bool {
	for _, task := range j.tasks() {
		if j.Crash.chooses(task) {
			return true
		}
	}
	return false
}

// tasks returns the names of the job's tasks.
func (j *Job) tasks() []string {
	var out []string
	for step, count := range j.TaskCounts {
		for i := range count {
			out = append(out, (batch.Ref{Job: j.ID, Step: step, Index: i}).String())
		}
	}
	return out
}

// recordLifetimes is the number of heartbeat intervals after which the record of a silent host is
// removed.
const recordLifetimes = 3

// crash ends an incarnation of a machine without notice, with all its runs. The host's record stays
// until it expires, unless the host is back before.
func (s *state) crash(h *host, downtime time.Duration, keepID bool, now time.Time) {
	for task := range h.running {
		s.checker.crashes[task]++
	}
	m := h.machine
	s.endHost(h)
	s.recordExpiry[h.id] = now.Add(recordLifetimes * s.timing.HeartbeatInterval)
	m.state, m.awayUntil, m.nextHostID = stateDown, now.Add(downtime), ""
	if keepID {
		m.nextHostID = h.id
	}
}

// expireRecords removes the records of crashed hosts that are due.
func (s *state) expireRecords(now time.Time) {
	for _, id := range sortedKeys(s.recordExpiry) {
		if now.After(s.recordExpiry[id]) {
			delete(s.recordExpiry, id)
			s.store.partition("keyed.servers", "0").put(id, nil)
		}
	}
}

// crashDue returns the description of a crash that a run of the host causes by now, or nil.
func (h *host) crashDue(s *state, now time.Time) *Crash {
	for _, task := range sortedKeys(h.running) {
		if crash := s.checker.crashOf(task); crash != nil && now.Sub(h.running[task].startedAt) >= crash.Delay {
			return crash
		}
	}
	return nil
}

// crashOf returns the description of the crash that a task causes, or nil.
func (c *checker) crashOf(task string) *Crash {
	if j := c.jobs[jobOf(task)]; j != nil && j.Crash.chooses(task) {
		return j.Crash
	}
	return nil
}

const (
	// crashLimit is the number of hosts that have to crash under a task before further starts of it
	// are limited; there may be fewer than startsAfterLimit.
	crashLimit, startsAfterLimit = 3, 3
	// crashesToGiveUp is the number of hosts that have to crash under a task before it may be given
	// up.
	crashesToGiveUp = 2
)

// checkCrashBudget checks the start of a task that crashes its hosts.
func (c *checker) checkCrashBudget(s *state, task string) {
	if c.crashOf(task) == nil || c.crashes[task] < crashLimit {
		return
	}
	c.startsAfterCrashes[task]++
	if c.startsAfterCrashes[task] >= startsAfterLimit {
		s.addViolation("task %s, under which %d hosts have crashed: start %d after crash %d, fewer than %d are allowed",
			task, c.crashes[task], c.startsAfterCrashes[task], crashLimit, startsAfterLimit)
	}
}

// checkShownState checks the state of a job that an entry has shown.
func (c *checker) checkShownState(s *state, id, shown string) {
	j := c.jobs[id]
	if j == nil || shown != "failed" {
		return
	}
	for _, task := range j.tasks() {
		if c.failedRuns[task] >= maxAttempts || (j.Crash.chooses(task) && c.crashes[task] >= crashesToGiveUp) {
			return
		}
	}
	s.addViolation("job %s is shown as failed, but no task of it has used up its attempts or has crashed %d hosts", id, crashesToGiveUp)
}

// Crashes returns how many hosts have crashed under that task of a job, among those that crash their hosts,
// under which most have.
func (fp *Platform) Crashes(j *Job) int {
	return query(fp, func(s *state) int {
		most := 0
		for _, task := range j.tasks() {
			if j.Crash.chooses(task) {
				most = max(most, s.checker.crashes[task])
			}
		}
		return most
	})
}
