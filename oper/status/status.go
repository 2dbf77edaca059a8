// Package status implements the status command, which shows the state and the load of an entry.
package status

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/table"
)

// Options are the options of the status command.
type Options struct {
	*deps.Factory
	JSON *table.JSONFlag
}

var columns = []table.Column[wire.KindLoad]{
	{Name: "kind", Value: func(k wire.KindLoad) any { return k.Kind }},
	{Name: "pool", Value: func(k wire.KindLoad) any { return k.Pool }},
	{Name: "queued", Value: func(k wire.KindLoad) any { return k.Queued }},
	{Name: "running", Value: func(k wire.KindLoad) any { return k.Running }},
	{Name: "slots", Value: func(k wire.KindLoad) any { return k.Slots }},
	{Name: "lent", Value: func(k wire.KindLoad) any { return k.Lent }},
	{Name: "done", Value: func(k wire.KindLoad) any { return k.Done }},
	{Name: "not-run", Value: func(k wire.KindLoad) any { return k.NotRun }},
	{Name: "unknown", Value: func(k wire.KindLoad) any { return k.Unknown }},
	{Name: "retries", Value: func(k wire.KindLoad) any { return k.Retries }},
}

// New builds the status command.
func New(f *deps.Factory, run func(context.Context, *Options) error) *cobra.Command {
	o := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the state of an entry and its load for each request kind",
		Example: "  caraway status\n  caraway status --entry http://127.0.0.1:7001 --json kind,queued,not-run",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Status(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, columns)
	return cmd
}

// Status prints an overview of the entry and a line for each request kind.
func Status(ctx context.Context, o *Options) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON.String() == "" {
		printOverview(o.Streams, s)
	}
	return table.Print(o.Streams, o.JSON, columns, s.Kinds)
}

func printOverview(s *deps.Streams, v wire.EntryStatus) {
	out := s.Out
	fmt.Fprintf(out, "entry %s in zone %s: offset %d in force, %d ms old\n", v.Entry, v.Zone, v.Offset, v.AgeMS)
	if v.LogError != "" {
		fmt.Fprintf(out, "log unreachable: %s\n", v.LogError)
	}
	if v.Diverged {
		fmt.Fprintf(out, "STATE DIFFERS from the checkpoint; this entry does not take part in planning\n")
	}
	fmt.Fprintf(out, "planner: %s under fence %d; %d hosts, %d pools, %d jobs, %d waves, %d records not applied (unsupported kind or schema)\n",
		v.Lease.Holder, v.Lease.Fence, v.Hosts, v.Pools, v.Jobs, v.Waves, v.UnknownRecords)
}
