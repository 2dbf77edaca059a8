// Package lint checks configurations and waves before they are put in force: for entries that can never have an effect, and for limits
// that contradict each other. It also tells what differs in effect between two configurations. It reads no clock and does no I/O.
package lint

import (
	"fmt"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Severity says how certain it is that a finding is a mistake.
type Severity string

// The severities. An error is in no use as it stands; a warning may be meant.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Rule names what a finding is about.
type Rule string

// The rules.
const (
	DuplicateQueue       Rule = "duplicate-queue"
	DuplicatePool        Rule = "duplicate-pool"
	UnknownPool          Rule = "unknown-pool"
	ShadowedQueue        Rule = "shadowed-queue"
	UnreachableQueue     Rule = "unreachable-queue"
	TakesIDs             Rule = "takes-ids"
	DeadlineBelowTarget  Rule = "deadline-below-target"
	StretchBelowOne      Rule = "stretch-below-one"
	UnusedPool           Rule = "unused-pool"
	PoolWithoutMachine   Rule = "pool-without-machine"
	TenantWithoutKey     Rule = "tenant-without-key"
	NobodyAdmitted       Rule = "nobody-admitted"
	AnonymousWithoutKeys Rule = "anonymous-without-keys"
	CapBelowTask         Rule = "cap-below-task"
	NoWeight             Rule = "no-weight"
	IdleBelowHeader      Rule = "idle-below-header-timeout"
	NotNewer             Rule = "not-newer"
	WaveAbovePool        Rule = "wave-above-pool"
	WaveAboveItself      Rule = "wave-above-itself"
	WaveWithoutBudget    Rule = "wave-without-budget"
	UnknownMachine       Rule = "unknown-machine"
)

// Part is the part of a configuration that a finding is about.
type Part string

// The parts.
const (
	Whole  Part = "whole"
	Queue  Part = "queue"
	Pool   Part = "pool"
	Tenant Part = "tenant"
	Limits Part = "limits"
	Wave   Part = "wave"
)

// Field is the field of a part that a finding is about. It is empty for the part itself.
type Field string

// The fields.
const (
	Version     Field = "version"
	Name        Field = "name"
	Host        Field = "host"
	Prefix      Field = "prefix"
	PoolName    Field = "pool"
	Timeout     Field = "timeout"
	Stretch     Field = "stretch"
	Anonymous   Field = "anonymous"
	Keys        Field = "keys"
	Weight      Field = "weight"
	Cap         Field = "cap"
	IdleTimeout Field = "idle-timeout"
	Machines    Field = "machines"
	MaxDown     Field = "max-down"
)

// Subject is what a finding is about.
type Subject struct {
	Part Part
	// Index counts the queues, pools and tenants of the configuration from 0.
	Index int
	Field Field
}

// Finding is a result of a check. Its text names no key.
type Finding struct {
	Severity Severity
	Rule     Rule
	Subject  Subject
	Text     string
}

// Facts is what is known of the fleet. Checks that need what is missing are left out.
type Facts struct {
	// Machines are the machines of the fleet; nil if they are not known.
	Machines []port.Machine
	// Task is what the largest task requests; zero if it is not known.
	Task batch.Size
	// InForce is the configuration in force; nil if it is not known.
	InForce *port.Config
}

// findings collects findings.
type findings []Finding

func (f *findings) add(s Severity, r Rule, subject Subject, format string, args ...any) {
	*f = append(*f, Finding{s, r, subject, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration, in the order of its parts.
func Check(c *port.Config, facts Facts) []Finding {
	var f findings
	if old := facts.InForce; old != nil && c.Version <= old.Version {
		f.add(Error, NotNewer, Subject{Part: Whole, Field: Version},
			"version %d is not newer than version %d, which is in force: entries ignore the configuration", c.Version, old.Version)
	}
	f.checkQueues(c)
	f.checkPools(c, facts)
	f.checkTenants(c, facts)
	if c.IdleTimeout > 0 && c.IdleTimeout < c.HeaderTimeout {
		f.add(Warning, IdleBelowHeader, Subject{Part: Limits, Field: IdleTimeout},
			"connections are closed after %v without a request, but a head may take %v", c.IdleTimeout, c.HeaderTimeout)
	}
	return f
}

func (f *findings) checkQueues(c *port.Config) {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	names := map[string]int{}
	for i := range c.Queues {
		q := &c.Queues[i]
		at := func(field Field) Subject { return Subject{Queue, i, field} }
		if first, known := names[q.Name]; known {
			f.add(Error, DuplicateQueue, at(Name), "queue %q is also number %d of the list", q.Name, first+1)
		} else {
			names[q.Name] = i
		}
		if !pools[q.Pool] {
			f.add(Error, UnknownPool, at(PoolName), "queue %q uses pool %q, which is not in the configuration: its jobs never run", q.Name, q.Pool)
		}
		f.checkRoute(c, i)
		if q.Timeout > 0 && q.Timeout < q.Target {
			f.add(Warning, DeadlineBelowTarget, at(Timeout),
				"callers of queue %q wait for %v, less than the latency objective of %v", q.Name, q.Timeout, q.Target)
		}
		if q.Stretch > 0 && q.Stretch < 1 {
			f.add(Warning, StretchBelowOne, at(Stretch), "stretch %v of queue %q counts as 1: no job is shorter than its critical path", q.Stretch, q.Name)
		}
		if q.AllowAnonymous && !c.RequiresKeys {
			f.add(Warning, AnonymousWithoutKeys, at(Anonymous), "queue %q admits callers without a key, but the configuration has no tenants: nobody needs one", q.Name)
		}
	}
}

// checkRoute checks which requests reach a queue.
func (f *findings) checkRoute(c *port.Config, i int) {
	q := &c.Queues[i]
	for j := range c.Queues {
		other := &c.Queues[j]
		if other.Host != q.Host || i == j {
			continue
		}
		if other.Prefix == q.Prefix && j < i {
			f.add(Error, ShadowedQueue, Subject{Queue, i, Prefix}, "queue %q gets no requests: queue %q has the same host and prefix and comes first", q.Name, other.Name)
			return
		}
		if rest := q.Prefix[min(len(other.Prefix), len(q.Prefix)):]; other.Prefix+rest == q.Prefix && startsID(rest) {
			f.add(Error, TakesIDs, Subject{Queue, i, Prefix},
				"queue %q takes the requests about jobs of queue %q whose ID begins with %q, and refuses them", q.Name, other.Name, rest)
		}
	}
	if reason := unreachable(q); reason != "" {
		f.add(Error, UnreachableQueue, Subject{Queue, i, Prefix}, "queue %q gets no requests: %s", q.Name, reason)
	}
}

// startsID reports whether the ID of a job can begin with a text.
func startsID(text string) bool {
	const id = "0000000000000000"
	return text != "" && len(text) <= len(id) && batch.CheckID(text+id[len(text):]) == nil
}

func (f *findings) checkPools(c *port.Config, facts Facts) {
	used, machines := map[string]bool{}, map[string]int{}
	for _, q := range c.Queues {
		used[q.Pool] = true
	}
	for _, m := range facts.Machines {
		machines[m.Pool]++
	}
	names := map[string]int{}
	for i, p := range c.Pools {
		subject := Subject{Pool, i, Name}
		if first, known := names[p.Name]; known {
			f.add(Error, DuplicatePool, subject, "pool %q is also number %d of the list", p.Name, first+1)
			continue
		}
		names[p.Name] = i
		if !used[p.Name] && !p.Standby {
			f.add(Warning, UnusedPool, subject, "no queue uses pool %q", p.Name)
		}
		if facts.Machines != nil && used[p.Name] && machines[p.Name] == 0 {
			f.add(Warning, PoolWithoutMachine, subject, "queues use pool %q, but no machine is in it", p.Name)
		}
	}
}

func (f *findings) checkTenants(c *port.Config, facts Facts) {
	holders := 0
	for i := range c.Tenants {
		t := &c.Tenants[i]
		if len(t.Keys) > 0 {
			holders++
		} else {
			f.add(Warning, TenantWithoutKey, Subject{Tenant, i, Keys}, "tenant %q has no key: nobody can submit its jobs", t.Name)
		}
		if t.Weight == 0 {
			f.add(Warning, NoWeight, Subject{Tenant, i, Weight}, "tenant %q has weight 0: nothing is owed to it when a pool is full", t.Name)
		}
		for _, d := range [...]struct {
			name       string
			limit, one int64
		}{
			{"processor thousandths", t.Cap.MilliCores, facts.Task.MilliCores},
			{"MB of memory", t.Cap.MemoryMB, facts.Task.MemoryMB},
			{"accelerators", t.Cap.Accelerators, facts.Task.Accelerators},
		} {
			if d.limit > 0 && d.limit < d.one {
				f.add(Error, CapBelowTask, Subject{Tenant, i, Cap}, "the cap of tenant %q is %d %s, and one task requests %d", t.Name, d.limit, d.name, d.one)
			}
		}
	}
	if !c.RequiresKeys || holders > 0 {
		return
	}
	for i := range c.Queues {
		if c.Queues[i].AllowAnonymous {
			return
		}
	}
	f.add(Error, NobodyAdmitted, Subject{Part: Tenant, Index: -1}, "callers need keys, and there is none: all requests are refused")
}

// CheckWave returns what is wrong with a wave.
func CheckWave(w *port.Wave, facts Facts) []Finding {
	var f findings
	at := func(field Field) Subject { return Subject{Part: Wave, Field: field} }
	switch {
	case w.MaxDown <= 0:
		f.add(Error, WaveWithoutBudget, at(MaxDown), "the wave may take down %d machines at a time: it never proceeds", w.MaxDown)
	case w.MaxDown > len(w.Machines):
		f.add(Warning, WaveAboveItself, at(MaxDown), "the wave may take down %d machines at a time and has %d", w.MaxDown, len(w.Machines))
	}
	if facts.Machines == nil {
		return f
	}
	pools, sizes, inWave := map[string]string{}, map[string]int{}, map[string]int{}
	var order []string
	for _, m := range facts.Machines {
		pools[m.ID] = m.Pool
		if sizes[m.Pool]++; sizes[m.Pool] == 1 {
			order = append(order, m.Pool)
		}
	}
	for _, id := range w.Machines {
		if pool, known := pools[id]; known {
			inWave[pool]++
		} else {
			f.add(Warning, UnknownMachine, at(Machines), "machine %q is not in the list of machines", id)
		}
	}
	for _, pool := range order {
		if inWave[pool] >= sizes[pool] && w.MaxDown >= sizes[pool] {
			f.add(Error, WaveAbovePool, at(MaxDown), "the wave may take down %d machines at a time, and pool %q has %d, all in the wave", w.MaxDown, pool, sizes[pool])
		}
	}
	return f
}
