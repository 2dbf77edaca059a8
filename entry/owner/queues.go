package owner

import (
	"errors"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
)

// storedQueue is what the store holds of a queue whose jobs the pool may hold: the newest rules that were in
// force, which the next owner needs if its configuration does not contain the queue any more, and the other pools of
// the queue.
type storedQueue struct {
	// Version is that of the configuration that the rules are from.
	Version     int64         `cbor:"1,keyasint,omitempty"`
	Priority    int           `cbor:"2,keyasint,omitempty"`
	MaxAttempts int           `cbor:"3,keyasint,omitempty"`
	Stretch     float64       `cbor:"4,keyasint,omitempty"`
	Target      time.Duration `cbor:"5,keyasint,omitempty"`
	Advice      *port.Advice  `cbor:"6,keyasint,omitempty"`
	// Registered reports whether the pool has been registered for the queue. Earlier holds the other pools that
	// may hold jobs of the queue.
	Registered bool     `cbor:"7,keyasint,omitempty"`
	Earlier    []string `cbor:"8,keyasint,omitempty"`
	// ClosedAt is the version of the configuration by which another pool has taken over the queue; the pool
	// accepts no further jobs of it, unless a newer one sends it back. 0 means none.
	ClosedAt int64 `cbor:"9,keyasint,omitempty"`
}

func storedRules(q *port.Queue) storedQueue {
	return storedQueue{
		Version: q.Version, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Advice: q.Advice,
	}
}

// queue returns the queue with the stored rules. It has no pool: a configuration says where its new work goes.
func (s *storedQueue) queue(name string) port.Queue {
	return port.Queue{
		Name: name, Version: s.Version, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Target: s.Target, Advice: s.Advice,
	}
}

// hasRulesOf reports whether two records hold the same rules, whatever configurations they are from.
func (s *storedQueue) hasRulesOf(other *storedQueue) bool {
	return s.Priority == other.Priority && s.MaxAttempts == other.MaxAttempts && s.Stretch == other.Stretch &&
		s.Target == other.Target && (s.Advice == nil) == (other.Advice == nil) && (s.Advice == nil || *s.Advice == *other.Advice)
}

// restoreQueues applies the stored rules of the queues, and has those written that a configuration has changed.
func (c *core) restoreQueues(stored *StoredState, config *port.Config) {
	c.journal.queues, c.journal.dirtyQueues = map[string]storedQueue{}, map[string]struct{}{}
	for name, q := range stored.Queues {
		c.journal.queues[name] = q
		c.state.SetQueue(q.queue(name))
	}
	if config != nil {
		c.state.Configure(config)
	}
	for _, spec := range stored.Specs {
		c.noteQueue(spec.Queue)
		// A release that registered nothing may have accepted the job.
		c.wantRegistered(spec.Queue)
	}
	c.noteQueues()
	c.wantAllRegistered()
}

// noteQueues notes the queues of the pool, and others whose jobs it may hold, that are to be written.
func (c *core) noteQueues() {
	for name, q := range c.state.Queues {
		if _, stored := c.journal.queues[name]; stored || q.Pool == c.state.Pool {
			c.noteQueue(name)
		}
	}
}

// noteQueue notes that a queue is to be written if the store does not have its rules. A queue that has never had
// rules needs no record.
func (c *core) noteQueue(name string) {
	q, known := c.state.Queues[name]
	if !known {
		return
	}
	rules := storedRules(&q)
	old := c.journal.queues[name]
	if old.hasRulesOf(&rules) {
		return
	}
	rules.Registered, rules.Earlier, rules.ClosedAt = old.Registered, old.Earlier, old.ClosedAt
	c.journal.queues[name] = rules
	c.journal.dirtyQueues[name] = struct{}{}
}

// collectQueues adds the queues that are to be written. They come before the jobs, so the store has the rules of
// each job that it has.
func (c *core) collectQueues(b *appendBuilder) {
	for _, name := range slices.Sorted(maps.Keys(c.journal.dirtyQueues)) {
		err := b.put(c.state.Pool+keyQueue+name, c.journal.queues[name])
		if errors.Is(err, errNoRoom) {
			return
		}
		delete(c.journal.dirtyQueues, name)
		if err != nil {
			c.logger.Error("rules of a queue cannot be stored; the next owner may not know them", "queue", name, "err", err)
		}
	}
}

func (m configChange) handle(c *core) {
	c.state.Configure(m.config)
	c.setCaps(m.config)
	c.noteQueues()
	c.wantAllRegistered()
	c.register(time.Now())
}
