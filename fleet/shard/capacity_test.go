package shard_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// newUnguardedOwner returns the owner of a pool whose hosts accept tasks beyond their capacity.
func newUnguardedOwner(t *testing.T, hosts ...string) *owner {
	t.Helper()
	o := newOwner(t, 1, hosts...)
	o.Configure(&port.Config{Pools: []port.Pool{{Name: "pool"}}})
	return o
}

// setCapacity passes on the record of a host that differs in its capacity only.
func (o *owner) setCapacity(id string, milliCores, memoryMB int64) {
	h := o.Hosts[id].Host
	h.Capacity = batch.Size{MilliCores: milliCores, MemoryMB: memoryMB}
	o.UpdateHost(h, o.now)
}

func TestShrunkHostGetsWorkOnlyOnceRunsHaveEnded(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.submit("first", smallStep(3))
	runs := o.start()
	require.Len(t, runs, 3)
	o.setCapacity("a", 2000, 4000)
	o.submit("second", smallStep(4))
	require.Empty(t, o.plan(), "three cores of two are taken")
	o.report("a", doneRow(1, runs[0]), runningRow(runs[1], 50), runningRow(runs[2], 50))
	require.Empty(t, o.plan(), "two cores of two are taken")
	o.report("a", doneRow(2, runs[1]), runningRow(runs[2], 50))
	require.Len(t, o.start(), 1)
	o.setCapacity("a", 4000, 4000)
	require.Len(t, o.plan(), 2, "the host has grown")
}

func TestShrunkMemoryCounts(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.setCapacity("a", 4000, 250)
	o.submit("job", smallStep(4))
	require.Len(t, o.start(), 2)
	o.setCapacity("a", 4000, 0)
	require.Empty(t, o.plan())
	o.setCapacity("a", 4000, 400)
	require.Len(t, o.plan(), 2)
}

func TestUnansweredStartsTakeTheirRoomOnAShrunkHost(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.submit("job", smallStep(2))
	starts := o.plan()
	require.Len(t, starts, 2)
	o.setCapacity("a", 2000, 4000)
	o.submit("other", smallStep(1))
	require.Empty(t, o.plan())
	o.HandleStartResult(&starts[0], 0, errNoAnswer, o.now)
	stops := o.plan()
	require.Len(t, stops, 1)
	require.Equal(t, shard.OrderStop, stops[0].Kind, "a run that may have begun keeps its room")
	o.HandleStartResult(&starts[1], 0, &port.RefusedError{Reason: port.RefusedStaleRun}, o.now)
	require.Len(t, o.plan(), 1, "a run that was refused gives its room back")
}

func TestRunsThatAreBeingStoppedKeepTheirRoomOnAShrunkHost(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.submit("job", smallStep(2))
	runs := o.start()
	require.Len(t, runs, 2)
	o.setCapacity("a", 2000, 4000)
	o.Cancel("job", o.now)
	stops := o.TakeOrders()
	require.Len(t, stops, 2)
	o.submit("other", smallStep(2))
	for i := range stops {
		o.clock++
		require.True(t, o.HandleStopResult(&stops[i], o.clock, nil, o.now))
	}
	o.report("a", runningRow(runs[0], 50), runningRow(runs[1], 50))
	require.Empty(t, o.plan())
	stopped := port.FinishedRun{Number: 1, Unit: runs[0].Ref.String(), Run: runs[0].Run, Result: port.ResultStopped}
	o.report("a", stopped, runningRow(runs[1], 50))
	require.Len(t, o.plan(), 1)
}

func TestGangStartsOnlyWithinShrunkCapacity(t *testing.T) {
	o := newUnguardedOwner(t, "a", "b")
	gang := smallStep(6)
	gang.Gang = true
	o.setCapacity("b", 1000, 4000)
	o.submit("gang", gang)
	require.Empty(t, o.plan())
	o.setCapacity("b", 2000, 4000)
	require.Len(t, o.plan(), 6)
}

// Best-effort work takes no cores, but a host that has shrunk below what runs there has less than none.
func TestBestEffortWorkDoesNotStartOnAHostOverItsShrunkCapacity(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.submit("job", smallStep(3))
	runs := o.start()
	require.Len(t, runs, 3)
	o.setCapacity("a", 2000, 4000)
	fill := smallStep(1)
	fill.BestEffort = true
	o.submit("fill", fill)
	require.Empty(t, o.plan())
	o.report("a", doneRow(1, runs[0]), runningRow(runs[1], 50), runningRow(runs[2], 50))
	require.Len(t, o.plan(), 1)
}

func TestUnguardedHostWithAnUnknownRunGetsNoWorkWhateverItsCapacity(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	o.submit("job", smallStep(1))
	unknown := port.ActiveRun{Unit: (batch.Ref{Job: "unknown"}).String(), Run: 1}
	o.report("a", unknown)
	o.TakeOrders()
	o.setCapacity("a", 8000, 8000)
	require.Empty(t, o.plan())
	o.report("a")
	require.Len(t, o.plan(), 1)
}

// Guards against a start on a host that is back under its ID, decided by the capacity and the labels of its
// earlier instance.
func TestHostThatIsBackUnderItsIDGetsNoWorkByItsOldRecord(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	record := o.Hosts["a"].Host
	record.Born = 1
	o.UpdateHost(record, o.now)
	o.submit("job", smallStep(4))
	o.HandleReport("a", &port.HostReport{Clock: 1, Born: 2}, o.now)
	o.advance(time.Millisecond)
	require.Empty(t, o.plan(), "the record is the one of the earlier instance")
	record.Born, record.Capacity.MilliCores = 2, 2000
	o.UpdateHost(record, o.now)
	require.Len(t, o.plan(), 2)
}

// A record can be read before the new instance has answered.
func TestRecordOfANewInstanceWaitsForItsAnswer(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	record := o.Hosts["a"].Host
	record.Born = 2
	o.UpdateHost(record, o.now)
	o.submit("job", smallStep(4))
	require.Empty(t, o.plan(), "the earlier instance has answered last")
	o.HandleReport("a", &port.HostReport{Clock: 1, Born: 2}, o.now)
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 4)
}

// Work that fits no shrunk host must neither keep smaller work from starting nor be forgotten.
func TestWorkTooLargeForShrunkHostsWaitsAndBlocksNoOtherWork(t *testing.T) {
	for name, lasting := range map[string]bool{"ends": false, "long-running": true} {
		t.Run(name, func(t *testing.T) {
			o := newUnguardedOwner(t, "a", "b")
			large := batch.Step{Count: 1, Need: batch.Size{MilliCores: 3000, MemoryMB: 100}, Estimate: time.Second, LongRunning: lasting}
			o.setCapacity("a", 2000, 4000)
			o.setCapacity("b", 2000, 4000)
			o.submit("large", large)
			require.Empty(t, o.plan())
			o.advance(time.Minute)
			o.report("a")
			o.report("b")
			o.submit("small", smallStep(4))
			require.Len(t, o.start(), 4, "no room is reserved for work that does not fit")
			o.setCapacity("b", 6000, 4000)
			starts := o.plan()
			require.Len(t, starts, 1)
			require.Equal(t, "large", starts[0].Ref.Job)
		})
	}
}

// Guards against work that waits for ever, in a pool that has as many hosts as its load asks for, because all of
// them have shrunk.
func TestLoadTellsOfWorkThatWaitsForHostsThatHaveShrunk(t *testing.T) {
	for name, change := range map[string]func(*batch.Step){
		"ends": func(*batch.Step) {}, "long-running": func(step *batch.Step) { step.LongRunning = true },
		"gang":  func(step *batch.Step) { step.Gang, step.Count = true, 2 },
		"label": func(step *batch.Step) { step.RequiredLabel = "fast" },
	} {
		t.Run(name, func(t *testing.T) {
			o := newUnguardedOwner(t, "a", "b")
			o.Hosts["b"].Labels = []string{"fast"}
			large := batch.Step{Count: 1, Need: batch.Size{MilliCores: 3000, MemoryMB: 100}, Estimate: time.Second}
			change(&large)
			o.setCapacity("a", 2000, 4000)
			o.setCapacity("b", 2000, 4000)
			o.submit("large", large)
			require.Empty(t, o.plan())
			require.Equal(t, large.Need, o.Load(o.now).Oversized)
			o.setCapacity("b", 4000, 50)
			require.Equal(t, large.Need, o.Load(o.now).Oversized, "its memory does not suffice")
			o.setCapacity("b", 4000, 4000)
			require.Zero(t, o.Load(o.now).Oversized)
		})
	}
}

func TestLoadNamesTheSmallestWorkThatIsTooLarge(t *testing.T) {
	o := newUnguardedOwner(t, "a")
	for _, milliCores := range []int64{9000, 5000, 7000, 3000} {
		o.submit(fmt.Sprint(milliCores), batch.Step{Count: 1, Need: batch.Size{MilliCores: milliCores, MemoryMB: 100}, Estimate: time.Second})
	}
	o.start()
	require.EqualValues(t, 5000, o.Load(o.now).Oversized.MilliCores)
	o.submit("missing", batch.Step{Count: 1, Need: batch.Size{MilliCores: 4500, MemoryMB: 100}, RequiredLabel: "label of no host"})
	require.Empty(t, o.plan())
	require.EqualValues(t, 5000, o.Load(o.now).Oversized.MilliCores)
}

func TestLoadOfShrunkHostsStatesTheirPresentCapacity(t *testing.T) {
	o := newUnguardedOwner(t, "a", "b")
	require.EqualValues(t, 4000, o.Load(o.now).HostCapacity)
	o.setCapacity("a", 1000, 4000)
	require.EqualValues(t, 2500, o.Load(o.now).HostCapacity)
}

// A step for which a host is reserved must not start there after the host has shrunk below its need.
// Guards against long-running tasks that wait for ever for want of memory, while machines leave their pool because its
// processors suffice.
func TestLoadOfLongRunningTasksCountsWhatTheyNeedMost(t *testing.T) {
	for name, c := range map[string]struct {
		need  batch.Size
		hosts int64
	}{
		"cores":    {batch.Size{MilliCores: 2000, MemoryMB: 100}, 5},
		"memory":   {batch.Size{MilliCores: 100, MemoryMB: 3000}, 8},
		"no cores": {batch.Size{MemoryMB: 4000}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a", "b")
			step := longRunningStep(10, 0, 0)
			step.Need = c.need
			o.submit("serves", step)
			o.open()
			l := o.Load(o.now)
			require.Equal(t, c.hosts, max((l.LongRunning+l.HostCapacity-1)/l.HostCapacity, int64(l.SpreadHosts)))
		})
	}
	o := newOwner(t, 1)
	o.submit("serves", longRunningStep(10, 0, 0))
	o.open()
	l := o.Load(o.now)
	require.EqualValues(t, 10_000, l.LongRunning, "without a host, only cores are known")
	require.Zero(t, l.SpreadHosts)
}

func TestReservationOfAHostThatShrinksGoesToAnother(t *testing.T) {
	o := newUnguardedOwner(t, "a", "b")
	o.submit("small", smallStep(8))
	runs := o.start()
	require.Len(t, runs, 8)
	large := batch.Step{Count: 1, Need: batch.Size{MilliCores: 4000, MemoryMB: 100}, Estimate: time.Second, LongRunning: true}
	o.submit("large", large)
	require.Empty(t, o.plan())
	o.setCapacity("a", 2000, 4000)
	number := map[string]int64{}
	for _, id := range []string{"a", "b"} {
		var rows []any
		for _, run := range runs {
			if run.Host == id {
				number[id]++
				rows = append(rows, doneRow(number[id], run))
			}
		}
		o.report(id, rows...)
	}
	starts := o.plan()
	require.Len(t, starts, 1)
	require.Equal(t, "b", starts[0].Host)
}

// modelHost is what a host of the random test runs, whatever the owner believes.
type modelHost struct {
	capacity batch.Size
	// held maps the runs that are there, or may be, to what they take. present holds those that have begun,
	// and stopping those among them that have been ordered to stop.
	held              map[modelRun]batch.Size
	present, stopping map[modelRun]bool
	finished          []any
	ends              int64
	unknown           bool
}

// modelRun identifies a run by its task and number.
type modelRun struct {
	unit string
	run  int64
}

func runOf(o *shard.Order) modelRun { return modelRun{o.Ref.String(), o.Run} }

// runs returns the runs that are present, in a fixed order.
func (h *modelHost) runs() []modelRun {
	return slices.SortedFunc(maps.Keys(h.present), func(a, b modelRun) int {
		return cmp.Or(cmp.Compare(a.unit, b.unit), cmp.Compare(a.run, b.run))
	})
}

// capacityModel plays a pool of unguarded hosts whose capacity changes, and checks every start against what
// the hosts hold.
type capacityModel struct {
	*owner
	random *rand.Rand
	hosts  map[string]*modelHost
	ids    []string
	// unanswered holds the orders whose answers are under way.
	unanswered []shard.Order
	// jobs counts the jobs, starts the starts, and shrunkStarts those on hosts that have shrunk.
	jobs, starts, shrunkStarts int
}

func newCapacityModel(t *testing.T, seed uint64) *capacityModel {
	m := &capacityModel{random: rand.New(rand.NewPCG(seed, 3)), hosts: map[string]*modelHost{}, ids: []string{"a", "b", "c", "d"}}
	m.owner = newUnguardedOwner(t, m.ids...)
	for _, id := range m.ids {
		m.hosts[id] = &modelHost{
			capacity: m.Hosts[id].Capacity, held: map[modelRun]batch.Size{}, present: map[modelRun]bool{}, stopping: map[modelRun]bool{},
		}
	}
	return m
}

func (m *capacityModel) submitRandom() {
	step := batch.Step{
		Count: 1 + m.random.IntN(4), Estimate: time.Second,
		Need: batch.Size{MilliCores: 500 * int64(1+m.random.IntN(6)), MemoryMB: 100 * int64(1+m.random.IntN(20))},
	}
	switch m.random.IntN(6) {
	case 0:
		step.Gang = true
	case 1:
		step.LongRunning = true
	case 2:
		step.LongRunning, step.BestEffort = true, true
	case 3:
		step.PerHost = 1
	}
	m.jobs++
	m.submit(fmt.Sprint(m.jobs), step)
}

// changeCapacity shrinks or grows a random host.
func (m *capacityModel) changeCapacity() {
	id := m.ids[m.random.IntN(len(m.ids))]
	c := batch.Size{MilliCores: 500 * int64(m.random.IntN(13)), MemoryMB: 250 * int64(m.random.IntN(17))}
	m.hosts[id].capacity = c
	m.setCapacity(id, c.MilliCores, c.MemoryMB)
}

// planAndCheck runs a round of planning and checks its starts.
func (m *capacityModel) planAndCheck() {
	orders := m.plan()
	slices.SortFunc(orders, func(a, b shard.Order) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Ref.String(), b.Ref.String()), cmp.Compare(a.Run, b.Run))
	})
	for _, o := range orders {
		m.unanswered = append(m.unanswered, o)
		if o.Kind != shard.OrderStart {
			continue
		}
		h := m.hosts[o.Host]
		need := m.Jobs[o.Ref.Job].Spec.Steps[o.Ref.Step].Reservation()
		used := need
		for _, size := range h.held {
			used = used.Add(size)
		}
		require.False(m.t, h.unknown, "start of %s on host %s, on which an unknown run is under way", o.Ref, o.Host)
		require.True(m.t, h.capacity.Fits(used), "start of %s on host %s: it then holds %+v of %+v", o.Ref, o.Host, used, h.capacity)
		h.held[runOf(&o)] = need
		m.starts++
		if h.capacity.MilliCores < 4000 {
			m.shrunkStarts++
		}
	}
}

// answerOne answers a random order, or loses its answer, after which the order may have been carried out.
func (m *capacityModel) answerOne() {
	if len(m.unanswered) == 0 {
		return
	}
	i := m.random.IntN(len(m.unanswered))
	o := m.unanswered[i]
	m.unanswered = append(m.unanswered[:i], m.unanswered[i+1:]...)
	h, key := m.hosts[o.Host], runOf(&o)
	lost := m.random.IntN(5) == 0
	m.clock++
	var err error
	if lost {
		err = errNoAnswer
	}
	switch o.Kind {
	case shard.OrderStart:
		switch m.random.IntN(4) {
		case 0:
			if !lost {
				delete(h.held, key)
				m.HandleStartResult(&o, 0, &port.RefusedError{Reason: port.RefusedUnhealthy}, m.now)
				return
			}
		default:
			h.present[key] = true
		}
		m.HandleStartResult(&o, m.clock, err, m.now)
	case shard.OrderStop:
		if h.present[key] {
			h.stopping[key] = true
		} else if !lost {
			delete(h.held, key)
		}
		m.HandleStopResult(&o, m.clock, err, m.now)
	}
}

// reportOne makes a random host report, after some of its runs have ended.
func (m *capacityModel) reportOne() {
	id := m.ids[m.random.IntN(len(m.ids))]
	h := m.hosts[id]
	var rows []any
	for _, key := range h.runs() {
		result := port.Result("")
		switch {
		case h.stopping[key] && m.random.IntN(2) == 0:
			result = port.ResultStopped
		case m.random.IntN(6) == 0:
			result = port.ResultDone
		}
		if result == "" {
			rows = append(rows, port.ActiveRun{Unit: key.unit, Run: key.run, ProgressPercent: 50})
			continue
		}
		h.ends++
		h.finished = append(h.finished, port.FinishedRun{Number: h.ends, Unit: key.unit, Run: key.run, Result: result})
		delete(h.present, key)
		delete(h.stopping, key)
		delete(h.held, key)
	}
	if h.unknown = m.random.IntN(10) == 0; h.unknown {
		rows = append(rows, port.ActiveRun{Unit: (batch.Ref{Job: "unknown"}).String(), Run: 1})
	}
	m.report(id, append(rows, h.finished...)...)
}

// Guards against a start that brings a host over the newest capacity that is known of it.
func TestNoStartExceedsTheNewestKnownCapacity(t *testing.T) {
	const seeds, rounds = 200, 300
	starts, shrunkStarts := 0, 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newCapacityModel(t, seed)
			for range rounds {
				switch m.random.IntN(8) {
				case 0:
					m.submitRandom()
				case 1:
					m.changeCapacity()
				case 2, 3:
					m.reportOne()
				case 4:
					if m.jobs > 0 {
						m.Cancel(fmt.Sprint(1+m.random.IntN(m.jobs)), m.now)
					}
				default:
					m.answerOne()
				}
				m.RetryStops(m.now)
				m.planAndCheck()
				m.advance(time.Duration(m.random.IntN(200)) * time.Millisecond)
			}
			starts, shrunkStarts = starts+m.starts, shrunkStarts+m.shrunkStarts
		})
	}
	t.Logf("%d starts, %d of them on shrunk hosts", starts, shrunkStarts)
	require.Greater(t, starts, 20*seeds)
	require.Greater(t, shrunkStarts, 5*seeds)
}
