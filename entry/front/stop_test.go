package front_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/front"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/fleet/wire"
)

// Guards against a request that is sent on a kept connection at the moment at which a stopping entry
// closes it.
func TestAStoppingEntryKeepsNoConnectionOpenAfterAnAnswer(t *testing.T) {
	f := front.New(&setup.Settings{}, 1, front.Dependencies{Metrics: vars.New(), Logger: slog.New(slog.DiscardHandler)})
	server := httptest.NewServer(f.Handler())
	defer server.Close()
	get := func() *http.Response {
		response, err := http.Get(server.URL + wire.PathLive)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response
	}
	require.False(t, get().Close)
	f.MarkStopping()
	require.True(t, get().Close)
}
