package model

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/grade"
)

// start starts work in the order of its slack, or the smallest jobs first while the pool is overloaded. Large jobs have
// their share then.
func (r *run) start(i int, at time.Duration) {
	p, k := r.pools[i], &r.fleet.Kinds[i]
	room := float64(r.hosts(k.Pool))*hostCores*usable - p.used
	if len(p.queue) == 0 || room <= 0 {
		return
	}
	waiting := 0.0
	for _, j := range p.queue {
		waiting += j.waiting * k.Duration.Seconds()
		if r.isLate(j, at) {
			r.lose(p, j, at)
		}
	}
	overloaded := waiting > float64(r.hosts(k.Pool))*hostCores
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		lateA, lateB := r.isLate(a, at), r.isLate(b, at)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		if overloaded {
			return cmp.Compare(a.waiting*float64(a.left), b.waiting*float64(b.left))
		}
		return cmp.Compare(a.objective-time.Duration(a.left)*k.Duration, b.objective-time.Duration(b.left)*k.Duration)
	})
	isLate := func(j *job) bool { return r.isLate(j, at) }
	turnsOf := func(jobs []*job) *turns {
		return newTurns(jobs, &p.tally, func(j *job) bool { return overloaded && !r.fleet.NoSizeShare && !isLate(j) })
	}
	var next order
	if overloaded && p.accounts != nil {
		next = newByTenant(p.queue, p.accounts, isLate, turnsOf)
	} else {
		next = turnsOf(p.queue)
	}
	for j := next.pop(); j != nil; j = next.pop() {
		n := min(j.waiting, room)
		if n <= 0 {
			break
		}
		late := r.isLate(j, at)
		if !j.begun && !late {
			j.begun, j.begunAt = true, at
			left := j.cores * float64(j.left) * k.Duration.Seconds()
			j.finish = left <= float64(r.hosts(k.Pool))*hostCores*finishTime.Seconds()
			p.tally.Begin(j.size, epoch.Add(at))
		}
		j.waiting -= n
		j.active += n
		room -= n
		p.used += n
		if p.accounts != nil {
			p.accounts[j.tenant].Charge(n*k.Duration.Seconds(), epoch.Add(at))
		}
		p.running = append(p.running, running{at + k.Duration, n, j, late})
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.waiting <= rounding })
}

// lose counts a job that is late, if it was begun in time.
func (r *run) lose(p *pool, j *job, at time.Duration) {
	if j.begun && !j.lost {
		j.lost = true
		p.tally.Lose(j.size, epoch.Add(j.begunAt), epoch.Add(at))
	}
}

// turns goes through jobs in their order, but for the share of large ones.
type turns struct {
	tally *grade.Tally
	// begun holds the large jobs that were begun, and waiting the others, by size.
	begun, waiting [grade.Grades][]*job
	// position holds the place of each job in the order.
	position map[*job]int
}

// newTurns returns the turns of jobs. The order counts for those for which shares reports false.
func newTurns(jobs []*job, tally *grade.Tally, shares func(*job) bool) *turns {
	t := &turns{tally: tally, position: make(map[*job]int, len(jobs))}
	for i, j := range jobs {
		t.position[j] = i
		switch {
		case j.size == grade.Rest || !shares(j):
			t.waiting[grade.Rest] = append(t.waiting[grade.Rest], j)
		case j.begun:
			t.begun[j.size] = append(t.begun[j.size], j)
		default:
			t.waiting[j.size] = append(t.waiting[j.size], j)
		}
	}
	return t
}

// pop removes the next job and returns it, or nil when there is none.
func (t *turns) pop() *job {
	var first *[]*job
	firstTurn := 0
	consider := func(jobs *[]*job, turn int) {
		if len(*jobs) == 0 {
			return
		}
		if first == nil || cmp.Or(cmp.Compare(turn, firstTurn), cmp.Compare(t.position[(*jobs)[0]], t.position[(*first)[0]])) < 0 {
			first, firstTurn = jobs, turn
		}
	}
	for g := range grade.Grades {
		begunTurn, turn := 2, 2
		if g != grade.Rest && t.tally.Behind(g, grade.LeastShare) {
			begunTurn, turn = 1, 1
		}
		if g != grade.Rest && t.tally.Behind(g, grade.BegunShare) {
			begunTurn = 0
		}
		consider(&t.begun[g], begunTurn)
		consider(&t.waiting[g], turn)
	}
	if first == nil {
		return nil
	}
	j := (*first)[0]
	*first = (*first)[1:]
	return j
}
