package place_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/place"
	"carawaymux.dev/fleet/port"
)

// pagedLog is a store that returns one record a page.
type pagedLog struct {
	port.Log
	records []port.Record
}

func (l *pagedLog) Append(_ context.Context, _ port.Stream, records []port.Record, _ *port.Writer, _ int64) (int64, error) {
	l.records = append(l.records, records...)
	return int64(len(l.records)), nil
}

func (l *pagedLog) Newest(_ context.Context, _ port.Stream, after string) (port.Page, error) {
	for i, r := range l.records {
		if after == "" || (i > 0 && l.records[i-1].Key == after) {
			return port.Page{Records: []port.Record{r}, More: i+1 < len(l.records)}, nil
		}
	}
	return port.Page{}, nil
}

// Guards against a pool that takes the jobs of a queue for unknown that other pools have accepted.
func TestAPoolLearnsOfAllOtherPoolsOfItsQueues(t *testing.T) {
	r := place.Registry{Log: &pagedLog{}}
	first := []place.Place{{Queue: "settle", Pool: "wages", Version: 3}, {Queue: "a/b", Pool: "c", Version: 3}}
	others, err := r.Register(t.Context(), first)
	require.NoError(t, err)
	require.Empty(t, others)
	_, err = r.Register(t.Context(), []place.Place{{Queue: "a", Pool: "b/c", Version: 3}, {Queue: "settle", Pool: "files", Version: 5}})
	require.NoError(t, err)
	others, err = r.Register(t.Context(), []place.Place{{Queue: "settle", Pool: "docs", Version: 14}, {Queue: "a", Pool: "c", Version: 14}})
	require.NoError(t, err)
	require.Equal(t, []place.Place{first[0], {Queue: "a", Pool: "b/c", Version: 3}, {Queue: "settle", Pool: "files", Version: 5}}, others)
}
