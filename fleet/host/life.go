package host

import (
	"context"
	"slices"

	"github.com/looplab/fsm"
)

// Phase is a phase of a host's life.
type Phase string

// The phases. Only a serving host counts as available.
const (
	Serving     Phase = "serving"
	Cordoned    Phase = "cordoned"
	Drained     Phase = "drained"
	Rebooting   Phase = "rebooting"
	Returning   Phase = "returning"
	Failed      Phase = "failed"
	Quarantined Phase = "quarantined"
)

// Event is a step from one phase to another.
type Event string

// The events.
const (
	// EventJoin creates a host; it is no transition.
	EventJoin Event = "join"
	// EventMove asks for a move; the phase stays.
	EventMove Event = "move"
	// EventCordon stops new work.
	EventCordon Event = "cordon"
	// EventDrain says that the barrier has passed and nothing is in flight.
	EventDrain Event = "drain"
	// EventReboot decides the reboot; the platform is called after it.
	EventReboot Event = "reboot"
	// EventUp says that the platform reports the host up again.
	EventUp Event = "up"
	// EventReturn puts a host back into service.
	EventReturn Event = "return"
	// EventAssign gives a drained host to the pool that it is moving to.
	EventAssign Event = "assign"
	// EventFail says that the host was seen failed.
	EventFail Event = "fail"
	// EventRestore says that a failed host was seen live again.
	EventRestore Event = "restore"
	// EventQuarantine takes a host out that fails what it starts.
	EventQuarantine Event = "quarantine"
	// EventRelease ends a quarantine.
	EventRelease Event = "release"
)

// transitions are the rules of a host's life.
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

// IsTransition reports whether the event is a transition of a host's life.
func (e Event) IsTransition() bool {
	return slices.ContainsFunc(transitions, func(t fsm.EventDesc) bool { return t.Name == string(e) })
}

// Lifecycle is the rule object of hosts' lives. It is built once by each task that
// needs it, holds no host's phase between calls, and is not shared.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle builds the rule object.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{machine: fsm.NewFSM(string(Serving), transitions, nil)}
}

// Next returns the phase after event, and false when the event is not allowed in
// the phase.
func (l *Lifecycle) Next(from Phase, event Event) (Phase, bool) {
	l.machine.SetState(string(from))
	if err := l.machine.Event(context.Background(), string(event)); err != nil {
		return from, false
	}
	return Phase(l.machine.Current()), true
}
