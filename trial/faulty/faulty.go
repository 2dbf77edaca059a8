// Package faulty injects faults into a simulated service on demand: an outage, delays, or responses
// that are lost after the change has taken effect.
package faulty

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"carawaymux.dev/fleet/task"
)

// Path is the path of the control call that sets the faults.
const Path = "/control/faults"

// Faults are the faults of a simulated service.
type Faults struct {
	// Outage refuses every call with status 503.
	Outage bool `json:"outage"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// LoseAnswers is the number of next calls that make a change whose responses are lost after
	// the change has taken effect.
	LoseAnswers int `json:"lose-answers"`
}

// Injector holds and applies the faults of one service. Use [New] to build it.
type Injector struct{ task *task.Task[message] }

// message reads the faults, or sets them when set is not nil.
type message struct {
	set *Faults
	// mutates reports whether the call makes a change, so that its response may be lost.
	mutates bool
	reply   chan<- Faults
}

// New starts an injector without faults.
func New() *Injector {
	return &Injector{task: task.Start(func(ctx context.Context, inbox <-chan message) {
		var f Faults
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-inbox:
				if m.set != nil {
					f = *m.set
				}
				m.reply <- f
				if m.mutates && f.LoseAnswers > 0 && !f.Outage {
					f.LoseAnswers--
				}
			}
		}
	})}
}

// Close stops the injector.
func (b *Injector) Close() { b.task.Close() }

// Wrap applies the faults to the calls of a handler, except those below /control, and serves Path.
func (b *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, b.set)
	mux.Handle("/control/", next)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, next) })
	return mux
}

func (b *Injector) set(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = b.Set(r.Context(), f)
}

// Set replaces the faults.
func (b *Injector) Set(ctx context.Context, f Faults) error {
	_, err := task.Call(ctx, b.task, func(reply chan<- Faults) message { return message{set: &f, reply: reply} })
	return err
}

func (b *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	mutates := r.Method != http.MethodGet
	f, err := task.Call(r.Context(), b.task, func(reply chan<- Faults) message {
		return message{mutates: mutates, reply: reply}
	})
	if err != nil {
		return
	}
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	switch {
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case mutates && f.LoseAnswers > 0:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// WriteJSON writes a response as JSON, or status 503 with the error if err is not nil.
func WriteJSON(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
