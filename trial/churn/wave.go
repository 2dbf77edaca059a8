package churn

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/trial/site"
)

// Wave is a wave of maintenance that an entry has accepted.
type Wave struct {
	Name string `json:"name"`
	// Phase is that at the end of the run; empty if the entries do not know the wave.
	Phase string `json:"phase"`
	// PublishedAt is when it was first sent to an entry.
	PublishedAt time.Duration `json:"published-ns"`
	// Quarantined are the hosts that were quarantined at the end. Their quarantines last for longer than a run and take up the
	// budgets of their pools, so that no other host can leave service.
	Quarantined []string `json:"quarantined,omitempty"`
}

// Outage is a time in which a host of a pool was down for a reboot.
type Outage struct {
	Pool string        `json:"pool"`
	Host string        `json:"host"`
	From time.Duration `json:"from-ns"`
	To   time.Duration `json:"to-ns"`
}

const (
	// waveTime is the time after the last fault, beside that for other promises, in which waves have to be done, and waveInterval the time between two looks.
	waveTime, waveInterval = 60 * time.Second, 250 * time.Millisecond
	// phaseDone is the phase of a wave that has maintained all its hosts.
	phaseDone = "done"
)

// publishWave publishes a wave for all pools, at one entry after the other until one has given a verdict.
func (d *deployment) publishWave(ctx context.Context, name string) {
	r := client.NewRecord(site.Author, name, 0, wave.Spec{Pools: []string{briefKind, longKind}})
	published := time.Since(d.startedAt)
	for _, e := range d.site.Entries {
		limited, cancel := context.WithTimeout(ctx, patience)
		v, err := e.Client.Publish(limited, r)
		cancel()
		if err != nil {
			continue
		}
		if v.Result == record.Accepted || v.Result == record.Duplicate {
			d.send(func(c *core) { c.history.Waves = append(c.history.Waves, Wave{Name: name, PublishedAt: published}) })
		}
		return
	}
}

// awaitWaves waits until all accepted waves are done, for a limited time, and returns them.
func (d *deployment) awaitWaves(parent context.Context) []Wave {
	ctx, cancel := context.WithTimeout(parent, d.waveTime)
	defer cancel()
	waves, err := task.Call(ctx, d.task, func(reply chan<- []Wave) func(*core) {
		return func(c *core) { reply <- slices.Clone(c.history.Waves) }
	})
	if err != nil || len(waves) == 0 {
		return nil
	}
	for {
		for _, e := range d.site.Entries {
			if list, err := e.Client.Objects(ctx, record.KindWave, 0); err == nil {
				for i := range waves {
					for _, o := range list.Objects {
						if o.Name == waves[i].Name {
							waves[i].Phase = o.Status.Phase
						}
					}
				}
				break
			}
		}
		done := !slices.ContainsFunc(waves, func(w Wave) bool { return w.Phase != phaseDone })
		if !done && sleep(ctx, waveInterval) {
			continue
		}
		quarantined := d.quarantined(parent)
		for i := range waves {
			waves[i].Quarantined = quarantined
		}
		return waves
	}
}

// quarantined returns the hosts that are quarantined, as the first entry that answers knows them.
func (d *deployment) quarantined(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for _, e := range d.site.Entries {
		list, err := e.Client.Objects(ctx, record.KindHost, 0)
		if err != nil {
			continue
		}
		var out []string
		for _, o := range list.Objects {
			if o.Status.Phase == string(host.Quarantined) {
				out = append(out, o.Name)
			}
		}
		return out
	}
	return nil
}

// outages returns the reboots of all hosts.
func (d *deployment) outages(ctx context.Context) ([]Outage, error) {
	stats, err := d.site.HostStats(ctx)
	if err != nil {
		return nil, err
	}
	var out []Outage
	for _, o := range stats.Outages {
		i := slices.IndexFunc(d.site.Targets, func(t *site.Target) bool { return t.Name == o.Machine })
		if i >= 0 {
			out = append(out, Outage{d.site.Targets[i].Pool, o.Machine, o.From.Sub(d.startedAt), o.To.Sub(d.startedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Outage) int { return cmp.Compare(a.From, b.From) })
	return out, nil
}

func checkBudgets(h *History) []string {
	var out []string
	for i, o := range h.Outages {
		down := 1
		for _, other := range h.Outages[:i] {
			if other.Pool == o.Pool && other.Host != o.Host && other.To > o.From {
				down++
			}
		}
		if down > allowed.MaxUnavailable {
			out = append(out, fmt.Sprintf("host %s is rebooted at %v, which makes %d hosts of pool %s down, %d are allowed", o.Host, o.From, down, o.Pool, allowed.MaxUnavailable))
		}
	}
	return out
}

// checkWaves requires that waves are done. One that waits for a quarantine has to have maintained the pools without one.
func checkWaves(h *History) []string {
	var out []string
	for _, w := range h.Waves {
		switch {
		case w.Phase == phaseDone:
		case w.Phase == "" || len(w.Quarantined) == 0:
			out = append(out, fmt.Sprintf("%s was accepted and is still %q at the end", w.Name, w.Phase))
		default:
			for _, host := range unmaintained(h, &w) {
				out = append(out, fmt.Sprintf("%s was accepted and has not maintained host %s, in whose pool none is quarantined", w.Name, host))
			}
		}
	}
	return out
}

// unmaintained returns the hosts of pools without a quarantine that were not rebooted since a wave was published.
func unmaintained(h *History, w *Wave) []string {
	var out []string
	for _, pool := range slices.Sorted(maps.Keys(h.Pools)) {
		hosts := h.Pools[pool]
		if slices.ContainsFunc(hosts, func(host string) bool { return slices.Contains(w.Quarantined, host) }) {
			continue
		}
		for _, host := range hosts {
			if !slices.ContainsFunc(h.Outages, func(o Outage) bool { return o.Host == host && o.From >= w.PublishedAt }) {
				out = append(out, host)
			}
		}
	}
	return out
}
