package wave

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
)

// WatchOptions are the options of the watch command.
type WatchOptions struct {
	*deps.Factory
	Name string
	// Interval is the time between two requests.
	Interval time.Duration
}

// NewWatch builds the watch command.
func NewWatch(f *deps.Factory, run func(context.Context, *WatchOptions) error) *cobra.Command {
	o := &WatchOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "watch NAME",
		Short:   "Show a wave's progress until it ends",
		Example: "  caraway wave watch spring",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Watch(cmd.Context(), o)
		},
	}
	cmd.Flags().DurationVar(&o.Interval, "every", time.Second, "time between two requests for the progress")
	return cmd
}

// barWidth is the width of the progress bar in columns.
const barWidth = 30

// Watch prints a line whenever the progress of the wave changes. It returns when the wave is done
// and fails if the wave is cancelled.
func Watch(ctx context.Context, o *WatchOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	last := ""
	for {
		w, err := c.Object(ctx, record.KindWave, o.Name, 0)
		if err != nil {
			return err
		}
		if line := progressLine(o.Streams, w); line != last {
			fmt.Fprintln(o.Streams.Out, line)
			last = line
		}
		switch wave.Phase(w.Status.Phase) {
		case wave.Done:
			return nil
		case wave.Cancelled:
			return exits.With(exits.Refused, fmt.Errorf("wave %s was cancelled", o.Name))
		}
		t := time.NewTimer(o.Interval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// progressLine formats the progress as a bar on a terminal and tab-separated otherwise.
func progressLine(s *deps.Streams, w wire.Object) string {
	done := w.Status.Total - w.Status.Remaining
	if !s.IsTerminal {
		return fmt.Sprintf("%s\t%s\t%d\t%d", w.Name, w.Status.Phase, done, w.Status.Total)
	}
	filled := barWidth * done / max(1, w.Status.Total)
	bar := strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled)
	return fmt.Sprintf("%s [%s] %d of %d hosts, %s", w.Name, bar, done, w.Status.Total, w.Status.Phase)
}
