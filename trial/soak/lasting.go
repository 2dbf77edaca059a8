package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/trial/fake"
)

const (
	// lastingTasks is the number of tasks of a long-running job.
	lastingTasks = 2
	// lastingTail is the time after the traffic in which long-running jobs go on.
	lastingTail = 4 * time.Second
	// lastingStream distinguishes the random numbers of their callers from others.
	lastingStream = 300
)

// runLasting submits two long-running jobs to each pool, at the start and in the middle of the traffic, and cancels them
// after its end.
func (c *crowd) runLasting(ctx context.Context, what Case) {
	var group errgroup.Group
	random, number := rand.New(rand.NewPCG(what.Seed, lastingStream)), 0
	for _, pool := range []string{guardedPool, unguardedPool} {
		for _, due := range []time.Duration{0, what.traffic() / 2} {
			number++
			p := &client{
				crowd: c, random: rand.New(rand.NewPCG(random.Uint64(), 0)), acceptUntil: c.site.trafficAt + what.traffic(),
				job: Job{
					ID: fmt.Sprintf("%04x%04x%08x", what.Seed&0xffff, lastingStream, number), Queue: pool, Pool: pool,
					Specification: fake.SpecRunUntilStopped, Steps: []fake.StepSpec{{Count: lastingTasks, LongRunning: true, MayMiss: 1}},
				},
			}
			group.Go(func() error {
				if sleep(ctx, c.site.trafficAt+due-c.site.recorder.now()) {
					p.runLasting(ctx, c.site.trafficAt+what.traffic()+lastingTail)
				}
				return nil
			})
		}
	}
	_ = group.Wait()
}

// runLasting submits the job, polls it until a time, and cancels it.
func (p *client) runLasting(ctx context.Context, until time.Duration) {
	body, err := p.register()
	if err != nil || !p.submitUntilAccepted(ctx, body) {
		return
	}
	for p.crowd.site.recorder.now() < until {
		if !sleep(ctx, maxPoll) {
			return
		}
		p.ask(Look, http.MethodGet, nil)
	}
	for {
		status := p.ask(Cancel, http.MethodDelete, nil).Status
		if status == http.StatusOK || status == http.StatusGone || !sleep(ctx, retryPause) {
			return
		}
	}
}

const (
	// lastingAway is the time after which a long-running task that does not run is judged, and lastingRoom the time for
	// which there has to be room for it twice over.
	lastingAway, lastingRoom = 6 * time.Second, 3 * time.Second
	// hostSettle is the time after its boot in which a host does not count as room.
	hostSettle = 4 * time.Second
	// gapStep is the distance of the times at which a gap is judged.
	gapStep = 250 * time.Millisecond
)

// gap is a time in which a long-running task did not run.
type gap struct {
	task, pool string
	from, to   time.Duration
	// runsAgain is set if the task runs at the end of the gap.
	runsAgain bool
}

// gaps returns the times between runs of long-running tasks, from the answer that accepted their job until it is
// cancelled.
func (h *History) gaps() []gap {
	type state struct {
		pool        string
		until, away time.Duration
		runs        map[runKey]bool
	}
	tasks, accepted := map[string]*state{}, h.answered(Submit, http.StatusOK)
	for _, j := range h.Jobs {
		if len(accepted[j.ID]) == 0 {
			continue
		}
		for step, s := range j.Steps {
			for i := range s.Count {
				if s.LongRunning {
					ref := batch.Ref{Job: j.ID, Step: step, Index: i}
					tasks[ref.String()] = &state{pool: j.Pool, until: h.End, away: accepted[j.ID][0].EndAt, runs: map[runKey]bool{}}
				}
			}
		}
	}
	for _, r := range h.Requests {
		for task, s := range tasks {
			if r.Verb == Cancel && jobOf(task) == r.Job {
				s.until = min(s.until, r.BeginAt)
			}
		}
	}
	var out []gap
	end := func(task string, s *state, k runKey, at time.Duration) {
		if delete(s.runs, k); len(s.runs) == 0 {
			s.away = max(s.away, at)
		}
	}
	for _, e := range h.Hosts {
		s := tasks[e.Task]
		switch {
		case e.Kind == fake.HostGone:
			for task, s := range tasks {
				for k := range s.runs {
					if k.host == e.Host {
						end(task, s, k, e.At)
					}
				}
			}
		case s == nil:
		case e.Kind == fake.RunStarted:
			if len(s.runs) == 0 && e.At > s.away && s.away < s.until {
				out = append(out, gap{e.Task, s.pool, s.away, min(e.At, s.until), e.At <= s.until})
			}
			s.runs[keyOf(e)] = true
		case e.Kind == fake.RunEnded && s.runs[keyOf(e)]:
			end(e.Task, s, keyOf(e), e.At)
		}
	}
	for task, s := range tasks {
		if len(s.runs) == 0 && s.away < s.until {
			out = append(out, gap{task, s.pool, s.away, s.until, false})
		}
	}
	slices.SortFunc(out, func(a, b gap) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.task, b.task)) })
	return out
}

// roomPoint is the number of tasks that a pool has room for from a time on.
type roomPoint struct {
	at   time.Duration
	room int
}

// room returns how the room of each pool changes. Hosts that have just booted do not count.
func (h *History) room() map[string][]roomPoint {
	events := slices.Clone(h.Hosts)
	for i := range events {
		if events[i].Kind == fake.HostBooted {
			events[i].At += hostSettle
		}
	}
	slices.SortStableFunc(events, func(a, b HostEvent) int { return cmp.Compare(a.At, b.At) })
	gone, settled, pools := map[string]bool{}, map[string]string{}, map[string][]roomPoint{}
	now := newRuns()
	for _, e := range events {
		now.apply(e)
		switch {
		case e.Kind == fake.HostGone:
			gone[e.Host] = true
			delete(settled, e.Host)
		case e.Kind == fake.HostBooted && !gone[e.Host]:
			settled[e.Host] = e.Pool
		}
		room := 0
		for host, pool := range settled {
			if pool == e.Pool {
				room += max(fake.TasksPerHost()-now.slots(host), 0)
			}
		}
		pools[e.Pool] = append(pools[e.Pool], roomPoint{e.At, room})
	}
	return pools
}

// hasRoom reports whether there was room for two tasks throughout a span of time.
func hasRoom(points []roomPoint, from, to time.Duration) bool {
	enough := false
	for _, p := range points {
		if p.at > to {
			break
		}
		if p.at > from && (!enough || p.room < 2) {
			return false
		}
		enough = p.room >= 2
	}
	return enough
}

// overdue returns when a gap had lasted too long, if it had.
func (h *History) overdue(g gap, room map[string][]roomPoint) (time.Duration, bool) {
	for from := g.from + lastingAway; from+lastingRoom <= g.to; from += gapStep {
		if to := from + lastingRoom; h.calm(from-calmBefore, to) && hasRoom(room[g.pool], from, to) {
			return to, true
		}
	}
	return 0, false
}

func checkLasting(h *History) []string {
	var out []string
	room := h.room()
	for _, g := range h.gaps() {
		if at, late := h.overdue(g, room); late {
			out = append(out, fmt.Sprintf("long-running task %s of pool %s has not run from %s to %s, though there was room until %s at least", g.task, g.pool, seconds(g.from), seconds(g.to), seconds(at)))
		}
	}
	return out
}

// countLasting counts the long-running tasks that were lost, or late, and run again.
func countLasting(h *History) int {
	room := h.room()
	return count(h.gaps(), func(g gap) bool {
		_, late := h.overdue(g, room)
		return g.runsAgain || late
	})
}
