package object

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
)

// Edition changes a part of an object's specification.
type Edition[S record.Body] struct {
	Publisher
	Kind record.Kind
	Name string
	// Change puts what was given into a specification.
	Change func(*S)
}

// Run publishes the change on the version that is in force now. When someone else was
// faster, the change is refused and says by whom.
func (e *Edition[S]) Run(ctx context.Context) error {
	spec, version, err := Current[S](ctx, e.Factory, e.Kind, e.Name)
	if err != nil {
		return err
	}
	e.Change(&spec)
	e.Base = version
	return e.Publish(ctx, e.Name, spec)
}

// Part is a flag of a specification and how its value is taken over.
type Part[S any] struct {
	Flag string
	Take func(to, given *S)
}

// NewEdit builds a command that changes the parts of an object whose flags are given.
func NewEdit[S record.Body](
	f *deps.Factory, cmd *cobra.Command, bind func(*cobra.Command, *S), parts []Part[S],
	run func(context.Context, *Edition[S]) error,
) *cobra.Command {
	var given S
	e := &Edition[S]{Publisher: Publisher{Factory: f}, Kind: given.Kind()}
	if run == nil {
		run = func(ctx context.Context, e *Edition[S]) error { return e.Run(ctx) }
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e.Name = args[0]
		e.Change = func(to *S) {
			for _, p := range parts {
				if cmd.Flags().Changed(p.Flag) {
					p.Take(to, &given)
				}
			}
		}
		return run(cmd.Context(), e)
	}
	bind(cmd, &given)
	flags := make([]string, len(parts))
	for i, p := range parts {
		flags[i] = p.Flag
	}
	cmd.MarkFlagsOneRequired(flags...)
	e.Bind(cmd)
	return cmd
}
