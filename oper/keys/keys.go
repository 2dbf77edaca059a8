// Package keys implements the key command, which creates, lists and revokes the keys of teams.
package keys

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the key command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Work with the keys that teams call entries with",
		Long: "Work with the keys that teams call entries with. Once there is a key, every request needs one, as\n" +
			"Authorization: Bearer KEY. Create keys only when every entry runs a version that knows them.",
	}
	cmd.AddCommand(
		NewCreate(f, nil),
		object.NewList(f, record.KindKey, object.Columns(object.SpecColumn("team")), nil),
		NewRevoke(f, nil),
	)
	return cmd
}
