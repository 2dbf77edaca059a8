package admit

import "time"

const (
	// rememberFor is how long a refused job is remembered since its last submission, and maxRefused the largest number
	// of those that are.
	rememberFor = 30 * time.Second
	maxRefused  = 1 << 16
)

// refused remembers when jobs that were refused were first submitted. A job that returns has no more time than one that
// was accepted when it was first submitted.
type refused struct {
	jobs map[string]attempt
	// order holds the refusals in their order.
	order []refusal
}

type attempt struct{ first, last time.Time }

type refusal struct {
	id string
	at time.Time
}

func newRefused() *refused { return &refused{jobs: map[string]attempt{}} }

// firstAt returns when a job was first submitted, which is now unless it is remembered.
func (r *refused) firstAt(id string, now time.Time) time.Time {
	if a, ok := r.jobs[id]; ok && now.Sub(a.last) <= rememberFor {
		return a.first
	}
	return now
}

func (r *refused) note(id string, first, now time.Time) {
	r.jobs[id] = attempt{first, now}
	r.order = append(r.order, refusal{id, now})
	for len(r.order) > 0 && (now.Sub(r.order[0].at) > rememberFor || len(r.order) > maxRefused) {
		if oldest := r.order[0]; r.jobs[oldest.id].last.Equal(oldest.at) {
			delete(r.jobs, oldest.id)
		}
		r.order = r.order[1:]
	}
}

func (r *refused) forget(id string) { delete(r.jobs, id) }
