package system

import (
	"testing"
	"time"

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
