package owner

import "carawaymux.dev/fleet/shard"

// The outcomes of the counter of jobs by size.
const (
	sizeAccepted  = "accepted"
	sizeInTime    = "in-time"
	sizeLate      = "late"
	sizeFailed    = "failed"
	sizeCancelled = "cancelled"
)

// countJob counts an outcome of a job by its queue and size.
func (c *core) countJob(j *shard.Job, outcome string) {
	if j.Spec.Queue == "" {
		return // A cancellation arrived, and the submission has not.
	}
	c.deps.Stats.Add("jobs-by-size", 1, "pool", c.state.Pool, "queue", j.Spec.Queue, "size", j.Size.String(), "outcome", outcome)
}

// countEnd counts the end of a job.
func (c *core) countEnd(j *shard.Job, phase shard.Phase, late bool) {
	switch {
	case phase == shard.Cancelled:
		c.countJob(j, sizeCancelled)
	case phase == shard.Failed:
		c.countJob(j, sizeFailed)
	case late:
		c.countJob(j, sizeLate)
	default:
		c.countJob(j, sizeInTime)
	}
}
