// Package leader lets one instance plan for the fleet: it takes the planner lease,
// proposes what package plan decides, and writes snapshots. Nothing but planning
// stops while no instance holds the lease.
package leader

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/watch"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plan"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
)

const (
	// parallel is the number of appends and platform calls under way at once.
	parallel = 16
	// listTooOld is the age, in intervals, from which the platform's list is no
	// ground for decisions.
	listTooOld = 10
	// quarantineFor is how long a quarantine lasts.
	quarantineFor = 10 * time.Minute
	// repeatCall is the time between two equal calls to the platform.
	repeatCall = 2 * time.Second
)

// Parts are what a leader works with.
type Parts struct {
	Follower *follow.Follower
	Members  *member.Tracker
	Watcher  *watch.Watcher
	Client   *plat.Client
	Logger   *slog.Logger
}

// Leader plans while its instance holds the lease. Use [New] to build it.
type Leader struct {
	Parts
	name         string
	holder       string
	settings     setup.Planner
	listInterval time.Duration
	keeper       *task.Task[struct{}]
	planner      *task.Task[struct{}]
}

// New starts a leader for an instance.
func New(name string, incarnation uint64, p Parts, s setup.Planner, listInterval time.Duration) *Leader {
	l := &Leader{
		Parts: p, name: name, holder: name + ":" + strconv.FormatUint(incarnation, 10),
		settings: s, listInterval: listInterval,
	}
	if s.Enabled {
		l.keeper = task.Start(l.keepLease)
		l.planner = task.Start(l.plan)
	}
	return l
}

// Close stops planning and waits. The lease is left to lapse.
func (l *Leader) Close() {
	if l.settings.Enabled {
		l.planner.Close()
		l.keeper.Close()
	}
}

// policy is what decides in a planner.
type policy = plan.Planner[plan.ByRack, plan.LendSpares]

func (l *Leader) newPlanner() *policy {
	return plan.New(plan.Timing{
		FailAfter: l.settings.FailAfter, ReturnAfter: l.settings.ReturnAfter,
		PartitionAfter: l.settings.LeaseTerm, QuarantineFor: quarantineFor, TaskLeaseTerm: l.settings.TaskLeaseTerm,
		RepeatCallAfter: min(repeatCall, l.settings.TaskLeaseTerm/plan.RenewalsPerTerm),
	}, plan.ByRack{}, plan.LendSpares{ReplaceAfter: l.settings.ReplaceAfter, GiveBackAfter: l.settings.GiveBackAfter})
}

// plan runs rounds while the instance holds the lease.
func (l *Leader) plan(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(l.settings.Tick)
	defer tick.Stop()
	var fence uint64
	var planner *policy
	stopped := make(map[plan.TaskKey]uint64)
	snapshots := &snapshots{l: l}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		held, err := l.heldFence(ctx)
		if err != nil || held == 0 {
			fence = 0
			continue
		}
		if held != fence {
			// A new holder remembers nothing of earlier rounds.
			fence, planner = held, l.newPlanner()
			clear(stopped)
			l.Logger.Info("planning", "fence", fence)
		}
		snapshots.keep(ctx, fence)
		l.round(ctx, planner, stopped)
	}
}

// heldFence returns the fence of the lease if this instance holds it and is fit to
// plan, or 0.
func (l *Leader) heldFence(ctx context.Context) (uint64, error) {
	p, err := l.Follower.Progress(ctx)
	if err != nil || !p.Configured || p.Diverged || p.LogError != "" {
		return 0, err
	}
	return follow.Ask(ctx, l.Follower, func(s *ledger.State) uint64 {
		if s.Lease.Holder != l.holder {
			return 0
		}
		return s.Lease.Fence
	})
}

// decided is what a round came to, with the fence that it was decided under.
type decided struct {
	out   plan.Output
	fence uint64
}

func (l *Leader) round(ctx context.Context, planner *policy, stopped map[plan.TaskKey]uint64) {
	in, err := l.input(ctx, stopped)
	if err != nil {
		return
	}
	d, err := follow.Ask(ctx, l.Follower, func(s *ledger.State) decided {
		if s.Lease.Holder != l.holder {
			return decided{}
		}
		return decided{out: planner.Round(s, in), fence: s.Lease.Fence}
	})
	if err != nil {
		return
	}
	l.propose(ctx, d)
	l.call(ctx, d.out.Calls, stopped)
}

// input gathers what a round goes by.
func (l *Leader) input(ctx context.Context, stopped map[plan.TaskKey]uint64) (plan.Input, error) {
	in := plan.Input{Now: time.Now(), StoppedTasks: stopped}
	peers, err := l.Members.Peers(ctx)
	if err != nil {
		return in, err
	}
	for _, p := range peers {
		in.Entries = append(in.Entries, plan.Entry{
			Name: p.Name, Zone: p.Zone, Offset: p.Offset, Busy: p.Busy, Failing: p.Failing,
			Departed: p.State == member.Left || p.State == member.Gone, Unreachable: p.State == member.Silent,
		})
	}
	seen, err := l.Watcher.Latest(ctx)
	if err != nil {
		return in, err
	}
	if !seen.ReadAt.IsZero() && time.Since(seen.ReadAt) < listTooOld*l.listInterval {
		in.Machines = make(map[string]plat.Machine, len(seen.List.Machines))
		for _, m := range seen.List.Machines {
			in.Machines[m.Name] = m
		}
	}
	anyJobs, err := follow.Ask(ctx, l.Follower, func(s *ledger.State) bool { return len(s.Jobs) > 0 })
	if err == nil && anyJobs {
		if report, err := l.Client.Report(ctx); err == nil {
			in.Usage = report.Tasks
		}
	}
	return in, nil
}

// propose appends the drafts. What the fold rejects is decided anew in a later round.
func (l *Leader) propose(ctx context.Context, d decided) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.LeaseTerm)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, draft := range d.out.Drafts {
		group.Go(func() error {
			l.publish(ctx, draft, d.fence)
			return nil
		})
	}
	_ = group.Wait()
}

func (l *Leader) publish(ctx context.Context, draft plan.Draft, fence uint64) {
	v, err := l.Follower.Publish(ctx, record.Record{
		ID: record.NewID(), Schema: 1, Author: l.holder, Object: draft.Object, Base: draft.Base, Fence: fence,
		At: time.Now().UnixMilli(), Reason: draft.Reason, Body: draft.Body,
	})
	level := slog.LevelInfo
	if err != nil || v.Result != record.Accepted {
		level = slog.LevelWarn
	}
	l.Logger.Log(ctx, level, "proposed", "kind", draft.Body.Kind(), "object", draft.Object, "body", draft.Body,
		"rule", draft.Reason.Rule, "figures", draft.Reason.Figures, "result", v.Result, "why", v.Reason, "error", err)
}

// callResult tells which task a call has stopped.
type callResult struct {
	key   plan.TaskKey
	fence uint64
}

// call makes the calls to the platform. They are fenced and made again in later
// rounds until their effect is seen, so a lost answer does no harm.
func (l *Leader) call(ctx context.Context, calls []plan.Call, stopped map[plan.TaskKey]uint64) {
	results := make(chan callResult, len(calls))
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, c := range calls {
		group.Go(func() error {
			if err := l.callOne(ctx, c); err != nil {
				l.Logger.Warn("platform call", "verb", c.Verb, "host", c.Host, "fence", c.Fence, "error", err)
			} else if c.Verb == plan.VerbStop {
				results <- callResult{c.Task, c.Fence}
			}
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	for r := range results {
		stopped[r.key] = r.fence
	}
}

func (l *Leader) callOne(ctx context.Context, c plan.Call) error {
	switch c.Verb {
	case plan.VerbReboot:
		if err := l.Client.Drain(ctx, c.Host, c.Fence); err != nil {
			return err
		}
		return l.Client.Reboot(ctx, c.Host, c.Fence)
	case plan.VerbStart:
		return l.Client.StartTask(ctx, c.Host, c.Task.Job, c.Task.Task, c.Start)
	default:
		return l.Client.StopTask(ctx, c.Host, c.Task.Job, c.Task.Task, c.Fence)
	}
}
