package owner

import (
	"fmt"
	"math/bits"
	"time"

	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// growthTime is the time in which an overloaded pool gets the hosts that are free, and growth the factor by
	// which these may multiply its rate.
	growthTime = 5 * time.Second
	growth     = 16
	// refusalInterval is the time between two confirmations of refusals by the store.
	refusalInterval = 30 * time.Millisecond
	// whyOverloaded is the reason in the metrics of a refusal for load.
	whyOverloaded = "overloaded"
)

// admission decides which submissions to the pool are taken.
type admission = admit.State[admit.WhileUseful]

func newAdmission() *admission {
	return admit.New(admit.WhileUseful{GrowthTime: growthTime, Growth: growth})
}

// admissible returns a job for its admission, and false for one that is taken in any case.
func (c *core) admissible(id string, spec *batch.Spec, now time.Time) (admit.Job, bool) {
	p, ok := c.state.Prospect(spec, now)
	if !ok {
		return admit.Job{}, false
	}
	return admit.Job{
		ID: id, Work: p.Work, LateAt: p.LateAt, UselessAt: p.UselessAt,
		Class: admit.Class{Priority: c.state.Queues[spec.Queue].Priority, Size: bits.Len64(uint64(p.Work))},
	}, true
}

// refusesForLoad decides on a job that neither this pool nor an earlier one of its queue knows. If it is refused, the
// caller is told so once it is certain that the job was not accepted through the inbox or by a newer owner.
func (c *core) refusesForLoad(m submitJob, now time.Time) bool {
	job, ok := c.admissible(m.id, &m.spec, now)
	if !ok {
		return false
	}
	f, taken := c.admission.Submit(job, now)
	if !taken {
		c.refusals = append(c.refusals, refusal{m, f})
	}
	return !taken
}

// settleRefusals has the store confirm the refusals of the last interval together.
func (c *core) settleRefusals(now time.Time) {
	if len(c.refusals) == 0 || now.Sub(c.refusedAt) < refusalInterval {
		return
	}
	c.refusedAt = now
	c.await(c.refusals, now, now)
	c.refusals = nil
}

// take records a job that was accepted without a decision.
func (c *core) take(j *shard.Job, now time.Time) {
	job, ok := c.admissible(j.ID, &j.Spec, j.AcceptedAt)
	if !ok || j.Phase != shard.Open {
		return
	}
	for i := range j.Occurrences {
		job.Work = 0
		for step := range j.Occurrences[i].Stages {
			job.Work += c.state.TaskWork(&j.Spec, step) * int64(j.Occurrences[i].Stages[step].Left)
		}
	}
	c.admission.Take(job, now)
}

// recordStart records the wait of a job of which a task starts.
func (c *core) recordStart(o *shard.Order, now time.Time) {
	if o.Kind != shard.OrderStart {
		return
	}
	if foreseen, came, ok := c.admission.Started(o.Ref.Job, now); ok {
		c.deps.Stats.Observe("job-wait-foreseen", foreseen, "pool", c.state.Pool)
		c.deps.Stats.Observe("job-wait", came, "pool", c.state.Pool)
	}
}

// recordWork records the end of a run.
func (c *core) recordWork(e *shard.RunEnd, now time.Time) {
	if e.Result != port.ResultDone {
		return
	}
	if j := c.state.Jobs[e.Ref.Job]; j != nil && e.Ref.Step < len(j.Spec.Steps) {
		c.admission.Done(j.ID, c.state.TaskWork(&j.Spec, e.Ref.Step), now)
	}
}

// refusals are submissions that are refused together.
type refusals []refusal

func (r refusals) settle(c *core) {
	for _, m := range r {
		m.settle(c)
	}
}

func (r refusals) refuse(a Answer) {
	for _, m := range r {
		m.refuse(a)
	}
}

// refusal is a submission that is refused for the load of the pool.
type refusal struct {
	submitJob
	forecast admit.Forecast
}

func (m knownJobs) handle(c *core) {
	now := time.Now()
	c.await(m, now, now)
}

func (m knownJobs) settle(c *core) {
	name := m.queue.Name
	if earlier, known := c.earlierPools(name); !known || len(earlier) > 0 || c.isElsewhere(name) || c.state.Queues[name].Version < m.queue.Version {
		m.reply <- refusedUnchecked
		return
	}
	a := Answer{Outcome: Found}
	for _, id := range m.ids {
		if _, unchecked := c.placing.unchecked[id]; unchecked || c.state.Jobs[id] != nil {
			a.Known = append(a.Known, id)
		}
	}
	c.deps.Stats.Add("jobs-refused-by-entries", int64(len(m.ids)-len(a.Known)), "pool", c.state.Pool)
	m.reply <- c.restingOnInbox(a)
}

func (m knownJobs) refuse(a Answer) { m.reply <- a }

func (m refusal) settle(c *core) {
	if c.state.Jobs[m.id] != nil {
		m.handle(c)
		return
	}
	if _, unchecked := c.placing.unchecked[m.id]; unchecked {
		m.reply <- Answer{Outcome: Unknown, Reason: "an earlier pool of the queue has not said whether it holds the job"}
		return
	}
	f := &m.forecast
	c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", whyOverloaded)
	c.deps.Stats.Observe("refused-job-wait", f.Wait, "pool", c.state.Pool)
	c.logger.Info("job refused", "job", m.id, "queue", m.queue.Name, "why", whyOverloaded, "ahead-core-ms", f.Ahead, "backlog-core-ms", f.Backlog,
		"rate-milli-cores", f.Rate, "wait-ms", f.Wait.Milliseconds(), "allowed-ms", f.Allowed.Milliseconds())
	m.reply <- c.restingOnInbox(Answer{
		Outcome: Refused, RetryAfter: f.RetryAfter(), HoldsFor: f.HoldsFor(),
		Reason: fmt.Sprintf("pool %s is overloaded: the job would wait %v, its queue allows %v", c.state.Pool,
			f.Wait.Round(time.Millisecond), f.Allowed.Round(time.Millisecond)),
	})
}

// refuse answers that the outcome is not known: the job may have been accepted through the inbox or by a newer owner.
func (m refusal) refuse(a Answer) {
	a.Outcome = Unknown
	m.reply <- a
}
