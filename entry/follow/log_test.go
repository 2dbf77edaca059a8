package follow_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

func claim(holder string) record.Body { return lease.Claim{Holder: holder, TermMS: 1000} }

// fakeLog is an in-memory implementation of the platform's log service.
type fakeLog struct {
	mu      sync.Mutex
	retain  int
	streams map[string][]plat.Record
	first   map[string]uint64
}

// logHandler serves a log that keeps the last retain records; 0 keeps all.
func logHandler(t *testing.T, retain int) http.Handler {
	l := &fakeLog{retain: retain, streams: make(map[string][]plat.Record), first: make(map[string]uint64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{s}/records", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		l.mu.Lock()
		defer l.mu.Unlock()
		s := r.PathValue("s")
		offset := l.bounds(s).Next
		l.streams[s] = append(l.streams[s], plat.Record{Offset: offset, Data: raw})
		if over := len(l.streams[s]) - l.retain; l.retain > 0 && over > 0 {
			l.streams[s] = l.streams[s][over:]
			l.first[s] += uint64(over)
		}
		_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset})
	})
	mux.HandleFunc("GET /streams/{s}", func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = json.NewEncoder(w).Encode(l.bounds(r.PathValue("s")))
	})
	mux.HandleFunc("GET /streams/{s}/records", func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		time.Sleep(5 * time.Millisecond)
		l.mu.Lock()
		defer l.mu.Unlock()
		b := l.bounds(r.PathValue("s"))
		if from < b.First {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		page := plat.Page{Bounds: b}
		if from < b.Next {
			page.Records = l.streams[r.PathValue("s")][from-b.First:]
		}
		_ = json.NewEncoder(w).Encode(page)
	})
	return mux
}

func (l *fakeLog) bounds(s string) plat.Bounds {
	return plat.Bounds{First: l.first[s], Next: l.first[s] + uint64(len(l.streams[s]))}
}
