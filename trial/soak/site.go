package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/trial/fake"
)

const (
	// guardedPool and unguardedPool are the pools that run tasks. Hosts of the second accept tasks beyond
	// their capacity.
	guardedPool, unguardedPool, standbyPool = "docs", "wages", "spare"
	// extraQueue is a second queue of the guarded pool. Faults remove it.
	extraQueue = "extra"
	// callers is the name of the callers' side of links.
	callers = "callers"
)

// plant is a fault of the stand-ins that lets checks fail. Only tests set it.
type plant string

const (
	// cutAnswers drops the answers of entries from SIGTERM to their next start.
	cutAnswers plant = "cut-answers"
	// rerunDone makes hosts start tasks again that are done.
	rerunDone plant = "rerun-done"
	// noFences makes the store accept appends of earlier owners.
	noFences plant = "no-fences"
)

// site is a deployment under faults.
type site struct {
	recorder   *recorder
	opened     *opened
	proxies    proxies
	platform   *fake.Platform
	deployment *fake.Deployment
	// keepers holds the keeper of each entry, by its name. It is set before faults begin.
	keepers map[string]*keeper
	layout  fake.Layout
	planted plant
	// tenants reports whether configurations have tenants.
	tenants bool
	// mixed reports whether hostile clients of all kinds come together.
	mixed bool
	// traffic is how long callers submit jobs.
	traffic time.Duration
	// trafficAt is when the traffic and the schedule start, from the start of the history.
	trafficAt time.Duration
	// addresses holds the address for callers of each entry.
	addresses map[string]string
	// peers holds the address of the proxy in front of each entry, by the address at which other entries would reach it. It
	// is set before entries start.
	peers map[string]string
}

// newSite starts a deployment whose entries write their logs to a folder.
func newSite(ctx context.Context, o *Options, c Case, dir string) (*site, error) {
	s := &site{
		recorder: startRecorder(time.Now()), opened: startOpened(), proxies: proxies{}, keepers: map[string]*keeper{}, planted: o.planted, tenants: c.Tenants, mixed: c.Mixed, traffic: c.traffic(),
		addresses: map[string]string{}, peers: map[string]string{},
	}
	s.layout = fake.Layout{
		Pools:       map[string]int{guardedPool: c.Hosts, unguardedPool: c.Hosts, standbyPool: standbyHosts(c.Hosts)},
		StandbyPool: standbyPool, UnguardedPools: map[string]bool{unguardedPool: true},
		AppendTime: c.AppendTime, Proxy: s.proxies.add, Rewrite: s.rewrite, Observe: s.recorder.observe, RerunDone: o.planted == rerunDone, NoFences: o.planted == noFences,
		FailClosed: c.Tenants,
		Timing: fake.Timing{
			MaxLease: maxLease, MoveDuration: moveDuration, MaintenanceDuration: maintenanceDuration, HeartbeatInterval: heartbeatInterval,
		},
	}
	if err := s.start(ctx, o.Bin, c.Entries, dir); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// heartbeatTopic is the topic of the store that holds the heartbeats of entries, and statusTopic the one for operators.
const heartbeatTopic, statusTopic = "keyed.entries", "keyed.status"

const (
	maxLease     = 10 * time.Second
	moveDuration = 400 * time.Millisecond
	// maintenanceDuration is long enough for machines of a wave to be down at the same time.
	maintenanceDuration = 1500 * time.Millisecond
	heartbeatInterval   = 300 * time.Millisecond
)

func (s *site) start(ctx context.Context, folder string, entries int, dir string) error {
	var err error
	if s.platform, err = fake.New(s.layout); err != nil {
		return err
	}
	if err := s.publish(1, true, 0); err != nil {
		return err
	}
	bin, err := filepath.Abs(folder)
	if err != nil {
		return err
	}
	if s.deployment, err = fake.NewDeployment(s.platform, bin, dir, entries); err != nil {
		return err
	}
	for _, e := range s.deployment.Entries {
		if s.peers[e.PeerAddress], err = s.proxies.add("", e.Name, e.PeerAddress); err != nil {
			return err
		}
	}
	if err := s.deployment.StartAll(ctx); err != nil {
		return err
	}
	for _, e := range s.deployment.Entries {
		s.addresses[e.Name] = e.CallerAddress
		startAgain, beforeStop := func() error { return s.deployment.Start(e) }, func() {}
		if s.planted == cutAnswers {
			if s.addresses[e.Name], err = s.proxies.add(callers, e.Name, e.CallerAddress); err != nil {
				return err
			}
			startAgain = func() error {
				if err := s.proxies[LinkName(callers, e.Name)].HealAll(context.Background()); err != nil {
					return err
				}
				return s.deployment.Start(e)
			}
			beforeStop = func() {
				// If this fails, so does the test that expects a breach.
				_, _ = s.proxies.inject(context.Background(), LinkName(callers, e.Name), "stop", droppedAnswers())
			}
		}
		s.keepers[e.Name] = startKeeper(e, s.recorder, s.opened, startAgain, beforeStop)
	}
	s.trafficAt = s.recorder.now()
	return nil
}

// recordReport records the state of a wave that an entry has written for operators.
func (s *site) recordReport(key string, value []byte) {
	var body struct{ State string }
	number, err := strconv.ParseInt(strings.TrimPrefix(key, "wave/"), 10, 64)
	if err != nil || json.Unmarshal(value, &body) != nil {
		return
	}
	r := WaveReport{number, body.State, s.recorder.now()}
	s.recorder.add(func(h *History) { h.Reports = append(h.Reports, r) })
}

// rewrite replaces the address of an entry in its heartbeats by that of the proxy in front of it: entries connect to the
// addresses that the store has.
func (s *site) rewrite(topic, key string, value []byte) []byte {
	if topic == statusTopic {
		s.recordReport(key, value)
	}
	if topic != heartbeatTopic {
		return value
	}
	h, err := codec.DecodeFrame[roster.Heartbeat](value)
	if err != nil || s.peers[h.Address] == "" {
		return value
	}
	h.Address = s.peers[h.Address]
	if changed, err := codec.EncodeFrame(h); err == nil {
		return changed
	}
	return value
}

// publish publishes a configuration, with or without the extra queue, and with tenants by their stage in runs that have them.
func (s *site) publish(version int, extra bool, stage int) error {
	c := fake.Config(version, s.layout)
	if routes := c["routes"].([]map[string]any); extra {
		for _, r := range routes {
			if r["service"] == guardedPool {
				second := maps.Clone(r)
				second["name"], second["path_prefix"] = "q-"+extraQueue, fake.QueuePath(extraQueue)
				c["routes"] = append(routes, second)
				break
			}
		}
	}
	if s.tenants {
		return s.published(c, stage)
	}
	return s.platform.Publish("config", c)
}

// faultLayout names what faults can hit in a deployment.
func faultLayout(entries, hosts int) Layout {
	var l Layout
	for i := range entries {
		name := fake.EntryName(i)
		l.Entries = append(l.Entries, name)
		l.Links = append(l.Links, LinkName(name, fake.StoreLink), LinkName(name, fake.MachinesLink))
	}
	for _, pool := range []string{guardedPool, unguardedPool} {
		for i := range hosts {
			id := fake.MachineID(pool, i)
			l.Machines, l.Links = append(l.Machines, id), append(l.Links, LinkName("", id))
		}
	}
	for i := range standbyHosts(hosts) {
		l.Links = append(l.Links, LinkName("", fake.MachineID(standbyPool, i)))
	}
	return l
}

// standbyHosts returns the size of the standby pool beside pools of a size.
func standbyHosts(hosts int) int { return (hosts + 1) / 2 }

const (
	// probeInterval and probeTimeout are those of the platform's readiness probes.
	probeInterval, probeTimeout = time.Second, time.Second
)

// probe sends readiness probes to an entry until ctx is done.
func (s *site) probe(ctx context.Context, e *fake.Entry) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleep(ctx, probeInterval) {
		p := Probe{Entry: e.Name, At: s.recorder.now()}
		response, err := client.Get("http://" + e.ReadyAddress + "/v1/readiness")
		if err == nil {
			response.Body.Close()
			if p.Ready = response.StatusCode == http.StatusOK; !p.Ready {
				err = fmt.Errorf("status %d", response.StatusCode)
			}
		}
		if err != nil {
			p.Error = err.Error()
		}
		s.recorder.add(func(h *History) { h.Probes = append(h.Probes, p) })
	}
}

// close ends all processes, proxies and stand-ins. It does not close the recorder.
func (s *site) close() {
	for _, k := range s.keepers {
		k.task.Close()
	}
	s.opened.task.Close()
	if s.deployment != nil {
		s.deployment.KillAll()
	}
	s.proxies.close()
	if s.platform != nil {
		s.platform.Close()
	}
}
