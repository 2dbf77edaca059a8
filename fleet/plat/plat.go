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
	// MaxAnswer is the largest answer of the platform, in bytes.
	MaxAnswer = 128 << 20
)

// Bounds says which offsets a stream holds.
type Bounds struct {
	// First is the first offset that is still kept.
	First uint64 `json:"first"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
}

// Item is a record of a stream.
type Item struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	Bounds
	Items []Item `json:"items"`
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

// HostState is what the platform's list says of a machine.
type HostState string

// The states. A machine that the list does not name is unknown to it.
const (
	// Live machines run.
	Live HostState = "live"
	// Leaving machines run, but will be taken away.
	Leaving HostState = "leaving"
	// Down machines do not run, and may come back.
	Down HostState = "down"
	// Gone machines never come back.
	Gone HostState = "gone"
)

// Machine is a row of the platform's list, which lags behind the truth.
type Machine struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
	// Boot is the fence of the last reboot that the machine has finished.
	Boot uint64 `json:"boot"`
}

// Listing is the platform's list.
type Listing struct {
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
	Size host.Resources `json:"size"`
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

// Usage is a row of the platform's lagging usage reports.
type Usage struct {
	Job   string    `json:"job"`
	Task  int       `json:"task"`
	Host  string    `json:"host"`
	Fence uint64    `json:"fence"`
	State TaskState `json:"state"`
	// Used is what the task was seen to hold.
	Used host.Resources `json:"used"`
}

// Report is the platform's usage report.
type Report struct {
	Tasks []Usage `json:"tasks"`
}
