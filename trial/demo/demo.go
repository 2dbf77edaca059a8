// Package demo shows the main functions of carawaymux on one machine. It publishes records,
// sends requests across zones, queries the fleet, takes hosts through a maintenance wave
// within their budget and stops an entry under load.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

// timeout limits the whole demo.
const timeout = 55 * time.Second

// New returns the demo command.
func New(out io.Writer) *cobra.Command {
	var bin string
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Show the main functions on loopback, in separate processes",
		Example: "  trial demo --bin ./bin",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return Run(ctx, out, bin)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "`folder` with the programs")
	return cmd
}

// Zones of the demo.
const (
	zoneA = "tp-a"
	zoneB = "tp-b"
)

// bureau returns a small version of the Bureau, one of the users' fleets.
func bureau() site.Plan {
	oneUnavailable := budget.Spec{MaxUnavailable: 1, MinAvailable: 1}
	return site.Plan{
		Zones: []string{zoneA, zoneB}, EntriesPerZone: 2, ListLag: 200 * time.Millisecond, RebootDuration: 500 * time.Millisecond,
		Pools: []site.Pool{
			{Name: "documents", Zones: map[string]int{zoneA: 2, zoneB: 2}, Budget: oneUnavailable, RunTime: 5 * time.Millisecond},
			{Name: "remittances", Zones: map[string]int{zoneB: 2}, Budget: oneUnavailable, RunTime: 10 * time.Millisecond},
			{
				Name: "inquiries", Zones: map[string]int{zoneA: 2, zoneB: 2}, Budget: oneUnavailable, Spare: true, Guard: 4,
				RunTime: 5 * time.Millisecond,
			},
		},
	}
}

// script runs the steps of the demo and prints their results.
type script struct {
	ctx  context.Context
	out  io.Writer
	site *site.Site
	step int
}

// Run runs the demo. The last line that it prints is "demo: ok" if every step succeeded.
func Run(ctx context.Context, out io.Writer, bin string) error {
	dir, err := os.MkdirTemp("", "caraway-demo-")
	if err != nil {
		return err
	}
	bin, err = filepath.Abs(bin)
	if err != nil {
		return err
	}
	s, err := site.New(bureau(), bin, dir)
	if err != nil {
		return err
	}
	sc := &script{ctx: ctx, out: out, site: s}
	err = sc.runAll()
	s.Close()
	if err != nil {
		return fmt.Errorf("demo: failed at step %d (logs are in %s): %w", sc.step, dir, err)
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "demo: ok")
	return err
}

// heading counts a step and prints its title.
func (s *script) heading(format string, args ...any) {
	s.step++
	fmt.Fprintf(s.out, "%2d  %s\n", s.step, fmt.Sprintf(format, args...))
}

// detail prints a result of the present step.
func (s *script) detail(format string, args ...any) {
	fmt.Fprintf(s.out, "    %s\n", fmt.Sprintf(format, args...))
}

func (s *script) runAll() error {
	for _, step := range []func() error{
		s.start, s.publish, s.serve, s.queryFleet, s.maintain, s.stopEntry,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) start() error {
	s.heading("start %d entries in %d zones, %d targets, the log service and the host service, each as a process",
		len(s.site.Entries), len(s.site.Plan.Zones), len(s.site.Targets))
	return s.site.Start(s.ctx)
}

func (s *script) publish() error {
	s.heading("publish budgets, pools and hosts as records")
	if err := s.site.Publish(s.ctx); err != nil {
		return err
	}
	status, err := s.site.Entries[0].Client.Status(s.ctx)
	if err != nil {
		return err
	}
	if err := s.site.WaitForOffset(s.ctx, status.Offset); err != nil {
		return err
	}
	s.detail("%d pools and %d hosts are in force on every entry at offset %d", status.Pools, status.Hosts, status.Offset)
	return nil
}

func (s *script) serve() error {
	s.heading("send requests; an entry of the other zone serves some of them")
	entry := s.site.Entries[0]
	for _, kind := range []string{"documents", "remittances"} {
		if err := procs.WaitFor(s.ctx, kind+" request done", func(ctx context.Context) error {
			id, err := entry.Client.IssueID(ctx, kind)
			if err != nil {
				return err
			}
			a, err := entry.Client.Do(ctx, client.Request{Kind: kind, ID: id, Body: []byte("hello")})
			if err != nil {
				return err
			}
			if a.Outcome != wire.Done {
				return fmt.Errorf("outcome %s: %s", a.Outcome, a.Reason)
			}
			s.detail("%s sent to %s: outcome %s, run on target %s through entry %s, answer %q", kind, entry.Name, a.Outcome, a.Target, a.Entry, a.Body)
			return nil
		}); err != nil {
			return err
		}
	}
	a, err := entry.Client.Do(s.ctx, client.Request{Kind: "fishing", ID: "x", Idempotent: true})
	if err != nil {
		return err
	}
	s.detail("request of an unknown kind: outcome %s, status %d: %s", a.Outcome, a.Status, a.Reason)
	if a.Outcome != wire.NotRun {
		return fmt.Errorf("request of an unknown kind: outcome %s, want not-run", a.Outcome)
	}
	return nil
}

func (s *script) queryFleet() error {
	s.heading("query how many tasks the fleet can carry and which hosts may leave")
	c := s.site.Entries[len(s.site.Entries)-1].Client
	for _, tasks := range []int{6, 60} {
		got, err := c.Carry(s.ctx, query.Carry{Pool: "documents", Jobs: []query.Demand{
			{Name: "match", Size: host.Resources{Cores: 8, MemoryMiB: 16 << 10}, Tasks: tasks},
		}}, 0)
		if err != nil {
			return err
		}
		s.detail("carry %d tasks of 8 cores: fits %v %s %s (offset %d, age %d ms)", tasks, got.Fits, got.ShortOf, got.Why, got.View.Offset, got.View.AgeMS)
		if got.Fits != (tasks == 6) {
			return fmt.Errorf("carry %d tasks of 8 cores: got the wrong answer, fits is %v", tasks, got.Fits)
		}
	}
	left, err := c.Leave(s.ctx, query.Leave{Pool: "remittances"}, 0)
	if err != nil {
		return err
	}
	for _, h := range left.Hosts {
		s.detail("host %s may leave: %v %s", h.Host, h.MayLeave, h.Blocker)
	}
	return nil
}

func (s *script) maintain() error {
	s.heading("take the hosts of pool remittances through a maintenance wave, one at a time as its budget demands")
	c := s.site.Entries[1].Client
	v, err := c.Publish(s.ctx, client.NewRecord(site.Author, "spring", 0, wave.Spec{Pools: []string{"remittances"}}))
	if err != nil {
		return err
	}
	s.detail("wave accepted at offset %d", v.Offset)
	minServing := 2
	var last string
	err = procs.WaitFor(s.ctx, "the wave is done", func(ctx context.Context) error {
		p, err := c.Object(ctx, record.KindPool, "remittances", 0)
		if err != nil {
			return err
		}
		minServing = min(minServing, p.Status.Serving)
		w, err := c.Object(ctx, record.KindWave, "spring", 0)
		if err != nil {
			return err
		}
		if line := fmt.Sprintf("wave %s, %d of %d hosts not yet maintained, pool serves with %d of %d",
			w.Status.Phase, w.Status.Remaining, w.Status.Total, p.Status.Serving, p.Status.Size); line != last {
			s.detail("%s", line)
			last = line
		}
		if w.Status.Phase != string(wave.Done) {
			return fmt.Errorf("the phase of the wave is %s, not done", w.Status.Phase)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if minServing < 1 {
		return fmt.Errorf("only %d hosts served during the wave, the budget demands at least 1", minServing)
	}
	e, err := c.Explain(s.ctx, record.KindHost, "tp-b-remittances-1")
	if err != nil {
		return err
	}
	for _, step := range e.History {
		s.detail("host tp-b-remittances-1: offset %d %s by %s (%s)", step.Offset, step.Event, step.Rule, step.Figures)
	}
	return nil
}

func (s *script) stopEntry() error {
	s.heading("stop an entry under load: all requests in flight complete")
	leaving, staying := s.site.Entries[0], s.site.Entries[1]
	var done, rerouted, failed atomic.Int64
	var group errgroup.Group
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for worker := range 8 {
		group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				entry := leaving
				if leaving.Client.Ready(s.ctx) != nil {
					entry = staying
					rerouted.Add(1)
				}
				a, err := entry.Client.Do(s.ctx, client.Request{
					Kind: "documents", ID: fmt.Sprintf("load-%d-%d", worker, n), Idempotent: true, Body: []byte("x"),
				})
				if err != nil || a.Outcome != wire.Done {
					failed.Add(1)
					return fmt.Errorf("request through %s: outcome %s %s: %w", entry.Name, a.Outcome, a.Reason, err)
				}
				done.Add(1)
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	if err := leaving.Proc.Stop(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	cancel()
	err := group.Wait()
	s.detail("%d requests done, %d sent to the other entry once the first was not ready, %d failed", done.Load(), rerouted.Load(), failed.Load())
	return err
}
