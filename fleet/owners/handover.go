package owners

import (
	"cmp"
	"slices"
	"time"
)

// handoverGain is the least ratio of the load per capacity of an owner before a hand-over to that of
// the new owner after it. Smaller gains are not worth the interruption.
const handoverGain = 2

// Handover is a proposal to move a pool to a stronger member.
type Handover struct{ Pool, From, To string }

// NextHandover returns the hand-over of the member with the highest load per capacity among those
// that have one, and reports whether there is any. All members that know the same state choose the
// same hand-over. The map holds the owner of each pool that may move. Pools move only to members
// with a higher capacity, so a sequence of hand-overs ends.
func NextHandover[P Policy](policy P, ownerByPool map[string]string, members []Member, opts ...Option) (Handover, bool) {
	members = withKnownCapacities(members)
	s := newSettings(opts)
	pools := poolsByOwner(ownerByPool, s)
	var next Handover
	var from Member
	for _, m := range members {
		if next.Pool != "" && !isBusier(m, from) {
			continue
		}
		for _, pool := range pools[m.Name] {
			if to, ok := handoverTarget(policy, pool, s.weight(pool), m, members); ok {
				next, from = Handover{pool, m.Name, to}, m
				break
			}
		}
	}
	return next, next.Pool != ""
}

// poolsByOwner returns the pools of each owner, the heaviest first and then by name.
func poolsByOwner(ownerByPool map[string]string, s settings) map[string][]string {
	out := map[string][]string{}
	for pool, owner := range ownerByPool {
		out[owner] = append(out[owner], pool)
	}
	for _, pools := range out {
		slices.SortFunc(pools, func(a, b string) int { return cmp.Or(cmp.Compare(s.weight(b), s.weight(a)), cmp.Compare(a, b)) })
	}
	return out
}

// isBusier reports whether a has more load per capacity than b, or the same and a lower name.
func isBusier(a, b Member) bool {
	return cmp.Or(cmp.Compare(b.Load*a.Capacity, a.Load*b.Capacity), cmp.Compare(a.Name, b.Name)) < 0
}

// handoverTarget returns the member that claims a pool once its owner has released it, and reports
// whether that is worth a hand-over. The capacities of the members are known.
func handoverTarget[P Policy](policy P, pool string, weight int, owner Member, members []Member) (string, bool) {
	members = slices.Clone(members)
	for i := range members {
		if members[i].Name == owner.Name {
			members[i].Load -= weight
		}
	}
	name := Assign(policy, []string{pool}, members, WithWeights(func(string) int { return weight }))[pool]
	to := members[slices.IndexFunc(members, func(m Member) bool { return m.Name == name })]
	gain := owner.Load*to.Capacity >= handoverGain*(to.Load+weight)*owner.Capacity
	return name, gain && to.Capacity > owner.Capacity
}

// Rebalancer decides when a member hands a pool over. It reads no clock: its methods take the time.
type Rebalancer[P Policy] struct {
	Policy P
	// Wait is the time for which a hand-over must be possible, and no stronger member may have come
	// or gone, before it is carried out.
	Wait time.Duration

	// since is the start of that time. It is zero while no hand-over is possible.
	since time.Time
	// lastAt is when Next was last called, and stronger holds the stronger members at that time, sorted
	// by name.
	lastAt   time.Time
	stronger []process
}

// process identifies a process of a member.
type process struct {
	name        string
	incarnation int64
}

// Next returns the hand-over that the named member should carry out now, if any. The state must be
// one in which every pool has an owner. Each hand-over that it returns starts a new wait.
func (r *Rebalancer[P]) Next(now time.Time, self string, ownerByPool map[string]string, members []Member, opts ...Option) (Handover, bool) {
	missed := now.Sub(r.lastAt) > r.Wait/2
	r.lastAt = now
	stronger := strongerThan(self, members)
	if missed || !slices.Equal(stronger, r.stronger) {
		r.since = time.Time{}
	}
	r.stronger = stronger
	if len(stronger) == 0 || !canHandOver(r.Policy, self, ownerByPool, members, opts) {
		r.since = time.Time{}
		return Handover{}, false
	}
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.since) < r.Wait {
		return Handover{}, false
	}
	// Only one member hands over at a time, because others would count on the same idle member.
	next, _ := NextHandover(r.Policy, ownerByPool, members, opts...)
	if next.From != self {
		return Handover{}, false
	}
	r.since = time.Time{}
	return next, true
}

// canHandOver reports whether a member has a hand-over, regardless of those of other members.
func canHandOver[P Policy](policy P, name string, ownerByPool map[string]string, members []Member, opts []Option) bool {
	own := map[string]string{}
	for pool, owner := range ownerByPool {
		if owner == name {
			own[pool] = owner
		}
	}
	_, ok := NextHandover(policy, own, members, opts...)
	return ok
}

// strongerThan returns the processes of the members with a higher capacity, sorted by name.
func strongerThan(self string, members []Member) []process {
	members = withKnownCapacities(members)
	capacity := 0
	for _, m := range members {
		if m.Name == self {
			capacity = m.Capacity
		}
	}
	var out []process
	for _, m := range members {
		if m.Capacity > capacity {
			out = append(out, process{m.Name, m.Incarnation})
		}
	}
	slices.SortFunc(out, func(a, b process) int { return cmp.Compare(a.name, b.name) })
	return out
}
