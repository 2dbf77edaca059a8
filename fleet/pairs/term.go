package pairs

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// forgetTime is the time in which the variance of a term that is not observed grows by forgetVariance, which stands
	// for a change of durations by half.
	forgetTime     = 6 * time.Hour
	forgetVariance = 0.16
)

// term is one term of the logarithm of a ratio: an estimate with its variance, observed last at seen.
type term struct {
	mean, variance float64
	seen           time.Time
}

// at returns the term at a later time.
func (t term) at(now time.Time) term {
	grown := t.variance + forgetVariance*max(now.Sub(t.seen), 0).Seconds()/forgetTime.Seconds()
	t.variance = min(grown, max(forgetVariance, t.variance))
	return t
}

// observe moves the term towards a value that has a variance.
func (t *term) observe(value, noise float64, now time.Time) {
	aged := t.at(now)
	bound := maxDeviation * math.Sqrt(aged.variance+noise)
	gain := aged.variance / (aged.variance + noise)
	t.mean += gain * max(min(value-t.mean, bound), -bound)
	t.variance, t.seen = max(aged.variance*(1-gain), leastVariance*noise), now
}

// group is what the runs of one host or source show of a pair: how many there were, and a mean that favors newer ones.
type group struct {
	// id is a hash of the name. Two names of one hash count as one group, which delays a suspicion at most.
	id, runs uint32
	mean     float64
}

const (
	// maxGroups is the number of newest groups that are kept.
	maxGroups = 6
	// groupWeight is the least weight of a new run in the mean of a group.
	groupWeight = 0.25
)

// groups holds the groups with the newest runs, the newest last.
type groups []group

func (g *groups) add(name string, effect float64) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	entry := group{id: hash.Sum32()}
	at := slices.IndexFunc(*g, func(known group) bool { return known.id == entry.id })
	if at >= 0 {
		entry = (*g)[at]
		*g = slices.Delete(*g, at, at+1)
	} else if len(*g) == maxGroups {
		*g = slices.Delete(*g, 0, 1)
	}
	entry.runs++
	entry.mean += max(1/float64(entry.runs), groupWeight) * (effect - entry.mean)
	*g = append(*g, entry)
}

// supporting returns the number of groups that show an effect.
func (g groups) supporting(effect float64) int {
	n := 0
	for _, entry := range g {
		if entry.mean >= effect {
			n++
		}
	}
	return n
}

// support reports whether at least a number of groups show an effect, and most of them.
func (g groups) support(effect float64, least int) bool {
	n := g.supporting(effect)
	return n >= least && 2*n > len(g)
}

// oldestKeys returns the keys of the part of a map that leaves at once, the entries that were seen longest ago.
func oldestKeys[K cmp.Ordered, V any](m map[K]V, seen func(V) time.Time) []K {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b K) int {
		return cmp.Or(seen(m[a]).Compare(seen(m[b])), cmp.Compare(a, b))
	})
	return keys[:max(len(keys)/evictedShare, 1)]
}

func evictOldest[K cmp.Ordered, V any](m map[K]V, seen func(V) time.Time) {
	for _, k := range oldestKeys(m, seen) {
		delete(m, k)
	}
}

// evictImages drops the images that were seen longest ago.
func (l *Learner) evictImages() {
	for _, name := range oldestKeys(l.images, func(i *image) time.Time { return i.base.seen }) {
		l.dropImage(name)
	}
}

// evictBeside drops pairs of an image.
func (l *Learner) evictBeside(img *image) { l.evict(slices.Collect(maps.Values(img.beside))) }

// evictPairs drops pairs of all images.
func (l *Learner) evictPairs() {
	all := make([]*pair, 0, l.pairCount)
	for _, img := range l.images {
		all = slices.AppendSeq(all, maps.Values(img.beside))
	}
	l.evict(all)
}

// evict drops those of some pairs that were seen longest ago, suspected ones last: they are kept apart, so they are seen
// seldom.
func (l *Learner) evict(all []*pair) {
	slices.SortFunc(all, func(a, b *pair) int {
		if a.suspect != b.suspect {
			return cmp.Compare(rank(a.suspect), rank(b.suspect))
		}
		return cmp.Or(a.with.seen.Compare(b.with.seen), a.compare(b.key))
	})
	for _, p := range all[:max(len(all)/evictedShare, 1)] {
		l.dropPair(l.images[p.image], p)
	}
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

func (k key) compare(other key) int {
	return cmp.Or(cmp.Compare(k.image, other.image), cmp.Compare(k.neighbor, other.neighbor))
}

func (l *Learner) dropImage(name string) {
	img := l.images[name]
	for _, p := range img.beside {
		l.dropPair(img, p)
	}
	delete(l.images, name)
}

func (l *Learner) dropPair(img *image, p *pair) {
	if p.suspect {
		l.setSuspect(p, false, p.with.seen)
	}
	delete(img.beside, p.neighbor)
	l.pairCount--
}

// Expire drops the entries that were not seen for retention and ends the suspicions that are too old. It looks at all
// entries at most once per scanInterval, and at suspected pairs each time.
func (l *Learner) Expire(now time.Time) {
	for _, k := range slices.SortedFunc(maps.Keys(l.suspected), key.compare) {
		l.judge(l.suspected[k], now)
	}
	// The effects of suspected pairs have moved since.
	l.partners = nil
	if now.Before(l.nextScan) {
		return
	}
	l.nextScan = now.Add(scanInterval)
	old := func(t *term) bool { return now.Sub(t.seen) > retention }
	for name, img := range l.images {
		if old(&img.base) {
			l.dropImage(name)
			continue
		}
		for _, p := range img.beside {
			if old(&p.with) {
				l.dropPair(img, p)
			}
		}
	}
	maps.DeleteFunc(l.hosts, func(_ string, h *term) bool { return old(h) })
}

// scanInterval is the time between scans for old entries.
const scanInterval = 10 * time.Minute
