package mover

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

const (
	// keyBegun begins the keys of machines whose maintenance has begun.
	keyBegun = "/b/"
	// keySeen begins the keys of waves, with when the first holder saw them, in
	// milliseconds since 1970.
	keySeen = "/s/"
	// keyAuthorized holds the machines that the holder may have ordered lately. It also
	// confirms the claim when there is nothing else to write.
	keyAuthorized = "/o"
	// machineSeparator stands between the machines of that record, and ageSeparator
	// between a machine and the age of its last order, in milliseconds. Only a holder
	// that gives no more orders writes ages.
	machineSeparator, ageSeparator = " ", "="
	// handOverTimeout bounds the last write of a holder that stops.
	handOverTimeout = 300 * time.Millisecond
)

// storedState is what earlier holders have stored.
type storedState struct {
	// begun holds the machines of waves whose maintenance has begun.
	begun map[string]bool
	// seenAt holds when waves were first seenAt, by number, in milliseconds since 1970.
	seenAt map[int64]int64
	// authorized holds the machines that the last holder may have ordered lately, and the
	// least age of its last order; 0 when the holder may have gone on.
	authorized map[string]time.Duration
}

func readStored(ctx context.Context, won *claim.Claim) (storedState, error) {
	k := storedState{begun: map[string]bool{}, seenAt: map[int64]int64{}, authorized: map[string]time.Duration{}}
	var decodeErr error
	err := won.Load(ctx, func(e port.Entry) {
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keySeen); ok {
			decodeErr = errors.Join(decodeErr, k.addSeen(rest, string(e.Value)))
		}
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keyBegun); ok {
			k.begun[rest] = true
		}
		if e.Key == ClaimName+keyAuthorized {
			k.authorized = parseAuthorized(string(e.Value))
		}
	})
	return k, errors.Join(err, decodeErr)
}

func (k storedState) addSeen(wave, at string) error {
	number, err := strconv.ParseInt(wave, 10, 64)
	if err != nil {
		return fault.At("load", ClaimName, err)
	}
	k.seenAt[number], err = strconv.ParseInt(at, 10, 64)
	return fault.At("load", ClaimName, err)
}

// waveAge is how long ago a wave was first seen, and whether some holder has recorded it.
// The clocks of entries differ, so it is only as good as they are.
func (k storedState) waveAge(w *port.Wave, now time.Time) (time.Duration, bool) {
	at, ok := k.seenAt[w.Number]
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return max(min(age, w.Within), 0), ok
}

// seenEntry records when a wave was first seen.
func seenEntry(w *port.Wave, now time.Time) port.Entry {
	return port.Entry{
		Key:   ClaimName + keySeen + strconv.FormatInt(w.Number, 10),
		Value: []byte(strconv.FormatInt(now.UnixMilli(), 10)),
	}
}

func parseAuthorized(value string) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, row := range strings.Fields(value) {
		machine, age, _ := strings.Cut(row, ageSeparator)
		// A row without a readable age is as if it had just been ordered.
		ms, err := strconv.ParseInt(age, 10, 64)
		if err != nil {
			ms = 0
		}
		out[machine] = time.Duration(ms) * time.Millisecond
	}
	return out
}

// orderableAt is from when on the armed machines may be ordered about by a holder that
// begins now, when orders have to be a time apart.
func (k storedState) orderableAt(now time.Time, interval time.Duration) map[string]time.Time {
	out := make(map[string]time.Time, len(k.authorized))
	for machine, age := range k.authorized {
		out[machine] = now.Add(interval - age)
	}
	return out
}

// authorizedEntry records the machines that may be ordered from now on.
func authorizedEntry(authorized map[string]time.Time) port.Entry {
	names := strings.Join(slices.Sorted(maps.Keys(authorized)), machineSeparator)
	return port.Entry{Key: ClaimName + keyAuthorized, Value: []byte(names + machineSeparator)}
}

// lastOrdersEntry records when the machines were last ordered by a holder that gives no more
// orders.
func lastOrdersEntry(orderedAt map[string]time.Time, now time.Time, interval time.Duration) port.Entry {
	var rows []string
	for _, machine := range slices.Sorted(maps.Keys(orderedAt)) {
		// The order itself may have followed after the host was asked to be emptied.
		if age := now.Sub(orderedAt[machine]) - askTimeout; age < interval {
			rows = append(rows, machine+ageSeparator+strconv.FormatInt(max(age, 0).Milliseconds(), 10))
		}
	}
	return port.Entry{Key: ClaimName + keyAuthorized, Value: []byte(strings.Join(rows, machineSeparator) + machineSeparator)}
}

// handOver tells the next holder what it need not wait for. It may only run once nothing
// is under way; without it the next holder waits longer.
func (c *core) handOver() {
	if c.writing {
		return
	}
	now := time.Now()
	interval := c.settings.Term + callTimeout
	// Orders of the holder before this one may be as young.
	for machine, orderableAt := range c.orderableAt {
		if at := orderableAt.Add(-interval); at.After(c.orderedAt[machine]) {
			c.orderedAt[machine] = at
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if _, err := c.claim.Append(ctx, append(c.unwritten, lastOrdersEntry(c.orderedAt, now, interval))); err != nil {
		c.logger.Warn("last orders not recorded", "err", err)
	}
}
