// Package vars publishes counters of an entry as expvar JSON: requests by kind and outcome, rejected
// input by HTTP status, and the memory of the process. It serves the entries that package daemon
// runs; package stats does so for those that platform/node runs.
package vars

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"

	"carawaymux.dev/fleet/wire"
)

// Set holds the counters of one entry. Use [New] to build it.
type Set struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	badInput *expvar.Map
	// withoutAccess counts requests that were refused for their key.
	withoutAccess *expvar.Map
}

// New returns an empty set.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), badInput: new(expvar.Map).Init(), withoutAccess: new(expvar.Map).Init()}
	s.vars.Set("requests", s.outcomes)
	s.vars.Set("bad-input", s.badInput)
	s.vars.Set("requests-without-access", s.withoutAccess)
	s.vars.Set("memory", expvar.Func(memoryStats))
	s.vars.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	return s
}

// memoryStats returns the heap in use and the memory obtained from the system, both in bytes, and the
// number of garbage collections.
func memoryStats() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]uint64{"heap": m.HeapAlloc, "system": m.Sys, "collections": uint64(m.NumGC)}
}

// Func publishes a value that is computed at each read.
func (s *Set) Func(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Request counts a request by its kind and outcome.
func (s *Set) Request(kind string, o wire.Outcome) { s.outcomes.Add(kind+"."+string(o), 1) }

// Outcome returns the number of requests of a kind with an outcome.
func (s *Set) Outcome(kind string, o wire.Outcome) int64 {
	v, ok := s.outcomes.Get(kind + "." + string(o)).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// BadInput counts an answer that rejects a client's input, by its HTTP status.
func (s *Set) BadInput(status int) { s.badInput.Add(fmt.Sprint(status), 1) }

// WithoutAccess counts a request that was refused for its key, by the verdict on it.
func (s *Set) WithoutAccess(verdict string) { s.withoutAccess.Add(verdict, 1) }

// Handler returns a handler that serves the set as JSON.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, s.vars.String())
	})
}
