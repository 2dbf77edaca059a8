package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/lint"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
	"carawaymux.dev/platform/cloud"
	"carawaymux.dev/platform/draft"
)

// CheckOptions are the options of the check command.
type CheckOptions struct {
	*deps.Factory
	JSON *table.JSONFlag
	File string
	// Waves are files with waves.
	Waves []string
	// Machines is the address of the machine service; empty if machines are not looked at.
	Machines string
	// Task is what the largest task requests; zero if caps are not compared with it.
	Task    batch.Size
	inForce source
}

// located is a finding with its place.
type located struct {
	lint.Finding
	file, path string
	line       int
}

var checkColumns = []table.Column[located]{
	{Name: "file", Value: func(l located) any { return l.file }},
	{Name: "line", Value: func(l located) any { return l.line }},
	{Name: "severity", Value: func(l located) any { return l.Severity }},
	{Name: "rule", Value: func(l located) any { return l.Rule }},
	{Name: "path", Value: func(l located) any { return l.path }},
	{Name: "text", Value: func(l located) any { return l.Text }},
}

// unreadable is the rule of a file that cannot be decoded.
const unreadable lint.Rule = "unreadable"

// NewCheck builds the check command.
func NewCheck(f *deps.Factory, run func(context.Context, *CheckOptions) error) *cobra.Command {
	o := &CheckOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration, and waves, before they are sent",
		Long: "Check a configuration: whether it can be read, whether its entries can have an effect, and whether its limits\n" +
			"contradict each other. The exit code is 0 if there is no error, also with warnings, 6 if there is one, and 2 if\n" +
			"a file cannot be read. - reads the configuration from standard input.",
		Example: "  caraway config check config.json\n" +
			"  caraway config check config.json --wave wave.json --machines 10.0.0.9:7300 --store 10.0.0.8:7200\n" +
			"  caraway config check config.json --task-cpu 16000 --json line,rule,text",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.File = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Check(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, checkColumns)
	o.inForce.bind(cmd)
	flags := cmd.Flags()
	flags.StringArrayVar(&o.Waves, "wave", nil, "`file` with a wave; may be repeated")
	flags.StringVar(&o.Machines, "machines", "", "`address` of the machine service, HOST:PORT, to compare pools and waves with")
	flags.Int64Var(&o.Task.MilliCores, "task-cpu", 0, "thousandths of a core that the largest task requests")
	flags.Int64Var(&o.Task.MemoryMB, "task-memory-mb", 0, "memory that the largest task requests")
	flags.Int64Var(&o.Task.Accelerators, "task-gpu", 0, "accelerators that the largest task requests")
	return cmd
}

// Check prints the findings.
func Check(ctx context.Context, o *CheckOptions) error {
	facts := lint.Facts{Task: o.Task}
	var err error
	if facts.InForce, err = o.inForce.read(ctx, o.Streams); err != nil {
		return err
	}
	if o.Machines != "" {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if facts.Machines, err = cloud.New(o.Machines).List(callCtx); err != nil {
			return exits.With(exits.Unreachable, err)
		}
		if facts.Machines == nil {
			facts.Machines = []port.Machine{}
		}
	}
	found, err := o.checkConfig(facts)
	if err != nil {
		return err
	}
	for _, name := range o.Waves {
		inWave, err := o.checkWave(name, facts)
		if err != nil {
			return err
		}
		found = append(found, inWave...)
	}
	if err := table.Print(o.Streams, o.JSON, checkColumns, found); err != nil {
		return err
	}
	return verdict(found)
}

// verdict returns the error of the command.
func verdict(found []located) error {
	mistakes, readable := 0, true
	for i := range found {
		if found[i].Severity == lint.Error {
			mistakes++
		}
		readable = readable && found[i].Rule != unreadable
	}
	switch {
	case !readable:
		return exits.With(exits.Usage, errors.New("a file cannot be decoded"))
	case mistakes > 0:
		return exits.With(exits.CheckFailed, fmt.Errorf("%d errors, %d warnings", mistakes, len(found)-mistakes))
	}
	return nil
}

func (o *CheckOptions) checkConfig(facts lint.Facts) ([]located, error) {
	return o.checkFile(o.File, draft.ReadConfig, func(d *draft.Draft) []lint.Finding { return lint.Check(d.Config, facts) })
}

func (o *CheckOptions) checkWave(name string, facts lint.Facts) ([]located, error) {
	return o.checkFile(name, draft.ReadWave, func(d *draft.Draft) []lint.Finding { return lint.CheckWave(d.Wave, facts) })
}

// checkFile returns the findings on a file. One that cannot be decoded has one finding.
func (o *CheckOptions) checkFile(name string, decode func([]byte) (*draft.Draft, error), check func(*draft.Draft) []lint.Finding) ([]located, error) {
	raw, err := readFile(o.Streams, name)
	if err != nil {
		return nil, err
	}
	d, err := decode(raw)
	var invalid *draft.Error
	switch {
	case errors.As(err, &invalid):
		return []located{{lint.Finding{Severity: lint.Error, Rule: unreadable, Text: invalid.Err.Error()}, name, "", invalid.Line}}, nil
	case err != nil:
		return nil, fault.At("read-config", name, err)
	}
	var out []located
	for _, f := range check(d) {
		out = append(out, located{f, name, draft.Path(f.Subject), d.Line(f.Subject)})
	}
	return out, nil
}
