package mover

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

const (
	// keyStarted is the prefix of the keys of machines that need no more steps in a wave.
	keyStarted = "/b/"
	// keySeen is the prefix of the keys of waves. The value is when the first holder saw the
	// wave, in milliseconds since 1970.
	keySeen = "/s/"
	// keyAuthorized is the key of the record of the machines to which the holder may have sent
	// orders recently. Writing the record also confirms the claim when there is nothing else to
	// write.
	keyAuthorized = "/o"
	// keyForecast is the key of the record of the turns that the forecast has observed.
	keyForecast = "/f"
	// machineSeparator separates the machines of that record. ageSeparator separates a machine
	// from the age of its last order, in milliseconds. Only a holder that sends no more orders
	// writes ages.
	machineSeparator, ageSeparator = " ", "="
	// handOverTimeout bounds the last write of a holder that stops.
	handOverTimeout = 300 * time.Millisecond
)

// storedState is what earlier holders have stored.
type storedState struct {
	// started holds the machines that need no more steps in a wave, under the keys that
	// startedKey returns.
	started map[string]bool
	// seenAt holds, by wave number, when a wave was first seen, in milliseconds since 1970.
	seenAt map[int64]int64
	// authorized holds the machines to which the last holder may have sent orders recently.
	authorized map[string]lastOrder
	// turns is what earlier holders have observed of the turns of the pools, or nil.
	turns *demand.History
}

// lastOrder is what a holder has recorded of its orders to a machine.
type lastOrder struct {
	// age is the minimum age of the last order. It is 0 if the holder may have sent orders until its end.
	age time.Duration
	// final reports whether neither that holder nor one before it can send further orders.
	final bool
}

// readStored reads what earlier holders have stored.
func readStored(ctx context.Context, acquired *claim.Claim) (storedState, error) {
	stored := storedState{started: map[string]bool{}, seenAt: map[int64]int64{}, authorized: map[string]lastOrder{}}
	err := acquired.Load(ctx, func(e port.Record) {
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keySeen); ok {
			stored.addSeen(rest, string(e.Value))
		}
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keyStarted); ok {
			stored.started[rest] = true
		}
		if e.Key == ClaimName+keyAuthorized {
			stored.authorized = parseAuthorized(string(e.Value))
		}
		if e.Key == ClaimName+keyForecast {
			// Without a history, the forecast learns anew.
			if snapshot, err := codec.DecodeFrame[demand.Snapshot](e.Value); err == nil {
				stored.turns = snapshot.History()
			}
		}
	})
	return stored, err
}

// addSeen records when a wave was first seen. A wave whose record cannot be read counts as not seen
// before, so that the machines still get a holder.
func (s storedState) addSeen(wave, at string) {
	number, err := strconv.ParseInt(wave, 10, 64)
	seenAt, atErr := strconv.ParseInt(at, 10, 64)
	if err == nil && atErr == nil {
		s.seenAt[number] = seenAt
	}
}

// waveAge returns how long ago a wave was first seen, and whether a holder has recorded that.
// The error of the age is the difference between the clocks of the entries.
func (s storedState) waveAge(w *port.Wave, now time.Time) (time.Duration, bool) {
	at, ok := s.seenAt[w.Number]
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return max(min(age, w.TimeLimit), 0), ok
}

// seenRecord records when a wave was first seen.
func seenRecord(w *port.Wave, now time.Time) port.Record {
	return port.Record{
		Key:   ClaimName + keySeen + strconv.FormatInt(w.Number, 10),
		Value: []byte(strconv.FormatInt(now.UnixMilli(), 10)),
	}
}

// parseAuthorized decodes the record of authorized machines.
func parseAuthorized(value string) map[string]lastOrder {
	out := map[string]lastOrder{}
	for _, row := range strings.Fields(value) {
		machine, age, _ := strings.Cut(row, ageSeparator)
		// A machine without a readable age counts as one that is still being ordered.
		ms, err := strconv.ParseInt(age, 10, 64)
		if err != nil {
			ms = 0
		}
		out[machine] = lastOrder{age: time.Duration(ms) * time.Millisecond, final: err == nil}
	}
	return out
}

// earlierOrders returns the bounds of a holder that starts now for the authorized machines.
func (s storedState) earlierOrders(now time.Time, t upkeep.Timing) map[string]earlierOrders {
	out := make(map[string]earlierOrders, len(s.authorized))
	for machine, last := range s.authorized {
		e := earlierOrders{orderableAt: now.Add(t.OrderableAfter() - last.age)}
		if !last.final {
			e.settledAt = now.Add(t.SettledAfter())
		}
		out[machine] = e
	}
	return out
}

// authorizedRecord records the machines to which the holder, or one before it, may send orders from now on.
func authorizedRecord(authorized map[string]bool) port.Record {
	names := strings.Join(slices.Sorted(maps.Keys(authorized)), machineSeparator)
	return port.Record{Key: ClaimName + keyAuthorized, Value: []byte(names + machineSeparator)}
}

// authorizedBytes is what the store counts for the record of authorized machines.
func authorizedBytes(authorized map[string]bool) int {
	empty := authorizedRecord(nil)
	size := empty.StoredBytes()
	for id := range authorized {
		size += len(id) + len(machineSeparator)
	}
	return size
}

// forecastRecord returns the record of what was observed of the turns of the pools.
func forecastRecord(h *demand.History) (port.Record, error) {
	value, err := codec.EncodeFrame(h.Snapshot())
	return port.Record{Key: ClaimName + keyForecast, Value: value}, err
}

// lastOrdersRecord records the age of the last order to each machine, for a holder that sends no
// more orders. Orders older than interval are left out. Machines that a holder before it may still order are
// recorded without an age.
func lastOrdersRecord(orderedAt map[string]time.Time, unsettled map[string]bool, now time.Time, interval time.Duration) port.Record {
	rows := slices.Sorted(maps.Keys(unsettled))
	for _, machine := range slices.Sorted(maps.Keys(orderedAt)) {
		if unsettled[machine] {
			continue
		}
		// orderedAt is when the host was asked to become empty. The order itself may have
		// followed up to askTimeout later.
		if age := now.Sub(orderedAt[machine]) - askTimeout; age < interval {
			rows = append(rows, machine+ageSeparator+strconv.FormatInt(max(age, 0).Milliseconds(), 10))
		}
	}
	return port.Record{Key: ClaimName + keyAuthorized, Value: []byte(strings.Join(rows, machineSeparator) + machineSeparator)}
}

// handOver records how old the last orders are, so that the next holder waits no longer than
// necessary. Without this record the next holder waits longer. It may only run when nothing is
// in flight.
func (c *core) handOver() {
	if c.writeInFlight {
		return
	}
	now := time.Now()
	interval := c.timing.OrderableAfter()
	// Orders of the previous holder may be just as recent.
	for machine, e := range c.earlier {
		if at := e.orderableAt.Add(-interval); at.After(c.orderedAt[machine]) {
			c.orderedAt[machine] = at
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	ages := lastOrdersRecord(c.orderedAt, c.unsettled(now), now, interval)
	records := c.takeUnwritten(ages.StoredBytes())
	if c.fitsRecord(ages.StoredBytes()) {
		records = append(records, ages)
	}
	if _, err := c.claim.Append(ctx, records); err != nil {
		c.logger.Warn("ages of the last orders not recorded; the next holder waits longer before it sends orders",
			"err", err)
	}
}
