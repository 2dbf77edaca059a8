// Package runner provides the commands that run the simulated log service, host service and targets
// as processes.
package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/trial/hostd"
	"carawaymux.dev/trial/logsvc"
	"carawaymux.dev/trial/target"
)

// signalContext returns a context that is done when the process receives SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve serves HTTP on an address until the process receives a signal.
func serve(address string, h http.Handler) error {
	ctx, stop := signalContext()
	defer stop()
	server := &http.Server{Addr: address, Handler: h}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return server.Close()
	}
}

// NewLogCommand builds the command that runs the simulated log service.
func NewLogCommand() *cobra.Command {
	var listen string
	var retain int
	cmd := &cobra.Command{
		Use:     "log",
		Short:   "Run a stand-in for the platform's log service",
		Example: "  trial log --listen 127.0.0.1:7900 --retain 10000",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s := logsvc.New(logsvc.WithRetention(retain))
			defer s.Close()
			return serve(listen, s.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "`address` to listen on")
	cmd.Flags().IntVar(&retain, "retain", 0, "`records` that each stream keeps; 0 keeps all")
	return cmd
}

// NewHostsCommand builds the command that runs the simulated host service.
func NewHostsCommand() *cobra.Command {
	var listen, machines string
	var lag, reboot time.Duration
	cmd := &cobra.Command{
		Use:     "hosts",
		Short:   "Run a stand-in for the platform's host service",
		Example: "  trial hosts --listen 127.0.0.1:7901 --machines machines.json --lag 500ms --reboot 2s",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			raw, err := os.ReadFile(machines)
			if err != nil {
				return err
			}
			var list []hostd.Machine
			if err := json.Unmarshal(raw, &list); err != nil {
				return fmt.Errorf("%s: %w", machines, err)
			}
			s := hostd.New(list, hostd.WithLag(lag), hostd.WithRebootDuration(reboot))
			defer s.Close()
			return serve(listen, s.Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7901", "`address` to listen on")
	cmd.Flags().StringVar(&machines, "machines", "machines.json", "JSON `file` that lists the machines")
	cmd.Flags().DurationVar(&lag, "lag", 500*time.Millisecond, "delay of the machine list and the usage report")
	cmd.Flags().DurationVar(&reboot, "reboot", 2*time.Second, "how long a reboot takes")
	return cmd
}

// NewTargetCommand builds the command that runs a simulated target.
func NewTargetCommand() *cobra.Command {
	var name, listen, control string
	var slots int
	var runs []string
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "Run a stand-in for a target host",
		Example: "  trial target --name h1 --listen 127.0.0.1:7800 --control 127.0.0.1:7801 --run documents=20ms",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			opts := []target.Option{target.WithSlots(slots)}
			for _, arg := range runs {
				kind, text, found := strings.Cut(arg, "=")
				d, err := time.ParseDuration(text)
				if !found || err != nil {
					return fmt.Errorf("--run %q: expected KIND=DURATION, as in documents=20ms", arg)
				}
				opts = append(opts, target.WithRunTime(kind, d))
			}
			t := target.New(name, opts...)
			defer t.Close()
			ctx, stop := signalContext()
			defer stop()
			return t.Serve(ctx, listen, control)
		},
	}
	cmd.Flags().StringVar(&name, "name", "host", "the host's `name`")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7800", "`address` for requests")
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:7801", "`address` for control calls")
	cmd.Flags().IntVar(&slots, "slots", 8, "requests that run at once")
	cmd.Flags().StringArrayVar(&runs, "run", nil, "run time of a kind, as `KIND=DURATION`; can be repeated")
	return cmd
}
