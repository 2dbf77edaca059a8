package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/queue"
	"carawaymux.dev/fleet/task"
)

const (
	// poolInbox is the mailbox length of a pool's task, in messages.
	poolInbox = 1024
	// expiryInterval is how often a pool with waiting requests looks for those
	// whose deadline has passed.
	expiryInterval = 20 * time.Millisecond
	// initialRunTime is the run time that is assumed before one was seen.
	initialRunTime = 10 * time.Millisecond
	// runTimeWeight is the weight of the newest run time in the average.
	runTimeWeight = 0.1
	// lowUrgencyInterval is how often, in grants of a kind, a less urgent class goes first.
	lowUrgencyInterval = 8
	// maxRetryBudget is the largest retry budget of one kind.
	maxRetryBudget = 20
	// unknownDemand makes a pool tell its lenders again what it wants.
	unknownDemand = -1
)

// Pool is the task that owns the queues and slots of one pool.
type Pool struct {
	name      string
	limits    Limits
	heartbeat *heartbeat
	// notify tells the router that there is something new to report. It must not
	// block, and says whether the router has got it.
	notify func(pool string) bool
	task   *task.Task[poolMessage]
}

// Limits bound the queues of each kind.
type Limits struct {
	// Queue is the largest number of requests that wait for one kind.
	Queue int
	// BodyMemory is what the waiting requests of one kind may hold, in bytes.
	BodyMemory int
	// RetryShare is how many retries each request that is done allows.
	RetryShare float64
}

// poolMessage is what a pool's task understands.
type poolMessage interface{ handle(s *poolState) }

type (
	submit struct{ ticket *Ticket }
	ready  struct{ ticket *Ticket }
	cancel struct{ ticket *Ticket }
	// release gives back a slot of this pool.
	release struct {
		host       string
		kind       string
		result     Result
		ownRequest bool
	}
	// releaseBorrowed says that a slot that was lent to this pool is given back.
	releaseBorrowed struct {
		kind   string
		result Result
	}
	// setTable replaces the routing.
	setTable struct {
		table   PoolTable
		seq     uint64
		lenders []*Pool
	}
	// setAvoided names hosts that take no new requests, whatever the table says.
	setAvoided struct{ hosts map[string]bool }
	// setDemand says how many requests of a pool wait for a lent slot.
	setDemand struct {
		borrower *Pool
		count    int
	}
	// offer lends a slot.
	offer struct{ grant *Grant }
	// takeRetry asks whether the kind's retry budget holds one more retry.
	takeRetry struct {
		kind  string
		reply chan<- bool
	}
	// checkGrants makes the pool look whether it can grant something.
	checkGrants struct{}
	// poll asks for a report.
	poll struct{ reply func(report) bool }
)

// report is what a pool's task tells the router.
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

// KindStat counts what a pool's task does for one kind.
type KindStat struct {
	Kind    string
	Pool    string
	Queued  int
	Running int
	Slots   int
	Lent    int
	Refused int64
	Granted int64
	// Waited is the total time that granted requests waited.
	Waited time.Duration
	// Retried counts requests that were tried again.
	Retried int64
}

// target is the state of one host.
type target struct {
	Target
	inUse   int
	inTable bool
	health  health
}

// kindQueue holds what waits for one kind.
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
	// retryBudget is what is left of the retry budget, 0 to maxRetries.
	retryBudget float64
	retried     int64
}

// poolState is the state of a pool's task.
type poolState struct {
	pool *Pool
	// now is when the message at hand was taken.
	now     time.Time
	table   PoolTable
	seq     uint64
	targets map[string]*target
	// tableTargets holds the targets in the tableTargets of the table.
	tableTargets []*target
	queues       map[string]*kindQueue
	// rotation holds the lanes in the order in which they take rotation.
	rotation      []*kindQueue
	rotationIndex int
	avoided       map[string]bool
	lenders       []*Pool
	// demands is how many requests of other pools wait for a slot of this one.
	demands map[*Pool]int
	// announcedDemand is what this pool last told its lenders, or unknownWant.
	announcedDemand int
	// lentSlots counts slots in use by other pools, borrowedSlots those of other pools
	// in use here.
	lentSlots, borrowedSlots int
	expiryTimer              *time.Timer
	expiryScheduled          bool
	// notified is set from telling the router of a change until it polls.
	notified bool
}

func newPool(name string, limits Limits, p *heartbeat, changed func(string) bool) *Pool {
	pool := &Pool{name: name, limits: limits, heartbeat: p, notify: changed}
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

// usableSlots counts the pool's usableSlots on targets that take requests.
func (s *poolState) usableSlots() int {
	n := 0
	for _, t := range s.tableTargets {
		if s.accepts(t) {
			n += t.Slots
		}
	}
	return n
}

// freeSlots counts the pool's freeSlots slots.
func (s *poolState) freeSlots() int {
	n := 0
	for _, t := range s.tableTargets {
		if s.accepts(t) {
			n += max(0, t.Slots-t.inUse)
		}
	}
	return n
}

// accepts reports whether a target takes new requests.
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
	t.queuedAt = s.now
	t.ready = !t.request.Hold
	t.item = q.waiting[t.request.Urgency.Rank()].Push(t)
	q.length++
	q.bodyBytes += t.request.BodyBytes
	s.grantWaiting()
	if t.granted == nil {
		t.reply <- Reply{Queued: true}
		s.scheduleExpiry()
	}
}

// admit refuses a request that could not start before its deadline, or that the
// queue has no room for.
func (s *poolState) admit(q *kindQueue, request SlotRequest) Reply {
	slots := s.usableSlots()
	if slots == 0 && len(s.lenders) == 0 {
		return Reply{Refused: "no target takes requests", RetryAfter: time.Second, Full: true}
	}
	if q.length == 0 && s.freeSlots() > 0 {
		return Reply{}
	}
	wait := s.expectedWait(q, slots)
	switch {
	case request.NoWait:
		return Reply{Refused: "no slot is free", RetryAfter: wait, Full: true}
	case q.length >= s.pool.limits.Queue:
		return Reply{
			Refused: fmt.Sprintf("queue: %d requests wait, the limit", q.length), RetryAfter: wait, Full: true,
		}
	case q.bodyBytes+request.BodyBytes > s.pool.limits.BodyMemory && q.length > 0:
		return Reply{
			Refused:    fmt.Sprintf("queue: waiting bodies would pass %d bytes, the limit", s.pool.limits.BodyMemory),
			RetryAfter: wait, Full: true,
		}
	case s.now.Add(wait).After(request.Deadline):
		return Reply{
			Refused: fmt.Sprintf("deadline: the wait is %v at least", wait.Round(time.Millisecond)), RetryAfter: wait,
			Full: true,
		}
	}
	return Reply{}
}

// expectedWait is how long a new request of a kind would wait for a slot.
func (s *poolState) expectedWait(q *kindQueue, slots int) time.Duration {
	slots = max(1, slots+s.borrowedSlots)
	waiting := 1
	for _, other := range s.rotation {
		waiting += min(other.length, q.length)
	}
	return q.averageRunTime * time.Duration(waiting) / time.Duration(slots)
}

func (m ready) handle(_ *poolState) { m.ticket.ready = true }

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

// recordCompletion counts a request of the kind that has given its slot back.
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

// handle reports; the task itself calls report, so that a poll is no change.
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

// expireWaiting refuses what can no longer start before its deadline.
func (s *poolState) expireWaiting() {
	s.announcedDemand = unknownDemand
	waiting := 0
	for _, q := range s.rotation {
		for class := range q.waiting {
			for i := q.waiting[class].First(); i != nil; {
				next := i.Next()
				if t := i.Value; s.now.After(t.request.Deadline) {
					s.refuse(q, t, "deadline: it passed while the request waited")
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

// pickTarget chooses the less loaded of two targets with a free slot, drawn by chance; it
// returns nil when none has one.
func (s *poolState) pickTarget() *target {
	var chosen *target
	seen := 0
	for _, t := range s.tableTargets {
		if t.inUse >= t.Slots || !s.accepts(t) {
			continue
		}
		seen++
		// Each target with room has the same chance to be drawn first or second.
		switch {
		case seen == 1:
			chosen = t
		case rand.IntN(seen) < 2 && t.load() < chosen.load():
			chosen = t
		case t.load() == chosen.load() && rand.IntN(seen) == 0:
			chosen = t
		}
	}
	return chosen
}

// load is the share of a target's slots in use.
func (t *target) load() float64 { return float64(t.inUse) / float64(t.Slots) }
