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
func (o *EditOptions[S]) Run(ctx context.Context) error {
	spec, version, err := CurrentSpec[S](ctx, o.Factory, o.Kind, o.Name)
	if err != nil {
		return err
	}
	o.Apply(&spec)
	o.Base = version
	return o.Publish(ctx, o.Name, spec)
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
	o := &EditOptions[S]{Publisher: Publisher{Factory: f}, Kind: flagValues.Kind()}
	if run == nil {
		run = func(ctx context.Context, o *EditOptions[S]) error { return o.Run(ctx) }
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o.Name = args[0]
		o.Apply = func(spec *S) {
			for _, flag := range flags {
				if cmd.Flags().Changed(flag.Name) {
					flag.Copy(spec, &flagValues)
				}
			}
		}
		return run(cmd.Context(), o)
	}
	bind(cmd, &flagValues)
	names := make([]string, len(flags))
	for i, flag := range flags {
		names[i] = flag.Name
	}
	cmd.MarkFlagsOneRequired(names...)
	o.Bind(cmd)
	return cmd
}
