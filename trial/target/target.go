// Package target simulates a target: it runs requests in a limited number of slots. Tests can make
// it fail, hang, respond late, truncate its responses, announce that it leaves, or refuse
// connections.
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

// The modes. Fail responds with status 500, Hang sends no response, Late responds after an
// additional delay, Truncate sends half of the response and closes the connection, and Leaving
// refuses requests because the target is about to leave.
const (
	Normal   Mode = "normal"
	Fail     Mode = "fail"
	Hang     Mode = "hang"
	Late     Mode = "late"
	Truncate Mode = "short"
	Leaving  Mode = "leaving"
)

// lateDelay is the additional delay of a response in mode Late.
const lateDelay = 500 * time.Millisecond

// Behaviour is the body of a control call that changes how the target behaves.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// DownMS makes the target refuse connections for this time, as a reboot does.
	DownMS int `json:"down-ms,omitempty"`
}

// Stats counts the requests and connections of the target.
type Stats struct {
	// Runs counts the executions of each request ID.
	Runs map[string]int `json:"runs"`
	// Repeated names non-idempotent requests that ran more than once.
	Repeated []string `json:"repeated"`
	// PeakSlots and PeakConnections are the largest numbers in use at the same time.
	PeakSlots       int `json:"most-slots"`
	PeakConnections int `json:"most-connections"`
	// Refused counts the requests that were refused because all slots were in use.
	Refused int `json:"refused"`
	// LastStartMS is when the newest request started to run, in Unix milliseconds.
	LastStartMS int64 `json:"last-start"`
}

// Target is the simulated target. Use [New] to build it.
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

// WithRunTime sets how long requests of a kind run; the empty kind sets the default for kinds
// without a run time.
func WithRunTime(kind string, d time.Duration) Option {
	return func(t *Target) { t.runTime[kind] = d }
}

// defaultSlots is the number of slots when no option sets it.
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
	acquireSlot struct {
		id         string
		idempotent bool
		reply      chan<- slotReply
	}
	releaseSlot      struct{}
	connectionChange struct{ delta int }
	setMode          struct{ mode Mode }
	stats            struct{ reply chan<- Stats }
)

// slotReply is the reply to acquireSlot.
type slotReply struct {
	mode    Mode
	granted bool
}

// state is the state that the target's task owns.
type state struct {
	slots, inUse, connections int
	mode                      Mode
	stats                     Stats
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

func (m acquireSlot) handle(s *state) {
	if s.mode == Leaving || s.inUse >= s.slots {
		if s.mode != Leaving {
			s.stats.Refused++
		}
		m.reply <- slotReply{mode: s.mode}
		return
	}
	s.inUse++
	s.stats.PeakSlots = max(s.stats.PeakSlots, s.inUse)
	s.stats.Runs[m.id]++
	s.stats.LastStartMS = time.Now().UnixMilli()
	if !m.idempotent && s.stats.Runs[m.id] > 1 {
		s.stats.Repeated = append(s.stats.Repeated, m.id)
	}
	m.reply <- slotReply{mode: s.mode, granted: true}
}

func (releaseSlot) handle(s *state) { s.inUse-- }

func (m connectionChange) handle(s *state) {
	s.connections += m.delta
	s.stats.PeakConnections = max(s.stats.PeakConnections, s.connections)
}

func (m setMode) handle(s *state) { s.mode = m.mode }

func (m stats) handle(s *state) {
	out := s.stats
	out.Runs = maps.Clone(out.Runs)
	out.Repeated = append([]string{}, out.Repeated...)
	m.reply <- out
}

// Handler serves requests of entries. The control calls have a listener of their own.
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
	slot, err := task.Call(r.Context(), t.task, func(reply chan<- slotReply) message {
		return acquireSlot{id: id, idempotent: r.Header.Get(wire.HeaderIdempotent) == "true", reply: reply}
	})
	if err != nil {
		return
	}
	if !slot.granted {
		w.Header().Set(wire.HeaderOutcome, string(wire.NotRun))
		w.Header().Set("Caraway-Leaving", strconv.FormatBool(slot.mode == Leaving))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The request runs to its end when the caller has disconnected, as on a real target.
	defer func() { _ = t.task.Send(context.Background(), releaseSlot{}) }()
	t.work(r, slot.mode)
	w.Header().Set(wire.HeaderID, id)
	t.respond(w, slot.mode, body)
}

func (t *Target) work(r *http.Request, mode Mode) {
	switch mode {
	case Fail:
		return
	case Hang:
		<-r.Context().Done()
		return
	case Late:
		time.Sleep(lateDelay)
	}
	runTime, found := t.runTime[r.PathValue("kind")]
	if !found {
		runTime = t.runTime[""]
	}
	time.Sleep(runTime)
}

// respond sends the target's name and the body of the request.
func (t *Target) respond(w http.ResponseWriter, mode Mode, body []byte) {
	response := append([]byte(t.name+":"), body...)
	if mode == Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if mode == Truncate {
		_, _ = w.Write(response[:len(response)/2])
		// Without the flush, the first half would stay in the buffer and never be sent.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}

// Serve listens on an address until ctx is done. The control calls are served on another address,
// so that they reach a target that is down.
func (t *Target) Serve(ctx context.Context, address, control string) error {
	down := make(chan time.Duration)
	controlServer := &http.Server{Addr: control, Handler: t.controlHandler(down)}
	failed := make(chan error, 1)
	go func() { failed <- controlServer.ListenAndServe() }()
	defer controlServer.Close()
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
		case downtime := <-down:
			server.Close()
			<-served
			if !sleepUnlessDone(ctx, downtime) {
				return nil
			}
		}
	}
}

// sleepUnlessDone waits for a duration and returns false if ctx is done before.
func sleepUnlessDone(ctx context.Context, d time.Duration) bool {
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
		_ = t.task.Send(context.Background(), connectionChange{1})
	case http.StateClosed, http.StateHijacked:
		_ = t.task.Send(context.Background(), connectionChange{-1})
	}
}

func (t *Target) controlHandler(down chan<- time.Duration) http.Handler {
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
