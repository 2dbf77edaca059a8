package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

func TestHostsThatNeverAnsweredDoNotLetMoreOfTheOthersBecomeUnhealthy(t *testing.T) {
	for _, silent := range []int{0, 1, 20} {
		o := newOwner(t, 1, "a", "b", "c", "d")
		for i := range silent {
			id := fmt.Sprintf("silent-%d", i)
			o.UpdateHost(port.Host{ID: id, Address: id + ":1", Pool: "pool", Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}}, o.now)
		}
		ends := int64(0)
		for job := range 60 {
			o.submit(fmt.Sprintf("%016x", job), smallStep(1))
			for _, order := range o.start() {
				ends++
				o.report(order.Host, port.FinishedRun{Number: ends, Unit: order.Ref.String(), Run: order.Run, Result: port.ResultFailed})
			}
			o.advance(10 * time.Millisecond)
		}
		unhealthy := 0
		for _, h := range o.Hosts {
			if o.now.Before(h.UnhealthyUntil) {
				unhealthy++
			}
		}
		require.Equal(t, 2, unhealthy, "of four hosts, beside %d that never answered", silent)
	}
}
