// Package query answers what a fleet can carry and which hosts may leave. The
// answers are pure functions of the folded state.
package query

import (
	"cmp"
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
	Size host.Resources `json:"size"`
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
		p.CheckName("pool", c.Pool)
	}
	p.CheckRange("jobs", int64(len(c.Jobs)), 0, MaxJobs)
	p.CheckRange("slots", int64(c.Slots), 0, MaxSlots)
	if len(c.Jobs) == 0 && c.Slots == 0 {
		p.Add("jobs", "", "named, or slots above 0")
	}
	for _, d := range c.Jobs {
		p.CheckName("jobs.name", d.Name)
		jobs.CheckSize(&p, d.Size)
		p.CheckRange("jobs.tasks", int64(d.Tasks), 1, jobs.MaxTasks)
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

// AskCarry answers a [Carry]. It returns an error when the pool does not exist.
func AskCarry(s *ledger.State, c Carry) (Carried, error) {
	pools := []string{c.Pool}
	if c.Pool == "" {
		pools = slices.Sorted(maps.Keys(s.Pools))
	} else if s.Pools[c.Pool] == nil {
		return Carried{}, record.Problems{{
			Field: "pool", Got: fmt.Sprintf("%q", c.Pool), Allowed: "the name of a pool"}}
	}
	look := &lookup{s: s, pools: pools, found: make([][]place.Candidate, len(pools))}
	sure := newStock(look, true)
	answer := sure.fit(c)
	if answer.Fits {
		return answer, nil
	}
	serving := newStock(look, false)
	if serving.fit(c).Fits {
		answer.Why = fmt.Sprintf("fits on the %d serving hosts, but not on the %d that remain "+
			"when the budgets let go what they may (short of %s)", serving.hosts(), sure.hosts(), answer.Short)
		answer.Short = "budget"
	}
	return answer, nil
}

// lookup finds the serving hosts of pools, each pool once and only when it is needed, so
// that a question which few pools answer costs little.
type lookup struct {
	s     *ledger.State
	pools []string
	found [][]place.Candidate
}

func (l *lookup) serving(i int) []place.Candidate {
	if l.found[i] == nil {
		l.found[i] = servingHosts(l.s, l.pools[i])
	}
	return l.found[i]
}

// stock is what hosts have free, pool by pool, as tasks are booked on them.
type stock struct {
	*lookup
	// sure leaves out what the budgets may let go.
	sure bool
	// free holds each pool's candidates, nil until they are needed.
	free [][]place.Candidate
}

func newStock(l *lookup, sure bool) *stock {
	return &stock{lookup: l, sure: sure, free: make([][]place.Candidate, len(l.pools))}
}

// candidates returns what the hosts of a pool have free.
func (k *stock) candidates(i int) []place.Candidate {
	if k.free[i] == nil {
		list := slices.Clone(k.serving(i))
		if k.sure {
			list = withoutLargest(list, k.s.Headroom(k.pools[i]))
		}
		k.free[i] = list
	}
	return k.free[i]
}

// hosts counts the candidates of all pools.
func (k *stock) hosts() int {
	n := 0
	for i := range k.free {
		n += len(k.candidates(i))
	}
	return n
}

// slots counts the request slots of all pools.
func (k *stock) slots() int {
	n := 0
	for i := range k.free {
		for _, c := range k.candidates(i) {
			n += k.s.Hosts[c.Name].Spec.Slots
		}
	}
	return n
}

// merge makes one list of all pools, for jobs that are spread over all racks.
func (k *stock) merge() {
	all := make([]place.Candidate, 0, len(k.s.Hosts))
	for i := range k.free {
		all = append(all, k.candidates(i)...)
	}
	k.free = [][]place.Candidate{all}
}

func servingHosts(s *ledger.State, poolName string) []place.Candidate {
	names := s.HostsOf(poolName)
	list := make([]place.Candidate, 0, len(names))
	for _, name := range names {
		h := s.Hosts[name]
		if h.Phase != host.Serving {
			continue
		}
		list = append(list, place.Candidate{
			Name: name, Rack: place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack}, Free: h.Spec.Size.Sub(s.HostUsage(name)),
		})
	}
	return list
}

// withoutLargest drops the n hosts with the most free room: whichever hosts the budget
// lets go, no more than this is lost.
func withoutLargest(list []place.Candidate, n int) []place.Candidate {
	if n >= len(list) {
		return list[:0]
	}
	for range n {
		most := 0
		for i := range list {
			if idle(list[i]) > idle(list[most]) {
				most = i
			}
		}
		list = slices.Delete(list, most, most+1)
	}
	return list
}

// idle ranks a candidate by what it has free.
func idle(c place.Candidate) int64 { return place.BestFit{}.Rank(c, host.Resources{}) }

// fit tries to place everything that is asked for.
func (k *stock) fit(c Carry) Carried {
	var out Carried
	if c.Slots > 0 {
		if there := k.slots(); there < c.Slots {
			return Carried{Short: "slots", Why: fmt.Sprintf("%d slots asked for, %d there", c.Slots, there)}
		}
	}
	for _, d := range c.Jobs {
		placed, no := k.fitJob(d)
		if no != nil {
			return *no
		}
		out.Placements = append(out.Placements, placed...)
	}
	out.Fits = true
	return out
}

// fitJob places the tasks of one job, pool by pool: a pool that has no room for one task
// has none for the next, which is as large.
func (k *stock) fitJob(d Demand) ([]Placed, *Carried) {
	if d.Spread {
		k.merge()
		for i := range k.free[0] {
			k.free[0][i].Mates = 0
		}
	}
	var placed []Placed
	short := ""
	for pool := 0; len(placed) < d.Tasks; {
		if pool == len(k.free) {
			no := refusal(d, len(placed), short, k.hosts())
			return nil, &no
		}
		free := k.candidates(pool)
		chosen, dimension := pick(free, d)
		if chosen < 0 {
			short = cmp.Or(dimension, short)
			pool++
			continue
		}
		if d.Spread {
			place.TakeSpread(free, chosen, d.Size)
		} else {
			place.Take(free, chosen, d.Size)
		}
		placed = append(placed, Placed{Job: d.Name, Task: len(placed), Host: free[chosen].Name})
	}
	return placed, nil
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
