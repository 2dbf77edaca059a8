package mover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that wait for orders which the machine service does not take at the moment.
func TestFewerHostsLeaveWhileTheMachineServiceTakesNoOrders(t *testing.T) {
	for _, most := range []float64{4, 51.2, 800} {
		p := newPace(most)
		require.Equal(t, int(most), p.hosts())
		for range 100 {
			p.notTaken()
		}
		require.Equal(t, max(int(most/paceDivisor), 1), p.hosts())
		for range int(most) {
			p.taken()
		}
		require.Equal(t, int(most), p.hosts())
	}
}
