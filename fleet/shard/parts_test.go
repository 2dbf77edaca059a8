package shard_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// partStore holds the newest record of each key, as the store of the platform does.
type partStore struct {
	progress *shard.Progress
	parts    map[shard.PartRef]shard.Part
}

// write stores a change in the form in which it is encoded.
func (s *partStore) write(c shard.Change) {
	switch v := c.Encodable().(type) {
	case shard.Part:
		s.parts[v.PartRef] = v
	case shard.PartedProgress:
		p := v.Progress()
		s.progress = &p
	case shard.Progress:
		s.progress = &v
	}
}

// Guards against ends that the next owner does not know although they were stored, at any size of a job, when
// its progress is split at any time and the owner changes between any two writes.
func TestProgressInPartsIsRestored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		spec := batch.Spec{Queue: "q"}
		for range rapid.IntRange(1, 4).Draw(r, "steps") {
			step := smallStep(rapid.IntRange(1, 150).Draw(r, "tasks"))
			step.Gang = rapid.IntRange(0, 4).Draw(r, "gang") == 0
			spec.Steps = append(spec.Steps, step)
		}
		spec.Repetitions = rapid.IntRange(0, 3).Draw(r, "repetitions")
		o := newOwner(t, 1, "h")
		job, _ := o.Submit("job", spec, o.now)
		o.MarkStored(job)
		store := &partStore{parts: map[shard.PartRef]shard.Part{}}
		// ended holds the results that the store has, or may have; known holds those that it has.
		var waiting, inStore []port.FinishedRun
		number := int64(0)
		for range rapid.IntRange(1, 40).Draw(r, "actions") {
			job = o.Jobs["job"]
			switch rapid.IntRange(0, 5).Draw(r, "action") {
			case 0, 1, 2:
				number++
				step := rapid.IntRange(0, len(spec.Steps)-1).Draw(r, "step")
				e := port.FinishedRun{
					Number: number, Result: port.ResultDone, Run: number,
					Unit: fmt.Sprintf("job.%d.%d.%d", rapid.IntRange(0, max(spec.Repetitions-1, 0)).Draw(r, "occurrence"), step,
						rapid.IntRange(0, spec.Steps[step].Count-1).Draw(r, "index")),
				}
				o.HandleReport("h", &port.HostReport{Clock: 1000 + number, Finished: []port.FinishedRun{e}}, o.now)
				waiting = append(waiting, e)
			case 3:
				if changes := o.TakeChanges(); len(changes) > 0 && job.Phase == shard.Open && changes[0].Part == nil && !changes[0].Progress.Parted {
					o.Split(changes[0])
				} else {
					o.Requeue(changes)
				}
			case 4:
				changes := o.TakeChanges()
				written := rapid.IntRange(0, len(changes)).Draw(r, "written")
				for _, c := range changes[:written] {
					store.write(c)
					o.MarkWritten(c)
				}
				o.Requeue(changes[written:])
				for _, stale := range o.TakeStaleParts() {
					delete(store.parts, stale.PartRef)
				}
				if !o.Dirty() {
					inStore, waiting = append(inStore, waiting...), nil
				}
			case 5:
				var parts []shard.Part
				for _, p := range store.parts {
					parts = append(parts, p)
				}
				next := newOwner(t, o.Epoch+1, "h")
				next.Restore("job", spec, store.progress, next.now, shard.WithParts(parts))
				o, waiting, number = next, nil, 0
			}
			requireDone(r, o.Jobs["job"], inStore)
		}
	})
}

// requireDone checks that a job knows the success of tasks.
func requireDone(r *rapid.T, job *shard.Job, ends []port.FinishedRun) {
	for _, e := range ends {
		ref, err := batch.ParseRef(e.Unit)
		require.NoError(r, err)
		require.True(r, job.Phase == shard.Completed || ref.Occurrence < len(job.Occurrences), "%s is known", e.Unit)
		if job.Phase == shard.Completed || job.Occurrences[ref.Occurrence].Left == 0 {
			continue
		}
		require.True(r, job.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks[ref.Index].Done, "%s is done", e.Unit)
	}
}

// Guards against failed runs that are forgotten, and so against more attempts than a queue allows, when the
// numbers of the oldest are not stored.
func TestFailedRunsOfAPartStillCountWhenTheirNumbersAreLeftOut(t *testing.T) {
	const attempts = 200
	o := newOwner(t, 1, "h")
	o.MaxTaskBytes = shard.MaxTaskBytes(64 << 10)
	o.SetQueue(port.Queue{Name: "q", Pool: "pool", MaxAttempts: attempts})
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}
	job, _ := o.Submit("job", spec, o.now)
	o.MarkStored(job)
	var ends []port.FinishedRun
	for n := int64(1); n < attempts; n++ {
		ends = append(ends, port.FinishedRun{Number: n, Unit: "job.0.0.0", Run: n, Result: port.ResultFailed})
	}
	o.HandleReport("h", &port.HostReport{Clock: 2000, Finished: ends}, o.now)
	o.Split(o.TakeChanges()[0])
	store := &partStore{parts: map[shard.PartRef]shard.Part{}}
	for _, c := range o.TakeChanges() {
		store.write(c)
	}
	part := store.parts[shard.PartRef{}]
	require.Less(t, len(part.Tasks[0].FailedRuns), attempts-1)

	next := newOwner(t, 2, "h")
	next.SetQueue(port.Queue{Name: "q", Pool: "pool", MaxAttempts: attempts})
	next.Restore("job", spec, store.progress, next.now, shard.WithParts([]shard.Part{part}))
	require.Equal(t, shard.Open, next.Jobs["job"].Phase)
	last := port.FinishedRun{Number: 1, Unit: "job.0.0.0", Run: attempts, Result: port.ResultFailed}
	next.HandleReport("h", &port.HostReport{Clock: 1000, Finished: []port.FinishedRun{last}}, next.now)
	require.Equal(t, shard.Failed, next.Jobs["job"].Phase)
}

// Guards against a gang that can never be complete again: its members are in two parts, of which the store had
// only one when the owner changed.
func TestAGangIsDoneIfOneOfItsPartsShowsIt(t *testing.T) {
	o := newOwner(t, 1, "h")
	gang := smallStep(100)
	gang.Gang = true
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{gang, smallStep(1)}}
	job, _ := o.Submit("job", spec, o.now)
	o.MarkStored(job)
	done := port.FinishedRun{Number: 1, Unit: "job.0.0.3", Run: 1, Result: port.ResultDone}
	o.HandleReport("h", &port.HostReport{Clock: 2000, Finished: []port.FinishedRun{done}}, o.now)
	o.Split(o.TakeChanges()[0])
	first := o.TakeChanges()[0].Part
	require.NotNil(t, first)

	next := newOwner(t, 2, "h")
	next.Restore("job", spec, nil, next.now, shard.WithParts([]shard.Part{*first}))
	stages := next.Jobs["job"].Occurrences[0].Stages
	require.Zero(t, stages[0].Left)
	require.Equal(t, 1, stages[1].Left)
}
