package pool

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// EditOptions are the options of the edit command.
type EditOptions struct {
	object.Publisher
	Name string
	// Change puts the flags that were given into a pool.
	Change func(*pool.Spec)
}

// NewEdit builds the edit command.
func NewEdit(f *deps.Factory, run func(context.Context, *EditOptions) error) *cobra.Command {
	o := &EditOptions{Publisher: object.Publisher{Factory: f}}
	var given pool.Spec
	cmd := &cobra.Command{
		Use:     "edit NAME",
		Short:   "Change a pool; what is not named stays",
		Example: "  caraway pool edit documents --floor 8",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			o.Change = func(s *pool.Spec) { change(cmd, s, given) }
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Edit(cmd.Context(), o)
		},
	}
	bindSpec(cmd, &given)
	cmd.MarkFlagsOneRequired("budget", "kind", "spare", "guard", "floor")
	o.Bind(cmd)
	return cmd
}

func change(cmd *cobra.Command, s *pool.Spec, given pool.Spec) {
	changed := cmd.Flags().Changed
	if changed("budget") {
		s.Budget = given.Budget
	}
	if changed("kind") {
		s.Kinds = given.Kinds
	}
	if changed("spare") {
		s.Spare = given.Spare
	}
	if changed("guard") {
		s.Guard = given.Guard
	}
	if changed("floor") {
		s.Floor = given.Floor
	}
}

// Edit publishes the change on the version that is in force now.
func Edit(ctx context.Context, o *EditOptions) error {
	spec, version, err := object.Current[pool.Spec](ctx, o.Factory, record.KindPool, o.Name)
	if err != nil {
		return err
	}
	o.Change(&spec)
	o.Base = version
	return o.Publish(ctx, o.Name, spec)
}
