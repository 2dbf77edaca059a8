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
	"time"

	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/wire"
)

// headerLeaving is set by a target that takes no new requests.
const headerLeaving = "Caraway-Leaving"

// targets sends requests to targets over HTTP.
type targets struct {
	client *http.Client
	limit  int
}

// maxIdle is the number of idle connections kept for each target.
const maxIdle = 8

func newTargets(limit, connections int) *targets {
	dialer := &net.Dialer{Timeout: time.Second}
	return &targets{limit: limit, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, MaxConnsPerHost: connections,
		DisableCompression: true, IdleConnTimeout: time.Minute,
	}}}
}

// Close gives up idle connections.
func (t *targets) Close() { t.client.CloseIdleConnections() }

// sent is what came of sending a request to a target.
type sent struct {
	answer work.Answer
	result route.Result
	// retry says that another target may be tried if the request allows it.
	retry bool
}

// send sends a request to a target and reads the whole answer.
func (t *targets) send(ctx context.Context, g *route.Grant, r work.Request, body []byte, parent string) sent {
	start := time.Now()
	out := t.exchange(ctx, g, r, body, parent)
	out.answer.Target = g.Host
	out.result.Duration = time.Since(start)
	return out
}

func (t *targets) exchange(ctx context.Context, g *route.Grant, r work.Request, body []byte, parent string) sent {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Address+"/run/"+r.Kind, bytes.NewReader(body))
	if err != nil {
		return sent{answer: work.NotRun(err.Error())}
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
		return failed("send", g.Host, err)
	}
	defer resp.Body.Close()
	return t.read(g, r, resp)
}

// failed tells a request that never reached the target from one that may have.
func failed(step, peer string, err error) sent {
	reason := fault.At(step, peer, err).Error()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return sent{answer: work.NotRun(reason), result: route.Result{Attempted: true, Failed: true}, retry: true}
	}
	return sent{answer: work.Unknown(reason), result: route.Result{Attempted: true, Failed: true}, retry: true}
}

// read takes the target's answer, and passes it on only when it is whole.
func (t *targets) read(g *route.Grant, r work.Request, resp *http.Response) sent {
	leaving := resp.Header.Get(headerLeaving) == "true"
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderOutcome) == string(wire.NotRun) {
		return sent{
			answer: work.NotRun("target " + g.Host + " takes no requests"),
			result: route.Result{Leaving: leaving}, retry: true,
		}
	}
	if id := resp.Header.Get(wire.HeaderID); id != "" && id != r.ID {
		return failed("match", g.Host, fmt.Errorf("the answer is for request %q", id))
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return failed("read", g.Host, errors.New("the answer tells neither its length nor its end"))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(t.limit)+1))
	if err != nil {
		return failed("read", g.Host, err)
	}
	if len(body) > t.limit {
		out := failed("read", g.Host, fmt.Errorf("the answer is larger than the limit of %d bytes", t.limit))
		out.retry = false
		return out
	}
	bad := resp.StatusCode >= http.StatusInternalServerError
	return sent{
		answer: work.Answer{
			Outcome: wire.Done, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		},
		result: route.Result{Attempted: true, Failed: bad, Leaving: leaving},
		retry:  bad,
	}
}
