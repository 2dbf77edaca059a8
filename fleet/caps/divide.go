package caps

import (
	"cmp"
	"slices"

	"carawaymux.dev/fleet/batch"
)

// Demand is what a pool has and wants of a tenant's cap.
type Demand struct {
	// Lent is the present budget.
	Lent batch.Size
	// Running, Ready, Waiting and Least are as in [Use].
	Running, Ready, Waiting, Least batch.Size
	// Recent is the largest use of late, fading.
	Recent batch.Size
}

// Policy decides which part of a cap each pool should have.
type Policy interface {
	// Divide returns the amount for each pool. The sum in each dimension is at most the limit. Dimensions in which the limit
	// is 0 are not divided.
	Divide(limit batch.Size, pools []Demand) []batch.Size
}

// FixedSplit is the baseline: each pool has the same part, whatever it wants.
type FixedSplit struct{}

// Divide implements [Policy].
func (FixedSplit) Divide(limit batch.Size, pools []Demand) []batch.Size {
	out := make([]batch.Size, len(pools))
	n := int64(max(len(pools), 1))
	for i := range out {
		out[i] = batch.Size{MilliCores: limit.MilliCores / n, MemoryMB: limit.MemoryMB / n, Accelerators: limit.Accelerators / n}
	}
	return out
}

// ByDemand lends the whole cap by demand. Pools keep what runs, as far as the cap allows. What is left goes first to work that could
// start now, then to work that waits for room, in whole requests and to the pool with the least first. The rest goes to the pools
// in proportion to their recent use.
type ByDemand struct{}

const (
	// portions is the number of steps in which the demand of a pool is granted, while there is room, and maxSteps bounds all of them. They
	// bound the time that a division takes.
	portions, maxSteps = 16, 32
	// commonPart is the inverse of the part of the rest that pools get without recent use.
	commonPart = 1
	// fineness is the inverse of the part of a cap below which budgets are not moved for the sake of the rest alone.
	fineness = 8
)

// Divide implements [Policy].
func (ByDemand) Divide(limit batch.Size, pools []Demand) []batch.Size {
	if keep(limit, pools) {
		return lentOf(pools)
	}
	d := newDivision(limit, pools)
	d.grant(func(p *Demand) batch.Size { return p.Ready })
	served := slices.Clone(d.out)
	d.grant(func(p *Demand) batch.Size { return p.Waiting.Max(p.Ready) })
	d.share()
	if d.changesLittle(served) {
		return lentOf(pools)
	}
	return d.out
}

func lentOf(pools []Demand) []batch.Size {
	out := make([]batch.Size, len(pools))
	for i := range pools {
		out[i] = pools[i].Lent
	}
	return out
}

// keep reports whether the present budgets cover what could start in each pool and are the whole cap, so that nothing
// needs to move.
func keep(limit batch.Size, pools []Demand) bool {
	return isWhole(limit, pools) && !slices.ContainsFunc(pools, func(p Demand) bool {
		return !within(p.Running.Add(p.Ready), p.Lent, limit)
	})
}

// isWhole reports whether nearly all of the cap is lent, and not more than all.
func isWhole(limit batch.Size, pools []Demand) bool {
	var sum batch.Size
	for i := range pools {
		sum = sum.Add(pools[i].Lent)
	}
	for d := range dimensions {
		if of(sum, d) > of(limit, d) || of(limit, d)-of(sum, d) > of(limit, d)/fineness {
			return false
		}
	}
	return true
}

// dimensions is the number of dimensions of a size.
const dimensions = 3

func of(s batch.Size, dimension int) int64 {
	return [...]int64{s.MilliCores, s.MemoryMB, s.Accelerators}[dimension]
}

func at(s *batch.Size, dimension int) *int64 {
	return [...]*int64{&s.MilliCores, &s.MemoryMB, &s.Accelerators}[dimension]
}

// within reports whether an amount is within another one in the dimensions that are limited.
func within(amount, of, limit batch.Size) bool {
	return zip(amount, of, limit, func(amount, of, limit int64) int64 {
		if limit > 0 && amount > of {
			return 1
		}
		return 0
	}) == batch.Size{}
}

// division is one division of a cap.
type division struct {
	limit, left batch.Size
	pools       []Demand
	out         []batch.Size
}

// newDivision returns a division in which each pool keeps what runs. If more runs than the cap allows, each keeps the same part of it.
func newDivision(limit batch.Size, pools []Demand) *division {
	d := &division{limit: limit, left: limit, pools: pools, out: make([]batch.Size, len(pools))}
	for dim := range dimensions {
		var sum int64
		for i := range pools {
			sum += of(pools[i].Running, dim)
		}
		whole := of(limit, dim)
		for i := range pools {
			kept := of(pools[i].Running, dim)
			if sum > whole {
				kept = Scale(kept, whole, sum)
			}
			*at(&d.out[i], dim) = kept
			*at(&d.left, dim) -= kept
		}
	}
	return d
}

// grant grants what pools want beside what runs.
func (d *division) grant(want func(*Demand) batch.Size) {
	open := make([]int, 0, len(d.pools))
	for i := range d.pools {
		if !within(d.pools[i].Running.Add(want(&d.pools[i])), d.out[i], d.limit) {
			open = append(open, i)
		}
	}
	// One request for each pool comes first: a pool may not be able to use what it is granted, since its hosts have room in pieces.
	slices.SortStableFunc(open, d.comparePools)
	for _, i := range open {
		if least := d.pools[i].Least.Min(d.missing(i, want(&d.pools[i]))); within(least, d.left, d.limit) {
			d.add(i, least)
		}
	}
	steps := make([]int, len(d.pools))
	for len(open) > 0 {
		k := d.poorest(open)
		i := open[k]
		portion := d.portion(i, want(&d.pools[i]))
		if steps[i]++; portion == (batch.Size{}) || steps[i] > maxSteps {
			open = slices.Delete(open, k, k+1)
			continue
		}
		d.add(i, portion)
	}
}

// portion returns what a pool is granted in one step, or nothing if not even the least request fits.
func (d *division) portion(i int, all batch.Size) batch.Size {
	p := &d.pools[i]
	missing := d.missing(i, all)
	for part := int64(portions); part <= portions*portions; part *= 4 {
		portion := zip(all.Min(d.limit), p.Least, missing, func(all, least, missing int64) int64 {
			step := max(all/part, 1)
			if least > 0 {
				step = (step + least - 1) / least * least
			}
			return min(step, missing)
		})
		if within(portion, d.left, d.limit) {
			return portion
		}
	}
	if least := p.Least.Min(missing); within(least, d.left, d.limit) {
		return least
	}
	return batch.Size{}
}

// missing returns what a pool has not been granted of what it wants.
func (d *division) missing(i int, want batch.Size) batch.Size {
	return zip(d.pools[i].Running.Add(want), d.out[i], d.limit, func(want, out, limit int64) int64 {
		if limit == 0 {
			return 0
		}
		return max(want-out, 0)
	})
}

func (d *division) add(i int, amount batch.Size) {
	for dim := range dimensions {
		if of(d.limit, dim) > 0 {
			*at(&d.out[i], dim) += of(amount, dim)
			*at(&d.left, dim) -= of(amount, dim)
		}
	}
}

// poorest returns the position of the pool that goes first.
func (d *division) poorest(open []int) int {
	best := 0
	for k := range open {
		if d.comparePools(open[k], open[best]) < 0 {
			best = k
		}
	}
	return best
}

// comparePools orders pools by what they have been granted. Of several with the same, the one goes first that has the budget already, so that
// a budget does not move on before it is used.
func (d *division) comparePools(a, b int) int {
	return cmp.Or(cmp.Compare(d.part(d.out[a]), d.part(d.out[b])), cmp.Compare(d.part(d.pools[b].Lent), d.part(d.pools[a].Lent)))
}

// part returns the largest part that an amount is of the cap in any dimension.
func (d *division) part(amount batch.Size) float64 {
	var most float64
	for dim := range dimensions {
		if whole := of(d.limit, dim); whole > 0 {
			most = max(most, float64(of(amount, dim))/float64(whole))
		}
	}
	return most
}

// share lends the rest in proportion to recent use.
func (d *division) share() {
	for dim := range dimensions {
		rest := of(d.left, dim)
		if rest <= 0 || len(d.pools) == 0 {
			continue
		}
		var recent float64
		for i := range d.pools {
			recent += float64(of(d.pools[i].Recent, dim))
		}
		common := max(recent/commonPart, 1) / float64(len(d.pools))
		for i := range d.pools {
			part := (float64(of(d.pools[i].Recent, dim)) + common) / (recent + common*float64(len(d.pools)))
			amount := min(int64(part*float64(rest)), of(d.left, dim))
			*at(&d.out[i], dim) += amount
			*at(&d.left, dim) -= amount
		}
	}
}

// changesLittle reports whether the present budgets are the whole cap and serve work that could start about as well as a division:
// no pool with such work would get room for one more request.
func (d *division) changesLittle(served []batch.Size) bool {
	if !isWhole(d.limit, d.pools) {
		return false
	}
	for i := range d.pools {
		p := &d.pools[i]
		if within(served[i], p.Lent, d.limit) {
			continue
		}
		unused := zip(p.Lent, p.Running, p.Lent, func(lent, running, _ int64) int64 { return max(lent-running, 0) })
		if !within(p.Least, unused, d.limit) || d.part(served[i]) > d.part(p.Lent)+1.0/fineness {
			return false
		}
	}
	return true
}
