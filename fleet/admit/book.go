package admit

import (
	"container/heap"
	"time"
)

// book holds the work of the jobs that a pool has taken and not done.
type book struct {
	jobs map[string]*entry
	// inTime holds the jobs that can still meet their objective, the one that is late first at the top.
	inTime byLateness
	// work is the work of those, by class, and late that of the others.
	work map[Class]int64
	late int64
}

// entry is a job of the book.
type entry struct {
	id     string
	class  Class
	left   int64
	lateAt time.Time
	// takenAt is when the job was taken after a decision, and foreseen the wait that was foreseen then. Once the job
	// has started, takenAt is zero.
	takenAt  time.Time
	foreseen time.Duration
	// position is the index in inTime, or -1 for a job that is late.
	position int
}

func newBook() *book { return &book{jobs: map[string]*entry{}, work: map[Class]int64{}} }

// add adds a job, unless it is known.
func (b *book) add(j Job, now time.Time) bool {
	if b.jobs[j.ID] != nil {
		return false
	}
	e := &entry{id: j.ID, class: j.Class, left: j.Work, lateAt: j.LateAt, position: -1}
	b.jobs[j.ID] = e
	if !now.Before(j.LateAt) {
		b.late += e.left
		return true
	}
	b.work[e.class] += e.left
	heap.Push(&b.inTime, e)
	return true
}

// reduce records that work of a job was done.
func (b *book) reduce(id string, work int64, now time.Time) {
	b.expire(now)
	e := b.jobs[id]
	if e == nil {
		return
	}
	work = min(work, e.left)
	e.left -= work
	b.subtract(e, work)
}

// remove removes a job.
func (b *book) remove(id string) {
	e := b.jobs[id]
	if e == nil {
		return
	}
	b.subtract(e, e.left)
	if e.position >= 0 {
		heap.Remove(&b.inTime, e.position)
	}
	delete(b.jobs, id)
}

// subtract takes work off the sum that a job is part of.
func (b *book) subtract(e *entry, work int64) {
	if e.position < 0 {
		b.late -= work
		return
	}
	if b.work[e.class] -= work; b.work[e.class] == 0 {
		delete(b.work, e.class)
	}
}

// expire moves the jobs that have become late.
func (b *book) expire(now time.Time) {
	for len(b.inTime) > 0 && !now.Before(b.inTime[0].lateAt) {
		e := b.inTime[0]
		b.subtract(e, e.left)
		heap.Pop(&b.inTime)
		b.late += e.left
	}
}

// ahead returns the work of the classes before one, and of that one.
func (b *book) ahead(c Class) (before, same int64) {
	for class, work := range b.work {
		if class.before(c) {
			before += work
		}
	}
	return before, b.work[c]
}

// byLateness is a heap. It implements [heap.Interface].
type byLateness []*entry

func (b byLateness) Len() int           { return len(b) }
func (b byLateness) Less(i, k int) bool { return b[i].lateAt.Before(b[k].lateAt) }
func (b byLateness) Swap(i, k int) {
	b[i], b[k] = b[k], b[i]
	b[i].position, b[k].position = i, k
}

// Push implements [heap.Interface].
func (b *byLateness) Push(x any) {
	e := x.(*entry)
	e.position = len(*b)
	*b = append(*b, e)
}

// Pop implements [heap.Interface].
func (b *byLateness) Pop() any {
	last := len(*b) - 1
	e := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	e.position = -1
	return e
}
