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
	ownerPatience = 300 * time.Millisecond
	// lookPatience is how long other requests look for it.
	lookPatience = 2 * time.Second
	// retryPause is the time between looks for the owner.
	retryPause = 60 * time.Millisecond
	// inboxTimeout bounds the writing to the inbox.
	inboxTimeout = 900 * time.Millisecond
	// storeFresh is how old the store's last answer may be that shows it to be there:
	// a heartbeat's interval and little more, about as long as an owner takes to
	// notice that it is away.
	storeFresh = 450 * time.Millisecond
	// noOwnerRetry is what callers are told while a pool has no owner, and while this
	// entry is cut off; other entries may do better.
	noOwnerRetry = time.Second
)

// Holders finds what is owned here.
type Holders interface {
	// Local returns the holder of a pool, or nil when it does not run here.
	Local(name string) duties.Holder
}

// Views knows the entries and what they own.
type Views interface{ View() *roster.View }

// Asker asks other entries. Errors that are [peers.ErrUnsent] say that nothing was
// asked.
type Asker interface {
	Ask(ctx context.Context, address string, a peers.Ask) (owner.Answer, error)
}

// Intake finds the owners of pools and asks them.
type Intake struct {
	Local  Holders
	Roster Views
	Peers  Asker
	Log    port.Log
	Logger *slog.Logger
	// Parts is the number of partitions of a topic of the store.
	Parts int

	// missed is when an owner could last not be reached, in nanoseconds since 1970.
	missed atomic.Int64
}

// reach is how far a question got.
type reach uint8

const (
	// unsent questions have reached no owner.
	unsent reach = iota
	// sent questions may have reached one.
	sent
	// answered questions have an owner's answer.
	answered
)

// Elsewhere says that the entry that was asked does not own the pool.
const Elsewhere owner.Outcome = "elsewhere"

// Serve answers a question of another entry from an owner that runs here.
func (n *Intake) Serve(ctx context.Context, a peers.Ask) owner.Answer {
	o, ok := n.Local.Local(a.Pool).(*owner.Owner)
	if !ok {
		return owner.Answer{Outcome: Elsewhere}
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
	out, how := n.try(ctx, a)
	return out, how == answered
}

// try asks the owner of a pool once.
func (n *Intake) try(ctx context.Context, a peers.Ask) (owner.Answer, reach) {
	if n.Local.Local(a.Pool) != nil {
		out := n.Serve(ctx, a)
		return out, reachOf(out)
	}
	o, ok := n.Roster.View().Owners[a.Pool]
	if !ok {
		return owner.Answer{}, unsent
	}
	out, err := n.Peers.Ask(ctx, o.Address, a)
	if err != nil {
		n.missed.Store(time.Now().UnixNano())
		n.Logger.Debug("owner not reached", "pool", a.Pool, "owner", o.Name, "err", err)
		if errors.Is(err, peers.ErrUnsent) {
			return owner.Answer{}, unsent
		}
		return owner.Answer{}, sent
	}
	return out, reachOf(out)
}

func reachOf(a owner.Answer) reach {
	switch a.Outcome {
	case Elsewhere:
		return unsent
	case owner.Unknown:
		return sent
	}
	return answered
}

// CutOff reports whether this entry reaches neither the store nor the owner of a pool
// that it was asked for, so that callers are better served by others.
func (n *Intake) CutOff() bool {
	lost := n.Roster.View().Lost
	return !lost.IsZero() && n.missed.Load() > lost.UnixNano()
}

// Submit hands a job in.
func (n *Intake) Submit(ctx context.Context, q port.Queue, id string, spec batch.Spec) owner.Answer {
	ask := peers.Ask{Pool: q.Pool, Verb: peers.VerbSubmit, Subject: id, Queue: q, Spec: &spec}
	until := time.Now().Add(ownerPatience)
	// clean says that no owner can have seen the job.
	clean := true
	for {
		a, how := n.try(ctx, ask)
		if how == answered && a.StoreUnavailable && n.reachesStore() {
			return n.leave(ctx, q, id, spec, clean)
		}
		if how == answered {
			return a
		}
		clean = clean && how == unsent
		switch {
		case clean && !n.Roster.View().Lost.IsZero():
			return refuse("neither the owner nor the store can be reached")
		case ctx.Err() != nil && clean:
			return refuse("the pool's owner could not be asked in time")
		case ctx.Err() != nil:
			return owner.Answer{Outcome: owner.Unknown, Reason: "no answer in time"}
		case time.Now().After(until):
			return n.leave(ctx, q, id, spec, clean)
		}
		pause(ctx, retryPause)
	}
}

// reachesStore reports whether the store has answered this entry so lately that an
// owner's loss of it is the owner's alone.
func (n *Intake) reachesStore() bool {
	v := n.Roster.View()
	return v.Lost.IsZero() && time.Since(v.At) < storeFresh
}

// refuse says that nothing was done and nothing will be.
func refuse(why string) owner.Answer {
	return owner.Answer{Outcome: owner.Refused, RetryAfter: noOwnerRetry, Reason: why}
}

// leave puts a submission into the pool's inbox, from where its owner takes it. It is
// clean if no owner can have seen it.
func (n *Intake) leave(ctx context.Context, q port.Queue, id string, spec batch.Spec, clean bool) owner.Answer {
	ctx, cancel := context.WithTimeout(ctx, inboxTimeout)
	defer cancel()
	value, err := codec.EncodeFrame(spec)
	if err != nil {
		return owner.Answer{Outcome: owner.Refused, Reason: err.Error()}
	}
	entry := port.Record{Key: q.Pool + "/" + id, Value: value}
	_, err = n.Log.Append(ctx, owner.InboxStream(q.Pool, n.Parts), []port.Record{entry}, nil, -1)
	if err == nil {
		n.Logger.Info("job left in the inbox", "job", id, "pool", q.Pool)
		return owner.Answer{Outcome: owner.Accepted}
	}
	n.Logger.Warn("job not left in the inbox", "job", id, "pool", q.Pool, "err", err)
	if clean && (errors.Is(err, port.ErrBusy) || errors.Is(err, port.ErrFull)) {
		return refuse("the owner cannot be reached and the store takes nothing")
	}
	// The owner or the store may yet act on it, so "not run" would be a guess.
	return owner.Answer{Outcome: owner.Unknown, Reason: "neither the owner nor the store could be reached"}
}

// Look asks for a job's phase.
func (n *Intake) Look(ctx context.Context, q port.Queue, id string) owner.Answer {
	return n.patient(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbLook, Subject: id, Queue: q})
}

// Cancel cancels a job.
func (n *Intake) Cancel(ctx context.Context, q port.Queue, id string) owner.Answer {
	return n.patient(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbCancel, Subject: id, Queue: q})
}

// Pending counts the jobs of a queue of which nothing has started.
func (n *Intake) Pending(ctx context.Context, q port.Queue) owner.Answer {
	return n.patient(ctx, peers.Ask{Pool: q.Pool, Verb: peers.VerbPending, Queue: q})
}

// patient asks until an owner answers or its patience ends.
func (n *Intake) patient(ctx context.Context, ask peers.Ask) owner.Answer {
	until := time.Now().Add(lookPatience)
	for {
		if a, how := n.try(ctx, ask); how == answered {
			return a
		}
		if ctx.Err() != nil || time.Now().After(until) || n.CutOff() {
			return refuse("the pool's owner could not be asked")
		}
		pause(ctx, retryPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
