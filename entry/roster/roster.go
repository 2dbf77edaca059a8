// Package roster knows which entries are alive and which pools they own. Each entry
// writes a heartbeat to the platform's store and reads those of the others.
package roster

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// beatInterval is the time between heartbeats.
	beatInterval = 400 * time.Millisecond
	// deadAfter is the silence after which an entry is taken for dead; it spans
	// several heartbeats, so that a slow write is no death.
	deadAfter = 1500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// settleAfter is the time in which every live entry shows up that starts at the
	// same time; the platform starts all of them within 300 ms.
	settleAfter = 400 * time.Millisecond
	// startInterval is the time between heartbeats until the view has settled.
	startInterval = 100 * time.Millisecond
	// forgetAfter is how long the row of a dead entry is kept.
	forgetAfter = time.Minute
)

// stream holds a heartbeat under each entry's name.
var stream = port.Stream{Topic: "keyed.entries"}

// Heartbeat is an entry's heartbeat.
type Heartbeat struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Incarnation is when the process started, in nanoseconds; a higher one replaces a
	// lower one.
	Incarnation int64 `cbor:"4,keyasint"`
	// Seq rises with each heartbeat of a life.
	Seq int64 `cbor:"5,keyasint"`
	// Pools holds the epoch of each pool that the entry owns.
	Pools map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Leaving says that the entry is about to stop and takes no pools.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Owner is an entry that owns a pool.
type Owner struct {
	Name, Address string
	Epoch         int64
}

// View is what is known of the entries. It is never changed once published.
type View struct {
	// Alive holds the newest heartbeat of each live entry by name.
	Alive map[string]Heartbeat
	// Owners holds the live owner with the highest epoch of each owned pool.
	Owners map[string]Owner
	// Settled says that every entry that is alive has had time to be seen.
	Settled bool
	// StoreLostSince is since when the store has not taken this entry's heartbeats or not
	// answered its reads; zero while it does.
	StoreLostSince time.Time
	// AsOf is when the calls to the store began that this view rests on.
	AsOf time.Time
}

// Roster is the task that keeps the view. Use [Start] to build it.
type Roster struct {
	log    port.Log
	logger *slog.Logger
	task   *task.Task[message]
	view   atomic.Pointer[View]
	onView func(*View)
}

type message interface{ handle(c *core) }

type owns struct{ pools map[string]int64 }

type leaves struct{ reply chan<- struct{} }

// row is what is known of one entry.
type row struct {
	beat Heartbeat
	// changed is when the heartbeat was last seen to rise, on our clock.
	changed time.Time
}

// core is the state of the task.
type core struct {
	r    *Roster
	mine Heartbeat
	rows map[string]*row
	// reader reads everybody's heartbeats.
	reader *feed.Reader
	// since is from when on reads have succeeded without a longer gap.
	since, last time.Time
	down        bool
	// lost is the view's Lost.
	lost time.Time
}

// Start starts the task for the entry that a heartbeat describes. Each new view is
// handed to onView.
func Start(log port.Log, me Heartbeat, logger *slog.Logger, onView func(*View)) *Roster {
	r := &Roster{log: log, logger: logger, onView: onView}
	r.view.Store(&View{})
	c := &core{r: r, mine: me, rows: map[string]*row{}, reader: feed.NewReader(log, stream, callTimeout)}
	r.task = task.Start(c.run)
	return r
}

// View returns the newest view.
func (r *Roster) View() *View { return r.view.Load() }

// SetPools tells which pools this entry owns; the next heartbeat says so at once.
func (r *Roster) SetPools(pools map[string]int64) { r.task.TrySend(owns{pools}) }

// Leave says that the entry is about to stop, and waits until the store knows.
func (r *Roster) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, r.task, func(reply chan<- struct{}) message { return leaves{reply} })
	return err
}

// Close stops the task.
func (r *Roster) Close() { r.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(c)
			c.beat(ctx)
		case <-tick.C:
			began := time.Now()
			c.round(ctx)
			tick.Reset(max(c.interval()-time.Since(began), 0))
		}
	}
}

// interval is the time from one heartbeat to the next; a store that is slow does not
// stretch it.
func (c *core) interval() time.Duration {
	if !c.down && !c.r.View().Settled {
		return startInterval
	}
	return beatInterval
}

func (m owns) handle(c *core) { c.mine.Pools = m.pools }

func (m leaves) handle(c *core) {
	c.mine.Leaving, c.mine.Pools = true, nil
	c.beat(context.Background())
	m.reply <- struct{}{}
}

func (c *core) round(ctx context.Context) {
	began := time.Now()
	if c.beat(ctx) {
		c.lost = time.Time{}
	} else {
		c.lose(began)
	}
	if err := c.read(ctx); err != nil {
		c.lose(began)
		if !c.down {
			c.r.logger.Warn("entries: store lost", "err", err)
		}
		c.down = true
		return
	}
	if c.down {
		c.r.logger.Info("entries: store regained")
	}
	c.down = false
	c.publish(time.Now(), began)
}

// lose publishes since when the store is away.
func (c *core) lose(at time.Time) {
	if !c.lost.IsZero() {
		return
	}
	c.lost = at
	v := *c.r.view.Load()
	v.StoreLostSince = at
	c.r.view.Store(&v)
}

// beat writes the heartbeat, and reports whether the store has it. A failure only
// makes this entry look older.
func (c *core) beat(ctx context.Context) bool {
	c.mine.Seq++
	value, err := codec.EncodeFrame(c.mine)
	if err != nil {
		c.r.logger.Error("heartbeat not encoded", "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.r.log.Append(ctx, stream, []port.Record{{Key: c.mine.Name, Value: value}}, nil, -1); err != nil {
		c.r.logger.Debug("heartbeat not written", "err", err)
		return false
	}
	return true
}

// read takes in all heartbeats since the last read.
func (c *core) read(ctx context.Context) error {
	entries, err := c.reader.Poll(ctx, 0)
	if err != nil {
		return err
	}
	c.take(entries)
	return nil
}

func (c *core) take(entries []port.Record) {
	now := time.Now()
	for _, e := range entries {
		if e.Value == nil {
			delete(c.rows, e.Key)
			continue
		}
		b, err := codec.DecodeFrame[Heartbeat](e.Value)
		if err != nil {
			c.r.logger.Warn("heartbeat not readable", "entry", e.Key, "err", err)
			continue
		}
		old := c.rows[b.Name]
		if old != nil && (b.Incarnation < old.beat.Incarnation || (b.Incarnation == old.beat.Incarnation && b.Seq <= old.beat.Seq)) {
			continue
		}
		c.rows[b.Name] = &row{beat: b, changed: now}
	}
}

func (c *core) publish(now, began time.Time) {
	if c.since.IsZero() || now.Sub(c.last) > deadAfter/2 {
		// Silence while nothing could be read is no silence of the entries.
		c.since = now
	}
	c.last = now
	v := &View{Alive: map[string]Heartbeat{}, Owners: map[string]Owner{}, StoreLostSince: c.lost, AsOf: began}
	v.Settled = now.Sub(c.since) >= settleAfter
	for name, r := range c.rows {
		silent := now.Sub(later(r.changed, c.since))
		if silent > forgetAfter {
			delete(c.rows, name)
		}
		if silent > deadAfter || r.beat.Leaving {
			continue
		}
		v.Alive[name] = r.beat
		for pool, epoch := range r.beat.Pools {
			if epoch > v.Owners[pool].Epoch {
				v.Owners[pool] = Owner{Name: name, Address: r.beat.Address, Epoch: epoch}
			}
		}
	}
	c.r.view.Store(v)
	c.r.onView(v)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
