package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ServeCloud serves the machine service at an address.
func (f *Fleet) ServeCloud(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, f.list()) })
	mux.HandleFunc("POST /v1/machine-move", func(w http.ResponseWriter, r *http.Request) { f.order(w, r, f.move) })
	mux.HandleFunc("POST /v1/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { f.order(w, r, f.upkeep) })
	go http.Serve(l, mux)
	return nil
}

func (f *Fleet) list() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []map[string]any{}
	for _, id := range sorted(f.machines) {
		m := f.machines[id]
		row := map[string]any{
			"machine_id": id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": workerCPU, "memory_request_mb": workerMemory, "gpu": 0},
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	return map[string]any{"machines": rows, "next_page_token": ""}
}

type machineOrder struct {
	ID     string `json:"machine_id"`
	Pool   string `json:"pool"`
	Wave   int64  `json:"wave"`
	holder string
}

func (f *Fleet) order(w http.ResponseWriter, r *http.Request, do func(*Machine, *machineOrder) (int, string)) {
	var o machineOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	o.holder = r.Header.Get("Lease-Holder")
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	f.mu.Lock()
	m := f.machines[o.ID]
	status, reason := http.StatusBadRequest, ""
	if m != nil && token < m.token {
		status, reason = http.StatusConflict, "fence"
	} else if m != nil {
		m.token, m.holder = token, o.holder
		status, reason = do(m, &o)
	}
	f.rec.Log("order of %s (fence number %d) for machine %s, pool %q, wave %d: %d %s", o.holder, token, o.ID, o.Pool, o.Wave, status, reason)
	f.mu.Unlock()
	answer(w, status, map[string]any{"reason": reason})
}

func (f *Fleet) move(m *Machine, o *machineOrder) (int, string) {
	if m.pool == o.Pool {
		return http.StatusOK, ""
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	f.remove(m, "move")
	m.from, m.pool, m.state, m.backAt = m.pool, o.Pool, "moving", time.Now().Add(moveTime)
	return http.StatusOK, ""
}

func (f *Fleet) upkeep(m *Machine, o *machineOrder) (int, string) {
	wave := f.waves[o.Wave]
	if wave == nil || !slices.Contains(wave.Machines, m.id) {
		return http.StatusConflict, "wave"
	}
	if m.done[o.Wave] {
		return http.StatusOK, ""
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	down := []string{}
	for _, id := range sorted(f.machines) {
		if other := f.machines[id]; other.state == "upkeep" && other.wave == o.Wave {
			down = append(down, id)
		}
	}
	f.rec.Log("upkeep of machine %s for wave %d begins by order of %s; down for theirs: %v, cap %d", m.id, o.Wave, o.holder, down, wave.Cap)
	if len(down) >= wave.Cap {
		f.rec.Break("LIMIT", "upkeep of machine %s begins by order of %s while %v (cap %d) are down for theirs", m.id, o.holder, down, wave.Cap)
	}
	f.remove(m, "upkeep")
	m.done[o.Wave], m.wave = true, o.Wave
	m.state, m.backAt = "upkeep", time.Now().Add(upkeepTime)
	return http.StatusOK, ""
}

// Publish publishes a wave, as the operator does.
func (f *Fleet) Publish(w *Wave) {
	f.mu.Lock()
	f.waves[w.Wave] = w
	f.mu.Unlock()
	f.rec.Log("wave %d published: machines %v, cap %d, %d s", w.Wave, w.Machines, w.Cap, w.DurationS)
	f.store.Put("keyed.op", "wave/"+strconv.FormatInt(w.Wave, 10), w)
}
