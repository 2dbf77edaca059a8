package gauge

import (
	"context"
	"fmt"
	"time"

	"carawaymux.dev/fleet/plan"
)

// movesBound limits the host moves, relative to those of the policy that moves on demand.
const movesBound = 0.1

// Parameters of the model of host moves. It covers an hour of the rotating bursts that the
// users' brief describes: each kind in turn has five times its mean rate, while the others
// have a twentieth of theirs.
const (
	modelDuration = time.Hour
	modelStep     = time.Second
	burstDuration = 5 * time.Second
	burstFactor   = 5.0
	idleFactor    = 0.05
	// moveDuration is the time that a host is out of service during a move.
	moveDuration = 2 * time.Second
	// queuedThreshold is the average queued time at which the policy byQueuedTime
	// moves a host to a pool.
	queuedThreshold = 2 * time.Second
)

// modelPool is the state of a pool in the model.
type modelPool struct {
	hosts  int
	queued float64
	// queueDelay is a moving average of the time that the pool needs to work off its
	// queue.
	queueDelay time.Duration
	belowFor   time.Duration
	aboveFor   time.Duration
}

// hostCapacity returns the capacity of a host in requests a second.
func hostCapacity() float64 { return slotsPerHost / runTime.Seconds() }

// movePolicy decides which pool of the model gives a host to which other pool. It returns
// indexes of pools, or -1 for no move.
type movePolicy interface {
	chooseMove(pools []modelPool, demand []float64) (from, to int)
}

// onDemand moves a host to a pool as soon as the demand on the pool exceeds its capacity.
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

// byQueuedTime moves a host to a pool whose average queued time is over a threshold. The
// provisioning paper describes this policy (average queued time) for instances.
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

// productPolicy applies the product's own policy for loans from the spare pool to the model.
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

// simulate runs the model with a policy. It returns the number of host moves and the share of
// the requested work that was done before its deadline.
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
			// Work whose wait would exceed the deadline is refused.
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

// moves counts host moves under rotating bursts in a model, with the product's own policy
// and with two baselines.
func (h *harness) moves(_ context.Context, d deployment) error {
	pools := len(d.services)
	demandMoves, demandDone := simulate(pools, onDemand{})
	queuedMoves, queuedDone := simulate(pools, byQueuedTime{})
	productMoves, productDone := simulate(pools, productPolicy{plan.LendSpares{ReplaceAfter: 30 * time.Second, GiveBackAfter: 5 * time.Minute}})
	note := func(done float64) string {
		return fmt.Sprintf("model, one hour, bursts of %v in turn; %.1f %% of the work done before its deadline; slots are not lent", burstDuration, 100*done)
	}
	h.addRow(Row{d.name, "host-moves", "hold", float64(productMoves), "moves/h", movesBound * float64(demandMoves), note(productDone)})
	h.addRow(Row{d.name, "host-moves", "on-demand", float64(demandMoves), "moves/h", 0, note(demandDone)})
	h.addRow(Row{d.name, "host-moves", "average-queued-time", float64(queuedMoves), "moves/h", 0, note(queuedDone)})
	return nil
}
