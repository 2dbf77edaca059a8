package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/place"
)

// startGang orders the start of all members of a gang, or of none. It reports whether it has started
// the gang or reserved a host.
func (s *State) startGang(
	w *waitingStep, set hostSet, roomy candidates, permitted func(*Host) bool, limits *Limits, now time.Time,
) bool {
	step, stage, hosts := w.step, w.stage, set.hosts
	for i := range stage.Tasks {
		if stage.Tasks[i].Status != Idle || !s.mayStart(&stage.Tasks[i]) {
			return false
		}
	}
	if !w.demand.Tenant.admitsGang(step, len(stage.Tasks)) {
		w.deny()
		return false
	}
	var chosen []int
	if w.fitsOn(roomy) {
		chosen = s.placeGang(step, stage, hosts, s.lastAttemptFilter(w, &stage.Tasks[0], set, permitted, now))
	}
	if chosen == nil {
		return set.starvedFor == 0 && s.reserveHost(w, hosts)
	}
	var run int64
	checkpoint := ""
	for i := range stage.Tasks {
		run = max(run, s.nextRun(&stage.Tasks[i]))
		if stage.Tasks[i].Checkpoint != "" {
			checkpoint = stage.Tasks[i].Checkpoint
		}
	}
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		task.Checkpoint = checkpoint
		ref := w.ref()
		ref.Index = i
		s.startTask(w.job, ref, stage, task, hosts[chosen[i]], run, limits, now)
	}
	return true
}

// placeGang chooses a host for each member, on one rack if the step asks for it and it is
// possible. Hosts on which members last failed are chosen only if the members do not all fit without them. It returns nil
// when the members do not all fit.
func (s *State) placeGang(step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool) []int {
	avoided := map[string]bool{}
	for i := range stage.Tasks {
		if id := stage.Tasks[i].AvoidHost; id != "" {
			avoided[id] = true
		}
	}
	if len(avoided) > 0 {
		chosen := s.placeOnRacks(step, stage, hosts, func(h *Host) bool { return !avoided[h.ID] && (permitted == nil || permitted(h)) })
		if chosen != nil {
			return chosen
		}
	}
	return s.placeOnRacks(step, stage, hosts, permitted)
}

// placeOnRacks chooses a host for each member, on one rack if the step asks for it and it is possible.
func (s *State) placeOnRacks(step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool) []int {
	if step.SameRack {
		racks := map[place.Rack]bool{}
		for k := range hosts {
			rack := hosts[k].host.rack()
			if !racks[rack] {
				racks[rack] = true
				if chosen := s.placeMembers(step, stage, hosts, permitted, &rack); chosen != nil {
					return chosen
				}
			}
		}
	}
	return s.placeMembers(step, stage, hosts, permitted, nil)
}

// placeMembers chooses a host for each member, on one rack if it is given.
func (s *State) placeMembers(
	step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool, rack *place.Rack,
) []int {
	free := make([]batch.Size, len(hosts))
	taken := make([]int, len(hosts))
	for k := range hosts {
		free[k] = hosts[k].free
	}
	need := step.Reservation()
	chosen := make([]int, 0, len(stage.Tasks))
	for range stage.Tasks {
		best := -1
		for k := range hosts {
			c := hosts[k]
			if c.reserved || c.isolated || !free[k].Fits(need) || (permitted != nil && !permitted(c.host)) || (rack != nil && c.host.rack() != *rack) ||
				(step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel)) ||
				(step.PerHost > 0 && taken[k] >= step.PerHost) {
				continue
			}
			if best < 0 || free[k].MilliCores < free[best].MilliCores {
				best = k
			}
		}
		if best < 0 {
			return nil
		}
		free[best] = free[best].Sub(need)
		taken[best]++
		chosen = append(chosen, best)
	}
	return chosen
}
