package shard

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/pairs"
)

const (
	// neighborWeight and maxNeighborWeight bound the placement cost of a host with images that are suspected to hurt the
	// task or to be hurt by it. They are above what is left of a host of usual size, so that a pair is kept apart rather
	// than packed, and below busyWeight: no work waits because of a suspicion.
	neighborWeight, maxNeighborWeight = 1 << 17, 3 << 17
	// heavyLoss is the loss, the logarithm of a factor of 4, from which on the cost is the highest.
	heavyLoss = 1.386
	// maxPresent is the number of images of a host above which those that have left are forgotten. It bounds what a start
	// copies.
	maxPresent = 16
	// servingWindow is the time over which the latency of a serving task is averaged. Best-effort work and the load of
	// serving work change within seconds.
	servingWindow = 5 * time.Second
	// maxSampleTime bounds the time for which a report counts. Hosts report every second at least.
	maxSampleTime = 2 * time.Second
	// servingInterval is the interval whose observations of serving tasks count as having one source: a peak of the load
	// shows in all of them.
	servingInterval = 30 * time.Second
	// expireInterval is the time between checks for suspicions that are too old.
	expireInterval = time.Second
)

// neighborhood is what a pool learns about tasks that slow each other down.
type neighborhood struct {
	learner *pairs.Learner
	// now is the time of the newest report or start. Tasks that are assigned or released count as of then.
	now        time.Time
	nextExpiry time.Time
	// besideStarts is the number of starts on a host with a suspected image.
	besideStarts int64
	// weights and refs are buffers of observeServing.
	weights []presentWeight
	refs    []batch.Ref
}

// presence holds the images on a host.
type presence struct {
	images []presentImage
	// lastID is the highest ID of an image that was given out.
	lastID int64
	// tasks is the number of tasks that name an image, and serving that of those with a limit of their tail latency.
	tasks, serving int
}

// present says for how long an image has been on a host.
type present struct {
	// one and two are the times for which at least one and two tasks of the image were there.
	one, two time.Duration
}

// presentImage is an image that is or was on a host.
type presentImage struct {
	image string
	// id differs from that of each other image, and from that of the same image before it was forgotten.
	id    int64
	tasks int
	// total is as of since, when the number of tasks last changed.
	total present
	since time.Time
}

// at returns for how long the image has been there up to a time.
func (p *presentImage) at(now time.Time) present {
	total, passed := p.total, max(now.Sub(p.since), 0)
	if p.tasks >= 1 {
		total.one += passed
	}
	if p.tasks >= 2 {
		total.two += passed
	}
	return total
}

// change records that tasks of a step have come to the host or left it.
func (p *presence) change(step *batch.Step, by int, now time.Time) {
	if step.Image == "" {
		return
	}
	if p.tasks == 0 {
		// Runs that end later do not need what was there before.
		p.images = p.images[:0]
	}
	p.tasks += by
	if step.TailLatency > 0 {
		p.serving += by
	}
	at := p.find(step.Image)
	if at < 0 {
		p.forget()
		p.lastID++
		p.images = append(p.images, presentImage{image: step.Image, id: p.lastID})
		at = len(p.images) - 1
	}
	img := &p.images[at]
	img.total, img.since = img.at(now), now
	img.tasks += by
}

// forget drops the images that have left, if there are many. Runs that were beside one of them count less of it.
func (p *presence) forget() {
	if len(p.images) >= maxPresent {
		p.images = slices.DeleteFunc(p.images, func(img presentImage) bool { return img.tasks == 0 })
	}
}

func (p *presence) find(image string) int {
	return slices.IndexFunc(p.images, func(img presentImage) bool { return img.image == image })
}

// observed is what is remembered of a run until it is observed.
type observed struct {
	run int64
	// before holds for how long images had been on the host when the run was ordered.
	before []presentBefore
	// window is set for serving tasks.
	window servingSums
}

// presentBefore says for how long an image had been on a host at a time.
type presentBefore struct {
	id int64
	present
}

// servingSums holds the sums over the reports of a window, weighted by time.
type servingSums struct {
	lastReport time.Time
	took       time.Duration
	// logRatio is the sum of the logarithms of tail latency by target, and beside that of the parts of images.
	logRatio float64
	beside   map[string]float64
}

// observeStart prepares the observation of a run that was ordered. Runs whose duration tells nothing about neighbors are
// left out: gangs wait for their slowest member, best-effort work takes what is left, and a checkpoint or a distance to
// the data changes the duration by an unknown factor.
func (s *State) observeStart(step *batch.Step, task *Task, h *Host, now time.Time) {
	task.observed = nil
	if step.Image == "" || step.Gang || step.BestEffort || task.Checkpoint != "" || len(h.failures) > 0 ||
		(step.DataRack != "" && step.DataRack != h.Rack) || (step.LongRunning && step.TailLatency <= 0) || (!step.LongRunning && step.Estimate <= 0) {
		return
	}
	task.observed = &observed{run: task.Run}
	if step.LongRunning {
		return
	}
	task.observed.before = make([]presentBefore, len(h.present.images))
	for i := range h.present.images {
		task.observed.before[i] = presentBefore{h.present.images[i].id, h.present.images[i].at(now)}
	}
}

// observeEnd learns from a run that has ended as done.
func (s *State) observeEnd(h *Host, job string, step *batch.Step, task *Task, run int64, took time.Duration, now time.Time) {
	o := task.observed
	if o == nil || o.run != run || took <= 0 || step.LongRunning || h.fails(now) {
		return
	}
	task.observed = nil
	out := pairs.Observation{
		Image: step.Image, Host: h.ID, Source: job, Ratio: float64(took) / float64(step.Estimate), Beside: make([]pairs.Share, 0, len(h.present.images)),
	}
	for i := range h.present.images {
		img := &h.present.images[i]
		total := img.at(now)
		if at := slices.IndexFunc(o.before, func(b presentBefore) bool { return b.id == img.id }); at >= 0 {
			total.one -= o.before[at].one
			total.two -= o.before[at].two
		}
		beside := total.one
		if img.image == step.Image {
			beside = total.two
		}
		if beside > 0 {
			out.Beside = append(out.Beside, pairs.Share{Image: img.image, Part: float64(beside) / float64(took)})
		}
	}
	s.neighbors.learner.Observe(&out, now)
}

// presentWeight says how much of an image is on a host now.
type presentWeight struct {
	image  string
	weight float64
}

// observeServing learns from the tail latencies that a host has reported.
func (s *State) observeServing(h *Host, now time.Time) {
	s.expireNeighbors(now)
	if h.present.serving == 0 {
		return
	}
	s.weighPresent(h)
	for _, ref := range s.neighbors.refs {
		step, task := s.step(ref), h.Assigned[ref]
		o := task.observed
		if o == nil || o.run != task.Run || step.TailLatency <= 0 || task.Status != Running || task.Percent < servingPercent || task.Load <= 0 {
			continue
		}
		ratio := task.Load * float64(time.Millisecond) / float64(step.TailLatency)
		if o.window.add(ratio, step.Image, s.neighbors.weights, now) {
			s.neighbors.learner.Observe(o.window.observation(step.Image, h.ID, now), now)
			o.window = servingSums{lastReport: now}
		}
	}
}

// weighPresent sets the running tasks on a host that name an image, and how much of each image is there. Best-effort work
// counts by its use of cores, the other work whole.
func (s *State) weighPresent(h *Host) {
	weights, refs := s.neighbors.weights[:0], s.neighbors.refs[:0]
	for ref, task := range h.Assigned {
		if step := s.step(ref); step != nil && step.Image != "" && task.Status == Running {
			refs = append(refs, ref)
		}
	}
	// What is learned must not depend on the order of a map.
	slices.SortFunc(refs, compareRefs)
	for _, ref := range refs {
		step, task := s.step(ref), h.Assigned[ref]
		weight := 1.0
		if step.BestEffort && step.Need.MilliCores > 0 {
			weight = min(max(task.Load, 0)/float64(step.Need.MilliCores), 1)
		}
		at := slices.IndexFunc(weights, func(w presentWeight) bool { return w.image == step.Image })
		if at < 0 {
			weights = append(weights, presentWeight{image: step.Image})
			at = len(weights) - 1
		}
		weights[at].weight += weight
	}
	s.neighbors.weights, s.neighbors.refs = weights, refs
}

// add adds a report. It reports whether the window is complete.
func (w *servingSums) add(ratio float64, own string, weights []presentWeight, now time.Time) bool {
	passed := min(now.Sub(w.lastReport), maxSampleTime)
	first := w.lastReport.IsZero()
	w.lastReport = now
	if first || passed <= 0 {
		return false
	}
	if w.beside == nil {
		w.beside = map[string]float64{}
	}
	w.took += passed
	w.logRatio += math.Log(ratio) * passed.Seconds()
	for _, p := range weights {
		if p.image == own {
			p.weight--
		}
		if p.weight > 0 {
			w.beside[p.image] += min(p.weight, 1) * passed.Seconds()
		}
	}
	return w.took >= servingWindow
}

// observation returns what the window shows.
func (w *servingSums) observation(image, host string, now time.Time) *pairs.Observation {
	out := &pairs.Observation{
		Image: image, Host: host, Source: strconv.FormatInt(now.UnixNano()/int64(servingInterval), 10),
		Ratio: math.Exp(w.logRatio / w.took.Seconds()),
	}
	for name, sum := range w.beside {
		out.Beside = append(out.Beside, pairs.Share{Image: name, Part: sum / w.took.Seconds()})
	}
	slices.SortFunc(out.Beside, func(a, b pairs.Share) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// expireNeighbors ends the suspicions that are too old.
func (s *State) expireNeighbors(now time.Time) {
	if !now.Before(s.neighbors.nextExpiry) {
		s.neighbors.nextExpiry = now.Add(expireInterval)
		s.neighbors.learner.Expire(now)
	}
}

// neighborCost returns the placement cost of the images on a host that are suspected to hurt a task or to be hurt by it.
func (s *State) neighborCost(step *batch.Step, h *Host) int64 {
	if step.Image == "" || s.neighbors.learner.Quiet() {
		return 0
	}
	return s.suspectedCost(step, h)
}

func (s *State) suspectedCost(step *batch.Step, h *Host) int64 {
	if h.present.tasks == 0 {
		return 0
	}
	_, loss := s.worstNeighbor(step, h)
	switch {
	case loss <= 0:
		return 0
	case step.LongRunning || step.BestEffort:
		// These are spread by longRunningWeight: they rather take a host with one more long-running task.
		return maxNeighborWeight
	}
	return neighborWeight + int64(min(loss/heavyLoss, 1)*(maxNeighborWeight-neighborWeight))
}

// worstNeighbor returns the image on a host that costs most beside a step, and the loss of all of them together.
func (s *State) worstNeighbor(step *batch.Step, h *Host) (string, float64) {
	partners := s.neighbors.learner.Partners(step.Image)
	if partners == nil {
		return "", 0
	}
	worst, most, sum := "", 0.0, 0.0
	for i := range h.present.images {
		if img := &h.present.images[i]; img.tasks > 0 {
			loss := partners[img.image]
			sum += loss
			if loss > most {
				worst, most = img.image, loss
			}
		}
	}
	return worst, sum
}

// startReason returns the reason of a start for logs. It counts the starts beside a suspected image.
func (s *State) startReason(step *batch.Step, h *Host) string {
	if step.Image == "" || s.neighbors.learner.Quiet() {
		return scheduled
	}
	worst, _ := s.worstNeighbor(step, h)
	if worst == "" {
		return scheduled
	}
	s.neighbors.besideStarts++
	return scheduled + " beside " + worst + ", though one of them slows the other down"
}

// scheduled is the reason of starts.
const scheduled = "scheduled"

// Neighbors returns what the pool has learned about images that slow each other down.
func (s *State) Neighbors() *pairs.Learner { return s.neighbors.learner }

// BesideStarts returns the number of starts on a host with a suspected image.
func (s *State) BesideStarts() int64 { return s.neighbors.besideStarts }
