package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/trial/fake"
)

const (
	// smallLead is the time between the submission of a job of small tasks and the fault at which it ends, and smallEnd the
	// time between the fault and that end. It is shorter than the time in which a pool gets another owner.
	smallLead, smallEnd = 6 * time.Second, 300 * time.Millisecond
	// maxSmallJobs limits the jobs of small tasks of a pool.
	maxSmallJobs = 2
	// smallStream distinguishes the random numbers of their callers from others.
	smallStream = 400
)

// smallEnds returns when jobs of small tasks end: just after faults by which pools change their owners.
func smallEnds(schedule []Fault) []time.Duration {
	var out []time.Duration
	for _, f := range schedule {
		changes := f.Kind == Kill || f.Kind == Pause
		spaced := len(out) == 0 || f.At+smallEnd-out[len(out)-1] > smallLead
		if changes && f.At >= smallLead && spaced && len(out) < maxSmallJobs {
			out = append(out, f.At+smallEnd)
		}
	}
	return out
}

// runSmall submits jobs of small tasks to each pool. All tasks of a job end at once, more on each host than it lists in one
// answer.
func (c *crowd) runSmall(ctx context.Context, what Case) {
	if what.Small == 0 {
		return
	}
	var group errgroup.Group
	random, number := rand.New(rand.NewPCG(what.Seed, smallStream)), 0
	for _, pool := range []string{guardedPool, unguardedPool} {
		for _, end := range smallEnds(what.Schedule) {
			number++
			p := &client{
				crowd: c, random: rand.New(rand.NewPCG(random.Uint64(), 0)), acceptUntil: c.site.trafficAt + end,
				job: Job{
					ID: fmt.Sprintf("%04x%04x%08x", what.Seed&0xffff, smallStream, number), Queue: pool, Pool: pool,
					Specification: fake.SpecRunUntilReleased,
					Steps:         []fake.StepSpec{{Count: min(what.Hosts*what.Small, batch.MaxTasks), EstimatedMS: int(smallLead.Milliseconds()), Small: true}},
				},
			}
			group.Go(func() error {
				if sleep(ctx, c.site.trafficAt+end-smallLead-c.site.recorder.now()) {
					p.run(ctx)
				}
				return nil
			})
			group.Go(func() error {
				sleep(ctx, c.site.trafficAt+end-c.site.recorder.now())
				c.site.platform.Release(p.job.ID)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// mostUnacknowledged returns the largest number of ends of a host that no entry had acknowledged.
func (h *History) mostUnacknowledged() int {
	most, waiting := 0, map[string]int{}
	for _, e := range h.Hosts {
		switch e.Kind {
		case fake.RunEnded:
			waiting[e.Host]++
			most = max(most, waiting[e.Host])
		case fake.RunAcknowledged:
			waiting[e.Host]--
		}
	}
	return most
}
