package shard

import (
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/grade"
)

// gradeJob sets the size of a job against those that its queue has seen lately.
func (s *State) gradeJob(j *Job) {
	sizes := s.sizes[j.Spec.Queue]
	if sizes == nil {
		sizes = &grade.Sizes{}
		s.sizes[j.Spec.Queue] = sizes
	}
	var work int64
	for i := range j.Spec.Steps {
		work = clamp.Add(work, estimatedWork(&j.Spec.Steps[i], j.Spec.Steps[i].Count))
	}
	j.Size = sizes.Add(work)
}
