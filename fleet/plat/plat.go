// Package plat is the HTTP client of the platform's log service and host service, as carawayd uses
// them. It holds the plain messages that are exchanged; no other package depends on their encoding.
package plat

import (
	"fmt"

	"carawaymux.dev/fleet/host"
)

// The streams that the system stores in the platform's log service.
const (
	// StreamMain holds the records that operators and the planner append.
	StreamMain = "caraway"
	// StreamSnapshots holds the parts of snapshots.
	StreamSnapshots = "caraway-snapshots"
)

// Limits of the exchange with the platform.
const (
	// MaxRead is the maximum number of records in one read.
	MaxRead = 1024
	// MaxResponse is the maximum size of a response of the platform, in bytes.
	MaxResponse = 128 << 20
)

// Bounds is the range of offsets that a stream holds.
type Bounds struct {
	// First is the first offset that is still retained.
	First uint64 `json:"first"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	Bounds
	Records []Record `json:"items"`
}

// GoneError means that a read started below the first offset that is still retained.
type GoneError struct {
	Bounds Bounds
	// From is the offset at which the read started.
	From uint64
}

// Error includes the offsets.
func (e *GoneError) Error() string {
	return fmt.Sprintf("offset %d is no longer retained; the first retained offset is %d", e.From, e.Bounds.First)
}

// MachineState is the state of a machine in the platform's list.
type MachineState string

// The states of machines. The platform does not know a machine that is not in its list.
const (
	// MachineLive means that the machine runs.
	MachineLive MachineState = "live"
	// MachineLeaving means that the machine runs, but will be removed.
	MachineLeaving MachineState = "leaving"
	// MachineDown means that the machine does not run, but may come back.
	MachineDown MachineState = "down"
	// MachineGone means that the machine will never come back.
	MachineGone MachineState = "gone"
)

// Machine is a row of the platform's list, which may be out of date.
type Machine struct {
	Name  string       `json:"name"`
	State MachineState `json:"state"`
	// BootFence is the fence of the last reboot that the machine completed.
	BootFence uint64 `json:"boot"`
}

// MachineList is the platform's list of machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// TaskStart asks the platform to run a task under a lease.
type TaskStart struct {
	// Fence is the version of the placement. The platform refuses a lower fence than the highest
	// one that it has seen for the task.
	Fence uint64 `json:"fence"`
	// TermMS is the duration of the lease, in milliseconds.
	TermMS int64 `json:"term-ms"`
	// Size is the capacity that the task may use.
	Size host.Resources `json:"size"`
	// RunSeconds is the declared run time in seconds; 0 means unlimited.
	RunSeconds int64 `json:"run-seconds,omitempty"`
}

// TaskState is the state of a task in a usage report.
type TaskState string

// The states of a task.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskUsage is a row of the platform's usage report, which may be out of date.
type TaskUsage struct {
	Job   string    `json:"job"`
	Task  int       `json:"task"`
	Host  string    `json:"host"`
	Fence uint64    `json:"fence"`
	State TaskState `json:"state"`
	// Used is the capacity that the task was measured to use.
	Used host.Resources `json:"used"`
}

// UsageReport is the platform's usage report.
type UsageReport struct {
	Tasks []TaskUsage `json:"tasks"`
}
