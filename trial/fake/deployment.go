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

// Entry is an entry that runs as a process. Its caller address serves jobs, its ready address
// serves the readiness check, and its peer address serves other entries.
type Entry struct {
	Name, CallerAddress, ReadyAddress, PeerAddress string
	settingsPath                                   string
	proc                                           *procs.Proc
}

// Deployment is a set of entry processes that run against a simulated platform.
type Deployment struct {
	*Platform
	Entries []*Entry
	bin     string
	dir     string
	http    *http.Client
}

// EntryName returns the name of an entry.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// requestTimeout bounds one request of a caller, and is the deadline that it sends.
const requestTimeout = 3 * time.Second

// NewDeployment writes the settings of count entries to dir, where their logs go too. The entries
// run the program carawaymux in bin and are not started yet.
func NewDeployment(fp *Platform, bin, dir string, count int) (*Deployment, error) {
	d := &Deployment{Platform: fp, bin: bin, dir: dir, http: &http.Client{Timeout: requestTimeout}}
	for i := range count {
		ports, err := procs.FreePorts(3)
		if err != nil {
			return nil, err
		}
		e := &Entry{
			Name: EntryName(i), CallerAddress: ports[0], ReadyAddress: ports[1], PeerAddress: ports[2],
			settingsPath: filepath.Join(dir, fmt.Sprintf("entry-%d.toml", i)),
		}
		_, peer, err := net.SplitHostPort(ports[2])
		if err != nil {
			return nil, err
		}
		limits := fp.entryLimits
		if i < len(fp.entryCores) {
			limits += fmt.Sprintf("\ncpu_share = %g\ncores = 1", fp.entryCores[i])
		}
		settings, err := fp.renderSettings(e, zones[i%len(zones)], peer, limits)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(e.settingsPath, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, e)
	}
	return d, nil
}

// renderSettings returns the settings file that the platform provides for an entry. It contains a
// field that entries do not know, which they must ignore.
func (fp *Platform) renderSettings(e *Entry, zone, peer, limits string) (string, error) {
	store, err := fp.proxy(e.Name, StoreLink, fp.StoreAddress)
	if err != nil {
		return "", err
	}
	machines, err := fp.proxy(e.Name, MachinesLink, fp.MachinesAddress)
	if err != nil {
		return "", err
	}
	keys := ""
	if fp.failClosed {
		keys = fmt.Sprintf("fail_closed = true\nconfig_apply_ms = %d\nrevocation_ms = %d\n", TenantConfigTime.Milliseconds(), RevocationTime.Milliseconds())
	}
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
%s
[bounds]
max_hold_ms = 10000
grace_period_s = %g
stop_ms = %d
status_s = %g
remote_factor = 2
restore_ms = 600
notice_ms = 4500
lease_duration_ms = 3000
impact_ms = 4000
%s[platform]
address = %q
parts = 24
record_bytes = 262144
request_bytes = 2097152
[cloud_api]
address = %q
`, e.Name, fp.AdviceAddress, zone, peer, peer, e.CallerAddress, e.ReadyAddress, limits,
		GracePeriod.Seconds(), StopTime.Milliseconds(), StatusTime.Seconds(), keys, store, machines), nil
}

// Start starts the process of an entry, for the first time or again.
func (d *Deployment) Start(e *Entry) error {
	args := append([]string{"serve", "--settings", e.settingsPath}, d.entryArgs...)
	p, err := procs.Start(d.dir, e.Name, filepath.Join(d.bin, "carawaymux"), args...)
	e.proc = p
	return err
}

// StartAll starts all entries and waits until they are ready.
func (d *Deployment) StartAll(ctx context.Context) error {
	for _, e := range d.Entries {
		if err := d.Start(e); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if err := d.WaitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until an entry reports that it is ready.
func (d *Deployment) WaitReady(ctx context.Context, e *Entry) error {
	return procs.WaitFor(ctx, e.Name+" ready", func(ctx context.Context) error {
		status, _, err := d.call(ctx, http.MethodGet, "http://"+e.ReadyAddress+"/v1/readiness", nil)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("readiness check returned HTTP status %d, expected 200", status)
		}
		return err
	})
}

// Proc returns an entry's process.
func (e *Entry) Proc() *procs.Proc { return e.proc }

// Log returns the output of an entry.
func (d *Deployment) Log(e *Entry) string {
	raw, err := os.ReadFile(filepath.Join(d.dir, e.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// Owner returns the entry that has logged last that it took a pool over, or nil. It does not check
// whether the entry has given the pool up since.
func (d *Deployment) Owner(pool string) *Entry {
	var owner *Entry
	newest := ""
	for _, e := range d.Entries {
		for line := range strings.Lines(d.Log(e)) {
			if !strings.Contains(line, `"pool":"`+pool+`"`) || !strings.Contains(line, `"msg":"pool taken over"`) {
				continue
			}
			var v struct {
				Time string `json:"time"`
			}
			if json.Unmarshal([]byte(line), &v) == nil && v.Time > newest {
				newest, owner = v.Time, e
			}
		}
	}
	return owner
}

// KillAll kills all entry processes.
func (d *Deployment) KillAll() {
	for _, e := range d.Entries {
		if e.proc != nil {
			e.proc.Kill()
		}
	}
}

func (d *Deployment) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = VirtualHost
	req.Header.Set("Deadline", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// VirtualHost is the host name that callers send in their requests.
const VirtualHost = "jobs.example"

// QueuePath returns the path prefix of a pool's queue.
func QueuePath(pool string) string { return "/" + pool + "/" }

// Config returns the configuration to publish: a service for each pool, and a queue for each pool
// outside standby.
func Config(version int, layout Layout) map[string]any {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, pool := range sortedKeys(layout.Pools) {
		services = append(services, map[string]any{
			"name": pool, "admission_check": !layout.UnguardedPools[pool], "standby": pool == layout.StandbyPool,
		})
		if pool == layout.StandbyPool {
			continue
		}
		route := map[string]any{
			"name": "q-" + pool, "host": VirtualHost, "path_prefix": QueuePath(pool), "service": pool, "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "max_attempts": maxAttempts, "stretch": 1.6,
		}
		if pool == layout.AdvisedPool {
			route["advice"] = map[string]any{
				"decision_ms": adviceLatency.Milliseconds(), "per_item_ms": 1, "validity_ms": ticketValidity.Milliseconds(),
			}
		}
		routes = append(routes, route)
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384},
	}
}

// StepSpec is a step of a submitted job.
type StepSpec struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemoryMB    int   `json:"memory_request_mb"`
	EstimatedMS int   `json:"estimated_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	MayMiss     int   `json:"may_miss,omitempty"`
	// Small makes the tasks take little room, see [SmallPerTask].
	Small bool `json:"-"`
}

// Submit registers a job with the checker and submits it at an entry. It returns the HTTP status,
// or 0 if there was no response.
func (d *Deployment) Submit(ctx context.Context, e *Entry, pool, id, specification string, steps ...StepSpec) (int, *Job) {
	j := &Job{ID: id, Specification: specification}
	return d.SubmitJob(ctx, e, pool, j, steps...), j
}

// SubmitJob is like Submit, for a job whose ID, specification and crash are set.
func (d *Deployment) SubmitJob(ctx context.Context, e *Entry, pool string, j *Job, steps ...StepSpec) int {
	d.register(j, steps)
	return d.Resubmit(ctx, e, pool, j, steps...)
}

// Register registers a job with the checker, for callers that submit it themselves. It sets what its tasks need.
func (d *Deployment) Register(id, specification string, steps []StepSpec) *Job {
	j := &Job{ID: id, Specification: specification}
	d.register(j, steps)
	return j
}

func (d *Deployment) register(j *Job, steps []StepSpec) {
	j.After, j.Small = map[int][]int{}, map[int]bool{}
	for i := range steps {
		steps[i].CPU, steps[i].MemoryMB = taskCores, taskMemory
		if j.Small[i] = steps[i].Small; j.Small[i] {
			steps[i].CPU, steps[i].MemoryMB = smallCores, smallMemory
		}
		j.After[i] = steps[i].After
		j.TaskCounts = append(j.TaskCounts, steps[i].Count)
	}
	d.RegisterJob(j)
}

// Resubmit submits a registered job again.
func (d *Deployment) Resubmit(ctx context.Context, e *Entry, pool string, j *Job, steps ...StepSpec) int {
	raw, err := json.Marshal(map[string]any{"specification": j.Specification, "steps": steps})
	if err != nil {
		return 0
	}
	status, _, err := d.call(ctx, http.MethodPost, "http://"+e.CallerAddress+QueuePath(pool)+j.ID, raw)
	if err != nil {
		return 0
	}
	if status == http.StatusOK {
		d.UpdateJob(func() { j.AcceptedAt = time.Now() })
	}
	return status
}

// Post sends a body to a path of an entry and returns the HTTP status and the response body.
func (d *Deployment) Post(ctx context.Context, e *Entry, path string, body []byte) (int, string, error) {
	status, raw, err := d.call(ctx, http.MethodPost, "http://"+e.CallerAddress+path, body)
	return status, string(raw), err
}

// JobState returns a job's state as an entry reports it.
func (d *Deployment) JobState(ctx context.Context, e *Entry, pool, id string) (string, error) {
	status, raw, err := d.call(ctx, http.MethodGet, "http://"+e.CallerAddress+QueuePath(pool)+id, nil)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fault.New("state", e.Name, "entry returned HTTP status %d, expected 200", status)
	}
	var out struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return "", err
	}
	d.do(func(s *state) { s.checker.checkShownState(s, id, out.State) })
	return out.State, nil
}

// PendingJobs returns the number of jobs of a pool's queue of which no task has started, as an
// entry reports it.
func (d *Deployment) PendingJobs(ctx context.Context, e *Entry, pool string) (int, error) {
	status, raw, err := d.call(ctx, http.MethodGet, "http://"+e.CallerAddress+QueuePath(pool), nil)
	if err == nil && status != http.StatusOK {
		err = fault.New("pending", e.Name, "entry returned HTTP status %d, expected 200", status)
	}
	var out struct {
		Pending int `json:"pending"`
	}
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	return out.Pending, err
}

// Cancel cancels a job at an entry. It returns the HTTP status, or 0 if there was no response.
func (d *Deployment) Cancel(ctx context.Context, e *Entry, pool string, j *Job) int {
	status, _, err := d.call(ctx, http.MethodDelete, "http://"+e.CallerAddress+QueuePath(pool)+j.ID, nil)
	if err != nil {
		return 0
	}
	if status == http.StatusOK || status == http.StatusGone {
		d.UpdateJob(func() { j.CancelledAt = time.Now() })
	}
	return status
}
