package mover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	turnPools    = 5
	turnMachines = 60
	turnLength   = 4 * time.Second
	// turnJobs is the number of jobs per second of the pool that has its turn. Each has turnTasks tasks of 400 ms that take
	// a quarter of a host.
	turnJobs, turnTasks = 25, 12
	// firstTurnJob is above the number of the job whose tasks last.
	firstTurnJob = 1 << 12
	// cutTurn is the turn as which begins the holder is cut off from the store, for cutTime. A third of the hosts
	// is gone goneAfter that, and another entry holds the machines takenOverAfter that.
	cutTurn                   = 8
	cutTime                   = 6 * time.Second
	goneAfter, takenOverAfter = 2 * time.Second, 1800 * time.Millisecond
	// settledTime is the time from the moment that a host is up until it may take work.
	settledTime = 500 * time.Millisecond
	// samples is the number of samples of a second.
	samples = 10
	// workingShare is the least share of the hosts that live which take work or run some.
	workingShare = 0.85
)

// turnModel is an installation with pools that have work in turns.
type turnModel struct {
	*model
	// owners holds the owner of each pool.
	owners map[string]*owner.Owner
}

func turnPool(i int) string { return fmt.Sprintf("pool-%d", i%turnPools) }

func newTurnModel(t *testing.T, seed uint64) *turnModel {
	w := &turnModel{model: &model{
		t: t, seed: seed, store: &modelStore{records: map[port.Stream][]port.Record{}, epochs: map[string]port.Writer{}},
		machines: map[string]*modelMachine{}, away: map[string]bool{}, config: &port.Config{},
	}, owners: map[string]*owner.Owner{}}
	for i := range turnPools {
		w.config.Pools = append(w.config.Pools, port.Pool{Name: turnPool(i)})
		w.config.Queues = append(w.config.Queues, port.Queue{Name: turnPool(i), Pool: turnPool(i), MaxAttempts: 100})
	}
	for i := range turnMachines {
		m := &modelMachine{id: fmt.Sprintf("m-%02d", i), pool: turnPool(i)}
		m.restart()
		w.machines[m.id] = m
	}
	return w
}

// steadyEntry returns an entry whose messages are neither late nor lost.
func (w *turnModel) steadyEntry(number uint64) *modelEntry {
	link := func(n uint64) *modelLink {
		return &modelLink{random: rand.New(rand.NewPCG(w.seed, number*10+n))}
	}
	return &modelEntry{link(1), link(2), link(3), link(4)}
}

// holdMachines has an entry claim the machines and start their holder.
func (w *turnModel) holdMachines(ctx context.Context, e *modelEntry, name string) (duties.Holder, error) {
	acquired, err := claim.Acquire(ctx, storeView{w.store, e.store}, mover.ClaimName, name, time.Now().UnixNano(), 4)
	if err != nil {
		return nil, err
	}
	ask := func(ctx context.Context, do func(ctx context.Context) owner.Answer) (owner.Answer, bool) {
		a, err := exchange(ctx, e.peers, func() (owner.Answer, error) { return do(ctx), nil })
		return a, err == nil && a.Outcome != owner.Refused
	}
	start, err := mover.Starter(mover.Settings{Holder: name, Term: 3 * time.Second, MoveTime: modelMoveTime, OrdersPerSecond: 20}, mover.Deps{
		Machines: machineView{w.model, e.machines}, Operators: discardReports{}, Logger: modelLogs,
		Waves: func() []port.Wave { return nil },
		Load: func(ctx context.Context, pool string) (owner.Answer, bool) {
			return ask(ctx, func(ctx context.Context) owner.Answer { return w.owners[pool].Load(ctx) })
		},
		Vacate: func(ctx context.Context, pool, host string, o shard.LeaveOrder) (owner.Answer, bool) {
			return ask(ctx, func(ctx context.Context) owner.Answer { return w.owners[pool].Vacate(ctx, host, o) })
		},
		Release: func(ctx context.Context, pool string, hosts []string, o shard.LeaveOrder) bool {
			_, ok := ask(ctx, func(ctx context.Context) owner.Answer { return w.owners[pool].Release(ctx, hosts, o) })
			return ok
		},
	})(ctx, acquired)
	if err != nil {
		return nil, err
	}
	return start(w.config, nil), nil
}

// submitTurns submits the jobs of the pools in turns until ctx ends. A fifth of the jobs is of the pool whose turn is next.
func (w *turnModel) submitTurns(ctx context.Context) {
	began := time.Now()
	for n := 1; ctx.Err() == nil; n++ {
		i := int(time.Since(began) / turnLength)
		if n%5 == 0 {
			i++
		}
		queue := w.config.Queues[i%turnPools]
		go func() {
			w.owners[queue.Pool].Submit(ctx, queue, fmt.Sprintf("%016x", firstTurnJob+n), batch.Spec{Queue: queue.Name, Steps: []batch.Step{
				{Count: turnTasks, Need: batch.Size{MilliCores: 1000, MemoryMB: 10}, Estimate: 400 * time.Millisecond},
			}})
		}()
		time.Sleep(time.Second / turnJobs)
	}
}

// takingWork returns the number of hosts that have been up for settledTime, and of those that may take work or run some.
func (w *turnModel) takingWork() (working, living int) {
	idle := map[string]bool{}
	for _, o := range w.owners {
		if a := o.Load(w.t.Context()); a.Load != nil {
			for _, host := range a.Load.IdleHosts {
				idle[host] = true
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.state != port.MachineUp || time.Since(m.since) <= settledTime {
			continue
		}
		living++
		if len(m.runs) > 0 || idle[m.host()] {
			working++
		}
	}
	return working, living
}

// Guards against hosts that take no work because they are to leave for a holder of the machines that cannot order anything: it was cut
// off from the store and asked for more, and its successor did not take them back.
func TestNoHostWaitsForTheOrderOfAHolderThatWasCutOff(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playTurns(t, seed) })
		})
	}
}

func playTurns(t *testing.T, seed uint64) {
	w := newTurnModel(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pools, first, second := w.steadyEntry(1), w.steadyEntry(2), w.steadyEntry(3)
	for i := range turnPools {
		w.owners[turnPool(i)] = repeat(t, func() (*owner.Owner, error) { return w.claimPool(ctx, pools, turnPool(i)) })
	}
	holders := []duties.Holder{repeat(t, func() (duties.Holder, error) { return w.holdMachines(ctx, first, "first") })}
	workCtx, endWork := context.WithCancel(ctx)
	go w.submitTurns(workCtx)
	began := time.Now()
	cutAt := cutTurn * turnLength
	time.AfterFunc(cutAt, func() { first.store.set(true, false) })
	time.AfterFunc(cutAt+cutTime, func() { first.store.set(false, false) })
	time.AfterFunc(cutAt+goneAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := 0
		for _, id := range sortedMachines(w.machines) {
			if m := w.machines[id]; m.state == port.MachineUp {
				if n++; n%3 == 0 {
					w.takeDown(m, port.MachineDown, time.Hour)
				}
			}
		}
	})
	taken, short := false, []string{}
	for at := time.Duration(0); at < cutAt+2*turnLength; at += time.Second {
		if !taken && at > cutAt+takenOverAfter {
			taken = true
			holders = append(holders, repeat(t, func() (duties.Holder, error) { return w.holdMachines(ctx, second, "second") }))
		}
		working, living := 0, 0
		for range samples {
			time.Sleep(time.Second / samples)
			now, alive := w.takingWork()
			working, living = working+now, living+alive
		}
		if at > turnPools*turnLength && float64(working) < workingShare*float64(living) {
			short = append(short, fmt.Sprintf("%s after the begin: %d of %d hosts", time.Since(began), working/samples, living/samples))
		}
	}
	endWork()
	cancel()
	for _, h := range holders {
		h.Close()
	}
	for _, o := range w.owners {
		o.Close()
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(t, w.violations)
	require.Empty(t, short, "hosts that take work or run some")
}

func sortedMachines(machines map[string]*modelMachine) []string {
	var out []string
	for id := range machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
