// Package intake takes requests of callers about jobs to the owner of the pool,
// wherever it is.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

const (
	// ownerPatience is how long a submission looks for the pool's owner before it
	// is left in the inbox.
	submitTimeout = 300 * time.Millisecond
	// lookPatience is how long other requests look for it.
	queryTimeout = 2 * time.Second
	// retryPause is the time between looks for the owner.
	retryInterval = 60 * time.Millisecond
	// inboxTimeout bounds the writing to the inbox.
	inboxTimeout = 900 * time.Millisecond
	// storeFresh is how old the store's last answer may be that shows it to be there:
	// a heartbeat's interval and little more, about as long as an owner takes to
	// notice that it is away.
	storeFreshness = 450 * time.Millisecond
	// noOwnerRetry is what callers are told while a pool has no owner, and while this
	// entry is cut off; other entries may do better.
	noOwnerRetry = time.Second
)

// LocalHolders finds what is owned here.
type LocalHolders interface {
	// Holder returns the holder of a pool, or nil when it does not run here.
	Holder(name string) duties.Holder
}

// ViewSource knows the entries and what they own.
type ViewSource interface{ View() *roster.View }

// PeerClient asks other entries. Errors that are [peers.ErrUnsent] say that nothing was
// asked.
type PeerClient interface {
	Ask(ctx context.Context, address string, a peers.Ask) (owner.Answer, error)
}

// Intake finds the owners of pools and asks them.
type Intake struct {
	Local  LocalHolders
	Roster ViewSource
	Peers  PeerClient
	Log    port.Log
	Logger *slog.Logger
	// Partitions is the number of partitions of a topic of the store.
	Partitions int

	// missed is when an owner could last not be reached, in nanoseconds since 1970.
	ownerUnreachableAt atomic.Int64
}

// reach is how far a question got.
type delivery uint8

const (
	// unsent questions have reached no owner.
	notDelivered delivery = iota
	// sent questions may have reached one.
	maybeDelivered
	// answered questions have an owner's answer.
	answered
)

// NotOwner says that the entry that was asked does not own the pool.
const NotOwner owner.Outcome = "elsewhere"

// Serve answers a question of another entry from an owner that runs here.
func (n *Intake) Serve(ctx context.Context, a peers.Ask) owner.Answer {
	o, ok := n.Local.Holder(a.Pool).(*owner.Owner)
	if !ok {
		return owner.Answer{Outcome: NotOwner}
	}
	switch a.Verb {
	case peers.VerbSubmit:
		if a.Spec == nil {
			return owner.Answer{Outcome: owner.Refused, Reason: "no specification"}
		}
		return o.Submit(ctx, a.Queue, a.Subject, *a.Spec)
	case peers.VerbLook:
		return o.JobStatus(ctx, a.Subject)
	case peers.VerbCancel:
		return o.Cancel(ctx, a.Subject)
	case peers.VerbPending:
		return o.Pending(ctx, a.Queue.Name)
	case peers.VerbVacate:
		return o.Vacate(ctx, a.Subject)
	case peers.VerbLoad:
		return o.Load(ctx)
	}
	return owner.Answer{Outcome: owner.Refused, Reason: "verb not known"}
}

// Ask asks the owner of a pool once. It reports false when no owner could be asked;
// the question may have reached one all the same.
func (n *Intake) Ask(ctx context.Context, a peers.Ask) (owner.Answer, bool) {
	out, delivered := n.askOnce(ctx, a)
	return out, delivered == answered
}

// try asks the owner of a pool once.
func (n *Intake) askOnce(ctx context.Context, a peers.Ask) (owner.Answer, delivery) {
	if n.Local.Holder(a.Pool) != nil {
		out := n.Serve(ctx, a)
		return out, deliveryOf(out)
	}
	o, ok := n.Roster.View().Owners[a.Pool]
	if !ok {
		return owner.Answer{}, notDelivered
	}
	out, err := n.Peers.Ask(ctx, o.Address, a)
	if err != nil {
		n.ownerUnreachableAt.Store(time.Now().UnixNano())
		n.Logger.Debug("owner not reached", "pool", a.Pool, "owner", o.Name, "err", err)
		if errors.Is(err, peers.ErrUnsent) {
			return owner.Answer{}, notDelivered
		}
		return owner.Answer{}, maybeDelivered
	}
	return out, deliveryOf(out)
}

func deliveryOf(a owner.Answer) delivery {
	switch a.Outcome {
	case NotOwner:
		return notDelivered
	case owner.Unknown:
		return maybeDelivered
	}
	return answered
}

// Isolated reports whether this entry reaches neither the store nor the owner of a pool
// that it was asked for, so that callers are better served by others.
func (n *Intake) Isolated() bool {
	lost := n.Roster.View().Lost
	return !lost.IsZero() && n.ownerUnreachableAt.Load() > lost.UnixNano()
}

// Submit hands a job in.
func (n *Intake) Submit(ctx context.Context, q port.Queue, id string, spec batch.Spec) owner.Answer {
	ask := peers.Ask{Pool: q.Pool, Verb: peers.VerbSubmit, Subject: id, Queue: q, Spec: &spec}
	deadline := time.Now().Add(submitTimeout)
	// clean says that no owner can have seen the job.
	unseen := true
	for {
		a, delivered := n.askOnce(ctx, ask)
		if delivered == answered && a.StoreUnavailable && n.storeReachable() {
			return n.submitToInbox(ctx, q, id, spec, unseen)
		}
		if delivered == answered {
			return a
		}
		unseen = unseen && delivered == notDelivered
		switch {
		case unseen && !n.Roster.View().Lost.IsZero():
			return refuse("neither the owner nor the store can be reached")
		case ctx.Err() != nil && unseen:
			return refuse("the pool's owner could not be asked in time")
		case ctx.Err() != nil:
			return owner.Answer{Outcome: owner.Unknown, Reason: "no answer in time"}
		case time.Now().After(deadline):
			return n.submitToInbox(ctx, q, id, spec, unseen)
		}
		sleep(ctx, retryInterval)
	}
}

// reachesStore reports whether the store has answered this entry so lately that an
// owner's loss of it is the owner's alone.
func (n *Intake) storeReachable() bool {
	v := n.Roster.View()
	return v.Lost.IsZero() && time.Since(v.At) < storeFreshness
}

// refuse says that nothing was done and nothing will be.
func refuse(reason string) owner.Answer {
	return owner.Answer{Outcome: owner.Refused, RetryAfter: noOwnerRetry, Reason: reason}
}

// leave puts a submission into the pool's inbox, from where its owner takes it. It is
// clean if no owner can have seen it.
func (n *Intake) submitToInbox(ctx context.Context, q port.Queue, id string, spec batch.Spec, unseen bool) owner.Answer {
	ctx, cancel := context.WithTimeout(ctx, inboxTimeout)
	defer cancel()
	value, err := codec.EncodeFrame(spec)
	if err != nil {
		return owner.Answer{Outcome: owner.Refused, Reason: err.Error()}
	}
	record := port.Record{Key: q.Pool + "/" + id, Value: value}
	_, err = n.Log.Append(ctx, owner.InboxStream(q.Pool, n.Partitions), []port.Record{record}, nil, -1)
	if err == nil {
		n.Logger.Info("job left in the inbox", "job", id, "pool", q.Pool)
		return owner.Answer{Outcome: owner.Accepted}
	}
	n.Logger.Warn("job not left in the inbox", "job", id, "pool", q.Pool, "err", err)
	if unseen && (errors.Is(err, port.ErrBusy) || errors.Is(err, port.ErrFull)) {
		return refuse("the owner cannot be reached and the store takes nothing")
	}
	// The owner or the store may yet act on it, so "not run" would be a guess.
	return owner.Answer{Outcome: owner.Unknown, Reason: "neither the owner nor the store could be reached"}
}

// JobStatus asks for a job's phase.
func (n *Intake) JobStatus(ctx context.Context, q port.Queue, id string) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbLook, Subject: id, Queue: q})
}

// Cancel cancels a job.
func (n *Intake) Cancel(ctx context.Context, q port.Queue, id string) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbCancel, Subject: id, Queue: q})
}

// Pending counts the jobs of a queue of which nothing has started.
func (n *Intake) Pending(ctx context.Context, q port.Queue) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbPending, Queue: q})
}

// patient asks until an owner answers or its patience ends.
func (n *Intake) askUntilAnswered(ctx context.Context, ask peers.Ask) owner.Answer {
	deadline := time.Now().Add(queryTimeout)
	for {
		if a, delivered := n.askOnce(ctx, ask); delivered == answered {
			return a
		}
		if ctx.Err() != nil || time.Now().After(deadline) || n.Isolated() {
			return refuse("the pool's owner could not be asked")
		}
		sleep(ctx, retryInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
