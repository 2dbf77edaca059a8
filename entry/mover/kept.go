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
	// keyArmed holds the machines that the holder may have ordered lately. It also
	// confirms the claim when there is nothing else to write.
	keyArmed = "/o"
	// armedSeparator stands between the machines of that record, and ageSeparator
	// between a machine and the age of its last order, in milliseconds. Only a holder
	// that gives no more orders writes ages.
	armedSeparator, ageSeparator = " ", "="
	// leaveTimeout bounds the last write of a holder that stops.
	leaveTimeout = 300 * time.Millisecond
)

// kept is what earlier holders have stored.
type kept struct {
	// begun holds the machines of waves whose maintenance has begun.
	begun map[string]bool
	// seen holds when waves were first seen, by number, in milliseconds since 1970.
	seen map[int64]int64
	// armed holds the machines that the last holder may have ordered lately, and the
	// least age of its last order; 0 when the holder may have gone on.
	armed map[string]time.Duration
}

func load(ctx context.Context, won *claim.Claim) (kept, error) {
	k := kept{begun: map[string]bool{}, seen: map[int64]int64{}, armed: map[string]time.Duration{}}
	var bad error
	err := won.Load(ctx, func(e port.Record) {
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keySeen); ok {
			bad = errors.Join(bad, k.takeSeen(rest, string(e.Value)))
		}
		if rest, ok := strings.CutPrefix(e.Key, ClaimName+keyBegun); ok {
			k.begun[rest] = true
		}
		if e.Key == ClaimName+keyArmed {
			k.armed = readArmed(string(e.Value))
		}
	})
	return k, errors.Join(err, bad)
}

func (k kept) takeSeen(wave, at string) error {
	number, err := strconv.ParseInt(wave, 10, 64)
	if err != nil {
		return fault.At("load", ClaimName, err)
	}
	k.seen[number], err = strconv.ParseInt(at, 10, 64)
	return fault.At("load", ClaimName, err)
}

// age is how long ago a wave was first seen, and whether some holder has recorded it.
// The clocks of entries differ, so it is only as good as they are.
func (k kept) age(w *port.Wave, now time.Time) (time.Duration, bool) {
	at, ok := k.seen[w.Number]
	age := time.Duration(now.UnixMilli()-at) * time.Millisecond
	return max(min(age, w.TimeLimit), 0), ok
}

// seenEntry records when a wave was first seen.
func seenEntry(w *port.Wave, now time.Time) port.Record {
	return port.Record{
		Key:   ClaimName + keySeen + strconv.FormatInt(w.Number, 10),
		Value: []byte(strconv.FormatInt(now.UnixMilli(), 10)),
	}
}

func readArmed(value string) map[string]time.Duration {
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

// free is from when on the armed machines may be ordered about by a holder that
// begins now, when orders have to be a time apart.
func (k kept) free(now time.Time, apart time.Duration) map[string]time.Time {
	out := make(map[string]time.Time, len(k.armed))
	for machine, age := range k.armed {
		out[machine] = now.Add(apart - age)
	}
	return out
}

// armedEntry records the machines that may be ordered from now on.
func armedEntry(armed map[string]time.Time) port.Record {
	names := strings.Join(slices.Sorted(maps.Keys(armed)), armedSeparator)
	return port.Record{Key: ClaimName + keyArmed, Value: []byte(names + armedSeparator)}
}

// leftEntry records when the machines were last ordered by a holder that gives no more
// orders.
func leftEntry(sent map[string]time.Time, now time.Time, apart time.Duration) port.Record {
	var rows []string
	for _, machine := range slices.Sorted(maps.Keys(sent)) {
		// The order itself may have followed after the host was asked to be emptied.
		if age := now.Sub(sent[machine]) - askTimeout; age < apart {
			rows = append(rows, machine+ageSeparator+strconv.FormatInt(max(age, 0).Milliseconds(), 10))
		}
	}
	return port.Record{Key: ClaimName + keyArmed, Value: []byte(strings.Join(rows, armedSeparator) + armedSeparator)}
}

// leave tells the next holder what it need not wait for. It may only run once nothing
// is under way; without it the next holder waits longer.
func (c *core) leave() {
	if c.writing {
		return
	}
	now := time.Now()
	apart := c.settings.Term + callTimeout
	// Orders of the holder before this one may be as young.
	for machine, free := range c.earlier {
		if at := free.Add(-apart); at.After(c.sent[machine]) {
			c.sent[machine] = at
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := c.claim.Append(ctx, append(c.pending, leftEntry(c.sent, now, apart))); err != nil {
		c.logger.Warn("last orders not recorded", "err", err)
	}
}
