package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawaymux.dev/trial/load"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. The first three are planned work of operators and of the platform.
const (
	// Term stops an entry with SIGTERM and starts it again a while after its end.
	Term Kind = "term"
	// Reload sends SIGHUP to an entry.
	Reload Kind = "reload"
	// Queue removes a queue from the configuration and adds it again.
	Queue Kind = "queue"

	// Pause suspends an entry with SIGSTOP, and Kill ends it with SIGKILL and starts it again.
	Pause Kind = "pause"
	Kill  Kind = "kill"
	// StoreBusy makes the store refuse all calls, StoreSilent leaves them without an answer, StoreLossy
	// drops the answers to some appends, and StoreSlow delays all calls.
	StoreBusy   Kind = "store-busy"
	StoreSilent Kind = "store-silent"
	StoreLossy  Kind = "store-lossy"
	StoreSlow   Kind = "store-slow"
	// MachinesDown makes the machines API refuse all calls, and MachinesLossy drops the answers to orders.
	MachinesDown  Kind = "machines-down"
	MachinesLossy Kind = "machines-lossy"
	// HostCrash crashes a host, which is replaced by a new one under the same address.
	HostCrash Kind = "host-crash"
	// LinkDelay delays a link with jitter, LinkReset resets its connections, LinkCut drops what one
	// direction carries, LinkSilent what both carry, and LinkDrip passes on one byte at a time.
	LinkDelay  Kind = "link-delay"
	LinkReset  Kind = "link-reset"
	LinkCut    Kind = "link-cut"
	LinkSilent Kind = "link-silent"
	LinkDrip   Kind = "link-drip"

	// LinkLate delays what a link carries to its service by more than calls wait, so that calls are carried out that
	// nobody waits for any more.
	LinkLate Kind = "link-late"
	// StoreFull makes the store refuse appends for want of space, and StoreTrim deletes all its records except the newest
	// of each key.
	StoreFull Kind = "store-full"
	StoreTrim Kind = "store-trim"
	// The faults of peer links hit all connections from other entries to an entry, as those of links do.
	PeerDelay  Kind = "peer-delay"
	PeerReset  Kind = "peer-reset"
	PeerCut    Kind = "peer-cut"
	PeerSilent Kind = "peer-silent"
	PeerDrip   Kind = "peer-drip"
	// MaintenanceWave publishes a wave of maintenance. It is planned work too.
	MaintenanceWave Kind = "wave"
	// Roll restarts all entries one after the other, beside other series. It is planned work too.
	Roll Kind = "roll"
	// Hostile sends a crowd of clients to an entry that misuse their connections.
	Hostile Kind = "hostile-clients"
)

// linkFaults holds the faults of peer links, and which fault of a link each is.
var linkFaults = map[Kind]Kind{PeerDelay: LinkDelay, PeerReset: LinkReset, PeerCut: LinkCut, PeerSilent: LinkSilent, PeerDrip: LinkDrip}

var (
	plannedKinds   = []Kind{Term, Reload, Queue}
	unplannedKinds = []Kind{
		Pause, Kill, StoreBusy, StoreSilent, StoreLossy, StoreSlow, MachinesDown, MachinesLossy, HostCrash,
		LinkDelay, LinkReset, LinkCut, LinkSilent, LinkDrip,
	}
	// addedKinds are unplanned too, except waves and rolling restarts. Each has random numbers of its own, so that the other faults of a seed stay the same
	// when a kind is added at the end.
	addedKinds = []Kind{LinkLate, StoreFull, StoreTrim, PeerDelay, PeerReset, PeerCut, PeerSilent, PeerDrip, MaintenanceWave, Roll, Hostile}
)

// Kinds returns all kinds of faults.
func Kinds() []Kind { return slices.Concat(plannedKinds, unplannedKinds, addedKinds) }

// planned reports whether faults of the kind are planned work.
func (k Kind) planned() bool {
	return k == MaintenanceWave || k == Roll || k == Tenants || slices.Contains(plannedKinds, k)
}

// Fault is a fault that the schedule injects.
type Fault struct {
	Kind Kind `json:"kind"`
	// Target is the entry, machine, link or queue that the fault hits; empty for the store and the machines
	// API.
	Target string `json:"target,omitempty"`
	// At is when the fault begins, from the start of the traffic, and For how long it lasts. For stopped
	// and killed processes, For is the time between their end and their next start.
	At  time.Duration `json:"at-ns"`
	For time.Duration `json:"for-ns"`
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3fs  %-14s  %-24s  %.3fs", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

// Layout names what faults can hit.
type Layout struct {
	Entries  []string
	Machines []string
	// Links are the links that have a proxy.
	Links []string
}

const (
	// minRound and maxRound limit the time in which the faults of a series begin.
	minRound, maxRound = 6 * time.Second, 12 * time.Second
	// minRest and maxRest limit the pause between two series. Promises with time bounds are judged in it.
	minRest, maxRest = 4 * time.Second, 8 * time.Second
	// minFaults and maxFaults limit the number of unplanned faults of a series, beside a rolling restart.
	minFaults, maxFaults = 4, 12
	// minFault and maxFault limit the duration of a fault.
	minFault, maxFault = 200 * time.Millisecond, 5 * time.Second
	// minGap and maxGap limit the time between two stops of a rolling restart. Stops overlap at times.
	minGap, maxGap = 300 * time.Millisecond, 5 * time.Second
	// maxDowntime limits the time between the end of a process and its next start.
	maxDowntime = 2 * time.Second
	// plannedShare is the share of series that consist of planned work only, and rollShare the share of the
	// others that contain a rolling restart.
	plannedShare, rollShare = 0.4, 0.5
	// minRoll and maxRoll limit the time in which the restarts of a [Roll] begin, and rollDowntime is the time that each entry is down.
	minRoll, maxRoll = 2 * time.Second, 8 * time.Second
	rollDowntime     = 300 * time.Millisecond
	// addedShare is the share of series with unplanned faults that contain a fault of an added kind, for each kind.
	addedShare = 0.3
	// addedStream distinguishes the random numbers of the first added kind from others.
	addedStream = 1000
)

// planner draws a schedule.
type planner struct {
	random *rand.Rand
	layout Layout
	faults []Fault
}

// Plan draws the faults of a run from a seed, in the order of their beginnings. All begin before the end of the
// traffic.
func Plan(seed uint64, traffic time.Duration, layout Layout, kinds []Kind) []Fault {
	p := &planner{random: rand.New(rand.NewPCG(seed, 0)), layout: layout}
	var planned, unplanned, added []Kind
	for _, k := range kinds {
		switch {
		case slices.Contains(addedKinds, k):
			added = append(added, k)
		case k.planned():
			planned = append(planned, k)
		default:
			unplanned = append(unplanned, k)
		}
	}
	if len(unplanned) == 0 && (len(planned) == 0 || slices.ContainsFunc(added, func(k Kind) bool { return !k.planned() })) {
		unplanned, added = added, nil
	}
	others := map[Kind]*planner{}
	for _, k := range added {
		others[k] = &planner{random: rand.New(rand.NewPCG(seed, addedStream+uint64(slices.Index(addedKinds, k)))), layout: layout}
	}
	for at := p.between(minRest/2, minRest); at+minRound <= traffic; {
		end := min(at+p.between(minRound, maxRound), traffic)
		calm := len(unplanned) == 0 || (len(planned) > 0 && p.random.Float64() < plannedShare)
		if calm {
			p.addPlanned(at, end, planned)
		} else {
			for range minFaults + p.random.IntN(maxFaults-minFaults+1) {
				p.add(unplanned[p.random.IntN(len(unplanned))], p.between(at, end))
			}
			if len(planned) > 0 && p.random.Float64() < rollShare {
				p.addPlanned(at, end, planned)
			}
		}
		for _, k := range added {
			if o := others[k]; (k.planned() || !calm) && o.random.Float64() < addedShare {
				o.add(k, o.between(at, end))
			}
		}
		at = end + p.between(minRest, maxRest)
	}
	for _, k := range added {
		p.faults = append(p.faults, others[k].faults...)
	}
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p.faults
}

// addPlanned adds a series of planned work.
func (p *planner) addPlanned(from, to time.Duration, kinds []Kind) {
	for _, k := range kinds {
		switch k {
		case Term:
			at := from
			for _, i := range p.random.Perm(len(p.layout.Entries)) {
				if at >= to {
					break
				}
				p.faults = append(p.faults, Fault{Term, p.layout.Entries[i], at, p.between(0, maxDowntime)})
				at += p.between(minGap, maxGap)
			}
		default:
			p.add(k, p.between(from, to))
		}
	}
}

// add adds a fault of a kind with a random target and duration.
func (p *planner) add(k Kind, at time.Duration) {
	f := Fault{Kind: k, At: at, For: p.between(minFault, maxFault)}
	switch k {
	case Term, Kill:
		f.Target, f.For = p.pick(p.layout.Entries), p.between(0, maxDowntime)
	case Reload:
		f.Target, f.For = p.pick(p.layout.Entries), 0
	case StoreTrim, MaintenanceWave:
		f.For = 0
	case Roll:
		f.For = p.between(minRoll, maxRoll)
	case Pause, Hostile, PeerDelay, PeerReset, PeerCut, PeerSilent, PeerDrip:
		f.Target = p.pick(p.layout.Entries)
	case Queue:
		f.Target = extraQueue
	case HostCrash:
		f.Target = p.pick(p.layout.Machines)
	case LinkDelay, LinkReset, LinkCut, LinkSilent, LinkDrip, LinkLate:
		f.Target = p.pick(p.layout.Links)
	}
	p.faults = append(p.faults, f)
}

// expandRolls replaces each rolling restart by the stops of all entries.
func expandRolls(schedule []Fault, entries []string) []Fault {
	var out []Fault
	for _, f := range schedule {
		if f.Kind != Roll {
			out = append(out, f)
			continue
		}
		first := int(f.At.Milliseconds()) % len(entries)
		for i := range entries {
			at := f.At + f.For*time.Duration(i)/time.Duration(len(entries))
			out = append(out, Fault{Term, entries[(first+i)%len(entries)], at, rollDowntime})
		}
	}
	return out
}

func (p *planner) pick(names []string) string { return names[p.random.IntN(len(names))] }

// between draws a duration between two others, in whole milliseconds.
func (p *planner) between(low, high time.Duration) time.Duration {
	return (low + time.Duration(p.random.Float64()*float64(high-low))).Truncate(time.Millisecond)
}

const (
	// minSegment and maxSegment limit the time for which the load stays the same.
	minSegment, maxSegment = 2 * time.Second, 6 * time.Second
	// trafficStream distinguishes the random numbers of the load from those of the faults.
	trafficStream = 1
)

// appendTimes are the times that the store may take for each append throughout a run. Requests that take long are
// open when entries stop.
var appendTimes = []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond}

// appendStream distinguishes the random numbers of the store from others.
const appendStream = 100

// AppendTime draws the time of appends from a seed.
func AppendTime(seed uint64) time.Duration {
	return appendTimes[rand.New(rand.NewPCG(seed, appendStream)).IntN(len(appendTimes))]
}

// loadFactors are the loads of segments, as multiples of what the hosts can do. Their mean is below 1.
var loadFactors = []float64{0.1, 0.3, 0.3, 0.5, 0.5, 0.8, 1, 4}

// Traffic draws how the load of a pool changes over time. Base is the number of jobs a second that its hosts can
// do.
func Traffic(seed uint64, stream int, traffic time.Duration, base float64) load.Stream {
	random := rand.New(rand.NewPCG(seed, trafficStream+uint64(stream)))
	s := load.Stream{}
	for at := time.Duration(0); at < traffic; {
		end := min(at+minSegment+time.Duration(random.Int64N(int64(maxSegment-minSegment))), traffic)
		factor := loadFactors[random.IntN(len(loadFactors))]
		s.Bursts = append(s.Bursts, load.Burst{From: at, To: end, Rate: factor * base})
		at = end
	}
	return s
}
