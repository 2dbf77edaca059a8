// Package table prints lists of rows: aligned on a terminal, tab-separated otherwise, or as JSON
// with selected fields.
package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
)

// Column is a column of a list of rows of type R.
type Column[R any] struct {
	// Name is the header of the column and the name of its JSON field.
	Name string
	// Value returns the value of the column in a row. It must be encodable as JSON.
	Value func(R) any
}

// JSONFlag is the value of the --json flag of a command.
type JSONFlag struct {
	fields []string
	known  []string
}

// Bind adds the --json flag to a command. Parsing the flag fails for fields that are not columns.
func Bind[R any](cmd *cobra.Command, columns []Column[R]) *JSONFlag {
	j := &JSONFlag{}
	for _, c := range columns {
		j.known = append(j.known, c.Name)
	}
	cmd.Flags().Var(j, "json", "print JSON with these `fields`, separated by commas: "+strings.Join(j.known, ", "))
	return j
}

// String returns the selected fields, separated by commas.
func (j *JSONFlag) String() string { return strings.Join(j.fields, ",") }

// Type returns the name of the flag's type for help texts.
func (j *JSONFlag) Type() string { return "fields" }

// Set parses the selected fields.
func (j *JSONFlag) Set(s string) error {
	j.fields = strings.Split(s, ",")
	for _, f := range j.fields {
		if !slices.Contains(j.known, f) {
			return fmt.Errorf("unknown field %q; available fields: %s", f, strings.Join(j.known, ", "))
		}
	}
	return nil
}

// Print prints rows as JSON if the flag selects fields, as an aligned table on a terminal, and
// otherwise tab-separated without a header.
func Print[R any](s *deps.Streams, j *JSONFlag, columns []Column[R], rows []R) error {
	if len(j.fields) > 0 {
		return printJSON(s, j, columns, rows)
	}
	if !s.IsTerminal {
		for _, r := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(cells(columns, r), "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	var header []string
	for _, c := range columns {
		header = append(header, strings.ToUpper(c.Name))
	}
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(cells(columns, r), "\t"))
	}
	return w.Flush()
}

func cells[R any](columns []Column[R], r R) []string {
	out := make([]string, len(columns))
	for i, c := range columns {
		v := c.Value(r)
		if list, ok := v.([]string); ok {
			v = strings.Join(list, ",")
		}
		out[i] = strings.ReplaceAll(fmt.Sprint(v), "\t", " ")
	}
	return out
}

func printJSON[R any](s *deps.Streams, j *JSONFlag, columns []Column[R], rows []R) error {
	out := make([]map[string]any, 0, len(rows))
	for _, r := range rows {
		item := make(map[string]any, len(j.fields))
		for _, c := range columns {
			if slices.Contains(j.fields, c.Name) {
				item[c.Name] = c.Value(r)
			}
		}
		out = append(out, item)
	}
	raw, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return exits.With(exits.Failed, err)
	}
	_, err = fmt.Fprintln(s.Out, string(raw))
	return err
}
