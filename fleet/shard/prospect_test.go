package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against a backlog ahead of a job that counts work which the job overtakes, or which is late.
func TestBacklogAheadOfAJobIsWhatGoesBeforeIt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := shard.New("pool", 1, shard.Timing{Lease: time.Hour, Grace: time.Hour}, now)
	s.Configure(&port.Config{Queues: []port.Queue{
		{Name: "urgent", Pool: "pool", Target: time.Minute},
		{Name: "normal", Pool: "pool", Priority: 1, Target: time.Minute},
		{Name: "hasty", Pool: "pool", Priority: 1},
	}})
	job := func(queue string, seconds int) batch.Spec {
		return batch.Spec{Queue: queue, Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: time.Duration(seconds) * time.Second}}}
	}
	for i, spec := range []batch.Spec{job("urgent", 20), job("normal", 1), job("normal", 2), job("normal", 8), job("hasty", 3)} {
		j, _ := s.Submit(fmt.Sprint(i), spec, now)
		s.MarkStored(j)
	}
	later := now.Add(time.Second)
	shard.PlanWithin(s, shard.ByLoad{}, shard.Limits{}, later, later.UnixMilli())
	s.Load(later)
	backlog := func(queue string, seconds int) (ahead, waiting, late int64) {
		spec := job(queue, seconds)
		p, ok := s.Prospect("new", &spec)
		require.True(t, ok)
		return s.Backlog(&p)
	}
	ahead, waiting, late := backlog("normal", 4)
	require.EqualValues(t, 20_000+1000+2000, ahead)
	require.EqualValues(t, 20_000+1000+2000+8000, waiting)
	require.EqualValues(t, 3000, late)
	ahead, _, _ = backlog("urgent", 4)
	require.Zero(t, ahead)
	ahead, _, _ = backlog("normal", 40)
	require.EqualValues(t, waiting, ahead)

	lasting := job("normal", 1)
	lasting.Steps[0].LongRunning = true
	_, ok := s.Prospect("lasting", &lasting)
	require.False(t, ok)
}
