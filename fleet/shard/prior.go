package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// priorHosts holds the hosts that may know of inherited runs what this owner does not know yet.
type priorHosts struct {
	// unanswered hosts have not answered. Any inherited task may be running there.
	unanswered []*Host
	// unread hosts have not listed all ends of runs of earlier owners. Any inherited task that they could run may have
	// ended there.
	unread []*Host
}

// priorHosts returns the hosts whose lease has not expired and that may know more of inherited runs. A host that is not reached
// is in the result until its lease expires, and one that answers until it has listed its ends from before it saw the token
// of this owner.
func (s *State) priorHosts(now time.Time) priorHosts {
	var out priorHosts
	for _, h := range s.sortedHosts() {
		switch {
		case !s.isPrior(h, now):
		case !h.Confirmed:
			out.unanswered = append(out.unanswered, h)
		default:
			out.unread = append(out.unread, h)
		}
	}
	return out
}

// isPrior reports whether the host may know of inherited runs what this owner does not know yet.
func (s *State) isPrior(h *Host, now time.Time) bool {
	return h.Stored && (!h.Confirmed || h.isUnread()) && !s.leaseExpired(h, now)
}

// isUnread reports whether the host has answered, and has not listed all ends of runs of earlier owners. The ends of an instance
// that has ended will not be listed.
func (h *Host) isUnread() bool { return h.Confirmed && !h.EndsListed && h.EndedAt.IsZero() }

// expireEnds records that the lease of the host has expired. Ends from before do not count any more, even if the host lists them
// later.
func (h *Host) expireEnds() {
	h.endsExpired = h.endsExpired || !h.EndsListed
	h.EndsListed = true
}

// maxEndsRead is the number of ends that a host may list before it has listed all from before.
const maxEndsRead = 50_000

// isEndless reports whether the host keeps listing further ends. Its lease is not extended any more then, so that inherited
// work waits for it no longer than for a silent host.
func (h *Host) isEndless() bool { return h.isUnread() && h.EndsRead > maxEndsRead }

func (p priorHosts) empty() bool { return len(p.unanswered)+len(p.unread) == 0 }

// mayKnow returns a host that may know of a run, or of the end of a run, of inherited tasks with a label, or nil if there is
// none. Ends of long-running tasks make no difference: such tasks start again however they end, and hosts list all that runs
// in each answer.
func (p priorHosts) mayKnow(label string, longRunning bool) *Host {
	if len(p.unanswered) > 0 {
		return p.unanswered[0]
	}
	if longRunning {
		return nil
	}
	for _, h := range p.unread {
		if h.mayHaveRun(label) {
			return h
		}
	}
	return nil
}

// mayHaveRun reports whether an earlier owner may have started tasks with a label on the present instance of the host.
// Labels stay the same for an instance; what a record of another one says does not count.
func (h *Host) mayHaveRun(label string) bool {
	return h.Born == 0 || h.Born != h.Instance || labelAllows(h, label)
}

// waitsFor returns the host for which an inherited step has to wait, or nil.
func (w *waitingStep) waitsFor(prior priorHosts) *Host {
	if !w.inherited {
		return nil
	}
	return prior.mayKnow(w.step.RequiredLabel, w.step.LongRunning)
}

// startedSince reports whether an end is that of a run which this owner has ordered since the host answered it first. Hosts
// list ends in the order in which they came about, so all from before that answer are listed then. Long-running tasks are
// left out, since they may be started more often than run numbers are set aside for an owner.
func (s *State) startedSince(h *Host, e *port.FinishedRun) bool {
	ref, err := batch.ParseRef(e.Unit)
	if err != nil {
		return false
	}
	_, stage, task := s.task(ref)
	return stage != nil && task.Host == h.ID && task.Run == e.Run && e.Run > (s.Epoch-1)*runsPerEpoch &&
		task.OrderedAt.After(h.FirstAnswer) && !s.step(ref).LongRunning
}
