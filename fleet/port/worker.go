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
	// ResultDone means that the run succeeded.
	ResultDone Result = "done"
	// ResultFailed means that the task or its host failed. Only this result counts as a failed
	// attempt.
	ResultFailed Result = "failed"
	// ResultStopped means that the run was ordered to stop.
	ResultStopped Result = "stopped"
	// ResultLeaseExpired means that the host stopped the run because its lease expired.
	ResultLeaseExpired Result = "lapsed"
	// ResultGangBroken means that another member of the gang ended.
	ResultGangBroken Result = "broken"
	// ResultGangIncomplete means that the other members of the gang did not start in time.
	ResultGangIncomplete Result = "alone"
)

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	// Unit names the task, as JOB.OCCURRENCE.STEP.INDEX.
	Unit string
	// Run is the number of the run; it increases with each start of the task.
	Run int64
	// Checkpoint is the newest checkpoint; empty if there is none.
	Checkpoint string
	// ProgressPercent is the progress of the run. A long-running task reports 100 once it serves.
	ProgressPercent float64
	// Load is the tail latency in milliseconds for a serving task. For other tasks it is the CPU
	// use in thousandths of a core.
	Load float64
}

// FinishedRun is a run that has ended.
type FinishedRun struct {
	// Number counts the finished runs of one instance of a host, starting at 1.
	Number int64
	Unit   string
	Run    int64
	Result Result
	// Checkpoint is the newest checkpoint; empty if there is none.
	Checkpoint string
}

// HostReport is a host's report about itself.
type HostReport struct {
	// Clock is the host's monotonic clock, in milliseconds.
	Clock int64
	// ReceivedAt is when the report arrived; zero means when it is handled.
	ReceivedAt time.Time
	// Born is the start time of the instance, in milliseconds since 1970; 0 means not reported.
	Born    int64
	Running []ActiveRun
	// Finished holds the finished runs after the last one that was acknowledged, in the order of their numbers.
	Finished []FinishedRun
	// Truncated reports whether the host may have more finished runs than Finished holds. Running is never truncated.
	Truncated bool
}

// Contains reports whether a run is listed as running or finished.
func (r *HostReport) Contains(unit string, run int64) bool {
	return slices.ContainsFunc(r.Running, func(a ActiveRun) bool { return a.Unit == unit && a.Run == run }) ||
		slices.ContainsFunc(r.Finished, func(f FinishedRun) bool { return f.Unit == unit && f.Run == run })
}

// StartOrder orders a host to start a run.
type StartOrder struct {
	Unit          string
	Run           int64
	Specification string
	// Deadline is the end of the lease on the host's clock, in milliseconds. The host refuses the
	// order after that.
	Deadline int64
	// Token is the fencing token of the sender.
	Token int64
	// Checkpoint is where the run resumes; empty means from the beginning.
	Checkpoint string
	// Ticket is the policy service's permission to run the step on this host; empty if none is
	// needed.
	Ticket string
	// Instance is the start time of the instance of the host that the order is meant for. No other instance
	// receives it. 0 means that instances are not told apart.
	Instance int64
	// OnReport receives the host's report if one had to be requested to tell which instance answers. It may be
	// called by several goroutines, and may be nil.
	OnReport func(HostReport)
}

// Refusal is why a host refused an order. The host did nothing.
type Refusal string

// The reasons of refusals.
const (
	// RefusedFence means that the host has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun means that this run, or one with a higher number, was already stopped or
	// ended on the host.
	RefusedStaleRun Refusal = "old"
	// RefusedDeadline means that the deadline of the order has passed.
	RefusedDeadline Refusal = "late"
	// RefusedCapacity means that the host has too little free capacity for the task.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedInstance means that another instance of the host, or another host, answered.
	RefusedInstance Refusal = "life"
	// RefusedRestarted means that another instance has answered under the ID and address of the host before the
	// order was sent. A copy of the order may have reached the instance that it was meant for.
	RefusedRestarted Refusal = "restarted"
	// RefusedUnhealthy means that the host is unhealthy.
	RefusedUnhealthy Refusal = "health"
	// RefusedInvalid means that the host does not understand the order.
	RefusedInvalid Refusal = "order"
)

// RefusedError means that a host refused an order and did nothing.
type RefusedError struct {
	Reason Refusal
	// Clock is the host's clock in milliseconds; 0 means not reported.
	Clock int64
}

// Error includes the reason.
func (e *RefusedError) Error() string { return "the host refused the order: " + string(e.Reason) }

// Heartbeat extends the lease of a host and asks for its report.
type Heartbeat struct {
	// Deadline is the end of the lease on the host's clock, in milliseconds; 0 leaves it unchanged.
	Deadline int64
	// Token is the fencing token of the sender.
	Token int64
	// Acked acknowledges the finished runs up to this number.
	Acked int64
	// Wait is how long the host may wait for a run to finish before it answers.
	Wait time.Duration
	// Instance is the start time of the instance of the host whose lease is to be extended, or whose finished runs are
	// acknowledged. Another instance only reports. 0 means that instances are not told apart.
	Instance int64
}

// HostClient sends orders to one host. After an error other than a [RefusedError], the order may
// have been carried out or may still be carried out later.
type HostClient interface {
	// Start orders a run and returns the host's clock.
	Start(ctx context.Context, o StartOrder) (clock int64, err error)
	// Stop ends a run. If the run's start order has not arrived yet, the host will refuse it.
	Stop(ctx context.Context, unit string, run, token int64) (clock int64, err error)
	// Throttle sets the percentage of its capacity that a run may use.
	Throttle(ctx context.Context, unit string, run int64, percent int, token int64) error
	// Heartbeat extends the lease and returns the host's report.
	Heartbeat(ctx context.Context, h Heartbeat) (HostReport, error)
	// Close closes the connections.
	Close()
}

// HostClients creates clients of hosts.
type HostClients interface {
	Open(h Host) HostClient
}

// Approval is the policy service's answer about a step.
type Approval struct {
	// Tickets holds a ticket for each host that may run the step. A host that was in the question
	// and has no ticket may never run it.
	Tickets map[string]string
	// Validity is how long the tickets are valid.
	Validity time.Duration
}

// Adviser is the policy service. It answers the questions of an entry one at a time and returns
// [ErrBusy] if too many are waiting.
type Adviser interface {
	// Advise asks which of the given hosts may run a step, named JOB.OCCURRENCE.STEP.
	Advise(ctx context.Context, step string, hosts []string) (Approval, error)
}

// OrderOutcome is the answer to an order for a machine.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderDone   OrderOutcome = "done"
	OrderFenced OrderOutcome = "fence"
	OrderBusy   OrderOutcome = "busy"
	// OrderNotInWave means that the wave does not include the machine.
	OrderNotInWave OrderOutcome = "wave"
	// OrderUnknown means that there is no such machine or pool.
	OrderUnknown OrderOutcome = "unknown"
)

// MachineService lists the platform's machines and carries out orders for them.
type MachineService interface {
	List(ctx context.Context) ([]Machine, error)
	// Move moves a machine to another pool.
	Move(ctx context.Context, machine, pool, holder string, token int64) (OrderOutcome, error)
	// StartMaintenance takes a machine down for a wave's maintenance.
	StartMaintenance(ctx context.Context, machine string, wave int64, holder string, token int64) (OrderOutcome, error)
}

// WaveReporter reports the progress of waves to the operators.
type WaveReporter interface {
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
