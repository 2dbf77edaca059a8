// Package pool implements the pool command, which creates, edits and shows pools of hosts.
package pool

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the pool command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "pool", Short: "Work with pools of hosts"}
	columns := object.Columns(object.SpecColumn("budget"), object.SpecColumn("kinds"), object.SpecColumn("spare"), size, serving, room)
	cmd.AddCommand(
		NewCreate(f, nil), NewEdit(f, nil),
		object.NewList(f, record.KindPool, columns, nil),
		object.NewShow(f, record.KindPool, nil),
		object.NewExplain(f, record.KindPool, nil), object.NewRetire(f, record.KindPool, nil),
	)
	return cmd
}

var (
	size    = object.StatusColumn("size", func(s wire.ObjectStatus) any { return s.Size })
	serving = object.StatusColumn("serving", func(s wire.ObjectStatus) any { return s.Serving })
	room    = object.StatusColumn("room", func(s wire.ObjectStatus) any { return s.Headroom })
)
