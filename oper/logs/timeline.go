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

// maxLineBytes limits the length of a log line. The lines of entries are far shorter. Reading fails
// at a longer line.
const maxLineBytes = 1 << 20

// Event is a log line in the timeline of a job.
type Event struct {
	Time    time.Time
	Entry   string
	Message string
	// Detail lists the remaining fields, except empty ones and omittedFields.
	Detail string
	// pool and host are the pool and the host that the line is about. Each may be empty.
	pool, host string
}

// Timeline collects the log lines about a job and the lines about its surroundings that may explain
// them. Use [NewTimeline] to create it.
type Timeline struct {
	// SkippedLines counts the lines that are not JSON objects with a valid time.
	SkippedLines int

	job string
	// jobEvents are the lines about the job, contextEvents those about any pool, any host or the
	// store.
	jobEvents, contextEvents []Event
}

// NewTimeline returns an empty timeline of the job with this ID.
func NewTimeline(job string) *Timeline { return &Timeline{job: job} }

// contextMessages are the messages of events that may explain what happened to a job: a change of
// the pool's owner, an owner that is late, work that waits, the loss or return of the store, the loss,
// return or end of a host, a host that inherited work waits for, and machines that are moved or emptied. They must
// equal the messages that the entries log.
var contextMessages = map[string]bool{
	"pool taken over": true, "pool given up": true, "a newer owner was seen": true, "pool has a newer owner": true,
	"store lost": true, "store regained": true, "host lost": true, "host regained": true, "host has ended": true,
	"machine to be moved": true, "machine to be emptied": true, "owner is late": true, "work waits": true,
	"inherited host unread": true,
}

// omittedFields are left out of [Event.Detail]: they have a column of their own or do not help to
// explain a single job.
var omittedFields = map[string]bool{
	"time": true, "level": true, "msg": true, "entry": true, "zone": true, "job": true, "address": true, "topic": true,
}

// ReadLog adds the lines of a log. Text before the first brace of a line, such as a prefix of the
// log collector, is ignored.
func (t *Timeline) ReadLog(r io.Reader) error { return scanLines(r, t.addLine, &t.SkippedLines) }

// scanLines passes the JSON part of each line to add, and counts the lines that add does not accept.
func scanLines(r io.Reader, add func([]byte) bool, skipped *int) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		if brace := bytes.IndexByte(line, '{'); brace >= 0 {
			*skipped += count(!add(line[brace:]))
		} else if len(bytes.TrimSpace(line)) > 0 {
			*skipped++
		}
	}
	return lines.Err()
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// addLine decodes a line and keeps it if it is about the job or is a context event. It reports whether it is a log line.
func (t *Timeline) addLine(line []byte) bool {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return false
	}
	text := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return false
	}
	e := Event{Time: at, Entry: text("entry"), Message: text("msg"), pool: text("pool"), host: text("host")}
	if e.pool == "" {
		// Events about machines name the destination pool in the field "to".
		e.pool = text("to")
	}
	e.Detail = formatDetail(fields)
	switch {
	case text("job") == t.job, strings.HasPrefix(text("unit"), t.job+"."), strings.HasPrefix(text("step"), t.job+"."):
		t.jobEvents = append(t.jobEvents, e)
	case contextMessages[e.Message]:
		t.contextEvents = append(t.contextEvents, e)
	}
	return true
}

// formatDetail formats the fields of a line as name=value, sorted by name.
func formatDetail(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; !omittedFields[name] && v != "" && v != nil {
			out = append(out, fmt.Sprintf("%s=%v", name, v))
		}
	}
	return strings.Join(out, " ")
}

// Events returns the lines about the job, sorted by time. Context events are included if they lie
// between the first and the last of these lines and concern the job's pool, a host that its tasks
// were ordered to, or the store.
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
