// Package vars publishes counters by expvar, one set for each entry.
package vars

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"

	"carawaymux.dev/fleet/wire"
)

// Set is the counters of one entry.
type Set struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	refused  *expvar.Map
}

// New builds an empty set.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), refused: new(expvar.Map).Init()}
	s.vars.Set("requests", s.outcomes)
	s.vars.Set("bad-input", s.refused)
	s.vars.Set("memory", expvar.Func(memory))
	s.vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	return s
}

// memory is what the process holds, in bytes.
func memory() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]uint64{"heap": m.HeapAlloc, "system": m.Sys, "collections": uint64(m.NumGC)}
}

// Func publishes a value that is computed when it is read.
func (s *Set) Func(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Request counts a request by its kind and outcome.
func (s *Set) Request(kind string, o wire.Outcome) { s.outcomes.Add(kind+"."+string(o), 1) }

// Outcome returns how many requests of a kind had an outcome.
func (s *Set) Outcome(kind string, o wire.Outcome) int64 {
	v, ok := s.outcomes.Get(kind + "." + string(o)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// BadInput counts an answer with a client's fault by its status.
func (s *Set) BadInput(status int) { s.refused.Add(fmt.Sprint(status), 1) }

// Handler serves the set as JSON.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, s.vars.String())
	})
}
