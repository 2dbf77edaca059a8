package shard

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

const (
	// askHosts is the number of hosts that one question names; the objective of a
	// step allows for one question about thirty.
	askHosts = 30
	// askAgain is the pause before the service is asked again about a step.
	askAgain = 300 * time.Millisecond
	// ticketMargin is how long a ticket has to hold yet for a start that is sent now.
	ticketMargin = 300 * time.Millisecond
)

// Question asks the policy service which of some hosts may run a step.
type Question struct {
	// Step names the step; its Index is 0.
	Step  batch.Ref
	Hosts []string
}

// Ticket lets a host run the tasks of a step.
type Ticket struct {
	Value string
	// Incarnation is the life of the host that it holds for, and Until when it runs out.
	Incarnation int64
	ExpiresAt   time.Time
}

// permit is what the policy service has said about a step.
type permit struct {
	// asking says that a question is under way, and lives holds the lives of the
	// hosts that it names; asked is when it was put.
	asking bool
	lives  map[string]int64
	asked  time.Time
	// denied holds the hosts that may not run the step, by life: that never changes.
	denied  map[string]int64
	tickets map[string]Ticket
}

// holds reports whether a host may run the step now.
func (p *permit) holds(h *Host, now time.Time) bool {
	t, ok := p.tickets[h.ID]
	return ok && t.Incarnation == h.Incarnation && now.Add(ticketMargin).Before(t.ExpiresAt)
}

// stepOf names the step of a task.
func stepOf(r batch.Ref) batch.Ref {
	r.Index = 0
	return r
}

// advised reports whether hosts need a ticket for a queue's work.
func (s *State) advised(queue string) bool {
	return s.HasPolicyService && s.Queues[queue].Advice != nil
}

// may returns which hosts may run a step; nil when all may.
func (s *State) may(r batch.Ref, now time.Time) func(*Host) bool {
	j := s.Jobs[r.Job]
	if j == nil || !s.advised(j.Spec.Queue) {
		return nil
	}
	p := s.permits[stepOf(r)]
	return func(h *Host) bool { return p != nil && p.holds(h, now) }
}

// ticket is what a start of a task on a host carries; empty when none is needed.
func (s *State) ticket(r batch.Ref, host string) string {
	if p := s.permits[stepOf(r)]; p != nil {
		return p.tickets[host].Value
	}
	return ""
}

// NextQuestion returns the question that is most urgent now, if the service has to be asked.
// The outcome of each question has to be handed to [State.HandleAdvice].
func NextQuestion[R Ranking](s *State, ranking R, now time.Time) (Question, bool) {
	if !s.HasPolicyService || !s.advice {
		return Question{}, false
	}
	var wanted []Demand
	for _, d := range s.demands(now) {
		if s.advised(d.Job.Spec.Queue) {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, func(a, b Demand) int { return ranking.Compare(&a, &b, now) })
	for i := range wanted {
		if q, ok := s.question(&wanted[i], now); ok {
			return q, true
		}
	}
	return Question{}, false
}

// question asks about the hosts with the most room of which it is not known whether
// they may run a step.
func (s *State) question(d *Demand, now time.Time) (Question, bool) {
	key := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}
	p := s.permits[key]
	if p == nil {
		p = &permit{denied: map[string]int64{}, tickets: map[string]Ticket{}}
		s.permits[key] = p
	}
	if p.asking || now.Sub(p.asked) < askAgain {
		return Question{}, false
	}
	step := &d.Job.Spec.Steps[d.Step]
	var open rooms
	for _, c := range s.room(now) {
		life, denied := p.denied[c.host.ID]
		if (denied && life == c.host.Incarnation) || p.holds(c.host, now) || !c.host.Capacity.Fits(step.Reservation()) {
			continue
		}
		if step.RequiredLabel == "" || HasLabel(&c.host.Host, step.RequiredLabel) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(open, func(a, b slot) int { return cmp.Compare(b.free.MilliCores, a.free.MilliCores) })
	q := Question{Step: key}
	p.asking, p.asked, p.lives = true, now, map[string]int64{}
	for _, c := range open[:min(len(open), askHosts)] {
		q.Hosts = append(q.Hosts, c.host.ID)
		p.lives[c.host.ID] = c.host.Incarnation
	}
	return q, true
}

// HandleAdvice takes in the outcome of a question that was put at a time.
func (s *State) HandleAdvice(q Question, a port.Approval, err error, put time.Time) {
	p := s.permits[q.Step]
	if p == nil {
		return
	}
	p.asking = false
	if err != nil {
		return
	}
	for _, id := range q.Hosts {
		value, ok := a.Tickets[id]
		if !ok {
			p.denied[id] = p.lives[id]
			continue
		}
		p.tickets[id] = Ticket{Value: value, Incarnation: p.lives[id], ExpiresAt: put.Add(a.Validity)}
	}
}

// dropPermits forgets what was said about the steps of a job that has ended.
func (s *State) dropPermits(j *Job) {
	if len(s.permits) == 0 {
		return
	}
	for t := range j.Occurrences {
		for g := range j.Occurrences[t].Stages {
			delete(s.permits, batch.Ref{Job: j.ID, Occurrence: t, Step: g})
		}
	}
}
