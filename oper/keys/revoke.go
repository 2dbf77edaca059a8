package keys

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/object"
)

// RevokeOptions are the options of the revoke command.
type RevokeOptions struct {
	object.RetireOptions
	// Last allows the last key to be revoked.
	Last bool
}

// NewRevoke builds the revoke command.
func NewRevoke(f *deps.Factory, run func(context.Context, *RevokeOptions) error) *cobra.Command {
	o := &RevokeOptions{RetireOptions: object.RetireOptions{Publisher: object.Publisher{Factory: f}, Kind: record.KindKey}}
	cmd := &cobra.Command{
		Use:   "revoke NAME",
		Short: "Revoke a key",
		Long: "Revoke a key. Each entry refuses it once the record is in force there; --wait waits for all entries.\n" +
			"Once the last key is revoked, requests need no key any more, so that has to be asked for with --last.",
		Example: "  caraway key revoke berths-2025 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Name = args[0]
			if run != nil {
				return run(cmd.Context(), o)
			}
			return Revoke(cmd.Context(), o)
		},
	}
	o.Bind(cmd)
	cmd.Flags().BoolVar(&o.Last, "last", false, "also revoke the key if it is the last one")
	return cmd
}

// Revoke publishes the removal of the key.
func Revoke(ctx context.Context, o *RevokeOptions) error {
	c, err := o.Client(ctx)
	if err != nil {
		return err
	}
	keys, err := c.Objects(ctx, record.KindKey, 0)
	if err != nil {
		return err
	}
	if !o.Last && len(keys.Objects) == 1 && keys.Objects[0].Name == o.Name {
		return exits.With(exits.Refused, fmt.Errorf("%s is the last key; without it requests need no key any more: create another one first, or add --last", o.Name))
	}
	return object.Retire(ctx, &o.RetireOptions)
}
