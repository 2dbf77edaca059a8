package soak

import (
	"context"
	"time"

	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/fake"
)

// Verb is what a caller asks for.
type Verb string

// The verbs.
const (
	Submit Verb = "submit"
	Look   Verb = "look"
	Cancel Verb = "cancel"
)

// Request is one request of a caller. All times of a history count from its start.
type Request struct {
	Job   string `json:"job"`
	Queue string `json:"queue"`
	Verb  Verb   `json:"verb"`
	Entry string `json:"entry"`
	// BeginAt is when the first byte was written.
	BeginAt time.Duration `json:"begin-ns"`
	// SentAt is when the last byte was written, EndAt when the answer was complete or the wait for it ended.
	SentAt time.Duration `json:"sent-ns"`
	EndAt  time.Duration `json:"end-ns"`
	// Status is 0 if there was no complete answer.
	Status int `json:"status"`
	// State is the state of the job in the answer to a look.
	State string `json:"state,omitempty"`
	// TimedOut means that the caller stopped waiting at its deadline.
	TimedOut bool `json:"timed-out,omitempty"`
	// Closing means that the answer before it on its connection had said that the entry closes the connection. An entry reads
	// no request after such an answer (RFC 9112, 9.6).
	Closing bool   `json:"closing,omitempty"`
	Error   string `json:"error,omitempty"`
	// Key is the key that the request had, and Tenant the tenant of the key.
	Key    string `json:"key,omitempty"`
	Tenant string `json:"tenant,omitempty"`
}

// Change is a change of the owner of a pool, as the new owner logged it.
type Change struct {
	Pool  string        `json:"pool"`
	Entry string        `json:"entry"`
	At    time.Duration `json:"at-ns"`
}

// Wave is a wave of maintenance as it was published.
type Wave struct {
	Number   int64    `json:"number"`
	Machines []string `json:"machines"`
	// Cap is the number of its machines that may be down for it at a time.
	Cap int `json:"cap"`
}

// WaveReport is a state of a wave that an entry has written for operators.
type WaveReport struct {
	Number int64         `json:"number"`
	State  string        `json:"state"`
	At     time.Duration `json:"at-ns"`
}

// HostEvent is an event on a host.
type HostEvent struct {
	fake.Event
	At time.Duration `json:"at-ns"`
}

// Job is what a caller wants done.
type Job struct {
	ID            string          `json:"id"`
	Queue         string          `json:"queue"`
	Pool          string          `json:"pool"`
	Specification string          `json:"specification"`
	Steps         []fake.StepSpec `json:"steps"`
	// Tenant is the tenant of its caller; empty for none.
	Tenant string `json:"tenant,omitempty"`
}

// Window is a fault as it was carried out, with its effects until all processes run again.
type Window struct {
	Kind   Kind          `json:"kind"`
	Target string        `json:"target,omitempty"`
	From   time.Duration `json:"from-ns"`
	To     time.Duration `json:"to-ns"`
}

// Probe is a readiness probe of an entry.
type Probe struct {
	Entry string        `json:"entry"`
	At    time.Duration `json:"at-ns"`
	Ready bool          `json:"ready"`
	// Error says why the entry counts as not ready.
	Error string `json:"error,omitempty"`
}

// Exit is the end of an entry's process.
type Exit struct {
	Entry string        `json:"entry"`
	At    time.Duration `json:"at-ns"`
	// Cause is the fault that ended the process; empty if it ended by itself.
	Cause Kind `json:"cause,omitempty"`
	// SignalAt is when it got the signal.
	SignalAt time.Duration `json:"signal-ns"`
	// Error is the result of the process; empty if it succeeded.
	Error string `json:"error,omitempty"`
	// Overdue means that it had not ended within the grace period and was killed.
	Overdue bool `json:"overdue,omitempty"`
}

// History is all that was seen in a run. The elements of each slice are in the order in which they were recorded.
type History struct {
	Jobs     []Job     `json:"jobs"`
	Requests []Request `json:"requests"`
	// Partial holds the requests whose last byte could not be written. Their SentAt is zero.
	Partial []Request `json:"partial"`
	// Foreign holds requests about jobs of other tenants and with keys that are not valid. Configs are the configurations with tenants.
	Foreign []Request      `json:"foreign,omitempty"`
	Configs []TenantConfig `json:"configs,omitempty"`
	Changes []Change       `json:"changes"`
	Hosts   []HostEvent    `json:"hosts"`
	Windows []Window       `json:"windows"`
	Waves   []Wave         `json:"waves"`
	Reports []WaveReport   `json:"reports"`
	Probes  []Probe        `json:"probes"`
	Exits   []Exit         `json:"exits"`
	Memory  []Memory       `json:"memory"`
	// StandIn are the violations that the stand-in of the platform has seen. It judges some promises also beside
	// faults that excuse a breach, so that they are hints only.
	StandIn []string `json:"stand-in"`
	// Late is the longest time by which a timer of the soak was late. Processes that are as late do not show what the
	// system does.
	Late time.Duration `json:"late-ns"`
	// TrafficStart and TrafficEnd limit the time in which new jobs were due, End is the end of the history.
	TrafficStart time.Duration `json:"traffic-start-ns"`
	TrafficEnd   time.Duration `json:"traffic-end-ns"`
	End          time.Duration `json:"end-ns"`
}

// recorder is the task that owns the history of a run.
type recorder struct {
	startedAt time.Time
	task      *task.Task[func(*History)]
}

// recorderInbox is the capacity of the recorder's inbox, in messages.
const recorderInbox = 8192

func startRecorder(startedAt time.Time) *recorder {
	return &recorder{startedAt, task.Start(func(ctx context.Context, inbox <-chan func(*History)) {
		h := &History{}
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-inbox:
				f(h)
			}
		}
	}, task.WithInbox(recorderInbox))}
}

// now returns the time since the start of the history.
func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// add changes the history. It fails only once the recorder is closed.
func (r *recorder) add(f func(*History)) { _ = r.task.Send(context.Background(), f) }

// observe records an event on a host.
func (r *recorder) observe(e fake.Event) {
	r.add(func(h *History) { h.Hosts = append(h.Hosts, HostEvent{e, e.At.Sub(r.startedAt)}) })
}

// finish ends the history, closes the recorder and returns the history.
func (r *recorder) finish() (*History, error) {
	end := r.now()
	h, err := task.Call(context.Background(), r.task, func(reply chan<- *History) func(*History) {
		return func(h *History) {
			h.End = end
			reply <- h
		}
	})
	r.task.Close()
	return h, err
}

// timerInterval is the time between two looks at a timer.
const timerInterval = 20 * time.Millisecond

// watchTimers records by how much timers are late until ctx is done.
func (r *recorder) watchTimers(ctx context.Context) {
	for due := r.now() + timerInterval; sleep(ctx, timerInterval); due = r.now() + timerInterval {
		late := r.now() - due
		r.add(func(h *History) { h.Late = max(h.Late, late) })
	}
}
