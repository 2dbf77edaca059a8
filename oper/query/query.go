// Package query implements the query command, which asks an entry whether the fleet has room for a
// demand and which hosts may leave for maintenance.
package query

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/oper/deps"
)

// New builds the query command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "query", Short: "Ask what the fleet has room for and which hosts may leave"}
	cmd.AddCommand(NewCarry(f, nil), NewLeave(f, nil))
	return cmd
}
