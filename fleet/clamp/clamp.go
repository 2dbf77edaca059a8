// Package clamp does arithmetic that saturates where the language's wraps around or is undefined. Callers
// choose estimates, sizes and times, and no choice may turn a large sum into a negative one.
package clamp

import (
	"math"
	"time"
)

// Add returns a + b, or the nearest value that T can hold.
func Add[T ~int64](a, b T) T {
	switch {
	case b > 0 && a > math.MaxInt64-b:
		return math.MaxInt64
	case b < 0 && a < math.MinInt64-b:
		return math.MinInt64
	}
	return a + b
}

// Sub returns a - b, or the nearest value that T can hold.
func Sub[T ~int64](a, b T) T {
	switch {
	case b < 0 && a > math.MaxInt64+b:
		return math.MaxInt64
	case b > 0 && a < math.MinInt64+b:
		return math.MinInt64
	}
	return a - b
}

// Int returns the integer part of f, or the nearest value that T can hold. It is 0 if f is not a number.
func Int[T ~int64](f float64) T {
	switch {
	case math.IsNaN(f):
		return 0
	case f >= math.MaxInt64:
		return math.MaxInt64
	case f <= math.MinInt64:
		return math.MinInt64
	}
	return T(f)
}

// Millis returns a number of milliseconds as a duration, or the nearest duration.
func Millis(ms int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	switch {
	case ms > limit:
		return math.MaxInt64
	case ms < -limit:
		return math.MinInt64
	}
	return time.Duration(ms) * time.Millisecond
}
