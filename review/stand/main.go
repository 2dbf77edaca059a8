// Command stand runs a case of the review: the project's entries as separate processes against
// stand-ins of the platform's store, of its machines and workers, and of consumers.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case runs a case and reports whether it could run. Broken rules are noted in the recorder.
type Case func(rec *Recorder, root, dir string, trouble bool) error

var cases = map[string]Case{
	"given-up": givenUp, "orphaned": orphaned, "dropped-rules": droppedRules, "wave-cap": waveCap,
	"joined-machine": joinedMachine, "hopeless-jobs": hopelessJobs, "long-schedule": longSchedule, "moved-queue": movedQueue,
}

// caseLimit is the longest time that a case may run.
const caseLimit = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(do Case, root, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	if root, err = filepath.Abs(root); err != nil {
		return 2
	}
	rec := &Recorder{out: io.MultiWriter(out), start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Log("disruption: %v", trouble)
	result := make(chan error, 1)
	go func() { result <- do(rec, root, dir, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-time.After(caseLimit):
		err = fmt.Errorf("not done within %v", caseLimit)
	case <-stop:
		err = fmt.Errorf("interrupted")
	}
	if running != nil {
		running.KillAll()
	}
	switch {
	case len(rec.broken) > 0:
		rec.Log("verdict: broken, %s", rec.broken[0])
		return 1
	case err != nil:
		rec.Log("verdict: the case could not run: %v", err)
		return 2
	}
	rec.Log("verdict: held")
	return 0
}

// running is the installation whose processes have to be ended.
var running *System

// install starts an installation.
func install(rec *Recorder, root, dir string, entries int, pools map[string]int, routes ...map[string]any) (*System, error) {
	s, err := newSystem(rec, root, dir, entries, pools, "spare")
	if err != nil {
		return nil, err
	}
	running = s
	s.PublishConfig(3, routes...)
	return s, s.StartAll()
}

// copyLogs copies the lines of the entries' logs that contain one of some texts to the record.
func (s *System) copyLogs(texts ...string) {
	for _, line := range s.Logs(texts...) {
		s.rec.Log("log: %s", line)
	}
}

type step map[string]any

func job(specification string, steps ...step) map[string]any {
	return map[string]any{"specification": specification, "steps": steps}
}

// noticeTime is notice_ms of the settings.
const noticeTime = 4500 * time.Millisecond

// givenUp crashes the worker under one work unit of a lasting job, one worker at a time, and checks that no
// order ends a unit at work while as many others are away as may be.
func givenUp(rec *Recorder, root, dir string, trouble bool) error {
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 8, "spare": 2}, route("archive", "docs", 4))
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	const units, mayMiss = 4, 1
	// byOrder holds the units that an order ended and that are not at work again, atWorkAt when each was last
	// seen at work.
	byOrder, atWorkAt := map[string]bool{}, map[string]time.Time{}
	failed := 0
	task := func(i int) string { return fmt.Sprintf("%s.0.0.%d", id, i) }
	// observe runs under the lock.
	observe := func() {
		for i := range units {
			if m, age := s.fleet.On(task(i)); m != nil && age >= startupTime {
				byOrder[task(i)], atWorkAt[task(i)] = false, time.Now()
			}
		}
	}
	s.fleet.mu.Lock()
	s.fleet.onEnd = func(worker, ended string, _ int64, how string) {
		if how == "failed" {
			failed++
		}
		if how != "stopped" && how != "move" && how != "upkeep" {
			return
		}
		if time.Since(atWorkAt[ended]) > 200*time.Millisecond {
			return
		}
		var away []string
		for i := range units {
			if t := task(i); t != ended && (byOrder[t] || time.Since(atWorkAt[t]) >= noticeTime) {
				away = append(away, t)
			}
		}
		byOrder[ended] = true
		if len(away) >= mayMiss {
			rec.Break("AVAIL", "%s, at work on the sound worker %s, is ended by an order (%s) while %v are away; %d may be", ended, worker, how, away, mayMiss)
		}
	}
	s.fleet.mu.Unlock()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.fleet.mu.Lock()
			observe()
			s.fleet.mu.Unlock()
		}
	}()
	path := "/archive/" + id
	if err := s.Submit(path, job("last sweep", step{
		"count": units, "cpu": 1300, "memory_request_mb": 8700, "estimated_ms": 700, "long_running": true, "anti_affinity": 1, "may_miss": mayMiss, "image": "img-sweep",
	})); err != nil {
		return err
	}
	atWork := func(t string, atLeast time.Duration) *Machine {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if m, age := s.fleet.On(t); m != nil && age >= atLeast {
			return m
		}
		return nil
	}
	if err := until(20*time.Second, func() bool {
		for i := range units {
			if atWork(task(i), 5*time.Second) == nil {
				return false
			}
		}
		return true
	}); err != nil {
		return fmt.Errorf("the units do not start: %w", err)
	}
	s.AskLogged(s.entries[0], "GET", path, nil)
	for crash := range 4 {
		if err := until(12*time.Second, func() bool { return atWork(task(0), time.Second) != nil }); err != nil {
			rec.Log("unit %s does not start again after crash %d", task(0), crash)
			break
		}
		if trouble {
			m := atWork(task(0), time.Second)
			s.fleet.mu.Lock()
			s.fleet.Crash(m, 900*time.Millisecond)
			s.fleet.mu.Unlock()
		} else {
			time.Sleep(time.Second)
		}
	}
	rec.Log("no further disruption")
	shown := ""
	for range 16 {
		time.Sleep(500 * time.Millisecond)
		for _, e := range s.entries {
			if status, text := s.Ask(e, "GET", path, nil); status != 0 && text != shown {
				shown = text
				rec.Log("GET %s at %s -> %d %s", path, e.name, status, text)
			}
		}
	}
	running := 0
	s.fleet.mu.Lock()
	for i := range units {
		if m, _ := s.fleet.On(task(i)); m != nil {
			running++
		}
	}
	s.fleet.mu.Unlock()
	rec.Log("8 s later: job shown as %s, %d of %d units run, ends 'failed' of any unit: %d, cancels sent: 0", shown, running, units, failed)
	s.copyLogs(`"msg":"host crashed"`, `"msg":"job ended"`)
	return nil
}

// orphaned removes the only route of a service while a job of it runs, and kills the entry that owns the
// service's pool.
func orphaned(rec *Recorder, root, dir string, trouble bool) error {
	keep, drop := route("verify", "docs", 4), route("archive", "records", 4)
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 4, "records": 4, "spare": 2}, keep, drop)
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	path := "/archive/" + id
	steps := []step{
		{"count": 2, "cpu": 900, "memory_request_mb": 2000, "estimated_ms": 4000},
		{"count": 2, "cpu": 900, "memory_request_mb": 2000, "estimated_ms": 4000, "after": []int{0}},
	}
	if err := s.Submit(path, job("4000", steps...)); err != nil {
		return err
	}
	var done map[string]bool
	started := 0
	s.fleet.mu.Lock()
	done = map[string]bool{}
	s.fleet.onEnd = func(_, task string, _ int64, how string) { done[task] = done[task] || how == "done" }
	s.fleet.onStart = func(Start) { started++ }
	s.fleet.mu.Unlock()
	if err := until(5*time.Second, func() bool {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		m, _ := s.fleet.On(id + ".0.0.0")
		return m != nil
	}); err != nil {
		return fmt.Errorf("the job does not start: %w", err)
	}
	s.PublishConfig(11, keep)
	time.Sleep(2500 * time.Millisecond)
	owner := s.Owner("records")
	if owner == nil {
		return fmt.Errorf("no entry owns the pool")
	}
	if trouble {
		rec.Log("DISRUPTION process of %s, which owns the pool records, is killed; it starts again 2 s later", owner.name)
		owner.cmd.Process.Kill()
		<-owner.done
		time.Sleep(2 * time.Second)
		if err := s.Start(owner); err != nil {
			return err
		}
	}
	// Recovery, and finish_s after the end of the traffic.
	time.Sleep(26 * time.Second)
	s.AskLogged(s.entries[1], "GET", path, nil)
	idle := 0
	const checks = 60
	for range checks {
		s.fleet.mu.Lock()
		busy := false
		for _, m := range s.fleet.machines {
			busy = busy || (m.worker != nil && len(m.worker.running) > 0)
		}
		left := 4 - len(done)
		s.fleet.mu.Unlock()
		if left > 0 && !busy {
			idle++
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.fleet.mu.Lock()
	ended := len(done)
	workers := 0
	for _, m := range s.fleet.machines {
		if m.worker != nil && m.pool == "records" {
			workers++
		}
	}
	s.fleet.mu.Unlock()
	rec.Log("%d of 4 work units ended done; in the last 3 s nothing ran in %d of %d looks; %d workers of the service are up and idle", ended, idle, checks, workers)
	s.copyLogs(`"msg":"pool taken over"`, `"msg":"job ended"`)
	if ended < 4 && idle == checks && workers > 0 {
		rec.Break("LOST", "accepted job %s has nothing running for 3 s, %d work units have not ended, and %d workers are idle", id, 4-ended, workers)
	}
	if ended < 4 && idle < checks && len(rec.broken) == 0 {
		return fmt.Errorf("the job is still at work")
	}
	return nil
}

// droppedRules removes one of two routes of a service while a job of it runs whose unit fails each time, and
// kills the entry that owns the service's pool.
func droppedRules(rec *Recorder, root, dir string, trouble bool) error {
	const attempts = 3
	keep, drop := route("verify", "docs", attempts), route("archive", "docs", attempts)
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 6, "spare": 2}, keep, drop)
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	unit, path := id+".0.0.0", "/archive/"+id
	if err := s.Submit(path, job("wait", step{"count": 1, "cpu": 900, "memory_request_mb": 2000, "estimated_ms": 4000})); err != nil {
		return err
	}
	failed := 0
	s.fleet.mu.Lock()
	s.fleet.onEnd = func(_, task string, _ int64, how string) {
		if task == unit && how == "failed" {
			failed++
		}
	}
	s.fleet.onStart = func(st Start) {
		if st.Task == unit && failed >= attempts {
			rec.Break("BUDGET", "run %d of %s is started after %d runs of it have ended 'failed'; max_attempts is %d", st.Run, unit, failed, attempts)
		}
	}
	s.fleet.mu.Unlock()
	if err := until(5*time.Second, func() bool {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		m, _ := s.fleet.On(unit)
		return m != nil
	}); err != nil {
		return fmt.Errorf("the job does not start: %w", err)
	}
	s.PublishConfig(11, keep)
	time.Sleep(2500 * time.Millisecond)
	owner := s.Owner("docs")
	if owner == nil {
		return fmt.Errorf("no entry owns the pool")
	}
	if trouble {
		rec.Log("DISRUPTION process of %s, which owns the pool docs, is killed; it starts again 2 s later", owner.name)
		owner.cmd.Process.Kill()
		<-owner.done
		time.Sleep(2 * time.Second)
		if err := s.Start(owner); err != nil {
			return err
		}
		time.Sleep(6 * time.Second)
	}
	// The run has its error now, and so has each later one soon after its start.
	for range 10 {
		s.fleet.mu.Lock()
		if m, _ := s.fleet.On(unit); m != nil {
			s.fleet.endRun(m.worker, unit, "failed")
		}
		s.fleet.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
	s.fleet.mu.Lock()
	rec.Log("runs of %s that ended 'failed': %d, max_attempts %d", unit, failed, attempts)
	seen := failed
	s.fleet.mu.Unlock()
	s.copyLogs(`"msg":"pool taken over"`, `"msg":"job ended"`)
	if seen < attempts {
		return fmt.Errorf("the unit failed only %d times", seen)
	}
	return nil
}

// waveCap turns the holder of the machines away from the store while it empties a machine of a wave.
func waveCap(rec *Recorder, root, dir string, trouble bool) error {
	s, err := install(rec, root, dir, 8, map[string]int{"docs": 4, "wages": 4, "spare": 3}, route("verify", "docs", 4), route("settle", "wages", 4))
	if err != nil {
		return err
	}
	appended := make(chan string, 256)
	s.store.onAppend = func(client, topic, producer string, _ []string) {
		kind := ""
		switch {
		case topic == "keyed.entries":
			kind = "beat "
		case producer == "*machines":
			kind = "claim "
		}
		if kind != "" {
			select {
			case appended <- kind + client:
			default:
			}
		}
	}
	var wave int64
	for attempt := 1; attempt <= 6 && time.Since(rec.start) < 80*time.Second && len(rec.broken) == 0; attempt++ {
		wave++
		if err := waveAttempt(s, wave, attempt, trouble, appended); err != nil {
			return err
		}
	}
	s.copyLogs(`"msg":"machine to be emptied"`, `"msg":"maintenance started or not needed"`, `"msg":"taking over`)
	return nil
}

func waveAttempt(s *System, wave int64, attempt int, trouble bool, appended chan string) error {
	rec := s.rec
	id := fmt.Sprintf("5c0e7a21d94b3%03x", attempt)
	unit := id + ".0.0.0"
	if err := s.Submit("/verify/"+id, job("wait", step{"count": 1, "cpu": 900, "memory_request_mb": 2000, "estimated_ms": 4000})); err != nil {
		return err
	}
	var busy *Machine
	if err := s.fleet.await(10*time.Second, func() bool {
		busy, _ = s.fleet.On(unit)
		return busy != nil
	}); err != nil {
		return fmt.Errorf("the job does not start: %w", err)
	}
	// Work for the other pool brings machines there, which go back to standby when it is done.
	for i := range 12 {
		if err := s.Submit(fmt.Sprintf("/settle/5c0e7a21d94c%02x%02x", attempt, i), job("900", step{"count": 6, "cpu": 4000, "memory_request_mb": 4000, "estimated_ms": 900})); err != nil {
			return err
		}
	}
	var back *Machine
	if err := s.fleet.await(25*time.Second, func() bool {
		for _, m := range s.fleet.machines {
			if m.state == "moving" && m.pool == s.fleet.standby && m.from == "wages" {
				back = m
			}
		}
		return back != nil
	}); err != nil {
		return fmt.Errorf("no machine goes back to standby: %w", err)
	}
	moved := time.Now()
	time.Sleep(700 * time.Millisecond)
	// The wave takes a machine that is on its way to standby, and one that is at work.
	s.fleet.Publish(&Wave{Wave: wave, Machines: []string{back.id, busy.id}, DurationS: 30, Cap: 1})
	time.Sleep(time.Until(moved.Add(4600 * time.Millisecond)))
	s.fleet.mu.Lock()
	holder := back.holder
	idle := !back.done[wave] && !busy.done[wave] && back.state == "up"
	s.fleet.mu.Unlock()
	if !idle {
		rec.Log("the wave has gone on before the disruption; the attempt is void")
		s.fleet.Finish(unit)
		return s.fleet.await(14*time.Second, func() bool { return back.done[wave] && busy.done[wave] && back.state == "up" && busy.state == "up" })
	}
	var gate *Gate
	for _, e := range s.entries {
		if e.name == holder {
			gate = e.gate
		}
	}
	if gate == nil {
		return fmt.Errorf("holder %q is unknown", holder)
	}
	// Wait for a write of the holder under its claim, some time after its last heartbeat.
	for len(appended) > 0 {
		<-appended
	}
	lastBeat := time.Now()
	deadline := time.After(1500 * time.Millisecond)
wait:
	for {
		select {
		case a := <-appended:
			switch {
			case a == "beat "+holder:
				lastBeat = time.Now()
			case a == "claim "+holder && time.Since(lastBeat) > 150*time.Millisecond:
				break wait
			}
		case <-deadline:
			break wait
		}
	}
	if trouble {
		rec.Log("DISRUPTION the store turns %s away (no answers), for 4 s; all others are served", holder)
		gate.Shut()
	}
	time.Sleep(1700 * time.Millisecond)
	rec.Log("the work of %s on machine %s is done", unit, busy.id)
	s.fleet.Finish(unit)
	time.Sleep(2300 * time.Millisecond)
	gate.Open()
	rec.Log("the store serves all entries")
	// Both machines get their upkeep in the end.
	return s.fleet.await(14*time.Second, func() bool { return back.done[wave] && busy.done[wave] && back.state == "up" && busy.state == "up" })
}

// joinedMachine lets a machine join just before a wave that names it is published.
func joinedMachine(rec *Recorder, root, dir string, trouble bool) error {
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 4, "wages": 4, "spare": 2}, route("verify", "docs", 4), route("settle", "wages", 4))
	if err != nil {
		return err
	}
	for n := int64(1); n <= 6 && len(rec.broken) == 0; n++ {
		id := fmt.Sprintf("m-new-%d", n)
		s.fleet.mu.Lock()
		ip := s.fleet.machines["m-docs-0"].address
		s.fleet.mu.Unlock()
		ip, _, _ = net.SplitHostPort(ip)
		if err := s.fleet.Add(id, "docs", "zone-a", "r9-docs", ip); err != nil {
			return err
		}
		rec.Log("machine %s has joined the pool docs and is listed", id)
		if trouble {
			rec.Log("DISRUPTION the operator publishes a wave that names it 100 ms later")
			time.Sleep(100 * time.Millisecond)
		} else {
			time.Sleep(3 * time.Second)
		}
		s.fleet.Publish(&Wave{Wave: n, Machines: []string{"m-wages-0", id}, DurationS: 30, Cap: 2})
		key := fmt.Sprintf("wave/%d", n)
		if err := until(25*time.Second, func() bool { return strings.Contains(s.store.Get("keyed.status", key), "completed") }); err != nil {
			return fmt.Errorf("wave %d is not completed: %w", n, err)
		}
		s.fleet.mu.Lock()
		m := s.fleet.machines[id]
		done, state := m.done[n], m.state
		s.fleet.mu.Unlock()
		rec.Log("status/%s is %s; upkeep of %s has begun: %v, state %s", key, s.store.Get("keyed.status", key), id, done, state)
		if !done && state == "up" {
			rec.Break("MIXED", "wave %d is said to be completed, and machine %s of it, which is up and listed, has not begun its upkeep", n, id)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	s.copyLogs(`"msg":"machine of a wave is no longer listed`, `"msg":"wave completed"`)
	return nil
}

// movedQueue removes a route and adds it again with another service while a job of it runs, and then sends
// the consumer's request once more.
func movedQueue(rec *Recorder, root, dir string, trouble bool) error {
	verify, settle := route("verify", "docs", 4), route("settle", "wages", 4)
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 4, "wages": 4, "spare": 2}, verify, settle)
	if err != nil {
		return err
	}
	const id = "5c0e7a21d94b36f8"
	path := "/settle/" + id
	active := map[string][]string{}
	s.fleet.mu.Lock()
	s.fleet.onStart = func(st Start) {
		if len(active[st.Task]) > 0 {
			rec.Break("TWICE", "run %d of %s starts on %s while a run of it is active on %v", st.Run, st.Task, st.Worker, active[st.Task])
		}
		active[st.Task] = append(active[st.Task], st.Worker)
	}
	s.fleet.onEnd = func(worker, task string, _ int64, _ string) {
		active[task] = slices.DeleteFunc(active[task], func(w string) bool { return w == worker })
	}
	s.fleet.mu.Unlock()
	body := job("20000", step{"count": 3, "cpu": 900, "memory_request_mb": 2000, "estimated_ms": 20000})
	if err := s.Submit(path, body); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.Log("DISRUPTION the operator removes the route settle and adds it again with the service docs")
		s.PublishConfig(11, verify)
		time.Sleep(2500 * time.Millisecond)
		s.PublishConfig(14, verify, route("settle", "docs", 4))
	}
	time.Sleep(2500 * time.Millisecond)
	s.AskLogged(s.entries[2], "GET", path, nil)
	rec.Log("the consumer's request arrives once more")
	s.AskLogged(s.entries[1], "POST", path, body)
	time.Sleep(4 * time.Second)
	s.AskLogged(s.entries[2], "GET", path, nil)
	s.copyLogs(`"msg":"job submitted"`, `"msg":"job ended"`)
	return nil
}

// hopelessJobs sends nine jobs at once that no worker can ever run, again and again, to a queue without other
// work. Their cores are given in billionths and their estimates in nanoseconds.
func hopelessJobs(rec *Recorder, root, dir string, trouble bool) error {
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 4, "wages": 4, "spare": 2}, route("verify", "docs", 4), route("settle", "wages", 4))
	if err != nil {
		return err
	}
	ends := map[string]int{}
	sent := 0
	watch := func(d time.Duration) error {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			for _, e := range s.entries {
				select {
				case <-e.done:
					ends[e.name]++
					rec.Log("process of %s has ended by itself, %v, %d times so far; it starts again", e.name, e.cmd.ProcessState, ends[e.name])
					time.Sleep(2200 * time.Millisecond)
					if err := s.Start(e); err != nil {
						return err
					}
				default:
				}
			}
		}
		return nil
	}
	machines := func() int {
		n := 0
		for _, count := range ends {
			if count >= 3 {
				n++
			}
		}
		return n
	}
	for burst := 1; burst <= 12 && machines() < 2 && time.Since(rec.start) < 100*time.Second; burst++ {
		cpu, estimate := int64(2), int64(4)
		if trouble {
			rec.Log("DISRUPTION burst %d of nine jobs that can never be done", burst)
			cpu, estimate = 2_000_000_000, 4_000_000_000
		}
		var group sync.WaitGroup
		for k := range 9 {
			sent++
			path, e := fmt.Sprintf("/verify/5c0e7a21d94b%04x", sent), s.entries[k%4]
			group.Go(func() {
				s.AskLogged(e, "POST", path, job("20", step{"count": 75, "cpu": cpu, "memory_request_mb": 10, "estimated_ms": estimate}))
			})
		}
		group.Wait()
		if err := watch(7500 * time.Millisecond); err != nil {
			return err
		}
	}
	total := 0
	for name, n := range ends {
		rec.Log("%s: process ended by itself %d times", name, n)
		total += n
	}
	s.copyLogs("panic:")
	if machines() >= 2 {
		rec.Break("Fault", "processes ended by themselves %d times, three times or more on %d of 4 machines; none was disturbed", total, machines())
	}
	return nil
}

// longSchedule hands in a timed job whose occurrences are all due, with more progress than a record of the store
// holds, and small jobs on the same queue later.
func longSchedule(rec *Recorder, root, dir string, trouble bool) error {
	const finishTime, noRunTime = 14 * time.Second, 3 * time.Second
	s, err := install(rec, root, dir, 4, map[string]int{"docs": 3, "wages": 3, "spare": 1}, route("verify", "docs", 4), route("settle", "wages", 4))
	if err != nil {
		return err
	}
	// The runs of the schedule are too many for the record.
	starts, done := 0, map[string]bool{}
	lastStart := time.Now()
	s.fleet.mu.Lock()
	s.fleet.rec = &Recorder{out: io.Discard, start: rec.start}
	s.fleet.onStart = func(Start) { starts++; lastStart = time.Now() }
	s.fleet.onEnd = func(_, task string, _ int64, how string) { done[task] = done[task] || how == "done" }
	s.fleet.mu.Unlock()
	small := func(k int) string { return fmt.Sprintf("/verify/5c0e7a21d94b36%02x", k) }
	smallJob := job("300", step{"count": 3, "cpu": 900, "memory_request_mb": 100, "estimated_ms": 300})
	if err := s.Submit(small(0), smallJob); err != nil {
		return err
	}
	if trouble {
		rec.Log("DISRUPTION one large job: 1,000 occurrences of 300 work units of 5 ms, the first due a week ago")
		b := job("5", step{"count": 300, "cpu": 1000, "memory_request_mb": 100, "estimated_ms": 5})
		b["repetitions"], b["interval_ms"], b["first_run_ms"] = 1000, 60000, time.Now().Add(-7*24*time.Hour).UnixMilli()
		if err := s.Submit("/verify/7d21c0ffee000001", b); err != nil {
			return err
		}
	}
	look := func() (running, idle, listed int) {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		for _, id := range sorted(s.fleet.machines) {
			if m := s.fleet.machines[id]; m.worker != nil && m.pool == "docs" {
				running += len(m.worker.running)
				listed += len(m.worker.finished)
				if len(m.worker.running) == 0 {
					idle++
				}
			}
		}
		return running, idle, listed
	}
	for time.Since(rec.start) < 75*time.Second {
		time.Sleep(8 * time.Second)
		running, idle, listed := look()
		s.fleet.mu.Lock()
		rec.Log("service docs: %d runs, %d idle workers, %d ends listed and not taken note of; %d starts so far, the last %v ago", running, idle, listed, starts, time.Since(lastStart).Round(time.Millisecond))
		s.fleet.mu.Unlock()
	}
	const last = 4
	for k := 1; k <= last; k++ {
		if err := s.Submit(small(k), smallJob); err != nil {
			return err
		}
	}
	rec.Log("end of the traffic")
	time.Sleep(finishTime)
	most, fewestIdle, before := 0, 99, 0
	s.fleet.mu.Lock()
	before = starts
	s.fleet.mu.Unlock()
	for end := time.Now().Add(noRunTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		running, idle, _ := look()
		most, fewestIdle = max(most, running), min(fewestIdle, idle)
	}
	unfinished := 0
	for k := 0; k <= last; k++ {
		if _, text := s.AskLogged(s.entries[1], "GET", small(k), nil); text != `{"state":"completed"}` {
			unfinished++
		}
	}
	s.fleet.mu.Lock()
	begun := starts - before
	s.fleet.mu.Unlock()
	_, _, listed := look()
	rec.Log("for 3 s: at most %d runs, %d starts, at least %d idle workers; %d ends listed and not taken note of; %d of %d small jobs not completed", most, begun, fewestIdle, listed, unfinished, last+1)
	s.copyLogs(`"msg":"progress of a job cannot be stored`)
	if unfinished > 0 && most == 0 && begun == 0 && fewestIdle > 0 {
		rec.Break("LOST", "%d accepted small jobs have nothing running, nothing has been started for 3 s, and all %d workers of the service are idle", unfinished, fewestIdle)
	}
	return nil
}
