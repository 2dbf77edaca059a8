package budget

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions struct {
	object.Publisher
	Name string
	Spec budget.Spec
}

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	o := &CreateOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create an availability budget",
		Example: "  caraway budget create documents --max-unavailable 2 --min-available 6",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Create(cmd.Context(), o)
		},
	}
	bindSpec(cmd, &o.Spec)
	_ = cmd.MarkFlagRequired("max-unavailable")
	o.Bind(cmd)
	return cmd
}

func bindSpec(cmd *cobra.Command, s *budget.Spec) {
	cmd.Flags().IntVar(&s.MaxUnavailable, "max-unavailable", 0, "`hosts` that may be out of service at once")
	cmd.Flags().IntVar(&s.MinAvailable, "min-available", 0, "`hosts` that must stay in service")
}

// Create publishes the budget.
func Create(ctx context.Context, o *CreateOptions) error { return o.Publish(ctx, o.Name, o.Spec) }
