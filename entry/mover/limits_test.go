package mover_test

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/mover"
	"carawaymux.dev/fleet/port"
)

// maintainAtOnce starts a holder with a wave of machines that may all be down at once. It returns the store of the
// holder and the machines that it orders.
func maintainAtOnce(t *testing.T, names []string, maxRecordBytes int) (memoryStore, <-chan string) {
	m := newChangingMachines(names...)
	m.maintained = make(chan string, len(names))
	store := newMemoryStore(t)
	h := startMoverWithin(t, store, mover.Deps{
		Machines: m, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: discardReports{},
		Waves: func() []port.Wave {
			return []port.Wave{{Number: 1, Machines: names, TimeLimit: time.Minute, MaxDown: len(names)}}
		},
	}, mover.Settings{Holder: "h", Term: term, MaxRecordBytes: maxRecordBytes, MaxRequestBytes: 8 * maxRecordBytes})
	t.Cleanup(h.Close)
	return store, m.maintained
}

// Guards against a holder that can write nothing more, so that waves and moves stop: the record of the machines
// that it may order exceeded a record of the store.
func TestTheRecordOfAuthorizedMachinesStaysWithinTheLimit(t *testing.T) {
	const (
		maxRecordBytes = 2000
		machines       = 20
	)
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("m-%03d-%s", i, strings.Repeat("x", 200)))
	}
	store, ordered := maintainAtOnce(t, names, maxRecordBytes)
	maintained := map[string]bool{}
	for len(maintained) < machines {
		maintained[receive(t, ordered)] = true
	}
	require.LessOrEqual(t, store.largest.Load(), int64(maxRecordBytes))
}

// A pool of the same kind at 2,400 hosts stays below the limits of the store.
func TestAllMachinesOfALargeFleetFitTheRecordOfAuthorizedMachines(t *testing.T) {
	const (
		maxRecordBytes = 262_144
		machines       = 2400
	)
	var names []string
	for i := range machines {
		names = append(names, fmt.Sprintf("machine-of-zone-%04d-%s", i, strings.Repeat("x", 60)))
	}
	store, ordered := maintainAtOnce(t, names, maxRecordBytes)
	receive(t, ordered)
	require.Eventually(t, func() bool { return store.largest.Load() > machines*80 }, 5*time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, store.largest.Load(), int64(maxRecordBytes))
}
