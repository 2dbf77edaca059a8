// Package target is a stand-in for a target host: it runs requests on a bounded number
// of slots, and can fail, hang, answer late or cut its answer short.
package target

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/wire"
)

// Mode says how the target behaves.
type Mode string

// The modes.
const (
	Normal   Mode = "normal"
	Fail     Mode = "fail"
	Hang     Mode = "hang"
	Late     Mode = "late"
	Truncate Mode = "short"
	Leaving  Mode = "leaving"
)

// lateBy is the delay of a late answer.
const lateBy = 500 * time.Millisecond

// Behaviour is what can be switched while the target runs.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// DownMS makes the target refuse connections for a time, as a reboot does.
	DownMS int `json:"down-ms,omitempty"`
}

// Stats is what the target has seen.
type Stats struct {
	// Runs counts the executions of each request ID.
	Runs map[string]int `json:"runs"`
	// Repeated names non-idempotent requests that ran more than once.
	Repeated []string `json:"repeated"`
	// PeakSlots and MostConnections are the largest numbers in use at once.
	PeakSlots       int `json:"most-slots"`
	PeakConnections int `json:"most-connections"`
	// Refused counts requests refused for want of a slot.
	Refused int `json:"refused"`
	// LastStartMS is when the last request began to run, in Unix milliseconds.
	LastStartMS int64 `json:"last-start"`
}

// Target is the stand-in. Use [New] to build it.
type Target struct {
	name    string
	slots   int
	runTime map[string]time.Duration
	task    *task.Task[message]
}

// Option changes how a target is built.
type Option func(*Target)

// WithSlots sets the number of slots.
func WithSlots(n int) Option { return func(t *Target) { t.slots = n } }

// WithRunTime sets how long requests of a kind run; the empty kind stands for all
// that are not named.
func WithRunTime(kind string, d time.Duration) Option {
	return func(t *Target) { t.runTime[kind] = d }
}

// defaultSlots is the number of slots where no option sets it.
const defaultSlots = 8

// New starts a target.
func New(name string, opts ...Option) *Target {
	t := &Target{name: name, slots: defaultSlots, runTime: make(map[string]time.Duration)}
	for _, opt := range opts {
		opt(t)
	}
	t.task = task.Start(t.run, task.WithInbox(256))
	return t
}

// Close stops the target.
func (t *Target) Close() { t.task.Close() }

type message interface{ handle(s *state) }

type (
	begin struct {
		id         string
		idempotent bool
		reply      chan<- begun
	}
	end         struct{}
	connections struct{ change int }
	setMode     struct{ mode Mode }
	stats       struct{ reply chan<- Stats }
)

// begun answers a request for a slot.
type begun struct {
	mode Mode
	ok   bool
}

// state is the state of the task.
type state struct {
	slots, inUse, open int
	mode               Mode
	stats              Stats
}

func (t *Target) run(ctx context.Context, inbox <-chan message) {
	s := &state{slots: t.slots, mode: Normal, stats: Stats{Runs: make(map[string]int), Repeated: []string{}}}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(s)
		}
	}
}

func (m begin) handle(s *state) {
	if s.mode == Leaving || s.inUse >= s.slots {
		if s.mode != Leaving {
			s.stats.Refused++
		}
		m.reply <- begun{mode: s.mode}
		return
	}
	s.inUse++
	s.stats.PeakSlots = max(s.stats.PeakSlots, s.inUse)
	s.stats.Runs[m.id]++
	s.stats.LastStartMS = time.Now().UnixMilli()
	if !m.idempotent && s.stats.Runs[m.id] > 1 {
		s.stats.Repeated = append(s.stats.Repeated, m.id)
	}
	m.reply <- begun{mode: s.mode, ok: true}
}

func (end) handle(s *state) { s.inUse-- }

func (m connections) handle(s *state) {
	s.open += m.change
	s.stats.PeakConnections = max(s.stats.PeakConnections, s.open)
}

func (m setMode) handle(s *state) { s.mode = m.mode }

func (m stats) handle(s *state) {
	out := s.stats
	out.Runs = maps.Clone(out.Runs)
	out.Repeated = append([]string{}, out.Repeated...)
	m.reply <- out
}

// Handler serves requests, and nothing else.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{kind}", t.serve)
	return mux
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b, err := task.Call(r.Context(), t.task, func(reply chan<- begun) message {
		return begin{id: id, idempotent: r.Header.Get(wire.HeaderIdempotent) == "true", reply: reply}
	})
	if err != nil {
		return
	}
	if !b.ok {
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		w.Header().Set("Caraway-Leaving", strconv.FormatBool(b.mode == Leaving))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The work goes on when the caller has gone: that is what a real target does.
	defer func() { _ = t.task.Send(context.Background(), end{}) }()
	t.work(r, b.mode)
	w.Header().Set(wire.HeaderID, id)
	t.answer(w, b.mode, body)
}

func (t *Target) work(r *http.Request, mode Mode) {
	switch mode {
	case Fail:
		return
	case Hang:
		<-r.Context().Done()
		return
	case Late:
		time.Sleep(lateBy)
	}
	d, named := t.runTime[r.PathValue("kind")]
	if !named {
		d = t.runTime[""]
	}
	time.Sleep(d)
}

// answer gives the body back, after the target's name.
func (t *Target) answer(w http.ResponseWriter, mode Mode, body []byte) {
	out := append([]byte(t.name+":"), body...)
	if mode == Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if mode == Truncate {
		_, _ = w.Write(out[:len(out)/2])
		// Without this the half would never leave the buffer.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

// Serve listens on an address until ctx is done. Another address serves the control
// calls, so that a target which is down can still be switched.
func (t *Target) Serve(ctx context.Context, address, control string) error {
	down := make(chan time.Duration)
	controls := &http.Server{Addr: control, Handler: t.controls(down)}
	failed := make(chan error, 1)
	go func() { failed <- controls.ListenAndServe() }()
	defer controls.Close()
	for {
		server := &http.Server{Handler: t.Handler(), ConnState: t.countConnections}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		select {
		case <-ctx.Done():
			err := server.Close()
			<-served
			return err
		case err := <-failed:
			server.Close()
			return err
		case d := <-down:
			server.Close()
			<-served
			if !sleep(ctx, d) {
				return nil
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) countConnections(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		_ = t.task.Send(context.Background(), connections{1})
	case http.StateClosed, http.StateHijacked:
		_ = t.task.Send(context.Background(), connections{-1})
	}
}

func (t *Target) controls(down chan<- time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		s, err := task.Call(r.Context(), t.task, func(reply chan<- Stats) message { return stats{reply} })
		if err != nil {
			return
		}
		_ = json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("POST /behaviour", func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if b.Mode != "" {
			_ = t.task.Send(r.Context(), setMode{b.Mode})
		}
		if b.DownMS > 0 {
			select {
			case down <- time.Duration(b.DownMS) * time.Millisecond:
			case <-r.Context().Done():
			}
		}
	})
	return mux
}
