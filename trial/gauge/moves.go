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
	modelDuration = time.Hour
	modelStep     = time.Second
	burstDuration = 5 * time.Second
	burstFactor   = 5.0
	idleFactor    = 0.05
	// moveDuration is how long a host is out of service for a move.
	moveDuration = 2 * time.Second
	// queuedThreshold is the average queued time at which the policy by queued
	// time moves a host.
	queuedThreshold = 2 * time.Second
)

// modelPool is a pool in the model.
type modelPool struct {
	hosts  int
	queued float64
	// queueDelay is the time that the queue's work would take, averaged.
	queueDelay time.Duration
	belowFor   time.Duration
	aboveFor   time.Duration
}

// hostCapacity is what a host does, in requests a second.
func hostCapacity() float64 { return slotsPerHost / runTime.Seconds() }

// movePolicy decides in the model which pool gives a host to which; -1 for none.
type movePolicy interface {
	chooseMove(pools []modelPool, demand []float64) (from, to int)
}

// onDemand moves a host as soon as a pool is asked for more than it holds.
type onDemand struct{}

func (onDemand) chooseMove(pools []modelPool, demand []float64) (int, int) {
	for to, p := range pools {
		if demand[to] <= float64(p.hosts)*hostCapacity() {
			continue
		}
		for from, donor := range pools {
			if from != to && donor.hosts > 1 && demand[from] < float64(donor.hosts-1)*hostCapacity() {
				return from, to
			}
		}
	}
	return -1, -1
}

// byQueuedTime moves a host when the average queued time is over a threshold, as the
// policy of the provisioning paper (average queued time) does with instances.
type byQueuedTime struct{}

func (byQueuedTime) chooseMove(pools []modelPool, demand []float64) (int, int) {
	for to, p := range pools {
		if p.queueDelay < queuedThreshold {
			continue
		}
		for from, donor := range pools {
			if from != to && donor.hosts > 1 && donor.queued == 0 && demand[from] < float64(donor.hosts-1)*hostCapacity() {
				return from, to
			}
		}
	}
	return -1, -1
}

// productPolicy is the product's own policy, on the model's pools.
type productPolicy struct{ plan.LendSpares }

func (h productPolicy) chooseMove(pools []modelPool, _ []float64) (int, int) {
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
		views[i] = plan.PoolView{Name: name, Spare: spare, Floor: floor, Healthy: p.hosts, Headroom: 2, BelowFor: p.belowFor, AboveFor: p.aboveFor}
	}
	for _, t := range h.Transfers(views) {
		return index[t.From], index[t.To]
	}
	return -1, -1
}

// simulate runs the model for an hour and returns the host moves and the share of the work
// that was done within its deadline.
func simulate(pools int, m movePolicy) (moves int, done float64) {
	state := make([]modelPool, pools)
	for i := range state {
		state[i].hosts = hostsPerPool
	}
	demand := make([]float64, pools)
	outOfService := make([]int, pools)
	var movingUntil time.Duration
	var requested, served float64
	for at := time.Duration(0); at < modelDuration; at += modelStep {
		for i := range demand {
			demand[i] = idleFactor * meanRate()
			if int(at/burstDuration)%pools == i {
				demand[i] = burstFactor * meanRate()
			}
		}
		if at >= movingUntil {
			clear(outOfService)
		}
		for i := range state {
			p := &state[i]
			stepCapacity := float64(p.hosts-outOfService[i]) * hostCapacity() * modelStep.Seconds()
			p.queued += demand[i] * modelStep.Seconds()
			requested += demand[i] * modelStep.Seconds()
			completed := min(p.queued, stepCapacity)
			p.queued -= completed
			served += completed
			// What waits longer than its deadline is refused.
			p.queued = min(p.queued, stepCapacity*deadline.Seconds())
			p.queueDelay = (p.queueDelay + time.Duration(p.queued/max(stepCapacity, 1)*float64(time.Second))) / 2
		}
		if from, to := m.chooseMove(state, demand); from >= 0 && at >= movingUntil {
			state[from].hosts--
			state[to].hosts++
			outOfService[to]++
			movingUntil = at + moveDuration
			moves++
		}
	}
	return moves, served / requested
}

// moves measures host moves under rotating bursts, in a model that runs the product's
// own policy beside two baselines.
func (h *harness) moves(_ context.Context, d deployment) error {
	pools := len(d.services)
	demandMoves, demandDone := simulate(pools, onDemand{})
	queuedMoves, queuedDone := simulate(pools, byQueuedTime{})
	productMoves, productDone := simulate(pools, productPolicy{plan.LendSpares{ReplaceAfter: 30 * time.Second, GiveBackAfter: 5 * time.Minute}})
	note := func(done float64) string {
		return fmt.Sprintf("model, one hour, bursts of %v in turn; %.1f %% of the work done in time, without lending slots", burstDuration, 100*done)
	}
	h.addRow(Row{d.name, "host-moves", "hold", float64(productMoves), "moves/h", movesBound * float64(demandMoves), note(productDone)})
	h.addRow(Row{d.name, "host-moves", "on-demand", float64(demandMoves), "moves/h", 0, note(demandDone)})
	h.addRow(Row{d.name, "host-moves", "average-queued-time", float64(queuedMoves), "moves/h", 0, note(queuedDone)})
	return nil
}
