package shard

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// byStep completes a ranking to a total order. Rankings leave the order of the steps of one job
// open, so that it would depend on the sort.
type byStep[R Ranking] struct{ ranking R }

func (b byStep[R]) Compare(x, y *Demand) int {
	return cmp.Or(b.ranking.Compare(x, y), cmp.Compare(x.Job.ID, y.Job.ID),
		cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step))
}

// SortKey implements [Ranking].
func (b byStep[R]) SortKey(late bool) SortKey { return b.ranking.SortKey(late) }

func (b byStep[R]) tenantOrdering() tenantOrdering { return orderingOf(b.ranking) }

// poolDriver drives the state of a pool with random events.
type poolDriver struct {
	t     *rapid.T
	state *State
	now   time.Time
	hosts map[string]*drivenHost
	ids   []string
	jobs  int
	// stops holds the stops whose outcome the state has not been told.
	stops     []Order
	questions []Question
	changes   []Change
	specs     map[string]batch.Spec
	progress  map[string]Progress
	starts    int
	// tenants reports whether configurations have tenants, but for some.
	tenants bool
}

// drivenHost is a host that does what it is told to.
type drivenHost struct {
	clock, born, ends int64
	// startedAt holds the time of the start of each run.
	startedAt map[batch.Ref]time.Time
	running   map[batch.Ref]int64
	finished  []port.FinishedRun
	// silentUntil is until when the host does not answer.
	silentUntil time.Time
}

var errUnanswered = errors.New("no answer")

// draw returns a number from 0 to n-1.
func (p *poolDriver) draw(n int) int { return rapid.IntRange(0, n-1).Draw(p.t, "n") }

// chance is true in one of n cases.
func (p *poolDriver) chance(n int) bool { return p.draw(n) == n-1 }

var driverTiming = Timing{
	Lease: 5 * time.Second, Grace: 6 * time.Second, Retention: 10 * time.Second, RemoteFactor: 2,
	AbsenceLimit: 4 * time.Second, StopTimeout: time.Second, DisruptionLimit: 4 * time.Second,
	MaxReservedShare: 0.3,
}

// drivenTenants is the largest number of tenants in a configuration. Jobs have some more.
const drivenTenants = 4

func newPoolDriver(t *rapid.T) *poolDriver { return drivePool(t, false) }

func drivePool(t *rapid.T, tenants bool) *poolDriver {
	p := &poolDriver{
		t: t, tenants: tenants, now: time.Unix(1_700_000_000, 0), hosts: map[string]*drivenHost{}, specs: map[string]batch.Spec{}, progress: map[string]Progress{},
	}
	for i := range 3 + p.draw(6) {
		id := fmt.Sprintf("h%d", i)
		p.ids = append(p.ids, id)
		p.hosts[id] = &drivenHost{clock: 1000, startedAt: map[batch.Ref]time.Time{}, running: map[batch.Ref]int64{}}
	}
	p.takeOver()
	return p
}

// takeOver replaces the state by that of a new owner.
func (p *poolDriver) takeOver() {
	epoch := int64(1)
	if p.state != nil {
		epoch = p.state.Epoch + 1
	}
	old := p.state
	p.state = New("pool", epoch, driverTiming, p.now)
	p.state.HasPolicyService = true
	p.configure()
	p.seedSizes()
	p.stops, p.questions, p.changes = nil, nil, nil
	if old != nil {
		for id, spec := range p.specs {
			var stored *Progress
			if v, ok := p.progress[id]; ok {
				stored = &v
			}
			p.state.Restore(id, spec, stored, p.now)
		}
	}
	for i, id := range p.ids {
		if old != nil && old.Hosts[id] != nil && old.Hosts[id].Stored {
			p.state.RestoreHost(p.listEntry(i))
		}
		p.state.UpdateHost(p.listEntry(i), p.now).Stored = true
	}
}

func (p *poolDriver) configure() {
	var tenants []port.Tenant
	if p.tenants && !p.chance(5) {
		for i := range drivenTenants - p.draw(2) {
			tenants = append(tenants, port.Tenant{Name: fmt.Sprint("t", i), Weight: float64(p.draw(4)) / 2})
		}
	}
	p.state.Configure(&port.Config{
		Tenants: tenants,
		Queues: []port.Queue{
			{Name: "fast", Pool: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second, Priority: p.draw(2)},
			{Name: "slow", Pool: "pool", MaxAttempts: 3, Stretch: 4, Target: 10 * time.Second, Priority: p.draw(2)},
			{Name: "advised", Pool: "pool", Stretch: 2, Target: 5 * time.Second, Advice: &port.Advice{}},
		},
		Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
}

// seedSizes has the queues know sizes of jobs, so that some of the few jobs of a schedule are large.
func (p *poolDriver) seedSizes() {
	const sizes, unit = 20, 200_000
	for _, queue := range []string{"fast", "slow", "advised"} {
		for i := range int64(sizes) {
			p.state.sizesOf(queue).sizes.Add(i * unit)
		}
	}
}

func (p *poolDriver) listEntry(i int) port.Host {
	h := port.Host{
		ID: p.ids[i], Pool: "pool", Zone: "z", Rack: fmt.Sprintf("r%d", i%3),
		Capacity: batch.Size{MilliCores: 2000 + 500*int64(i%4), MemoryMB: 1000 + 700*int64(i%3)},
	}
	if i%2 == 0 {
		h.Labels = []string{"even"}
		h.Capacity.Accelerators = 1
	}
	return h
}

func (p *poolDriver) step() batch.Step {
	s := batch.Step{
		Count: 1 + p.draw(4), Estimate: time.Duration(200+300*p.draw(6)) * time.Millisecond,
		Need: batch.Size{MilliCores: 250 * int64(p.draw(8)), MemoryMB: 100 * int64(p.draw(7))},
	}
	switch p.draw(12) {
	case 0:
		s.Gang, s.SameRack = true, p.chance(2)
	case 1:
		s.LongRunning, s.PerHost, s.MaxUnavailable = true, p.draw(2), 1
	case 2:
		s.BestEffort, s.LongRunning = true, p.chance(2)
	case 3:
		s.RequiredLabel = []string{"even", "unknown"}[p.draw(2)]
	case 4:
		s.PerHost = 1 + p.draw(2)
	case 5:
		s.DataRack = "r1"
	case 6:
		s.Need.Accelerators = 1
	case 7:
		s.Checkpoints = true
	case 8:
		s.Need.MilliCores = 5000
	}
	return s
}

func (p *poolDriver) submit() {
	p.jobs++
	id := fmt.Sprintf("%04d", p.jobs)
	spec := batch.Spec{Queue: []string{"fast", "fast", "slow", "slow", "advised"}[p.draw(5)], AcceptedMS: p.now.UnixMilli()}
	if p.tenants {
		spec.Tenant = []string{"", "t0", "t0", "t1", "t2", "t3", "t4"}[p.draw(7)]
	}
	for i := range 1 + p.draw(4)*p.draw(2) {
		s := p.step()
		for before := range i {
			if p.chance(3) {
				s.After = append(s.After, before)
			}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if p.chance(8) {
		spec.Repetitions, spec.Interval = 1+p.draw(4), time.Duration(p.draw(3))*time.Second
		spec.FirstDueMS = p.now.UnixMilli() + int64(p.draw(2000))
	}
	require.NoError(p.t, spec.Check())
	j, _ := p.state.Submit(id, spec, p.now)
	switch p.draw(12) {
	case 0:
		p.state.DropRejected(id)
	case 1:
		// The job is not stored yet.
	default:
		p.state.MarkStored(j)
		p.specs[id] = spec
	}
}

func (p *poolDriver) cancel() {
	if p.jobs > 0 {
		p.state.Cancel(fmt.Sprintf("%04d", 1+p.draw(p.jobs)), p.now)
	}
}

// carryOut carries out the orders that the state has given since the last call.
func (p *poolDriver) carryOut() {
	for _, o := range p.state.TakeOrders() {
		h := p.hosts[o.Host]
		switch o.Kind {
		case OrderStart:
			p.starts++
			switch p.draw(20) {
			case 0:
				p.state.HandleStartResult(&o, 0, &port.RefusedError{Reason: port.RefusedCapacity}, p.now)
			case 1:
				p.state.HandleStartResult(&o, 0, &port.RefusedError{Reason: port.RefusedTicket}, p.now)
			case 2:
				p.state.HandleStartResult(&o, 0, errUnanswered, p.now)
			case 3:
				h.running[o.Ref], h.startedAt[o.Ref] = o.Run, p.now
				p.state.HandleStartResult(&o, 0, errUnanswered, p.now)
			default:
				h.running[o.Ref], h.startedAt[o.Ref] = o.Run, p.now
				p.state.HandleStartResult(&o, h.clock, nil, p.now)
			}
		case OrderStop:
			p.stops = append(p.stops, o)
		case OrderThrottle:
			p.state.HandleThrottleResult(&o, nil)
		}
	}
	rest := p.stops
	p.stops = nil
	for _, o := range rest {
		h := p.hosts[o.Host]
		switch p.draw(6) {
		case 0:
			p.state.HandleStopResult(&o, 0, errUnanswered, p.now)
		case 1:
			p.stops = append(p.stops, o)
		default:
			if h.running[o.Ref] == o.Run {
				h.end(o.Ref, port.ResultStopped)
			}
			p.state.HandleStopResult(&o, h.clock, nil, p.now)
		}
	}
}

func (h *drivenHost) end(ref batch.Ref, result port.Result) {
	h.ends++
	h.finished = append(h.finished, port.FinishedRun{Number: h.ends, Unit: ref.String(), Run: h.running[ref], Result: result})
	delete(h.running, ref)
}

// report makes some runs of a host end and reports the host.
func (p *poolDriver) report(id string) {
	h := p.hosts[id]
	if p.state.Hosts[id] == nil || p.now.Before(h.silentUntil) {
		return
	}
	report := port.HostReport{Clock: h.clock, Born: h.born}
	for _, ref := range sortedRefs(h.running) {
		switch p.draw(12) {
		case 0, 1:
			h.end(ref, port.ResultDone)
			continue
		case 2:
			h.end(ref, port.ResultFailed)
			continue
		}
		// The first host is slow.
		rate := 40.0
		if id == p.ids[0] {
			rate = 5
		}
		percent := min(p.now.Sub(h.startedAt[ref]).Seconds()*rate, 100)
		report.Running = append(report.Running, port.ActiveRun{Unit: ref.String(), Run: h.running[ref], ProgressPercent: percent})
	}
	listed := len(h.finished)
	if limit := 1 + p.draw(8); limit <= listed {
		listed, report.Truncated = limit, true
	}
	report.Finished = slices.Clone(h.finished[:listed])
	p.state.HandleReport(id, &report, p.now)
	h.finished = h.finished[listed:]
}

func sortedRefs(m map[batch.Ref]int64) []batch.Ref {
	return slices.SortedFunc(maps.Keys(m), func(a, b batch.Ref) int { return strings.Compare(a.String(), b.String()) })
}

// disturb causes one of the rarer events.
func (p *poolDriver) disturb() {
	i := p.draw(len(p.ids))
	id := p.ids[i]
	h := p.hosts[id]
	switch p.draw(11) {
	case 0:
		h.running, h.finished, h.ends = map[batch.Ref]int64{}, nil, 0
		h.born++
		h.clock = 10
	case 1:
		h.running = map[batch.Ref]int64{}
		p.state.HostEnded(id, p.now)
	case 2:
		p.state.UnlistHost(id)
	case 3:
		if p.state.Hosts[id] != nil {
			p.state.Vacate(p.state.Hosts[id], p.now, time.Second)
		}
	case 4:
		p.configure()
	case 5:
		if p.chance(3) {
			p.takeOver()
		}
	case 6:
		entry := p.listEntry(i)
		entry.Draining = p.chance(2)
		p.state.UpdateHost(entry, p.now).Stored = true
	case 7:
		// No host answers for a while.
		p.advance(time.Duration(p.draw(9000)) * time.Millisecond)
	case 9:
		// Some hosts have failed their work for a while, and no host has done any since.
		for _, host := range p.state.Hosts {
			host.lastSuccess = time.Time{}
		}
		for _, id := range p.ids {
			if host := p.state.Hosts[id]; host != nil && p.chance(2) {
				host.failingSince, host.failingUntil = p.now.Add(-time.Duration(p.draw(3000))*time.Millisecond), p.now.Add(10*time.Second)
				host.UnhealthyUntil = host.failingUntil
			}
		}
	case 8:
		h.silentUntil = p.now.Add(time.Duration(p.draw(5000)) * time.Millisecond)
		if p.chance(2) {
			p.state.UnlistHost(id)
		}
	default:
		for i := range p.ids {
			if p.chance(2) {
				p.state.UpdateHost(p.listEntry(i), p.now).Stored = true
			}
		}
	}
	p.state.ExpireLeases(p.now)
	expired := referenceExpired(p.state, p.now)
	dropped := p.state.DropExpired(p.now)
	require.ElementsMatch(p.t, expired, dropped)
	for _, id := range dropped {
		delete(p.specs, id)
		delete(p.progress, id)
	}
}

func (p *poolDriver) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for _, h := range p.hosts {
		h.clock += d.Milliseconds()
	}
}

// store writes the changes, or makes the store refuse them.
func (p *poolDriver) store() {
	p.requireEqual("flush", referenceNeedsFlush(p.state), p.state.NeedsFlush())
	p.requireEqual("confirmation", referenceNeedsConfirmation(p.state), p.state.NeedsConfirmation())
	switch p.draw(4) {
	case 0:
		return
	case 1:
		p.state.Requeue(p.state.TakeChanges())
		return
	}
	for _, c := range p.state.TakeChanges() {
		p.progress[c.Job.ID] = c.Progress
		p.state.MarkWritten(c)
	}
	p.state.ConfirmedAt = p.now
	for _, h := range p.state.Hosts {
		h.StoredEnd = h.CountedEnd
	}
}

func (p *poolDriver) requireEqual(what string, expected, actual any) {
	p.t.Helper()
	require.Equal(p.t, expected, actual, what)
}

// round plans, asks the policy service, and compares the decisions with those of the reference.
func round[R Ranking](p *poolDriver, ranking R, compare compareDemands) {
	s := p.state
	p.carryOut()
	p.checkCounters()
	retried := referenceRetryStops(s, p.now)
	s.TakeOrders()
	s.RetryStops(p.now)
	// Stops are retried in the order of a map.
	actual := s.TakeOrders()
	for _, o := range [][]Order{retried, actual} {
		slices.SortFunc(o, func(a, b Order) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	}
	p.requireEqual("retried stops", retried, actual)
	p.stops = append(p.stops, actual...)

	s.countVanished(p.now)
	p.stops = append(p.stops, s.TakeOrders()...)
	expected := cloneState(s)
	referencePlan(expected, compare, p.now, p.now.UnixMilli())
	Plan(s, byStep[R]{ranking}, p.now, p.now.UnixMilli())
	p.requireEqual("orders", expected.orders, s.orders)
	p.requireEqual("overloaded", expected.Overloaded, s.Overloaded)
	for id, h := range s.Hosts {
		p.requireEqual("until when "+id+" is unhealthy", expected.Hosts[id].UnhealthyUntil, h.UnhealthyUntil)
	}
	p.checkCounters()
	for id, j := range s.Jobs {
		require.Len(p.t, j.Occurrences, len(expected.Jobs[id].Occurrences), id)
	}

	wanted, ok := referenceNextQuestion(cloneState(s), compare, p.now)
	q, asked := NextQuestion(s, byStep[R]{ranking}, p.now)
	p.requireEqual("has question", ok, asked)
	p.requireEqual("question", wanted, q)
	if asked {
		p.questions = append(p.questions, q)
	}
}

// checkCounters compares what is kept incrementally with what it stands for.
func (p *poolDriver) checkCounters() {
	s := p.state
	for id, h := range s.Hosts {
		used, longRunning := referenceUsed(s, h)
		p.requireEqual("used capacity of "+id, used, h.used)
		p.requireEqual("long-running tasks on "+id, longRunning, h.longRunning)
		p.requireEqual("capacity that long-running tasks take of "+id, referenceLongRunning(s, h), h.longRunningUsed)
	}
	p.requireEqual("has a prior host", len(referencePriorHosts(s, "", false, p.now)) > 0, !s.priorHosts(p.now).empty())
	require.Len(p.t, s.sortedHosts(), len(s.Hosts))
	require.True(p.t, slices.IsSortedFunc(s.sortedHosts(), func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) }))
	unopened, waiting := 0, 0
	for id, j := range s.openJobs {
		if len(j.Occurrences) < j.Spec.Occurrences() {
			unopened++
			require.Same(p.t, j, s.backlog.unopened[id])
		}
		for oi := range j.Occurrences {
			for si := range j.Occurrences[oi].Stages {
				stage := &j.Occurrences[oi].Stages[si]
				idle := 0
				if stage.Tasks == nil {
					idle = stage.count
				}
				for i := range stage.Tasks {
					if stage.Tasks[i].Status == Idle && !stage.Tasks[i].closed() {
						idle++
					}
				}
				p.requireEqual("idle tasks of "+id, idle, stage.idle)
				if !j.Stored || stage.idle <= 0 || !j.Occurrences[oi].ready(&j.Spec, si) {
					continue
				}
				waiting++
				require.NotNil(p.t, stage.waiting, id)
				require.Same(p.t, stage.waiting, s.backlog.steps[stage.waiting.position], id)
				require.Same(p.t, stage, stage.waiting.stage, id)
			}
		}
	}
	require.Len(p.t, s.backlog.unopened, unopened)
	require.Len(p.t, s.backlog.steps, waiting)
	p.checkGroups()
	expected, actual := referenceLoad(s, p.now), s.Load(p.now)
	// Hosts with the same number of tasks are in the order of a map.
	slices.Sort(expected.MovableHosts)
	slices.Sort(actual.MovableHosts)
	// Of several needs with the same cores, any is given.
	expected.Oversized.MemoryMB, expected.Oversized.Accelerators = actual.Oversized.MemoryMB, actual.Oversized.Accelerators
	p.requireEqual("load", expected, actual)
	for _, queue := range []string{"fast", "slow", "advised", "unknown"} {
		p.requireEqual("pending jobs of "+queue, referencePending(s, queue), s.Pending(queue))
	}
	w := s.Waiting(p.now)
	tasks, longRunning := referenceWaitingTasks(s)
	p.requireEqual("waiting tasks", []int{tasks, longRunning}, []int{w.Tasks, w.LongRunning})
}

// checkGroups checks that each waiting step is once in each tree of one group, in its order, or is to be placed.
func (p *poolDriver) checkGroups() {
	b := &p.state.backlog
	grouped := map[*waitingStep]*group{}
	for key, g := range b.groups {
		require.Equal(p.t, key, g.groupKey)
		for sortKey, t := range g.trees {
			if t == nil || t.root == nil {
				require.True(p.t, t == nil || g.size == 0)
				continue
			}
			require.Equal(p.t, SortKey(sortKey), t.key)
			steps := p.checkNode(t, t.root, nil)
			require.Len(p.t, steps, g.size)
			for _, w := range steps {
				require.Same(p.t, g, w.group)
				grouped[w] = g
			}
		}
	}
	for _, w := range b.steps {
		if grouped[w] == nil {
			require.Nil(p.t, w.group)
			require.True(p.t, w.touched)
			continue
		}
		require.Same(p.t, w, w.stage.waiting)
		delete(grouped, w)
	}
	require.Empty(p.t, grouped, "no step is kept that does not wait")
	p.checkClasses()
	for _, w := range b.touched {
		require.True(p.t, w.touched)
	}
	for i, o := range b.due {
		require.Equal(p.t, i, o.position)
		require.Same(p.t, o, o.job.opening)
		require.Same(p.t, o.job, b.unopened[o.job.ID], "no job is kept until an occurrence that is not to be opened")
	}
}

// checkClasses checks that classes hold the steps of their groups, and find the first tenant.
func (p *poolDriver) checkClasses() {
	b := &p.state.backlog
	sizes := map[*group]int{}
	firsts := map[*group]*waitingStep{}
	for _, g := range b.groups {
		require.Equal(p.t, b.weights != nil, g.class != nil)
		if g.class == nil || g.size == 0 {
			continue
		}
		sizes[g.class] += g.size
		for w := range g.all() {
			if firsts[g.class] == nil || g.class.order.goesBefore(w, firsts[g.class]) {
				firsts[g.class] = w
			}
		}
	}
	for key, class := range b.classes {
		require.Nil(p.t, key.tenant)
		require.Equal(p.t, sizes[class], class.size)
		delete(sizes, class)
		if class.size == 0 {
			continue
		}
		require.Same(p.t, firsts[class], class.order.nodes[1].first)
		for _, t := range class.trees {
			if t != nil {
				require.Len(p.t, p.checkNode(t, t.root, nil), class.size)
			}
		}
	}
	require.Empty(p.t, sizes)
}

// checkNode checks what a node says of the steps below it, and returns them.
func (p *poolDriver) checkNode(t *needTree, n, parent *needNode) []*waitingStep {
	require.Same(p.t, parent, n.parent)
	steps := n.steps
	if !n.isLeaf() {
		require.Empty(p.t, n.steps)
		for side, child := range n.children {
			for _, w := range p.checkNode(t, child, n) {
				require.Equal(p.t, side, childOf(w.need, n.bit))
				steps = append(steps, w)
			}
		}
	}
	for i, w := range n.steps {
		require.Equal(p.t, slot{n, i}, w.slots[t.level][t.key])
	}
	require.NotEmpty(p.t, steps)
	for _, w := range steps {
		require.LessOrEqual(p.t, t.key.compare(n.first, w), 0)
		require.True(p.t, n.high.Fits(w.need) && w.need.Fits(n.low))
	}
	require.True(p.t, slices.Contains(steps, n.first))
	return steps
}

func (p *poolDriver) answerQuestions() {
	for _, q := range p.questions {
		a := port.Approval{Tickets: map[string]string{}, Validity: 2 * time.Second}
		for _, id := range q.Hosts {
			if p.chance(2) {
				a.Tickets[id] = "ticket-" + id
			}
		}
		p.state.HandleAdvice(q, a, nil, p.now)
	}
	p.questions = nil
}

func (p *poolDriver) event() {
	switch p.draw(16) {
	case 0, 1, 2:
		p.submit()
	case 3:
		p.cancel()
	case 4, 5, 6:
		p.report(p.ids[p.draw(len(p.ids))])
	case 7, 8, 9, 10, 11:
		for _, id := range p.ids {
			p.report(id)
		}
		p.store()
	case 12:
		p.answerQuestions()
	case 13:
		p.disturb()
	default:
		p.advance(time.Duration(p.draw(500)) * time.Millisecond)
	}
}

// setRapid fixes the seed and the number of schedules that a test draws.
func setRapid(t *testing.T, checks string) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		require.NoError(t, flag.Set(name, value))
	}
}

func TestSpeedIsComparedLikeWithTheMedian(t *testing.T) {
	setRapid(t, "1000")
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		s := New("pool", 1, driverTiming, now)
		for i, speed := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 9).Draw(t, "speeds") {
			h := s.UpdateHost(port.Host{ID: fmt.Sprint(i)}, now)
			h.Speed, h.SpeedMeasuredAt = float64(speed)*slowThreshold, now
			if rapid.IntRange(0, 4).Draw(t, "age") == 0 {
				h.SpeedMeasuredAt = now.Add(-speedMaxAge)
			}
		}
		poolSpeed := referenceMedianSpeed(s, now)
		require.InDelta(t, poolSpeed, s.medianSpeed(now), 0)
		for _, h := range s.Hosts {
			known, keepsUp := s.compareSpeed(h, now)
			require.Equal(t, poolSpeed > 0, known)
			if known {
				require.Equal(t, h.Speed >= slowThreshold*poolSpeed, keepsUp)
			}
		}
	})
}

func TestPlanDecidesLikeTheReference(t *testing.T) {
	setRapid(t, "25")
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPoolDriver(t)
		for range 120 {
			for range 1 + p.draw(3) {
				p.event()
			}
			compare := referenceBySlack
			if p.state.Overloaded {
				compare = referenceByRemainingWork
			}
			byLoad := ByLoad{Overloaded: p.state.Overloaded}
			switch p.draw(5) {
			case 0:
				round(p, ByAge{}, referenceByAge)
			case 1:
				round(p, ByRemainingWork{}, referenceByRemainingWork)
			case 2:
				round(p, BySlack{}, referenceBySlack)
			case 3:
				spare := p.chance(2)
				round(p, StarvedFirst[ByLoad]{byLoad, spare}, referenceStarvedFirst(compare, spare))
			default:
				round(p, byLoad, compare)
			}
		}
		starts += p.starts
	})
	require.Greater(t, starts, 1000)
	t.Log("starts", starts)
}

// The counts by size change within a round.
func TestPlanWithSizeShareDecidesLikeTheReference(t *testing.T) {
	setRapid(t, "40")
	starts, turns := 0, map[turn]int{}
	rapid.Check(t, func(t *rapid.T) {
		p := newPoolDriver(t)
		for range 120 {
			for range 1 + p.draw(3) {
				p.event()
			}
			byLoad, compare := ByLoad{}, referenceBySlack
			if p.chance(2) {
				byLoad.Overloaded, compare = true, referenceByRemainingWork
			}
			for _, d := range referenceDemands(p.state, p.now) {
				demand := Demand{Job: d.Job, Begun: d.Begun, Tally: d.Tally}
				turns[demand.turn()]++
			}
			round(p, SizeShare[ByLoad]{byLoad, true}, referenceSizeShare(compare, true))
		}
		starts += p.starts
	})
	t.Log("starts", starts, "turns", turns)
	for _, some := range []turn{begunLarge, behind, otherTurn} {
		require.Greater(t, turns[some], 1000)
	}
}

// Uses change within a round, and classes have to find the first tenant that has a step on which the round has an effect.
func TestPlanWithTenantShareDecidesLikeTheReference(t *testing.T) {
	setRapid(t, "60")
	starts, held, excess := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drivePool(t, true)
		for range 120 {
			for range 1 + p.draw(3) {
				p.event()
			}
			overloaded, active := p.state.Overloaded, p.state.HasTenants() && p.chance(2)
			compare := referenceBySlack
			if overloaded {
				compare = referenceByRemainingWork
			}
			compare = referenceTenantShare(referenceSizeShare(compare, overloaded), active)
			sizes := SizeShare[ByLoad]{ByLoad{overloaded}, overloaded}
			if p.chance(3) {
				round(p, TenantShare[SizeShare[ByLoad], RecentUse]{Ranking: sizes, Active: active}, compare)
			} else {
				spare := p.chance(2)
				round(p, StarvedFirst[TenantShare[SizeShare[ByLoad], RecentUse]]{
					TenantShare[SizeShare[ByLoad], RecentUse]{Ranking: sizes, Active: active}, spare,
				}, referenceStarvedFirst(compare, spare))
			}
			held += count(p.state.heldHosts > 0 && p.state.reservations > 0)
			for _, j := range p.state.openJobs {
				excess += count(j.excess)
			}
		}
		starts += p.starts
	})
	t.Log("starts", starts, "rounds with reserved hosts in an overload", held, "jobs in excess", excess)
	require.Greater(t, starts, 1000)
	require.Greater(t, held, 100)
	require.Greater(t, excess, 100)
}
