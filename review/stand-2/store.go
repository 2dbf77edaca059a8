package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// appendTime is append_ms of the settings.
const appendTime = time.Millisecond

// newestPage and readBytes limit a page of log-newest and a response of log-read.
const newestPage, readBytes = 500, 1 << 20

// Store is the platform's metadata store.
type Store struct {
	mu    sync.Mutex
	parts map[string]*partition
}

// partition is one log. The newest record of each key stays.
type partition struct {
	records   []logRecord
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type logRecord struct {
	key   string
	value []byte
}

// producer is what a partition knows of a numbered writer. answers holds the end offsets after its last appends.
type producer struct {
	epoch, sequence int64
	answers         map[int64]int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{parts: map[string]*partition{}} }

func (s *Store) part(topic, number string) *partition {
	key := topic + "/" + number
	if s.parts[key] == nil {
		s.parts[key] = &partition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.parts[key]
}

func (p *partition) put(key string, value []byte) {
	if value == nil {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, logRecord{key, value})
	close(p.changed)
	p.changed = make(chan struct{})
}

// Put writes a record as the operator or a worker does. A nil value drops the key.
func (s *Store) Put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").put(key, raw)
}

// Value returns the newest value of a key, or "".
func (s *Store) Value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	if offset, ok := p.newest[key]; ok {
		return string(p.records[offset].value)
	}
	return ""
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	return mux
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	q := r.URL.Query()
	s.mu.Lock()
	status, body := s.part(q.Get("topic"), q.Get("part")).append(raw, q.Get("producer"), q.Get("epoch"), q.Get("sequence"), q.Get("at"))
	s.mu.Unlock()
	reply(w, status, body)
}

func (p *partition) append(raw []byte, name, epoch, sequence, at string) (int, any) {
	end := int64(len(p.records))
	var numbered *producer
	e, _ := strconv.ParseInt(epoch, 10, 64)
	n, _ := strconv.ParseInt(sequence, 10, 64)
	if name != "" {
		if numbered = p.producers[name]; numbered == nil || e > numbered.epoch {
			numbered = &producer{epoch: e, sequence: n - 1, answers: map[int64]int64{}}
			if len(raw) == 0 {
				numbered.sequence = n
			}
			p.producers[name] = numbered
		}
		if e < numbered.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if len(raw) == 0 {
			return http.StatusOK, map[string]int64{"offset": end, "end_offset": end}
		}
		if known, ok := numbered.answers[n]; ok && n > numbered.sequence-5 {
			return http.StatusOK, map[string]int64{"offset": known, "end_offset": known}
		}
		if n != numbered.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": numbered.sequence + 1}
		}
	}
	if at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end_offset": end}
	}
	for len(raw) > 4 {
		size := binary.BigEndian.Uint32(raw)
		body := raw[4 : 4+size]
		raw = raw[4+size:]
		keyEnd := 1 + int(body[0])
		var value []byte
		if len(body) > keyEnd {
			value = append(value, body[keyEnd:]...)
		}
		p.put(string(body[1:keyEnd]), value)
	}
	if numbered != nil {
		numbered.sequence = n
		numbered.answers[n] = int64(len(p.records))
	}
	return http.StatusOK, map[string]int64{"offset": end, "end_offset": int64(len(p.records))}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waits := wait > 0; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed := p.changed
		var out []byte
		if from < len(p.records) || !waits {
			out = p.encode(from)
		}
		s.mu.Unlock()
		if out != nil {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

func (p *partition) encode(from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(p.records) && len(out) < readBytes; i++ {
		rec := p.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	return out
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items, more := []map[string]any{}, false
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		if len(items) == newestPage || size > readBytes {
			more = true
			break
		}
		value := p.records[p.newest[key]].value
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	end := len(p.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
