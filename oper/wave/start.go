package wave

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// StartOptions are the options of the start command.
type StartOptions = object.CreateOptions[wave.Spec]

// NewStart builds the start command.
func NewStart(f *deps.Factory, run func(context.Context, *StartOptions) error) *cobra.Command {
	cmd, _ := object.NewCreate(f, &cobra.Command{
		Use:     "start NAME",
		Short:   "Start a maintenance wave on all hosts of one or more pools",
		Example: "  caraway wave start spring --pool documents --pool contracts --parallel 4",
	}, bindSpec, run)
	_ = cmd.MarkFlagRequired("pool")
	return cmd
}

func bindSpec(cmd *cobra.Command, s *wave.Spec) {
	cmd.Flags().StringSliceVar(&s.Pools, "pool", nil, "`pool` to maintain; can be repeated")
	cmd.Flags().IntVar(&s.Parallel, "parallel", 0, "maximum number of `hosts` out of service at once; 0 sets no limit besides the budgets")
	cmd.Flags().IntVar(&s.PauseFailures, "pause-failures", 0, "number of failed `hosts` at which the wave pauses; 0 means 2")
}
