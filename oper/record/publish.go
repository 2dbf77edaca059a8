package record

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/object"
)

// PublishOptions are the options of the publish command.
type PublishOptions struct {
	object.Publisher
	// File is the path of the record; "-" reads standard input.
	File string
}

// NewPublish builds the publish command.
func NewPublish(f *deps.Factory, run func(context.Context, *PublishOptions) error) *cobra.Command {
	o := &PublishOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish a record from a file",
		Long: "Publish a record from a JSON file. A missing id, author or time is filled in. Publishing a record\n" +
			"again with the same id has no further effect.",
		Example: "  caraway record publish -F pool.json\n" +
			`  echo '{"kind":"budget","schema":1,"object":"documents","body":{"max-unavailable":2}}' | caraway record publish -F -`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Publish(cmd.Context(), o)
		},
	}
	cmd.Flags().StringVarP(&o.File, "file", "F", "", "JSON `file`; - reads standard input")
	cmd.Flags().BoolVar(&o.Wait, "wait", false, "wait until the record is in force on every entry")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// Publish reads the record, validates it and publishes it.
func Publish(ctx context.Context, o *PublishOptions) error {
	raw, err := o.readInput()
	if err != nil {
		return exits.With(exits.Usage, err)
	}
	if raw, err = o.fillDefaults(raw); err != nil {
		return err
	}
	r, err := codec.DecodeRecord(raw)
	if err == nil {
		err = codec.RejectUnknown(r)
	}
	if err == nil {
		err = append(r.CheckEnvelope(), r.Body.Check()...).Err()
	}
	if err != nil {
		return exits.With(exits.Usage, fmt.Errorf("%s: %w", o.File, err))
	}
	return o.PublishRaw(ctx, raw, fmt.Sprintf("%s %s", r.Body.Kind(), r.Object), r.ID.String())
}

// readInput reads the record. It reads one byte more than a record may have from standard input, so
// that a record that is too large is refused instead of truncated.
func (o *PublishOptions) readInput() ([]byte, error) {
	if o.File != "-" {
		return os.ReadFile(o.File)
	}
	return io.ReadAll(io.LimitReader(o.Streams.In, record.MaxBytes+1))
}

// fillDefaults sets the ID, the author and the time if they are missing. It leaves all other fields
// unchanged, so that validation reports what is wrong with them.
func (o *PublishOptions) fillDefaults(raw []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, exits.With(exits.Usage, fmt.Errorf("%s: not a JSON object: %w", o.File, err))
	}
	settings, err := o.Settings()
	if err != nil {
		return nil, err
	}
	for key, value := range map[string]any{
		"id": record.NewID().String(), "author": settings.Author, "at": time.Now().UnixMilli(),
	} {
		if fields[key] != nil {
			continue
		}
		if fields[key], err = json.Marshal(value); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}
