package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"carawaymux.dev/fleet/port"
)

// Change is a difference in effect between two configurations. Its texts name no key.
type Change struct {
	Part Part
	// Name is the name of what changes; empty for the whole configuration.
	Name string
	// What is what changes, and Before and After its values. Before is empty for what is added, After for what is removed.
	What, Before, After string
}

// changes collects changes.
type changes []Change

func (c *changes) add(part Part, name, what string, before, after any) {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if b != a {
		*c = append(*c, Change{part, name, what, b, a})
	}
}

// Diff returns what differs in effect between the configuration in force and another one. The order of entries and what no entry
// uses makes no difference.
func Diff(inForce, next *port.Config) []Change {
	var out changes
	diffNamed(&out, Queue, index(inForce.Queues, queueName), index(next.Queues, queueName), describeQueue, diffQueue)
	diffRoutes(&out, inForce, next)
	diffNamed(&out, Pool, index(inForce.Pools, poolName), index(next.Pools, poolName), describePool, diffPool)
	out.add(Tenant, "", "callers need keys", inForce.RequiresKeys, next.RequiresKeys)
	diffNamed(&out, Tenant, index(inForce.Tenants, tenantName), index(next.Tenants, tenantName), describeTenant, diffTenant)
	out.add(Limits, "", "largest body", inForce.MaxBody, next.MaxBody)
	out.add(Limits, "", "largest head", inForce.MaxHeader, next.MaxHeader)
	out.add(Limits, "", "time for a head", inForce.HeaderTimeout, next.HeaderTimeout)
	out.add(Limits, "", "idle time", inForce.IdleTimeout, next.IdleTimeout)
	return out
}

func queueName(q *port.Queue) string   { return q.Name }
func poolName(p *port.Pool) string     { return p.Name }
func tenantName(t *port.Tenant) string { return t.Name }

// index maps names to entries. Of several with one name the last one counts.
func index[T any](list []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		out[name(&list[i])] = &list[i]
	}
	return out
}

// diffNamed compares the entries of one part by name.
func diffNamed[T any](out *changes, part Part, before, after map[string]*T, describe func(*T) string, diff func(out *changes, before, after *T)) {
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		switch b, a := before[name], after[name]; {
		case b == nil:
			*out = append(*out, Change{Part: part, Name: name, What: "added", After: describe(a)})
		case a == nil:
			*out = append(*out, Change{Part: part, Name: name, What: "removed", Before: describe(b)})
		default:
			diff(out, b, a)
		}
	}
}

func describeQueue(q *port.Queue) string {
	return fmt.Sprintf("%s%s in pool %s", q.Host, q.Prefix, q.Pool)
}

func diffQueue(out *changes, before, after *port.Queue) {
	out.add(Queue, after.Name, "pool", before.Pool, after.Pool)
	out.add(Queue, after.Name, "priority", before.Priority, after.Priority)
	out.add(Queue, after.Name, "attempts of a task", before.MaxAttempts, after.MaxAttempts)
	out.add(Queue, after.Name, "stretch", max(before.Stretch, 1), max(after.Stretch, 1))
	out.add(Queue, after.Name, "latency objective", before.Target, after.Target)
	out.add(Queue, after.Name, "time for an answer", before.Timeout, after.Timeout)
	out.add(Queue, after.Name, "callers without a key", before.AllowAnonymous, after.AllowAnonymous)
	out.add(Queue, after.Name, "policy service", describeAdvice(before.Advice), describeAdvice(after.Advice))
}

func describeAdvice(a *port.Advice) string {
	if a == nil {
		return "none"
	}
	return fmt.Sprintf("%v, and %v for each host, valid for %v", a.Decision, a.PerHost, a.Valid)
}

// diffRoutes compares which queue gets the requests to each host and prefix.
func diffRoutes(out *changes, inForce, next *port.Config) {
	type route struct{ host, prefix string }
	routes := map[route]bool{}
	for _, c := range []*port.Config{inForce, next} {
		for i := range c.Queues {
			routes[route{c.Queues[i].Host, c.Queues[i].Prefix}] = true
		}
	}
	byText := func(a, b route) int {
		return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.prefix, b.prefix))
	}
	for _, r := range slices.SortedFunc(maps.Keys(routes), byText) {
		out.add(Queue, r.host+r.prefix, "requests go to", servedBy(inForce, r.host, r.prefix), servedBy(next, r.host, r.prefix))
	}
}

func servedBy(c *port.Config, host, path string) string {
	if q := Find(c.Queues, host, path); q != nil {
		return q.Name
	}
	return "no queue"
}

// Find returns the queue of a host whose prefix is the longest that a path starts with, and the first of several; nil if there is none.
func Find(queues []port.Queue, host, path string) *port.Queue {
	var best *port.Queue
	for i := range queues {
		q := &queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// unreachable returns why no request can reach a queue, whatever the other queues are; empty if one can.
func unreachable(q *port.Queue) string {
	switch {
	case q.Host == "":
		return "it has no host"
	case strings.ContainsAny(q.Host, ":/ "):
		return fmt.Sprintf("host %q is not a name; the port of a request is not compared", q.Host)
	case q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/"):
		return fmt.Sprintf("no path starts with %q", q.Prefix)
	case q.Prefix == "":
		return "without a prefix, the ID of a job would begin with a slash"
	}
	return ""
}

func describePool(p *port.Pool) string {
	if p.Standby {
		return "standby"
	}
	return "in use"
}

func diffPool(out *changes, before, after *port.Pool) {
	out.add(Pool, after.Name, "hosts refuse what does not fit", before.EnforcesCapacity, after.EnforcesCapacity)
	out.add(Pool, after.Name, "standby", before.Standby, after.Standby)
}

func describeTenant(t *port.Tenant) string {
	return fmt.Sprintf("keys: %d, weight %v, cap %s", len(t.Keys), t.Weight, describeCap(t))
}

func describeCap(t *port.Tenant) string {
	if t.Cap.MilliCores == 0 && t.Cap.MemoryMB == 0 && t.Cap.Accelerators == 0 {
		return "none"
	}
	return fmt.Sprintf("%d processor thousandths, %d MB, %d accelerators (0: no limit)", t.Cap.MilliCores, t.Cap.MemoryMB, t.Cap.Accelerators)
}

func diffTenant(out *changes, before, after *port.Tenant) {
	added, revoked := countMissing(after.Keys, before.Keys), countMissing(before.Keys, after.Keys)
	if added > 0 {
		*out = append(*out, Change{Part: Tenant, Name: after.Name, What: "keys added", After: fmt.Sprint(added)})
	}
	if revoked > 0 {
		*out = append(*out, Change{Part: Tenant, Name: after.Name, What: "keys revoked", Before: fmt.Sprint(revoked)})
	}
	out.add(Tenant, after.Name, "weight", before.Weight, after.Weight)
	out.add(Tenant, after.Name, "cap", describeCap(before), describeCap(after))
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []port.KeyDigest) int {
	n := 0
	for i, k := range keys {
		if !slices.Contains(others, k) && !slices.Contains(keys[:i], k) {
			n++
		}
	}
	return n
}
