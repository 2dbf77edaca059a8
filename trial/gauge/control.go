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
	// sampleDuration is how long a deployment is watched.
	sampleDuration = 6 * time.Second
	// changeInterval is the time between two changes where there are any: the rate
	// of the size to come, 8,400 a day.
	changeInterval = 10 * time.Second
	// fastChangeInterval is a hundred times that rate, so that a slope shows.
	fastChangeInterval = 100 * time.Millisecond
	// poolCount is the number of pools that hosts are spread over.
	poolCount = 172
	// propagationChanges is the number of changes that are followed to every entry.
	propagationChanges = 40
)

// controlBounds are what control may cost a node.
const (
	cpuBound            = 0.019
	memoryBound         = 32 << 20
	trafficBound        = 19 << 10
	worstPropagationMS  = 4000
	medianPropagationMS = 500
)

// usage is what a process has used.
type usage struct {
	cpu   time.Duration
	bytes int64
	rss   int64
}

// readUsage reads the kernel's figures of a process. The bytes are those that it read and
// wrote, which for an entry are its sockets and a little of its log.
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
	return 0, fmt.Errorf("%s: no %s", file, name)
}

// control measures what an entry costs without requests, by the number of entries, hosts
// and changes, and how soon a change is in force everywhere.
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

// appendFleet appends pools and hosts without targets.
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

// measureUsage measures the entries for a while, with changes or without.
func (h *harness) measureUsage(ctx context.Context, s *site.Site, hosts int, every time.Duration) error {
	time.Sleep(2 * time.Second) // What starting cost is not counted.
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
	note := fmt.Sprintf("%d entries in %d zones, %d hosts, %d pools, %.2f changes/s; the costliest entry", len(s.Entries), len(s.Plan.Zones), hosts, poolCount, float64(changes)/took)
	h.addRow(Row{"control", "processor", policy, worst.cpu.Seconds() / took, "cores", cpuBound, note})
	h.addRow(Row{"control", "traffic", policy, float64(worst.bytes) / took, "B/s", trafficBound, note})
	h.addRow(Row{"control", "memory", policy, float64(worst.rss) / (1 << 20), "MiB", memoryBound >> 20, note + "; resident, the program included"})
	if hosts == 2400 && every == 0 {
		return h.measurePropagation(ctx, s, note)
	}
	return nil
}

// measurePropagation follows changes from their append to every entry's requests.
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
