package owner

import (
	"errors"
	"math"
	"time"

	"carawaymux.dev/fleet/pairs"
	"carawaymux.dev/fleet/port"
)

const (
	// maxStoredPairs is the number of suspected pairs that are stored, the strongest first.
	maxStoredPairs = 256
	// pairsWriteInterval is the minimum time between two writes of the suspected pairs. pairsRefreshInterval is the time
	// after which they are written although none was added or has ended, since their age counts.
	pairsWriteInterval, pairsRefreshInterval = 30 * time.Second, 10 * time.Minute
	// pairsInterval is the time between updates of gauges and logs of changes, pairsLogInterval that between logs of
	// all suspected pairs, and maxLoggedPairs the number of those that are logged, the strongest first.
	pairsInterval, pairsLogInterval = time.Second, time.Minute
	maxLoggedPairs                  = 20
)

// storedPairs is what the store holds of the images that slow each other down.
type storedPairs struct {
	Pairs []storedPair `cbor:"1,keyasint"`
}

// storedPair is a suspected pair. Times are in milliseconds since 1970.
type storedPair struct {
	Image    string  `cbor:"1,keyasint"`
	Neighbor string  `cbor:"2,keyasint"`
	Effect   float64 `cbor:"3,keyasint"`
	Variance float64 `cbor:"4,keyasint"`
	SeenMS   int64   `cbor:"5,keyasint"`
	Runs     int     `cbor:"6,keyasint"`
	SinceMS  int64   `cbor:"7,keyasint"`
}

func storePairs(evidence []pairs.Evidence) storedPairs {
	out := storedPairs{Pairs: make([]storedPair, len(evidence))}
	for i := range evidence {
		e := &evidence[i]
		out.Pairs[i] = storedPair{e.Image, e.Neighbor, e.Effect, e.Variance, e.Seen.UnixMilli(), e.Runs, e.Since.UnixMilli()}
	}
	return out
}

func (s *storedPairs) evidence() []pairs.Evidence {
	out := make([]pairs.Evidence, len(s.Pairs))
	for i := range s.Pairs {
		p := &s.Pairs[i]
		out[i] = pairs.Evidence{
			Image: p.Image, Neighbor: p.Neighbor, Effect: p.Effect, Variance: p.Variance, Seen: time.UnixMilli(p.SeenMS), Runs: p.Runs,
			Suspected: true, Since: time.UnixMilli(p.SinceMS),
		}
	}
	return out
}

// neighborWrites is what is known of the stored pairs, and of what was reported of them.
type neighborWrites struct {
	// changes is the number of changes that the store has, or will have after the append in flight. stored reports
	// whether the store may hold a record, and writtenAt is when it was last collected.
	changes   int
	stored    bool
	writtenAt time.Time
	// nextReport and nextLog are the earliest times of the next gauges and of the next log of all pairs.
	nextReport, nextLog time.Time
	// besideStarts is the number of starts that were counted in the metrics.
	besideStarts int64
}

// restoreNeighbors takes over what an earlier owner has learned. What is invalid is skipped and counted.
func (c *core) restoreNeighbors(stored *StoredState, now time.Time) {
	skipped := c.state.Neighbors().Merge(stored.Neighbors, now)
	c.state.Neighbors().TakeEvents()
	c.neighbors = neighborWrites{changes: c.state.Neighbors().Changes(), stored: len(stored.Neighbors) > 0, writtenAt: now}
	if _, unreadable := stored.Unreadable[c.state.Pool+keyNeighbors]; unreadable {
		// The record is written anew or deleted.
		c.neighbors.stored, c.neighbors.changes = true, -1
	}
	if skipped > 0 {
		c.deps.Stats.Add("skipped-pairs", int64(skipped), "pool", c.state.Pool)
		c.logger.Error("stored evidence about images is invalid; skipped", "pairs", skipped)
	}
}

// collectNeighbors adds the suspected pairs if they have changed. No append is made for them: a claim is confirmed every
// second anyway.
func (c *core) collectNeighbors(b *appendBuilder, now time.Time) {
	w, learner := &c.neighbors, c.state.Neighbors()
	since := now.Sub(w.writtenAt)
	if since < pairsWriteInterval || (learner.Changes() == w.changes && since < pairsRefreshInterval) {
		return
	}
	evidence := learner.Suspected(maxStoredPairs, now)
	if len(evidence) == 0 && !w.stored {
		w.changes = learner.Changes()
		return
	}
	err := c.putPairs(b, evidence)
	if errors.Is(err, errNoRoom) {
		return
	}
	if err != nil {
		c.logger.Error("evidence about images cannot be stored; the next owner learns anew", "err", err)
	}
	w.changes, w.stored, w.writtenAt = learner.Changes(), len(evidence) > 0, now
}

// putPairs adds as many pairs as the store takes in a record, or deletes the record if there are none.
func (c *core) putPairs(b *appendBuilder, evidence []pairs.Evidence) error {
	key := c.state.Pool + keyNeighbors
	for ; len(evidence) > 0; evidence = evidence[:len(evidence)/2] {
		if err := b.put(key, storePairs(evidence)); !errors.Is(err, errTooLarge) {
			return err
		}
	}
	return b.add(port.Record{Key: key})
}

// reportNeighbors logs the pairs that were found and dropped, and each minute those that are suspected, and updates the
// metrics.
func (c *core) reportNeighbors(now time.Time) {
	w, learner := &c.neighbors, c.state.Neighbors()
	if now.Before(w.nextReport) {
		return
	}
	w.nextReport = now.Add(pairsInterval)
	events := learner.TakeEvents()
	for i := range events {
		e := &events[i]
		if !e.Suspected {
			c.deps.Stats.Add("pair-changes", 1, "pool", c.state.Pool, "change", "dropped")
			c.logPair("pair no longer suspected", &e.Evidence, now)
			continue
		}
		c.deps.Stats.Add("pair-changes", 1, "pool", c.state.Pool, "change", "suspected")
		c.logPair("pair suspected", &e.Evidence, now)
	}
	size := learner.Size()
	gauge := func(kind string, n int) {
		c.deps.Stats.Gauge("neighbors", int64(n), "pool", c.state.Pool, "kind", kind)
	}
	gauge("images", size.Images)
	gauge("pairs", size.Pairs)
	gauge("suspected", size.Suspected)
	if starts := c.state.BesideStarts(); starts > w.besideStarts {
		c.deps.Stats.Add("starts-beside-suspected", starts-w.besideStarts, "pool", c.state.Pool)
		w.besideStarts = starts
	}
	if now.Before(w.nextLog) {
		return
	}
	w.nextLog = now.Add(pairsLogInterval)
	suspected := learner.Suspected(maxLoggedPairs, now)
	for i := range suspected {
		c.logPair("pair suspected", &suspected[i], now)
	}
}

// logPair logs what is known of a pair.
func (c *core) logPair(message string, e *pairs.Evidence, now time.Time) {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	c.logger.Info(message, "image", e.Image, "beside", e.Neighbor, "slowdown", round(e.Slowdown()), "deviations", round(e.Deviations(now)),
		"runs", e.Runs, "hosts", e.Hosts, "jobs", e.Sources, "seen-ms", now.Sub(e.Seen).Milliseconds(), "since-ms", now.Sub(e.Since).Milliseconds())
}
