package soak

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"time"

	"carawaymux.dev/fleet/fault"
)

// Case is all that a run depends on, for runs that are repeated after schedules are drawn in another way.
type Case struct {
	// Cause says in one line why the run once failed; empty for others.
	Cause string `json:"cause,omitempty"`
	// Seed gives the load, the callers and the jobs.
	Seed    uint64  `json:"seed"`
	Minutes float64 `json:"minutes"`
	Entries int     `json:"entries"`
	Hosts   int     `json:"hosts"`
	// AppendTime is the time that the store takes for an append.
	AppendTime time.Duration `json:"append-ns"`
	Schedule   []Fault       `json:"schedule"`
	// Small is the value of Options.Small.
	Small int `json:"small,omitempty"`
	// Tenants is the value of Options.Tenants.
	Tenants bool `json:"tenants,omitempty"`
	// Mixed is the value of Options.Mixed.
	Mixed bool `json:"mixed,omitempty"`
}

// drawCase draws the case of a seed.
func drawCase(o *Options, seed uint64, kinds []Kind) Case {
	c := Case{
		Seed: seed, Minutes: o.Minutes, Entries: o.Entries, Hosts: o.Hosts, AppendTime: AppendTime(seed), Small: o.Small, Tenants: o.Tenants, Mixed: o.Mixed,
		Schedule: Plan(seed, trafficTime(o.Minutes), faultLayout(o.Entries, o.Hosts), kinds),
	}
	if o.Tenants {
		c.Schedule = append(c.Schedule, tenantFaults(c.traffic())...)
		slices.SortStableFunc(c.Schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	}
	return c
}

// readCase reads a case from a file.
func readCase(path string) (Case, error) {
	var c Case
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	return c, fault.At("read-case", path, err)
}

// traffic returns how long callers submit jobs.
func (c Case) traffic() time.Duration { return trafficTime(c.Minutes) }

func trafficTime(minutes float64) time.Duration { return time.Duration(minutes * float64(time.Minute)) }
