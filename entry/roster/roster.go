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
	// heartbeatInterval is the time between heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// deadAfter is the silence after which an entry is taken for dead; it spans
	// several heartbeats, so that a slow write is no death.
	deadAfter = 1500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// settleAfter is the time in which every live entry shows up that starts at the
	// same time; the platform starts all of them within 300 ms.
	settleAfter = 400 * time.Millisecond
	// startupInterval is the time between heartbeats until the view has settled.
	startupInterval = 100 * time.Millisecond
	// evictAfter is how long the row of a dead entry is kept.
	evictAfter = time.Minute
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

type setPools struct{ pools map[string]int64 }

type leave struct{ reply chan<- struct{} }

// row is what is known of one entry.
type row struct {
	heartbeat Heartbeat
	// changedAt is when the heartbeat was last seen to rise, on our clock.
	changedAt time.Time
}

// core is the state of the task.
type core struct {
	roster *Roster
	self   Heartbeat
	rows   map[string]*row
	// reader reads everybody's heartbeats.
	reader *feed.Reader
	// readingSince is from when on reads have succeeded without a longer gap.
	readingSince, lastRead time.Time
	storeDown              bool
	// storeLostSince is the view's Lost.
	storeLostSince time.Time
}

// Start starts the task for the entry that a heartbeat describes. Each new view is
// handed to onView.
func Start(log port.Log, self Heartbeat, logger *slog.Logger, onView func(*View)) *Roster {
	r := &Roster{log: log, logger: logger, onView: onView}
	r.view.Store(&View{})
	c := &core{roster: r, self: self, rows: map[string]*row{}, reader: feed.NewReader(log, stream, callTimeout)}
	r.task = task.Start(c.run)
	return r
}

// View returns the newest view.
func (r *Roster) View() *View { return r.view.Load() }

// SetPools tells which pools this entry owns; the next heartbeat says so at once.
func (r *Roster) SetPools(pools map[string]int64) { r.task.TrySend(setPools{pools}) }

// Leave says that the entry is about to stop, and waits until the store knows.
func (r *Roster) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, r.task, func(reply chan<- struct{}) message { return leave{reply} })
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
			c.writeHeartbeat(ctx)
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
	if !c.storeDown && !c.roster.View().Settled {
		return startupInterval
	}
	return heartbeatInterval
}

func (m setPools) handle(c *core) { c.self.Pools = m.pools }

func (m leave) handle(c *core) {
	c.self.Leaving, c.self.Pools = true, nil
	c.writeHeartbeat(context.Background())
	m.reply <- struct{}{}
}

func (c *core) round(ctx context.Context) {
	began := time.Now()
	if c.writeHeartbeat(ctx) {
		c.storeLostSince = time.Time{}
	} else {
		c.markStoreLost(began)
	}
	if err := c.readHeartbeats(ctx); err != nil {
		c.markStoreLost(began)
		if !c.storeDown {
			c.roster.logger.Warn("entries: store lost", "err", err)
		}
		c.storeDown = true
		return
	}
	if c.storeDown {
		c.roster.logger.Info("entries: store regained")
	}
	c.storeDown = false
	c.publishView(time.Now(), began)
}

// markStoreLost publishes since when the store is away.
func (c *core) markStoreLost(at time.Time) {
	if !c.storeLostSince.IsZero() {
		return
	}
	c.storeLostSince = at
	v := *c.roster.view.Load()
	v.StoreLostSince = at
	c.roster.view.Store(&v)
}

// writeHeartbeat writes the heartbeat, and reports whether the store has it. A failure only
// makes this entry look older.
func (c *core) writeHeartbeat(ctx context.Context) bool {
	c.self.Seq++
	value, err := codec.EncodeFrame(c.self)
	if err != nil {
		c.roster.logger.Error("heartbeat not encoded", "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.roster.log.Append(ctx, stream, []port.Record{{Key: c.self.Name, Value: value}}, nil, -1); err != nil {
		c.roster.logger.Debug("heartbeat not written", "err", err)
		return false
	}
	return true
}

// readHeartbeats takes in all heartbeats since the last readHeartbeats.
func (c *core) readHeartbeats(ctx context.Context) error {
	records, err := c.reader.Poll(ctx, 0)
	if err != nil {
		return err
	}
	c.applyHeartbeats(records)
	return nil
}

func (c *core) applyHeartbeats(records []port.Record) {
	now := time.Now()
	for _, e := range records {
		if e.Value == nil {
			delete(c.rows, e.Key)
			continue
		}
		b, err := codec.DecodeFrame[Heartbeat](e.Value)
		if err != nil {
			c.roster.logger.Warn("heartbeat not readable", "entry", e.Key, "err", err)
			continue
		}
		old := c.rows[b.Name]
		if old != nil && (b.Incarnation < old.heartbeat.Incarnation || (b.Incarnation == old.heartbeat.Incarnation && b.Seq <= old.heartbeat.Seq)) {
			continue
		}
		c.rows[b.Name] = &row{heartbeat: b, changedAt: now}
	}
}

func (c *core) publishView(now, began time.Time) {
	if c.readingSince.IsZero() || now.Sub(c.lastRead) > deadAfter/2 {
		// Silence while nothing could be read is no silence of the entries.
		c.readingSince = now
	}
	c.lastRead = now
	v := &View{Alive: map[string]Heartbeat{}, Owners: map[string]Owner{}, StoreLostSince: c.storeLostSince, AsOf: began}
	v.Settled = now.Sub(c.readingSince) >= settleAfter
	for name, r := range c.rows {
		silent := now.Sub(later(r.changedAt, c.readingSince))
		if silent > evictAfter {
			delete(c.rows, name)
		}
		if silent > deadAfter || r.heartbeat.Leaving {
			continue
		}
		v.Alive[name] = r.heartbeat
		for pool, epoch := range r.heartbeat.Pools {
			if epoch > v.Owners[pool].Epoch {
				v.Owners[pool] = Owner{Name: name, Address: r.heartbeat.Address, Epoch: epoch}
			}
		}
	}
	c.roster.view.Store(v)
	c.roster.onView(v)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
