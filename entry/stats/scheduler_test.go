package stats_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
)

func TestSchedulerReportsWaitOfGoroutines(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var s stats.Scheduler
	s.Longest()
	ran := make(chan struct{})
	go close(ran)
	// The goroutine is ready to run, and gets the only processor at the end of this loop or when the
	// runtime preempts it.
	for start := time.Now(); time.Since(start) < 5*time.Millisecond; {
	}
	<-ran
	require.Greater(t, s.Longest(), time.Millisecond)
	require.Less(t, s.Longest(), time.Second, "waits before the last call do not count")
}
