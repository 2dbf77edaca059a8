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

// partition is one stream: an append-only log that also keeps the newest record of each key.
type partition struct {
	records []record
	// first is the offset of the first record that is retained. The newest record of each key stays readable.
	first int
	// newest holds the offset of the newest record of each key that is not deleted.
	newest    map[string]int
	producers map[string]*producer
	// keep returns what is kept of a value that an entry appends under a key.
	keep func(key string, value []byte) []byte
	// changed is closed, and replaced, with the next append.
	changed chan struct{}
}

// producer is the state of an idempotent producer: its epoch and its last sequence number.
type producer struct {
	epoch, sequence int64
	// endOffsets holds the end offset after each append, by sequence number. It answers a repeated
	// append.
	endOffsets map[int64]int64
}

// StoreFaults are the faults of the store that a test can inject.
type StoreFaults struct {
	// Unresponsive leaves all calls without a response; Busy refuses them with status 503.
	Unresponsive, Busy bool
	// Full refuses appends with status 507.
	Full bool
	// LoseEveryNth drops the response to every n-th append although the append is applied; 0 drops
	// none.
	LoseEveryNth int
	// Delay is the time by which each call is delayed.
	Delay time.Duration
}

// store is the metadata store; standby is the name of the standby pool.
type store struct {
	parts   map[string]*partition
	faults  StoreFaults
	appends int
	standby string
	// appendTime is the time that each append takes.
	appendTime time.Duration
	// noFences is the value of Layout.NoFences.
	noFences bool
	// rewrite is the value of Layout.Rewrite.
	rewrite func(topic, key string, value []byte) []byte
}

func newStore(layout Layout) store {
	return store{parts: map[string]*partition{}, appendTime: layout.AppendTime, noFences: layout.NoFences, rewrite: layout.Rewrite}
}

// partition returns a partition and creates it on first use.
func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	if s.parts[key] == nil {
		keep := func(_ string, value []byte) []byte { return value }
		if s.rewrite != nil {
			keep = func(key string, value []byte) []byte { return s.rewrite(topic, key, value) }
		}
		s.parts[key] = &partition{keep: keep, newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.parts[key]
}

// put appends a record; a nil value deletes the key.
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

// SetStoreFaults replaces the faults of the store.
func (fp *Platform) SetStoreFaults(f StoreFaults) { fp.do(func(s *state) { s.store.faults = f }) }

// Trim deletes all records of the store except the newest of each key.
func (fp *Platform) Trim() {
	fp.do(func(s *state) {
		for _, p := range s.store.parts {
			p.first = len(p.records)
		}
	})
}

// SetAppendTime sets the time that each append to the store takes from now on.
func (fp *Platform) SetAppendTime(d time.Duration) { fp.do(func(s *state) { s.store.appendTime = d }) }

// Publish writes a value under a key as an operator does.
func (fp *Platform) Publish(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	fp.do(func(s *state) {
		s.store.partition("keyed.op", "0").put(key, raw)
		s.recordWave(key, raw)
	})
	return nil
}

// Status returns the value that the entries have written for operators under a key, or "".
func (fp *Platform) Status(key string) string {
	return query(fp, func(s *state) string {
		p := s.store.partition("keyed.status", "0")
		if offset, ok := p.newest[key]; ok {
			return string(p.records[offset].value)
		}
		return ""
	})
}

// appendResponse is the store's response to an append; it is not sent when dropped is set.
type appendResponse struct {
	status  int
	body    any
	dropped bool
	// takes is the time until it is sent.
	takes time.Duration
}

func (fp *Platform) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", fp.serveAppend)
	mux.HandleFunc("GET /v1/log-read", fp.serveRead)
	mux.HandleFunc("GET /v1/log-newest", fp.serveNewest)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f := query(fp, func(s *state) StoreFaults { return s.store.faults })
		switch {
		case f.Unresponsive:
			hang(r)
		case f.Busy:
			writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
		default:
			time.Sleep(f.Delay)
			mux.ServeHTTP(rw, r)
		}
	})
}

func (fp *Platform) serveAppend(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	response := query(fp, func(s *state) appendResponse {
		if s.store.faults.Full {
			return appendResponse{status: http.StatusInsufficientStorage, body: struct{}{}, takes: s.store.appendTime}
		}
		p := s.store.partition(q.Get("topic"), q.Get("part"))
		producer := q.Get("producer")
		if s.store.noFences && producer != "" {
			producer += "@" + q.Get("epoch")
		}
		a := p.append(raw, q.Get("at"), producer, q.Get("epoch"), q.Get("sequence"))
		s.store.appends++
		n := s.store.faults.LoseEveryNth
		a.dropped = a.status == http.StatusOK && n > 0 && s.store.appends%n == 0
		a.takes = s.store.appendTime
		return a
	})
	time.Sleep(response.takes)
	if response.dropped {
		hang(r)
		return
	}
	writeJSON(rw, response.status, response.body)
}

// append applies the append of an encoded batch of records. A name makes it idempotent, and
// expectedEnd makes it conditional on the end offset.
func (p *partition) append(raw []byte, expectedEnd, name, epoch, sequence string) appendResponse {
	end := int64(len(p.records))
	if name != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		n, _ := strconv.ParseInt(sequence, 10, 64)
		if refusal := p.checkProducer(name, e, n, len(raw) == 0); refusal != nil {
			return *refusal
		}
		defer func() { p.producers[name].endOffsets[n] = int64(len(p.records)) }()
	}
	if expectedEnd != "" && expectedEnd != strconv.FormatInt(end, 10) {
		return appendResponse{status: http.StatusPreconditionFailed, body: map[string]int64{"end_offset": end}}
	}
	for len(raw) > 4 {
		n := binary.BigEndian.Uint32(raw)
		encoded := raw[4 : 4+n]
		raw = raw[4+n:]
		keyLen := int(encoded[0])
		var value []byte
		if len(encoded) > 1+keyLen {
			value = append(value, encoded[1+keyLen:]...)
		}
		key := string(encoded[1 : 1+keyLen])
		if value != nil {
			value = p.keep(key, value)
		}
		p.put(key, value)
	}
	return appendResponse{status: http.StatusOK, body: map[string]int64{"offset": end, "end_offset": int64(len(p.records))}}
}

// checkProducer checks the epoch and sequence number of an append. It returns the response when
// nothing may be appended, because the producer is fenced, the append is repeated, or a sequence
// number is missing.
func (p *partition) checkProducer(name string, epoch, sequence int64, empty bool) *appendResponse {
	known := p.producers[name]
	if known == nil || epoch > known.epoch {
		p.producers[name] = &producer{epoch: epoch, sequence: sequence, endOffsets: map[int64]int64{}}
		return nil
	}
	if epoch < known.epoch {
		return &appendResponse{status: http.StatusConflict, body: map[string]any{"reason": "fenced"}}
	}
	if end, ok := known.endOffsets[sequence]; ok && !empty {
		return &appendResponse{status: http.StatusOK, body: map[string]int64{"end_offset": end}}
	}
	if sequence != known.sequence+1 && !empty {
		return &appendResponse{status: http.StatusConflict, body: map[string]any{"reason": "seq", "sequence": known.sequence + 1}}
	}
	known.sequence = sequence
	return nil
}

func (fp *Platform) serveRead(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		var changed chan struct{}
		gone, first := false, 0
		raw := query(fp, func(s *state) []byte {
			p := s.store.partition(q.Get("topic"), q.Get("part"))
			changed = p.changed
			if gone, first = from < p.first, p.first; gone {
				return nil
			}
			if len(p.records) <= from && wait > 0 {
				return nil
			}
			return p.encodeFrom(from)
		})
		if gone {
			writeJSON(rw, http.StatusGone, map[string]int{"first_offset": first})
			return
		}
		if raw == nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				wait = 0
				continue
			}
		}
		// An error means that the caller has closed the connection.
		_, _ = rw.Write(raw)
		return
	}
}

// encodeFrom encodes the records from an offset on, after the end offset.
func (p *partition) encodeFrom(from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for _, r := range p.records[min(from, len(p.records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

// newestPageSize is the largest number of keys in one page.
const newestPageSize = 50

func (fp *Platform) serveNewest(rw http.ResponseWriter, r *http.Request) {
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
	writeJSON(rw, http.StatusOK, query(fp, func(s *state) page {
		p := s.store.partition(q.Get("topic"), q.Get("part"))
		out := page{Items: []item{}, End: len(p.records)}
		for _, key := range sortedKeys(p.newest) {
			if key <= q.Get("after") {
				continue
			}
			if len(out.Items) == newestPageSize {
				out.More = true
				break
			}
			offset := p.newest[key]
			out.Items = append(out.Items, item{key, base64.StdEncoding.EncodeToString(p.records[offset].value), offset})
		}
		return out
	}))
}
