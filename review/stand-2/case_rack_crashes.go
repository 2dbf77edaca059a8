package main

import (
	"fmt"
	"time"
)

const (
	// rackDown is how long the workers of a rack are down, and crashEvery the time between two crashes.
	rackDown, crashEvery = 2500 * time.Millisecond, 3500 * time.Millisecond
	// longUnits is the number of work units of the job, each of which needs half a worker for longUnit.
	longUnits, longUnit = 8, 5 * time.Second
)

// rackCrashes crashes the workers of one rack, then of the other one, then of the first one again, while a job runs. None of
// its runs ends failed.
func rackCrashes(r *Record, trouble bool) error {
	store := NewStore()
	need := Size{CPU: 8000, Memory: 4096}
	pool, err := NewPool(r, store, "archive", 8, Size{CPU: 16000, Memory: 32768}, func(string) Size { return need })
	if err != nil {
		return err
	}
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
	const id = "00000000000000b2"
	steps := []map[string]any{{"count": longUnits, "cpu": need.CPU, "memory_request_mb": need.Memory, "estimated_ms": longUnit.Milliseconds()}}
	if err := d.Submit(id, map[string]any{"specification": fmt.Sprintf("work %d", longUnit.Milliseconds()), "steps": steps}, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if trouble {
		go func() {
			for i := range 3 {
				time.Sleep(time.Until(began.Add(time.Duration(i) * crashEvery)))
				for n, w := range pool.Workers() {
					if n/4 == i%2 {
						pool.Crash(w, rackDown)
					}
				}
			}
		}()
	}
	for until := began.Add(60 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		switch d.State(id) {
		case "completed":
			return nil
		case "failed":
			r.Break("LOST: job %s is shown as failed, but no run of it has ended failed", id)
			return nil
		}
	}
	r.Break("LOST: job %s is not completed", id)
	return nil
}
