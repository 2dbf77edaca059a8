package route

import (
	"context"
	"fmt"
	"slices"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/queue"
	"carawaymux.dev/fleet/task"
)

const (
	// poolInbox is the mailbox length of a pool's task, in messages.
	poolInbox = 1024
	// expiryInterval is the time between two checks for waiting requests whose
	// deadline has passed.
	expiryInterval = 20 * time.Millisecond
	// initialRunTime is the run time assumed for a kind before its first request ends.
	initialRunTime = 10 * time.Millisecond
	// runTimeWeight is the weight of the newest run time in the moving average.
	runTimeWeight = 0.1
	// lowUrgencyInterval is the number of grants of a kind in which the least urgent
	// class goes first once, so that it is not starved.
	lowUrgencyInterval = 8
	// maxRetryBudget is the largest retry budget of one kind, in retries.
	maxRetryBudget = 20
	// unknownDemand makes a pool send its demand to its lenders again.
	unknownDemand = -1
)

// Pool is the task that owns the request queues and slots of one pool.
type Pool struct {
	name      string
	limits    Limits
	heartbeat *heartbeat
	// notify tells the router that the pool has changed. It must not block and
	// returns false if the router did not take the message.
	notify func(pool string) bool
	task   *task.Task[poolMessage]
}

// Limits bounds the queue of each kind.
type Limits struct {
	// Queue is the largest number of waiting requests of one kind.
	Queue int
	// BodyMemory is the largest total size of the bodies of the waiting requests of
	// one kind, in bytes. A single waiting request may exceed it.
	BodyMemory int
	// RetryShare is the number of retries that each successful request adds to the
	// retry budget of its kind.
	RetryShare float64
}

// poolMessage is a message to a pool's task.
type poolMessage interface{ handle(s *poolState) }

type (
	submit struct{ ticket *Ticket }
	cancel struct{ ticket *Ticket }
	// release gives back a slot of this pool. ownRequest is set if the slot was used by a
	// request of this pool and not lent.
	release struct {
		host       string
		kind       string
		result     Result
		ownRequest bool
		suspect    bool
	}
	// releaseBorrowed tells this pool that its request on a borrowed slot has ended.
	releaseBorrowed struct {
		kind   string
		result Result
	}
	// setTable replaces the pool's routing table.
	setTable struct {
		table   PoolTable
		seq     uint64
		lenders []*Pool
	}
	// setAvoided replaces the set of hosts that get no new requests even if the table
	// lists them as serving.
	setAvoided struct{ hosts map[string]bool }
	// setDemand tells a lender how many requests of another pool wait for a slot.
	setDemand struct {
		borrower *Pool
		count    int
	}
	// offer lends a slot to the receiving pool.
	offer struct{ grant *Grant }
	// takeRetry takes one retry from the kind's retry budget, if there is one.
	takeRetry struct {
		kind  string
		reply chan<- bool
	}
	// checkGrants makes the pool grant what it can. Pools do so after every message.
	checkGrants struct{}
	// poll asks the pool for a report, which it passes to the function reply.
	poll struct{ reply func(report) bool }
)

// report is the state of a pool that its task sends to the router.
type report struct {
	pool    string
	seq     uint64
	busy    []string
	failing []string
	free    int
	slots   int
	lent    int
	kinds   []KindStat
}

// KindStat holds the figures of one request kind. Its fields are published under their
// names at /debug/vars.
type KindStat struct {
	Kind    string
	Pool    string
	Queued  int
	Running int
	// Slots is the number of the pool's slots on hosts that accept requests.
	Slots int
	// Lent is the number of slots that the pool has borrowed from other pools.
	Lent    int
	Refused int64
	Granted int64
	// Waited is the total time that granted requests waited.
	Waited time.Duration
	// Retried counts requests that were tried again.
	Retried int64
}

// kindQueue holds the waiting requests and figures of one kind.
type kindQueue struct {
	kind           string
	waiting        [len(jobs.Urgencies)]queue.List[*Ticket]
	length         int
	bodyBytes      int
	running        int
	grantSeq       int
	averageRunTime time.Duration
	refused        int64
	granted        int64
	waited         time.Duration
	// retryBudget is the number of retries left, from 0 to maxRetryBudget.
	retryBudget float64
	retried     int64
}

// poolState is the state of a pool's task.
type poolState struct {
	pool *Pool
	// now is when the task received the current message or expiry.
	now     time.Time
	table   PoolTable
	seq     uint64
	targets map[string]*target
	// tableTargets holds the targets of the table, in its order.
	tableTargets []*target
	queues       map[string]*kindQueue
	// rotation holds the queues in the order in which they are served; rotationIndex is
	// the index of the queue that was considered last.
	rotation      []*kindQueue
	rotationIndex int
	avoided       map[string]bool
	lenders       []*Pool
	// demands holds the number of waiting requests of each pool that wants to borrow.
	demands map[*Pool]int
	// announcedDemand is the demand last sent to the lenders, less the slots offered
	// since, or unknownDemand.
	announcedDemand int
	// lentSlots is the number of this pool's slots that other pools use; borrowedSlots
	// is the number of other pools' slots that this pool uses.
	lentSlots, borrowedSlots int
	expiryTimer              *time.Timer
	expiryScheduled          bool
	// notified is set while the router has been told of a change but has not polled.
	notified bool
}

func newPool(name string, limits Limits, hb *heartbeat, notify func(string) bool) *Pool {
	pool := &Pool{name: name, limits: limits, heartbeat: hb, notify: notify}
	pool.task = task.Start(pool.run, task.WithInbox(poolInbox))
	return pool
}

func (p *Pool) run(ctx context.Context, inbox <-chan poolMessage) {
	s := &poolState{
		pool: p, targets: make(map[string]*target), queues: make(map[string]*kindQueue),
		demands: make(map[*Pool]int), expiryTimer: time.NewTimer(time.Hour),
	}
	s.expiryTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			s.now = time.Now()
			if request, isPoll := m.(poll); isPoll {
				s.report(request)
				continue
			}
			m.handle(s)
		case <-s.expiryTimer.C:
			s.now = time.Now()
			s.expiryScheduled = false
			s.expireWaiting()
		}
		s.grantWaiting()
		if !s.notified {
			s.notified = p.notify(p.name)
		}
	}
}

func (s *poolState) queue(kind string) *kindQueue {
	q := s.queues[kind]
	if q == nil {
		q = &kindQueue{kind: kind, averageRunTime: initialRunTime, retryBudget: maxRetryBudget}
		s.queues[kind] = q
		s.rotation = append(s.rotation, q)
	}
	return q
}

// usableSlots returns the number of slots on targets that accept requests.
func (s *poolState) usableSlots() int {
	n := 0
	for _, t := range s.tableTargets {
		if s.accepts(t) {
			n += t.Slots
		}
	}
	return n
}

// freeSlots returns the number of unused slots on targets that accept requests.
func (s *poolState) freeSlots() int {
	n := 0
	for _, t := range s.tableTargets {
		if s.accepts(t) {
			n += max(0, t.Slots-t.inUse)
		}
	}
	return n
}

// accepts reports whether a target may get new requests.
func (s *poolState) accepts(t *target) bool {
	return t.inTable && t.Serving && !s.avoided[t.Host] && t.health.available(s.now)
}

func (m submit) handle(s *poolState) {
	t := m.ticket
	q := s.queue(t.request.Kind)
	if refusal := s.admit(q, t.request); refusal.Refused != "" {
		if !t.request.NoWait {
			q.refused++
		}
		t.reply <- refusal
		return
	}
	if t.request.Probe {
		t.reply <- Reply{}
		return
	}
	t.queuedAt = s.now
	t.item = q.waiting[t.request.Urgency.Rank()].Push(t)
	q.length++
	q.bodyBytes += t.request.BodyBytes
	s.grantWaiting()
	if t.granted == nil {
		t.reply <- Reply{Queued: true}
		s.scheduleExpiry()
	}
}

// admit returns a refusal if the request could not start before its deadline or would
// exceed the limits of the queue, and an empty reply otherwise.
func (s *poolState) admit(q *kindQueue, request SlotRequest) Reply {
	slots := s.usableSlots()
	if slots == 0 && len(s.lenders) == 0 {
		return Reply{Refused: "no target of the pool takes requests", RetryAfter: time.Second, NoCapacity: true}
	}
	if q.length == 0 && s.hasSlotFor(&request) {
		return Reply{}
	}
	wait := s.expectedWait(q, slots)
	switch {
	case request.NoWait:
		return Reply{Refused: "no slot of this entry is free", RetryAfter: wait, NoCapacity: true}
	case q.length >= s.pool.limits.Queue:
		return Reply{
			Refused:    fmt.Sprintf("queue: %d requests are waiting, which is the limit", q.length),
			RetryAfter: wait, NoCapacity: true,
		}
	case q.bodyBytes+request.BodyBytes > s.pool.limits.BodyMemory && q.length > 0:
		return Reply{
			Refused: fmt.Sprintf("queue: the bodies of waiting requests would exceed the limit of %d bytes",
				s.pool.limits.BodyMemory),
			RetryAfter: wait, NoCapacity: true,
		}
	case s.now.Add(wait).After(request.Deadline):
		return Reply{
			Refused: fmt.Sprintf("deadline: the expected wait of %v is longer than the time left",
				wait.Round(time.Millisecond)),
			RetryAfter: wait, NoCapacity: true,
		}
	}
	return Reply{}
}

// expectedWait estimates how long a new request in the queue q would wait for a slot. Since
// kinds are served in rotation, each other kind delays it by at most as many requests as
// wait in q.
func (s *poolState) expectedWait(q *kindQueue, slots int) time.Duration {
	slots = max(1, slots+s.borrowedSlots)
	waiting := 1
	for _, other := range s.rotation {
		waiting += min(other.length, q.length)
	}
	return q.averageRunTime * time.Duration(waiting) / time.Duration(slots)
}

func (m cancel) handle(s *poolState) {
	t := m.ticket
	if t.item != nil && t.item.Remove() {
		q := s.queue(t.request.Kind)
		q.length--
		q.bodyBytes -= t.request.BodyBytes
		return
	}
	if t.granted != nil {
		go t.granted.Release(Result{})
		t.granted = nil
	}
}

func (m release) handle(s *poolState) {
	t := s.targets[m.host]
	if t == nil {
		return
	}
	t.inUse--
	if m.suspect {
		t.suspects--
	}
	if m.result.Disconnected {
		t.health.disconnectedAt = s.now
	}
	if m.ownRequest {
		s.recordCompletion(m.kind, m.result)
	} else {
		s.lentSlots--
	}
	if m.result.Leaving {
		t.health.excludeLeaving(s.now)
	}
	if m.result.Attempted {
		t.health.record(m.result.Failed)
		s.ejectIfFailing(t)
	}
	if !t.inTable && t.inUse == 0 {
		delete(s.targets, m.host)
	}
}

func (m releaseBorrowed) handle(s *poolState) {
	s.borrowedSlots--
	s.recordCompletion(m.kind, m.result)
}

// recordCompletion updates the figures of a kind after one of its requests has released
// its slot.
func (s *poolState) recordCompletion(kind string, r Result) {
	q := s.queue(kind)
	q.running--
	if r.Attempted && !r.Failed {
		q.retryBudget = min(maxRetryBudget, q.retryBudget+s.pool.limits.RetryShare)
	}
	if r.Attempted && r.Duration > 0 {
		q.averageRunTime += time.Duration(runTimeWeight * float64(r.Duration-q.averageRunTime))
	}
}

func (m setTable) handle(s *poolState) {
	s.table, s.seq, s.lenders = m.table, m.seq, m.lenders
	for _, t := range s.targets {
		t.inTable = false
	}
	s.tableTargets = s.tableTargets[:0]
	for _, next := range m.table.Targets {
		t := s.targets[next.Host]
		if t == nil {
			t = &target{}
			s.targets[next.Host] = t
		}
		t.Target, t.inTable = next, true
		s.tableTargets = append(s.tableTargets, t)
	}
	for name, t := range s.targets {
		if !t.inTable && t.inUse == 0 {
			delete(s.targets, name)
		}
	}
	for _, k := range m.table.Kinds {
		s.queue(k)
	}
}

func (m setAvoided) handle(s *poolState) { s.avoided = m.hosts }

func (m takeRetry) handle(s *poolState) {
	q := s.queue(m.kind)
	ok := q.retryBudget >= 1
	if ok {
		q.retryBudget--
		q.retried++
	}
	m.reply <- ok
}

func (checkGrants) handle(*poolState) {}

// handle sends a report. The run loop calls report directly, so that a poll does not
// count as a change that the router is notified of.
func (m poll) handle(s *poolState) { s.report(m) }

func (s *poolState) report(m poll) {
	s.notified = false
	r := report{pool: s.pool.name, seq: s.seq, free: s.freeSlots(), slots: s.usableSlots(), lent: s.lentSlots}
	for name, t := range s.targets {
		if t.inUse > 0 && !(t.inTable && t.Serving) {
			r.busy = append(r.busy, name)
		}
		if t.health.failing {
			r.failing = append(r.failing, name)
		}
	}
	slices.Sort(r.busy)
	slices.Sort(r.failing)
	for _, q := range s.rotation {
		r.kinds = append(r.kinds, KindStat{
			Kind: q.kind, Pool: s.pool.name, Queued: q.length, Running: q.running, Slots: r.slots,
			Lent: s.borrowedSlots, Refused: q.refused, Granted: q.granted, Waited: q.waited, Retried: q.retried,
		})
	}
	m.reply(r)
}

// expireWaiting refuses waiting requests whose deadline has passed. It also sends the
// demand to all lenders again.
func (s *poolState) expireWaiting() {
	s.announcedDemand = unknownDemand
	waiting := 0
	for _, q := range s.rotation {
		for class := range q.waiting {
			for i := q.waiting[class].First(); i != nil; {
				next := i.Next()
				if t := i.Value; s.now.After(t.request.Deadline) {
					s.refuse(q, t, "deadline: passed while the request waited for a slot")
				}
				i = next
			}
		}
		waiting += q.length
	}
	if waiting > 0 {
		s.scheduleExpiry()
	}
}

func (s *poolState) refuse(q *kindQueue, t *Ticket, why string) {
	t.item.Remove()
	q.length--
	q.bodyBytes -= t.request.BodyBytes
	q.refused++
	t.reply <- Reply{Refused: why, RetryAfter: q.averageRunTime}
}

func (s *poolState) scheduleExpiry() {
	if !s.expiryScheduled {
		s.expiryTimer.Reset(expiryInterval)
		s.expiryScheduled = true
	}
}
