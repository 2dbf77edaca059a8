package logs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
)

// NeighboursOptions are the options of the neighbours command.
type NeighboursOptions struct {
	Factory *deps.Factory
	JSON    *table.JSONFlag
	// Pool and Image restrict the pairs to those of a pool and those with an image. Either may be empty.
	Pool, Image string
	// All includes pairs that are not suspected any more.
	All bool
	// Files are the paths of the logs of all entries; "-" reads standard input.
	Files []string
}

// Pair is what the logs say last about an ordered pair of images of a pool.
type Pair struct {
	Pool, Image, Beside string
	// Suspected reports whether the owner of the pool keeps the images apart.
	Suspected bool
	// Slowdown is the factor by which tasks of Image are slower beside tasks of Beside, and Deviations the effect in
	// standard deviations of its uncertainty.
	Slowdown, Deviations float64
	// Runs is the number of runs beside each other; Hosts and Jobs are how many of the newest of each show the effect.
	Runs, Hosts, Jobs int
	// Seen is how long before the newest line of all logs the images last met, Since how long the state has lasted, and
	// Logged the age of the line itself.
	Seen, Since, Logged time.Duration
	loggedAt            time.Time
}

// The messages about pairs. They must equal those that the owners of pools log.
const (
	pairSuspected = "pair suspected"
	pairDropped   = "pair no longer suspected"
)

var pairColumns = []table.Column[Pair]{
	{Name: "pool", Value: func(p Pair) any { return p.Pool }},
	{Name: "image", Value: func(p Pair) any { return p.Image }},
	{Name: "beside", Value: func(p Pair) any { return p.Beside }},
	{Name: "state", Value: func(p Pair) any { return p.state() }},
	{Name: "slowdown", Value: func(p Pair) any { return p.Slowdown }},
	{Name: "deviations", Value: func(p Pair) any { return p.Deviations }},
	{Name: "runs", Value: func(p Pair) any { return p.Runs }},
	{Name: "hosts", Value: func(p Pair) any { return p.Hosts }},
	{Name: "jobs", Value: func(p Pair) any { return p.Jobs }},
	{Name: "met-ago", Value: func(p Pair) any { return seconds(p.Seen) }},
	{Name: "lasts", Value: func(p Pair) any { return seconds(p.Since) }},
	{Name: "logged-ago", Value: func(p Pair) any { return seconds(p.Logged) }},
}

func (p *Pair) state() string {
	if p.Suspected {
		return "suspected"
	}
	return "dropped"
}

func seconds(d time.Duration) string { return d.Round(time.Second).String() }

// NewNeighbours builds the neighbours command.
func NewNeighbours(f *deps.Factory, run func(*NeighboursOptions) error) *cobra.Command {
	o := &NeighboursOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "neighbours FILE...",
		Aliases: []string{"neighbors"},
		Short:   "Show which images slow each other down on one host, from the logs of entries",
		Long: `Show which images slow each other down on one host, from the logs of entries.

Tasks of IMAGE take longer beside tasks of BESIDE by the factor SLOWDOWN. DEVIATIONS is the confidence: the effect in
standard deviations of its uncertainty. RUNS is the number of runs beside each other; HOSTS and JOBS are how many of the
newest six of each show the effect. Ages are as of the newest line of all logs. The strongest pairs of a pool are logged
each minute; "-" reads standard input.`,
		Example: "  caraway log neighbours entry-*.log\n  caraway log neighbours --image img-sweep --all entry-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			o.Files = args
			if run != nil {
				return run(o)
			}
			return Neighbours(o)
		},
	}
	cmd.Flags().StringVar(&o.Pool, "pool", "", "only pairs of this `pool`")
	cmd.Flags().StringVar(&o.Image, "image", "", "only pairs with this `image`")
	cmd.Flags().BoolVar(&o.All, "all", false, "include pairs that are not suspected any more")
	o.JSON = table.Bind(cmd, pairColumns)
	return cmd
}

// Neighbours prints the pairs as a table.
func Neighbours(o *NeighboursOptions) error {
	s := o.Factory.Streams
	n := newPairLog()
	for _, name := range o.Files {
		if err := readLog(s.In, name, n.readLog); err != nil {
			return exits.With(exits.Failed, fault.At("read", name, err))
		}
	}
	if n.skippedLines > 0 {
		fmt.Fprintf(s.Err, skippedLinesFormat, n.skippedLines)
	}
	return table.Print(s, o.JSON, pairColumns, n.selected(o))
}

// pairKey names a pair of a pool.
type pairKey struct{ pool, image, beside string }

// pairLog collects the newest line about each pair.
type pairLog struct {
	pairs        map[pairKey]Pair
	newest       time.Time
	skippedLines int
}

func newPairLog() *pairLog { return &pairLog{pairs: map[pairKey]Pair{}} }

func (n *pairLog) readLog(r io.Reader) error {
	return scanLines(r, n.addLine, &n.skippedLines)
}

// addLine takes the line if it is about a pair. It reports whether the line is one of an entry.
func (n *pairLog) addLine(line []byte) bool {
	// Other lines use these names for values of other types, so a line is only decoded whole if it is about a pair.
	var head struct {
		Time    time.Time `json:"time"`
		Message string    `json:"msg"`
	}
	if err := json.Unmarshal(line, &head); err != nil || head.Time.IsZero() {
		return false
	}
	if head.Time.After(n.newest) {
		n.newest = head.Time
	}
	if head.Message != pairSuspected && head.Message != pairDropped {
		return true
	}
	var fields struct {
		Time       time.Time `json:"time"`
		Message    string    `json:"msg"`
		Pool       string    `json:"pool"`
		Image      string    `json:"image"`
		Beside     string    `json:"beside"`
		Slowdown   float64   `json:"slowdown"`
		Deviations float64   `json:"deviations"`
		Runs       int       `json:"runs"`
		Hosts      int       `json:"hosts"`
		Jobs       int       `json:"jobs"`
		SeenMS     int64     `json:"seen-ms"`
		SinceMS    int64     `json:"since-ms"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return false
	}
	key := pairKey{fields.Pool, fields.Image, fields.Beside}
	if known, ok := n.pairs[key]; ok && known.loggedAt.After(fields.Time) {
		return true
	}
	n.pairs[key] = Pair{
		Pool: fields.Pool, Image: fields.Image, Beside: fields.Beside, Suspected: fields.Message == pairSuspected,
		Slowdown: fields.Slowdown, Deviations: fields.Deviations, Runs: fields.Runs, Hosts: fields.Hosts, Jobs: fields.Jobs,
		Seen: milliseconds(fields.SeenMS), Since: milliseconds(fields.SinceMS), loggedAt: fields.Time,
	}
	return true
}

// milliseconds returns a duration, bounded to what a duration holds.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// selected returns the pairs that the options ask for, the strongest first, with ages as of the newest line.
func (n *pairLog) selected(o *NeighboursOptions) []Pair {
	out := []Pair{}
	for _, p := range n.pairs {
		if (o.Pool != "" && p.Pool != o.Pool) || (o.Image != "" && p.Image != o.Image && p.Beside != o.Image) || (!o.All && !p.Suspected) {
			continue
		}
		p.Logged = n.newest.Sub(p.loggedAt)
		p.Seen, p.Since = p.Seen+p.Logged, p.Since+p.Logged
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Image, b.Image), cmp.Compare(a.Beside, b.Beside))
	})
	return out
}
