package model

import (
	"fmt"
	"slices"
	"time"

	"carawaymux.dev/fleet/admit"
)

// usefulFactor is how many times its objective a job may take and be of use. Callers give up after that.
const usefulFactor = 3

// Gate is the admission to a pool.
type Gate interface {
	Observe(p admit.Pool, now time.Time)
	Submit(p admit.Pool, j *admit.Job, now time.Time) admit.Decision
	Done(work int64, now time.Time)
}

// Option configures a run.
type Option func(*run)

// WithAdmission has the pools decide which jobs they take. Without it they take all.
func WithAdmission[P admit.Policy](policy P) Option {
	return func(r *run) {
		for i := range r.gates {
			r.gates[i] = admit.New(policy)
		}
	}
}

// returning is a refused job whose caller comes back.
type returning struct {
	at  time.Duration
	job *job
}

// offer submits a job. A refused one comes back when its caller was told to, unless it is of no use then.
func (r *run) offer(j *job, at time.Duration) {
	k := &r.fleet.Kinds[j.kind]
	length := time.Duration(j.left) * k.Duration
	work := milli(j.cores * length.Seconds())
	d := r.gates[j.kind].Submit(r.observe(j.kind, j, at), &admit.Job{
		ID: fmt.Sprint(j.outcome), Class: admit.Class{Size: admit.SizeOf(work)}, Work: work, Path: length,
		Target: j.objective - j.arrived,
	}, epoch.Add(at))
	if at == j.arrived {
		// The pool needs hosts for what it refuses all the same.
		r.pools[j.kind].meter.Add(work, epoch.Add(at))
	}
	outcome := &r.outcomes[j.outcome]
	if !d.Admitted {
		outcome.Refused++
		if back := at + d.RetryAfter; back+length <= j.useful {
			r.returning = append(r.returning, returning{back, j})
		}
		return
	}
	outcome.Taken = true
	p := r.pools[j.kind]
	p.queue = append(p.queue, j)
}

// submitAgain submits the refused jobs whose callers come back.
func (r *run) submitAgain(at time.Duration) {
	due := slices.Clone(r.returning)
	r.returning = slices.DeleteFunc(r.returning, func(b returning) bool { return b.at <= at })
	for _, b := range due {
		if b.at <= at {
			r.offer(b.job, at)
		}
	}
}

// observe returns the load of a pool as a job arrives, or as nothing does.
func (r *run) observe(i int, arriving *job, at time.Duration) admit.Pool {
	p, k := r.pools[i], &r.fleet.Kinds[i]
	o := admit.Pool{Capacity: milli(float64(r.hosts(k.Pool)) * hostCores)}
	for id := range r.arriving {
		if r.machines[id].Pool == k.Pool {
			o.Coming += milli(hostCores)
		}
	}
	for _, j := range p.queue {
		work := milli(j.waiting * k.Duration.Seconds())
		switch {
		case r.isLate(j, at):
			o.Late += work
			continue
		case arriving != nil && j.waiting*float64(j.left) <= arriving.waiting*float64(arriving.left):
			o.Ahead += work
		}
		o.Waiting += work
	}
	return o
}

// milli returns thousandths.
func milli(cores float64) int64 { return int64(cores * 1000) }
