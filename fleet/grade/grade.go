// Package grade tells the jobs of a queue apart by their size, and keeps how often the jobs of each size get
// capacity. It reads no clock and does no I/O.
package grade

import "slices"

// Grade is the size of a job against those that its queue has seen lately.
type Grade uint8

// The grades. Most jobs are in Rest.
const (
	Rest Grade = iota
	// Upper is the fifth below the largest tenth.
	Upper
	// Largest is the largest tenth.
	Largest
	// Grades is the number of grades.
	Grades
)

// String returns the name of the grade in metrics and reports.
func (g Grade) String() string { return [...]string{"rest", "fifth-below", "largest-tenth"}[g] }

const (
	// sizesKept is the number of newest sizes that a queue keeps, and minSizes the number that quantiles need.
	sizesKept, minSizes = 1024, 10
	// restShare and upperShare are the quantiles up to which jobs are in Rest and in Upper.
	restShare, upperShare = 0.7, 0.9
)

// Sizes holds the sizes of the newest jobs of a queue. The zero value is ready to use.
type Sizes struct {
	// newest is a ring, of which next is the oldest element once it is full. sorted has the same elements.
	newest, sorted []int64
	next           int
}

// Add adds the size of a job and returns its grade. A job is in Rest while too few sizes are known.
func (s *Sizes) Add(size int64) Grade {
	if len(s.newest) < sizesKept {
		s.newest = append(s.newest, size)
	} else {
		old, _ := slices.BinarySearch(s.sorted, s.newest[s.next])
		s.sorted = slices.Delete(s.sorted, old, old+1)
		s.newest[s.next] = size
		s.next = (s.next + 1) % sizesKept
	}
	at, _ := slices.BinarySearch(s.sorted, size)
	s.sorted = slices.Insert(s.sorted, at, size)
	switch {
	case len(s.sorted) < minSizes || size <= s.quantile(restShare):
		return Rest
	case size <= s.quantile(upperShare):
		return Upper
	}
	return Largest
}

// quantile returns the largest size of a share of the smallest ones.
func (s *Sizes) quantile(share float64) int64 {
	return s.sorted[max(int(share*float64(len(s.sorted)))-1, 0)]
}
