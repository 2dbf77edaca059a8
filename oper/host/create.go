package host

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions struct {
	object.Publisher
	Name string
	Spec host.Spec
}

// The size of a host where no flag says otherwise.
const (
	defaultCores       = 16
	defaultMemoryMiB   = 64 << 10
	defaultSlots       = 8
	defaultConnections = 64
)

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	o := &CreateOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:   "create NAME",
		Short: "Add a host to a pool",
		Example: "  caraway host create tp-a-h1 --pool documents --zone tp-a --rack r1 --address 10.0.0.1:8080\n" +
			"  caraway host create gpu-1 --pool train --zone tp-a --rack r9 --address 10.0.0.9:8080 --accelerators 8",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Create(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Spec.Pool, "pool", "", "`pool` that the host joins")
	flags.StringVar(&o.Spec.Zone, "zone", "", "availability `zone`")
	flags.StringVar(&o.Spec.Rack, "rack", "", "failure domain inside the zone")
	flags.StringVar(&o.Spec.Address, "address", "", "`ip:port` where the target listens")
	flags.Int64Var(&o.Spec.Size.Cores, "cores", defaultCores, "processor cores")
	flags.Int64Var(&o.Spec.Size.MemoryMiB, "memory-mib", defaultMemoryMiB, "memory in MiB")
	flags.Int64Var(&o.Spec.Size.Accelerators, "accelerators", 0, "accelerators")
	flags.IntVar(&o.Spec.Slots, "slots", defaultSlots, "requests that run at once")
	flags.IntVar(&o.Spec.Connections, "connections", defaultConnections, "connections that the target accepts")
	for _, name := range []string{"pool", "zone", "rack", "address"} {
		_ = cmd.MarkFlagRequired(name)
	}
	o.Bind(cmd)
	return cmd
}

// Create publishes the host.
func Create(ctx context.Context, o *CreateOptions) error { return o.Publish(ctx, o.Name, o.Spec) }
