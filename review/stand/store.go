package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store. All entries share its contents; each entry has
// an address of its own, so that a test can turn away one of them.
type Store struct {
	mu    sync.Mutex
	parts map[string]*part
	// onAppend is called with the client's name and the append's topic, producer and keys once the
	// append has been carried out.
	onAppend func(client, topic, producer string, keys []string)
}

type logRecord struct {
	key   string
	value []byte
}

type part struct {
	records   []logRecord
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, sequence int64
	ends            map[int64]int64
}

// Gate decides what happens to the calls of one client.
type Gate struct {
	name string
	mu   sync.Mutex
	shut chan struct{} // closed while calls are answered; replaced when the gate shuts
	open bool
	// closing is closed when the gate shuts, so that calls in flight get no answer either.
	closing chan struct{}
}

func newStore() *Store { return &Store{parts: map[string]*part{}} }

func (s *Store) part(topic, number string) *part {
	key := topic + "/" + number
	if s.parts[key] == nil {
		s.parts[key] = &part{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.parts[key]
}

func (p *part) put(key string, value []byte) {
	if value == nil {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, logRecord{key, value})
	close(p.changed)
	p.changed = make(chan struct{})
}

// Put writes a record, as an operator or a worker does. A nil value drops the key.
func (s *Store) Put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").put(key, raw)
}

// Get returns the newest value of a key.
func (s *Store) Get(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	if offset, ok := p.newest[key]; ok {
		return string(p.records[offset].value)
	}
	return ""
}

// Serve serves the store to one client at an address.
func (s *Store) Serve(client, address string) (*Gate, error) {
	g := &Gate{name: client, open: true, closing: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(g, w, r) })
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(g, w, r) })
	mux.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(g, w, r) })
	go http.Serve(l, mux)
	return g, nil
}

// Shut stops all answers to the client, also those to calls in flight. Nothing of later calls is carried out.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		g.open = false
		close(g.closing)
	}
}

// Open lets calls through again.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		g.open, g.closing = true, make(chan struct{})
	}
}

// pass reports whether a call may be carried out. It holds the call until the client gives up if not.
func (g *Gate) pass(r *http.Request) (chan struct{}, bool) {
	g.mu.Lock()
	open, closing := g.open, g.closing
	g.mu.Unlock()
	if !open {
		<-r.Context().Done()
	}
	return closing, open
}

func (s *Store) append(g *Gate, w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if _, ok := g.pass(r); !ok {
		return
	}
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	status, body, keys := s.appendLocked(raw, q.Get("topic"), q.Get("part"), q.Get("at"), q.Get("producer"), q.Get("epoch"), q.Get("sequence"))
	s.mu.Unlock()
	answer(w, status, body)
	if status == http.StatusOK && s.onAppend != nil {
		s.onAppend(g.name, q.Get("topic"), q.Get("producer"), keys)
	}
}

func (s *Store) appendLocked(raw []byte, topic, number, at, name, epoch, sequence string) (int, any, []string) {
	p := s.part(topic, number)
	end := int64(len(p.records))
	var known *producer
	n, _ := strconv.ParseInt(sequence, 10, 64)
	if name != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		known = p.producers[name]
		switch {
		case known == nil || e > known.epoch:
			known = &producer{epoch: e, sequence: n - 1, ends: map[int64]int64{}}
			p.producers[name] = known
		case e < known.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}, nil
		}
		if len(raw) == 0 {
			known.sequence = n
			return http.StatusOK, map[string]any{"offset": end, "end_offset": end}, nil
		}
		if old, ok := known.ends[n]; ok {
			return http.StatusOK, map[string]any{"offset": old, "end_offset": old}, nil
		}
		if n != known.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1}, nil
		}
	}
	if at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": end}, nil
	}
	var keys []string
	for len(raw) >= 4 {
		size := binary.BigEndian.Uint32(raw)
		row := raw[4 : 4+size]
		raw = raw[4+size:]
		k := int(row[0])
		var value []byte
		if len(row) > 1+k {
			value = append(value, row[1+k:]...)
		}
		keys = append(keys, string(row[1:1+k]))
		p.put(string(row[1:1+k]), value)
	}
	if known != nil {
		known.sequence = n
		known.ends[n] = int64(len(p.records))
		delete(known.ends, n-5)
	}
	return http.StatusOK, map[string]any{"offset": end, "end_offset": len(p.records)}, keys
}

func (s *Store) read(g *Gate, w http.ResponseWriter, r *http.Request) {
	closing, ok := g.pass(r)
	if !ok {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed := p.changed
		var out []byte
		if len(p.records) > from || wait == 0 {
			out = binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, e := range p.records[min(from, len(p.records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
				out = append(out, byte(len(e.key)))
				out = append(out, e.key...)
				out = append(out, e.value...)
			}
		}
		s.mu.Unlock()
		if out != nil {
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-closing:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// pageItems is the number of keys on a page of the newest records.
const pageItems = 500

func (s *Store) newest(g *Gate, w http.ResponseWriter, r *http.Request) {
	if _, ok := g.pass(r); !ok {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		offset := p.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(p.records[offset].value), "offset": offset})
	}
	body := map[string]any{"items": items, "has_more": more, "end_offset": len(p.records)}
	s.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}
