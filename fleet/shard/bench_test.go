package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// BenchmarkRound measures a round of planning in which one task ends and the next starts.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{10, 100, 350} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("hosts-%d-waiting-%d", hosts, waiting), func(b *testing.B) { benchmarkRound(b, hosts, waiting) })
		}
	}
}

// BenchmarkImages measures the rounds of BenchmarkRound with jobs that name one of forty images, of which each hurts some
// others. In a roomy pool, half of the cores of each host are free on average.
func BenchmarkImages(b *testing.B) {
	const hosts, waiting = 350, 1000
	for name, jobs := range map[string]int{"full": waiting/10 + hosts, "roomy": hosts * 4 / 10} {
		for _, images := range []int{0, 40} {
			for _, suspected := range []int{0, 40, 400} {
				if images > 0 || suspected == 0 {
					b.Run(fmt.Sprintf("%s-images-%d-pairs-%d", name, images, suspected), func(b *testing.B) {
						benchmarkImages(b, hosts, jobs, images, suspected)
					})
				}
			}
		}
	}
}

func benchmarkRound(b *testing.B, hosts, waiting int) {
	benchmarkImages(b, hosts, waiting/10+hosts, 0, 0)
}

// benchmarkImages measures rounds of a pool whose jobs have ten tasks and name a number of images in turn, of which a
// number of pairs is suspected.
func benchmarkImages(b *testing.B, hosts, jobs, images, suspected int) {
	now := time.Unix(1_700_000_000, 0)
	s := shard.New("pool", 1, timing, now)
	s.Configure(&port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2}}, Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	for i := range hosts {
		id := fmt.Sprint(i)
		s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}, now).Stored = true
		s.HandleReport(id, &port.HostReport{Clock: 1}, now)
	}
	now = now.Add(time.Millisecond)
	s.ConfirmedAt = now
	for i := range suspected {
		addEvidence(s, fmt.Sprint("image-", i%images), fmt.Sprint("image-", (i+1+i/images)%images), 1, now)
	}
	for i := range jobs {
		step := smallStep(10)
		if images > 0 {
			step.Image = fmt.Sprint("image-", i%images)
		}
		j, _ := s.Submit(fmt.Sprint(i), batch.Spec{Queue: "q", Steps: []batch.Step{step}}, now)
		s.MarkStored(j)
	}
	shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
	started := s.TakeOrders()
	number := int64(0)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		if len(started) == 0 {
			b.Skip("all work has ended")
		}
		o := started[0]
		started = started[1:]
		number++
		s.HandleStartResult(&o, 2, nil, now)
		s.HandleReport(o.Host, &port.HostReport{Clock: 3, Finished: []port.FinishedRun{{
			Number: number, Unit: o.Ref.String(), Run: o.Run, Result: port.ResultStopped,
		}}}, now)
		shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
		started = append(started, s.TakeOrders()...)
	}
}

// BenchmarkFullPool measures rounds of a pool without room for the tasks that wait. Each job has one
// task.
func BenchmarkFullPool(b *testing.B) {
	const hosts, perHost = 80, 8
	for _, remainder := range []int64{0, 500} {
		for _, waiting := range []int{1000, 10_000} {
			for _, age := range []time.Duration{0, 5 * time.Second} {
				suffix := fmt.Sprintf("remainder-%d-waiting-%d-age-%s", remainder, waiting, age)
				b.Run("one-end-"+suffix, func(b *testing.B) {
					p := newFullPool(hosts, perHost, perHost*1000+remainder, waiting, age, 1)
					b.ResetTimer()
					for b.Loop() {
						p.endOne()
						p.round()
					}
				})
				b.Run("no-change-"+suffix, func(b *testing.B) {
					p := newFullPool(hosts, perHost, perHost*1000+remainder, waiting, age, 1)
					b.ResetTimer()
					for b.Loop() {
						p.round()
					}
				})
			}
		}
	}
}

// fullPool is a pool in which a task waits for each that ends.
type fullPool struct {
	state   *shard.State
	now     time.Time
	perJob  int
	jobs    int
	ends    int64
	started []shard.Order
}

func newFullPool(hosts, perHost int, capacity int64, waiting int, age time.Duration, perJob int) *fullPool {
	p := &fullPool{now: time.Unix(1_700_000_000, 0), perJob: perJob}
	p.state = shard.New("pool", 1, timing, p.now)
	p.state.Configure(&port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2, Target: time.Minute}}, Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	for range (waiting + hosts*perHost) / perJob {
		p.submit()
	}
	p.now = p.now.Add(age)
	for i := range hosts {
		id := fmt.Sprint(i)
		p.state.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: capacity, MemoryMB: 8000}}, p.now).Stored = true
		p.state.HandleReport(id, &port.HostReport{Clock: 1}, p.now)
	}
	p.now = p.now.Add(time.Millisecond)
	p.state.ConfirmedAt = p.now
	p.round()
	return p
}

func (p *fullPool) submit() {
	p.jobs++
	step := smallStep(p.perJob)
	step.Estimate += time.Duration(p.jobs%97) * 10 * time.Millisecond
	j, _ := p.state.Submit(fmt.Sprint(p.jobs), batch.Spec{Queue: "q", Steps: []batch.Step{step}}, p.now)
	p.state.MarkStored(j)
}

// endOne ends the oldest run and submits a job whenever as many tasks have ended.
func (p *fullPool) endOne() { p.replaceOldest(p.submit) }

// replaceOldest ends the oldest run, and submits a job whenever as many tasks have ended as a job has.
func (p *fullPool) replaceOldest(submit func()) {
	o := p.started[0]
	p.started = p.started[1:]
	p.ends++
	p.state.HandleStartResult(&o, 2, nil, p.now)
	p.state.HandleReport(o.Host, &port.HostReport{Clock: 3, Finished: []port.FinishedRun{{
		Number: p.ends, Unit: o.Ref.String(), Run: o.Run, Result: port.ResultDone,
	}}}, p.now)
	if p.ends%int64(p.perJob) == 0 {
		submit()
	}
	for _, c := range p.state.TakeChanges() {
		p.state.MarkWritten(c)
	}
}

// round makes the calls that an owner makes after each batch of messages.
func (p *fullPool) round() {
	p.state.RetryStops(p.now)
	overloaded := p.state.Overloaded
	shard.Plan(p.state, shard.SizeShare[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: overloaded}, Overloaded: overloaded}, p.now, p.now.UnixMilli())
	p.started = append(p.started, p.state.TakeOrders()...)
	p.state.NeedsFlush()
	p.state.NeedsConfirmation()
}

// BenchmarkReport measures a report of a host on which eight tasks make progress.
func BenchmarkReport(b *testing.B) {
	const perHost = 8
	for _, hosts := range []int{80, 350} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			p := newFullPool(hosts, perHost, perHost*1000, 0, 0, 1)
			reports := make([]port.HostReport, hosts)
			for _, o := range p.started {
				p.state.HandleStartResult(&o, 2, nil, p.now)
				var host int
				_, err := fmt.Sscan(o.Host, &host)
				require.NoError(b, err)
				reports[host].Running = append(reports[host].Running, port.ActiveRun{Unit: o.Ref.String(), Run: o.Run})
			}
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				report := &reports[i%hosts]
				p.now = p.now.Add(time.Second / time.Duration(hosts))
				report.Clock = int64(i + 10)
				for k := range report.Running {
					report.Running[k].ProgressPercent++
				}
				p.state.HandleReport(fmt.Sprint(i%hosts), report, p.now)
			}
		})
	}
}

// BenchmarkBurst measures rounds of a full pool in which some tasks end and as many start. Estimates
// differ from job to job, and run times from estimates.
func BenchmarkBurst(b *testing.B) {
	const hosts, perHost = 80, 8
	for _, waiting := range []int{1000, 10_000} {
		for _, ends := range []int{1, 32} {
			for _, perJob := range []int{1, 400} {
				b.Run(fmt.Sprintf("waiting-%d-ends-%d-per-job-%d", waiting, ends, perJob), func(b *testing.B) {
					p := newFullPool(hosts, perHost, perHost*1000, waiting, 0, perJob)
					b.ResetTimer()
					for b.Loop() {
						p.now = p.now.Add(time.Duration(ends) * time.Millisecond)
						p.state.ConfirmedAt = p.now
						for range ends {
							p.endOne()
						}
						p.round()
					}
				})
			}
		}
	}
}

// BenchmarkMixedNeeds measures rounds in which every host has room for the cores of some waiting
// tasks and for the memory of others, but for no task. The tasks have waited for 5 s.
func BenchmarkMixedNeeds(b *testing.B) {
	const hosts, perHost = 80, 8
	for _, waiting := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			p := newFullPool(hosts, perHost, perHost*1000+500, waiting/2, 0, 1)
			for i := range waiting / 2 {
				step := batch.Step{Count: 1, Need: batch.Size{MilliCores: 250, MemoryMB: 7500}, Estimate: time.Minute}
				j, _ := p.state.Submit(fmt.Sprint("large-", i), batch.Spec{Queue: "q", Steps: []batch.Step{step}}, p.now)
				p.state.MarkStored(j)
			}
			p.now = p.now.Add(5 * time.Second)
			for i := range hosts {
				p.state.Hosts[fmt.Sprint(i)].LastAnswer = p.now
			}
			p.state.ConfirmedAt = p.now
			b.ResetTimer()
			for b.Loop() {
				p.endOne()
				p.round()
			}
		})
	}
}

// BenchmarkLoad measures the load of a pool whose hosts are full.
func BenchmarkLoad(b *testing.B) {
	const perHost = 8
	for _, hosts := range []int{80, 1000} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			p := newFullPool(hosts, perHost, perHost*1000, 0, 0, 1)
			b.ResetTimer()
			for b.Loop() {
				p.state.Load(p.now)
			}
		})
	}
}
