package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log, in bytes; entries write far shorter ones.
const maxLineBytes = 1 << 20

// Event is a line of a log that belongs to a job's story.
type Event struct {
	Time    time.Time
	Entry   string
	Message string
	// Detail holds the other fields that say something.
	Detail string
	// pool and host are what the line is about; either may be empty.
	pool, host string
}

// Timeline gathers the lines that are about a job, and those that may explain them. Use
// [NewTimeline] to build it.
type Timeline struct {
	// SkippedLines counts lines that could not be read.
	SkippedLines int

	job string
	// jobEvents are the job's lines, contextEvents those about pools, hosts and the store.
	jobEvents, contextEvents []Event
}

// NewTimeline builds an empty trail of a job.
func NewTimeline(job string) *Timeline { return &Timeline{job: job} }

// contextMessages names the events that may explain what happened to a job: a change of its
// pool's owner, a loss of the store or of a host, and machines on the move.
var contextMessages = map[string]bool{
	"pool taken over": true, "pool given up": true, "a newer owner was seen": true, "pool has a newer owner": true,
	"store lost": true, "store regained": true, "host lost": true, "host regained": true, "host has ended": true,
	"machine to be moved": true, "machine to be emptied": true,
}

// omittedFields are fields that a row shows otherwise, or that say nothing about one job.
var omittedFields = map[string]bool{
	"time": true, "level": true, "msg": true, "entry": true, "zone": true, "job": true, "address": true, "topic": true,
}

// ReadLog takes in a log. Text before a line's first brace is passed over.
func (t *Timeline) ReadLog(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		if brace := bytes.IndexByte(line, '{'); brace >= 0 {
			t.addLine(line[brace:])
		} else if len(bytes.TrimSpace(line)) > 0 {
			t.SkippedLines++
		}
	}
	return lines.Err()
}

func (t *Timeline) addLine(line []byte) {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		t.SkippedLines++
		return
	}
	text := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		t.SkippedLines++
		return
	}
	e := Event{Time: at, Entry: text("entry"), Message: text("msg"), pool: text("pool"), host: text("host")}
	if e.pool == "" {
		// The holder of machines names the pool that a machine goes to.
		e.pool = text("to")
	}
	e.Detail = formatDetail(fields)
	switch {
	case text("job") == t.job, strings.HasPrefix(text("unit"), t.job+"."), strings.HasPrefix(text("step"), t.job+"."):
		t.jobEvents = append(t.jobEvents, e)
	case contextMessages[e.Message]:
		t.contextEvents = append(t.contextEvents, e)
	}
}

// formatDetail lists the fields of a line as name=value, in the order of their names.
func formatDetail(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; !omittedFields[name] && v != "" && v != nil {
			out = append(out, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(out, " ")
}

// Events returns the job's lines in the order of time, with what happened meanwhile to
// its pool, to the hosts that its tasks were ordered to, and to the store.
func (t *Timeline) Events() []Event {
	byTime := func(a, b Event) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.jobEvents, byTime)
	if len(t.jobEvents) == 0 {
		return nil
	}
	first, last := t.jobEvents[0].Time, t.jobEvents[len(t.jobEvents)-1].Time
	pools, hosts := map[string]bool{}, map[string]bool{}
	for _, e := range t.jobEvents {
		pools[e.pool], hosts[e.host] = true, true
	}
	out := slices.Clone(t.jobEvents)
	for _, e := range t.contextEvents {
		if e.Time.Before(first) || e.Time.After(last) {
			continue
		}
		if e.host != "" && strings.HasPrefix(e.Message, "host ") {
			if hosts[e.host] {
				out = append(out, e)
			}
			continue
		}
		if e.pool == "" || pools[e.pool] {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}
