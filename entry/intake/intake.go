// Package intake forwards requests about jobs to the owner of the pool, which runs in this entry or
// in another one. If no owner can be reached, it writes submissions to the inbox of the pool in the
// store.
package intake

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/drain"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

const (
	// submitTimeout limits the time that a submission tries to reach the owner of the pool
	// before it is written to the inbox.
	submitTimeout = 300 * time.Millisecond
	// queryTimeout limits the time that other requests try to reach the owner.
	queryTimeout = 2 * time.Second
	// retryInterval is the time between attempts to reach the owner. refreshTimeout limits the wait for a
	// new view before the next attempt.
	retryInterval  = 60 * time.Millisecond
	refreshTimeout = 100 * time.Millisecond
	// storeFreshness is the maximum age of the last answer of the store for the store to count
	// as reachable. It is about the time that an owner needs to detect that the store is unavailable.
	storeFreshness = 450 * time.Millisecond
	// noOwnerRetryAfter is the retry time that callers get while a pool has no owner or this entry is
	// isolated. Another entry may be able to serve the retry.
	noOwnerRetryAfter = time.Second
)

// LocalHolders finds the holders that run in this entry.
type LocalHolders interface {
	// Holder returns the holder of a pool, or nil if it does not run in this entry.
	Holder(name string) duties.Holder
}

// ViewSource returns the view of the entries and the pools that they own.
type ViewSource interface {
	// View returns the newest view.
	View() *roster.View
	// Refresh returns a view that has just been read, or the newest one when ctx ends.
	Refresh(ctx context.Context) *roster.View
}

// PeerClient sends requests to other entries. The error [peers.ErrUnsent] means that the request was
// not sent.
type PeerClient interface {
	Ask(ctx context.Context, address string, r peers.Request) (owner.Answer, error)
}

// Intake finds the owner of a pool and forwards requests to it.
type Intake struct {
	Local  LocalHolders
	Roster ViewSource
	Peers  PeerClient
	Log    port.Log
	Logger *slog.Logger
	// Partitions is the number of partitions of each topic of the store.
	Partitions int
	// MaxRecordBytes is the store's limit on a record. 0 means no limit.
	MaxRecordBytes int

	// Inbox writes submissions to the inboxes of pools, several at a time. If it is nil, each is written by itself.
	Inbox *InboxWriter
	// ownerUnreachableAt is the time of the last failed attempt to reach an owner, in
	// nanoseconds since 1970.
	ownerUnreachableAt atomic.Int64
}

// delivery tells whether a request reached an owner.
type delivery uint8

const (
	// notDelivered means that the request reached no owner.
	notDelivered delivery = iota
	// maybeDelivered means that the request may have reached an owner.
	maybeDelivered
	// answered means that an owner has answered the request.
	answered
)

// NotOwner is the outcome if the entry that received the request does not own the pool.
const NotOwner owner.Outcome = "elsewhere"

// Serve passes a request to the owner of the pool in this entry, if it runs here. It also handles
// the requests of other entries.
func (n *Intake) Serve(ctx context.Context, r peers.Request) owner.Answer {
	o, ok := n.Local.Holder(r.Pool).(*owner.Owner)
	if !ok {
		return owner.Answer{Outcome: NotOwner}
	}
	switch r.Verb {
	case peers.VerbSubmit:
		if r.Spec == nil {
			return owner.Answer{Outcome: owner.Refused, Reason: "the submission has no job specification"}
		}
		return o.Submit(ctx, r.Queue, r.Subject, *r.Spec)
	case peers.VerbJobStatus:
		return o.JobStatus(ctx, r.Subject, owner.OfQueue(r.Queue), owner.OfTenant(r.Tenant))
	case peers.VerbCancel:
		return o.Cancel(ctx, r.Subject, owner.OfQueue(r.Queue), owner.OfTenant(r.Tenant))
	case peers.VerbPending:
		return o.Pending(ctx, r.Queue.Name, owner.OfQueue(r.Queue))
	case peers.VerbVacate:
		return o.Vacate(ctx, r.Subject, r.LeaveOrder())
	case peers.VerbRelease:
		return o.Release(ctx, r.Hosts, r.LeaveOrder())
	case peers.VerbLoad:
		return o.Load(ctx)
	case peers.VerbBudgets:
		return o.Budgets(ctx, r.Budgets, r.AllTenants)
	}
	return owner.Answer{Outcome: owner.Refused, Reason: "unknown verb in a request to a pool owner"}
}

// Ask sends a request to the owner of a pool once. It returns false if no owner has answered; the
// request may still have reached an owner.
func (n *Intake) Ask(ctx context.Context, r peers.Request) (owner.Answer, bool) {
	a, delivered := n.askOnce(ctx, r)
	return a, delivered == answered
}

// askOnce sends a request to the owner of a pool once.
func (n *Intake) askOnce(ctx context.Context, r peers.Request) (owner.Answer, delivery) {
	if n.Local.Holder(r.Pool) != nil {
		drain.Waiting(ctx, drain.Owner, drain.LocalOwner)
		a := n.Serve(ctx, r)
		a.Entry = owner.LocalEntry
		return a, deliveryOf(a)
	}
	o, ok := n.Roster.View().Owners[r.Pool]
	if !ok {
		drain.Waiting(ctx, drain.View, "")
		return owner.Answer{}, notDelivered
	}
	drain.Waiting(ctx, drain.Owner, o.Name)
	a, err := n.Peers.Ask(ctx, o.Address, r)
	if err != nil {
		n.ownerUnreachableAt.Store(time.Now().UnixNano())
		n.Logger.Debug("owner of the pool not reached", "pool", r.Pool, "owner", o.Name, "err", err)
		if errors.Is(err, peers.ErrUnsent) {
			return owner.Answer{}, notDelivered
		}
		return owner.Answer{}, maybeDelivered
	}
	a.Entry = o.Name
	return a, deliveryOf(a)
}

// deliveryOf derives from an answer how far the request got.
func deliveryOf(a owner.Answer) delivery {
	switch a.Outcome {
	case NotOwner:
		return notDelivered
	case owner.Unknown:
		return maybeDelivered
	}
	return answered
}

// Isolated reports whether this entry reaches neither the store nor the owner of a pool that it has
// a request for. Callers should then use another entry.
func (n *Intake) Isolated() bool {
	lost := n.Roster.View().StoreLostSince
	return !lost.IsZero() && n.ownerUnreachableAt.Load() > lost.UnixNano()
}

// StoreLostFor returns for how long the store has been lost to this entry; 0 if it is not lost.
func (n *Intake) StoreLostFor(now time.Time) time.Duration {
	lost := n.Roster.View().StoreLostSince
	if lost.IsZero() {
		return 0
	}
	return now.Sub(lost)
}

// Submit submits a job to the owner of the queue's pool, or to the pool's inbox if no owner can be
// reached or the owner cannot reach the store.
func (n *Intake) Submit(ctx context.Context, q port.Queue, id string, spec batch.Spec) owner.Answer {
	r := peers.Request{Pool: q.Pool, Verb: peers.VerbSubmit, Subject: id, Queue: q, Spec: &spec}
	deadline := time.Now().Add(submitTimeout)
	// unseen is true as long as no owner can have received the submission.
	unseen := true
	for {
		a, delivered := n.askOnce(ctx, r)
		if delivered == answered && a.StoreUnavailable && n.storeReachable(ctx) {
			return n.submitToInbox(ctx, q, id, spec, unseen)
		}
		if delivered == answered {
			return afterEarlier(a, unseen)
		}
		unseen = unseen && delivered == notDelivered
		switch {
		case unseen && !n.Roster.View().StoreLostSince.IsZero():
			return refuse("neither the owner of the pool nor the store can be reached")
		case ctx.Err() != nil && unseen:
			return refuse("the owner of the pool could not be reached in time")
		case ctx.Err() != nil:
			return owner.Answer{Outcome: owner.Unknown, Reason: "the owner of the pool did not answer in time"}
		case time.Now().After(deadline):
			return n.submitToInbox(ctx, q, id, spec, unseen)
		}
		sleep(ctx, retryInterval)
		n.refresh(ctx)
	}
}

// afterEarlier returns the answer to a request of which earlier copies have been sent. A refusal says
// nothing about a copy that an owner may have received or may still receive; unseen is true if there is
// none.
func afterEarlier(a owner.Answer, unseen bool) owner.Answer {
	if unseen || a.Outcome != owner.Refused {
		return a
	}
	return owner.Answer{Outcome: owner.Unknown, Reason: "an earlier copy of the request may take effect; the last one was refused: " + a.Reason}
}

// storeReachable reports whether the store has answered this entry recently. If an owner cannot
// reach the store at the same time, only that owner is affected.
func (n *Intake) storeReachable(ctx context.Context) bool {
	v := n.Roster.View()
	if time.Since(v.AsOf) >= storeFreshness {
		v = n.refresh(ctx)
	}
	return v.StoreLostSince.IsZero() && time.Since(v.AsOf) < storeFreshness
}

// refresh returns a new view, unless the store takes long to answer.
func (n *Intake) refresh(ctx context.Context) *roster.View {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return n.Roster.Refresh(ctx)
}

// refuse returns a refusal that tells the caller when to try again.
func refuse(reason string) owner.Answer {
	return owner.Answer{Outcome: owner.Refused, RetryAfter: noOwnerRetryAfter, Reason: reason}
}

// submitToInbox writes a submission to the inbox of the pool, which the owner of the pool reads.
// unseen is true if no owner can have received the submission.
func (n *Intake) submitToInbox(ctx context.Context, q port.Queue, id string, spec batch.Spec, unseen bool) owner.Answer {
	drain.Waiting(ctx, drain.Inbox, "")
	ctx, cancel := context.WithTimeout(ctx, inboxWait)
	defer cancel()
	value, err := codec.EncodeFrame(spec)
	if err != nil {
		return owner.Answer{Outcome: owner.Refused, Reason: err.Error()}
	}
	record := port.Record{Key: q.Pool + "/" + id, Value: value}
	if n.MaxRecordBytes > 0 && record.StoredBytes() > n.MaxRecordBytes {
		// No owner can store the job either.
		return owner.Answer{Outcome: owner.Refused, Reason: fmt.Sprintf(
			"the job takes %d bytes in the store, at most %d are allowed", record.StoredBytes(), n.MaxRecordBytes)}
	}
	if err = n.appendToInbox(ctx, owner.InboxStream(q.Pool, n.Partitions), record); err == nil {
		n.Logger.Info("job left in the inbox", "job", id, "pool", q.Pool)
		return owner.Answer{Outcome: owner.Accepted}
	}
	n.Logger.Warn("writing a job to the inbox failed; the submission is refused or its outcome is unknown", "job", id, "pool", q.Pool, "err", err)
	if unseen && (errors.Is(err, port.ErrBusy) || errors.Is(err, port.ErrFull)) {
		return refuse("the owner of the pool cannot be reached and the store is busy or full")
	}
	// The owner or the store may still act on the submission, so it cannot be refused as not
	// run.
	return owner.Answer{Outcome: owner.Unknown, Reason: "the owner of the pool could not be reached and writing to the inbox failed"}
}

// JobStatus returns the phase of a job of a tenant.
func (n *Intake) JobStatus(ctx context.Context, q port.Queue, id, tenant string) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Request{Pool: q.Pool, Verb: peers.VerbJobStatus, Subject: id, Queue: q, Tenant: tenant})
}

// Cancel cancels a job of a tenant.
func (n *Intake) Cancel(ctx context.Context, q port.Queue, id, tenant string) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Request{Pool: q.Pool, Verb: peers.VerbCancel, Subject: id, Queue: q, Tenant: tenant})
}

// Pending counts the jobs of a queue that have not started any task.
func (n *Intake) Pending(ctx context.Context, q port.Queue) owner.Answer {
	return n.askUntilAnswered(ctx, peers.Request{Pool: q.Pool, Verb: peers.VerbPending, Queue: q})
}

// askUntilAnswered sends a request until an owner answers. It gives up after queryTimeout, when the
// context is done, or when this entry is isolated. The outcome of a cancellation is then unknown if it may
// have reached an owner; requests that change nothing are refused.
func (n *Intake) askUntilAnswered(ctx context.Context, r peers.Request) owner.Answer {
	deadline := time.Now().Add(queryTimeout)
	unseen := true
	for {
		a, delivered := n.askOnce(ctx, r)
		if delivered == answered {
			return a
		}
		unseen = unseen && delivered == notDelivered
		if ctx.Err() != nil || time.Now().After(deadline) || n.Isolated() {
			a = refuse("the owner of the pool could not be reached or did not answer")
			if r.Verb == peers.VerbCancel {
				return afterEarlier(a, unseen)
			}
			return a
		}
		sleep(ctx, retryInterval)
		n.refresh(ctx)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
