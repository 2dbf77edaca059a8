package budget

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// EditOptions are the options of the edit command.
type EditOptions = object.Edition[budget.Spec]

// NewEdit builds the edit command.
func NewEdit(f *deps.Factory, run func(context.Context, *EditOptions) error) *cobra.Command {
	return object.NewEdit(f, &cobra.Command{
		Use:     "edit NAME",
		Short:   "Change an availability budget; what is not named stays",
		Example: "  caraway budget edit documents --max-unavailable 1",
	}, bindSpec, []object.Part[budget.Spec]{
		{Flag: "max-unavailable", Take: func(to, given *budget.Spec) { to.MaxUnavailable = given.MaxUnavailable }},
		{Flag: "min-available", Take: func(to, given *budget.Spec) { to.MinAvailable = given.MinAvailable }},
	}, run)
}
