package record

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
)

// WatchOptions are the options of the watch command.
type WatchOptions struct {
	*deps.Factory
	// From is the first offset to print.
	From uint64
	// Follow continues with new records until the command is interrupted.
	Follow bool
	// Raw prints the records and their verdicts as JSON lines.
	Raw bool
}

// NewWatch builds the watch command.
func NewWatch(f *deps.Factory, run func(context.Context, *WatchOptions) error) *cobra.Command {
	o := &WatchOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "Show the records of the log with their verdicts",
		Example: "  caraway record watch --from 0\n" +
			"  caraway record watch --follow --raw",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Watch(cmd.Context(), o)
		},
	}
	cmd.Flags().Uint64Var(&o.From, "from", 0, "first `offset` to show")
	cmd.Flags().BoolVar(&o.Follow, "follow", false, "continue with new records until interrupted")
	cmd.Flags().BoolVar(&o.Raw, "raw", false, "print JSON lines")
	return cmd
}

// followPollTimeout is the maximum time that one request waits for new records.
const followPollTimeout = 10 * time.Second

// Watch prints the records from an offset onwards.
func Watch(ctx context.Context, o *WatchOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	if o.Follow {
		wait = followPollTimeout
	}
	for from := o.From; ; {
		page, err := c.ReadLog(ctx, from, wait)
		if err != nil {
			return err
		}
		for _, w := range page.Records {
			if err := o.printRecord(w); err != nil {
				return err
			}
		}
		if !o.Follow && len(page.Records) == 0 {
			return nil
		}
		from = page.Next
	}
}

func (o *WatchOptions) printRecord(w wire.LogRecord) error {
	if o.Raw {
		raw, err := json.Marshal(w)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(o.Streams.Out, string(raw))
		return err
	}
	var r struct {
		Kind   string `json:"kind"`
		Schema int    `json:"schema"`
		Author string `json:"author"`
		Object string `json:"object"`
	}
	if err := json.Unmarshal(w.Record, &r); err != nil {
		r.Kind = "unreadable"
	}
	line := fmt.Sprintf("%d\t%s\t%s v%d\t%s\t%s", w.Offset, w.Verdict.Result, r.Kind, r.Schema, r.Object, r.Author)
	if w.Verdict.Reason != "" {
		line += "\t" + w.Verdict.Reason
	}
	_, err := fmt.Fprintln(o.Streams.Out, line)
	return err
}
