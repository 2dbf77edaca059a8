package system

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/platform/store"
	"carawaymux.dev/platform/topic"
	"carawaymux.dev/trial/fake"
)

// Hosts that accept tasks beyond their capacity shrink under load and grow again.
func TestShrunkHostsGetNoTasksBeyondTheirCapacity(t *testing.T) {
	unguarded := layout
	unguarded.UnguardedPools = map[string]bool{"docs": true}
	f := startWith(t, unguarded, 3)
	load := f.startLoad("docs", 80, 100*time.Millisecond)
	f.SetCapacity("docs", 3, fake.Capacity{Cores: 1000, MemoryMB: 16000})
	f.SetCapacity("docs", 1, fake.Capacity{Cores: 4000, MemoryMB: 150})
	time.Sleep(6 * time.Second)
	f.SetCapacity("docs", 2, fake.Capacity{Cores: 6000, MemoryMB: 16000})
	f.requireLoadCompleted("docs", load)
}

func TestHostRecordThatDiffersInItsCapacityArrivesWithinOneInterval(t *testing.T) {
	platform, err := fake.New(fake.Layout{Pools: map[string]int{"docs": 1}, Timing: layout.Timing})
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	c := store.New(platform.StoreAddress)
	t.Cleanup(c.Close)
	hosts := make(chan port.Host, 100)
	const interval = 150 * time.Millisecond
	f := feed.Start(c, topic.Hosts, topic.DecodeHost, slog.New(slog.NewJSONHandler(io.Discard, nil)),
		func(changes []feed.Change[port.Host]) {
			for _, change := range changes {
				hosts <- change.Value
			}
		}, feed.WithInterval(interval))
	t.Cleanup(f.Close)
	before := <-hosts
	platform.SetCapacity("docs", 1, fake.Capacity{Cores: 1000, MemoryMB: 500})
	deadline := time.After(layout.Timing.HeartbeatInterval + interval + feed.CallTimeout)
	for {
		select {
		case now := <-hosts:
			if now.Capacity == before.Capacity {
				continue
			}
			require.EqualValues(t, 1000, now.Capacity.MilliCores)
			require.EqualValues(t, 500, now.Capacity.MemoryMB)
			now.Capacity = before.Capacity
			require.Equal(t, before, now, "nothing else has changed")
			return
		case <-deadline:
			require.Fail(t, "the record has not arrived")
		}
	}
}
