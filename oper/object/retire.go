package object

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
)

// RetireOptions are the options of the retire command of a kind.
type RetireOptions struct {
	Publisher
	Kind record.Kind
	Name string
}

// NewRetire builds the retire command of a kind.
func NewRetire(f *deps.Factory, k record.Kind, run func(context.Context, *RetireOptions) error) *cobra.Command {
	o := &RetireOptions{Publisher: Publisher{Factory: f}, Kind: k}
	cmd := &cobra.Command{
		Use:     "retire NAME",
		Short:   fmt.Sprintf("Remove a %s that no other object depends on", k),
		Example: fmt.Sprintf("  caraway %s retire NAME", k),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Retire(cmd.Context(), o)
		},
	}
	o.Bind(cmd)
	return cmd
}

// Retire publishes the removal, based on the version that is in force.
func Retire(ctx context.Context, o *RetireOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	current, err := c.Object(ctx, o.Kind, o.Name, 0)
	if err != nil {
		return err
	}
	o.Base = current.Version
	return o.Publish(ctx, o.Name, ledger.Retire{ObjectKind: o.Kind})
}
