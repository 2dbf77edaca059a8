package quota

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions = object.CreateOptions[quota.Spec]

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	cmd, o := object.NewCreate(f, &cobra.Command{
		Use:     "create TEAM",
		Short:   "Set the quota of a team",
		Example: "  caraway quota create berths --cores 200 --memory-mib 800000",
	}, bindSpec, run)
	cmd.Flags().Uint64Var(&o.Base, "base", 0, "`version` of the quota to replace; 0 creates a quota")
	return cmd
}

func bindSpec(cmd *cobra.Command, s *quota.Spec) {
	cmd.Flags().Int64Var(&s.Cores, "cores", 0, "processor cores")
	cmd.Flags().Int64Var(&s.MemoryMiB, "memory-mib", 0, "memory in MiB")
	cmd.Flags().Int64Var(&s.Accelerators, "accelerators", 0, "accelerators")
}
