// Package demo shows the main job of the system on one machine: records are published,
// requests served across zones, questions asked, a host maintained within its budget
// and an entry stopped under load.
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

// timeout bounds the whole demo.
const timeout = 55 * time.Second

// New builds the demo command.
func New(out io.Writer) *cobra.Command {
	var bin string
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Show the main job on loopback, in separate processes",
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

// The two zones of the demo.
const (
	zoneA = "tp-a"
	zoneB = "tp-b"
)

// bureau is the Bureau in small.
func bureau() site.Plan {
	one := budget.Spec{MaxUnavailable: 1, MinAvailable: 1}
	return site.Plan{
		Zones: []string{zoneA, zoneB}, EntriesPerZone: 2, ListLag: 200 * time.Millisecond, RebootDuration: 500 * time.Millisecond,
		Pools: []site.Pool{
			{Name: "documents", Zones: map[string]int{zoneA: 2, zoneB: 2}, Budget: one, RunTime: 5 * time.Millisecond},
			{Name: "remittances", Zones: map[string]int{zoneB: 2}, Budget: one, RunTime: 10 * time.Millisecond},
			{
				Name: "inquiries", Zones: map[string]int{zoneA: 2, zoneB: 2}, Budget: one, Spare: true, Guard: 4,
				RunTime: 5 * time.Millisecond,
			},
		},
	}
}

// show runs the steps and prints them.
type show struct {
	ctx  context.Context
	out  io.Writer
	site *site.Site
	step int
}

// Run shows the demo; its last line is "demo: ok" when every step went well.
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
	sh := &show{ctx: ctx, out: out, site: s}
	err = sh.all()
	s.Close()
	if err != nil {
		return fmt.Errorf("demo: failed at step %d (logs are in %s): %w", sh.step, dir, err)
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "demo: ok")
	return err
}

func (s *show) say(format string, args ...any) {
	s.step++
	fmt.Fprintf(s.out, "%2d  %s\n", s.step, fmt.Sprintf(format, args...))
}

func (s *show) tell(format string, args ...any) {
	fmt.Fprintf(s.out, "    %s\n", fmt.Sprintf(format, args...))
}

func (s *show) all() error {
	for _, step := range []func() error{
		s.start, s.publish, s.serve, s.ask, s.maintain, s.stopEntry,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *show) start() error {
	s.say("start %d entries in %d zones, %d targets, the log service and the host service, each a process",
		len(s.site.Entries), len(s.site.Plan.Zones), len(s.site.Targets))
	return s.site.Start(s.ctx)
}

func (s *show) publish() error {
	s.say("publish budgets, pools and hosts as records")
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
	s.tell("%d pools and %d hosts in force on every entry at offset %d", status.Pools, status.Hosts, status.Offset)
	return nil
}

func (s *show) serve() error {
	s.say("serve requests, some through an entry of the other zone")
	entry := s.site.Entries[0]
	for _, kind := range []string{"documents", "remittances"} {
		if err := procs.WaitFor(s.ctx, kind+" served", func(ctx context.Context) error {
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
			s.tell("%s sent to %s, outcome %s, run by %s through %s: %q", kind, entry.Name, a.Outcome, a.Target, a.Entry, a.Body)
			return nil
		}); err != nil {
			return err
		}
	}
	a, err := entry.Client.Do(s.ctx, client.Request{Kind: "fishing", ID: "x", Idempotent: true})
	if err != nil {
		return err
	}
	s.tell("an unknown kind: outcome %s, status %d: %s", a.Outcome, a.Status, a.Reason)
	if a.Outcome != wire.NotRun {
		return fmt.Errorf("an unknown kind had outcome %s", a.Outcome)
	}
	return nil
}

func (s *show) ask() error {
	s.say("ask what the fleet can carry and which hosts may leave")
	c := s.site.Entries[len(s.site.Entries)-1].Client
	for _, tasks := range []int{6, 60} {
		got, err := c.Carry(s.ctx, query.Carry{Pool: "documents", Jobs: []query.Demand{
			{Name: "match", Size: host.Resources{Cores: 8, MemoryMiB: 16 << 10}, Tasks: tasks},
		}}, 0)
		if err != nil {
			return err
		}
		s.tell("carry %d tasks of 8 cores: %v %s %s (offset %d, age %d ms)", tasks, got.Fits, got.ShortOf, got.Why, got.View.Offset, got.View.AgeMS)
		if got.Fits != (tasks == 6) {
			return fmt.Errorf("carry %d tasks: fits is %v", tasks, got.Fits)
		}
	}
	left, err := c.Leave(s.ctx, query.Leave{Pool: "remittances"}, 0)
	if err != nil {
		return err
	}
	for _, h := range left.Hosts {
		s.tell("leave %s: %v %s", h.Host, h.MayLeave, h.Blocker)
	}
	return nil
}

func (s *show) maintain() error {
	s.say("take the hosts of pool remittances through a maintenance wave, one at a time by its budget")
	c := s.site.Entries[1].Client
	v, err := c.Publish(s.ctx, client.NewRecord(site.Author, "spring", 0, wave.Spec{Pools: []string{"remittances"}}))
	if err != nil {
		return err
	}
	s.tell("wave accepted at offset %d", v.Offset)
	fewest := 2
	var last string
	err = procs.WaitFor(s.ctx, "wave done", func(ctx context.Context) error {
		p, err := c.Object(ctx, record.KindPool, "remittances", 0)
		if err != nil {
			return err
		}
		fewest = min(fewest, p.Status.Serving)
		w, err := c.Object(ctx, record.KindWave, "spring", 0)
		if err != nil {
			return err
		}
		if line := fmt.Sprintf("wave %s, %d of %d hosts left, pool serving %d of %d",
			w.Status.Phase, w.Status.Remaining, w.Status.Total, p.Status.Serving, p.Status.Size); line != last {
			s.tell("%s", line)
			last = line
		}
		if w.Status.Phase != string(wave.Done) {
			return fmt.Errorf("wave is %s", w.Status.Phase)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if fewest < 1 {
		return fmt.Errorf("only %d hosts served during the wave, the budget asks for 1", fewest)
	}
	e, err := c.Explain(s.ctx, record.KindHost, "tp-b-remittances-1")
	if err != nil {
		return err
	}
	for _, step := range e.History {
		s.tell("host tp-b-remittances-1: offset %d %s by %s (%s)", step.Offset, step.Event, step.Rule, step.Figures)
	}
	return nil
}

func (s *show) stopEntry() error {
	s.say("stop an entry under load: no request in flight is cut off")
	leaving, staying := s.site.Entries[0], s.site.Entries[1]
	var done, moved, bad atomic.Int64
	var group errgroup.Group
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	for worker := range 8 {
		group.Go(func() error {
			for n := 0; ctx.Err() == nil; n++ {
				entry := leaving
				if leaving.Client.Ready(s.ctx) != nil {
					entry = staying
					moved.Add(1)
				}
				a, err := entry.Client.Do(s.ctx, client.Request{
					Kind: "documents", ID: fmt.Sprintf("load-%d-%d", worker, n), Idempotent: true, Body: []byte("x"),
				})
				if err != nil || a.Outcome != wire.Done {
					bad.Add(1)
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
	s.tell("%d requests done, %d of them after the balancer had moved on, %d cut off", done.Load(), moved.Load(), bad.Load())
	return err
}
