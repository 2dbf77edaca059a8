package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maintenance is maintenance_s of the settings.
const maintenance = 2 * time.Second

// machineState is what the machine service knows of a machine.
type machineState struct {
	token    int64
	waves    map[int64]bool
	inUpkeep bool
}

// MachinesHandler serves the machine service. There is one pool only, so it accepts no moves.
func MachinesHandler(pools ...*Pool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		rows := []map[string]any{}
		for _, p := range pools {
			rows = append(rows, p.machines()...)
		}
		reply(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
	})
	mux.HandleFunc("POST /v1/machine-move", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
	})
	mux.HandleFunc("POST /v1/machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			ID   string `json:"machine_id"`
			Wave int64  `json:"wave"`
		}
		token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
		if json.NewDecoder(r.Body).Decode(&o) == nil {
			for _, p := range pools {
				if status, reason := p.upkeep(o.ID, o.Wave, token, r.Header.Get("Lease-Holder")); status != http.StatusBadRequest {
					reply(w, status, map[string]any{"reason": reason})
					return
				}
			}
		}
		reply(w, http.StatusBadRequest, map[string]any{})
	})
	return mux
}

// machines returns the rows of the list of machines.
func (p *Pool) machines() []map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []map[string]any
	for _, w := range p.workers {
		row := map[string]any{
			"machine_id": "m-" + w.name, "pool": p.service, "state": "down", "zone": w.zone, "labels": []string{"a", w.rack}, "capacity": w.capacity, "id": nil,
		}
		switch {
		case w.up:
			row["state"], row["id"] = "up", w.id
		case w.machine.inUpkeep:
			row["state"] = "upkeep"
		}
		rows = append(rows, row)
	}
	return rows
}

// upkeep begins the upkeep of a machine.
func (p *Pool) upkeep(id string, wave, token int64, holder string) (int, string) {
	p.mu.Lock()
	i := slices.IndexFunc(p.workers, func(w *Worker) bool { return "m-"+w.name == id })
	if i < 0 {
		p.mu.Unlock()
		return http.StatusBadRequest, ""
	}
	w := p.workers[i]
	m := &w.machine
	status, reason := http.StatusOK, ""
	switch {
	case token < m.token:
		status, reason = http.StatusConflict, "fence"
	case m.waves[wave]:
	case !w.up:
		status, reason = http.StatusConflict, "busy"
	}
	begins := status == http.StatusOK && !m.waves[wave]
	m.token = max(m.token, token)
	if begins {
		if m.waves == nil {
			m.waves = map[int64]bool{}
		}
		m.waves[wave], m.inUpkeep = true, true
	}
	p.record.Add("upkeep of %s for wave %d ordered by %s with fence number %d: %d %s", id, wave, holder, token, status, reason)
	p.mu.Unlock()
	if begins {
		p.Crash(w, maintenance)
	}
	return status, reason
}

// Maintained returns the machines whose upkeep for a wave has begun.
func (p *Pool) Maintained(wave int64) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]bool{}
	for _, w := range p.workers {
		if w.machine.waves[wave] {
			out["m-"+w.name] = true
		}
	}
	return out
}

// Wave writes a wave as an operator does.
func (d *Deployment) Wave(number int, machines []string) {
	d.Record.Add("an operator writes op/wave/%d with the machines %v", number, machines)
	d.Store.Put("keyed.op", "wave/"+strconv.Itoa(number), map[string]any{"wave": number, "machines": machines, "duration_s": 30, "cap": 1})
}
