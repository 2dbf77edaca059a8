// Package host defines hosts: what they can hold, which pool they belong to and
// the life that leads them through maintenance, moves and failures.
package host

import (
	"fmt"
	"net"

	"carawaymux.dev/fleet/record"
)

// Limits on a host's fields.
const (
	// MaxCores is the largest number of processor cores of one host.
	MaxCores = 4096
	// MaxMemoryMiB is the largest memory of one host, in MiB.
	MaxMemoryMiB = 64 << 20
	// MaxAccelerators is the largest number of accelerators of one host.
	MaxAccelerators = 64
	// MaxSlots is the largest number of request slots of one host.
	MaxSlots = 1024
	// MaxConnections is the largest number of connections to one host.
	MaxConnections = 65_536
	// MaxHistory is how many steps a host remembers.
	MaxHistory = 8
)

// Resources is an amount of what a host can hold, or of what a task needs.
type Resources struct {
	// Cores is a number of processor cores.
	Cores int64 `json:"cores"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `json:"memory-mib"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of two sizes.
func (s Resources) Add(o Resources) Resources {
	return Resources{s.Cores + o.Cores, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns s less o.
func (s Resources) Sub(o Resources) Resources {
	return Resources{s.Cores - o.Cores, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// Shortfall returns the first dimension in which s is less than need, or "".
func (s Resources) Shortfall(need Resources) string {
	switch {
	case s.Cores < need.Cores:
		return "cores"
	case s.MemoryMiB < need.MemoryMiB:
		return "memory-mib"
	case s.Accelerators < need.Accelerators:
		return "accelerators"
	}
	return ""
}

// Spec is a host as operators publish it. The record's object is the host's name.
type Spec struct {
	// Pool is the pool that a new host joins. A host that exists changes its
	// pool by a move only.
	Pool string `json:"pool"`
	// Zone is the availability zone; it never changes.
	Zone string `json:"zone"`
	// Rack is the failure domain inside the zone.
	Rack string `json:"rack"`
	// Address is where the target listens, as ip:port.
	Address string `json:"address"`
	// Size is what tasks on the host may hold in all.
	Size Resources `json:"size"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
}

// Kind returns [record.KindHost].
func (Spec) Kind() record.Kind { return record.KindHost }

// Check reports faults in the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckName("pool", s.Pool)
	p.CheckName("zone", s.Zone)
	p.CheckName("rack", s.Rack)
	if ap, _, err := net.SplitHostPort(s.Address); err != nil || net.ParseIP(ap) == nil {
		p.Add("address", fmt.Sprintf("%q", s.Address), "an IP number and a port, as in 10.0.0.1:8080")
	}
	p.CheckRange("size.cores", s.Size.Cores, 1, MaxCores)
	p.CheckRange("size.memory-mib", s.Size.MemoryMiB, 1, MaxMemoryMiB)
	p.CheckRange("size.accelerators", s.Size.Accelerators, 0, MaxAccelerators)
	p.CheckRange("slots", int64(s.Slots), 1, MaxSlots)
	p.CheckRange("connections", int64(s.Connections), int64(s.Slots), MaxConnections)
	return p
}

// Move asks for a host to be given to another pool. The record's object is the
// host's name and its base the host's version.
type Move struct {
	// To is the pool that the host shall belong to.
	To string `json:"to"`
	// Loan leaves the host's home as it is, so that it is given back.
	Loan bool `json:"loan,omitempty"`
}

// Kind returns [record.KindMove].
func (Move) Kind() record.Kind { return record.KindMove }

// Check reports faults in the fields.
func (m Move) Check() record.Problems {
	var p record.Problems
	p.CheckName("to", m.To)
	return p
}

// Change is a step in the lives of one or more hosts, proposed by the planner.
// It takes effect on all of them or on none.
type Change struct {
	// Event is the step.
	Event Event `json:"event"`
	// Hosts names the hosts, each once.
	Hosts []string `json:"hosts"`
	// Wave is the maintenance wave that a cordon belongs to; empty otherwise.
	Wave string `json:"wave,omitempty"`
	// Barrier is the log offset that every entry had acknowledged when a host
	// was drained.
	Barrier uint64 `json:"barrier,omitempty"`
}

// Kind returns [record.KindHostChange].
func (Change) Kind() record.Kind { return record.KindHostChange }

// Check reports faults in the fields.
func (c Change) Check() record.Problems {
	var p record.Problems
	if !c.Event.IsTransition() {
		p.Add("event", fmt.Sprintf("%q", c.Event), "a known event")
	}
	p.CheckRange("hosts", int64(len(c.Hosts)), 1, record.MaxBatch)
	seen := make(map[string]bool, len(c.Hosts))
	for _, h := range c.Hosts {
		p.CheckName("hosts", h)
		if seen[h] {
			p.Add("hosts", h, "named once")
		}
		seen[h] = true
	}
	return p
}

// HistoryEntry is one remembered change of a host.
type HistoryEntry struct {
	// Offset is the offset of the record that made the change.
	Offset uint64 `json:"offset"`
	// At is the author's clock in Unix milliseconds.
	At int64 `json:"at"`
	// Author proposed the change.
	Author string `json:"author"`
	// Event is what happened.
	Event Event `json:"event"`
	// Rule is the rule that decided.
	Rule string `json:"rule,omitempty"`
	// Figures are the inputs that the rule decided on.
	Figures string `json:"figures,omitempty"`
}

// Host is a host in force.
type Host struct {
	// Spec is what operators published; Spec.Pool is the pool that the host
	// belongs to at this moment.
	Spec Spec `json:"spec"`
	// Version is the offset of the last accepted change, plus one.
	Version uint64 `json:"version"`
	// Phase is the present phase of the host's life.
	Phase Phase `json:"phase"`
	// Wave is the wave for which the host is out of service; empty otherwise.
	Wave string `json:"wave,omitempty"`
	// HomePool is the pool that the host was published for or moved to for good. It
	// differs from Spec.Pool while the host is on loan.
	HomePool string `json:"home"`
	// MoveTo is the pool that the host is on its way to; empty otherwise.
	MoveTo string `json:"move-to,omitempty"`
	// Loan says that the move under way is a loan.
	Loan bool `json:"loan,omitempty"`
	// CordonVersion is the version at which the host was last cordoned.
	CordonVersion uint64 `json:"cordon,omitempty"`
	// RebootVersion is the version at which the last reboot was decided. The platform
	// gets it as a fence, so that a repeated call reboots once.
	RebootVersion uint64 `json:"boot,omitempty"`
	// History holds the last steps, oldest first, MaxHistory at most.
	History []HistoryEntry `json:"history,omitempty"`
}

// AppendHistory appends a step and forgets the oldest past [MaxHistory].
func (h *Host) AppendHistory(s HistoryEntry) {
	h.History = append(h.History, s)
	if over := len(h.History) - MaxHistory; over > 0 {
		h.History = append([]HistoryEntry(nil), h.History[over:]...)
	}
}
