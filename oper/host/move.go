package host

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// MoveOptions are the options of the move command.
type MoveOptions struct {
	object.Publisher
	Name, To string
}

// NewMove builds the move command.
func NewMove(f *deps.Factory, run func(context.Context, *MoveOptions) error) *cobra.Command {
	o := &MoveOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:   "move NAME",
		Short: "Give a host to another pool",
		Long: "Give a host to another pool. The host leaves its pool as the pool's budget allows, once every\n" +
			"entry has stopped sending it requests; it belongs to exactly one pool at any moment.",
		Example: "  caraway host move tp-a-h1 --to contracts",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Move(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.To, "to", "", "`pool` that gets the host")
	_ = cmd.MarkFlagRequired("to")
	o.Bind(cmd)
	return cmd
}

// Move publishes the move on the host's version that is in force now.
func Move(ctx context.Context, o *MoveOptions) error {
	_, version, err := object.CurrentSpec[host.Spec](ctx, o.Factory, record.KindHost, o.Name)
	if err != nil {
		return err
	}
	o.Base = version
	return o.Publish(ctx, o.Name, host.Move{To: o.To})
}
