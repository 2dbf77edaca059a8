// Package setup reads and validates the settings file of an entry. Other packages get the settings
// with defaults filled in and need not check them again.
package setup

import (
	"os"
	"strings"
	"time"

	"carawaymux.dev/fleet/conf"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/record"
)

// Settings are the validated settings of an entry.
type Settings struct {
	// Name is the entry's name, unique in the fleet and known to the platform.
	Name string
	// Zone is the availability zone that the entry runs in.
	Zone     string
	Listen   Listen
	Platform Platform
	// Peers are the other entries, in the order of the file.
	Peers   []Peer
	Auth    Auth
	Limits  Limits
	Planner Planner
	Trace   Trace
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// DrainDelay is how long a stopping entry still accepts requests after its readiness check has
	// begun to fail. The load balancer needs this time to notice.
	DrainDelay time.Duration
	// StopTimeout is how long a stopping entry may take to end. It is at least twice DrainDelay.
	StopTimeout time.Duration
}

// Listen holds the addresses that the entry listens on and its TLS files.
type Listen struct {
	// HTTP is the address for callers and operators. Peer is the address for peers.
	HTTP, Peer string
	// AllowPlaintext makes the entry listen without TLS. It is off by default, so that plaintext is
	// a deliberate choice.
	AllowPlaintext bool
	// CertFile and KeyFile hold the TLS certificate and private key. They are read at each
	// handshake. They are empty only if AllowPlaintext is set.
	CertFile, KeyFile string
	// CAFile holds the CA certificates that peers' certificates are verified against. It is empty
	// only if AllowPlaintext is set.
	CAFile string
}

// Platform holds the addresses and timeouts of calls to the platform.
type Platform struct {
	// LogURL and HostsURL are the base URLs of the log service and of the host service.
	LogURL, HostsURL string
	// ListInterval is the time between two reads of the platform's machine list.
	ListInterval time.Duration
	// Timeout bounds each call to the platform.
	Timeout time.Duration
	// PollTimeout is how long a read of the log waits for new records.
	PollTimeout time.Duration
}

// Peer is another entry.
type Peer struct {
	Name, Zone, Address string
}

// Auth determines how peers and operators authenticate themselves.
type Auth struct {
	// KeyFile holds one key per line, as "peer KEY" or "operator NAME KEY". It is reloaded when it
	// changes. It is empty only if AllowAll is set.
	KeyFile string
	// AllowAll allows all requests without a key. It is off by default, so that access without keys
	// is a deliberate choice.
	AllowAll bool
	// KeyMaxAge is how long ago the entry may have read the log to its end for it to accept the keys of teams.
	KeyMaxAge time.Duration
}

// Limits bound the resources that requests can use. Sizes are in bytes.
type Limits struct {
	// Body is the maximum size of a request body, Answer that of an answer body.
	Body, Answer int
	// Header is the maximum size of the headers of a request.
	Header int
	// Queue is the maximum number of waiting requests of one kind.
	Queue int
	// BodyMemory is the maximum total size of the bodies of the waiting requests of one kind.
	BodyMemory int
	// Memory is the memory that the process may hold, and Descriptors the number of file descriptors that it may open.
	// Limits on what clients hold are derived from both.
	Memory, Descriptors int
	// DefaultDeadline is the time allowed for a request that sets no deadline.
	DefaultDeadline time.Duration
	// RetryShare is the average number of retries allowed per request that is done.
	RetryShare float64
}

// Planner configures the planner, which runs on the entry that holds the lease.
type Planner struct {
	// Enabled allows this entry to take the lease.
	Enabled bool
	// LeaseTerm is the duration for which the lease is granted.
	LeaseTerm time.Duration
	// Tick is the time between two planning rounds.
	Tick time.Duration
	// FailAfter is how long a host must be down before it is treated as failed.
	FailAfter time.Duration
	// ReturnAfter is how long a returning host must be live before it serves again.
	ReturnAfter time.Duration
	// ReplaceAfter is how long a pool must be below its floor before hosts are moved into it.
	ReplaceAfter time.Duration
	// GiveBackAfter is how long a pool must be above its floor before the hosts lent to it are
	// moved back.
	GiveBackAfter time.Duration
	// SnapshotEvery is the number of records between two snapshots of the state.
	SnapshotEvery int
	// TaskLeaseTerm is the duration for which the lease of a running task is granted.
	TaskLeaseTerm time.Duration
}

// Trace configures where spans are exported to.
type Trace struct {
	// Exporter is off, stderr or file.
	Exporter string
	// File is the file that spans are appended to when Exporter is file.
	File string
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64
}

// Load reads and validates a settings file. The error lists all problems of the file.
func Load(path string) (*Settings, error) {
	f, err := conf.Load(path)
	if err != nil {
		return nil, err
	}
	s := readSettings(f)
	return s, f.Err()
}

// Parse reads and validates settings from memory. Errors show name in place of a path.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := conf.Parse(name, data)
	if err != nil {
		return nil, err
	}
	s := readSettings(f)
	return s, f.Err()
}

func readSettings(f *conf.File) *Settings {
	s := &Settings{
		Name:        f.Name("entry", "name"),
		Zone:        f.Name("entry", "zone"),
		DrainDelay:  f.Duration("entry", "drain-delay", 2*time.Second, 0, time.Minute),
		StopTimeout: f.Duration("entry", "stop-timeout", 2*time.Minute, time.Second, 15*time.Minute),
		Listen:      readListen(f),
		Platform:    readPlatform(f),
		Limits:      readLimits(f),
		Planner:     readPlanner(f),
		Trace:       readTrace(f),
		LogLevel:    f.OneOf("log", "level", "info", "debug", "info", "warn", "error"),
	}
	if s.StopTimeout < 2*s.DrainDelay {
		f.AddProblem("entry", "stop-timeout", s.StopTimeout.String(), "must be at least twice drain-delay")
	}
	s.Auth = readAuth(f, s.Platform)
	s.Peers = readPeers(f, s.Name)
	return s
}

func readListen(f *conf.File) Listen {
	l := Listen{
		HTTP:           f.Address("listen", "http"),
		Peer:           f.Address("listen", "peer"),
		AllowPlaintext: f.Bool("listen", "clear", false),
		CertFile:       f.Text("listen", "tls-cert", ""),
		KeyFile:        f.Text("listen", "tls-key", ""),
		CAFile:         f.Text("listen", "tls-ca", ""),
	}
	hasTLSFiles := l.CertFile != "" || l.KeyFile != "" || l.CAFile != ""
	switch {
	case l.AllowPlaintext && hasTLSFiles:
		f.AddProblem("listen", "clear", "yes", "must be no if tls-cert, tls-key or tls-ca is set")
	case !l.AllowPlaintext && (l.CertFile == "" || l.KeyFile == "" || l.CAFile == ""):
		f.AddProblem("listen", "tls-cert", l.CertFile,
			"tls-cert, tls-key and tls-ca must all be set, or clear = yes to listen without TLS")
	}
	for _, file := range []struct{ key, path string }{
		{"tls-cert", l.CertFile}, {"tls-key", l.KeyFile}, {"tls-ca", l.CAFile},
	} {
		checkFile(f, "listen", file.key, file.path)
	}
	return l
}

func checkFile(f *conf.File, section, key, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		f.AddProblem(section, key, path, "must be a file that can be read")
	}
}

func readPlatform(f *conf.File) Platform {
	return Platform{
		LogURL:       f.URL("platform", "log"),
		HostsURL:     f.URL("platform", "hosts"),
		ListInterval: f.Duration("platform", "list-interval", time.Second, 10*time.Millisecond, time.Minute),
		Timeout:      f.Duration("platform", "timeout", 3*time.Second, 50*time.Millisecond, time.Minute),
		PollTimeout:  f.Duration("platform", "poll", 2*time.Second, 50*time.Millisecond, time.Minute),
	}
}

func readPeers(f *conf.File, ownName string) []Peer {
	const allowed = "must be a zone and an address, as in: zone-a 127.0.0.1:7100"
	var out []Peer
	for _, p := range f.Pairs("peers") {
		fields := strings.Fields(p.Value)
		if !record.ValidName(p.Key) || len(fields) != 2 || !record.ValidName(fields[0]) || !conf.ValidAddress(fields[1]) {
			f.AddProblem("peers", p.Key, p.Value, allowed)
			continue
		}
		if p.Key == ownName {
			f.AddProblem("peers", p.Key, p.Value, "must not name this entry itself")
			continue
		}
		out = append(out, Peer{Name: p.Key, Zone: fields[0], Address: fields[1]})
	}
	return out
}

const (
	// defaultKeyMaxAge bridges a short outage of the log. A revoked key works for at most that long on an entry that has lost
	// the log.
	defaultKeyMaxAge = 15 * time.Second
	maxKeyMaxAge     = time.Hour
)

// leastKeyMaxAge returns the least age at which an entry that reads the log without errors never refuses keys: a read covers what the
// log held when it was sent, and the next one may take a poll and the time limit of a call longer. One more poll is left for delays.
func leastKeyMaxAge(p Platform) time.Duration { return 3*p.PollTimeout + p.Timeout }

func readAuth(f *conf.File, p Platform) Auth {
	a := Auth{KeyFile: f.Text("auth", "key-file", ""), AllowAll: f.Bool("auth", "open", false)}
	least := leastKeyMaxAge(p)
	a.KeyMaxAge = f.Duration("auth", "key-max-age", max(defaultKeyMaxAge, least), least, maxKeyMaxAge)
	switch {
	case a.AllowAll && a.KeyFile != "":
		f.AddProblem("auth", "open", "yes", "must be no if key-file is set")
	case !a.AllowAll && a.KeyFile == "":
		f.AddProblem("auth", "key-file", "", "must be set, or open = yes to allow all requests without a key")
	}
	checkFile(f, "auth", "key-file", a.KeyFile)
	return a
}

func readLimits(f *conf.File) Limits {
	const mib = 1 << 20
	return Limits{
		Body:            f.Bytes("limits", "body", mib, 1, 64*mib),
		Answer:          f.Bytes("limits", "answer", 4*mib, 1, 256*mib),
		Header:          f.Bytes("limits", "header", 16<<10, 1<<10, mib),
		Queue:           f.Int("limits", "queue", 256, 0, 100_000),
		BodyMemory:      f.Bytes("limits", "body-memory", 16*mib, 1<<10, 1<<30),
		Memory:          f.Bytes("limits", "memory", 512*mib, 64*mib, 1<<40),
		Descriptors:     f.Int("limits", "descriptors", 4100, 256, 1<<20),
		DefaultDeadline: f.Duration("limits", "deadline", 10*time.Second, time.Millisecond, 10*time.Minute),
		RetryShare:      f.Fraction("limits", "retry-share", 0.1),
	}
}

func readPlanner(f *conf.File) Planner {
	const maxDelay = 24 * time.Hour
	return Planner{
		Enabled:       f.Bool("planner", "enabled", true),
		LeaseTerm:     f.Duration("planner", "term", 6*time.Second, lease.MinTerm, lease.MaxTerm),
		Tick:          f.Duration("planner", "tick", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		FailAfter:     f.Duration("planner", "fail-after", 3*time.Second, 0, time.Hour),
		ReturnAfter:   f.Duration("planner", "return-after", 2*time.Second, 0, time.Hour),
		ReplaceAfter:  f.Duration("planner", "replace-after", 30*time.Second, 0, maxDelay),
		GiveBackAfter: f.Duration("planner", "give-back-after", 5*time.Minute, 0, maxDelay),
		SnapshotEvery: f.Int("planner", "snapshot-every", 512, 1, 1_000_000),
		TaskLeaseTerm: f.Duration("planner", "task-term", 10*time.Second, 100*time.Millisecond, time.Hour),
	}
}

func readTrace(f *conf.File) Trace {
	t := Trace{
		Exporter:    f.OneOf("trace", "exporter", "off", "off", "stderr", "file"),
		File:        f.Text("trace", "file", ""),
		SampleRatio: f.Fraction("trace", "sample", 0.01),
	}
	if t.Exporter == "file" && t.File == "" {
		f.AddProblem("trace", "file", "", "must be set to the file that spans are appended to, because exporter = file")
	}
	return t
}
