// Package server holds the command that runs an entry.
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

// ServeOptions are the options of the serve command.
type ServeOptions struct {
	// LogOutput is where JSON log lines go.
	LogOutput io.Writer
	// Config is the settings file.
	Config string
}

// NewServe builds the serve command.
func NewServe(logs io.Writer, run func(context.Context, *ServeOptions) error) *cobra.Command {
	o := &ServeOptions{LogOutput: logs}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry until it is told to stop",
		Long: "Run an entry. SIGTERM and SIGINT stop it in good order: the balancer and the peers are told,\n" +
			"requests in flight get their answers, and then the process ends.",
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

// Serve runs an entry until ctx is done or the process is told to stop.
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
