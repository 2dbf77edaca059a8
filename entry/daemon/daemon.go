// Package daemon puts the parts of an entry together, and takes them apart in good
// order.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/dedup"
	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/front"
	"carawaymux.dev/entry/invoke"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/leader"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/entry/watch"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds the wait for requests in flight when the entry stops.
	stopTimeout = 2 * time.Minute
)

// Daemon is a running entry.
type Daemon struct {
	settings    *setup.Settings
	logger      *slog.Logger
	incarnation uint64

	client   *plat.Client
	keys     *keys.Store
	tracer   *trace.Tracer
	router   *route.Router
	members  *member.Tracker
	follower *follow.Follower
	watcher  *watch.Watcher
	leader   *leader.Leader
	book     *dedup.Registry
	relay    *relay.Client
	passed   *relay.Server
	invoker  *invoke.Invoker
	front    *front.Front

	callers, peers http.Server
	serving        errgroup.Group
}

// Option changes how a daemon is built.
type Option func(*Daemon)

// WithLogOutput sets where JSON log lines go.
func WithLogOutput(w io.Writer) Option {
	return func(d *Daemon) { d.logger = newLogger(w, d.settings) }
}

// Start starts an entry. It returns once the entry listens.
func Start(s *setup.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, logger: slog.Default(), incarnation: uint64(time.Now().UnixNano())}
	for _, opt := range opts {
		opt(d)
	}
	callers, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, fault.At("listen", s.Listen.HTTP, err)
	}
	peers, err := net.Listen("tcp", s.Listen.Peer)
	if err != nil {
		callers.Close()
		return nil, fault.At("listen", s.Listen.Peer, err)
	}
	if err := d.build(); err != nil {
		callers.Close()
		peers.Close()
		return nil, err
	}
	d.listen(callers, peers)
	d.logger.Info("entry started", "http", s.Listen.HTTP, "peer", s.Listen.Peer, "incarnation", d.incarnation)
	return d, nil
}

func newLogger(w io.Writer, s *setup.Settings) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("entry", s.Name, "zone", s.Zone)
}

// build starts the tasks, those that others depend on first.
func (d *Daemon) build() error {
	s := d.settings
	var err error
	if d.keys, err = keys.Open(s.Auth.KeyFile, s.Auth.AllowAll, d.logger); err != nil {
		return err
	}
	if d.tracer, err = trace.New(s.Trace, s.Name); err != nil {
		d.keys.Close()
		return err
	}
	d.client = plat.New(s.Platform.LogURL, s.Platform.HostsURL, plat.WithTimeout(s.Platform.Timeout))
	dialer := d.dialer()
	meters := vars.New()
	d.buildRouting(dialer)
	d.watcher = watch.New(d.client, watch.WithInterval(s.Platform.ListInterval), watch.WithLogger(d.logger),
		watch.WithObserver(d.onListing))
	d.leader = leader.New(s.Name, d.incarnation, leader.Parts{
		Follower: d.follower, Members: d.members, Watcher: d.watcher, Client: d.client, Logger: d.logger,
	}, s.Planner, s.Platform.ListInterval)
	d.book = dedup.New()
	d.relay = relay.NewClient(dialer, s.Limits.Answer)
	d.invoker = invoke.New(s.Name, s.Zone, d.incarnation, invoke.Dependencies{
		Router: d.router, Members: d.members, Relay: d.relay, Registry: d.book, Tracer: d.tracer,
	}, invoke.WithAnswerLimit(s.Limits.Answer))
	d.passed = relay.NewServer(d.invoker.Do, d.incarnation, s.Limits.Body, d.logger)
	d.front = front.New(s, d.incarnation, front.Dependencies{
		Follower: d.follower, Members: d.members, Router: d.router, Invoker: d.invoker, Meter: meters,
		Keys: d.keys, Logger: d.logger,
	})
	d.publishMetrics(meters)
	return nil
}

// buildRouting starts the tasks that agree on where requests go.
func (d *Daemon) buildRouting(dialer *link.Dialer) {
	s := d.settings
	d.router = route.New(route.Limits{
		Queue: s.Limits.Queue, BodyMemory: s.Limits.BodyMemory, RetryShare: s.Limits.RetryShare,
	}, route.WithLogger(d.logger), route.WithSummaryHandler(d.onSummary),
		route.WithConfirm(func(ctx context.Context) error { return d.follower.Confirm(ctx) }))
	var known []member.PeerConfig
	for _, p := range s.Peers {
		known = append(known, member.PeerConfig{Name: p.Name, Zone: p.Zone, Address: p.Address})
	}
	self := member.Row{Name: s.Name, Zone: s.Zone, Incarnation: d.incarnation}
	d.members = member.New(self, known, dialer, member.WithLogger(d.logger),
		member.WithFollower(func() *follow.Follower { return d.follower }))
	d.follower = follow.New(d.client, follow.WithFetcher(d.members.Fetch), follow.WithLogger(d.logger),
		follow.WithPoll(s.Platform.PollTimeout), follow.WithObserver(d.routeBy(zoneOf(s))))
}

// zoneOf tells the entry's place among the entries of its zone.
func zoneOf(s *setup.Settings) route.Zone {
	z := route.Zone{Name: s.Zone, Self: s.Name, Entries: []string{s.Name}}
	for _, p := range s.Peers {
		if p.Zone == s.Zone {
			z.Entries = append(z.Entries, p.Name)
		}
	}
	slices.Sort(z.Entries)
	return z
}

// routeBy makes the observer that puts the folded state in force for requests. It
// waits for a state that is at least as new as any barrier that was passed.
func (d *Daemon) routeBy(z route.Zone) follow.Observer {
	applied := false
	return func(s *ledger.State, changed ledger.Changed, p follow.Progress) {
		switch {
		case !p.Configured || !p.Trusted:
		case changed.Routing || !applied:
			applied = true
			d.router.Apply(route.BuildTable(s, z))
		default:
			d.router.AdvanceOffset(s.NextOffset)
		}
	}
}

func (d *Daemon) onSummary(s route.Summary) {
	if d.members != nil {
		d.members.SetReport(member.Report{Offset: s.Offset, Busy: s.Busy, Failing: s.Failing, FreeSlots: s.Room})
	}
}

// onListing passes the platform's list on: machines that leave get no new requests.
func (d *Daemon) onListing(l plat.MachineList) {
	d.members.SetMachines(l)
	var leaving []string
	for _, m := range l.Machines {
		if m.State == plat.MachineLeaving || m.State == plat.MachineGone {
			leaving = append(leaving, m.Name)
		}
	}
	d.router.Avoid(leaving)
}

func (d *Daemon) certs() keys.Certs {
	l := d.settings.Listen
	return keys.Certs{CertFile: l.CertFile, KeyFile: l.KeyFile, CAFile: l.CAFile}
}

func (d *Daemon) dialer() *link.Dialer {
	if d.settings.Listen.AllowPlaintext {
		return &link.Dialer{Client: &http.Client{}, Scheme: "ws", Token: d.keys.PeerKey}
	}
	return &link.Dialer{Client: d.certs().Client(), Scheme: "wss", Token: d.keys.PeerKey}
}

func (d *Daemon) publishMetrics(m *vars.Set) {
	ctx := context.Background()
	m.Func("routing", func() any {
		s, _ := d.router.Summary(ctx)
		return s
	})
	m.Func("configuration", func() any {
		p, _ := d.follower.Progress(ctx)
		return p
	})
	m.Func("dropped-answers", func() any { return d.relay.DroppedAnswers() })
}

// listen serves both listeners.
func (d *Daemon) listen(callers, peers net.Listener) {
	d.callers = http.Server{
		Handler: d.front.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.settings.Limits.Header, ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	d.peers = http.Server{
		Handler: d.peerHandler(), ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	if !d.settings.Listen.AllowPlaintext {
		callers = tls.NewListener(callers, d.certs().ServerConfig(false))
		peers = tls.NewListener(peers, d.certs().ServerConfig(true))
	}
	d.serving.Go(func() error { return d.callers.Serve(callers) })
	d.serving.Go(func() error { return d.peers.Serve(peers) })
}

// peerHandler lets only peers in.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(member.Path, d.members.Handler())
	mux.Handle(relay.Path, d.passed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.keys.Allows(r, keys.Peer) {
			http.Error(w, "a peer's key is needed", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Close stops the entry in good order: the balancer and the peers are told, requests
// in flight get their answers, and only then the tasks end. It waits for all of it.
func (d *Daemon) Close() {
	d.logger.Info("stopping", "drain-delay", d.settings.DrainDelay.String())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.front.MarkStopping()
	_ = d.members.AnnounceStop(ctx)
	wait(ctx, d.settings.DrainDelay)
	if err := d.callers.Shutdown(ctx); err != nil {
		d.logger.Error("requests were cut off", "error", err)
	}
	d.passed.Close()
	d.leader.Close()
	_ = d.members.Leave(ctx)
	_ = d.peers.Close()
	_ = d.serving.Wait()
	d.closeTasks()
	d.logger.Info("stopped")
}

func wait(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// closeTasks ends the tasks, those that depend on others first.
func (d *Daemon) closeTasks() {
	d.watcher.Close()
	d.relay.Close()
	d.book.Close()
	d.invoker.Close()
	d.follower.Close()
	d.members.Close()
	d.router.Close()
	d.client.Close()
	d.tracer.Close()
	d.keys.Close()
}
