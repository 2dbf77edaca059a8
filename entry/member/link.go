package member

import (
	"context"
	"net/http"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
)

// Path is where peers open their control links.
const Path = "/peer/control"

const (
	// fetchLimit is the largest number of records in one answer to a fetch.
	fetchLimit = 512
	// fetchTimeout bounds the asking of one peer.
	fetchTimeout = 2 * time.Second
	// redialAfter is the pause after a link could not be opened.
	redialAfter = 500 * time.Millisecond
	// wholeEvery is how often rows are sent whole all the same, should a peer have
	// dropped one.
	wholeEvery = 15 * time.Second
	// flushTimeout bounds the sending of the last heartbeat.
	flushTimeout = 500 * time.Millisecond
)

// frame is a message on a control link; one field is set.
type frame struct {
	Rows    []Row    `json:"rows,omitempty"`
	Fetch   *fetch   `json:"fetch,omitempty"`
	Fetched *fetched `json:"fetched,omitempty"`
}

// fetch asks for records from an offset on.
type fetch struct {
	Seq  uint64 `json:"seq"`
	From uint64 `json:"from"`
}

// fetched answers a fetch of the same Seq.
type fetched struct {
	Seq        uint64   `json:"seq"`
	Next       uint64   `json:"next"`
	Configured bool     `json:"configured"`
	Trusted    bool     `json:"trusted"`
	First      uint64   `json:"first"`
	Records    [][]byte `json:"records,omitempty"`
	Snapshot   []byte   `json:"snapshot,omitempty"`
}

// outbound owns the link to one peer.
type outbound struct {
	known PeerConfig
	core  *task.Task[outMessage]
}

// outMessage is what the task of an outbound link understands.
type outMessage struct {
	rows    []Row
	fetch   *fetch
	reply   chan<- fetched
	flushed chan<- struct{}
}

// outState is the state of the task of an outbound link.
type outState struct {
	m         *Tracker
	known     PeerConfig
	conn      *link.Conn[frame]
	lastTry   time.Time
	seq       uint64
	waiting   map[uint64]chan<- fetched
	answersTo func(fetched)
	// sent holds the incarnation and revision of each row that was sent whole over
	// the present link since sentSince.
	sent      map[string]revision
	sentSince time.Time
}

// revision names the content of a row.
type revision struct{ incarnation, number uint64 }

func newOutbound(m *Tracker, k PeerConfig) *outbound {
	o := &outbound{known: k}
	answers := make(chan fetched, 1)
	o.core = task.Start(func(ctx context.Context, inbox <-chan outMessage) {
		s := &outState{m: m, known: k, waiting: make(map[uint64]chan<- fetched), sent: make(map[string]revision)}
		s.answersTo = func(f fetched) {
			select {
			case answers <- f:
			case <-ctx.Done():
			}
		}
		defer s.drop()
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-answers:
				if reply := s.waiting[f.Seq]; reply != nil {
					delete(s.waiting, f.Seq)
					reply <- f
				}
			case msg := <-inbox:
				s.handle(ctx, msg)
			}
		}
	}, task.WithInbox(8))
	return o
}

// Close closes the link and waits.
func (o *outbound) Close() { o.core.Close() }

// beat sends rows; they are dropped when the link is busy, since newer ones follow.
func (o *outbound) beat(rows []Row) { o.core.TrySend(outMessage{rows: rows}) }

// flush waits a little until what was queued has been written.
func (o *outbound) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_, _ = task.Call(ctx, o.core, func(reply chan<- struct{}) outMessage {
		return outMessage{flushed: reply}
	})
}

func (o *outbound) fetch(ctx context.Context, from uint64) (fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f, err := task.Call(ctx, o.core, func(reply chan<- fetched) outMessage {
		return outMessage{fetch: &fetch{From: from}, reply: reply}
	})
	return f, fault.At("fetch", o.known.Address, err)
}

func (s *outState) handle(ctx context.Context, m outMessage) {
	if m.flushed != nil {
		if s.conn != nil {
			ctx, cancel := context.WithTimeout(ctx, flushTimeout)
			defer cancel()
			_ = s.conn.Flush(ctx)
		}
		m.flushed <- struct{}{}
		return
	}
	if !s.connect(ctx) {
		return
	}
	out := frame{Rows: s.shorten(m.rows)}
	if m.fetch != nil {
		s.seq++
		s.waiting[s.seq] = m.reply
		out = frame{Fetch: &fetch{Seq: s.seq, From: m.fetch.From}}
	}
	if err := s.conn.Send(ctx, out); err != nil {
		s.drop()
	}
}

// shorten leaves out what the peer has been told over this link already.
func (s *outState) shorten(rows []Row) []Row {
	if time.Since(s.sentSince) >= wholeEvery {
		clear(s.sent)
		s.sentSince = time.Now()
	}
	out := make([]Row, len(rows))
	for i, row := range rows {
		now := revision{row.Incarnation, row.Revision}
		if s.sent[row.Name] == now {
			out[i] = row.pulse()
			continue
		}
		out[i], s.sent[row.Name] = row, now
	}
	return out
}

// connect opens the link when it is not open, and reports whether it is.
func (s *outState) connect(ctx context.Context) bool {
	if s.conn != nil {
		select {
		case <-s.conn.Broken():
			s.drop()
		default:
			return true
		}
	}
	if time.Since(s.lastTry) < redialAfter {
		return false
	}
	s.lastTry = time.Now()
	conn, err := link.Dial(ctx, s.m.dialer, s.known.Address, Path, func(f frame) {
		if f.Fetched != nil {
			s.answersTo(*f.Fetched)
		}
	})
	if err != nil {
		s.m.logger.Debug("peer link", "peer", s.known.Name, "error", err)
		return false
	}
	s.conn = conn
	return true
}

func (s *outState) drop() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	clear(s.waiting)
	clear(s.sent)
}

// Handler accepts control links of peers. It returns when the link ends.
func (m *Tracker) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := link.Accept(w, r, r.RemoteAddr, func(c *link.Conn[frame], f frame) {
			m.onFrame(r.Context(), c, f)
		})
		if err != nil {
			m.logger.Warn("peer link refused", "error", err)
			return
		}
		defer conn.Close()
		select {
		case <-conn.Broken():
		case <-m.core.Done():
		}
	})
}

func (m *Tracker) onFrame(ctx context.Context, c *link.Conn[frame], f frame) {
	if len(f.Rows) > 0 {
		m.core.TrySend(heard{f.Rows})
	}
	if f.Fetch == nil {
		return
	}
	answer, err := m.answerFetch(ctx, *f.Fetch)
	if err != nil {
		m.logger.Debug("fetch", "error", err)
		return
	}
	c.TrySend(frame{Fetched: &answer})
}

func (m *Tracker) answerFetch(ctx context.Context, f fetch) (fetched, error) {
	fo := m.follower()
	p, err := fo.Progress(ctx)
	if err != nil {
		return fetched{}, err
	}
	out := fetched{
		Seq: f.Seq, Next: p.Offset, Configured: p.Configured, Trusted: p.Trusted, First: f.From,
	}
	if !p.Configured || p.Offset <= f.From {
		return out, nil
	}
	kept, err := fo.RecordsFrom(ctx, f.From, fetchLimit)
	if err != nil {
		return fetched{}, err
	}
	if !kept.Kept {
		saved, err := fo.SnapshotNow(ctx)
		out.Next, out.Snapshot = saved.Offset, saved.Raw
		return out, err
	}
	for _, j := range kept.Records {
		out.Records = append(out.Records, j.Raw)
	}
	return out, nil
}

// Fetch asks peers for records, nearest first, until one has some or confirms that
// there are none. It is a [follow.Fetcher].
func (m *Tracker) Fetch(ctx context.Context, from uint64) (follow.Fetched, error) {
	sources, err := task.Call(ctx, m.core, func(reply chan<- []source) message { return fetchWith{reply} })
	if err != nil {
		return follow.Fetched{}, err
	}
	last := fault.New("fetch", "", "no peer is known")
	var confirmed *follow.Fetched
	for _, s := range sources {
		f, err := s.out.fetch(ctx, from)
		if err != nil {
			last = err
			continue
		}
		if !f.Configured {
			last = fault.New("fetch", s.peer.Name, "the peer has no configuration either")
			continue
		}
		got := follow.Fetched{
			Peer: s.peer.Name, Next: f.Next, Snapshot: f.Snapshot,
			SameZone: s.peer.Zone == m.self.Zone && f.Trusted,
		}
		for i, raw := range f.Records {
			got.Records = append(got.Records, plat.Record{Offset: f.First + uint64(i), Data: raw})
		}
		if len(got.Records) > 0 || got.Snapshot != nil {
			return got, nil
		}
		if confirmed == nil && f.Next >= from {
			confirmed = &got
		}
	}
	if confirmed != nil {
		return *confirmed, nil
	}
	return follow.Fetched{}, last
}
