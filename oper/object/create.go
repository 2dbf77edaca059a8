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
func (c *CreateOptions[S]) Run(ctx context.Context) error { return c.Publish(ctx, c.Name, c.Spec) }

// NewCreate builds a command that publishes a new object. The caller sets the texts of cmd, and
// bind adds the flags of the specification. If run is not nil, it replaces [CreateOptions.Run], for
// example in tests.
func NewCreate[S record.Body](
	f *deps.Factory, cmd *cobra.Command, bind func(*cobra.Command, *S), run func(context.Context, *CreateOptions[S]) error,
) (*cobra.Command, *CreateOptions[S]) {
	c := &CreateOptions[S]{Publisher: Publisher{Factory: f}}
	if run == nil {
		run = func(ctx context.Context, c *CreateOptions[S]) error { return c.Run(ctx) }
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c.Name = args[0]
		return run(cmd.Context(), c)
	}
	bind(cmd, &c.Spec)
	c.Bind(cmd)
	return cmd, c
}
