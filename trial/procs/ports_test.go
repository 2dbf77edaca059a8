package procs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that cannot start again since another process has taken its port meanwhile.
func TestProcessesThatSearchFromTheSamePortGetDifferentOnes(t *testing.T) {
	const processes, portsEach = 3, portsPerBlock + 10
	seen := map[string]int{}
	for process := range processes {
		b := &portBlocks{next: 7}
		t.Cleanup(func() {
			for _, l := range b.owned {
				l.Close()
			}
		})
		for range portsEach / 2 {
			addresses, err := b.take(2)
			require.NoError(t, err)
			for _, address := range addresses {
				require.NotContains(t, seen, address, "processes %d and %d", seen[address], process)
				seen[address] = process
			}
		}
	}
}
