package gauge

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
	"carawaymux.dev/trial/target"
)

const (
	// costRequests is the number of requests over which CPU time is averaged.
	costRequests = 8000
	// costCallers is the number of concurrent callers that send them.
	costCallers = 4
	// refusalBound limits the CPU time of a refusal, relative to that of a served request.
	refusalBound = 0.4
)

// cost measures the CPU time that the process of an entry uses for a served request and for
// a refused one. To provoke refusals it fills all slots with requests that hang.
func (h *harness) cost(ctx context.Context, d deployment) error {
	if d.name != deployments[0].name {
		return nil
	}
	const zone, kind = "z", "docs"
	p := site.Plan{
		Zones: []string{zone}, EntriesPerZone: 1, Slots: slotsPerHost,
		Pools:    []site.Pool{{Name: kind, Zones: map[string]int{zone: 1}, Budget: budget.Spec{MaxUnavailable: 1}}},
		Settings: map[string][]string{"limits": {"queue = 0"}, "log": {"level = error"}},
	}
	return h.withSite(ctx, "cost", p, func(s *site.Site) error {
		e := s.Entries[0]
		c := client.New("http://"+e.HTTP, client.WithHTTP(load.NewHTTPClient()))
		served, err := cpuPerRequest(ctx, e, c, kind, wire.Done)
		if err != nil {
			return err
		}
		if err := s.SetBehaviour(ctx, s.Targets[0], target.Behaviour{Mode: target.Hang}); err != nil {
			return err
		}
		heldCtx, release := context.WithCancel(ctx)
		defer release()
		for i := range slotsPerHost {
			go func() {
				_, _ = c.Do(heldCtx, client.Request{Kind: kind, ID: fmt.Sprintf("held-%d", i), Idempotent: true, Deadline: time.Minute})
			}()
		}
		time.Sleep(time.Second)
		refused, err := cpuPerRequest(ctx, e, c, kind, wire.NotRun)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d requests of 1 KiB each; CPU time of the entry's process", costRequests)
		us := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
		h.addRow(Row{"control", "served-request", "entry", us(served), "us", 0, note})
		h.addRow(Row{"control", "refusal", "entry", us(refused), "us", refusalBound * us(served), note})
		return nil
	})
}

// cpuPerRequest sends requests that must all have the wanted outcome and returns the CPU
// time of the entry per request. A tenth as many requests are sent first to warm up.
func cpuPerRequest(ctx context.Context, e *site.Entry, c *client.Client, kind string, want wire.Outcome) (time.Duration, error) {
	send := func(n int) error {
		var group errgroup.Group
		for caller := range costCallers {
			group.Go(func() error {
				for i := range n / costCallers {
					a, err := c.Do(ctx, client.Request{
						Kind: kind, ID: fmt.Sprintf("%s-%d-%d", want, caller, i), Idempotent: true, Body: make([]byte, 1<<10),
					})
					if err != nil || a.Outcome != want {
						return fmt.Errorf("outcome %s, want %s: %s: %w", a.Outcome, want, a.Reason, err)
					}
				}
				return nil
			})
		}
		return group.Wait()
	}
	if err := send(costRequests / 10); err != nil {
		return 0, err
	}
	before, err := procs.CPUTime(e.Proc.PID())
	if err != nil {
		return 0, err
	}
	if err := send(costRequests); err != nil {
		return 0, err
	}
	after, err := procs.CPUTime(e.Proc.PID())
	return (after - before) / costRequests, err
}
