package fake

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

const (
	// adviceTakes is how long the policy service takes for an answer, and adviceFor
	// how long its tickets hold.
	adviceTakes = 20 * time.Millisecond
	adviceFor   = 3 * time.Second
	// adviceMost is the number of hosts that one question may name.
	adviceMost = 100
)

// approves is the policy of the stand-in: of each pool, every other machine may run
// work that needs advice.
func approves(m *machine) bool {
	last := m.id[len(m.id)-1]
	return (last-'0')%2 == 0
}

// ticketFor is the ticket for a step on one life of a host.
func ticketFor(step, host string) string { return "t-" + step + "-" + host }

// stepOf is the name of the step that a task belongs to.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// adviceHandler serves the policy service.
func (w *Platform) adviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(rw http.ResponseWriter, r *http.Request) {
		var question struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&question); err != nil || question.Step == "" || len(question.Workers) > adviceMost {
			answer(rw, http.StatusBadRequest, map[string]string{"reason": "not a question"})
			return
		}
		time.Sleep(adviceTakes)
		rows := approved(w, question.Step, question.Workers)
		answer(rw, http.StatusOK, map[string]any{"approved": rows, "validity_ms": adviceFor.Milliseconds()})
	})
	return mux
}

// approved lists the hosts that may run a step, each with its ticket.
func approved(w *Platform, step string, hosts []string) [][]string {
	return ask(w, func(s *state) [][]string {
		rows := [][]string{}
		for _, id := range hosts {
			if h := s.hosts[id]; h != nil && approves(h.machine) {
				rows = append(rows, []string{id, ticketFor(step, id)})
			}
		}
		return rows
	})
}

// StartsRefusedForTicket is the number of starts that hosts have refused for want of a ticket.
func (w *Platform) StartsRefusedForTicket() int {
	return ask(w, func(s *state) int { return s.unticketed })
}
