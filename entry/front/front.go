// Package front is the HTTP front end of an entry for callers and operators. It translates HTTP
// requests into messages to the entry's other parts, and their replies into HTTP responses. It
// takes no decisions of its own.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"

	"carawaymux.dev/entry/auth"
	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/invoke"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// Dependencies are the parts of the entry that the front end sends messages to.
type Dependencies struct {
	Follower *follow.Follower
	Members  *member.Tracker
	Router   *route.Router
	Invoker  *invoke.Invoker
	Metrics  *vars.Set
	Keys     *keys.Store
	// Gate decides on the keys of teams. It may be nil.
	Gate   *auth.Gate
	Logger *slog.Logger
}

// Front serves the HTTP API of an entry. Use [New] to build it.
type Front struct {
	Dependencies
	settings    *setup.Settings
	incarnation uint64
	// stopping makes the readiness check fail, so that the load balancer sends no more requests.
	stopping atomic.Bool
}

// New builds a front end. The incarnation identifies this start of the entry.
func New(s *setup.Settings, incarnation uint64, deps Dependencies) *Front {
	return &Front{Dependencies: deps, settings: s, incarnation: incarnation}
}

// MarkStopping makes the readiness check fail. Requests that still arrive are served.
func (f *Front) MarkStopping() { f.stopping.Store(true) }

// Handler returns the handler of all paths.
func (f *Front) Handler() http.Handler {
	common := alice.New(f.recoverPanics, f.closeWhileStopping)
	mux := http.NewServeMux()
	mux.Handle("POST "+wire.PathRequests+"{kind}", common.Then(f.admit(callers, f.runRequest)))
	mux.Handle("GET "+wire.PathIDs, common.Then(f.admit(callers, f.issueID)))
	mux.Handle("POST "+wire.PathRecords, common.Then(f.admit(readers, f.publish)))
	mux.Handle("GET "+wire.PathRecords, common.Then(f.operatorsRead(f.listRecords)))
	mux.Handle("GET "+wire.PathObjects+"{kind}", common.Then(f.admit(readers, f.objects)))
	mux.Handle("GET "+wire.PathObjects+"{kind}/{name}", common.Then(f.admit(readers, f.object)))
	mux.Handle("GET "+wire.PathExplain+"{kind}/{name}", common.Then(f.admit(readers, f.explain)))
	mux.Handle("GET "+wire.PathMembers, common.Then(f.admit(readers, f.members)))
	mux.Handle("GET "+wire.PathStatus, common.Then(f.operatorsRead(f.status)))
	mux.Handle("POST "+wire.PathCarry, common.Then(f.operatorsRead(f.queryCarry)))
	mux.Handle("POST "+wire.PathLeave, common.Then(f.operatorsRead(f.queryLeave)))
	mux.Handle("GET "+wire.PathLive, common.ThenFunc(f.live))
	mux.Handle("GET "+wire.PathReady, common.ThenFunc(f.ready))
	mux.Handle("GET "+wire.PathMetrics, common.Then(f.Metrics.Handler()))
	mux.Handle("/", common.ThenFunc(f.unknownPath))
	return mux
}

// recoverPanics answers with an error if a handler panics. The outcome is unknown, because the
// request may have run before the panic.
func (f *Front) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				f.Logger.Error("request handler panicked; answering with status 500 and outcome unknown", "path", r.URL.Path, "panic", fmt.Sprint(p))
				w.Header().Set(wire.HeaderOutcome, string(wire.Unknown))
				f.writeError(w, http.StatusInternalServerError, wire.ErrorBody{Error: "internal error: the request handler panicked"})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// closeWhileStopping makes callers open new connections, which the load balancer directs to other
// entries, before the server closes the connections that it believes to be idle.
func (f *Front) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Front) unknownPath(w http.ResponseWriter, r *http.Request) {
	f.writeError(w, http.StatusNotFound, wire.ErrorBody{Error: "no such path: " + r.Method + " " + r.URL.Path})
}

func (f *Front) live(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") }

// ready tells the load balancer whether to send requests to this entry.
func (f *Front) ready(w http.ResponseWriter, r *http.Request) {
	progress, err := f.Follower.Progress(r.Context())
	switch {
	case f.stopping.Load():
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "the entry is stopping; send requests to other entries"})
	case err != nil:
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: err.Error()})
	case !progress.Configured || !progress.Trusted:
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: follow.ErrNoConfig.Error()})
	case f.Gate != nil && f.Gate.IsClosed():
		f.writeError(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "keys of teams cannot be verified: the entry has not been able to read the log lately"})
	default:
		fmt.Fprintln(w, "ready")
	}
}

// writeError writes an error response and counts those with a 4xx status as bad input.
func (f *Front) writeError(w http.ResponseWriter, status int, body wire.ErrorBody) {
	if status < http.StatusInternalServerError {
		f.Metrics.BadInput(status)
	}
	f.writeJSON(w, status, body)
}

func (f *Front) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		f.Logger.Error("response could not be encoded as JSON; answering with status 500", "err", err)
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// handleError writes an error response with status 413, 400 or 404 if the error shows that the
// request is at fault, and otherwise 503.
func (f *Front) handleError(w http.ResponseWriter, err error) {
	var problems record.Problems
	var tooLarge *http.MaxBytesError
	status, body := http.StatusServiceUnavailable, wire.ErrorBody{Error: err.Error()}
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
		body.Error = fmt.Sprintf("body: larger than the limit of %d bytes", tooLarge.Limit)
	case errors.As(err, &problems):
		status, body.Problems = http.StatusBadRequest, problems
	case errors.Is(err, errAccessEnded):
		status = http.StatusUnauthorized
	case errors.Is(err, errNotFound):
		status = http.StatusNotFound
	case errors.Is(err, limit.ErrExhausted):
		w.Header().Set("Retry-After", exhaustedRetrySeconds)
	}
	f.writeError(w, status, body)
}

// exhaustedRetrySeconds is the Retry-After when clients hold all that they may hold together.
const exhaustedRetrySeconds = "1"

var errNotFound = errors.New("not found")

// readBody reads the whole body. It fails if the body is larger than maxBytes or has not arrived
// when ctx is done.
func readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, maxBytes int) ([]byte, error) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		close(interrupted)
	})
	raw, err := limit.ReadBody(ctx, w, r, int64(maxBytes))
	if stop() {
		return raw, err
	}
	<-interrupted
	// The server would cancel the next request on a connection whose read deadline has passed.
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New(work.EndReason(ctx, "before the body had arrived"))
	}
	return raw, err
}

// uintParam reads a whole number from the query of the URL. It returns the fallback if the
// parameter is missing.
func uintParam(r *http.Request, key string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, record.Problems{{Field: key, Got: strconv.Quote(text), Allowed: "a whole number"}}
	}
	return n, nil
}

const (
	// defaultWait is the timeout for an offset, or for new records, if the request sets none.
	defaultWait = 2 * time.Second
	// maxWait is the maximum timeout that a request can set.
	maxWait = time.Minute
)

// waitParam reads how long the client is willing to wait. Longer times than maxWait are reduced to
// it.
func waitParam(r *http.Request) (time.Duration, error) {
	ms, err := uintParam(r, "wait-ms", uint64(defaultWait.Milliseconds()))
	return min(time.Duration(min(ms, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait), err
}

// waitMinOffset waits until this entry has applied all records below the offset that the request
// asks for, so that the answer includes them.
func (f *Front) waitMinOffset(r *http.Request) error {
	offset, err := uintParam(r, wire.QueryMinOffset, 0)
	if err != nil {
		return err
	}
	timeout, err := waitParam(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	if err := f.Follower.WaitOffset(ctx, offset); err != nil {
		progress, progressErr := f.Follower.Progress(r.Context())
		if progressErr != nil {
			return progressErr
		}
		return fault.New("wait-offset", "", "this entry has not reached offset %d within the wait time; its next offset is %d", offset, progress.Offset)
	}
	return nil
}
