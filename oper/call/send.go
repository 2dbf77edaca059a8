// Package call holds the commands of callers.
package call

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
)

// maxBodyBytes is the largest body that is read from standard input, in bytes.
const maxBodyBytes = 64 << 20

// New builds the request command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "request", Short: "Send requests as a caller"}
	cmd.AddCommand(NewSend(f, nil))
	return cmd
}

// SendOptions are the options of the send command.
type SendOptions struct {
	*deps.Factory
	Request client.Request
	// Body is the body; "-" reads it from standard input.
	Body string
}

// NewSend builds the send command.
func NewSend(f *deps.Factory, run func(context.Context, *SendOptions) error) *cobra.Command {
	o := &SendOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "send KIND",
		Short: "Send one request and print its answer",
		Long: "Send one request and print its answer. Without --idempotent the entry issues the id, and the\n" +
			"request runs at most once, however often it is sent under that id.",
		Example: "  caraway request send documents --idempotent --body hello\n" +
			"  caraway request send remittances --body - --deadline 2s < order.json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Request.Kind = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Send(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Request.ID, "id", "", "request `id`; a fresh one where none is named")
	flags.BoolVar(&o.Request.Idempotent, "idempotent", false, "the request may safely run more than once")
	flags.StringVar(&o.Request.Urgency, "urgency", "", "low, normal or urgent")
	flags.DurationVar(&o.Request.Deadline, "deadline", 10*time.Second, "how long the caller waits")
	flags.StringVar(&o.Body, "body", "", "`body` of the request; - reads standard input")
	return cmd
}

// Send sends the request. The exit code tells the outcome: done, refused or unknown.
func Send(ctx context.Context, o *SendOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	o.Request.Body = []byte(o.Body)
	if o.Body == "-" {
		if o.Request.Body, err = io.ReadAll(io.LimitReader(o.Streams.In, maxBodyBytes)); err != nil {
			return err
		}
	}
	if o.Request.ID == "" {
		if o.Request.ID, err = newID(ctx, c, o.Request); err != nil {
			return err
		}
	}
	a, err := c.Do(ctx, o.Request)
	if err != nil {
		return exits.With(exits.Unreachable, fmt.Errorf("outcome unknown: %w; send it again with --id %s", err, o.Request.ID))
	}
	fmt.Fprintf(o.Streams.Err, "outcome %s, status %d, target %s, entry %s, id %s\n",
		a.Outcome, a.Status, a.Target, a.Entry, o.Request.ID)
	switch a.Outcome {
	case wire.Done:
		_, err = o.Streams.Out.Write(append(a.Body, '\n'))
		return err
	case wire.NotRun:
		return exits.With(exits.Refused, fmt.Errorf("not run: %s", a.Reason))
	}
	return exits.With(exits.Unreachable, fmt.Errorf("outcome unknown: %s", a.Reason))
}

func newID(ctx context.Context, c *client.Client, r client.Request) (string, error) {
	if r.Idempotent {
		return uuid.NewString(), nil
	}
	return c.Ticket(ctx, r.Kind)
}
