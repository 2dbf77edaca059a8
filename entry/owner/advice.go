package owner

import (
	"context"
	"fmt"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

// adviceTimeout bounds one request to the policy service. The service answers the requests of
// this entry one at a time and takes some milliseconds for each host in a request.
const adviceTimeout = 3 * time.Second

// adviceResult is the outcome of one request to the policy service.
type adviceResult struct {
	question shard.Question
	approval port.Approval
	askedAt  time.Time
	err      error
}

// startAdvice starts the task that sends requests to the policy service.
func (c *core) startAdvice() {
	c.adviser = task.Start(func(ctx context.Context, inbox <-chan shard.Question) {
		for {
			select {
			case <-ctx.Done():
				return
			case q := <-inbox:
				askedAt := time.Now()
				callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
				a, err := c.deps.Adviser.Advise(callCtx, stepName(q.Step), q.Hosts)
				cancel()
				c.post(ctx, adviceResult{q, a, askedAt, err})
			}
		}
	}, task.WithInbox(1))
}

// stepName returns the name by which the policy service identifies a step.
func stepName(r batch.Ref) string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// askAdviser sends the most urgent request to the policy service, unless one is in flight.
func (c *core) askAdviser(now time.Time) {
	if c.adviceInFlight || !c.state.HasPolicyService {
		return
	}
	if q, ok := shard.NextQuestion(c.state, c.ranking(now), now); ok {
		c.adviceInFlight = c.adviser.TrySend(q)
	}
}

func (m adviceResult) handle(c *core) {
	c.adviceInFlight = false
	c.state.HandleAdvice(m.question, m.approval, m.err, m.askedAt)
	c.deps.Stats.Observe("advice", time.Since(m.askedAt), "pool", c.state.Pool)
	if m.err != nil {
		c.deps.Stats.Add("advice-failed", 1, "pool", c.state.Pool)
	}
	c.logger.Info("advice taken", "step", stepName(m.question.Step), "asked", len(m.question.Hosts),
		"approved", len(m.approval.Tickets), "took-ms", time.Since(m.askedAt).Milliseconds(), "err", errText(m.err))
}

// errText returns the text of an error for a log line. It is empty if there is no error.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
