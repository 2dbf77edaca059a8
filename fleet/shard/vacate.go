package shard

import (
	"maps"
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// checkpointStopDelay is how long a host that is being emptied keeps work that can resume
	// from a checkpoint. Most work ends by itself before that.
	checkpointStopDelay = 1500 * time.Millisecond
	// forcedStopDelay is how long it keeps other work.
	forcedStopDelay = 6 * time.Second
)

// Vacate cordons a host for a time, and stops the tasks there that can be moved. It stops no more
// tasks of a long-running step than may be unavailable, and other tasks after a delay in which
// most of them end. It reports whether the host is empty. A host that an earlier owner may have given work
// to is not known to be empty before it has answered or its lease has expired.
func (s *State) Vacate(h *Host, now time.Time, cordon time.Duration) bool {
	if now.After(h.CordonedUntil) {
		h.CordonedAt = now
	}
	h.CordonedUntil = now.Add(cordon)
	waited := now.Sub(h.CordonedAt)
	for r, task := range h.Assigned {
		j, stage, _ := s.task(r)
		if stage == nil || task.Status != Running {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		switch {
		case step.LongRunning:
			if s.mayStop(step, stage, now) && s.fitsElsewhere(r, step, stage, task, now) {
				s.orderStop(r, task, "host is being emptied")
			}
		case step.Checkpoints && waited > checkpointStopDelay, waited > forcedStopDelay:
			s.orderStop(r, task, "host is being emptied")
		}
	}
	known := h.Confirmed || !h.Stored || s.leaseExpired(h, now)
	return known && len(h.Assigned) == 0 && h.UnknownRuns == 0
}

// CordonUnlisted cordons a host that is not known yet. A host that joins before the cordon expires takes no
// work until then, so that one which was called empty stays empty.
func (s *State) CordonUnlisted(host string, now time.Time, cordon time.Duration) {
	maps.DeleteFunc(s.unlistedCordons, func(_ string, until time.Time) bool { return now.After(until) })
	s.unlistedCordons[host] = now.Add(cordon)
}

// applyUnlistedCordon cordons a host that has joined after a request to empty it.
func (s *State) applyUnlistedCordon(h *Host, now time.Time) {
	if until, ok := s.unlistedCordons[h.ID]; ok {
		delete(s.unlistedCordons, h.ID)
		h.CordonedAt, h.CordonedUntil = now, until
	}
}

// fitsElsewhere reports whether some other host has room for a task.
func (s *State) fitsElsewhere(r batch.Ref, step *batch.Step, stage *Stage, task *Task, now time.Time) bool {
	hosts := s.candidates(now)
	return s.pickHost(step, stage, task, hosts, s.permitFilter(r, now), now) != nil
}

// mayStop reports whether one more task of a long-running step may be stopped by an order. One task
// may be unavailable even if MaxUnavailable is 0, so that its host can be emptied.
func (s *State) mayStop(step *batch.Step, stage *Stage, now time.Time) bool {
	return s.unavailable(stage, now) < max(step.MaxUnavailable, 1)
}

// servingPercent is the progress from which on a long-running task serves.
const servingPercent = 100

// silentTimeout is the time without an answer after which a host counts as silent and may be
// lost. An answer is due every second.
const silentTimeout = 1200 * time.Millisecond

// unavailable returns the number of tasks of a long-running step that are not known to serve.
func (s *State) unavailable(stage *Stage, now time.Time) int {
	n := 0
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		h := s.Hosts[task.Host]
		if task.Status != Running || task.Percent < servingPercent || h == nil || now.Sub(h.LastAnswer) > silentTimeout {
			n++
			continue
		}
		if now.Sub(h.FirstAnswer) < s.Timing.StopTimeout+silentTimeout {
			// A stop that an earlier owner has ordered may not show in the report yet.
			n++
		}
	}
	return n
}
