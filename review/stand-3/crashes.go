// Command crashes plays a pool of sound workers on which one job of a single long task runs, and crashes the worker under the
// task a few times. It exits with 1 if the job is then shown as failed, 0 if it completes, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/trial/fake"
)

const (
	pool    = "seadocs"
	workers = 10
	entries = 3
	jobID   = "5c0e7a21d94b36f8"
	// taskMS is how long the task works. It saves no progress.
	taskMS = 12_000
	// crashes is the number of crashes, and crashAfter the age of the run at each of them.
	crashes    = 3
	crashAfter = 8 * time.Second
	// downtime is for_s of the site's srv_crash.
	downtime = 4500 * time.Millisecond
	limit    = 100 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: crashes BIN-FOLDER CASE-FOLDER")
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
	dir, err := os.MkdirTemp("", "crashes-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	starts := make(chan fake.Event, 64)
	failed := 0
	layout := fake.Layout{
		Pools: map[string]int{pool: workers},
		Timing: fake.Timing{
			MaxLease: 10 * time.Second, MoveDuration: 1500 * time.Millisecond, MaintenanceDuration: 2 * time.Second,
			HeartbeatInterval: 1500 * time.Millisecond,
		},
		AppendTime: time.Millisecond,
		Observe: func(e fake.Event) {
			switch e.Kind {
			case fake.RunStarted:
				out.printf("worker %s starts %s run %d", e.Host, e.Task, e.Run)
				select {
				case starts <- e:
				default:
				}
			case fake.RunEnded:
				out.printf("worker %s ends %s run %d: %s", e.Host, e.Task, e.Run, e.Result)
				if e.Result == "failed" {
					failed++
				}
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
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := startAll(nodes); err != nil {
		return 2, err
	}
	status := 0
	for status != 200 {
		if ctx.Err() != nil {
			return 2, fmt.Errorf("the job was not accepted, last status %d", status)
		}
		status, _ = d.Submit(ctx, d.Entries[0], pool, jobID, strconv.Itoa(taskMS), fake.StepSpec{Count: 1, EstimatedMS: taskMS})
		out.printf("POST %s%s (1 step, 1 task, %d ms) -> %d", fake.QueuePath(pool), jobID, taskMS, status)
		time.Sleep(200 * time.Millisecond)
	}
	go func() {
		for left := crashes; trouble && left > 0; left-- {
			e := <-starts
			time.Sleep(time.Until(e.At.Add(crashAfter)))
			machine, err := machineOf(platform, e.Host)
			if err != nil {
				out.printf("no crash: %v", err)
				return
			}
			out.printf("worker %s crashes under run %d, its machine %s is down for %v", e.Host, e.Run, machine, downtime)
			platform.CrashMachine(machine, downtime)
		}
	}()
	shown := ""
	for ctx.Err() == nil {
		state, err := d.JobState(ctx, d.Entries[1], pool, jobID)
		if err == nil && state != shown {
			shown = state
			out.printf("GET %s%s -> 200 %s", fake.QueuePath(pool), jobID, state)
		}
		switch shown {
		case "completed":
			out.printf("the rule holds")
			return 0, nil
		case "failed", "cancelled":
			out.printf("LOST: the job is shown as %s; %d runs have ended as failed, max_attempts is %d", shown, failed, fake.MaxAttempts)
			logs(out, d)
			return 1, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 2, fmt.Errorf("the job did not end within %v", limit)
}

// logs copies what the entries log about crashes.
func logs(out *record, d *fake.Deployment) {
	for _, e := range d.Entries {
		for line := range strings.Lines(d.Log(e)) {
			if strings.Contains(line, `"host crashed"`) || strings.Contains(line, `"job ended"`) {
				out.printf("log of %s: %s", e.Name, strings.TrimSpace(line))
			}
		}
	}
}
