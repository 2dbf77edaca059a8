package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/fake"
)

// Tenants publishes the next configuration of tenants. It is planned work, and part of runs with tenants only.
const Tenants Kind = "tenants"

const (
	// rotatingTenant has keys that change, loweredTenant a cap that is lowered for a while, and openTenant neither.
	rotatingTenant, loweredTenant, openTenant = "tenant-rotating", "tenant-lowered", "tenant-open"
	// tenantPeriod is the time between two configurations of tenants. It is longer than tenantConfigTime, so that a new key
	// is in force everywhere before the old one is removed.
	tenantPeriod = 4 * time.Second
	// switchLead is the time before the removal of a key at which callers begin to use the next one.
	switchLead = 500 * time.Millisecond
	// tenantStages is the number of configurations after which the changes start again.
	tenantStages = 5
	// tenantConfigTime is config_apply_ms and revocationTime revocation_ms of the settings in runs with tenants.
	tenantConfigTime, revocationTime = fake.TenantConfigTime, fake.RevocationTime
	// overage is quota_overage of the settings.
	overage = 0.1
	// taskCPU is what a task requests, in thousandths of a core.
	taskCPU = fake.SmallPerTask
	// intrusionShare is the share of looks that a request with a key of somebody else precedes.
	intrusionShare = 0.15
)

// TenantState is a tenant in a configuration.
type TenantState struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Weight and CPU are its weight and its cap in thousandths of a core; a cap of 0 is no limit.
	Weight float64 `json:"weight"`
	CPU    int     `json:"cpu"`
}

// TenantConfig is a configuration as it was published. The store acknowledged it at AckAt.
type TenantConfig struct {
	BeginAt time.Duration `json:"begin-ns"`
	AckAt   time.Duration `json:"ack-ns"`
	Tenants []TenantState `json:"tenants"`
}

func tenantKey(tenant string, generation int) string {
	return fmt.Sprintf("key-%s-%d", tenant, generation)
}

// tenantsAt returns the tenants of a configuration by its number, for pools with so many tasks in all. Of each five
// configurations the second adds a key, the third removes the one before it, and the last two have a lower cap.
func tenantsAt(stage, tasks int) []TenantState {
	generation, step := stage/tenantStages, stage%tenantStages
	keys := []string{tenantKey(rotatingTenant, generation)}
	switch {
	case step == 1:
		keys = append(keys, tenantKey(rotatingTenant, generation+1))
	case step > 1:
		keys = []string{tenantKey(rotatingTenant, generation+1)}
	}
	lowered := tasks / 4
	if step > 2 {
		lowered = tasks / 8
	}
	return []TenantState{
		{rotatingTenant, keys, 2, tasks / 3 * taskCPU},
		{loweredTenant, []string{tenantKey(loweredTenant, 0)}, 4, lowered * taskCPU},
		{openTenant, []string{tenantKey(openTenant, 0)}, 1, 0},
	}
}

// keyAt returns the key that callers of a tenant use now, and the one that they used before, if there is one.
func (s *site) keyAt(tenant string) (now, before string) {
	if tenant != rotatingTenant {
		return tenantKey(tenant, 0), ""
	}
	// No configuration follows the traffic.
	at := min(s.recorder.now()-s.trafficAt, s.traffic-switchLead-1)
	stage := int((at + switchLead) / tenantPeriod)
	generation := stage / tenantStages
	if stage%tenantStages > 1 {
		generation++
	}
	if generation > 0 {
		before = tenantKey(tenant, generation-1)
	}
	return tenantKey(tenant, generation), before
}

// tenantFaults returns the publications of tenants during the traffic.
func tenantFaults(traffic time.Duration) []Fault {
	var out []Fault
	for at := tenantPeriod; at < traffic; at += tenantPeriod {
		out = append(out, Fault{Kind: Tenants, At: at})
	}
	return out
}

// tenantOf returns the tenant of a job; empty for jobs of the queue that allows anonymous callers. Jobs that are judged by when
// they run have the tenant without a cap.
func tenantOf(j Job, capped bool) string {
	if j.Queue == extraQueue {
		return ""
	}
	if !capped {
		return openTenant
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(j.ID))
	return []string{rotatingTenant, loweredTenant, openTenant}[sum.Sum32()%3]
}

// addTenants adds tenants to a configuration.
func addTenants(c map[string]any, tenants []TenantState) {
	var out []map[string]any
	for _, t := range tenants {
		out = append(out, map[string]any{
			"name": t.Name, "api_keys": t.Keys, "priority": 0, "weight": t.Weight,
			"cap": map[string]int{"cpu": t.CPU, "memory_request_mb": 0, "gpu": 0},
		})
	}
	c["tenants"] = out
	for _, r := range c["routes"].([]map[string]any) {
		r["allow_anonymous"] = r["name"] == "q-"+extraQueue
	}
}

// intrude looks at the job or cancels it with a key that does not belong to its tenant: of another tenant, removed or unknown,
// or without a key.
func (p *client) intrude() {
	s := p.crowd.site
	others := slices.DeleteFunc([]string{rotatingTenant, loweredTenant, openTenant}, func(t string) bool { return t == p.job.Tenant })
	other := others[p.random.IntN(len(others))]
	key, _ := s.keyAt(other)
	_, removed := s.keyAt(rotatingTenant)
	verb, method := Look, http.MethodGet
	switch p.random.IntN(5) {
	case 0:
		other, key = "", "key-unknown"
	case 1:
		// Without a key, callers see the jobs of all others without one.
		if other, key = "", removed; key == "" && p.job.Tenant == "" {
			key = "key-unknown"
		}
	case 2:
		verb, method = Cancel, http.MethodDelete
	}
	p.exchange(p.crowd.names[p.random.IntN(len(p.crowd.names))], verb, method, nil, 0, &stranger{other, key})
}

// lightDelay is the time after the traffic at which jobs come to idle pools, lightTaskMS the duration of their tasks.
const lightDelay, lightTaskMS = 8 * time.Second, 1500

// runLight submits a job of a tenant with a cap to each pool after the traffic, when pools have room and the tenant runs little.
func (c *crowd) runLight(ctx context.Context, what Case) {
	if !what.Tenants || !sleep(ctx, c.site.trafficAt+what.traffic()+lightDelay-c.site.recorder.now()) {
		return
	}
	var group errgroup.Group
	for i, pool := range []string{guardedPool, unguardedPool} {
		p := &client{
			crowd: c, random: rand.New(rand.NewPCG(what.Seed, lightStream+uint64(i))), acceptUntil: c.site.recorder.now() + lightDelay,
			job: Job{
				ID: fmt.Sprintf("%04x%04x%08x", what.Seed&0xffff, lightStream, i+1), Queue: pool, Pool: pool, Tenant: rotatingTenant,
				Specification: strconv.Itoa(lightTaskMS), Steps: []fake.StepSpec{{Count: 1, EstimatedMS: lightTaskMS}, {Count: 1, EstimatedMS: lightTaskMS, After: []int{0}}},
			},
		}
		group.Go(func() error {
			p.run(ctx)
			return nil
		})
	}
	_ = group.Wait()
}

// lightStream distinguishes the random numbers of their callers from others.
const lightStream = 500

// stranger is the sender of a request about a job of somebody else. Its tenant is empty if its key is not valid.
type stranger struct{ tenant, key string }

// published publishes a configuration with tenants and records it.
func (s *site) published(c map[string]any, stage int) error {
	tasks := (s.layout.Pools[guardedPool] + s.layout.Pools[unguardedPool]) * fake.TasksPerHost()
	t := TenantConfig{BeginAt: s.recorder.now(), Tenants: tenantsAt(stage, tasks)}
	addTenants(c, t.Tenants)
	err := s.platform.Publish("config", c)
	t.AckAt = s.recorder.now()
	s.recorder.add(func(h *History) { h.Configs = append(h.Configs, t) })
	return err
}

// hasKey reports whether a request with a key is allowed in a queue. Requests without a key are in the queue that allows them.
func (c TenantConfig) hasKey(key, queue string) bool {
	if key == "" {
		return queue == extraQueue
	}
	return slices.ContainsFunc(c.Tenants, func(t TenantState) bool { return slices.Contains(t.Keys, key) })
}

// keyState returns whether the key of a request has to be valid, or has to be refused. Neither holds while either may be.
func (h *History) keyState(r Request) (valid, refused bool) {
	refused = len(h.Configs) > 0
	for i, c := range h.Configs {
		if c.hasKey(r.Key, r.Queue) {
			valid = valid || c.AckAt+tenantConfigTime < r.BeginAt
			if c.BeginAt <= r.EndAt {
				refused = false
			}
			continue
		}
		valid = valid && c.BeginAt > r.EndAt
		if i > 0 && c.AckAt+revocationTime < r.BeginAt {
			refused = true
		}
	}
	return valid, refused
}

// keyed returns all requests of a run with tenants that were answered.
func (h *History) keyed() []Request {
	if len(h.Configs) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Concat(h.Requests, h.Foreign), func(r Request) bool { return r.Status == 0 })
}

func (h *History) describe(r Request) string {
	return fmt.Sprintf("%s of job %s at %s with key %q, sent at %s, got status %d", r.Verb, r.Job, r.Entry, r.Key, seconds(r.SentAt), r.Status)
}

func checkKeysRefused(h *History) []string {
	var out []string
	for _, r := range h.keyed() {
		if _, refused := h.keyState(r); refused && (r.Status == http.StatusOK || r.Status == http.StatusGone) {
			out = append(out, h.describe(r))
		}
	}
	return out
}

func countKeysRefused(h *History) int {
	return count(h.keyed(), func(r Request) bool {
		_, refused := h.keyState(r)
		return refused
	})
}

func checkKeysValid(h *History) []string {
	var out []string
	for _, r := range h.keyed() {
		if valid, _ := h.keyState(r); valid && r.Status == http.StatusUnauthorized {
			out = append(out, h.describe(r))
		}
	}
	return out
}

func countKeysValid(h *History) int {
	return count(h.keyed(), func(r Request) bool {
		valid, _ := h.keyState(r)
		return valid && r.Key != ""
	})
}

// checkOwnJobs judges requests about jobs of other tenants: they get the answer for a job that does not exist, or the request is
// refused. A job that does not exist can be cancelled, so that answer is 200 for a cancellation; the job itself must go on.
func checkOwnJobs(h *History) []string {
	var out []string
	byOwner, byOther := map[string]bool{}, map[string]bool{}
	for _, r := range h.Foreign {
		byOther[r.Job] = byOther[r.Job] || r.Verb == Cancel
	}
	for _, r := range slices.Concat(h.Requests, h.Partial) {
		byOwner[r.Job] = byOwner[r.Job] || r.Verb == Cancel
	}
	for _, r := range h.Requests {
		if r.State == stateCancelled && byOther[r.Job] && !byOwner[r.Job] {
			out = append(out, fmt.Sprintf("job %s of %s is cancelled at %s, but only other tenants have cancelled it", r.Job, r.Tenant, seconds(r.EndAt)))
		}
	}
	jobs := h.jobsByID()
	for _, r := range h.Foreign {
		if (r.Verb == Cancel && r.Status == http.StatusOK) || h.hasKeyOf(jobs[r.Job].Tenant, r.Key) {
			continue
		}
		switch r.Status {
		case 0, http.StatusGone, http.StatusNotFound, http.StatusUnauthorized, http.StatusTooManyRequests,
			http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			out = append(out, h.describe(r))
		}
	}
	return out
}

// hasKeyOf reports whether a key is or was one of a tenant. Whether such a key may still be used is for checkKeysRefused to judge.
func (h *History) hasKeyOf(tenant, key string) bool {
	return slices.ContainsFunc(h.Configs, func(c TenantConfig) bool {
		return slices.ContainsFunc(c.Tenants, func(t TenantState) bool { return t.Name == tenant && slices.Contains(t.Keys, key) })
	})
}

func countOwnJobs(h *History) int {
	return count(h.Foreign, func(r Request) bool {
		return r.Tenant != "" && (r.Status == http.StatusGone || r.Status == http.StatusOK)
	})
}

// capOf returns the highest cap of a tenant in the configurations that may be in force at a time; 0 for none. While a fault is
// or was active, earlier configurations may be.
func (h *History) capOf(tenant string, at time.Duration) int {
	highest := 0
	settled := h.calm(at-tenantConfigTime-contactTime, at)
	for _, c := range h.Configs {
		if c.BeginAt > at {
			break
		}
		for _, t := range c.Tenants {
			if t.Name != tenant {
				continue
			}
			if settled && c.AckAt+tenantConfigTime < at {
				highest = 0
			}
			highest = max(highest, t.CPU)
		}
	}
	return highest
}

// tenantUse calls f for each start and each end of a task of a tenant with a cap, with what the tenant has running then.
func (h *History) tenantUse(f func(e HostEvent, tenant string, cpu, limit int)) {
	jobs, running, used := h.jobsByID(), map[runKey]string{}, map[string]int{}
	end := func(e HostEvent, k runKey) {
		if tenant, ok := running[k]; ok {
			used[tenant] -= taskCPU
			delete(running, k)
			f(e, tenant, used[tenant], h.capOf(tenant, e.At))
		}
	}
	for _, e := range h.Hosts {
		switch e.Kind {
		case fake.RunStarted:
			tenant := jobs[jobOf(e.Task)].Tenant
			limit := h.capOf(tenant, e.At)
			if limit == 0 {
				continue
			}
			running[keyOf(e)] = tenant
			used[tenant] += taskCPU
			f(e, tenant, used[tenant], limit)
		case fake.RunEnded:
			end(e, keyOf(e))
		case fake.HostGone:
			for k := range running {
				if k.host == e.Host {
					end(e, k)
				}
			}
		}
	}
}

func checkCaps(h *History) []string {
	var out []string
	h.tenantUse(func(e HostEvent, tenant string, cpu, limit int) {
		if e.Kind == fake.RunStarted && float64(cpu) > float64(limit)*(1+overage)+taskCPU {
			out = append(out, fmt.Sprintf("task %s started on %s at %s: %s has %d thousandths of a core running, its cap is %d", e.Task, e.Host, seconds(e.At), tenant, cpu, limit))
		}
	})
	return out
}

// countCaps counts the starts that use up a cap.
func countCaps(h *History) int {
	cases := 0
	h.tenantUse(func(e HostEvent, _ string, cpu, limit int) {
		if e.Kind == fake.RunStarted && cpu >= limit {
			cases++
		}
	})
	return cases
}

// roomStep is the time between two moments at which jobs of tenants with caps are judged.
const roomStep = 500 * time.Millisecond

// waits calls f at each moment that is judged for each job that has work left and whose tenant has used less than half its cap since
// stuckTime before, while its pool had room. since is when the job was accepted or last ran, whichever is later.
func (h *History) waits(f func(j Job, at, since time.Duration)) {
	accepted, cancelled := h.answered(Submit, http.StatusOK), map[string]bool{}
	for _, r := range slices.Concat(h.Requests, h.Partial) {
		cancelled[r.Job] = cancelled[r.Job] || r.Verb == Cancel
	}
	const span = stuckTime + calmBefore
	for at := h.TrafficStart + span; len(h.Configs) > 0 && at <= h.End; at += roomStep {
		if !h.calm(at-span, at) {
			continue
		}
		part := *h
		part.End = at
		n, _ := slices.BinarySearchFunc(h.Hosts, at, func(e HostEvent, at time.Duration) int { return int(e.At - at) })
		part.Hosts = h.Hosts[:n]
		pools, lastRun := part.use(at - stuckTime)
		done, most := part.doneTimes(), map[string]int{}
		part.tenantUse(func(e HostEvent, tenant string, cpu, _ int) {
			// What runs after the last event before the span runs in it too.
			if e.At < at-stuckTime {
				most[tenant] = 0
			}
			most[tenant] = max(most[tenant], cpu)
		})
		for _, j := range h.Jobs {
			u, limit := pools[j.Pool], h.capOf(j.Tenant, at)
			for i, c := range h.Configs {
				superseded := i+1 < len(h.Configs) && h.Configs[i+1].AckAt+tenantConfigTime < at-stuckTime
				for _, t := range c.Tenants {
					if t.Name == j.Tenant && c.BeginAt <= at && !superseded {
						limit = min(limit, t.CPU)
					}
				}
			}
			left := slices.ContainsFunc(steps(j), func(step int) bool { return notDone(j, step, done, at) != "" })
			if limit > 0 && 2*most[j.Tenant] < limit && 2*u.maxRuns < u.minHosts*fake.TasksPerHost() && left && !cancelled[j.ID] &&
				j.Specification != fake.SpecFail && len(accepted[j.ID]) > 0 && accepted[j.ID][0].EndAt < at {
				f(j, at, max(accepted[j.ID][0].EndAt, lastRun[j.ID]))
			}
		}
	}
}

func checkRoom(h *History) []string {
	var out []string
	h.waits(func(j Job, at, since time.Duration) {
		if since < at-stuckTime {
			out = append(out, fmt.Sprintf("job %s of %s has nothing running at %s, since %s, under half the cap and beside room", j.ID, j.Tenant, seconds(at), seconds(since)))
		}
	})
	return out
}

func countRoom(h *History) int {
	cases := 0
	h.waits(func(Job, time.Duration, time.Duration) { cases++ })
	return cases
}
