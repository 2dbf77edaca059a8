// Package batch defines the jobs that callers submit. A job consists of steps of equal tasks,
// with an order between the steps.
package batch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/fleet/clamp"
)

// Limits on a job.
const (
	// MaxTextBytes is the largest specification text.
	MaxTextBytes = 4000
	// MaxSteps is the largest number of steps of one job.
	MaxSteps = 256
	// MaxTasks is the largest number of tasks of one occurrence.
	MaxTasks = 4096
	// MaxRepetitions is the largest number of timed occurrences.
	MaxRepetitions = 1024
	// idDigits is the length of a job's ID in hexadecimal digits.
	idDigits = 16
)

// Size is an amount of a host's resources. No dimension is negative in a [Step].
type Size struct {
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCores + o.MilliCores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s without o; dimensions may become negative.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCores - o.MilliCores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Min returns the smaller of two sizes in each dimension.
func (s Size) Min(o Size) Size {
	return Size{min(s.MilliCores, o.MilliCores), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

// Max returns the larger of two sizes in each dimension.
func (s Size) Max(o Size) Size {
	return Size{max(s.MilliCores, o.MilliCores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Fits reports whether o fits into s.
func (s Size) Fits(o Size) bool {
	return o.MilliCores <= s.MilliCores && o.MemoryMB <= s.MemoryMB && o.Accelerators <= s.Accelerators
}

// Step is a group of equal tasks of a job.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int `cbor:"1,keyasint"`
	// Need is what one task requests. A best-effort step reserves no processor capacity,
	// whatever it requests.
	Need Size `cbor:"2,keyasint"`
	// Estimate is a rough estimate of a task's run time; it may be wrong by half.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After holds the numbers of earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that a task saves its progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks run together: all of them at once, or none.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack means that the tasks are slow when they run on several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the host must have; empty for none.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the data; tasks are slow elsewhere. Empty when tasks may
	// run anywhere.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// PerHost is the largest number of tasks on one host; 0 for no limit.
	PerHost int `cbor:"10,keyasint,omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatency is the limit on the tail latency of the requests that a long-running task
	// serves; 0 for none.
	TailLatency time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks only use capacity that other tasks leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks the system may make unavailable at once.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reservation is what a task takes from a host's capacity.
func (s *Step) Reservation() Size {
	if s.BestEffort {
		return Size{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Spec is a job as it was submitted.
type Spec struct {
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"1,keyasint"`
	// Text is passed to each task, at most [MaxTextBytes] bytes.
	Text string `cbor:"2,keyasint,omitempty"`
	// Steps has at least one element. A step comes after the steps in its After.
	Steps []Step `cbor:"3,keyasint"`
	// Repetitions is the number of timed occurrences; 0 for a job that runs once, now.
	Repetitions int `cbor:"4,keyasint,omitempty"`
	// FirstDueMS is when the first occurrence is due, in milliseconds since 1970.
	FirstDueMS int64 `cbor:"5,keyasint,omitempty"`
	// Interval is the time between occurrences.
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
	// AcceptedMS is when the job was accepted, in milliseconds since 1970.
	AcceptedMS int64 `cbor:"7,keyasint,omitempty"`
	// Tenant is the name of the tenant that submitted the job, and empty if the caller presented no key.
	Tenant string `cbor:"8,keyasint,omitempty"`
}

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(s.Repetitions, 1) }

// TaskCount is the number of tasks of one occurrence.
func (s *Spec) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// CriticalPath is the longest sum of estimated run times along dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	var longest time.Duration
	finish := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		var start time.Duration
		for _, earlier := range s.Steps[i].After {
			start = max(start, finish[earlier])
		}
		finish[i] = clamp.Add(start, s.Steps[i].Estimate)
		longest = max(longest, finish[i])
	}
	return longest
}

// Check returns an error for the first invalid field of the job, or nil.
func (s *Spec) Check() error {
	if len(s.Text) > MaxTextBytes {
		return fmt.Errorf("specification text has %d bytes, at most %d are allowed", len(s.Text), MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, expected 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Repetitions < 0 || s.Repetitions > MaxRepetitions {
		return fmt.Errorf("job has %d repetitions, expected 0 to %d", s.Repetitions, MaxRepetitions)
	}
	if s.Interval < 0 || s.FirstDueMS < 0 {
		return fmt.Errorf("first due time and interval must not be negative")
	}
	taskCount := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		taskCount += s.Steps[i].Count
	}
	if taskCount > MaxTasks {
		return fmt.Errorf("job has %d tasks in all its steps, at most %d are allowed", taskCount, MaxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("task count %d, expected 1 to %d", s.Count, MaxTasks)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("cores, memory and accelerators per task must not be negative")
	}
	if s.Estimate < 0 || s.TailLatency < 0 || s.PerHost < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("estimated run time, tail latency, tasks per host and unavailable tasks must not be negative")
	}
	for _, earlier := range s.After {
		// Only earlier steps are allowed, so the order has no cycle.
		if earlier < 0 || earlier >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}

// CheckID returns an error if a job's ID is not 16 hexadecimal digits.
func CheckID(id string) error {
	if len(id) != idDigits {
		return fmt.Errorf("job ID has %d characters, %d expected", len(id), idDigits)
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return fmt.Errorf("job ID contains %q, expected hexadecimal digits only", c)
		}
	}
	return nil
}

// Ref identifies a task.
type Ref struct {
	// Job is the job's ID.
	Job string
	// Occurrence is the occurrence of the job, Step the step and Index the task in the step;
	// all count from 0.
	Occurrence, Step, Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (r Ref) String() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseRef is the inverse of [Ref.String].
func ParseRef(s string) (Ref, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Ref{}, fmt.Errorf("task name %q: expected JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Ref{}, fmt.Errorf("task name %q: %q is not a number of 0 or more", s, p)
		}
		n[i] = v
	}
	return Ref{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
