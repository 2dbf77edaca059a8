// Package wave defines maintenance waves. A wave takes every host of a set of pools out of service,
// reboots it and returns it to service, within the availability budgets of the pools.
package wave

import (
	"context"
	"fmt"
	"slices"

	"github.com/looplab/fsm"

	"carawaymux.dev/fleet/record"
)

// Limits and defaults of a wave's fields.
const (
	// MaxPools is the maximum number of pools in one wave.
	MaxPools = 256
	// MaxParallel is the maximum number of hosts that one wave may take out of service at once.
	MaxParallel = 1024
	// DefaultPauseFailures is the number of failed hosts at which a wave pauses if it sets no
	// PauseFailures.
	DefaultPauseFailures = 2
)

// Spec is the specification of a maintenance wave, as published by an operator.
type Spec struct {
	// Pools are the pools whose hosts are maintained.
	Pools []string `json:"pools"`
	// Parallel is the maximum number of hosts that the wave takes out of service at once, over all
	// its pools. 0 sets no limit besides the budgets.
	Parallel int `json:"parallel,omitempty"`
	// PauseFailures is the number of failed hosts in the wave's pools at which the wave pauses. 0
	// means [DefaultPauseFailures].
	PauseFailures int `json:"pause-failures,omitempty"`
}

// Kind returns [record.KindWave].
func (Spec) Kind() record.Kind { return record.KindWave }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckRange("pools", int64(len(s.Pools)), 1, MaxPools)
	for i, name := range s.Pools {
		p.CheckName("pools", name)
		if slices.Contains(s.Pools[:i], name) {
			p.Add("pools", name, "named once")
		}
	}
	p.CheckRange("parallel", int64(s.Parallel), 0, MaxParallel)
	p.CheckRange("pause-failures", int64(s.PauseFailures), 0, MaxParallel)
	return p
}

// PauseThreshold returns the number of failed hosts at which the wave pauses.
func (s Spec) PauseThreshold() int {
	if s.PauseFailures > 0 {
		return s.PauseFailures
	}
	return DefaultPauseFailures
}

// Phase is a state of a wave's lifecycle.
type Phase string

// The phases of a wave.
const (
	Running   Phase = "running"
	Paused    Phase = "paused"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Event causes a wave to change its phase.
type Event string

// The events of a wave.
const (
	EventPause  Event = "pause"
	EventResume Event = "resume"
	EventFinish Event = "finish"
	EventCancel Event = "cancel"
)

var transitions = fsm.Events{
	{Name: string(EventPause), Src: []string{string(Running)}, Dst: string(Paused)},
	{Name: string(EventResume), Src: []string{string(Paused)}, Dst: string(Running)},
	{Name: string(EventFinish), Src: []string{string(Running)}, Dst: string(Done)},
	{Name: string(EventCancel), Src: []string{string(Running), string(Paused)}, Dst: string(Cancelled)},
}

// Lifecycle is the state machine of waves. It is not safe for concurrent use: each task that needs
// one builds its own.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle returns a new state machine.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: fsm.NewFSM(string(Running), transitions, nil)}
}

// Next returns the phase that event leads to. It returns false if the event is not allowed in phase
// from.
func (l *Lifecycle) Next(from Phase, event Event) (Phase, bool) {
	l.machine.SetState(string(from))
	if err := l.machine.Event(context.Background(), string(event)); err != nil {
		return from, false
	}
	return Phase(l.machine.Current()), true
}

// Change applies an event to a wave. The record's Object field names the wave. Operators may only
// cancel a wave: all other events need the fence of the planner lease.
type Change struct {
	// Event is the event to apply.
	Event Event `json:"event"`
}

// Kind returns [record.KindWaveChange].
func (Change) Kind() record.Kind { return record.KindWaveChange }

// Check validates the fields.
func (c Change) Check() record.Problems {
	var p record.Problems
	switch c.Event {
	case EventPause, EventResume, EventFinish, EventCancel:
	default:
		p.Add("event", fmt.Sprintf("%q", c.Event), "pause, resume, finish or cancel")
	}
	return p
}

// Wave is the state of a wave.
type Wave struct {
	// Published is the current specification with its version.
	Published record.Versioned[Spec] `json:"published"`
	// Version is the offset of the last accepted change, plus one.
	Version uint64 `json:"version"`
	// Phase is the current phase.
	Phase Phase `json:"phase"`
	// PendingHosts holds the sorted names of the hosts that are not maintained yet. A host is
	// removed when it returns to service after its reboot, or when it is retired.
	PendingHosts []string `json:"todo"`
	// TotalHosts is the number of hosts when the wave started.
	TotalHosts int `json:"total"`
	// Reason explains the last change of phase.
	Reason record.Reason `json:"why"`
}

// RemovePending removes a host from PendingHosts. It reports whether the host was pending.
func (w *Wave) RemovePending(host string) bool {
	i, found := slices.BinarySearch(w.PendingHosts, host)
	if found {
		w.PendingHosts = slices.Delete(w.PendingHosts, i, i+1)
	}
	return found
}
