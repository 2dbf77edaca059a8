// Package client is the HTTP client with which operators and callers use an entry.
package client

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
	"strings"
	"time"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

const (
	// maxResponse limits how much of a response is read, in bytes.
	maxResponse = 256 << 20
	// answerMargin is how long after the deadline of a request its answer may arrive.
	answerMargin = 10 * time.Second
)

// Client calls one entry. Its fields do not change after [New].
type Client struct {
	base string
	key  string
	http *http.Client
}

// Option changes how a client is built.
type Option func(*Client)

// WithKey sets the key that authenticates the client to the entry.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithHTTP sets the HTTP client.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New builds a client for the entry with the given base URL, for example http://127.0.0.1:7000.
func New(base string, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Error is a response of the entry with an error status.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Body is the body of the response.
	Body wire.ErrorBody
}

// Error returns the entry's message and the status.
func (e *Error) Error() string { return fmt.Sprintf("%s (status %d)", e.Body.Error, e.Status) }

// Publish appends a record and returns the verdict on it. If the ledger rejects the record, the
// error is an [Error] that contains the verdict.
func (c *Client) Publish(ctx context.Context, r record.Record) (record.Verdict, error) {
	raw, err := codec.EncodeRecord(r)
	if err != nil {
		return record.Verdict{}, err
	}
	return c.PublishRaw(ctx, raw)
}

// PublishRaw does the same as [Client.Publish] for a record that is already encoded.
func (c *Client) PublishRaw(ctx context.Context, raw []byte) (record.Verdict, error) {
	var out wire.PublishResult
	err := c.call(ctx, http.MethodPost, wire.PathRecords, nil, raw, &out)
	return out.Verdict, err
}

// Objects lists the objects of a kind in a schema version; 0 selects the newest version.
func (c *Client) Objects(ctx context.Context, k record.Kind, schema int) (wire.ObjectList, error) {
	var out wire.ObjectList
	err := c.call(ctx, http.MethodGet, wire.PathObjects+url.PathEscape(string(k)), schemaQuery(schema), nil, &out)
	return out, err
}

// Object returns one object in a schema version; 0 selects the newest version.
func (c *Client) Object(ctx context.Context, k record.Kind, name string, schema int) (wire.Object, error) {
	var out wire.ObjectList
	path := wire.PathObjects + url.PathEscape(string(k)) + "/" + url.PathEscape(name)
	if err := c.call(ctx, http.MethodGet, path, schemaQuery(schema), nil, &out); err != nil {
		return wire.Object{}, err
	}
	if len(out.Objects) != 1 {
		return wire.Object{}, fault.New("look-up", c.base, "the entry returned %d objects named %q, 1 expected", len(out.Objects), name)
	}
	return out.Objects[0], nil
}

func schemaQuery(schema int) url.Values {
	if schema == 0 {
		return nil
	}
	return url.Values{"schema": {strconv.Itoa(schema)}}
}

// Explain returns what the system did with an object, and why.
func (c *Client) Explain(ctx context.Context, k record.Kind, name string) (wire.Explanation, error) {
	var out wire.Explanation
	path := wire.PathExplain + url.PathEscape(string(k)) + "/" + url.PathEscape(name)
	err := c.call(ctx, http.MethodGet, path, nil, nil, &out)
	return out, err
}

// Members lists the entries as this entry sees them.
func (c *Client) Members(ctx context.Context) ([]wire.Member, error) {
	var out wire.MemberList
	err := c.call(ctx, http.MethodGet, wire.PathMembers, nil, nil, &out)
	return out.Members, err
}

// Status returns the state of the entry.
func (c *Client) Status(ctx context.Context) (wire.EntryStatus, error) {
	var out wire.EntryStatus
	err := c.call(ctx, http.MethodGet, wire.PathStatus, nil, nil, &out)
	return out, err
}

// Ready returns nil if the entry accepts requests.
func (c *Client) Ready(ctx context.Context) error {
	return c.call(ctx, http.MethodGet, wire.PathReady, nil, nil, nil)
}

// Carry asks whether a pool, or the whole fleet, has capacity for more work. The entry responds
// once it has applied the records up to minOffset.
func (c *Client) Carry(ctx context.Context, q query.Carry, minOffset uint64) (query.CarryAnswer, error) {
	return postQuery[query.Carry, query.CarryAnswer](ctx, c, wire.PathCarry, q, minOffset)
}

// Leave asks which hosts may leave service. The entry responds once it has applied the records up
// to minOffset.
func (c *Client) Leave(ctx context.Context, q query.Leave, minOffset uint64) (query.LeaveAnswer, error) {
	return postQuery[query.Leave, query.LeaveAnswer](ctx, c, wire.PathLeave, q, minOffset)
}

func postQuery[Q, A any](ctx context.Context, c *Client, path string, q Q, minOffset uint64) (A, error) {
	var out A
	raw, err := json.Marshal(q)
	if err != nil {
		return out, err
	}
	var params url.Values
	if minOffset > 0 {
		params = url.Values{wire.QueryMinOffset: {strconv.FormatUint(minOffset, 10)}}
	}
	err = c.call(ctx, http.MethodPost, path, params, raw, &out)
	return out, err
}

// ReadLog returns the records of the log from an offset on. It waits up to wait for the first one.
func (c *Client) ReadLog(ctx context.Context, from uint64, wait time.Duration) (wire.LogPage, error) {
	var out wire.LogPage
	params := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.call(ctx, http.MethodGet, wire.PathRecords, params, nil, &out)
	return out, err
}

// IssueID returns an ID for one non-idempotent request of a kind.
func (c *Client) IssueID(ctx context.Context, kind string) (string, error) {
	var out wire.IssuedID
	err := c.call(ctx, http.MethodGet, wire.PathIDs, url.Values{"kind": {kind}}, nil, &out)
	return out.ID, err
}

// Request is a caller's request.
type Request struct {
	Kind       string
	ID         string
	Urgency    string
	Idempotent bool
	// Deadline is how long the caller waits; 0 selects the default of the entry.
	Deadline time.Duration
	Body     []byte
}

// Response is the response to a request.
type Response struct {
	Outcome wire.Outcome
	Status  int
	Body    []byte
	Target  string
	Entry   string
	Reason  string
	// RetryAfter is how long to wait before a retry; 0 means not given.
	RetryAfter time.Duration
}

// Do sends a request and reads the complete response. If the connection fails, the outcome is
// unknown, since the request may have run, and the error says why.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+wire.PathRequests+url.PathEscape(r.Kind),
		bytes.NewReader(r.Body))
	if err != nil {
		return Response{Outcome: wire.NotRun}, fault.At("request", c.base, err)
	}
	c.authorize(req)
	req.Header.Set(wire.HeaderID, r.ID)
	req.Header.Set(wire.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if r.Urgency != "" {
		req.Header.Set(wire.HeaderUrgency, r.Urgency)
	}
	if r.Deadline > 0 {
		req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	resp, err := c.patientHTTP(r.Deadline).Do(req)
	if err != nil {
		return Response{Outcome: wire.Unknown, Reason: err.Error()}, fault.At("request", c.base, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return Response{Outcome: wire.Unknown, Reason: err.Error()}, fault.At("read-answer", c.base, err)
	}
	h := resp.Header
	seconds, _ := strconv.Atoi(h.Get("Retry-After"))
	return Response{
		Outcome: wire.Outcome(h.Get(wire.HeaderOutcome)), Status: resp.StatusCode, Body: body,
		Target: h.Get(wire.HeaderTarget), Entry: h.Get(wire.HeaderEntry), Reason: h.Get(wire.HeaderReason),
		RetryAfter: time.Duration(seconds) * time.Second,
	}, nil
}

func (c *Client) authorize(req *http.Request) {
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// patientHTTP returns an HTTP client whose timeout is later than the deadline of a request.
func (c *Client) patientHTTP(deadline time.Duration) *http.Client {
	if c.http.Timeout == 0 || deadline == 0 {
		return c.http
	}
	patient := *c.http
	patient.Timeout = max(patient.Timeout, deadline+answerMargin)
	return &patient
}

func (c *Client) call(ctx context.Context, method, path string, params url.Values, body []byte, out any) error {
	target := c.base + path
	if len(params) > 0 {
		target += "?" + params.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fault.At("call", c.base, err)
	}
	c.authorize(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.At("call", c.base, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return fault.At("read-answer", c.base, err)
	}
	if resp.StatusCode != http.StatusOK {
		e := &Error{Status: resp.StatusCode}
		if json.Unmarshal(raw, &e.Body) != nil || e.Body.Error == "" {
			e.Body.Error = strings.TrimSpace(string(raw))
		}
		return fault.At("call", c.base, e)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fault.At("read-answer", c.base, errors.Join(errors.New("the response is not the expected JSON"), err))
	}
	return nil
}

// NewRecord builds an operator's record in the newest schema version of its kind.
func NewRecord(author, object string, base uint64, body record.Body) record.Record {
	return record.Record{
		ID: record.NewID(), Schema: codec.NewestSchema(body.Kind()), Author: author, Object: object, Base: base,
		At: time.Now().UnixMilli(), Body: body,
	}
}
