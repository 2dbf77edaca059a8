package host

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions = object.CreateOptions[host.Spec]

// Size of a host if the flags do not set it.
const (
	defaultCores       = 16
	defaultMemoryMiB   = 64 << 10
	defaultSlots       = 8
	defaultConnections = 64
)

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	cmd, _ := object.NewCreate(f, &cobra.Command{
		Use:   "create NAME",
		Short: "Add a host to a pool",
		Example: "  caraway host create tp-a-h1 --pool documents --zone tp-a --rack r1 --address 10.0.0.1:8080\n" +
			"  caraway host create gpu-1 --pool train --zone tp-a --rack r9 --address 10.0.0.9:8080 --accelerators 8",
	}, bindSpec, run)
	for _, name := range []string{"pool", "zone", "rack", "address"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func bindSpec(cmd *cobra.Command, s *host.Spec) {
	flags := cmd.Flags()
	flags.StringVar(&s.Pool, "pool", "", "`pool` that the host joins")
	flags.StringVar(&s.Zone, "zone", "", "availability `zone`")
	flags.StringVar(&s.Rack, "rack", "", "failure domain within the zone")
	flags.StringVar(&s.Address, "address", "", "`ip:port` where the target listens")
	flags.Int64Var(&s.Size.Cores, "cores", defaultCores, "processor cores")
	flags.Int64Var(&s.Size.MemoryMiB, "memory-mib", defaultMemoryMiB, "memory in MiB")
	flags.Int64Var(&s.Size.Accelerators, "accelerators", 0, "accelerators")
	flags.IntVar(&s.Slots, "slots", defaultSlots, "number of requests that run concurrently")
	flags.IntVar(&s.Connections, "connections", defaultConnections, "maximum number of connections to the target")
}
