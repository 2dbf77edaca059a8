package budget

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// EditOptions are the options of the edit command.
type EditOptions = object.EditOptions[budget.Spec]

// NewEdit builds the edit command.
func NewEdit(f *deps.Factory, run func(context.Context, *EditOptions) error) *cobra.Command {
	return object.NewEdit(f, &cobra.Command{
		Use:     "edit NAME",
		Short:   "Change an availability budget; values without a flag stay unchanged",
		Example: "  caraway budget edit documents --max-unavailable 1",
	}, bindSpec, []object.EditFlag[budget.Spec]{
		{Name: "max-unavailable", Copy: func(dst, src *budget.Spec) { dst.MaxUnavailable = src.MaxUnavailable }},
		{Name: "min-available", Copy: func(dst, src *budget.Spec) { dst.MinAvailable = src.MinAvailable }},
	}, run)
}
