package budget

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions = object.CreateOptions[budget.Spec]

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	cmd, _ := object.NewCreate(f, &cobra.Command{
		Use:     "create NAME",
		Short:   "Create an availability budget",
		Example: "  caraway budget create documents --max-unavailable 2 --min-available 6",
	}, bindSpec, run)
	_ = cmd.MarkFlagRequired("max-unavailable")
	return cmd
}

func bindSpec(cmd *cobra.Command, s *budget.Spec) {
	cmd.Flags().IntVar(&s.MaxUnavailable, "max-unavailable", 0, "`hosts` that may be out of service at once")
	cmd.Flags().IntVar(&s.MinAvailable, "min-available", 0, "`hosts` that must stay in service")
}
