package fake

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// record is a record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// partition is one stream.
type partition struct {
	records []record
	newest  map[string]int
	writers map[string]*producer
	// changed is closed with the next append.
	changed chan struct{}
}

// producer is what the store remembers of a writer.
type producer struct {
	epoch, sequence int64
	// ends holds the answers to the newest appends by sequence.
	ends map[int64]int64
}

// StoreFaults are what can be wrong with the store.
type StoreFaults struct {
	// Unresponsive makes the store answer nothing; Busy makes it refuse.
	Unresponsive, Busy bool
	// LoseEveryNth drops the answer to each n-th append that is carried out; 0 none.
	LoseEveryNth int
}

// store is the metadata store.
type store struct {
	parts   map[string]*partition
	faults  StoreFaults
	appends int
	standby string
}

func newStore() store { return store{parts: map[string]*partition{}} }

// partition returns a stream; it is made on first use.
func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	if s.parts[key] == nil {
		s.parts[key] = &partition{newest: map[string]int{}, writers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.parts[key]
}

// put appends a record.
func (p *partition) put(key string, value []byte) {
	if value == nil {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, record{key, value})
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStoreFaults brings faults of the store about.
func (w *Platform) SetStoreFaults(f StoreFaults) { w.do(func(s *state) { s.store.faults = f }) }

// Publish writes a value of an operator.
func (w *Platform) Publish(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.do(func(s *state) {
		s.store.partition("keyed.op", "0").put(key, raw)
		s.notePublished(key, raw)
	})
	return nil
}

// Status returns what the system has written for operators under a key.
func (w *Platform) Status(key string) string {
	return ask(w, func(s *state) string {
		p := s.store.partition("keyed.status", "0")
		if at, ok := p.newest[key]; ok {
			return string(p.records[at].value)
		}
		return ""
	})
}

// appended is the store's answer to an append.
type appended struct {
	status int
	body   any
	lost   bool
}

func (w *Platform) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", w.serveAppend)
	mux.HandleFunc("GET /v1/log-read", w.serveRead)
	mux.HandleFunc("GET /v1/log-newest", w.serveNewest)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f := ask(w, func(s *state) StoreFaults { return s.store.faults })
		switch {
		case f.Unresponsive:
			hang(r)
		case f.Busy:
			answer(rw, http.StatusServiceUnavailable, struct{}{})
		default:
			mux.ServeHTTP(rw, r)
		}
	})
}

func (w *Platform) serveAppend(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	out := ask(w, func(s *state) appended {
		p := s.store.partition(q.Get("topic"), q.Get("part"))
		a := p.append(raw, q.Get("at"), q.Get("producer"), q.Get("epoch"), q.Get("sequence"))
		s.store.appends++
		n := s.store.faults.LoseEveryNth
		a.lost = a.status == http.StatusOK && n > 0 && s.store.appends%n == 0
		return a
	})
	if out.lost {
		hang(r)
		return
	}
	answer(rw, out.status, out.body)
}

func (p *partition) append(raw []byte, at, name, epoch, sequence string) appended {
	end := int64(len(p.records))
	if name != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		n, _ := strconv.ParseInt(sequence, 10, 64)
		if refused := p.admit(name, e, n, len(raw) == 0); refused != nil {
			return *refused
		}
		defer func() { p.writers[name].ends[n] = int64(len(p.records)) }()
	}
	if at != "" && at != strconv.FormatInt(end, 10) {
		return appended{status: http.StatusPreconditionFailed, body: map[string]int64{"end_offset": end}}
	}
	for len(raw) > 4 {
		n := binary.BigEndian.Uint32(raw)
		one := raw[4 : 4+n]
		raw = raw[4+n:]
		k := int(one[0])
		var value []byte
		if len(one) > 1+k {
			value = append(value, one[1+k:]...)
		}
		p.put(string(one[1:1+k]), value)
	}
	return appended{status: http.StatusOK, body: map[string]int64{"offset": end, "end_offset": int64(len(p.records))}}
}

// admit checks a writer; it returns the answer when nothing is to be appended.
func (p *partition) admit(name string, epoch, sequence int64, empty bool) *appended {
	w := p.writers[name]
	if w == nil || epoch > w.epoch {
		p.writers[name] = &producer{epoch: epoch, sequence: sequence, ends: map[int64]int64{}}
		return nil
	}
	if epoch < w.epoch {
		return &appended{status: http.StatusConflict, body: map[string]any{"reason": "fenced"}}
	}
	if end, ok := w.ends[sequence]; ok && !empty {
		return &appended{status: http.StatusOK, body: map[string]int64{"end_offset": end}}
	}
	if sequence != w.sequence+1 && !empty {
		return &appended{status: http.StatusConflict, body: map[string]any{"reason": "seq", "sequence": w.sequence + 1}}
	}
	w.sequence = sequence
	return nil
}

func (w *Platform) serveRead(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		var changed chan struct{}
		raw := ask(w, func(s *state) []byte {
			p := s.store.partition(q.Get("topic"), q.Get("part"))
			changed = p.changed
			if len(p.records) <= from && wait > 0 {
				return nil
			}
			return p.raw(from)
		})
		if raw == nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-until:
				wait = 0
				continue
			}
		}
		// The caller may have gone.
		_, _ = rw.Write(raw)
		return
	}
}

func (p *partition) raw(from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range p.records[min(from, len(p.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

// newestPage is the number of keys in one answer.
const newestPage = 50

func (w *Platform) serveNewest(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	type page struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int    `json:"end_offset"`
	}
	answer(rw, http.StatusOK, ask(w, func(s *state) page {
		p := s.store.partition(q.Get("topic"), q.Get("part"))
		out := page{Items: []item{}, End: len(p.records)}
		for _, k := range keys(p.newest) {
			if k <= q.Get("after") {
				continue
			}
			if len(out.Items) == newestPage {
				out.More = true
				break
			}
			at := p.newest[k]
			out.Items = append(out.Items, item{k, base64.StdEncoding.EncodeToString(p.records[at].value), at})
		}
		return out
	}))
}
