package system

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// Guards against work that is done twice (TWICE): the owner of a pool is killed, and each host ends more tasks than it lists
// in one answer before the next owner asks it.
func TestTasksWhoseEndsExceedOneAnswerAreNotStartedAgain(t *testing.T) {
	const hosts, perHost = 2, 800
	small := layout
	small.Pools = map[string]int{"docs": hosts, "wages": 1, "spare": 1}
	f := startWith(t, small, 3)
	j := f.submitAccepted("docs", fake.SpecRunUntilReleased, fake.StepSpec{Count: hosts * perHost, EstimatedMS: 5000, Small: true})
	require.NoError(t, procs.WaitFor(f.ctx, "all tasks run", func(context.Context) error {
		if n := f.Running(j.ID); n < hosts*perHost {
			return fmt.Errorf("%d tasks run", n)
		}
		return nil
	}))
	owner := f.waitForOwner("docs")
	owner.Proc().Kill()
	time.Sleep(300 * time.Millisecond)
	f.Release(j.ID)
	f.waitForState("docs", j, "completed")
	f.requireNoViolations()
	require.Equal(t, hosts*perHost, f.Started(j.ID))
}
