package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/query"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
)

// CarryOptions are the options of the carry command.
type CarryOptions struct {
	*deps.Factory
	Question query.Carry
	// MinOffset is the offset that must be in force where the answer is computed.
	MinOffset uint64
	// Check makes the exit code tell the answer.
	Check bool
	// JSON prints the whole answer.
	JSON bool
}

// NewCarry builds the carry command.
func NewCarry(f *deps.Factory, run func(context.Context, *CarryOptions) error) *cobra.Command {
	o := &CarryOptions{Factory: f}
	demand := query.Demand{Name: "job"}
	cmd := &cobra.Command{
		Use:   "carry",
		Short: "Ask whether a pool, or the fleet, can take a job or a number of requests at once",
		Example: "  caraway query carry --pool contracts --cores 4 --memory-mib 8192 --tasks 10\n" +
			"  caraway query carry --pool documents --slots 40 --check",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if demand.Size.Cores+demand.Size.MemoryMiB+demand.Size.Accelerators != 0 {
				o.Question.Jobs = []query.Demand{demand}
			}
			if err := o.Question.Check().Err(); err != nil {
				return err
			}
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Carry(cmd.Context(), o)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Question.Pool, "pool", "", "`pool` to ask about; the whole fleet where none is named")
	flags.IntVar(&o.Question.Slots, "slots", 0, "requests that run at once")
	flags.StringVar(&demand.Name, "name", demand.Name, "`name` of the job in the answer")
	flags.Int64Var(&demand.Size.Cores, "cores", 0, "processor cores of each task")
	flags.Int64Var(&demand.Size.MemoryMiB, "memory-mib", 0, "memory of each task in MiB")
	flags.Int64Var(&demand.Size.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.IntVar(&demand.Tasks, "tasks", 1, "number of tasks")
	flags.BoolVar(&demand.Spread, "spread", false, "spread the tasks over racks")
	bindCommonFlags(cmd, &o.MinOffset, &o.Check, &o.JSON)
	return cmd
}

// bindCommonFlags adds the flags of all questions.
func bindCommonFlags(cmd *cobra.Command, minOffset *uint64, check, asJSON *bool) {
	cmd.Flags().Uint64Var(minOffset, "min-offset", 0, "`offset` that must be in force where the answer is computed")
	cmd.Flags().BoolVar(check, "check", false, "exit with 6 when the answer is no")
	cmd.Flags().BoolVar(asJSON, "json", false, "print the whole answer as JSON")
}

// Carry asks and prints the answer.
func Carry(ctx context.Context, o *CarryOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	a, err := c.Carry(ctx, o.Question, o.MinOffset)
	if err != nil {
		return err
	}
	if err := printCarryAnswer(o, a); err != nil {
		return err
	}
	if o.Check && !a.Fits {
		return exits.With(exits.CheckFailed, errors.New("it does not fit"))
	}
	return nil
}

func printCarryAnswer(o *CarryOptions, a query.CarryAnswer) error {
	if o.JSON {
		return printJSON(o.Streams, a)
	}
	out := o.Streams.Out
	if !a.Fits {
		fmt.Fprintf(out, "no\tshort of %s\t%s\n", a.ShortOf, a.Why)
	} else {
		fmt.Fprintln(out, "yes")
		for _, p := range a.Placements {
			fmt.Fprintf(out, "%s\t%d\t%s\n", p.Job, p.Task, p.Host)
		}
	}
	printView(o.Streams, a.View)
	return nil
}

func printView(s *deps.Streams, v query.View) {
	if s.IsTerminal {
		fmt.Fprintf(s.Err, "as of offset %d, %d ms old\n", v.Offset, v.AgeMS)
	}
}

func printJSON(s *deps.Streams, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.Out, string(raw))
	return err
}
