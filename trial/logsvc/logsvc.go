// Package logsvc simulates the platform's log service: streams of records with offsets, long polls
// and limited retention.
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

// maxWait is the longest time that a long poll waits.
const maxWait = time.Minute

// Service is the simulated service. Use [New] to build it.
type Service struct {
	task   *task.Task[message]
	faults *faulty.Injector
	retain int
}

// Option changes how a service is built.
type Option func(*Service)

// WithRetention sets how many records each stream retains; 0 retains all.
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
	appendRecord struct {
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
		// deadline is when the read is answered even if there is no record.
		deadline time.Time
		reply    chan<- page
	}
	// trim drops the records below an offset.
	trim struct {
		stream string
		first  uint64
		reply  chan<- plat.Bounds
	}
)

// page is the response to a read; gone is set when the offset is no longer retained.
type page struct {
	plat.Page
	gone bool
}

// stream holds the retained records of one stream; first is the offset of the oldest one. waiting
// holds the reads that wait for the next record.
type stream struct {
	first   uint64
	records [][]byte
	waiting []read
}

// next returns the offset of the next record.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) bounds() plat.Bounds { return plat.Bounds{First: s.first, Next: s.next()} }

// state is the state that the service's task owns.
type state struct {
	retain  int
	streams map[string]*stream
}

// sweepInterval is the time between two searches for expired long polls.
const sweepInterval = 20 * time.Millisecond

func (s *Service) run(ctx context.Context, inbox <-chan message) {
	st := &state{retain: s.retain, streams: make(map[string]*stream)}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(st)
		case now := <-sweep.C:
			for _, stream := range st.streams {
				stream.answerExpired(now)
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

func (m appendRecord) handle(st *state) {
	stream := st.stream(m.stream)
	m.reply <- stream.next()
	stream.records = append(stream.records, m.data)
	if excess := len(stream.records) - st.retain; st.retain > 0 && excess > 0 {
		stream.dropOldest(excess)
	}
	waiting := stream.waiting
	stream.waiting = nil
	for _, w := range waiting {
		w.handle(st)
	}
}

func (s *stream) dropOldest(n int) {
	s.records = append([][]byte(nil), s.records[n:]...)
	s.first += uint64(n)
}

func (m bounds) handle(st *state) { m.reply <- st.stream(m.stream).bounds() }

func (m trim) handle(st *state) {
	stream := st.stream(m.stream)
	if m.first > stream.first {
		stream.dropOldest(int(min(m.first, stream.next()) - stream.first))
	}
	m.reply <- stream.bounds()
}

func (m read) handle(st *state) {
	stream := st.stream(m.stream)
	switch {
	case m.from < stream.first:
		m.reply <- page{gone: true, Page: plat.Page{Bounds: stream.bounds()}}
	case m.from < stream.next() || time.Now().After(m.deadline):
		m.reply <- stream.page(m)
	default:
		stream.waiting = append(stream.waiting, m)
	}
}

func (s *stream) page(m read) page {
	out := page{Page: plat.Page{Bounds: s.bounds(), Records: []plat.Record{}}}
	for offset := m.from; offset < s.next() && len(out.Records) < m.limit; offset++ {
		out.Records = append(out.Records, plat.Record{Offset: offset, Data: s.records[offset-s.first]})
	}
	return out
}

// answerExpired answers the reads whose deadline has passed.
func (s *stream) answerExpired(now time.Time) {
	waiting := s.waiting[:0]
	for _, w := range s.waiting {
		if now.After(w.deadline) {
			w.reply <- s.page(w)
		} else {
			waiting = append(waiting, w)
		}
	}
	s.waiting = waiting
}

// Handler serves the calls of the log service as docs/PLATFORM.md defines them, and control calls
// for tests.
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
		return appendRecord{r.PathValue("stream"), data, reply}
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
