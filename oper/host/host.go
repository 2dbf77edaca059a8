// Package host implements the host command, which creates, moves and shows hosts.
package host

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the host command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "host", Short: "Work with hosts"}
	columns := object.Columns(pool, phase, object.SpecColumn("zone"), object.SpecColumn("rack"), object.SpecColumn("address"))
	cmd.AddCommand(
		NewCreate(f, nil), NewMove(f, nil),
		object.NewList(f, record.KindHost, columns, nil),
		object.NewShow(f, record.KindHost, nil),
		object.NewExplain(f, record.KindHost, nil), object.NewRetire(f, record.KindHost, nil),
	)
	return cmd
}

var (
	pool  = object.StatusColumn("pool", func(s wire.ObjectStatus) any { return s.Pool })
	phase = object.StatusColumn("phase", func(s wire.ObjectStatus) any { return s.Phase })
)
