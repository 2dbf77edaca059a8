// Package leader lets one entry plan for the fleet. The entry that holds the planner lease
// publishes the decisions of package plan, calls the platform, and writes snapshots. While no
// entry holds the lease, only planning stops.
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
	// maxParallelCalls limits concurrent appends, and concurrent calls to the platform.
	maxParallelCalls = 16
	// maxListAgeIntervals is the age, in list intervals, from which the platform's list of machines
	// is no longer used for decisions.
	maxListAgeIntervals = 10
	// quarantineDuration is the duration of a host's quarantine.
	quarantineDuration = 10 * time.Minute
	// callRepeatInterval is the time after which the same call to the platform is repeated, unless
	// task leases must be renewed more often.
	callRepeatInterval = 2 * time.Second
)

// Dependencies holds the components that a leader uses.
type Dependencies struct {
	Follower *follow.Follower
	Members  *member.Tracker
	Watcher  *watch.Watcher
	Client   *plat.Client
	Logger   *slog.Logger
}

// Leader plans while its entry holds the lease. Use [New] to build it.
type Leader struct {
	Dependencies
	name string
	// holder identifies this incarnation of the entry as the holder of the lease.
	holder       string
	settings     setup.Planner
	listInterval time.Duration
	leaseTask    *task.Task[struct{}]
	planTask     *task.Task[struct{}]
}

// New starts a leader for an entry. It does nothing if planning is disabled in the settings.
func New(name string, incarnation uint64, deps Dependencies, s setup.Planner, listInterval time.Duration) *Leader {
	l := &Leader{
		Dependencies: deps, name: name, holder: name + ":" + strconv.FormatUint(incarnation, 10),
		settings: s, listInterval: listInterval,
	}
	if s.Enabled {
		l.leaseTask = task.Start(l.keepLease)
		l.planTask = task.Start(l.runPlanning)
	}
	return l
}

// Close stops planning and waits until its tasks have ended. The lease is not released; it expires.
func (l *Leader) Close() {
	if l.settings.Enabled {
		l.planTask.Close()
		l.leaseTask.Close()
	}
}

// policy is the planner with the policies that this package selects.
type policy = plan.Planner[plan.ByRack, plan.LendSpares]

func (l *Leader) newPlanner() *policy {
	return plan.New(plan.Timing{
		FailAfter: l.settings.FailAfter, ReturnAfter: l.settings.ReturnAfter,
		PartitionAfter: l.settings.LeaseTerm, QuarantineFor: quarantineDuration, TaskLeaseTerm: l.settings.TaskLeaseTerm,
		RepeatCallAfter: min(callRepeatInterval, l.settings.TaskLeaseTerm/plan.RenewalsPerTerm),
	}, plan.ByRack{}, plan.LendSpares{ReplaceAfter: l.settings.ReplaceAfter, GiveBackAfter: l.settings.GiveBackAfter})
}

// runPlanning runs planning rounds while the entry holds the lease.
func (l *Leader) runPlanning(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(l.settings.Tick)
	defer tick.Stop()
	var fence uint64
	var planner *policy
	stopped := make(map[plan.TaskKey]uint64)
	snapshots := &snapshotWriter{leader: l}
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
			// The state of earlier rounds is discarded whenever the lease has been acquired anew.
			fence, planner = held, l.newPlanner()
			clear(stopped)
			l.Logger.Info("planning starts under a new lease", "fence", fence)
		}
		snapshots.writeIfDue(ctx, fence)
		l.runRound(ctx, planner, stopped)
	}
}

// heldFence returns the fence of the lease, or 0 if this entry does not hold it or may not plan.
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

// decision is the output of a planning round and the fence of the lease under which it was made. It is
// empty if this entry had lost the lease by then.
type decision struct {
	out   plan.Output
	fence uint64
}

func (l *Leader) runRound(ctx context.Context, planner *policy, stopped map[plan.TaskKey]uint64) {
	in, err := l.gatherInput(ctx, stopped)
	if err != nil {
		return
	}
	d, err := follow.Ask(ctx, l.Follower, func(s *ledger.State) decision {
		if s.Lease.Holder != l.holder {
			return decision{}
		}
		return decision{out: planner.Round(s, in), fence: s.Lease.Fence}
	})
	if err != nil {
		return
	}
	l.propose(ctx, d)
	l.callPlatform(ctx, d.out.Calls, stopped)
}

// gatherInput collects the input of a planning round.
func (l *Leader) gatherInput(ctx context.Context, stopped map[plan.TaskKey]uint64) (plan.Input, error) {
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
	latest, err := l.Watcher.Latest(ctx)
	if err != nil {
		return in, err
	}
	if !latest.ReadAt.IsZero() && time.Since(latest.ReadAt) < maxListAgeIntervals*l.listInterval {
		in.Machines = make(map[string]plat.Machine, len(latest.List.Machines))
		for _, m := range latest.List.Machines {
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

// propose publishes the drafts. Later rounds decide again about drafts that the fold rejects.
func (l *Leader) propose(ctx context.Context, d decision) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.LeaseTerm)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
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
		ID: record.NewID(), Schema: max(1, draft.Schema), Author: l.holder, Object: draft.Object, Base: draft.Base, Fence: fence,
		At: time.Now().UnixMilli(), Reason: draft.Reason, Body: draft.Body,
	})
	level := slog.LevelInfo
	if err != nil || v.Result != record.Accepted {
		level = slog.LevelWarn
	}
	l.Logger.Log(ctx, level, "planner proposed a record", "kind", draft.Body.Kind(), "object", draft.Object, "body", draft.Body,
		"rule", draft.Reason.Rule, "figures", draft.Reason.Figures, "result", v.Result, "why", v.Reason, "err", err)
}

// stoppedTask identifies a task that a call has stopped.
type stoppedTask struct {
	key   plan.TaskKey
	fence uint64
}

// callPlatform makes the calls to the platform. Calls are fenced and repeated in later rounds until
// their effect is visible, so a lost answer is harmless.
func (l *Leader) callPlatform(ctx context.Context, calls []plan.Call, stopped map[plan.TaskKey]uint64) {
	results := make(chan stoppedTask, len(calls))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, c := range calls {
		group.Go(func() error {
			if err := l.callOne(ctx, c); err != nil {
				l.Logger.Warn("platform call failed; a later round repeats it",
					"verb", c.Verb, "host", c.Host, "fence", c.Fence, "err", err)
			} else if c.Verb == plan.VerbStop {
				results <- stoppedTask{c.Task, c.Fence}
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
