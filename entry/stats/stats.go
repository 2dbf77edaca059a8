// Package stats keeps the counters and latency histograms of an entry and serves them as text. It
// serves the entries that platform/node runs; package vars does so for those that package daemon runs.
package stats

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaymux.dev/fleet/task"
)

const (
	// maxMicroseconds is the maximum duration of a histogram. Longer durations are recorded as this
	// one.
	maxMicroseconds = int64(60 * time.Second / time.Microsecond)
	// significantDigits is the precision of the values of a histogram.
	significantDigits = 2
	// inboxSize is the maximum number of observations that wait. Observations above it are not
	// counted.
	inboxSize = 1024
	// usualNameBytes is enough for most names with their labels.
	usualNameBytes = 128
	// renderTimeout bounds the wait for the values of the histograms.
	renderTimeout = time.Second
)

// Set holds the counters and histograms of one entry. Its methods may be called from any task. Add,
// Gauge and Observe do nothing on a nil set.
type Set struct {
	counts *expvar.Map
	task   *task.Task[message]
}

type message interface {
	handle(histograms map[string]*hdrhistogram.Histogram)
}

type observation struct {
	name     string
	duration time.Duration
}

type renderRequest struct{ reply chan<- []string }

// New starts an empty set. Its task owns the histograms.
func New() *Set {
	s := &Set{counts: new(expvar.Map).Init()}
	s.task = task.Start(func(ctx context.Context, inbox <-chan message) {
		histograms := map[string]*hdrhistogram.Histogram{}
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-inbox:
				m.handle(histograms)
			}
		}
	}, task.WithInbox(inboxSize))
	return s
}

// Close stops the set.
func (s *Set) Close() { s.task.Close() }

// Add adds n to a counter. Labels are pairs of name and value.
func (s *Set) Add(name string, n int64, labels ...string) {
	if s != nil {
		s.counts.Add(seriesName(name, labels), n)
	}
}

// Gauge sets a value that may rise and fall. Labels are pairs of name and value.
func (s *Set) Gauge(name string, n int64, labels ...string) {
	if s != nil {
		v := new(expvar.Int)
		v.Set(n)
		s.counts.Set(seriesName(name, labels), v)
	}
}

// Observe records a duration in a histogram. It drops the value if the inbox is full. Labels are
// pairs of name and value.
func (s *Set) Observe(name string, duration time.Duration, labels ...string) {
	if s != nil {
		s.task.TrySend(observation{seriesName(name, labels), duration})
	}
}

// seriesName returns a name with its labels, in the form name{label="value"}.
func seriesName(name string, labels []string) string {
	if len(labels) < 2 {
		return name
	}
	b := make([]byte, 0, usualNameBytes)
	b = append(b, name...)
	for i := 0; i+1 < len(labels); i += 2 {
		sep := byte(',')
		if i == 0 {
			sep = '{'
		}
		b = append(b, sep)
		b = append(b, labels[i]...)
		b = append(b, '=')
		b = strconv.AppendQuote(b, labels[i+1])
	}
	return string(append(b, '}'))
}

func (m observation) handle(histograms map[string]*hdrhistogram.Histogram) {
	if histograms[m.name] == nil {
		histograms[m.name] = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	// Values are clamped to the histogram's range, so recording cannot fail.
	_ = histograms[m.name].RecordValue(min(max(m.duration.Microseconds(), 1), maxMicroseconds))
}

func (m renderRequest) handle(histograms map[string]*hdrhistogram.Histogram) {
	var out []string
	for name, histogram := range histograms {
		base, labels := name, ""
		if i := strings.IndexByte(name, '{'); i >= 0 {
			base, labels = name[:i], name[i:]
		}
		out = append(out, fmt.Sprintf("%s-count%s %d", base, labels, histogram.TotalCount()))
		for _, q := range []float64{50, 99, 100} {
			ms := float64(histogram.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
			out = append(out, fmt.Sprintf("%s-p%.0f-ms%s %.2f", base, q, labels, ms))
		}
	}
	m.reply <- out
}

// Handler serves the set as text with one sorted line per value.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), renderTimeout)
		defer cancel()
		lines, err := task.Call(ctx, s.task, func(reply chan<- []string) message { return renderRequest{reply} })
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.counts.Do(func(v expvar.KeyValue) { lines = append(lines, v.Key+" "+v.Value.String()) })
		slices.Sort(lines)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		fmt.Fprintln(w, strings.Join(lines, "\n"))
	})
}
