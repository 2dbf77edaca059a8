package object

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
)

// CreateOptions are the options of a command that publishes a new object with a specification of
// type S.
type CreateOptions[S record.Body] struct {
	Publisher
	Name string
	Spec S
}

// Run publishes the object.
func (o *CreateOptions[S]) Run(ctx context.Context) error { return o.Publish(ctx, o.Name, o.Spec) }

// NewCreate builds a command that publishes a new object. The caller sets the texts of cmd, and
// bind adds the flags of the specification. If run is not nil, it replaces [CreateOptions.Run], for
// example in tests.
func NewCreate[S record.Body](
	f *deps.Factory, cmd *cobra.Command, bind func(*cobra.Command, *S), run func(context.Context, *CreateOptions[S]) error,
) (*cobra.Command, *CreateOptions[S]) {
	o := &CreateOptions[S]{Publisher: Publisher{Factory: f}}
	if run == nil {
		run = func(ctx context.Context, o *CreateOptions[S]) error { return o.Run(ctx) }
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		o.Name = args[0]
		return run(cmd.Context(), o)
	}
	bind(cmd, &o.Spec)
	o.Bind(cmd)
	return cmd, o
}
