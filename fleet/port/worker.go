package port

import (
	"context"
	"slices"
	"time"
)

// Result is how a run ended.
type Result string

// The results of runs.
const (
	// ResultDone is a success.
	ResultDone Result = "done"
	// ResultFailed is a failure of the task or of its host; it counts as an
	// attempt. The others do not.
	ResultFailed Result = "failed"
	// ResultStopped is an ordered end.
	ResultStopped Result = "stopped"
	// ResultLapsed says that the host's lease ran out.
	ResultLapsed Result = "lapsed"
	// ResultBroken says that another member of the gang ended.
	ResultBroken Result = "broken"
	// ResultAlone says that the other members of the gang did not come.
	ResultAlone Result = "alone"
)

// Running is a run that a host has now.
type Running struct {
	// Unit names the task, as JOB.TURN.STEP.INDEX.
	Unit string
	// Run numbers the starts of a task.
	Run int64
	// Saved is the newest checkpoint; empty for none.
	Saved string
	// Percent is how far the run is; a lasting one is at work at 100.
	Percent float64
	// Load is the tail latency in milliseconds for a task that serves, else
	// the processor capacity in use in thousandths of a core.
	Load float64
}

// Ended is a run that has ended on a host.
type Ended struct {
	// Number counts the ends of one life of a host from 1.
	Number int64
	Unit   string
	Run    int64
	Result Result
	Saved  string
}

// Listing is what a host says of itself.
type Listing struct {
	// Clock is the host's steady clock, in milliseconds.
	Clock int64
	// Born is when this life began, in milliseconds since 1970; 0 if not said.
	Born    int64
	Running []Running
	// Ended holds the ends after the last one that was acknowledged.
	Ended []Ended
}

// Names reports whether a run is listed, running or ended.
func (l *Listing) Names(unit string, run int64) bool {
	return slices.ContainsFunc(l.Running, func(r Running) bool { return r.Unit == unit && r.Run == run }) ||
		slices.ContainsFunc(l.Ended, func(e Ended) bool { return e.Unit == unit && e.Run == run })
}

// Start orders a run.
type Start struct {
	Unit string
	Run  int64
	Text string
	// Deadline is the lease's end on the host's clock, in milliseconds. A start
	// that is carried out later than that is refused.
	Deadline int64
	Token    int64
	// Checkpoint is where the run resumes; empty for the beginning.
	Checkpoint string
	// Ticket is the policy service's leave for the step on this host; empty where
	// none is needed.
	Ticket string
}

// Refusal is why a host refused an order. Nothing was done.
type Refusal string

// The refusals.
const (
	// RefusedFence says that the host has seen a higher token.
	RefusedFence Refusal = "fence"
	// RefusedOld says that this run or a higher one was stopped or ended there.
	RefusedOld Refusal = "old"
	// RefusedLate says that the deadline has passed.
	RefusedLate Refusal = "late"
	// RefusedRoom says that the task does not fit.
	RefusedRoom Refusal = "room"
	// RefusedTicket says that the ticket does not hold.
	RefusedTicket Refusal = "ticket"
	// RefusedLife says that another life of the host, or another host, answered.
	RefusedLife Refusal = "life"
	// RefusedHealth says that the host is not well.
	RefusedHealth Refusal = "health"
	// RefusedOrder says that the host does not understand the order.
	RefusedOrder Refusal = "order"
)

// RefusedError says that a host refused an order and did nothing.
type RefusedError struct {
	Reason Refusal
	// Clock is the host's clock in milliseconds; 0 if not said.
	Clock int64
}

// Error names the reason.
func (e *RefusedError) Error() string { return "the host refused: " + string(e.Reason) }

// Worker gives orders to one host. After an error that is no [RefusedError], the
// order may have been carried out or may be carried out later.
type Worker interface {
	// Start orders a run and returns the host's clock.
	Start(ctx context.Context, s Start) (clock int64, err error)
	// Stop ends a run, or keeps one that has not come yet from starting.
	Stop(ctx context.Context, unit string, run, token int64) (clock int64, err error)
	// Pace sets the share of its capacity that a run may use, in percent.
	Pace(ctx context.Context, unit string, run int64, percent int, token int64) error
	// Hold extends the lease to deadline on the host's clock (0: leaves it),
	// acknowledges ends up to seen, and waits up to wait for an end.
	Hold(ctx context.Context, deadline, token, seen int64, wait time.Duration) (Listing, error)
	// Close gives up the connections.
	Close()
}

// Workers opens hosts.
type Workers interface {
	Open(h Host) Worker
}

// Approval is the policy service's answer about a step.
type Approval struct {
	// Tickets holds a ticket for each host that may run the step; hosts that were
	// asked about and are not in it may not, ever.
	Tickets map[string]string
	// Valid is how long the tickets hold.
	Valid time.Duration
}

// Adviser is the policy service. It answers the questions of an entry one by one;
// [ErrBusy] says that too many wait.
type Adviser interface {
	// Advise asks which of some hosts may run a step, named JOB.TURN.STEP.
	Advise(ctx context.Context, step string, hosts []string) (Approval, error)
}

// OrderOutcome is the answer to an order for a machine.
type OrderOutcome string

// The outcomes.
const (
	OrderDone   OrderOutcome = "done"
	OrderFenced OrderOutcome = "fence"
	OrderBusy   OrderOutcome = "busy"
	// OrderNotInWave says that the wave does not name the machine.
	OrderNotInWave OrderOutcome = "wave"
	// OrderUnknown says that there is no such machine or pool.
	OrderUnknown OrderOutcome = "unknown"
)

// Machines is the platform's list of machines and what can be done to them.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Move puts a machine into another pool.
	Move(ctx context.Context, machine, pool, holder string, token int64) (OrderOutcome, error)
	// Upkeep takes a machine down for a wave's maintenance.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) (OrderOutcome, error)
}

// Operators hears how far waves have come.
type Operators interface {
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
