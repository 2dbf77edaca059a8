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
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/soak"
)

// Options are the options of the churn command.
type Options struct {
	soak.Series
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
	o := &Options{Series: soak.Series{Minutes: 0.5, Entries: 2, Hosts: 3, Out: out, Progress: progress}}
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
	o.AddFlags(cmd, kinds, " in each availability zone")
	return cmd
}

// Run plays all seeds and prints the results. It returns [ErrBroken] if a promise was broken.
func Run(ctx context.Context, o *Options) error {
	chosen, err := o.Kinds(kinds)
	if err != nil {
		return err
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
	dir, remove, err := o.Folder(seed)
	if err != nil {
		return Row{}, err
	}
	defer remove()
	traffic := o.Traffic()
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
