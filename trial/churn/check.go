package churn

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/soak"
)

// Request is one transmission of a request. All times of a history count from its start.
type Request struct {
	ID    string `json:"id"`
	Entry string `json:"entry"`
	// BeginAt is when the first byte was written, SentAt when the last one was, EndAt when the answer was complete or the wait
	// for it ended.
	BeginAt    time.Duration `json:"begin-ns"`
	SentAt     time.Duration `json:"sent-ns"`
	EndAt      time.Duration `json:"end-ns"`
	Idempotent bool          `json:"idempotent,omitempty"`
	// Status is 0 if there was no complete answer.
	Status  int          `json:"status"`
	Outcome wire.Outcome `json:"outcome,omitempty"`
	// Echo means that the answer is the target's echo of this request.
	Echo bool `json:"echo,omitempty"`
	// TimedOut means that the caller stopped waiting, and Closing that the answer before it on its connection had announced the end
	// of the connection.
	TimedOut bool   `json:"timed-out,omitempty"`
	Closing  bool   `json:"closing,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Exit is the end of an entry's process.
type Exit struct {
	Entry string        `json:"entry"`
	At    time.Duration `json:"at-ns"`
	// Cause is the fault that ended the process; empty if it ended by itself.
	Cause    soak.Kind     `json:"cause,omitempty"`
	SignalAt time.Duration `json:"signal-ns"`
	// Error is the result of the process; empty if it succeeded.
	Error string `json:"error,omitempty"`
	// Overdue means that it had not ended within the time of a stop and was killed.
	Overdue bool `json:"overdue,omitempty"`
}

// End is what an entry said at the end of a run.
type End struct {
	Entry string `json:"entry"`
	// Error says why the entry was not ready or answered no request.
	Error string `json:"error,omitempty"`
	// Records are the names of the records that callers have published, as the entry knows them.
	Records []string `json:"records"`
}

// History is all that was seen in a run.
type History struct {
	Requests []Request     `json:"requests"`
	Windows  []soak.Window `json:"windows"`
	Exits    []Exit        `json:"exits"`
	// Accepted are the names of the records that entries have accepted.
	Accepted []string `json:"accepted"`
	Ends     []End    `json:"ends"`
	// Waves are the waves that entries have accepted.
	Waves   []Wave   `json:"waves"`
	Outages []Outage `json:"outages"`
	// Pools are the hosts of each pool.
	Pools map[string][]string `json:"pools"`
	// Runs counts the executions of each request on all targets.
	Runs map[string]int `json:"runs"`
}

// Breach is a case in which a promise was broken.
type Breach struct {
	Promise string `json:"promise"`
	What    string `json:"what"`
}

// promise is a promise of the product with a check of a history.
type promise struct {
	name, sentence string
	// check describes each case in which the history breaks the promise, cases counts what put it to the test.
	check func(*History) []string
	cases func(*History) int
}

var promises = []promise{
	{"answers-in-a-stop", "No answer has a limit that is later than the end of what gives it (docs/DESIGN.md, Stopping).", checkStopAnswers, func(h *History) int {
		return count(h.Requests, func(r Request) bool { return h.stopOf(r) })
	}},
	{"stop-in-time", "An entry that gets SIGTERM ends by itself within its stop-timeout; no entry ends without a signal (docs/OPERATE.md).", checkExits, func(h *History) int {
		return count(h.Exits, h.planned)
	}},
	{"outcomes-are-true", "not-run means that nothing ran, done that the whole answer belongs to the request, and a request that is not idempotent runs once at most (docs/DESIGN.md, Requests).", checkOutcomes, func(h *History) int {
		// Requests that were repeated, or of which nobody was told whether they ran.
		return count(h.results(), func(r load.Result) bool { return len(r.Attempts) > 1 || r.Attempts[0].Outcome != wire.Done })
	}},
	{"ready-again", "After faults have ended, each entry is ready and serves requests.", checkReady, func(h *History) int { return len(h.Windows) }},
	{"records-are-kept", "A record that was accepted is known to all entries (docs/DESIGN.md, The order of the log decides).", checkRecords, func(h *History) int { return len(h.Accepted) }},
	{"budgets-are-kept", "Every pool's budget holds through waves (docs/PROOFS.md).", checkBudgets, func(h *History) int { return len(h.Outages) }},
	{"waves-end", "A wave that was accepted maintains all hosts of its pools; it resumes after failures (docs/OPERATE.md, Run a maintenance wave).", checkWaves, func(h *History) int {
		return count(h.Waves, func(w Wave) bool { return len(w.Quarantined) == 0 })
	}},
}

const (
	// lossSlack is the age up to which a request may be lost with its connection.
	lossSlack = 200 * time.Millisecond
	// contactTime is the time without unplanned faults after which a stop is judged.
	contactTime = 3 * time.Second
	// stopMargin is added to the time of a stop for requests that are cut off.
	stopMargin = time.Second
)

// calm reports whether no unplanned fault was active in a span of time.
func (h *History) calm(from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Windows, func(w soak.Window) bool { return w.Kind != soak.Term && w.From <= to && w.To >= from })
}

// stopOf reports whether a request is one that an entry has to answer in its planned stop.
func (h *History) stopOf(r Request) bool {
	if r.SentAt == 0 || r.TimedOut || r.Closing || r.EndAt-r.SentAt <= lossSlack || !h.calm(r.SentAt-contactTime, r.EndAt) {
		return false
	}
	return slices.ContainsFunc(h.Windows, func(w soak.Window) bool {
		return w.Kind == soak.Term && w.Target == r.Entry && r.EndAt >= w.From && r.EndAt <= w.From+stopTimeout+stopMargin
	})
}

func checkStopAnswers(h *History) []string {
	var out []string
	for _, r := range h.Requests {
		if r.Status == 0 && h.stopOf(r) {
			out = append(out, fmt.Sprintf("request %s at %s, sent at %v, without an answer at %v: %s", r.ID, r.Entry, r.SentAt, r.EndAt, r.Error))
		}
	}
	return out
}

// planned reports whether the end of a process is judged as that of a planned stop.
func (h *History) planned(e Exit) bool {
	return e.Cause == soak.Term && h.calm(e.SignalAt-contactTime, e.At)
}

func checkExits(h *History) []string {
	var out []string
	for _, e := range h.Exits {
		switch {
		case e.Cause == "":
			out = append(out, fmt.Sprintf("%s ended by itself at %v: %s", e.Entry, e.At, e.Error))
		case h.planned(e) && (e.Overdue || e.Error != ""):
			out = append(out, fmt.Sprintf("%s ended at %v, %v after SIGTERM: %s", e.Entry, e.At, e.At-e.SignalAt, e.Error))
		}
	}
	return out
}

// results returns the transmissions of each request as one result.
func (h *History) results() []load.Result {
	var out []load.Result
	index := map[string]int{}
	for _, r := range h.Requests {
		i, ok := index[r.ID]
		if !ok {
			i = len(out)
			index[r.ID] = i
			out = append(out, load.Result{ID: r.ID, Idempotent: r.Idempotent})
		}
		a := load.Attempt{Entry: r.Entry, Outcome: r.Outcome, Status: r.Status, Reason: r.Error}
		if r.Status == 0 {
			a.Outcome = wire.Unknown
		}
		out[i].Attempts = append(out[i].Attempts, a)
		out[i].EchoMatches = r.Echo
	}
	return out
}

func checkOutcomes(h *History) []string {
	var out []string
	for _, v := range load.Check(h.results(), h.Runs) {
		out = append(out, v.ID+": "+v.Reason)
	}
	return out
}

func checkReady(h *History) []string {
	var out []string
	for _, e := range h.Ends {
		if e.Error != "" {
			out = append(out, e.Entry+": "+e.Error)
		}
	}
	return out
}

func checkRecords(h *History) []string {
	var out []string
	for _, e := range h.Ends {
		for _, name := range h.Accepted {
			if e.Error == "" && !slices.Contains(e.Records, name) {
				out = append(out, fmt.Sprintf("%s does not know record %s, which was accepted", e.Entry, name))
			}
		}
	}
	for _, e := range h.Ends {
		if first := h.Ends[0]; e.Error == "" && first.Error == "" && !slices.Equal(e.Records, first.Records) {
			out = append(out, fmt.Sprintf("%s knows the records %s, but %s knows %s", e.Entry, strings.Join(e.Records, " "), first.Entry, strings.Join(first.Records, " ")))
		}
	}
	return out
}

// judge checks all promises against a history.
func judge(seed uint64, h *History) Row {
	r := Row{Seed: seed, Faults: map[soak.Kind]int{}, Requests: len(h.Requests), Cases: map[string]int{}, LeastLong: -1}
	r.Done = count(h.Requests, func(q Request) bool { return q.Outcome == wire.Done })
	for _, w := range h.Windows {
		r.Faults[w.Kind]++
		if w.Kind != soak.Term {
			continue
		}
		r.Stops++
		long := count(h.Requests, func(q Request) bool {
			return q.Entry == w.Target && q.SentAt+lossSlack < w.From && q.EndAt > w.From
		})
		if r.LeastLong < 0 || long < r.LeastLong {
			r.LeastLong = long
		}
	}
	r.LeastLong = max(r.LeastLong, 0)
	for _, p := range promises {
		broken := p.check(h)
		for _, what := range broken {
			r.Broken = append(r.Broken, Breach{p.name, what})
		}
		if r.Cases[p.name] = p.cases(h); r.Cases[p.name] == 0 && len(broken) == 0 {
			r.NotChecked = append(r.NotChecked, p.name)
		}
	}
	return r
}

func count[T any](list []T, f func(T) bool) int {
	n := 0
	for _, v := range list {
		if f(v) {
			n++
		}
	}
	return n
}
