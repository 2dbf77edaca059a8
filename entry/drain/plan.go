package drain

import "time"

const (
	// takeShare is the fraction of the grace period in which requests are taken. Load balancers need some
	// of it to notice that the entry is not ready.
	takeShare = 0.5
	// answerShare is the fraction after which the time of open requests ends. A request that is taken last
	// still has time for a few calls to an owner or the store.
	answerShare = 0.55
	// closeShare is the fraction after which connections are closed. An entry that is short of processor
	// time gets answers out a second late, and the process still has time to end.
	closeShare = 0.75
	// restShare is the fraction in which a request that has arrived in part may arrive as a whole, once the
	// others are answered, and in which requests are answered whose time has ended too late for closeShare.
	restShare = 0.05
)

// Plan divides the grace period of a stop. The first three fields are times since its start, in ascending
// order.
type Plan struct {
	// Take ends the time in which requests are taken. Later ones are refused.
	Take time.Duration
	// Answer ends the time of all open requests. They are answered then, whatever they wait for.
	Answer time.Duration
	// Close is when connections are closed at the latest, or Rest later if requests are open then.
	Close time.Duration
	// Rest is the time for a request that has arrived in part when the others are answered, and for answers that are not
	// complete at Close: a process that stood still has ended the time of its requests just then.
	Rest time.Duration
}

// NewPlan returns the plan for a grace period.
func NewPlan(grace time.Duration) Plan {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return Plan{Take: share(takeShare), Answer: share(answerShare), Close: share(closeShare), Rest: share(restShare)}
}
