// Package config implements the command "carawayd config" and its subcommands, which work with
// settings files.
package config

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"carawaymux.dev/entry/setup"
)

// New builds the config command and its subcommands.
func New(out io.Writer) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Work with settings files"}
	cmd.AddCommand(NewCheck(out, nil))
	return cmd
}

// CheckOptions holds the options of the check command.
type CheckOptions struct {
	Out io.Writer
	// Config is the path of the settings file.
	Config string
}

// NewCheck builds the check command. If run is nil, the command calls [Check].
func NewCheck(out io.Writer, run func(*CheckOptions) error) *cobra.Command {
	o := &CheckOptions{Out: out}
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file and report all problems",
		Example: "  carawayd config check --config /etc/caraway/entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if run != nil {
				return run(o)
			}
			return Check(o)
		},
	}
	cmd.Flags().StringVar(&o.Config, "config", "", "settings `file` in INI format")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// Check reads the settings file and returns its problems as an error.
func Check(o *CheckOptions) error {
	s, err := setup.Load(o.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "%s: ok (entry %s, zone %s, %d peers)\n", o.Config, s.Name, s.Zone, len(s.Peers))
	return err
}
