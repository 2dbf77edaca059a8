package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/fleet/task"
)

// sampleInterval is the time between two samples of a [Meter].
const sampleInterval = 20 * time.Millisecond

// Peak is the most that a process held.
type Peak struct {
	// Memory is resident memory together with the bytes that the kernel had received and the process had not read yet,
	// Resident the resident memory and Unread those bytes. The three peaks need not coincide.
	Memory, Resident, Unread int64
	// Unsent is the number of bytes that the kernel held for clients that had not taken them, and Total the sum of resident
	// memory, unread and unsent bytes.
	Unsent, Total int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// String returns the figures in MB.
func (p Peak) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%d MB (resident %d, unread %d, unsent %d), %d descriptors", p.Memory/mb, p.Resident/mb, p.Unread/mb, p.Unsent/mb, p.Descriptors)
}

// Meter samples what a process holds until it is closed.
type Meter struct {
	task  *task.Task[struct{}]
	peak  Peak
	pid   int
	ports map[uint64]bool
}

// Watch starts a meter of a process that listens at the given addresses.
func Watch(pid int, addresses ...string) *Meter {
	m := &Meter{pid: pid, ports: map[uint64]bool{}}
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(a)
		n, _ := strconv.ParseUint(port, 10, 16)
		m.ports[n] = true
	}
	m.task = task.Start(func(ctx context.Context, _ <-chan struct{}) {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.sample()
			}
		}
	})
	return m
}

// Close ends the samples and returns the peak.
func (m *Meter) Close() Peak {
	m.task.Close()
	m.sample()
	return m.peak
}

// sample takes a sample. After the process has ended there is nothing to read.
func (m *Meter) sample() {
	resident, highest := status(m.pid)
	unread, unsent := m.queued()
	m.peak.Resident = max(m.peak.Resident, resident, highest)
	m.peak.Unread = max(m.peak.Unread, unread)
	m.peak.Unsent = max(m.peak.Unsent, unsent)
	m.peak.Memory = max(m.peak.Memory, resident+unread, highest)
	m.peak.Total = max(m.peak.Total, resident+unread+unsent, highest)
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)); err == nil {
		m.peak.Descriptors = max(m.peak.Descriptors, len(open))
	}
}

// status returns the resident memory of a process, now and at its highest, in bytes.
func status(pid int) (resident, highest int64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			resident = kb << 10
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			highest = kb << 10
		}
	}
	return resident, highest
}

// Highest returns the most resident memory that a process has had, in bytes, or 0 if there is no such process.
func Highest(pid int) int64 {
	_, highest := status(pid)
	return highest
}

// queued returns the bytes that the kernel has received on connections of the listeners and that the process has not read, and
// those that it holds for clients that have not taken them.
func (m *Meter) queued() (unread, unsent int64) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", m.pid))
	const listening = "0A"
	for lines := bufio.NewScanner(bytes.NewReader(raw)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		sending, receiving, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(port, 16, 16)
		if err != nil || !m.ports[n] {
			continue
		}
		in, _ := strconv.ParseInt(receiving, 16, 64)
		out, _ := strconv.ParseInt(sending, 16, 64)
		unread, unsent = unread+in, unsent+out
	}
	return unread, unsent
}
