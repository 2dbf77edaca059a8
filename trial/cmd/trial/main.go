// Command trial runs the stand-ins of the platform, the demo, the tour, the measures and the experiments of
// carawaymux. It is not part of a production deployment.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/build"
	"carawaymux.dev/trial/churn"
	"carawaymux.dev/trial/demo"
	"carawaymux.dev/trial/gauge"
	"carawaymux.dev/trial/model"
	"carawaymux.dev/trial/runner"
	"carawaymux.dev/trial/soak"
	"carawaymux.dev/trial/tour"
)

func main() {
	root := &cobra.Command{
		Use:           "trial",
		Short:         "Run stand-ins, demo, tour and measures of carawaymux",
		Version:       build.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runner.NewLogCommand(), runner.NewHostsCommand(), runner.NewTargetCommand(), demo.New(os.Stdout), gauge.New(os.Stdout, os.Stderr),
		tour.New(os.Stdout, nil), model.New(os.Stdout, os.Stderr), soak.New(os.Stdout, os.Stderr), churn.New(os.Stdout, os.Stderr))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}
