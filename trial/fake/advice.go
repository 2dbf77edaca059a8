package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const (
	// adviceLatency is how long the policy service takes to respond, and ticketValidity how long
	// its tickets are valid.
	adviceLatency  = 20 * time.Millisecond
	ticketValidity = 3 * time.Second
	// maxAdviceHosts is the largest number of hosts in one request.
	maxAdviceHosts = 100
)

// approves is the simulated policy: the machines with an even number in their pool may run tasks
// that need a ticket.
func approves(m *machine) bool {
	digit := m.id[len(m.id)-1]
	return (digit-'0')%2 == 0
}

// ticketFor returns the ticket for a step on one incarnation of a host.
func ticketFor(step, host string) string { return "t-" + step + "-" + host }

// stepOf returns the name of the step that a task belongs to.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// adviceHandler serves the policy service.
func (fp *Platform) adviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(rw http.ResponseWriter, r *http.Request) {
		var request struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Step == "" || len(request.Workers) > maxAdviceHosts {
			writeJSON(rw, http.StatusBadRequest, map[string]string{"reason": "not a question"})
			return
		}
		time.Sleep(adviceLatency)
		rows := approvedHosts(fp, request.Step, request.Workers)
		writeJSON(rw, http.StatusOK, map[string]any{"approved": rows, "validity_ms": ticketValidity.Milliseconds()})
	})
	return mux
}

// approvedHosts lists the hosts that may run a step, each with its ticket.
func approvedHosts(fp *Platform, step string, hosts []string) [][]string {
	return query(fp, func(s *state) [][]string {
		rows := [][]string{}
		for _, id := range hosts {
			if h := s.hosts[id]; h != nil && approves(h.machine) {
				rows = append(rows, []string{id, ticketFor(step, id)})
			}
		}
		return rows
	})
}

// StartsRefusedForTicket counts the starts that hosts have refused because the ticket was missing
// or wrong.
func (fp *Platform) StartsRefusedForTicket() int {
	return query(fp, func(s *state) int { return s.refusedForTicket })
}
