// Package entry implements the entry command, which lists the entries.
package entry

import (
	"context"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/table"
)

// New builds the entry command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "entry", Short: "Work with entries"}
	cmd.AddCommand(NewList(f, nil))
	return cmd
}

// ListOptions are the options of the list command.
type ListOptions struct {
	*deps.Factory
	JSON *table.JSONFlag
}

var columns = []table.Column[wire.Member]{
	{Name: "name", Value: func(m wire.Member) any { return m.Name }},
	{Name: "zone", Value: func(m wire.Member) any { return m.Zone }},
	{Name: "state", Value: func(m wire.Member) any { return m.State }},
	{Name: "offset", Value: func(m wire.Member) any { return m.Offset }},
	{Name: "silent-ms", Value: func(m wire.Member) any { return m.SilentMS }},
	{Name: "incarnation", Value: func(m wire.Member) any { return m.Incarnation }},
}

// NewList builds the list command.
func NewList(f *deps.Factory, run func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the entries as one of them sees them, with the offset that is in force on each",
		Example: "  caraway entry list\n  caraway entry list --json name,state,offset",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return List(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, columns)
	return cmd
}

// List prints the entries as the entry that answers sees them.
func List(ctx context.Context, o *ListOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	return table.Print(o.Streams, o.JSON, columns, members)
}
