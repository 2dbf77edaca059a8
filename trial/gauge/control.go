package gauge

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

const (
	// sampleDuration is the length of a measurement of CPU time and traffic.
	sampleDuration = 6 * time.Second
	// changeInterval is the time between two changes. It corresponds to 8,400 changes a
	// day, the rate expected at the planned size of the fleets.
	changeInterval = 10 * time.Second
	// fastChangeInterval gives a hundred times that rate, so that the cost of a change
	// is measurable.
	fastChangeInterval = 100 * time.Millisecond
	// poolCount is the number of pools over which the hosts are spread.
	poolCount = 172
	// propagationChanges is the number of changes whose propagation is timed.
	propagationChanges = 40
)

// Bounds on the cost of an entry without requests: CPU cores, bytes of memory, bytes a second
// of traffic, and the time until a change is in force on every entry.
const (
	cpuBound            = 0.019
	memoryBound         = 32 << 20
	trafficBound        = 19 << 10
	worstPropagationMS  = 4000
	medianPropagationMS = 500
)

// usage holds the resource usage of a process.
type usage struct {
	cpu   time.Duration
	bytes int64
	rss   int64
}

// readUsage reads the usage of a process from /proc. Its bytes are those read and written
// by system calls. For an entry these are almost all socket traffic; the log adds few.
func readUsage(pid int) (usage, error) {
	cpu, err := procs.CPUTime(pid)
	if err != nil {
		return usage{}, err
	}
	read, errRead := procField(pid, "io", "rchar:")
	written, errWritten := procField(pid, "io", "wchar:")
	rss, errRSS := procField(pid, "status", "VmRSS:")
	return usage{cpu: cpu, bytes: read + written, rss: rss << 10}, errors.Join(errRead, errWritten, errRSS)
}

// procField returns the value of a named line of a file in /proc/PID.
func procField(pid int, file, name string) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, found := strings.CutPrefix(line, name); found {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("/proc file %s has no line %s", file, name)
}

// control measures the cost of an entry without requests for several numbers of entries,
// hosts and changes, and the time until a change is in force on all entries.
func (h *harness) control(ctx context.Context, d deployment) error {
	if d.name != deployments[0].name {
		return nil
	}
	for _, c := range []struct {
		entries, hosts int
		every          time.Duration
	}{
		{1, 100, 0}, {2, 100, 0}, {4, 100, 0},
		{2, 600, 0}, {2, 1200, 0}, {2, 2400, 0},
		{2, 2400, changeInterval}, {2, 2400, fastChangeInterval},
	} {
		p := site.Plan{Zones: d.zones, EntriesPerZone: c.entries, Settings: map[string][]string{
			"log":      {"level = warn"},
			"platform": {"list-interval = 1s"},
			"planner":  {"tick = 500ms", "term = 6s", "snapshot-every = 512"},
		}}
		name := fmt.Sprintf("control-%d-%d-%d", c.entries, c.hosts, c.every/time.Millisecond)
		if err := h.withSite(ctx, name, p, func(s *site.Site) error {
			if err := appendFleet(ctx, s, c.hosts); err != nil {
				return err
			}
			return h.measureUsage(ctx, s, c.hosts, c.every)
		}); err != nil {
			return err
		}
	}
	return nil
}

// appendFleet appends the records of pools and of hosts that have no target processes.
func appendFleet(ctx context.Context, s *site.Site, hosts int) error {
	p := plat.New(s.LogURL, s.HostURL)
	defer p.Close()
	put := func(object string, body record.Body) error {
		raw, err := codec.EncodeRecord(client.NewRecord(site.Author, object, 0, body))
		if err != nil {
			return err
		}
		_, err = p.Append(ctx, plat.StreamMain, raw)
		return err
	}
	for i := range poolCount {
		name := fmt.Sprintf("p%03d", i)
		if err := errors.Join(
			put(name, budget.Spec{MaxUnavailable: 2}),
			put(name, pool.Spec{Budget: name, Kinds: []string{name}}),
		); err != nil {
			return err
		}
	}
	for i := range hosts {
		if err := put(fmt.Sprintf("h%04d", i), host.Spec{
			Pool: fmt.Sprintf("p%03d", i%poolCount), Zone: s.Plan.Zones[i%len(s.Plan.Zones)], Rack: fmt.Sprintf("r%d", i/16),
			Address: "127.0.0.1:9", Size: host.Resources{Cores: 16, MemoryMiB: 65536}, Slots: 8, Connections: 64,
		}); err != nil {
			return err
		}
	}
	bounds, err := p.Bounds(ctx, plat.StreamMain)
	if err != nil {
		return err
	}
	return s.WaitForOffset(ctx, bounds.Next)
}

// measureUsage measures the usage of all entries for a while, with a change at every
// interval, or without changes if it is 0, and reports the highest values.
func (h *harness) measureUsage(ctx context.Context, s *site.Site, hosts int, every time.Duration) error {
	time.Sleep(2 * time.Second) // Excludes the cost of the start.
	before := make([]usage, len(s.Entries))
	var err error
	for i, e := range s.Entries {
		if before[i], err = readUsage(e.Proc.PID()); err != nil {
			return err
		}
	}
	begin := time.Now()
	duration := sampleDuration
	if every == changeInterval {
		duration = 2*changeInterval + time.Second
	}
	changes := 0
	for time.Since(begin) < duration {
		if every == 0 {
			time.Sleep(duration)
			break
		}
		if _, err := s.Entries[0].Client.Publish(ctx, client.NewRecord(site.Author, fmt.Sprintf("extra-%d", changes), 0, budget.Spec{})); err != nil {
			return err
		}
		changes++
		time.Sleep(time.Until(begin.Add(time.Duration(changes) * every)))
	}
	took := time.Since(begin).Seconds()
	var worst usage
	for i, e := range s.Entries {
		after, err := readUsage(e.Proc.PID())
		if err != nil {
			return err
		}
		worst.cpu = max(worst.cpu, after.cpu-before[i].cpu)
		worst.bytes = max(worst.bytes, after.bytes-before[i].bytes)
		worst.rss = max(worst.rss, after.rss)
	}
	policy := fmt.Sprintf("%d-entries-a-zone", s.Plan.EntriesPerZone)
	note := fmt.Sprintf("%d entries in %d zones, %d hosts, %d pools, %.2f changes/s; highest value of all entries", len(s.Entries), len(s.Plan.Zones), hosts, poolCount, float64(changes)/took)
	h.addRow(Row{"control", "processor", policy, worst.cpu.Seconds() / took, "cores", cpuBound, note})
	h.addRow(Row{"control", "traffic", policy, float64(worst.bytes) / took, "B/s", trafficBound, note})
	h.addRow(Row{"control", "memory", policy, float64(worst.rss) / (1 << 20), "MiB", memoryBound >> 20, note + "; resident set, including the code of the program"})
	if hosts == 2400 && every == 0 {
		return h.measurePropagation(ctx, s, note)
	}
	return nil
}

// measurePropagation measures the time from the publication of a change until every entry
// has applied it.
func (h *harness) measurePropagation(ctx context.Context, s *site.Site, note string) error {
	var times []time.Duration
	for i := range propagationChanges {
		begin := time.Now()
		v, err := s.Entries[i%len(s.Entries)].Client.Publish(ctx, client.NewRecord(site.Author, fmt.Sprintf("follow-%d", i), 0, budget.Spec{}))
		if err != nil {
			return err
		}
		if err := s.WaitForOffset(ctx, record.Version(v.Offset)); err != nil {
			return err
		}
		times = append(times, time.Since(begin))
	}
	slices.Sort(times)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	h.addRow(Row{"control", "in-force-median", "long-poll", ms(times[len(times)/2]), "ms", medianPropagationMS, note})
	h.addRow(Row{"control", "in-force-worst", "long-poll", ms(times[len(times)-1]), "ms", worstPropagationMS, note})
	return nil
}
