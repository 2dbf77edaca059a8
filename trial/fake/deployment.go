package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/trial/procs"
)

// Entry is a process of the system.
type Entry struct {
	Name, CallerAddress, ReadyAddress string
	settings                          string
	proc                              *procs.Proc
}

// Deployment is entries on a world.
type Deployment struct {
	*Platform
	Entries []*Entry
	bin     string
	dir     string
	http    *http.Client
}

// requestTimeout bounds one request of a caller.
const requestTimeout = 3 * time.Second

// NewDeployment lays out a number of entries that run the program in bin; their files are
// in dir.
func NewDeployment(w *Platform, bin, dir string, count int) (*Deployment, error) {
	s := &Deployment{Platform: w, bin: bin, dir: dir, http: &http.Client{Timeout: requestTimeout}}
	for i := range count {
		ports, err := procs.FreePorts(3)
		if err != nil {
			return nil, err
		}
		e := &Entry{
			Name: fmt.Sprintf("entry-%d", i), CallerAddress: ports[0], ReadyAddress: ports[1],
			settings: filepath.Join(dir, fmt.Sprintf("entry-%d.toml", i)),
		}
		_, peer, err := net.SplitHostPort(ports[2])
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(e.settings, []byte(w.settings(e, zones[i%len(zones)], peer)), 0o600); err != nil {
			return nil, err
		}
		s.Entries = append(s.Entries, e)
	}
	return s, nil
}

// settings is the platform's file for an entry.
func (w *Platform) settings(e *Entry, zone, peer string) string {
	return fmt.Sprintf(`node_name = %q
advice = %q
ip = "127.0.0.1"
zone = %q
internal_port_range = [%s, %s]
a_field_that_is_new = 1
[listen]
frontend = %q
ready = %q
[limits]
memory_mb = 284
[bounds]
max_hold_ms = 10000
grace_period_s = 6
stop_ms = 900
status_s = 120
remote_factor = 2
restore_ms = 600
notice_ms = 4500
lease_duration_ms = 3000
impact_ms = 4000
[platform]
address = %q
parts = 24
record_bytes = 262144
request_bytes = 2097152
[cloud_api]
address = %q
`, e.Name, w.AdviceAddress, zone, peer, peer, e.CallerAddress, e.ReadyAddress, w.StoreAddress, w.MachinesAddress)
}

// Start starts an entry, or starts it again.
func (s *Deployment) Start(e *Entry) error {
	p, err := procs.Start(s.dir, e.Name, filepath.Join(s.bin, "carawaymux"), "serve", "--settings", e.settings)
	e.proc = p
	return err
}

// StartAll starts all entries and waits until they are ready.
func (s *Deployment) StartAll(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := s.Start(e); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := s.WaitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until an entry says that it is ready.
func (s *Deployment) WaitReady(ctx context.Context, e *Entry) error {
	return procs.WaitFor(ctx, e.Name+" ready", func(ctx context.Context) error {
		status, _, err := s.call(ctx, http.MethodGet, "http://"+e.ReadyAddress+"/v1/readiness", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// Proc returns an entry's process.
func (e *Entry) Proc() *procs.Proc { return e.proc }

// Log returns what an entry has printed.
func (s *Deployment) Log(e *Entry) string {
	raw, err := os.ReadFile(filepath.Join(s.dir, e.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// Owner returns the entry whose log says that it has taken something over last and
// not given it up, or nil.
func (s *Deployment) Owner(pool string) *Entry {
	var out *Entry
	best := ""
	for _, e := range s.Entries {
		for line := range strings.Lines(s.Log(e)) {
			if !strings.Contains(line, `"pool":"`+pool+`"`) || !strings.Contains(line, `"msg":"pool taken over"`) {
				continue
			}
			var v struct {
				Time string `json:"time"`
			}
			if json.Unmarshal([]byte(line), &v) == nil && v.Time > best {
				best, out = v.Time, e
			}
		}
	}
	return out
}

// KillAll ends all entries.
func (s *Deployment) KillAll() {
	for _, e := range s.Entries {
		if e.proc != nil {
			e.proc.Kill()
		}
	}
}

func (s *Deployment) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = VirtualHost
	req.Header.Set("Deadline", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// VirtualHost is the name that callers call, and Prefix where the queue of each pool is.
const VirtualHost = "jobs.example"

// QueuePath is the path of a pool's queue.
func QueuePath(pool string) string { return "/" + pool + "/" }

// Config is a configuration with a queue for each pool that works.
func Config(version int, shape Layout) map[string]any {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, pool := range keys(shape.Pools) {
		services = append(services, map[string]any{
			"name": pool, "admission_check": true, "standby": pool == shape.StandbyPool,
		})
		if pool == shape.StandbyPool {
			continue
		}
		route := map[string]any{
			"name": "q-" + pool, "host": VirtualHost, "path_prefix": QueuePath(pool), "service": pool, "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "max_attempts": maxAttempts, "stretch": 1.6,
		}
		if pool == shape.AdvisedPool {
			route["advice"] = map[string]any{
				"decision_ms": adviceTakes.Milliseconds(), "per_item_ms": 1, "validity_ms": adviceFor.Milliseconds(),
			}
		}
		routes = append(routes, route)
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384},
	}
}

// StepSpec is a step of a job of the tests.
type StepSpec struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemoryMB    int   `json:"memory_request_mb"`
	EstimatedMS int   `json:"estimated_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	MayMiss     int   `json:"may_miss,omitempty"`
}

// Submit hands a job in at an entry, and tells the world first.
func (s *Deployment) Submit(ctx context.Context, e *Entry, pool, id, text string, steps ...StepSpec) (int, *Job) {
	j := &Job{ID: id, Specification: text, After: map[int][]int{}}
	for i := range steps {
		steps[i].CPU, steps[i].MemoryMB = unitCores, 100
		j.After[i] = steps[i].After
		j.TaskCounts = append(j.TaskCounts, steps[i].Count)
	}
	s.RegisterJob(j)
	status := s.Resubmit(ctx, e, pool, j, steps...)
	return status, j
}

// Resubmit hands a job in again.
func (s *Deployment) Resubmit(ctx context.Context, e *Entry, pool string, j *Job, steps ...StepSpec) int {
	raw, err := json.Marshal(map[string]any{"specification": j.Specification, "steps": steps})
	if err != nil {
		return 0
	}
	status, _, err := s.call(ctx, http.MethodPost, "http://"+e.CallerAddress+QueuePath(pool)+j.ID, raw)
	if err != nil {
		return 0
	}
	if status == http.StatusOK {
		s.UpdateJob(func() { j.AcceptedAt = time.Now() })
	}
	return status
}

// Post sends a raw body as a job.
func (s *Deployment) Post(ctx context.Context, e *Entry, path string, body []byte) (int, string, error) {
	status, raw, err := s.call(ctx, http.MethodPost, "http://"+e.CallerAddress+path, body)
	return status, string(raw), err
}

// JobState asks an entry for a job's state.
func (s *Deployment) JobState(ctx context.Context, e *Entry, pool, id string) (string, error) {
	status, raw, err := s.call(ctx, http.MethodGet, "http://"+e.CallerAddress+QueuePath(pool)+id, nil)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fault.New("state", e.Name, "status %d", status)
	}
	var out struct {
		State string `json:"state"`
	}
	return out.State, json.Unmarshal(raw, &out)
}

// PendingJobs asks an entry for the number of a queue's jobs of which nothing has started.
func (s *Deployment) PendingJobs(ctx context.Context, e *Entry, pool string) (int, error) {
	status, raw, err := s.call(ctx, http.MethodGet, "http://"+e.CallerAddress+QueuePath(pool), nil)
	if err == nil && status != http.StatusOK {
		err = fault.New("pending", e.Name, "status %d", status)
	}
	var out struct {
		Pending int `json:"pending"`
	}
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	return out.Pending, err
}

// Cancel cancels a job.
func (s *Deployment) Cancel(ctx context.Context, e *Entry, pool string, j *Job) int {
	status, _, err := s.call(ctx, http.MethodDelete, "http://"+e.CallerAddress+QueuePath(pool)+j.ID, nil)
	if err != nil {
		return 0
	}
	if status == http.StatusOK || status == http.StatusGone {
		s.UpdateJob(func() { j.CancelledAt = time.Now() })
	}
	return status
}
