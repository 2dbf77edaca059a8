package model

import (
	"math/rand/v2"
	"time"
)

// restFactor is the factor of a kind's mean rate outside its turns.
const restFactor = 0.05

// TurnFactor returns the factor of the mean rate in a turn that takes one of n equal parts of the time.
func TurnFactor(n int) float64 { return float64(n) - restFactor*float64(n-1) }

// Turns lets each of a number of kinds have its turn after the other, each for a duration.
func Turns(name string, kinds int, turn, length time.Duration) Shape {
	return Shape{name, func(kind int, at time.Duration) float64 {
		if int(at/turn)%kinds == kind {
			return TurnFactor(kinds)
		}
		return restFactor
	}, length}
}

// UnevenTurns is like [Turns], but turns differ in length by up to a half, and come in random order.
func UnevenTurns(name string, kinds int, turn, length time.Duration, ordered bool, seed uint64) Shape {
	random := rand.New(rand.NewPCG(seed, 2))
	type span struct {
		until time.Duration
		kind  int
	}
	var spans []span
	for at, kind := time.Duration(0), 0; at < length; kind++ {
		at += time.Duration((0.5 + random.Float64()) * float64(turn))
		next := kind % kinds
		if !ordered {
			next = random.IntN(kinds)
		}
		spans = append(spans, span{at, next})
	}
	return Shape{name, func(kind int, at time.Duration) float64 {
		for _, s := range spans {
			if at < s.until {
				if s.kind == kind {
					return TurnFactor(kinds)
				}
				return restFactor
			}
		}
		return restFactor
	}, length}
}

// Single lets each kind have one turn in the whole time, whose rate changes from second to second.
func Single(kinds int, length time.Duration, seed uint64) Shape {
	random := rand.New(rand.NewPCG(seed, 3))
	turn := length / time.Duration(kinds)
	levels := make([]float64, length/time.Second+1)
	for i := range levels {
		levels[i] = 0.3 + 1.4*random.Float64()
	}
	return Shape{"single-turns", func(kind int, at time.Duration) float64 {
		if int(at/turn) == kind {
			return TurnFactor(kinds) * levels[at/time.Second]
		}
		return restFactor
	}, length}
}

// Steady is a load without turns.
func Steady(length time.Duration) Shape {
	return Shape{"steady", func(int, time.Duration) float64 { return 1 }, length}
}

// Shift moves the load of all kinds to the first one for good after a third of the time.
func Shift(kinds int, length time.Duration) Shape {
	return Shape{"lasting-shift", func(kind int, at time.Duration) float64 {
		switch {
		case at < length/3:
			return 1
		case kind == 0:
			return float64(kinds) * 0.9
		}
		return restFactor
	}, length}
}

// Flood adds a flood of one kind to another shape.
func Flood(s Shape, kind int, from, duration time.Duration, factor float64) Shape {
	return Shape{s.Name + "-flood", func(k int, at time.Duration) float64 {
		f := s.Factor(k, at)
		if k == kind && at >= from && at < from+duration {
			f += factor
		}
		return f
	}, s.Length}
}

// Missing takes the turns of a shape out of a span of time.
func Missing(s Shape, from, until time.Duration) Shape {
	return Shape{s.Name + "-missing", func(k int, at time.Duration) float64 {
		if at >= from && at < until {
			return restFactor
		}
		return s.Factor(k, at)
	}, s.Length}
}

// QuietThenTurns begins with a time in which hardly any work arrives.
func QuietThenTurns(kinds int, quiet, turn, length time.Duration) Shape {
	turns := Turns("", kinds, turn, length)
	return Shape{"quiet-then-turns", func(k int, at time.Duration) float64 {
		if at < quiet {
			return restFactor
		}
		return turns.Factor(k, at-quiet)
	}, length}
}

// Shapes returns the loads of the experiment.
func Shapes(kinds int, seed uint64) []Shape {
	const turn, length = 4500 * time.Millisecond, 41 * time.Second
	turns := Turns("turns", kinds, turn, length)
	floods := Flood(Flood(Single(kinds, length, seed), kinds-1, 2500*time.Millisecond, 6*time.Second, 2), 0, 13*time.Second, 4*time.Second, 1.8)
	floods.Name = "single-turns-floods"
	overload := Flood(Turns("", kinds, turn, 2*length), 0, turn*time.Duration(kinds), turn, 11*TurnFactor(kinds))
	overload.Name = "turns-overload"
	return []Shape{
		Single(kinds, 34*time.Second, seed),
		turns,
		floods,
		Turns("turns-9s", kinds, 2*turn, 2*length),
		Turns("turns-2.5s", kinds, 2500*time.Millisecond, length),
		UnevenTurns("uneven-turns", kinds, turn, 2*length, true, seed),
		UnevenTurns("random-turns", kinds, turn, 2*length, false, seed),
		Flood(turns, kinds-1, 6*time.Second, 4*time.Second, 2),
		Missing(turns, 18*time.Second, 22500*time.Millisecond),
		QuietThenTurns(kinds, 10*time.Second, turn, length),
		Steady(length),
		Shift(kinds, length),
		overload,
	}
}

// Small and Large are fleets like those of the users, with four kinds and a standby pool.
var (
	Small = Fleet{[]Kind{
		{"a", 8, 7.7, 0.489, 2, 6 * 0.88 * 0.8, 800 * time.Millisecond, 0},
		{"b", 9, 0.91, 4.62, 2, 8 * 1.9, 2100 * time.Millisecond, 0},
		{"c", 11, 9.6, 0.489, 2, 6 * 0.88 * 0.8, 800 * time.Millisecond, 0},
		{"d", 12, 1.12, 4.62, 2, 8 * 1.9, 2100 * time.Millisecond, 0},
	}, 8, 51, Outage{}, false, nil, false}
	Large = Fleet{[]Kind{
		{"a", 194, 42.2, 0.277, 2, 8 * 2.2 * 0.8, time.Second, 0},
		{"b", 218, 13.4, 0.981, 2, 8 * 4.8, 1300 * time.Millisecond, 0},
		{"c", 244, 52.8, 0.277, 2, 8 * 2.2 * 0.8, time.Second, 0},
		{"d", 268, 16.4, 0.981, 2, 8 * 4.8, 1300 * time.Millisecond, 0},
	}, 176, 470, Outage{}, false, nil, false}
)
