package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawaymux.dev/fleet/port"
)

// repeatedReads is a store whose reads are repeated, beside those under way, while repeat is set: a call that was sent
// while the store was down may never be answered. The first answer counts.
type repeatedReads struct {
	port.Log
	repeat bool
}

// readResult is the outcome of one of the reads.
type readResult struct {
	page port.Page
	err  error
}

// Read implements [port.Log].
func (l *repeatedReads) Read(ctx context.Context, s port.Stream, from int64, wait time.Duration) (port.Page, error) {
	if !l.repeat {
		return l.Log.Read(ctx, s, from, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	defer reads.Wait()
	defer cancel()
	results := make(chan readResult)
	tick := time.NewTicker(repeatInterval)
	defer tick.Stop()
	var last error
	for {
		reads.Go(func() {
			page, err := l.Log.Read(ctx, s, from, wait)
			select {
			case results <- readResult{page, err}:
			case <-ctx.Done():
			}
		})
		for waiting := true; waiting; {
			select {
			case r := <-results:
				var gone *port.GoneError
				if r.err == nil || errors.As(r.err, &gone) {
					return r.page, r.err
				}
				last = r.err
			case <-tick.C:
				waiting = false
			case <-ctx.Done():
				return port.Page{}, errors.Join(context.Cause(ctx), last)
			}
		}
	}
}
