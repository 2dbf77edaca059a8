package soak

import (
	"context"
	"fmt"
	"time"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/task"
	hostile "carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/fake"
)

const (
	// hostileClients is the number of clients of a [Hostile] fault. More make the timers of the soak late.
	hostileClients = 100
	// mixedClients is the number of clients of each kind, and otherClients that at each of the other listeners, where all kinds
	// come together.
	mixedClients, otherClients = 4, 1
	// hostileBody is the size of the largest legal body.
	hostileBody = 256 << 10
)

// hostileKinds are the ways in which the clients misuse connections, in the order of the faults of a schedule.
var hostileKinds = []hostile.Kind{
	hostile.Whole, hostile.Steps, hostile.EndlessHead, hostile.LargeChunks, hostile.Pipelined, hostile.SmallChunks, hostile.Unread, hostile.Pieces,
	hostile.EndlessLines, hostile.Silent, hostile.LongHead, hostile.EmptyLines,
}

// Memory is the most that the process of an entry has held since its start.
type Memory struct {
	Entry string        `json:"entry"`
	At    time.Duration `json:"at-ns"`
	Bytes int64         `json:"bytes"`
}

// startHostile sends hostile clients to an entry and returns the function that ends them.
func (s *site) startHostile(entry string, number int) (heal func(context.Context) error, err error) {
	k := s.keepers[entry]
	if k == nil {
		return nil, fault.New("inject", entry, "there is no such entry")
	}
	target := hostile.Target{Address: s.addresses[entry], Host: fake.VirtualHost, Path: fake.QueuePath(guardedPool) + "%016x", Body: hostileBody}
	var crowds []*hostile.Crowd
	if s.mixed {
		crowds = startMixed(k.entry, target)
	} else {
		crowds = append(crowds, hostile.Start(target, hostileKinds[number%len(hostileKinds)], hostileClients))
	}
	return func(ctx context.Context) error {
		for _, c := range crowds {
			c.Close()
		}
		return s.recordMemory(ctx, k)
	}, nil
}

// startMixed starts clients of all kinds at all listeners of an entry.
func startMixed(e *fake.Entry, callers hostile.Target) []*hostile.Crowd {
	var out []*hostile.Crowd
	for _, kind := range hostile.BodyKinds() {
		out = append(out,
			hostile.Start(callers, kind, mixedClients),
			hostile.Start(hostile.Target{Address: e.ReadyAddress, Host: "e", Path: "/v1/readiness", Body: hostileBody}, kind, otherClients),
			hostile.Start(hostile.Target{Address: e.PeerAddress, Host: "e", Path: peers.Path, Body: hostileBody}, kind, otherClients))
	}
	fragments := hostile.Target{Address: e.PeerAddress, Host: "e", Path: peers.Path, Message: link.MaxFrameBytes}
	return append(out, hostile.Start(callers, hostile.Steps, mixedClients), hostile.Start(fragments, hostile.Fragments, mixedClients))
}

// recordMemory records the most that the process of an entry has held, if it runs.
func (s *site) recordMemory(ctx context.Context, k *keeper) error {
	bytes, err := task.Call(ctx, k.task, func(reply chan<- int64) keeperMessage { return keeperMessage{memory: reply} })
	if err == nil && bytes > 0 {
		m := Memory{k.entry.Name, s.recorder.now(), bytes}
		s.recorder.add(func(h *History) { h.Memory = append(h.Memory, m) })
	}
	return err
}

// checkMemory judges what processes held at the end of faults by hostile clients.
func checkMemory(h *History) []string {
	var out []string
	for _, m := range h.Memory {
		if m.Bytes >= fake.EntryMemoryMB<<20 {
			out = append(out, fmt.Sprintf("%s has held %d MB, of %d", m.Entry, m.Bytes>>20, fake.EntryMemoryMB))
		}
	}
	return out
}

func countMemory(h *History) int { return len(h.Memory) }
