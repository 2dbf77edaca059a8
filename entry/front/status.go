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

func foundPool(s *ledger.State, o wire.Object, spec pool.Spec) found {
	t := s.Tally(o.Name)
	o.Status = wire.Status{Size: t.Size, Serving: t.Serving, Room: max(0, s.Headroom(o.Name))}
	f := found{object: o, body: spec, why: []string{
		fmt.Sprintf("budget %s: %s", spec.Budget, s.BudgetFigures(o.Name)),
	}}
	for _, name := range s.HostsOf(o.Name) {
		h := s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" {
			f.why = append(f.why, hostLine(name, h))
		}
	}
	return f
}

// hostLine says why a host is not simply serving.
func hostLine(name string, h *host.Host) string {
	parts := []string{fmt.Sprintf("host %s is %s", name, h.Phase)}
	if h.Wave != "" {
		parts = append(parts, "for wave "+h.Wave)
	}
	if h.MoveTo != "" {
		parts = append(parts, "on its way to pool "+h.MoveTo)
	}
	if n := len(h.History); n > 0 && h.History[n-1].Rule != "" {
		last := h.History[n-1]
		parts = append(parts, fmt.Sprintf("by rule %s (%s)", last.Rule, last.Figures))
	}
	return strings.Join(parts, ", ")
}

func foundHost(s *ledger.State, name string) found {
	h := s.Hosts[name]
	var last host.HistoryEntry
	if n := len(h.History); n > 0 {
		last = h.History[n-1]
	}
	f := found{
		object: wire.Object{
			Kind: record.KindHost, Name: name, Version: h.Version, Author: last.Author, At: last.At, Schema: 1,
			Status: wire.Status{
				Phase: string(h.Phase), Pool: h.Spec.Pool, MoveTo: h.MoveTo, Wave: h.Wave, Tasks: s.TaskCount(name),
			},
		},
		body: h.Spec, steps: slices.Clone(h.History), why: []string{hostLine(name, h)},
	}
	return f
}

// explainHost adds what is costly to tell and asked for one host only.
func explainHost(s *ledger.State, f *found) {
	if n := len(f.steps); n == host.MaxHistory && f.steps[0].Event != host.EventJoin {
		f.why = append(f.why, fmt.Sprintf("older steps than offset %d are in the stream only", f.steps[0].Offset))
	}
	left, err := query.AnswerLeave(s, query.Leave{Host: f.object.Name})
	switch {
	case err != nil || len(left.Hosts) != 1:
	case left.Hosts[0].MayLeave:
		f.why = append(f.why, "it may leave now")
	default:
		f.why = append(f.why, "it may not leave now: "+left.Hosts[0].Blocker)
	}
}

func foundJob(s *ledger.State, j *jobs.Job) found {
	finished := 0
	placed := make(map[string]int)
	for _, t := range j.Tasks {
		if t.Finished {
			finished++
		}
		if t.Host != "" {
			placed[t.Host]++
		}
	}
	o := published(record.KindJob, &j.Published)
	o.Status = wire.Status{
		Pool: j.Published.Spec.Pool, Tasks: len(j.Tasks), Waiting: j.Waiting(), Finished: finished,
		UnmetDimension: j.UnplaceableFor, Cancelled: j.Cancelled,
	}
	f := found{object: o, body: j.Published.Spec}
	switch {
	case j.Cancelled:
		f.why = append(f.why, "the job was cancelled")
	case j.UnplaceableFor != "":
		f.why = append(f.why, fmt.Sprintf("no host of pool %s can ever hold a task: short of %s", j.Published.Spec.Pool, j.UnplaceableFor))
	}
	for _, name := range s.HostsOf(j.Published.Spec.Pool) {
		if n := placed[name]; n > 0 {
			f.why = append(f.why, fmt.Sprintf("%d tasks on host %s", n, name))
		}
	}
	return f
}

// explainJob adds what the waiting tasks of a job are short of.
func explainJob(s *ledger.State, f *found) {
	if j := s.Jobs[f.object.Name]; j.Waiting() > 0 {
		f.why = append(f.why, waitingFor(s, j))
	}
}

// waitingFor says what waiting tasks of a job are short of.
func waitingFor(s *ledger.State, j *jobs.Job) string {
	spec := j.Published.Spec
	if dimension := s.ExceededQuota(spec.Team, spec.Size); dimension != "" {
		return fmt.Sprintf("%d tasks wait: team %s has no quota of %s left", j.Waiting(), spec.Team, dimension)
	}
	answer, err := query.AnswerCarry(s, query.Carry{
		Pool: spec.Pool, Jobs: []query.Demand{{Name: j.Published.Name, Size: spec.Size, Tasks: 1}},
	})
	if err != nil || answer.Fits || answer.ShortOf == "budget" {
		return fmt.Sprintf("%d tasks wait for the planner's next round", j.Waiting())
	}
	return fmt.Sprintf("%d tasks wait: %s", j.Waiting(), answer.Why)
}

func foundWave(s *ledger.State, w *wave.Wave) found {
	o := published(record.KindWave, &w.Published)
	o.Version = w.Version
	o.Status = wire.Status{Phase: string(w.Phase), Total: w.TotalHosts, Remaining: len(w.PendingHosts)}
	f := found{object: o, body: w.Published.Spec}
	if w.Reason != (record.Reason{}) {
		f.why = append(f.why, fmt.Sprintf("%s by rule %s (%s)", w.Phase, w.Reason.Rule, w.Reason.Figures))
	}
	return f
}

// explainWave adds what each of the wave's hosts waits for.
func explainWave(s *ledger.State, f *found) {
	left, err := query.AnswerLeave(s, query.Leave{})
	if err != nil {
		return
	}
	blockers := make(map[string]string, len(left.Hosts))
	for _, l := range left.Hosts {
		blockers[l.Host] = l.Blocker
	}
	for _, name := range s.Waves[f.object.Name].PendingHosts {
		h := s.Hosts[name]
		switch {
		case h.Wave == f.object.Name:
			f.why = append(f.why, hostLine(name, h))
		case blockers[name] != "":
			f.why = append(f.why, fmt.Sprintf("host %s waits: %s", name, blockers[name]))
		}
	}
}

// addDetail adds what is asked for one object only.
func addDetail(s *ledger.State, f *found) {
	switch f.object.Kind {
	case record.KindHost:
		explainHost(s, f)
	case record.KindWave:
		explainWave(s, f)
	case record.KindJob:
		explainJob(s, f)
	}
}
