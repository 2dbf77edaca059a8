package front

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// runRequest runs a caller's request. The body is read only when it is first needed, and kept for
// retries.
func (f *Front) runRequest(w http.ResponseWriter, r *http.Request, team string) {
	req, problems := f.parseRequest(r)
	req.Team = team
	if len(problems) > 0 {
		f.Metrics.Request("", wire.NotRun)
		setOutcomeHeaders(w, work.NotRun(problems.Error()), f.settings.Name)
		f.writeError(w, http.StatusBadRequest, wire.ErrorBody{Error: problems.Error(), Problems: problems})
		return
	}
	if r.ContentLength > int64(f.settings.Limits.Body) {
		reason := fmt.Sprintf("body: %d bytes, the limit is %d bytes", r.ContentLength, f.settings.Limits.Body)
		setOutcomeHeaders(w, work.NotRun(reason), f.settings.Name)
		f.writeError(w, http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: reason})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	var body []byte
	var bodyErr error
	loaded := false
	req.ReadBody = func() ([]byte, error) {
		if !loaded {
			body, bodyErr = readBody(ctx, w, r, f.settings.Limits.Body)
			loaded = true
		}
		return body, bodyErr
	}
	answer := f.Invoker.Do(ctx, req)
	f.Metrics.Request(req.Kind, answer.Outcome)
	limit.HoldAnswer(r.Context(), int64(len(answer.Body)))
	f.writeAnswer(w, answer, bodyErr)
}

// parseRequest reads the path and headers of a request and returns all problems that it finds.
func (f *Front) parseRequest(r *http.Request) (work.Request, record.Problems) {
	var problems record.Problems
	req := work.Request{
		ID: r.Header.Get(wire.HeaderID), Kind: r.PathValue("kind"), BodySize: int(r.ContentLength),
		ContentType: r.Header.Get("Content-Type"), TraceParent: r.Header.Get(trace.Header), Urgency: jobs.Normal,
	}
	problems.CheckName("kind", req.Kind)
	if req.ID == "" || len(req.ID) > wire.MaxID {
		problems.Add(wire.HeaderID, strconv.Quote(req.ID), fmt.Sprintf("1 to %d bytes", wire.MaxID))
	}
	if u := r.Header.Get(wire.HeaderUrgency); u != "" {
		req.Urgency = jobs.Urgency(u)
		if !req.Urgency.Known() {
			problems.Add(wire.HeaderUrgency, strconv.Quote(u), "low, normal or urgent")
		}
	}
	switch text := r.Header.Get(wire.HeaderIdempotent); text {
	case "true", "false":
		req.Idempotent = text == "true"
	default:
		problems.Add(wire.HeaderIdempotent, strconv.Quote(text), "true or false")
	}
	req.Deadline = time.Now().Add(f.settings.Limits.DefaultDeadline)
	if text := r.Header.Get(wire.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > wire.MaxDeadlineMS {
			problems.Add(wire.HeaderDeadline, strconv.Quote(text), fmt.Sprintf("from 1 to %d milliseconds", wire.MaxDeadlineMS))
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return req, problems
}

func setOutcomeHeaders(w http.ResponseWriter, answer work.Answer, entry string) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, string(answer.Outcome))
	h.Set(wire.HeaderEntry, entry)
	if answer.Target != "" {
		h.Set(wire.HeaderTarget, answer.Target)
	}
	if answer.Reason != "" {
		h.Set(wire.HeaderReason, answer.Reason)
	}
	if answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
}

// writeAnswer writes the answer to a caller's request. If the request is done, it writes the
// target's status and body unchanged. The Content-Length header lets the caller detect a truncated
// body.
func (f *Front) writeAnswer(w http.ResponseWriter, answer work.Answer, bodyErr error) {
	setOutcomeHeaders(w, answer, answer.Entry)
	switch {
	case answer.Outcome == wire.Done:
		if answer.ContentType != "" {
			w.Header().Set("Content-Type", answer.ContentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
	case answer.Outcome == wire.Unknown:
		f.writeError(w, http.StatusGatewayTimeout, wire.ErrorBody{Error: answer.Reason})
	case bodyErr != nil:
		f.handleError(w, bodyErr)
	case answer.Invalid:
		f.writeError(w, http.StatusBadRequest, wire.ErrorBody{Error: answer.Reason})
	default:
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: answer.Reason})
	}
}

// issueID issues the ID that a caller sends with a non-idempotent request.
func (f *Front) issueID(w http.ResponseWriter, r *http.Request, _ string) {
	id, err := f.Invoker.IssueID(r.Context(), r.URL.Query().Get("kind"))
	if err != nil {
		f.writeError(w, http.StatusBadRequest, wire.ErrorBody{
			Error:    err.Error(),
			Problems: record.Problems{{Field: "kind", Got: strconv.Quote(r.URL.Query().Get("kind")), Allowed: "a kind that a pool serves"}},
		})
		return
	}
	f.writeJSON(w, http.StatusOK, wire.IssuedID{ID: id})
}
