package stats_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
)

func TestSchedulerReportsWaitOfGoroutines(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var s stats.Scheduler
	s.Longest()
	// The runtime measures some of the goroutines only.
	var ran sync.WaitGroup
	for range 200 {
		ran.Go(func() {})
	}
	// The goroutines are ready to run, and get the only processor after this loop or when the
	// runtime preempts it.
	for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
	}
	ran.Wait()
	require.Greater(t, s.Longest(), time.Millisecond)
	require.Less(t, s.Longest(), time.Second, "waits before the last call do not count")
}
