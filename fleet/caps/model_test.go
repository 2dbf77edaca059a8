package caps_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
)

const tenant = "t"

func cores(n int64) batch.Size { return batch.Size{MilliCores: n} }

// modelPool is a pool with its hosts, its stored budget, and the owners that believe to own it. The last one is in force.
type modelPool struct {
	name     string
	capacity int64
	stored   caps.Budget
	// running is what really runs there.
	running int64
	owners  []*modelOwner
	waiting int64
}

// modelOwner is an owner. A frozen one goes on to start work while the hosts have not seen its successor.
type modelOwner struct {
	caps.Holding
	pool *modelPool
	// seen is set once the hosts have answered this owner. Before that, everything that they could run counts.
	seen bool
}

func (o *modelOwner) inForce() bool { return o.pool.owners[len(o.pool.owners)-1] == o }

func (o *modelOwner) mayRun() int64 {
	if !o.seen {
		return o.pool.capacity
	}
	return o.pool.running
}

// start starts one task, if the budget has room for it.
func (o *modelOwner) start(size int64) bool {
	reaches := o.seen && (o.inForce() || !o.pool.owners[slices.Index(o.pool.owners, o)+1].seen)
	limit, limited := o.Limit()
	if !reaches || (limited && o.mayRun()+size > limit.MilliCores) || o.pool.running+size > o.pool.capacity {
		return false
	}
	o.pool.running += size
	return true
}

// handle takes budgets and returns the report. Only the owner in force can write to the store.
func (o *modelOwner) handle(budgets []caps.Budget) (caps.Use, bool) {
	for _, b := range budgets {
		o.Take(b)
	}
	if !o.inForce() {
		return caps.Use{}, false
	}
	o.pool.stored = o.Held
	u := caps.Use{
		Running: cores(o.pool.running), MayRun: cores(o.mayRun()), Waiting: cores(o.pool.waiting),
		Ready: cores(min(o.pool.waiting, o.pool.capacity-o.pool.running)), Least: cores(10), Held: o.Held, Stored: true, Void: o.IsVoid(),
	}
	u.Held.Tenant = tenant
	return u, true
}

// message is a request to the owners of a pool, or an answer of one.
type message struct {
	pool    *modelPool
	epoch   int64
	budgets []caps.Budget
	uses    []caps.Use
}

// model is a lender and its successors, pools and a network that loses, delays and repeats messages.
type model struct {
	*rand.Rand
	ledger   *caps.Ledger
	epoch    int64
	stored   map[string]caps.Account
	pools    []*modelPool
	requests []message
	answers  []message
	cap      batch.Size
	version  int64
	// lenderVersion and lenderCap are of the configuration that the lender knows.
	lenderVersion int64
	lenderCap     batch.Size
	// removes reports whether the cap is removed now and then.
	removes bool
}

func (m *model) store() {
	for _, a := range m.ledger.TakeChanged() {
		m.stored[a.Tenant] = a
	}
}

func (m *model) names() []string {
	var out []string
	for _, p := range m.pools {
		out = append(out, p.name)
	}
	return out
}

func (m *model) total() int64 {
	var sum int64
	for _, p := range m.pools {
		sum += p.running
	}
	return sum
}

// highestCap is the highest of the caps that may be in force.
func (m *model) highestCap() int64 {
	known := []batch.Size{m.cap, m.lenderCap}
	for _, p := range m.pools {
		for _, o := range p.owners {
			known = append(known, o.Cap)
		}
	}
	var most int64
	for _, c := range known {
		if !caps.HasCap(c) {
			return caps.Unlimited
		}
		most = max(most, c.MilliCores)
	}
	return most
}

// configure has an owner learn of the newest configuration.
func (o *modelOwner) configure(m *model) {
	if o.Configure(m.cap, m.version) && o.inForce() {
		o.pool.stored = o.Held
	}
}

// configureLender has the lender learn of the newest configuration.
func (m *model) configureLender() {
	m.lenderVersion, m.lenderCap = m.version, m.cap
	if !caps.HasCap(m.cap) {
		m.ledger.Drop(tenant)
	}
}

// removeCap ends the cap for a while. All owners learn of it, but the lender may not.
func (m *model) removeCap() {
	m.cap = batch.Size{}
	for _, p := range m.pools {
		for _, o := range p.owners {
			o.configure(m)
		}
	}
}

// plan divides the cap, if the lender knows of one.
func (m *model) plan() {
	if caps.HasCap(m.lenderCap) {
		caps.Plan(m.ledger, caps.ByDemand{}, tenant, m.lenderCap, m.lenderVersion, m.names())
	}
}

// pick picks a message: mostly the newest one, or any that is late.
func (m *model) pick(messages int) int {
	if m.IntN(3) > 0 {
		return messages - 1
	}
	return m.IntN(messages)
}

func (m *model) step(t *testing.T) {
	p := m.pools[m.IntN(len(m.pools))]
	o := p.owners[m.IntN(len(p.owners))]
	switch m.IntN(20) {
	case 0, 1, 2, 3:
		for range 1 + m.IntN(20) {
			before := m.total()
			if !o.start(10) {
				break
			}
			require.LessOrEqual(t, before+10, m.highestCap(), "pool %s", p.name)
		}
	case 4, 5:
		p.running -= min(10*m.Int64N(8), p.running)
	case 6, 7, 8:
		m.plan()
		if m.IntN(2) == 0 {
			m.store()
		}
		if m.IntN(4) > 0 {
			m.requests = append(m.requests, message{pool: p, epoch: m.epoch, budgets: m.ledger.Take(p.name)})
		}
	case 9, 10, 11:
		// A request is delivered to any owner of the pool, lost or repeated.
		if len(m.requests) == 0 {
			return
		}
		i := m.pick(len(m.requests))
		r := m.requests[i]
		if m.IntN(4) > 0 {
			m.requests = slices.Delete(m.requests, i, i+1)
		}
		owner := r.pool.owners[m.IntN(len(r.pool.owners))]
		if use, ok := owner.handle(r.budgets); ok && m.IntN(4) > 0 {
			m.answers = append(m.answers, message{pool: r.pool, epoch: r.epoch, uses: []caps.Use{use}})
		}
	case 12, 16, 17:
		if len(m.answers) == 0 {
			return
		}
		i := m.pick(len(m.answers))
		a := m.answers[i]
		if m.IntN(4) > 0 {
			m.answers = slices.Delete(m.answers, i, i+1)
		}
		if a.epoch == m.epoch {
			m.ledger.Report(a.pool.name, a.uses, caps.Active)
		}
	case 13:
		p.waiting = 10 * m.Int64N(200)
		if m.IntN(4) == 0 {
			o.seen = true
		}
	case 14, 18:
		switch m.IntN(8) {
		case 0:
			// An owner is replaced, and may go on for a while.
			last := p.owners[len(p.owners)-1]
			p.owners = append(p.owners, &modelOwner{pool: p, Holding: caps.Holding{Held: p.stored, Cap: last.Cap, Version: last.Version}})
			if m.IntN(2) == 0 {
				p.owners = p.owners[1:]
			}
		case 2, 3:
			p.owners = p.owners[len(p.owners)-1:]
		case 1:
			// A lender is replaced. It may have been about to store something.
			m.epoch++
			m.ledger = caps.NewLedger(m.epoch, []caps.Account{m.stored[tenant]})
		}
	case 15, 19:
		switch m.IntN(4) {
		case 0:
			if m.IntN(8) == 0 || !caps.HasCap(m.cap) {
				m.version++
				m.cap = cores(10 * (1 + m.Int64N(100)))
				if m.removes && m.IntN(4) == 0 {
					m.removeCap()
				}
			}
		case 1:
			m.configureLender()
		default:
			for _, o := range p.owners {
				o.configure(m)
			}
		}
	}
}

// Guards against budgets that exceed the cap together: with messages that are lost, late or repeated, owners and lenders that are
// replaced and go on for a while, and caps that are raised and lowered.
func TestStartsStayWithinTheCap(t *testing.T) {
	started := 0
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &model{Rand: rand.New(rand.NewPCG(seed, 1)), epoch: 1, cap: cores(500), version: 1, stored: map[string]caps.Account{}}
			m.lenderVersion, m.lenderCap, m.removes = m.version, m.cap, seed%2 == 1
			m.ledger = caps.NewLedger(m.epoch, nil)
			for i := range 2 + m.IntN(4) {
				p := &modelPool{name: fmt.Sprint("pool-", i), capacity: 600}
				p.owners = []*modelOwner{{pool: p, Holding: caps.Holding{Version: 1, Cap: m.cap}, seen: true}}
				// What has started before the cap counts.
				p.running = 10 * m.Int64N(20)
				m.pools = append(m.pools, p)
			}
			for range 4000 {
				m.step(t)
			}
			started += int(m.total())
			// Once messages arrive, a pool that wants all of the cap gets it.
			m.settle()
			p := m.pools[0]
			for _, other := range m.pools {
				other.running, other.waiting = 0, 0
			}
			p.waiting = 600
			m.settle()
			require.Equal(t, min(m.cap.MilliCores, p.capacity), p.running)
		})
	}
	require.Positive(t, started)
}

// settle has all messages delivered until nothing changes any more.
func (m *model) settle() {
	m.requests, m.answers = nil, nil
	if !caps.HasCap(m.cap) {
		m.version, m.cap = m.version+1, cores(500)
	}
	m.configureLender()
	for _, p := range m.pools {
		p.owners = p.owners[len(p.owners)-1:]
		p.owners[0].seen = true
		p.owners[0].configure(m)
	}
	for range 40 {
		for _, p := range m.pools {
			m.plan()
			m.store()
			for p.waiting > 0 && p.owners[0].start(10) {
				p.waiting -= 10
			}
			if use, ok := p.owners[0].handle(m.ledger.Take(p.name)); ok {
				m.ledger.Report(p.name, []caps.Use{use}, caps.Active)
			}
		}
	}
}

// Guards against a lowered cap that finds a budget of an earlier one in a pool which did not learn of the raise in between.
func TestARaisedCapIsLentOnceEachPoolHasConfirmedIt(t *testing.T) {
	l := caps.NewLedger(1, []caps.Account{{Tenant: tenant, Opened: true, Bounds: map[string]caps.Bound{
		"a": {Amount: cores(50), Cap: cores(100)}, "b": {Amount: cores(50), Cap: cores(100)},
	}}})
	report := func(pool string, b caps.Budget, waiting int64) {
		b.Tenant = tenant
		u := caps.Use{Running: cores(50), MayRun: cores(50), Ready: cores(waiting), Waiting: cores(waiting), Least: cores(10), Held: b, Stored: true}
		l.Report(pool, []caps.Use{u}, caps.Short)
	}
	old := caps.Budget{Amount: cores(50), Cap: cores(100), Version: 1, Epoch: 1, Number: 1}
	step := func(pool string) caps.Budget {
		caps.Plan(l, caps.ByDemand{}, tenant, cores(200), 2, nil)
		l.TakeChanged()
		sent := l.Take(pool)
		require.Len(t, sent, 1)
		return sent[0]
	}
	report("a", old, 100)
	report("b", old, 0)
	first := step("a")
	require.Equal(t, int64(50), first.Amount.MilliCores, "pool b may go on to use its part of the lower cap")
	report("a", first, 100)
	report("b", step("b"), 0)
	require.Greater(t, step("a").Amount.MilliCores, int64(50))
}

// Guards against budgets that are above the cap together, that leave a pool with work below one request, or that overflow.
func TestDivisionsServeEachPoolWithinTheCap(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 2))
		size := func(most int64) batch.Size {
			return batch.Size{MilliCores: r.Int64N(most + 1), MemoryMB: r.Int64N(most + 1), Accelerators: r.Int64N(most/100 + 1)}
		}
		limit := batch.Size{MilliCores: 10_000 + r.Int64N(10_000), MemoryMB: 10_000 * r.Int64N(2)}
		if seed%10 == 0 {
			limit = batch.Size{MilliCores: 1 << 50, MemoryMB: 1}
		}
		pools := make([]caps.Demand, 1+r.IntN(8))
		var running, least batch.Size
		for i := range pools {
			p := &pools[i]
			*p = caps.Demand{Lent: size(4000), Running: size(1200), Recent: size(4000)}
			if r.IntN(2) == 0 {
				p.Least = size(500)
				p.Ready = p.Least.Add(size(1 << 40))
				p.Waiting = p.Ready.Add(size(1 << 40))
				least = least.Add(p.Least)
			}
			running = running.Add(p.Running)
		}
		out := caps.ByDemand{}.Divide(limit, pools)
		var sum batch.Size
		for i := range out {
			require.True(t, out[i].Fits(batch.Size{}), "seed %d", seed)
			sum = sum.Add(out[i])
		}
		fits := running.Add(least)
		served := limit.MilliCores >= fits.MilliCores && (limit.MemoryMB == 0 || limit.MemoryMB >= fits.MemoryMB)
		for i := range pools {
			if p := &pools[i]; served && p.Least != (batch.Size{}) {
				need := p.Running.Add(p.Least)
				require.GreaterOrEqual(t, out[i].MilliCores, need.MilliCores, "seed %d pool %d", seed, i)
				require.True(t, limit.MemoryMB == 0 || out[i].MemoryMB >= need.MemoryMB, "seed %d pool %d", seed, i)
			}
		}
		require.LessOrEqual(t, sum.MilliCores, limit.MilliCores, "seed %d", seed)
		require.True(t, limit.MemoryMB == 0 || sum.MemoryMB <= limit.MemoryMB, "seed %d: %d", seed, sum.MemoryMB)
	}
}

// Guards against a report of some tenants that is taken to say that nothing of the others runs.
func TestAReportOfShortTenantsLeavesOutOthers(t *testing.T) {
	l := caps.NewLedger(1, []caps.Account{{Tenant: tenant, Opened: true, Bounds: map[string]caps.Bound{"a": {Amount: cores(50), Cap: cores(100)}}}})
	l.Report("a", []caps.Use{{Running: cores(30), MayRun: cores(30), Held: caps.Budget{Tenant: tenant}}}, caps.All)
	l.Report("a", nil, caps.Short)
	require.Equal(t, cores(30), l.Lendings(tenant)["a"].Used)
	l.Report("a", nil, caps.Active)
	require.Zero(t, l.Lendings(tenant)["a"].Used)
}

// Guards against a report that cannot be used and is taken to say that nothing runs.
func TestAReportThatIsOutOfRangeLowersNoBound(t *testing.T) {
	l := caps.NewLedger(1, []caps.Account{{Tenant: tenant, Opened: true, Bounds: map[string]caps.Bound{"a": {Amount: cores(50), Cap: cores(100)}}}})
	caps.Plan(l, caps.ByDemand{}, tenant, cores(100), 1, nil)
	l.TakeChanged()
	sent := l.Take("a")
	require.Len(t, sent, 1)
	use := caps.Use{Running: cores(30), MayRun: cores(30), Held: sent[0], Stored: true}
	l.Report("a", []caps.Use{use}, caps.Active)
	use.Waiting = cores(-1)
	l.Report("a", []caps.Use{use}, caps.Active)
	require.Equal(t, cores(30), l.Lendings(tenant)["a"].Used)
}

// Guards against raises that a report takes back before the store has them, so that the next plan makes and writes them again: with a store
// slower than the reports, no budget was ever sent.
func TestAReportTakesBackNoRaiseThatWaitsToBeSent(t *testing.T) {
	bounds := map[string]caps.Bound{"a": {Cap: cores(100)}, "b": {Cap: cores(100)}}
	l := caps.NewLedger(1, []caps.Account{{Tenant: tenant, Opened: true, Bounds: bounds}})
	plan := func() { caps.Plan(l, caps.ByDemand{}, tenant, cores(100), 1, nil) }
	report := func(pool string, u caps.Use) { l.Report(pool, []caps.Use{u}, caps.Active) }
	plan()
	l.TakeChanged()
	a, b := caps.Use{Held: l.Take("a")[0], Stored: true}, caps.Use{Held: l.Take("b")[0], Stored: true}
	report("b", b)
	a.Ready, a.Waiting, a.Least = cores(100), cores(100), cores(1)
	report("a", a)
	plan()
	l.TakeChanged()
	b.Held = l.Take("b")[0]
	report("b", b)
	plan()
	require.NotEmpty(t, l.TakeChanged())
	require.Equal(t, cores(100), l.Lendings(tenant)["a"].Lent)
	report("a", a)
	plan()
	require.Equal(t, cores(100), l.Lendings(tenant)["a"].Lent)
	require.Empty(t, l.TakeChanged())
	require.Equal(t, cores(100), l.Take("a")[0].Amount)
}
