// Package soak runs entries as processes on a simulation of the users' platform, injects faults that are drawn
// from a seed, and checks the promises of the system against what callers and hosts saw.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// Options are the options of the soak command.
type Options struct {
	Series
	// Case is a file with a case to repeat, in place of seeds; empty for none.
	Case string
	// Small is the number of small tasks for each host in jobs that end all at once, as the owner of their pool may; 0 for
	// no such jobs.
	Small int
	// Tenants publishes tenants, whose callers send keys.
	Tenants bool
	// Mixed makes hostile clients of all kinds come together, to all listeners of an entry.
	Mixed bool
	// Minimize drops faults from schedules that break a promise, as long as they still do.
	Minimize bool
	// JSON selects JSON lines in place of a table.
	JSON bool
	// planted lets checks fail.
	planted plant
}

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// ErrUnfinished means that a run ended while jobs were still waiting for hosts, so that it does not show whether they
// would have been done.
var ErrUnfinished = errors.New("a run ended with unfinished jobs")

// New returns the soak command.
func New(out, progress io.Writer) *cobra.Command {
	o := &Options{Series: Series{Minutes: 1, Entries: 4, Hosts: 4, Out: out, Progress: progress}}
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run entries as processes under faults drawn from a seed, and check what the system promises",
		Long: "Run entries as processes under faults drawn from a seed, and check what the system promises.\n\n" +
			"The exit code is 0 if all promises were kept, and 1 if one was broken or a run could not be judged.",
		Example: "  trial soak --bin bin --seed 7\n" +
			"  trial soak --bin bin --seeds 50 --minutes 0.5 --entries 6 --keep out/soak\n" +
			"  trial soak --bin bin --case out/soak/seed-7/case.json --minimize\n" +
			"  trial soak --bin bin --faults term,reload,queue --json",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return Run(ctx, o)
		},
	}
	o.AddFlags(cmd, Kinds(), "")
	cmd.Flags().StringVar(&o.Case, "case", "", "`file` with a case to repeat (case.json of a run with --keep), in place of seeds")
	cmd.Flags().IntVar(&o.Small, "small", 600, "`number` of small tasks for each host in jobs whose tasks end all at once (0 for no such jobs)")
	cmd.Flags().BoolVar(&o.Mixed, "mixed", false, "let hostile clients of all kinds come together, to all listeners of an entry")
	cmd.Flags().BoolVar(&o.Tenants, "tenants", false, "publish tenants with keys, weights and caps, and change them")
	cmd.Flags().BoolVar(&o.Minimize, "minimize", false, "drop faults one by one from schedules that break a promise, as long as they still do")
	cmd.Flags().BoolVar(&o.JSON, "json", false, "print JSON lines")
	return cmd
}

// Run plays all seeds and prints the results. It returns [ErrBroken] if a promise was broken.
func Run(ctx context.Context, o *Options) error {
	kinds, err := o.Kinds(Kinds())
	if err != nil {
		return err
	}
	cases := []Case{}
	if o.Case != "" {
		c, err := readCase(o.Case)
		if err != nil {
			return err
		}
		cases = append(cases, c)
	}
	for i := 0; o.Case == "" && i < o.Seeds; i++ {
		cases = append(cases, drawCase(o, o.Seed+uint64(i), kinds))
	}
	var rows []Row
	for i, c := range cases {
		r, err := runCase(ctx, o, c)
		if err != nil {
			return errors.Join(fmt.Errorf("seed %d: %w", c.Seed, err), printRows(o, rows))
		}
		rows = append(rows, r)
		fmt.Fprintf(o.Progress, "seed %d (%d of %d): %s\n", r.Seed, i+1, len(cases), r.summary())
		for _, b := range r.Broken {
			fmt.Fprintln(o.Progress, "  "+b.String())
		}
	}
	if err := printRows(o, rows); err != nil {
		return err
	}
	switch {
	case slices.ContainsFunc(rows, func(r Row) bool { return len(r.Broken) > 0 }):
		return ErrBroken
	case slices.ContainsFunc(rows, func(r Row) bool { return r.Unfinished > 0 }):
		return ErrUnfinished
	}
	return nil
}

const (
	// startTimeout limits the start of a deployment.
	startTimeout = 30 * time.Second
	// drainTimeout limits the time after the traffic in which jobs are to end. It leaves time for what four
	// times the load of the hosts has left, and for finish_s after it.
	drainTimeout = time.Minute
	// tail is the calm time at the end of a run in which promises with time bounds are judged.
	tail = 8 * time.Second
)

// runCase plays a case and judges it.
func runCase(ctx context.Context, o *Options, c Case) (Row, error) {
	dir, remove, err := o.Folder(c.Seed)
	if err != nil {
		return Row{}, err
	}
	defer remove()
	fmt.Fprintf(o.Progress, "seed %d: the store takes %v for an append; schedule:\n", c.Seed, c.AppendTime)
	for _, f := range c.Schedule {
		fmt.Fprintln(o.Progress, "  "+f.String())
	}
	if o.Keep != "" {
		if err := writeJSON(dir, "case.json", c); err != nil {
			return Row{}, err
		}
	}
	h, err := play(ctx, o, c, dir)
	if err != nil {
		return Row{}, err
	}
	r := judge(c.Seed, h)
	if o.Keep != "" {
		err = keepResult(dir, h, r)
	}
	if err == nil && o.Minimize && len(r.Broken) > 0 {
		err = minimizeCase(ctx, o, c, r.Broken)
	}
	return r, err
}

// play starts a deployment, injects the faults of a case under its load, and returns what was seen.
func play(ctx context.Context, o *Options, c Case, dir string) (*History, error) {
	startCtx, stopStart := context.WithTimeout(ctx, startTimeout)
	defer stopStart()
	s, err := newSite(startCtx, o, c, dir)
	if err != nil {
		return nil, err
	}
	traffic := c.traffic()
	runCtx, stopRun := context.WithTimeout(ctx, traffic+drainTimeout)
	defer stopRun()
	probeCtx, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	var probes, work errgroup.Group
	for _, e := range s.deployment.Entries {
		probes.Go(func() error {
			s.probe(probeCtx, e)
			return nil
		})
	}
	probes.Go(func() error {
		s.recorder.watchTimers(probeCtx)
		return nil
	})
	crowd := newCrowd(s)
	work.Go(func() error {
		crowd.run(runCtx, c)
		return nil
	})
	work.Go(func() error {
		crowd.hold(runCtx, c)
		return nil
	})
	work.Go(func() error {
		crowd.runLasting(runCtx, c)
		return nil
	})
	work.Go(func() error {
		crowd.runLight(runCtx, c)
		return nil
	})
	work.Go(func() error {
		crowd.runSmall(runCtx, c)
		return nil
	})
	work.Go(func() error {
		d := &conductor{site: s, active: map[Kind]int{}, version: 1}
		return d.conduct(runCtx, c.Schedule, func(f Fault) { fmt.Fprintf(o.Progress, "seed %d: %s\n", c.Seed, f) })
	})
	err = work.Wait()
	if err == nil && !sleep(ctx, tail) {
		err = ctx.Err()
	}
	stopProbes()
	_ = probes.Wait()
	h, finishErr := s.recorder.finish()
	crowd.close()
	violations := s.platform.Violations()
	s.close()
	if err := errors.Join(err, finishErr); err != nil {
		return nil, err
	}
	h.TrafficStart, h.TrafficEnd, h.StandIn = s.trafficAt, s.trafficAt+traffic, violations
	h.Changes, err = readChanges(dir, s.deployment.Entries, s.recorder.startedAt)
	return h, err
}
