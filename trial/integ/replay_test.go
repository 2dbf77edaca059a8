package integ

import (
	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/record"
)

// replay applies the records of the log independently of the entries.
type replay struct{ state *ledger.State }

func newReplay() *replay { return &replay{state: ledger.New()} }

func (w *replay) apply(t require.TestingT, e record.Entry) record.Verdict {
	v, err := w.state.Apply(e)
	require.NoError(t, err)
	return v
}

func newRecord(object string, base uint64, body record.Body) record.Record {
	return client.NewRecord("ana", object, base, body)
}
