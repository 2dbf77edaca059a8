// Package plat holds the plain messages that the system exchanges with the
// platform, and the client that speaks to it. No other package knows how the
// platform is reached.
package plat

import (
	"fmt"

	"carawaymux.dev/fleet/host"
)

// The streams that the system keeps on the platform's log service.
const (
	// StreamMain holds the records that operators and the planner append.
	StreamMain = "caraway"
	// StreamSnapshots holds the parts of snapshots.
	StreamSnapshots = "caraway-snapshots"
)

// Limits on what is exchanged with the platform.
const (
	// MaxRead is the largest number of records in one read.
	MaxRead = 1024
	// MaxResponse is the largest answer of the platform, in bytes.
	MaxResponse = 128 << 20
)

// Bounds says which offsets a stream holds.
type Bounds struct {
	// First is the first offset that is still kept.
	First uint64 `json:"first"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
}

// Record is a record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	Bounds
	Records []Record `json:"items"`
}

// GoneError reports a read from below the first offset that is still kept.
type GoneError struct {
	Bounds Bounds
	From   uint64
}

// Error names the offsets.
func (e *GoneError) Error() string {
	return fmt.Sprintf("offset %d is no longer kept, the first one is %d", e.From, e.Bounds.First)
}

// MachineState is what the platform's list says of a machine.
type MachineState string

// The states. A machine that the list does not name is unknown to it.
const (
	// MachineLive machines run.
	MachineLive MachineState = "live"
	// MachineLeaving machines run, but will be taken away.
	MachineLeaving MachineState = "leaving"
	// MachineDown machines do not run, and may come back.
	MachineDown MachineState = "down"
	// MachineGone machines never come back.
	MachineGone MachineState = "gone"
)

// Machine is a row of the platform's list, which lags behind the truth.
type Machine struct {
	Name  string       `json:"name"`
	State MachineState `json:"state"`
	// BootFence is the fence of the last reboot that the machine has finished.
	BootFence uint64 `json:"boot"`
}

// MachineList is the platform's list.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// TaskStart asks the platform to run a task under a lease.
type TaskStart struct {
	// Fence is the version of the placement. The platform refuses a lower one
	// than it has seen for the task.
	Fence uint64 `json:"fence"`
	// TermMS is the lease's term in milliseconds.
	TermMS int64 `json:"term-ms"`
	// Size is what the task may hold.
	Size host.Size `json:"size"`
	// RunSeconds is the declared run time in seconds; 0 for no end.
	RunSeconds int64 `json:"run-seconds,omitempty"`
}

// TaskState is what the platform reports of a task.
type TaskState string

// The states of a task.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskUsage is a row of the platform's lagging usage reports.
type TaskUsage struct {
	Job   string    `json:"job"`
	Task  int       `json:"task"`
	Host  string    `json:"host"`
	Fence uint64    `json:"fence"`
	State TaskState `json:"state"`
	// Used is what the task was seen to hold.
	Used host.Size `json:"used"`
}

// UsageReport is the platform's usage report.
type UsageReport struct {
	Tasks []TaskUsage `json:"tasks"`
}
