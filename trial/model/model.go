// Package model plays a load on pools of hosts without a network. It measures what callers get and what
// the hosts cost while a policy sizes the pools.
package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/grade"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/share"
	"carawaymux.dev/fleet/sizing"
)

// Kind is a kind of jobs and its pool.
type Kind struct {
	// Pool is the name of the pool, and Hosts the number of hosts that it begins with.
	Pool  string
	Hosts int
	// Rate is the mean number of jobs per second, Worth what a job in time is worth.
	Rate, Worth float64
	// Steps is the number of steps of a job, one after the other. Each takes Cores for Duration.
	Steps    int
	Cores    float64
	Duration time.Duration
	// Spread is the standard deviation of the logarithm of the size of a job, or 0 for the usual one.
	Spread float64
}

// Shape is a load: the factor by which the rate of each kind differs from its mean.
type Shape struct {
	Name string
	// Factor returns the factor of a kind by its index, at a time since the start.
	Factor func(kind int, at time.Duration) float64
	// Length is how long work arrives.
	Length time.Duration
}

// Fleet is a fleet with its kinds of jobs.
type Fleet struct {
	Kinds []Kind
	// Standby is the number of hosts that are switched off at the start.
	Standby int
	// OrdersPerSecond is the number of moves that the machine service accepts per second.
	OrdersPerSecond int
	// Outage is a time in which machines fail.
	Outage Outage
	// NoSizeShare has pools that are overloaded serve the smallest jobs first, without a share for large ones.
	NoSizeShare bool
	// Tenants are the tenants of the jobs. Their parts add up to 1. If there are none, the jobs have no tenant. NoTenantShare
	// has pools that are overloaded not regard them.
	Tenants       []Tenant
	NoTenantShare bool
}

// Outage is a time in which every second machine is down. What ran there is lost. There is none if Length is 0.
type Outage struct{ From, Length time.Duration }

// Result is what callers got and what it cost.
type Result struct {
	Shape  string `json:"shape"`
	Policy string `json:"policy"`
	// Served is the worth of the jobs that ended in time, as a share of all. Late is the share of the
	// jobs that ended late or not at all.
	Served float64 `json:"served"`
	Late   float64 `json:"late"`
	// WorstKind is the share of the worth that the worst kind got.
	WorstKind float64 `json:"worst-kind"`
	// InTime is the share of the jobs that ended in time, Largest that of the largest tenth of each kind, and FifthBelow
	// that of the fifth below it.
	InTime     float64 `json:"in-time"`
	Largest    float64 `json:"largest-tenth"`
	FifthBelow float64 `json:"fifth-below"`
	// HostSeconds is the time that hosts were in service or on their way there, in multiples of the
	// time that the work itself takes.
	HostSeconds float64 `json:"host-seconds"`
	Moves       int     `json:"moves"`
	// Jobs holds the jobs in the order in which they arrived.
	Jobs []Outcome `json:"-"`
}

// Outcome is what became of a job.
type Outcome struct {
	Kind int
	// Tenant is the index of the tenant.
	Tenant int
	// Arrived and Ended are times since the start. Ended is 0 if the job has not ended.
	Arrived, Ended time.Duration
	InTime         bool
	Worth          float64
	// Size is the size among the jobs of its kind that arrived before.
	Size grade.Grade
}

// Sizer is what a run needs of a policy: the hosts that pools may need soon.
type Sizer interface {
	Expected(loads map[string]sizing.Load, now time.Time) map[string]sizing.Expected
}

const (
	tick = 50 * time.Millisecond
	// planInterval is the time between two plans of moves.
	planInterval = 250 * time.Millisecond
	// moveTime is the time from the decision on a move to the first start on the host.
	moveTime = 2100 * time.Millisecond
	// emptyTime is the time that a busy host takes to empty, which is less than a step takes: of many hosts, those that
	// are empty soonest are moved. releasableShare is the share of the busy hosts that take no longer.
	emptyTime       = 1500 * time.Millisecond
	releasableShare = 0.25
	// leadTime is the time before the load, in which pools are at rest.
	leadTime = 14 * time.Second
	// hostCores is the number of cores of a host, of which usable can be filled in practice.
	hostCores, usable = 16.0, 0.9
	// stretch and allowance make up the time in which a job should end: stretch times its own length,
	// and the allowance.
	stretch, allowance = 1.6, 600 * time.Millisecond
	// usualSpread is the spread of a kind that has none.
	usualSpread = 0.6
	standbyPool = "standby"
	// rounding is the amount of cores below which a rest counts as none.
	rounding = 1e-6
)

// job is an accepted job.
type job struct {
	kind, tenant int
	// excess reports whether the job is beyond what its tenant is owed.
	excess bool
	// finish reports whether the job was begun in time and had at most finishTime of the pool's capacity left then.
	finish    bool
	arrived   time.Duration
	objective time.Duration
	worth     float64
	// outcome is the index in Result.Jobs.
	outcome int
	// left is the number of steps that have not ended. cores is what one step takes, of which waiting
	// has not started and active is running.
	left                   int
	cores, waiting, active float64
	size                   grade.Grade
	// begun reports whether the job was begun in time, begunAt when, and lost whether it was late afterwards.
	begun, lost bool
	begunAt     time.Duration
}

// running is a part of a step that runs.
type running struct {
	ends  time.Duration
	cores float64
	job   *job
	// late reports whether the job was late when the part started.
	late bool
}

type pool struct {
	meter demand.Meter
	tally grade.Tally
	// accounts holds what the tenants have used, if they have shares.
	accounts []share.Account
	queue    []*job
	running  []running
	used     float64
}

type run struct {
	fleet    Fleet
	shape    Shape
	seed     uint64
	pools    []*pool
	machines map[string]port.Machine
	arriving map[string]time.Duration
	inTime   []float64
	owed     []float64
	sizes    []grade.Sizes
	// late counts the jobs that ended late, unfinished those that have not ended.
	late, unfinished, jobs int
	hostTime               float64
	work                   float64
	moves                  int
	outcomes               []Outcome
}

var epoch = time.Unix(1_700_000_000, 0)

// Play plays a shape on a fleet with a sizing policy.
func Play[P sizing.Policy, S Sizer](f Fleet, s Shape, policy P, sizer S, seed uint64) Result {
	r := &run{
		fleet: f, shape: s, seed: seed, machines: map[string]port.Machine{},
		arriving: map[string]time.Duration{}, inTime: make([]float64, len(f.Kinds)), owed: make([]float64, len(f.Kinds)),
		sizes: make([]grade.Sizes, len(f.Kinds)),
	}
	add := func(name string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%04d", name, i)
			r.machines[id] = port.Machine{ID: id, Pool: name, State: port.MachineUp, Host: "h-" + id}
		}
	}
	for _, k := range f.Kinds {
		add(k.Pool, k.Hosts)
		r.pools = append(r.pools, &pool{accounts: newAccounts(&f)})
	}
	add(standbyPool, f.Standby)
	state := sizing.NewState()
	budget := f.OrdersPerSecond / int(time.Second/planInterval)
	for at := -leadTime; at < s.Length+5*time.Second; at += tick {
		r.land(at)
		r.failMachines(at)
		r.submit(at)
		for i := range r.pools {
			r.end(i, at)
			r.start(i, at)
		}
		if at >= 0 && at < s.Length {
			r.countHosts()
		}
		if at%planInterval == 0 {
			loads := r.loads(at)
			in := &sizing.Input{
				Loads: loads, Machines: r.machines, Standby: map[string]bool{standbyPool: true}, Budget: budget,
				Expected: sizer.Expected(loads, epoch.Add(at)),
			}
			for _, m := range sizing.Plan(state, policy, in, epoch.Add(at)) {
				machine := r.machines[m.Machine]
				due := at + moveTime
				if slices.Contains(loads[m.From].ReleasableHosts, m.Host) {
					due += emptyTime
				}
				machine.Pool, machine.State, machine.Host = m.To, port.MachineMoving, ""
				r.machines[m.Machine], r.arriving[m.Machine] = machine, due
				r.moves++
			}
		}
	}
	return r.result()
}

func (r *run) result() Result {
	out := Result{Shape: r.shape.Name, Jobs: r.outcomes, HostSeconds: r.hostTime / r.work, Moves: r.moves, WorstKind: 1}
	var inTime, owed float64
	for i := range r.owed {
		inTime, owed = inTime+r.inTime[i], owed+r.owed[i]
		if r.owed[i] > 0 {
			out.WorstKind = min(out.WorstKind, r.inTime[i]/r.owed[i])
		}
	}
	out.Served = inTime / owed
	out.InTime, out.Largest, out.FifthBelow = shareInTime(r.outcomes)
	out.Late = float64(r.late+r.unfinished) / float64(max(r.jobs, 1))
	return out
}

// shareInTime returns the share of the jobs that ended in time: of all, of the largest tenth, and of the fifth below it.
func shareInTime(jobs []Outcome) (all, largest, fifthBelow float64) {
	var inTime, count [grade.Grades + 1]float64
	for _, j := range jobs {
		for _, i := range [...]grade.Grade{j.Size, grade.Grades} {
			count[i]++
			if j.InTime {
				inTime[i]++
			}
		}
	}
	share := func(i grade.Grade) float64 { return inTime[i] / max(count[i], 1) }
	return share(grade.Grades), share(grade.Largest), share(grade.Upper)
}

// land puts moved machines into service.
func (r *run) land(at time.Duration) {
	for id, due := range r.arriving {
		if at >= due {
			m := r.machines[id]
			m.State, m.Host = port.MachineUp, "h-"+id
			r.machines[id] = m
			delete(r.arriving, id)
		}
	}
}

// failMachines has machines fail as an outage begins, and come back as it ends.
func (r *run) failMachines(at time.Duration) {
	o := r.fleet.Outage
	if o.Length == 0 || (at != o.From && at != o.From+o.Length) {
		return
	}
	if at == o.From {
		for i, k := range r.fleet.Kinds {
			r.loseWork(r.pools[i], float64(r.hosts(k.Pool)/2)/float64(max(r.hosts(k.Pool), 1)))
		}
	}
	up := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(r.machines)) {
		m := r.machines[id]
		switch {
		case at == o.From && m.State == port.MachineUp:
			if up[m.Pool]++; up[m.Pool]%2 == 0 {
				m.State, m.Host = port.MachineDown, ""
			}
		case at == o.From+o.Length && m.State == port.MachineDown:
			m.State, m.Host = port.MachineUp, "h-"+id
		}
		r.machines[id] = m
	}
}

// loseWork loses a share of what runs in a pool, which has to run again.
func (r *run) loseWork(p *pool, share float64) {
	lost := p.used * share
	p.running = slices.DeleteFunc(p.running, func(w running) bool {
		if lost <= 0 {
			return false
		}
		lost -= w.cores
		p.used -= w.cores
		w.job.active -= w.cores
		if w.job.waiting <= rounding {
			p.queue = append(p.queue, w.job)
		}
		w.job.waiting += w.cores
		return true
	})
}

// submit adds the jobs that arrive in a tick.
func (r *run) submit(at time.Duration) {
	if at < 0 || at >= r.shape.Length {
		return
	}
	for i := range r.fleet.Kinds {
		if len(r.fleet.Tenants) == 0 {
			r.submitFor(i, 0, 1, 1, at)
		}
		for tenant := range r.fleet.Tenants {
			r.submitFor(i, tenant, r.fleet.Tenants[tenant].rate(at), r.fleet.Tenants[tenant].size(), at)
		}
	}
}

// submitFor adds the jobs of a kind that a tenant sends in a tick, which are a part of all and larger by a factor.
func (r *run) submitFor(i, tenant int, part, factor float64, at time.Duration) {
	k := &r.fleet.Kinds[i]
	expected := k.Rate * r.shape.Factor(i, at) * part * tick.Seconds()
	random := r.draws(i, tenant, at)
	for range poisson(random, expected) {
		spread := cmp.Or(k.Spread, usualSpread)
		size := factor * math.Exp(random.NormFloat64()*spread-spread*spread/2)
		length := time.Duration(k.Steps) * k.Duration
		j := &job{kind: i, tenant: tenant, arrived: at, objective: at + time.Duration(stretch*float64(length)) + allowance, left: k.Steps, cores: k.Cores * size}
		j.waiting, j.worth = j.cores, k.Worth*(0.3+0.7*size)
		j.outcome, j.size = len(r.outcomes), r.sizes[i].Add(int64(j.cores*length.Seconds()*1000))
		r.pools[i].tally.Arrive(j.size, epoch.Add(at))
		r.outcomes = append(r.outcomes, Outcome{Kind: i, Tenant: tenant, Arrived: at, Worth: j.worth, Size: j.size})
		r.pools[i].queue = append(r.pools[i].queue, j)
		if accounts := r.pools[i].accounts; accounts != nil {
			j.excess = !accounts[tenant].Arrive(epoch.Add(at))
		}
		work := j.cores * length.Seconds()
		r.pools[i].meter.Add(int64(work*1000), epoch.Add(at))
		r.owed[i] += j.worth
		r.work += work / hostCores
		r.jobs++
		r.unfinished++
	}
}

// draws returns the random numbers of the jobs of a kind and a tenant in a tick. They depend on nothing else, so two shapes have the
// same jobs wherever their factors are the same, and what they serve can be compared.
func (r *run) draws(kind, tenant int, at time.Duration) *rand.Rand {
	return rand.New(rand.NewPCG(r.seed, uint64(tenant)<<48|uint64(kind+1)<<32|uint64(at/tick)))
}

func poisson(random *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for product := random.Float64(); product > limit; product *= random.Float64() {
		n++
	}
	return n
}

// end ends the work that is due, and makes the next steps ready.
func (r *run) end(i int, at time.Duration) {
	p := r.pools[i]
	var ended []*job
	p.running = slices.DeleteFunc(p.running, func(w running) bool {
		if w.ends > at {
			return false
		}
		p.used -= w.cores
		w.job.active -= w.cores
		if w.job.waiting <= rounding && w.job.active <= rounding {
			ended = append(ended, w.job)
		}
		return true
	})
	for _, j := range ended {
		j.left--
		j.active = 0
		if j.left > 0 {
			j.waiting = j.cores
			p.queue = append(p.queue, j)
			continue
		}
		r.unfinished--
		outcome := &r.outcomes[j.outcome]
		outcome.Ended, outcome.InTime = at, at <= j.objective
		if !outcome.InTime {
			r.lose(p, j, at)
			r.late++
			continue
		}
		r.inTime[i] += j.worth
	}
}

func (r *run) isLate(j *job, at time.Duration) bool {
	return at+time.Duration(j.left)*r.fleet.Kinds[j.kind].Duration > j.objective
}

// hosts returns the number of hosts in service in a pool.
func (r *run) hosts(name string) int {
	n := 0
	for _, m := range r.machines {
		if m.Pool == name && m.State == port.MachineUp {
			n++
		}
	}
	return n
}

func (r *run) countHosts() {
	for _, m := range r.machines {
		if m.Pool != standbyPool {
			r.hostTime += tick.Seconds()
		}
	}
}

// loads returns what the owners of the pools report.
func (r *run) loads(at time.Duration) map[string]sizing.Load {
	out := map[string]sizing.Load{}
	for i, k := range r.fleet.Kinds {
		p := r.pools[i]
		l := sizing.Load{HostCapacity: hostCores * 1000, ArrivalRate: p.meter.Rate(epoch.Add(at)), Running: int64(p.used * 1000)}
		for _, j := range p.queue {
			work := int64(j.waiting * k.Duration.Seconds() * 1000)
			l.Backlog += work
			if r.isLate(j, at) {
				l.Late += work
			}
		}
		for _, w := range p.running {
			if w.late {
				l.RunningLate += int64(w.cores * 1000)
			}
		}
		var hosts []string
		for _, m := range r.machines {
			if m.Pool == k.Pool && m.State == port.MachineUp {
				hosts = append(hosts, m.Host)
			}
		}
		slices.Sort(hosts)
		l.Hosts, l.Arrivals = len(hosts), p.meter.Count()
		busy := min(int(math.Ceil(p.used/(hostCores*usable))), len(hosts))
		l.IdleHosts = hosts[busy:]
		l.ReleasableHosts = hosts[:int(math.Ceil(releasableShare*float64(busy)))]
		out[k.Pool] = l
	}
	return out
}
