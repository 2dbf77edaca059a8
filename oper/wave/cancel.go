package wave

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CancelOptions are the options of the cancel command.
type CancelOptions struct {
	object.Publisher
	Name string
}

// NewCancel builds the cancel command.
func NewCancel(f *deps.Factory, run func(context.Context, *CancelOptions) error) *cobra.Command {
	o := &CancelOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:     "cancel NAME",
		Short:   "Cancel a wave; hosts that have not started to reboot return to service",
		Example: "  caraway wave cancel spring",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Cancel(cmd.Context(), o)
		},
	}
	o.Bind(cmd)
	return cmd
}

// Cancel publishes the cancellation, based on the version that is in force.
func Cancel(ctx context.Context, o *CancelOptions) error {
	_, version, err := object.CurrentSpec[wave.Spec](ctx, o.Factory, record.KindWave, o.Name)
	if err != nil {
		return err
	}
	o.Base = version
	return o.Publish(ctx, o.Name, wave.Change{Event: wave.EventCancel})
}
