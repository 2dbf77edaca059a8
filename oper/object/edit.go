package object

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
)

// EditOptions changes a part of an object's specification.
type EditOptions[S record.Body] struct {
	Publisher
	Kind record.Kind
	Name string
	// Apply puts what was given into a specification.
	Apply func(*S)
}

// Run publishes the change on the version that is in force now. When someone else was
// faster, the change is refused and says by whom.
func (e *EditOptions[S]) Run(ctx context.Context) error {
	spec, version, err := CurrentSpec[S](ctx, e.Factory, e.Kind, e.Name)
	if err != nil {
		return err
	}
	e.Apply(&spec)
	e.Base = version
	return e.Publish(ctx, e.Name, spec)
}

// EditFlag is a flag of a specification and how its value is taken over.
type EditFlag[S any] struct {
	Name string
	Copy func(dst, src *S)
}

// NewEdit builds a command that changes the parts of an object whose flags are given.
func NewEdit[S record.Body](
	f *deps.Factory, cmd *cobra.Command, bind func(*cobra.Command, *S), flags []EditFlag[S],
	run func(context.Context, *EditOptions[S]) error,
) *cobra.Command {
	var flagValues S
	e := &EditOptions[S]{Publisher: Publisher{Factory: f}, Kind: flagValues.Kind()}
	if run == nil {
		run = func(ctx context.Context, e *EditOptions[S]) error { return e.Run(ctx) }
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		e.Name = args[0]
		e.Apply = func(spec *S) {
			for _, flag := range flags {
				if cmd.Flags().Changed(flag.Name) {
					flag.Copy(spec, &flagValues)
				}
			}
		}
		return run(cmd.Context(), e)
	}
	bind(cmd, &flagValues)
	names := make([]string, len(flags))
	for i, flag := range flags {
		names[i] = flag.Name
	}
	cmd.MarkFlagsOneRequired(names...)
	e.Bind(cmd)
	return cmd
}
