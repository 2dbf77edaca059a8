package invoke

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/wire"
)

// headerLeaving is set to true by a target that takes no new requests.
const headerLeaving = "Caraway-Leaving"

// targets sends requests to targets over HTTP.
type targets struct {
	client         *http.Client
	maxAnswerBytes int
}

// maxIdleConnections is the largest number of idle connections to one target.
const maxIdleConnections = 8

func newTargets(maxAnswerBytes, maxConnections int) *targets {
	dialer := &net.Dialer{Timeout: time.Second}
	return &targets{maxAnswerBytes: maxAnswerBytes, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections, MaxConnsPerHost: maxConnections,
		DisableCompression: true, IdleConnTimeout: time.Minute,
	}}}
}

// Close closes idle connections.
func (t *targets) Close() { t.client.CloseIdleConnections() }

// sendResult is the result of sending a request to a target.
type sendResult struct {
	answer     work.Answer
	slotResult route.Result
	// retry is set if another attempt may succeed. Whether it is safe depends on the
	// request.
	retry bool
	// lost is set if the connection was lost while the target had the request.
	lost bool
}

// send sends a request to a target and reads the whole response.
func (t *targets) send(ctx context.Context, g *route.Grant, r work.Request, body []byte, parent string) sendResult {
	start := time.Now()
	result := t.exchange(ctx, g, r, body, parent)
	result.answer.Target, result.answer.LostTargets = g.Host, r.LostTargets
	if result.lost {
		result.answer.LostTargets++
	}
	result.slotResult.Duration = time.Since(start)
	return result
}

func (t *targets) exchange(ctx context.Context, g *route.Grant, r work.Request, body []byte, parent string) sendResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Address+"/run/"+r.Kind, bytes.NewReader(body))
	if err != nil {
		return sendResult{answer: work.NotRun(err.Error())}
	}
	req.Header.Set(wire.HeaderID, r.ID)
	req.Header.Set(wire.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if parent != "" {
		req.Header.Set(trace.Header, parent)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		result := failure("send", g.Host, err)
		result.answer.NoAttempt = errors.Is(err, syscall.ECONNREFUSED) && !g.Disconnected
		return result
	}
	defer resp.Body.Close()
	return t.readAnswer(g, r, resp)
}

// failure returns the result of a failed exchange. If the connection could not be opened, the request
// has not run; otherwise it may have run.
func failure(step, peer string, err error) sendResult {
	reason := fault.At(step, peer, err).Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a := work.NotRun(reason)
		a.Refused = true
		return sendResult{answer: a,
			slotResult: route.Result{Attempted: true, Failed: true, Disconnected: true}, retry: true}
	}
	lost := connectionLost(err)
	return sendResult{answer: work.Unknown(reason),
		slotResult: route.Result{Attempted: true, Failed: true, Disconnected: lost}, retry: true, lost: lost}
}

// connectionLost reports whether the target has closed or reset the connection, as a target that
// crashes does. A target that is silent or slow does not.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// readAnswer reads the target's response. An incomplete response is a failure.
func (t *targets) readAnswer(g *route.Grant, r work.Request, resp *http.Response) sendResult {
	leaving := resp.Header.Get(headerLeaving) == "true"
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderOutcome) == string(wire.NotRun) {
		return sendResult{
			answer:     work.NotRun("target " + g.Host + " refused the request: it takes no requests now"),
			slotResult: route.Result{Leaving: leaving}, retry: true,
		}
	}
	if id := resp.Header.Get(wire.HeaderID); id != "" && id != r.ID {
		return failure("match", g.Host, fmt.Errorf("the response is for request %q, not for the one that was sent", id))
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return failure("read", g.Host, errors.New("the response has neither a content length nor chunked encoding, so it may be incomplete"))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(t.maxAnswerBytes)+1))
	if err != nil {
		return failure("read", g.Host, err)
	}
	if len(body) > t.maxAnswerBytes {
		result := failure("read", g.Host, fmt.Errorf("the response is larger than the limit of %d bytes", t.maxAnswerBytes))
		result.retry = false
		return result
	}
	serverError := resp.StatusCode >= http.StatusInternalServerError
	return sendResult{
		answer: work.Answer{
			Outcome: wire.Done, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		},
		slotResult: route.Result{Attempted: true, Failed: serverError, Leaving: leaving},
		retry:      serverError,
	}
}
