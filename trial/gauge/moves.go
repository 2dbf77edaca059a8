package gauge

import (
	"context"
	"fmt"
	"time"

	"carawaymux.dev/fleet/plan"
)

// movesBound is the bound on host moves over those of a policy that moves on demand.
const movesBound = 0.1

// The model of host moves: an hour of the brief's rotating bursts, each kind in turn at
// five times its mean, the others at a twentieth.
const (
	modelHours = time.Hour
	modelStep  = time.Second
	burstFor   = 5 * time.Second
	burst      = 5.0
	trough     = 0.05
	// moveTakes is how long a host is out of service for a move.
	moveTakes = 2 * time.Second
	// queuedThreshold is the average queued time at which the policy by queued
	// time moves a host.
	queuedThreshold = 2 * time.Second
)

// modelPool is a pool in the model.
type modelPool struct {
	hosts  int
	queued float64
	// queuedFor is the time that the queue's work would take, averaged.
	queuedFor time.Duration
	below     time.Duration
	above     time.Duration
}

// capacity is what a host does, in requests a second.
func capacity() float64 { return slotsPerHost / runTime.Seconds() }

// mover decides in the model which pool gives a host to which; -1 for none.
type mover interface {
	move(pools []modelPool, demand []float64) (from, to int)
}

// onDemand moves a host as soon as a pool is asked for more than it holds.
type onDemand struct{}

func (onDemand) move(pools []modelPool, demand []float64) (int, int) {
	for to, p := range pools {
		if demand[to] <= float64(p.hosts)*capacity() {
			continue
		}
		for from, giver := range pools {
			if from != to && giver.hosts > 1 && demand[from] < float64(giver.hosts-1)*capacity() {
				return from, to
			}
		}
	}
	return -1, -1
}

// byQueuedTime moves a host when the average queued time is over a threshold, as the
// policy of the provisioning paper (average queued time) does with instances.
type byQueuedTime struct{}

func (byQueuedTime) move(pools []modelPool, demand []float64) (int, int) {
	for to, p := range pools {
		if p.queuedFor < queuedThreshold {
			continue
		}
		for from, giver := range pools {
			if from != to && giver.hosts > 1 && giver.queued == 0 && demand[from] < float64(giver.hosts-1)*capacity() {
				return from, to
			}
		}
	}
	return -1, -1
}

// held is the product's own policy, on the model's pools.
type held struct{ plan.LendSpares }

func (h held) move(pools []modelPool, _ []float64) (int, int) {
	views := make([]plan.PoolView, len(pools))
	index := make(map[string]int)
	for i, p := range pools {
		name := fmt.Sprintf("p%d", i)
		index[name] = i
		spare := i == len(pools)-1
		floor := hostsPerPool
		if spare {
			floor = hostsPerPool - 4
		}
		views[i] = plan.PoolView{Name: name, Spare: spare, Floor: floor, Healthy: p.hosts, Headroom: 2, BelowFor: p.below, AboveFor: p.above}
	}
	for _, t := range h.Transfers(views) {
		return index[t.From], index[t.To]
	}
	return -1, -1
}

// rotate runs the model for an hour and returns the host moves and the share of the work
// that was done within its deadline.
func rotate(pools int, m mover) (moves int, done float64) {
	state := make([]modelPool, pools)
	for i := range state {
		state[i].hosts = hostsPerPool
	}
	demand := make([]float64, pools)
	out := make([]int, pools)
	var outUntil time.Duration
	var asked, served float64
	for at := time.Duration(0); at < modelHours; at += modelStep {
		for i := range demand {
			demand[i] = trough * mean()
			if int(at/burstFor)%pools == i {
				demand[i] = burst * mean()
			}
		}
		if at >= outUntil {
			clear(out)
		}
		for i := range state {
			p := &state[i]
			holds := float64(p.hosts-out[i]) * capacity() * modelStep.Seconds()
			p.queued += demand[i] * modelStep.Seconds()
			asked += demand[i] * modelStep.Seconds()
			ran := min(p.queued, holds)
			p.queued -= ran
			served += ran
			// What waits longer than its deadline is refused.
			p.queued = min(p.queued, holds*deadline.Seconds())
			p.queuedFor = (p.queuedFor + time.Duration(p.queued/max(holds, 1)*float64(time.Second))) / 2
		}
		if from, to := m.move(state, demand); from >= 0 && at >= outUntil {
			state[from].hosts--
			state[to].hosts++
			out[to]++
			outUntil = at + moveTakes
			moves++
		}
	}
	return moves, served / asked
}

// moves measures host moves under rotating bursts, in a model that runs the product's
// own policy beside two baselines.
func (t *taker) moves(_ context.Context, d deployment) error {
	pools := len(d.services)
	demandMoves, demandDone := rotate(pools, onDemand{})
	queuedMoves, queuedDone := rotate(pools, byQueuedTime{})
	heldMoves, heldDone := rotate(pools, held{plan.LendSpares{ReplaceAfter: 30 * time.Second, GiveBackAfter: 5 * time.Minute}})
	note := func(done float64) string {
		return fmt.Sprintf("model, one hour, bursts of %v in turn; %.1f %% of the work done in time, without lending slots", burstFor, 100*done)
	}
	t.add(Row{d.name, "host-moves", "hold", float64(heldMoves), "moves/h", movesBound * float64(demandMoves), note(heldDone)})
	t.add(Row{d.name, "host-moves", "on-demand", float64(demandMoves), "moves/h", 0, note(demandDone)})
	t.add(Row{d.name, "host-moves", "average-queued-time", float64(queuedMoves), "moves/h", 0, note(queuedDone)})
	return nil
}
