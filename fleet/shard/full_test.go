package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against a wave that does not end while a pool is overloaded: short work takes each core that becomes free, so the
// long-running task on the host that is to be emptied never finds room.
func TestAHostIsEmptiedWhileShortWorkKeepsThePoolFull(t *testing.T) {
	// The pool is full after filled. limit is the time of a wave, and asked the interval of requests to empty the host.
	const tick, length = 50 * time.Millisecond, 400 * time.Millisecond
	const filled, limit, asked = 2 * time.Second, 30 * time.Second, 250 * time.Millisecond
	o := newOwner(t, 1, "a", "b", "c")
	step := longRunningStep(1, 1, 1)
	step.Need.MilliCores = 2000
	o.submit("lasting", step)
	starts := o.start()
	require.Len(t, starts, 1)
	type run struct {
		shard.Order
		ends time.Time
	}
	running := map[string][]run{starts[0].Host: {{Order: starts[0]}}}
	emptied, ends, jobs := starts[0].Host, map[string]int64{}, 0
	for at := time.Duration(0); at < limit; at += tick {
		for range 4 {
			o.submit(fmt.Sprintf("%016x", jobs), smallStep(1))
			jobs++
		}
		for _, id := range []string{"a", "b", "c"} {
			var rows []any
			var left []run
			for _, r := range running[id] {
				if !r.ends.IsZero() && !o.now.Before(r.ends) {
					ends[id]++
					rows = append(rows, port.FinishedRun{Number: ends[id], Unit: r.Ref.String(), Run: r.Run, Result: port.ResultDone})
					continue
				}
				left = append(left, r)
				rows = append(rows, runningRow(r.Order, 100))
			}
			running[id] = left
			o.report(id, rows...)
		}
		for _, order := range o.start() {
			switch order.Kind {
			case shard.OrderStart:
				r := run{Order: order, ends: o.now.Add(length)}
				if order.Ref.Job == "lasting" {
					r.ends = time.Time{}
				}
				running[order.Host] = append(running[order.Host], r)
			case shard.OrderStop:
				for i, r := range running[order.Host] {
					if r.Ref == order.Ref {
						ends[order.Host]++
						o.report(order.Host, port.FinishedRun{Number: ends[order.Host], Unit: r.Ref.String(), Run: r.Run, Result: port.ResultStopped})
						running[order.Host] = append(running[order.Host][:i:i], running[order.Host][i+1:]...)
						break
					}
				}
			}
		}
		// Owners plan as soon as ends are reported, so a request finds the hosts full.
		if at > filled && at%asked == 0 && o.Vacate(o.Hosts[emptied], o.now, 3*time.Second) {
			return
		}
		o.advance(tick)
	}
	require.Fail(t, "the host was not empty within the time of the wave")
}
