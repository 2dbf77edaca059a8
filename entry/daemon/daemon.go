// Package daemon starts the parts of an entry, dependencies first, connects them, and stops them
// without losing requests in flight. It runs the entries of the command carawayd; platform/node runs
// those of the command carawaymux.
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

	"carawaymux.dev/entry/auth"
	"carawaymux.dev/entry/dedup"
	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/front"
	"carawaymux.dev/entry/invoke"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/leader"
	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/socket"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/entry/watch"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/shed"
)

const (
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 2 * time.Minute
	// answerShare is the share of the stop timeout after which requests in flight are cancelled. The
	// rest is left to answer them and to stop the tasks.
	answerShare = 0.75
	// restTime is how long a request may take to arrive on a connection that was opened before the entry
	// stopped listening.
	restTime = time.Second
)

// Daemon is a running entry.
type Daemon struct {
	settings    *setup.Settings
	logger      *slog.Logger
	incarnation uint64

	client      *plat.Client
	keys        *keys.Store
	gate        *auth.Gate
	tracer      *trace.Tracer
	router      *route.Router
	members     *member.Tracker
	follower    *follow.Follower
	watcher     *watch.Watcher
	leader      *leader.Leader
	idRegistry  *dedup.Registry
	relayClient *relay.Client
	relayServer *relay.Server
	invoker     *invoke.Invoker
	front       *front.Front

	// requests is the parent of the contexts of callers' and peers' requests. A stop cancels it
	// with [work.ErrStopping].
	requests       context.Context
	cancelRequests context.CancelCauseFunc

	limits                   *limit.Limiter
	callers                  *socket.Set
	callerServer, peerServer http.Server
	serveGroup               errgroup.Group
}

// Option changes how a daemon is built.
type Option func(*Daemon)

// WithLogOutput sets where JSON log lines go.
func WithLogOutput(w io.Writer) Option {
	return func(d *Daemon) { d.logger = newLogger(w, d.settings) }
}

// Start starts an entry. It returns once both listeners are open.
func Start(s *setup.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, logger: slog.Default(), incarnation: uint64(time.Now().UnixNano())}
	d.requests, d.cancelRequests = context.WithCancelCause(context.Background())
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
	limit.LimitBuffers(shed.Callers, callers)
	limit.LimitBuffers(shed.Peers, peers)
	if err := d.build(); err != nil {
		callers.Close()
		peers.Close()
		return nil, err
	}
	d.serve(callers, peers)
	d.logger.Info("entry started", "http", s.Listen.HTTP, "peer", s.Listen.Peer, "incarnation", d.incarnation)
	return d, nil
}

func newLogger(w io.Writer, s *setup.Settings) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("entry", s.Name, "zone", s.Zone)
}

// build starts the tasks, dependencies first.
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
	metrics := vars.New()
	d.limits = startLimits(s, d.logger)
	d.buildRouting(dialer)
	d.watcher = watch.New(d.client, watch.WithInterval(s.Platform.ListInterval), watch.WithLogger(d.logger),
		watch.WithObserver(d.onMachineList))
	d.leader = leader.New(s.Name, d.incarnation, leader.Dependencies{
		Follower: d.follower, Members: d.members, Watcher: d.watcher, Client: d.client, Logger: d.logger,
	}, s.Planner, s.Platform.ListInterval)
	d.idRegistry = dedup.New()
	d.relayClient = relay.NewClient(dialer, s.Limits.Answer)
	d.invoker = invoke.New(s.Name, s.Zone, d.incarnation, invoke.Dependencies{
		Router: d.router, Members: d.members, Relay: d.relayClient, Registry: d.idRegistry, Tracer: d.tracer,
	}, invoke.WithAnswerLimit(s.Limits.Answer), invoke.WithBaseContext(d.requests))
	d.relayServer = relay.NewServer(d.invoker.Do, d.incarnation, s.Limits.Body, d.logger, relay.WithBaseContext(d.requests))
	d.front = front.New(s, d.incarnation, front.Dependencies{
		Follower: d.follower, Members: d.members, Router: d.router, Invoker: d.invoker, Metrics: metrics,
		Keys: d.keys, Gate: d.gate, Logger: d.logger,
	})
	d.publishMetrics(metrics)
	return nil
}

// buildRouting starts the router, the member tracker and the follower. Together they determine the
// target of each request.
func (d *Daemon) buildRouting(dialer *link.Dialer) {
	s := d.settings
	d.router = route.New(route.Limits{
		Queue: s.Limits.Queue, BodyMemory: s.Limits.BodyMemory, RetryShare: s.Limits.RetryShare,
	}, route.WithLogger(d.logger), route.WithSummaryHandler(d.onSummary),
		route.WithConfirm(func(ctx context.Context) error { return d.follower.Confirm(ctx) }))
	var peers []member.PeerConfig
	for _, p := range s.Peers {
		peers = append(peers, member.PeerConfig{Name: p.Name, Zone: p.Zone, Address: p.Address})
	}
	self := member.Row{Name: s.Name, Zone: s.Zone, Incarnation: d.incarnation}
	d.members = member.New(self, peers, dialer, member.WithLogger(d.logger),
		member.WithFollower(func() *follow.Follower { return d.follower }))
	d.gate = auth.New(auth.Limits{FailClosed: true, Revocation: s.Auth.KeyMaxAge, Apply: s.Auth.KeyMaxAge}, d.logger)
	d.follower = follow.New(d.client, follow.WithFetcher(d.members.Fetch), follow.WithLogger(d.logger),
		follow.WithPoll(s.Platform.PollTimeout), follow.WithObserver(d.keyObserver()),
		follow.WithObserver(d.routingObserver(ownZone(s))))
}

// ownZone returns the entry's zone with the sorted names of all entries in it.
func ownZone(s *setup.Settings) route.Zone {
	zone := route.Zone{Name: s.Zone, Self: s.Name, Entries: []string{s.Name}}
	for _, p := range s.Peers {
		if p.Zone == s.Zone {
			zone.Entries = append(zone.Entries, p.Name)
		}
	}
	slices.Sort(zone.Entries)
	return zone
}

// routingObserver returns the observer that updates the router from the fleet state. It ignores
// the state until the state is trusted, which means at least as new as every barrier that was
// passed.
func (d *Daemon) routingObserver(zone route.Zone) follow.Observer {
	applied := false
	return func(s *ledger.State, changed ledger.Changed, p follow.Progress) {
		switch {
		case !p.Configured || !p.Trusted:
		case changed.Routing || !applied:
			applied = true
			d.router.Apply(route.BuildTable(s, zone))
		default:
			d.router.AdvanceOffset(s.NextOffset)
		}
	}
}

// keyObserver returns the observer that passes the keys of teams to the gate, and when the log was read. It is called before the
// one that opens routes.
func (d *Daemon) keyObserver() follow.Observer {
	return func(s *ledger.State, changed ledger.Changed, p follow.Progress) {
		if changed.Keys || (p.Configured && !d.gate.IsConfigured()) {
			d.gate.Configure(apikey.Config(s.Keys, int64(s.NextOffset)))
		}
		d.gate.Confirm(p.LogReadAt)
	}
}

// onSummary passes the router's summary to the member tracker, which reports it to the peers. The
// router starts first, so the first summary may arrive before there is a member tracker.
func (d *Daemon) onSummary(s route.Summary) {
	if d.members != nil {
		d.members.SetReport(member.Report{Offset: s.Offset, Busy: s.Busy, Failing: s.Failing, FreeSlots: s.Room})
	}
}

// onMachineList passes the platform's machine list to the member tracker, and makes the router send
// no new requests to machines that are leaving or gone.
func (d *Daemon) onMachineList(list plat.MachineList) {
	d.members.SetMachines(list)
	var leaving []string
	for _, m := range list.Machines {
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

func (d *Daemon) publishMetrics(metrics *vars.Set) {
	ctx := context.Background()
	metrics.Func("routing", func() any {
		s, _ := d.router.Summary(ctx)
		return s
	})
	metrics.Func("configuration", func() any {
		p, _ := d.follower.Progress(ctx)
		return p
	})
	metrics.Func("clients", func() any {
		t, _ := d.limits.Totals(ctx)
		return t
	})
	metrics.Func("dropped-answers", func() any { return d.relayClient.DroppedAnswers() })
}

// serve starts the HTTP servers for callers and for peers.
func (d *Daemon) serve(callers, peers net.Listener) {
	d.callers = socket.Start(callers)
	callers = d.limits.Listen(shed.Callers, d.callers.Listener())
	peers = d.limits.Listen(shed.Peers, peers)
	d.callerServer = http.Server{
		ConnState: d.callers.ConnState,
		Handler:   d.front.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return d.requests },
		ErrorLog:    slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	d.peerServer = http.Server{
		Handler: d.peerHandler(), ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
	d.limits.Serve(&d.callerServer, d.settings.Limits.Header)
	d.limits.Serve(&d.peerServer, d.settings.Limits.Header)
	if !d.settings.Listen.AllowPlaintext {
		callers = tls.NewListener(callers, d.certs().ServerConfig(false))
		peers = tls.NewListener(peers, d.certs().ServerConfig(true))
	}
	d.serveGroup.Go(func() error { return d.callerServer.Serve(callers) })
	d.serveGroup.Go(func() error { return d.peerServer.Serve(peers) })
}

// peerHandler serves peers and rejects requests without a peer key, unless the settings allow
// access without keys.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(member.Path, d.members.Handler())
	mux.Handle(relay.Path, d.relayServer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.keys.Allows(r, keys.Peer) {
			http.Error(w, "peer key required in the header Authorization: Bearer KEY", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Close stops the entry gracefully and waits until it has stopped. It announces the stop to the
// load balancer and the peers, waits for requests in flight to be answered, and then stops the
// tasks. Requests that take longer than the stop allows are cancelled, so that they are answered too.
func (d *Daemon) Close() {
	limit := d.settings.StopTimeout
	d.logger.Info("entry is stopping", "drain-delay", d.settings.DrainDelay.String(), "stop-timeout", limit.String())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answerTimer := time.AfterFunc(time.Duration(answerShare*float64(limit)), func() { d.cancelRequests(work.ErrStopping) })
	defer answerTimer.Stop()
	d.front.MarkStopping()
	d.invoker.MarkStopping()
	_ = d.members.AnnounceStop(ctx)
	sleep(ctx, d.settings.DrainDelay)
	d.closeCallers(ctx)
	d.relayServer.Close()
	d.leader.Close()
	_ = d.members.Leave(ctx)
	_ = d.peerServer.Close()
	_ = d.serveGroup.Wait()
	d.closeTasks()
	d.logger.Info("entry stopped")
}

// closeCallers ends the connections of callers once their requests are answered.
func (d *Daemon) closeCallers(ctx context.Context) {
	d.callers.StopAccepting()
	d.callers.End(restTime)
	if err := d.callers.WaitClosed(ctx); err != nil {
		t, _ := d.callers.Totals(context.Background())
		d.logger.Error("connections of callers are still open; requests in flight are cut off", "connections", t.Open, "err", err)
	}
	_ = d.callerServer.Close()
	d.callers.Close()
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// closeTasks stops the tasks, dependents before their dependencies.
func (d *Daemon) closeTasks() {
	d.watcher.Close()
	d.relayClient.Close()
	d.idRegistry.Close()
	d.invoker.Close()
	d.follower.Close()
	d.members.Close()
	d.router.Close()
	d.client.Close()
	d.limits.Close()
	d.tracer.Close()
	d.keys.Close()
}
