package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the history of a case: what was sent, answered and run. It is written to a file line by line.
type Record struct {
	mu      sync.Mutex
	startAt time.Time
	file    *os.File
	out     *bufio.Writer
	broken  []string
}

// OpenRecord creates the file of a record.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{startAt: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add writes a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// Break notes that the rule was broken.
func (r *Record) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Add("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Broken returns what broke the rule.
func (r *Record) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// Close writes the rest of the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
