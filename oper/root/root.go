// Package root builds the caraway command from the commands of the other packages and maps errors
// to exit codes.
package root

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/build"
	"carawaymux.dev/oper/budget"
	"carawaymux.dev/oper/call"
	"carawaymux.dev/oper/config"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/entry"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/host"
	"carawaymux.dev/oper/jobs"
	"carawaymux.dev/oper/keys"
	"carawaymux.dev/oper/logs"
	"carawaymux.dev/oper/pool"
	"carawaymux.dev/oper/query"
	"carawaymux.dev/oper/quota"
	"carawaymux.dev/oper/record"
	"carawaymux.dev/oper/status"
	"carawaymux.dev/oper/wave"
)

// New builds the caraway command with all its subcommands.
func New(s *deps.Streams) *cobra.Command {
	flags := &deps.Flags{}
	f := deps.New(s, flags)
	cmd := &cobra.Command{
		Use:   "caraway",
		Short: "Operate a fleet: pools, hosts, jobs and maintenance waves",
		Long: "Operate a fleet. A command that makes a change publishes a record to the log. The log accepts or\n" +
			"refuses the record; a refusal states its reason.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid arguments or input, 3 refused, 4 unreachable or outcome\n" +
			"unknown, 5 accepted but not yet in force on every entry, 6 the answer is no (with --check).",
		Example: "  caraway pool create documents --budget documents --kind documents\n" +
			"  caraway wave start spring --pool documents\n" +
			"  caraway query carry --pool documents --slots 40",
		Version:       build.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.SetIn(s.In)
	cmd.SetOut(s.Out)
	cmd.SetErr(s.Err)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exits.With(exits.Usage, err) })
	cmd.PersistentFlags().StringVar(&flags.Config, "config", "", "settings `file` in INI format; default: CARAWAY_CONFIG, then caraway/config.ini in the user's configuration folder")
	cmd.PersistentFlags().StringVar(&flags.Entry, "entry", "", "base `URLs` of entries, separated by commas; the first that answers is used")
	cmd.PersistentFlags().StringVar(&flags.Author, "author", "", "`name` of the author of published records")
	cmd.AddCommand(
		budget.New(f), pool.New(f), host.New(f), jobs.New(f), quota.New(f), keys.New(f), wave.New(f), logs.New(f),
		record.New(f), query.New(f), call.New(f), entry.New(f), status.New(f, nil), config.New(f),
	)
	return cmd
}

// Run executes a command line, prints its error to the error stream and returns the exit code.
func Run(s *deps.Streams, args []string) int {
	cmd := New(s)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err == nil {
		return exits.OK
	}
	fmt.Fprintln(s.Err, "caraway:", err)
	if code := exits.Code(err); code != exits.Failed || !isUsageError(err) {
		return code
	}
	return exits.Usage
}

// isUsageError reports whether cobra returned err for invalid arguments. cobra has no error types
// for them, so the texts are compared.
func isUsageError(err error) bool {
	text := err.Error()
	for _, phrase := range []string{"unknown command", "required flag", "accepts ", "requires at least", "at least one of the flags", "none of the others can be"} {
		if strings.Contains(text, phrase) {
			return true
		}
	}
	return false
}
