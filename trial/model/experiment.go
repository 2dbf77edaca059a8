package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Options are the options of the experiment command.
type Options struct {
	// Fleet is "small" (48 hosts) or "large" (1,100 hosts).
	Fleet string
	// Shapes and Policies are the names of those to play; empty for all.
	Shapes, Policies []string
	// Seeds is the number of seeds that each pair of a shape and a policy is played with; it is positive.
	Seeds int
	// JSON selects JSON lines in place of a table.
	JSON bool
	// Picture is the file for a plot of cost and lateness; empty for none.
	Picture string
	// Out receives the results, Progress a line for each shape.
	Out, Progress io.Writer
}

// Row is the mean result of a policy on a shape, and its distance from the oracle's.
type Row struct {
	Result
	// Seeds is the number of plays.
	Seeds int `json:"seeds"`
	// RegretServed and RegretHosts are what the oracle served more, and the host-seconds that it needed
	// less.
	RegretServed float64 `json:"regret-served"`
	RegretHosts  float64 `json:"regret-host-seconds"`
}

// New returns the experiment command.
func New(out, progress io.Writer) *cobra.Command {
	o := &Options{Out: out, Progress: progress}
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare policies that size pools, on loads of several shapes, without a network",
		Example: "  trial experiment --fleet large --seeds 3\n" +
			"  trial experiment --shape turns --policy forecast --policy oracle --json",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return RunExperiment(o) },
	}
	cmd.Flags().StringVar(&o.Fleet, "fleet", "small", "`fleet` to play on: small (48 hosts) or large (1,100 hosts)")
	cmd.Flags().StringArrayVar(&o.Shapes, "shape", nil, "`shape` of the load; may be repeated (default all)")
	cmd.Flags().StringArrayVar(&o.Policies, "policy", nil, "`policy`: static, on-demand, reactive, forecast or oracle; may be repeated (default all)")
	cmd.Flags().IntVar(&o.Seeds, "seeds", 1, "`number` of seeds for each shape and policy")
	cmd.Flags().BoolVar(&o.JSON, "json", false, "print JSON lines")
	cmd.Flags().StringVar(&o.Picture, "picture", "", "`file` for a plot of host-seconds and late jobs")
	return cmd
}

var errSeeds = errors.New("the number of seeds has to be positive")

// RunExperiment plays the shapes with the policies and prints the results. The errors name unknown
// fleets, shapes and policies.
func RunExperiment(o *Options) error {
	fleets := map[string]Fleet{"small": Small, "large": Large}
	f, ok := fleets[o.Fleet]
	if !ok {
		return fmt.Errorf("unknown fleet %q, expected small or large", o.Fleet)
	}
	if o.Seeds < 1 {
		return errSeeds
	}
	policies := o.Policies
	if len(policies) == 0 {
		policies = Policies()
	}
	known := ShapeNames(Shapes(len(f.Kinds), 0))
	for _, name := range o.Shapes {
		if !slices.Contains(known, name) {
			return fmt.Errorf("unknown shape %q, expected one of %v", name, known)
		}
	}
	var rows []Row
	for i, name := range known {
		if len(o.Shapes) > 0 && !slices.Contains(o.Shapes, name) {
			continue
		}
		fmt.Fprintf(o.Progress, "%s (%d of %d)\n", name, i+1, len(known))
		played, err := playShape(f, i, policies, o.Seeds)
		if err != nil {
			return err
		}
		rows = append(rows, played...)
	}
	if err := printRows(o, rows); err != nil {
		return err
	}
	if o.Picture == "" {
		return nil
	}
	return plotRows(o.Picture, rows)
}

// playShape plays one shape with some policies, and with the oracle that they are compared with.
func playShape(f Fleet, shape int, policies []string, seeds int) ([]Row, error) {
	limit, err := meanResult(f, shape, Oracle, seeds)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, policy := range policies {
		r := limit
		if policy != Oracle {
			if r, err = meanResult(f, shape, policy, seeds); err != nil {
				return nil, err
			}
		}
		rows = append(rows, Row{Result: r, Seeds: seeds, RegretServed: limit.Served - r.Served, RegretHosts: r.HostSeconds - limit.HostSeconds})
	}
	return rows, nil
}

// meanResult returns the mean result of a policy on a shape over some seeds.
func meanResult(f Fleet, shape int, policy string, seeds int) (Result, error) {
	mean := Result{Policy: policy}
	n := float64(seeds)
	for seed := range uint64(seeds) {
		s := Shapes(len(f.Kinds), seed)[shape]
		r, err := Run(f, s, policy, seed)
		if err != nil {
			return mean, err
		}
		mean.Shape = s.Name
		mean.Served += r.Served / n
		mean.Late += r.Late / n
		mean.WorstKind += r.WorstKind / n
		mean.InTime += r.InTime / n
		mean.Largest += r.Largest / n
		mean.FifthBelow += r.FifthBelow / n
		mean.HostSeconds += r.HostSeconds / n
		mean.Moves += r.Moves / seeds
	}
	return mean, nil
}

func printRows(o *Options, rows []Row) error {
	if o.JSON {
		lines := json.NewEncoder(o.Out)
		for _, r := range rows {
			if err := lines.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "shape\tpolicy\tserved\tlate\tworst kind\tin time\tlargest tenth\tfifth below\thost-seconds\tmoves\tregret served\tregret host-seconds\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%d\t%.3f\t%.2f\t\n",
			r.Shape, r.Policy, r.Served, r.Late, r.WorstKind, r.InTime, r.Largest, r.FifthBelow, r.HostSeconds, r.Moves, r.RegretServed, r.RegretHosts)
	}
	return w.Flush()
}

const (
	pictureWidth  = 9 * vg.Inch
	pictureHeight = 6 * vg.Inch
)

// plotRows draws a point for each shape and policy: what the hosts cost and which share of the jobs is late.
func plotRows(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "sizing of pools: one point for each shape of load"
	p.X.Label.Text, p.Y.Label.Text = "host-seconds per host-second of work", "share of jobs that are late"
	p.Legend.Top = true
	var points []any
	for _, policy := range Policies() {
		var xys plotter.XYs
		for _, r := range rows {
			if r.Policy == policy {
				xys = append(xys, plotter.XY{X: r.HostSeconds, Y: r.Late})
			}
		}
		if len(xys) > 0 {
			points = append(points, policy, xys)
		}
	}
	if err := plotutil.AddScatters(p, points...); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return p.Save(pictureWidth, pictureHeight, path)
}
