package query

import (
	"fmt"
	"maps"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/place"
	"carawaymux.dev/fleet/record"
)

// Leave asks which hosts may leave service now.
type Leave struct {
	// Pool limits the question to one pool; empty for all pools.
	Pool string `json:"pool,omitempty"`
	// Host limits the question to one host; empty for all hosts.
	Host string `json:"host,omitempty"`
}

// Check validates the fields.
func (l Leave) Check() record.Problems {
	var p record.Problems
	if l.Pool != "" {
		p.CheckName("pool", l.Pool)
	}
	if l.Host != "" {
		p.CheckName("host", l.Host)
	}
	return p
}

// LeaveVerdict is the answer for one host.
type LeaveVerdict struct {
	Host string `json:"host"`
	Pool string `json:"pool"`
	// MayLeave means that the host may leave now, if no other host leaves. At most Headroom hosts
	// of a pool may leave together.
	MayLeave bool `json:"may"`
	// Headroom is how many more hosts of the pool may leave service under its budget.
	Headroom int `json:"room"`
	// Blocker is the reason why the host may not leave; empty when it may.
	Blocker string `json:"blocker,omitempty"`
}

// LeaveAnswer is the answer to [Leave].
type LeaveAnswer struct {
	View  View           `json:"view"`
	Hosts []LeaveVerdict `json:"hosts"`
}

// AnswerLeave answers a [Leave]. It returns an error when the pool or the host does not exist.
func AnswerLeave(s *ledger.State, l Leave) (LeaveAnswer, error) {
	if l.Pool != "" && s.Pools[l.Pool] == nil {
		return LeaveAnswer{}, record.Problems{{
			Field: "pool", Got: fmt.Sprintf("%q", l.Pool), Allowed: "the name of a pool"}}
	}
	if l.Host != "" && s.Hosts[l.Host] == nil {
		return LeaveAnswer{}, record.Problems{{
			Field: "host", Got: fmt.Sprintf("%q", l.Host), Allowed: "the name of a host"}}
	}
	tasks := tasksByHost(s)
	var out LeaveAnswer
	for _, poolName := range slices.Sorted(maps.Keys(s.Pools)) {
		if l.Pool != "" && poolName != l.Pool {
			continue
		}
		headroom := s.Headroom(poolName)
		for _, name := range s.HostsOf(poolName) {
			if l.Host != "" && name != l.Host {
				continue
			}
			verdict := LeaveVerdict{Host: name, Pool: poolName, Headroom: max(headroom, 0)}
			verdict.Blocker = leaveBlocker(s, name, headroom, tasks[name])
			verdict.MayLeave = verdict.Blocker == ""
			out.Hosts = append(out.Hosts, verdict)
		}
	}
	return out, nil
}

// placedTask identifies a task that has a host.
type placedTask struct {
	job  string
	task int
}

func tasksByHost(s *ledger.State) map[string][]placedTask {
	out := make(map[string][]placedTask)
	for _, name := range slices.Sorted(maps.Keys(s.Jobs)) {
		for i, t := range s.Jobs[name].Tasks {
			if t.Host != "" {
				out[t.Host] = append(out[t.Host], placedTask{name, i})
			}
		}
	}
	return out
}

// leaveBlocker returns the reason why a host may not leave, or "" if it may.
func leaveBlocker(s *ledger.State, name string, headroom int, tasks []placedTask) string {
	h := s.Hosts[name]
	if h.Phase != host.Serving {
		return fmt.Sprintf("host is not serving, it is %s", h.Phase)
	}
	if headroom < 1 {
		return fmt.Sprintf("budget of pool %s allows no more hosts to leave: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return unplaceableTask(s, name, tasks)
}

// unplaceableTask describes a task of the host that fits on no other serving host of the pool,
// after the host's other tasks have been placed. It returns "" if there is none.
func unplaceableTask(s *ledger.State, name string, tasks []placedTask) string {
	if len(tasks) == 0 {
		return ""
	}
	var candidates []place.Candidate
	for _, c := range servingHosts(s, s.Hosts[name].Spec.Pool) {
		if c.Name != name {
			candidates = append(candidates, c)
		}
	}
	for _, t := range tasks {
		need := s.Jobs[t.job].Published.Spec.Size
		chosen, short := place.Pick(place.BestFit{}, candidates, need)
		if chosen < 0 {
			return fmt.Sprintf("task %d of job %s fits on no other serving host of the pool: short of %s", t.task, t.job, short)
		}
		place.Reserve(candidates, chosen, need)
	}
	return ""
}
