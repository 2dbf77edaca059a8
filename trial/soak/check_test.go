package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
)

const (
	testJob   = "00000000000000aa"
	testTask  = testJob + ".0.0.0"
	otherTask = testJob + ".0.0.1"
	laterTask = testJob + ".0.1.0"
)

// at returns a time in seconds from the start of a history.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// start, end, ack and gone return events on host h1 unless a test changes it.
func start(seconds float64, task string, run int64) HostEvent {
	return HostEvent{fake.Event{Kind: fake.RunStarted, Host: "h1", Pool: guardedPool, Task: task, Run: run, Specification: "500"}, at(seconds)}
}

func end(seconds float64, task string, run int64, result string) HostEvent {
	return HostEvent{fake.Event{Kind: fake.RunEnded, Host: "h1", Pool: guardedPool, Task: task, Run: run, Result: result}, at(seconds)}
}

func ack(seconds float64, task string, run int64, result string) HostEvent {
	return HostEvent{fake.Event{Kind: fake.RunAcknowledged, Host: "h1", Pool: guardedPool, Task: task, Run: run, Result: result}, at(seconds)}
}

func gone(seconds float64) HostEvent {
	return HostEvent{fake.Event{Kind: fake.HostGone, Host: "h1", Pool: guardedPool}, at(seconds)}
}

func boot(seconds float64) HostEvent {
	return HostEvent{fake.Event{Kind: fake.HostBooted, Host: "h1", Pool: guardedPool}, at(seconds)}
}

// on moves an event to another host.
func on(host string, e HostEvent) HostEvent {
	e.Host = host
	return e
}

// asked returns a request that took 100 ms.
func asked(seconds float64, verb Verb, status int, state string) Request {
	return Request{Job: testJob, Queue: guardedPool, Verb: verb, Entry: "entry-0", SentAt: at(seconds), EndAt: at(seconds + 0.1), Status: status, State: state}
}

// onExtra moves a request to the extra queue.
func onExtra(r Request) Request {
	r.Queue = extraQueue
	return r
}

// cut returns a request that got no answer.
func cut(seconds, duration float64) Request {
	return Request{Job: testJob, Queue: guardedPool, Verb: Look, Entry: "entry-0", SentAt: at(seconds), EndAt: at(seconds + duration), Error: "EOF"}
}

func window(k Kind, target string, from, to float64) Window {
	return Window{Kind: k, Target: target, From: at(from), To: at(to)}
}

// twoSteps is a job of two tasks and one that depends on them.
func twoSteps() Job {
	return Job{ID: testJob, Queue: guardedPool, Pool: guardedPool, Specification: "500", Steps: []fake.StepSpec{{Count: 2}, {Count: 1, After: []int{0}}}}
}

// kept is a history in which all promises are kept: a job that runs and is shown as completed.
func kept() *History {
	return &History{
		Jobs:     []Job{twoSteps()},
		Requests: []Request{asked(1, Submit, http.StatusOK, ""), asked(2, Look, http.StatusOK, "running"), asked(5, Look, http.StatusOK, stateCompleted)},
		Hosts: []HostEvent{
			boot(0), start(1.2, testTask, 1), start(1.2, otherTask, 1), end(1.7, testTask, 1, "done"), end(1.7, otherTask, 1, "done"),
			ack(1.8, testTask, 1, "done"), ack(1.8, otherTask, 1, "done"),
			start(2, laterTask, 1), end(2.5, laterTask, 1, "done"), ack(2.6, laterTask, 1, "done"),
		},
		Probes: []Probe{{Entry: "entry-0", At: at(4), Ready: true}}, TrafficEnd: at(6), End: at(30),
	}
}

func TestAHistoryInWhichAllIsKeptBreaksNoPromise(t *testing.T) {
	require.Empty(t, judge(1, kept()).Broken)
}

// breaches holds, for each promise, histories that break it, and histories close to them that do not.
var breaches = map[string]struct{ broken, allowed map[string]func(*History) }{
	"answers-in-a-stop": {
		broken: map[string]func(*History){
			"cut off in a stop": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 1))
				h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15))
			},
			"cut off after a reload": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 1))
				h.Windows = append(h.Windows, window(Reload, "entry-0", 10.5, 10.5))
			},
			"another entry stops too": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 1))
				h.Windows = append(h.Windows, window(Term, "entry-1", 9, 15), window(Term, "entry-0", 9.5, 15))
			},
		},
		allowed: map[string]func(*History){
			"sent as the connection closed": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 0.1))
				h.Windows = append(h.Windows, window(Term, "entry-0", 9.5, 15))
			},
			"unplanned fault beside it": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 1))
				h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15), window(StoreBusy, "", 5, 7.5))
			},
			"another entry stops": func(h *History) {
				h.Requests = append(h.Requests, cut(10, 1))
				h.Windows = append(h.Windows, window(Term, "entry-1", 10.5, 15))
			},
			"the caller stopped waiting": func(h *History) {
				r := cut(10, 3)
				r.TimedOut = true
				h.Requests = append(h.Requests, r)
				h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15))
			},
			"sent after the answer that closes the connection": func(h *History) {
				r := cut(10, 1)
				r.Closing = true
				h.Requests = append(h.Requests, r)
				h.Windows = append(h.Windows, window(Term, "entry-0", 10.5, 15))
			},
		},
	},
	"stop-in-time": {
		broken: map[string]func(*History){
			"ended by itself": func(h *History) { h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(9)}) },
			"killed at the end of the grace period": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(16), SignalAt: at(10), Cause: Term, Overdue: true})
			},
			"ended late": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(17.5), SignalAt: at(10), Cause: Term})
			},
			"exit code": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(13), SignalAt: at(10), Cause: Term, Error: "exit status 1"})
			},
		},
		allowed: map[string]func(*History){
			"seen late": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(17.5), SignalAt: at(10), Cause: Term})
				h.Late = time.Second
			},
			"paused during the stop": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(16), SignalAt: at(10), Cause: Term, Overdue: true})
				h.Windows = append(h.Windows, window(Pause, "entry-0", 11, 15.5))
			},
			"killed": func(h *History) {
				h.Exits = append(h.Exits, Exit{Entry: "entry-0", At: at(10), SignalAt: at(10), Cause: Kill, Error: "signal: killed"})
			},
		},
	},
	"no-run-twice": {
		broken: map[string]func(*History){
			"two runs at once": func(h *History) {
				h.Hosts = slices.Insert(h.Hosts, 3, on("h2", start(1.4, testTask, 2)), on("h2", end(1.5, testTask, 2, "stopped")))
			},
			"again after it was done": func(h *History) {
				h.Hosts = append(h.Hosts, on("h2", start(3, testTask, 2)), on("h2", end(3.5, testTask, 2, "done")))
			},
			"done, and taken note of later": func(h *History) {
				h.Hosts = slices.Insert(h.Hosts, 5, on("h2", start(1.75, testTask, 2)), on("h2", end(1.76, testTask, 2, "stopped")))
			},
		},
		allowed: map[string]func(*History){
			"after its host crashed": func(h *History) {
				h.Hosts = slices.Insert(h.Hosts, 1, start(0.5, testTask, 0), gone(0.8), boot(1))
			},
			"done, but the lease expired": func(h *History) {
				lapsed := ack(0.9, testTask, 0, "done")
				lapsed.LeaseExpired = true
				h.Hosts = slices.Insert(h.Hosts, 1, start(0.5, testTask, 0), end(0.8, testTask, 0, "done"), lapsed)
			},
		},
	},
	"nothing-unasked": {
		broken: map[string]func(*History){
			"a task that no caller sent": func(h *History) {
				h.Hosts = append(h.Hosts, start(3, testJob+".0.0.2", 1), end(3.5, testJob+".0.0.2", 1, "done"))
			},
			"another specification":  func(h *History) { h.Hosts[1].Specification = "600" },
			"a host of another pool": func(h *History) { h.Hosts[1].Pool = unguardedPool },
		},
	},
	"order-of-steps": {
		broken: map[string]func(*History){
			"before the first step is done": func(h *History) {
				h.Hosts = slices.Insert(h.Hosts, 3, start(1.6, laterTask, 0), end(1.65, laterTask, 0, "stopped"))
			},
		},
	},
	"capacity-of-hosts": {
		broken: map[string]func(*History){
			"one run too many": func(h *History) {
				h.Jobs[0].Steps[0].Count = 5
				h.Hosts = slices.Insert(h.Hosts, 3, start(1.3, testJob+".0.0.2", 1), start(1.3, testJob+".0.0.3", 1), start(1.3, testJob+".0.0.4", 1))
			},
		},
		allowed: map[string]func(*History){
			"a run ends before": func(h *History) {
				h.Jobs[0].Steps[0].Count = 4
				h.Hosts = slices.Insert(h.Hosts, 3, start(1.3, testJob+".0.0.2", 1), end(1.4, testJob+".0.0.2", 1, "done"),
					start(1.4, testJob+".0.0.3", 1), end(1.5, testJob+".0.0.3", 1, "done"))
			},
		},
	},
	"max-attempts": {
		broken: map[string]func(*History){
			"after three failures": func(h *History) { h.Hosts = slices.Insert(h.Hosts, 1, failures(3)...) },
		},
		allowed: map[string]func(*History){
			"after two failures": func(h *History) { h.Hosts = slices.Insert(h.Hosts, 1, failures(2)...) },
		},
	},
	"stays-cancelled": {
		broken: map[string]func(*History){
			"a start": func(h *History) {
				h.Requests = append(h.Requests, asked(6, Cancel, http.StatusOK, ""))
				h.Hosts = append(h.Hosts, start(9.5, laterTask, 2), end(9.6, laterTask, 2, "stopped"))
			},
			"a run that goes on": func(h *History) {
				h.Requests = append(h.Requests, asked(6, Cancel, http.StatusOK, ""))
				h.Hosts = append(h.Hosts, start(5.5, laterTask, 2))
			},
		},
		allowed: map[string]func(*History){
			"a start within its time": func(h *History) {
				h.Requests = append(h.Requests, asked(6, Cancel, http.StatusOK, ""))
				h.Hosts = append(h.Hosts, start(8.5, laterTask, 2), end(8.6, laterTask, 2, "stopped"))
			},
			"a start beside a fault": func(h *History) {
				h.Requests = append(h.Requests, asked(6, Cancel, http.StatusOK, ""))
				h.Hosts = append(h.Hosts, start(9.5, laterTask, 2), end(9.6, laterTask, 2, "stopped"))
				h.Windows = append(h.Windows, window(StoreSilent, "", 6, 8))
			},
		},
	},
	"refused-is-not-run": {
		broken: map[string]func(*History){
			"all refused": func(h *History) { h.Requests = []Request{asked(1, Submit, http.StatusServiceUnavailable, "")} },
		},
		allowed: map[string]func(*History){
			"outcome unknown": func(h *History) {
				h.Requests = []Request{asked(0.5, Submit, http.StatusGatewayTimeout, ""), asked(1, Submit, http.StatusServiceUnavailable, "")}
			},
		},
	},
	"never-unknown": {
		broken: map[string]func(*History){
			"no such job": func(h *History) { h.Requests = append(h.Requests, asked(3, Look, http.StatusGone, "")) },
			"no such job to cancel": func(h *History) {
				h.Requests = append(h.Requests, asked(3, Cancel, http.StatusGone, ""))
			},
		},
		allowed: map[string]func(*History){
			"not accepted yet":   func(h *History) { h.Requests = append(h.Requests, asked(0.5, Look, http.StatusGone, "")) },
			"long after its end": func(h *History) { h.Requests = append(h.Requests, asked(130, Look, http.StatusGone, "")) },
		},
	},
	"state-is-true": {
		broken: map[string]func(*History){
			"completed too early": func(h *History) { h.Requests = append(h.Requests, asked(2.1, Look, http.StatusOK, stateCompleted)) },
			"failed without cause": func(h *History) {
				h.Requests = append(h.Requests, asked(3, Look, http.StatusOK, stateFailed))
			},
			"cancelled by nobody": func(h *History) {
				h.Requests = append(h.Requests, asked(3, Look, http.StatusOK, stateCancelled))
			},
			"a job of nobody": func(h *History) {
				r := asked(3, Look, http.StatusOK, "running")
				r.Job = "00000000000000bb"
				h.Requests = append(h.Requests, r)
			},
		},
		allowed: map[string]func(*History){
			"failed after all attempts": func(h *History) {
				h.Hosts = append([]HostEvent{boot(0)}, failures(3)...)
				h.Requests[2].State = stateFailed
			},
		},
	},
	"accepted-is-done": {
		broken: map[string]func(*History){
			"stuck beside idle hosts": func(h *History) {
				h.Requests[2].State = "running"
				h.Hosts = h.Hosts[:7]
			},
			"no answer at the end": func(h *History) {
				h.Requests[2].State = "running"
				h.Requests = append(h.Requests, cut(25, 3))
			},
			"refused at the end": func(h *History) {
				h.Requests[2].State = "running"
				h.Requests = append(h.Requests, asked(25, Look, http.StatusServiceUnavailable, ""))
			},
		},
		allowed: map[string]func(*History){
			"still running": func(h *History) {
				h.Requests[2].State = "running"
				h.Hosts = h.Hosts[:8]
			},
			"a fault near the end": func(h *History) {
				h.Requests[2].State = "running"
				h.Hosts = h.Hosts[:7]
				h.Windows = append(h.Windows, window(Pause, "entry-0", 18, 20))
			},
		},
	},
	"lasting-runs": {
		broken: map[string]func(*History){
			"never started": func(h *History) { h.lasting() },
			"not started again": func(h *History) {
				h.lasting(on("h2", start(4, lastingTask, 1)), on("h2", gone(5)))
				h.cancelLasting(20)
			},
			"started late": func(h *History) {
				h.lasting(start(4, lastingTask, 1), end(5, lastingTask, 1, "lapsed"), start(16, lastingTask, 2))
			},
		},
		allowed: map[string]func(*History){
			"started in time": func(h *History) {
				h.lasting(start(4, lastingTask, 1), end(5, lastingTask, 1, "lapsed"), start(13, lastingTask, 2))
			},
			"cancelled meanwhile": func(h *History) {
				h.lasting(start(4, lastingTask, 1), end(5, lastingTask, 1, "lapsed"))
				h.cancelLasting(13)
			},
			"no room": func(h *History) { h.lasting(slices.Concat(fullHost(), []HostEvent{gone(29)})...) },
			"faults all the time": func(h *History) {
				h.lasting()
				h.Windows = append(h.Windows, window(StoreSilent, "", 3, 9), window(StoreSilent, "", 15, 16), window(StoreSilent, "", 22, 29))
			},
			"a host that has just booted": func(h *History) {
				h.lasting(gone(3), on("h2", boot(25)))
				h.cancelLasting(30)
			},
		},
	},
	"waves-whole": {
		broken: map[string]func(*History){
			"over its cap": func(h *History) {
				h.wave(begun(3, "m-docs-0"), begun(3.1, "m-docs-1"))
				h.Waves[0].Cap = 1
			},
			"completed too early": func(h *History) {
				h.wave(begun(3, "m-docs-0"), begun(4, "m-docs-1"))
				h.Reports = append(h.Reports, WaveReport{7, stateWaveCompleted, at(3.5)})
			},
			"nobody's wave": func(h *History) { h.Reports = append(h.Reports, WaveReport{8, stateWaveCompleted, at(3.5)}) },
		},
		allowed: map[string]func(*History){
			"one after the other": func(h *History) {
				ended := begun(3.5, "m-docs-0")
				ended.Kind = fake.MaintenanceEnded
				h.wave(begun(3, "m-docs-0"), ended, begun(3.6, "m-docs-1"))
				h.Waves[0].Cap = 1
				h.Reports = append(h.Reports, WaveReport{7, stateWaveCompleted, at(3.7)})
			},
		},
	},
	"config-in-time": {
		broken: map[string]func(*History){
			"not found though it is there": func(h *History) {
				h.Requests = append(h.Requests, onExtra(asked(12, Look, http.StatusNotFound, "")))
				h.Windows = append(h.Windows, window(Queue, extraQueue, 6, 9))
			},
			"accepted though it was removed": func(h *History) {
				h.Requests = append(h.Requests, onExtra(asked(12, Submit, http.StatusOK, "")))
				h.Windows = append(h.Windows, window(Queue, extraQueue, 9, 14))
			},
		},
		allowed: map[string]func(*History){
			"removed": func(h *History) {
				h.Requests = append(h.Requests, onExtra(asked(12, Look, http.StatusNotFound, "")))
				h.Windows = append(h.Windows, window(Queue, extraQueue, 9, 14))
			},
			"the configuration is new": func(h *History) {
				h.Requests = append(h.Requests, onExtra(asked(10, Look, http.StatusNotFound, "")), onExtra(asked(8.5, Look, http.StatusOK, "running")))
				h.Windows = append(h.Windows, window(Queue, extraQueue, 7, 9))
			},
			"a fault beside it": func(h *History) {
				h.Requests = append(h.Requests, onExtra(asked(12, Look, http.StatusNotFound, "")))
				h.Windows = append(h.Windows, window(Queue, extraQueue, 6, 9), window(LinkCut, "entry-0>store", 8, 10))
			},
		},
	},
	"within-memory": {
		broken: map[string]func(*History){
			"more than its memory": func(h *History) {
				h.Memory = append(h.Memory, Memory{"entry-0", at(10), fake.EntryMemoryMB << 20})
			},
		},
		allowed: map[string]func(*History){
			"less": func(h *History) { h.Memory = append(h.Memory, Memory{"entry-0", at(10), 100 << 20}) },
		},
	},
	"ready-again": {
		broken: map[string]func(*History){
			"not ready after its start": func(h *History) {
				h.Windows = append(h.Windows, window(Term, "entry-0", 8, 12))
				h.Probes = missed(15.5, 16.5)
			},
		},
		allowed: map[string]func(*History){
			"just started": func(h *History) {
				h.Windows = append(h.Windows, window(Term, "entry-0", 8, 12))
				h.Probes = missed(13, 14)
			},
			"one probe missed":  func(h *History) { h.Probes = missed(15) },
			"a fault elsewhere": func(h *History) { h.Probes, h.Windows = missed(15, 16), []Window{window(StoreSilent, "", 10, 14)} },
		},
	},
	"keys-refused": {
		broken: map[string]func(*History){
			"an unknown key": func(h *History) {
				h.withTenant(0)
				h.Foreign = append(h.Foreign, withKey(asked(10, Look, http.StatusOK, "running"), "", "key-unknown"))
			},
			"a key that was removed": func(h *History) {
				h.withTenant(0)
				h.removeKey(10)
				h.Requests = append(h.Requests, withKey(asked(15.5, Look, http.StatusOK, stateCompleted), testTenant, testKey))
			},
			"no key": func(h *History) {
				h.withTenant(0)
				h.Foreign = append(h.Foreign, withKey(asked(10, Look, http.StatusGone, ""), "", ""))
			},
		},
		allowed: map[string]func(*History){
			"a key that was removed shortly before": func(h *History) {
				h.withTenant(0)
				h.removeKey(10)
				h.Requests = append(h.Requests, withKey(asked(14.5, Look, http.StatusOK, stateCompleted), testTenant, testKey))
			},
		},
	},
	"keys-valid": {
		broken: map[string]func(*History){
			"a valid key": func(h *History) {
				h.withTenant(0)
				h.Requests = append(h.Requests, withKey(asked(10, Look, http.StatusUnauthorized, ""), testTenant, testKey))
			},
		},
		allowed: map[string]func(*History){
			"a key that is new": func(h *History) {
				h.withTenant(0)
				h.Requests = append(h.Requests, withKey(asked(2.5, Look, http.StatusUnauthorized, ""), testTenant, testKey))
			},
			"a key that is being removed": func(h *History) {
				h.withTenant(0)
				h.removeKey(10)
				h.Requests = append(h.Requests, withKey(asked(10.1, Look, http.StatusUnauthorized, ""), testTenant, testKey))
			},
		},
	},
	"own-jobs-only": {
		broken: map[string]func(*History){
			"another tenant sees the job": func(h *History) {
				h.withTenant(0)
				h.foreign(asked(2, Look, http.StatusOK, "running"))
			},
			"another tenant cancels the job": func(h *History) {
				h.withTenant(0)
				h.foreign(asked(2, Cancel, http.StatusOK, ""))
				h.Requests = append(h.Requests, withKey(asked(6, Look, http.StatusOK, stateCancelled), testTenant, testKey))
			},
		},
		allowed: map[string]func(*History){
			"the answer for a job that does not exist": func(h *History) {
				h.withTenant(0)
				h.foreign(asked(2, Look, http.StatusGone, ""))
				h.foreign(asked(2, Cancel, http.StatusOK, ""))
			},
			"an old key of the same tenant": func(h *History) {
				h.withTenant(0)
				h.removeKey(10)
				h.Foreign = append(h.Foreign, withKey(asked(10.1, Look, http.StatusOK, stateCompleted), "", testKey))
			},
		},
	},
	"caps-of-tenants": {
		broken: map[string]func(*History){
			"two tasks with a cap of half a task": func(h *History) { h.withTenant(taskCPU / 2) },
		},
		allowed: map[string]func(*History){
			"one task above the cap": func(h *History) { h.withTenant(taskCPU) },
			"no cap":                 func(h *History) { h.withTenant(0) },
		},
	},
	"room-under-half-cap": {
		broken: map[string]func(*History){
			"nothing runs beside idle hosts": func(h *History) { h.waiting(8 * taskCPU) },
		},
		allowed: map[string]func(*History){
			"no cap": func(h *History) { h.waiting(0) },
			"a fault shortly before": func(h *History) {
				h.waiting(8 * taskCPU)
				h.Windows = append(h.Windows, window(Pause, "entry-0", 3, 30))
			},
		},
	},
}

// failures returns failed runs of a task that have been taken note of.
func failures(n int) []HostEvent {
	var out []HostEvent
	for i := range n {
		run, from := int64(i-n), 0.1+0.1*float64(i)
		out = append(out, start(from, testTask, run), end(from+0.05, testTask, run, "failed"), ack(from+0.06, testTask, run, "failed"))
	}
	return out
}

// missed returns probes that were not answered.
func missed(times ...float64) []Probe {
	var out []Probe
	for _, seconds := range times {
		out = append(out, Probe{Entry: "entry-0", At: at(seconds), Error: "status 503"})
	}
	return out
}

func TestEachPromiseIsSeenBroken(t *testing.T) {
	for _, p := range Promises() {
		require.NotEmpty(t, p.Sentence)
		require.NotEmpty(t, breaches[p.Name].broken, p.Name)
		for name, change := range breaches[p.Name].broken {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				h := kept()
				change(h)
				require.NotEmpty(t, p.Check(h))
			})
		}
	}
}

func TestChecksJudgeOnlyWhatIsPromised(t *testing.T) {
	for _, p := range Promises() {
		for name, change := range breaches[p.Name].allowed {
			t.Run(p.Name+"/"+name, func(t *testing.T) {
				h := kept()
				change(h)
				require.Empty(t, p.Check(h))
			})
		}
	}
}
