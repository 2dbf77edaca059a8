package wave

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// StartOptions are the options of the start command.
type StartOptions struct {
	object.Publisher
	Name string
	Spec wave.Spec
}

// NewStart builds the start command.
func NewStart(f *deps.Factory, run func(context.Context, *StartOptions) error) *cobra.Command {
	o := &StartOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:     "start NAME",
		Short:   "Start a maintenance wave over all hosts of some pools",
		Example: "  caraway wave start spring --pool documents --pool contracts --parallel 4",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Start(cmd.Context(), o)
		},
	}
	cmd.Flags().StringSliceVar(&o.Spec.Pools, "pool", nil, "`pool` to maintain; can be repeated")
	cmd.Flags().IntVar(&o.Spec.Parallel, "parallel", 0, "`hosts` out at once; 0 leaves it to the budgets")
	cmd.Flags().IntVar(&o.Spec.PauseFailures, "pause-failures", 0, "failed `hosts` at which the wave pauses; 0 means 2")
	_ = cmd.MarkFlagRequired("pool")
	o.Bind(cmd)
	return cmd
}

// Start publishes the wave.
func Start(ctx context.Context, o *StartOptions) error { return o.Publish(ctx, o.Name, o.Spec) }
