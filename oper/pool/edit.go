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
		Short:   "Change a pool; values without a flag stay unchanged",
		Example: "  caraway pool edit documents --floor 8",
	}, bindSpec, []object.EditFlag[pool.Spec]{
		{Name: "budget", Copy: func(dst, src *pool.Spec) { dst.Budget = src.Budget }},
		{Name: "kind", Copy: func(dst, src *pool.Spec) { dst.Kinds = src.Kinds }},
		{Name: "spare", Copy: func(dst, src *pool.Spec) { dst.Spare = src.Spare }},
		{Name: "guard", Copy: func(dst, src *pool.Spec) { dst.Guard = src.Guard }},
		{Name: "floor", Copy: func(dst, src *pool.Spec) { dst.Floor = src.Floor }},
	}, run)
}
