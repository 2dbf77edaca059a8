package config

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/lint"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
)

// DiffOptions are the options of the diff command.
type DiffOptions struct {
	*deps.Factory
	JSON *table.JSONFlag
	File string
	// Check sets the exit code to [exits.CheckFailed] if the configurations differ in effect.
	Check   bool
	inForce source
}

var diffColumns = []table.Column[lint.Change]{
	{Name: "part", Value: func(c lint.Change) any { return c.Part }},
	{Name: "name", Value: func(c lint.Change) any { return c.Name }},
	{Name: "what", Value: func(c lint.Change) any { return c.What }},
	{Name: "before", Value: func(c lint.Change) any { return c.Before }},
	{Name: "after", Value: func(c lint.Change) any { return c.After }},
}

// NewDiff builds the diff command.
func NewDiff(f *deps.Factory, run func(context.Context, *DiffOptions) error) *cobra.Command {
	o := &DiffOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what a configuration changes in effect against the one in force",
		Long: "Show what a configuration changes in effect against the one in force: not the order of entries, and no values that\n" +
			"mean the same. Of keys only the numbers are shown. - reads the configuration from standard input.",
		Example: "  caraway config diff config.json --store 10.0.0.8:7200\n  caraway config diff new.json --in-force old.json --check",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.File = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Diff(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, diffColumns)
	o.inForce.bind(cmd)
	cmd.MarkFlagsOneRequired("in-force", "store")
	cmd.Flags().BoolVar(&o.Check, "check", false, "exit with code 6 if the configurations differ in effect")
	return cmd
}

// Diff prints the changes.
func Diff(ctx context.Context, o *DiffOptions) error {
	next, err := readConfig(o.Streams, o.File)
	if err != nil {
		return err
	}
	inForce, err := o.inForce.read(ctx, o.Streams)
	if err != nil {
		return err
	}
	changes := lint.Diff(inForce, next.Config)
	if err := table.Print(o.Streams, o.JSON, diffColumns, changes); err != nil {
		return err
	}
	if o.Check && len(changes) > 0 {
		return exits.With(exits.CheckFailed, errors.New("the configurations differ in effect"))
	}
	return nil
}
