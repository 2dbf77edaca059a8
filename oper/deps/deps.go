// Package deps holds what all commands share: the streams, the settings and the
// client.
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
	// IsTerminal says that Out is a terminal: tables are aligned there and
	// tab-separated elsewhere.
	IsTerminal bool
	// Width is the width of the terminal in columns; 0 when it is not known.
	Width int
}

// StdStreams returns the streams of the process.
func StdStreams() *Streams {
	fd := int(os.Stdout.Fd())
	s := &Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, IsTerminal: term.IsTerminal(fd)}
	if s.IsTerminal {
		s.Width, _, _ = term.GetSize(fd)
	}
	return s
}

// Settings are the settings of the command line.
type Settings struct {
	// Entries are base URLs of entries, the preferred one first.
	Entries []string
	// Author signs records.
	Author string
	// Key is the operator's key; empty where entries let everyone in.
	Key string
	// Timeout bounds each command that does not watch.
	Timeout time.Duration
}

// Factory makes what commands need, at the time when they need it.
type Factory struct {
	Streams *Streams
	// Settings reads the settings once flags have been parsed.
	Settings func() (*Settings, error)
	// Client returns a client of an entry that answers.
	Client func(ctx context.Context) (*client.Client, error)
}

// Flags are the flags of all commands.
type Flags struct {
	// Config is the settings file; Entry and Author go before what it says.
	Config, Entry, Author string
}

const (
	// envConfig names the settings file, envKey the operator's key.
	envConfig = "CARAWAY_CONFIG"
	envKey    = "CARAWAY_KEY"
	// defaultTimeout bounds a command.
	defaultTimeout = 15 * time.Second
	// probeTimeout bounds the look whether an entry answers.
	probeTimeout = time.Second
)

// New builds a factory on streams and flags.
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
				fault.New("read-flags", "--entry", "%q: must be an http or https URL, as in http://127.0.0.1:7000", url))
		}
	}
	return s, nil
}

// configPath returns the settings file, and whether it was named by the user.
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
			f.AddProblem("client", "key-file", keyFile, "must be a file that can be read")
		}
		s.Key = strings.TrimSpace(string(raw))
	}
	return f.Err()
}

// firstReachable returns a client of the first entry that answers.
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
