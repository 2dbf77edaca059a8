package front

import (
	"fmt"
	"slices"
	"strings"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/fleet/wire"
)

func poolInfo(s *ledger.State, o wire.Object, spec pool.Spec) objectInfo {
	t := s.Tally(o.Name)
	o.Status = wire.ObjectStatus{Size: t.Size, Serving: t.Serving, Headroom: max(0, s.Headroom(o.Name))}
	info := objectInfo{object: o, spec: spec, reasons: []string{
		fmt.Sprintf("budget %s: %s", spec.Budget, s.BudgetFigures(o.Name)),
	}}
	for _, name := range s.HostsOf(o.Name) {
		h := s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" {
			info.reasons = append(info.reasons, describeHost(name, h))
		}
	}
	return info
}

// describeHost returns the phase of a host with the wave, move and rule that led to it.
func describeHost(name string, h *host.Host) string {
	parts := []string{fmt.Sprintf("host %s is %s", name, h.Phase)}
	if h.Wave != "" {
		parts = append(parts, "for wave "+h.Wave)
	}
	if h.MoveTo != "" {
		parts = append(parts, "moving to pool "+h.MoveTo)
	}
	if n := len(h.History); n > 0 && h.History[n-1].Rule != "" {
		last := h.History[n-1]
		parts = append(parts, fmt.Sprintf("by rule %s (%s)", last.Rule, last.Figures))
	}
	return strings.Join(parts, ", ")
}

func hostInfo(s *ledger.State, name string) objectInfo {
	h := s.Hosts[name]
	var last host.HistoryEntry
	if n := len(h.History); n > 0 {
		last = h.History[n-1]
	}
	info := objectInfo{
		object: wire.Object{
			Kind: record.KindHost, Name: name, Version: h.Version, Author: last.Author, At: last.At, Schema: 1,
			Status: wire.ObjectStatus{
				Phase: string(h.Phase), Pool: h.Spec.Pool, MoveTo: h.MoveTo, Wave: h.Wave, Tasks: s.TaskCount(name),
			},
		},
		spec: h.Spec, history: slices.Clone(h.History), reasons: []string{describeHost(name, h)},
	}
	return info
}

// addHostDetail adds reasons that are too costly to compute for a list of hosts: whether the host
// may leave, and whether its history is incomplete.
func addHostDetail(s *ledger.State, info *objectInfo) {
	if n := len(info.history); n == host.MaxHistory && info.history[0].Event != host.EventJoin {
		info.reasons = append(info.reasons, fmt.Sprintf("changes before offset %d are no longer in the history; read them from the record stream", info.history[0].Offset))
	}
	answer, err := query.AnswerLeave(s, query.Leave{Host: info.object.Name})
	switch {
	case err != nil || len(answer.Hosts) != 1:
	case answer.Hosts[0].MayLeave:
		info.reasons = append(info.reasons, "the host may leave now")
	default:
		info.reasons = append(info.reasons, "the host may not leave now: "+answer.Hosts[0].Blocker)
	}
}

func jobInfo(s *ledger.State, j *jobs.Job) objectInfo {
	finished, givenUp := 0, 0
	tasksOn := make(map[string]int)
	for _, t := range j.Tasks {
		if t.Finished {
			finished++
		}
		if t.GivenUp() {
			givenUp++
		}
		if t.Host != "" {
			tasksOn[t.Host]++
		}
	}
	o := objectMetadata(record.KindJob, &j.Published)
	o.Status = wire.ObjectStatus{
		Pool: j.Published.Spec.Pool, Tasks: len(j.Tasks), Waiting: j.Waiting(), Finished: finished, GivenUp: givenUp,
		UnplaceableFor: j.UnplaceableFor, Cancelled: j.Cancelled,
	}
	info := objectInfo{object: o, spec: j.Published.Spec}
	switch {
	case j.Cancelled:
		info.reasons = append(info.reasons, "the job was cancelled")
	case j.UnplaceableFor != "":
		info.reasons = append(info.reasons, fmt.Sprintf("no host of pool %s is large enough for one task: short of %s", j.Published.Spec.Pool, j.UnplaceableFor))
	}
	if givenUp > 0 {
		info.reasons = append(info.reasons, fmt.Sprintf("%d tasks are given up: %d hosts crashed under each", givenUp, jobs.MaxCrashes))
	}
	for _, name := range s.HostsOf(j.Published.Spec.Pool) {
		if n := tasksOn[name]; n > 0 {
			info.reasons = append(info.reasons, fmt.Sprintf("%d tasks on host %s", n, name))
		}
	}
	return info
}

// addJobDetail adds the reason why tasks of the job wait, if any do.
func addJobDetail(s *ledger.State, info *objectInfo) {
	if j := s.Jobs[info.object.Name]; j.Waiting() > 0 {
		info.reasons = append(info.reasons, waitReason(s, j))
	}
}

// waitReason returns why the waiting tasks of a job are not placed. The team's quota comes first,
// then the capacity of the pool. A task that fits on the hosts that serve now waits for the
// planner, also if it would not fit once as many hosts leave as the budgets allow (short of
// "budget").
func waitReason(s *ledger.State, j *jobs.Job) string {
	spec := j.Published.Spec
	if dimension := s.ExceededQuota(spec.Team, spec.Size); dimension != "" {
		return fmt.Sprintf("%d tasks wait: quota of team %q does not have enough %s left", j.Waiting(), spec.Team, dimension)
	}
	answer, err := query.AnswerCarry(s, query.Carry{
		Pool: spec.Pool, Jobs: []query.Demand{{Name: j.Published.Name, Size: spec.Size, Tasks: 1}},
	})
	if err != nil || answer.Fits || answer.ShortOf == "budget" {
		return fmt.Sprintf("%d tasks wait for the next planning round", j.Waiting())
	}
	return fmt.Sprintf("%d tasks wait: %s", j.Waiting(), answer.Why)
}

func waveInfo(s *ledger.State, w *wave.Wave) objectInfo {
	o := objectMetadata(record.KindWave, &w.Published)
	o.Version = w.Version
	o.Status = wire.ObjectStatus{Phase: string(w.Phase), Total: w.TotalHosts, Remaining: len(w.PendingHosts)}
	info := objectInfo{object: o, spec: w.Published.Spec}
	if w.Reason != (record.Reason{}) {
		info.reasons = append(info.reasons, fmt.Sprintf("%s by rule %s (%s)", w.Phase, w.Reason.Rule, w.Reason.Figures))
	}
	return info
}

// addWaveDetail adds the state of each host that the wave has not finished: its phase if the wave
// has started on it, otherwise what blocks it.
func addWaveDetail(s *ledger.State, info *objectInfo) {
	answer, err := query.AnswerLeave(s, query.Leave{})
	if err != nil {
		return
	}
	blockers := make(map[string]string, len(answer.Hosts))
	for _, l := range answer.Hosts {
		blockers[l.Host] = l.Blocker
	}
	for _, name := range s.Waves[info.object.Name].PendingHosts {
		h := s.Hosts[name]
		switch {
		case h.Wave == info.object.Name:
			info.reasons = append(info.reasons, describeHost(name, h))
		case blockers[name] != "":
			info.reasons = append(info.reasons, fmt.Sprintf("host %s waits: %s", name, blockers[name]))
		}
	}
}

// addDetail adds reasons that are computed only when one object is explained.
func addDetail(s *ledger.State, info *objectInfo) {
	switch info.object.Kind {
	case record.KindHost:
		addHostDetail(s, info)
	case record.KindWave:
		addWaveDetail(s, info)
	case record.KindJob:
		addJobDetail(s, info)
	}
}
