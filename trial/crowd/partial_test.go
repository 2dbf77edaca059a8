package crowd_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/procs"
)

const (
	// mixedClients is the number of clients of each kind where all kinds are sent at once, and otherClients that at each of the
	// other listeners.
	mixedClients, otherClients = 30, 8
	// mixedHold is how long crowds of all kinds are there.
	mixedHold = 6 * time.Second
)

// partialKinds are the kinds that are slow, or that leave a part of the protocol unfinished.
var partialKinds = []crowd.Kind{
	crowd.Expecting, crowd.Trickle, crowd.LeastRate, crowd.Extensions, crowd.Trailers, crowd.ManyFields, crowd.Complete, crowd.HalfClosed,
	crowd.Reconnecting,
}

// Guards against an entry of carawaymux that clients bring to its end which are slow or leave a part of the protocol unfinished.
func TestPartialRequestsEndNoEntry(t *testing.T) {
	for _, kind := range partialKinds {
		t.Run(string(kind), func(t *testing.T) {
			v := startEntry(t, limits(memoryMB, descriptors))
			v.requireHolds(t, v.callers, kind, clients, memoryMB, descriptors)
		})
	}
}

// Guards against the same of carawayd.
func TestPartialRequestsEndNoDaemon(t *testing.T) {
	settings := []string{fmt.Sprintf("memory = %dMiB", memoryMB), fmt.Sprintf("descriptors = %d", descriptors)}
	for _, kind := range partialKinds {
		t.Run(string(kind), func(t *testing.T) {
			v := startDaemon(t, settings...)
			v.requireHolds(t, v.callers, kind, clients, memoryMB, descriptors)
		})
	}
}

// startAll sends crowds of all kinds to all listeners of an entry.
func (v *victim) startAll() []*crowd.Crowd {
	var all []*crowd.Crowd
	for _, kind := range crowd.BodyKinds() {
		all = append(all, crowd.Start(v.callers, kind, mixedClients))
		for _, other := range []crowd.Target{v.ready, v.peer, v.metrics} {
			if other.Address != "" {
				all = append(all, crowd.Start(other, kind, otherClients))
			}
		}
	}
	return append(all, crowd.Start(v.callers, crowd.Steps, stepsClients), crowd.Start(v.peer, crowd.Fragments, linkClients))
}

// requireHoldsAll sends crowds of all kinds to all listeners of an entry at once.
func (v *victim) requireHoldsAll(t *testing.T, memory, files int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	meter := crowd.Watch(v.proc.PID(), v.callers.Address, v.ready.Address, v.peer.Address, v.metrics.Address)
	all := v.startAll()
	time.Sleep(mixedHold)
	var opened int64
	for _, c := range all {
		c.Close()
		opened += c.Opened.Load()
	}
	answer := procs.WaitFor(ctx, "request after the crowds", v.ask)
	peak := meter.Close()
	t.Logf("%d connections opened: %v", opened, peak)
	require.NoError(t, v.proc.CheckRunning())
	require.NoError(t, answer)
	require.Less(t, peak.Memory, int64(memory)<<20, "memory in bytes")
	require.Less(t, peak.Descriptors, files, "open descriptors")
}

// Guards against small entries that crowds of all kinds bring to their end together.
func TestCrowdsOfAllKindsEndNoSmallEntry(t *testing.T) {
	for _, memory := range []int{160, 184} {
		t.Run(fmt.Sprintf("%d MB", memory), func(t *testing.T) {
			v := startEntry(t, limits(memory, descriptors))
			v.requireHoldsAll(t, memory, descriptors)
		})
	}
	t.Run("few descriptors", func(t *testing.T) {
		v := startEntry(t, limits(memoryMB, fewDescriptors))
		v.requireHoldsAll(t, memoryMB, fewDescriptors)
	})
}

// Guards against the same of carawayd.
func TestCrowdsOfAllKindsEndNoDaemon(t *testing.T) {
	const memory = 160
	v := startDaemon(t, fmt.Sprintf("memory = %dMiB", memory), fmt.Sprintf("descriptors = %d", descriptors))
	v.requireHoldsAll(t, memory, descriptors)
}

// Guards against responses that nobody takes and that fill the memory of the kernel.
func TestResponsesThatAreNotTakenStayWithinTheMemory(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		v := startEntry(t, limits(memoryMB, descriptors))
		peak := v.requireHolds(t, v.metrics, crowd.Unread, clients, memoryMB, descriptors)
		require.Less(t, peak.Total, int64(memoryMB)<<20, "memory and unsent bytes")
	})
	t.Run("daemon", func(t *testing.T) {
		v := startDaemon(t, fmt.Sprintf("memory = %dMiB", memoryMB), fmt.Sprintf("descriptors = %d", descriptors))
		peak := v.requireHolds(t, v.callers, crowd.Unread, clients, memoryMB, descriptors)
		require.Less(t, peak.Total, int64(memoryMB)<<20, "memory and unsent bytes")
	})
}
