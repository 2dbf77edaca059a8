package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// host and prefix select the queue of the deployment.
const host, prefix = "jobs.example", "/queue/"

// powerOff is how long a machine of the system is dark after it has lost power (node_kill, power: for_s).
const powerOff = 3500 * time.Millisecond

// Entry is a machine of the system with its process.
type Entry struct {
	Name, IP string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// URL returns the address for consumers.
func (e *Entry) URL() string { return "http://" + e.IP + ":8624" }

// Deployment is the platform with the entries.
type Deployment struct {
	Record  *Record
	Store   *Store
	Pools   []*Pool
	Entries []*Entry
	dir     string
	client  *http.Client
	// StatusSeconds is status_s of the settings.
	StatusSeconds int
}

// NewDeployment starts the platform on free ports.
func NewDeployment(record *Record, pools []*Pool, store *Store) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Record: record, Store: store, Pools: pools, dir: dir, StatusSeconds: 120,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}, nil
}

// Listen serves a handler on a free port of loopback.
func Listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // the process ends first
	return l.Addr().String(), nil
}

// freeIP returns an address of loopback on which the ports of an entry are free.
func freeIP(number int) (string, error) {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+(os.Getpid()+37*try)%200, (os.Getpid()/200+7*os.Getpid())%250, 10+number)
		free := true
		for _, port := range []string{"8622", "8623", "8624", "7060", "9464"} {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free address for entry %d", number)
}

// Manifest publishes a manifest with one queue for each pool.
func (d *Deployment) Manifest(version int) {
	routes, services := []map[string]any{}, []map[string]any{}
	for i, p := range d.Pools {
		path := prefix
		if i > 0 {
			path = fmt.Sprintf("/queue-%d/", i)
		}
		services = append(services, map[string]any{"name": p.service, "admission_check": true})
		routes = append(routes, map[string]any{
			"name": "q-" + p.service, "host": host, "path_prefix": path, "service": p.service, "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 0, "max_attempts": 4, "stretch": 1.6,
		})
	}
	d.Store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
}

// Prepare writes the settings of some entries.
func (d *Deployment) Prepare(count int) error {
	storeAddress, err := Listen(d.Store.Handler())
	if err != nil {
		return err
	}
	machinesAddress, err := Listen(MachinesHandler(d.Pools...))
	if err != nil {
		return err
	}
	for i := range count {
		ip, err := freeIP(i)
		if err != nil {
			return err
		}
		e := &Entry{Name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i+1), IP: ip, settings: filepath.Join(d.dir, fmt.Sprintf("settings-%d.toml", i))}
		text := strings.NewReplacer("NAME", e.Name, "IP", ip, "ZONE", zones[i%len(zones)], "STORE", storeAddress, "MACHINES", machinesAddress,
			"STATUS", fmt.Sprint(d.StatusSeconds)).Replace(settings)
		if err := os.WriteFile(e.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if e.log, err = os.Create(filepath.Join(d.dir, e.Name+".log")); err != nil {
			return err
		}
		d.Entries = append(d.Entries, e)
	}
	return nil
}

// settings are those of a small deployment.
const settings = `node_name = "NAME"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "IP"
zone = "ZONE"
region = "region-1"
internal_port_range = [7060, 7075]
seed_nodes = []
bootstrap = true
in_failure_budget = false
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
commands = "call"
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
frontend = "IP:8624"
ready = "IP:8622"
control_plane = "IP:8623"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 10000
stop_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = STATUS
remote_factor = 3
checkpoint_interval_s = 2
restore_ms = 100
notice_ms = 4500
migration_s = 1.5
maintenance_s = 2
require_fencing = true
lease_duration_ms = 3000
thaw_slack_ms = 300
pacing_ms = 100
impact_ms = 4000
[platform]
address = "STORE"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
min_ttl_ms = 1000
[cloud_api]
address = "MACHINES"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`

// Start starts the process of an entry with the command of the deploy file.
func (d *Deployment) Start(e *Entry) error {
	e.cmd = exec.Command("target/carawaymux", "serve", "--metrics", "9464")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYMUX_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	d.Record.Add("%s starts as process %d", e.Name, e.cmd.Process.Pid)
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		d.Record.Add("%s, process %d, has ended: %v", e.Name, cmd.Process.Pid, err)
		close(exited)
	}(e.cmd, e.exited)
	return nil
}

// StartAll starts all entries and waits until they are ready and a job can be accepted.
func (d *Deployment) StartAll(limit time.Duration) error {
	for _, e := range d.Entries {
		if err := d.Start(e); err != nil {
			return err
		}
	}
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.Entries {
			if r, err := d.client.Get("http://" + e.IP + ":8622/v1/readiness"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.Entries) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d entries are ready after %v", ready, len(d.Entries), limit)
		}
	}
}

// Kill kills the process of an entry.
func (d *Deployment) Kill(e *Entry) {
	d.Record.Add("%s is killed", e.Name)
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// Signal sends a signal to the process of an entry.
func (d *Deployment) Signal(e *Entry, s syscall.Signal) {
	d.Record.Add("%s gets signal %v", e.Name, s)
	_ = e.cmd.Process.Signal(s)
}

// Close kills all processes.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		if e.exited == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs of the entries:", d.dir)
	}
}

// OwnerOf returns the entry whose log says last that it has taken the pool over, or nil.
func (d *Deployment) OwnerOf(pool string) *Entry {
	var owner *Entry
	newest := ""
	for _, e := range d.Entries {
		raw, _ := os.ReadFile(e.log.Name())
		for line := range strings.Lines(string(raw)) {
			if !strings.Contains(line, `"msg":"pool taken over"`) || !strings.Contains(line, `"pool":"`+pool+`"`) {
				continue
			}
			var v struct{ Time string }
			if json.Unmarshal([]byte(line), &v) == nil && v.Time > newest {
				newest, owner = v.Time, e
			}
		}
	}
	return owner
}

// Ask sends a request of a consumer and returns the status and the body, or status 0.
func (d *Deployment) Ask(e *Entry, method, path string, body any) (int, string) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, e.URL()+path, bytes.NewReader(raw))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline", "3000")
	sent := time.Now()
	response, err := d.client.Do(r)
	status, text := 0, ""
	if err == nil {
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(answer))
	} else {
		text = err.Error()
	}
	d.Record.Add("consumer: %s %s at %s: %d %s (%d ms)", method, path, e.Name, status, text, time.Since(sent).Milliseconds())
	return status, text
}

// Submit hands a job in until it is accepted, at one entry after the other.
func (d *Deployment) Submit(id string, job any, limit time.Duration) error {
	for i, until := 0, time.Now().Add(limit); time.Now().Before(until); i++ {
		if status, _ := d.Ask(d.Entries[i%len(d.Entries)], http.MethodPost, prefix+id, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted within %v", id, limit)
}

// State returns the state of a job as some entry shows it.
func (d *Deployment) State(id string) string {
	for _, e := range d.Entries {
		status, text := d.Ask(e, http.MethodGet, prefix+id, nil)
		var v struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &v) == nil {
			return v.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}
