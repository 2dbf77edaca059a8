package budget

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// EditOptions are the options of the edit command.
type EditOptions struct {
	object.Publisher
	Name string
	// Change puts the flags that were given into a budget.
	Change func(*budget.Spec)
}

// NewEdit builds the edit command.
func NewEdit(f *deps.Factory, run func(context.Context, *EditOptions) error) *cobra.Command {
	o := &EditOptions{Publisher: object.Publisher{Factory: f}}
	var given budget.Spec
	cmd := &cobra.Command{
		Use:     "edit NAME",
		Short:   "Change an availability budget; what is not named stays",
		Example: "  caraway budget edit documents --max-unavailable 1",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			o.Change = func(s *budget.Spec) {
				if cmd.Flags().Changed("max-unavailable") {
					s.MaxUnavailable = given.MaxUnavailable
				}
				if cmd.Flags().Changed("min-available") {
					s.MinAvailable = given.MinAvailable
				}
			}
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Edit(cmd.Context(), o)
		},
	}
	bindSpec(cmd, &given)
	cmd.MarkFlagsOneRequired("max-unavailable", "min-available")
	o.Bind(cmd)
	return cmd
}

// Edit publishes the change on the version that is in force now. When someone else was
// faster, the change is refused and says by whom.
func Edit(ctx context.Context, o *EditOptions) error {
	spec, version, err := object.Current[budget.Spec](ctx, o.Factory, record.KindBudget, o.Name)
	if err != nil {
		return err
	}
	o.Change(&spec)
	o.Base = version
	return o.Publish(ctx, o.Name, spec)
}
