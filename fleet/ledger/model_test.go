package ledger_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// The names of generated objects. There are few, so that records often refer to the same object.
var (
	poolNames   = []string{"docs", "pay", "spare"}
	budgetNames = []string{"b1", "b2"}
	hostNames   = []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	waveNames   = []string{"w1", "w2"}
	jobNames    = []string{"j1", "j2"}
	events      = []host.Event{
		host.EventCordon, host.EventDrain, host.EventReboot, host.EventUp, host.EventReturn, host.EventAssign,
		host.EventFail, host.EventRestore, host.EventQuarantine, host.EventRelease,
	}
)

// TestMain sets a fixed seed, so that every run generates the same streams.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// drawBody generates a record body of a random kind. It returns the body, the name of its object
// and the current version of that object.
func drawBody(t *rapid.T, s *ledger.State) (record.Body, string, uint64) {
	pick := func(names []string) string { return rapid.SampledFrom(names).Draw(t, "name") }
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		name := pick(budgetNames)
		return budget.Spec{
			MaxUnavailable: rapid.IntRange(0, 3).Draw(t, "max"), MinAvailable: rapid.IntRange(0, 2).Draw(t, "min"),
		}, name, version(s.Budgets[name])
	case 1:
		name := pick(poolNames)
		return pool.Spec{Budget: pick(budgetNames), Kinds: []string{name}, Spare: name == "spare"}, name, version(s.Pools[name])
	case 2:
		name := pick(hostNames)
		spec := host.Spec{
			Pool: pick(poolNames), Zone: "z1", Rack: "r1", Address: "10.0.0.1:80",
			Size: host.Resources{Cores: 4, MemoryMiB: 4096}, Slots: 8, Connections: 64,
		}
		if h := s.Hosts[name]; h != nil {
			return spec, name, h.Version
		}
		return spec, name, 0
	case 3:
		name := pick(hostNames)
		return host.Move{To: pick(poolNames)}, name, hostVersion(s, name)
	case 4:
		name := pick(waveNames)
		var base uint64
		if w := s.Waves[name]; w != nil {
			base = w.Version
		}
		if rapid.Bool().Draw(t, "change") {
			event := rapid.SampledFrom([]wave.Event{wave.EventPause, wave.EventResume, wave.EventFinish, wave.EventCancel})
			return wave.Change{Event: event.Draw(t, "event")}, name, base
		}
		return wave.Spec{Pools: []string{pick(poolNames)}, Parallel: rapid.IntRange(0, 2).Draw(t, "parallel")}, name, base
	case 5:
		name := pick(jobNames)
		var base uint64
		if j := s.Jobs[name]; j != nil {
			base = j.Published.Version
		}
		return jobs.Spec{
			Pool: pick(poolNames), Size: host.Resources{Cores: rapid.Int64Range(1, 5).Draw(t, "cores")}, Tasks: 2, Urgency: jobs.Normal,
		}, name, base
	case 6:
		acts := []jobs.Act{jobs.ActStart, jobs.ActStart, jobs.ActStop, jobs.ActFinish}
		if s.OpenSchema(record.KindPlacement) >= jobs.CrashSchema {
			acts = append(acts, jobs.ActCrash)
		}
		act := rapid.SampledFrom(acts).Draw(t, "act")
		return jobs.Placement{Items: []jobs.PlacementItem{{
			Job: pick(jobNames), Task: rapid.IntRange(0, 2).Draw(t, "task"), Act: act, Host: pick(hostNames),
		}}}, "", 0
	case 7:
		return lease.Claim{Holder: pick([]string{"a", "b"}), TermMS: 1000}, "", s.Lease.Version
	case 8:
		if rapid.Bool().Draw(t, "cancel") {
			return jobs.Cancel{Jobs: []string{pick(jobNames)}}, "", 0
		}
		return ledger.Retire{ObjectKind: record.KindHost}, pick(hostNames), 0
	default:
		hosts := slices.Compact(slices.Sorted(slices.Values([]string{pick(hostNames), pick(hostNames)})))
		c := host.Change{Event: rapid.SampledFrom(events).Draw(t, "event"), Hosts: hosts}
		if c.Event == host.EventCordon && rapid.Bool().Draw(t, "for-wave") {
			c.Wave = pick(waveNames)
		}
		if c.Event == host.EventDrain {
			c.Barrier = s.NextOffset
		}
		return c, "", 0
	}
}

// version returns the version of an object, or 0 if it does not exist.
func version[T any](v *record.Versioned[T]) uint64 {
	if v == nil {
		return 0
	}
	return v.Version
}

func hostVersion(s *ledger.State, name string) uint64 {
	if h := s.Hosts[name]; h != nil {
		return h.Version
	}
	return 0
}

// drawStream generates a random stream, applies it to s and returns it. Some records are duplicates
// or have a wrong base version or fence. If check is set, it is called after each record with the
// headroom that each pool had before it.
func drawStream(t *rapid.T, s *ledger.State, check func(before map[string]int, e record.Entry, v record.Verdict)) []record.Entry {
	stream := applySmallFleet(t, s)
	for range rapid.IntRange(1, 120).Draw(t, "length") {
		var r record.Record
		if len(stream) > 0 && rapid.IntRange(0, 9).Draw(t, "double") == 0 {
			r = rapid.SampledFrom(stream).Draw(t, "doubled").Record
		} else {
			body, object, base := drawBody(t, s)
			r = record.Record{
				ID: record.NewID(), Schema: min(codec.NewestSchema(body.Kind()), s.OpenSchema(body.Kind())), Author: "t",
				Object: object, Base: base, Fence: s.Lease.Fence, Body: body,
				At: rapid.Int64Range(0, 2*jobs.CrashWindow.Milliseconds()).Draw(t, "at"),
			}
			if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
				r.Base += uint64(rapid.IntRange(1, 3).Draw(t, "by"))
			}
			if rapid.IntRange(0, 9).Draw(t, "stale-fence") == 0 {
				r.Fence++
			}
		}
		e := record.Entry{Offset: s.NextOffset, Record: r}
		before := headrooms(s)
		v, err := s.Apply(e)
		require.NoError(t, err)
		if check != nil {
			check(before, e, v)
		}
		stream = append(stream, e)
	}
	return stream
}

// applySmallFleet creates a complete small fleet in half of the cases, so that random records find
// existing objects to refer to.
func applySmallFleet(t *rapid.T, s *ledger.State) []record.Entry {
	if rapid.Bool().Draw(t, "from-nothing") {
		return nil
	}
	var stream []record.Entry
	mustAccept := func(object string, body record.Body) {
		e := record.Entry{Offset: s.NextOffset, Record: record.Record{
			ID: record.NewID(), Schema: codec.NewestSchema(body.Kind()), Author: "t", Object: object, Fence: s.Lease.Fence, Body: body,
		}}
		v, err := s.Apply(e)
		require.NoError(t, err)
		require.Equal(t, record.Accepted, v.Result, v.Reason)
		stream = append(stream, e)
	}
	mustAccept("b1", budget.Spec{MaxUnavailable: 1})
	for _, name := range poolNames {
		mustAccept(name, pool.Spec{Budget: "b1", Kinds: []string{name}, Spare: name == "spare"})
	}
	for i, name := range hostNames {
		mustAccept(name, host.Spec{
			Pool: poolNames[i%2], Zone: "z1", Rack: "r1", Address: "10.0.0.1:80",
			Size: host.Resources{Cores: 4, MemoryMiB: 4096}, Slots: 8, Connections: 64,
		})
	}
	mustAccept("j1", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 3}, Tasks: 2, Urgency: jobs.Normal})
	mustAccept("j2", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 2}, Tasks: 2, Urgency: jobs.Normal})
	mustAccept("", lease.Claim{Holder: "a", TermMS: 1000})
	if rapid.Bool().Draw(t, "crashes-counted") {
		mustAccept("", ledger.Gate{RecordKind: record.KindPlacement, Schema: jobs.CrashSchema})
	}
	return stream
}

// headrooms returns the headroom of each pool's budget.
func headrooms(s *ledger.State) map[string]int {
	out := make(map[string]int)
	for name := range s.Pools {
		out[name] = s.Headroom(name)
	}
	return out
}

// TestRandomRecordsKeepBudgetsAndPools applies random streams and checks after each record that
// every host is in exactly one existing pool, that planned changes never overdraw a budget, and
// that the tasks on a host do not exceed its size.
func TestRandomRecordsKeepBudgetsAndPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ledger.New()
		drawStream(t, s, func(before map[string]int, e record.Entry, v record.Verdict) {
			if v.Result != record.Accepted {
				require.Equal(t, before, headrooms(s), "a record that was not accepted changed the headroom of a pool: %v", v)
				return
			}
			checkPools(t, s)
			checkBudgets(t, s, before, e)
			checkTasks(t, s)
		})
	})
}

func checkPools(t *rapid.T, s *ledger.State) {
	seen := make(map[string]string)
	for name := range s.Pools {
		serving := 0
		for _, h := range s.HostsOf(name) {
			require.Empty(t, seen[h], "host %s is in two pools", h)
			seen[h] = name
			require.Equal(t, name, s.Hosts[h].Spec.Pool)
			if s.Hosts[h].Phase == host.Serving {
				serving++
			}
		}
		require.Equal(t, budget.Tally{Size: len(s.HostsOf(name)), Serving: serving}, s.Tally(name))
	}
	require.Len(t, seen, len(s.Hosts), "every host is in exactly one pool")
}

// checkBudgets requires that an accepted host change does not overdraw a budget. Only failures and
// changes by operators (a stricter budget, a retired host) may make a headroom negative.
func checkBudgets(t *rapid.T, s *ledger.State, before map[string]int, e record.Entry) {
	c, ok := e.Record.Body.(host.Change)
	if !ok || c.Event == host.EventFail {
		return
	}
	for name, headroom := range headrooms(s) {
		if headroom < 0 {
			require.GreaterOrEqual(t, headroom, before[name], "%s overdrew the budget of %s", c.Event, name)
		}
	}
}

func checkTasks(t *rapid.T, s *ledger.State) {
	used := make(map[string]host.Resources)
	for _, j := range s.Jobs {
		for _, task := range j.Tasks {
			if task.Host != "" {
				require.False(t, task.Finished, "a finished task is placed")
				require.False(t, task.GivenUp(), "a task that is given up is placed")
				used[task.Host] = used[task.Host].Add(j.Published.Spec.Size)
			}
		}
	}
	for name, size := range used {
		require.Equal(t, size, s.HostUsage(name))
		require.Empty(t, s.Hosts[name].Spec.Size.Shortfall(size), "the tasks on host %s exceed its size", name)
	}
}

// TestReplayFromSnapshotMatchesFullReplay applies one stream twice, and a third time from a
// snapshot taken at a random offset. The hashes of the three states must be equal: instances that
// start from a snapshot would otherwise diverge from the rest.
func TestReplayFromSnapshotMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := ledger.New()
		stream := drawStream(t, first, nil)
		second := ledger.New()
		at := rapid.IntRange(0, len(stream)).Draw(t, "snapshot-at")
		applyAll(t, second, stream[:at])
		raw, err := codec.EncodeSnapshot(second.Snapshot())
		require.NoError(t, err)
		restored, err := codec.DecodeSnapshot(raw)
		require.NoError(t, err)
		applyAll(t, restored, stream[at:])
		applyAll(t, second, stream[at:])
		require.Equal(t, hash(t, first), hash(t, second), "two replays of one stream")
		require.Equal(t, hash(t, first), hash(t, restored), "a replay from a snapshot")
	})
}

// TestReplayOfEncodedRecordsMatchesDirectReplay applies a stream once directly and once after
// encoding and decoding each record. The states must be equal.
func TestReplayOfEncodedRecordsMatchesDirectReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct := ledger.New()
		stream := drawStream(t, direct, nil)
		decoded := ledger.New()
		for _, e := range stream {
			raw, err := codec.EncodeRecord(e.Record)
			require.NoError(t, err)
			_, err = decoded.Apply(codec.DecodeEntry(e.Offset, raw))
			require.NoError(t, err)
		}
		require.Equal(t, hash(t, direct), hash(t, decoded))
	})
}

type tester interface {
	require.TestingT
	Helper()
}

func applyAll(t tester, s *ledger.State, stream []record.Entry) {
	t.Helper()
	for _, e := range stream {
		_, err := s.Apply(e)
		require.NoError(t, err, fmt.Sprint(e.Offset))
	}
}

func hash(t tester, s *ledger.State) string {
	t.Helper()
	raw, err := codec.EncodeSnapshot(s.Snapshot())
	require.NoError(t, err)
	return codec.Hash(raw)
}
