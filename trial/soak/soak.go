// Package soak runs entries as processes on a simulation of the users' platform, injects faults that are drawn
// from a seed, and checks the promises of the system against what callers and hosts saw.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// Options are the options of the soak command.
type Options struct {
	// Bin is the folder with the programs.
	Bin string
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
	// Minutes is how long callers submit jobs with each seed.
	Minutes float64
	// Entries is the number of entries, Hosts the number of hosts of each pool.
	Entries, Hosts int
	// Faults are the kinds of faults; empty for all.
	Faults []string
	// Keep is the folder for schedules, histories and logs; empty to keep none.
	Keep string
	// Case is a file with a case to repeat, in place of seeds; empty for none.
	Case string
	// Minimize drops faults from schedules that break a promise, as long as they still do.
	Minimize bool
	// JSON selects JSON lines in place of a table.
	JSON bool
	// Out receives the results, Progress the schedules and the progress.
	Out, Progress io.Writer
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
	o := &Options{Out: out, Progress: progress}
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
	cmd.Flags().StringVar(&o.Bin, "bin", "bin", "`folder` with the programs")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first `seed`")
	cmd.Flags().IntVar(&o.Seeds, "seeds", 1, "`number` of consecutive seeds")
	cmd.Flags().Float64Var(&o.Minutes, "minutes", 1, "`minutes` of traffic for each seed")
	cmd.Flags().IntVar(&o.Entries, "entries", 4, "`number` of entries")
	cmd.Flags().IntVar(&o.Hosts, "hosts", 4, "`number` of hosts of each pool")
	cmd.Flags().StringSliceVar(&o.Faults, "faults", nil, fmt.Sprintf("`kinds` of faults, of %v (default all)", Kinds()))
	cmd.Flags().StringVar(&o.Keep, "keep", "", "`folder` for schedules, histories and logs")
	cmd.Flags().StringVar(&o.Case, "case", "", "`file` with a case to repeat (case.json of a run with --keep), in place of seeds")
	cmd.Flags().BoolVar(&o.Minimize, "minimize", false, "drop faults one by one from schedules that break a promise, as long as they still do")
	cmd.Flags().BoolVar(&o.JSON, "json", false, "print JSON lines")
	return cmd
}

var (
	errSeeds  = errors.New("the numbers of seeds, entries and hosts have to be positive")
	errLength = errors.New("the traffic has to last at least a quarter of a minute, for one series of faults")
)

// minMinutes is the shortest traffic that contains a series of faults whatever the seed.
const minMinutes = 0.25

// kinds returns the kinds of faults to inject.
func (o *Options) kinds() ([]Kind, error) {
	if len(o.Faults) == 0 {
		return Kinds(), nil
	}
	var out []Kind
	for _, name := range o.Faults {
		if !slices.Contains(Kinds(), Kind(name)) {
			return nil, fmt.Errorf("unknown kind of fault %q, expected one of %v", name, Kinds())
		}
		out = append(out, Kind(name))
	}
	return out, nil
}

// Run plays all seeds and prints the results. It returns [ErrBroken] if a promise was broken.
func Run(ctx context.Context, o *Options) error {
	kinds, err := o.kinds()
	if err != nil {
		return err
	}
	if o.Seeds < 1 || o.Entries < 1 || o.Hosts < 1 {
		return errSeeds
	}
	if o.Minutes < minMinutes {
		return errLength
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
	dir, err := runFolder(o, c.Seed)
	if err != nil {
		return Row{}, err
	}
	if o.Keep == "" {
		defer os.RemoveAll(dir)
	}
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

// runFolder creates the folder for the files of a run.
func runFolder(o *Options, seed uint64) (string, error) {
	if o.Keep == "" {
		return os.MkdirTemp("", "caraway-soak-")
	}
	dir := filepath.Join(o.Keep, fmt.Sprintf("seed-%d", seed))
	return dir, os.MkdirAll(dir, 0o755)
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
