package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

const (
	// publishTimeout bounds the wait for a record to be in force.
	publishTimeout = 10 * time.Second
	// streamLimit is the largest number of records in one page of the stream.
	streamLimit = 512
)

// publish appends an operator's record and answers with the fold's verdict.
func (f *Front) publish(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(w, r, record.MaxBytes)
	if err != nil {
		f.fail(w, err)
		return
	}
	rec, err := f.checkRecord(r, raw)
	if err != nil {
		f.fail(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	v, err := f.Follower.Publish(ctx, rec)
	if err != nil {
		f.refuse(w, http.StatusServiceUnavailable, wire.ErrorBody{
			Error: "it is not known whether the record was appended; repeat it under the same id: " + err.Error(),
		})
		return
	}
	if v.Result != record.Accepted {
		f.refuse(w, http.StatusConflict, wire.ErrorBody{Error: v.Reason, Verdict: &v})
		return
	}
	f.answer(w, http.StatusOK, wire.PublishResult{Verdict: v})
}

// checkRecord refuses what the fold would refuse by the record alone.
func (f *Front) checkRecord(r *http.Request, raw []byte) (record.Record, error) {
	rec, err := codec.DecodeRecord(raw)
	if err != nil {
		return rec, err
	}
	if err := codec.RejectUnknown(rec); err != nil {
		return rec, err
	}
	problems := rec.CheckEnvelope()
	problems = append(problems, rec.Body.Check()...)
	if id, known := f.Keys.Identify(r); known && id.Name != rec.Author {
		problems.Add("author", fmt.Sprintf("%q", rec.Author), fmt.Sprintf("%q, the owner of the key", id.Name))
	}
	return rec, problems.Err()
}

// stream lists records with their verdicts, waiting for new ones.
func (f *Front) stream(w http.ResponseWriter, r *http.Request) {
	from, err := number(r, "from", 0)
	if err != nil {
		f.fail(w, err)
		return
	}
	wait, err := waitTime(r)
	if err != nil {
		f.fail(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	_ = f.Follower.WaitOffset(ctx, from+1)
	kept, err := f.Follower.RecordsFrom(r.Context(), from, streamLimit)
	if err != nil {
		f.fail(w, err)
		return
	}
	if !kept.Kept {
		f.refuse(w, http.StatusGone, wire.ErrorBody{
			Error: fmt.Sprintf("offset %d is no longer kept by this entry; it is at %d", from, kept.Next),
		})
		return
	}
	out := wire.StreamPage{Next: from + uint64(len(kept.Records)), Records: []wire.StreamRecord{}}
	for _, j := range kept.Records {
		out.Records = append(out.Records, wire.StreamRecord{
			Offset: j.Verdict.Offset, Verdict: j.Verdict, Record: readable(j.Raw),
		})
	}
	f.answer(w, http.StatusOK, out)
}

// members lists the entries as seen from this one.
func (f *Front) members(w http.ResponseWriter, r *http.Request) {
	peers, err := f.Members.Peers(r.Context())
	if err != nil {
		f.fail(w, err)
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
	f.answer(w, http.StatusOK, out)
}

// status tells how this entry is.
func (f *Front) status(w http.ResponseWriter, r *http.Request) {
	p, err := f.Follower.Progress(r.Context())
	if err != nil {
		f.fail(w, err)
		return
	}
	out, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) wire.EntryStatus {
		return wire.EntryStatus{
			Offset: s.NextOffset, Lease: s.Lease, Hosts: len(s.Hosts), Pools: len(s.Pools), Jobs: len(s.Jobs),
			Waves: len(s.Waves), UnknownRecords: len(s.Unknown),
		}
	})
	if err != nil {
		f.fail(w, err)
		return
	}
	out.Entry, out.Zone, out.Incarnation = f.settings.Name, f.settings.Zone, f.incarnation
	out.AgeMS, out.LogError = age(p), p.LogError
	out.Hash, out.HashAt, out.Diverged = p.Hash, p.HashOffset, p.Diverged
	summary, err := f.Router.Summary(r.Context())
	if err != nil {
		f.fail(w, err)
		return
	}
	for _, k := range summary.Kinds {
		out.Kinds = append(out.Kinds, wire.KindLoad{
			Kind: k.Kind, Pool: k.Pool, Queued: k.Queued, Running: k.Running, Slots: k.Slots, Lent: k.Lent,
			Done: f.Meter.Outcome(k.Kind, wire.Done), NotRun: f.Meter.Outcome(k.Kind, wire.NotRun),
			Unknown: f.Meter.Outcome(k.Kind, wire.Unknown), Retries: k.Retried,
		})
	}
	f.answer(w, http.StatusOK, out)
}

// age is how long ago nothing newer was known, in milliseconds; -1 if that never was.
func age(p follow.Progress) int64 {
	if p.ConfirmedAt.IsZero() {
		return -1
	}
	return time.Since(p.ConfirmedAt).Milliseconds()
}

// carry answers what a pool or the fleet can carry.
func (f *Front) carry(w http.ResponseWriter, r *http.Request) {
	ask(f, w, r, query.AnswerCarry, func(a *query.CarryAnswer, v query.View) { a.View = v })
}

// leave answers which hosts may leave.
func (f *Front) leave(w http.ResponseWriter, r *http.Request) {
	ask(f, w, r, query.AnswerLeave, func(a *query.LeaveAnswer, v query.View) { a.View = v })
}

// ask answers a question from the folded state, with the view that it was computed
// from.
func ask[Q interface{ Check() record.Problems }, A any](
	f *Front, w http.ResponseWriter, r *http.Request,
	answer func(*ledger.State, Q) (A, error), setView func(*A, query.View),
) {
	raw, err := readBody(w, r, record.MaxBytes)
	if err != nil {
		f.fail(w, err)
		return
	}
	q, err := codec.DecodeStrict[Q](raw)
	if err == nil {
		err = q.Check().Err()
	}
	if err == nil {
		err = f.waitMinOffset(r)
	}
	if err != nil {
		f.fail(w, err)
		return
	}
	p, err := f.Follower.Progress(r.Context())
	if err == nil && !p.Configured {
		err = follow.ErrNoConfig
	}
	if err != nil {
		f.fail(w, err)
		return
	}
	type result struct {
		answer A
		offset uint64
		err    error
	}
	got, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) result {
		a, err := answer(s, q)
		return result{a, s.NextOffset, err}
	})
	if err == nil {
		err = got.err
	}
	if err != nil {
		f.fail(w, err)
		return
	}
	setView(&got.answer, query.View{Offset: got.offset, AgeMS: age(p)})
	f.answer(w, http.StatusOK, got.answer)
}
