// Package quota implements the quota command, which sets and shows the quotas of teams.
package quota

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the quota command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "quota", Short: "Work with the quotas of teams"}
	columns := object.Columns(object.SpecColumn("cores"), object.SpecColumn("memory-mib"), object.SpecColumn("accelerators"))
	cmd.AddCommand(
		NewCreate(f, nil),
		object.NewList(f, record.KindQuota, columns, nil),
		object.NewShow(f, record.KindQuota, nil),
		object.NewRetire(f, record.KindQuota, nil),
	)
	return cmd
}
