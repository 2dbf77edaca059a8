// Package record implements the record command, which publishes records from files and prints the
// records of the log.
package record

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/oper/deps"
)

// New builds the record command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "record", Short: "Publish records from files and watch the records of the log"}
	cmd.AddCommand(NewPublish(f, nil), NewWatch(f, nil))
	return cmd
}
