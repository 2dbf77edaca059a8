package gauge

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

const (
	// rebootTime is short for a reboot, which takes some minutes on real hosts.
	rebootTime = 10 * time.Second
	// waveBound limits the roll-out time, relative to the shortest time that budgets and
	// reboots allow.
	waveBound = 1.25
)

// waveSample is the state of a wave at a time.
type waveSample struct {
	at           time.Duration
	remaining    int
	outOfService int
}

// wave measures the time that a maintenance wave over all pools takes. It sends no requests
// meanwhile.
func (h *harness) wave(ctx context.Context, d deployment) error {
	return h.withSite(ctx, d.name+"-wave", d.plan(), func(s *site.Site) error {
		c := s.Entries[0].Client
		begin := time.Now()
		if _, err := c.Publish(ctx, client.NewRecord(site.Author, "all", 0, wave.Spec{Pools: d.services})); err != nil {
			return err
		}
		var samples []waveSample
		err := procs.WaitFor(ctx, "the wave is done", func(ctx context.Context) error {
			w, err := c.Object(ctx, record.KindWave, "all", 0)
			if err != nil {
				return err
			}
			pools, err := c.Objects(ctx, record.KindPool, 0)
			if err != nil {
				return err
			}
			out := 0
			for _, p := range pools.Objects {
				out += p.Status.Size - p.Status.Serving
			}
			samples = append(samples, waveSample{time.Since(begin), w.Status.Remaining, out})
			if w.Status.Phase != string(wave.Done) {
				return fmt.Errorf("the phase of the wave is %s, not done", w.Status.Phase)
			}
			return nil
		})
		if err != nil {
			return err
		}
		took := time.Since(begin)
		parallel := d.plan().Pools[0].Budget.MaxUnavailable
		cycles := (hostsPerPool + parallel - 1) / parallel
		ideal := time.Duration(cycles) * (rebootTime + runTime)
		note := fmt.Sprintf("%d hosts, %d of each pool at once; a reboot takes %v here, minutes on real hosts", len(s.Targets), parallel, rebootTime)
		h.addRow(Row{d.name, "roll-out-time", "by-rack", took.Seconds(), "s", waveBound * ideal.Seconds(), note})
		h.addRow(Row{d.name, "roll-out-time", "computed-limit", ideal.Seconds(), "s", 0, "computed: cycles allowed by the budget x (drain + reboot)"})
		serial := time.Duration(len(s.Targets)) * (rebootTime + runTime)
		h.addRow(Row{d.name, "roll-out-time", "one-at-a-time", serial.Seconds(), "s", 0, "computed baseline"})
		return plotWave(filepath.Join(h.options.Out, d.name+"-wave.svg"), samples)
	})
}
