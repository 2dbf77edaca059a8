package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testLayout = Layout{Entries: []string{"entry-0", "entry-1", "entry-2"}, Machines: []string{"m-docs-0"}, Links: []string{"entry-0>store"}}

func TestMinimizedSchedulesHoldOnlyWhatIsNeeded(t *testing.T) {
	schedule := []Fault{{Kind: Term}, {Kind: Pause}, {Kind: StoreBusy}, {Kind: Kill}, {Kind: Reload}}
	left, err := minimize(schedule, func(f []Fault) (bool, error) {
		return slices.ContainsFunc(f, func(f Fault) bool { return f.Kind == Pause }) && slices.ContainsFunc(f, func(f Fault) bool { return f.Kind == Kill }), nil
	})
	require.NoError(t, err)
	require.Equal(t, []Fault{{Kind: Pause}, {Kind: Kill}}, left)
	require.Len(t, schedule, 5)
}

func TestASeedGivesTheWholeSchedule(t *testing.T) {
	require.Equal(t, Plan(7, time.Minute, testLayout, Kinds()), Plan(7, time.Minute, testLayout, Kinds()))
	require.NotEqual(t, Plan(7, time.Minute, testLayout, Kinds()), Plan(8, time.Minute, testLayout, Kinds()))
}

func TestSchedulesContainAllKindsAndOverlap(t *testing.T) {
	kinds, overlaps := map[Kind]int{}, 0
	for seed := range uint64(50) {
		plan := Plan(seed, time.Minute, testLayout, Kinds())
		for i, f := range plan {
			kinds[f.Kind]++
			require.Less(t, f.At, time.Minute)
			if i > 0 {
				require.LessOrEqual(t, plan[i-1].At, f.At)
			}
			if i > 0 && plan[i-1].At+plan[i-1].For > f.At {
				overlaps++
			}
		}
	}
	for _, k := range Kinds() {
		require.NotZero(t, kinds[k], k)
	}
	require.Greater(t, overlaps, 100)
}

func TestARollStopsEachEntryOnce(t *testing.T) {
	entries := []string{"entry-0", "entry-1", "entry-2"}
	other := Fault{Kind: Pause, Target: "entry-1", At: time.Second}
	for at := range time.Duration(4) {
		roll := Fault{Kind: Roll, At: time.Second + at*time.Millisecond, For: 3 * time.Second}
		out := expandRolls([]Fault{other, roll}, entries)
		require.Equal(t, other, out[0])
		var stopped []string
		for i, f := range out[1:] {
			require.Equal(t, Term, f.Kind)
			require.Equal(t, roll.At+time.Duration(i)*time.Second, f.At)
			stopped = append(stopped, f.Target)
		}
		require.ElementsMatch(t, entries, stopped)
	}
}

func TestTheShortestRunHasFaultsWhateverTheSeed(t *testing.T) {
	for seed := range uint64(200) {
		for _, k := range Kinds() {
			shortest := time.Duration(MinMinutes * float64(time.Minute))
			require.NotEmpty(t, Plan(seed, shortest, testLayout, []Kind{k}), fmt.Sprint(seed, k))
		}
	}
}

func TestLoadIsBetweenCalmAndFourTimesWhatHostsCanDo(t *testing.T) {
	low, high := 1.0, 0.0
	for seed := range uint64(50) {
		for _, b := range Traffic(seed, 0, time.Minute, 1).Bursts {
			low, high = min(low, b.Rate), max(high, b.Rate)
		}
	}
	require.Equal(t, loadFactors[0], low)
	require.Equal(t, 4.0, high)
}
