package query

import (
	"context"
	"errors"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/query"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
)

// LeaveOptions are the options of the leave command.
type LeaveOptions struct {
	*deps.Factory
	Question  query.Leave
	MinOffset uint64
	// Check sets the exit code to [exits.CheckFailed] if no host may leave.
	Check bool
	JSON  bool
}

// NewLeave builds the leave command.
func NewLeave(f *deps.Factory, run func(context.Context, *LeaveOptions) error) *cobra.Command {
	o := &LeaveOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "leave",
		Short:   "Ask which hosts may leave for maintenance now, and what blocks the others",
		Example: "  caraway query leave --pool documents\n  caraway query leave --host tp-a-h1 --check",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.Question.Check().Err(); err != nil {
				return err
			}
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Leave(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVar(&o.Question.Pool, "pool", "", "`pool` to ask about")
	cmd.Flags().StringVar(&o.Question.Host, "host", "", "`host` to ask about")
	bindCommonFlags(cmd, &o.MinOffset, &o.Check, &o.JSON)
	return cmd
}

var leaveColumns = []table.Column[query.LeaveVerdict]{
	{Name: "host", Value: func(l query.LeaveVerdict) any { return l.Host }},
	{Name: "pool", Value: func(l query.LeaveVerdict) any { return l.Pool }},
	{Name: "may-leave", Value: func(l query.LeaveVerdict) any { return l.MayLeave }},
	{Name: "room", Value: func(l query.LeaveVerdict) any { return l.Headroom }},
	{Name: "blocker", Value: func(l query.LeaveVerdict) any { return l.Blocker }},
}

// Leave sends the query and prints the answer.
func Leave(ctx context.Context, o *LeaveOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	a, err := c.Leave(ctx, o.Question, o.MinOffset)
	if err != nil {
		return err
	}
	if o.JSON {
		err = printJSON(o.Streams, a)
	} else if err = table.Print(o.Streams, &table.JSONFlag{}, leaveColumns, a.Hosts); err == nil {
		printView(o.Streams, a.View)
	}
	if err != nil {
		return err
	}
	for _, h := range a.Hosts {
		if h.MayLeave {
			return nil
		}
	}
	if o.Check {
		return exits.With(exits.CheckFailed, errors.New("no host may leave for maintenance"))
	}
	return nil
}
