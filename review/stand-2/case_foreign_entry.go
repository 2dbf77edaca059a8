package main

import (
	"fmt"
	"time"
)

const (
	// entryUnits is the number of work units of the job, each of which works for entryUnit.
	entryUnits, entryUnit = 12, 8 * time.Second
)

// foreignEntry has another writer write one entry without most fields under the id of a worker that runs work units.
func foreignEntry(r *Record, trouble bool) error {
	store := NewStore()
	need := Size{CPU: 4000, Memory: 2048}
	pool, err := NewPool(r, store, "desk", 8, Size{CPU: 16000, Memory: 32768}, func(string) Size { return need })
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
	const id = "00000000000000c3"
	steps := []map[string]any{{"count": entryUnits, "cpu": need.CPU, "memory_request_mb": need.Memory, "estimated_ms": entryUnit.Milliseconds()}}
	if err := d.Submit(id, map[string]any{"specification": fmt.Sprintf("work %d", entryUnit.Milliseconds()), "steps": steps}, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w := pool.Find(id + ".0.0.0")
		if w == nil {
			return fmt.Errorf("no worker runs the first work unit")
		}
		for _, other := range pool.Workers() {
			if other != w {
				pool.ForeignEntry(w, other)
				break
			}
		}
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if d.State(id) == "completed" {
			pool.Summary()
			return nil
		}
	}
	return fmt.Errorf("job %s is not completed after 40 s", id)
}
