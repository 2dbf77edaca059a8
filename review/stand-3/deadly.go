// Command deadly plays a pool of sound workers on which a lasting job with a single work unit runs. The unit crashes each worker
// that starts it. The command exits with 1 if the unit is started three times or more after three workers have crashed under it,
// 0 if it is not, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"carawaymux.dev/trial/fake"
)

const (
	pool    = "seadocs"
	workers = 8
	entries = 3
	jobID   = "7a21d94b36f85c0e"
	// crashAfter is the time from the start of the unit to the end of its worker, and downtime how long the worker is away.
	crashAfter = 10 * time.Millisecond
	downtime   = 3 * time.Second
	// freeCrashes is the number of crashes after which starts count, and allowedStarts the number of those at which the rule is broken.
	freeCrashes, allowedStarts = 3, 3
	// watch is how long the job is watched.
	watch = 40 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: deadly BIN-FOLDER CASE-FOLDER")
		return 2
	}
	out, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.file.Close()
	status, err := play(out, os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		out.printf("the case could not run: %v", err)
		return 2
	}
	return status
}

func play(out *record, bin string, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "deadly-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	// crashes counts the workers that have crashed under the unit, and late the starts after the first freeCrashes of them.
	var crashes, late atomic.Int64
	layout := fake.Layout{
		Pools: map[string]int{pool: workers},
		Timing: fake.Timing{
			MaxLease: 10 * time.Second, MoveDuration: 1500 * time.Millisecond, MaintenanceDuration: 2 * time.Second,
			HeartbeatInterval: 1500 * time.Millisecond,
		},
		AppendTime: time.Millisecond,
		Observe: func(e fake.Event) {
			switch e.Kind {
			case fake.HostGone:
				out.printf("worker %s crashes; its machine is away for %v", e.Host, downtime)
				crashes.Add(1)
			case fake.RunStarted:
				out.printf("worker %s starts %s run %d, after %d crashes", e.Host, e.Task, e.Run, crashes.Load())
				if crashes.Load() >= freeCrashes {
					late.Add(1)
				}
			case fake.RunEnded:
				out.printf("worker %s ends %s run %d: %s", e.Host, e.Task, e.Run, e.Result)
			}
		},
	}
	platform, err := fake.New(layout)
	if err != nil {
		return 2, err
	}
	defer platform.Close()
	if err := platform.Publish("config", fake.Config(1, layout)); err != nil {
		return 2, err
	}
	d, err := fake.NewDeployment(platform, bin, dir, entries)
	if err != nil {
		return 2, err
	}
	nodes, err := newEntries(d, dir, bin)
	if err != nil {
		return 2, err
	}
	defer killAll(nodes)
	if err := startAll(nodes); err != nil {
		return 2, err
	}
	if err := submit(out, d, trouble); err != nil {
		return 2, err
	}
	return watchJob(out, d, &crashes, &late), nil
}

// submit hands in a job with a lasting work unit, which crashes its workers if trouble is set.
func submit(out *record, d *fake.Deployment, trouble bool) error {
	j := &fake.Job{ID: jobID, Specification: fake.SpecRunUntilStopped}
	if trouble {
		j.Crash = &fake.Crash{Share: 1, Delay: crashAfter, Downtime: downtime}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	status := d.SubmitJob(ctx, d.Entries[0], pool, j, fake.StepSpec{Count: 1, LongRunning: true, MayMiss: 1})
	out.printf("POST %s%s (1 step of 1 work unit, long_running) -> %d", fake.QueuePath(pool), jobID, status)
	if status != 200 {
		return fmt.Errorf("the job was not accepted: status %d", status)
	}
	return nil
}

// watchJob asks for the state of the job until the rule is broken or the time is over.
func watchJob(out *record, d *fake.Deployment, crashes, late *atomic.Int64) int {
	shown := ""
	ctx, cancel := context.WithTimeout(context.Background(), watch)
	defer cancel()
	for ctx.Err() == nil {
		if state, err := d.JobState(ctx, d.Entries[1], pool, jobID); err == nil && state != shown {
			shown = state
			out.printf("GET %s%s -> 200 %s", fake.QueuePath(pool), jobID, state)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, e := range d.Entries {
		for line := range strings.Lines(d.Log(e)) {
			if strings.Contains(line, `"host crashed"`) || strings.Contains(line, `"job ended"`) {
				out.printf("log of %s: %s", e.Name, strings.TrimSpace(line))
			}
		}
	}
	out.printf("%d workers have crashed under the work unit; %d starts after the third crash, %d break the rule", crashes.Load(), late.Load(), allowedStarts)
	if late.Load() >= allowedStarts {
		return 1
	}
	return 0
}
