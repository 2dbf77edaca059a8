package pool

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions = object.CreateOptions[pool.Spec]

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	cmd, _ := object.NewCreate(f, &cobra.Command{
		Use:   "create NAME",
		Short: "Create a pool of hosts",
		Long:  "Create a pool of hosts. The availability budget of the pool must already exist.",
		Example: "  caraway pool create documents --budget documents --kind documents\n" +
			"  caraway pool create inquiries --budget inquiries --kind inquiries --spare --guard 16",
	}, bindSpec, run)
	_ = cmd.MarkFlagRequired("budget")
	return cmd
}

func bindSpec(cmd *cobra.Command, s *pool.Spec) {
	cmd.Flags().StringVar(&s.Budget, "budget", "", "`name` of the availability budget")
	cmd.Flags().StringSliceVar(&s.Kinds, "kind", nil, "request `kind` that the pool serves; can be repeated")
	cmd.Flags().BoolVar(&s.Spare, "spare", false, "lend free slots to other pools, and give hosts to pools below their floor")
	cmd.Flags().IntVar(&s.Guard, "guard", 0, "number of `slots` that a spare pool keeps for itself")
	cmd.Flags().IntVar(&s.Floor, "floor", 0, "number of `hosts` below which lost hosts are replaced; 0 disables replacement")
}
