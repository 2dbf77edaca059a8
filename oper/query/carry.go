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
	// MinOffset is the lowest offset that must be in force on the entry that answers.
	MinOffset uint64
	// Check sets the exit code to [exits.CheckFailed] if the answer is no.
	Check bool
	// JSON prints the whole answer as JSON.
	JSON bool
}

// NewCarry builds the carry command.
func NewCarry(f *deps.Factory, run func(context.Context, *CarryOptions) error) *cobra.Command {
	o := &CarryOptions{Factory: f}
	demand := query.Demand{Name: "job"}
	cmd := &cobra.Command{
		Use:   "carry",
		Short: "Ask whether a pool or the fleet has room for a job or for a number of concurrent requests",
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
	flags.StringVar(&o.Question.Pool, "pool", "", "`pool` to ask about; default: the whole fleet")
	flags.IntVar(&o.Question.Slots, "slots", 0, "number of concurrent requests")
	flags.StringVar(&demand.Name, "name", demand.Name, "`name` of the job in the answer")
	flags.Int64Var(&demand.Size.Cores, "cores", 0, "processor cores of each task")
	flags.Int64Var(&demand.Size.MemoryMiB, "memory-mib", 0, "memory of each task in MiB")
	flags.Int64Var(&demand.Size.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.IntVar(&demand.Tasks, "tasks", 1, "number of tasks")
	flags.BoolVar(&demand.Spread, "spread", false, "spread the tasks across racks")
	bindCommonFlags(cmd, &o.MinOffset, &o.Check, &o.JSON)
	return cmd
}

// bindCommonFlags adds the flags that all query commands accept.
func bindCommonFlags(cmd *cobra.Command, minOffset *uint64, check, asJSON *bool) {
	cmd.Flags().Uint64Var(minOffset, "min-offset", 0, "lowest `offset` that must be in force on the entry that answers")
	cmd.Flags().BoolVar(check, "check", false, "exit with code 6 if the answer is no")
	cmd.Flags().BoolVar(asJSON, "json", false, "print the whole answer as JSON")
}

// Carry sends the query and prints the answer.
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
		return exits.With(exits.CheckFailed, errors.New("there is not enough room for the demand"))
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

// printView prints the offset and the age of the state that the answer is based on.
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
