// Package host defines hosts: their resources, the pool that they belong to, and the lifecycle that
// covers maintenance, moves and failures.
package host

import (
	"fmt"
	"net"

	"carawaymux.dev/fleet/record"
)

// Limits on a host's fields.
const (
	// MaxCores is the maximum number of processor cores of one host.
	MaxCores = 4096
	// MaxMemoryMiB is the maximum memory of one host, in MiB.
	MaxMemoryMiB = 64 << 20
	// MaxAccelerators is the maximum number of accelerators of one host.
	MaxAccelerators = 64
	// MaxSlots is the maximum number of request slots of one host.
	MaxSlots = 1024
	// MaxConnections is the maximum number of connections to one host.
	MaxConnections = 65_536
	// MaxHistory is the maximum number of entries in the history of a host.
	MaxHistory = 8
)

// Resources is the capacity of a host or the demand of a task.
type Resources struct {
	// Cores is the number of processor cores.
	Cores int64 `json:"cores"`
	// MemoryMiB is the memory in MiB.
	MemoryMiB int64 `json:"memory-mib"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of s and o.
func (s Resources) Add(o Resources) Resources {
	return Resources{s.Cores + o.Cores, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o.
func (s Resources) Sub(o Resources) Resources {
	return Resources{s.Cores - o.Cores, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// Shortfall returns the first dimension in which s is less than need, or "" if s covers need.
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

// Spec is the specification of a host, as published by an operator. The record's Object field names
// the host.
type Spec struct {
	// Pool is the pool that a new host joins. An existing host changes its pool only by a move.
	Pool string `json:"pool"`
	// Zone is the availability zone. It cannot be changed.
	Zone string `json:"zone"`
	// Rack is the failure domain within the zone.
	Rack string `json:"rack"`
	// Address is the address that the target listens on, as ip:port.
	Address string `json:"address"`
	// Size is the total of the resources that tasks on the host may use.
	Size Resources `json:"size"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the target accepts.
	Connections int `json:"connections"`
}

// Kind returns [record.KindHost].
func (Spec) Kind() record.Kind { return record.KindHost }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckName("pool", s.Pool)
	p.CheckName("zone", s.Zone)
	p.CheckName("rack", s.Rack)
	if ip, _, err := net.SplitHostPort(s.Address); err != nil || net.ParseIP(ip) == nil {
		p.Add("address", fmt.Sprintf("%q", s.Address), "an IP number and a port, as in 10.0.0.1:8080")
	}
	p.CheckRange("size.cores", s.Size.Cores, 1, MaxCores)
	p.CheckRange("size.memory-mib", s.Size.MemoryMiB, 1, MaxMemoryMiB)
	p.CheckRange("size.accelerators", s.Size.Accelerators, 0, MaxAccelerators)
	p.CheckRange("slots", int64(s.Slots), 1, MaxSlots)
	p.CheckRange("connections", int64(s.Connections), int64(s.Slots), MaxConnections)
	return p
}

// Move requests that a host be assigned to another pool. The record's Object field names the host,
// and its Base field is the host's version.
type Move struct {
	// To is the destination pool.
	To string `json:"to"`
	// Loan leaves the host's HomePool unchanged, so that the host is returned to it later.
	Loan bool `json:"loan,omitempty"`
}

// Kind returns [record.KindMove].
func (Move) Kind() record.Kind { return record.KindMove }

// Check validates the fields.
func (m Move) Check() record.Problems {
	var p record.Problems
	p.CheckName("to", m.To)
	return p
}

// Change applies an event to one or more hosts. The planner proposes it. It takes effect on all of
// the hosts or on none.
type Change struct {
	// Event is the event to apply.
	Event Event `json:"event"`
	// Hosts names the hosts, without duplicates.
	Hosts []string `json:"hosts"`
	// Wave is the maintenance wave that a cordon belongs to. It is empty otherwise.
	Wave string `json:"wave,omitempty"`
	// Barrier is the log offset that all entries of the host's zone had acknowledged when the host
	// was drained. Other events do not use it.
	Barrier uint64 `json:"barrier,omitempty"`
}

// Kind returns [record.KindHostChange].
func (Change) Kind() record.Kind { return record.KindHostChange }

// Check validates the fields.
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

// HistoryEntry records one change of a host.
type HistoryEntry struct {
	// Offset is the log offset of the record that made the change.
	Offset uint64 `json:"offset"`
	// At is the time of the change by its author's clock, in Unix milliseconds.
	At int64 `json:"at"`
	// Author is the operator or instance that proposed the change.
	Author string `json:"author"`
	// Event is what happened.
	Event Event `json:"event"`
	// Rule is the rule that led to the change.
	Rule string `json:"rule,omitempty"`
	// Figures are the values that the rule evaluated.
	Figures string `json:"figures,omitempty"`
}

// Host is the state of a host.
type Host struct {
	// Spec is the published specification, but Spec.Pool is the pool that the host currently
	// belongs to.
	Spec Spec `json:"spec"`
	// Version is the offset of the last accepted change, plus one.
	Version uint64 `json:"version"`
	// Phase is the current phase.
	Phase Phase `json:"phase"`
	// Wave is the wave for which the host is out of service. It is empty otherwise.
	Wave string `json:"wave,omitempty"`
	// HomePool is the pool that the host was published in or permanently moved to. It differs from
	// Spec.Pool while the host is on loan.
	HomePool string `json:"home"`
	// MoveTo is the destination pool of a pending move. It is empty otherwise.
	MoveTo string `json:"move-to,omitempty"`
	// Loan is set if the pending move is a loan.
	Loan bool `json:"loan,omitempty"`
	// CordonVersion is the version at which the host was last cordoned.
	CordonVersion uint64 `json:"cordon,omitempty"`
	// RebootVersion is the version at which the last reboot was decided. It is passed to the
	// platform as a fence, so that repeated calls cause only one reboot.
	RebootVersion uint64 `json:"boot,omitempty"`
	// History holds up to [MaxHistory] of the latest changes, oldest first.
	History []HistoryEntry `json:"history,omitempty"`
}

// AppendHistory appends an entry and drops the oldest ones in excess of [MaxHistory].
func (h *Host) AppendHistory(e HistoryEntry) {
	h.History = append(h.History, e)
	if over := len(h.History) - MaxHistory; over > 0 {
		h.History = append([]HistoryEntry(nil), h.History[over:]...)
	}
}
