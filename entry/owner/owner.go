// Package owner runs the task that owns a pool. The task accepts jobs, stores their progress in
// the platform's store and sends orders to the pool's hosts. Package shard makes the decisions.
package owner

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/task"
)

// Outcome is the result of a request to an owner.
type Outcome string

// The outcomes.
const (
	// Accepted means that the store holds what the caller asked for.
	Accepted Outcome = "accepted"
	// Refused means that the request was not carried out and will not be.
	Refused Outcome = "refused"
	// Unknown means that the request may have been carried out or may still be.
	Unknown Outcome = "unknown"
	// Missing means that the job or host of the request does not exist.
	Missing Outcome = "missing"
	// Conflict means that the request was not carried out and will not be, since its ID is in use by another tenant.
	Conflict Outcome = "conflict"
	// Found means that the answer contains what was asked for.
	Found Outcome = "found"
)

// Answer is an owner's answer to a request.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Phase is the job's phase. Started reports whether some work of the job has started.
	Phase   shard.Phase `cbor:"2,keyasint,omitempty"`
	Started bool        `cbor:"3,keyasint,omitempty"`
	// Pending is the number of jobs of a queue that have not started.
	Pending int `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which a refused caller should try again.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Reason explains the outcome, for logs and for callers.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Vacant reports whether a host runs nothing and will be given nothing.
	Vacant bool `cbor:"7,keyasint,omitempty"`
	// StoreUnavailable reports whether a submission was refused because this owner cannot reach the
	// store. Other entries may reach it.
	StoreUnavailable bool `cbor:"9,keyasint,omitempty"`
	// Load is the pool's load. It is set in answers to load requests only.
	Load *sizing.Load `cbor:"8,keyasint,omitempty"`
	// Epoch is the epoch of the owner that gave the answer, and Entry the name of its entry, or
	// [LocalEntry]. The epoch is 0 if the answer is not from an owner.
	Epoch int64  `cbor:"10,keyasint,omitempty"`
	Entry string `cbor:"-"`
	// InboxAge is how long before the answer the owner requested its newest reading of the inbox. It is
	// set if the answer rests on what the inbox holds.
	InboxAge time.Duration `cbor:"11,keyasint,omitempty"`
	// QueueClosed reports that the pool will accept no job of the queue, as the owner of the queue's new pool
	// has asked. It is set in answers to that owner only.
	QueueClosed bool `cbor:"12,keyasint,omitempty"`
	// QueueEmpty reports that the pool holds no job of the queue.
	QueueEmpty bool `cbor:"13,keyasint,omitempty"`
	// Tenant is the tenant of the job, in answers to the owners of other pools.
	Tenant string `cbor:"14,keyasint,omitempty"`
	// Budgets is the use of the tenants with a limit. It is set in answers to requests about budgets only.
	Budgets []caps.Use `cbor:"20,keyasint,omitempty"`
}

// LocalEntry stands for the entry that logs an answer.
const LocalEntry = "local"

// Starter returns a function that reads the stored state of a pool and prepares the start of
// its owner.
func Starter(s Settings, d Deps) duties.PrepareFunc {
	return func(ctx context.Context, acquired *claim.Claim) (duties.StartFunc, error) {
		stored, err := ReadState(ctx, acquired)
		return func(config *port.Config, hosts []port.Host) duties.Holder {
			return Start(s, d, acquired, stored, config, hosts)
		}, err
	}
}

// Preloader returns a function that reads the stored state of a pool before its claim is acquired. What is written
// until then is read under the claim.
func Preloader(s Settings, d Deps) duties.PreloadFunc {
	return func(ctx context.Context, pool string) (duties.PrepareFunc, error) {
		start := time.Now()
		reader, stored := claim.NewStateReader(d.Log, pool, s.Partitions), newStoredState()
		take := stored.taker(pool)
		if err := reader.Load(ctx, take, stateSplits); err != nil {
			return nil, err
		}
		// Little is left to be read under the claim, while nobody serves the pool.
		if err := reader.Follow(ctx, take); err != nil {
			return nil, err
		}
		d.Logger.Info("state of the pool read before it is claimed", "pool", pool, "took-ms", time.Since(start).Milliseconds(),
			"pages", reader.Cost.Pages, "records", reader.Cost.Records, "bytes", reader.Cost.Bytes)
		return func(ctx context.Context, acquired *claim.Claim) (duties.StartFunc, error) {
			err := reader.Follow(ctx, take)
			if errors.Is(err, claim.ErrNotKept) {
				stored, err = ReadState(ctx, acquired)
			} else {
				stored.finish(pool)
			}
			return func(config *port.Config, hosts []port.Host) duties.Holder {
				return Start(s, d, acquired, stored, config, hosts)
			}, err
		}, nil
	}
}

// Settings configure an owner.
type Settings struct {
	// Partitions is the number of partitions of each topic of the store.
	Partitions int
	// MaxRecordBytes and MaxRequestBytes are the store's limits on a record and on all records of
	// one append. 0 means no limit.
	MaxRecordBytes, MaxRequestBytes int
	Timing                          shard.Timing
	// HeartbeatWait is how long a host may delay its answer to a heartbeat while it waits for a
	// run to end.
	HeartbeatWait time.Duration
}

// Deps are the services that an owner uses.
type Deps struct {
	Log port.Log
	// HostClients opens the connections to hosts.
	HostClients port.HostClients
	Machines    port.MachineService
	// Adviser is nil if there is no policy service.
	Adviser port.Adviser
	// Places and OtherPools are nil if queues keep their pools.
	Places     PlaceRegistry
	OtherPools OtherPools
	Logger     *slog.Logger
	// Stats may be nil.
	Stats *stats.Set
}

// Owner owns one pool. Use [Start] to build it.
type Owner struct {
	pool string
	task *task.Task[queued]
	// lost is closed when a newer owner has been seen.
	lost chan struct{}
}

type message interface{ handle(c *core) }

type (
	submitJob struct {
		queue port.Queue
		id    string
		spec  batch.Spec
		reply chan<- Answer
	}
	jobStatus struct {
		scope
		id    string
		reply chan<- Answer
	}
	cancelJob struct {
		scope
		id    string
		reply chan<- Answer
	}
	pendingCount struct {
		scope
		reply chan<- Answer
	}
	poolLoad   struct{ reply chan<- Answer }
	vacateHost struct {
		host  string
		order shard.LeaveOrder
		reply chan<- Answer
	}
	releaseHosts struct {
		hosts []string
		order shard.LeaveOrder
		reply chan<- Answer
	}
	// leave has the owner empty no more hosts.
	leave        struct{}
	configChange struct{ config *port.Config }
	hostChanges  struct{ changes []feed.Change[port.Host] }
)

// Start starts the owner of a pool under an acquired claim, from the state that earlier owners
// have stored and the current hosts. The configuration may be nil.
func Start(s Settings, d Deps, acquired *claim.Claim, stored *StoredState, config *port.Config, hosts []port.Host) *Owner {
	o := &Owner{pool: acquired.Name, lost: make(chan struct{})}
	c := newCore(o, s, d, acquired)
	c.restore(stored, config, hosts)
	task.StartInto(&o.task, c.run, task.WithInbox(inboxSize))
	return o
}

// inboxSize is the maximum number of messages that wait for an owner.
const inboxSize = 2048

// Lost returns a channel that is closed when a newer owner has replaced this one.
func (o *Owner) Lost() <-chan struct{} { return o.lost }

// Submit submits a job and waits until the store has it. An invalid job is refused: entries check jobs
// before they send them, but a message may be damaged or come from another version.
func (o *Owner) Submit(ctx context.Context, q port.Queue, id string, spec batch.Spec) Answer {
	if err := spec.Check(); err != nil {
		return Answer{Outcome: Refused, Reason: "the job is invalid: " + err.Error()}
	}
	return o.call(ctx, Unknown, func(reply chan<- Answer) message { return submitJob{q, id, spec, reply} })
}

// scope says about which queue a request is, and for whom.
type scope struct {
	// queue is empty if it is unknown. If it is of another pool, that pool's owner asks.
	queue port.Queue
	// tenant is the tenant of the caller. Jobs of others do not exist for the caller.
	tenant string
}

// RequestOption configures a request about a job or a queue.
type RequestOption func(*scope)

// OfQueue says of which queue the request is. If the queue has had other pools, their owners are asked for a job that
// this owner does not know. If the queue is of another pool, that pool's owner asks: this pool accepts no further job
// of the queue then.
func OfQueue(q port.Queue) RequestOption { return func(s *scope) { s.queue = q } }

// OfTenant says for which tenant the request is.
func OfTenant(name string) RequestOption { return func(s *scope) { s.tenant = name } }

func newScope(opts []RequestOption) scope {
	var s scope
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// JobStatus returns the phase of a job.
func (o *Owner) JobStatus(ctx context.Context, id string, opts ...RequestOption) Answer {
	s := newScope(opts)
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return jobStatus{s, id, reply} })
}

// Cancel cancels a job and waits until the store has the cancellation.
func (o *Owner) Cancel(ctx context.Context, id string, opts ...RequestOption) Answer {
	s := newScope(opts)
	return o.call(ctx, Unknown, func(reply chan<- Answer) message { return cancelJob{s, id, reply} })
}

// Pending returns the number of jobs of a queue that have not started.
func (o *Owner) Pending(ctx context.Context, queue string, opts ...RequestOption) Answer {
	s := newScope(opts)
	s.queue.Name = queue
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return pendingCount{s, reply} })
}

// Load returns the load of the pool.
func (o *Owner) Load(ctx context.Context) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return poolLoad{reply} })
}

// Vacate asks for a host to be emptied. The request expires, so the caller has to repeat it
// until the answer reports the host as vacant.
func (o *Owner) Vacate(ctx context.Context, host string, order shard.LeaveOrder) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return vacateHost{host, order, reply} })
}

// Release has hosts take work again that the same order has had emptied, except those that were called empty. It also ends
// what earlier holders of the machines have asked for, whatever the hosts.
func (o *Owner) Release(ctx context.Context, hosts []string, order shard.LeaveOrder) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return releaseHosts{hosts, order, reply} })
}

// Leave has the owner empty no more hosts, since another entry is about to own the pool.
func (o *Owner) Leave(ctx context.Context) error {
	return o.task.Send(ctx, queued{leave{}, time.Now()})
}

// Configure applies a configuration.
func (o *Owner) Configure(ctx context.Context, c *port.Config) error {
	return o.task.Send(ctx, queued{configChange{c}, time.Now()})
}

// UpdateHosts applies changes of the platform's list of hosts.
func (o *Owner) UpdateHosts(ctx context.Context, changes []feed.Change[port.Host]) error {
	return o.task.Send(ctx, queued{hostChanges{changes}, time.Now()})
}

// Close stops the owner and waits until it has stopped. An append in flight is abandoned, so
// its changes may or may not be stored.
func (o *Owner) Close() { o.task.Close() }

// noAnswerRetryAfter is the retry time that callers get if the owner has stopped or did not answer in time.
const noAnswerRetryAfter = time.Second

// call sends a request to the task and waits for the answer. If there is none, because the
// owner stops or the caller's time runs out, the outcome is onFailure.
func (o *Owner) call(ctx context.Context, onFailure Outcome, build func(chan<- Answer) message) Answer {
	a, err := task.Call(ctx, o.task, func(reply chan<- Answer) queued { return queued{build(reply), time.Now()} })
	if err != nil {
		return Answer{Outcome: onFailure, RetryAfter: noAnswerRetryAfter, Reason: err.Error()}
	}
	return a
}
