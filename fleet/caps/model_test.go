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
	pool    *modelPool
	held    caps.Budget
	version int64
	cap     batch.Size
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
	limit := o.held.Limit(o.cap, o.version).MilliCores
	if !reaches || o.mayRun()+size > limit || o.pool.running+size > o.pool.capacity {
		return false
	}
	o.pool.running += size
	return true
}

// handle takes budgets and returns the report. Only the owner in force can write to the store.
func (o *modelOwner) handle(budgets []caps.Budget) (caps.Use, bool) {
	for _, b := range budgets {
		if b.IsNewer(&o.held) {
			o.held = b
		}
	}
	if !o.inForce() {
		return caps.Use{}, false
	}
	o.pool.stored = o.held
	u := caps.Use{
		Running: cores(o.pool.running), MayRun: cores(o.mayRun()), Waiting: cores(o.pool.waiting),
		Ready: cores(min(o.pool.waiting, o.pool.capacity-o.pool.running)), Least: cores(10), Held: o.held, Stored: true,
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
	most := max(m.cap.MilliCores, m.lenderCap.MilliCores)
	for _, p := range m.pools {
		for _, o := range p.owners {
			most = max(most, o.cap.MilliCores)
		}
	}
	return most
}

func (m *model) step(t *testing.T) {
	p := m.pools[m.IntN(len(m.pools))]
	o := p.owners[m.IntN(len(p.owners))]
	switch m.IntN(16) {
	case 0, 1, 2, 3:
		before := m.total()
		if o.start(10) {
			require.LessOrEqual(t, before+10, m.highestCap(), "pool %s", p.name)
		}
	case 4, 5:
		if p.running > 0 {
			p.running -= 10
		}
	case 6, 7, 8:
		m.ledger.Plan(caps.ByDemand{}, tenant, m.lenderCap, m.lenderVersion, m.names())
		if m.IntN(4) > 0 {
			m.store()
			m.requests = append(m.requests, message{pool: p, epoch: m.epoch, budgets: m.ledger.Take(p.name)})
		}
	case 9, 10, 11:
		// A request is delivered to any owner of the pool, lost or repeated.
		if len(m.requests) == 0 {
			return
		}
		i := m.IntN(len(m.requests))
		r := m.requests[i]
		if m.IntN(4) > 0 {
			m.requests = slices.Delete(m.requests, i, i+1)
		}
		owner := r.pool.owners[m.IntN(len(r.pool.owners))]
		if use, ok := owner.handle(r.budgets); ok && m.IntN(4) > 0 {
			m.answers = append(m.answers, message{pool: r.pool, epoch: r.epoch, uses: []caps.Use{use}})
		}
	case 12:
		if len(m.answers) == 0 {
			return
		}
		i := m.IntN(len(m.answers))
		a := m.answers[i]
		if m.IntN(4) > 0 {
			m.answers = slices.Delete(m.answers, i, i+1)
		}
		if a.epoch == m.epoch {
			m.ledger.Report(a.pool.name, a.uses)
		}
	case 13:
		p.waiting = 10 * m.Int64N(200)
		if m.IntN(4) == 0 {
			o.seen = true
		}
	case 14:
		switch m.IntN(8) {
		case 0:
			// An owner is replaced, and may go on for a while.
			last := p.owners[len(p.owners)-1]
			p.owners = append(p.owners, &modelOwner{pool: p, held: p.stored, version: last.version, cap: last.cap})
			if m.IntN(2) == 0 || len(p.owners) > 3 {
				p.owners = p.owners[1:]
			}
		case 1:
			// A lender is replaced. It may have been about to store something.
			m.epoch++
			m.ledger = caps.NewLedger(m.epoch, []caps.Account{m.stored[tenant]})
		}
	case 15:
		switch m.IntN(4) {
		case 0:
			if m.IntN(4) == 0 {
				m.version++
				m.cap = cores(10 * (1 + m.Int64N(100)))
			}
		case 1:
			m.lenderVersion, m.lenderCap = m.version, m.cap
		default:
			o.version, o.cap = m.version, m.cap
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
			m.lenderVersion, m.lenderCap = m.version, m.cap
			m.ledger = caps.NewLedger(m.epoch, nil)
			for i := range 2 + m.IntN(4) {
				p := &modelPool{name: fmt.Sprint("pool-", i), capacity: 600}
				p.owners = []*modelOwner{{pool: p, version: 1, cap: m.cap, seen: true}}
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
	m.lenderVersion, m.lenderCap = m.version, m.cap
	for _, p := range m.pools {
		p.owners = p.owners[len(p.owners)-1:]
		p.owners[0].seen, p.owners[0].version, p.owners[0].cap = true, m.version, m.cap
	}
	for range 40 {
		for _, p := range m.pools {
			m.ledger.Plan(caps.ByDemand{}, tenant, m.cap, m.version, m.names())
			m.store()
			for p.waiting > 0 && p.owners[0].start(10) {
				p.waiting -= 10
			}
			if use, ok := p.owners[0].handle(m.ledger.Take(p.name)); ok {
				m.ledger.Report(p.name, []caps.Use{use})
			}
		}
	}
}
