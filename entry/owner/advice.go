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

// adviceTimeout bounds one question to the policy service, which answers the questions
// of this entry one by one and takes some milliseconds for each host.
const adviceTimeout = 3 * time.Second

// adviceResult is the outcome of a question.
type adviceResult struct {
	question shard.Question
	approval port.Approval
	askedAt  time.Time
	err      error
}

// startAdvice starts the lane that asks the policy service.
func (c *core) startAdvice() {
	c.adviser = task.Start(func(ctx context.Context, inbox <-chan shard.Question) {
		for {
			select {
			case <-ctx.Done():
				return
			case q := <-inbox:
				askedAt := time.Now()
				call, cancel := context.WithTimeout(ctx, adviceTimeout)
				a, err := c.deps.Adviser.Advise(call, stepName(q.Step), q.Hosts)
				cancel()
				c.post(ctx, adviceResult{q, a, askedAt, err})
			}
		}
	}, task.WithInbox(1))
}

// stepName is what the policy service calls a step.
func stepName(r batch.Ref) string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Turn, r.Step) }

// askAdviser puts the most urgent question, unless one is under way.
func (c *core) askAdviser(now time.Time) {
	if c.adviceInFlight || !c.state.Advises {
		return
	}
	if q, ok := shard.Ask(c.state, shard.ByPressure{Pressed: c.state.Pressed}, now); ok {
		c.adviceInFlight = c.adviser.TrySend(q)
	}
}

func (m adviceResult) handle(c *core) {
	c.adviceInFlight = false
	c.state.Advised(m.question, m.approval, m.err, m.askedAt)
	c.deps.Stats.Observe("advice", time.Since(m.askedAt), "pool", c.state.Pool)
	if m.err != nil {
		c.deps.Stats.Add("advice-failed", 1, "pool", c.state.Pool)
	}
	c.logger.Info("advice taken", "step", stepName(m.question.Step), "asked", len(m.question.Hosts),
		"approved", len(m.approval.Tickets), "took-ms", time.Since(m.askedAt).Milliseconds(), "err", errText(m.err))
}

// errText is an error's text for a log line; empty for none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
