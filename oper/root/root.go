// Package root puts the command line together.
package root

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/build"
	"carawaymux.dev/oper/budget"
	"carawaymux.dev/oper/call"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/entry"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/host"
	"carawaymux.dev/oper/jobs"
	"carawaymux.dev/oper/logs"
	"carawaymux.dev/oper/pool"
	"carawaymux.dev/oper/query"
	"carawaymux.dev/oper/quota"
	"carawaymux.dev/oper/record"
	"carawaymux.dev/oper/status"
	"carawaymux.dev/oper/wave"
)

// New builds the caraway command.
func New(s *deps.Streams) *cobra.Command {
	flags := &deps.Flags{}
	f := deps.New(s, flags)
	cmd := &cobra.Command{
		Use:   "caraway",
		Short: "Operate a fleet: pools, hosts, jobs and maintenance waves",
		Long: "Operate a fleet. Commands that change something publish records; the log decides, and what is\n" +
			"refused says why.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 bad input, 3 refused, 4 not reachable or outcome unknown,\n" +
			"5 accepted but not yet in force everywhere, 6 the answer is no (with --check).",
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
	cmd.PersistentFlags().StringVar(&flags.Config, "config", "", "settings `file` in INI format; also CARAWAY_CONFIG")
	cmd.PersistentFlags().StringVar(&flags.Entry, "entry", "", "base `URLs` of entries, separated by commas")
	cmd.PersistentFlags().StringVar(&flags.Author, "author", "", "`name` that signs records")
	cmd.AddCommand(
		budget.New(f), pool.New(f), host.New(f), jobs.New(f), quota.New(f), wave.New(f), logs.New(f),
		record.New(f), query.New(f), call.New(f), entry.New(f), status.New(f, nil),
	)
	return cmd
}

// Run runs the command line and returns its exit code.
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

// isUsageError recognizes the errors that cobra gives for arguments; it has no types for them.
func isUsageError(err error) bool {
	text := err.Error()
	for _, phrase := range []string{"unknown command", "required flag", "accepts ", "requires at least", "at least one of the flags"} {
		if strings.Contains(text, phrase) {
			return true
		}
	}
	return false
}
