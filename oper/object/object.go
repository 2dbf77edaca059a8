// Package object implements what the commands on all kinds of objects share: publishing a record
// and waiting until it is in force, and the create, edit, retire, list, show and explain commands.
package object

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/table"
)

// Publisher publishes one record. Commands embed it in their options.
type Publisher struct {
	*deps.Factory
	// Schema is the schema version to write; 0 selects the newest.
	Schema int
	// Base is the version that the change is based on; 0 creates the object.
	Base uint64
	// Wait makes the command wait until the record is in force on every entry.
	Wait bool
	// ID is the ID of an earlier record that is published again. If it is empty, a new ID is used.
	ID string
	// UnknownAdvice says what to do when the outcome is unknown. If it is empty, it is to publish again under the same ID.
	UnknownAdvice string
}

// Bind adds the flags of the publisher to a command.
func (p *Publisher) Bind(cmd *cobra.Command) {
	cmd.Flags().IntVar(&p.Schema, "schema", 0, "schema `version` to write; 0 selects the newest")
	cmd.Flags().BoolVar(&p.Wait, "wait", false, "wait until the record is in force on every entry")
	cmd.Flags().StringVar(&p.ID, "id", "", "`id` of an earlier record, to retry a publication whose answer was lost")
}

// Publish validates a body, publishes it as a record and prints the verdict.
func (p *Publisher) Publish(ctx context.Context, name string, body record.Body) error {
	settings, err := p.Settings()
	if err != nil {
		return err
	}
	r := client.NewRecord(settings.Author, name, p.Base, body)
	if p.Schema != 0 {
		r.Schema = p.Schema
	}
	if p.ID != "" {
		if err := r.ID.UnmarshalText([]byte(p.ID)); err != nil {
			return exits.With(exits.Usage, fmt.Errorf("--id: %w", err))
		}
	}
	problems := append(r.CheckEnvelope(), body.Check()...)
	if err := problems.Err(); err != nil {
		return err
	}
	raw, err := codec.EncodeRecord(r)
	if err != nil {
		return exits.With(exits.Usage, err)
	}
	return p.PublishRaw(ctx, raw, fmt.Sprintf("%s %s", body.Kind(), name), r.ID.String())
}

// PublishRaw publishes an encoded record and prints the verdict.
func (p *Publisher) PublishRaw(ctx context.Context, raw []byte, label, id string) error {
	settings, err := p.Settings()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Timeout)
	defer cancel()
	c, err := p.Client(ctx)
	if err != nil {
		return err
	}
	v, err := c.PublishRaw(ctx, raw)
	if err != nil {
		if exits.Code(err) == exits.Unreachable {
			advice := "retry safely with --id " + id
			if p.UnknownAdvice != "" {
				advice = p.UnknownAdvice
			}
			return exits.With(exits.Unreachable, fmt.Errorf("%w\noutcome unknown; %s", err, advice))
		}
		return err
	}
	fmt.Fprintf(p.Streams.Out, "%s accepted at offset %d\n", label, v.Offset)
	if !p.Wait {
		return nil
	}
	return p.waitInForce(ctx, c, record.Version(v.Offset))
}

// waitPollInterval is the time between two requests for the offsets of the entries.
const waitPollInterval = 100 * time.Millisecond

// waitInForce waits until an offset is in force on every entry. If ctx ends first, the error lists
// the entries on which it is not.
func (p *Publisher) waitInForce(ctx context.Context, c *client.Client, offset uint64) error {
	var behind []string
	for {
		members, err := c.Members(ctx)
		if err == nil {
			if behind = EntriesBehind(members, offset); len(behind) == 0 {
				fmt.Fprintf(p.Streams.Out, "in force on all %d entries\n", len(members))
				return nil
			}
		}
		t := time.NewTimer(waitPollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return exits.With(exits.NotPropagated, fmt.Errorf("record accepted, but not confirmed to be in force on these entries: %s", strings.Join(behind, ", ")))
		}
	}
}

// EntriesBehind lists the entries on which an offset is not confirmed to be in force. Entries that
// have ended are skipped.
func EntriesBehind(members []wire.Member, offset uint64) []string {
	var out []string
	for _, m := range members {
		if m.State == "left" || m.State == "gone" || m.State == "live" && m.Offset >= offset {
			continue
		}
		out = append(out, fmt.Sprintf("%s (%s, at offset %d)", m.Name, m.State, m.Offset))
	}
	return out
}

// CurrentSpec returns the specification and the version of an object that are in force, as the base
// of a change.
func CurrentSpec[S any](ctx context.Context, f *deps.Factory, k record.Kind, name string) (S, uint64, error) {
	var spec S
	c, err := f.Client(ctx)
	if err != nil {
		return spec, 0, err
	}
	o, err := c.Object(ctx, k, name, 0)
	if err != nil {
		return spec, 0, err
	}
	err = json.Unmarshal(o.Spec, &spec)
	return spec, o.Version, err
}

// specField returns a field of an object's specification, or nil if it is missing or cannot be
// decoded.
func specField(o wire.Object, name string) any {
	var spec map[string]any
	if json.Unmarshal(o.Spec, &spec) != nil {
		return nil
	}
	return spec[name]
}

// SpecColumn returns a column that shows a field of the specification.
func SpecColumn(name string) table.Column[wire.Object] {
	return table.Column[wire.Object]{Name: name, Value: func(o wire.Object) any {
		switch v := specField(o, name).(type) {
		case nil:
			return ""
		case []any:
			parts := make([]string, len(v))
			for i, item := range v {
				parts[i] = fmt.Sprint(item)
			}
			return parts
		case float64:
			return int64(v)
		default:
			return v
		}
	}}
}

// Columns returns the columns of a list: the name, the given columns of the kind, the version and
// the author.
func Columns(kindColumns ...table.Column[wire.Object]) []table.Column[wire.Object] {
	out := []table.Column[wire.Object]{{Name: "name", Value: func(o wire.Object) any { return o.Name }}}
	out = append(out, kindColumns...)
	return append(out,
		table.Column[wire.Object]{Name: "version", Value: func(o wire.Object) any { return o.Version }},
		table.Column[wire.Object]{Name: "author", Value: func(o wire.Object) any { return o.Author }},
	)
}

// ListOptions are the options of the list command of a kind.
type ListOptions struct {
	*deps.Factory
	Kind    record.Kind
	Columns []table.Column[wire.Object]
	JSON    *table.JSONFlag
	Schema  int
}

// NewList builds the list command of a kind.
func NewList(f *deps.Factory, k record.Kind, columns []table.Column[wire.Object], run func(context.Context, *ListOptions) error) *cobra.Command {
	o := &ListOptions{Factory: f, Kind: k, Columns: columns}
	cmd := &cobra.Command{
		Use:     "list",
		Short:   fmt.Sprintf("List the %ss that are in force", k),
		Example: fmt.Sprintf("  caraway %[1]s list\n  caraway %[1]s list --json name,version", k),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return List(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, columns)
	cmd.Flags().IntVar(&o.Schema, "schema", 0, "schema `version` of the output; 0 selects the newest")
	return cmd
}

// List prints the objects of a kind.
func List(ctx context.Context, o *ListOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	list, err := c.Objects(ctx, o.Kind, o.Schema)
	if err != nil {
		return err
	}
	if err := table.Print(o.Streams, o.JSON, o.Columns, list.Objects); err != nil {
		return err
	}
	if o.Streams.IsTerminal {
		fmt.Fprintf(o.Streams.Err, "as of offset %d, %d ms old\n", list.Offset, list.AgeMS)
	}
	return nil
}

// LookupOptions are the options of the show and explain commands, which read one object.
type LookupOptions struct {
	*deps.Factory
	Kind   record.Kind
	Name   string
	Schema int
}

// NewShow builds the show command of a kind.
func NewShow(f *deps.Factory, k record.Kind, run func(context.Context, *LookupOptions) error) *cobra.Command {
	o := &LookupOptions{Factory: f, Kind: k}
	cmd := &cobra.Command{
		Use:     "show NAME",
		Short:   fmt.Sprintf("Show the version of a %s that is in force, as JSON", k),
		Example: fmt.Sprintf("  caraway %s show NAME --schema 1", k),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Show(cmd.Context(), o)
		},
	}
	cmd.Flags().IntVar(&o.Schema, "schema", 0, "schema `version` of the output; 0 selects the newest")
	return cmd
}

// Show prints one object as JSON.
func Show(ctx context.Context, o *LookupOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	found, err := c.Object(ctx, o.Kind, o.Name, o.Schema)
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(found, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.Streams.Out, string(raw))
	return err
}

// NewExplain builds the explain command of a kind.
func NewExplain(f *deps.Factory, k record.Kind, run func(context.Context, *LookupOptions) error) *cobra.Command {
	o := &LookupOptions{Factory: f, Kind: k}
	return &cobra.Command{
		Use:     "explain NAME",
		Short:   fmt.Sprintf("Show the events of a %s with their time, rule and figures, and the reasons for its state", k),
		Example: fmt.Sprintf("  caraway %s explain NAME", k),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Explain(cmd.Context(), o)
		},
	}
}

// timeLayout is the format of the times that explain prints, in UTC.
const timeLayout = "2006-01-02 15:04:05.000"

// Explain prints the reasons for the state of an object and the events that changed it.
func Explain(ctx context.Context, o *LookupOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	e, err := c.Explain(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	out := o.Streams.Out
	fmt.Fprintf(out, "%s %s at version %d, published by %s, as of offset %d\n",
		e.Object.Kind, e.Object.Name, e.Object.Version, e.Object.Author, e.Offset)
	for _, line := range e.Why {
		fmt.Fprintf(out, "- %s\n", line)
	}
	for _, s := range e.History {
		fmt.Fprintf(out, "%s  offset %d  %s by %s", time.UnixMilli(s.At).UTC().Format(timeLayout), s.Offset, s.Event, s.Author)
		if s.Rule != "" {
			fmt.Fprintf(out, "  rule %s (%s)", s.Rule, s.Figures)
		}
		fmt.Fprintln(out)
	}
	return nil
}

// StatusColumn returns a column that shows a value from an object's status.
func StatusColumn(name string, value func(wire.ObjectStatus) any) table.Column[wire.Object] {
	return table.Column[wire.Object]{Name: name, Value: func(o wire.Object) any { return value(o.Status) }}
}
