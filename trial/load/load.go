// Package load sends requests as many callers do, at a fixed rate and from a fixed seed,
// and keeps what became of each.
package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
)

// Stream is the requests of one kind.
type Stream struct {
	Kind string
	// SendAs is the kind that the requests are sent as; empty for Kind. It lets
	// several streams share one queue.
	SendAs  string
	Urgency string
	// Rate is the mean number of requests a second over the whole run.
	Rate float64
	// Bursts change the rate for a while; they are in order and do not overlap.
	Bursts []Burst
	// Idempotent marks the requests so; the others get their IDs from an entry.
	Idempotent bool
	// Deadline is how long each caller waits.
	Deadline time.Duration
	// BodyBytes is the size of each body.
	BodyBytes int
	// Resend is how many times a caller sends a request again, under the same ID
	// through another entry, when it was not done.
	Resend int
}

// Burst is a time with another rate.
type Burst struct {
	From, To time.Duration
	Rate     float64
}

// Try is one sending of a request.
type Try struct {
	Entry   string
	Outcome wire.Outcome
	Status  int
	Reason  string
	Target  string
}

// Result is what became of one request.
type Result struct {
	Kind       string
	ID         string
	Idempotent bool
	// Due is when the request was to be sent, from the start of the run; Took is
	// counted from then, so that a slow system hides nothing.
	Due, Took time.Duration
	Tries     []Try
	// Whole says that the answer was the target's echo of this very request.
	Whole bool
}

// Last is the last try.
func (r Result) Last() Try { return r.Tries[len(r.Tries)-1] }

// Balancer picks an entry, as the platform's balancer does.
type Balancer interface {
	Pick(n int) *client.Client
}

// Fixed spreads requests over all entries in turn, whatever their state.
type Fixed []*client.Client

// Pick returns the entries in turn.
func (f Fixed) Pick(n int) *client.Client { return f[n%len(f)] }

// Runner sends streams. Use [New] to build it.
type Runner struct {
	balancer Balancer
	seed     uint64
}

// New builds a runner; equal seeds give equal times of arrival.
func New(b Balancer, seed uint64) *Runner { return &Runner{balancer: b, seed: seed} }

// HTTP returns an HTTP client that does not hold the callers up.
func HTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 2048}}
}

// Run sends all streams for a time and waits for every answer.
func (r *Runner) Run(ctx context.Context, d time.Duration, streams ...Stream) []Result {
	all := make([][]Result, len(streams))
	var group errgroup.Group
	for i, s := range streams {
		group.Go(func() error {
			all[i] = r.stream(ctx, d, s, uint64(i))
			return nil
		})
	}
	_ = group.Wait()
	return slices.Concat(all...)
}

func (r *Runner) stream(ctx context.Context, d time.Duration, s Stream, n uint64) []Result {
	times := arrivals(s, d, rand.New(rand.NewPCG(r.seed, n)))
	results := make([]Result, len(times))
	start := time.Now()
	var group errgroup.Group
	for i, due := range times {
		if !sleepUntil(ctx, start.Add(due)) {
			results = results[:i]
			break
		}
		group.Go(func() error {
			results[i] = r.one(ctx, s, i, start, due)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// arrivals draws the times of a Poisson stream whose rate changes with the bursts.
func arrivals(s Stream, d time.Duration, random *rand.Rand) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); ; {
		rate := s.Rate
		for _, b := range s.Bursts {
			if at >= b.From && at < b.To {
				rate = b.Rate
			}
		}
		if rate <= 0 {
			at += time.Millisecond
		} else {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		if at >= d {
			return out
		}
		if rate > 0 {
			out = append(out, at)
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) one(ctx context.Context, s Stream, n int, start time.Time, due time.Duration) Result {
	out := Result{Kind: s.Kind, Idempotent: s.Idempotent, Due: due, ID: fmt.Sprintf("%s-%d-%d", s.Kind, r.seed, n)}
	kind := cmp.Or(s.SendAs, s.Kind)
	body := fmt.Sprintf("%s/%s", out.ID, strings.Repeat("x", s.BodyBytes))
	if !s.Idempotent {
		id, err := r.balancer.Pick(n).IssueID(ctx, kind)
		if err != nil {
			out.Tries = []Try{{Outcome: wire.NotRun, Reason: "no id: " + err.Error()}}
			return out
		}
		out.ID = id
	}
	for try := 0; ; try++ {
		a, err := r.balancer.Pick(n+try).Do(ctx, client.Request{
			Kind: kind, ID: out.ID, Urgency: s.Urgency, Idempotent: s.Idempotent, Deadline: s.Deadline, Body: []byte(body),
		})
		if err != nil {
			a.Reason = err.Error()
		}
		out.Tries = append(out.Tries, Try{Entry: a.Entry, Outcome: a.Outcome, Status: a.Status, Reason: a.Reason, Target: a.Target})
		out.Whole = a.Outcome == wire.Done && string(a.Body) == a.Target+":"+body
		if a.Outcome == wire.Done || try >= s.Resend {
			break
		}
	}
	out.Took = time.Since(start) - due
	return out
}

// Count counts results by the outcome of their last try.
func Count(results []Result, kind string) map[wire.Outcome]int {
	out := make(map[wire.Outcome]int)
	for _, r := range results {
		if kind == "" || r.Kind == kind {
			out[r.Last().Outcome]++
		}
	}
	return out
}

// Broken is a promise that a run has shown to be broken.
type Broken struct {
	ID, Why string
}

// Check holds the results against how often each request ran on the targets: not-run
// must be true, non-idempotent requests run at most once, done answers are whole.
func Check(results []Result, runs map[string]int) []Broken {
	var out []Broken
	for _, r := range results {
		n := runs[r.ID]
		notRun, done := 0, false
		for _, t := range r.Tries {
			switch t.Outcome {
			case wire.NotRun:
				notRun++
			case wire.Done:
				done = true
			}
		}
		switch {
		case notRun == len(r.Tries) && n > 0:
			out = append(out, Broken{r.ID, fmt.Sprintf("every answer was not-run (%s), but it ran %d times", r.Last().Reason, n)})
		case !r.Idempotent && n > 1:
			out = append(out, Broken{r.ID, fmt.Sprintf("non-idempotent, but it ran %d times", n)})
		case done && n == 0:
			out = append(out, Broken{r.ID, "done, but it never ran"})
		case done && r.Last().Status == http.StatusOK && !r.Whole:
			out = append(out, Broken{r.ID, "done, but the answer is not its own"})
		}
	}
	return out
}
