package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/fake"
)

const (
	// holdBefore and holdAfter are the times around a moment in which callers keep requests open, and takeoverTime is the
	// time after it if another entry has to notice that an owner is gone.
	holdBefore, holdAfter, takeoverTime = 700 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond
	// holdAppend is the time that the store takes for an append meanwhile, at least. Submissions wait for it. It stays well
	// below the time after which entries take the store for lost.
	holdAppend = 250 * time.Millisecond
	// waitersPerEntry and dripsPerEntry are the numbers of submissions and of slow uploads that are open at each entry.
	waitersPerEntry, dripsPerEntry = 4, 2
	// maxHeldEntries is the number of entries at which requests are kept open, in large deployments.
	maxHeldEntries = 8
	// minDrip and maxDrip limit the pause between two bytes of an upload.
	minDrip, maxDrip = 4 * time.Millisecond, 12 * time.Millisecond
	// heldTaskMS is the duration of the task of a submission that is kept open.
	heldTaskMS = 150
	// giveUpShare is the share of callers that do not repeat a submission that was refused.
	giveUpShare = 0.25
	// holdStream distinguishes the random numbers of these callers from others.
	holdStream = 200
)

// span is a part of the traffic in which requests are kept open at some entries.
type span struct {
	from, to time.Duration
	entries  []string
}

// holdSpans returns the spans around all moments at which an entry is stopped, killed, paused or resumed.
func holdSpans(schedule []Fault, entries []string) []span {
	var spans []span
	add := func(f Fault, at, after time.Duration) {
		spans = append(spans, span{max(at-holdBefore, 0), at + after, heldEntries(entries, f.Target)})
	}
	for _, f := range schedule {
		switch f.Kind {
		case Term, Reload:
			add(f, f.At, holdAfter)
		case Kill:
			add(f, f.At, takeoverTime)
		case Pause:
			add(f, f.At, takeoverTime)
			add(f, f.At+f.For, holdAfter)
		}
	}
	slices.SortStableFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var out []span
	for _, s := range spans {
		if n := len(out); n > 0 && s.from <= out[n-1].to {
			last := &out[n-1]
			last.to = max(last.to, s.to)
			last.entries = slices.Compact(slices.Sorted(slices.Values(slices.Concat(last.entries, s.entries))))
			continue
		}
		out = append(out, s)
	}
	return out
}

// heldEntries returns the entry that a fault hits, and others.
func heldEntries(entries []string, target string) []string {
	if len(entries) <= maxHeldEntries {
		return slices.Sorted(slices.Values(entries))
	}
	at := slices.Index(entries, target)
	var out []string
	for i := range maxHeldEntries {
		out = append(out, entries[(at+i)%len(entries)])
	}
	return slices.Sorted(slices.Values(out))
}

// holder keeps requests open in the spans of a schedule.
type holder struct {
	crowd  *crowd
	seed   uint64
	random *rand.Rand
	jobs   int
}

// hold keeps requests open around the moments of a schedule until ctx is done, and follows the jobs until they have
// ended.
func (c *crowd) hold(ctx context.Context, what Case) {
	var group errgroup.Group
	h := &holder{crowd: c, seed: what.Seed, random: rand.New(rand.NewPCG(what.Seed, holdStream))}
	for _, s := range holdSpans(what.Schedule, c.names) {
		if !sleep(ctx, c.site.trafficAt+s.from-c.site.recorder.now()) {
			break
		}
		c.site.platform.SetAppendTime(max(what.AppendTime, holdAppend))
		for _, name := range s.entries {
			for i := range waitersPerEntry + dripsPerEntry {
				next := h.drawer()
				group.Go(func() error {
					c.keepOpen(ctx, &group, name, i >= waitersPerEntry, c.site.trafficAt+s.to, next)
					return nil
				})
			}
		}
		if !sleep(ctx, c.site.trafficAt+s.to-c.site.recorder.now()) {
			break
		}
		c.site.platform.SetAppendTime(what.AppendTime)
	}
	_ = group.Wait()
}

// jobsPerHolder is the distance between the job numbers of two holders.
const jobsPerHolder = 256

// drawer returns a function that draws the callers of a holder.
func (h *holder) drawer() func() *caller {
	random, first, n := rand.New(rand.NewPCG(h.random.Uint64(), 0)), h.jobs, 0
	h.jobs += jobsPerHolder
	return func() *caller {
		n++
		pool := []string{guardedPool, unguardedPool}[random.IntN(2)]
		return &caller{crowd: h.crowd, random: random, job: Job{
			ID: fmt.Sprintf("%04x%04x%08x", h.seed&0xffff, holdStream, first+n), Queue: pool, Pool: pool, Specification: strconv.Itoa(heldTaskMS),
			Steps: []fake.StepSpec{{Count: 1, EstimatedMS: heldTaskMS}},
		}}
	}
}

// keepOpen submits one job after the other at an entry until a time, so that there is a submission without an answer
// all the while. With drips, the bodies are sent slowly.
func (c *crowd) keepOpen(ctx context.Context, group *errgroup.Group, name string, drips bool, until time.Duration, next func() *caller) {
	for c.site.recorder.now() < until {
		p := next()
		drip := time.Duration(0)
		if drips {
			drip = minDrip + time.Duration(p.random.Int64N(int64(maxDrip-minDrip)))
		}
		body, err := p.register()
		if err != nil {
			return
		}
		accepted := p.askAt(name, Submit, http.MethodPost, body, drip).status == http.StatusOK
		givesUp := p.random.Float64() < giveUpShare
		p.random, p.acceptUntil = rand.New(rand.NewPCG(p.random.Uint64(), 0)), until
		group.Go(func() error {
			if accepted || !givesUp && p.submitUntilAccepted(ctx, body) {
				p.follow(ctx, body)
			}
			return nil
		})
		if !accepted && !sleep(ctx, retryPause) {
			return
		}
	}
}
