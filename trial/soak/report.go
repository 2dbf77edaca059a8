package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"carawaymux.dev/trial/fake"
)

// Breach is a case in which a promise was broken.
type Breach struct {
	Promise string `json:"promise"`
	What    string `json:"what"`
}

// String returns the breach in one line.
func (b Breach) String() string { return b.Promise + ": " + b.What }

// Row is the result of one seed.
type Row struct {
	Seed uint64 `json:"seed"`
	// Faults counts the faults by kind as they were carried out.
	Faults map[Kind]int `json:"faults"`
	// Jobs counts the jobs, Accepted those that were accepted, and Requests the requests of callers.
	Jobs     int `json:"jobs"`
	Accepted int `json:"accepted"`
	Requests int `json:"requests"`
	// Unanswered counts the requests without a complete answer.
	Unanswered int `json:"unanswered"`
	Runs       int `json:"runs"`
	// Stops counts the planned stops of entries, and Calm is the part of the time without an unplanned fault in
	// the contact time before, in which promises with time bounds are judged.
	Stops int     `json:"stops"`
	Calm  float64 `json:"calm"`
	// Unfinished counts the accepted jobs that had not ended.
	Unfinished int `json:"unfinished"`
	// LateMS is the longest time by which a timer of the soak was late, in milliseconds.
	LateMS int64 `json:"late-ms"`
	// MostUnacknowledged is the largest number of ends of a host that no entry had acknowledged.
	MostUnacknowledged int `json:"most-unacknowledged"`
	// Hints counts the violations that the stand-in of the platform has seen; see History.StandIn.
	Hints int `json:"hints"`
	// AtStops are the requests that were open at entries when they were stopped, and AtChanges those at entries that
	// served undisturbed when a pool changed its owner.
	AtStops   Open `json:"at-stops"`
	AtChanges Open `json:"at-changes"`
	// Cases counts what put each promise to the test.
	Cases  map[string]int `json:"cases"`
	Broken []Breach       `json:"broken"`
	// NotChecked lists the promises that nothing put to the test. They do not count as kept.
	NotChecked []string `json:"not-checked"`
}

// judge checks all promises against a history.
func judge(seed uint64, h *History) Row {
	r := Row{Seed: seed, Faults: map[Kind]int{}, Cases: map[string]int{}, Jobs: len(h.Jobs), Requests: len(h.Requests), Unfinished: len(h.open()), Hints: len(h.StandIn), LateMS: h.Late.Milliseconds()}
	r.Accepted = len(h.answered(Submit, 200))
	for _, q := range h.Requests {
		if q.Status == 0 {
			r.Unanswered++
		}
	}
	for _, w := range h.Windows {
		r.Faults[w.Kind]++
	}
	r.Stops = r.Faults[Term]
	for _, e := range h.Hosts {
		if e.Kind == fake.RunStarted {
			r.Runs++
		}
	}
	calm, steps := 0, 0
	for at := contactTime; at <= h.End; at += calmStep {
		steps++
		if h.calm(at-contactTime, at) {
			calm++
		}
	}
	if steps > 0 {
		r.Calm = float64(calm) / float64(steps)
	}
	r.MostUnacknowledged = h.mostUnacknowledged()
	r.AtStops, r.AtChanges = h.openAtStops(), h.openAtChanges(h.entries())
	for _, p := range Promises() {
		broken := p.Check(h)
		for _, what := range broken {
			r.Broken = append(r.Broken, Breach{p.Name, what})
		}
		if r.Cases[p.Name] = p.Cases(h); r.Cases[p.Name] == 0 && len(broken) == 0 {
			r.NotChecked = append(r.NotChecked, p.Name)
		}
	}
	return r
}

// total returns the number of faults.
func (r Row) total() int {
	n := 0
	for _, count := range r.Faults {
		n += count
	}
	return n
}

func (r Row) summary() string {
	text := fmt.Sprintf("%d faults, %d requests, %d runs, %d promises broken, %d jobs unfinished, %d hints, up to %d unacknowledged ends of a host, timers up to %d ms late; open at stops: %s; at changes of owners: %s",
		r.total(), r.Requests, r.Runs, len(r.Broken), r.Unfinished, r.Hints, r.MostUnacknowledged, r.LateMS, r.AtStops, r.AtChanges)
	if len(r.NotChecked) > 0 {
		text += "; NOT CHECKED: " + strings.Join(r.NotChecked, ", ")
	}
	return text
}

// printRows prints the results as JSON lines or as a table.
func printRows(o *Options, rows []Row) error {
	if o.JSON {
		encoder := json.NewEncoder(o.Out)
		for _, r := range rows {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	fmt.Fprintln(o.Out, "at stops, at changes of owners: requests that had been open for long/uploads")
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tfaults\tstops\tcalm\tjobs\taccepted\trequests\tunanswered\truns\tunfinished\thints\tat stops\tat changes\tnot checked\tbroken\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.0f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%d/%d\t%d\t%d\t\n", r.Seed, r.total(), r.Stops, percent*r.Calm, r.Jobs, r.Accepted,
			r.Requests, r.Unanswered, r.Runs, r.Unfinished, r.Hints, r.AtStops.Long, r.AtStops.Uploads, r.AtChanges.Long, r.AtChanges.Uploads, len(r.NotChecked), len(r.Broken))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if len(r.NotChecked) > 0 {
			fmt.Fprintf(o.Out, "seed %d, NOT CHECKED: %s\n", r.Seed, strings.Join(r.NotChecked, ", "))
		}
	}
	byKind := map[Kind]int{}
	for _, r := range rows {
		for k, n := range r.Faults {
			byKind[k] += n
		}
	}
	fmt.Fprint(o.Out, "faults by kind:")
	for _, k := range Kinds() {
		fmt.Fprintf(o.Out, " %s %d", k, byKind[k])
	}
	_, err := fmt.Fprintln(o.Out)
	return err
}

const (
	percent = 100
	// calmStep is the distance of the times at which calm is sampled.
	calmStep = contactTime / 30
)

// keepResult writes the history and the result of a run beside its case and the logs of the entries.
func keepResult(dir string, h *History, r Row) error {
	if err := writeJSON(dir, "history.json", h); err != nil {
		return err
	}
	return writeJSON(dir, "result.json", r)
}

func writeJSON(dir, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), raw, 0o644)
}
