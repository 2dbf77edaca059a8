package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/agent"
)

// Without the delays, an owner that gets too little processor time and a host that answers late
// look the same in the logs.
func TestLogTellsLateOwnerFromLateHost(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	m := newDelayMeter("docs", nil, slog.New(slog.NewJSONHandler(&out, nil)), now)
	m.recordOrder(&agent.OrderResult{Waited: time.Millisecond, Took: 900 * time.Millisecond})
	m.recordMessage(time.Millisecond)
	m.endInterval(now.Add(delayInterval))
	require.Empty(t, out.String(), "only the host was late")

	m.recordOrder(&agent.OrderResult{Waited: 260 * time.Millisecond})
	m.recordMessage(400 * time.Millisecond)
	m.recordRound(120 * time.Millisecond)
	m.endInterval(now.Add(delayInterval))
	require.Empty(t, out.String(), "the second interval is not over")
	m.endInterval(now.Add(2 * delayInterval))
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "owner is late", line["msg"])
	require.EqualValues(t, 400, line["inbox-ms"])
	require.EqualValues(t, 120, line["round-ms"])
	require.EqualValues(t, 260, line["order-queue-ms"])
	require.EqualValues(t, 0, line["call-ms"], "the order was not sent")
	require.Equal(t, Delays{Since: now.Add(2 * delayInterval)}, m.Delays)
}
