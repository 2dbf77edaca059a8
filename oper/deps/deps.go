// Package deps provides the dependencies that all commands share: the standard streams, the
// settings and the client of an entry.
package deps

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/term"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/conf"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/oper/exits"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal reports whether Out is a terminal. Tables are aligned on a terminal and
	// tab-separated otherwise.
	IsTerminal bool
	// Width is the width of the terminal in columns, or 0 if it is unknown.
	Width int
}

// StdStreams returns the standard streams of the process.
func StdStreams() *Streams {
	fd := int(os.Stdout.Fd())
	s := &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, IsTerminal: term.IsTerminal(fd)}
	if s.IsTerminal {
		s.Width, _, _ = term.GetSize(fd)
	}
	return s
}

// Settings are the settings of the command line, read from the file, the environment and the flags.
type Settings struct {
	// Entries are the base URLs of entries in order of preference.
	Entries []string
	// Author is written as the author of published records.
	Author string
	// Key is the operator's key. It is empty if the entries do not require a key.
	Key string
	// Timeout limits the publication of a record, including the wait of --wait. The HTTP timeout
	// of every call is one minute longer, and that of a request later than its deadline.
	Timeout time.Duration
}

// Factory creates the dependencies of a command when the command runs, because the flags are not
// parsed yet when commands are built.
type Factory struct {
	Streams *Streams
	// Settings reads the settings. It must be called after the flags have been parsed.
	Settings func() (*Settings, error)
	// Client returns a client of the first entry that answers.
	Client func(ctx context.Context) (*client.Client, error)
}

// Flags are the flags that every command accepts.
type Flags struct {
	// Config is the path of the settings file. Entry and Author override the values in the file.
	Config, Entry, Author string
}

const (
	// envConfig is the environment variable with the path of the settings file, envKey the one with
	// the operator's key.
	envConfig = "CARAWAY_CONFIG"
	envKey    = "CARAWAY_KEY"
	// defaultTimeout is used if the settings file sets no timeout.
	defaultTimeout = 15 * time.Second
	// probeTimeout limits the request that checks whether an entry answers.
	probeTimeout = time.Second
)

// New builds a factory from streams and flags.
func New(s *Streams, flags *Flags) *Factory {
	f := &Factory{Streams: s}
	f.Settings = func() (*Settings, error) { return loadSettings(flags) }
	f.Client = func(ctx context.Context) (*client.Client, error) {
		settings, err := f.Settings()
		if err != nil {
			return nil, err
		}
		return firstReachable(ctx, settings)
	}
	return f
}

// WithOutput returns a copy of the factory whose commands write their output to w.
func (f *Factory) WithOutput(w io.Writer) *Factory {
	streams := *f.Streams
	streams.Out = w
	out := *f
	out.Streams = &streams
	return &out
}

func loadSettings(flags *Flags) (*Settings, error) {
	s := &Settings{Entries: []string{"http://127.0.0.1:7000"}, Timeout: defaultTimeout, Key: os.Getenv(envKey)}
	if u, err := user.Current(); err == nil {
		s.Author = u.Username
	}
	path, explicit := configPath(flags.Config)
	if _, err := os.Stat(path); err == nil || explicit {
		if err := s.readFile(path); err != nil {
			return nil, exits.With(exits.Usage, err)
		}
	}
	if flags.Entry != "" {
		s.Entries = strings.Split(flags.Entry, ",")
	}
	if flags.Author != "" {
		s.Author = flags.Author
	}
	for _, url := range s.Entries {
		if !conf.ValidURL(url) {
			return nil, exits.With(exits.Usage,
				fault.New("read-flags", "--entry", "%q: must be an http or https URL without a path, as in http://127.0.0.1:7000", url))
		}
	}
	return s, nil
}

// configPath returns the path of the settings file and whether the user set it by flag or
// environment. Only the default file may be missing.
func configPath(flag string) (string, bool) {
	if flag != "" {
		return flag, true
	}
	if env := os.Getenv(envConfig); env != "" {
		return env, true
	}
	dir, err := os.UserConfigDir()
	if err != nil {
		return "", false
	}
	return filepath.Join(dir, "caraway", "config.ini"), false
}

func (s *Settings) readFile(path string) error {
	f, err := conf.Load(path)
	if err != nil {
		return err
	}
	if text := f.Text("client", "entries", ""); text != "" {
		s.Entries = strings.Fields(strings.ReplaceAll(text, ",", " "))
	}
	s.Author = f.Text("client", "author", s.Author)
	s.Timeout = f.Duration("client", "timeout", s.Timeout, 100*time.Millisecond, 10*time.Minute)
	if keyFile := f.Text("client", "key-file", ""); keyFile != "" && s.Key == "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			f.AddProblem("client", "key-file", keyFile, "must be the path of a readable file")
		}
		s.Key = strings.TrimSpace(string(raw))
	}
	return f.Err()
}

// firstReachable returns a client of the first entry that answers within probeTimeout.
func firstReachable(ctx context.Context, s *Settings) (*client.Client, error) {
	var errs []error
	for _, url := range s.Entries {
		c := client.New(url, client.WithKey(s.Key), client.WithHTTP(&http.Client{Timeout: s.Timeout + time.Minute}))
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := c.Members(probe)
		cancel()
		if err == nil {
			return c, nil
		}
		errs = append(errs, err)
	}
	return nil, exits.With(exits.Unreachable, errors.Join(errs...))
}
