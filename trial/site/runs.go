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

// Totals adds up the statistics of all targets of a site.
type Totals struct {
	// Runs counts the executions of each request ID.
	Runs map[string]int
	// Repeated names non-idempotent requests that ran more than once.
	Repeated []string
	// PeakSlots and PeakConnections are the largest numbers on any target.
	PeakSlots, PeakConnections int
	// Refused counts the requests that targets refused because all their slots were in use.
	Refused int
	// ByTarget holds the statistics of each target by name.
	ByTarget map[string]target.Stats
}

// Totals reads the statistics of all targets and adds them up. Targets that do not respond are left
// out.
func (s *Site) Totals(ctx context.Context) Totals {
	out := Totals{Runs: make(map[string]int), ByTarget: make(map[string]target.Stats)}
	for _, t := range s.Targets {
		stats, err := s.TargetStats(ctx, t)
		if err != nil {
			continue
		}
		out.ByTarget[t.Name] = stats
		for id, n := range stats.Runs {
			out.Runs[id] += n
		}
		out.Repeated = append(out.Repeated, stats.Repeated...)
		out.PeakSlots = max(out.PeakSlots, stats.PeakSlots)
		out.PeakConnections = max(out.PeakConnections, stats.PeakConnections)
		out.Refused += stats.Refused
	}
	return out
}

// Balancer picks among the entries that report that they are ready, as the platform's load balancer
// does. Close stops it.
type Balancer struct {
	task    *task.Task[pickRequest]
	clients map[string]*client.Client
}

type pickRequest struct {
	n     int
	reply chan<- string
}

// probeInterval is the time between two readiness checks of the entries.
const probeInterval = 50 * time.Millisecond

// NewBalancer starts a balancer over the entries of the given zones, or of all zones if none is
// given.
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
	b.task = task.Start(func(ctx context.Context, inbox <-chan pickRequest) { b.run(ctx, inbox, names) }, task.WithInbox(1024))
	return b
}

// Close stops the balancer.
func (b *Balancer) Close() { b.task.Close() }

// Pick returns the client of the n-th ready entry, counted round and round. It picks among all
// entries if none is ready.
func (b *Balancer) Pick(n int) *client.Client {
	name, err := task.Call(context.Background(), b.task, func(reply chan<- string) pickRequest { return pickRequest{n, reply} })
	if err != nil {
		for _, c := range b.clients {
			return c
		}
	}
	return b.clients[name]
}

func (b *Balancer) run(ctx context.Context, inbox <-chan pickRequest, names []string) {
	ready := names
	probed := make(chan []string)
	go b.probe(ctx, names, probed)
	for {
		select {
		case <-ctx.Done():
			return
		case ready = <-probed:
		case p := <-inbox:
			candidates := ready
			if len(candidates) == 0 {
				candidates = names
			}
			p.reply <- candidates[p.n%len(candidates)]
		}
	}
}

func (b *Balancer) probe(ctx context.Context, names []string, probed chan<- []string) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		var ready []string
		for _, name := range names {
			probe, cancel := context.WithTimeout(ctx, 4*probeInterval)
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

// ReadStream reads all retained records of a stream directly from the log service, as the platform's
// own tools can.
func (s *Site) ReadStream(ctx context.Context, stream string) ([]plat.Record, error) {
	p := plat.New(s.LogURL, s.HostURL)
	defer p.Close()
	bounds, err := p.Bounds(ctx, stream)
	if err != nil {
		return nil, err
	}
	var out []plat.Record
	for offset := bounds.First; offset < bounds.Next; {
		page, err := p.Read(ctx, stream, offset, plat.MaxRead, 0)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Records...)
		offset += uint64(len(page.Records))
	}
	return out, nil
}
