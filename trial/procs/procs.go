// Package procs starts and stops the child processes of demos, measures and tests. Child
// processes end with the process that started them, so that none is left running.
package procs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"carawaymux.dev/fleet/fault"
)

// stopTimeout limits the time between SIGTERM and the end of a process.
const stopTimeout = 15 * time.Second

// Proc is a child process.
type Proc struct {
	// Name identifies the process in errors and in the name of its log file.
	Name string
	// Log is the path of the file that receives standard output and standard error.
	Log string
	cmd *exec.Cmd
	// exited is closed when the process has ended; err is then the result of Wait.
	exited chan struct{}
	err    error
}

// Start starts a program and appends its output to a log file in dir. The kernel kills
// the child process when its parent dies.
func Start(dir, name, program string, args ...string) (*Proc, error) {
	logPath := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.At("start", name, err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// In its own process group the child gets no SIGINT from Ctrl-C in a terminal, so
	// that the parent decides in which order processes stop.
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

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (p *Proc) Exited() <-chan struct{} { return p.exited }

// Result waits for the end of the process and returns its result, nil for exit code 0.
func (p *Proc) Result() error {
	<-p.exited
	return p.err
}

// CheckRunning returns nil while the process runs, and an error after it has ended.
func (p *Proc) CheckRunning() error {
	select {
	case <-p.exited:
		return fault.New("run", p.Name, "the process has ended (result of wait: %v); its log is %s", p.err, p.Log)
	default:
		return nil
	}
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error {
	return fault.At("signal", p.Name, p.cmd.Process.Signal(s))
}

// Pause suspends the process with SIGSTOP until [Proc.Resume]. The process cannot react to it.
func (p *Proc) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Proc) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits for the end of the process.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop sends SIGTERM and waits for the end of the process. After stopTimeout it kills the
// process and returns an error.
func (p *Proc) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fault.At("stop", p.Name, err)
	}
	select {
	case <-p.exited:
		return fault.At("stop", p.Name, p.err)
	case <-time.After(stopTimeout):
		p.Kill()
		return fault.New("stop", p.Name, "the process had not ended %v after SIGTERM and was killed; its log is %s", stopTimeout, p.Log)
	}
}

// ErrPermanent ends [WaitFor] at once when a check returns it.
var ErrPermanent = errors.New("permanent failure, not retried")

// WaitFor polls check until it returns nil or [ErrPermanent], or until ctx is done.
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

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ).
const ticksPerSecond = 100

// CPUTime returns the user and system CPU time that a process has used so far.
func CPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fault.At("read-cpu", fmt.Sprint(pid), err)
	}
	// Fields are separated by spaces, but the program name in parentheses may contain
	// some. Parsing therefore starts after the last closing parenthesis.
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
