package demand

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is a [History] as it is stored. Times are in milliseconds since 1970, and 0 for none.
type Snapshot struct {
	Pools     map[string]PoolSnapshot `cbor:"1,keyasint"`
	WorkSince int64                   `cbor:"2,keyasint"`
	LastStart int64                   `cbor:"3,keyasint"`
	Intervals []time.Duration         `cbor:"4,keyasint"`
	Returns   []float64               `cbor:"5,keyasint"`
	Chances   []float64               `cbor:"6,keyasint"`
	LastEnd   int64                   `cbor:"7,keyasint,omitempty"`
}

// PoolSnapshot is a [Pool] as it is stored.
type PoolSnapshot struct {
	Hosts     int   `cbor:"1,keyasint"`
	Capacity  int64 `cbor:"2,keyasint"`
	Peak      int64 `cbor:"3,keyasint"`
	InTurn    bool  `cbor:"4,keyasint"`
	Highest   int64 `cbor:"5,keyasint"`
	Sum       int64 `cbor:"6,keyasint"`
	Count     int64 `cbor:"7,keyasint"`
	StartedAt int64 `cbor:"8,keyasint"`
	Passed    int   `cbor:"9,keyasint"`
	Began     int64 `cbor:"10,keyasint"`
	Counted   bool  `cbor:"11,keyasint"`
	Pending   bool  `cbor:"12,keyasint"`
	Falling   bool  `cbor:"13,keyasint,omitempty"`
}

// Snapshot returns a copy of the history for the store.
func (h *History) Snapshot() Snapshot {
	s := Snapshot{
		Pools: make(map[string]PoolSnapshot, len(h.Pools)), WorkSince: millis(h.WorkSince), LastStart: millis(h.LastStart), LastEnd: millis(h.LastEnd),
		Intervals: slices.Clone(h.Intervals), Returns: slices.Clone(h.Returns), Chances: slices.Clone(h.Chances),
	}
	for name, p := range h.Pools {
		s.Pools[name] = PoolSnapshot{
			Hosts: p.Hosts, Capacity: p.Capacity, Peak: p.Peak, InTurn: p.InTurn, Highest: p.Highest, Sum: p.Sum, Count: p.Count,
			StartedAt: millis(p.StartedAt), Passed: p.Passed, Began: millis(p.Began), Counted: p.Counted, Pending: p.Pending, Falling: p.Falling,
		}
	}
	return s
}

// History returns the history of a snapshot. A snapshot that contradicts itself gives an empty history.
func (s Snapshot) History() *History {
	if len(s.Returns) != len(s.Chances) {
		return NewHistory()
	}
	h := &History{
		Pools: make(map[string]*Pool, len(s.Pools)), WorkSince: fromMillis(s.WorkSince), LastStart: fromMillis(s.LastStart), LastEnd: fromMillis(s.LastEnd),
		Intervals: slices.Clone(s.Intervals), Returns: slices.Clone(s.Returns), Chances: slices.Clone(s.Chances),
	}
	for name, p := range maps.All(s.Pools) {
		if min(int64(p.Passed), p.Count, p.Sum, p.Highest, p.Peak) < 0 {
			return NewHistory()
		}
		// A turn has at least one rate.
		h.Pools[name] = &Pool{
			Hosts: p.Hosts, Capacity: p.Capacity, Peak: p.Peak, InTurn: p.InTurn && p.Count > 0, Highest: p.Highest, Sum: p.Sum, Count: p.Count,
			StartedAt: fromMillis(p.StartedAt), Passed: p.Passed, Began: fromMillis(p.Began), Counted: p.Counted, Pending: p.Pending, Falling: p.Falling,
		}
	}
	return h
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
