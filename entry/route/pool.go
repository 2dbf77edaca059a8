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
	// sweepEvery is how often a pool with waiting requests looks for those
	// whose deadline has passed.
	sweepEvery = 20 * time.Millisecond
	// firstRunTime is the run time that is assumed before one was seen.
	firstRunTime = 10 * time.Millisecond
	// runTimeWeight is the weight of the newest run time in the average.
	runTimeWeight = 0.1
	// lowTurn is how often, in grants of a kind, a less urgent class goes first.
	lowTurn = 8
	// maxRetries is the largest retry budget of one kind.
	maxRetries = 20
	// unknownWant makes a pool tell its lenders again what it wants.
	unknownWant = -1
)

// Pool is the task that owns the queues and slots of one pool.
type Pool struct {
	name   string
	limits Limits
	pulse  *pulse
	// changed tells the router that there is something new to report. It must not
	// block, and says whether the router has got it.
	changed func(pool string) bool
	task    *task.Task[poolMessage]
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
		host   string
		kind   string
		result Result
		own    bool
	}
	// borrowed says that a slot that was lent to this pool is given back.
	borrowed struct {
		kind   string
		result Result
	}
	// view replaces the routing.
	view struct {
		table   PoolTable
		seq     uint64
		lenders []*Pool
	}
	// avoid names hosts that take no new requests, whatever the table says.
	avoid struct{ hosts map[string]bool }
	// want says how many requests of a pool wait for a lent slot.
	want struct {
		from *Pool
		n    int
	}
	// offer lends a slot.
	offer struct{ grant *Grant }
	// mayRetry asks whether the kind's retry budget holds one more retry.
	mayRetry struct {
		kind  string
		reply chan<- bool
	}
	// poke makes the pool look whether it can grant something.
	poke struct{}
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
	inUse  int
	listed bool
	health health
}

// lane holds what waits for one kind.
type lane struct {
	kind    string
	waiting [len(jobs.Urgencies)]queue.List[*Ticket]
	length  int
	bytes   int
	running int
	turn    int
	runTime time.Duration
	refused int64
	granted int64
	waited  time.Duration
	// retries is what is left of the retry budget, 0 to maxRetries.
	retries float64
	retried int64
}

// poolState is the state of a pool's task.
type poolState struct {
	pool *Pool
	// now is when the message at hand was taken.
	now     time.Time
	table   PoolTable
	seq     uint64
	targets map[string]*target
	// order holds the targets in the order of the table.
	order []*target
	lanes map[string]*lane
	// turns holds the lanes in the order in which they take turns.
	turns   []*lane
	turn    int
	avoided map[string]bool
	lenders []*Pool
	// wants is how many requests of other pools wait for a slot of this one.
	wants map[*Pool]int
	// wanted is what this pool last told its lenders, or unknownWant.
	wanted int
	// lentOut counts slots in use by other pools, lentIn those of other pools
	// in use here.
	lentOut, lentIn int
	sweep           *time.Timer
	sweeping        bool
	// announced is set from telling the router of a change until it polls.
	announced bool
}

func newPool(name string, limits Limits, p *pulse, changed func(string) bool) *Pool {
	pool := &Pool{name: name, limits: limits, pulse: p, changed: changed}
	pool.task = task.Start(pool.run, task.WithInbox(poolInbox))
	return pool
}

func (p *Pool) run(ctx context.Context, inbox <-chan poolMessage) {
	s := &poolState{
		pool: p, targets: make(map[string]*target), lanes: make(map[string]*lane),
		wants: make(map[*Pool]int), sweep: time.NewTimer(time.Hour),
	}
	s.sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			s.now = time.Now()
			if q, isPoll := m.(poll); isPoll {
				s.report(q)
				continue
			}
			m.handle(s)
		case <-s.sweep.C:
			s.now = time.Now()
			s.sweeping = false
			s.expire()
		}
		s.grantAll()
		if !s.announced {
			s.announced = p.changed(p.name)
		}
	}
}

func (s *poolState) lane(kind string) *lane {
	l := s.lanes[kind]
	if l == nil {
		l = &lane{kind: kind, runTime: firstRunTime, retries: maxRetries}
		s.lanes[kind] = l
		s.turns = append(s.turns, l)
	}
	return l
}

// slots counts the pool's slots on targets that take requests.
func (s *poolState) slots() int {
	n := 0
	for _, t := range s.order {
		if s.open(t) {
			n += t.Slots
		}
	}
	return n
}

// free counts the pool's free slots.
func (s *poolState) free() int {
	n := 0
	for _, t := range s.order {
		if s.open(t) {
			n += max(0, t.Slots-t.inUse)
		}
	}
	return n
}

// open reports whether a target takes new requests.
func (s *poolState) open(t *target) bool {
	return t.listed && t.Serving && !s.avoided[t.Host] && t.health.open(s.now)
}

func (m submit) handle(s *poolState) {
	t := m.ticket
	l := s.lane(t.ask.Kind)
	if refused := s.admit(l, t.ask); refused.Refused != "" {
		if !t.ask.NoWait {
			l.refused++
		}
		t.reply <- refused
		return
	}
	t.since = s.now
	t.ready = !t.ask.Hold
	t.place = l.waiting[t.ask.Urgency.Rank()].Push(t)
	l.length++
	l.bytes += t.ask.BodyBytes
	s.grantAll()
	if t.granted == nil {
		t.reply <- Reply{Queued: true}
		s.armSweep()
	}
}

// admit refuses a request that could not start before its deadline, or that the
// queue has no room for.
func (s *poolState) admit(l *lane, a SlotRequest) Reply {
	slots := s.slots()
	if slots == 0 && len(s.lenders) == 0 {
		return Reply{Refused: "no target takes requests", RetryAfter: time.Second, Full: true}
	}
	if l.length == 0 && s.free() > 0 {
		return Reply{}
	}
	wait := s.expectedWait(l, slots)
	switch {
	case a.NoWait:
		return Reply{Refused: "no slot is free", RetryAfter: wait, Full: true}
	case l.length >= s.pool.limits.Queue:
		return Reply{
			Refused: fmt.Sprintf("queue: %d requests wait, the limit", l.length), RetryAfter: wait, Full: true,
		}
	case l.bytes+a.BodyBytes > s.pool.limits.BodyMemory && l.length > 0:
		return Reply{
			Refused:    fmt.Sprintf("queue: waiting bodies would pass %d bytes, the limit", s.pool.limits.BodyMemory),
			RetryAfter: wait, Full: true,
		}
	case s.now.Add(wait).After(a.Deadline):
		return Reply{
			Refused: fmt.Sprintf("deadline: the wait is %v at least", wait.Round(time.Millisecond)), RetryAfter: wait,
			Full: true,
		}
	}
	return Reply{}
}

// expectedWait is how long a new request of a kind would wait for a slot.
func (s *poolState) expectedWait(l *lane, slots int) time.Duration {
	slots = max(1, slots+s.lentIn)
	waiting := 1
	for _, other := range s.turns {
		waiting += min(other.length, l.length)
	}
	return l.runTime * time.Duration(waiting) / time.Duration(slots)
}

func (m ready) handle(_ *poolState) { m.ticket.ready = true }

func (m cancel) handle(s *poolState) {
	t := m.ticket
	if t.place != nil && t.place.Remove() {
		l := s.lane(t.ask.Kind)
		l.length--
		l.bytes -= t.ask.BodyBytes
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
	if m.own {
		s.ended(m.kind, m.result)
	} else {
		s.lentOut--
	}
	if m.result.Leaving {
		t.health.leave(s.now)
	}
	if m.result.Attempted {
		t.health.note(m.result.Failed)
		s.judge(t)
	}
	if !t.listed && t.inUse == 0 {
		delete(s.targets, m.host)
	}
}

func (m borrowed) handle(s *poolState) {
	s.lentIn--
	s.ended(m.kind, m.result)
}

// ended counts a request of the kind that has given its slot back.
func (s *poolState) ended(kind string, r Result) {
	l := s.lane(kind)
	l.running--
	if r.Attempted && !r.Failed {
		l.retries = min(maxRetries, l.retries+s.pool.limits.RetryShare)
	}
	if r.Attempted && r.Duration > 0 {
		l.runTime += time.Duration(runTimeWeight * float64(r.Duration-l.runTime))
	}
}

func (m view) handle(s *poolState) {
	s.table, s.seq, s.lenders = m.table, m.seq, m.lenders
	for _, t := range s.targets {
		t.listed = false
	}
	s.order = s.order[:0]
	for _, next := range m.table.Targets {
		t := s.targets[next.Host]
		if t == nil {
			t = &target{}
			s.targets[next.Host] = t
		}
		t.Target, t.listed = next, true
		s.order = append(s.order, t)
	}
	for name, t := range s.targets {
		if !t.listed && t.inUse == 0 {
			delete(s.targets, name)
		}
	}
	for _, k := range m.table.Kinds {
		s.lane(k)
	}
}

func (m avoid) handle(s *poolState) { s.avoided = m.hosts }

func (m mayRetry) handle(s *poolState) {
	l := s.lane(m.kind)
	ok := l.retries >= 1
	if ok {
		l.retries--
		l.retried++
	}
	m.reply <- ok
}

func (poke) handle(*poolState) {}

// handle reports; the task itself calls report, so that a poll is no change.
func (m poll) handle(s *poolState) { s.report(m) }

func (s *poolState) report(m poll) {
	s.announced = false
	r := report{pool: s.pool.name, seq: s.seq, free: s.free(), slots: s.slots(), lent: s.lentOut}
	for name, t := range s.targets {
		if t.inUse > 0 && !(t.listed && t.Serving) {
			r.busy = append(r.busy, name)
		}
		if t.health.failing {
			r.failing = append(r.failing, name)
		}
	}
	slices.Sort(r.busy)
	slices.Sort(r.failing)
	for _, l := range s.turns {
		r.kinds = append(r.kinds, KindStat{
			Kind: l.kind, Pool: s.pool.name, Queued: l.length, Running: l.running, Slots: r.slots,
			Lent: s.lentIn, Refused: l.refused, Granted: l.granted, Waited: l.waited, Retried: l.retried,
		})
	}
	m.reply(r)
}

// expire refuses what can no longer start before its deadline.
func (s *poolState) expire() {
	s.wanted = unknownWant
	waiting := 0
	for _, l := range s.turns {
		for class := range l.waiting {
			for i := l.waiting[class].First(); i != nil; {
				next := i.Next()
				if t := i.Value; s.now.After(t.ask.Deadline) {
					s.drop(l, t, "deadline: it passed while the request waited")
				}
				i = next
			}
		}
		waiting += l.length
	}
	if waiting > 0 {
		s.armSweep()
	}
}

func (s *poolState) drop(l *lane, t *Ticket, why string) {
	t.place.Remove()
	l.length--
	l.bytes -= t.ask.BodyBytes
	l.refused++
	t.reply <- Reply{Refused: why, RetryAfter: l.runTime}
}

func (s *poolState) armSweep() {
	if !s.sweeping {
		s.sweep.Reset(sweepEvery)
		s.sweeping = true
	}
}

// pick chooses the less loaded of two targets with a free slot, drawn by chance; it
// returns nil when none has one.
func (s *poolState) pick() *target {
	var chosen *target
	seen := 0
	for _, t := range s.order {
		if t.inUse >= t.Slots || !s.open(t) {
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
