// Command trial runs the stand-ins, the demo and the measures of carawaymux. It is
// never part of what runs in production.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/build"
	"carawaymux.dev/trial/demo"
	"carawaymux.dev/trial/gauge"
	"carawaymux.dev/trial/runner"
	"carawaymux.dev/trial/tour"
)

func main() {
	root := &cobra.Command{
		Use:           "trial",
		Short:         "Stand-ins, demo and measures of carawaymux",
		Version:       build.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runner.NewLogCommand(), runner.NewHostsCommand(), runner.NewTargetCommand(), demo.New(os.Stdout), gauge.New(os.Stdout, os.Stderr),
		tour.New(os.Stdout, nil))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}
