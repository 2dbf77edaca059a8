// Package wave implements the wave command, which starts, cancels and shows maintenance waves.
package wave

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the wave command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "wave", Short: "Work with maintenance waves"}
	columns := object.Columns(object.SpecColumn("pools"), phase, remaining, total)
	cmd.AddCommand(
		NewStart(f, nil), NewCancel(f, nil), NewWatch(f, nil),
		object.NewList(f, record.KindWave, columns, nil),
		object.NewShow(f, record.KindWave, nil),
		object.NewExplain(f, record.KindWave, nil),
	)
	return cmd
}

var (
	phase     = object.StatusColumn("phase", func(s wire.ObjectStatus) any { return s.Phase })
	remaining = object.StatusColumn("left", func(s wire.ObjectStatus) any { return s.Remaining })
	total     = object.StatusColumn("total", func(s wire.ObjectStatus) any { return s.Total })
)
