package caps

import (
	"cmp"
	"maps"
	"slices"

	"carawaymux.dev/fleet/batch"
)

// Bound limits what may run of a tenant in a pool.
type Bound struct {
	Amount batch.Size `cbor:"1,keyasint"`
	// Cap is the cap of which Amount is a part. Nothing is known in a dimension in which it is 0.
	Cap batch.Size `cbor:"2,keyasint"`
}

// Account is the stored part of what the ledger holds of a tenant.
type Account struct {
	Tenant string `cbor:"1,keyasint"`
	// Bounds holds the bounds by pool.
	Bounds map[string]Bound `cbor:"2,keyasint"`
	// Opened reports whether each pool that may run work of the tenant has a bound. Pools that appear later begin with nothing.
	Opened bool `cbor:"3,keyasint,omitempty"`
}

// Ledger holds what a lender knows of the budgets. A bound is above what ever runs in its pool. The caller stores the accounts that
// [Ledger.TakeChanged] returns. Once the store has all of them, it sends the budgets that [Ledger.Take] returns.
type Ledger struct {
	epoch, number int64
	accounts      map[string]*account
	// changed holds the tenants whose accounts have to be stored.
	changed map[string]struct{}
	// touched holds the tenants of which a report or a bound has changed since they were last planned.
	touched map[string]struct{}
	// due holds the entries whose budgets have to be sent, by pool and tenant.
	due map[string]map[string]*entry
}

type account struct {
	cap     batch.Size
	version int64
	opened  bool
	pools   map[string]*entry
	// unstored counts the changes that the store does not have.
	unstored int
}

// entry is what the ledger holds of a tenant in a pool.
type entry struct {
	pool, tenant string
	bound        Bound
	// target is the budget that the pool should have. It is at most the bound, but for tenants without an opened account.
	target batch.Size
	// sent is the newest budget that was sent, and the zero one if this lender has sent none.
	sent Budget
	// use is the newest report, if reported is set.
	use      Use
	reported bool
	recent   batch.Size
}

// NewLedger returns the ledger of a lender with what earlier ones have stored.
func NewLedger(epoch int64, stored []Account) *Ledger {
	l := &Ledger{epoch: epoch, accounts: map[string]*account{}, changed: map[string]struct{}{}, touched: map[string]struct{}{}, due: map[string]map[string]*entry{}}
	for _, s := range stored {
		a := &account{opened: s.Opened, pools: map[string]*entry{}}
		for pool, b := range s.Bounds {
			b.Amount, b.Cap = b.Amount.Max(batch.Size{}), b.Cap.Max(batch.Size{})
			if !s.Opened {
				// The tenant may have had no cap since the pool has confirmed what runs.
				b.Cap = batch.Size{}
			}
			a.pools[pool] = &entry{pool: pool, tenant: s.Tenant, bound: b, target: b.Amount}
		}
		l.accounts[s.Tenant] = a
	}
	return l
}

// Tenants returns the tenants with an account, in the order of their names.
func (l *Ledger) Tenants() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Drop closes the account of a tenant without a cap. When it gets one again, all pools are asked first what runs.
func (l *Ledger) Drop(tenant string) {
	if a := l.accounts[tenant]; a != nil {
		for _, e := range a.pools {
			l.setDue(e, false)
		}
		delete(l.accounts, tenant)
		l.changed[tenant] = struct{}{}
	}
}

// newEntry returns the entry of a pool that the ledger does not know yet. Its owner has had no budget, so it has started nothing since the
// account was opened.
func (a *account) newEntry(pool, tenant string) *entry {
	e := &entry{pool: pool, tenant: tenant}
	if a.opened {
		e.bound.Cap = a.cap
	}
	return e
}

// Report takes what the owner of a pool has reported of the tenants in a scope, in any order.
func (l *Ledger) Report(pool string, uses []Use, scope Scope) {
	reported := map[string]struct{}{}
	for i := range uses {
		u := &uses[i]
		reported[u.Held.Tenant] = struct{}{}
		if !u.isValid() {
			continue
		}
		a := l.accounts[u.Held.Tenant]
		if a == nil {
			continue
		}
		e := a.pools[pool]
		if e == nil {
			// A pool that the ledger does not know yet. What runs there counts.
			e = a.newEntry(pool, u.Held.Tenant)
			a.pools[pool] = e
		}
		if u.Void && a.opened {
			l.reopen(u.Held.Tenant, a)
		} else if u.Void {
			e.bound.Cap = batch.Size{}
		}
		u.Running, u.MayRun, u.Ready, u.Waiting, u.Least = clampTo(u.Running), clampTo(u.MayRun), clampTo(u.Ready), clampTo(u.Waiting), clampTo(u.Least)
		l.touch(u.Held.Tenant, !e.reported || e.use != *u)
		e.use, e.reported = *u, true
		l.confirm(a, e, u.Held.Tenant)
	}
	if scope == Short {
		return
	}
	// Owners leave out tenants that have nothing there.
	for tenant, a := range l.accounts {
		if e := a.pools[pool]; e != nil && e.reported {
			if _, ok := reported[tenant]; !ok {
				idle := Use{Held: e.use.Held, Stored: e.use.Stored}
				l.touch(tenant, e.use != idle)
				e.use = idle
				l.confirm(a, e, tenant)
			}
		}
	}
}

// reopen forgets the bounds of a tenant that has had no cap for a while without this lender having noticed.
func (l *Ledger) reopen(tenant string, a *account) {
	a.opened = false
	for _, e := range a.pools {
		e.bound.Cap = batch.Size{}
	}
	l.markChanged(tenant, a)
}

// touch has a tenant planned if something has changed.
func (l *Ledger) touch(tenant string, changed bool) {
	if changed {
		l.touched[tenant] = struct{}{}
	}
}

// TakeTouched returns the tenants of which something has changed since they were last planned.
func (l *Ledger) TakeTouched() []string {
	out := slices.Sorted(maps.Keys(l.touched))
	clear(l.touched)
	return out
}

// confirm adjusts the bound of a pool to its newest report. Only a report of an owner that has stored the newest budget lowers it:
// no budget that was sent before can take effect there any more. A budget that waits to be sent stays within the bound: taking back a raise
// whenever a report arrives before the store has it would have a slow store write raise after raise and no budget be sent. What a new owner
// supposes of hosts that have not answered does not raise it, but what certainly runs counts in any case.
func (l *Ledger) confirm(a *account, e *entry, tenant string) {
	u, was := &e.use, e.bound
	if u.Stored && e.sent.Number > 0 && u.Held.Is(&e.sent) {
		confirmed := e.sent.Amount.Max(clampTo(u.MayRun))
		if a.opened {
			confirmed = confirmed.Max(e.target)
		}
		e.bound.Amount = zip(confirmed, e.bound.Amount, e.bound.Cap, func(confirmed, bound, known int64) int64 {
			if known == 0 || !a.opened {
				return confirmed
			}
			return min(confirmed, bound)
		})
		e.bound.Cap = e.sent.Cap
	}
	e.bound.Amount = e.bound.Amount.Max(clampTo(u.Running))
	if e.bound != was {
		l.markChanged(tenant, a)
	}
}

func (l *Ledger) markChanged(tenant string, a *account) {
	a.unstored++
	l.changed[tenant], l.touched[tenant] = struct{}{}, struct{}{}
}

// Plan decides which part of its cap each pool should have. The argument pools holds the pools that may have work of the tenant, without
// those that the ledger knows already.
func Plan[P Policy](l *Ledger, policy P, tenant string, limit batch.Size, version int64, pools []string) {
	delete(l.touched, tenant)
	a := l.accounts[tenant]
	if a == nil {
		a = &account{pools: map[string]*entry{}}
		l.accounts[tenant] = a
		l.markChanged(tenant, a)
	}
	a.cap, a.version = limit, version
	for _, pool := range pools {
		if a.pools[pool] == nil {
			a.pools[pool] = a.newEntry(pool, tenant)
		}
	}
	names := slices.Sorted(maps.Keys(a.pools))
	if unknown := a.unknown(); HasCap(unknown) {
		// What some pool runs is not known, so a start anywhere could exceed the cap.
		for _, name := range names {
			e := a.pools[name]
			l.aim(a, e, zip(e.target.Min(e.bound.Amount), unknown, limit, func(amount, unknown, _ int64) int64 {
				if unknown > 0 || !a.opened {
					return 0
				}
				return amount
			}))
		}
		return
	}
	if !a.opened {
		a.opened = true
		l.markChanged(tenant, a)
	}
	demands := make([]Demand, len(names))
	for i, name := range names {
		demands[i] = a.pools[name].demand()
	}
	l.apply(tenant, a, names, policy.Divide(limit, demands))
}

// unknown returns a size that is positive in the dimensions that the cap limits and in which the bound of some pool is missing.
func (a *account) unknown() batch.Size {
	var out batch.Size
	for _, e := range a.pools {
		out = out.Max(e.unknown(a.cap))
	}
	return out
}

func (e *entry) unknown(limit batch.Size) batch.Size {
	return zip(limit, e.bound.Cap, limit, func(limit, known, _ int64) int64 {
		if known > 0 {
			return 0
		}
		return limit
	})
}

// Unknown returns a pool whose bound is missing, so that nothing of the tenant's cap is lent, or nothing.
func (l *Ledger) Unknown(tenant string) string {
	if a := l.accounts[tenant]; a != nil {
		for _, name := range slices.Sorted(maps.Keys(a.pools)) {
			if HasCap(a.pools[name].unknown(a.cap)) {
				return name
			}
		}
	}
	return ""
}

// fading is the inverse of the part of the recent use that is forgotten in a division.
const fading = 16

// demand returns what a pool wants.
func (e *entry) demand() Demand {
	u := &e.use
	use := u.Running.Add(clampTo(u.Ready))
	e.recent = zip(e.recent, use, use, func(recent, use, _ int64) int64 { return max(use, recent-recent/fading-1, 0) })
	return Demand{
		Lent: e.target, Running: clampTo(u.Running), Ready: clampTo(u.Ready), Waiting: clampTo(u.Waiting), Least: clampTo(u.Least), Recent: e.recent,
	}
}

// apply lowers and raises budgets towards what the pools should have. A raise is limited to what all bounds together leave of the cap.
func (l *Ledger) apply(tenant string, a *account, names []string, wanted []batch.Size) {
	whole, room := a.cap, a.cap
	for _, e := range a.pools {
		room = room.Sub(e.bound.Amount)
		whole = e.bound.lowest(whole)
	}
	amounts := make([]batch.Size, len(names))
	for i, name := range names {
		amounts[i] = a.pools[name].lowered(wanted[i], room)
	}
	room = room.Sub(a.cap.Sub(whole))
	// Work that could start now comes first.
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	isShort := func(i int) int {
		e := a.pools[names[i]]
		if within(e.use.Running.Add(e.use.Ready), e.bound.Amount, a.cap) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(isShort(i), isShort(j)) })
	for _, i := range order {
		e := a.pools[names[i]]
		before := e.bound
		for d := range dimensions {
			raise := min(of(wanted[i], d)-of(e.bound.Amount, d), of(room, d))
			if of(a.cap, d) == 0 || raise <= 0 {
				continue
			}
			*at(&e.bound.Amount, d) += raise
			*at(&room, d) -= raise
			*at(&amounts[i], d) = of(e.bound.Amount, d)
		}
		if e.bound != before {
			e.bound.Cap = a.cap
			l.markChanged(tenant, a)
		}
		l.aim(a, e, amounts[i])
	}
}

// lowest returns the lower of a cap and of the one of which the bound is a part. An owner that does not know of a higher cap goes on to use
// its budget when the cap is lowered again, so nothing beyond the lower cap is lent until it has confirmed a budget of the higher one.
func (b *Bound) lowest(limit batch.Size) batch.Size {
	return zip(limit, b.Cap, b.Amount, func(limit, lent, amount int64) int64 {
		if amount == 0 || lent == 0 {
			return limit
		}
		return min(limit, lent)
	})
}

// lowered returns the part of what a pool should have that it may have without a raise. While all bounds together exceed the cap, that is
// nothing: the cap was lowered, or work was started before there was one, and a start anywhere could exceed the cap.
func (e *entry) lowered(wanted, room batch.Size) batch.Size {
	return zip(wanted, e.bound.Amount, room, func(wanted, bound, room int64) int64 {
		if room < 0 {
			return 0
		}
		return min(wanted, bound)
	})
}

// aim sets the budget that the pool should have, and whether it has to be sent.
func (l *Ledger) aim(a *account, e *entry, amount batch.Size) {
	for d := range dimensions {
		if of(a.cap, d) == 0 {
			*at(&amount, d) = 0
		}
	}
	e.target = amount
	held := &e.use.Held
	isHeld := e.reported && held.Number > 0 && held.Amount == amount && held.Cap == a.cap
	// An earlier lender may have lent just that.
	isSettled := held.Is(&e.sent) || (within(e.bound.Amount, amount, a.cap) && e.bound.Cap == a.cap)
	l.setDue(e, !isHeld || !isSettled)
}

// setDue sets whether the budget of a pool has to be sent.
func (l *Ledger) setDue(e *entry, due bool) {
	if !due {
		delete(l.due[e.pool], e.tenant)
		return
	}
	if l.due[e.pool] == nil {
		l.due[e.pool] = map[string]*entry{}
	}
	l.due[e.pool][e.tenant] = e
}

// TakeChanged returns the accounts that have changed since the last call. An account without bounds is to be deleted.
func (l *Ledger) TakeChanged() []Account {
	var out []Account
	for _, tenant := range slices.Sorted(maps.Keys(l.changed)) {
		s := Account{Tenant: tenant}
		if a := l.accounts[tenant]; a != nil {
			s.Opened, s.Bounds = a.opened, make(map[string]Bound, len(a.pools))
			for pool, e := range a.pools {
				s.Bounds[pool] = e.bound
			}
			a.unstored = 0
		}
		out = append(out, s)
	}
	clear(l.changed)
	return out
}

// Take returns the budgets that are to be sent to the owner of a pool, and counts them as sent. Budgets of accounts that have changed since
// TakeChanged wait. A budget that was sent and has not been reported since is sent again.
func (l *Ledger) Take(pool string) []Budget {
	var out []Budget
	for _, tenant := range slices.Sorted(maps.Keys(l.due[pool])) {
		a, e := l.accounts[tenant], l.due[pool][tenant]
		if a.unstored > 0 {
			continue
		}
		l.number++
		e.sent = Budget{Tenant: tenant, Amount: e.target, Cap: a.cap, Version: a.version, Epoch: l.epoch, Number: l.number, Opening: !a.opened}
		out = append(out, e.sent)
	}
	return out
}

// IsDue reports whether budgets wait to be sent to the owner of a pool.
func (l *Ledger) IsDue(pool string) bool {
	for tenant := range l.due[pool] {
		if l.accounts[tenant].unstored == 0 {
			return true
		}
	}
	return false
}

// Lending is what a pool has and wants of a cap, for logs and metrics.
type Lending struct {
	Lent, Used, Wanted batch.Size
}

// Lendings returns the lendings of a tenant by pool.
func (l *Ledger) Lendings(tenant string) map[string]Lending {
	out := map[string]Lending{}
	if a := l.accounts[tenant]; a != nil {
		for pool, e := range a.pools {
			out[pool] = Lending{Lent: e.bound.Amount, Used: e.use.Running, Wanted: e.use.Running.Add(e.use.Waiting)}
		}
	}
	return out
}
