package object

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
)

// EditOptions are the options of a command that changes fields of an object's specification.
type EditOptions[S record.Body] struct {
	Publisher
	Kind record.Kind
	Name string
	// Apply copies the values of the flags that were set into a specification.
	Apply func(*S)
}

// Run publishes the change, based on the version that is in force. If another author changes the
// object first, the change is refused and the error names that author.
func (e *EditOptions[S]) Run(ctx context.Context) error {
	spec, version, err := CurrentSpec[S](ctx, e.Factory, e.Kind, e.Name)
	if err != nil {
		return err
	}
	e.Apply(&spec)
	e.Base = version
	return e.Publish(ctx, e.Name, spec)
}

// EditFlag is a flag that changes one field of a specification.
type EditFlag[S any] struct {
	Name string
	// Copy copies the field of the flag from src to dst.
	Copy func(dst, src *S)
}

// NewEdit builds a command that changes the fields of an object whose flags are set. At least one
// of the flags is required.
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
