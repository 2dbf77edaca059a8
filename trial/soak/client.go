package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/caller"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/load"
)

const (
	// maxSteps, maxTasks and the durations of tasks limit the jobs of callers.
	maxSteps, maxTasks       = 2, 4
	minTaskMS, maxTaskMS     = 200, 1500
	failShare, cancelShare   = 0.04, 0.1
	repeatShare              = 0.1
	minRepeat, maxRepeat     = 200 * time.Millisecond, 3 * time.Second
	minPoll, maxPoll         = 250 * time.Millisecond, 900 * time.Millisecond
	retryPause               = 250 * time.Millisecond
	callerDeadline           = 3 * time.Second
	maxIdle                  = 512
	tasksPerJob, taskSeconds = (1 + maxTasks) / 2.0 * 1.5, (minTaskMS + maxTaskMS) / 2000.0
)

// crowd are the callers of a run. Each job has a caller of its own; callers share open connections.
type crowd struct {
	site  *site
	names []string
	idle  map[string]caller.Pool[*caller.Conn]
}

func newCrowd(s *site) *crowd {
	c := &crowd{site: s, idle: map[string]caller.Pool[*caller.Conn]{}}
	for _, e := range s.deployment.Entries {
		c.names = append(c.names, e.Name)
		c.idle[e.Name] = make(caller.Pool[*caller.Conn], maxIdle)
	}
	return c
}

// jobsPerSecond is the number of jobs a second that the hosts of a pool can do.
func jobsPerSecond(hosts int) float64 {
	return float64(hosts*fake.TasksPerHost()) / (tasksPerJob * taskSeconds)
}

// run submits jobs during the traffic and follows them until all have ended or ctx is done.
func (c *crowd) run(ctx context.Context, what Case) {
	seed, traffic, hosts := what.Seed, what.traffic(), what.Hosts
	var group errgroup.Group
	for stream, pool := range []string{guardedPool, unguardedPool} {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, uint64(trafficStream+stream)))
			var jobs errgroup.Group
			for n, due := range load.Arrivals(Traffic(seed, stream, traffic, jobsPerSecond(hosts)), traffic, random) {
				j := drawJob(random, pool, fmt.Sprintf("%04x%04x%08x", seed&0xffff, stream, n+1))
				if c.site.tenants {
					j.Tenant = tenantOf(j, true)
				}
				p := &client{crowd: c, job: j, random: rand.New(rand.NewPCG(random.Uint64(), 0)), acceptUntil: c.site.trafficAt + traffic}
				if !sleep(ctx, c.site.trafficAt+due-c.site.recorder.now()) {
					break
				}
				jobs.Go(func() error {
					p.run(ctx)
					return nil
				})
			}
			return jobs.Wait()
		})
	}
	_ = group.Wait()
}

func drawJob(random *rand.Rand, pool, id string) Job {
	j := Job{ID: id, Queue: pool, Pool: pool}
	if pool == guardedPool && random.IntN(3) == 0 {
		j.Queue = extraQueue
	}
	ms := minTaskMS + random.IntN(maxTaskMS-minTaskMS)
	j.Specification = strconv.Itoa(ms)
	if random.Float64() < failShare {
		j.Specification = fake.SpecFail
	}
	for i := range 1 + random.IntN(maxSteps) {
		s := fake.StepSpec{Count: 1 + random.IntN(maxTasks), EstimatedMS: ms}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// client submits a job and follows it.
type client struct {
	crowd  *crowd
	job    Job
	random *rand.Rand
	// acceptUntil is when the caller gives up a job that no entry has accepted.
	acceptUntil time.Duration
}

// register records the job and returns the body that submits it.
func (p *client) register() ([]byte, error) {
	if p.crowd.site.tenants && p.job.Tenant == "" {
		p.job.Tenant = tenantOf(p.job, false)
	}
	registered := p.crowd.site.deployment.Register(p.job.ID, p.job.Specification, p.job.Steps)
	p.crowd.site.recorder.add(func(h *History) { h.Jobs = append(h.Jobs, p.job) })
	return json.Marshal(map[string]any{"specification": registered.Specification, "steps": p.job.Steps})
}

func (p *client) run(ctx context.Context) {
	body, err := p.register()
	if err != nil {
		return
	}
	if p.submitUntilAccepted(ctx, body) {
		p.follow(ctx, body)
	}
}

// submitUntilAccepted submits the job until it is accepted, which it reports, or the caller gives up.
func (p *client) submitUntilAccepted(ctx context.Context, body []byte) bool {
	for p.ask(Submit, http.MethodPost, body).Status != http.StatusOK {
		if p.crowd.site.recorder.now() > p.acceptUntil || !sleep(ctx, retryPause) {
			return false
		}
	}
	return true
}

// follow polls an accepted job until it has ended, and cancels or submits it again at times.
func (p *client) follow(ctx context.Context, body []byte) {
	r := p.crowd.site.recorder
	cancel, repeat := p.random.Float64() < cancelShare, p.random.Float64() < repeatShare
	acceptedAt, later := r.now(), minRepeat+time.Duration(p.random.Int64N(int64(maxRepeat-minRepeat)))
	for sleep(ctx, minPoll+time.Duration(p.random.Int64N(int64(maxPoll-minPoll)))) {
		if p.crowd.site.tenants && p.random.Float64() < intrusionShare {
			p.intrude()
		}
		due := r.now() > acceptedAt+later
		if due && repeat {
			repeat = p.ask(Submit, http.MethodPost, body).Status != http.StatusOK
			continue
		}
		if due && cancel {
			status := p.ask(Cancel, http.MethodDelete, nil).Status
			cancel = status != http.StatusOK && status != http.StatusGone
			continue
		}
		a := p.ask(Look, http.MethodGet, nil)
		if ended(stateIn(a)) || a.Status == http.StatusGone {
			return
		}
	}
}

// ended reports whether a state is final.
func ended(state string) bool {
	return state == stateCompleted || state == stateFailed || state == stateCancelled
}

// The final states of a job.
const (
	stateCompleted, stateFailed, stateCancelled = "completed", "failed", "cancelled"
)

// stateIn returns the state in the answer to a look, or "".
func stateIn(a caller.Answer) string {
	var out struct {
		State string `json:"state"`
	}
	if a.Status != http.StatusOK || json.Unmarshal(a.Body, &out) != nil {
		return ""
	}
	return out.State
}

// ask sends a request to some entry, over an open connection if there is one, and records it.
func (p *client) ask(verb Verb, method string, body []byte) caller.Answer {
	return p.askAt(p.crowd.names[p.random.IntN(len(p.crowd.names))], verb, method, body, 0)
}

// askAt sends a request to an entry. If drip is not zero, it sends the body a byte at a time with pauses between the bytes.
func (p *client) askAt(name string, verb Verb, method string, body []byte, drip time.Duration) caller.Answer {
	return p.exchange(name, verb, method, body, drip, nil)
}

// exchange sends a request to an entry, with the key of the job's tenant or of a stranger.
func (p *client) exchange(name string, verb Verb, method string, body []byte, drip time.Duration, by *stranger) caller.Answer {
	idle, r := p.crowd.idle[name], p.crowd.site.recorder
	c, ok := idle.Take()
	if !ok {
		var err error
		if c, err = caller.Dial(p.crowd.site.addresses[name]); err != nil {
			return caller.Answer{Err: err}
		}
	}
	begin := r.now()
	open := &openRequest{entry: name, verb: verb, beginAt: begin, drips: drip > 0}
	p.crowd.site.opened.begin(open)
	closing := c.Closing
	from := stranger{tenant: p.job.Tenant}
	if by != nil {
		from = *by
	} else if from.tenant != "" {
		from.key, _ = p.crowd.site.keyAt(from.tenant)
	}
	header := http.Header{"Deadline": {strconv.FormatInt(callerDeadline.Milliseconds(), 10)}, "Content-Type": {"application/json"}}
	if from.key != "" {
		header.Set("Authorization", "Token "+from.key)
	}
	a := c.Exchange(caller.Request{
		Method: method, Host: fake.VirtualHost, Path: fake.QueuePath(p.job.Queue) + p.job.ID, Body: body, Patience: callerDeadline, Drip: drip,
		Header: header,
		Sent:   func(at time.Time) { p.crowd.site.opened.sent(open, at.Sub(r.startedAt)) },
	})
	p.crowd.site.opened.end(open)
	if a.Err != nil || !idle.Put(c) {
		c.Close()
	}
	q := Request{
		Job: p.job.ID, Queue: p.job.Queue, Verb: verb, Entry: name, BeginAt: begin, EndAt: r.now(),
		Status: a.Status, TimedOut: a.TimedOut, Closing: closing, Key: from.key, Tenant: from.tenant,
	}
	if verb == Look {
		q.State = stateIn(a)
	}
	if a.Err != nil {
		q.Error = a.Err.Error()
	}
	if a.SentAt.IsZero() && by != nil {
		return a
	}
	if a.SentAt.IsZero() {
		r.add(func(h *History) { h.Partial = append(h.Partial, q) })
		return a
	}
	q.SentAt = a.SentAt.Sub(r.startedAt)
	r.add(func(h *History) {
		if by != nil {
			h.Foreign = append(h.Foreign, q)
			return
		}
		h.Requests = append(h.Requests, q)
	})
	return a
}

// askUntilOpen submits the job at an entry, over one connection after the other while they turn out to have ended. After an
// entry was stopped, all connections that were open have.
func (p *client) askUntilOpen(name string, body []byte, drip time.Duration) caller.Answer {
	for range maxIdle {
		begin := p.crowd.site.recorder.now()
		a := p.askAt(name, Submit, http.MethodPost, body, drip)
		refused := new(net.OpError)
		connects := !errors.As(a.Err, &refused) || refused.Op != "dial"
		if a.Status != 0 || a.TimedOut || !connects || p.crowd.site.recorder.now()-begin > lossSlack {
			return a
		}
	}
	return caller.Answer{}
}

// close closes all open connections.
func (c *crowd) close() {
	for _, idle := range c.idle {
		for {
			v, ok := idle.Take()
			if !ok {
				break
			}
			v.Close()
		}
	}
}
