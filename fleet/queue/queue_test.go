package queue_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/queue"
)

// TestMain sets a fixed seed, so that every run draws the same operations.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// TestListMatchesSlice compares the list with a slice under random operations.
func TestListMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l queue.List[int]
		var items []*queue.Item[int]
		var want []int
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				items = append(items, l.Push(n))
				want = append(want, n)
			case 1:
				v, ok := l.Pop()
				require.Equal(t, len(want) > 0, ok)
				if ok {
					require.Equal(t, want[0], v)
					want, items = want[1:], items[1:]
				}
			case 2:
				if len(items) > 0 {
					i := rapid.IntRange(0, len(items)-1).Draw(t, "index")
					require.True(t, items[i].Remove())
					require.False(t, items[i].Remove(), "an item can be removed once")
					want = append(want[:i:i], want[i+1:]...)
					items = append(items[:i:i], items[i+1:]...)
				}
			}
			require.Equal(t, len(want), l.Len())
			i := 0
			for it := l.First(); it != nil; it = it.Next() {
				require.Equal(t, want[i], it.Value)
				i++
			}
			require.Equal(t, len(want), i)
		}
	})
}
