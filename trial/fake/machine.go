package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The states of a machine.
const (
	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

// machine is a machine of the platform.
type machine struct {
	id, pool, state, address, zone, rack string
	host                                 *host
	// until is when a machine that is away comes back.
	until   time.Time
	standby bool
	// token and holder are of the last order; at is when it came.
	token  int64
	holder string
	at     time.Time
	// upkept is the last wave whose maintenance has begun.
	upkept int64
}

// waveState is a wave that was published.
type waveState struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Cap      int      `json:"cap"`
}

func (m *machine) advance(s *state, now time.Time) {
	if m.state == stateUp || now.Before(m.until) {
		return
	}
	if m.standby = m.pool == s.store.standby; m.standby {
		m.state = stateUp
		return
	}
	s.boot(m, now)
}

// notePublished remembers what is needed to judge by.
func (s *state) notePublished(key string, raw []byte) {
	var w waveState
	if len(key) > 5 && key[:5] == "wave/" && json.Unmarshal(raw, &w) == nil {
		s.wave = &w
	}
}

func (w *Platform) machinesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, http.StatusOK, ask(w, (*state).listMachines))
	})
	for path, f := range map[string]func(*state, *machine, *machineOrder) (int, string){
		"/v1/machine-move": (*state).move, "/v1/machine-upkeep": (*state).upkeep,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o machineOrder
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				answer(rw, http.StatusBadRequest, struct{}{})
				return
			}
			o.holder = r.Header.Get("Lease-Holder")
			o.token, _ = strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
			status, why := 0, ""
			w.do(func(s *state) { status, why = s.orderMachine(&o, f) })
			answer(rw, status, map[string]string{"reason": why})
		})
	}
	return mux
}

// machineOrder is an order for a machine.
type machineOrder struct {
	ID     string `json:"machine_id"`
	Pool   string `json:"pool"`
	Wave   int64  `json:"wave"`
	holder string
	token  int64
}

func (s *state) listMachines() any {
	type row struct {
		ID       string         `json:"machine_id"`
		Pool     string         `json:"pool"`
		State    string         `json:"state"`
		Zone     string         `json:"zone"`
		Labels   []string       `json:"labels"`
		Capacity map[string]int `json:"capacity"`
		Host     string         `json:"id"`
	}
	rows := []row{}
	for _, id := range keys(s.machines) {
		m := s.machines[id]
		one := row{
			ID: id, Pool: m.pool, State: m.state, Zone: m.zone, Labels: []string{"a", m.rack},
			Capacity: map[string]int{"cpu": hostCores, "memory_request_mb": hostMemory},
		}
		if m.host != nil {
			one.Host = m.host.id
		}
		rows = append(rows, one)
	}
	return map[string]any{"machines": rows, "next_page_token": nil}
}

// orderMachine checks who orders, and carries the order out.
func (s *state) orderMachine(o *machineOrder, f func(*state, *machine, *machineOrder) (int, string)) (int, string) {
	m := s.machines[o.ID]
	now := time.Now()
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case o.token < m.token:
		return http.StatusConflict, "fence"
	case o.token == m.token && o.holder != m.holder:
		s.broken("machine %s: two holders with token %d", m.id, o.token)
	case o.holder != m.holder && m.holder != "" && now.Sub(m.at) < holderTerm:
		s.broken("machine %s: %s orders %v after %s", m.id, o.holder, now.Sub(m.at), m.holder)
	}
	m.token, m.holder, m.at = o.token, o.holder, now
	return f(s, m, o)
}

// holderTerm is how long orders of one holder keep others off.
const holderTerm = 3 * time.Second

func (s *state) away(m *machine, state string, d time.Duration) {
	if m.host != nil {
		s.gone(m.host)
	}
	m.state, m.until = state, time.Now().Add(d)
}

func (s *state) move(m *machine, o *machineOrder) (int, string) {
	if m.pool == o.Pool {
		return http.StatusOK, ""
	}
	if m.state != stateUp {
		return http.StatusConflict, "busy"
	}
	m.pool = o.Pool
	s.away(m, stateMoving, s.rules.MoveDuration)
	return http.StatusOK, ""
}

func (s *state) upkeep(m *machine, o *machineOrder) (int, string) {
	if m.upkept == o.Wave {
		return http.StatusOK, ""
	}
	if m.state != stateUp {
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, other := range s.machines {
		if other.state == stateUpkeep {
			down++
		}
	}
	if s.wave != nil && down >= s.wave.Cap {
		s.broken("machine %s goes down for wave %d beside %d others", m.id, o.Wave, down)
	}
	m.upkept = o.Wave
	s.away(m, stateUpkeep, s.rules.MaintenanceDuration)
	return http.StatusOK, ""
}

// MaintenanceBegun counts the machines whose maintenance for a wave has begun.
func (w *Platform) MaintenanceBegun(wave int64) int {
	return ask(w, func(s *state) int {
		n := 0
		for _, m := range s.machines {
			if m.upkept == wave {
				n++
			}
		}
		return n
	})
}

// MachinesInPool counts the machines of a pool.
func (w *Platform) MachinesInPool(pool string) int {
	return ask(w, func(s *state) int {
		n := 0
		for _, m := range s.machines {
			if m.pool == pool {
				n++
			}
		}
		return n
	})
}
