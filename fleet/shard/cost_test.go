package shard_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// waitingPool is a full pool in which jobs of various sizes wait that arrived over some time.
type waitingPool struct {
	*fullPool
	queues int
	// repetitions is the number of occurrences of a job that are due at once; 0 means that jobs do not repeat.
	repetitions int
	random      *rand.Rand
}

// arrivalInterval is the time between the arrivals of the jobs that wait at first.
const arrivalInterval = 5 * time.Millisecond

// newWaitingPool returns a pool in which a number of jobs wait. The last of them arrived just now, and
// the others one after another before that.
func newWaitingPool(waiting, perJob int) *waitingPool { return newRepeatingPool(waiting, perJob, 0) }

// newRepeatingPool is like newWaitingPool, but each job has a number of occurrences that are due at once.
func newRepeatingPool(waiting, perJob, repetitions int) *waitingPool {
	const hosts, perHost = 80, 8
	p := &waitingPool{
		fullPool: &fullPool{now: time.Unix(1_700_000_000, 0), perJob: perJob}, queues: 3, random: rand.New(rand.NewPCG(1, 2)),
	}
	p.state = shard.New("pool", 1, timing, p.now)
	config := &port.Config{Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}}}
	for i := range p.queues {
		config.Queues = append(config.Queues, port.Queue{
			Name: fmt.Sprint("q", i), Pool: "pool", Stretch: 2, Target: time.Duration(1+i) * 4 * time.Second, Priority: i,
		})
	}
	p.state.Configure(config)
	for range hosts * perHost {
		p.submitSized(1, batch.Size{MilliCores: 1000, MemoryMB: 1000})
	}
	p.repetitions = repetitions
	for range waiting {
		p.now = p.now.Add(arrivalInterval)
		p.submitNext()
	}
	for i := range hosts {
		id := fmt.Sprint(i)
		p.state.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}, p.now).Stored = true
		p.state.HandleReport(id, &port.HostReport{Clock: 1}, p.now)
	}
	p.tick()
	p.round()
	return p
}

// tick lets a millisecond pass in which all hosts answer and the store confirms the claim.
func (p *waitingPool) tick() {
	p.now = p.now.Add(time.Millisecond)
	p.state.ConfirmedAt = p.now
	for _, h := range p.state.Hosts {
		h.LastAnswer = p.now
	}
}

func (p *waitingPool) submitSized(count int, need batch.Size) {
	p.jobs++
	step := batch.Step{Count: count, Need: need, Estimate: time.Duration(500+p.random.IntN(300)) * time.Millisecond}
	spec := batch.Spec{Queue: fmt.Sprint("q", p.jobs%p.queues), Steps: []batch.Step{step}, AcceptedMS: p.now.UnixMilli()}
	if p.repetitions > 0 {
		spec.Repetitions, spec.FirstDueMS = p.repetitions, p.now.UnixMilli()
	}
	j, _ := p.state.Submit(fmt.Sprintf("%08d", p.jobs), spec, p.now)
	p.state.MarkStored(j)
}

// submitNext submits a job whose size differs from that of most others.
func (p *waitingPool) submitNext() {
	p.submitSized(p.perJob, batch.Size{MilliCores: 500 + p.random.Int64N(1000), MemoryMB: 400 + p.random.Int64N(1200)})
}

// replaceOne ends the oldest run, and submits a job for each that has begun to run whole.
func (p *waitingPool) replaceOne() { p.replaceOldest(p.submitNext) }

// BenchmarkMemory measures the memory of a job that waits, and of one that has ended. A job has two
// steps of eight tasks, of which four occurrences are open.
func BenchmarkMemory(b *testing.B) {
	const jobs = 20_000
	for b.Loop() {
		p := newWaitingPool(1, 1)
		empty := heapBytes()
		var submitted []*shard.Job
		for i := range jobs {
			step := smallStep(8)
			step.Need.MilliCores = 4000
			second := step
			second.After = []int{0}
			spec := batch.Spec{
				Queue: "q0", Steps: []batch.Step{step, second}, AcceptedMS: p.now.UnixMilli(), Text: fmt.Sprintf("%0200d", i),
				Repetitions: 4, FirstDueMS: p.now.UnixMilli(),
			}
			j, _ := p.state.Submit(fmt.Sprintf("m%015d", i), spec, p.now)
			p.state.MarkStored(j)
			submitted = append(submitted, j)
		}
		p.tick()
		p.round()
		b.ReportMetric(float64(heapBytes()-empty)/jobs, "B/waiting-job")
		for _, j := range submitted {
			p.state.Cancel(j.ID, p.now)
		}
		p.tick()
		p.round()
		for _, c := range p.state.TakeChanges() {
			p.state.MarkWritten(c)
		}
		b.ReportMetric(float64(heapBytes()-empty)/jobs, "B/ended-job")
		runtime.KeepAlive(p)
	}
}

// heapBytes returns the bytes of the objects that are in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var waitingCounts = []int{1000, 10_000, 100_000}

// BenchmarkWaitingRound measures a round after the end of a task, while jobs of various sizes and ages wait.
func BenchmarkWaitingRound(b *testing.B) {
	for _, perJob := range []int{1, 400} {
		for _, waiting := range waitingCounts {
			b.Run(fmt.Sprintf("per-job-%d-jobs-%d", perJob, waiting), func(b *testing.B) {
				p := newWaitingPool(waiting, perJob)
				b.ResetTimer()
				for b.Loop() {
					p.tick()
					p.replaceOne()
					p.round()
				}
			})
		}
	}
}

// BenchmarkRepeatingRound is like BenchmarkWaitingRound for jobs of which eight occurrences wait, of eight tasks each.
func BenchmarkRepeatingRound(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("jobs-%d", waiting), func(b *testing.B) {
			p := newRepeatingPool(waiting, 8, 8)
			b.ResetTimer()
			for b.Loop() {
				p.tick()
				p.replaceOne()
				p.round()
			}
		})
	}
}

// BenchmarkWaitingCalls measures the calls that an owner makes beside its rounds.
func BenchmarkWaitingCalls(b *testing.B) {
	calls := []struct {
		name string
		call func(p *waitingPool)
	}{
		{"load", func(p *waitingPool) { p.state.Load(p.now) }},
		{"pending", func(p *waitingPool) { p.state.Pending("q0") }},
		{"drop-expired", func(p *waitingPool) { p.state.DropExpired(p.now) }},
		{"spare-capacity", func(p *waitingPool) { p.state.HasSpareCapacity(p.now) }},
		{"settle-suspects", func(p *waitingPool) { p.state.SettleSuspects(p.now) }},
		{"needs-flush", func(p *waitingPool) { p.state.NeedsFlush() }},
		{"waiting", func(p *waitingPool) { p.state.Waiting(p.now) }},
	}
	for _, waiting := range waitingCounts {
		p := newWaitingPool(waiting, 1)
		for _, c := range calls {
			b.Run(fmt.Sprintf("%s-jobs-%d", c.name, waiting), func(b *testing.B) {
				for b.Loop() {
					c.call(p)
				}
			})
		}
	}
}
