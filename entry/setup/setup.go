// Package setup reads and checks the settings of an entry.
package setup

import (
	"os"
	"strings"
	"time"

	"carawaymux.dev/fleet/conf"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/record"
)

// Settings are the checked settings of an entry.
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
	// DrainDelay is how long a stopping entry still takes requests after it has
	// told the balancer that it is not ready.
	DrainDelay time.Duration
}

// Listen says where the entry listens.
type Listen struct {
	// HTTP is the address for callers and operators, Peer the one for peers.
	HTTP, Peer string
	// AllowPlaintext allows listening without TLS.
	AllowPlaintext bool
	// CertFile and KeyFile hold the TLS certificate and key; they are read again
	// when they change. Empty only when Clear is set.
	CertFile, KeyFile string
	// CAFile holds the certificates that peers are checked against.
	CAFile string
}

// Platform says how the platform is reached.
type Platform struct {
	// LogURL and HostsURL are base URLs.
	LogURL, HostsURL string
	// ListInterval is the time between two looks at the platform's list.
	ListInterval time.Duration
	// Timeout bounds each call.
	Timeout time.Duration
	// PollTimeout is how long a read waits for new records.
	PollTimeout time.Duration
}

// Peer is another entry.
type Peer struct {
	Name, Zone, Address string
}

// Auth says how peers and operators prove themselves.
type Auth struct {
	// KeyFile holds one key a line, "peer KEY" or "operator NAME KEY"; it is
	// read again when it changes. Empty only when Open is set.
	KeyFile string
	// AllowAll lets everyone in; it has to be asked for.
	AllowAll bool
}

// Limits bound what one caller or peer can use. Sizes are in bytes.
type Limits struct {
	// Body is the largest request, Answer the largest answer.
	Body, Answer int
	// Header is the largest header of a request.
	Header int
	// Queue is the largest number of requests that wait for each kind.
	Queue int
	// BodyMemory is what the waiting requests of one kind may hold together.
	BodyMemory int
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline time.Duration
	// RetryShare is the number of retries for each request that is done, in the
	// long run.
	RetryShare float64
}

// Planner says how the planner behaves on the instance that holds the lease.
type Planner struct {
	// Enabled lets the instance take the lease.
	Enabled bool
	// LeaseTerm is the lease's term.
	LeaseTerm time.Duration
	// Tick is the time between two rounds of planning.
	Tick time.Duration
	// FailAfter is how long a host must be down before it counts as failed.
	FailAfter time.Duration
	// ReturnAfter is how long a returning host must be live before it serves.
	ReturnAfter time.Duration
	// ReplaceAfter is how long a pool must be below its floor before hosts are
	// moved into it.
	ReplaceAfter time.Duration
	// GiveBackAfter is how long a pool must be above its floor, and the spare
	// pool below its own, before hosts are moved back.
	GiveBackAfter time.Duration
	// SnapshotEvery is the number of records between two snapshots.
	SnapshotEvery int
	// TaskLeaseTerm is the term of the leases that tasks run under.
	TaskLeaseTerm time.Duration
}

// Trace says where spans go.
type Trace struct {
	// Exporter is off, stderr or file.
	Exporter string
	// File is the file that spans are appended to when Exporter is file.
	File string
	// SampleRatio is the share of requests that are traced, from 0 to 1.
	SampleRatio float64
}

// Load reads and checks a settings file. The error names every fault.
func Load(path string) (*Settings, error) {
	f, err := conf.Load(path)
	if err != nil {
		return nil, err
	}
	s := read(f)
	return s, f.Err()
}

// Parse reads and checks settings from memory.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := conf.Parse(name, data)
	if err != nil {
		return nil, err
	}
	s := read(f)
	return s, f.Err()
}

func read(f *conf.File) *Settings {
	s := &Settings{
		Name:       f.Name("entry", "name"),
		Zone:       f.Name("entry", "zone"),
		DrainDelay: f.Duration("entry", "drain-delay", 2*time.Second, 0, time.Minute),
		Listen:     readListen(f),
		Platform:   readPlatform(f),
		Auth:       readAuth(f),
		Limits:     readLimits(f),
		Planner:    readPlanner(f),
		Trace:      readTrace(f),
		LogLevel:   f.OneOf("log", "level", "info", "debug", "info", "warn", "error"),
	}
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
	withTLS := l.CertFile != "" || l.KeyFile != "" || l.CAFile != ""
	switch {
	case l.AllowPlaintext && withTLS:
		f.AddProblem("listen", "clear", "yes", "must be no where tls-cert, tls-key and tls-ca are set")
	case !l.AllowPlaintext && (l.CertFile == "" || l.KeyFile == "" || l.CAFile == ""):
		f.AddProblem("listen", "tls-cert", l.CertFile,
			"tls-cert, tls-key and tls-ca must be set; or clear = yes, to listen without TLS")
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

func readPeers(f *conf.File, self string) []Peer {
	const allowed = "must be a zone and an address, as in: zone-a 127.0.0.1:7100"
	var out []Peer
	for _, p := range f.Pairs("peers") {
		words := strings.Fields(p.Value)
		if !record.ValidName(p.Key) || len(words) != 2 || !record.ValidName(words[0]) || !conf.ValidAddress(words[1]) {
			f.AddProblem("peers", p.Key, p.Value, allowed)
			continue
		}
		if p.Key == self {
			f.AddProblem("peers", p.Key, p.Value, "must not name this entry itself")
			continue
		}
		out = append(out, Peer{Name: p.Key, Zone: words[0], Address: words[1]})
	}
	return out
}

func readAuth(f *conf.File) Auth {
	a := Auth{KeyFile: f.Text("auth", "key-file", ""), AllowAll: f.Bool("auth", "open", false)}
	switch {
	case a.AllowAll && a.KeyFile != "":
		f.AddProblem("auth", "open", "yes", "must be no where key-file is set")
	case !a.AllowAll && a.KeyFile == "":
		f.AddProblem("auth", "key-file", "", "must be set; or open = yes, to let everyone in")
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
		DefaultDeadline: f.Duration("limits", "deadline", 10*time.Second, time.Millisecond, 10*time.Minute),
		RetryShare:      f.Fraction("limits", "retry-share", 0.1),
	}
}

func readPlanner(f *conf.File) Planner {
	const long = 24 * time.Hour
	return Planner{
		Enabled:       f.Bool("planner", "enabled", true),
		LeaseTerm:     f.Duration("planner", "term", 6*time.Second, lease.MinTerm, lease.MaxTerm),
		Tick:          f.Duration("planner", "tick", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		FailAfter:     f.Duration("planner", "fail-after", 3*time.Second, 0, time.Hour),
		ReturnAfter:   f.Duration("planner", "return-after", 2*time.Second, 0, time.Hour),
		ReplaceAfter:  f.Duration("planner", "replace-after", 30*time.Second, 0, long),
		GiveBackAfter: f.Duration("planner", "give-back-after", 5*time.Minute, 0, long),
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
		f.AddProblem("trace", "file", "", "missing; must be the file that spans are appended to")
	}
	return t
}
