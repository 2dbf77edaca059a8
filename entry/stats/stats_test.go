package stats_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
)

func TestHandlerServesCountersAndHistogramsAsText(t *testing.T) {
	s := stats.New()
	defer s.Close()
	s.Add("jobs", 2, "pool", "a", "phase", "completed")
	s.Add("jobs", 1, "pool", "a", "phase", "completed")
	for ms := range 100 {
		s.Observe("append", time.Duration(ms+1)*time.Millisecond)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), `jobs{pool="a",phase="completed"} 3`)
	require.Contains(t, w.Body.String(), "append-count 100")
	require.Regexp(t, `append-p50-ms 5\d\.`, w.Body.String())
	var nilSet *stats.Set
	nilSet.Add("x", 1)
	nilSet.Observe("x", time.Second)
}
