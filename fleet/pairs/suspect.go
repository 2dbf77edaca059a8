package pairs

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A pair is suspected from minEffect and minDeviations standard deviations on, with at least minRuns runs, and
	// minHosts hosts and minSources sources, and most of the newest of each, that show at least half the effect. Separation
	// has to bring durations to within a tenth of those alone, so a lower effect does not matter. Some hosts may be slow,
	// and the inputs of some jobs large, without a neighbor.
	minEffect     = 0.0953 // the logarithm of 1.1
	minDeviations = 4
	minRuns       = 6
	minHosts      = 2
	minSources    = 3
	// The suspicion ends below keepEffect or keepDeviations, or with maxDoubts runs that contradict it beyond those that
	// support it.
	keepEffect     = 0.0488 // the logarithm of 1.05
	keepDeviations = 3
	maxDoubts      = 6
	// maxEffect bounds the effects that are taken from others, a factor of 22,000.
	maxEffect = 10
	// maxEvents bounds the events that wait to be taken.
	maxEvents = 256
)

// MaxRunsToDrop is the number of runs beside each other within which a suspicion of a pair that does not hurt any more
// ends. Each run lowers the effect by the share leastVariance at least or, if the effect exceeds the noise, contradicts it
// more often than not.
const MaxRunsToDrop = 32

// effectAt returns the effect at a time: what was observed or what was inherited, whichever is more certain.
func (p *pair) effectAt(now time.Time) term {
	with, without := p.with.at(now), p.without.at(now)
	observed := term{with.mean - without.mean, with.variance + without.variance, p.with.seen}
	if p.inherited == nil {
		return observed
	}
	if inherited := p.inherited.at(now); inherited.variance < observed.variance {
		return inherited
	}
	return observed
}

// record records what a run beside the neighbor shows, given the effect that would explain it.
func (p *pair) record(o *Observation, effect, noise float64) {
	p.runs++
	p.hosts.add(o.Host, effect)
	p.sources.add(o.Source, effect)
	switch {
	case p.without.variance > noise:
		// It is not known yet how long runs take without the neighbor.
	case effect < p.effectAt(p.with.seen).mean/2:
		p.doubts++
	default:
		p.doubts = max(p.doubts-1, 0)
	}
}

// judge decides whether a pair counts as slowing down.
func (l *Learner) judge(p *pair, now time.Time) {
	effect := p.effectAt(now)
	mean, deviation := effect.mean, math.Sqrt(effect.variance)
	switch {
	case p.suspect && p.doubts >= maxDoubts:
		l.setSuspect(p, false, now)
		// The runs so far show nothing of what holds now.
		p.with, p.inherited, p.runs, p.hosts, p.sources = term{p.without.mean, firstVariance, p.with.seen}, nil, 0, nil, nil
	case p.suspect && (mean < keepEffect || mean < keepDeviations*deviation):
		l.setSuspect(p, false, now)
	case !p.suspect && mean >= minEffect && mean >= minDeviations*deviation && p.runs >= minRuns &&
		p.hosts.support(mean/2, minHosts) && p.sources.support(mean/2, minSources):
		l.setSuspect(p, true, now)
	}
}

// setSuspect sets whether a pair counts as slowing down.
func (l *Learner) setSuspect(p *pair, suspect bool, now time.Time) {
	p.suspect, p.suspectSince, p.doubts = suspect, now, 0
	if suspect {
		l.suspected[p.key] = p
	} else {
		delete(l.suspected, p.key)
	}
	l.partners = nil
	l.changes++
	if len(l.events) < maxEvents {
		l.events = append(l.events, Event{Evidence: p.evidence(now), At: now})
	}
}

// Event is the begin or the end of a suspicion, as the evidence says.
type Event struct {
	Evidence
	At time.Time
}

// TakeEvents returns the events since the last call, up to a number.
func (l *Learner) TakeEvents() []Event {
	out := l.events
	l.events = nil
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), key{a.Image, a.Neighbor}.compare(key{b.Image, b.Neighbor}))
	})
	return out
}

// Quiet reports whether no pair is suspected.
func (l *Learner) Quiet() bool { return len(l.suspected) == 0 }

// Partners maps images to the logarithm of the factor that is lost when they share a host with an image. Losses in both
// directions are added.
type Partners map[string]float64

// Partners returns the images that an image should not share a host with, or nil if there are none. The result is shared.
func (l *Learner) Partners(name string) Partners {
	if l.Quiet() {
		return nil
	}
	if l.partners == nil {
		l.partners = map[string]Partners{}
		for _, k := range slices.SortedFunc(maps.Keys(l.suspected), key.compare) {
			loss := l.suspected[k].effectAt(l.suspected[k].with.seen).mean
			l.addPartner(k.image, k.neighbor, loss)
			if k.image != k.neighbor {
				l.addPartner(k.neighbor, k.image, loss)
			}
		}
	}
	return l.partners[name]
}

func (l *Learner) addPartner(name, other string, loss float64) {
	if l.partners[name] == nil {
		l.partners[name] = Partners{}
	}
	l.partners[name][other] += loss
}

// Evidence is what is known of an ordered pair of images.
type Evidence struct {
	// Runs of Image are slower beside runs of Neighbor.
	Image, Neighbor string
	// Effect is the logarithm of the factor by which they are slower. Variance is its uncertainty when the evidence was
	// taken, and Seen is when the images last met.
	Effect, Variance float64
	Seen             time.Time
	// Runs is the number of runs beside the neighbor. Hosts and Sources are how many of the newest of each show the effect.
	Runs, Hosts, Sources int
	// Suspected reports whether the pair counts as slowing down, since Since.
	Suspected bool
	Since     time.Time
}

// Slowdown is the factor by which runs are slower.
func (e *Evidence) Slowdown() float64 { return math.Exp(e.Effect) }

// Deviations is the confidence: the effect in standard deviations of its uncertainty at a time.
func (e *Evidence) Deviations(now time.Time) float64 {
	return e.Effect / math.Sqrt(term{variance: e.Variance, seen: e.Seen}.at(now).variance)
}

func (p *pair) evidence(now time.Time) Evidence {
	effect := p.effectAt(now)
	return Evidence{
		Image: p.image, Neighbor: p.neighbor, Effect: effect.mean, Variance: effect.variance, Seen: effect.seen, Runs: p.runs,
		Hosts: p.hosts.supporting(effect.mean / 2), Sources: p.sources.supporting(effect.mean / 2), Suspected: p.suspect, Since: p.suspectSince,
	}
}

// Suspected returns the suspected pairs, up to a limit, those with the largest effect first.
func (l *Learner) Suspected(limit int, now time.Time) []Evidence {
	out := make([]Evidence, 0, len(l.suspected))
	for _, p := range l.suspected {
		out = append(out, p.evidence(now))
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Effect, a.Effect), key{a.Image, a.Neighbor}.compare(key{b.Image, b.Neighbor}))
	})
	return out[:min(len(out), limit)]
}

// Changes returns a number that differs once suspicions have begun or ended.
func (l *Learner) Changes() int { return l.changes }

// Size is the number of entries of a learner.
type Size struct{ Images, Pairs, Hosts, Suspected int }

// Size returns the number of entries.
func (l *Learner) Size() Size {
	return Size{len(l.images), l.pairCount, len(l.hosts), len(l.suspected)}
}

// Merge adds what others have learned. Of a pair that is known, the more certain evidence counts. It returns the number
// of entries that were skipped because they are invalid.
func (l *Learner) Merge(all []Evidence, now time.Time) (skipped int) {
	for i := range all {
		e := all[i]
		if !e.valid() {
			skipped++
			continue
		}
		if e.Seen.After(now) {
			e.Seen = now // The clock of an earlier owner may be ahead.
		}
		l.merge(&e, now)
	}
	return skipped
}

// valid reports whether evidence could have been observed.
func (e *Evidence) valid() bool {
	return e.Image != "" && e.Neighbor != "" && math.Abs(e.Effect) <= maxEffect && e.Variance > 0 && e.Variance <= 2*firstVariance && e.Runs >= 0
}

func (l *Learner) merge(e *Evidence, now time.Time) {
	p := l.pair(e.Image, l.image(e.Image, now), e.Neighbor, now)
	inherited := term{e.Effect, e.Variance, e.Seen}
	if inherited.at(now).variance >= p.effectAt(now).variance {
		return
	}
	p.inherited, p.runs = &inherited, max(p.runs, e.Runs)
	if p.suspect != e.Suspected {
		l.setSuspect(p, e.Suspected, now)
		p.suspectSince = e.Since
	}
	l.judge(p, now)
}
