// Package wave defines maintenance waves: every host of some pools is taken out,
// rebooted and put back, within the pools' availability budgets.
package wave

import (
	"context"
	"fmt"
	"slices"

	"github.com/looplab/fsm"

	"carawaymux.dev/fleet/record"
)

// Limits on a wave's fields.
const (
	// MaxPools is the largest number of pools of one wave.
	MaxPools = 256
	// MaxParallel is the largest number of hosts out at once for one wave.
	MaxParallel = 1024
	// DefaultPauseFailures is how many hosts of a wave's pools may be failed before
	// the wave pauses, where the wave names no number.
	DefaultPauseFailures = 2
)

// Spec is a maintenance wave as operators publish it.
type Spec struct {
	// Pools are the pools whose hosts are maintained.
	Pools []string `json:"pools"`
	// Parallel is the largest number of hosts out at once for this wave, over
	// all its pools; 0 leaves it to the budgets.
	Parallel int `json:"parallel,omitempty"`
	// PauseFailures is the number of failed hosts in the wave's pools at which
	// the wave pauses; 0 means [DefaultFailures].
	PauseFailures int `json:"pause-failures,omitempty"`
}

// Kind returns [record.KindWave].
func (Spec) Kind() record.Kind { return record.KindWave }

// Check reports faults in the fields.
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

// PauseThreshold is the number of failed hosts at which the wave pauses.
func (s Spec) PauseThreshold() int {
	if s.PauseFailures > 0 {
		return s.PauseFailures
	}
	return DefaultPauseFailures
}

// Phase is a phase of a wave's life.
type Phase string

// The phases.
const (
	Running   Phase = "running"
	Paused    Phase = "paused"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Event is a step of a wave's life.
type Event string

// The events.
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

// Lifecycle is the rule object of waves' lives, built once by each task that needs it.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle builds the rule object.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: fsm.NewFSM(string(Running), transitions, nil)}
}

// Next returns the phase after event, and false when the event is not allowed.
func (l *Lifecycle) Next(from Phase, event Event) (Phase, bool) {
	l.machine.SetState(string(from))
	if err := l.machine.Event(context.Background(), string(event)); err != nil {
		return from, false
	}
	return Phase(l.machine.Current()), true
}

// Change is a step of a wave's life. The record's object is the wave's name.
// Operators may cancel; the planner, under its fence, does the rest.
type Change struct {
	// Event is the step.
	Event Event `json:"event"`
}

// Kind returns [record.KindWaveChange].
func (Change) Kind() record.Kind { return record.KindWaveChange }

// Check reports faults in the fields.
func (c Change) Check() record.Problems {
	var p record.Problems
	switch c.Event {
	case EventPause, EventResume, EventFinish, EventCancel:
	default:
		p.Add("event", fmt.Sprintf("%q", c.Event), "pause, resume, finish or cancel")
	}
	return p
}

// Wave is a wave in force.
type Wave struct {
	// Published is the specification with its version.
	Published record.Versioned[Spec] `json:"published"`
	// Version is the offset of the last accepted change, plus one.
	Version uint64 `json:"version"`
	// Phase is the present phase.
	Phase Phase `json:"phase"`
	// PendingHosts names the hosts still to be maintained, sorted. Hosts leave it when
	// they return to service after their reboot, or when they are retired.
	PendingHosts []string `json:"todo"`
	// TotalHosts is the number of hosts that the wave began with.
	TotalHosts int `json:"total"`
	// Reason is the rule and the figures of the last change of phase.
	Reason record.Reason `json:"why"`
}

// RemovePending removes a host from the wave's work. It reports whether it was there.
func (w *Wave) RemovePending(host string) bool {
	i, found := slices.BinarySearch(w.PendingHosts, host)
	if found {
		w.PendingHosts = slices.Delete(w.PendingHosts, i, i+1)
	}
	return found
}
