package main

import (
	"fmt"
	"time"
)

// waveChanged has an operator write a wave, and another one write it again with one more machine while it runs.
func waveChanged(r *Record, trouble bool) error {
	store := NewStore()
	pool, err := NewPool(r, store, "desk", 4, Size{CPU: 16000, Memory: 32768}, func(string) Size { return Size{} })
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
	all := []string{"m-desk-0", "m-desk-1", "m-desk-2"}
	if trouble {
		d.Wave(1, all[:2])
		time.Sleep(time.Second)
	}
	d.Wave(1, all)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if state := store.Value("keyed.status", "wave/1"); state != `{"state":"completed"}` {
			continue
		}
		r.Add("status/wave/1 says completed; upkeep has begun of %v", pool.Maintained(1))
		for _, machine := range all {
			if !pool.Maintained(1)[machine] {
				r.Break("MIXED: wave 1 is said to be completed, and the upkeep of its machine %s has not begun", machine)
			}
		}
		return nil
	}
	return fmt.Errorf("wave 1 is not said to be completed after 60 s")
}
