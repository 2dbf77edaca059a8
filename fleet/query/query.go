// Package query answers whether a fleet can take more work and which hosts may leave service. The
// answers depend only on the fleet state.
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

// Limits on a query.
const (
	// MaxJobs is the largest number of jobs in one query.
	MaxJobs = 256
	// MaxSlots is the largest number of request slots in one query.
	MaxSlots = 1 << 20
)

// View identifies the state from which an answer was computed.
type View struct {
	// Offset is the first log offset that is not part of the state.
	Offset uint64 `json:"offset"`
	// AgeMS is how long ago the log or a peer last confirmed that the state was up to date, in
	// milliseconds; -1 means never.
	AgeMS int64 `json:"age-ms"`
}

// Demand is a job in a query.
type Demand struct {
	// Name is repeated in the answer.
	Name string `json:"name"`
	// Size is what each task needs.
	Size host.Resources `json:"size"`
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Spread requests that the tasks run in different racks, as far as there are enough racks.
	Spread bool `json:"spread,omitempty"`
}

// Carry asks whether a pool, or the whole fleet, can take some jobs in addition to the tasks
// that are already placed.
type Carry struct {
	// Pool is the pool; empty for the whole fleet.
	Pool string `json:"pool,omitempty"`
	// Jobs are the jobs to place.
	Jobs []Demand `json:"jobs,omitempty"`
	// Slots is a number of requests to run at once.
	Slots int `json:"slots,omitempty"`
}

// Check validates the fields.
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

// TaskPlacement says where a task would run.
type TaskPlacement struct {
	Job  string `json:"job"`
	Task int    `json:"task"`
	Host string `json:"host"`
}

// CarryAnswer is the answer to [Carry].
type CarryAnswer struct {
	View View `json:"view"`
	// Fits means that the pools can carry the whole demand, even after as many hosts have left
	// service as the availability budgets allow.
	Fits bool `json:"fits"`
	// Placements says where each task would run; empty unless Fits.
	Placements []TaskPlacement `json:"placements,omitempty"`
	// ShortOf is the first dimension that is short: cores, memory-mib, accelerators, slots or
	// budget; empty when Fits.
	ShortOf string `json:"short,omitempty"`
	// Job is the job that did not fit; empty when Fits or when slots are short.
	Job string `json:"job,omitempty"`
	// Why explains what is short.
	Why string `json:"why,omitempty"`
}

// AnswerCarry answers a [Carry]. It returns an error when the pool does not exist.
func AnswerCarry(s *ledger.State, c Carry) (CarryAnswer, error) {
	pools := []string{c.Pool}
	if c.Pool == "" {
		pools = slices.Sorted(maps.Keys(s.Pools))
	} else if s.Pools[c.Pool] == nil {
		return CarryAnswer{}, record.Problems{{
			Field: "pool", Got: fmt.Sprintf("%q", c.Pool), Allowed: "the name of a pool"}}
	}
	cache := &hostCache{state: s, pools: pools, byPool: make([][]place.Candidate, len(pools))}
	guaranteed := newCapacity(cache, true)
	answer := guaranteed.fit(c)
	if answer.Fits {
		return answer, nil
	}
	serving := newCapacity(cache, false)
	if serving.fit(c).Fits {
		answer.Why = fmt.Sprintf("fits on the %d serving hosts, but not on the %d that remain "+
			"when as many hosts leave as the budgets allow (short of %s)", serving.hosts(), guaranteed.hosts(), answer.ShortOf)
		answer.ShortOf = "budget"
	}
	return answer, nil
}

// hostCache finds the serving hosts of each pool once, and only when they are needed, so that a
// query is cheap if the first pools have enough capacity.
type hostCache struct {
	state  *ledger.State
	pools  []string
	byPool [][]place.Candidate
}

func (c *hostCache) serving(i int) []place.Candidate {
	if c.byPool[i] == nil {
		c.byPool[i] = servingHosts(c.state, c.pools[i])
	}
	return c.byPool[i]
}

// capacity is the free capacity of hosts by pool. It decreases as tasks are reserved on them.
type capacity struct {
	*hostCache
	// guaranteed leaves out, in each pool, as many hosts as the budget allows to leave service.
	guaranteed bool
	// freeByPool holds each pool's candidates; nil until they are needed.
	freeByPool [][]place.Candidate
}

func newCapacity(c *hostCache, guaranteed bool) *capacity {
	return &capacity{hostCache: c, guaranteed: guaranteed, freeByPool: make([][]place.Candidate, len(c.pools))}
}

// candidates returns the hosts of a pool with their free capacity.
func (k *capacity) candidates(i int) []place.Candidate {
	if k.freeByPool[i] == nil {
		list := slices.Clone(k.serving(i))
		if k.guaranteed {
			list = withoutLargest(list, k.state.Headroom(k.pools[i]))
		}
		k.freeByPool[i] = list
	}
	return k.freeByPool[i]
}

// hosts counts the candidates of all pools.
func (k *capacity) hosts() int {
	n := 0
	for i := range k.freeByPool {
		n += len(k.candidates(i))
	}
	return n
}

// slots counts the request slots of all pools.
func (k *capacity) slots() int {
	n := 0
	for i := range k.freeByPool {
		for _, c := range k.candidates(i) {
			n += k.state.Hosts[c.Name].Spec.Slots
		}
	}
	return n
}

// mergePools puts the candidates of all pools into one list, so that a job can be spread over the
// racks of all of them.
func (k *capacity) mergePools() {
	all := make([]place.Candidate, 0, len(k.state.Hosts))
	for i := range k.freeByPool {
		all = append(all, k.candidates(i)...)
	}
	k.freeByPool = [][]place.Candidate{all}
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

// withoutLargest drops the n hosts with the most free capacity, as the worst case of n hosts that
// leave under the budget. Free capacity is compared by freeRank over all dimensions together.
func withoutLargest(list []place.Candidate, n int) []place.Candidate {
	if n >= len(list) {
		return list[:0]
	}
	for range n {
		most := 0
		for i := range list {
			if freeRank(list[i]) > freeRank(list[most]) {
				most = i
			}
		}
		list = slices.Delete(list, most, most+1)
	}
	return list
}

// freeRank ranks a candidate by its free capacity: by accelerators, then cores and memory.
func freeRank(c place.Candidate) int64 { return place.BestFit{}.Rank(c, host.Resources{}) }

// fit tries to place the whole demand.
func (k *capacity) fit(c Carry) CarryAnswer {
	var out CarryAnswer
	if c.Slots > 0 {
		if available := k.slots(); available < c.Slots {
			return CarryAnswer{ShortOf: "slots", Why: fmt.Sprintf("%d request slots asked for, %d available", c.Slots, available)}
		}
	}
	for _, d := range c.Jobs {
		placed, refused := k.fitJob(d)
		if refused != nil {
			return *refused
		}
		out.Placements = append(out.Placements, placed...)
	}
	out.Fits = true
	return out
}

// fitJob places the tasks of one job, pool by pool. Once a task does not fit in a pool, the next
// ones do not fit either, since all tasks have the same size.
func (k *capacity) fitJob(d Demand) ([]TaskPlacement, *CarryAnswer) {
	if d.Spread {
		k.mergePools()
		for i := range k.freeByPool[0] {
			k.freeByPool[0][i].RackPeers = 0
		}
	}
	var placed []TaskPlacement
	short := ""
	for i := 0; len(placed) < d.Tasks; {
		if i == len(k.freeByPool) {
			refused := refusal(d, len(placed), short, k.hosts())
			return nil, &refused
		}
		candidates := k.candidates(i)
		chosen, dimension := pick(candidates, d)
		if chosen < 0 {
			short = cmp.Or(dimension, short)
			i++
			continue
		}
		if d.Spread {
			place.ReserveSpread(candidates, chosen, d.Size)
		} else {
			place.Reserve(candidates, chosen, d.Size)
		}
		placed = append(placed, TaskPlacement{Job: d.Name, Task: len(placed), Host: candidates[chosen].Name})
	}
	return placed, nil
}

func pick(candidates []place.Candidate, d Demand) (int, string) {
	if d.Spread {
		return place.Pick(place.Spread{}, candidates, d.Size)
	}
	return place.Pick(place.BestFit{}, candidates, d.Size)
}

// refusal describes the task that did not fit. If there is no host at all, it names cores.
func refusal(d Demand, task int, short string, hosts int) CarryAnswer {
	if short == "" {
		short = "cores"
	}
	return CarryAnswer{
		ShortOf: short,
		Job:     d.Name,
		Why:     fmt.Sprintf("task %d of %d (counted from 0) fits on none of %d serving hosts: short of %s", task, d.Tasks, hosts, short),
	}
}
