// Package jobs implements the job command, which creates, cancels and shows jobs.
package jobs

import (
	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// New builds the job command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Work with jobs"}
	columns := object.Columns(object.SpecColumn("pool"), object.SpecColumn("urgency"), tasks, waiting, unmet)
	cmd.AddCommand(
		NewCreate(f, nil), NewCancel(f, nil),
		object.NewList(f, record.KindJob, columns, nil),
		object.NewShow(f, record.KindJob, nil),
		object.NewExplain(f, record.KindJob, nil), object.NewRetire(f, record.KindJob, nil),
	)
	return cmd
}

var (
	tasks   = object.StatusColumn("tasks", func(s wire.ObjectStatus) any { return s.Tasks })
	waiting = object.StatusColumn("waiting", func(s wire.ObjectStatus) any { return s.Waiting })
	unmet   = object.StatusColumn("never", func(s wire.ObjectStatus) any { return s.UnplaceableFor })
)
