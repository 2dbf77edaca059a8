// Package config implements the config command, which checks configurations of the users' platform before they are sent.
package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/platform/draft"
	"carawaymux.dev/platform/store"
	"carawaymux.dev/platform/topic"
)

// New builds the config command and its subcommands.
func New(f *deps.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check configurations of the users' platform before they are sent"}
	cmd.AddCommand(NewCheck(f, nil), NewDiff(f, nil))
	return cmd
}

const (
	// maxFileBytes limits a file. The store accepts no larger records.
	maxFileBytes = 16 << 20
	// callTimeout limits the calls to the store and to the machine service.
	callTimeout = 10 * time.Second
)

// readFile reads a file, or standard input if its name is "-".
func readFile(s *deps.Streams, name string) ([]byte, error) {
	in := s.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, exits.With(exits.Usage, fault.At("read-file", name, err))
		}
		defer f.Close()
		in = f
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err == nil && len(raw) > maxFileBytes {
		err = fmt.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return raw, exits.With(exits.Usage, fault.At("read-file", name, err))
}

// readConfig reads a configuration from a file. The error of one that cannot be decoded is a [draft.Error].
func readConfig(s *deps.Streams, name string) (*draft.Draft, error) {
	raw, err := readFile(s, name)
	if err != nil {
		return nil, err
	}
	d, err := draft.ReadConfig(raw)
	return d, exits.With(exits.Usage, fault.At("read-config", name, err))
}

// source says where the configuration in force is read from.
type source struct {
	file, store string
}

func (s *source) bind(cmd *cobra.Command) {
	cmd.Flags().StringVar(&s.file, "in-force", "", "`file` with the configuration in force")
	cmd.Flags().StringVar(&s.store, "store", "", "`address` of the store, HOST:PORT, to read the configuration in force from")
	cmd.MarkFlagsMutuallyExclusive("in-force", "store")
}

// read returns the configuration in force, or nil if no source was given.
func (s *source) read(ctx context.Context, streams *deps.Streams) (*port.Config, error) {
	switch {
	case s.file != "":
		d, err := readConfig(streams, s.file)
		if err != nil {
			return nil, err
		}
		return d.Config, nil
	case s.store != "":
		return readStored(ctx, s.store)
	}
	return nil, nil
}

var errNoConfig = errors.New("the store has no configuration")

// readStored reads the configuration in force from the store.
func readStored(ctx context.Context, address string) (*port.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := store.New(address)
	for after := ""; ; {
		page, err := client.Newest(ctx, topic.Operator, after)
		if err != nil {
			return nil, exits.With(exits.Unreachable, err)
		}
		for _, r := range page.Records {
			after = r.Key
			if r.Key != topic.ConfigKey || r.Value == nil {
				continue
			}
			p, err := topic.DecodeOperator(r.Key, r.Value)
			return p.Config, exits.With(exits.Failed, fault.At("read-config", address, err))
		}
		if !page.More || len(page.Records) == 0 {
			return nil, exits.With(exits.Failed, fault.At("read-config", address, errNoConfig))
		}
	}
}
