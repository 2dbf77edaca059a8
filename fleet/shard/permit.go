package shard

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

const (
	// hostsPerQuestion is the number of hosts that one question names. The objective of a step
	// leaves time for one question about 30 hosts.
	hostsPerQuestion = 30
	// questionInterval is the least time between two questions about a step.
	questionInterval = 300 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket for a start that is sent now.
	ticketMargin = 300 * time.Millisecond
)

// Question asks the policy service which of some hosts may run a step.
type Question struct {
	// Step names the step. Its Index is 0.
	Step  batch.Ref
	Hosts []string
}

// Ticket permits a host to run the tasks of a step.
type Ticket struct {
	Value string
	// Instance is the instance of the host for which the ticket is valid. ExpiresAt is when it
	// expires.
	Instance  int64
	ExpiresAt time.Time
}

// permit holds the answers of the policy service about a step.
type permit struct {
	// asking reports whether a question awaits its answer. instances holds the instances of the
	// hosts that the latest question names, and askedAt is when it was asked.
	asking    bool
	instances map[string]int64
	askedAt   time.Time
	// denied holds the hosts that may not run the step, with their instances. A denial is final
	// for an instance.
	denied  map[string]int64
	tickets map[string]Ticket
}

// valid reports whether a host has a ticket with which it may run the step now.
func (p *permit) valid(h *Host, now time.Time) bool {
	t, ok := p.tickets[h.ID]
	return ok && t.Instance == h.Instance && now.Add(ticketMargin).Before(t.ExpiresAt)
}

// denies reports whether a host may not run the step.
func (p *permit) denies(h *Host) bool {
	if p == nil {
		return false
	}
	instance, denied := p.denied[h.ID]
	return denied && instance == h.Instance
}

// stepRef returns the reference of the step of a task.
func stepRef(r batch.Ref) batch.Ref {
	r.Index = 0
	return r
}

// needsTicket reports whether hosts need a ticket for the work of a queue.
func (s *State) needsTicket(queue string) bool {
	return s.HasPolicyService && s.Queues[queue].Advice != nil
}

// permitFilter returns a filter for the hosts that may run a step, or nil when all may.
func (s *State) permitFilter(r batch.Ref, now time.Time) func(*Host) bool {
	j := s.Jobs[r.Job]
	if j == nil || !s.needsTicket(j.Spec.Queue) {
		return nil
	}
	p := s.permits[stepRef(r)]
	return func(h *Host) bool { return p != nil && p.valid(h, now) }
}

// mayHaveTicket reports whether some host may have a ticket for a step, if hosts need one.
func (s *State) mayHaveTicket(w *waitingStep) bool {
	if !w.queue.needsTicket {
		return true
	}
	p := s.permits[w.ref()]
	return p != nil && len(p.tickets) > 0
}

// ticket returns the ticket that the start of a task on a host carries. It is empty when none is
// needed.
func (s *State) ticket(r batch.Ref, host string) string {
	if p := s.permits[stepRef(r)]; p != nil {
		return p.tickets[host].Value
	}
	return ""
}

// NextQuestion returns the question for the highest-ranked step that has one, if the policy
// service has to be asked. The outcome of each question has to be passed to [State.HandleAdvice].
func NextQuestion[R Ranking](s *State, ranking R, now time.Time) (Question, bool) {
	if !s.HasPolicyService || !s.needsAdvice {
		return Question{}, false
	}
	ranked := newRanked(s, ranking, now, s.priorHosts(now), func(w *waitingStep) bool {
		return w.queue.needsTicket && s.permits[w.ref()].mayAsk(now)
	})
	defer ranked.release()
	var hosts candidates
	lastResorts := sync.OnceValue(func() candidates { return s.lastResorts(lastingWork, now) })
	for w := ranked.pop(); w != nil; w = ranked.pop() {
		if hosts == nil {
			hosts = s.candidates(now)
		}
		if q, ok := s.questionFor(w, hosts, now); ok {
			return q, true
		}
		if w.step.LongRunning && !w.step.Gang {
			if q, ok := s.questionFor(w, lastResorts(), now); ok {
				return q, true
			}
		}
	}
	return Question{}, false
}

// mayAsk reports whether a question about the step may be asked now.
func (p *permit) mayAsk(now time.Time) bool {
	return p == nil || (!p.asking && now.Sub(p.askedAt) >= questionInterval)
}

// questionFor asks about the hosts with the most free capacity among those without a valid ticket
// or a denial.
func (s *State) questionFor(w *waitingStep, hosts candidates, now time.Time) (Question, bool) {
	key := w.ref()
	p := s.permits[key]
	if p == nil {
		p = &permit{denied: map[string]int64{}, tickets: map[string]Ticket{}}
		s.permits[key] = p
	}
	var unknown candidates
	for _, c := range hosts {
		if p.denies(c.host) || p.valid(c.host, now) || !c.host.Capacity.Fits(w.need) {
			continue
		}
		if w.hasLabel(c.host) {
			unknown = append(unknown, c)
		}
	}
	if len(unknown) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(unknown, func(a, b *candidate) int { return cmp.Compare(b.free.MilliCores, a.free.MilliCores) })
	q := Question{Step: key}
	p.asking, p.askedAt, p.instances = true, now, map[string]int64{}
	for _, c := range unknown[:min(len(unknown), hostsPerQuestion)] {
		q.Hosts = append(q.Hosts, c.host.ID)
		p.instances[c.host.ID] = c.host.Instance
	}
	return q, true
}

// HandleAdvice processes the outcome of a question that was asked at time askedAt.
func (s *State) HandleAdvice(q Question, a port.Approval, err error, askedAt time.Time) {
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
			p.denied[id] = p.instances[id]
			continue
		}
		p.tickets[id] = Ticket{Value: value, Instance: p.instances[id], ExpiresAt: askedAt.Add(a.Validity)}
	}
}

// dropPermits drops the answers about the steps of a job that has ended.
func (s *State) dropPermits(j *Job) {
	if len(s.permits) == 0 {
		return
	}
	for oi := range j.Occurrences {
		for si := range j.Occurrences[oi].Stages {
			delete(s.permits, batch.Ref{Job: j.ID, Occurrence: oi, Step: si})
		}
	}
}
