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

// advised is the outcome of a question.
type advised struct {
	question shard.Question
	approval port.Approval
	put      time.Time
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
				put := time.Now()
				call, cancel := context.WithTimeout(ctx, adviceTimeout)
				a, err := c.deps.Adviser.Advise(call, stepName(q.Step), q.Hosts)
				cancel()
				c.post(ctx, advised{q, a, put, err})
			}
		}
	}, task.WithInbox(1))
}

// stepName is what the policy service calls a step.
func stepName(r batch.Ref) string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// ask puts the most urgent question, unless one is under way.
func (c *core) ask(now time.Time) {
	if c.asking || !c.state.HasPolicyService {
		return
	}
	if q, ok := shard.NextQuestion(c.state, shard.ByLoad{Overloaded: c.state.Overloaded}, now); ok {
		c.asking = c.adviser.TrySend(q)
	}
}

func (m advised) handle(c *core) {
	c.asking = false
	c.state.HandleAdvice(m.question, m.approval, m.err, m.put)
	c.deps.Stats.Observe("advice", time.Since(m.put), "pool", c.state.Pool)
	if m.err != nil {
		c.deps.Stats.Add("advice-failed", 1, "pool", c.state.Pool)
	}
	c.logger.Info("advice taken", "step", stepName(m.question.Step), "asked", len(m.question.Hosts),
		"approved", len(m.approval.Tickets), "took-ms", time.Since(m.put).Milliseconds(), "err", errText(m.err))
}

// errText is an error's text for a log line; empty for none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
