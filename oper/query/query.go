// Package query holds the commands that ask what a fleet can carry and which hosts may
// leave.
package query

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/oper/deps"
)

// New builds the query command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "query", Short: "Ask what the fleet can carry and which hosts may leave"}
	cmd.AddCommand(NewCarry(f, nil), NewLeave(f, nil))
	return cmd
}
