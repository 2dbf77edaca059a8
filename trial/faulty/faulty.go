// Package faulty makes a stand-in misbehave on demand: be out of reach, be slow, or
// lose answers after the change has taken effect.
package faulty

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"carawaymux.dev/fleet/task"
)

// Path is where faults are switched.
const Path = "/control/faults"

// Faults says how a stand-in misbehaves.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// LoseAnswers is the number of further changes whose answers are lost after
	// the change has taken effect.
	LoseAnswers int `json:"lose-answers"`
}

// Injector holds the faults of one stand-in.
type Injector struct{ task *task.Task[message] }

// message reads the faults, or sets them when set is not nil.
type message struct {
	set *Faults
	// change says that the call makes a change, so that its answer may be lost.
	change bool
	reply  chan<- Faults
}

// New starts a box without faults.
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
				if m.change && f.LoseAnswers > 0 && !f.Outage {
					f.LoseAnswers--
				}
			}
		}
	})}
}

// Close stops the box.
func (b *Injector) Close() { b.task.Close() }

// Wrap puts the faults in front of a handler. Paths below /control are spared.
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
	_, _ = task.Call(r.Context(), b.task, func(reply chan<- Faults) message { return message{set: &f, reply: reply} })
}

func (b *Injector) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	change := r.Method != http.MethodGet
	f, err := task.Call(r.Context(), b.task, func(reply chan<- Faults) message {
		return message{change: change, reply: reply}
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
	case change && f.LoseAnswers > 0:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// WriteJSON writes a stand-in's answer as JSON, or status 503 with the error.
func WriteJSON(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
