package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
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
	// Hints counts the violations that the stand-in of the platform has seen; see History.StandIn.
	Hints  int      `json:"hints"`
	Broken []Breach `json:"broken"`
}

// judge checks all promises against a history.
func judge(seed uint64, h *History) Row {
	r := Row{Seed: seed, Faults: map[Kind]int{}, Jobs: len(h.Jobs), Requests: len(h.Requests), Unfinished: len(h.open()), Hints: len(h.StandIn)}
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
	for _, p := range Promises() {
		for _, what := range p.Check(h) {
			r.Broken = append(r.Broken, Breach{p.Name, what})
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
	return fmt.Sprintf("%d faults, %d requests, %d runs, %d promises broken, %d jobs unfinished, %d hints", r.total(), r.Requests, r.Runs, len(r.Broken), r.Unfinished, r.Hints)
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
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tfaults\tstops\tcalm\tjobs\taccepted\trequests\tunanswered\truns\tunfinished\thints\tbroken\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.0f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Seed, r.total(), r.Stops, percent*r.Calm, r.Jobs, r.Accepted,
			r.Requests, r.Unanswered, r.Runs, r.Unfinished, r.Hints, len(r.Broken))
	}
	if err := w.Flush(); err != nil {
		return err
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
