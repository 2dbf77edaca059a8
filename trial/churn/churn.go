// Package churn runs entries of the product's own interface (carawayd) with their targets and the stand-ins of the platform,
// each as a process, injects faults that are drawn from a seed, and checks what the product promises.
package churn

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/soak"
)

// Options are the options of the churn command.
type Options struct {
	// Bin is the folder with the programs.
	Bin string
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
	// Minutes is how long callers send requests with each seed.
	Minutes float64
	// Entries is the number of entries, Hosts the number of targets of each pool, in each availability zone.
	Entries, Hosts int
	// Faults are the kinds of faults; empty for all that apply.
	Faults []string
	// Keep is the folder for schedules, histories and logs; empty to keep none.
	Keep string
	// Out receives the results as JSON lines, Progress the schedules and the progress.
	Out, Progress io.Writer
	// cuts kills processes soon after SIGTERM, so that checks fail. Only tests set it.
	cuts bool
	// waveTime replaces the time in which waves have to be done, unless it is 0. Only tests set it.
	waveTime time.Duration
}

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// kinds are the kinds of faults that apply to these entries.
var kinds = []soak.Kind{
	soak.Term, soak.Pause, soak.Kill, soak.StoreBusy, soak.StoreSlow, soak.MachinesDown, soak.HostCrash,
	soak.LinkDelay, soak.LinkReset, soak.LinkCut, soak.LinkSilent, soak.LinkDrip, soak.LinkLate, soak.MaintenanceWave,
}

// New returns the churn command.
func New(out, progress io.Writer) *cobra.Command {
	o := &Options{Out: out, Progress: progress}
	cmd := &cobra.Command{
		Use:   "churn",
		Short: "Run carawayd entries as processes under faults drawn from a seed, and check what the product promises",
		Long: "Run carawayd entries as processes under faults drawn from a seed, and check what the product promises.\n\n" +
			"The results are JSON lines. The exit code is 0 if all promises were kept, and 1 if one was broken or a run could not be judged.",
		Example: "  trial churn --bin bin --seed 7\n  trial churn --bin bin --seeds 20 --minutes 0.5 --keep out/churn --faults term",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return Run(ctx, o)
		},
	}
	cmd.Flags().StringVar(&o.Bin, "bin", "bin", "`folder` with the programs")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "first `seed`")
	cmd.Flags().IntVar(&o.Seeds, "seeds", 1, "`number` of consecutive seeds")
	cmd.Flags().Float64Var(&o.Minutes, "minutes", 0.5, "`minutes` of traffic for each seed")
	cmd.Flags().IntVar(&o.Entries, "entries", 2, "`number` of entries in each availability zone")
	cmd.Flags().IntVar(&o.Hosts, "hosts", 3, "`number` of targets of each pool in each availability zone")
	cmd.Flags().StringSliceVar(&o.Faults, "faults", nil, fmt.Sprintf("`kinds` of faults, of %v (default all)", kinds))
	cmd.Flags().StringVar(&o.Keep, "keep", "", "`folder` for schedules, histories and logs")
	return cmd
}

var errOptions = errors.New("the numbers of seeds, entries and hosts have to be positive, and the traffic has to last a quarter of a minute")

// minMinutes is the shortest traffic that contains a series of faults whatever the seed.
const minMinutes = 0.25

// Run plays all seeds and prints the results. It returns [ErrBroken] if a promise was broken.
func Run(ctx context.Context, o *Options) error {
	if o.Seeds < 1 || o.Entries < 1 || o.Hosts < 1 || o.Minutes < minMinutes {
		return errOptions
	}
	chosen := kinds
	if len(o.Faults) > 0 {
		chosen = nil
	}
	for _, name := range o.Faults {
		if !slices.Contains(kinds, soak.Kind(name)) {
			return fmt.Errorf("unknown kind of fault %q, expected one of %v", name, kinds)
		}
		chosen = append(chosen, soak.Kind(name))
	}
	broken := false
	for i := range o.Seeds {
		r, err := runSeed(ctx, o, o.Seed+uint64(i), chosen)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed+uint64(i), err)
		}
		broken = broken || len(r.Broken) > 0
		fmt.Fprintf(o.Progress, "seed %d (%d of %d): %s\n", r.Seed, i+1, o.Seeds, r.summary())
		for _, b := range r.Broken {
			fmt.Fprintf(o.Progress, "  %s: %s\n", b.Promise, b.What)
		}
		if err := json.NewEncoder(o.Out).Encode(r); err != nil {
			return err
		}
	}
	if broken {
		return ErrBroken
	}
	return nil
}

// runSeed plays a seed and judges it.
func runSeed(ctx context.Context, o *Options, seed uint64, chosen []soak.Kind) (Row, error) {
	dir, err := os.MkdirTemp("", "caraway-churn-")
	if o.Keep != "" {
		dir = filepath.Join(o.Keep, fmt.Sprintf("seed-%d", seed))
		err = os.MkdirAll(dir, 0o755)
	} else {
		defer os.RemoveAll(dir)
	}
	if err != nil {
		return Row{}, err
	}
	traffic := time.Duration(o.Minutes * float64(time.Minute))
	schedule := soak.Plan(seed, traffic, layout(o), chosen)
	fmt.Fprintf(o.Progress, "seed %d; schedule:\n", seed)
	for _, f := range schedule {
		fmt.Fprintln(o.Progress, "  "+f.String())
	}
	h, err := play(ctx, o, seed, dir, traffic, schedule)
	if err != nil {
		return Row{}, err
	}
	r := judge(seed, h)
	if o.Keep == "" {
		return r, nil
	}
	raw, err := json.Marshal(struct {
		Schedule []soak.Fault `json:"schedule"`
		History  *History     `json:"history"`
		Row      Row          `json:"result"`
	}{schedule, h, r})
	if err != nil {
		return r, err
	}
	return r, os.WriteFile(filepath.Join(dir, "history.json"), raw, 0o644)
}

const (
	// startTimeout limits the start of a deployment, drainTimeout the time for the last answers and restarts, and finishTimeout the
	// time to read what all processes know at the end.
	startTimeout, drainTimeout, finishTimeout = 30 * time.Second, 30 * time.Second, 30 * time.Second
	// tail is the calm time at the end of a run, after which all entries have to be ready and to know the same records.
	tail = 6 * time.Second
)

// play starts a deployment, injects the faults of a schedule under load, and returns what was seen.
func play(ctx context.Context, o *Options, seed uint64, dir string, traffic time.Duration, schedule []soak.Fault) (*History, error) {
	startCtx, stopStart := context.WithTimeout(ctx, startTimeout)
	defer stopStart()
	d, err := newDeployment(startCtx, o, dir)
	if err != nil {
		return nil, err
	}
	defer d.close()
	runCtx, stopRun := context.WithTimeout(ctx, traffic+drainTimeout)
	defer stopRun()
	var work errgroup.Group
	p := newClients(d, seed, traffic)
	work.Go(func() error {
		p.run(runCtx)
		return nil
	})
	work.Go(func() error { return d.conduct(runCtx, schedule) })
	if err := work.Wait(); err != nil {
		return nil, err
	}
	timer := time.NewTimer(tail)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return d.finish(ctx, p)
}

// Row is the result of one seed.
type Row struct {
	Seed     uint64            `json:"seed"`
	Faults   map[soak.Kind]int `json:"faults"`
	Requests int               `json:"requests"`
	Done     int               `json:"done"`
	Stops    int               `json:"stops"`
	// LeastLong is the smallest number of requests that had been open for more than lossSlack at a planned stop.
	LeastLong int `json:"least-long"`
	// Cases counts what put each promise to the test.
	Cases  map[string]int `json:"cases"`
	Broken []Breach       `json:"broken"`
	// NotChecked lists the promises that nothing put to the test. They do not count as kept.
	NotChecked []string `json:"not-checked"`
}

func (r Row) summary() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	text := fmt.Sprintf("%d faults, %d requests, %d done, %d promises broken, at least %d requests open for long at each of %d stops",
		total, r.Requests, r.Done, len(r.Broken), r.LeastLong, r.Stops)
	if len(r.NotChecked) > 0 {
		text += "; NOT CHECKED: " + strings.Join(r.NotChecked, ", ")
	}
	return text
}
