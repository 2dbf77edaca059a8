// Package budget implements the budget command, which creates, edits and shows availability
// budgets.
package budget

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the budget command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "budget", Short: "Work with availability budgets"}
	columns := object.Columns(object.SpecColumn("max-unavailable"), object.SpecColumn("min-available"))
	cmd.AddCommand(
		NewCreate(f, nil), NewEdit(f, nil),
		object.NewList(f, record.KindBudget, columns, nil),
		object.NewShow(f, record.KindBudget, nil),
		object.NewRetire(f, record.KindBudget, nil),
	)
	return cmd
}
