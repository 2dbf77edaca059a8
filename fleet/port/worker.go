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
	// ResultLeaseExpired says that the host's lease ran out.
	ResultLeaseExpired Result = "lapsed"
	// ResultGangBroken says that another member of the gang ended.
	ResultGangBroken Result = "broken"
	// ResultGangIncomplete says that the other members of the gang did not come.
	ResultGangIncomplete Result = "alone"
)

// ActiveRun is a run that a host has now.
type ActiveRun struct {
	// Unit names the task, as JOB.TURN.STEP.INDEX.
	Unit string
	// Run numbers the starts of a task.
	Run int64
	// Checkpoint is the newest checkpoint; empty for none.
	Checkpoint string
	// ProgressPercent is how far the run is; a lasting one is at work at 100.
	ProgressPercent float64
	// Load is the tail latency in milliseconds for a task that serves, else
	// the processor capacity in use in thousandths of a core.
	Load float64
}

// FinishedRun is a run that has ended on a host.
type FinishedRun struct {
	// Number counts the ends of one life of a host from 1.
	Number     int64
	Unit       string
	Run        int64
	Result     Result
	Checkpoint string
}

// HostReport is what a host says of itself.
type HostReport struct {
	// Clock is the host's steady clock, in milliseconds.
	Clock int64
	// Born is when this life began, in milliseconds since 1970; 0 if not said.
	Born    int64
	Running []ActiveRun
	// Finished holds the ends after the last one that was acknowledged.
	Finished []FinishedRun
}

// Contains reports whether a run is listed, running or ended.
func (l *HostReport) Contains(unit string, run int64) bool {
	return slices.ContainsFunc(l.Running, func(r ActiveRun) bool { return r.Unit == unit && r.Run == run }) ||
		slices.ContainsFunc(l.Finished, func(e FinishedRun) bool { return e.Unit == unit && e.Run == run })
}

// StartOrder orders a run.
type StartOrder struct {
	Unit          string
	Run           int64
	Specification string
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
	// RefusedStaleRun says that this run or a higher one was stopped or ended there.
	RefusedStaleRun Refusal = "old"
	// RefusedDeadline says that the deadline has passed.
	RefusedDeadline Refusal = "late"
	// RefusedCapacity says that the task does not fit.
	RefusedCapacity Refusal = "room"
	// RefusedTicket says that the ticket does not hold.
	RefusedTicket Refusal = "ticket"
	// RefusedInstance says that another life of the host, or another host, answered.
	RefusedInstance Refusal = "life"
	// RefusedUnhealthy says that the host is not well.
	RefusedUnhealthy Refusal = "health"
	// RefusedInvalid says that the host does not understand the order.
	RefusedInvalid Refusal = "order"
)

// RefusedError says that a host refused an order and did nothing.
type RefusedError struct {
	Reason Refusal
	// Clock is the host's clock in milliseconds; 0 if not said.
	Clock int64
}

// Error names the reason.
func (e *RefusedError) Error() string { return "the host refused: " + string(e.Reason) }

// HostClient gives orders to one host. After an error that is no [RefusedError], the
// order may have been carried out or may be carried out later.
type HostClient interface {
	// Start orders a run and returns the host's clock.
	Start(ctx context.Context, s StartOrder) (clock int64, err error)
	// Stop ends a run, or keeps one that has not come yet from starting.
	Stop(ctx context.Context, unit string, run, token int64) (clock int64, err error)
	// Throttle sets the share of its capacity that a run may use, in percent.
	Throttle(ctx context.Context, unit string, run int64, percent int, token int64) error
	// Heartbeat extends the lease to deadline on the host's clock (0: leaves it),
	// acknowledges ends up to seen, and waits up to wait for an end.
	Heartbeat(ctx context.Context, deadline, token, seen int64, wait time.Duration) (HostReport, error)
	// Close gives up the connections.
	Close()
}

// HostClients opens hosts.
type HostClients interface {
	Open(h Host) HostClient
}

// Approval is the policy service's answer about a step.
type Approval struct {
	// Tickets holds a ticket for each host that may run the step; hosts that were
	// asked about and are not in it may not, ever.
	Tickets map[string]string
	// Validity is how long the tickets hold.
	Validity time.Duration
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

// MachineService is the platform's list of machines and what can be done to them.
type MachineService interface {
	List(ctx context.Context) ([]Machine, error)
	// Move puts a machine into another pool.
	Move(ctx context.Context, machine, pool, holder string, token int64) (OrderOutcome, error)
	// StartMaintenance takes a machine down for a wave's maintenance.
	StartMaintenance(ctx context.Context, machine string, wave int64, holder string, token int64) (OrderOutcome, error)
}

// WaveReporter hears how far waves have come.
type WaveReporter interface {
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
