package soak

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
)

// tested holds, for each promise, a history that puts it to the test without breaking it.
var tested = map[string]func(*History){
	"answers-in-a-stop": func(h *History) {
		r := asked(10, Look, http.StatusOK, "running")
		r.EndAt = at(11)
		h.Requests = append(h.Requests, r)
		h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15))
	},
	"stop-in-time": func(h *History) {
		h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(13), SignalAt: at(10), Cause: Term})
	},
	"no-run-twice":       func(h *History) { h.Changes = append(h.Changes, Change{guardedPool, "entry-1", at(1.5)}) },
	"nothing-unasked":    func(*History) {},
	"order-of-steps":     func(*History) {},
	"capacity-of-hosts":  func(h *History) { h.Hosts = append(h.Hosts, fullHost()...) },
	"max-attempts":       func(h *History) { h.Hosts = append(h.Hosts, failures(fake.MaxAttempts)...) },
	"stays-cancelled":    func(h *History) { h.Requests = append(h.Requests, asked(2.1, Cancel, http.StatusOK, "")) },
	"refused-is-not-run": func(h *History) { h.Requests = []Request{asked(1, Submit, http.StatusServiceUnavailable, "")} },
	"never-unknown":      func(h *History) { h.Changes = append(h.Changes, Change{guardedPool, "entry-1", at(1.5)}) },
	"state-is-true":      func(*History) {},
	"accepted-is-done":   func(*History) {},
	"lasting-runs":       func(h *History) { h.lasting(start(4, lastingTask, 1)) },
	"waves-whole":        func(h *History) { h.wave(begun(3, "m-docs-0"), begun(3.1, "m-docs-1")) },
	"config-in-time": func(h *History) {
		h.Requests = append(h.Requests, onExtra(asked(12, Look, http.StatusNotFound, "")))
		h.Windows = append(h.Windows, window(Queue, extraQueue, 9, 14))
	},
	"within-memory": func(h *History) { h.Memory = append(h.Memory, Memory{"entry-0", at(10), 30 << 20}) },
	"ready-again": func(h *History) {
		h.Probes = append(h.Probes, Probe{Entry: "entry-0", At: at(20), Ready: true})
		h.Windows = append(h.Windows, window(Pause, "entry-0", 10, 12))
	},
	"keys-refused": func(h *History) {
		h.withTenant(0)
		h.Foreign = append(h.Foreign, withKey(asked(10, Look, http.StatusUnauthorized, ""), "", "key-unknown"))
	},
	"keys-valid": func(h *History) { h.withTenant(0) },
	"own-jobs-only": func(h *History) {
		h.withTenant(0)
		h.foreign(asked(2, Look, http.StatusGone, ""))
	},
	"caps-of-tenants": func(h *History) { h.withTenant(2 * taskCPU) },
	"room-under-half-cap": func(h *History) {
		h.waiting(8 * taskCPU)
		// The job ends after it has been looked at, so that nothing is stuck.
		h.Hosts = append(h.Hosts, start(6, laterTask, 1))
	},
}

// lastingTask is the task of a long-running job.
const lastingTask = "00000000000000cc.0.0.0"

// lasting adds a long-running job that is accepted at 1.1 s, and events on hosts in the order of time.
func (h *History) lasting(events ...HostEvent) {
	job := Job{ID: jobOf(lastingTask), Queue: guardedPool, Pool: guardedPool, Specification: fake.SpecRunUntilStopped, Steps: []fake.StepSpec{{Count: 1, LongRunning: true}}}
	r := asked(1, Submit, http.StatusOK, "")
	r.Job = job.ID
	h.Jobs, h.Requests, h.Hosts = append(h.Jobs, job), append(h.Requests, r), append(h.Hosts, events...)
}

// cancelLasting adds the cancelling of the long-running job.
func (h *History) cancelLasting(seconds float64) {
	r := asked(seconds, Cancel, http.StatusOK, "")
	r.Job, r.BeginAt = jobOf(lastingTask), r.SentAt
	h.Requests = append(h.Requests, r)
}

// wave adds a wave of two machines that may both be down, and events of their maintenance.
func (h *History) wave(events ...HostEvent) {
	h.Waves = append(h.Waves, Wave{Number: 7, Machines: []string{"m-docs-0", "m-docs-1"}, Cap: 2})
	h.Hosts = append(h.Hosts, events...)
}

func begun(seconds float64, machine string) HostEvent {
	return HostEvent{fake.Event{Kind: fake.MaintenanceBegun, Machine: machine, Wave: 7}, at(seconds)}
}

func fullHost() []HostEvent {
	var out []HostEvent
	for i := range fake.TasksPerHost() {
		out = append(out, start(3, testTask, int64(i+2)))
	}
	return out
}

func TestPromisesThatWerePutToTheTestAreCounted(t *testing.T) {
	for _, p := range Promises() {
		require.NotNil(t, tested[p.Name], p.Name)
		h := kept()
		tested[p.Name](h)
		require.NotZero(t, p.Cases(h), p.Name)
		require.NotContains(t, judge(1, h).NotChecked, p.Name)
	}
}

func TestPromisesThatNothingPutToTheTestAreNotChecked(t *testing.T) {
	r := judge(1, &History{End: at(30)})
	require.Len(t, r.NotChecked, len(Promises()))
	require.Contains(t, r.summary(), "NOT CHECKED: answers-in-a-stop, stop-in-time")
	stopped := kept()
	stopped.Windows = append(stopped.Windows, window(Term, "entry-0", 10.5, 15))
	require.Contains(t, judge(1, stopped).NotChecked, "answers-in-a-stop", "no request was open when the entry stopped")
	require.Contains(t, judge(1, kept()).NotChecked, "never-unknown", "no pool changed its owner")
}

func TestRequestsThatAreOpenAtAStopAreCounted(t *testing.T) {
	h := kept()
	long, short, upload, partial := asked(10, Submit, http.StatusOK, ""), asked(10.45, Look, http.StatusOK, ""), asked(11, Submit, http.StatusOK, ""), cut(10.1, 1)
	long.EndAt, upload.BeginAt, partial.BeginAt, partial.SentAt = at(11), at(10), partial.SentAt, 0
	h.Requests, h.Partial = append(h.Requests, long, short, upload), []Request{partial}
	h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15), window(Term, "entry-1", 10.5, 15))
	require.Equal(t, Open{Moments: 2, Bare: 1, NoLong: 1, NoWaiting: 1, NoUpload: 1, Whole: 2, Long: 1, Waiting: 1, Uploads: 2}, h.openAtStops())
}

func TestOnlyEntriesThatRunCountAtAChangeOfOwner(t *testing.T) {
	h := kept()
	h.TrafficEnd = at(20)
	h.Changes = append(h.Changes, Change{guardedPool, "entry-0", at(9)}, Change{guardedPool, "entry-1", at(11)}, Change{guardedPool, "entry-1", at(21)},
		Change{unguardedPool, "entry-1", at(11)})
	h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15))
	entries := []string{"entry-0", "entry-1"}
	require.Equal(t, Open{Moments: 1, Bare: 1, NoLong: 1, NoWaiting: 1, NoUpload: 1}, h.openAtChanges(entries))
	h.Changes = append(h.Changes, Change{unguardedPool, "entry-1", at(18)})
	require.Equal(t, 2, h.openAtChanges(entries).Moments, "entry-0 has accepted nothing since its start")
	h.Requests = append(h.Requests, asked(16, Submit, http.StatusOK, ""))
	require.Equal(t, 3, h.openAtChanges(entries).Moments)
	h.Windows = append(h.Windows, window(LinkCut, "entry-1>store", 14, 17.5))
	require.Equal(t, 2, h.openAtChanges(entries).Moments, "entry-1 was cut off")
}

func TestChangesOfOwnersAreReadFromLogs(t *testing.T) {
	dir, startedAt := t.TempDir(), time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	log := `{"time":"2026-12-04T09:00:02Z","msg":"pool taken over","entry":"entry-0","pool":"docs"}
{"time":"2026-12-04T09:00:01Z","msg":"pool given up","pool":"docs"}
{"time":"2026-12-04T09:00:03Z","msg":"pool tak`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "entry-0.log"), []byte(log), 0o600))
	changes, err := readChanges(dir, []*fake.Entry{{Name: "entry-0"}}, startedAt)
	require.NoError(t, err)
	require.Equal(t, []Change{{"docs", "entry-0", 2 * time.Second}}, changes)
}

func TestRequestsAreHeldWherePoolsMayChangeTheirOwners(t *testing.T) {
	entries := []string{"entry-0", "entry-1"}
	spans := holdSpans([]Fault{{Term, "entry-0", at(2), at(1)}, {Reload, "entry-1", at(2.5), 0}, {Pause, "entry-1", at(10), at(5)}, {MachinesDown, "", at(18), at(1)}, {StoreFull, "", at(20), at(5)}, {LinkCut, "entry-1>store", at(30), at(1)}, {LinkCut, "entry-1>machines", at(40), at(1)}}, entries)
	require.Equal(t, []span{
		{at(2) - holdBefore, at(2) + stopPatience + takeoverTime, entries},
		{at(10) - holdBefore, at(10) + takeoverTime, entries},
		{at(15) - holdBefore, at(15) + holdAfter, entries},
		{at(20) - holdBefore, at(20) + takeoverTime, entries},
		{at(25) - holdBefore, at(25) + takeoverTime, entries},
		{at(30) - holdBefore, at(31) + takeoverTime, entries},
	}, spans)
	var many []string
	for i := range 20 {
		many = append(many, fake.EntryName(i))
	}
	held := heldEntries(many, "entry-19")
	require.Len(t, held, maxHeldEntries)
	require.Contains(t, held, "entry-19")
	require.Len(t, heldEntries(many, ""), maxHeldEntries)
}

// A stop waits for these requests, so that whether some are open does not depend on when it comes.
func TestOnlyRequestsThatCannotEndBeforeTheSignalHoldAStop(t *testing.T) {
	long := openRequest{entry: "entry-0", verb: Submit, beginAt: at(9.78), sentAt: at(9.78)}
	upload := openRequest{entry: "entry-0", verb: Submit, beginAt: at(9.65), drips: true}
	change := func(r openRequest, f func(*openRequest)) openRequest {
		f(&r)
		return r
	}
	for name, c := range map[string]struct {
		long, upload openRequest
		holds        bool
	}{
		"both":                    {long, upload, true},
		"a look":                  {change(long, func(r *openRequest) { r.verb = Look }), upload, false},
		"just sent":               {change(long, func(r *openRequest) { r.sentAt = at(9.81) }), upload, false},
		"an answer may come":      {change(long, func(r *openRequest) { r.beginAt = at(9.755) }), upload, false},
		"the upload may end":      {long, change(upload, func(r *openRequest) { r.beginAt = at(9.605) }), false},
		"the upload has ended":    {long, change(upload, func(r *openRequest) { r.sentAt = at(9.9) }), false},
		"no upload":               {long, change(upload, func(r *openRequest) { r.drips = false }), false},
		"the long one elsewhere":  {change(long, func(r *openRequest) { r.entry = "entry-1" }), upload, false},
		"the upload is elsewhere": {long, change(upload, func(r *openRequest) { r.entry = "entry-1" }), false},
	} {
		core := &openedCore{map[*openRequest]struct{}{&c.long: {}, &c.upload: {}}}
		require.Equal(t, c.holds, core.holds("entry-0", at(10)), name)
	}
}
