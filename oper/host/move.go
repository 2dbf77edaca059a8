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
		Short: "Move a host to another pool",
		Long: "Move a host to another pool. The host leaves its pool when the pool's budget allows it and every\n" +
			"entry has stopped sending requests to it. It belongs to exactly one pool at any time.",
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
	cmd.Flags().StringVar(&o.To, "to", "", "`pool` that receives the host")
	_ = cmd.MarkFlagRequired("to")
	o.Bind(cmd)
	return cmd
}

// Move publishes the move, based on the version of the host that is in force.
func Move(ctx context.Context, o *MoveOptions) error {
	_, version, err := object.CurrentSpec[host.Spec](ctx, o.Factory, record.KindHost, o.Name)
	if err != nil {
		return err
	}
	o.Base = version
	return o.Publish(ctx, o.Name, host.Move{To: o.To})
}
