// Package tour shows carawaymux on a stand-in of the users' platform. It runs entries as
// processes, submits jobs, kills the entry that owns them and runs a maintenance wave.
package tour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// Options are the options of the tour command.
type Options struct {
	Out io.Writer
	// Bin is the folder with the programs.
	Bin string
}

// tourTimeout limits the whole tour.
const tourTimeout = time.Minute

// New returns the tour command. It calls run in place of [Run] if run is not nil.
func New(out io.Writer, run func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Out: out}
	cmd := &cobra.Command{
		Use:     "tour",
		Short:   "Show jobs and maintenance on a stand-in of the users' platform",
		Example: "  trial tour --bin bin",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Run(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.Bin, "bin", "bin", "`folder` with the programs")
	return cmd
}

// layout has two pools with work and a standby pool.
var layout = fake.Layout{
	Pools:       map[string]int{"documents": 4, "remittances": 4, "spare": 3},
	StandbyPool: "spare",
	Timing: fake.Timing{
		MaxLease: 10 * time.Second, MoveDuration: 300 * time.Millisecond, MaintenanceDuration: 400 * time.Millisecond, HeartbeatInterval: 300 * time.Millisecond,
	},
}

// Run runs the steps of the tour and returns the error of the first step that fails.
func Run(ctx context.Context, o *Options) error {
	ctx, cancel := context.WithTimeout(ctx, tourTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "caraway-tour-")
	if err != nil {
		return fault.At("tour", "", err)
	}
	defer os.RemoveAll(dir)
	w, err := fake.New(layout)
	if err != nil {
		return fault.At("tour", "", err)
	}
	defer w.Close()
	s, err := fake.NewDeployment(w, o.Bin, dir, 3)
	if err != nil {
		return fault.At("tour", "", err)
	}
	defer s.KillAll()
	t := &tour{Deployment: s, out: o.Out}
	for i, step := range []struct {
		title string
		show  func(context.Context) error
	}{
		{"start 3 entries on a stand-in of the platform: store, machines and 8 hosts", t.start},
		{"submit 20 jobs of two steps through all entries", t.submit},
		{"kill the entry that owns the pool while the jobs run; another entry takes over", t.killOwner},
		{"take six machines through a maintenance wave, two at a time", t.maintain},
	} {
		fmt.Fprintf(o.Out, "%2d  %s\n", i+1, step.title)
		if err := step.show(ctx); err != nil {
			return fault.At(step.title, "", err)
		}
	}
	if violations := w.Violations(); len(violations) > 0 {
		return fault.New("tour", "", "guarantees violated: %v", violations)
	}
	fmt.Fprintln(o.Out, "tour: ok")
	return nil
}

// tour is a running deployment with the jobs that were submitted to it.
type tour struct {
	*fake.Deployment
	out  io.Writer
	jobs []*fake.Job
}

func (t *tour) say(format string, args ...any) { fmt.Fprintf(t.out, "    "+format+"\n", args...) }

func (t *tour) start(ctx context.Context) error {
	if err := t.Publish("config", fake.Config(1, layout)); err != nil {
		return err
	}
	if err := t.StartAll(ctx); err != nil {
		return err
	}
	return procs.WaitFor(ctx, "each pool has an owner", func(context.Context) error {
		for _, pool := range []string{"documents", "remittances"} {
			if t.Owner(pool) == nil {
				return fault.New("owner", pool, "no entry owns the pool yet")
			}
		}
		t.say("documents is owned by %s, remittances by %s", t.Owner("documents").Name, t.Owner("remittances").Name)
		return nil
	})
}

func (t *tour) submit(ctx context.Context) error {
	for i := range 20 {
		steps := []fake.StepSpec{{Count: 2, EstimatedMS: 400}, {Count: 1, EstimatedMS: 400, After: []int{0}}}
		status, j := t.Submit(ctx, t.Entries[i%len(t.Entries)], "documents", fmt.Sprintf("%016x", i+1), "400", steps...)
		if status != http.StatusOK {
			return fault.New("submit", j.ID, "not accepted: HTTP status %d", status)
		}
		t.jobs = append(t.jobs, j)
	}
	t.say("%d jobs accepted", len(t.jobs))
	return nil
}

func (t *tour) killOwner(ctx context.Context) error {
	owner := t.Owner("documents")
	owner.Proc().Kill()
	t.say("%s killed", owner.Name)
	for _, j := range t.jobs {
		if err := procs.WaitFor(ctx, j.ID+" is completed", func(ctx context.Context) error {
			for _, e := range t.Entries {
				if state, err := t.JobState(ctx, e, "documents", j.ID); err == nil && state == "completed" {
					return nil
				}
			}
			return fault.New("state", j.ID, "no entry reports the job as completed yet")
		}); err != nil {
			return err
		}
	}
	t.say("all jobs completed, documents is owned by %s", t.Owner("documents").Name)
	return t.Start(owner)
}

func (t *tour) maintain(ctx context.Context) error {
	machines := []string{"m-documents-0", "m-documents-1", "m-documents-2", "m-remittances-0", "m-remittances-1", "m-spare-0"}
	began := time.Now()
	if err := t.Publish("wave/1", map[string]any{"wave": 1, "machines": machines, "duration_s": 30, "cap": 2}); err != nil {
		return err
	}
	err := procs.WaitFor(ctx, "the wave is completed", func(context.Context) error {
		if s := t.Status("wave/1"); s != `{"state":"completed"}` {
			return fault.New("wave", "1", "maintenance of %d of %d machines has begun", t.MaintenanceBegun(1), len(machines))
		}
		return nil
	})
	t.say("%d of %d machines maintained after %.1f s", t.MaintenanceBegun(1), len(machines), time.Since(began).Seconds())
	return err
}
