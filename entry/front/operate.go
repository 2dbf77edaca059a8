package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/limit"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

const (
	// publishTimeout bounds the wait for the verdict on a record.
	publishTimeout = 10 * time.Second
	// decodedFactor is the memory that a decoded record or query takes for each byte: lists of empty objects of three bytes
	// decode into some hundred.
	decodedFactor = 64
	// maxStreamRecords is the maximum number of records in one page of the stream.
	maxStreamRecords = 512
)

// publish appends the record of an operator or of a team to the log and answers with the verdict on it.
func (f *Front) publish(w http.ResponseWriter, r *http.Request, team string) {
	if team != "" {
		f.publishOwn(w, r, team)
		return
	}
	if !f.Keys.Allows(r, keys.Operator) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		f.writeError(w, http.StatusUnauthorized, wire.ErrorBody{Error: "operator key required in the header Authorization: Bearer KEY"})
		return
	}
	raw, err := readBody(r.Context(), w, r, record.MaxBytes)
	if err != nil {
		f.handleError(w, err)
		return
	}
	rec, err := f.parseRecord(r, raw)
	if err != nil {
		f.handleError(w, err)
		return
	}
	f.append(w, r, rec)
}

// append appends a valid record to the log and answers with the verdict on it.
func (f *Front) append(w http.ResponseWriter, r *http.Request, rec record.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	verdict, err := f.Follower.Publish(ctx, rec)
	if err != nil {
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{
			Error: "it is not known whether the record was appended; repeat it under the same id: " + err.Error(),
		})
		return
	}
	if verdict.Result != record.Accepted {
		f.writeError(w, http.StatusConflict, wire.ErrorBody{Error: verdict.Reason, Verdict: &verdict})
		return
	}
	f.writeJSON(w, http.StatusOK, wire.PublishResult{Verdict: verdict})
}

// decodeRecord decodes a record once the memory for its decoded form is free.
func decodeRecord(r *http.Request, raw []byte) (rec record.Record, err error) {
	if limited := limit.Decode(r.Context(), decodedFactor*int64(len(raw)), func() { rec, err = codec.DecodeRecord(raw) }); limited != nil {
		return record.Record{}, limited
	}
	return rec, err
}

// parseRecord decodes a record and rejects it if it is invalid regardless of the state. The author
// must be the owner of the key, if the request has a known key.
func (f *Front) parseRecord(r *http.Request, raw []byte) (record.Record, error) {
	rec, err := decodeRecord(r, raw)
	if err != nil {
		return rec, err
	}
	if err := codec.RejectUnknown(rec); err != nil {
		return rec, err
	}
	problems := rec.CheckEnvelope()
	problems = append(problems, rec.Body.Check()...)
	if id, ok := f.Keys.Identify(r); ok && id.Name != rec.Author {
		problems.Add("author", fmt.Sprintf("%q", rec.Author), fmt.Sprintf("%q, the owner of the key", id.Name))
	}
	return rec, problems.Err()
}

// listRecords answers with records and their verdicts from an offset on. If there are none yet, it
// waits for new ones until the wait time ends.
func (f *Front) listRecords(w http.ResponseWriter, r *http.Request) {
	from, err := uintParam(r, "from", 0)
	if err != nil {
		f.handleError(w, err)
		return
	}
	timeout, err := waitParam(r)
	if err != nil {
		f.handleError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	_ = f.Follower.WaitOffset(ctx, from+1)
	page, err := f.Follower.RecordsFrom(r.Context(), from, maxStreamRecords)
	if err == nil {
		err = f.checkStillAdmitted(r, operators, "")
	}
	if err != nil {
		f.handleError(w, err)
		return
	}
	if !page.Kept {
		f.writeError(w, http.StatusGone, wire.ErrorBody{
			Error: fmt.Sprintf("offset %d is no longer kept on this entry; its next offset is %d", from, page.Next),
		})
		return
	}
	out := wire.LogPage{Next: from + uint64(len(page.Records)), Records: []wire.LogRecord{}}
	for _, item := range page.Records {
		out.Records = append(out.Records, wire.LogRecord{
			Offset: item.Verdict.Offset, Verdict: item.Verdict, Record: asJSON(item.Raw),
		})
	}
	f.writeJSON(w, http.StatusOK, out)
}

// members lists the entries and their state as this entry sees them.
func (f *Front) members(w http.ResponseWriter, r *http.Request, _ string) {
	peers, err := f.Members.Peers(r.Context())
	if err != nil {
		f.handleError(w, err)
		return
	}
	out := wire.MemberList{Members: []wire.Member{}}
	for _, p := range peers {
		m := wire.Member{
			Name: p.Name, Zone: p.Zone, Address: p.Address, Incarnation: p.Incarnation, Offset: p.Offset,
			State: string(p.State), SilentMS: p.Silence.Milliseconds(),
		}
		if p.Name == f.settings.Name {
			m.Address = f.settings.Listen.Peer
		}
		out.Members = append(out.Members, m)
	}
	f.writeJSON(w, http.StatusOK, out)
}

// status shows the state of this entry and counters of its request kinds.
func (f *Front) status(w http.ResponseWriter, r *http.Request) {
	progress, err := f.Follower.Progress(r.Context())
	if err != nil {
		f.handleError(w, err)
		return
	}
	out, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) wire.EntryStatus {
		return wire.EntryStatus{
			Offset: s.NextOffset, Lease: s.Lease, Hosts: len(s.Hosts), Pools: len(s.Pools), Jobs: len(s.Jobs),
			Waves: len(s.Waves), UnknownRecords: len(s.Unknown),
		}
	})
	if err != nil {
		f.handleError(w, err)
		return
	}
	out.Entry, out.Zone, out.Incarnation = f.settings.Name, f.settings.Zone, f.incarnation
	out.AgeMS, out.LogError = ageMS(progress), progress.LogError
	out.Hash, out.HashOffset, out.Diverged = progress.Hash, progress.HashOffset, progress.Diverged
	summary, err := f.Router.Summary(r.Context())
	if err != nil {
		f.handleError(w, err)
		return
	}
	for _, k := range summary.Kinds {
		out.Kinds = append(out.Kinds, wire.KindLoad{
			Kind: k.Kind, Pool: k.Pool, Queued: k.Queued, Running: k.Running, Slots: k.Slots, Lent: k.Lent,
			Done: f.Metrics.Outcome(k.Kind, wire.Done), NotRun: f.Metrics.Outcome(k.Kind, wire.NotRun),
			Unknown: f.Metrics.Outcome(k.Kind, wire.Unknown), Retries: k.Retried,
		})
	}
	f.writeJSON(w, http.StatusOK, out)
}

// ageMS returns the time in milliseconds since the log or a peer last confirmed that the state was
// the newest. It returns -1 if that never happened.
func ageMS(progress follow.Progress) int64 {
	if progress.ConfirmedAt.IsZero() {
		return -1
	}
	return time.Since(progress.ConfirmedAt).Milliseconds()
}

// queryCarry answers whether a pool or the fleet has the capacity for given jobs and request slots.
func (f *Front) queryCarry(w http.ResponseWriter, r *http.Request) {
	answerQuery(f, w, r, query.AnswerCarry, func(a *query.CarryAnswer, v query.View) { a.View = v })
}

// queryLeave answers which hosts may leave for maintenance now.
func (f *Front) queryLeave(w http.ResponseWriter, r *http.Request) {
	answerQuery(f, w, r, query.AnswerLeave, func(a *query.LeaveAnswer, v query.View) { a.View = v })
}

// answerQuery decodes a query, computes its answer from the fleet state, and adds the view, which
// says how recent that state is.
func answerQuery[Q interface{ Check() record.Problems }, A any](
	f *Front, w http.ResponseWriter, r *http.Request,
	answer func(*ledger.State, Q) (A, error), setView func(*A, query.View),
) {
	raw, err := readBody(r.Context(), w, r, record.MaxBytes)
	if err != nil {
		f.handleError(w, err)
		return
	}
	var question Q
	if limited := limit.Decode(r.Context(), decodedFactor*int64(len(raw)), func() { question, err = codec.DecodeStrict[Q](raw) }); limited != nil {
		err = limited
	}
	if err == nil {
		err = question.Check().Err()
	}
	if err == nil {
		err = f.waitMinOffset(r)
	}
	if err != nil {
		f.handleError(w, err)
		return
	}
	progress, err := f.Follower.Progress(r.Context())
	if err == nil && !progress.Configured {
		err = follow.ErrNoConfig
	}
	if err != nil {
		f.handleError(w, err)
		return
	}
	type result struct {
		answer A
		offset uint64
		err    error
	}
	got, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) result {
		a, err := answer(s, question)
		return result{a, s.NextOffset, err}
	})
	if err == nil {
		err = f.checkStillAdmitted(r, operators, "")
	}
	if err == nil {
		err = got.err
	}
	if err != nil {
		f.handleError(w, err)
		return
	}
	setView(&got.answer, query.View{Offset: got.offset, AgeMS: ageMS(progress)})
	f.writeJSON(w, http.StatusOK, got.answer)
}
