// Package logs implements the log command, which reads the logs of entries on the users' platform.
package logs

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/oper/deps"
)

// New builds the log command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "log", Short: "Work with the logs of entries"}
	cmd.AddCommand(NewExplain(f, nil), NewNeighbours(f, nil))
	return cmd
}
