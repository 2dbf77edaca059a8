// Package load generates requests as many independent callers do: at a given mean rate,
// with arrival times drawn from a fixed seed. It records the outcome of each request and
// checks the outcomes against what the targets ran.
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

// Stream describes the requests of one kind.
type Stream struct {
	Kind string
	// SendAs is the kind that is sent in place of Kind; empty for Kind. Streams with
	// the same SendAs share one queue.
	SendAs  string
	Urgency string
	// Rate is the mean number of requests a second outside bursts.
	Rate float64
	// Bursts replace Rate for parts of the run. They are in order and do not overlap.
	Bursts []Burst
	// Idempotent marks the requests as idempotent. Requests that are not get their
	// IDs from an entry.
	Idempotent bool
	// Deadline is the time that each caller waits for an answer.
	Deadline time.Duration
	// BodyBytes is the size of each body without the request ID that precedes it.
	BodyBytes int
	// MaxRetries is how many times a caller repeats a request that was not done, each
	// time with the same ID and through the next choice of the balancer.
	MaxRetries int
}

// Burst is a part of the run with its own rate, in requests a second.
type Burst struct {
	From, To time.Duration
	Rate     float64
}

// Attempt is one transmission of a request and its outcome.
type Attempt struct {
	Entry   string
	Outcome wire.Outcome
	Status  int
	Reason  string
	Target  string
}

// Result is the outcome of one request over all its attempts.
type Result struct {
	Kind       string
	ID         string
	Idempotent bool
	// Due is when the request was scheduled, from the start of the run. Latency counts
	// from Due, not from the transmission, so that a slow system cannot hide its
	// delays by holding requests back (coordinated omission).
	Due, Latency time.Duration
	Attempts     []Attempt
	// EchoMatches reports whether the answer was the target's echo of this request.
	EchoMatches bool
}

// LastAttempt returns the last attempt.
func (r Result) LastAttempt() Attempt { return r.Attempts[len(r.Attempts)-1] }

// Balancer selects an entry for each attempt, as the platform's load balancer does.
type Balancer interface {
	Pick(n int) *client.Client
}

// RoundRobin selects all entries in turn, including those that are not ready.
type RoundRobin []*client.Client

// Pick returns the client of entry n modulo the number of entries.
func (f RoundRobin) Pick(n int) *client.Client { return f[n%len(f)] }

// Runner sends streams. Use [New] to create one.
type Runner struct {
	balancer Balancer
	seed     uint64
}

// New returns a runner. Runners with the same seed draw the same arrival times.
func New(b Balancer, seed uint64) *Runner { return &Runner{balancer: b, seed: seed} }

// NewHTTPClient returns an HTTP client whose connection pool is large enough that callers
// do not wait for connections.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 2048}}
}

// Run sends all streams for the duration d and waits for every answer.
func (r *Runner) Run(ctx context.Context, d time.Duration, streams ...Stream) []Result {
	results := make([][]Result, len(streams))
	var group errgroup.Group
	for i, s := range streams {
		group.Go(func() error {
			results[i] = r.runStream(ctx, d, s, uint64(i))
			return nil
		})
	}
	_ = group.Wait()
	return slices.Concat(results...)
}

func (r *Runner) runStream(ctx context.Context, d time.Duration, s Stream, streamIndex uint64) []Result {
	times := Arrivals(s, d, rand.New(rand.NewPCG(r.seed, streamIndex)))
	results := make([]Result, len(times))
	start := time.Now()
	var group errgroup.Group
	for i, due := range times {
		if !sleepUntil(ctx, start.Add(due)) {
			results = results[:i]
			break
		}
		group.Go(func() error {
			results[i] = r.send(ctx, s, i, start, due)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Arrivals draws the arrival times of a Poisson process whose rate changes with the bursts.
func Arrivals(s Stream, d time.Duration, random *rand.Rand) []time.Duration {
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

// sleepUntil reports whether the time was reached before ctx was done.
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

func (r *Runner) send(ctx context.Context, s Stream, n int, start time.Time, due time.Duration) Result {
	out := Result{Kind: s.Kind, Idempotent: s.Idempotent, Due: due, ID: fmt.Sprintf("%s-%d-%d", s.Kind, r.seed, n)}
	kind := cmp.Or(s.SendAs, s.Kind)
	body := fmt.Sprintf("%s/%s", out.ID, strings.Repeat("x", s.BodyBytes))
	if !s.Idempotent {
		id, err := r.balancer.Pick(n).IssueID(ctx, kind)
		if err != nil {
			out.Attempts = []Attempt{{Outcome: wire.NotRun, Reason: "no request id from the entry: " + err.Error()}}
			return out
		}
		out.ID = id
	}
	for attempt := 0; ; attempt++ {
		a, err := r.balancer.Pick(n+attempt).Do(ctx, client.Request{
			Kind: kind, ID: out.ID, Urgency: s.Urgency, Idempotent: s.Idempotent, Deadline: s.Deadline, Body: []byte(body),
		})
		if err != nil {
			a.Reason = err.Error()
		}
		out.Attempts = append(out.Attempts, Attempt{Entry: a.Entry, Outcome: a.Outcome, Status: a.Status, Reason: a.Reason, Target: a.Target})
		out.EchoMatches = a.Outcome == wire.Done && string(a.Body) == a.Target+":"+body
		if a.Outcome == wire.Done || attempt >= s.MaxRetries {
			break
		}
	}
	out.Latency = time.Since(start) - due
	return out
}

// Count counts the results of a kind, or of all kinds if kind is empty, by the outcome of
// their last attempt.
func Count(results []Result, kind string) map[wire.Outcome]int {
	out := make(map[wire.Outcome]int)
	for _, r := range results {
		if kind == "" || r.Kind == kind {
			out[r.LastAttempt().Outcome]++
		}
	}
	return out
}

// Violation describes a request for which a guarantee did not hold.
type Violation struct {
	ID, Reason string
}

// Check compares the results with runs, the number of times that each request ran on the
// targets. A request whose attempts were all answered not-run must not have run, one that
// is not idempotent must have run at most once, and a successful answer must be complete
// and belong to its request.
func Check(results []Result, runs map[string]int) []Violation {
	var out []Violation
	for _, r := range results {
		n := runs[r.ID]
		notRun, done := 0, false
		for _, t := range r.Attempts {
			switch t.Outcome {
			case wire.NotRun:
				notRun++
			case wire.Done:
				done = true
			}
		}
		switch {
		case notRun == len(r.Attempts) && n > 0:
			out = append(out, Violation{r.ID, fmt.Sprintf("all attempts were answered not-run (last reason: %s), but the request ran %d times", r.LastAttempt().Reason, n)})
		case !r.Idempotent && n > 1:
			out = append(out, Violation{r.ID, fmt.Sprintf("the request is not idempotent, but ran %d times", n)})
		case done && n == 0:
			out = append(out, Violation{r.ID, "an attempt was answered done, but the request never ran"})
		case done && r.LastAttempt().Status == http.StatusOK && !r.EchoMatches:
			out = append(out, Violation{r.ID, "answered done, but the body is not the echo of the request"})
		}
	}
	return out
}
