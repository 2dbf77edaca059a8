package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// record writes lines to the console and to the record of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	r.file.WriteString(line) //nolint:errcheck // the console has the line, too
}

// openRecord creates the record of a case.
func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, begin: time.Now()}, err
}

// entry is a process of the system, which runs by the command of the deploy file.
type entry struct {
	*fake.Entry
	dir, bin, metrics string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// newEntries returns the entries of a deployment. The settings are in dir, and the logs will be.
func newEntries(d *fake.Deployment, dir, bin string) ([]*entry, error) {
	ports, err := procs.FreePorts(len(d.Entries))
	if err != nil {
		return nil, err
	}
	var out []*entry
	for i, e := range d.Entries {
		_, port, err := net.SplitHostPort(ports[i])
		if err != nil {
			return nil, err
		}
		out = append(out, &entry{Entry: e, dir: dir, bin: bin, metrics: port})
	}
	return out, nil
}

// start starts the process, for the first time or again.
func (e *entry) start() error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(filepath.Join(e.bin, "carawaymux"), "serve", "--metrics", e.metrics)
	e.cmd.Env = []string{"CARAWAYMUX_SETTINGS=" + filepath.Join(e.dir, e.Name+".toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait() //nolint:errcheck // a killed process returns an error
		close(exited)
	}(e.cmd, e.exited)
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) { e.cmd.Process.Signal(s) } //nolint:errcheck // it may have ended

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.exited
}

// ready reports whether the entry answers its readiness check with 200.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.ReadyAddress + "/v1/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts the entries and waits until all are ready.
func startAll(entries []*entry) error {
	for _, e := range entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		for i := 0; !e.ready(); i++ {
			if i > 200 {
				return fmt.Errorf("%s is not ready after 20 s", e.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// killAll ends all entries.
func killAll(entries []*entry) {
	for _, e := range entries {
		e.kill()
	}
}
