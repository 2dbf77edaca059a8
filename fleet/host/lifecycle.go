package host

import (
	"context"
	"slices"

	"github.com/looplab/fsm"
)

// Phase is a state of a host's lifecycle.
type Phase string

// The phases of a host. Only a serving host counts as available.
const (
	Serving     Phase = "serving"
	Cordoned    Phase = "cordoned"
	Drained     Phase = "drained"
	Rebooting   Phase = "rebooting"
	Returning   Phase = "returning"
	Failed      Phase = "failed"
	Quarantined Phase = "quarantined"
)

// Event is something that happens to a host. Most events change its phase; see
// [Event.IsTransition].
type Event string

// The events of a host.
const (
	// EventJoin creates a host. It is not a transition.
	EventJoin Event = "join"
	// EventMove requests a move to another pool. It does not change the phase.
	EventMove Event = "move"
	// EventCordon stops the assignment of new work to the host.
	EventCordon Event = "cordon"
	// EventDrain reports that all entries of the zone have acknowledged the cordon and that no
	// request is in flight and no task is placed on the host.
	EventDrain Event = "drain"
	// EventReboot records the decision to reboot. The platform is called after it.
	EventReboot Event = "reboot"
	// EventUp reports that the host is up again according to the platform.
	EventUp Event = "up"
	// EventReturn returns the host to service.
	EventReturn Event = "return"
	// EventAssign assigns a drained host to the pool that it is moving to.
	EventAssign Event = "assign"
	// EventFail reports that the host has failed.
	EventFail Event = "fail"
	// EventRestore reports that a failed host is live again.
	EventRestore Event = "restore"
	// EventQuarantine takes a host out of service because the requests sent to it fail.
	EventQuarantine Event = "quarantine"
	// EventRelease ends a quarantine.
	EventRelease Event = "release"
)

// transitions are the transitions of the state machine of a host.
var transitions = fsm.Events{
	{Name: string(EventCordon), Src: phases(Serving), Dst: string(Cordoned)},
	{Name: string(EventDrain), Src: phases(Cordoned), Dst: string(Drained)},
	{Name: string(EventReboot), Src: phases(Drained), Dst: string(Rebooting)},
	{Name: string(EventUp), Src: phases(Rebooting), Dst: string(Returning)},
	{Name: string(EventReturn), Src: phases(Cordoned, Drained, Returning), Dst: string(Serving)},
	{Name: string(EventAssign), Src: phases(Drained), Dst: string(Returning)},
	{
		Name: string(EventFail),
		Src:  phases(Serving, Cordoned, Drained, Rebooting, Returning, Quarantined),
		Dst:  string(Failed),
	},
	{Name: string(EventRestore), Src: phases(Failed), Dst: string(Returning)},
	{Name: string(EventQuarantine), Src: phases(Serving), Dst: string(Quarantined)},
	{Name: string(EventRelease), Src: phases(Quarantined), Dst: string(Returning)},
}

func phases(list ...Phase) []string {
	out := make([]string, len(list))
	for i, p := range list {
		out[i] = string(p)
	}
	return out
}

// IsTransition reports whether the event is a transition of the state machine. Only these events
// are valid in a [Change].
func (e Event) IsTransition() bool {
	return slices.ContainsFunc(transitions, func(t fsm.EventDesc) bool { return t.Name == string(e) })
}

// Lifecycle is the state machine of hosts. It keeps no phase between calls and is not safe for
// concurrent use: each task that needs one builds its own.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle returns a new state machine.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: fsm.NewFSM(string(Serving), transitions, nil)}
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
