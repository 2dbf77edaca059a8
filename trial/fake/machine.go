package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"carawaymux.dev/trial/faulty"
)

// The states of a machine.
const (
	stateUp          = "up"
	stateMoving      = "moving"
	stateMaintenance = "upkeep"
	stateDown        = "down"
)

// machine is a machine of the platform.
type machine struct {
	id, pool, state, address, zone, rack string
	host                                 *host
	// awayUntil is when a machine that is offline comes back.
	awayUntil time.Time
	// nextHostID is the ID of the host that the machine boots next; empty for a new one.
	nextHostID string
	standby    bool
	// token and holder are those of the last order; orderedAt is when it was received.
	token     int64
	holder    string
	orderedAt time.Time
	// lastWave is the last wave whose maintenance of this machine has begun.
	lastWave int64
}

// publishedWave is a wave of maintenance as an operator has published it.
type publishedWave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Cap      int      `json:"cap"`
}

func (m *machine) advance(s *state, now time.Time) {
	if m.state == stateUp || now.Before(m.awayUntil) {
		return
	}
	if m.state == stateMaintenance {
		s.notifyMaintenance(m, MaintenanceEnded)
	}
	if m.standby = m.pool == s.store.standby; m.standby {
		m.state = stateUp
		return
	}
	s.boot(m, now)
}

// recordWave stores a published wave, so that orders for maintenance can be checked against it.
func (s *state) recordWave(key string, raw []byte) {
	var wave publishedWave
	if len(key) > 5 && key[:5] == "wave/" && json.Unmarshal(raw, &wave) == nil {
		s.waves[wave.Wave] = wave
	}
}

// SetMachineFaults replaces the faults of the machines API.
func (fp *Platform) SetMachineFaults(ctx context.Context, f faulty.Faults) error {
	return fp.machineFaults.Set(ctx, f)
}

func (fp *Platform) machinesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, query(fp, (*state).listMachines))
	})
	for path, f := range map[string]func(*state, *machine, *machineOrder) (int, string){
		"/v1/machine-move": (*state).move, "/v1/machine-upkeep": (*state).maintain,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o machineOrder
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				writeJSON(rw, http.StatusBadRequest, struct{}{})
				return
			}
			o.holder = r.Header.Get("Lease-Holder")
			o.token, _ = strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
			status, reason := 0, ""
			fp.do(func(s *state) { status, reason = s.orderMachine(&o, f) })
			writeJSON(rw, status, map[string]string{"reason": reason})
		})
	}
	return mux
}

// machineOrder is an order to move a machine or to start its maintenance.
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
	for _, id := range sortedKeys(s.machines) {
		m := s.machines[id]
		item := row{
			ID: id, Pool: m.pool, State: m.state, Zone: m.zone, Labels: []string{"a", m.rack},
			Capacity: machineCapacity.wire(),
		}
		if m.host != nil {
			item.Host = m.host.id
		}
		rows = append(rows, item)
	}
	return map[string]any{"machines": rows, "next_page_token": nil}
}

// orderMachine checks the fencing token and the holder of an order, and executes it.
func (s *state) orderMachine(o *machineOrder, f func(*state, *machine, *machineOrder) (int, string)) (int, string) {
	m := s.machines[o.ID]
	now := time.Now()
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case o.token < m.token:
		return http.StatusConflict, "fence"
	case o.token == m.token && o.holder != m.holder:
		s.addViolation("machine %s: two holders sent orders with fencing token %d", m.id, o.token)
	case o.holder != m.holder && m.holder != "" && now.Sub(m.orderedAt) < holderLease:
		s.addViolation("machine %s: holder %s sent an order only %v after one of holder %s", m.id, o.holder, now.Sub(m.orderedAt), m.holder)
	}
	m.token, m.holder, m.orderedAt = o.token, o.holder, now
	return f(s, m, o)
}

// holderLease is how long no other holder may send orders after an order of one holder.
const holderLease = 3 * time.Second

// takeOffline removes a machine's host and makes the machine unavailable for a time.
func (s *state) takeOffline(m *machine, state string, d time.Duration) {
	if m.host != nil {
		s.removeHost(m.host)
	}
	m.state, m.awayUntil, m.nextHostID = state, time.Now().Add(d), ""
}

// move moves a machine to another pool; an order for its own pool is a repeated one.
func (s *state) move(m *machine, o *machineOrder) (int, string) {
	if m.pool == o.Pool {
		return http.StatusOK, ""
	}
	if m.state != stateUp {
		return http.StatusConflict, "busy"
	}
	m.pool = o.Pool
	s.takeOffline(m, stateMoving, s.timing.MoveDuration)
	return http.StatusOK, ""
}

// maintain starts maintenance of a machine, once per wave, and checks the cap of the wave.
func (s *state) maintain(m *machine, o *machineOrder) (int, string) {
	if m.lastWave == o.Wave {
		return http.StatusOK, ""
	}
	if m.state != stateUp {
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, other := range s.machines {
		if other.state == stateMaintenance && other.lastWave == o.Wave {
			down++
		}
	}
	if w, ok := s.waves[o.Wave]; ok && down >= w.Cap {
		s.addViolation("machine %s goes down for wave %d while %d other machines are down; the cap is already reached", m.id, o.Wave, down)
	}
	m.lastWave = o.Wave
	s.notifyMaintenance(m, MaintenanceBegun)
	s.takeOffline(m, stateMaintenance, s.timing.MaintenanceDuration)
	return http.StatusOK, ""
}

// MaintenanceBegun counts the machines whose maintenance in a wave has begun.
func (fp *Platform) MaintenanceBegun(wave int64) int {
	return query(fp, func(s *state) int {
		n := 0
		for _, m := range s.machines {
			if m.lastWave == wave {
				n++
			}
		}
		return n
	})
}

// MachinesInPool counts the machines of a pool.
func (fp *Platform) MachinesInPool(pool string) int {
	return query(fp, func(s *state) int {
		n := 0
		for _, m := range s.machines {
			if m.pool == pool {
				n++
			}
		}
		return n
	})
}
