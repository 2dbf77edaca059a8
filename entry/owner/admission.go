package owner

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// overloaded is the reason in logs and metrics of a refusal for load.
const overloaded = "overloaded"

// admission decides which submissions to a pool are taken.
type admission struct {
	state *admit.State[admit.Unservable]
	// capacity is that of the hosts as of the last round of planning, in thousandths of a core.
	capacity int64
	// foreseen holds the waits that were foreseen for jobs that have not started.
	foreseen map[string]time.Duration
}

func newAdmission() admission {
	return admission{
		state: admit.New(admit.Default), foreseen: map[string]time.Duration{},
	}
}

// observeLoad has the admission observe the load of the pool.
func (c *core) observeLoad(now time.Time) {
	c.admission.capacity = c.state.FreeCapacity(now)
	c.admission.state.Observe(c.poolOf(&admit.Job{}), now)
}

// poolOf returns the load of the pool as a job finds it.
func (c *core) poolOf(j *admit.Job) admit.Pool {
	p := admit.Pool{Capacity: c.admission.capacity}
	p.Ahead, p.Waiting, p.Late = c.state.Backlog(j)
	return p
}

// decide decides on a job that neither this pool nor an earlier one of its queue knows. It returns when the job was first
// submitted, and false if the job is refused. The caller is told so once it is certain that the job has not been accepted
// by way of the inbox or by a newer owner.
func (c *core) decide(m submitJob, now time.Time) (time.Time, bool) {
	job, ok := c.state.Prospect(m.id, &m.spec)
	if !ok {
		return now, true
	}
	d := c.admission.state.Submit(c.poolOf(&job), &job, now)
	if d.Admitted {
		c.admission.foreseen[m.id] = min(d.Wait, d.LateWait)
		return d.FirstAt, true
	}
	if d.FirstAt.Equal(now) {
		c.state.RecordRefused(m.spec, now)
	}
	c.await(refusal{m, d}, now, now)
	return now, false
}

// recordStart records the wait of a job of which a task starts for the first time.
func (c *core) recordStart(o *shard.Order, now time.Time) {
	foreseen, ok := c.admission.foreseen[o.Ref.Job]
	if !ok || o.Kind != shard.OrderStart {
		return
	}
	delete(c.admission.foreseen, o.Ref.Job)
	if j := c.state.Jobs[o.Ref.Job]; j != nil {
		c.deps.Stats.Observe("job-wait-foreseen", foreseen, "pool", c.state.Pool)
		c.deps.Stats.Observe("job-wait", now.Sub(j.AcceptedAt), "pool", c.state.Pool)
	}
}

// forgetEnded forgets the waits that were foreseen for jobs that ended before they started.
func (c *core) forgetEnded() {
	for id := range c.admission.foreseen {
		if j := c.state.Jobs[id]; j == nil || j.Phase != shard.Open {
			delete(c.admission.foreseen, id)
		}
	}
}

// recordWork records the end of a run.
func (c *core) recordWork(e *shard.RunEnd, now time.Time) {
	if e.Result == port.ResultDone {
		c.admission.state.Done(c.state.RunWork(e.Ref), now)
	}
}

// refusal is a submission that is refused for the load of the pool.
type refusal struct {
	submitJob
	decision admit.Decision
}

func (m refusal) settle(c *core) {
	if c.state.Jobs[m.id] != nil {
		m.handle(c)
		return
	}
	if _, unchecked := c.placing.unchecked[m.id]; unchecked {
		m.reply <- Answer{Outcome: Unknown, Reason: "an earlier pool of the queue has not said whether it holds the job"}
		return
	}
	f := &m.decision.Forecast
	wait := min(f.Wait, f.LateWait)
	c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", overloaded)
	c.deps.Stats.Observe("refused-job-wait", wait, "pool", c.state.Pool)
	c.logger.Info("job refused", "job", m.id, "queue", m.queue.Name, "why", overloaded, "ahead-core-ms", f.Ahead, "waiting-core-ms", f.Waiting,
		"late-core-ms", f.Late, "rate-milli-cores", f.Rate, "arriving-milli-cores", f.Arriving, "wait-ms", wait.Milliseconds(),
		"allowed-ms", f.Allowed.Milliseconds(), "useful-ms", f.Useful.Milliseconds(), "waited-ms", f.Waited.Milliseconds(),
		"retry-after-ms", m.decision.RetryAfter.Milliseconds())
	m.reply <- c.restingOnInbox(Answer{
		Outcome: Refused, RetryAfter: m.decision.RetryAfter,
		Reason: fmt.Sprintf("pool %s is overloaded: the job could not end within three times its objective", c.state.Pool),
	})
}

// refuse answers that the outcome is not known: the job may have been accepted by way of the inbox or by a newer owner.
func (m refusal) refuse(a Answer) {
	a.Outcome = Unknown
	m.reply <- a
}

// submittedAt returns a job as it was submitted some time ago.
func submittedAt(spec batch.Spec, ago time.Duration) batch.Spec {
	spec.AcceptedMS -= ago.Milliseconds()
	return spec
}
