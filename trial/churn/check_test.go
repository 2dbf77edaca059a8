package churn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/soak"
)

// at returns a time in seconds from the start of a history.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// asked returns a request to the first entry that took half a second.
func asked(seconds float64, id string, outcome wire.Outcome) Request {
	return Request{ID: id, Entry: "e1", BeginAt: at(seconds), SentAt: at(seconds), EndAt: at(seconds + 0.5), Status: 200, Outcome: outcome, Echo: outcome == wire.Done}
}

// cut returns a request to the first entry that got no answer.
func cut(seconds float64) Request {
	r := asked(seconds, "lost", "")
	r.Status, r.Error = 0, "EOF"
	return r
}

// kept returns a history of a planned stop in which all promises were kept.
func kept() *History {
	return &History{
		Requests: []Request{asked(9.8, "a", wire.Done), asked(10, "b", wire.NotRun)},
		Windows:  []soak.Window{{Kind: soak.Term, Target: "e1", From: at(10.1), To: at(14)}},
		Exits:    []Exit{{Entry: "e1", At: at(12), Cause: soak.Term, SignalAt: at(10.1)}},
		Accepted: []string{"note-1"},
		Ends:     []End{{Entry: "e1", Records: []string{"note-1", "note-2"}}, {Entry: "e2", Records: []string{"note-1", "note-2"}}},
		Runs:     map[string]int{"a": 1},
		Waves:    []Wave{{Name: "wave-1", Phase: phaseDone}},
		Pools:    map[string][]string{"brief": {"h1", "h2"}, "long": {"h3"}},
		Outages: []Outage{
			{"brief", "h1", at(10), at(10.3)}, {"long", "h3", at(10.1), at(10.4)}, {"brief", "h2", at(10.3), at(10.6)},
		},
	}
}

func TestAHistoryInWhichAllIsKeptBreaksNoPromise(t *testing.T) {
	r := judge(1, kept())
	require.Empty(t, r.Broken)
	require.Empty(t, r.NotChecked)
	require.Equal(t, 1, r.LeastLong)
}

func TestEachPromiseIsSeenBroken(t *testing.T) {
	for name, c := range map[string]struct {
		promise string
		change  func(*History)
	}{
		"cut off in a stop":         {"answers-in-a-stop", func(h *History) { h.Requests = append(h.Requests, cut(10)) }},
		"ended by itself":           {"stop-in-time", func(h *History) { h.Exits[0].Cause = "" }},
		"killed after its time":     {"stop-in-time", func(h *History) { h.Exits[0].Overdue = true }},
		"exit code":                 {"stop-in-time", func(h *History) { h.Exits[0].Error = "exit status 1" }},
		"ran, but answered not-run": {"outcomes-are-true", func(h *History) { h.Runs["b"] = 1 }},
		"done, but never ran":       {"outcomes-are-true", func(h *History) { delete(h.Runs, "a") }},
		"ran twice":                 {"outcomes-are-true", func(h *History) { h.Runs["a"] = 2 }},
		"the answer of another":     {"outcomes-are-true", func(h *History) { h.Requests[0].Echo = false }},
		"not ready at the end":      {"ready-again", func(h *History) { h.Ends[1].Error = "not ready" }},
		"a record is lost":          {"records-are-kept", func(h *History) { h.Ends[1].Records = []string{"note-2"} }},
		"entries differ":            {"records-are-kept", func(h *History) { h.Ends[1].Records = []string{"note-1"} }},
		"two hosts are rebooted":    {"budgets-are-kept", func(h *History) { h.Outages[2].From = at(10.2) }},
		"a wave stays paused":       {"waves-end", func(h *History) { h.Waves[0].Phase = "paused" }},
		"a wave waits for a quarantine in another pool": {"waves-end", func(h *History) {
			h.Waves[0].Phase, h.Waves[0].Quarantined, h.Pools["brief"] = "running", []string{"h3"}, []string{"h1", "h2", "h4"}
		}},
		"a wave is lost": {"waves-end", func(h *History) { h.Waves[0].Phase, h.Waves[0].Quarantined = "", []string{"h1"} }},
	} {
		t.Run(name, func(t *testing.T) {
			h := kept()
			c.change(h)
			r := judge(1, h)
			require.NotEmpty(t, r.Broken)
			for _, b := range r.Broken {
				require.Equal(t, c.promise, b.Promise)
			}
		})
	}
}

func TestChecksJudgeOnlyWhatIsPromised(t *testing.T) {
	for name, change := range map[string]func(*History){
		"sent as the connection closed": func(h *History) {
			r := cut(10)
			r.EndAt = r.SentAt + lossSlack
			h.Requests = append(h.Requests, r)
		},
		"sent in part": func(h *History) {
			r := cut(10)
			r.SentAt = 0
			h.Requests = append(h.Requests, r)
		},
		"sent after the answer that closes the connection": func(h *History) {
			r := cut(10)
			r.Closing = true
			h.Requests = append(h.Requests, r)
		},
		"the caller stopped waiting": func(h *History) {
			r := cut(10)
			r.TimedOut = true
			h.Requests = append(h.Requests, r)
		},
		"an unplanned fault beside it": func(h *History) {
			h.Requests = append(h.Requests, cut(10))
			h.Windows = append(h.Windows, soak.Window{Kind: soak.Kill, Target: "e2", From: at(9), To: at(9.5)})
		},
		"an idempotent request that ran twice": func(h *History) {
			h.Requests[0].Idempotent, h.Runs["a"] = true, 2
		},
		"a wave that waits for a quarantine": func(h *History) {
			h.Waves[0].Phase, h.Waves[0].Quarantined = "running", []string{"h1"}
		},
		"a record that nobody was told of": func(h *History) { h.Accepted = append(h.Accepted[:0:0], "note-2") },
	} {
		t.Run(name, func(t *testing.T) {
			h := kept()
			change(h)
			require.Empty(t, judge(1, h).Broken)
		})
	}
}

func TestPromisesThatNothingPutToTheTestAreNotChecked(t *testing.T) {
	require.Len(t, judge(1, &History{}).NotChecked, len(promises))
}
