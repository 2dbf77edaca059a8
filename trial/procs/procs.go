// Package procs starts the programs that demos, measures and tests run, and makes sure
// that none is left behind.
package procs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"carawaymux.dev/fleet/fault"
)

// stopTimeout is how long a process may take to end in good order.
const stopTimeout = 15 * time.Second

// Proc is a running program.
type Proc struct {
	// Name tells the process apart in logs.
	Name string
	// Log is the file that holds what the process prints.
	Log string
	cmd *exec.Cmd
	// exited is closed when the process has ended; err then says how.
	exited chan struct{}
	err    error
}

// Start starts a program whose output goes to a file in dir. The kernel kills the
// process when the starting one dies.
func Start(dir, name, program string, args ...string) (*Proc, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.At("start", name, err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A group of its own keeps Ctrl-C of a terminal away from the process: the
	// starting one decides in which order to stop.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fault.At("start", name, err)
	}
	p := &Proc{Name: name, Log: logPath, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID is the process's number.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Exited is closed when the process has ended.
func (p *Proc) Exited() <-chan struct{} { return p.exited }

// CheckRunning returns an error once the process has ended.
func (p *Proc) CheckRunning() error {
	select {
	case <-p.exited:
		return fault.New("run", p.Name, "the process has ended: %v; its log is %s", p.err, p.Log)
	default:
		return nil
	}
}

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) error {
	return fault.At("signal", p.Name, p.cmd.Process.Signal(s))
}

// Pause stops the process without its noticing; Resume lets it go on.
func (p *Proc) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Proc) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop ends the process in good order and waits; it kills it when that takes too long.
func (p *Proc) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fault.At("stop", p.Name, err)
	}
	select {
	case <-p.exited:
		return fault.At("stop", p.Name, p.err)
	case <-time.After(stopTimeout):
		p.Kill()
		return fault.New("stop", p.Name, "not ended after %v; killed. Its log is %s", stopTimeout, p.Log)
	}
}

const (
	// firstPort and lastPort bound the ports that are handed out. They lie below
	// the range from which the kernel takes the ports of outgoing connections.
	firstPort = 20_000
	lastPort  = 32_000
	// portsPerProcess spreads the processes that look for ports at once.
	portsPerProcess = 500
)

// nextPort counts the ports handed out by this process.
var nextPort atomic.Int64

// FreePorts finds ports of the loopback address that nothing listens on, none of them
// twice within one process.
func FreePorts(n int) ([]string, error) {
	const span = lastPort - firstPort
	start := os.Getpid() * portsPerProcess % span
	var out []string
	for range span {
		port := firstPort + (start+int(nextPort.Add(1)))%span
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		// Dialling finds out without binding: a bound port would live on for a
		// moment in a process that is being forked.
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			continue
		}
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, fault.New("find-port", "127.0.0.1", "%d of %d ports found", len(out), n)
}

// ErrPermanent ends a [WaitFor] at once.
var ErrPermanent = errors.New("waiting longer will not help")

// WaitFor calls check every few milliseconds until it returns nil, returns
// [ErrPermanent], or ctx is done.
func WaitFor(ctx context.Context, what string, check func(ctx context.Context) error) error {
	const pollInterval = 20 * time.Millisecond
	var lastErr error
	for {
		if lastErr = check(ctx); lastErr == nil {
			return nil
		}
		if errors.Is(lastErr, ErrPermanent) {
			return fault.At("wait-for", what, lastErr)
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return fault.At("wait-for", what, errors.Join(ctx.Err(), lastErr))
		case <-t.C:
		}
	}
}

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

// CPUTime returns the processor time that a process has used so far.
func CPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fault.At("read-cpu", fmt.Sprint(pid), err)
	}
	// The name in parentheses may hold blanks; the fields after it do not.
	rest := string(raw)
	for i := len(rest) - 1; i >= 0; i-- {
		if rest[i] == ')' {
			rest = rest[i+2:]
			break
		}
	}
	var state string
	var skip, user, system int64
	_, err = fmt.Sscan(rest, &state, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &skip, &user, &system)
	if err != nil {
		return 0, fault.At("read-cpu", fmt.Sprint(pid), err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
