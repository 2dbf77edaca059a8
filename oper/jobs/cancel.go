package jobs

import (
	"context"
	"slices"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CancelOptions are the options of the cancel command.
type CancelOptions struct {
	object.Publisher
	Names []string
}

// NewCancel builds the cancel command.
func NewCancel(f *deps.Factory, run func(context.Context, *CancelOptions) error) *cobra.Command {
	o := &CancelOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:     "cancel NAME...",
		Short:   "Cancel jobs; jobs that have ended are skipped",
		Example: "  caraway job cancel match settle",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Names = args
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Cancel(cmd.Context(), o)
		},
	}
	o.Bind(cmd)
	return cmd
}

// Cancel publishes the cancellation in records of at most [record.MaxBatch] names.
func Cancel(ctx context.Context, o *CancelOptions) error {
	for names := range slices.Chunk(o.Names, record.MaxBatch) {
		if err := o.Publish(ctx, "", jobs.Cancel{Jobs: names}); err != nil {
			return err
		}
	}
	return nil
}
