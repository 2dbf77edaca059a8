package owner

import (
	"fmt"

	"carawaymux.dev/fleet/shard"
)

// maxLoggedRuns is the maximum number of runs in the log line of a crash. A host rarely has more.
const maxLoggedRuns = 32

// logCrashes logs the hosts that have crashed, with the runs that were on them.
func (c *core) logCrashes() {
	for _, crash := range c.state.TakeCrashes() {
		c.deps.Stats.Add("hosts-crashed", 1, "pool", c.state.Pool)
		c.logger.Warn("host crashed", "host", crash.Host, "units", len(crash.Runs), "runs", describeRuns(crash.Runs))
	}
}

// describeRuns returns a text for each of the first runs: the task, the number of the run, its age, and whether it
// is suspected or its task was given up.
func describeRuns(runs []shard.CrashedRun) []string {
	runs = runs[:min(len(runs), maxLoggedRuns)]
	out := make([]string, 0, len(runs))
	for _, r := range runs {
		text := fmt.Sprintf("%s run %d age-ms %d", r.Ref, r.Run, r.Age.Milliseconds())
		switch {
		case r.GivenUp:
			text += " given up"
		case r.Suspected:
			text += " suspected"
		}
		out = append(out, text)
	}
	return out
}
