package main

import (
	"fmt"
	"time"
)

const (
	// gangSize is the number of members of the gangs, and max_attempts of the queue is as large.
	gangSize = 4
	// greyTime is how long one worker fails all that it starts.
	greyTime = 6500 * time.Millisecond
)

// greyGang submits a job with one gang, and the same job again while the worker that has run the first one fails all that it
// starts. Of the second job, one run is started there, and all its members fail.
func greyGang(r *Record, trouble bool) error {
	store := NewStore()
	need := Size{CPU: 1000, Memory: 1024}
	pool, err := NewPool(r, store, "desk", 12, Size{CPU: 16000, Memory: 32768}, func(string) Size { return need })
	if err != nil {
		return err
	}
	pool.GangSize = gangSize
	d, err := NewDeployment(r, []*Pool{pool}, store)
	if err != nil {
		return err
	}
	defer d.Close()
	d.Manifest(1)
	if err := d.Prepare(3); err != nil {
		return err
	}
	if err := d.StartAll(15 * time.Second); err != nil {
		return err
	}
	job := map[string]any{"specification": "work 2000", "steps": []map[string]any{
		{"count": gangSize, "cpu": need.CPU, "memory_request_mb": need.Memory, "estimated_ms": 2000, "gang": true},
	}}
	const first, second = "00000000000000e5", "00000000000000e6"
	if err := d.Submit(first, job, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w := pool.Find(first + ".0.0.0")
	if w == nil {
		return fmt.Errorf("the first job does not run after 1 s")
	}
	if err := d.await(first, "completed", 10*time.Second); err != nil {
		return err
	}
	if trouble {
		pool.Grey(w, greyTime)
	}
	if err := d.Submit(second, job, 10*time.Second); err != nil {
		return err
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		switch d.State(second) {
		case "completed":
			return nil
		case "failed":
			if runs := pool.FailedRuns(second); runs < gangSize {
				r.Break("LOST: job %s is shown as failed after %d failed runs of its gang, and max_attempts is %d", second, runs, gangSize)
			}
			return nil
		}
	}
	r.Break("LOST: job %s is not completed after 40 s", second)
	return nil
}

// await waits until a job is shown in a state.
func (d *Deployment) await(id, state string, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		if d.State(id) == state {
			return nil
		}
	}
	return fmt.Errorf("job %s is not shown as %s after %v", id, state, limit)
}
