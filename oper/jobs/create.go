package jobs

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/object"
)

// CreateOptions are the options of the create command.
type CreateOptions = object.CreateOptions[jobs.Spec]

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	if run == nil {
		run = Create
	}
	cmd, _ := object.NewCreate(f, &cobra.Command{
		Use:   "create NAME",
		Short: "Create a job whose tasks run on the hosts of a pool",
		Example: "  caraway job create match --pool contracts --cores 4 --memory-mib 8192 --tasks 10\n" +
			"  caraway job create settle --pool remittances --cores 1 --memory-mib 1024 --urgency urgent --spread",
	}, bindSpec, run)
	_ = cmd.MarkFlagRequired("pool")
	return cmd
}

func bindSpec(cmd *cobra.Command, s *jobs.Spec) {
	flags := cmd.Flags()
	flags.StringVar(&s.Pool, "pool", "", "`pool` whose hosts run the tasks")
	flags.StringVar(&s.Team, "team", "", "`team` whose quota the tasks count against")
	flags.Int64Var(&s.Size.Cores, "cores", 1, "processor cores of each task")
	flags.Int64Var(&s.Size.MemoryMiB, "memory-mib", 1024, "memory of each task in MiB")
	flags.Int64Var(&s.Size.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.IntVar(&s.Tasks, "tasks", 1, "number of tasks")
	flags.Int64Var(&s.RunSeconds, "run-seconds", 0, "declared run time in seconds; 0 runs the tasks until the job is cancelled")
	flags.StringVar((*string)(&s.Urgency), "urgency", string(jobs.Normal), "low, normal or urgent")
	flags.BoolVar(&s.Spread, "spread", false, "spread the tasks across racks")
}

// Create publishes the job. It prints a warning if no host of the pool is large enough for a task.
func Create(ctx context.Context, o *CreateOptions) error {
	if err := o.Run(ctx); err != nil {
		return err
	}
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	job, err := c.Object(ctx, record.KindJob, o.Name, 0)
	if err != nil {
		return err
	}
	if job.Status.UnplaceableFor != "" {
		fmt.Fprintf(o.Streams.Err, "warning: no host of pool %s is large enough for a task of this job: short of %s\n", o.Spec.Pool, job.Status.UnplaceableFor)
	}
	return nil
}
