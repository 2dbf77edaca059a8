package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	// submitInterval and uploadInterval are the times between two submissions and between two slow uploads at an entry. They
	// are shorter than what each of them takes, so that some are open all the while.
	submitInterval, uploadInterval = 60 * time.Millisecond, 150 * time.Millisecond
	// minUpload is the shortest time that a slow upload takes.
	minUpload = 400 * time.Millisecond
	// maxHeldEntries is the number of entries at which requests are kept open, in large deployments.
	maxHeldEntries = 8
	// heldTaskMS is the duration of the task of a submission that is kept open.
	heldTaskMS = 100
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

// holdSpans returns the spans around all moments at which an entry is stopped, killed, paused or resumed, or at which owners
// may lose their pools since calls to the store fail.
func holdSpans(schedule []Fault, entries []string) []span {
	var spans []span
	add := func(f Fault, at, after time.Duration) {
		entry, _, _ := strings.Cut(f.Target, LinkName("", ""))
		spans = append(spans, span{max(at-holdBefore, 0), at + after, heldEntries(entries, entry)})
	}
	for _, f := range schedule {
		switch f.Kind {
		case Term:
			add(f, f.At, stopPatience+takeoverTime)
		case Reload:
			add(f, f.At, holdAfter)
		case Kill:
			add(f, f.At, takeoverTime)
		case Pause:
			add(f, f.At, takeoverTime)
			add(f, f.At+f.For, holdAfter)
		case StoreBusy, StoreSilent, StoreLossy, StoreSlow, StoreFull:
			add(f, f.At, takeoverTime)
			add(f, f.At+f.For, takeoverTime)
		case LinkDelay, LinkReset, LinkCut, LinkSilent, LinkLate:
			if strings.HasSuffix(f.Target, LinkName("", fake.StoreLink)) {
				add(f, f.At, takeoverTime)
				add(f, f.At+f.For, takeoverTime)
			}
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

// heldEntries returns the entry that a fault hits, and others. Faults of the store hit no entry in particular.
func heldEntries(entries []string, target string) []string {
	if len(entries) <= maxHeldEntries {
		return slices.Sorted(slices.Values(entries))
	}
	at := max(slices.Index(entries, target), 0)
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
		until := c.site.trafficAt + s.to
		for _, name := range s.entries {
			for _, interval := range []time.Duration{submitInterval, uploadInterval} {
				next := h.drawer()
				group.Go(func() error {
					c.keepOpen(ctx, &group, name, interval, until, next)
					return nil
				})
			}
		}
		if !sleep(ctx, until-c.site.recorder.now()) {
			break
		}
		c.site.platform.SetAppendTime(what.AppendTime)
	}
	_ = group.Wait()
}

// jobsPerHolder is the distance between the job numbers of two holders.
const jobsPerHolder = 4096

// drawer returns a function that draws the callers of a holder, in turn for both pools.
func (h *holder) drawer() func() *client {
	random, first, n := rand.New(rand.NewPCG(h.random.Uint64(), 0)), h.jobs, 0
	h.jobs += jobsPerHolder
	return func() *client {
		n++
		pool := []string{guardedPool, unguardedPool}[n%2]
		return &client{crowd: h.crowd, random: rand.New(rand.NewPCG(random.Uint64(), 0)), job: Job{
			ID: fmt.Sprintf("%04x%04x%08x", h.seed&0xffff, holdStream, first+n), Queue: pool, Pool: pool, Specification: strconv.Itoa(heldTaskMS),
			Steps: []fake.StepSpec{{Count: 1, EstimatedMS: heldTaskMS}},
		}}
	}
}

// keepOpen submits a job at an entry after each interval until a time, whether those before are answered or not. With
// uploadInterval, the bodies are sent slowly.
func (c *crowd) keepOpen(ctx context.Context, group *errgroup.Group, name string, interval, until time.Duration, next func() *client) {
	for due := c.site.recorder.now(); due < until; due += interval {
		if !sleep(ctx, due-c.site.recorder.now()) {
			return
		}
		p := next()
		body, err := p.register()
		if err != nil {
			return
		}
		drip := time.Duration(0)
		if interval == uploadInterval {
			drip = minUpload/time.Duration(len(body)) + 1
		}
		p.acceptUntil = until
		group.Go(func() error {
			accepted := p.askUntilOpen(name, body, drip).Status == http.StatusOK
			givesUp := p.random.Float64() < giveUpShare
			if accepted || !givesUp && p.submitUntilAccepted(ctx, body) {
				p.follow(ctx, body)
			}
			return nil
		})
	}
}
