// Package pairs learns which images slow each other down on one host: for which ordered pairs of images runs of the
// first take longer beside runs of the second, by how much, and with what confidence. It reads no clock and does no I/O.
// How it tells neighbors from other causes is described in docs/design/neighbours.md.
package pairs

import (
	"math"
	"time"
)

const (
	// maxImages, maxPairs, maxBeside and maxHosts bound the images, the pairs, the pairs of one image, and the hosts.
	maxImages, maxPairs, maxBeside, maxHosts = 10_000, 32_768, 64, 4_096
	// evictedShare is the part of the entries, as a divisor, that leaves at once when there are too many: choosing the
	// oldest takes a look at all of them.
	evictedShare = 16
	// retention is how long an entry is kept without a run.
	retention = 24 * time.Hour
	// minPart is the least part of a run that an image has to be beside it to count.
	minPart = 0.05
	// enoughPart is the part from which on a run counts as evidence about the pair. Runs between the two count neither as
	// with nor as without it.
	enoughPart = 0.25
)

// Share says for what part of a run an image was beside it.
type Share struct {
	Image string
	// Part is between 0 and 1.
	Part float64
}

// Observation is what one run shows, or a stretch of one run that serves.
type Observation struct {
	// Image is what ran, on host Host.
	Image, Host string
	// Source names what the observation shares causes with that have nothing to do with neighbors: the job of the run,
	// or an interval of time for a run that serves.
	Source string
	// Ratio is the actual by the expected duration, or the tail latency by its target. It is positive and finite.
	Ratio float64
	// Beside holds each image that was beside it once.
	Beside []Share
}

// Learner holds what was learned. Use [New] to build it.
type Learner struct {
	images map[string]*image
	hosts  map[string]*term
	// pairCount is the number of pairs of all images.
	pairCount int
	// suspected holds the pairs that count as slowing each other down.
	suspected map[key]*pair
	// partners holds the cost of each image beside each other one, in both directions, from suspected pairs.
	partners map[string]Partners
	events   []Event
	// changes counts the changes that are worth storing.
	changes int
	// nextScan is when entries are next looked for that have not been seen for retention.
	nextScan time.Time
}

// New returns a learner that has seen nothing.
func New() *Learner {
	return &Learner{images: map[string]*image{}, hosts: map[string]*term{}, suspected: map[key]*pair{}}
}

// image is what is known of an image.
type image struct {
	// base is the logarithm of the ratio on a host of usual speed, without what suspected pairs account for.
	base term
	// noise is the variance of single runs around their prediction, learned over runs.
	noise float64
	runs  int
	// beside holds the pairs of which the image is the first.
	beside map[string]*pair
}

// key names an ordered pair: runs of image beside runs of neighbor.
type key struct{ image, neighbor string }

// pair is what is known of an ordered pair of images.
type pair struct {
	key
	// with and without are the logarithms of the ratio beside the neighbor for the whole time and not at all, on a host
	// of usual speed and without what other suspected pairs account for.
	with, without term
	// inherited is the effect that an earlier owner has learned. It counts while it is more certain than what was
	// observed since. It is nil if there is none.
	inherited *term
	// runs counts the runs beside the neighbor for enoughPart or more.
	runs int
	// hosts and sources hold what the newest groups of those runs show.
	hosts, sources groups
	// suspect reports whether the pair counts as slowing down, since suspectSince.
	suspect      bool
	suspectSince time.Time
	// doubts is how many more runs have contradicted than supported the suspicion, and 0 if fewer have.
	doubts int
}

const (
	// firstVariance is that of a term before its first observation. Estimates of callers may be off by any factor.
	firstVariance = 1
	// hostVariance is the initial one of the term of a host, whose mean is 0 then.
	hostVariance = 0.16
	// leastVariance is the least variance of a term as a share of the noise, so that terms follow changes.
	leastVariance = 0.03
	// initialNoise is the noise that is assumed before any run, and the others bound it.
	initialNoise, minNoise, maxNoise = 0.0625, 0.0025, 1
	// noiseWeight is the weight of a run in the noise, once there were more than noiseWarmup.
	noiseWeight, noiseWarmup = 0.05, 8
	// maxDeviation bounds how far a single run moves a term, in standard deviations of its prediction.
	maxDeviation = 3
)

// Observe learns from an observation. Invalid ones are left out.
func (l *Learner) Observe(o *Observation, now time.Time) {
	logRatio := math.Log(o.Ratio)
	if o.Image == "" || !(o.Ratio > 0) || math.IsInf(logRatio, 0) {
		return
	}
	img, host := l.image(o.Image, now), l.host(o.Host, now)
	// An observation takes part of the pairs of an image only, so that none of them is evicted for another one.
	shares := o.Beside[:min(len(o.Beside), maxBeside/2)]
	present := make(map[string]float64, len(shares))
	// rest is what suspected pairs do not account for.
	rest := logRatio - host.mean
	for _, s := range shares {
		if s.Part < minPart || s.Image == "" {
			continue
		}
		present[s.Image] = min(s.Part, 1)
		if p := l.pair(o.Image, img, s.Image, now); p.suspect {
			rest -= present[s.Image] * p.effectAt(now).mean
		}
	}
	// blamed reports whether a pair may account for the deviation, suspected or not yet.
	blamed := false
	for name, p := range img.beside {
		part := present[name]
		own := rest
		if p.suspect {
			own += part * p.effectAt(now).mean
		}
		switch {
		case part == 0:
			p.without.observe(own, img.noise, now)
		case part >= enoughPart:
			effect := (own - p.without.mean) / part
			p.with.observe(p.without.mean+effect, img.noise/(part*part), now)
			p.record(o, effect, img.noise)
			blamed = blamed || p.effectAt(now).mean >= minEffect
			l.judge(p, now)
		}
	}
	if deviation := rest - img.base.mean; img.runs > noiseWarmup && !blamed {
		host.observe(host.mean+deviation, img.noise+img.base.variance, now)
	}
	img.recordDeviation(rest - img.base.mean)
	img.base.observe(rest, img.noise, now)
}

// recordDeviation updates the noise from a deviation from the base.
func (i *image) recordDeviation(deviation float64) {
	i.runs++
	if i.runs == 1 {
		return // There was no base.
	}
	weight := max(noiseWeight, 1/float64(i.runs+noiseWarmup))
	seen := min(deviation*deviation, maxDeviation*maxDeviation*i.noise)
	i.noise = min(max(i.noise+weight*(seen-i.noise), minNoise), maxNoise)
}

// image returns what is known of an image, which has a run now.
func (l *Learner) image(name string, now time.Time) *image {
	img := l.images[name]
	if img == nil {
		if len(l.images) >= maxImages {
			l.evictImages()
		}
		img = &image{base: term{variance: firstVariance, seen: now}, noise: initialNoise, beside: map[string]*pair{}}
		l.images[name] = img
	}
	return img
}

// host returns the term of a host on which a run has ended.
func (l *Learner) host(name string, now time.Time) *term {
	h := l.hosts[name]
	if h == nil {
		if len(l.hosts) >= maxHosts {
			evictOldest(l.hosts, func(h *term) time.Time { return h.seen })
		}
		h = &term{variance: hostVariance, seen: now}
		l.hosts[name] = h
	}
	return h
}

// pair returns what is known of a pair whose images have met now.
func (l *Learner) pair(name string, img *image, neighbor string, now time.Time) *pair {
	p := img.beside[neighbor]
	if p == nil {
		if l.pairCount >= maxPairs {
			l.evictPairs()
		}
		if len(img.beside) >= maxBeside {
			l.evictBeside(img)
		}
		// All runs so far were without the neighbor.
		p = &pair{key: key{name, neighbor}, with: term{img.base.mean, firstVariance, now}, without: img.base}
		img.beside[neighbor] = p
		l.pairCount++
	}
	return p
}
