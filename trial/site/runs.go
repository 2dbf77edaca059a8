package site

import (
	"context"
	"slices"
	"time"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/target"
)

// Totals is what all targets of a site have seen.
type Totals struct {
	// Runs counts the executions of each request ID.
	Runs map[string]int
	// Repeated names non-idempotent requests that ran more than once.
	Repeated []string
	// PeakSlots and PeakConnections are the largest numbers on any target.
	PeakSlots, PeakConnections int
	// Refused counts requests that a target refused for want of a slot.
	Refused int
	// ByTarget holds the figures of each target.
	ByTarget map[string]target.Stats
}

// Totals adds up what the targets have seen. Targets that do not answer are left out.
func (s *Site) Totals(ctx context.Context) Totals {
	out := Totals{Runs: make(map[string]int), ByTarget: make(map[string]target.Stats)}
	for _, t := range s.Targets {
		one, err := s.TargetStats(ctx, t)
		if err != nil {
			continue
		}
		out.ByTarget[t.Name] = one
		for id, n := range one.Runs {
			out.Runs[id] += n
		}
		out.Repeated = append(out.Repeated, one.Repeated...)
		out.PeakSlots = max(out.PeakSlots, one.PeakSlots)
		out.PeakConnections = max(out.PeakConnections, one.PeakConnections)
		out.Refused += one.Refused
	}
	return out
}

// Balancer sends to entries that say that they are ready, as the platform's does. Close
// stops it.
type Balancer struct {
	task    *task.Task[pick]
	clients map[string]*client.Client
}

type pick struct {
	n     int
	reply chan<- string
}

// probeEvery is the time between two looks at the entries.
const probeEvery = 50 * time.Millisecond

// NewBalancer starts a balancer over the entries of a site, in the given zones or in
// all.
func (s *Site) NewBalancer(zones ...string) *Balancer {
	b := &Balancer{clients: make(map[string]*client.Client)}
	var names []string
	for _, e := range s.Entries {
		if len(zones) > 0 && !slices.Contains(zones, e.Zone) {
			continue
		}
		names = append(names, e.Name)
		b.clients[e.Name] = client.New("http://"+e.HTTP, client.WithHTTP(load.NewHTTPClient()))
	}
	b.task = task.Start(func(ctx context.Context, inbox <-chan pick) { b.run(ctx, inbox, names) }, task.WithInbox(1024))
	return b
}

// Close stops the balancer.
func (b *Balancer) Close() { b.task.Close() }

// Pick returns a ready entry; the first one where none is.
func (b *Balancer) Pick(n int) *client.Client {
	name, err := task.Call(context.Background(), b.task, func(reply chan<- string) pick { return pick{n, reply} })
	if err != nil {
		for _, c := range b.clients {
			return c
		}
	}
	return b.clients[name]
}

func (b *Balancer) run(ctx context.Context, inbox <-chan pick, names []string) {
	ready := names
	probed := make(chan []string)
	go b.probe(ctx, names, probed)
	for {
		select {
		case <-ctx.Done():
			return
		case ready = <-probed:
		case p := <-inbox:
			from := ready
			if len(from) == 0 {
				from = names
			}
			p.reply <- from[p.n%len(from)]
		}
	}
}

func (b *Balancer) probe(ctx context.Context, names []string, probed chan<- []string) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		var ready []string
		for _, name := range names {
			probe, cancel := context.WithTimeout(ctx, 4*probeEvery)
			if b.clients[name].Ready(probe) == nil {
				ready = append(ready, name)
			}
			cancel()
		}
		select {
		case probed <- ready:
		case <-ctx.Done():
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// ReadStream reads a whole stream of the log service, as the platform's own tools can.
func (s *Site) ReadStream(ctx context.Context, stream string) ([]plat.Record, error) {
	p := plat.New(s.LogURL, s.HostURL)
	defer p.Close()
	bounds, err := p.Bounds(ctx, stream)
	if err != nil {
		return nil, err
	}
	var out []plat.Record
	for at := bounds.First; at < bounds.Next; {
		page, err := p.Read(ctx, stream, at, plat.MaxRead, 0)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Records...)
		at += uint64(len(page.Records))
	}
	return out, nil
}
