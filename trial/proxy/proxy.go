// Package proxy passes on connections on loopback and injects faults into what they carry. Faults begin and end whatever the
// connections do.
package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/task"
)

// Direction is a direction of a link: from callers to the service, or back.
type Direction int

// The directions.
const (
	Upstream Direction = iota
	Downstream
	Directions
)

// Impairment is what happens to the data of one direction.
type Impairment struct {
	// Latency is the delay of each piece of data, and Jitter the most by which it varies.
	Latency, Jitter time.Duration
	// Drop drops the data, and connections end with it. Reset resets connections that carry some.
	Drop, Reset bool
	// Pause is the time between two bytes, which are then passed on one at a time; 0 for no such limit.
	Pause time.Duration
	// Closing is the delay before the end of a connection is passed on.
	Closing time.Duration
}

// Toxic is a fault of one direction of a link.
type Toxic struct {
	Direction Direction
	Impairment
}

// Both returns an impairment of both directions.
func Both(i Impairment) []Toxic { return []Toxic{{Upstream, i}, {Downstream, i}} }

// Link is the task that owns the proxy of a link. Each of its connections has a goroutine for each direction, which no
// message waits for. Use [Start] to start it.
type Link struct {
	// Address is where the proxy listens.
	Address  string
	listener net.Listener
	service  string
	task     *task.Task[func(*core)]
	// conditions is replaced by the task only.
	conditions atomic.Pointer[conditions]
	work       sync.WaitGroup
}

// Inject starts a fault, which replaces one of the same name. It acts on what connections carry from the return of the call on.
func (l *Link) Inject(ctx context.Context, name string, list []Toxic) error {
	return fault.At("inject", l.service, l.call(ctx, func(c *core) {
		c.faults[name] = list
		c.apply()
	}))
}

// Heal ends a fault. Connections of which it has dropped data end with it.
func (l *Link) Heal(ctx context.Context, name string) error {
	return fault.At("heal", l.service, l.call(ctx, func(c *core) { c.heal(name) }))
}

// HealAll ends all faults.
func (l *Link) HealAll(ctx context.Context) error {
	return fault.At("heal", l.service, l.call(ctx, (*core).healAll))
}

// call has the task change its state and waits until it has.
func (l *Link) call(ctx context.Context, change func(*core)) error {
	_, err := task.Call(ctx, l.task, func(reply chan<- struct{}) func(*core) {
		return func(c *core) {
			change(c)
			reply <- struct{}{}
		}
	})
	return err
}

// conditions are the sum of all faults of a link at a time. They do not change.
type conditions struct {
	impairments [Directions]Impairment
	// changed is closed when others replace them.
	changed chan struct{}
}

// core is the state of the task.
type core struct {
	link   *Link
	faults map[string][]Toxic
	pairs  map[*pair]struct{}
}

// pair is a connection of a caller and that to the service.
type pair struct{ client, service *net.TCPConn }

func (p *pair) close() {
	p.client.Close()
	p.service.Close()
}

// Start starts a proxy in front of a service.
func Start(service string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.At("start-proxy", service, err)
	}
	l := &Link{Address: listener.Addr().String(), listener: listener, service: service}
	l.conditions.Store(&conditions{changed: make(chan struct{})})
	l.task = task.Start(func(ctx context.Context, inbox <-chan func(*core)) {
		c := &core{link: l, faults: map[string][]Toxic{}, pairs: map[*pair]struct{}{}}
		defer c.healAll()
		for {
			select {
			case <-ctx.Done():
				for p := range c.pairs {
					p.close()
				}
				return
			case f := <-inbox:
				f(c)
			}
		}
	})
	l.work.Go(l.accept)
	return l, nil
}

// apply replaces the conditions by those of the present faults.
func (c *core) apply() {
	next := &conditions{changed: make(chan struct{})}
	for _, list := range c.faults {
		for _, t := range list {
			i := &next.impairments[t.Direction]
			i.Latency, i.Jitter, i.Closing = i.Latency+t.Latency, i.Jitter+t.Jitter, i.Closing+t.Closing
			i.Drop, i.Reset, i.Pause = i.Drop || t.Drop, i.Reset || t.Reset, i.Pause+t.Pause
		}
	}
	close(c.link.conditions.Swap(next).changed)
}

// heal ends a fault. Connections that may have lost data end with it.
func (c *core) heal(name string) {
	for _, t := range c.faults[name] {
		for p := range c.pairs {
			if t.Drop {
				p.close()
			}
		}
	}
	delete(c.faults, name)
	c.apply()
}

func (c *core) healAll() {
	for name := range c.faults {
		c.heal(name)
	}
}

// Close ends the proxy and its connections, and waits for its goroutines.
func (l *Link) Close() {
	l.listener.Close()
	l.task.Close()
	l.work.Wait()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve passes on what a connection carries until it ends.
func (l *Link) serve(client *net.TCPConn) {
	c, err := net.Dial("tcp", l.service)
	if err != nil {
		client.Close()
		return
	}
	p := &pair{client, c.(*net.TCPConn)}
	defer p.close()
	ctx := context.Background()
	// The task closes the pairs that it knows when it ends.
	if err := l.call(ctx, func(c *core) { c.pairs[p] = struct{}{} }); err != nil {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(p, p.client, p.service, Upstream) })
	pumps.Go(func() { l.pump(p, p.service, p.client, Downstream) })
	pumps.Wait()
	_ = l.task.Send(ctx, func(c *core) { delete(c.pairs, p) })
}

// piece is data that a connection has carried, and when.
type piece struct {
	data []byte
	at   time.Time
}

const (
	// pieceSize is the largest size of a piece, and maxPieces the number of pieces that wait at most.
	pieceSize, maxPieces = 32 << 10, 1024
)

// pump passes on what one direction of a connection carries, and its end.
func (l *Link) pump(p *pair, from io.Reader, to *net.TCPConn, d Direction) {
	pieces := make(chan piece, maxPieces)
	l.work.Go(func() {
		defer close(pieces)
		buffer := make([]byte, pieceSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{bytes.Clone(buffer[:n]), time.Now()}
			}
			if err != nil {
				return
			}
		}
	})
	passes := true
	for v := range pieces {
		// The rest is read and dropped, so that the goroutine that reads it can end.
		if passes && !l.pass(v, p, to, d) {
			passes = false
			to.Close()
		}
	}
	if now := l.conditions.Load(); passes {
		l.wait(now, now.impairments[d].Closing)
	}
	to.Close()
}

// wait waits for a time and reports whether it has passed before the conditions changed.
func (l *Link) wait(now *conditions, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-now.changed:
		return false
	}
}

// pass passes on a piece under the conditions that hold meanwhile. It reports false if the connection is of no use any
// more.
func (l *Link) pass(v piece, p *pair, to io.Writer, d Direction) bool {
	variation := 2*rand.Float64() - 1
	for {
		now := l.conditions.Load()
		i := now.impairments[d]
		switch {
		case i.Reset:
			// The connections may have ended.
			_ = p.client.SetLinger(0)
			_ = p.service.SetLinger(0)
			p.close()
			return false
		case i.Drop:
			return true
		}
		due := v.at.Add(i.Latency + time.Duration(variation*float64(i.Jitter)))
		if !l.wait(now, time.Until(due)) {
			continue
		}
		if i.Pause == 0 {
			_, err := to.Write(v.data)
			return err == nil
		}
		for len(v.data) > 0 && l.wait(now, i.Pause) {
			if _, err := to.Write(v.data[:1]); err != nil {
				return false
			}
			v.data = v.data[1:]
		}
		if len(v.data) == 0 {
			return true
		}
	}
}
