package hostd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/faulty"
)

// Handler serves the calls of the host service as docs/PLATFORM.md defines them, and control calls
// for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		machines, err := task.Call(r.Context(), s.task, func(reply chan<- plat.MachineList) message { return list{reply} })
		etag := etagOf(machines)
		w.Header().Set("ETag", etag)
		if err == nil && r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		faulty.WriteJSON(w, machines, err)
	})
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, r *http.Request) {
		report, err := task.Call(r.Context(), s.task, func(reply chan<- plat.UsageReport) message { return usage{reply} })
		faulty.WriteJSON(w, report, err)
	})
	mux.HandleFunc("POST /hosts/{host}/drain", s.fenced("drain"))
	mux.HandleFunc("POST /hosts/{host}/reboot", s.fenced("reboot"))
	mux.HandleFunc("PUT /hosts/{host}/tasks/{job}/{task}", s.startTask)
	mux.HandleFunc("DELETE /hosts/{host}/tasks/{job}/{task}", s.stopTask)
	mux.HandleFunc("POST /control/machines/{name}", s.setMachine)
	mux.HandleFunc("POST /control/jobs/{job}/scale", s.scaleJob)
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, r *http.Request) {
		counts, err := task.Call(r.Context(), s.task, func(reply chan<- Stats) message { return stats{reply} })
		faulty.WriteJSON(w, counts, err)
	})
	return s.faults.Wrap(mux)
}

// etagOf returns the entity tag of a list: a hash of its content.
func etagOf(l plat.MachineList) string {
	raw, err := json.Marshal(l)
	if err != nil {
		return ""
	}
	return fmt.Sprintf(`"%016x"`, xxhash.Sum64(raw))
}

// respond sends a message to the task and answers the call with status 200, or with 409 and the
// reason when the task refuses it.
func (s *Service) respond(w http.ResponseWriter, build func(reply chan<- error) message) {
	refusal, err := task.Call(context.Background(), s.task, build)
	if err == nil && refusal != nil {
		http.Error(w, refusal.Error(), http.StatusConflict)
		return
	}
	faulty.WriteJSON(w, struct{}{}, err)
}

func (s *Service) fenced(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fence, err := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
		if err != nil {
			http.Error(w, "fence: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.respond(w, func(reply chan<- error) message {
			return fencedCall{verb, r.PathValue("host"), fence, reply}
		})
	}
}

func (s *Service) startTask(w http.ResponseWriter, r *http.Request) {
	var spec plat.TaskStart
	number, err := strconv.Atoi(r.PathValue("task"))
	if err == nil {
		err = json.NewDecoder(r.Body).Decode(&spec)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, func(reply chan<- error) message {
		return start{r.PathValue("host"), r.PathValue("job"), number, spec, reply}
	})
}

func (s *Service) stopTask(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.Atoi(r.PathValue("task"))
	var fence uint64
	if err == nil {
		fence, err = strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, func(reply chan<- error) message {
		return stop{r.PathValue("host"), r.PathValue("job"), number, fence, reply}
	})
}

func (s *Service) setMachine(w http.ResponseWriter, r *http.Request) {
	var m plat.Machine
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, func(reply chan<- error) message { return setState{r.PathValue("name"), m.State, reply} })
}

func (s *Service) scaleJob(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Factor float64 `json:"factor"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, func(reply chan<- error) message { return scale{r.PathValue("job"), body.Factor, reply} })
}
