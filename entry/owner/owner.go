// Package owner is the task that owns a pool: it takes jobs in, writes their progress
// to the platform's store, and gives orders to the pool's hosts. The decisions are
// made by package shard.
package owner

import (
	"context"
	"log/slog"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/task"
)

// Outcome is what an owner says to a request of a caller.
type Outcome string

// The outcomes.
const (
	// Accepted says that the store has what the caller asked for.
	Accepted Outcome = "accepted"
	// Refused says that nothing was done and nothing will be.
	Refused Outcome = "refused"
	// Unknown says that the request may have been carried out or may yet be.
	Unknown Outcome = "unknown"
	// Missing says that there is no such job.
	Missing Outcome = "missing"
	// Found goes with an answer to a question.
	Found Outcome = "found"
)

// Answer is an owner's answer.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Phase is the job's phase, and Begun says that some of it has started.
	Phase   shard.Phase `cbor:"2,keyasint,omitempty"`
	Started bool        `cbor:"3,keyasint,omitempty"`
	// Pending is the number of jobs of a queue of which nothing has started.
	Pending int `cbor:"4,keyasint,omitempty"`
	// RetryAfter is when a refused caller should come again.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Reason is the reason, for logs.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Vacant says that nothing runs on a host and nothing will be started there.
	Vacant bool `cbor:"7,keyasint,omitempty"`
	// StoreUnavailable goes with a refusal: the owner cannot reach the store, others may.
	StoreUnavailable bool `cbor:"9,keyasint,omitempty"`
	// Load is set in an answer to a question for it.
	Load *sizing.Load `cbor:"8,keyasint,omitempty"`
}

// Starter reads what earlier owners have kept and returns how to start the owner of
// a pool.
func Starter(s Settings, d Deps) duties.Starter {
	return func(ctx context.Context, won *claim.Claim) (duties.Begin, error) {
		kept, err := ReadState(ctx, won)
		return func(config *port.Config, hosts []port.Host) duties.Holder {
			return Start(s, d, won, kept, config, hosts)
		}, err
	}
}

// Settings are what an owner is told at the start.
type Settings struct {
	// Parts is the number of partitions of a topic.
	Parts  int
	Timing shard.Timing
	// RenewWait is how long a host may wait for an end before it answers.
	RenewWait time.Duration
}

// Deps are the services that an owner uses.
type Deps struct {
	Log      port.Log
	Workers  port.HostClients
	Machines port.MachineService
	// Adviser is nil where there is no policy service.
	Adviser port.Adviser
	Logger  *slog.Logger
	// Stats may be nil.
	Stats *stats.Set
}

// Owner owns one pool. Use [Start] to build it.
type Owner struct {
	pool string
	task *task.Task[message]
	// lost is closed when a newer owner has been seen.
	lost chan struct{}
}

type message interface{ handle(c *core) }

type (
	submit struct {
		queue port.Queue
		id    string
		spec  batch.Spec
		reply chan<- Answer
	}
	look struct {
		id    string
		reply chan<- Answer
	}
	cancelJob struct {
		id    string
		reply chan<- Answer
	}
	pending struct {
		queue string
		reply chan<- Answer
	}
	loadOf struct{ reply chan<- Answer }
	vacate struct {
		host  string
		reply chan<- Answer
	}
	configured struct{ config *port.Config }
	listed     struct{ changes []feed.Change[port.Host] }
)

// Start builds the owner of a pool from a claim that was won and from what earlier
// owners have kept. The hosts and the configuration are those known now.
func Start(s Settings, d Deps, won *claim.Claim, kept *StoredState, config *port.Config, hosts []port.Host) *Owner {
	o := &Owner{pool: won.Name, lost: make(chan struct{})}
	c := newCore(o, s, d, won)
	c.restore(kept, config, hosts)
	o.task = task.Start(c.run, task.WithInbox(ownerInbox))
	return o
}

// ownerInbox is the number of messages that wait for an owner.
const ownerInbox = 2048

// Lost is closed when a newer owner has shut this one out.
func (o *Owner) Lost() <-chan struct{} { return o.lost }

// Submit hands a job in and waits until the store has it.
func (o *Owner) Submit(ctx context.Context, q port.Queue, id string, spec batch.Spec) Answer {
	return o.call(ctx, Unknown, func(reply chan<- Answer) message { return submit{q, id, spec, reply} })
}

// JobStatus asks for a job's phase.
func (o *Owner) JobStatus(ctx context.Context, id string) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return look{id, reply} })
}

// Cancel cancels a job and waits until the store knows.
func (o *Owner) Cancel(ctx context.Context, id string) Answer {
	return o.call(ctx, Unknown, func(reply chan<- Answer) message { return cancelJob{id, reply} })
}

// Pending counts the jobs of a queue of which nothing has started.
func (o *Owner) Pending(ctx context.Context, queue string) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return pending{queue, reply} })
}

// Load asks what the pool has to do.
func (o *Owner) Load(ctx context.Context) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return loadOf{reply} })
}

// Vacate asks that a host be emptied. It has to be asked again until the answer says
// that the host is vacant, and lapses when it is not.
func (o *Owner) Vacate(ctx context.Context, host string) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return vacate{host, reply} })
}

// Configure puts a configuration in force.
func (o *Owner) Configure(ctx context.Context, c *port.Config) error {
	return o.task.Send(ctx, configured{c})
}

// UpdateHosts hands in changes of the platform's list of hosts.
func (o *Owner) UpdateHosts(ctx context.Context, changes []feed.Change[port.Host]) error {
	return o.task.Send(ctx, listed{changes})
}

// Close stops the owner, after what it has decided is written as far as the store
// answers soon.
func (o *Owner) Close() { o.task.Close() }

// call asks the task; an owner that stops leaves the outcome that is given.
func (o *Owner) call(ctx context.Context, otherwise Outcome, build func(chan<- Answer) message) Answer {
	a, err := task.Call(ctx, o.task, build)
	if err != nil {
		return Answer{Outcome: otherwise, Reason: err.Error()}
	}
	return a
}
