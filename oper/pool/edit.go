package pool

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// EditOptions are the options of the edit command.
type EditOptions = object.EditOptions[pool.Spec]

// NewEdit builds the edit command.
func NewEdit(f *deps.Factory, run func(context.Context, *EditOptions) error) *cobra.Command {
	return object.NewEdit(f, &cobra.Command{
		Use:     "edit NAME",
		Short:   "Change a pool; what is not named stays",
		Example: "  caraway pool edit documents --floor 8",
	}, bindSpec, []object.EditFlag[pool.Spec]{
		{Name: "budget", Copy: func(to, given *pool.Spec) { to.Budget = given.Budget }},
		{Name: "kind", Copy: func(to, given *pool.Spec) { to.Kinds = given.Kinds }},
		{Name: "spare", Copy: func(to, given *pool.Spec) { to.Spare = given.Spare }},
		{Name: "guard", Copy: func(to, given *pool.Spec) { to.Guard = given.Guard }},
		{Name: "floor", Copy: func(to, given *pool.Spec) { to.Floor = given.Floor }},
	}, run)
}
