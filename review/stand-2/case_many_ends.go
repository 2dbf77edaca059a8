package main

import (
	"fmt"
	"time"
)

// The work of the case: a job of four steps without an order between them, 800 small work units for each worker. The steps
// that are started later are shorter, so most work units end within two seconds.
const (
	smallWorkers, smallSteps, smallUnits = 3, 4, 2400
	longestUnit, shorterBy               = 10000, 1150
	// killBefore is how long before the first end the owner's process is killed.
	killBefore = 300 * time.Millisecond
)

// manyEnds kills the process that owns a pool, shortly before each worker of the pool ends 800 work units.
func manyEnds(r *Record, trouble bool) error {
	specification := "work"
	var steps []map[string]any
	for i := range smallSteps {
		ms := longestUnit - shorterBy*i
		specification += fmt.Sprintf(" %d", ms)
		steps = append(steps, map[string]any{"count": smallUnits / smallSteps, "cpu": 20, "memory_request_mb": 16, "estimated_ms": ms})
	}
	store := NewStore()
	pool, err := NewPool(r, store, "small", smallWorkers, Size{CPU: 16000, Memory: 32768}, func(string) Size { return Size{CPU: 20, Memory: 16} })
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
	const id = "00000000000000a1"
	if err := d.Submit(id, map[string]any{"specification": specification, "steps": steps}, 10*time.Second); err != nil {
		return err
	}
	began := time.Now()
	for running := 0; running < smallUnits; time.Sleep(20 * time.Millisecond) {
		if running, _ = pool.Stats(); time.Since(began) > 8*time.Second {
			return fmt.Errorf("only %d work units run after 8 s", running)
		}
	}
	r.Add("%d work units run, %v after the job was accepted", smallUnits, time.Since(began))
	if trouble {
		owner := d.OwnerOf("small")
		if owner == nil {
			return fmt.Errorf("no entry owns the pool")
		}
		time.Sleep(time.Until(pool.FirstEnd().Add(-killBefore)))
		d.Kill(owner)
		time.AfterFunc(powerOff, func() { _ = d.Start(owner) })
	}
	completed := false
	for until := time.Now().Add(40 * time.Second); !completed && time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		completed = d.State(id) == "completed"
	}
	time.Sleep(3 * time.Second)
	pool.Summary()
	if !completed && len(r.Broken()) == 0 {
		return fmt.Errorf("job %s is not completed after 40 s", id)
	}
	return nil
}
