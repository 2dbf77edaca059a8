// Package logsvc is a stand-in for the platform's log service: streams of records with
// offsets, long polls and limited retention.
package logsvc

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/faulty"
)

// maxWait is the longest long poll.
const maxWait = time.Minute

// Service is the stand-in. Use [New] to build it.
type Service struct {
	task   *task.Task[message]
	faults *faulty.Injector
	retain int
}

// Option changes how a service is built.
type Option func(*Service)

// WithRetention sets how many records a stream keeps; 0 keeps all.
func WithRetention(records int) Option { return func(s *Service) { s.retain = records } }

// New starts a service.
func New(opts ...Option) *Service {
	s := &Service{faults: faulty.New()}
	for _, opt := range opts {
		opt(s)
	}
	s.task = task.Start(s.run)
	return s
}

// Close stops the service.
func (s *Service) Close() {
	s.task.Close()
	s.faults.Close()
}

type message interface{ handle(st *state) }

type (
	appendTo struct {
		stream string
		data   []byte
		reply  chan<- uint64
	}
	bounds struct {
		stream string
		reply  chan<- plat.Bounds
	}
	read struct {
		stream string
		from   uint64
		limit  int
		// wait is closed when the read may wait for a record, nil when not.
		until time.Time
		reply chan<- page
	}
	// trim forgets records below an offset.
	trim struct {
		stream string
		first  uint64
		reply  chan<- plat.Bounds
	}
)

// page is the answer to a read; gone is set when the offset is no longer kept.
type page struct {
	plat.Page
	gone bool
}

// stream is one stream.
type stream struct {
	first   uint64
	records [][]byte
	waiting []read
}

func (one *stream) next() uint64 { return one.first + uint64(len(one.records)) }

func (one *stream) bounds() plat.Bounds { return plat.Bounds{First: one.first, Next: one.next()} }

// state is the state of the task.
type state struct {
	retain  int
	streams map[string]*stream
}

const sweepEvery = 20 * time.Millisecond

func (s *Service) run(ctx context.Context, inbox <-chan message) {
	st := &state{retain: s.retain, streams: make(map[string]*stream)}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(st)
		case now := <-sweep.C:
			for _, one := range st.streams {
				one.expire(now)
			}
		}
	}
}

func (st *state) stream(name string) *stream {
	if st.streams[name] == nil {
		st.streams[name] = &stream{}
	}
	return st.streams[name]
}

func (m appendTo) handle(st *state) {
	one := st.stream(m.stream)
	m.reply <- one.next()
	one.records = append(one.records, m.data)
	if over := len(one.records) - st.retain; st.retain > 0 && over > 0 {
		one.cut(over)
	}
	waiting := one.waiting
	one.waiting = nil
	for _, w := range waiting {
		w.handle(st)
	}
}

func (one *stream) cut(n int) {
	one.records = append([][]byte(nil), one.records[n:]...)
	one.first += uint64(n)
}

func (m bounds) handle(st *state) { m.reply <- st.stream(m.stream).bounds() }

func (m trim) handle(st *state) {
	one := st.stream(m.stream)
	if m.first > one.first {
		one.cut(int(min(m.first, one.next()) - one.first))
	}
	m.reply <- one.bounds()
}

func (m read) handle(st *state) {
	one := st.stream(m.stream)
	switch {
	case m.from < one.first:
		m.reply <- page{gone: true, Page: plat.Page{Bounds: one.bounds()}}
	case m.from < one.next() || time.Now().After(m.until):
		m.reply <- one.page(m)
	default:
		one.waiting = append(one.waiting, m)
	}
}

func (one *stream) page(m read) page {
	out := page{Page: plat.Page{Bounds: one.bounds(), Records: []plat.Record{}}}
	for at := m.from; at < one.next() && len(out.Records) < m.limit; at++ {
		out.Records = append(out.Records, plat.Record{Offset: at, Data: one.records[at-one.first]})
	}
	return out
}

// expire answers the polls whose time is over.
func (one *stream) expire(now time.Time) {
	waiting := one.waiting[:0]
	for _, w := range one.waiting {
		if now.After(w.until) {
			w.reply <- one.page(w)
		} else {
			waiting = append(waiting, w)
		}
	}
	one.waiting = waiting
}

// Handler serves the calls of docs/PLATFORM.md.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.append)
	mux.HandleFunc("GET /streams/{stream}/records", s.read)
	mux.HandleFunc("GET /streams/{stream}", s.bounds)
	mux.HandleFunc("POST /control/streams/{stream}/trim", s.trim)
	return s.faults.Wrap(mux)
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, record.MaxBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("record: larger than %d bytes", record.MaxBytes), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := task.Call(context.Background(), s.task, func(reply chan<- uint64) message {
		return appendTo{r.PathValue("stream"), data, reply}
	})
	faulty.WriteJSON(w, map[string]uint64{"offset": offset}, err)
}

func (s *Service) bounds(w http.ResponseWriter, r *http.Request) {
	b, err := task.Call(r.Context(), s.task, func(reply chan<- plat.Bounds) message {
		return bounds{r.PathValue("stream"), reply}
	})
	faulty.WriteJSON(w, b, err)
}

func (s *Service) trim(w http.ResponseWriter, r *http.Request) {
	first, err := strconv.ParseUint(r.URL.Query().Get("first"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := task.Call(r.Context(), s.task, func(reply chan<- plat.Bounds) message {
		return trim{r.PathValue("stream"), first, reply}
	})
	faulty.WriteJSON(w, b, err)
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		limit = plat.MaxRead
	}
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	p, err := task.Call(r.Context(), s.task, func(reply chan<- page) message {
		return read{r.PathValue("stream"), from, min(limit, plat.MaxRead), time.Now().Add(wait), reply}
	})
	if err == nil && p.gone {
		http.Error(w, fmt.Sprintf("offset %d is no longer kept", from), http.StatusGone)
		return
	}
	faulty.WriteJSON(w, p.Page, err)
}
