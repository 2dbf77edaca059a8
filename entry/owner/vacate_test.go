package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against two owners that each stop as many long-running tasks as may be unavailable (AVAIL): an owner that has not
// confirmed its claim for long may have been replaced.
func TestAnOwnerThatMayHaveBeenReplacedStopsNoLongRunningTask(t *testing.T) {
	now := time.Now()
	s := shard.New("pool", 1, shard.Timing{Lease: 5 * time.Second, MaxLease: 10 * time.Second, Grace: 6 * time.Second}, now)
	s.SetQueue(port.Queue{Name: "q", Pool: "pool"})
	add := func(id string) {
		h := s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 4000}}, now)
		h.Stored = true
		s.HandleReport(id, &port.HostReport{Clock: 1, Born: 1}, now)
		h.FirstAnswer = now.Add(-time.Minute)
	}
	add("a")
	step := batch.Step{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second, LongRunning: true, MaxUnavailable: 2}
	j, _ := s.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{step}}, now)
	s.MarkStored(j)
	s.ConfirmedAt = now
	shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
	o := s.TakeOrders()
	require.Len(t, o, 1)
	s.HandleStartResult(&o[0], 2, nil, now)
	s.HandleReport("a", &port.HostReport{Clock: 3, Born: 1, Running: []port.ActiveRun{{Unit: o[0].Ref.String(), Run: o[0].Run, ProgressPercent: 100}}}, now)
	add("b")
	c := &core{state: s}
	c.journal.unavailable = true
	s.ConfirmedAt = now.Add(-5 * time.Second)
	reply := make(chan Answer, 1)
	vacateHost{"a", shard.LeaveOrder{}, reply}.handle(c)
	require.Empty(t, s.TakeOrders())
}
