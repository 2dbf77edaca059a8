// Package front serves callers and operators over HTTP. It turns what comes into
// plain messages and answers back into HTTP, and decides nothing by itself.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/invoke"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// Dependencies are what the front hands messages to.
type Dependencies struct {
	Follower *follow.Follower
	Members  *member.Tracker
	Router   *route.Router
	Invoker  *invoke.Invoker
	Meter    *vars.Set
	Keys     *keys.Store
	Logger   *slog.Logger
}

// Front serves HTTP. Use [New] to build it.
type Front struct {
	Dependencies
	settings    *setup.Settings
	incarnation uint64
	// stopping is set when the balancer shall send no more.
	stopping atomic.Bool
}

// New builds a front.
func New(s *setup.Settings, incarnation uint64, p Dependencies) *Front {
	return &Front{Dependencies: p, settings: s, incarnation: incarnation}
}

// MarkStopping makes the readiness page say that the entry takes no more requests.
func (f *Front) MarkStopping() { f.stopping.Store(true) }

// Handler returns the handler of all paths.
func (f *Front) Handler() http.Handler {
	common := alice.New(f.recoverPanics)
	operators := common.Append(f.operatorsOnly)
	mux := http.NewServeMux()
	mux.Handle("POST "+wire.PathRequests+"{kind}", common.ThenFunc(f.request))
	mux.Handle("GET "+wire.PathTickets, common.ThenFunc(f.issueID))
	mux.Handle("POST "+wire.PathRecords, operators.ThenFunc(f.publish))
	mux.Handle("GET "+wire.PathRecords, common.ThenFunc(f.stream))
	mux.Handle("GET "+wire.PathObjects+"{kind}", common.ThenFunc(f.objects))
	mux.Handle("GET "+wire.PathObjects+"{kind}/{name}", common.ThenFunc(f.object))
	mux.Handle("GET "+wire.PathExplain+"{kind}/{name}", common.ThenFunc(f.explain))
	mux.Handle("GET "+wire.PathMembers, common.ThenFunc(f.members))
	mux.Handle("GET "+wire.PathStatus, common.ThenFunc(f.status))
	mux.Handle("POST "+wire.PathCarry, common.ThenFunc(f.carry))
	mux.Handle("POST "+wire.PathLeave, common.ThenFunc(f.leave))
	mux.Handle("GET "+wire.PathLive, common.ThenFunc(f.live))
	mux.Handle("GET "+wire.PathReady, common.ThenFunc(f.ready))
	mux.Handle("GET "+wire.PathMetrics, common.Then(f.Meter.Handler()))
	mux.Handle("/", common.ThenFunc(f.unknownPath))
	return mux
}

// recoverPanics turns a panic into an answer; the request may have run.
func (f *Front) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				f.Logger.Error("panic", "path", r.URL.Path, "panic", fmt.Sprint(p))
				w.Header().Set(wire.HeaderOutcome, string(wire.Unknown))
				f.refuse(w, http.StatusInternalServerError, wire.ErrorBody{Error: "internal error"})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// operatorsOnly lets operators in, and everyone where the settings say so.
func (f *Front) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Keys.Allows(r, keys.Operator) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			f.refuse(w, http.StatusUnauthorized, wire.ErrorBody{Error: "an operator's key is needed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (f *Front) unknownPath(w http.ResponseWriter, r *http.Request) {
	f.refuse(w, http.StatusNotFound, wire.ErrorBody{Error: "no such path: " + r.Method + " " + r.URL.Path})
}

func (f *Front) live(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") }

// ready tells the balancer whether to send requests.
func (f *Front) ready(w http.ResponseWriter, r *http.Request) {
	p, err := f.Follower.Progress(r.Context())
	switch {
	case f.stopping.Load():
		f.refuse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "stopping"})
	case err != nil:
		f.refuse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: err.Error()})
	case !p.Configured || !p.Trusted:
		f.refuse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: follow.ErrNoConfig.Error()})
	default:
		fmt.Fprintln(w, "ready")
	}
}

// refuse answers with an error.
func (f *Front) refuse(w http.ResponseWriter, status int, body wire.ErrorBody) {
	if status < http.StatusInternalServerError {
		f.Meter.BadInput(status)
	}
	f.answer(w, status, body)
}

func (f *Front) answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		f.Logger.Error("encode answer", "error", err)
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// fail answers with an error of the asker or of the entry.
func (f *Front) fail(w http.ResponseWriter, err error) {
	var problems record.Problems
	var tooLarge *http.MaxBytesError
	status, body := http.StatusServiceUnavailable, wire.ErrorBody{Error: err.Error()}
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
		body.Error = fmt.Sprintf("body: larger than the limit of %d bytes", tooLarge.Limit)
	case errors.As(err, &problems):
		status, body.Problems = http.StatusBadRequest, problems
	case errors.Is(err, errNotFound):
		status = http.StatusNotFound
	}
	f.refuse(w, status, body)
}

var errNotFound = errors.New("not found")

// readBody reads a whole body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
}

// number reads a whole number from the URL; the fallback stands for a missing one.
func number(r *http.Request, key string, fallback uint64) (uint64, error) {
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
	// defaultWait bounds the wait for an offset, or for new records.
	defaultWait = 2 * time.Second
	// maxWait is the longest wait that can be asked for.
	maxWait = time.Minute
)

// waitTime reads how long the asker waits.
func waitTime(r *http.Request) (time.Duration, error) {
	ms, err := number(r, "wait-ms", uint64(defaultWait.Milliseconds()))
	return min(time.Duration(min(ms, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait), err
}

// waitMinOffset waits until the offset that the asker names is in force here.
func (f *Front) waitMinOffset(r *http.Request) error {
	offset, err := number(r, wire.QueryMinOffset, 0)
	if err != nil {
		return err
	}
	wait, err := waitTime(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	if err := f.Follower.WaitOffset(ctx, offset); err != nil {
		p, progressErr := f.Follower.Progress(r.Context())
		if progressErr != nil {
			return progressErr
		}
		return fault.New("wait-offset", "", "offset %d is not in force here yet; this entry is at %d", offset, p.Offset)
	}
	return nil
}
