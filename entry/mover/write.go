package mover

import (
	"errors"
	"maps"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/port"
)

func (m writeResult) handle(c *core) {
	c.writeInFlight = false
	if m.Err != nil {
		c.fenced = errors.Is(m.Err, claim.ErrLost)
		return
	}
	c.confirmedAt = m.Sent
	if c.authorizing != nil {
		c.newlyAuthorized = len(c.authorizing) > len(c.authorized)
		c.authorized, c.authorizing = c.authorizing, nil
	}
}

// write starts the next write, if there is something to write or the claim has to be confirmed.
// Each write also records the machines to which this holder may send orders.
func (c *core) write() {
	now := time.Now()
	if c.writeInFlight || (len(c.unwritten)+len(c.toAuthorize) == 0 && now.Sub(c.confirmedAt) < confirmInterval) {
		return
	}
	maps.DeleteFunc(c.authorized, func(_ string, at time.Time) bool { return now.Sub(at) >= c.timing.OrderableAfter() })
	c.authorizing = maps.Clone(c.authorized)
	// A successor has to expect orders of earlier holders too.
	recorded := c.unsettled(now)
	for id := range c.authorized {
		recorded[id] = true
	}
	var later []string
	bytes := authorizedBytes(recorded)
	for _, id := range c.toAuthorize {
		if !recorded[id] {
			added := len(id) + len(machineSeparator)
			if !c.fitsRecord(bytes + added) {
				later = append(later, id)
				continue
			}
			bytes += added
		}
		c.authorizing[id], recorded[id] = now, true
	}
	c.toAuthorize = later
	authorized := authorizedRecord(recorded)
	records := append(c.takeUnwritten(authorized.StoredBytes()), authorized)
	c.writeInFlight = c.writer.Write(records)
}

// fitsRecord reports whether the store accepts a record of a number of bytes.
func (c *core) fitsRecord(bytes int) bool {
	return c.settings.MaxRecordBytes <= 0 || bytes <= c.settings.MaxRecordBytes
}

// takeUnwritten takes the records that fit into one append beside a number of bytes, in their order. Records
// that the store can never accept are dropped.
func (c *core) takeUnwritten(bytes int) []port.Record {
	var taken []port.Record
	for len(c.unwritten) > 0 {
		r := c.unwritten[0]
		if !c.fitsRecord(r.StoredBytes()) {
			c.logger.Error("record exceeds the limit of the store; dropped", "key", r.Key, "bytes", r.StoredBytes())
			c.unwritten = c.unwritten[1:]
			continue
		}
		if bytes += r.StoredBytes(); c.settings.MaxRequestBytes > 0 && bytes > c.settings.MaxRequestBytes {
			break
		}
		taken, c.unwritten = append(taken, r), c.unwritten[1:]
	}
	return taken
}

// claimIsFresh reports whether the claim has been confirmed recently enough for orders.
func (c *core) claimIsFresh(now time.Time) bool {
	return now.Sub(c.confirmedAt) <= c.timing.BeginWithin()
}

// mayOrder reports whether an order may be sent to a machine. Three conditions have to hold.
// The claim has been confirmed recently enough that no other holder can have finished its wait.
// If an earlier holder may have ordered the machine, the wait for its orders has ended, and the
// list of machines was requested late enough to show them. The store has recorded that this
// holder may send orders to the machine.
func (c *core) mayOrder(machine string, now time.Time) bool {
	if !c.claimIsFresh(now) {
		return false
	}
	if e, ok := c.earlier[machine]; ok && (now.Before(e.orderableAt) || !e.settled(c.listedAt)) {
		return false
	}
	_, ok := c.authorized[machine]
	return ok
}

// authorize has a machine authorized with the next write, unless that was done within the last
// confirmInterval.
func (c *core) authorize(machine string, now time.Time) {
	if at, ok := c.authorized[machine]; !ok || now.Sub(at) > confirmInterval {
		c.toAuthorize = append(c.toAuthorize, machine)
	}
}
