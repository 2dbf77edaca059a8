package quota

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions struct {
	object.Publisher
	Team string
	Spec quota.Spec
}

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	o := &CreateOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:     "create TEAM",
		Short:   "Set the quota of a team",
		Example: "  caraway quota create berths --cores 200 --memory-mib 800000",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Team = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Create(cmd.Context(), o)
		},
	}
	cmd.Flags().Int64Var(&o.Spec.Cores, "cores", 0, "processor cores")
	cmd.Flags().Int64Var(&o.Spec.MemoryMiB, "memory-mib", 0, "memory in MiB")
	cmd.Flags().Int64Var(&o.Spec.Accelerators, "accelerators", 0, "accelerators")
	cmd.Flags().Uint64Var(&o.Base, "base", 0, "`version` that is replaced; 0 creates")
	o.Bind(cmd)
	return cmd
}

// Create publishes the quota.
func Create(ctx context.Context, o *CreateOptions) error { return o.Publish(ctx, o.Team, o.Spec) }
