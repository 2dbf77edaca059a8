// Package server implements the command "carawayd serve", which runs an entry in the foreground.
package server

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"carawaymux.dev/entry/daemon"
	"carawaymux.dev/entry/setup"
)

// ServeOptions holds the options of the serve command.
type ServeOptions struct {
	// LogOutput receives JSON log lines.
	LogOutput io.Writer
	// Config is the path of the settings file.
	Config string
}

// NewServe builds the serve command. If run is nil, the command calls [Serve].
func NewServe(logOutput io.Writer, run func(context.Context, *ServeOptions) error) *cobra.Command {
	o := &ServeOptions{LogOutput: logOutput}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry until it receives SIGTERM or SIGINT",
		Long: "Run an entry. SIGTERM and SIGINT stop it gracefully: it announces the stop to the load balancer\n" +
			"and the peers, answers requests in flight, and then exits.",
		Example: "  carawayd serve --config /etc/caraway/entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Serve(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.Config, "config", "", "settings `file` in INI format")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// Serve runs an entry until ctx is done or the process receives SIGTERM or SIGINT.
func Serve(ctx context.Context, o *ServeOptions) error {
	settings, err := setup.Load(o.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(settings, daemon.WithLogOutput(o.LogOutput))
	if err != nil {
		return err
	}
	<-ctx.Done()
	d.Close()
	return nil
}
