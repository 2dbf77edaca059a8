package logs

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
)

// ExplainOptions are the options of the explain command.
type ExplainOptions struct {
	Factory *deps.Factory
	JSON    *table.JSONFlag
	// Job is the ID of the job.
	Job string
	// Files are the paths of the logs of all entries; "-" reads standard input.
	Files []string
}

var columns = []table.Column[Event]{
	{Name: "time", Value: func(e Event) any { return e.Time.Format("15:04:05.000") }},
	{Name: "entry", Value: func(e Event) any { return e.Entry }},
	{Name: "event", Value: func(e Event) any { return e.Message }},
	{Name: "detail", Value: func(e Event) any { return e.Detail }},
}

// NewExplain builds the explain command.
func NewExplain(f *deps.Factory, run func(*ExplainOptions) error) *cobra.Command {
	o := &ExplainOptions{Factory: f}
	cmd := &cobra.Command{
		Use:   "explain JOB FILE...",
		Short: "Show the history of a job from the logs of entries",
		Long: `Show the history of a job from the logs of entries.

Lists every line about the job and its tasks, sorted by time. Lines from the same period
about the job's pool, the hosts that its tasks ran on and the store are included.`,
		Example: "  caraway log explain 5c0e7a21d94b36f8 entry-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			o.Job, o.Files = args[0], args[1:]
			if run != nil {
				return run(o)
			}
			return Explain(o)
		},
	}
	o.JSON = table.Bind(cmd, columns)
	return cmd
}

// Explain reads the logs and prints the events of the job as a table.
func Explain(o *ExplainOptions) error {
	if err := batch.CheckID(o.Job); err != nil {
		return exits.With(exits.Usage, err)
	}
	s := o.Factory.Streams
	t := NewTimeline(o.Job)
	for _, name := range o.Files {
		if err := readLog(s.In, name, t.ReadLog); err != nil {
			return exits.With(exits.Failed, fault.At("read", name, err))
		}
	}
	if t.SkippedLines > 0 {
		fmt.Fprintf(s.Err, skippedLinesFormat, t.SkippedLines)
	}
	events := t.Events()
	if len(events) == 0 {
		return exits.With(exits.Failed, fmt.Errorf("the logs contain no line about job %s", o.Job))
	}
	return table.Print(s, o.JSON, columns, events)
}

// skippedLinesFormat tells how many lines were not read.
const skippedLinesFormat = "skipped %d lines that are not JSON log lines with a valid time\n"

// readLog reads the log of a name with a function; "-" stands for standard input.
func readLog(in io.Reader, name string, read func(io.Reader) error) error {
	if name == "-" {
		return read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}
