package churn

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/caller"
	"carawaymux.dev/trial/site"
)

const (
	// briefInterval and longInterval are the times between two requests at each entry, and recordInterval between two records
	// at one of them.
	briefInterval, longInterval, recordInterval = 80 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond
	// patience is how long callers wait for an answer, and maxRepeats how many times they repeat a request that was not done.
	patience, maxRepeats = 3 * time.Second, 2
	// repeatPause is the time before a request is repeated.
	repeatPause = 200 * time.Millisecond
	// maxIdle is the number of idle connections that are kept for each entry.
	maxIdle = 256
	// recordPrefix begins the names of the records that callers publish.
	recordPrefix = "note-"
	// endTimeout limits the time for an entry to say what it knows at the end.
	endTimeout = 10 * time.Second
)

// clients are the callers of a run.
type clients struct {
	deployment *deployment
	seed       uint64
	traffic    time.Duration
	idle       map[string]caller.Pool[*caller.Conn]
}

func newClients(d *deployment, seed uint64, traffic time.Duration) *clients {
	p := &clients{d, seed, traffic, map[string]caller.Pool[*caller.Conn]{}}
	for _, e := range d.site.Entries {
		p.idle[e.Name] = make(caller.Pool[*caller.Conn], maxIdle)
	}
	return p
}

// run sends requests during the traffic and waits for all answers.
func (p *clients) run(ctx context.Context) {
	until := p.deployment.now() + p.traffic
	var group errgroup.Group
	for i, e := range p.deployment.site.Entries {
		for _, kind := range []string{briefKind, longKind} {
			group.Go(func() error {
				p.stream(ctx, &group, e, kind, i, until)
				return nil
			})
		}
	}
	group.Go(func() error {
		p.publish(ctx, until)
		return nil
	})
	_ = group.Wait()
}

// stream sends requests of a kind to an entry at fixed intervals, whether those before are answered or not, so that some are
// open whenever the entry is stopped. Every other brief request is idempotent.
func (p *clients) stream(ctx context.Context, group *errgroup.Group, e *site.Entry, kind string, number int, until time.Duration) {
	interval := map[string]time.Duration{briefKind: briefInterval, longKind: longInterval}[kind]
	random := rand.New(rand.NewPCG(p.seed, uint64(number)))
	for n, due := 0, p.deployment.now(); due < until; n, due = n+1, due+interval {
		if !sleep(ctx, due-p.deployment.now()) {
			return
		}
		others := random.Perm(len(p.deployment.site.Entries))
		group.Go(func() error {
			p.request(ctx, e, kind, fmt.Sprintf("%s-%s-%d", e.Name, kind, n), kind == longKind || n%2 == 0, others)
			return nil
		})
	}
}

// request sends a request to an entry, and to others as long as it is not done. Requests that may run only once get their ID from
// an entry.
func (p *clients) request(ctx context.Context, e *site.Entry, kind, id string, idempotent bool, others []int) {
	if !idempotent {
		a, _ := p.exchange(e.Name, e.HTTP, caller.Request{Method: http.MethodGet, Path: wire.PathIDs + "?" + url.Values{"kind": {kind}}.Encode()}, nil)
		var issued wire.IssuedID
		if a.Status != http.StatusOK || json.Unmarshal(a.Body, &issued) != nil {
			return
		}
		id = issued.ID
	}
	for i := 0; ; i++ {
		r := p.send(e, kind, id, idempotent)
		if r.Outcome == wire.Done || i == min(maxRepeats, len(others)) || !sleep(ctx, repeatPause) {
			return
		}
		e = p.deployment.site.Entries[others[i%len(others)]]
	}
}

// exchange sends a request over an open connection if there is one. It returns false if there is no connection.
func (p *clients) exchange(name, address string, r caller.Request, q *Request) (caller.Answer, bool) {
	d := p.deployment
	c, ok := p.idle[name].Take()
	if !ok {
		var err error
		if c, err = caller.Dial(address); err != nil {
			return caller.Answer{Err: err}, false
		}
	}
	r.Host, r.Patience = address, patience
	if q != nil {
		q.BeginAt, q.Closing = d.now(), c.Closing
		d.send(func(c *core) { c.open[q] = struct{}{} })
		r.Sent = func(at time.Time) {
			d.send(func(*core) { q.SentAt = at.Sub(d.startedAt) })
		}
	}
	a := c.Exchange(r)
	if a.Err != nil || !p.idle[name].Put(c) {
		c.Close()
	}
	return a, true
}

// send sends a request once and records it, if it was sent as a whole.
func (p *clients) send(e *site.Entry, kind, id string, idempotent bool) Request {
	d, body := p.deployment, id+"/x"
	q := &Request{ID: id, Entry: e.Name, Idempotent: idempotent}
	a, connected := p.exchange(e.Name, e.HTTP, caller.Request{
		Method: http.MethodPost, Path: wire.PathRequests + url.PathEscape(kind), Body: []byte(body),
		Header: http.Header{
			wire.HeaderID: {id}, wire.HeaderIdempotent: {strconv.FormatBool(idempotent)},
			wire.HeaderDeadline: {strconv.FormatInt(patience.Milliseconds(), 10)},
		},
	}, q)
	end := d.now()
	r := Request{ID: id, Entry: e.Name, Idempotent: idempotent, EndAt: end, Status: a.Status, TimedOut: a.TimedOut}
	if a.Err != nil {
		r.Error = a.Err.Error()
	} else {
		r.Outcome = wire.Outcome(a.Header.Get(wire.HeaderOutcome))
		r.Echo = r.Outcome == wire.Done && string(a.Body) == a.Header.Get(wire.HeaderTarget)+":"+body
	}
	if connected {
		d.send(func(c *core) {
			delete(c.open, q)
			seen := r
			seen.BeginAt, seen.SentAt, seen.Closing = q.BeginAt, q.SentAt, q.Closing
			c.history.Requests = append(c.history.Requests, seen)
		})
	}
	return r
}

// publish publishes a record at some entry at fixed intervals.
func (p *clients) publish(ctx context.Context, until time.Duration) {
	entries, random := p.deployment.site.Entries, rand.New(rand.NewPCG(p.seed, uint64(len(p.deployment.site.Entries))))
	for n := 0; p.deployment.now() < until; n++ {
		e, name := entries[random.IntN(len(entries))], fmt.Sprintf("%s%d", recordPrefix, n)
		limited, cancel := context.WithTimeout(ctx, patience)
		// An error says nothing about the record.
		if v, err := e.Client.Publish(limited, client.NewRecord(site.Author, name, 0, allowed)); err == nil {
			p.deployment.accepted(v, name)
		}
		cancel()
		if !sleep(ctx, recordInterval) {
			return
		}
	}
}

// end asks an entry for what it knows at the end of a run.
func (p *clients) end(ctx context.Context, e *site.Entry) End {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	out := End{Entry: e.Name}
	if err := e.Client.Ready(ctx); err != nil {
		out.Error = "not ready: " + err.Error()
		return out
	}
	a, err := e.Client.Do(ctx, client.Request{Kind: briefKind, ID: record.NewID().String(), Idempotent: true, Deadline: patience, Body: []byte("end")})
	if err != nil || a.Outcome != wire.Done {
		out.Error = fmt.Sprintf("a request is answered %q: %s (%v)", a.Outcome, a.Reason, err)
		return out
	}
	objects, err := e.Client.Objects(ctx, record.KindBudget, 0)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	for _, o := range objects.Objects {
		if strings.HasPrefix(o.Name, recordPrefix) {
			out.Records = append(out.Records, o.Name)
		}
	}
	slices.Sort(out.Records)
	return out
}
