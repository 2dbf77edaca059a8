// Package query answers what a fleet can carry and which hosts may leave. The
// answers are pure functions of the folded state.
package query

import (
	"fmt"
	"maps"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/place"
	"carawaymux.dev/fleet/record"
)

// Limits on a question.
const (
	// MaxJobs is the largest number of jobs in one question.
	MaxJobs = 256
	// MaxSlots is the largest number of request slots in one question.
	MaxSlots = 1 << 20
)

// View says which state an answer was computed from.
type View struct {
	// Offset is the next offset that the state had not folded.
	Offset uint64 `json:"offset"`
	// AgeMS is how long ago the instance last heard from the log or a peer that
	// it had folded everything, in milliseconds.
	AgeMS int64 `json:"age-ms"`
}

// Demand is a job in a question.
type Demand struct {
	// Name is repeated in the answer.
	Name string `json:"name"`
	// Size is what each task needs.
	Size host.Size `json:"size"`
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Spread asks for tasks in different racks where there are enough.
	Spread bool `json:"spread,omitempty"`
}

// Carry asks whether a pool, or the whole fleet, can take some jobs beside what is
// placed already.
type Carry struct {
	// Pool is the pool; empty for the whole fleet.
	Pool string `json:"pool,omitempty"`
	// Jobs are the jobs to be taken.
	Jobs []Demand `json:"jobs,omitempty"`
	// Slots is a number of requests to be run at once.
	Slots int `json:"slots,omitempty"`
}

// Check reports faults in the question.
func (c Carry) Check() record.Problems {
	var p record.Problems
	if c.Pool != "" {
		p.Name("pool", c.Pool)
	}
	p.Range("jobs", int64(len(c.Jobs)), 0, MaxJobs)
	p.Range("slots", int64(c.Slots), 0, MaxSlots)
	if len(c.Jobs) == 0 && c.Slots == 0 {
		p.Add("jobs", "", "named, or slots above 0")
	}
	for _, d := range c.Jobs {
		p.Name("jobs.name", d.Name)
		jobs.CheckSize(&p, d.Size)
		p.Range("jobs.tasks", int64(d.Tasks), 1, jobs.MaxTasks)
	}
	return p
}

// Placed says where a task would go.
type Placed struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	Host string `json:"host"`
}

// Carried is the answer to [Carry].
type Carried struct {
	View View `json:"view"`
	// Fits says that everything asked for can be carried, also after the
	// availability budgets have let go every host that they may.
	Fits bool `json:"fits"`
	// Placements says where each task would go; empty unless Fits.
	Placements []Placed `json:"placements,omitempty"`
	// Short is the first dimension that is short: cores, memory-mib,
	// accelerators, slots or budget; empty when Fits.
	Short string `json:"short,omitempty"`
	// Job is the job that did not fit; empty when Fits or when slots are short.
	Job string `json:"job,omitempty"`
	// Why says in words what is short.
	Why string `json:"why,omitempty"`
}

// candidate is a serving host with its slots.
type candidate struct {
	place.Candidate
	slots int
}

// AskCarry answers a [Carry]. It returns an error when the pool does not exist.
func AskCarry(s *ledger.State, c Carry) (Carried, error) {
	pools := []string{c.Pool}
	if c.Pool == "" {
		pools = slices.Sorted(maps.Keys(s.Pools))
	} else if s.Pools[c.Pool] == nil {
		return Carried{}, record.Problems{{
			Field: "pool", Got: fmt.Sprintf("%q", c.Pool), Allowed: "the name of a pool"}}
	}
	hosts := 0
	for _, name := range pools {
		hosts += len(s.HostsOf(name))
	}
	serving, sure := make([]candidate, 0, hosts), make([]candidate, 0, hosts)
	for _, name := range pools {
		from := len(serving)
		serving = appendServing(serving, s, name)
		sure = appendSure(sure, serving[from:], s.Room(name))
	}
	remain := len(sure)
	answer := fit(sure, c)
	if answer.Fits {
		return answer, nil
	}
	if fit(serving, c).Fits {
		answer.Why = fmt.Sprintf("fits on the %d serving hosts, but not on the %d that remain "+
			"when the budgets let go what they may (short of %s)", len(serving), remain, answer.Short)
		answer.Short = "budget"
	}
	return answer, nil
}

// appendServing appends the serving hosts of a pool.
func appendServing(list []candidate, s *ledger.State, poolName string) []candidate {
	for _, name := range s.HostsOf(poolName) {
		h := s.Hosts[name]
		if h.Phase != host.Serving {
			continue
		}
		list = append(list, candidate{
			Candidate: place.Candidate{
				Name: name, Rack: place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack}, Free: h.Spec.Size.Sub(s.Used(name)),
			},
			slots: h.Spec.Slots,
		})
	}
	return list
}

// appendSure appends a pool's hosts but for the n with the most free room: whichever
// hosts the budget lets go, no more than this is lost.
func appendSure(to, list []candidate, n int) []candidate {
	if n >= len(list) {
		return to
	}
	from := len(to)
	to = append(to, list...)
	for range n {
		rest := to[from:]
		most := 0
		for i := range rest {
			if idle(rest[i]) > idle(rest[most]) {
				most = i
			}
		}
		to = slices.Delete(to, from+most, from+most+1)
	}
	return to
}

// idle ranks a candidate by what it has free.
func idle(c candidate) int64 { return place.BestFit{}.Rank(c.Candidate, host.Size{}) }

// fit tries to place everything that is asked for on the given hosts.
func fit(list []candidate, c Carry) Carried {
	slots := 0
	free := make([]place.Candidate, len(list))
	for i := range list {
		slots += list[i].slots
		free[i] = list[i].Candidate
	}
	var out Carried
	for _, d := range c.Jobs {
		if d.Spread {
			for i := range free {
				free[i].Mates = 0
			}
		}
		for task := range d.Tasks {
			chosen, short := pick(free, d)
			if chosen < 0 {
				return refusal(d, task, short, len(list))
			}
			if d.Spread {
				place.TakeSpread(free, chosen, d.Size)
			} else {
				place.Take(free, chosen, d.Size)
			}
			out.Placements = append(out.Placements, Placed{Job: d.Name, Task: task, Host: free[chosen].Name})
		}
	}
	if slots < c.Slots {
		return Carried{Short: "slots", Why: fmt.Sprintf("%d slots asked for, %d there", c.Slots, slots)}
	}
	out.Fits = true
	return out
}

func pick(free []place.Candidate, d Demand) (int, string) {
	if d.Spread {
		return place.Pick(place.Spread{}, free, d.Size)
	}
	return place.Pick(place.BestFit{}, free, d.Size)
}

func refusal(d Demand, task int, short string, hosts int) Carried {
	if short == "" {
		short = "cores"
	}
	return Carried{
		Short: short,
		Job:   d.Name,
		Why:   fmt.Sprintf("task %d of %d finds no room on %d serving hosts: short of %s", task, d.Tasks, hosts, short),
	}
}
