// Package call implements the request command, with which a caller sends requests to targets.
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

// maxBodyBytes limits the body that is read from standard input. The rest of a longer input is
// ignored.
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
	// Body is the body of the request; "-" reads it from standard input.
	Body string
}

// NewSend builds the send command.
func NewSend(f *deps.Factory, run func(context.Context, *SendOptions) error) *cobra.Command {
	o := &SendOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "send KIND",
		Short: "Send one request and print its answer",
		Long: "Send one request and print its answer. Without --idempotent the entry issues the id, and the\n" +
			"request runs at most once, even if it is sent several times with that id.",
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
	flags.StringVar(&o.Request.ID, "id", "", "request `id`; default: a new id")
	flags.BoolVar(&o.Request.Idempotent, "idempotent", false, "the request may safely run more than once")
	flags.StringVar(&o.Request.Urgency, "urgency", "", "low, normal or urgent")
	flags.DurationVar(&o.Request.Deadline, "deadline", 10*time.Second, "maximum time to wait for the answer")
	flags.StringVar(&o.Body, "body", "", "`body` of the request; - reads it from standard input")
	return cmd
}

// Send sends the request and prints its answer. The exit code is OK if the request ran, Refused if
// it did not run, and Unreachable if the outcome is unknown.
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
		return exits.With(exits.Unreachable, fmt.Errorf("outcome unknown: %w; to retry, send the request again with --id %s", err, o.Request.ID))
	}
	fmt.Fprintf(o.Streams.Err, "outcome %s, status %d, target %s, entry %s, id %s\n",
		a.Outcome, a.Status, a.Target, a.Entry, o.Request.ID)
	switch a.Outcome {
	case wire.Done:
		_, err = o.Streams.Out.Write(append(a.Body, '\n'))
		return err
	case wire.NotRun:
		return exits.With(exits.Refused, fmt.Errorf("request not run: %s", a.Reason))
	}
	return exits.With(exits.Unreachable, fmt.Errorf("outcome unknown: %s", a.Reason))
}

// newID returns a new request ID. The entry issues the IDs of requests that may run at most once.
func newID(ctx context.Context, c *client.Client, r client.Request) (string, error) {
	if r.Idempotent {
		return uuid.NewString(), nil
	}
	return c.IssueID(ctx, r.Kind)
}
