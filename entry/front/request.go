package front

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// request runs a caller's request.
func (f *Front) request(w http.ResponseWriter, r *http.Request) {
	req, problems := f.parse(r)
	if len(problems) > 0 {
		f.Meter.Request("", wire.NotRun)
		setOutcome(w, work.NotRun(problems.Error()), f.settings.Name)
		f.refuse(w, http.StatusBadRequest, wire.ErrorBody{Error: problems.Error(), Problems: problems})
		return
	}
	if r.ContentLength > int64(f.settings.Limits.Body) {
		why := fmt.Sprintf("body: %d bytes, the limit is %d", r.ContentLength, f.settings.Limits.Body)
		setOutcome(w, work.NotRun(why), f.settings.Name)
		f.refuse(w, http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: why})
		return
	}
	var body []byte
	var bodyErr error
	loaded := false
	req.ReadBody = func() ([]byte, error) {
		if !loaded {
			body, bodyErr = readBody(w, r, f.settings.Limits.Body)
			loaded = true
		}
		return body, bodyErr
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	a := f.Invoker.Do(ctx, req)
	f.Meter.Request(req.Kind, a.Outcome)
	f.respond(w, a, bodyErr)
}

// parse reads a request's headers.
func (f *Front) parse(r *http.Request) (work.Request, record.Problems) {
	var p record.Problems
	req := work.Request{
		ID: r.Header.Get(wire.HeaderID), Kind: r.PathValue("kind"), BodySize: int(r.ContentLength),
		ContentType: r.Header.Get("Content-Type"), TraceParent: r.Header.Get(trace.Header), Urgency: jobs.Normal,
	}
	p.CheckName("kind", req.Kind)
	if req.ID == "" || len(req.ID) > wire.MaxID {
		p.Add(wire.HeaderID, strconv.Quote(req.ID), fmt.Sprintf("1 to %d bytes", wire.MaxID))
	}
	if u := r.Header.Get(wire.HeaderUrgency); u != "" {
		req.Urgency = jobs.Urgency(u)
		if !req.Urgency.Known() {
			p.Add(wire.HeaderUrgency, strconv.Quote(u), "low, normal or urgent")
		}
	}
	switch text := r.Header.Get(wire.HeaderIdempotent); text {
	case "true", "false":
		req.Idempotent = text == "true"
	default:
		p.Add(wire.HeaderIdempotent, strconv.Quote(text), "true or false")
	}
	req.Deadline = time.Now().Add(f.settings.Limits.DefaultDeadline)
	if text := r.Header.Get(wire.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > wire.MaxDeadlineMS {
			p.Add(wire.HeaderDeadline, strconv.Quote(text), fmt.Sprintf("from 1 to %d", wire.MaxDeadlineMS))
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return req, p
}

func setOutcome(w http.ResponseWriter, a work.Answer, entry string) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(a.Outcome))
	h.Set(wire.HeaderEntry, entry)
	if a.Target != "" {
		h.Set(wire.HeaderTarget, a.Target)
	}
	if a.Reason != "" {
		h.Set(wire.HeaderReason, a.Reason)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
}

// respond writes an answer. A done one is the target's, whole; its length tells the
// caller whether it got all of it.
func (f *Front) respond(w http.ResponseWriter, a work.Answer, bodyErr error) {
	setOutcome(w, a, a.Entry)
	switch {
	case a.Outcome == wire.Done:
		if a.ContentType != "" {
			w.Header().Set("Content-Type", a.ContentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
	case a.Outcome == wire.Unknown:
		f.refuse(w, http.StatusGatewayTimeout, wire.ErrorBody{Error: a.Reason})
	case bodyErr != nil:
		f.fail(w, bodyErr)
	case a.Invalid:
		f.refuse(w, http.StatusBadRequest, wire.ErrorBody{Error: a.Reason})
	default:
		f.refuse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: a.Reason})
	}
}

// issueID issues an ID for a non-idempotent request.
func (f *Front) issueID(w http.ResponseWriter, r *http.Request) {
	id, err := f.Invoker.IssueID(r.Context(), r.URL.Query().Get("kind"))
	if err != nil {
		f.refuse(w, http.StatusBadRequest, wire.ErrorBody{
			Error:    err.Error(),
			Problems: record.Problems{{Field: "kind", Got: strconv.Quote(r.URL.Query().Get("kind")), Allowed: "a kind that a pool serves"}},
		})
		return
	}
	f.answer(w, http.StatusOK, wire.Ticket{ID: id})
}
