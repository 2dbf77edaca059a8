package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"carawaymux.dev/fleet/fault"
)

// defaultTimeout limits a call to the platform, not counting the time that a read waits for
// records.
const defaultTimeout = 3 * time.Second

// Client calls the platform over HTTP with JSON. Its fields do not change after [New], so several
// tasks may use it at the same time.
type Client struct {
	logURL  string
	hostURL string
	http    *http.Client
	timeout time.Duration
}

// Option changes how a client is built.
type Option func(*Client)

// WithTimeout limits each call, in addition to the time that a read waits for records.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New builds a client for the log service and the host service with the given base URLs.
func New(logURL, hostURL string, opts ...Option) *Client {
	c := &Client{
		logURL: logURL, hostURL: hostURL, timeout: defaultTimeout,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append appends one record and returns its offset. After an error the record may have been
// appended anyway.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out struct {
		Offset uint64 `json:"offset"`
	}
	err := c.call(ctx, "append", http.MethodPost, c.streamURL(stream, "/records", nil), data, &out)
	return out.Offset, err
}

// Bounds returns the range of offsets that a stream holds.
func (c *Client) Bounds(ctx context.Context, stream string) (Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out Bounds
	err := c.call(ctx, "bounds", http.MethodGet, c.streamURL(stream, "", nil), nil, &out)
	return out, err
}

// Read returns the records of a stream from an offset on. It waits up to wait for the first one, and
// returns an empty page if none arrives. If the offset is no longer retained, it returns a
// [GoneError].
func (c *Client) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("limit", strconv.Itoa(min(limit, MaxRead)))
	q.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out Page
	err := c.call(ctx, "read", http.MethodGet, c.streamURL(stream, "/records", q), nil, &out)
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusGone {
		bounds, boundsErr := c.Bounds(ctx, stream)
		if boundsErr != nil {
			return Page{}, boundsErr
		}
		return Page{}, fault.At("read", c.logURL, &GoneError{Bounds: bounds, From: from})
	}
	return out, err
}

// Hosts returns the platform's list of machines and the list's entity tag. If the platform supports
// entity tags and its list still has the given one, changed is false and no list is returned.
func (c *Client) Hosts(ctx context.Context, tag string) (list MachineList, newTag string, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.hostURL+"/hosts", nil)
	if err != nil {
		return list, "", false, fault.At("hosts", c.hostURL, err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, "", false, fault.At("hosts", req.URL.Host, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return list, tag, false, nil
	}
	err = decode("hosts", req, resp, &list)
	return list, resp.Header.Get("ETag"), true, err
}

// Drain tells the platform that a host will be rebooted. The call may be repeated.
func (c *Client) Drain(ctx context.Context, hostName string, fence uint64) error {
	return c.callFenced(ctx, "drain", hostName, fence)
}

// Reboot reboots a host. Repeating a call with the same fence has no further effect.
func (c *Client) Reboot(ctx context.Context, hostName string, fence uint64) error {
	return c.callFenced(ctx, "reboot", hostName, fence)
}

func (c *Client) callFenced(ctx context.Context, verb, hostName string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := fmt.Sprintf("%s/hosts/%s/%s?fence=%d", c.hostURL, url.PathEscape(hostName), verb, fence)
	return c.call(ctx, verb, http.MethodPost, target, nil, nil)
}

// StartTask starts a task under a lease. If the task already runs under the same fence, it renews
// the lease.
func (c *Client) StartTask(ctx context.Context, hostName, job string, task int, start TaskStart) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(start)
	if err != nil {
		return fault.At("start-task", c.hostURL, err)
	}
	return c.call(ctx, "start-task", http.MethodPut, c.taskURL(hostName, job, task), body, nil)
}

// StopTask stops a task. The call may be repeated. The platform refuses a lower fence than the
// highest one that it has seen for the task.
func (c *Client) StopTask(ctx context.Context, hostName, job string, task int, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := fmt.Sprintf("%s?fence=%d", c.taskURL(hostName, job, task), fence)
	return c.call(ctx, "stop-task", http.MethodDelete, target, nil, nil)
}

// Report returns the platform's usage report.
func (c *Client) Report(ctx context.Context) (UsageReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out UsageReport
	err := c.call(ctx, "usage", http.MethodGet, c.hostURL+"/usage", nil, &out)
	return out, err
}

func (c *Client) taskURL(hostName, job string, task int) string {
	return fmt.Sprintf("%s/hosts/%s/tasks/%s/%d",
		c.hostURL, url.PathEscape(hostName), url.PathEscape(job), task)
}

func (c *Client) streamURL(stream, path string, q url.Values) string {
	out := c.logURL + "/streams/" + url.PathEscape(stream) + path
	if len(q) > 0 {
		out += "?" + q.Encode()
	}
	return out
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Code int
	Text string
}

// Error returns the status and the text of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d: %s", e.Code, e.Text)
}

// maxErrorText limits how much of the text of an error response is kept, in bytes.
const maxErrorText = 512

func (c *Client) call(
	ctx context.Context, step, method, target string, body []byte, out any,
) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fault.At(step, target, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.At(step, req.URL.Host, err)
	}
	defer resp.Body.Close()
	return decode(step, req, resp, out)
}

// decode decodes a response into out, which may be nil.
func decode(step string, req *http.Request, resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		return fault.At(step, req.URL.Host, &StatusError{resp.StatusCode, string(bytes.TrimSpace(text))})
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxResponse)).Decode(out); err != nil {
		return fault.At(step, req.URL.Host, err)
	}
	return nil
}
