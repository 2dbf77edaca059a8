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

// Path is the HTTP path at which peers open their control links.
const Path = "/peer/control"

const (
	// fetchLimit is the largest number of records in one answer to a fetch.
	fetchLimit = 512
	// fetchTimeout limits the fetch from one peer.
	fetchTimeout = 2 * time.Second
	// redialDelay is the minimum time between two attempts to open a link.
	redialDelay = 500 * time.Millisecond
	// fullRowsInterval is the interval at which unchanged rows are sent in full, in case a peer has
	// dropped one.
	fullRowsInterval = 15 * time.Second
	// flushTimeout limits the sending of the last heartbeat.
	flushTimeout = 500 * time.Millisecond
)

// frame is a message on a control link. Exactly one field is set.
type frame struct {
	Rows    []Row    `json:"rows,omitempty"`
	Fetch   *fetch   `json:"fetch,omitempty"`
	Fetched *fetched `json:"fetched,omitempty"`
}

// fetch asks for records starting at offset From.
type fetch struct {
	Seq  uint64 `json:"seq"`
	From uint64 `json:"from"`
}

// fetched answers the fetch with the same Seq. Next, Configured and Trusted are the sender's progress.
// First is the offset of the first record in Records. Snapshot is set instead of Records if the sender
// no longer keeps the requested records.
type fetched struct {
	Seq        uint64   `json:"seq"`
	Next       uint64   `json:"next"`
	Configured bool     `json:"configured"`
	Trusted    bool     `json:"trusted"`
	First      uint64   `json:"first"`
	Records    [][]byte `json:"records,omitempty"`
	Snapshot   []byte   `json:"snapshot,omitempty"`
}

// outbound is the task that owns the link to one peer.
type outbound struct {
	config PeerConfig
	task   *task.Task[linkMessage]
}

// linkMessage is a message to the task of an outbound link: rows to send, a fetch and the channel for
// its answer, or a flush to be confirmed on the channel flushed.
type linkMessage struct {
	rows    []Row
	fetch   *fetch
	reply   chan<- fetched
	flushed chan<- struct{}
}

// linkState is the state of the task of an outbound link.
type linkState struct {
	tracker   *Tracker
	config    PeerConfig
	conn      *link.Conn[frame]
	lastDial  time.Time
	seq       uint64
	waiting   map[uint64]chan<- fetched
	onFetched func(fetched)
	// sent holds the revision of each row that was sent in full over the current link since
	// sentSince.
	sent      map[string]revision
	sentSince time.Time
}

// revision identifies the content of a row; number is Row.Revision.
type revision struct{ incarnation, number uint64 }

func newOutbound(t *Tracker, config PeerConfig) *outbound {
	o := &outbound{config: config}
	answers := make(chan fetched, 1)
	o.task = task.Start(func(ctx context.Context, inbox <-chan linkMessage) {
		s := &linkState{tracker: t, config: config, waiting: make(map[uint64]chan<- fetched), sent: make(map[string]revision)}
		s.onFetched = func(f fetched) {
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

// Close closes the link and waits until its task has ended.
func (o *outbound) Close() { o.task.Close() }

// sendRows sends rows. They are dropped while the link's inbox is full, since newer rows follow.
func (o *outbound) sendRows(rows []Row) { o.task.TrySend(linkMessage{rows: rows}) }

// flush waits until the queued messages have been written, for at most flushTimeout.
func (o *outbound) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_, _ = task.Call(ctx, o.task, func(reply chan<- struct{}) linkMessage {
		return linkMessage{flushed: reply}
	})
}

func (o *outbound) fetch(ctx context.Context, from uint64) (fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	f, err := task.Call(ctx, o.task, func(reply chan<- fetched) linkMessage {
		return linkMessage{fetch: &fetch{From: from}, reply: reply}
	})
	return f, fault.At("fetch", o.config.Address, err)
}

func (s *linkState) handle(ctx context.Context, m linkMessage) {
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
	out := frame{Rows: s.abridge(m.rows)}
	if m.fetch != nil {
		s.seq++
		s.waiting[s.seq] = m.reply
		out = frame{Fetch: &fetch{Seq: s.seq, From: m.fetch.From}}
	}
	if err := s.conn.Send(ctx, out); err != nil {
		s.drop()
	}
}

// abridge removes the content of rows that the peer has already received in full over this link.
func (s *linkState) abridge(rows []Row) []Row {
	if time.Since(s.sentSince) >= fullRowsInterval {
		clear(s.sent)
		s.sentSince = time.Now()
	}
	out := make([]Row, len(rows))
	for i, row := range rows {
		current := revision{row.Incarnation, row.Revision}
		if s.sent[row.Name] == current {
			out[i] = row.abridged()
			continue
		}
		out[i], s.sent[row.Name] = row, current
	}
	return out
}

// connect opens the link if it is not open, and reports whether it is open.
func (s *linkState) connect(ctx context.Context) bool {
	if s.conn != nil {
		select {
		case <-s.conn.Broken():
			s.drop()
		default:
			return true
		}
	}
	if time.Since(s.lastDial) < redialDelay {
		return false
	}
	s.lastDial = time.Now()
	conn, err := link.Dial(ctx, s.tracker.dialer, s.config.Address, Path, func(f frame) {
		if f.Fetched != nil {
			s.onFetched(*f.Fetched)
		}
	})
	if err != nil {
		s.tracker.logger.Debug("link to peer could not be opened; retrying with a later message",
			"peer", s.config.Name, "err", err)
		return false
	}
	s.conn = conn
	return true
}

func (s *linkState) drop() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	clear(s.waiting)
	clear(s.sent)
}

// Handler accepts control links from peers. Each request ends when its link ends.
func (t *Tracker) Handler() http.Handler {
	logFailure := link.FailureLog(t.logger, "control link from peer could not be accepted")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := link.Accept(w, r, r.RemoteAddr, func(c *link.Conn[frame], f frame) {
			t.onFrame(r.Context(), c, f)
		})
		if err != nil {
			logFailure(r.RemoteAddr, err)
			return
		}
		defer conn.Close()
		select {
		case <-conn.Broken():
		case <-t.core.Done():
		}
	})
}

func (t *Tracker) onFrame(ctx context.Context, c *link.Conn[frame], f frame) {
	if len(f.Rows) > 0 {
		t.core.TrySend(peerRows{f.Rows})
	}
	if f.Fetch == nil {
		return
	}
	answer, err := t.answerFetch(ctx, *f.Fetch)
	if err != nil {
		t.logger.Debug("fetch from peer could not be answered; it times out there", "err", err)
		return
	}
	c.TrySend(frame{Fetched: &answer})
}

func (t *Tracker) answerFetch(ctx context.Context, f fetch) (fetched, error) {
	fo := t.follower()
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

// Fetch asks peers for records starting at offset from, peers of the own zone first, until one returns
// records or a snapshot. If none does, it returns the answer of the first peer that confirms that nothing
// newer exists. It is a [follow.Fetcher].
func (t *Tracker) Fetch(ctx context.Context, from uint64) (follow.Fetched, error) {
	sources, err := task.Call(ctx, t.core, func(reply chan<- []source) message { return listSources{reply} })
	if err != nil {
		return follow.Fetched{}, err
	}
	lastErr := fault.New("fetch", "", "no peer is available to fetch configuration records from")
	var confirmed *follow.Fetched
	for _, s := range sources {
		f, err := s.link.fetch(ctx, from)
		if err != nil {
			lastErr = err
			continue
		}
		if !f.Configured {
			lastErr = fault.New("fetch", s.peer.Name, "the peer has no configuration yet")
			continue
		}
		got := follow.Fetched{
			Peer: s.peer.Name, Next: f.Next, Snapshot: f.Snapshot,
			Trusted: s.peer.Zone == t.self.Zone && f.Trusted,
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
	return follow.Fetched{}, lastErr
}
