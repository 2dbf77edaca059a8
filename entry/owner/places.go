package owner

import (
	"context"
	"time"

	"carawaymux.dev/entry/place"
	"carawaymux.dev/fleet/batch"
)

// PlaceRegistry records which pools have accepted jobs of a queue.
type PlaceRegistry interface {
	// Register registers places of one pool, and returns the places of the same queues in other pools.
	Register(ctx context.Context, places []place.Place) ([]place.Place, error)
}

// placing is the state of the registration of the pool for its queues, and what waits for it or for the owners
// of earlier pools.
type placing struct {
	// wanted holds the versions of the queues to register. inFlight reports whether a registration is
	// unanswered, and retryAt is the earliest time of the next one.
	wanted   map[string]int64
	inFlight bool
	retryAt  time.Time
	// waiting holds the submissions that wait for a registration.
	waiting []submitJob
	// unchecked holds jobs from the inbox that an earlier pool may hold, by ID. checking holds those of which
	// a question is unanswered.
	unchecked map[string]batch.Spec
	checking  map[string]struct{}
	checkedAt time.Time
	// closedSince holds the closed queues with the time since which this owner has known it. empty holds those
	// of which the pool holds no job.
	closedSince map[string]time.Time
	empty       map[string]struct{}
}

func newPlacing() placing {
	return placing{wanted: map[string]int64{}, unchecked: map[string]batch.Spec{}, checking: map[string]struct{}{}, closedSince: map[string]time.Time{}}
}

// wantRegistered notes that the pool has to be registered for a queue. If the queue is back from another pool, the
// pool is registered again; if no known configuration sends it here, any other pool of it counts as a later one.
func (c *core) wantRegistered(name string) {
	var version int64
	if own := c.state.Queues[name]; own.Pool == c.state.Pool {
		version = own.Version
	}
	q := c.journal.queues[name]
	if q.ClosedAt > 0 && version > q.ClosedAt {
		q.Registered = false
		c.journal.queues[name] = q
	}
	if !q.Registered {
		c.placing.wanted[name] = version
	}
}

// wantAllRegistered notes all queues of the pool.
func (c *core) wantAllRegistered() {
	for name, q := range c.state.Queues {
		if q.Pool == c.state.Pool {
			c.wantRegistered(name)
		}
	}
}

// register registers the pool for the queues that are noted, unless a registration is in flight.
func (c *core) register(now time.Time) {
	if c.deps.Places == nil || len(c.placing.wanted) == 0 || c.placing.inFlight || now.Before(c.placing.retryAt) {
		return
	}
	var places []place.Place
	for name, version := range c.placing.wanted {
		places = append(places, place.Place{Queue: name, Pool: c.state.Pool, Version: version})
	}
	c.placing.inFlight = true
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.runCtx, registerTimeout)
		defer cancel()
		others, err := c.deps.Places.Register(ctx, places)
		c.post(c.runCtx, placesRegistered{places, others, err})
	})
}

// placesRegistered is the outcome of a registration.
type placesRegistered struct {
	places, others []place.Place
	err            error
}

func (m placesRegistered) handle(c *core) {
	now := time.Now()
	c.placing.inFlight = false
	if m.err != nil {
		c.logger.Warn("pool not registered for its queues; it takes no jobs of them until it is", "err", m.err)
		c.placing.retryAt = now.Add(registerBackoff)
		c.refuseWaiting(refusedStoreUnavailable)
		return
	}
	for _, p := range m.places {
		if c.placing.wanted[p.Queue] != p.Version {
			// The queue has come back under a newer version meanwhile, so it is registered again.
			continue
		}
		q := c.journal.queues[p.Queue]
		q.Registered, q.Earlier = true, nil
		if p.Version > q.ClosedAt {
			q.ClosedAt = 0
		}
		for _, other := range m.others {
			if other.Queue != p.Queue {
				continue
			}
			q.Earlier = append(q.Earlier, other.Pool)
			if other.Version > p.Version {
				q.ClosedAt = max(q.ClosedAt, other.Version)
			}
		}
		c.journal.queues[p.Queue] = q
		c.journal.dirtyQueues[p.Queue] = struct{}{}
		delete(c.placing.wanted, p.Queue)
		if len(q.Earlier) > 0 {
			c.logger.Info("other pools may hold jobs of a queue", "queue", p.Queue, "pools", q.Earlier, "elsewhere", c.isElsewhere(p.Queue))
		}
	}
	waiting := c.placing.waiting
	c.placing.waiting = nil
	for _, s := range waiting {
		s.handle(c)
	}
	c.register(now)
	c.checkInboxJobs(now)
	c.settleQuestions(now)
}

// refuseWaiting refuses the submissions that wait for a registration. Nothing of them has been written.
func (c *core) refuseWaiting(a Answer) {
	for _, m := range c.placing.waiting {
		m.reply <- a
	}
	c.placing.waiting = nil
}

// tickPlacing retries what has failed.
func (c *core) tickPlacing(now time.Time) {
	c.register(now)
	if len(c.placing.unchecked) > 0 && now.Sub(c.placing.checkedAt) >= uncheckedInterval {
		c.checkInboxJobs(now)
	}
	if c.journal.unavailable {
		c.refuseWaiting(refusedStoreUnavailable)
	}
}
