package keys

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/object"
	"carawaymux.dev/oper/table"
)

// CreateOptions are the options of the create command.
type CreateOptions struct {
	object.Publisher
	JSON *table.JSONFlag
	Name string
	Team string
	// KeyFile is the file with the key; empty for a new key.
	KeyFile string
}

// minKeyBytes is the least length of a key from a file: 128 bits in hexadecimal digits.
const minKeyBytes = 32

// created is a key that was created.
type created struct{ name, team, key string }

var createdColumns = []table.Column[created]{
	{Name: "name", Value: func(c created) any { return c.name }},
	{Name: "team", Value: func(c created) any { return c.team }},
	{Name: "key", Value: func(c created) any { return c.key }},
}

// NewCreate builds the create command.
func NewCreate(f *deps.Factory, run func(context.Context, *CreateOptions) error) *cobra.Command {
	o := &CreateOptions{Publisher: object.Publisher{Factory: f}}
	cmd := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a key of a team and show it",
		Long: "Create a key of a team. The key is shown once, on standard output; the fleet stores its digest only.\n" +
			"To replace a key, create a second one, hand it to the team, and revoke the first one. From the first key\n" +
			"on every caller needs one: to let callers send theirs before, hand out keys in files and pass them here.",
		Example: "  caraway key create berths-2026 --team berths --wait\n  caraway key create berths-2026 --team berths --json key",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Create(cmd.Context(), o)
		},
	}
	o.JSON = table.Bind(cmd, createdColumns)
	cmd.Flags().StringVar(&o.Team, "team", "", "`team` that the key belongs to")
	cmd.Flags().StringVar(&o.KeyFile, "key-file", "", "`file` with a random key that the team sends already; it is not shown again. Default: a new key")
	cmd.Flags().BoolVar(&o.Wait, "wait", false, "wait until the key is in force on every entry")
	_ = cmd.MarkFlagRequired("team")
	return cmd
}

// Create publishes the digest of a new key and prints the key. A key whose record may not have been accepted is not shown, so
// that nobody relies on it.
func Create(ctx context.Context, o *CreateOptions) error {
	key, shown, err := o.key()
	if err != nil {
		return err
	}
	publisher := o.Publisher
	publisher.Factory = o.WithOutput(o.Streams.Err)
	publisher.UnknownAdvice = fmt.Sprintf("the key is not shown; if \"caraway key list\" has %s, revoke it and create another", o.Name)
	err = publisher.Publish(ctx, o.Name, apikey.Spec{Team: o.Team, Digest: apikey.Digest(key)})
	if err != nil && exits.Code(err) != exits.NotPropagated {
		return err
	}
	if printErr := table.Print(o.Streams, o.JSON, createdColumns, []created{{o.Name, o.Team, shown}}); printErr != nil {
		return printErr
	}
	return err
}

// key returns the key to create, and what is shown of it.
func (o *CreateOptions) key() (key, shown string, err error) {
	if o.KeyFile == "" {
		key = apikey.New()
		return key, key, nil
	}
	raw, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return "", "", exits.With(exits.Usage, fault.At("read-key", o.KeyFile, err))
	}
	key = strings.TrimSpace(string(raw))
	if len(key) < minKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return "", "", exits.With(exits.Usage, fault.New("read-key", o.KeyFile, "must hold one key of at least %d bytes without spaces", minKeyBytes))
	}
	return key, "", nil
}
