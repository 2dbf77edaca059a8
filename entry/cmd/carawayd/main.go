// Command carawayd is the daemon of an entry host.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"carawaymux.dev/entry/config"
	"carawaymux.dev/entry/server"
	"carawaymux.dev/fleet/build"
)

// gcPercent is half the default of the Go runtime, which is 100, because entry hosts have little
// memory: more frequent garbage collections save memory at the cost of CPU time.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	root := &cobra.Command{
		Use:           "carawayd",
		Short:         "Run an entry of carawaymux",
		Version:       build.Version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(server.NewServe(os.Stderr, nil), config.New(os.Stdout))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "carawayd:", err)
		os.Exit(1)
	}
}
