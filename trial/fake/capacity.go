package fake

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// Capacity is the room of a host for tasks.
type Capacity struct {
	// Cores is processor capacity in thousandths of a core, MemoryMB memory in megabytes.
	Cores, MemoryMB int
}

// machineCapacity is the capacity of every machine, and of every host at its boot.
var machineCapacity = Capacity{Cores: 4000, MemoryMB: 16000}

// needOf returns what a task takes.
func (c *checker) needOf(task string) Capacity {
	if ref, err := batch.ParseRef(task); err == nil {
		if j := c.jobs[ref.Job]; j != nil && j.Small[ref.Step] {
			return Capacity{Cores: smallCores, MemoryMB: smallMemory}
		}
	}
	return Capacity{Cores: taskCores, MemoryMB: taskMemory}
}

// needWith returns what the runs of the host take together with one more task.
func (h *host) needWith(c *checker, task string) Capacity {
	sum := c.needOf(task)
	for _, r := range h.running {
		sum.Cores, sum.MemoryMB = sum.Cores+r.need.Cores, sum.MemoryMB+r.need.MemoryMB
	}
	return sum
}

// fits reports whether a need is within the capacity.
func (c Capacity) fits(need Capacity) bool {
	return need.Cores <= c.Cores && need.MemoryMB <= c.MemoryMB
}

// wire returns the capacity as records and lists contain it.
func (c Capacity) wire() map[string]int {
	return map[string]int{"cpu": c.Cores, "memory_request_mb": c.MemoryMB, "gpu": 0}
}

// formerCapacity is a capacity that a host had until a time.
type formerCapacity struct {
	Capacity
	until time.Time
}

// setCapacity changes the capacity of a host. Its runs continue, and its next record states the new
// capacity.
func (h *host) setCapacity(c Capacity, now time.Time) {
	h.formerCapacities = append(h.formerCapacities, formerCapacity{h.capacity, now})
	h.capacity = c
}

// contactTime is the time without faults after which entries have to keep to time bounds.
const contactTime = 3 * time.Second

// mayHold reports whether an entry may take a host to have room for a need: the host has it, or had
// it until so lately that the entry may not know better.
func (h *host) mayHold(need Capacity, now time.Time, heartbeat time.Duration) bool {
	if h.capacity.fits(need) {
		return true
	}
	for _, former := range h.formerCapacities {
		if former.fits(need) && now.Sub(former.until) <= contactTime+heartbeat {
			return true
		}
	}
	return false
}

// checkCapacity checks the start of a task on a host that accepts tasks beyond its capacity. Runs
// that are being stopped take their room until they have ended.
func (c *checker) checkCapacity(s *state, h *host, task string, now time.Time) {
	need := h.needWith(c, task)
	if s.unguardedPools[h.pool] && !h.mayHold(need, now, s.timing.HeartbeatInterval) {
		s.addViolation("task %s started on host %s, which then holds %+v and has a capacity of %+v", task, h.id, need, h.capacity)
	}
}

// SetCapacity changes the capacity of up to count hosts of a pool, in the order of their IDs.
func (fp *Platform) SetCapacity(pool string, count int, c Capacity) {
	fp.do(func(s *state) {
		for _, id := range sortedKeys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				h.setCapacity(c, time.Now())
			}
		}
	})
}
