package owner

import (
	"log/slog"
	"time"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/entry/stats"
)

const (
	// delayInterval is the time over which delays are summed up for one log line.
	delayInterval = time.Second
	// lateDelay is the delay from which an owner counts as late and says so in the log.
	lateDelay = 100 * time.Millisecond
)

// queued is a message in the owner's inbox with the time at which it was posted.
type queued struct {
	message
	postedAt time.Time
}

// Delays holds the longest delays of an owner over some time. Delays inside the entry tell a late
// owner from a late host or network.
type Delays struct {
	// Since is when the time began that the delays cover.
	Since time.Time
	// Messages and Rounds count the messages handled and the rounds of planning.
	Messages, Rounds int
	// Inbox is how long a message waited in the owner's inbox, and Round how long a round took.
	Inbox, Round time.Duration
	// OrderQueue is how long an order waited in the queue of its agent before it was sent.
	OrderQueue time.Duration
	// Call is how long a host took to answer an order, as seen by this entry.
	Call time.Duration
}

// late reports whether a delay inside this entry is long enough to be logged.
func (d *Delays) late() bool { return max(d.Inbox, d.Round, d.OrderQueue) >= lateDelay }

// delayMeter records the longest delays of each interval in the metrics, and logs them if the owner
// was late.
type delayMeter struct {
	Delays
	pool   string
	stats  *stats.Set
	logger *slog.Logger
	// scheduler measures how long goroutines wait for the processor.
	scheduler stats.Scheduler
}

func newDelayMeter(pool string, set *stats.Set, logger *slog.Logger, now time.Time) *delayMeter {
	return &delayMeter{Delays: Delays{Since: now}, pool: pool, stats: set, logger: logger}
}

// recordMessage records how long a message waited in the inbox.
func (m *delayMeter) recordMessage(wait time.Duration) {
	m.Messages++
	m.Inbox = max(m.Inbox, wait)
}

// recordRound records how long a round took that ended now.
func (m *delayMeter) recordRound(took time.Duration) {
	m.Rounds++
	m.Round = max(m.Round, took)
}

// recordOrder records the delays of an order.
func (m *delayMeter) recordOrder(r *agent.OrderResult) {
	m.OrderQueue = max(m.OrderQueue, r.Waited)
	m.Call = max(m.Call, r.Took)
}

// endInterval records and logs the delays if the interval is over.
func (m *delayMeter) endInterval(now time.Time) {
	if now.Sub(m.Since) < delayInterval {
		return
	}
	for name, delay := range map[string]time.Duration{
		"longest-inbox-wait": m.Inbox, "longest-round": m.Round, "longest-order-wait": m.OrderQueue, "longest-order-call": m.Call,
	} {
		m.stats.Observe(name, delay, "pool", m.pool)
	}
	if m.late() {
		m.logger.Warn("owner is late", "inbox-ms", m.Inbox.Milliseconds(), "round-ms", m.Round.Milliseconds(),
			"order-queue-ms", m.OrderQueue.Milliseconds(), "call-ms", m.Call.Milliseconds(),
			"processor-wait-ms", m.scheduler.Longest().Milliseconds(), "messages", m.Messages, "rounds", m.Rounds,
			"over-ms", now.Sub(m.Since).Milliseconds())
	}
	m.Delays = Delays{Since: now}
}
