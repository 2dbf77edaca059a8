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

// Leave asks which hosts may leave for maintenance now.
type Leave struct {
	// Pool limits the question to one pool; empty for all.
	Pool string `json:"pool,omitempty"`
	// Host limits the question to one host; empty for all.
	Host string `json:"host,omitempty"`
}

// Check reports faults in the question.
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

// Leaver is the answer for one host.
type Leaver struct {
	Host string `json:"host"`
	Pool string `json:"pool"`
	// May says that the host may leave now. Each host is judged by itself; of
	// a pool's hosts no more than its Room may leave together.
	May bool `json:"may"`
	// Room is how many hosts of the pool may leave at once.
	Room int `json:"room"`
	// Blocker says what stops the host; empty when it may leave.
	Blocker string `json:"blocker,omitempty"`
}

// Left is the answer to [Leave].
type Left struct {
	View  View     `json:"view"`
	Hosts []Leaver `json:"hosts"`
}

// AskLeave answers a [Leave]. It returns an error when the pool or the host does
// not exist.
func AskLeave(s *ledger.State, l Leave) (Left, error) {
	if l.Pool != "" && s.Pools[l.Pool] == nil {
		return Left{}, record.Problems{{
			Field: "pool", Got: fmt.Sprintf("%q", l.Pool), Allowed: "the name of a pool"}}
	}
	if l.Host != "" && s.Hosts[l.Host] == nil {
		return Left{}, record.Problems{{
			Field: "host", Got: fmt.Sprintf("%q", l.Host), Allowed: "the name of a host"}}
	}
	onHost := tasksByHost(s)
	var out Left
	for _, poolName := range slices.Sorted(maps.Keys(s.Pools)) {
		if l.Pool != "" && poolName != l.Pool {
			continue
		}
		room := s.Headroom(poolName)
		for _, name := range s.HostsOf(poolName) {
			if l.Host != "" && name != l.Host {
				continue
			}
			one := Leaver{Host: name, Pool: poolName, Room: max(room, 0)}
			one.Blocker = blocker(s, name, room, onHost[name])
			one.May = one.Blocker == ""
			out.Hosts = append(out.Hosts, one)
		}
	}
	return out, nil
}

// held is a placed task.
type held struct {
	job  string
	task int
}

func tasksByHost(s *ledger.State) map[string][]held {
	out := make(map[string][]held)
	for _, name := range slices.Sorted(maps.Keys(s.Jobs)) {
		for i, t := range s.Jobs[name].Tasks {
			if t.Host != "" {
				out[t.Host] = append(out[t.Host], held{name, i})
			}
		}
	}
	return out
}

func blocker(s *ledger.State, name string, room int, tasks []held) string {
	h := s.Hosts[name]
	if h.Phase != host.Serving {
		return fmt.Sprintf("host is %s", h.Phase)
	}
	if room < 1 {
		return fmt.Sprintf("budget of pool %s: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return stranded(s, name, tasks)
}

// stranded names a task of the host that no other serving host of the pool has
// room for.
func stranded(s *ledger.State, name string, tasks []held) string {
	if len(tasks) == 0 {
		return ""
	}
	var free []place.Candidate
	for _, c := range servingHosts(s, s.Hosts[name].Spec.Pool) {
		if c.Name != name {
			free = append(free, c)
		}
	}
	for _, t := range tasks {
		need := s.Jobs[t.job].Published.Spec.Size
		chosen, short := place.Pick(place.BestFit{}, free, need)
		if chosen < 0 {
			return fmt.Sprintf("task %d of job %s finds no other host: short of %s", t.task, t.job, short)
		}
		place.Take(free, chosen, need)
	}
	return ""
}
